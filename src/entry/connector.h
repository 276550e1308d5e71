/// \file
/// Opens connections to endpoints, directly or forwarded by another instance.

#pragma once

#include "connectionpool.h"

#include <balsamloft/connectionrace.h>

#include <boost/asio/steady_timer.hpp>

namespace balsamloft {

/// Opens one connection to an endpoint: makes the attempts that a ConnectionRace asks for. The
/// pool's EndpointLinks decide; without them, the connection is direct.
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

    /// Whether the endpoint refuses connections, see ConnectionRace::isRefused().
    bool isRefused(Time now) const { return m_race.isRefused(now); }

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

    void begin(const ConnectionRace::Attempts &attempts);
    AttemptPtr addAttempt(const std::string &peer);
    bool isPending(const AttemptPtr &attempt) const;
    void connectDirectly();
    void directFinished(const AttemptPtr &attempt, const boost::system::error_code &error);
    void lateDirectFinished(const AttemptPtr &attempt, const boost::system::error_code &error);
    void continueDirect();
    void directOpened();
    void askPeer(const PeerInstance &peer);
    void peerConnected(const AttemptPtr &attempt, const boost::system::error_code &error);
    void readReply(const AttemptPtr &attempt);
    void replyRead(const AttemptPtr &attempt, const boost::system::error_code &error,
                   std::size_t count);
    void peerOpened(const AttemptPtr &attempt);
    void peerFailed(const AttemptPtr &attempt, PeerFailure failure);
    void finish(PooledConnectionPtr connection);

    ConnectionPool &m_pool;
    std::string m_endpoint; ///< id
    std::string m_address;
    Callback m_callback;
    ConnectionRace m_race;
    std::vector<AttemptPtr> m_pending;
    bool m_finished = false;
};

} // namespace balsamloft
