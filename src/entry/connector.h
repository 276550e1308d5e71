/// \file
/// Opens connections to endpoints, directly or forwarded by another instance.

#pragma once

#include "connectionpool.h"

#include <balsamloft/endpointlinks.h>

#include <boost/asio/steady_timer.hpp>

namespace balsamloft {

/// Time after which a connection attempt to an endpoint fails.
inline constexpr Duration ConnectTimeout {200'000};

/// Time without a connection after which a further instance is asked to forward it.
inline constexpr Duration AskPeerInterval {40'000};

/// Opens one connection to an endpoint. The direct connection is tried first, as long as the link
/// is not known to be broken. If it fails, or takes long, other instances are asked in turn, and
/// the first connection that opens is used. The pool's EndpointLinks decide; without them, only the
/// direct connection is tried.
class Connector : public std::enable_shared_from_this<Connector>
{
public:
    /// Receives the connection, or null if none could be opened.
    using Callback = std::function<void(PooledConnectionPtr)>;

    Connector(ConnectionPool &pool, std::string endpoint, std::string address, Callback callback);

    // Commands

    void start(Time now);

    /// Asks another instance, or gives up, when it is time to. To be called regularly if
    /// the pool has EndpointLinks.
    void tick(Time now);

    /// Gives up. The callback is not called.
    void cancel();

    // Queries

    /// Whether no process listens at the endpoint's address, as far as this instance and the others
    /// can tell.
    bool isRefused(Time now) const;

private:
    /// One way to the endpoint.
    struct Attempt
    {
        PooledConnectionPtr connection;
        std::string peer; ///< the instance that forwards; empty: direct
        std::string request; ///< to the peer
        bool late = false; ///< continues although another attempt was faster
        std::optional<boost::asio::steady_timer> timer; ///< limits a late attempt
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    AttemptPtr addAttempt(const std::string &peer);
    bool isPending(const AttemptPtr &attempt) const;
    void connectDirectly();
    void directFinished(const AttemptPtr &attempt, const boost::system::error_code &error);
    void lateDirectFinished(const AttemptPtr &attempt, const boost::system::error_code &error);
    void continueDirect();
    void recordDirectFailure(ConnectFailure failure);
    void recordDirectSuccess();
    bool askPeer(Time now);
    void peerConnected(const AttemptPtr &attempt, const boost::system::error_code &error);
    void readReply(const AttemptPtr &attempt);
    void replyRead(const AttemptPtr &attempt, const boost::system::error_code &error,
                   std::size_t count);
    void opened(const AttemptPtr &attempt);
    void failed(const AttemptPtr &attempt);
    void finish(PooledConnectionPtr connection);

    ConnectionPool &m_pool;
    EndpointLinks *m_links;
    std::string m_endpoint; ///< id
    std::string m_address;
    Callback m_callback;
    std::vector<AttemptPtr> m_pending;
    std::set<std::string> m_askedPeers;
    std::size_t m_refusals = 0; ///< peers that were refused by the endpoint
    bool m_directRefused = false;
    Time m_startedAt {};
};

} // namespace balsamloft
