#include "linkemulator.h"

#include <algorithm>

namespace balsamloft::fakes {

namespace {

constexpr Duration RoundTrip {1'000};
constexpr Duration ConnectTimeout {200'000};
constexpr Duration AskPeerInterval {40'000};
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
            all.push_back(
                {std::to_string(1000 + all.size()), "d" + std::to_string(domain), "", "forward"});
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
    const bool certain = refused && instance.links->mayReportCrash(now);
    return {now + RoundTrip + (refused ? RoundTrip : ForwarderTimeout), peer,
            certain ? Reaction::Refuses : Reaction::Silent};
}

bool LinkEmulator::askPeer(Instance &instance, std::size_t endpoint, std::set<std::string> &asked,
                           Time now, std::vector<Pending> &pending)
{
    const auto chosen = instance.links->choosePeer(endpointName(endpoint), asked, now);
    if (!chosen)
        return false;
    asked.insert(chosen->name);
    pending.push_back(forward(std::stoul(chosen->name) - 1000, endpoint, now));
    return true;
}

void LinkEmulator::open(Instance &instance, std::size_t endpoint, Time now)
{
    EndpointLinks &links = *instance.links;
    const std::string name = endpointName(endpoint);
    instance.counts.tried += 1;
    std::vector<Pending> pending;
    std::set<std::string> asked;
    bool directRefused = false;
    if (links.shouldAskPeerAtOnce(name, now))
        askPeer(instance, endpoint, asked, now, pending);
    if (pending.empty() || links.shouldTryDirect(name, now)) {
        links.recordDirectAttempt(name, now);
        const Reaction reaction = react(instance, endpoint);
        pending.push_back(
            {now + (reaction == Reaction::Silent ? ConnectTimeout : RoundTrip), {}, reaction});
    }
    std::size_t refusals = 0;
    while (!pending.empty()) {
        const auto next =
            std::min_element(pending.begin(), pending.end(),
                             [](const Pending &a, const Pending &b) { return a.at < b.at; });
        const Time askAt = now + AskPeerInterval * static_cast<int>(asked.size() + 1);
        if (askAt < next->at && askAt < now + ConnectTimeout
            && askPeer(instance, endpoint, asked, askAt, pending))
            continue;
        const Pending event = *next;
        pending.erase(next);
        if (event.at >= now + ConnectTimeout) {
            if (!event.peer)
                links.recordDirectFailure(name, ConnectFailure::TimedOut, event.at);
            continue;
        }
        if (event.reaction == Reaction::Opens) {
            const bool directIsSlow = std::any_of(pending.begin(), pending.end(),
                                                  [](const auto &each) { return !each.peer; });
            if (event.peer && directIsSlow && event.at - now >= AskPeerInterval)
                links.recordDirectFailure(name, ConnectFailure::TimedOut, event.at);
            event.peer ? links.recordForwarded(name, m_instances[*event.peer].name, event.at)
                       : links.recordDirectSuccess(name, event.at);
            instance.counts.opened += 1;
            instance.counts.forwarded += event.peer ? 1 : 0;
            return;
        }
        if (event.peer) {
            refusals += event.reaction == Reaction::Refuses ? 1 : 0;
            links.recordForwardingFailure(name, m_instances[*event.peer].name, event.at);
        } else {
            directRefused = true;
            links.recordDirectFailure(name, ConnectFailure::Refused, event.at);
        }
        askPeer(instance, endpoint, asked, event.at, pending);
    }
    const bool confirmed =
        asked.empty() ? links.isUnreachable(name, now) : refusals == asked.size();
    if (directRefused && confirmed && links.mayReportCrash(now) && !m_dead.contains(endpoint))
        instance.counts.reportedCrashes += 1;
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
