/// \file
/// A small HTTP/1.1 server on Boost.Beast: bounded, with streamed answers and
/// notice of callers that go away.

#pragma once

#include <balsamloft/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace balsamloft {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Limits of an HttpServer.
struct HttpServerSettings
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Duration requestTimeout {15'000'000}; ///< to send one request whole, or to stay idle
    Duration writeTimeout {15'000'000}; ///< for a caller to take what is written
    std::size_t maxBufferedBytes = 4 * 1024 * 1024; ///< of a stream that is read slowly
    std::size_t maxConnections = 10'000;
};

/// One request and the answer to it. All calls are made on the server's thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;

    /// Sends a whole answer. Ignored when one was sent or begun.
    virtual void respond(HttpResponse response) = 0;

    /// Begins a streamed answer with the header of \a response.
    virtual void beginStream(HttpResponse response) = 0;

    /// Appends to a streamed answer. Returns false when the caller does not
    /// read and too much is buffered; the exchange is then gone.
    virtual bool write(std::string_view data) = 0;

    /// Ends a streamed answer properly.
    virtual void endStream() = 0;

    /// Closes the connection without (the rest of) an answer.
    virtual void abort() = 0;

    /// Calls \a callback when the caller closes its end or the connection
    /// breaks before the answer is complete. An answer can still be tried.
    virtual void onCallerGone(std::function<void()> callback) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePtr)>;

/// Accepts connections and hands each request to a handler.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpServerSettings settings, HttpHandler handler);
    ~HttpServer();

    /// Listens on \a address ("IP:port"; port 0 takes a free one). Returns
    /// false and a reason when it cannot.
    bool listen(std::string_view address, Reason &reason);

    /// Returns the port that is listened on.
    std::uint16_t port() const;

    /// Accepts no more connections, and closes each after its present answer.
    void stopAccepting();

    /// Closes everything at once.
    void close();

    std::size_t connections() const;

private:
    struct Shared;
    class Session;
    class Exchange;

    void accept();

    std::shared_ptr<Shared> m_shared;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

/// Splits "IP:port" ("[v6]:port"). Returns nothing and a reason when malformed.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address,
                                                           Reason &reason);

/// Builds a response with a JSON body.
HttpResponse jsonResponse(boost::beast::http::status status, std::string body);

} // namespace balsamloft
