/// \file
/// Engines that each hold a range of layers, in virtual time, from the published
/// formulas: passes over all that waits, prompts read in pieces, memory in tokens
/// times layers, queue and preemption. Relays stand before them. One process, no
/// network but a delay; not a simulator of a fleet.

#pragma once

#include <balsamloft/layerplanner.h>
#include <balsamloft/relay.h>

#include <functional>
#include <queue>

namespace balsamloft::fakes {

/// A number of equal engines in a domain.
struct EmulatedGroup
{
    std::string domain;
    std::string kind;
    std::uint32_t count = 0;
};

/// What is emulated.
struct EmulationSettings
{
    LayeredModel model;
    std::vector<EmulatedGroup> engines;
    std::uint32_t instancesPerDomain = 3;
    double requestsPerSecond = 80; ///< over all instances
    Duration length {20'000'000};
    Duration reportInterval {1'000'000}; ///< how often instances learn engines' states
    Duration reportLag {200'000};
    Duration failureEvery {0}; ///< an engine dies this often; 0: never
    Duration failureFor {4'000'000};
    /// After so long a time of traffic the engine on which most paths begin dies.
    std::vector<Duration> firstEngineDies;
    Duration targetLatency {500'000};
    Duration targetEventPause {200'000};
    LayerPlannerSettings planner;
    RelaySettings relay;
    std::uint64_t seed = 1;
};

/// What became of the requests of one second.
struct EmulatedSecond
{
    std::uint64_t asked = 0;
    std::uint64_t onTime = 0;
};

/// What came out.
struct EmulationResult
{
    std::uint64_t asked = 0;
    std::uint64_t onTime = 0; ///< first event and all pauses as wanted, complete
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t cut = 0;
    std::uint64_t resent = 0;
    std::uint64_t rejected = 0; ///< by engines, for want of room
    std::uint64_t preempted = 0;
    std::uint64_t tokens = 0; ///< that callers got
    std::uint64_t orders = 0;
    double firstMedianMs = 0;
    double firstHighMs = 0; ///< 99 in 100 are faster
    double gapMeanMs = 0;
    double recoveryMs = 0; ///< median, from an engine's death to a broken stream's next event

    std::vector<EmulatedSecond> seconds; ///< by the time of traffic at which they were asked

    double onTimeShare() const { return asked ? static_cast<double>(onTime) / asked : 0; }

    /// The same of what was asked after \a seconds of traffic.
    double onTimeShareFrom(std::size_t seconds) const;
};

/// Runs one emulation from cold engines to its end.
EmulationResult emulate(const EmulationSettings &settings);

/// Tokens a second that the fleet could make at most, were every engine busy
/// with full batches and the layers cut so that none waits for another.
double tokenBound(const EmulationSettings &settings);

/// The engines and the load of today's deployments.
EmulationSettings todaysFleet();

/// Four domains of many small instances, each with few requests of its own.
EmulationSettings grownFleet();

/// Five domains of unequal engines before 295 instances, two requests a second each.
EmulationSettings largeFleet();

/// 340 instances before 790 engines in 6 domains.
EmulationSettings designFleet();

} // namespace balsamloft::fakes
