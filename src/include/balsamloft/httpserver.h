/// \file
/// HTTP/1.1 server on Boost.Beast with resource limits, streamed answers and notification of
/// disconnected callers.

#pragma once

#include <balsamloft/calleracceptor.h>
#include <balsamloft/callercounts.h>
#include <balsamloft/resourceaccount.h>
#include <balsamloft/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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
    /// To receive a complete request from its first byte on, and the longest time for which an idle
    /// connection is kept.
    Duration requestTimeout {15'000'000};
    Duration writeTimeout {15'000'000}; ///< for each write to the caller
    std::size_t maxBufferedBytes = 4 * 1024 * 1024; ///< unsent data of a stream to a slow caller
    std::size_t maxConnections = 10'000;
    /// What the process may hold; null: without a limit. Outlives the server.
    ResourceAccount *resources = nullptr;
    ResourceUse use = ResourceUse::Request;
};

/// One request and the answer to it. Must be used on the server's thread only.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;

    /// Sends a complete answer. Has no effect if an answer was sent or begun before.
    virtual void respond(HttpResponse response) = 0;

    /// Begins a streamed answer with the header of \a response.
    virtual void beginStream(HttpResponse response) = 0;

    /// Appends to a streamed answer. Returns false if no stream is open, or if the data exceeds the
    /// buffer limit because the caller reads too slowly; the connection is then closed.
    virtual bool write(std::string_view data) = 0;

    /// Completes a streamed answer.
    virtual void endStream() = 0;

    /// Closes the connection without completing the answer.
    virtual void abort() = 0;

    /// Calls \a callback if the caller closes its side of the connection or the connection fails
    /// before the answer is complete. The handler may still try to send an answer.
    virtual void onCallerGone(std::function<void()> callback) = 0;

    /// Whether the caller has closed its side of the connection, even if the callback was not
    /// called yet.
    virtual bool callerLeft() = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePtr)>;

/// Looks at a request whose body was not read yet. Returns the answer if it is refused.
using HttpHeadCheck = std::function<std::optional<HttpResponse>(const HttpRequest &request)>;

/// Accepts connections and passes each request to a handler. New connections are read and refused
/// as CallerAcceptor decides: the newest is read first.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpServerSettings settings, HttpHandler handler);
    ~HttpServer();

    /// Lets \a check refuse requests before their bodies are read. To be called before listen().
    void checkHeads(HttpHeadCheck check);

    /// Listens on \a address ("IP:port"; port 0 selects a free port). Returns false and sets
    /// \a reason on failure.
    bool listen(std::string_view address, Reason &reason);

    /// Returns the port that the server listens on.
    std::uint16_t port() const;

    /// Begins a planned stop: each answer from now on announces the end of its connection, unless
    /// further requests of the caller have arrived.
    void announceStop();

    /// Stops accepting connections. Those that the system has accepted by then are served, and
    /// idle ones closed. The server is drained once each caller has got its answers.
    void stopAccepting();

    /// Stops accepting connections and closes all open ones at once.
    void close();

    /// Open connections, without those that only wait for their callers to close them.
    std::size_t connections() const;

    /// Whether no connection is left.
    bool isDrained() const;

    /// Connections that were accepted and are not read yet.
    std::size_t waitingConnections() const { return m_acceptor.waiting(); }
    const CallerAcceptor::Counts &acceptCounts() const { return m_acceptor.counts(); }

    /// What the connections of this server hold.
    const ResourceGroupPtr &resources() const;

    /// Requests and connections since the start.
    const CallerCounts &counts() const;

private:
    struct Shared;
    class Session;
    class Exchange;

    void begin(boost::asio::ip::tcp::socket socket);
    void refuse(boost::asio::ip::tcp::socket socket);
    void tick();
    void armTimer();

    std::shared_ptr<Shared> m_shared;
    CallerAcceptor m_acceptor;
    boost::asio::steady_timer m_timer; ///< calls tick()
};

/// Parses "IP:port" ("[v6]:port"). Returns nothing and sets \a reason if malformed.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address,
                                                           Reason &reason);

/// Returns a response with the JSON text \a body.
HttpResponse jsonResponse(boost::beast::http::status status, std::string body);

} // namespace balsamloft
