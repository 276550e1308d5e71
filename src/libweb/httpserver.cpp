#include <balsamloft/httpserver.h>
#include <balsamloft/socketstate.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <unordered_set>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace balsamloft {

namespace {

/// Longest time that a server does not listen after it has caught up.
constexpr Duration AcceptorTickInterval {100'000};

/// Interval in which a caller is asked whether it left while bytes of its next request wait: the
/// system reports the connection as readable then, whether it was closed or not.
constexpr Duration PipelinedCheckInterval {100'000};

} // namespace

struct HttpServer::Shared
{
    HttpServerSettings settings;
    HttpHandler handler;
    bool stopping = false;
    std::unordered_set<Session *> sessions;
    CallerCounts counts;
};

/// One connection. Handles its requests one after another.
class HttpServer::Session : public std::enable_shared_from_this<HttpServer::Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<Shared> shared)
        : m_stream(std::move(socket))
        , m_watchTimer(m_stream.get_executor())
        , m_shared(std::move(shared))
    {
        m_shared->sessions.insert(this);
    }

    ~Session() { m_shared->sessions.erase(this); }

    void readRequest();
    void closeIfIdle();
    void close(CloseCause cause);
    void giveUp();

    // Called by Exchange.
    const HttpRequest &request() const { return m_parser->get(); }
    void respond(HttpResponse response);
    void beginStream(HttpResponse response);
    bool write(std::string_view data);
    void endStream();
    bool callerLeft() { return m_callerClosed || isEndedByPeer(m_stream.socket().native_handle()); }
    void setCallerGoneCallback(std::function<void()> callback)
    {
        m_callerGoneCallback = std::move(callback);
    }

private:
    enum class Phase : std::uint8_t { Reading, Waiting, Responding, Streaming };

    void onRequestRead(beast::error_code error);
    void rejectMalformed(beast::error_code error);
    void watchCaller();
    void watchPipeliningCaller();
    void notifyCallerGone();
    void flush();
    void onWritten(beast::error_code error);
    void onAnswerComplete();
    void recordClose(CloseCause cause);
    void startWriteTimeout() { m_stream.expires_after(m_shared->settings.writeTimeout); }

    beast::tcp_stream m_stream;
    asio::steady_timer m_watchTimer; ///< while bytes of the caller's next request wait
    std::shared_ptr<Shared> m_shared;
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
    bool m_keepAlive = true;
    bool m_watchingCaller = false;
    bool m_callerClosed = false;
    bool m_owesAnswer = false; ///< the answer to a request is not written completely
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

void HttpServer::Session::readRequest()
{
    m_phase = Phase::Reading;
    m_callerGoneCallback = nullptr;
    m_response.reset();
    m_serializer.reset();
    m_streamEnded = m_lastChunkSent = false;
    m_parser.emplace();
    m_parser->header_limit(m_shared->settings.maxHeaderBytes);
    m_parser->body_limit(m_shared->settings.maxBodyBytes);
    m_stream.expires_after(m_shared->settings.requestTimeout);
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](beast::error_code error, std::size_t) {
                         self->onRequestRead(error);
                     });
}

void HttpServer::Session::onRequestRead(beast::error_code error)
{
    if (error)
        return rejectMalformed(error);
    m_stream.expires_never();
    m_keepAlive = m_parser->get().keep_alive();
    m_phase = Phase::Waiting;
    m_owesAnswer = true;
    m_shared->counts.requestRead();
    auto exchange = std::make_shared<Exchange>(shared_from_this());
    m_shared->handler(std::move(exchange));
    watchCaller();
}

void HttpServer::Session::rejectMalformed(beast::error_code error)
{
    const auto answer = [this](http::status status, std::string_view code,
                               std::string_view message) {
        m_keepAlive = false;
        m_owesAnswer = true;
        m_shared->counts.requestRead();
        std::string body = R"({"error":{"code":")";
        body.append(code).append(R"(","message":")").append(message);
        body.append(R"(","ran":"no","retry_after_ms":0}})");
        respond(jsonResponse(status, std::move(body)));
    };
    if (error == http::error::header_limit)
        return answer(http::status::request_header_fields_too_large, "headers_too_large",
                      "the headers are larger than the limit");
    if (error == http::error::body_limit)
        return answer(http::status::payload_too_large, "body_too_large",
                      "the body is larger than the limit");
    if (error == beast::error::timeout) {
        // The connection was idle or the request incomplete. No answer is possible, since
        // tcp_stream has already closed the socket.
        return close(CloseCause::Idle);
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message
        || error.category() != http::make_error_code(http::error::bad_method).category())
        return close(CloseCause::CallerEnded);
    answer(http::status::bad_request, "malformed_request", "not a valid HTTP request");
}

void HttpServer::Session::watchCaller()
{
    if (m_watchingCaller || m_callerClosed || m_phase == Phase::Reading)
        return;
    m_watchingCaller = true;
    m_stream.socket().async_wait(
        tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
            self->m_watchingCaller = false;
            if (error || self->m_phase == Phase::Reading)
                return;
            char byte = 0;
            beast::error_code peekError;
            self->m_stream.socket().non_blocking(true, peekError);
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
        if (!error && self->m_stream.socket().is_open())
            self->watchCaller();
    });
}

void HttpServer::Session::notifyCallerGone()
{
    m_keepAlive = false;
    if (const auto callback = std::exchange(m_callerGoneCallback, nullptr))
        callback();
}

void HttpServer::Session::respond(HttpResponse response)
{
    if (m_phase == Phase::Streaming || m_phase == Phase::Responding)
        return;
    m_phase = Phase::Responding;
    m_keepAlive = m_keepAlive && !m_shared->stopping;
    response.keep_alive(m_keepAlive);
    response.prepare_payload();
    m_response.emplace(std::move(response));
    startWriteTimeout();
    http::async_write(m_stream, *m_response,
                      [self = shared_from_this()](beast::error_code error, std::size_t) {
                          if (error)
                              return self->close(CloseCause::WriteFailed);
                          self->onAnswerComplete();
                      });
}

void HttpServer::Session::beginStream(HttpResponse response)
{
    if (m_phase != Phase::Waiting)
        return;
    m_phase = Phase::Streaming;
    m_keepAlive = m_keepAlive && !m_shared->stopping;
    response.keep_alive(m_keepAlive);
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
    if (m_phase != Phase::Streaming || m_streamEnded)
        return false;
    if (m_pending.size() + data.size() > m_shared->settings.maxBufferedBytes) {
        close(CloseCause::WriteFailed);
        return false;
    }
    m_pending.append(data);
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
    if (m_writeActive)
        return;
    const auto done = [self = shared_from_this()](beast::error_code error, std::size_t) {
        self->onWritten(error);
    };
    if (!m_pending.empty()) {
        m_writeActive = true;
        m_writing = std::exchange(m_pending, {});
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
    if (error) {
        notifyCallerGone();
        return close(CloseCause::WriteFailed);
    }
    flush();
}

void HttpServer::Session::onAnswerComplete()
{
    m_owesAnswer = false;
    m_shared->counts.answerWritten();
    if (!m_keepAlive || m_shared->stopping)
        return close(CloseCause::Announced);
    beast::error_code ignored;
    m_phase = Phase::Reading;
    m_stream.socket().cancel(ignored); // stops watchCaller()
    m_watchTimer.cancel();
    readRequest();
}

void HttpServer::Session::closeIfIdle()
{
    // The connection is kept if part of a request has been received: that request is read and
    // answered first.
    if (m_phase == Phase::Reading && !m_parser->got_some() && m_buffer.size() == 0)
        close(CloseCause::Stopping);
}

/// Closes the connection without completing the answer.
void HttpServer::Session::giveUp()
{
    if (m_callerClosed)
        return close(CloseCause::CallerEnded);
    close(m_phase == Phase::Streaming ? CloseCause::Truncated : CloseCause::GivenUp);
}

void HttpServer::Session::recordClose(CloseCause cause)
{
    // Bytes that a caller sent before it left are of no use to it.
    const bool unread =
        cause != CloseCause::CallerEnded
        && (m_buffer.size() > 0 || hasUnreadBytes(m_stream.socket().native_handle()));
    m_shared->counts.connectionClosed(cause, {.request = m_owesAnswer, .unreadBytes = unread});
}

void HttpServer::Session::close(CloseCause cause)
{
    if (std::exchange(m_closed, true))
        return;
    recordClose(cause);
    beast::error_code ignored;
    m_callerGoneCallback = nullptr;
    m_watchTimer.cancel();
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.close();
}

HttpServer::HttpServer(asio::io_context &context, HttpServerSettings settings, HttpHandler handler)
    : m_shared(std::make_shared<Shared>())
    , m_acceptor(context)
    , m_timer(context)
{
    m_shared->settings = settings;
    m_shared->handler = std::move(handler);
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
    if (!m_acceptor.listen({*endpoint, sharesPort, true}, handler, reason))
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
    if (m_shared->sessions.size() >= m_shared->settings.maxConnections) {
        const bool unread = hasUnreadBytes(socket.native_handle());
        m_shared->counts.connectionClosed(CloseCause::TooMany, {.unreadBytes = unread});
        return;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<Session>(std::move(socket), m_shared)->readRequest();
}

void HttpServer::armTimer()
{
    m_timer.expires_after(AcceptorTickInterval);
    m_timer.async_wait([this, shared = m_shared](beast::error_code error) {
        if (error || shared->stopping)
            return;
        m_acceptor.tick(std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()));
        armTimer();
    });
}

void HttpServer::stopAccepting()
{
    m_shared->stopping = true;
    m_acceptor.close();
    m_timer.cancel();
    const auto sessions = m_shared->sessions;
    for (Session *session : sessions)
        session->closeIfIdle();
}

void HttpServer::close()
{
    stopAccepting();
    const auto sessions = m_shared->sessions;
    for (Session *session : sessions)
        session->close(CloseCause::Stopping);
}

const CallerCounts &HttpServer::counts() const
{
    return m_shared->counts;
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
