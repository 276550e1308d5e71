/// \file
/// Chooses the engines that a whole request passes through.

#pragma once

#include <balsamloft/enginetracker.h>

#include <random>
#include <set>

namespace balsamloft {

/// One engine of a path and the layers that it runs.
struct PathPart
{
    std::string endpoint; ///< id
    std::string address;
    LayerRange layers;

    bool operator==(const PathPart &) const = default;
};

/// Engines that run every layer once and in order.
struct EnginePath
{
    std::vector<PathPart> parts;
    std::string domain; ///< of the first engine
    double eventIntervalMs = 0; ///< expected between two events
    double firstEventMs = 0; ///< expected until the first event
    bool full = false; ///< an engine of it has no room, by its own word or by far
};

/// Settings of a PathChooser.
struct PathSettings
{
    double hopMs = 0.6; ///< added to each token by each further engine
    /// Factor on paths in another domain than the caller's. At 1.4 all instances of
    /// all domains chose the one fastest path at once: of what callers' requests
    /// are worth on time, 87 instances earned 0.59 against 0.65 at 2 (means of
    /// three simulated loads with faults, one run each).
    double otherDomainFactor = 2;
    double otherDomainPenaltyMs = 40;
    /// Cost of a change of domain inside a path, beside the pipe's time. Of a model
    /// that lies once in each domain, one dead engine leaves a domain without a
    /// path; two crossings borrow its layers, and the domain's other engines go on
    /// serving: 0.643 of what callers' requests are worth on time was earned
    /// against 0.634 ±0.007 without (36 simulated loads with faults).
    double crossingMs = 200;
    /// Share of a pipe's time up to which paths go through it. Transfers go one
    /// after another, so beyond it each one waits for many others: only dearer
    /// beyond half instead of closed earned 0.029 ±0.010 less (24 loads).
    double maxLinkLoad = 0.5;
    /// Spread of what instances take an engine's cost for: the standard deviation of
    /// its logarithm is this times the root of the instances that choose there.
    /// All of them see the same loads, up to a second old. Were their choices as
    /// alike as their view, all requests of that second would go to the one path
    /// that looked best, and run over its memory: 59 instances a domain at 1.5 times
    /// the usual load were refused by engines 494 times without this and 49 times
    /// with it, of 4,451 requests, and 0.98 instead of 0.85 were on time (emulated
    /// fleet of 190 engines, 6 s, costs in proportion to time). Few instances see
    /// enough of the load themselves.
    double costNoisePerRoot = 0.06;
    double maxCostNoise = 0.5; ///< beyond it, slow paths are chosen for no reason
    /// Time of a path that costs just that. Slower ones cost less than their time and
    /// faster ones more: by its root, since an answer on time is worth no less than a
    /// faster one. In proportion to time, nearly all requests of a domain went to its
    /// few fast engines: four of 190 gave 70 of 100 refusals, while slow ones that
    /// would have been on time stood half empty. On the heaviest simulated load with
    /// faults 0.64 instead of 0.38 of what callers' requests are worth was earned.
    double referenceMs = 800;
    double fullnessWeight = 2; ///< how dear a nearly full engine is
    double maxReportedFullness = 2; ///< fullness by an engine's own word up to which it is used
    double maxEstimatedFullness = 3; ///< the same where only own work is known
};

/// What a request needs.
struct PathQuery
{
    std::string_view domain; ///< of the instance
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; ///< expected
    const std::set<std::string> *without = nullptr; ///< ids not to be used
    double minCostNoise = 0; ///< of what engines are taken for, see PathSettings::costNoisePerRoot
    const PathPart *first = nullptr; ///< the path must begin with this part; null: with any
    const std::set<std::string> *excludedAsFirst = nullptr; ///< ids that no path may begin with
};

/// Chooses paths by the time that a request will take, from the published
/// times of the engines, own and estimated other work, room and pace.
class PathChooser
{
public:
    explicit PathChooser(PathSettings settings = {});

    /// The cheapest path over engines of \a service in \a fleet, or nothing when
    /// no engines cover the layers.
    std::optional<EnginePath> choose(const FleetSnapshot &fleet, const RoutedService &service,
                                     const EngineTracker &book, const PathQuery &query, Time now,
                                     std::mt19937_64 &random) const;

private:
    double spread(double instances) const;

    PathSettings m_settings;
};

} // namespace balsamloft
