/// \file
/// A loopback link that a test can slow down, silence, cut one way or reset.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace balsamloft::soak {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using Milliseconds = std::chrono::milliseconds;

/// Waits in a coroutine.
awaitable<void> pause(Milliseconds time);

/// The endpoint that "IP:port" names.
tcp::endpoint endpointOf(const std::string &address);

/// Passes connections on to a target until it is told otherwise.
class Link
{
public:
    Link(boost::asio::io_context &context, std::string target);

    std::string address() const;

    // Faults

    void delay(Milliseconds time) { m_delay = time; }
    /// Nothing comes back on connections that carry bytes meanwhile, for good.
    void cutBack(bool cut) { m_cutBack = cut; }
    /// New connections are closed at once.
    void refuse(bool refuse) { m_refuse = refuse; }
    /// The open connections carry nothing more and are not closed.
    void silenceOpen();
    void resetOpen();
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

    awaitable<void> accept();
    awaitable<void> serve(ConnectionPtr connection);
    awaitable<void> pump(ConnectionPtr connection, bool back);

    boost::asio::io_context &m_context;
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
    std::set<ConnectionPtr> m_open;
    Milliseconds m_delay {0};
    bool m_cutBack = false;
    bool m_refuse = false;
};

} // namespace balsamloft::soak
