#include <balsamloft/connectionrace.h>

#include <algorithm>
#include <utility>

namespace balsamloft {

ConnectionRace::ConnectionRace(EndpointLinks *links, std::string endpoint)
    : m_links(links)
    , m_endpoint(std::move(endpoint))
{
}

ConnectionRace::Attempts ConnectionRace::start(Time now)
{
    m_startedAt = now;
    m_tickedAt = now;
    Attempts attempts;
    if (m_links && m_links->shouldAskPeerAtOnce(m_endpoint, now))
        attempts = askPeer(now);
    if (!attempts.empty() && !m_links->shouldTryDirect(m_endpoint, now))
        return attempts;
    if (m_links)
        m_links->recordDirectAttempt(m_endpoint, now);
    m_directPending = true;
    attempts.emplace_back();
    return attempts;
}

ConnectionRace::Attempts ConnectionRace::askPeer(Time now)
{
    auto peer = m_links ? m_links->choosePeer(m_endpoint, m_askedPeers, now) : std::nullopt;
    if (!peer)
        return {};
    m_askedPeers.insert(peer->name);
    m_pendingPeers.insert(peer->name);
    return {std::move(peer)};
}

void ConnectionRace::recordDirectFailure(ConnectFailure failure, Time now)
{
    m_directFailure = failure;
    if (m_links)
        m_links->recordDirectFailure(m_endpoint, failure, now);
}

ConnectionRace::Attempts ConnectionRace::directFailed(ConnectFailure failure, Time now)
{
    m_directPending = false;
    recordDirectFailure(failure, now);
    return askPeer(now);
}

ConnectionRace::Attempts ConnectionRace::peerFailed(const std::string &peer, PeerFailure failure,
                                                    Time now)
{
    m_pendingPeers.erase(peer);
    if (failure == PeerFailure::Unavailable)
        m_links->recordPeerFailure(peer, now);
    else if (failure != PeerFailure::Declined)
        m_links->recordForwardingFailure(m_endpoint, peer, failure == PeerFailure::Refused, now);
    m_refusals += failure == PeerFailure::Refused ? 1 : 0;
    return askPeer(now);
}

ConnectionRace::Attempts ConnectionRace::tick(Time now)
{
    // A connection that opened meanwhile may still be unnoticed.
    m_startedAt += std::max(Duration {}, now - m_tickedAt - MaxRaceTickInterval);
    m_tickedAt = now;
    const Duration elapsed = now - m_startedAt;
    if (elapsed < ConnectTimeout) {
        const auto asked = static_cast<int>(m_askedPeers.size());
        return elapsed >= AskPeerInterval * (asked + 1) ? askPeer(now) : Attempts {};
    }
    if (std::exchange(m_directPending, false))
        recordDirectFailure(ConnectFailure::TimedOut, now);
    for (const std::string &peer : std::exchange(m_pendingPeers, {}))
        m_links->recordForwardingFailure(m_endpoint, peer, false, now);
    return {};
}

bool ConnectionRace::directOpened(Time now)
{
    return m_links && m_links->recordDirectSuccess(m_endpoint, now);
}

bool ConnectionRace::peerOpened(const std::string &peer, Time now)
{
    if (m_directPending && now - m_startedAt >= AskPeerInterval)
        recordDirectFailure(ConnectFailure::TimedOut, now);
    return m_links->recordForwarded(m_endpoint, peer, now);
}

bool ConnectionRace::isRefused(Time now) const
{
    const bool directRefused = m_directFailure == ConnectFailure::Refused;
    if (!directRefused || !m_links || !m_links->hasPeers())
        return directRefused;
    const bool confirmed = m_askedPeers.empty() ? m_links->isRefusedEverywhere(m_endpoint, now)
                                                : m_refusals == m_askedPeers.size();
    return confirmed && m_links->mayReportCrash(now);
}

} // namespace balsamloft
