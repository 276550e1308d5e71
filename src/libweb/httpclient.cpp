#include <balsamloft/httpclient.h>

#include <balsamloft/httprequest.h>

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace balsamloft {

namespace {

/// Lower statuses are those of interim answers.
constexpr unsigned FirstFinalStatus = 200;
/// Without a limit, an endless series of interim answers would occupy the request until its
/// deadline.
constexpr std::size_t MaxInterimAnswers = 32;

struct Connection
{
    explicit Connection(asio::io_context &context)
        : stream(context)
    {
    }
    beast::tcp_stream stream;
    Time idleSince {};
};

/// Whether the server has closed an idle connection or sent data without a request. This is checked
/// before writing, so that the request still counts as not sent.
bool isStale(tcp::socket &socket)
{
    char byte = 0;
    beast::error_code error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

struct HttpClient::Shared
{
    Shared(asio::io_context &ioContext, HttpClientSettings clientSettings)
        : context(ioContext)
        , settings(clientSettings)
    {
    }
    asio::io_context &context;
    HttpClientSettings settings;
    std::unordered_map<std::string, std::deque<std::unique_ptr<Connection>>> idle;
};

class HttpClient::Call : public HttpCall, public std::enable_shared_from_this<HttpClient::Call>
{
public:
    Call(std::shared_ptr<Shared> shared, std::string address, HttpRequest request, Options options,
         Callback callback)
        : m_shared(std::move(shared))
        , m_address(std::move(address))
        , m_request(std::move(request))
        , m_options(std::move(options))
        , m_callback(std::move(callback))
    {
    }

    void start();
    void abort() override;

private:
    bool takeIdleConnection();
    void connect();
    void write();
    void read();
    void answerRead();
    void fail(HttpFailure::Kind kind, std::string reason);
    void fail(beast::error_code error, bool sent);
    void complete();
    void finish(HttpResult result);

    std::shared_ptr<Shared> m_shared;
    std::string m_address;
    HttpRequest m_request;
    Options m_options;
    Callback m_callback;
    Time m_expiry {};
    std::unique_ptr<Connection> m_connection;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
    std::size_t m_interimAnswers = 0;
};

void HttpClient::Call::start()
{
    m_expiry = steadyNow() + m_options.timeout;
    m_request.version(11);
    m_request.keep_alive(true);
    m_request.prepare_payload();
    if (!m_options.freshConnection && takeIdleConnection())
        return write();
    connect();
}

bool HttpClient::Call::takeIdleConnection()
{
    auto &idle = m_shared->idle[m_address];
    while (!idle.empty()) {
        m_connection = std::move(idle.back());
        idle.pop_back();
        if (!isStale(m_connection->stream.socket()))
            return true;
    }
    return false;
}

void HttpClient::Call::connect()
{
    Reason reason;
    const auto endpoint = parseAddress(m_address, reason);
    if (!endpoint) {
        // The callback must not run inside send().
        asio::post(m_shared->context, [self = shared_from_this(), reason] {
            self->fail(HttpFailure::Kind::NotSent, reason);
        });
        return;
    }
    m_connection = std::make_unique<Connection>(m_shared->context);
    m_connection->stream.expires_after(
        std::min(m_shared->settings.connectTimeout, m_options.timeout));
    m_connection->stream.async_connect(
        *endpoint, [self = shared_from_this()](beast::error_code error) {
            if (!self->m_callback)
                return;
            if (error)
                return self->fail(error, false);
            beast::error_code ignored;
            self->m_connection->stream.socket().set_option(tcp::no_delay(true), ignored);
            self->write();
        });
}

void HttpClient::Call::write()
{
    // maySend() is called as late as possible, since the process may have been paused after the
    // decision to send.
    if (m_options.maySend && !m_options.maySend()) {
        asio::post(m_shared->context, [self = shared_from_this()] {
            self->fail(HttpFailure::Kind::NotSent, "canceled before it was sent");
        });
        return;
    }
    m_connection->stream.expires_after(std::max(Duration(1), m_expiry - steadyNow()));
    http::async_write(m_connection->stream, m_request,
                      [self = shared_from_this()](beast::error_code error, std::size_t) {
                          if (!self->m_callback)
                              return;
                          if (error)
                              return self->fail(error, true);
                          self->read();
                      });
}

void HttpClient::Call::read()
{
    m_parser.emplace();
    m_parser->body_limit(m_shared->settings.maxBodyBytes);
    if (m_request.method() == http::verb::head)
        m_parser->skip(true);
    http::async_read(m_connection->stream, m_buffer, *m_parser,
                     [self = shared_from_this()](beast::error_code error, std::size_t) {
                         if (!self->m_callback)
                             return;
                         if (error)
                             return self->fail(error, true);
                         self->answerRead();
                     });
}

/// An interim answer precedes the answer to the request. If it were taken for that answer, the next
/// request on the connection would get the answer to this one.
void HttpClient::Call::answerRead()
{
    if (m_parser->get().result_int() >= FirstFinalStatus)
        return complete();
    if (++m_interimAnswers > MaxInterimAnswers)
        return fail(HttpFailure::Kind::Broken, "too many interim answers");
    read();
}

void HttpClient::Call::complete()
{
    HttpResult result;
    const bool keep = m_parser->get().keep_alive() && m_buffer.size() == 0;
    result.response = m_parser->release();
    auto &idle = m_shared->idle[m_address];
    if (keep && idle.size() < m_shared->settings.maxIdlePerAddress) {
        m_connection->stream.expires_never();
        m_connection->idleSince = steadyNow();
        idle.push_back(std::move(m_connection));
    }
    finish(std::move(result));
}

void HttpClient::Call::fail(beast::error_code error, bool sent)
{
    if (!sent)
        return fail(HttpFailure::Kind::NotSent, error.message());
    fail(error == beast::error::timeout ? HttpFailure::Kind::TimedOut : HttpFailure::Kind::Broken,
         error.message());
}

void HttpClient::Call::fail(HttpFailure::Kind kind, std::string reason)
{
    finish({std::nullopt, {kind, std::move(reason)}});
}

void HttpClient::Call::finish(HttpResult result)
{
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback(std::move(result));
}

void HttpClient::Call::abort()
{
    m_callback = nullptr;
    if (m_connection)
        m_connection->stream.close();
}

HttpClient::HttpClient(asio::io_context &context, HttpClientSettings settings)
    : m_shared(std::make_shared<Shared>(context, settings))
{
}

HttpClient::~HttpClient()
{
    m_shared->idle.clear();
}

HttpCallPtr HttpClient::send(const std::string &address, HttpRequest request, Options options,
                             Callback callback)
{
    auto call = std::make_shared<Call>(m_shared, address, std::move(request), std::move(options),
                                       std::move(callback));
    call->start();
    return call;
}

void HttpClient::closeIdle(const std::string &address)
{
    m_shared->idle.erase(address);
}

void HttpClient::closeExpired(Time now)
{
    for (auto &[address, idle] : m_shared->idle) {
        while (!idle.empty() && now - idle.front()->idleSince > m_shared->settings.idleLifetime)
            idle.pop_front();
    }
}

} // namespace balsamloft
