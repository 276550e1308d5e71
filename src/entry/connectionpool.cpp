#include "connectionpool.h"

#include "clock.h"
#include "connector.h"
#include "sockets.h"

#include <balsamloft/answerrules.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <charconv>

namespace asio = boost::asio;

namespace balsamloft {

namespace {

constexpr std::size_t MaxIdlePerEndpoint = 32;
/// Most answers that are skipped before the one to the request. Endpoints send at most a few
/// interim answers. Without a limit, an endless series of them would occupy the request until its
/// deadline.
constexpr std::size_t MaxSkippedAnswers = 32;
constexpr Duration KeepAliveMargin {500'000};
/// Of a reason why an answer is none: it may repeat a field of the answer.
constexpr std::size_t MaxReasonBytes = 80;

/// The timeout in the Keep-Alive field of \a head, less a margin.
std::optional<Duration> keepAliveTimeout(const MessageHead &head)
{
    const auto field = head.find("Keep-Alive");
    const std::size_t at = field ? field->find("timeout=") : std::string_view::npos;
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view text = field->substr(at + 8);
    int seconds = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), seconds).ec != std::errc {})
        return std::nullopt;
    return std::max(Duration(seconds * 1'000'000LL) - KeepAliveMargin, Duration(0));
}

/// \a ended: the called process closed the connection in an orderly way.
ConnectionEnd connectionEndOf(const boost::system::error_code &error, bool ended)
{
    if (ended || error == asio::error::eof)
        return ConnectionEnd::Eof;
    if (isReset(error))
        return ConnectionEnd::Reset;
    if (error == asio::error::timed_out)
        return ConnectionEnd::TimedOut;
    return error ? ConnectionEnd::Error : ConnectionEnd::None;
}

} // namespace

void PooledConnection::received(std::size_t count)
{
    if (!channel) {
        unread.append(buffer.data(), count);
        return;
    }
    undecoded.append(buffer.data(), count);
    channel->consumeFrom(undecoded);
    unread += std::exchange(channel->body(), {});
}

std::optional<std::uint64_t> PooledConnection::forwardedBytes() const
{
    const auto field = isEnded() ? channel->trailer(ForwardedBytesField) : std::nullopt;
    std::uint64_t bytes = 0;
    if (!field
        || std::from_chars(field->data(), field->data() + field->size(), bytes).ec != std::errc {})
        return std::nullopt;
    return bytes;
}

bool PooledConnection::isForwarderLost()
{
    return channel && !isEnded() && channel->headDone()
           && channel->head().find(EndpointFailureField).has_value();
}

void PooledConnection::close()
{
    boost::system::error_code ignored;
    socket.close(ignored);
}

ConnectionPool::ConnectionPool(asio::io_context &context)
    : m_context(context)
{
}

PooledConnectionPtr ConnectionPool::take(const std::string &endpoint, Time now)
{
    const auto it = m_idle.find(endpoint);
    // A new connection is needed from time to time to find out that a broken link works again.
    if (m_links && m_links->isBroken(endpoint) && m_links->shouldTryDirect(endpoint, now))
        return nullptr;
    while (it != m_idle.end() && !it->second.empty()) {
        PooledConnectionPtr connection = std::move(it->second.back());
        it->second.pop_back();
        if (mayReuse(*connection, now))
            return connection;
    }
    return nullptr;
}

bool ConnectionPool::mayReuse(PooledConnection &connection, Time now) const
{
    // While a link is broken, direct connections over it may be dead without an error. Once it
    // works, forwarded ones cost needless time.
    if (m_links && connection.isForwarded() == m_links->mayReuseDirect(connection.endpoint, now))
        return false;
    return now - connection.idleSince < connection.idleTimeout && !connection.isEnded()
           && isIdleConnection(connection.socket);
}

void ConnectionPool::put(PooledConnectionPtr connection, Time now)
{
    connection->idleSince = now;
    giveBack(std::move(connection));
}

void ConnectionPool::giveBack(PooledConnectionPtr connection)
{
    auto &idle = m_idle[connection->endpoint];
    if (idle.size() < MaxIdlePerEndpoint)
        idle.push_back(std::move(connection));
}

void ConnectionPool::prune(const FleetSnapshot &fleet, Time now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second, [&](const PooledConnectionPtr &connection) {
            return now - connection->idleSince >= connection->idleTimeout;
        });
        it = it->second.empty() || !fleet.find(it->first) ? m_idle.erase(it) : std::next(it);
    }
}

Exchange::Exchange(ConnectionPool &pool, ExchangeSettings settings, std::string request,
                   std::shared_ptr<const std::string> body)
    : m_pool(pool)
    , m_settings(std::move(settings))
    , m_request(std::move(request))
    , m_body(std::move(body))
{
    resetReader();
}

void Exchange::resetReader()
{
    m_reader.emplace(MessageReader::Kind::Response, m_settings.answerLimits);
    m_headProcessed = false;
    m_incremental = false;
    m_skipsAnswer = false;
}

void Exchange::start(ExchangeHandler &handler, Time now)
{
    m_handler = &handler;
    if (!m_settings.freshConnection)
        m_connection = m_pool.take(m_settings.endpoint, now);
    m_reused = m_connection != nullptr;
    if (m_reused) {
        asio::post(m_pool.context(), [self = shared_from_this()] { self->send(); });
        return;
    }
    connect(now);
}

void Exchange::connect(Time now)
{
    m_connector =
        std::make_shared<Connector>(m_pool, m_settings.endpoint, m_settings.address,
                                    [self = shared_from_this()](PooledConnectionPtr connection) {
                                        self->connected(std::move(connection));
                                    });
    m_connector->start(now);
}

void Exchange::connected(PooledConnectionPtr connection)
{
    const auto connector = std::exchange(m_connector, nullptr);
    if (!connection) {
        m_connectionRefused = connector->isRefused(steadyNow());
        return fail(AttemptFailure::NotSent);
    }
    m_connection = std::move(connection);
    m_connection->idleSince = steadyNow();
    send();
}

void Exchange::tick(Time now)
{
    if (m_connection && !m_requestSent)
        m_requestSent =
            !m_connection->acknowledgment.tick(m_connection->socket, now) && m_requestWritten;
    if (const auto connector = m_connector)
        connector->tick(now);
    if (m_waitsSince && m_handler)
        readIfHeld(now);
}

/// Replaces a connection that ended after it was chosen. A request that is written to it would
/// count as possibly executed. \return whether a new connection is being opened.
bool Exchange::replaceIfEnded()
{
    const Time now = steadyNow();
    if (!m_reused || m_pool.mayReuse(*m_connection, now))
        return false;
    m_connection = m_pool.take(m_settings.endpoint, now);
    m_reused = m_connection != nullptr;
    if (!m_reused)
        connect(now);
    return !m_reused;
}

void Exchange::send()
{
    if (!m_handler || replaceIfEnded())
        return;
    if (!m_handler->maySend())
        return;
    m_forwarded = m_connection->isForwarded();
    if (m_forwarded)
        m_handler->forwardedBy(m_connection->forwardedBy);
    m_mayHaveSent = true;
    const std::array<asio::const_buffer, 2> request {
        asio::buffer(m_request), m_body ? asio::buffer(*m_body) : asio::const_buffer()};
    m_sentBefore = std::exchange(m_connection->sentBytes,
                                 m_connection->sentBytes + asio::buffer_size(request));
    m_pool.writes += 1;
    m_writing = true;
    asio::async_write(m_connection->socket, request,
                      [self = shared_from_this()](const boost::system::error_code &error,
                                                  std::size_t) { self->writeFinished(error); });
    read();
}

void Exchange::writeFinished(const boost::system::error_code &error)
{
    // A write error does not fail the exchange: an endpoint may answer before it has read the
    // complete request, and such an answer is valid.
    m_writing = false;
    m_requestWritten = !error;
    if (m_connection)
        m_connection->firstError.record(error);
}

void Exchange::read()
{
    PooledConnection &connection = *m_connection;
    connection.socket.async_read_some(
        asio::buffer(connection.buffer),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
            self->readFinished(error, count);
        });
}

void Exchange::readFinished(const boost::system::error_code &error, std::size_t count)
{
    if (!m_handler)
        return;
    m_pool.reads += 1;
    m_connection->received(count);
    if (error || m_connection->isEnded() || m_connection->isGarbled())
        return handleEndOfRead(
            m_pool.context(), error, m_writing,
            [self = shared_from_this(), error] { self->connectionEnded(error); });
    process();
    if (m_handler && m_connection)
        readIfHeld(steadyNow());
}

/// The connection has ended, or a forwarded one has been told to have.
void Exchange::connectionEnded(const boost::system::error_code &error)
{
    if (!m_handler)
        return;
    m_connection->firstError.record(error);
    const bool ended =
        m_forwarded ? m_connection->isClosedInOrder() : m_connection->firstError.isOrderlyEnd();
    recordEnd(ended);
    process();
    if (!m_handler)
        return;
    if (ended && !m_reader->started() && wasNotForwarded())
        return fail(AttemptFailure::Withheld);
    // Only an orderly close completes an answer without a length. After a reset, the answer may be
    // truncated, whether the reset was seen by a read or by the write of the request.
    if (ended)
        m_reader->connectionClosed();
    if (m_reader->done() && !m_skipsAnswer)
        return complete();
    m_pool.endedByForwarder += m_endedByForwarder ? 1 : 0;
    fail(failureAtEnd());
}

std::uint64_t Exchange::heldBytes()
{
    const std::uint64_t body = m_incremental ? m_reader->body().capacity() : m_reader->bodyBytes();
    return m_reader->headBytes() + body + m_connection->unread.capacity();
}

/// Reads on if the answer may be held so far, else later.
void Exchange::readIfHeld(Time now)
{
    if (m_handler->mayHold(heldBytes())) {
        m_waitsSince.reset();
        return read();
    }
    if (!m_waitsSince)
        m_waitsSince = now;
    if (now - *m_waitsSince < MaxHoldWait)
        return;
    const auto self = shared_from_this();
    closeConnection();
    std::exchange(m_handler, nullptr)->answerNotHeld();
}

void Exchange::recordEnd(bool ended)
{
    const bool reported = m_connection->isEnded() && !ended;
    m_connectionEnd =
        reported ? ConnectionEnd::Reset : connectionEndOf(m_connection->firstError.code(), ended);
    // An instance of an earlier release passes a reset of the endpoint on, as one of its own.
    m_endedByForwarder =
        m_forwarded && !ended && !reported
        && (m_connectionEnd != ConnectionEnd::Reset || m_connection->isForwarderLost());
}

/// Why the exchange fails when its connection ends within the answer.
AttemptFailure Exchange::failureAtEnd()
{
    if (m_reader->failure() != MessageReader::Failure::None && m_reader->started()) {
        recordInvalid(m_reader->failureReason());
        return AttemptFailure::InvalidAnswer;
    }
    if (!m_connection->isForwarderLost())
        return AttemptFailure::Broken;
    // Otherwise the next attempt might be forwarded by an instance that has ended.
    if (m_pool.links())
        m_pool.links()->recordPeerFailure(m_connection->forwardedBy, steadyNow());
    return AttemptFailure::ForwarderLost;
}

/// Whether the instance that forwards the connection ended it without forwarding the request.
bool Exchange::wasNotForwarded() const
{
    const auto bytes = m_connection->forwardedBytes();
    return bytes && *bytes <= m_sentBefore;
}

bool Exchange::processHead()
{
    MessageHead &head = m_reader->head();
    if (m_pool.links() && !m_forwarded)
        m_pool.links()->recordDirectData(steadyNow());
    const auto echoed = head.find(m_settings.requestIdName);
    m_skipsAnswer = isInterimStatus(static_cast<unsigned>(head.status))
                    || (!m_settings.requestId.empty() && echoed && *echoed != m_settings.requestId);
    if (m_skipsAnswer) {
        if (++m_skippedAnswers <= MaxSkippedAnswers)
            return true;
        failInvalid("too many interim answers, or answers to other requests");
        return false;
    }
    if (const auto idleTimeout = keepAliveTimeout(head))
        m_connection->idleTimeout = *idleTimeout;
    if (const auto coding = head.find("Content-Encoding")) {
        failInvalid("content coding " + std::string(*coding));
        return false;
    }
    m_incremental = m_handler->headReceived(*m_reader);
    return m_handler != nullptr;
}

void Exchange::process()
{
    while (m_handler && !m_connection->unread.empty() && !m_reader->done()) {
        const std::size_t consumed = m_reader->consume(m_connection->unread);
        m_connection->unread.erase(0, consumed);
        if (m_reader->failure() != MessageReader::Failure::None)
            return failInvalid(m_reader->failureReason());
        if (!m_reader->headDone())
            return;
        if (!m_headProcessed) {
            m_headProcessed = true;
            if (!processHead())
                return;
        }
        if (m_skipsAnswer)
            m_reader->body().clear();
        if (m_incremental && !m_skipsAnswer && !m_reader->body().empty())
            m_handler->bodyReceived(*m_reader);
        if (!m_handler)
            return;
        if (m_reader->done()) {
            if (!m_skipsAnswer)
                return complete();
            resetReader();
        } else if (consumed == 0) {
            return;
        }
    }
}

void Exchange::complete()
{
    ExchangeHandler *handler = std::exchange(m_handler, nullptr);
    const auto self = shared_from_this();
    // The connection is not reused if bytes follow the answer, since they belong to no request. It
    // is not reused either if the request was not written completely: the endpoint would parse the
    // next request as the rest of this request.
    const bool reusable = m_connection->unread.empty() && m_requestWritten && m_reader->keepAlive();
    if (reusable && m_connection->socket.is_open() && !m_connection->isEnded())
        m_pool.put(std::move(m_connection), steadyNow());
    else
        closeConnection(); // not destroyed: the write of the request may still use it
    handler->answerReceived(*m_reader);
}

void Exchange::fail(AttemptFailure failure)
{
    ExchangeHandler *handler = std::exchange(m_handler, nullptr);
    if (!handler)
        return;
    const auto self = shared_from_this();
    closeConnection();
    handler->exchangeFailed(m_mayHaveSent ? failure : AttemptFailure::NotSent);
}

void Exchange::recordInvalid(std::string_view reason)
{
    m_invalidReason = reason.substr(0, MaxReasonBytes);
}

void Exchange::failInvalid(std::string_view reason)
{
    recordInvalid(reason);
    fail(AttemptFailure::InvalidAnswer);
}

void Exchange::cancel()
{
    m_handler = nullptr;
    if (m_connection && !m_mayHaveSent)
        m_pool.giveBack(std::move(m_connection));
    closeConnection();
}

void Exchange::closeConnection()
{
    if (const auto connector = std::exchange(m_connector, nullptr))
        connector->cancel();
    if (m_connection)
        m_connection->close();
}

} // namespace balsamloft
