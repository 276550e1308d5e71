#include "connector.h"

#include "clock.h"
#include "connectionforwarder.h"
#include "decisionlog.h"
#include "sockets.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <limits>

namespace asio = boost::asio;
using boost::system::error_code;

namespace balsamloft {

namespace {

void closeSocket(PooledConnection &connection)
{
    error_code ignored;
    connection.socket.close(ignored);
}

/// A forwarded connection carries any number of answers in the body of one message.
constexpr MessageLimits ForwardedLimits {16384, std::numeric_limits<std::uint64_t>::max()};

} // namespace

Connector::Connector(ConnectionPool &pool, std::string endpoint, std::string address,
                     Callback callback)
    : m_pool(pool)
    , m_links(pool.links())
    , m_endpoint(std::move(endpoint))
    , m_address(std::move(address))
    , m_callback(std::move(callback))
{
}

void Connector::start(Time now)
{
    m_startedAt = now;
    if (m_links && m_links->shouldAskPeerAtOnce(m_endpoint, now))
        askPeer(now);
    if (m_pending.empty() || !m_links || m_links->shouldTryDirect(m_endpoint, now))
        connectDirectly();
}

Connector::AttemptPtr Connector::addAttempt(const std::string &peer)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->connection = std::make_unique<PooledConnection>(m_pool.context());
    attempt->connection->endpoint = m_endpoint;
    attempt->peer = peer;
    m_pending.push_back(attempt);
    m_pool.opened += 1;
    return attempt;
}

bool Connector::isPending(const AttemptPtr &attempt) const
{
    return std::find(m_pending.begin(), m_pending.end(), attempt) != m_pending.end();
}

// Direct connection

void Connector::connectDirectly()
{
    const auto address = parseTcpEndpoint(m_address);
    if (!address) {
        asio::post(m_pool.context(), [self = shared_from_this()] { self->finish(nullptr); });
        return;
    }
    const AttemptPtr attempt = addAttempt({});
    if (m_links)
        m_links->recordDirectAttempt(m_endpoint, m_startedAt);
    attempt->connection->socket.async_connect(
        *address, [self = shared_from_this(), attempt](const error_code &error) {
            self->directFinished(attempt, error);
        });
}

void Connector::directFinished(const AttemptPtr &attempt, const error_code &error)
{
    if (attempt->late)
        return lateDirectFinished(attempt, error);
    if (!isPending(attempt))
        return;
    if (!error) {
        setSocketOptions(attempt->connection->socket);
        return opened(attempt);
    }
    m_directRefused = error == asio::error::connection_refused;
    recordDirectFailure(m_directRefused ? ConnectFailure::Refused : ConnectFailure::TimedOut);
    failed(attempt);
}

void Connector::recordDirectFailure(ConnectFailure failure)
{
    (failure == ConnectFailure::Refused ? m_pool.refused : m_pool.timedOut) += 1;
    if (m_links)
        m_links->recordDirectFailure(m_endpoint, failure, steadyNow());
}

/// Lets the direct attempt continue after another instance was faster. If it succeeds, the link
/// works again, and the connection is kept for a later request.
void Connector::continueDirect()
{
    for (const AttemptPtr &each : m_pending) {
        if (!each->peer.empty())
            continue;
        each->late = true;
        each->timer.emplace(m_pool.context(), ConnectTimeout);
        each->timer->async_wait([each](const error_code &stopped) {
            if (!stopped && each->connection)
                closeSocket(*each->connection);
        });
    }
}

void Connector::lateDirectFinished(const AttemptPtr &attempt, const error_code &error)
{
    attempt->timer->cancel();
    if (error)
        return;
    setSocketOptions(attempt->connection->socket);
    recordDirectSuccess();
    m_pool.put(std::move(attempt->connection), steadyNow());
}

void Connector::recordDirectSuccess()
{
    if (m_links && m_links->recordDirectSuccess(m_endpoint, steadyNow()))
        logDecision("link", "restored", {{"endpoint", std::string_view(m_endpoint)}});
}

// Connection forwarded by another instance

bool Connector::askPeer(Time now)
{
    const auto peer = m_links->choosePeer(m_endpoint, m_askedPeers, now);
    const auto address = peer ? parseTcpEndpoint(peer->forwardAddress) : std::nullopt;
    if (!address)
        return false;
    m_askedPeers.insert(peer->name);
    const AttemptPtr attempt = addAttempt(peer->name);
    attempt->connection->forwardedBy = peer->name;
    attempt->connection->channel.emplace(MessageReader::Kind::Response, ForwardedLimits);
    attempt->request = forwardingRequest(m_endpoint);
    attempt->connection->socket.async_connect(
        *address, [self = shared_from_this(), attempt](const error_code &error) {
            self->peerConnected(attempt, error);
        });
    return true;
}

void Connector::peerConnected(const AttemptPtr &attempt, const error_code &error)
{
    if (!isPending(attempt))
        return;
    if (error) {
        m_links->recordPeerFailure(attempt->peer, steadyNow());
        return failed(attempt);
    }
    setSocketOptions(attempt->connection->socket);
    // If the write fails, so does the read.
    asio::async_write(attempt->connection->socket, asio::buffer(attempt->request),
                      [self = shared_from_this(), attempt](const error_code &, std::size_t) {});
    readReply(attempt);
}

void Connector::readReply(const AttemptPtr &attempt)
{
    PooledConnection &connection = *attempt->connection;
    connection.socket.async_read_some(
        asio::buffer(connection.buffer),
        [self = shared_from_this(), attempt](const error_code &error, std::size_t count) {
            self->replyRead(attempt, error, count);
        });
}

void Connector::replyRead(const AttemptPtr &attempt, const error_code &error, std::size_t count)
{
    if (!isPending(attempt))
        return;
    PooledConnection &connection = *attempt->connection;
    connection.received(count);
    if (!error && !connection.channel->headDone()
        && connection.channel->failure() == MessageReader::Failure::None)
        return readReply(attempt);
    const int status = connection.channel->headDone() ? connection.channel->head().status : 0;
    if (status == forwarding::Opened)
        return opened(attempt);
    if (status == forwarding::NotReached || status == forwarding::TimedOut)
        m_links->recordForwardingFailure(m_endpoint, attempt->peer, steadyNow());
    else
        m_links->recordPeerFailure(attempt->peer, steadyNow());
    m_refusals += status == forwarding::NotReached ? 1 : 0;
    failed(attempt);
}

// Outcome

void Connector::opened(const AttemptPtr &attempt)
{
    const Time now = steadyNow();
    if (attempt->peer.empty()) {
        recordDirectSuccess();
    } else {
        m_pool.forwarded += 1;
        continueDirect();
        const bool directIsSlow = std::any_of(m_pending.begin(), m_pending.end(),
                                              [](const auto &each) { return each->late; })
                                  && now - m_startedAt >= AskPeerInterval;
        if (directIsSlow)
            recordDirectFailure(ConnectFailure::TimedOut);
        if (m_links->recordForwarded(m_endpoint, attempt->peer, now))
            logDecision("link", "broken",
                        {{"endpoint", std::string_view(m_endpoint)},
                         {"forwarded_by", std::string_view(attempt->peer)}});
    }
    finish(std::move(attempt->connection));
}

void Connector::failed(const AttemptPtr &attempt)
{
    std::erase(m_pending, attempt);
    if (m_links && askPeer(steadyNow()))
        return;
    if (m_pending.empty())
        finish(nullptr);
}

void Connector::tick(Time now)
{
    const Duration elapsed = now - m_startedAt;
    if (elapsed < ConnectTimeout) {
        if (m_links && elapsed >= AskPeerInterval * static_cast<int>(m_askedPeers.size() + 1))
            askPeer(now);
        return;
    }
    for (const AttemptPtr &each : m_pending) {
        if (each->peer.empty())
            recordDirectFailure(ConnectFailure::TimedOut);
        else
            m_links->recordForwardingFailure(m_endpoint, each->peer, now);
    }
    finish(nullptr);
}

void Connector::cancel()
{
    m_callback = nullptr;
    finish(nullptr);
}

void Connector::finish(PooledConnectionPtr connection)
{
    for (const AttemptPtr &each : std::exchange(m_pending, {}))
        if (each->connection && !each->late)
            closeSocket(*each->connection);
    if (const Callback callback = std::exchange(m_callback, nullptr))
        callback(std::move(connection));
}

bool Connector::isRefused(Time now) const
{
    if (!m_directRefused || !m_links || !m_links->hasPeers())
        return m_directRefused;
    const bool confirmed = m_askedPeers.empty() ? m_links->isUnreachable(m_endpoint, now)
                                                : m_refusals == m_askedPeers.size();
    return confirmed && m_links->mayReportCrash(now);
}

} // namespace balsamloft
