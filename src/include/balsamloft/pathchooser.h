/// \file
/// Chooses the engines that run the layers of a request.

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

/// Engines that together run each layer once, in order.
struct EnginePath
{
    std::vector<PathPart> parts;
    std::string domain; ///< of the first engine
    double eventIntervalMs = 0; ///< expected time between two events
    double firstEventMs = 0; ///< expected time until the first event
    bool full = false; ///< an engine of the path exceeds the permitted fullness
};

/// Weights and limits of the cost of a path.
struct PathSettings
{
    double hopMs = 0.6; ///< added to each token by each further engine
    /// Factor on the cost of paths in another domain than the caller's. With 87 instances, a factor
    /// of 2 gains 0.65 of the total value of the callers' requests, and 1.4 gains 0.59: at 1.4, the
    /// instances of all domains choose the same fastest path at the same time.
    double otherDomainFactor = 2;
    double otherDomainPenaltyMs = 40; ///< added to the cost of such paths
    /// Cost of each change of domain inside a path, in addition to the transfer time. Where each
    /// domain holds one replica of the model, the loss of one engine leaves its domain without a
    /// complete path. With two changes of domain, a path runs the missing layers in another domain,
    /// and the domain's other engines stay in use. Such paths gain 0.643 of the requests' value,
    /// against 0.634 for paths inside one domain only.
    double domainChangePenaltyMs = 200;
    /// Utilization up to which a link between two domains gets new paths. Transfers are serialized,
    /// so above this utilization each transfer waits for many others. Raising the cost of busier
    /// links instead of excluding them loses 0.029 of the requests' value.
    double maxLinkLoad = 0.5;
    /// Noise on engines' costs: the standard deviation of the logarithm of a cost is this times the
    /// square root of the number of instances that use the domain's engines. All these instances
    /// see the same loads, which are up to a second old. Without noise, all requests of that second
    /// go to the path that looks best and exceed its memory: with 59 instances in each domain and
    /// 1.5 times the typical load, engines refused 494 times without noise and 49 times with it
    /// (4,451 requests), and the share of requests on time rose from 0.85 to 0.98. If only a few
    /// instances share the engines, each one observes much of the load itself and needs less noise.
    double costNoisePerRoot = 0.06;
    double maxCostNoise = 0.5; ///< more would choose slow paths needlessly
    /// A path that takes this time has a cost equal to its time. Costs grow with the square root of
    /// the time, because an answer on time is worth as much as a faster one. With costs in
    /// proportion to time, nearly all requests of a domain went to its few fast engines: 4 of 190
    /// engines gave 70 % of the refusals, while slower ones that would have answered on time were
    /// half empty. Under heavy load with faults, the square root gained 0.64 instead of 0.38 of the
    /// requests' value.
    double referenceMs = 800;
    double fullnessWeight = 2; ///< weight of an engine's fullness in its cost
    double maxReportedFullness = 2; ///< an engine with a load report counts as full above this
    double maxEstimatedFullness = 3; ///< the same for an engine whose load is only estimated
};

/// The request to find a path for.
struct PathQuery
{
    std::string_view domain; ///< of the instance
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; ///< expected
    const std::set<std::string> *excluded = nullptr; ///< ids of engines not to be used
    double minCostNoise = 0; ///< lower bound on the noise, see PathSettings::costNoisePerRoot
    const PathPart *firstPart = nullptr; ///< the path must begin with this part; null: any
    /// Ids of engines that the path may not begin with.
    const std::set<std::string> *excludedAsFirst = nullptr;
};

/// Chooses paths by the expected time of a request. It depends on the step and prefill times of
/// the engines, their load, free KV memory and slowdown.
class PathChooser
{
public:
    explicit PathChooser(PathSettings settings = {});

    /// Returns the cheapest path over engines of \a service in \a fleet, or nothing if no path
    /// runs all layers.
    std::optional<EnginePath> choose(const FleetSnapshot &fleet, const RoutedService &service,
                                     const EngineTracker &tracker, const PathQuery &query, Time now,
                                     std::mt19937_64 &random) const;

private:
    double costNoise(double instances) const;

    PathSettings m_settings;
};

} // namespace balsamloft
