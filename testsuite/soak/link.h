/// \file
/// A TCP proxy on loopback with injectable faults.

#pragma once

#include "../common/ports.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace balsamloft::soak {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using Milliseconds = std::chrono::milliseconds;

/// Suspends the calling coroutine for \a time.
awaitable<void> pause(Milliseconds time);

/// Converts "IP:port" to a TCP endpoint.
tcp::endpoint endpointOf(const std::string &address);

/// How a link that is cut treats connections.
enum class CutManner {
    Refuse, ///< refuses new connections; open ones live on
    Reset, ///< refuses new connections and resets open ones
    Silence, ///< does not answer, neither on open connections nor to new ones
};

/// Forwards connections to a target.
class Link
{
public:
    Link(boost::asio::io_context &context, std::string target);

    const std::string &address() const { return m_port.address(); }

    // Faults

    /// Delays all data by \a time.
    void delay(Milliseconds time) { m_delay = time; }
    /// Drops data from the target to the caller. A connection that loses data is silent from then
    /// on.
    void dropAnswers(bool drop) { m_dropAnswers = drop; }
    /// Closes new connections at once.
    void refuse(bool refuse) { m_refuse = refuse; }
    /// Stops forwarding on all open connections without closing them.
    void silenceOpen();
    void resetOpen();
    void cut(CutManner manner);
    /// Ends all faults. Silent connections stay silent.
    void heal();

private:
    struct Connection
    {
        explicit Connection(boost::asio::io_context &context)
            : caller(context)
            , target(context)
        {
        }

        tcp::socket caller;
        tcp::socket target;
        bool silent = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void listen(int backlog);
    awaitable<void> accept();
    awaitable<void> serve(ConnectionPtr connection);
    awaitable<void> pump(ConnectionPtr connection, bool toCaller);

    boost::asio::io_context &m_context;
    tcp::endpoint m_target;
    testsuite::PortReservation m_port;
    tcp::acceptor m_acceptor;
    std::optional<tcp::socket> m_queueFiller; ///< fills the queue of new connections while silent
    bool m_cut = false;
    std::set<ConnectionPtr> m_open;
    Milliseconds m_delay {0};
    bool m_dropAnswers = false;
    bool m_refuse = false;
};

} // namespace balsamloft::soak
