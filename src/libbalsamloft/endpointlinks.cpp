#include <balsamloft/endpointlinks.h>

#include <algorithm>
#include <utility>

namespace balsamloft {

EndpointLinks::EndpointLinks(std::string self, std::string domain, EndpointLinkSettings settings)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_settings(settings)
    , m_random(settings.seed)
{
}

void EndpointLinks::setInstances(std::span<const PeerInstance> instances)
{
    std::vector<Peer> peers;
    for (const PeerInstance &each : instances) {
        if (each.name == m_self || each.forwardAddress.empty())
            continue;
        const Peer *known = findPeer(each.name);
        peers.push_back(known && known->instance == each ? *known : Peer {each, {}, {}});
    }
    std::sort(peers.begin(), peers.end(),
              [](const Peer &a, const Peer &b) { return a.instance.name < b.instance.name; });
    m_peers = std::move(peers);
}

void EndpointLinks::removeUnlisted(const FleetSnapshot &fleet)
{
    for (auto it = m_links.begin(); it != m_links.end();) {
        if (fleet.find(it->first)) {
            ++it;
            continue;
        }
        setBroken(it->second, false);
        it = m_links.erase(it);
    }
}

EndpointLinks::Peer *EndpointLinks::findPeer(const std::string &name)
{
    const auto it = std::lower_bound(
        m_peers.begin(), m_peers.end(), name,
        [](const Peer &peer, const std::string &wanted) { return peer.instance.name < wanted; });
    return it != m_peers.end() && it->instance.name == name ? &*it : nullptr;
}

void EndpointLinks::setBroken(Link &link, bool broken)
{
    if (std::exchange(link.broken, broken) == broken)
        return;
    if (broken) {
        m_brokenCount += 1;
        return;
    }
    m_brokenCount -= 1;
    if (m_brokenCount == 0)
        m_directSuccess.clear();
}

void EndpointLinks::recordDirectAttempt(const std::string &endpoint, Time now)
{
    if (const auto it = m_links.find(endpoint); it != m_links.end())
        it->second.triedAt = now;
}

bool EndpointLinks::recordDirectSuccess(const std::string &endpoint, Time now)
{
    m_directWorkedAt = now;
    if (m_links.empty())
        return false;
    bool wasBroken = false;
    if (const auto it = m_links.find(endpoint); it != m_links.end()) {
        wasBroken = it->second.broken;
        setBroken(it->second, false);
        m_links.erase(it);
    }
    if (m_brokenCount > 0)
        m_directSuccess[endpoint] = now;
    return wasBroken;
}

void EndpointLinks::recordDirectFailure(const std::string &endpoint, ConnectFailure failure,
                                        Time now)
{
    Link &link = m_links[endpoint];
    link.failures += 1;
    link.refused = link.refused || failure == ConnectFailure::Refused;
    link.failedAt = now;
}

bool EndpointLinks::recordForwarded(const std::string &endpoint, const std::string &peer, Time now)
{
    if (Peer *found = findPeer(peer))
        found->succeededAt = now;
    const auto it = m_links.find(endpoint);
    if (it == m_links.end())
        return false;
    Link &link = it->second;
    link.unreachableUntil = {};
    link.refusals = 0;
    // The endpoint is alive, so the peers that did not reach it have broken links of their own.
    for (const std::string &each : std::exchange(link.failedPeers, {}))
        if (each != peer)
            recordPeerFailure(each, now);
    const bool found =
        !link.broken && (link.refused || link.failures >= m_settings.timeoutsUntilBroken);
    if (found) {
        if (m_brokenCount == 0)
            m_brokenSince = now;
        setBroken(link, true);
    }
    if (link.broken)
        m_lastForwardedAt = now;
    return found;
}

void EndpointLinks::recordForwardingFailure(const std::string &endpoint, const std::string &peer,
                                            bool refused, Time now)
{
    Link &link = m_links[endpoint];
    if (link.failedPeers.insert(peer).second && refused)
        link.refusals += 1;
    if (link.failedPeers.size() < std::min(m_settings.maxPeersPerConnection, m_peers.size()))
        return;
    link.unreachableUntil = now + m_settings.unreachablePause;
    link.refusedEverywhere = link.refusals == link.failedPeers.size();
    link.failedPeers.clear();
    link.refusals = 0;
}

const FleetEndpoint *EndpointLinks::chooseReference(const FleetSnapshot &fleet,
                                                    const std::string &refused,
                                                    const std::set<std::string> &tried)
{
    const FleetEndpoint *endpoint = fleet.find(refused);
    if (!endpoint || tried.size() >= m_settings.maxReferences)
        return nullptr;
    std::vector<const FleetEndpoint *> sameDomain;
    std::vector<const FleetEndpoint *> elsewhere;
    for (const FleetEndpoint &each : fleet.endpoints)
        if (!each.draining && each.address != endpoint->address)
            (each.domain == endpoint->domain ? sameDomain : elsewhere).push_back(&each);
    // A domain whose other endpoints fail too is no domain without others: it may be cut off.
    std::vector<const FleetEndpoint *> &candidates = sameDomain.empty() ? elsewhere : sameDomain;
    std::erase_if(candidates, [&](const FleetEndpoint *each) {
        return m_links.contains(each->id) || tried.contains(each->id);
    });
    if (candidates.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    return candidates[any(m_random)];
}

void EndpointLinks::recordPeerFailure(const std::string &peer, Time now)
{
    if (Peer *found = findPeer(peer))
        found->failedAt = now;
}

bool EndpointLinks::isPreferred(const Peer &peer, Time now) const
{
    return peer.succeededAt != Time {} && peer.succeededAt > peer.failedAt
           && now - peer.succeededAt < m_settings.peerSuccessLifetime;
}

bool EndpointLinks::isAvoided(const Peer &peer, Time now) const
{
    return peer.failedAt != Time {} && peer.failedAt >= peer.succeededAt
           && now - peer.failedAt < m_settings.peerFailureLifetime;
}

const EndpointLinks::Peer *EndpointLinks::randomPeer(const Peers &peers)
{
    if (peers.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
    return peers[any(m_random)];
}

/// Sorts the peers that may be asked for \a endpoint by what is known of them.
EndpointLinks::Candidates EndpointLinks::candidates(const std::string &endpoint,
                                                    const std::set<std::string> &tried,
                                                    Time now) const
{
    const auto link = m_links.find(endpoint);
    const auto failedHere = [&](const std::string &peer) {
        return tried.contains(peer)
               || (link != m_links.end() && link->second.failedPeers.contains(peer));
    };
    Candidates result;
    for (const Peer &each : m_peers) {
        const bool own = each.instance.domain == m_domain;
        if (failedHere(each.instance.name) || isAvoided(each, now)) {
            result.ownFailures += own ? 1 : 0;
            continue;
        }
        if (!isPreferred(each, now)) {
            (own ? result.untestedOwn : result.untestedElsewhere).push_back(&each);
            continue;
        }
        result.working.push_back(&each);
        if (own)
            result.workingOwn.push_back(&each);
    }
    return result;
}

std::optional<PeerInstance> EndpointLinks::choosePeer(const std::string &endpoint,
                                                      const std::set<std::string> &tried, Time now)
{
    if (tried.size() >= m_settings.maxPeersPerConnection || isUnreachable(endpoint, now))
        return std::nullopt;
    const Candidates all = candidates(endpoint, tried, now);
    // A domain with few instances left would be overloaded if it helped all its others alone.
    const bool ownSuffices = all.workingOwn.size() >= m_settings.minOwnPeers;
    const bool ownFails = all.ownFailures >= m_settings.failuresUntilOtherDomains;
    const bool beyondDomain =
        !ownSuffices && (all.untestedOwn.empty() || !all.workingOwn.empty() || ownFails);
    const auto &working = ownSuffices ? all.workingOwn : all.working;
    const auto &untested =
        beyondDomain && !all.untestedElsewhere.empty() ? all.untestedElsewhere : all.untestedOwn;
    const bool explore = working.size() < m_settings.maxPreferredPeers && !untested.empty()
                         && std::bernoulli_distribution(m_settings.exploreShare)(m_random);
    const Peer *chosen = randomPeer(working.empty() || explore ? untested : working);
    return chosen ? std::make_optional(chosen->instance) : std::nullopt;
}

bool EndpointLinks::isBroken(const std::string &endpoint) const
{
    const auto it = m_links.find(endpoint);
    return it != m_links.end() && it->second.broken;
}

bool EndpointLinks::isUnreachable(const std::string &endpoint, Time now) const
{
    const auto it = m_links.find(endpoint);
    return it != m_links.end() && now < it->second.unreachableUntil;
}

bool EndpointLinks::isRefusedEverywhere(const std::string &endpoint, Time now) const
{
    const auto it = m_links.find(endpoint);
    return it != m_links.end() && now < it->second.unreachableUntil && it->second.refusedEverywhere;
}

bool EndpointLinks::inDoubt(Time now) const
{
    return m_brokenCount >= m_settings.brokenUntilDoubt
           && now - m_lastForwardedAt < m_settings.doubtDuration;
}

bool EndpointLinks::shouldTryDirect(const std::string &endpoint, Time now) const
{
    const auto it = m_links.find(endpoint);
    return it == m_links.end() || !it->second.broken
           || now - it->second.triedAt >= m_settings.directRetryInterval;
}

bool EndpointLinks::mayReuseDirect(const std::string &endpoint, Time now) const
{
    if (m_brokenCount == 0)
        return true;
    if (isBroken(endpoint))
        return false;
    const auto it = m_directSuccess.find(endpoint);
    return !inDoubt(now) || (it != m_directSuccess.end() && it->second >= m_brokenSince);
}

bool EndpointLinks::shouldAskPeerAtOnce(const std::string &endpoint, Time now) const
{
    return !mayReuseDirect(endpoint, now);
}

bool EndpointLinks::mayReportCrash(Time now) const
{
    if (m_brokenCount > 0 && now - m_lastForwardedAt < m_settings.doubtDuration)
        return false;
    const auto failed = std::count_if(m_links.begin(), m_links.end(), [&](const auto &each) {
        return each.second.failedAt > m_directWorkedAt
               && now - each.second.failedAt < m_settings.doubtDuration;
    });
    return static_cast<std::size_t>(failed) < m_settings.failuresUntilDoubt;
}

} // namespace balsamloft
