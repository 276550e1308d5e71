/// \file
/// The order in which one connection to an endpoint is tried directly and through other instances.

#pragma once

#include <balsamloft/endpointlinks.h>

namespace balsamloft {

/// Time after which opening a connection to an endpoint fails.
inline constexpr Duration ConnectTimeout {200'000};

/// Time without a connection after which a further instance is asked to forward it.
inline constexpr Duration AskPeerInterval {40'000};

/// Longer between two ticks of a race means that the process did not run, or was late.
inline constexpr Duration MaxRaceTickInterval {60'000};

/// Why an instance that was asked did not open a connection.
enum class PeerFailure : std::uint8_t {
    Unavailable, ///< it did not answer, or does not forward now
    NotReached, ///< it does not reach the endpoint
    Declined, ///< the endpoint wants no requests from it now
    Refused, ///< its link works, and no process listens at the endpoint's address
};

/// Races the attempts to open one connection: the first one that opens is used. The direct attempt
/// comes first, unless the link is known to be broken. If it fails, or takes long, other instances
/// are asked in turn. Does no I/O: results and the present time go in, attempts to begin come out.
class ConnectionRace
{
public:
    /// Attempts to begin: through an instance, or directly if there is none.
    using Attempts = std::vector<std::optional<PeerInstance>>;

    /// \a links may be null: then the direct attempt is the only one.
    ConnectionRace(EndpointLinks *links, std::string endpoint);

    // Commands

    Attempts start(Time now);
    Attempts directFailed(ConnectFailure failure, Time now);
    Attempts peerFailed(const std::string &peer, PeerFailure failure, Time now);

    /// Asks another instance, or gives up, when it is time to.
    Attempts tick(Time now);

    /// \return whether the link was broken until now.
    bool directOpened(Time now);

    /// \return whether the link counts as broken from now on, and did not before.
    bool peerOpened(const std::string &peer, Time now);

    // Queries

    /// Whether no attempt is left.
    bool hasFailed() const { return !m_directPending && m_pendingPeers.empty(); }
    bool isDirectPending() const { return m_directPending; }

    /// How the direct attempt failed; empty: it did not, or not yet.
    std::optional<ConnectFailure> directFailure() const { return m_directFailure; }

    /// Whether no process listens at the endpoint's address, as far as this instance and the others
    /// can tell.
    bool isRefused(Time now) const;

private:
    void recordDirectFailure(ConnectFailure failure, Time now);
    Attempts askPeer(Time now);

    EndpointLinks *m_links;
    std::string m_endpoint; ///< id
    Time m_startedAt {}; ///< plus the delays of ticks
    Time m_tickedAt {};
    bool m_directPending = false;
    std::optional<ConnectFailure> m_directFailure;
    std::set<std::string> m_askedPeers;
    std::set<std::string> m_pendingPeers; ///< asked, without a result yet
    std::size_t m_refusals = 0; ///< peers that the endpoint refused
};

} // namespace balsamloft
