/// \file
/// Opens connections to endpoints on behalf of other instances, whose own links to them are broken.

#pragma once

#include "httpmessage.h"

#include <balsamloft/endpointlinks.h>
#include <balsamloft/lingeringconnections.h>
#include <balsamloft/resourceaccount.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>

namespace balsamloft {

/// Status codes with which a ConnectionForwarder answers a request to connect.
namespace forwarding {
inline constexpr int Opened = 200;
inline constexpr int NotListed = 404; ///< the endpoint is not in this instance's list
/// The endpoint refuses connections, while another one accepts them.
inline constexpr int NotReached = 502;
/// The endpoint wants no requests from this instance now.
inline constexpr int Declined = 429;
inline constexpr int Unavailable = 503; ///< this instance stops, or forwards too many connections
inline constexpr int TimedOut =
    504; ///< the endpoint does not answer, or this instance's link to it is in doubt
} // namespace forwarding

/// Formats the request to open a connection to \a endpoint.
std::string forwardingRequest(const std::string &endpoint);

/// Field with which an instance that forwards a connection tells that the endpoint failed, in the
/// trailer of its answer, and beforehand that it will do so, in the head. An instance that asks for
/// a connection has the field in its request if it understands this.
inline constexpr std::string_view EndpointFailureField = "Endpoint-Failure";

/// Trailer field at the end of a forwarded connection: how many bytes of the instance were
/// forwarded to the endpoint.
inline constexpr std::string_view ForwardedBytesField = "Forwarded-Bytes";

/// Decides whether requests of other instances may be forwarded. To the endpoint they are requests
/// of this instance.
class ForwardingPolicy
{
public:
    virtual ~ForwardingPolicy() = default;

    /// Whether a request may be forwarded to \a endpoint at \a now.
    virtual bool mayForward(const std::string &endpoint, Time now) const = 0;

    /// \a endpoint answered a forwarded request.
    virtual void forwardedAnswer(const std::string &endpoint, const MessageHead &answer) = 0;
};

/// Listens for other instances. An instance requests a connection with `CONNECT endpoint-id`. Once
/// it is open, all bytes that follow the request go to the endpoint unchanged. The bytes of the
/// endpoint come back as the chunks of the answer's body. Its last chunk tells that the endpoint
/// closed the connection in an orderly way, or with EndpointFailureField that it reset the
/// connection. Without the last chunk the forwarding process or one of its links has ended, and
/// nothing is known of the endpoint. An instance that does not understand the field is reset in
/// both cases. So a truncated answer never looks complete.
///
/// An endpoint that refuses the connection may be gone, or this instance's own links may be
/// broken. To tell the two apart, a connection to another endpoint is opened, and closed again.
///
/// Only listed endpoints are connected, and only directly, so that connections can't be forwarded
/// in a loop. Before each request, ForwardingPolicy is asked; if it does not permit the request,
/// the connection ends and nothing is forwarded. The same holds for requests that arrive during a
/// planned stop. A request may cross the end of its connection: the trailer after the last chunk
/// tells how many bytes were forwarded, so the instance knows whether the endpoint received it.
class ConnectionForwarder
{
public:
    ConnectionForwarder(boost::asio::io_context &context, EndpointLinks &links,
                        ForwardingPolicy &policy, ResourceGroupPtr resources);
    ~ConnectionForwarder();

    /// \return whether listening succeeded; otherwise \a reason is set.
    bool listen(const std::string &address, Reason &reason);

    // Commands

    void setFleet(FleetPtr fleet) { m_fleet = std::move(fleet); }

    /// To be called regularly, with bootNow(). After a pause of the process, ends all connections
    /// without a request in progress: the requests that wait in their buffers are outdated.
    void tick(Time bootTime);

    /// Ends idle connections to endpoints that get no requests now, so that the other instances
    /// don't use them.
    void closeDeclined(Time now);

    /// Forwards no further requests; those in progress are finished.
    void stop();

    // Queries

    /// Whether a forwarded connection awaits an answer, is in the middle of one, or is ending.
    bool hasUnfinished(Time now) const;
    std::size_t open() const { return m_connections.size(); }
    std::uint64_t opened() const { return m_opened; }

private:
    class Connection;

    void accept();
    bool wasPaused() const;
    void endAfterPause();

    /// Ends the connections without a request in progress that meet \a condition.
    template<typename Condition>
    void endIdle(Condition condition);

    boost::asio::io_context &m_context;
    EndpointLinks &m_links;
    ForwardingPolicy &m_policy;
    const ResourceGroupPtr m_resources;
    boost::asio::ip::tcp::acceptor m_acceptor;
    FleetPtr m_fleet;
    std::set<std::shared_ptr<Connection>> m_connections;
    LingeringConnections m_lingering; ///< to instances
    std::uint64_t m_opened = 0;
    Time m_tickedAt {}; ///< bootNow()
    bool m_stopping = false;
};

} // namespace balsamloft
