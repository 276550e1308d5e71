/// \file
/// Pooled connections to other processes, and the exchange of one request and its answer.

#pragma once

#include "acknowledgmentlimit.h"
#include "connectionerrors.h"
#include "connectionforwarder.h"
#include "httpmessage.h"

#include <balsamloft/endpointlinks.h>
#include <balsamloft/relay.h>
#include <balsamloft/resourceaccount.h>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>

namespace balsamloft {

/// A connection to one process of an endpoint, to the store or to an instance.
struct PooledConnection
{
    explicit PooledConnection(boost::asio::io_context &context)
        : socket(context)
    {
    }

    /// Handles \a count bytes in `buffer`: appends those of the called process to `unread`.
    void received(std::size_t count);

    void close();

    /// Whether another instance forwards the connection.
    bool isForwarded() const { return channel.has_value(); }

    /// Whether the forwarding instance told that the called process ended the connection.
    bool isEnded() const { return channel && channel->done(); }

    /// Whether the called process closed a forwarded connection in an orderly way.
    bool isClosedInOrder() const { return isEnded() && !channel->trailer(EndpointFailureField); }

    /// Whether the end of a forwarded connection tells nothing of the called process: the
    /// forwarding instance ended, although it would have told an end of the called process.
    bool isForwarderLost();

    /// Whether the forwarding instance sent what cannot be decoded.
    bool isGarbled() const { return channel && channel->failure() != MessageReader::Failure::None; }

    /// How many bytes the forwarding instance forwarded, as it told at the connection's end.
    std::optional<std::uint64_t> forwardedBytes() const;

    boost::asio::ip::tcp::socket socket;
    FirstError firstError;
    AcknowledgmentLimit acknowledgment;
    std::string endpoint; ///< id
    std::string forwardedBy; ///< name of the instance that forwards it; empty: direct
    std::string unread; ///< received and not yet parsed
    std::array<char, 8192> buffer {};
    /// If another instance forwards the connection: its answer, whose body are the bytes of the
    /// called process.
    std::optional<MessageReader> channel;
    std::string undecoded; ///< received and not yet parsed by `channel`
    std::uint64_t sentBytes = 0; ///< of all requests
    Time idleSince {};
    /// Maximum idle time before reuse: the endpoint's keep-alive time less a margin.
    Duration idleTimeout {4'000'000};
};

using PooledConnectionPtr = std::unique_ptr<PooledConnection>;

/// Idle connections by the id of the endpoint's process. They are not keyed by address: when
/// another process takes over an address, connections to the previous process must not be used.
class ConnectionPool
{
public:
    explicit ConnectionPool(boost::asio::io_context &context);

    /// Removes and returns a connection that is open and has no unread bytes, or null.
    PooledConnectionPtr take(const std::string &endpoint, Time now);
    void put(PooledConnectionPtr connection, Time now);

    /// Returns a connection that was taken or opened, but not used.
    void giveBack(PooledConnectionPtr connection);

    /// Closes connections that exceeded their idle timeout or whose endpoint is not in \a fleet.
    void prune(const FleetSnapshot &fleet, Time now);
    boost::asio::io_context &context() { return m_context; }

    /// Counts the answers to calls of this process itself among \a resources. Without it, they are
    /// not counted.
    void useResources(ResourceGroupPtr resources) { m_resources = std::move(resources); }
    const ResourceGroupPtr &resources() const { return m_resources; }

    /// Lets \a links decide how connections are opened. Without it, all are direct.
    void useLinks(EndpointLinks &links) { m_links = &links; }
    EndpointLinks *links() { return m_links; }
    std::uint64_t opened = 0; ///< number of connections opened, including failed ones
    std::uint64_t refused = 0; ///< number of direct connections that were refused
    std::uint64_t timedOut = 0; ///< number of direct connections that were not opened in time
    std::uint64_t forwarded = 0; ///< number of connections that another instance forwards
    /// Number of exchanges that failed since the instance that forwarded the connection ended it.
    std::uint64_t endedByForwarder = 0;
    std::uint64_t reads = 0; ///< number of completed reads
    std::uint64_t writes = 0; ///< number of writes

    /// Whether a request may be sent on \a connection, which was taken from the pool.
    bool mayReuse(PooledConnection &connection, Time now) const;

private:
    boost::asio::io_context &m_context;
    EndpointLinks *m_links = nullptr;
    ResourceGroupPtr m_resources;
    std::map<std::string, std::vector<PooledConnectionPtr>> m_idle;
};

/// Callbacks of an Exchange. Each callback may cancel the exchange.
class ExchangeHandler
{
public:
    virtual ~ExchangeHandler() = default;

    /// Called right before the request is sent. \return whether the request may be sent.
    virtual bool maySend() = 0;

    /// The request is sent on a connection that the instance \a name forwards.
    virtual void forwardedBy(const std::string &name) { static_cast<void>(name); }
    virtual void exchangeFailed(AttemptFailure failure) = 0;

    /// Whether \a bytes of the answer may be held. If not, reading waits a moment until they may.
    virtual bool mayHold(std::uint64_t bytes)
    {
        static_cast<void>(bytes);
        return true;
    }

    /// The exchange has ended, since the answer may still not be held.
    virtual void answerNotHeld() { exchangeFailed(AttemptFailure::Broken); }

    /// The head arrived. \return whether the body is to be delivered in pieces.
    virtual bool headReceived(MessageReader &answer) = 0;

    /// A piece of the body arrived and is in answer.body().
    virtual void bodyReceived(MessageReader &answer) = 0;

    /// The answer is complete.
    virtual void answerReceived(MessageReader &answer) = 0;
};

/// Settings of an exchange.
struct ExchangeSettings
{
    std::string endpoint; ///< id
    std::string address;
    bool freshConnection = false;
    std::string_view requestIdName; ///< header field that the endpoint echoes
    std::string requestId; ///< empty: not checked
    MessageLimits answerLimits {};
};

class Connector;

/// Sends one request and reads its answer. Interim answers and those with the id of another request
/// are skipped; if there are too many, the exchange fails.
/// The connection returns to the pool only if the request was written completely and no bytes
/// follow the answer.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    /// \a body follows \a request, and is shared with those who may send it again.
    Exchange(ConnectionPool &pool, ExchangeSettings settings, std::string request,
             std::shared_ptr<const std::string> body = {});

    void start(ExchangeHandler &handler, Time now);

    /// Closes the connection. No further callbacks are made.
    void cancel();

    /// Checks the time limits of opening and writing to a connection. To be called regularly.
    void tick(Time now);

    ConnectionPool &pool() { return m_pool; }

    /// Whether a connection is being opened.
    bool isConnecting() const { return m_connector != nullptr; }

    /// Whether the connection attempt was refused because no process listens at the address.
    bool connectionRefused() const { return m_connectionRefused; }

    /// Whether another instance forwards the connection.
    bool isForwarded() const { return m_forwarded; }

    /// How the connection ended on which the request was sent.
    ConnectionEnd connectionEnd() const { return m_connectionEnd; }

    /// Why the answer is none, if the exchange failed with AttemptFailure::InvalidAnswer.
    const std::string &invalidReason() const { return m_invalidReason; }

    /// Whether the instance that forwarded the connection ended it before the endpoint did.
    bool isEndedByForwarder() const { return m_endedByForwarder; }

private:
    void connect(Time now);
    void connected(PooledConnectionPtr connection);
    void send();
    bool replaceIfEnded();
    bool wasNotForwarded() const;
    void recordEnd(bool ended);
    AttemptFailure failureAtEnd();
    void writeFinished(const boost::system::error_code &error);
    void read();
    void readIfHeld(Time now);
    std::uint64_t heldBytes();
    void readFinished(const boost::system::error_code &error, std::size_t count);
    void connectionEnded(const boost::system::error_code &error);
    void process();
    bool processHead();
    void complete();
    void resetReader();
    void fail(AttemptFailure failure);
    void recordInvalid(std::string_view reason);
    void failInvalid(std::string_view reason);
    void closeConnection();

    ConnectionPool &m_pool;
    ExchangeSettings m_settings;
    std::string m_request;
    std::shared_ptr<const std::string> m_body; ///< of the request; null: in `m_request`
    ExchangeHandler *m_handler = nullptr;
    PooledConnectionPtr m_connection;
    std::optional<MessageReader> m_reader;
    std::shared_ptr<Connector> m_connector; ///< while a connection is being opened
    bool m_connectionRefused = false;
    bool m_forwarded = false;
    bool m_endedByForwarder = false;
    std::string m_invalidReason;
    ConnectionEnd m_connectionEnd = ConnectionEnd::None;
    bool m_reused = false; ///< the connection was taken from the pool
    std::uint64_t m_sentBefore = 0; ///< bytes of earlier requests on the connection
    bool m_writing = false; ///< the request
    bool m_requestWritten = false; ///< it was passed to the system
    bool m_requestSent = false; ///< no part of it waits in the system
    bool m_mayHaveSent = false; ///< bytes of the request may have been sent
    std::optional<Time> m_waitsSince; ///< reading waits until more may be held
    bool m_incremental = false; ///< the body is delivered in pieces
    bool m_headProcessed = false;
    std::size_t m_skippedAnswers = 0;
    bool m_skipsAnswer = false; ///< the current answer is interim or belongs to another request
};

} // namespace balsamloft
