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

/// A forwarded connection carries any number of answers in the body of one message.
constexpr MessageLimits ForwardedLimits {16384, std::numeric_limits<std::uint64_t>::max()};

} // namespace

Connector::Connector(ConnectionPool &pool, std::string endpoint, std::string address,
                     Callback callback)
    : m_pool(pool)
    , m_endpoint(std::move(endpoint))
    , m_address(std::move(address))
    , m_callback(std::move(callback))
    , m_race(pool.links(), m_endpoint)
{
}

void Connector::start(Time now)
{
    begin(m_race.start(now));
}

void Connector::tick(Time now)
{
    begin(m_race.tick(now));
}

void Connector::begin(const ConnectionRace::Attempts &attempts)
{
    for (const std::optional<PeerInstance> &peer : attempts)
        peer ? askPeer(*peer) : connectDirectly();
    if (m_race.hasFailed())
        finish(nullptr);
}

Connector::AttemptPtr Connector::addAttempt(const std::string &peer)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->connection = std::make_unique<PooledConnection>(m_pool.context());
    attempt->connection->endpoint = m_endpoint;
    attempt->connection->forwardedBy = peer;
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
        directOpened();
        return finish(std::move(attempt->connection));
    }
    std::erase(m_pending, attempt);
    begin(m_race.directFailed(error == asio::error::connection_refused ? ConnectFailure::Refused
                                                                       : ConnectFailure::TimedOut,
                              steadyNow()));
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
                each->connection->close();
        });
    }
}

void Connector::lateDirectFinished(const AttemptPtr &attempt, const error_code &error)
{
    attempt->timer->cancel();
    if (error)
        return;
    setSocketOptions(attempt->connection->socket);
    directOpened();
    m_pool.put(std::move(attempt->connection), steadyNow());
}

void Connector::directOpened()
{
    if (m_race.directOpened(steadyNow()))
        logDecision("link", "restored", {{"endpoint", std::string_view(m_endpoint)}});
}

// Connection forwarded by another instance

void Connector::askPeer(const PeerInstance &peer)
{
    const AttemptPtr attempt = addAttempt(peer.name);
    const auto address = parseTcpEndpoint(peer.forwardAddress);
    if (!address) {
        asio::post(m_pool.context(), [self = shared_from_this(), attempt] {
            self->peerFailed(attempt, PeerFailure::Unavailable);
        });
        return;
    }
    attempt->connection->channel.emplace(MessageReader::Kind::Response, ForwardedLimits);
    attempt->request = forwardingRequest(m_endpoint);
    attempt->connection->socket.async_connect(
        *address, [self = shared_from_this(), attempt](const error_code &error) {
            self->peerConnected(attempt, error);
        });
}

void Connector::peerConnected(const AttemptPtr &attempt, const error_code &error)
{
    if (error)
        return peerFailed(attempt, PeerFailure::Unavailable);
    if (!isPending(attempt))
        return;
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
    if (!error && !connection.channel->headDone() && !connection.isGarbled())
        return readReply(attempt);
    switch (connection.channel->headDone() ? connection.channel->head().status : 0) {
    case forwarding::Opened:
        return peerOpened(attempt);
    case forwarding::NotReached:
        return peerFailed(attempt, PeerFailure::Refused);
    case forwarding::Declined:
        return peerFailed(attempt, PeerFailure::Declined);
    case forwarding::TimedOut:
        return peerFailed(attempt, PeerFailure::NotReached);
    default:
        return peerFailed(attempt, PeerFailure::Unavailable);
    }
}

void Connector::peerOpened(const AttemptPtr &attempt)
{
    m_pool.forwarded += 1;
    continueDirect();
    if (m_race.peerOpened(attempt->peer, steadyNow()))
        logDecision("link", "broken",
                    {{"endpoint", std::string_view(m_endpoint)},
                     {"forwarded_by", std::string_view(attempt->peer)}});
    finish(std::move(attempt->connection));
}

void Connector::peerFailed(const AttemptPtr &attempt, PeerFailure failure)
{
    if (std::erase(m_pending, attempt) > 0)
        begin(m_race.peerFailed(attempt->peer, failure, steadyNow()));
}

// Outcome

void Connector::cancel()
{
    m_callback = nullptr;
    finish(nullptr);
}

void Connector::finish(PooledConnectionPtr connection)
{
    for (const AttemptPtr &each : std::exchange(m_pending, {}))
        if (each->connection && !each->late)
            each->connection->close();
    if (std::exchange(m_finished, true))
        return;
    if (const auto failure = m_race.directFailure())
        (*failure == ConnectFailure::Refused ? m_pool.refused : m_pool.timedOut) += 1;
    if (const Callback callback = std::exchange(m_callback, nullptr))
        callback(std::move(connection));
}

} // namespace balsamloft
