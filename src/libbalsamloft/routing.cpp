#include <balsamloft/routing.h>

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace balsamloft {

namespace {

constexpr double Unreached = std::numeric_limits<double>::infinity();
constexpr double PointsPerMeanWeight = 32;
constexpr std::size_t MinPoints = 4;
constexpr int DrawTries = 4;
constexpr std::size_t RingTries = 3;
constexpr double ScaleOfRemoteWeight = 30'000; // microseconds: one usual step

std::uint64_t ringPoint(std::string_view name, std::size_t point)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), point);
}

/// Weight of a draw: work rate, less for endpoints whose round trip is a
/// large part of a step.
double drawWeight(const EndpointState &state, Duration latency)
{
    const auto roundTrip = 2.0 * static_cast<double>(latency.count());
    return state.speed * state.slots * ScaleOfRemoteWeight / (ScaleOfRemoteWeight + roundTrip);
}

void buildRing(RouteTable::Group &group, const LoadView &loads)
{
    const double total = group.cumulativeWeight.back();
    const double mean = total / static_cast<double>(group.members.size());
    double previous = 0;
    for (std::size_t i = 0; i < group.members.size(); ++i) {
        const double weight = group.cumulativeWeight[i] - previous;
        previous = group.cumulativeWeight[i];
        const auto points =
            std::max(MinPoints, static_cast<std::size_t>(PointsPerMeanWeight * weight / mean));
        const std::string &name = loads.state(group.members[i]).name;
        for (std::size_t point = 0; point < points; ++point)
            group.ring.emplace_back(ringPoint(name, point), static_cast<std::uint32_t>(i));
    }
    std::sort(group.ring.begin(), group.ring.end());
}

} // namespace

void RouteTable::add(const Endpoint &endpoint, const LoadView &loads, const LayerRange &layers,
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
        group = version->groups.insert(version->groups.end(), Group {layers, {}, {}, {}});
    group->members.push_back(loads.find(endpoint.name));
    m_totalSlots += endpoint.slots;
}

void RouteTable::finish(const Config &config, const LoadView &loads, std::string_view domain,
                        std::string_view wantedVersion)
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
        }
    }
    // A version that the rules want but no chain holds yet must not take the
    // model out of service: the others stay as a second choice.
    std::stable_partition(m_versions.begin(), m_versions.end(), [&](const VersionGroups &version) {
        return version.version == wantedVersion || version.version.empty();
    });
}

RouteTable RouteTable::forModel(const Config &config, const Model &model, const LoadView &loads,
                                std::string_view domain)
{
    RouteTable table;
    for (const Endpoint &endpoint : config.endpoints()) {
        if (endpoint.kind == EndpointKind::Engine && endpoint.model == model.name)
            table.add(endpoint, loads, endpoint.layers, model.layers);
    }
    table.finish(config, loads, domain, model.version);
    return table;
}

RouteTable RouteTable::forService(const Config &config, const Service &service,
                                  const LoadView &loads, std::string_view domain)
{
    RouteTable table;
    for (const Endpoint &endpoint : config.endpoints()) {
        if (endpoint.kind == EndpointKind::Service && endpoint.service == service.name)
            table.add(endpoint, loads, {0, 1}, 1);
    }
    table.finish(config, loads, domain, {});
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

bool ChainChooser::choose(const RouteTable &table, const LoadView &loads, const RouteQuery &query,
                          Time now, Chain &chain)
{
    for (const RouteTable::VersionGroups &version : table.versions()) {
        if (chooseVersion(version, loads, query, now, chain))
            return true;
    }
    if (query.avoid == NoEndpoint)
        return false;
    RouteQuery anyEndpoint = query;
    anyEndpoint.avoid = NoEndpoint;
    return choose(table, loads, anyEndpoint, now, chain);
}

bool ChainChooser::chooseVersion(const RouteTable::VersionGroups &version, const LoadView &loads,
                                 const RouteQuery &query, Time now, Chain &chain)
{
    static constexpr PickFunction Pickers[] = {
        &ChainChooser::pickDefault,     &ChainChooser::pickRandom,    &ChainChooser::pickRoundRobin,
        &ChainChooser::pickLeastLoaded, &ChainChooser::pickBestOfTwo,
    };
    const PickFunction pick = Pickers[static_cast<std::size_t>(m_settings.policy)];

    // Cheapest way from layer 0 to each boundary. Groups are sorted by first
    // layer, so each boundary is final before a group starts from it.
    m_bestCost.assign(version.layers + 1, Unreached);
    m_bestPick.resize(version.layers + 1);
    m_bestCost[0] = 0;
    for (std::size_t i = 0; i < version.groups.size(); ++i) {
        const RouteTable::Group &group = version.groups[i];
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

bool ChainChooser::traceBack(const RouteTable::VersionGroups &version, Chain &chain) const
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

bool ChainChooser::hasRoom(const Decision &decision, EndpointId id) const
{
    const bool alert = decision.query.priority == Priority::Alert;
    return decision.loads.hasRoom(id, alert ? 0 : decision.query.reservedSlots,
                                  alert ? m_settings.alertOvercommit : 0, decision.now);
}

bool ChainChooser::inTime(const Decision &decision, EndpointId id) const
{
    const auto step = static_cast<double>(decision.loads.state(id).stepTime.count());
    return step * decision.query.tokens <= static_cast<double>(decision.query.timeLeft.count());
}

bool ChainChooser::mayUse(const Decision &decision, EndpointId id) const
{
    return id != decision.query.avoid && decision.loads.usable(id, decision.now)
           && hasRoom(decision, id) && inTime(decision, id);
}

double ChainChooser::cost(const Decision &decision, EndpointId id, bool byAffinity) const
{
    const EndpointState &state = decision.loads.state(id);
    const Duration stepTime =
        state.stepTime > Duration::zero() ? state.stepTime : m_settings.defaultStepTime;
    const double missRate = byAffinity ? 1 - state.prefixHitRate : 1;
    const double prefill = static_cast<double>(m_settings.prefillPerToken.count())
                           * decision.query.promptTokens * missRate / state.speed;
    const double load =
        static_cast<double>(decision.loads.estimatedLoad(id, decision.now)) / state.slots;
    const double compute = (static_cast<double>(stepTime.count()) + prefill) * (1 + load);
    return compute + 2.0 * static_cast<double>(m_latency[id].count());
}

EndpointId ChainChooser::drawByWeight(const RouteTable::Group &group)
{
    std::uniform_real_distribution<double> distribution(0, group.cumulativeWeight.back());
    const auto it = std::upper_bound(group.cumulativeWeight.begin(), group.cumulativeWeight.end(),
                                     distribution(m_random));
    const auto index =
        std::min<std::size_t>(it - group.cumulativeWeight.begin(), group.members.size() - 1);
    return group.members[index];
}

ChainChooser::Pick ChainChooser::scan(const Decision &decision)
{
    const auto &members = decision.group.members;
    const std::size_t offset = m_random() % members.size();
    for (std::size_t i = 0; i < members.size(); ++i) {
        const EndpointId id = members[(offset + i) % members.size()];
        if (mayUse(decision, id))
            return {id, cost(decision, id, false), false};
    }
    // The floor under ejection: when the usable members are all full or gone,
    // at least the given fraction of the group still counts as usable, so
    // that a burst of failures cannot eject the whole fleet.
    std::size_t ejected = 0;
    for (const EndpointId id : members)
        ejected += decision.loads.ejected(id, decision.now) ? 1 : 0;
    const auto allowed = static_cast<std::size_t>(decision.loads.settings().ejectableFraction
                                                  * static_cast<double>(members.size()));
    if (ejected <= allowed)
        return {};
    for (std::size_t i = 0; i < members.size(); ++i) {
        const EndpointId id = members[(offset + i) % members.size()];
        const EndpointState &state = decision.loads.state(id);
        if (id != decision.query.avoid && state.configured && !state.leaving && !state.saidLeaving
            && hasRoom(decision, id))
            return {id, cost(decision, id, false), false};
    }
    return {};
}

ChainChooser::Pick ChainChooser::pickBestOfTwo(const Decision &decision)
{
    Pick best;
    int found = 0;
    for (int attempt = 0; attempt < DrawTries && found < 2; ++attempt) {
        const EndpointId id = drawByWeight(decision.group);
        if (!mayUse(decision, id))
            continue;
        ++found;
        const double expected = cost(decision, id, false);
        if (best.endpoint == NoEndpoint || expected < best.cost)
            best = {id, expected, false};
    }
    return best.endpoint == NoEndpoint ? scan(decision) : best;
}

double ChainChooser::meanLoadRatio(const Decision &decision) const
{
    // A small sample at evenly spaced members is enough for a bound, and
    // keeps the decision's cost independent of the group's size.
    constexpr std::size_t Sample = 8;
    const auto &members = decision.group.members;
    const std::size_t stride = std::max<std::size_t>(1, members.size() / Sample);
    double load = 0;
    double slots = 0;
    for (std::size_t i = 0; i < members.size(); i += stride) {
        load += decision.loads.estimatedLoad(members[i], decision.now);
        slots += decision.loads.state(members[i]).slots;
    }
    return load / slots;
}

ChainChooser::Pick ChainChooser::pickByRing(const Decision &decision) const
{
    const auto &ring = decision.group.ring;
    const double bound = m_settings.affinityOverload * (meanLoadRatio(decision) + 0.1);
    auto it =
        std::lower_bound(ring.begin(), ring.end(),
                         std::pair<std::uint64_t, std::uint32_t> {decision.query.prefixHash, 0});
    EndpointId previous = NoEndpoint;
    for (std::size_t tries = 0, walked = 0; tries < RingTries && walked < ring.size(); ++walked) {
        if (it == ring.end())
            it = ring.begin();
        const EndpointId id = decision.group.members[it->second];
        ++it;
        if (id == previous)
            continue;
        previous = id;
        ++tries;
        const double load = static_cast<double>(decision.loads.estimatedLoad(id, decision.now))
                            / decision.loads.state(id).slots;
        if (mayUse(decision, id) && load <= bound)
            return {id, cost(decision, id, true), true};
    }
    return {};
}

ChainChooser::Pick ChainChooser::pickDefault(const Decision &decision)
{
    const Pick drawn = pickBestOfTwo(decision);
    if (decision.query.prefixHash == 0 || decision.group.layers.begin != 0)
        return drawn;
    const Pick owner = pickByRing(decision);
    if (owner.endpoint == NoEndpoint)
        return drawn;
    // The owner's cost counts the cache hits it has really had, so affinity
    // gives way by itself where caches are too small or events were lost. A
    // pick that costs no more than an ordinary one also keeps caches warm.
    return drawn.endpoint == NoEndpoint || owner.cost <= drawn.cost * m_settings.affinityOverload
               ? owner
               : drawn;
}

ChainChooser::Pick ChainChooser::pickRandom(const Decision &decision)
{
    const auto &members = decision.group.members;
    const EndpointId id = members[m_random() % members.size()];
    return mayUse(decision, id) ? Pick {id, cost(decision, id, false), false} : scan(decision);
}

ChainChooser::Pick ChainChooser::pickRoundRobin(const Decision &decision)
{
    const auto &members = decision.group.members;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const EndpointId id = members[m_roundRobin++ % members.size()];
        if (mayUse(decision, id))
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
        if (load >= least || !mayUse(decision, id))
            continue;
        least = load;
        best = {id, cost(decision, id, false), false};
    }
    return best;
}

} // namespace balsamloft
