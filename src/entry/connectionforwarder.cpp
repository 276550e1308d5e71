#include "connectionforwarder.h"

#include "acknowledgmentlimit.h"
#include "clock.h"
#include "connectionerrors.h"
#include "sockets.h"

#include <balsamloft/answerrules.h>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace balsamloft {

namespace {

constexpr std::size_t MaxConnections = 600;
/// What a connection takes: its object, its buffers, and the head of an answer.
constexpr std::uint64_t ConnectionBytes = 32 * 1024;
constexpr Duration EndpointConnectTimeout {100'000};
/// Longer without a tick means that the process was paused.
constexpr Duration MaxTickInterval {1'500'000};
/// An answer that can't be parsed is considered finished after this long without data.
constexpr Duration AnswerPause {2'000'000};

std::string field(std::string_view name, std::string_view value)
{
    return std::string(name).append(": ").append(value).append("\r\n");
}

std::string openedText(bool reportsFailure)
{
    return "HTTP/1.1 " + std::to_string(forwarding::Opened)
           + " OK\r\nTransfer-Encoding: chunked\r\n"
           + (reportsFailure ? field(EndpointFailureField, "reported") : "") + "\r\n";
}

std::string refusedText(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " No\r\nContent-Length: 0\r\n\r\n";
}

std::string lastChunk(std::uint64_t forwardedBytes, bool endpointFailed)
{
    return "0\r\n" + field(ForwardedBytesField, std::to_string(forwardedBytes))
           + (endpointFailed ? field(EndpointFailureField, "1") : "") + "\r\n";
}

} // namespace

std::string forwardingRequest(const std::string &endpoint)
{
    return "CONNECT " + endpoint + " HTTP/1.1\r\nHost: " + endpoint + "\r\n"
           + field(EndpointFailureField, "report") + "\r\n";
}

/// The connection of another instance and the one to the endpoint.
class ConnectionForwarder::Connection : public std::enable_shared_from_this<Connection>,
                                        private ResourceHolder
{
public:
    Connection(ConnectionForwarder &forwarder, tcp::socket instance)
        : m_forwarder(forwarder)
        , m_hold(forwarder.m_resources, ResourceUse::Instance, *this, steadyNow())
        , m_instance(std::move(instance))
        , m_endpoint(forwarder.m_context)
        , m_timer(forwarder.m_context)
    {
    }

    void start()
    {
        const Time now = steadyNow();
        if (!m_hold.openConnection(now) || !m_hold.resize(ConnectionBytes, now))
            return close(false);
        m_hold.setDisplaceable(true);
        setSocketOptions(m_instance);
        readRequest();
    }

    void close(bool orderly)
    {
        error_code ignored;
        // A reset, in place of an orderly close, tells the instance that the answer is truncated.
        if (!orderly)
            m_instance.set_option(asio::socket_base::linger(true, 0), ignored);
        m_instance.close(ignored);
        m_endpoint.close(ignored);
        m_timer.cancel();
        m_forwarder.m_connections.erase(shared_from_this());
    }

    void tick(Time now)
    {
        m_instanceAcknowledgment.tick(m_instance, now);
        if (m_connected)
            m_endpointAcknowledgment.tick(m_endpoint, now);
    }

    /// Ends the connection in an orderly way, and tells how much was forwarded.
    void end()
    {
        if (std::exchange(m_ending, true))
            return;
        error_code ignored;
        m_endpoint.close(ignored);
        if (!m_writing)
            writeEnd();
    }

    /// Whether no request was forwarded, or its answer is complete.
    bool isIdle() const { return !m_awaitsAnswer && (!m_answer || m_answer->done()); }

    /// Whether the instance has closed the connection behind its last bytes, as it does when the
    /// caller of the request has left.
    bool instanceLeft() { return isEndedByPeer(m_instance.native_handle()); }

    bool isDeclined(Time now) const { return !m_forwarder.m_policy.mayForward(m_id, now); }

    /// Whether the instance was told that the connection is open.
    bool isConnected() const { return m_connected; }

    bool isUnfinished(Time now) const
    {
        const bool failed = m_answer && m_answer->failure() != MessageReader::Failure::None;
        return m_ending || m_writing || m_awaitsAnswer
               || (failed ? now - m_answeredAt < AnswerPause : !isIdle());
    }

private:
    /// Ends a connection on which nothing waits for the endpoint.
    void displace() override { m_connected && !m_writing && isIdle() ? end() : close(false); }

    /// Records that the other instance has sent or taken \a count bytes.
    void recordProgress(std::size_t count)
    {
        m_hold.recordProgress(count, steadyNow());
        m_hold.setDisplaceable(m_writing || (isIdle() && !m_ending));
    }

    using Handler = void (Connection::*)(const error_code &, std::size_t);

    /// Wraps \a handler so that it keeps this object alive.
    auto bind(Handler handler)
    {
        return [self = shared_from_this(), handler](const error_code &error, std::size_t count) {
            (*self.*handler)(error, count);
        };
    }

    void readRequest()
    {
        m_instance.async_read_some(asio::buffer(m_toEndpoint), bind(&Connection::requestRead));
    }

    void requestRead(const error_code &error, std::size_t count)
    {
        if (error)
            return close(false);
        recordProgress(count);
        m_unread.append(m_toEndpoint.data(), count);
        m_unread.erase(0, m_request.consume(m_unread));
        if (m_request.failure() != MessageReader::Failure::None)
            return close(false);
        if (!m_request.headDone())
            return readRequest();
        connect();
    }

    void connect()
    {
        m_id = m_request.head().target;
        const FleetEndpoint *endpoint =
            m_forwarder.m_fleet ? m_forwarder.m_fleet->find(m_id) : nullptr;
        const auto address = endpoint ? parseTcpEndpoint(endpoint->address) : std::nullopt;
        if (m_request.head().method != "CONNECT" || !address)
            return refuse(forwarding::NotListed);
        if (m_forwarder.m_stopping || m_forwarder.m_connections.size() > MaxConnections)
            return refuse(forwarding::Unavailable);
        if (isDeclined(steadyNow()))
            return refuse(forwarding::Declined);
        if (m_forwarder.m_links.isBroken(m_id))
            return refuse(forwarding::TimedOut);
        connectTo(*address, &Connection::connected);
    }

    void connectTo(const tcp::endpoint &address, void (Connection::*handler)(const error_code &))
    {
        m_timer.expires_after(EndpointConnectTimeout);
        m_timer.async_wait([self = shared_from_this()](const error_code &stopped) {
            error_code ignored;
            if (!stopped)
                self->m_endpoint.close(ignored);
        });
        m_endpoint.async_connect(address,
                                 [self = shared_from_this(), handler](const error_code &error) {
                                     self->m_timer.cancel();
                                     (*self.*handler)(error);
                                 });
    }

    void recordFailure(const std::string &endpoint, const error_code &error, Time now)
    {
        m_forwarder.m_links.recordDirectFailure(endpoint,
                                                error == asio::error::connection_refused
                                                    ? ConnectFailure::Refused
                                                    : ConnectFailure::TimedOut,
                                                now);
    }

    /// Opens a connection to an endpoint other than the one that refused.
    void tryReference()
    {
        error_code ignored;
        m_endpoint.close(ignored);
        const FleetEndpoint *reference =
            m_forwarder.m_links.chooseReference(*m_forwarder.m_fleet, m_id, m_references);
        const auto address = reference ? parseTcpEndpoint(reference->address) : std::nullopt;
        if (!address)
            return refuse(forwarding::TimedOut);
        m_reference = reference->id;
        m_references.insert(m_reference);
        connectTo(*address, &Connection::referenceConnected);
    }

    void referenceConnected(const error_code &error)
    {
        const Time now = steadyNow();
        if (error) {
            recordFailure(m_reference, error, now);
            return tryReference();
        }
        m_forwarder.m_links.recordDirectSuccess(m_reference, now);
        refuse(m_forwarder.m_links.mayReportCrash(now) ? forwarding::NotReached
                                                       : forwarding::TimedOut);
    }

    void connected(const error_code &error)
    {
        const Time now = steadyNow();
        if (error) {
            recordFailure(m_id, error, now);
            return error == asio::error::connection_refused ? tryReference()
                                                            : refuse(forwarding::TimedOut);
        }
        m_forwarder.m_links.recordDirectSuccess(m_id, now);
        if (m_forwarder.m_stopping)
            return refuse(forwarding::Unavailable);
        if (isDeclined(now))
            return refuse(forwarding::Declined);
        if (instanceLeft())
            return close(false);
        m_connected = true;
        m_forwarder.m_opened += 1;
        setSocketOptions(m_endpoint);
        writeToInstance(openedText(reportsFailure()));
        if (m_unread.empty())
            return readFromInstance();
        m_answer.emplace(MessageReader::Kind::Response, MessageLimits {});
        forward(asio::buffer(m_unread));
    }

    void refuse(int status)
    {
        m_text = refusedText(status);
        asio::async_write(
            m_instance, asio::buffer(m_text),
            [self = shared_from_this()](const error_code &, std::size_t) { self->close(true); });
    }

    void writeToInstance(std::string text)
    {
        m_writing = true;
        m_text = std::move(text);
        m_hold.restartProgress(steadyNow());
        m_hold.setDisplaceable(true);
        asio::async_write(m_instance, asio::buffer(m_text), bind(&Connection::answerWritten));
    }

    void answerWritten(const error_code &error, std::size_t count)
    {
        m_writing = false;
        recordProgress(count);
        if (error)
            return close(false);
        if (m_ending)
            return writeEnd();
        if (m_forwarder.m_stopping && isIdle())
            return end();
        readFromEndpoint();
    }

    // The end: the instance may have sent a request meanwhile. If it lay unread at the close, the
    // system would reset the connection, and the instance would not learn how much was forwarded.

    void writeEnd()
    {
        m_text = lastChunk(m_forwardedBytes, m_endpointFailed);
        asio::async_write(m_instance, asio::buffer(m_text), bind(&Connection::endWritten));
    }

    void endWritten(const error_code &error, std::size_t /*count*/)
    {
        if (error)
            return close(false);
        error_code ignored;
        m_instance.cancel(ignored);
        m_forwarder.m_lingering.add(std::move(m_instance), steadyNow());
        close(true);
    }

    // From the instance to the endpoint

    void readFromInstance()
    {
        m_instance.async_read_some(asio::buffer(m_toEndpoint), bind(&Connection::readInstance));
    }

    void readInstance(const error_code &error, std::size_t count)
    {
        // The end tells how much was forwarded; what is read after its decision is dropped.
        if (m_ending)
            return;
        if (error || instanceLeft())
            return close(false);
        if (isIdle()) {
            if (m_forwarder.m_stopping || m_forwarder.wasPaused() || isDeclined(steadyNow()))
                return end();
            m_answer.emplace(MessageReader::Kind::Response, MessageLimits {});
        }
        forward(asio::buffer(m_toEndpoint.data(), count));
    }

    void forward(asio::const_buffer bytes)
    {
        m_awaitsAnswer = true;
        m_forwarding = true;
        recordProgress(bytes.size());
        m_forwardedBytes += bytes.size();
        asio::async_write(m_endpoint, bytes, bind(&Connection::writtenToEndpoint));
    }

    void writtenToEndpoint(const error_code &error, std::size_t /*count*/)
    {
        m_forwarding = false;
        m_endpointError.record(error);
        // The endpoint may have answered before it closed, so its answer is still read.
        if (!error)
            readFromInstance();
    }

    // From the endpoint to the instance

    void readFromEndpoint()
    {
        m_endpoint.async_read_some(asio::buffer(m_toInstance), bind(&Connection::readEndpoint));
    }

    void readEndpoint(const error_code &error, std::size_t count)
    {
        if (m_ending)
            return;
        if (error)
            return handleEndOfRead(
                m_forwarder.m_context, error, m_forwarding,
                [self = shared_from_this(), error] { self->endpointEnded(error); });
        m_awaitsAnswer = false;
        m_answeredAt = steadyNow();
        const std::string_view bytes(m_toInstance.data(), count);
        readAnswer(bytes);
        std::string chunk;
        appendChunk(bytes, chunk);
        writeToInstance(std::move(chunk));
    }

    void endpointEnded(const error_code &error)
    {
        if (m_ending)
            return;
        m_endpointError.record(error);
        if (m_endpointError.isOrderlyEnd() || isIdle())
            return end();
        endpointFailed();
    }

    /// Any error but a reset is a failure of the link to the endpoint, which is not reported.
    void endpointFailed()
    {
        if (!reportsFailure() || !isReset(m_endpointError.code()))
            return close(false);
        m_endpointFailed = true;
        end();
    }

    /// Whether the instance wants to be told of a failure of the endpoint.
    bool reportsFailure() { return m_request.head().find(EndpointFailureField).has_value(); }

    /// Follows the answer in the bytes of the endpoint. What cannot be parsed is forwarded all the
    /// same.
    void readAnswer(std::string_view bytes)
    {
        if (!m_answer)
            return;
        m_unparsed += bytes;
        do
            readOneAnswer();
        while (beginNextAnswer());
        if (m_answer->done() || m_answer->failure() != MessageReader::Failure::None)
            m_unparsed.clear();
    }

    void readOneAnswer()
    {
        const bool hadHead = m_answer->headDone();
        m_answer->consumeFrom(m_unparsed);
        m_answer->body().clear();
        if (!hadHead && m_answer->headDone() && !isInterim())
            m_forwarder.m_policy.forwardedAnswer(m_id, m_answer->head());
    }

    bool isInterim() { return isInterimStatus(static_cast<unsigned>(m_answer->head().status)); }

    /// Begins the next answer if an interim one is complete, or if bytes follow one: it may have
    /// been to an earlier request. If the connection counted as idle behind such an answer, a reset
    /// in the middle of the next one would be taken for an orderly close, and its part for whole.
    /// \return whether the next answer begins.
    bool beginNextAnswer()
    {
        const bool next = m_answer->done() && (isInterim() || !m_unparsed.empty());
        if (next)
            m_answer.emplace(MessageReader::Kind::Response, MessageLimits {});
        return next;
    }

    ConnectionForwarder &m_forwarder;
    ResourceHold m_hold;
    tcp::socket m_instance;
    tcp::socket m_endpoint;
    AcknowledgmentLimit m_instanceAcknowledgment;
    AcknowledgmentLimit m_endpointAcknowledgment;
    asio::steady_timer m_timer;
    MessageReader m_request {MessageReader::Kind::Request, {}};
    std::string m_id; ///< of the endpoint
    std::string m_reference; ///< id of the endpoint that is tried after a refusal
    std::set<std::string> m_references; ///< all that were tried
    std::string m_unread; ///< bytes for the endpoint that followed the request
    std::optional<MessageReader> m_answer; ///< to the last request
    std::string m_unparsed; ///< received from the endpoint and not yet parsed by `m_answer`
    bool m_connected = false; ///< to the endpoint
    bool m_writing = false; ///< to the instance, before the end
    bool m_ending = false;
    bool m_forwarding = false; ///< bytes are being written to the endpoint
    FirstError m_endpointError;
    bool m_endpointFailed = false; ///< it broke the connection
    std::uint64_t m_forwardedBytes = 0; ///< to the endpoint
    std::string m_text; ///< being written to the instance
    std::array<char, 8192> m_toEndpoint {};
    std::array<char, 8192> m_toInstance {};
    bool m_awaitsAnswer = false; ///< the last bytes came from the instance
    Time m_answeredAt {}; ///< when the endpoint last sent bytes
};

ConnectionForwarder::ConnectionForwarder(asio::io_context &context, EndpointLinks &links,
                                         ForwardingPolicy &policy, ResourceGroupPtr resources)
    : m_context(context)
    , m_links(links)
    , m_policy(policy)
    , m_resources(std::move(resources))
    , m_acceptor(context)
{
}

ConnectionForwarder::~ConnectionForwarder() = default;

bool ConnectionForwarder::listen(const std::string &address, Reason &reason)
{
    if (!listenAt(m_acceptor, address, reason))
        return false;
    m_tickedAt = bootNow();
    accept();
    return true;
}

void ConnectionForwarder::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            auto connection = std::make_shared<Connection>(*this, std::move(socket));
            m_connections.insert(connection);
            connection->start();
        }
        accept();
    });
}

bool ConnectionForwarder::wasPaused() const
{
    return bootNow() - m_tickedAt > MaxTickInterval;
}

void ConnectionForwarder::tick(Time bootTime)
{
    if (wasPaused())
        endAfterPause();
    m_tickedAt = bootTime;
    const Time now = steadyNow();
    m_lingering.tick(now);
    for (const auto &each : m_connections)
        each->tick(now);
}

void ConnectionForwarder::closeDeclined(Time now)
{
    endIdle([now](const Connection &each) { return each.isDeclined(now); });
}

void ConnectionForwarder::stop()
{
    m_stopping = true;
    endIdle([](const Connection &) { return true; });
}

template<typename Condition>
void ConnectionForwarder::endIdle(Condition condition)
{
    for (const auto &each : std::set<std::shared_ptr<Connection>>(m_connections))
        if (each->isConnected() && each->isIdle() && condition(*each))
            each->end();
}

void ConnectionForwarder::endAfterPause()
{
    for (const auto &each : std::set<std::shared_ptr<Connection>>(m_connections))
        if (!each->isConnected())
            each->close(false);
    endIdle([](const Connection &) { return true; });
}

bool ConnectionForwarder::hasUnfinished(Time now) const
{
    return m_lingering.size() > 0
           || std::any_of(m_connections.begin(), m_connections.end(),
                          [now](const auto &each) { return each->isUnfinished(now); });
}

} // namespace balsamloft
