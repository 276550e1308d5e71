#include "linkemulator.h"

#include <balsamloft/connectionrace.h>

#include <algorithm>

namespace balsamloft::fakes {

namespace {

/// Instances are called by numbers of equal length, so that their names are in order.
constexpr std::size_t FirstInstanceNumber = 1000;
constexpr Duration RoundTrip {1'000};
constexpr Duration ForwarderTimeout {100'000};

std::string endpointName(std::size_t endpoint)
{
    return "e" + std::to_string(endpoint);
}

} // namespace

LinkEmulator::LinkEmulator(const LinkFleetSettings &settings)
    : m_random(settings.seed)
    , m_interval(settings.connectionInterval)
    , m_endpoints(settings.endpoints)
{
    std::vector<PeerInstance> all;
    for (std::size_t domain = 0; domain < settings.domains; ++domain)
        for (std::size_t i = 0; i < settings.instancesPerDomain; ++i)
            all.push_back({std::to_string(FirstInstanceNumber + all.size()),
                           "d" + std::to_string(domain), "", "forward"});
    for (std::size_t i = 0; i < m_endpoints; ++i) {
        FleetEndpoint &endpoint = m_fleet.endpoints.emplace_back();
        endpoint.id = endpointName(i);
        endpoint.address = endpoint.id;
        endpoint.domain = "d" + std::to_string(i % settings.domains);
    }
    std::uniform_int_distribution<std::int64_t> phase(0, m_interval.count());
    for (const PeerInstance &each : all) {
        Instance &instance = m_instances.emplace_back();
        instance.name = each.name;
        EndpointLinkSettings links;
        links.seed = m_random();
        instance.links = std::make_unique<EndpointLinks>(each.name, each.domain, links);
        instance.links->setInstances(all);
        instance.nextAt = m_now + Duration(phase(m_random));
    }
}

void LinkEmulator::cut(std::size_t instance, CutLink manner, const std::set<std::size_t> &endpoints)
{
    m_instances[instance].isCut = true;
    m_instances[instance].manner = manner;
    m_instances[instance].cutEndpoints = endpoints;
}

void LinkEmulator::heal(std::size_t instance)
{
    m_instances[instance].isCut = false;
}

LinkEmulator::Reaction LinkEmulator::react(const Instance &instance, std::size_t endpoint) const
{
    const bool cut = instance.isCut
                     && (instance.cutEndpoints.empty() || instance.cutEndpoints.contains(endpoint));
    if (cut)
        return instance.manner == CutLink::Refuses ? Reaction::Refuses : Reaction::Silent;
    return m_dead.contains(endpoint) ? Reaction::Refuses : Reaction::Opens;
}

void LinkEmulator::run(Duration length)
{
    for (Instance &each : m_instances) {
        each.counts = {};
        each.forwardedForOthers = 0;
    }
    const Time end = m_now + length;
    std::uniform_int_distribution<std::size_t> anyEndpoint(0, m_endpoints - 1);
    for (;;) {
        Instance &next = *std::min_element(
            m_instances.begin(), m_instances.end(),
            [](const Instance &a, const Instance &b) { return a.nextAt < b.nextAt; });
        if (next.nextAt >= end)
            break;
        m_now = next.nextAt;
        next.nextAt += m_interval;
        open(next, anyEndpoint(m_random), m_now);
    }
    m_now = end;
}

/// Whether a connection of the instance to another endpoint opens after \a refused refused one.
bool LinkEmulator::provesItsLinks(Instance &instance, std::size_t refused, Time now)
{
    std::set<std::string> tried;
    while (const FleetEndpoint *reference =
               instance.links->chooseReference(m_fleet, endpointName(refused), tried)) {
        tried.insert(reference->id);
        const Reaction reaction = react(instance, std::stoul(reference->id.substr(1)));
        if (reaction == Reaction::Opens) {
            instance.links->recordDirectSuccess(reference->id, now);
            return true;
        }
        instance.links->recordDirectFailure(
            reference->id,
            reaction == Reaction::Refuses ? ConnectFailure::Refused : ConnectFailure::TimedOut,
            now);
    }
    return false;
}

/// Lets a peer open a connection to \a endpoint.
LinkEmulator::Pending LinkEmulator::forward(std::size_t peer, std::size_t endpoint, Time now)
{
    Instance &instance = m_instances[peer];
    const std::string name = endpointName(endpoint);
    if (instance.links->isBroken(name))
        return {now + RoundTrip, peer, Reaction::Silent};
    const Reaction reaction = react(instance, endpoint);
    if (reaction == Reaction::Opens) {
        instance.links->recordDirectSuccess(name, now);
        instance.forwardedForOthers += 1;
        return {now + RoundTrip * 2, peer, reaction};
    }
    const bool refused = reaction == Reaction::Refuses;
    instance.links->recordDirectFailure(
        name, refused ? ConnectFailure::Refused : ConnectFailure::TimedOut, now);
    const bool certain =
        refused && provesItsLinks(instance, endpoint, now) && instance.links->mayReportCrash(now);
    return {now + RoundTrip + (refused ? RoundTrip : ForwarderTimeout), peer,
            certain ? Reaction::Refuses : Reaction::Silent};
}

/// When and how an attempt that begins now will react; nothing if it never does.
std::optional<LinkEmulator::Pending> LinkEmulator::begin(const Instance &instance,
                                                         std::size_t endpoint,
                                                         const std::optional<PeerInstance> &peer,
                                                         Time now)
{
    if (peer)
        return forward(std::stoul(peer->name) - FirstInstanceNumber, endpoint, now);
    const Reaction reaction = react(instance, endpoint);
    return reaction == Reaction::Silent
               ? std::nullopt
               : std::make_optional(Pending {now + RoundTrip, {}, reaction});
}

void LinkEmulator::open(Instance &instance, std::size_t endpoint, Time now)
{
    ConnectionRace race(instance.links.get(), endpointName(endpoint));
    instance.counts.tried += 1;
    std::vector<Pending> pending;
    const auto beginAll = [&](const ConnectionRace::Attempts &attempts, Time at) {
        for (const auto &peer : attempts)
            if (const auto reaction = begin(instance, endpoint, peer, at))
                pending.push_back(*reaction);
    };
    beginAll(race.start(now), now);
    Time nextTick = now + AskPeerInterval;
    while (!race.hasFailed()) {
        const auto next =
            std::min_element(pending.begin(), pending.end(),
                             [](const Pending &a, const Pending &b) { return a.at < b.at; });
        if (next == pending.end() || nextTick <= next->at) {
            beginAll(race.tick(nextTick), nextTick);
            nextTick += AskPeerInterval;
            continue;
        }
        const Pending event = *next;
        pending.erase(next);
        if (event.reaction == Reaction::Opens) {
            if (event.peer)
                race.peerOpened(m_instances[*event.peer].name, event.at);
            else
                race.directOpened(event.at);
            instance.counts.opened += 1;
            instance.counts.forwarded += event.peer ? 1 : 0;
            return;
        }
        const bool refused = event.reaction == Reaction::Refuses;
        beginAll(event.peer ? race.peerFailed(
                     m_instances[*event.peer].name,
                     refused ? PeerFailure::Refused : PeerFailure::NotReached, event.at)
                            : race.directFailed(ConnectFailure::Refused, event.at),
                 event.at);
    }
    if (race.isRefused(now))
        (m_dead.contains(endpoint) ? instance.counts.foundCrashes
                                   : instance.counts.reportedCrashes) += 1;
}

ConnectionCounts LinkEmulator::counts(bool cutInstances) const
{
    ConnectionCounts sum;
    for (const Instance &each : m_instances) {
        if (each.isCut != cutInstances)
            continue;
        sum.tried += each.counts.tried;
        sum.opened += each.counts.opened;
        sum.forwarded += each.counts.forwarded;
        sum.reportedCrashes += each.counts.reportedCrashes;
        sum.foundCrashes += each.counts.foundCrashes;
    }
    return sum;
}

std::size_t LinkEmulator::mostForwardedByOne() const
{
    std::size_t most = 0;
    for (const Instance &each : m_instances)
        most = std::max(most, each.forwardedForOthers);
    return most;
}

std::size_t LinkEmulator::forwardedByAll() const
{
    std::size_t all = 0;
    for (const Instance &each : m_instances)
        all += each.forwardedForOthers;
    return all;
}

} // namespace balsamloft::fakes
