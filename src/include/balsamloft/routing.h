/// \file
/// Chooses the chain of endpoints that executes a request.

#pragma once

#include <balsamloft/loadview.h>

#include <boost/container/static_vector.hpp>

#include <array>
#include <random>
#include <span>
#include <vector>

namespace balsamloft {

/// Most stages a chain can have.
inline constexpr std::size_t MaxStages = 16;

/// One stage of a chain.
struct Stage
{
    EndpointId endpoint = NoEndpoint;
    LayerRange layers;
    bool byAffinity = false; ///< chosen because it probably caches the prefix
};

/// The stages that cover all layers, in order.
using Chain = boost::container::static_vector<Stage, MaxStages>;

/// How a candidate is picked out of a group. The others than Default exist as
/// baselines for the benchmark.
enum class RoutingPolicy : std::uint8_t { Default, Random, RoundRobin, LeastLoaded, BestOfTwo };

/// Settings of the routing decision.
struct RoutingSettings
{
    RoutingPolicy policy = RoutingPolicy::Default;
    double affinityMaxUtilization = 0.95; ///< of its slots, up to which an owner is preferred
    double affinityCostTolerance = 3; ///< how much dearer an owner that always hits may seem
    Duration defaultStepTime {30'000}; ///< of an endpoint that has not reported yet
    Duration prefillPerToken {200}; ///< of an endpoint of speed 1, over all layers
    std::uint32_t alertOvercommit = 2; ///< alerts sent to a full endpoint, which puts them first
};

/// What a chain is wanted for.
struct RouteQuery
{
    Priority priority = Priority::Normal;
    std::uint64_t prefixHash = 0; ///< zero: no affinity wanted
    std::uint32_t promptTokens = 0;
    EndpointId avoid = NoEndpoint; ///< skipped while there is another way
    double tokens = 0; ///< expected to be generated
    Duration timeLeft = Duration::max(); ///< to the deadline
};

/// The endpoints that can execute one model or service, grouped by layer range
/// and version, with what fast picking needs worked out beforehand.
class CandidateTable
{
public:
    /// Endpoints that hold the same layers of the same version.
    struct Group
    {
        LayerRange layers;
        std::vector<EndpointId> members;
        std::vector<double> cumulativeWeight; ///< of members, for draws by weight
        std::vector<std::pair<std::uint64_t, std::uint32_t>> ring; ///< hash to member
        std::vector<EndpointId> reservedForAlerts; ///< members that only alerts may use
    };

    /// The groups that hold one version.
    struct VersionGroups
    {
        std::string version;
        std::uint32_t layers = 0;
        std::vector<Group> groups; ///< sorted by first layer
    };

    /// Builds the table of \a model as seen from an instance in \a domain.
    static CandidateTable forModel(const Config &config, const Model &model, const LoadView &loads,
                                   std::string_view domain);

    /// As forModel(), for the endpoints of a plain service.
    static CandidateTable forService(const Config &config, const Service &service,
                                     const LoadView &loads, std::string_view domain);

    /// The wanted version first.
    std::span<const VersionGroups> versions() const { return m_versions; }

private:
    void add(const Endpoint &endpoint, const LoadView &loads, const LayerRange &layers,
             std::uint32_t modelLayers);
    void finish(const Config &config, const LoadView &loads, std::string_view domain,
                std::string_view wantedVersion, std::uint32_t alertEndpoints);

    std::vector<VersionGroups> m_versions;
};

/// Makes the choice. Holds scratch space, so that a choice allocates nothing.
class ChainChooser
{
public:
    ChainChooser(RoutingSettings settings, std::string domain, std::uint64_t seed);

    /// Fills \a chain with stages that cover all layers once, of one version,
    /// each with room for one more request. Returns false when there is none.
    bool choose(const CandidateTable &table, const LoadView &loads, const RouteQuery &query,
                Time now, Chain &chain);

    /// Forgets latencies worked out from an earlier configuration.
    void setConfig(const Config &config, const LoadView &loads);

    const RoutingSettings &settings() const { return m_settings; }

private:
    struct Pick
    {
        EndpointId endpoint = NoEndpoint;
        double cost = 0; ///< expected microseconds until this stage has answered
        bool byAffinity = false;
    };
    struct Decision
    {
        const CandidateTable::Group &group;
        const LoadView &loads;
        const RouteQuery &query;
        Time now;
        std::size_t ejectionsIgnored = 0;
    };
    using PickFunction = Pick (ChainChooser::*)(const Decision &);

    bool chooseVersion(const CandidateTable::VersionGroups &version, const LoadView &loads,
                       const RouteQuery &query, Time now, Chain &chain);
    bool traceBack(const CandidateTable::VersionGroups &version, Chain &chain) const;

    Pick pickDefault(const Decision &decision);
    Pick pickRandom(const Decision &decision);
    Pick pickRoundRobin(const Decision &decision);
    Pick pickLeastLoaded(const Decision &decision);
    Pick pickBestOfTwo(const Decision &decision);
    Pick pickKept(const Decision &decision) const;
    Pick pickByRing(const Decision &decision);
    std::size_t ownersOf(std::uint64_t prefixHash, std::size_t members);
    EndpointId drawByWeight(const CandidateTable::Group &group);
    Pick scan(const Decision &decision);

    bool hasFreeSlot(const Decision &decision, EndpointId id) const;
    bool inTime(const Decision &decision, EndpointId id) const;
    bool mayUse(const Decision &decision, EndpointId id) const;
    double cost(const Decision &decision, EndpointId id, bool byAffinity) const;

    RoutingSettings m_settings;
    std::string m_domain;
    std::minstd_rand m_random;
    std::size_t m_roundRobin = 0;
    std::array<std::uint32_t, 4096> m_prefixCounts {}; ///< recent requests, by hash
    std::uint32_t m_prefixTotal = 0;
    std::vector<Duration> m_latency; ///< one way, by EndpointId
    std::vector<double> m_bestCost; ///< scratch, by layer boundary
    std::vector<std::pair<std::size_t, Pick>> m_bestPick; ///< scratch: group and pick
};

} // namespace balsamloft
