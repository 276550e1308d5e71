/// \file
/// Selects the chain of endpoints that executes a request.

#pragma once

#include <balsamloft/loadview.h>

#include <boost/container/static_vector.hpp>

#include <array>
#include <random>
#include <span>
#include <vector>

namespace balsamloft {

/// Maximum number of stages of a chain.
inline constexpr std::size_t MaxStages = 16;

/// One stage of a chain: an endpoint and the layers it executes.
struct Stage
{
    EndpointId endpoint = NoEndpoint;
    LayerRange layers;
    bool byAffinity = false; ///< selected because it probably has the prefix cached
};

/// Stages that together cover all layers, in order of layers.
using Chain = boost::container::static_vector<Stage, MaxStages>;

/// How an endpoint is selected within a group. The policies other than Default are
/// baselines for benchmarks.
enum class RoutingPolicy : std::uint8_t { Default, Random, RoundRobin, LeastLoaded, BestOfTwo };

/// Settings of the selection of chains.
struct RoutingSettings
{
    RoutingPolicy policy = RoutingPolicy::Default;
    double affinityMaxUtilization = 0.95; ///< share of used slots up to which owners get requests
    double affinityCostTolerance = 3; ///< relative extra cost accepted for an owner with hit rate 1
    Duration defaultStepTime {30'000}; ///< assumed until an endpoint reports its step time
    Duration prefillPerToken {200}; ///< at an endpoint of speed 1, over all layers
    std::uint32_t alertOvercommit = 2; ///< alerts that a full endpoint still accepts and runs first
};

/// Requirements of one request on its chain.
struct RouteQuery
{
    Priority priority = Priority::Normal;
    std::uint64_t prefixHash = 0; ///< zero: no affinity
    std::uint32_t promptTokens = 0;
    EndpointId avoid = NoEndpoint; ///< endpoint used only if there is no chain without it
    double tokens = 0; ///< expected number of generated tokens
    Duration timeLeft = Duration::max(); ///< time left until the deadline
};

/// The endpoints that can execute one model or service, grouped by version and layer
/// range, with weights and hash rings precomputed for fast selection.
class CandidateTable
{
public:
    /// Endpoints that hold the same layers of the same version.
    struct Group
    {
        LayerRange layers;
        std::vector<EndpointId> members;
        std::vector<double> cumulativeWeight; ///< of members, for weighted random draws
        std::vector<std::pair<std::uint64_t, std::uint32_t>> ring; ///< hash, index in members
        std::vector<EndpointId> reservedForAlerts; ///< members that get alerts only
    };

    /// The groups of one model version.
    struct VersionGroups
    {
        std::string version;
        std::uint32_t layers = 0;
        std::vector<Group> groups; ///< sorted by first layer
    };

    /// Builds the table of \a model for an instance in the failure domain \a domain.
    static CandidateTable forModel(const Config &config, const Model &model, const LoadView &loads,
                                   std::string_view domain);

    /// Like forModel(), for the endpoints of a plain service.
    static CandidateTable forService(const Config &config, const Service &service,
                                     const LoadView &loads, std::string_view domain);

    /// All versions; the version that the rules request comes first.
    std::span<const VersionGroups> versions() const { return m_versions; }

private:
    void add(const Endpoint &endpoint, const LoadView &loads, const LayerRange &layers,
             std::uint32_t modelLayers);
    void finish(const Config &config, const LoadView &loads, std::string_view domain,
                std::string_view requestedVersion, std::uint32_t alertEndpoints);

    std::vector<VersionGroups> m_versions;
};

/// Selects chains. Keeps its working buffers, so that a selection doesn't allocate.
class ChainChooser
{
public:
    ChainChooser(RoutingSettings settings, std::string domain, std::uint64_t seed);

    /// Fills \a chain with stages of one model version that have a free slot each and together
    /// cover each layer exactly once. Returns false if there is no such chain.
    bool choose(const CandidateTable &table, const LoadView &loads, const RouteQuery &query,
                Time now, Chain &chain);

    /// Updates the latencies from this instance to the endpoints.
    void setConfig(const Config &config, const LoadView &loads);

    const RoutingSettings &settings() const { return m_settings; }

private:
    struct Pick
    {
        EndpointId endpoint = NoEndpoint;
        double cost = 0; ///< expected time to the answer of this stage, in microseconds
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
    Pick pickReserved(const Decision &decision) const;
    Pick pickByRing(const Decision &decision);
    std::size_t ownersOf(std::uint64_t prefixHash, std::size_t members);
    EndpointId drawByWeight(const CandidateTable::Group &group);
    Pick scanGroup(const Decision &decision);

    bool hasFreeSlot(const Decision &decision, EndpointId id) const;
    bool meetsDeadline(const Decision &decision, EndpointId id) const;
    bool isEligible(const Decision &decision, EndpointId id) const;
    double cost(const Decision &decision, EndpointId id, bool byAffinity) const;

    RoutingSettings m_settings;
    std::string m_domain;
    std::minstd_rand m_random;
    std::size_t m_roundRobin = 0;
    std::array<std::uint32_t, 4096> m_prefixCounts {}; ///< recent requests, by prefix hash
    std::uint32_t m_prefixTotal = 0;
    std::vector<Duration> m_latency; ///< one way, by EndpointId
    std::vector<double> m_bestCost; ///< buffer: lowest cost, by layer boundary
    std::vector<std::pair<std::size_t, Pick>> m_bestPick; ///< buffer: index of the group and pick
};

} // namespace balsamloft
