#include <balsamloft/routing.h>

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace balsamloft {

namespace {

constexpr double Unreached = std::numeric_limits<double>::infinity();
constexpr double RingPointsPerMeanWeight = 32;
constexpr std::size_t MinRingPoints = 4;
constexpr int MaxDraws = 4;
constexpr double MarginSteps = 2; ///< steps added for the first token and the network
constexpr double TimeMargin = 1.1; ///< factor that allows for steps slower than expected
constexpr int AlertDraws = 16;
constexpr double StepsUntilSlotFree = 4; ///< approximate, at a full endpoint
constexpr std::size_t MaxOwners = 16; ///< maximum number of owners of one prefix
constexpr std::size_t ExtraOwners = 2; ///< members tried in addition if all owners are full
constexpr double OwnersPerDemandShare = 4; ///< additional owners per member, at full demand
constexpr std::uint32_t PrefixWindow = 8192; ///< requests until the counts are halved
constexpr std::size_t AlertHashSeed = 0xa1e27;
constexpr double RoundTripScaleMicros = 30'000; // one typical step

std::uint64_t ringPoint(std::string_view name, std::size_t point)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), point);
}

/// Weight of an endpoint in random draws: its work rate, reduced if the round trip is
/// long in comparison with a step.
double drawWeight(const EndpointState &state, Duration latency)
{
    const auto roundTrip = 2.0 * static_cast<double>(latency.count());
    return state.speed * state.slots * RoundTripScaleMicros / (RoundTripScaleMicros + roundTrip);
}

/// Reserves \a count members for alerts. Every instance selects the same members
/// without exchanging messages. Reserving slots at each endpoint instead would rely on
/// delayed load reports, so that several instances could fill the same slot at once.
void reserveForAlerts(CandidateTable::Group &group, const LoadView &loads, std::uint32_t count)
{
    if (group.members.size() < 2)
        return;
    std::vector<EndpointId> order = group.members;
    std::sort(order.begin(), order.end(), [&](EndpointId a, EndpointId b) {
        return ringPoint(loads.state(a).name, AlertHashSeed)
               < ringPoint(loads.state(b).name, AlertHashSeed);
    });
    order.resize(std::min<std::size_t>(count, order.size() - 1));
    group.reservedForAlerts = std::move(order);
}

void buildRing(CandidateTable::Group &group, const LoadView &loads)
{
    const double total = group.cumulativeWeight.back();
    const double mean = total / static_cast<double>(group.members.size());
    double previous = 0;
    for (std::size_t i = 0; i < group.members.size(); ++i) {
        const double weight = group.cumulativeWeight[i] - previous;
        previous = group.cumulativeWeight[i];
        const auto points = std::max(
            MinRingPoints, static_cast<std::size_t>(RingPointsPerMeanWeight * weight / mean));
        const std::string &name = loads.state(group.members[i]).name;
        for (std::size_t point = 0; point < points; ++point)
            group.ring.emplace_back(ringPoint(name, point), static_cast<std::uint32_t>(i));
    }
    std::sort(group.ring.begin(), group.ring.end());
}

} // namespace

void CandidateTable::add(const Endpoint &endpoint, const LoadView &loads, const LayerRange &layers,
                         std::uint32_t modelLayers)
{
    auto version = std::find_if(m_versions.begin(), m_versions.end(), [&](const auto &candidate) {
        return candidate.version == endpoint.version;
    });
    if (version == m_versions.end())
        version = m_versions.insert(m_versions.end(), {endpoint.version, modelLayers, {}});
    auto group = std::find_if(version->groups.begin(), version->groups.end(),
                              [&](const Group &candidate) { return candidate.layers == layers; });
    if (group == version->groups.end())
        group = version->groups.insert(version->groups.end(), Group {layers, {}, {}, {}, {}});
    group->members.push_back(loads.find(endpoint.name));
}

void CandidateTable::finish(const Config &config, const LoadView &loads, std::string_view domain,
                            std::string_view requestedVersion, std::uint32_t alertEndpoints)
{
    for (VersionGroups &version : m_versions) {
        std::sort(version.groups.begin(), version.groups.end(),
                  [](const Group &a, const Group &b) { return a.layers < b.layers; });
        for (Group &group : version.groups) {
            double sum = 0;
            for (const EndpointId id : group.members) {
                const EndpointState &state = loads.state(id);
                sum += drawWeight(state, config.latency(domain, state.domain));
                group.cumulativeWeight.push_back(sum);
            }
            buildRing(group, loads);
            reserveForAlerts(group, loads, alertEndpoints);
        }
    }
    // Other versions stay as a fallback, so that the model remains available while no
    // chain holds the requested version yet.
    std::stable_partition(m_versions.begin(), m_versions.end(), [&](const VersionGroups &version) {
        return version.version == requestedVersion || version.version.empty();
    });
}

CandidateTable CandidateTable::forModel(const Config &config, const Model &model,
                                        const LoadView &loads, std::string_view domain)
{
    CandidateTable table;
    for (const Endpoint &endpoint : config.endpoints()) {
        if (endpoint.kind == EndpointKind::Engine && endpoint.model == model.name)
            table.add(endpoint, loads, endpoint.layers, model.layers);
    }
    table.finish(config, loads, domain, model.version, model.alertEndpoints);
    return table;
}

CandidateTable CandidateTable::forService(const Config &config, const Service &service,
                                          const LoadView &loads, std::string_view domain)
{
    CandidateTable table;
    for (const Endpoint &endpoint : config.endpoints()) {
        if (endpoint.kind == EndpointKind::Service && endpoint.service == service.name)
            table.add(endpoint, loads, {0, 1}, 1);
    }
    table.finish(config, loads, domain, {}, 0);
    return table;
}

ChainChooser::ChainChooser(RoutingSettings settings, std::string domain, std::uint64_t seed)
    : m_settings(settings)
    , m_domain(std::move(domain))
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void ChainChooser::setConfig(const Config &config, const LoadView &loads)
{
    m_latency.assign(loads.size(), Duration::zero());
    for (const Endpoint &endpoint : config.endpoints())
        m_latency[loads.find(endpoint.name)] = config.latency(m_domain, endpoint.domain);
}

bool ChainChooser::choose(const CandidateTable &table, const LoadView &loads,
                          const RouteQuery &query, Time now, Chain &chain)
{
    for (const CandidateTable::VersionGroups &version : table.versions()) {
        if (chooseVersion(version, loads, query, now, chain))
            return true;
    }
    if (query.avoid == NoEndpoint)
        return false;
    RouteQuery anyEndpoint = query;
    anyEndpoint.avoid = NoEndpoint;
    return choose(table, loads, anyEndpoint, now, chain);
}

bool ChainChooser::chooseVersion(const CandidateTable::VersionGroups &version,
                                 const LoadView &loads, const RouteQuery &query, Time now,
                                 Chain &chain)
{
    static constexpr PickFunction Pickers[] = {
        &ChainChooser::pickDefault,     &ChainChooser::pickRandom,    &ChainChooser::pickRoundRobin,
        &ChainChooser::pickLeastLoaded, &ChainChooser::pickBestOfTwo,
    };
    const PickFunction pick = Pickers[static_cast<std::size_t>(m_settings.policy)];

    // Finds the cheapest chain from layer 0 to each layer boundary. Groups are sorted by
    // first layer, so the cost of a boundary is final before a group starts there.
    m_bestCost.assign(version.layers + 1, Unreached);
    m_bestPick.resize(version.layers + 1);
    m_bestCost[0] = 0;
    for (std::size_t i = 0; i < version.groups.size(); ++i) {
        const CandidateTable::Group &group = version.groups[i];
        if (m_bestCost[group.layers.begin] == Unreached)
            continue;
        const Pick picked = (this->*pick)(Decision {group, loads, query, now});
        if (picked.endpoint == NoEndpoint)
            continue;
        const double total = m_bestCost[group.layers.begin] + picked.cost;
        if (total < m_bestCost[group.layers.end]) {
            m_bestCost[group.layers.end] = total;
            m_bestPick[group.layers.end] = {i, picked};
        }
    }
    return m_bestCost[version.layers] != Unreached && traceBack(version, chain);
}

bool ChainChooser::traceBack(const CandidateTable::VersionGroups &version, Chain &chain) const
{
    chain.clear();
    std::uint32_t boundary = version.layers;
    while (boundary > 0) {
        if (chain.size() == MaxStages)
            return false;
        const auto &[groupIndex, pick] = m_bestPick[boundary];
        const LayerRange layers = version.groups[groupIndex].layers;
        chain.push_back({pick.endpoint, layers, pick.byAffinity});
        boundary = layers.begin;
    }
    std::reverse(chain.begin(), chain.end());
    return true;
}

bool ChainChooser::hasFreeSlot(const Decision &decision, EndpointId id) const
{
    const bool alert = decision.query.priority == Priority::Alert;
    return decision.loads.hasFreeSlot(id, alert ? m_settings.alertOvercommit : 0, decision.now);
}

bool ChainChooser::meetsDeadline(const Decision &decision, EndpointId id) const
{
    const auto step = static_cast<double>(decision.loads.state(id).stepTime.count());
    return step * (decision.query.tokens + MarginSteps) * TimeMargin
           <= static_cast<double>(decision.query.timeLeft.count());
}

bool ChainChooser::isEligible(const Decision &decision, EndpointId id) const
{
    const bool reserved = decision.query.priority != Priority::Alert
                          && std::find(decision.group.reservedForAlerts.begin(),
                                       decision.group.reservedForAlerts.end(), id)
                                 != decision.group.reservedForAlerts.end();
    return !reserved && id != decision.query.avoid && decision.loads.usable(id)
           && hasFreeSlot(decision, id) && meetsDeadline(decision, id);
}

double ChainChooser::cost(const Decision &decision, EndpointId id, bool byAffinity) const
{
    const EndpointState &state = decision.loads.state(id);
    const Duration stepTime =
        state.stepTime > Duration::zero() ? state.stepTime : m_settings.defaultStepTime;
    const double missRate = byAffinity ? 1 - state.prefixHitRate : 1;
    const double prefill = static_cast<double>(m_settings.prefillPerToken.count())
                           * decision.query.promptTokens * missRate / state.speed;
    const double expectedLoad = decision.loads.expectedLoad(id, decision.now);
    const double load = expectedLoad / state.slots;
    const double compute = (static_cast<double>(stepTime.count()) + prefill) * (1 + load);
    // At a full endpoint the request waits for a slot to become free.
    const double waitingAhead = std::max(0.0, expectedLoad - state.slots + 1);
    const double wait = waitingAhead * StepsUntilSlotFree * static_cast<double>(stepTime.count());
    // The inventory has the nominal latency of the link; recent steps show the actual latency.
    const Duration roundTrip =
        std::max(2 * m_latency[id], decision.loads.roundTrip(id, decision.now));
    return compute + wait + static_cast<double>(roundTrip.count());
}

EndpointId ChainChooser::drawByWeight(const CandidateTable::Group &group)
{
    std::uniform_real_distribution<double> distribution(0, group.cumulativeWeight.back());
    const auto it = std::upper_bound(group.cumulativeWeight.begin(), group.cumulativeWeight.end(),
                                     distribution(m_random));
    const auto index =
        std::min<std::size_t>(it - group.cumulativeWeight.begin(), group.members.size() - 1);
    return group.members[index];
}

ChainChooser::Pick ChainChooser::scanGroup(const Decision &decision)
{
    const auto &members = decision.group.members;
    const std::size_t offset = m_random() % members.size();
    for (std::size_t i = 0; i < members.size(); ++i) {
        const EndpointId id = members[(offset + i) % members.size()];
        if (isEligible(decision, id))
            return {id, cost(decision, id, false), false};
    }
    // Limits the ejections: if no member is eligible and more than maxEjectedFraction of the
    // group is ejected, ejected members are used too, so that a burst of failures can't
    // disable the complete group.
    std::size_t ejected = 0;
    for (const EndpointId id : members)
        ejected += decision.loads.ejected(id) ? 1 : 0;
    const auto allowed = static_cast<std::size_t>(decision.loads.settings().maxEjectedFraction
                                                  * static_cast<double>(members.size()));
    if (ejected <= allowed)
        return {};
    for (std::size_t i = 0; i < members.size(); ++i) {
        const EndpointId id = members[(offset + i) % members.size()];
        const EndpointState &state = decision.loads.state(id);
        if (id != decision.query.avoid && state.configured && !state.leaving
            && !state.reportedLeaving && hasFreeSlot(decision, id))
            return {id, cost(decision, id, false), false};
    }
    return {};
}

ChainChooser::Pick ChainChooser::pickBestOfTwo(const Decision &decision)
{
    // Requests of priority alert compare more members, since they are rare and must not wait.
    const bool alert = decision.query.priority == Priority::Alert;
    const int maxDraws = alert ? AlertDraws : MaxDraws;
    const int maxCompared = alert ? AlertDraws : 2;
    Pick best;
    int found = 0;
    for (int attempt = 0; attempt < maxDraws && found < maxCompared; ++attempt) {
        const EndpointId id = drawByWeight(decision.group);
        if (!isEligible(decision, id))
            continue;
        ++found;
        const double expected = cost(decision, id, false);
        if (best.endpoint == NoEndpoint || expected < best.cost)
            best = {id, expected, false};
    }
    return best.endpoint == NoEndpoint ? scanGroup(decision) : best;
}

std::size_t ChainChooser::ownersOf(std::uint64_t prefixHash, std::size_t members)
{
    if (m_prefixTotal >= PrefixWindow) {
        m_prefixTotal = 0;
        for (std::uint32_t &count : m_prefixCounts)
            m_prefixTotal += count /= 2;
    }
    ++m_prefixTotal;
    std::uint32_t &count = m_prefixCounts[prefixHash % m_prefixCounts.size()];
    ++count;
    const double share = static_cast<double>(count) / m_prefixTotal;
    const auto owners =
        1 + static_cast<std::size_t>(share * static_cast<double>(members) * OwnersPerDemandShare);
    return std::min(owners, MaxOwners);
}

ChainChooser::Pick ChainChooser::pickByRing(const Decision &decision)
{
    const auto &ring = decision.group.ring;
    const std::size_t owners = ownersOf(decision.query.prefixHash, decision.group.members.size());
    const std::pair<std::uint64_t, std::uint32_t> first {decision.query.prefixHash, 0};
    auto it = std::lower_bound(ring.begin(), ring.end(), first);
    boost::container::static_vector<EndpointId, MaxOwners + ExtraOwners> seen;
    Pick best;
    bool bestHasHeadroom = false;
    for (std::size_t visited = 0; visited < ring.size(); ++visited) {
        // A prefix in high demand has several owners, of which the cheapest is used. Any other
        // prefix has one owner; if it is full, the next member of the ring is used.
        const bool enough = seen.size() >= owners && bestHasHeadroom;
        if (enough || seen.size() == owners + ExtraOwners)
            break;
        if (it == ring.end())
            it = ring.begin();
        const EndpointId id = decision.group.members[it->second];
        ++it;
        if (std::find(seen.begin(), seen.end(), id) != seen.end())
            continue;
        seen.push_back(id);
        if (!isEligible(decision, id))
            continue;
        const Pick pick {id, cost(decision, id, true), true};
        const bool hasHeadroom =
            decision.loads.expectedLoad(id, decision.now)
            <= m_settings.affinityMaxUtilization * decision.loads.state(id).slots;
        if (best.endpoint == NoEndpoint
            || std::pair(!hasHeadroom, pick.cost) < std::pair(!bestHasHeadroom, best.cost)) {
            best = pick;
            bestHasHeadroom = hasHeadroom;
        }
    }
    return best;
}

ChainChooser::Pick ChainChooser::pickReserved(const Decision &decision) const
{
    Pick best;
    for (const EndpointId id : decision.group.reservedForAlerts) {
        // A full reserved endpoint has no advantage over others, so it is not overcommitted.
        if (!decision.loads.usable(id) || id == decision.query.avoid
            || !decision.loads.hasFreeSlot(id, 0, decision.now))
            continue;
        const double expected = cost(decision, id, false);
        if (best.endpoint == NoEndpoint || expected < best.cost)
            best = {id, expected, false};
    }
    return best;
}

ChainChooser::Pick ChainChooser::pickDefault(const Decision &decision)
{
    if (decision.query.priority == Priority::Alert) {
        const Pick reserved = pickReserved(decision);
        if (reserved.endpoint != NoEndpoint)
            return reserved;
    }
    const Pick drawn = pickBestOfTwo(decision);
    const bool affinity = decision.query.prefixHash != 0 && decision.group.layers.begin == 0
                          && decision.query.priority != Priority::Alert;
    if (!affinity)
        return drawn;
    const Pick owner = pickByRing(decision);
    if (owner.endpoint == NoEndpoint)
        return drawn;
    const double tolerance =
        1 + m_settings.affinityCostTolerance * decision.loads.state(owner.endpoint).prefixHitRate;
    // The owner's cost and the tolerance depend on its observed hit rate, so affinity
    // decreases where caches are too small or have been lost. An owner that costs no more
    // than the drawn member is always used, which keeps its cache warm.
    return drawn.endpoint == NoEndpoint || owner.cost <= drawn.cost * tolerance ? owner : drawn;
}

ChainChooser::Pick ChainChooser::pickRandom(const Decision &decision)
{
    const auto &members = decision.group.members;
    const EndpointId id = members[m_random() % members.size()];
    return isEligible(decision, id) ? Pick {id, cost(decision, id, false), false}
                                    : scanGroup(decision);
}

ChainChooser::Pick ChainChooser::pickRoundRobin(const Decision &decision)
{
    const auto &members = decision.group.members;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const EndpointId id = members[m_roundRobin++ % members.size()];
        if (isEligible(decision, id))
            return {id, cost(decision, id, false), false};
    }
    return {};
}

ChainChooser::Pick ChainChooser::pickLeastLoaded(const Decision &decision)
{
    Pick best;
    std::uint32_t least = ~0U;
    for (const EndpointId id : decision.group.members) {
        const std::uint32_t load = decision.loads.estimatedLoad(id, decision.now);
        if (load >= least || !isEligible(decision, id))
            continue;
        least = load;
        best = {id, cost(decision, id, false), false};
    }
    return best;
}

} // namespace balsamloft
