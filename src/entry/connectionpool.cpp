#include "connectionpool.h"

#include "clock.h"
#include "sockets.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <charconv>

namespace asio = boost::asio;

namespace balsamloft {

namespace {

constexpr std::size_t MostIdle = 32; ///< connections for each endpoint
constexpr Duration KeepAliveMargin {500'000};

/// The time that a Keep-Alive field states, less a margin.
std::optional<Duration> statedKeepAlive(const MessageHead &head)
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

} // namespace

ConnectionPool::ConnectionPool(asio::io_context &context)
    : m_context(context)
{
}

PooledConnectionPtr ConnectionPool::take(const std::string &endpoint, Time now)
{
    const auto it = m_idle.find(endpoint);
    while (it != m_idle.end() && !it->second.empty()) {
        PooledConnectionPtr connection = std::move(it->second.back());
        it->second.pop_back();
        if (now - connection->idleSince < connection->keepFor
            && isIdleConnection(connection->socket))
            return connection;
    }
    return nullptr;
}

void ConnectionPool::put(PooledConnectionPtr connection, Time now)
{
    auto &idle = m_idle[connection->endpoint];
    connection->idleSince = now;
    if (idle.size() < MostIdle)
        idle.push_back(std::move(connection));
}

void ConnectionPool::prune(const FleetSnapshot &fleet, Time now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second, [&](const PooledConnectionPtr &connection) {
            return now - connection->idleSince >= connection->keepFor;
        });
        it = it->second.empty() || !fleet.find(it->first) ? m_idle.erase(it) : std::next(it);
    }
}

Exchange::Exchange(ConnectionPool &pool, ExchangeSettings settings, std::string request)
    : m_pool(pool)
    , m_settings(std::move(settings))
    , m_request(std::move(request))
{
    newReader();
}

void Exchange::newReader()
{
    m_reader.emplace(MessageReader::Kind::Response, MessageLimits {});
    m_headSeen = false;
    m_inPieces = false;
    m_skipping = false;
}

void Exchange::start(ExchangeHandler &owner, Time now)
{
    m_owner = &owner;
    if (!m_settings.freshConnection)
        m_connection = m_pool.take(m_settings.endpoint, now);
    if (m_connection) {
        asio::post(m_pool.context(), [self = shared_from_this()] { self->send(); });
        return;
    }
    m_connectingSince = now;
    connect();
}

void Exchange::connect()
{
    const auto address = parseTcpEndpoint(m_settings.address);
    if (!address) {
        asio::post(m_pool.context(),
                   [self = shared_from_this()] { self->fail(AttemptFailure::NotSent); });
        return;
    }
    m_connection = std::make_unique<PooledConnection>(m_pool.context());
    m_connection->endpoint = m_settings.endpoint;
    m_pool.opened += 1;
    m_connection->socket.async_connect(
        *address, [self = shared_from_this()](const boost::system::error_code &error) {
            if (!self->m_owner)
                return;
            self->m_refused = error == asio::error::connection_refused;
            if (error)
                return self->fail(AttemptFailure::NotSent);
            self->m_connectingSince.reset();
            setSocketOptions(self->m_connection->socket);
            self->send();
        });
}

void Exchange::send()
{
    if (!m_owner)
        return;
    if (!m_owner->maySend())
        return;
    m_bytesLeft = true;
    m_pool.writes += 1;
    asio::async_write(m_connection->socket, asio::buffer(m_request),
                      [self = shared_from_this()](const boost::system::error_code &error,
                                                  std::size_t) { self->written(error); });
    read();
}

void Exchange::written(const boost::system::error_code &error)
{
    // An endpoint may answer before it has read all; the answer decides then.
    m_written = !error;
}

void Exchange::read()
{
    PooledConnection &connection = *m_connection;
    connection.socket.async_read_some(
        asio::buffer(connection.buffer),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
            self->arrived(error, count);
        });
}

void Exchange::arrived(const boost::system::error_code &error, std::size_t count)
{
    if (!m_owner)
        return;
    m_pool.reads += 1;
    if (count > 0)
        m_connection->in.append(m_connection->buffer.data(), count);
    if (error) {
        process();
        if (!m_owner)
            return;
        // Only an orderly end completes an answer without a length; a reset
        // may have cut it.
        if (error == asio::error::eof)
            m_reader->ended();
        if (m_reader->done() && !m_skipping)
            return complete();
        return fail(m_reader->failure() == MessageReader::Failure::None || !m_reader->begun()
                        ? AttemptFailure::Broken
                        : AttemptFailure::InvalidAnswer);
    }
    process();
    if (m_owner && m_connection)
        read();
}

bool Exchange::processHead()
{
    MessageHead &head = m_reader->head();
    const auto echoed = head.find(m_settings.requestIdName);
    const bool interim = head.status >= 100 && head.status < 200;
    m_skipping =
        interim || (!m_settings.requestId.empty() && echoed && *echoed != m_settings.requestId);
    if (m_skipping)
        return true;
    if (const auto keepFor = statedKeepAlive(head))
        m_connection->keepFor = *keepFor;
    if (head.find("Content-Encoding")) {
        fail(AttemptFailure::InvalidAnswer);
        return false;
    }
    m_inPieces = m_owner->headReceived(*m_reader);
    return m_owner != nullptr;
}

void Exchange::process()
{
    while (m_owner && !m_connection->in.empty() && !m_reader->done()) {
        const std::size_t taken = m_reader->take(m_connection->in);
        m_connection->in.erase(0, taken);
        if (m_reader->failure() != MessageReader::Failure::None)
            return fail(AttemptFailure::InvalidAnswer);
        if (!m_reader->headDone())
            return;
        if (!m_headSeen) {
            m_headSeen = true;
            if (!processHead())
                return;
        }
        if (m_inPieces && !m_skipping && !m_reader->body().empty())
            m_owner->bodyReceived(*m_reader);
        if (!m_owner)
            return;
        if (m_reader->done()) {
            if (!m_skipping)
                return complete();
            newReader();
        } else if (taken == 0) {
            return;
        }
    }
}

void Exchange::complete()
{
    ExchangeHandler *owner = std::exchange(m_owner, nullptr);
    const auto self = shared_from_this();
    // Bytes beyond the answer belong to no request, and a request that was not
    // read to its end would be continued by the next one.
    const bool clean = m_connection->in.empty() && m_written && m_reader->keepAlive();
    PooledConnectionPtr connection = std::move(m_connection);
    if (clean && connection->socket.is_open())
        m_pool.put(std::move(connection), steadyNow());
    owner->answerReceived(*m_reader);
}

void Exchange::fail(AttemptFailure failure)
{
    ExchangeHandler *owner = std::exchange(m_owner, nullptr);
    if (!owner)
        return;
    const auto self = shared_from_this();
    m_connectingSince.reset();
    if (m_connection) {
        boost::system::error_code ignored;
        m_connection->socket.close(ignored);
    }
    owner->exchangeFailed(m_bytesLeft ? failure : AttemptFailure::NotSent);
}

void Exchange::cancel()
{
    m_owner = nullptr;
    m_connectingSince.reset();
    if (m_connection) {
        boost::system::error_code ignored;
        m_connection->socket.close(ignored);
    }
}

} // namespace balsamloft
