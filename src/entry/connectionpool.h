/// \file
/// Connections to endpoints, and one exchange of a request and its answer.

#pragma once

#include "httpmessage.h"

#include <balsamloft/relay.h>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>

namespace balsamloft {

/// One connection to one process of an endpoint.
struct PooledConnection
{
    explicit PooledConnection(boost::asio::io_context &context)
        : socket(context)
    {
    }

    boost::asio::ip::tcp::socket socket;
    std::string endpoint; ///< id
    std::string in; ///< read and not yet taken
    std::array<char, 8192> buffer {};
    Time idleSince {};
    Duration keepFor {4'000'000}; ///< how long the endpoint keeps an idle connection, less a margin
};

using PooledConnectionPtr = std::unique_ptr<PooledConnection>;

/// Idle connections, by id of the endpoint's process: an address that another
/// process took over must not get requests on a connection to the old one.
class ConnectionPool
{
public:
    explicit ConnectionPool(boost::asio::io_context &context);

    /// An idle connection that is still open and silent, or nothing.
    PooledConnectionPtr take(const std::string &endpoint, Time now);
    void put(PooledConnectionPtr connection, Time now);

    /// Closes idle connections that are old, or whose endpoint is not in \a fleet.
    void prune(const FleetSnapshot &fleet, Time now);
    boost::asio::io_context &context() { return m_context; }
    std::uint64_t opened = 0; ///< connections opened since the start
    std::uint64_t reads = 0; ///< calls that brought bytes of endpoints
    std::uint64_t writes = 0; ///< calls that sent bytes to endpoints

private:
    boost::asio::io_context &m_context;
    std::map<std::string, std::vector<PooledConnectionPtr>> m_idle;
};

/// What an exchange tells its owner. Each function may end the exchange.
class ExchangeHandler
{
public:
    virtual ~ExchangeHandler() = default;

    /// Asked right before the bytes leave. \return whether they may.
    virtual bool maySend() = 0;
    virtual void exchangeFailed(AttemptFailure failure) = 0;

    /// The head arrived. \return whether the body is wanted in pieces.
    virtual bool headReceived(MessageReader &answer) = 0;

    /// A piece of the body arrived and stands in answer.body().
    virtual void bodyReceived(MessageReader &answer) = 0;

    /// The answer is whole.
    virtual void answerReceived(MessageReader &answer) = 0;
};

/// Settings of an exchange.
struct ExchangeSettings
{
    std::string endpoint; ///< id
    std::string address;
    bool freshConnection = false;
    std::string_view requestIdName; ///< header that the endpoint echoes
    std::string requestId; ///< empty: not checked
};

/// Sends one request and reads its answer. Extra answers that belong to an
/// earlier request are dropped; a connection with any doubt is not used again.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ConnectionPool &pool, ExchangeSettings settings, std::string request);

    void start(ExchangeHandler &owner, Time now);

    /// Closes the connection; the owner hears nothing more.
    void cancel();

    /// When the present connection attempt began; nothing once it is open.
    std::optional<Time> connectingSince() const { return m_connectingSince; }

    /// Whether nobody listens at the address.
    bool refused() const { return m_refused; }

    /// Ends a connection attempt that takes too long.
    void connectTimedOut() { fail(AttemptFailure::NotSent); }

private:
    void connect();
    void send();
    void written(const boost::system::error_code &error);
    void read();
    void arrived(const boost::system::error_code &error, std::size_t count);
    void process();
    bool processHead();
    void complete();
    void newReader();
    void fail(AttemptFailure failure);

    ConnectionPool &m_pool;
    ExchangeSettings m_settings;
    std::string m_request;
    ExchangeHandler *m_owner = nullptr;
    PooledConnectionPtr m_connection;
    std::optional<MessageReader> m_reader;
    std::optional<Time> m_connectingSince;
    bool m_refused = false;
    bool m_written = false;
    bool m_bytesLeft = false; ///< some of the request may have left
    bool m_inPieces = false;
    bool m_headSeen = false;
    bool m_skipping = false; ///< an answer to another request
};

} // namespace balsamloft
