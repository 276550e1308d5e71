#include <balsamloft/httpclient.h>

#include <balsamloft/answerrules.h>
#include <balsamloft/httprequest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace balsamloft {

namespace {

/// Without a limit, an endless series of interim answers would occupy the request until its
/// deadline.
constexpr std::size_t MaxInterimAnswers = 32;

constexpr Duration HoldRetryInterval {100'000};

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

/// Whether the parser failed for bytes that are no answer, rather than for their end.
bool isInvalidAnswer(const beast::error_code &error)
{
    return error.category() == http::make_error_code(http::error::bad_status).category()
           && error != http::error::partial_message && error != http::error::end_of_stream;
}

} // namespace

struct HttpClient::Shared
{
    Shared(asio::io_context &ioContext, HttpClientSettings clientSettings)
        : context(ioContext)
        , settings(std::move(clientSettings))
        , resources(settings.resources ? settings.resources : std::make_shared<ResourceGroup>())
    {
    }
    asio::io_context &context;
    HttpClientSettings settings;
    ResourceGroupPtr resources;
    std::unordered_map<std::string, std::deque<std::unique_ptr<Connection>>> idle;
};

class HttpClient::Call : public HttpCall,
                         public std::enable_shared_from_this<HttpClient::Call>,
                         private ResourceHolder
{
public:
    Call(std::shared_ptr<Shared> shared, std::string address, HttpRequest request, Options options,
         Callback callback)
        : m_shared(std::move(shared))
        , m_address(std::move(address))
        , m_request(std::move(request))
        , m_options(std::move(options))
        , m_callback(std::move(callback))
        , m_hold(m_shared->resources, ResourceUse::Answer, *this, steadyNow())
        , m_holdTimer(m_shared->context)
    {
    }

    void start();
    void abort() override;

private:
    void displace() override { } // its progress is up to the endpoint
    std::string invalidHead() const;
    bool failIfHeadInvalid();
    bool holdAnswer();
    bool takeIdleConnection();
    void connect();
    void write();
    void writeBody();
    void read();
    void readSome();
    void readSomeIfHeld();
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
    std::optional<http::request_serializer<http::string_body>> m_serializer;
    std::optional<http::response_parser<http::string_body>> m_parser;
    ResourceHold m_hold;
    asio::steady_timer m_holdTimer; ///< while reading waits
    std::optional<Time> m_waitsSince; ///< reading waits until more may be held
    std::size_t m_interimAnswers = 0;
};

void HttpClient::Call::start()
{
    m_expiry = steadyNow() + m_options.timeout;
    m_request.version(11);
    m_request.keep_alive(true);
    m_request.prepare_payload();
    if (!m_options.body.empty())
        m_request.content_length(m_options.body.size());
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
    if (!m_options.body.empty())
        return writeBody();
    http::async_write(m_connection->stream, m_request,
                      [self = shared_from_this()](beast::error_code error, std::size_t) {
                          if (!self->m_callback)
                              return;
                          if (error)
                              return self->fail(error, true);
                          self->read();
                      });
}

/// Writes the head, then the body, which is not copied.
void HttpClient::Call::writeBody()
{
    m_serializer.emplace(m_request);
    http::async_write_header(m_connection->stream, *m_serializer,
                             [self = shared_from_this()](beast::error_code headError, std::size_t) {
                                 if (!self->m_callback)
                                     return;
                                 if (headError)
                                     return self->fail(headError, true);
                                 asio::async_write(self->m_connection->stream,
                                                   asio::buffer(self->m_options.body),
                                                   [self](beast::error_code error, std::size_t) {
                                                       if (!self->m_callback)
                                                           return;
                                                       if (error)
                                                           return self->fail(error, true);
                                                       self->read();
                                                   });
                             });
}

void HttpClient::Call::read()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(m_options.maxBodyBytes > 0 ? m_options.maxBodyBytes
                                                    : m_shared->settings.maxBodyBytes);
    if (m_request.method() == http::verb::head)
        m_parser->skip(true);
    readSome();
}

void HttpClient::Call::readSome()
{
    const bool hadHead = m_parser->is_header_done();
    http::async_read_some(
        m_connection->stream, m_buffer, *m_parser,
        [self = shared_from_this(), hadHead](beast::error_code error, std::size_t) {
            if (!self->m_callback)
                return;
            if (error)
                return self->fail(error, true);
            if (!hadHead && self->m_parser->is_header_done() && self->failIfHeadInvalid())
                return;
            if (self->m_parser->is_done())
                return self->answerRead();
            self->readSomeIfHeld();
        });
}

/// \return whether the call failed.
bool HttpClient::Call::failIfHeadInvalid()
{
    const std::string invalid = invalidHead();
    if (!invalid.empty())
        fail(HttpFailure::Kind::Broken, InvalidAnswerPrefix + invalid);
    return !invalid.empty();
}

/// What makes the head that has arrived that of no answer, although Beast takes it; empty: nothing.
std::string HttpClient::Call::invalidHead() const
{
    const HttpResponse &answer = m_parser->get();
    if (!isHttpStatus(answer.result_int()))
        return describeStatus(answer.result_int());
    if (const auto content = answer[http::field::content_encoding]; !content.empty())
        return "content coding " + std::string(content);
    const auto [coding, end] = answer.equal_range(http::field::transfer_encoding);
    if (coding == end)
        return {};
    const std::string_view value(coding->value().data(), coding->value().size());
    const bool readable = std::next(coding) == end && isReadableTransferCoding(value);
    return readable ? std::string() : "transfer coding " + std::string(value);
}

bool HttpClient::Call::holdAnswer()
{
    const std::uint64_t bytes = std::max<std::uint64_t>(m_parser->get().body().capacity(),
                                                        m_parser->content_length().value_or(0));
    return bytes <= OrdinaryAnswerBytes || m_hold.growTo(bytes, steadyNow());
}

/// Reads on if the answer may be held so far, else later.
void HttpClient::Call::readSomeIfHeld()
{
    if (holdAnswer()) {
        m_waitsSince.reset();
        return readSome();
    }
    const Time now = steadyNow();
    if (!m_waitsSince)
        m_waitsSince = now;
    if (now - *m_waitsSince >= MaxHoldWait)
        return fail(HttpFailure::Kind::Broken, "the answer does not fit beside what is held");
    m_holdTimer.expires_after(HoldRetryInterval);
    m_holdTimer.async_wait([self = shared_from_this()](beast::error_code error) {
        if (!error && self->m_callback)
            self->readSomeIfHeld();
    });
}

/// An interim answer precedes the answer to the request. If it were taken for that answer, the next
/// request on the connection would get the answer to this one.
void HttpClient::Call::answerRead()
{
    if (!isInterimStatus(m_parser->get().result_int()))
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
         (isInvalidAnswer(error) ? InvalidAnswerPrefix : "") + error.message());
}

void HttpClient::Call::fail(HttpFailure::Kind kind, std::string reason)
{
    finish({std::nullopt, {kind, std::move(reason)}});
}

void HttpClient::Call::finish(HttpResult result)
{
    // Whoever takes the answer holds it from now on.
    m_hold.release();
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback(std::move(result));
}

void HttpClient::Call::abort()
{
    m_callback = nullptr;
    m_hold.release();
    m_holdTimer.cancel();
    if (m_connection)
        m_connection->stream.close();
}

HttpClient::HttpClient(asio::io_context &context, HttpClientSettings settings)
    : m_shared(std::make_shared<Shared>(context, std::move(settings)))
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
