#include <balsamloft/connectionuse.h>
#include <balsamloft/httprequest.h>
#include <balsamloft/httpserver.h>
#include <balsamloft/lingeringconnections.h>
#include <balsamloft/socketstate.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <unordered_set>
#include <vector>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace balsamloft {

namespace {

/// Interval in which connections are checked for their end, and the longest time that a server
/// does not listen after it has caught up.
constexpr Duration TickInterval {100'000};

constexpr std::size_t MaxReadSize = 65536;

/// Interval in which a caller is asked whether it left while bytes of its next request wait: the
/// system reports the connection as readable then, whether it was closed or not.
constexpr Duration PipelinedCheckInterval {100'000};

/// What a connection takes with an ordinary request and answer: its object, its buffers, and what
/// the system keeps of it.
constexpr std::uint64_t ConnectionBytes = 16 * 1024;
/// Larger bodies and answers are held in addition.
constexpr std::uint64_t OrdinaryBytes = 4 * 1024;
/// A handler that parses a body keeps its content besides.
constexpr std::uint64_t CopiesOfBody = 2;
constexpr std::chrono::seconds RetryAfterUnheld =
    std::chrono::duration_cast<std::chrono::seconds>(StallTime);

/// The answer to a request that was not executed, and never will be.
HttpResponse refusal(http::status status, std::string_view code, std::string_view message,
                     std::chrono::seconds retryAfter = {})
{
    std::string body = R"({"error":{"code":")";
    body.append(code).append(R"(","message":")").append(message);
    body.append(R"(","ran":"no","retry_after_ms":)");
    body += std::to_string(std::chrono::milliseconds(retryAfter).count()) + "}}";
    HttpResponse response = jsonResponse(status, std::move(body));
    if (retryAfter.count() > 0)
        response.set(http::field::retry_after, std::to_string(retryAfter.count()));
    return response;
}

/// Replaces the content of an answer that can't be held; its fields, such as the id of the request,
/// stay.
void replaceContent(HttpResponse &response)
{
    response.result(http::status::bad_gateway);
    response.set(http::field::content_type, "application/json");
    response.body() =
        R"({"error":{"code":"answer_too_large","message":"the answer does not fit beside what the )"
        R"(instance holds","ran":"unknown","retry_after_ms":0}})";
}

} // namespace

struct HttpServer::Shared
{
    explicit Shared(const HttpServerSettings &serverSettings)
        : settings(serverSettings)
        , resources(std::make_shared<ResourceGroup>(settings.resources))
    {
    }

    HttpServerSettings settings;
    ResourceGroupPtr resources;
    HttpHandler handler;
    HttpHeadCheck headCheck;
    ServerPhase phase = ServerPhase::Serving;
    Time closingSince {};
    std::unordered_set<Session *> sessions;
    LingeringConnections lingering;
    bool closed = false;
    CallerCounts counts;

    CallerTimeouts timeouts() const
    {
        return {.request = settings.requestTimeout, .idle = settings.requestTimeout};
    }
};

/// One connection. Handles its requests one after another.
class HttpServer::Session : public std::enable_shared_from_this<HttpServer::Session>,
                            private ConnectionProbe,
                            private ResourceHolder
{
public:
    Session(tcp::socket socket, std::shared_ptr<Shared> shared)
        : m_stream(std::move(socket))
        , m_watchTimer(m_stream.get_executor())
        , m_shared(std::move(shared))
        , m_use(steadyNow(), m_shared->settings.requestTimeout)
        , m_hold(m_shared->resources, m_shared->settings.use, *this, steadyNow())
        , m_answerHold(m_shared->resources, answerUse(m_shared->settings.use), *this, steadyNow())
    {
        m_shared->sessions.insert(this);
    }

    ~Session() override { m_shared->sessions.erase(this); }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// Begins to read, unless there are too many connections; then the caller is refused.
    void start();
    void readRequest();

    bool isDue(Time now) const { return step(now) != ConnectionStep::Keep; }

    /// Ends the connection, or refuses its incomplete request, if ConnectionUse says so.
    void takeStep(Time now);

    /// Closes the connection at once: the caller has left, or the connection is broken.
    void close(CloseCause cause);
    void giveUp();

    // Called by Exchange.
    const HttpRequest &request() const { return m_parser->get(); }
    void respond(HttpResponse response);
    void beginStream(HttpResponse response);
    bool write(std::string_view data);
    void endStream();
    bool callerLeft()
    {
        return m_callerClosed || m_closed || isEndedByPeer(m_stream.socket().native_handle());
    }
    void setCallerGoneCallback(std::function<void()> callback)
    {
        m_callerGoneCallback = std::move(callback);
    }

private:
    enum class Phase : std::uint8_t { Reading, Waiting, Responding, Streaming };

    static ResourceUse answerUse(ResourceUse use)
    {
        return use == ResourceUse::Request ? ResourceUse::Answer : use;
    }
    void displace() override;
    bool holdRequest(Time now);
    bool holdAnswer(std::uint64_t bytes);
    void refuseUnheld();
    void dropReader();
    void updateDisplaceable();
    bool hasUnreadBytes() const override
    {
        return balsamloft::hasUnreadBytes(m_stream.socket().native_handle());
    }
    ConnectionStep step(Time now) const
    {
        return m_use.step(m_shared->phase, m_shared->timeouts(), *this, now);
    }
    void refuseIncomplete();
    void read();
    void onReadable(beast::error_code error);
    void parse();
    void onRequestRead();
    void rejectMalformed(beast::error_code error);
    void refuse(HttpResponse response);
    void writeResponse();
    void onResponseWritten(beast::error_code error, std::size_t size);
    void announceCloseIfStopping();
    void watchCaller();
    void watchPipeliningCaller();
    void notifyCallerGone();
    void flush();
    void onWritten(beast::error_code error);
    void onAnswerComplete();
    void recordClose(CloseCause cause);
    /// Ends the connection in a way that loses no answer.
    void end(CloseCause cause);
    void leaveServer(CloseCause cause);
    void startWriteTimeout() { m_stream.expires_after(m_shared->settings.writeTimeout); }

    /// Its timer applies to writes only. Mutable since queries need the native handle, which a
    /// const socket does not have.
    mutable beast::tcp_stream m_stream;
    asio::steady_timer m_watchTimer; ///< while bytes of the caller's next request wait
    std::shared_ptr<Shared> m_shared;
    ConnectionUse m_use;
    ResourceHold m_hold; ///< of the connection and the request
    ResourceHold m_answerHold;
    std::uint64_t m_headBytes = 0;
    bool m_headChecked = false;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::optional<HttpResponse> m_response;
    std::optional<http::response_serializer<http::string_body>> m_serializer;
    std::function<void()> m_callerGoneCallback;
    std::string m_pending; ///< stream data to send after the active write
    std::string m_writing;
    Phase m_phase = Phase::Reading;
    bool m_writeActive = false;
    bool m_streamEnded = false;
    bool m_lastChunkSent = false;
    bool m_watchingCaller = false;
    bool m_callerClosed = false;
    bool m_closed = false;
};

/// Handle of a request that is passed to the handler. Keeps the session alive, and closes the
/// connection if it is destroyed without an answer.
class HttpServer::Exchange : public HttpExchange
{
public:
    explicit Exchange(std::shared_ptr<Session> session)
        : m_session(std::move(session))
    {
    }
    ~Exchange() override
    {
        // Without closing, the caller would wait forever for an answer.
        if (!m_answered)
            m_session->giveUp();
    }
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    const HttpRequest &request() const override { return m_session->request(); }
    void respond(HttpResponse response) override
    {
        if (m_answered)
            return;
        m_answered = true;
        m_session->respond(std::move(response));
    }
    void beginStream(HttpResponse response) override
    {
        m_session->beginStream(std::move(response));
    }
    bool write(std::string_view data) override { return m_session->write(data); }
    void endStream() override
    {
        m_answered = true;
        m_session->endStream();
    }
    void abort() override
    {
        m_answered = true;
        m_session->giveUp();
    }
    void onCallerGone(std::function<void()> callback) override
    {
        m_session->setCallerGoneCallback(std::move(callback));
    }
    bool callerLeft() override { return m_session->callerLeft(); }

private:
    std::shared_ptr<Session> m_session;
    bool m_answered = false;
};

void HttpServer::Session::start()
{
    const Time now = steadyNow();
    if (!m_hold.openConnection(now) || !m_hold.resize(ConnectionBytes, now))
        return refuseUnheld();
    readRequest();
}

/// Holds what the request takes so far, and will take if its length is known.
bool HttpServer::Session::holdRequest(Time now)
{
    const std::uint64_t body = std::max<std::uint64_t>(m_parser->get().body().capacity(),
                                                       m_parser->content_length().value_or(0));
    const std::uint64_t bytes =
        m_headBytes + m_buffer.capacity() + (m_parser->is_header_done() ? CopiesOfBody * body : 0);
    return m_hold.growTo(ConnectionBytes + (bytes > OrdinaryBytes ? bytes : 0), now);
}

bool HttpServer::Session::holdAnswer(std::uint64_t bytes)
{
    return m_answerHold.resize(bytes > OrdinaryBytes ? bytes : 0, steadyNow());
}

void HttpServer::Session::refuseUnheld()
{
    refuse(refusal(http::status::service_unavailable, "overloaded",
                   "the instance holds as much as it can", RetryAfterUnheld));
}

void HttpServer::Session::updateDisplaceable()
{
    // Progress is up to the caller unless the request is with its handler.
    const bool displaceable = m_phase == Phase::Reading || m_phase == Phase::Responding
                              || (m_phase == Phase::Streaming && m_writeActive);
    m_hold.setDisplaceable(displaceable);
    m_answerHold.setDisplaceable(displaceable);
}

/// Makes room for another caller, since this one made least progress.
void HttpServer::Session::displace()
{
    const auto self = shared_from_this();
    if (m_closed)
        return;
    if (m_phase != Phase::Reading)
        return dropReader();
    if (!m_use.isIncomplete())
        return end(CloseCause::MadeRoom);
    beast::error_code ignored;
    m_stream.socket().cancel(ignored);
    refuseUnheld();
}

/// Closes the connection of a caller that does not read its answer.
void HttpServer::Session::dropReader()
{
    // Otherwise the system would keep what was written.
    beast::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    notifyCallerGone();
    close(CloseCause::MadeRoom);
}

void HttpServer::Session::readRequest()
{
    m_phase = Phase::Reading;
    m_headBytes = 0;
    m_headChecked = false;
    if (m_hold.bytes() > ConnectionBytes)
        m_hold.resize(ConnectionBytes, steadyNow());
    holdAnswer(0);
    m_hold.restartProgress(steadyNow());
    updateDisplaceable();
    m_callerGoneCallback = nullptr;
    m_response.reset();
    m_serializer.reset();
    m_streamEnded = m_lastChunkSent = false;
    m_parser.emplace();
    m_parser->header_limit(m_shared->settings.maxHeaderBytes);
    m_parser->body_limit(m_shared->settings.maxBodyBytes);
    m_parser->eager(true);
    if (m_buffer.size() > 0)
        return parse();
    read();
}

void HttpServer::Session::read()
{
    // The bytes stay in the system until they are handled, so that hasUnreadBytes() sees them.
    m_stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](beast::error_code error) { self->onReadable(error); });
}

void HttpServer::Session::onReadable(beast::error_code error)
{
    if (m_closed || m_phase != Phase::Reading)
        return;
    std::size_t size = 0;
    if (!error)
        size = m_stream.socket().read_some(
            m_buffer.prepare(beast::read_size(m_buffer, MaxReadSize)), error);
    if (error == asio::error::would_block)
        return read();
    if (error)
        return close(CloseCause::CallerEnded);
    m_buffer.commit(size);
    m_hold.recordProgress(size, steadyNow());
    // Later bytes do not count, since a caller that sends slowly must not hold its connection
    // forever.
    if (!m_parser->got_some())
        m_use.bytesRead(steadyNow());
    parse();
}

void HttpServer::Session::parse()
{
    m_use.requestBegun();
    beast::error_code error;
    const std::size_t parsed = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(parsed);
    if (!m_headChecked)
        m_headBytes += parsed;
    if (error && error != http::error::need_more)
        return rejectMalformed(error);
    if (!holdRequest(steadyNow()))
        return refuseUnheld();
    if (m_parser->is_header_done() && !std::exchange(m_headChecked, true) && m_shared->headCheck
        && !m_parser->is_done())
        if (auto refused = m_shared->headCheck(m_parser->get()))
            return refuse(std::move(*refused));
    if (!m_parser->is_done())
        return read();
    onRequestRead();
}

void HttpServer::Session::onRequestRead()
{
    m_use.requestRead();
    m_shared->counts.requestRead();
    if (!m_parser->get().keep_alive())
        m_use.announceClose();
    m_phase = Phase::Waiting;
    updateDisplaceable();
    auto exchange = std::make_shared<Exchange>(shared_from_this());
    m_shared->handler(std::move(exchange));
    watchCaller();
}

void HttpServer::Session::rejectMalformed(beast::error_code error)
{
    if (error == http::error::header_limit)
        return refuse(refusal(http::status::request_header_fields_too_large, "headers_too_large",
                              "the headers are larger than the limit"));
    if (error == http::error::body_limit)
        return refuse(refusal(http::status::payload_too_large, "body_too_large",
                              "the body is larger than the limit"));
    refuse(refusal(http::status::bad_request, "malformed_request", "not a valid HTTP request"));
}

/// Answers a request that was not read completely, and ends the connection.
void HttpServer::Session::refuse(HttpResponse response)
{
    m_use.requestRead();
    m_use.announceClose();
    m_shared->counts.requestRead();
    // What was read of it is of no use any more.
    m_buffer = {};
    m_parser.emplace();
    if (m_hold.bytes() > ConnectionBytes)
        m_hold.resize(ConnectionBytes, steadyNow());
    respond(std::move(response));
}

void HttpServer::Session::watchCaller()
{
    if (m_watchingCaller || m_callerClosed || m_phase == Phase::Reading)
        return;
    m_watchingCaller = true;
    m_stream.socket().async_wait(
        tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
            self->m_watchingCaller = false;
            if (error || self->m_closed || self->m_phase == Phase::Reading)
                return;
            char byte = 0;
            beast::error_code peekError;
            const std::size_t size = self->m_stream.socket().receive(
                asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
            if (!peekError && size > 0)
                return self->watchPipeliningCaller();
            if (peekError == asio::error::would_block)
                return self->watchCaller();
            self->m_callerClosed = true;
            self->notifyCallerGone();
        });
}

void HttpServer::Session::watchPipeliningCaller()
{
    if (isEndedByPeer(m_stream.socket().native_handle())) {
        m_callerClosed = true;
        return notifyCallerGone();
    }
    m_watchingCaller = true;
    m_watchTimer.expires_after(PipelinedCheckInterval);
    m_watchTimer.async_wait([self = shared_from_this()](beast::error_code error) {
        self->m_watchingCaller = false;
        if (!error && !self->m_closed)
            self->watchCaller();
    });
}

void HttpServer::Session::notifyCallerGone()
{
    m_use.announceClose();
    if (const auto callback = std::exchange(m_callerGoneCallback, nullptr))
        callback();
}

void HttpServer::Session::respond(HttpResponse response)
{
    if (m_closed || m_phase == Phase::Streaming || m_phase == Phase::Responding)
        return;
    m_phase = Phase::Responding;
    if (!m_hold.isReleased() && !holdAnswer(response.body().capacity()))
        replaceContent(response);
    announceCloseIfStopping();
    response.keep_alive(!m_use.closeAnnounced());
    response.prepare_payload();
    m_response.emplace(std::move(response));
    m_serializer.emplace(*m_response);
    startWriteTimeout();
    const Time now = steadyNow();
    m_hold.restartProgress(now);
    m_answerHold.restartProgress(now);
    updateDisplaceable();
    writeResponse();
}

/// Writes in parts, so that the progress of a slow reader is seen.
void HttpServer::Session::writeResponse()
{
    http::async_write_some(m_stream, *m_serializer,
                           [self = shared_from_this()](beast::error_code error, std::size_t size) {
                               self->onResponseWritten(error, size);
                           });
}

void HttpServer::Session::onResponseWritten(beast::error_code error, std::size_t size)
{
    if (error)
        return close(CloseCause::WriteFailed);
    if (m_closed)
        return;
    m_hold.recordProgress(size, steadyNow());
    m_answerHold.recordProgress(size, steadyNow());
    m_serializer->is_done() ? onAnswerComplete() : writeResponse();
}

void HttpServer::Session::announceCloseIfStopping()
{
    // A caller that always has further requests under way must not hold up the stop forever.
    const bool overdue = m_shared->phase == ServerPhase::Closing
                         && steadyNow() - m_shared->closingSince >= m_shared->timeouts().idle;
    if (overdue || m_use.shouldAnnounceClose(m_shared->phase, m_buffer.size() > 0, *this))
        m_use.announceClose();
}

void HttpServer::Session::beginStream(HttpResponse response)
{
    if (m_closed || m_phase != Phase::Waiting)
        return;
    m_phase = Phase::Streaming;
    announceCloseIfStopping();
    response.keep_alive(!m_use.closeAnnounced());
    response.chunked(true);
    m_response.emplace(std::move(response));
    m_serializer.emplace(*m_response);
    m_writeActive = true;
    startWriteTimeout();
    http::async_write_header(m_stream, *m_serializer,
                             [self = shared_from_this()](beast::error_code error, std::size_t) {
                                 self->onWritten(error);
                             });
}

bool HttpServer::Session::write(std::string_view data)
{
    if (m_closed || m_phase != Phase::Streaming || m_streamEnded)
        return false;
    if (m_pending.size() + data.size() > m_shared->settings.maxBufferedBytes) {
        end(CloseCause::WriteFailed);
        return false;
    }
    m_pending.append(data);
    if (!holdAnswer(m_pending.capacity() + m_writing.capacity())) {
        dropReader();
        return false;
    }
    flush();
    return true;
}

void HttpServer::Session::endStream()
{
    if (m_phase != Phase::Streaming)
        return;
    m_streamEnded = true;
    flush();
}

void HttpServer::Session::flush()
{
    if (m_writeActive || m_closed)
        return;
    const auto done = [self = shared_from_this()](beast::error_code error, std::size_t) {
        self->onWritten(error);
    };
    if (!m_pending.empty()) {
        m_writeActive = true;
        m_writing = std::exchange(m_pending, {});
        m_hold.restartProgress(steadyNow());
        m_answerHold.restartProgress(steadyNow());
        updateDisplaceable();
        startWriteTimeout();
        asio::async_write(m_stream, http::make_chunk(asio::buffer(m_writing)), done);
    } else if (m_streamEnded && !m_lastChunkSent) {
        m_writeActive = true;
        m_lastChunkSent = true;
        startWriteTimeout();
        asio::async_write(m_stream, http::make_chunk_last(), done);
    } else if (m_lastChunkSent) {
        onAnswerComplete();
    } else {
        m_stream.expires_never();
    }
}

void HttpServer::Session::onWritten(beast::error_code error)
{
    m_writeActive = false;
    updateDisplaceable();
    if (m_closed)
        return;
    if (error) {
        notifyCallerGone();
        return close(CloseCause::WriteFailed);
    }
    flush();
}

void HttpServer::Session::onAnswerComplete()
{
    m_use.answerWritten(m_shared->timeouts().idle, steadyNow());
    m_shared->counts.answerWritten();
    if (m_use.closeAnnounced()) {
        // A caller that announced the close itself sends nothing that could reset the connection.
        const bool mustLinger = !m_parser->is_done() || m_parser->get().keep_alive()
                                || m_buffer.size() > 0 || hasUnreadBytes();
        return mustLinger ? end(CloseCause::Announced) : close(CloseCause::Announced);
    }
    beast::error_code ignored;
    m_phase = Phase::Reading;
    m_stream.socket().cancel(ignored); // stops watchCaller()
    m_watchTimer.cancel();
    readRequest();
}

void HttpServer::Session::refuseIncomplete()
{
    beast::error_code ignored;
    m_stream.socket().cancel(ignored);
    refuse(refusal(http::status::request_timeout, "request_timeout",
                   "the request was not received completely in time"));
}

void HttpServer::Session::takeStep(Time now)
{
    switch (step(now)) {
    case ConnectionStep::Keep:
        return;
    case ConnectionStep::Refuse:
        return refuseIncomplete();
    case ConnectionStep::Close:
        return end(m_shared->phase == ServerPhase::Serving ? CloseCause::Idle
                                                           : CloseCause::Stopping);
    }
}

/// Ends the connection without completing the answer.
void HttpServer::Session::giveUp()
{
    if (m_callerClosed)
        return close(CloseCause::CallerEnded);
    end(m_phase == Phase::Streaming ? CloseCause::Truncated : CloseCause::GivenUp);
}

void HttpServer::Session::recordClose(CloseCause cause)
{
    // Bytes that a caller sent before it left are of no use to it.
    const bool unread =
        cause != CloseCause::CallerEnded && (m_buffer.size() > 0 || hasUnreadBytes());
    const ConnectionRemains remains {.request = m_use.inProgress(), .unreadBytes = unread};
    m_shared->counts.connectionClosed(cause, remains);
}

void HttpServer::Session::leaveServer(CloseCause cause)
{
    m_closed = true;
    recordClose(cause);
    m_shared->sessions.erase(this);
    m_callerGoneCallback = nullptr;
    m_watchTimer.cancel();
}

void HttpServer::Session::end(CloseCause cause)
{
    if (m_closed)
        return;
    leaveServer(cause);
    m_shared->lingering.add(m_stream.release_socket(), steadyNow());
}

void HttpServer::Session::close(CloseCause cause)
{
    if (m_closed)
        return;
    leaveServer(cause);
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.close();
}

HttpServer::HttpServer(asio::io_context &context, HttpServerSettings settings, HttpHandler handler)
    : m_shared(std::make_shared<Shared>(settings))
    , m_acceptor(context)
    , m_timer(context)
{
    m_shared->handler = std::move(handler);
    if (settings.resources)
        m_shared->lingering.setLimit(settings.resources->maxConnections(settings.use) / 4);
}

void HttpServer::checkHeads(HttpHeadCheck check)
{
    m_shared->headCheck = std::move(check);
}

const ResourceGroupPtr &HttpServer::resources() const
{
    return m_shared->resources;
}

HttpServer::~HttpServer()
{
    close();
}

bool HttpServer::listen(std::string_view address, Reason &reason)
{
    const auto endpoint = parseAddress(address, reason);
    if (!endpoint)
        return false;
    // Each thread of the process runs its own server on the same address.
    const bool sharesPort = endpoint->port() != 0;
    const auto handler = [this](tcp::socket socket) { begin(std::move(socket)); };
    CallerAcceptorSettings callers {
        .address = *endpoint, .sharesPort = sharesPort, .passesEnded = true};
    if (const ResourceAccount *account = m_shared->settings.resources)
        callers.maxWaiting =
            std::max<std::size_t>(1, account->maxConnections(m_shared->settings.use) / 2);
    if (!m_acceptor.listen(callers, handler, reason))
        return false;
    armTimer();
    return true;
}

std::uint16_t HttpServer::port() const
{
    return m_acceptor.address().port();
}

void HttpServer::begin(tcp::socket socket)
{
    if (m_shared->sessions.size() >= m_shared->settings.maxConnections)
        return refuse(std::move(socket));
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    std::make_shared<Session>(std::move(socket), m_shared)->start();
}

/// Refuses a connection beyond the limit, without reading its request.
void HttpServer::refuse(tcp::socket socket)
{
    const bool unread = hasUnreadBytes(socket.native_handle());
    m_shared->counts.connectionClosed(CloseCause::TooMany, {.unreadBytes = unread});
    // Those that linger take descriptors, too.
    if (m_shared->lingering.size() >= m_shared->settings.maxConnections)
        return;
    HttpResponse response = refusal(http::status::service_unavailable, "too_many_connections",
                                    "the limit of connections is reached");
    response.keep_alive(false);
    response.prepare_payload();
    beast::error_code ignored;
    socket.non_blocking(true, ignored);
    http::write(socket, response, ignored);
    m_shared->lingering.add(std::move(socket), steadyNow());
}

void HttpServer::armTimer()
{
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this, shared = m_shared](beast::error_code error) {
        if (error || shared->closed)
            return;
        tick();
        armTimer();
    });
}

void HttpServer::tick()
{
    const Time now = steadyNow();
    m_acceptor.tick(now);
    m_shared->lingering.tick(now);
    std::vector<Session *> due;
    for (Session *session : m_shared->sessions)
        if (session->isDue(now))
            due.push_back(session);
    for (Session *session : due)
        session->takeStep(now);
}

void HttpServer::announceStop()
{
    m_shared->phase = ServerPhase::Stopping;
    m_acceptor.keepWaiting();
}

void HttpServer::stopAccepting()
{
    m_shared->phase = ServerPhase::Closing;
    m_shared->closingSince = steadyNow();
    m_acceptor.finish();
}

void HttpServer::close()
{
    m_shared->closed = true;
    m_timer.cancel();
    m_acceptor.close();
    const auto sessions = m_shared->sessions;
    for (Session *session : sessions)
        session->close(CloseCause::Stopping);
}

const CallerCounts &HttpServer::counts() const
{
    return m_shared->counts;
}

bool HttpServer::isDrained() const
{
    return m_shared->sessions.empty() && m_shared->lingering.size() == 0
           && m_acceptor.waiting() == 0;
}

std::size_t HttpServer::connections() const
{
    return m_shared->sessions.size();
}

std::optional<tcp::endpoint> parseAddress(std::string_view address, Reason &reason)
{
    const auto colon = address.rfind(':');
    unsigned port = 0;
    if (colon != std::string_view::npos) {
        std::string host(address.substr(0, colon));
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        const char *end = address.data() + address.size();
        const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
        beast::error_code error;
        const auto ip = asio::ip::make_address(host, error);
        if (!error && parsed.ec == std::errc {} && parsed.ptr == end && port < 65536)
            return tcp::endpoint(ip, static_cast<std::uint16_t>(port));
    }
    reason = "\"" + std::string(address) + "\" is not an address; write IP:port";
    return std::nullopt;
}

HttpResponse jsonResponse(http::status status, std::string body)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

} // namespace balsamloft
