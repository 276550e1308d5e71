/// \file
/// Emulates, in virtual time, engines that each hold a range of layers. Real Relay objects
/// send requests to these engines. Engines batch all waiting attempts into a pass, prefill
/// prompts in chunks, account memory in tokens times layers, queue and preempt. The network
/// is a constant delay; the store, connections and updates between instances are omitted.

#pragma once

#include <balsamloft/layerplanner.h>
#include <balsamloft/relay.h>

#include <functional>
#include <queue>

namespace balsamloft::fakes {

/// Engines of one kind in one failure domain.
struct EmulatedGroup
{
    std::string domain;
    std::string kind;
    std::uint32_t count = 0;
};

/// The fleet, the load and the faults of an emulation.
struct EmulationSettings
{
    LayeredModel model;
    std::vector<EmulatedGroup> engines;
    std::uint32_t instancesPerDomain = 3;
    double requestsPerSecond = 80; ///< sum over all instances
    Duration length {20'000'000}; ///< duration of the traffic
    Duration reportInterval {1'000'000}; ///< time between engine state reports to instances
    Duration reportLag {200'000}; ///< age of an engine state when an instance receives it
    Duration failureInterval {0}; ///< time between crashes of random engines; 0: no crashes
    Duration failureDuration {4'000'000}; ///< time from a crash to the restart
    /// Times of crashes, since the start of the traffic. Each crash hits the engine that is
    /// the first stage of most active runs at that time.
    std::vector<Duration> firstEngineFailures;
    Duration targetLatency {500'000};
    Duration targetEventPause {200'000};
    LayerPlannerSettings planner;
    RelaySettings relay;
    std::uint64_t seed = 1;
};

/// Requests submitted in one second.
struct EmulatedSecond
{
    std::uint64_t requests = 0;
    std::uint64_t onTime = 0;
};

/// Results of an emulation.
struct EmulationResult
{
    std::uint64_t requests = 0;
    std::uint64_t onTime = 0; ///< completed; first event and all pauses within the targets
    std::uint64_t late = 0; ///< completed, but beyond a target
    std::uint64_t refused = 0; ///< failed without having been executed
    std::uint64_t truncated = 0; ///< failed after a possible start, or slower than callers wait
    std::uint64_t resent = 0;
    std::uint64_t rejected = 0; ///< attempts that engines rejected for lack of memory or layers
    std::uint64_t preempted = 0;
    std::uint64_t tokens = 0; ///< tokens that callers received
    std::uint64_t orders = 0; ///< number of orders to load layers
    double medianFirstEventMs = 0;
    double p99FirstEventMs = 0;
    double medianGapMs = 0; ///< median over streams of the mean pause between events
    /// Median time from a crash to the next event of an interrupted stream.
    double medianRecoveryMs = 0;

    /// Indexed by the second of the traffic in which the requests were submitted.
    std::vector<EmulatedSecond> seconds;

    double onTimeShare() const { return requests ? static_cast<double>(onTime) / requests : 0; }

    /// Returns the on-time share of requests submitted after \a seconds of traffic.
    double onTimeShareFrom(std::size_t seconds) const;
};

/// Runs an emulation, starting with engines that hold no layers.
EmulationResult emulate(const EmulationSettings &settings);

/// Returns an upper bound on the fleet's tokens per second: all engines run full
/// batches all the time, and layers are divided so that no engine waits for another.
double tokenBound(const EmulationSettings &settings);

/// Reference fleet: 33 engines in 3 domains, 9 instances, 80 requests per second.
EmulationSettings referenceFleet();

/// Four domains with 80 instances and 86 engines in total; each instance has only
/// about 4 requests per second.
EmulationSettings grownFleet();

/// Five domains with 295 instances, about 1.7 requests per second each, and
/// a different mix of engines in each domain.
EmulationSettings largeFleet();

/// Design limit: about 340 instances and 790 engines in 6 domains.
EmulationSettings designFleet();

} // namespace balsamloft::fakes
