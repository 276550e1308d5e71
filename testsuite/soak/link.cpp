#include "link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <fcntl.h>

#include <array>
#include <utility>

namespace asio = boost::asio;

namespace balsamloft::soak {

namespace {

/// Keeps the instances that are started later from inheriting the socket, which would keep it open.
void closeOnExec(tcp::acceptor &acceptor)
{
    ::fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
}

} // namespace

awaitable<void> pause(Milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.find(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

Link::Link(asio::io_context &context, std::string target)
    : m_context(context)
    , m_target(endpointOf(target))
    , m_acceptor(context, endpointOf(m_port.address()))
{
    closeOnExec(m_acceptor);
    asio::co_spawn(context, accept(), asio::detached);
}

void Link::listen(int backlog)
{
    m_acceptor.close();
    const tcp::endpoint address = endpointOf(m_port.address());
    m_acceptor.open(address.protocol());
    closeOnExec(m_acceptor);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen(backlog);
}

void Link::cut(CutManner manner)
{
    if (m_cut)
        heal();
    m_cut = true;
    if (manner == CutManner::Silence) {
        // The kernel drops the packets of new connections while the queue is full.
        silenceOpen();
        listen(0);
        m_queueFiller.emplace(m_context);
        // Not awaited: if another connection fills the queue first, this one hangs too.
        m_queueFiller->async_connect(endpointOf(m_port.address()),
                                     [](const boost::system::error_code &) {});
        return;
    }
    m_acceptor.close();
    if (manner == CutManner::Reset)
        resetOpen();
}

awaitable<void> Link::accept()
{
    for (;;) {
        auto connection = std::make_shared<Connection>(m_context);
        boost::system::error_code error;
        co_await m_acceptor.async_accept(connection->caller,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        if (!m_refuse)
            asio::co_spawn(m_context, serve(std::move(connection)), asio::detached);
    }
}

awaitable<void> Link::serve(ConnectionPtr connection)
{
    boost::system::error_code error;
    co_await connection->target.async_connect(m_target,
                                              asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    m_open.insert(connection);
    asio::co_spawn(m_context, pump(connection, true), asio::detached);
    co_await pump(connection, false);
}

awaitable<void> Link::pump(ConnectionPtr connection, bool toCaller)
{
    tcp::socket &from = toCaller ? connection->target : connection->caller;
    tcp::socket &to = toCaller ? connection->caller : connection->target;
    std::array<char, 8192> buffer {};
    boost::system::error_code error;
    const auto token = [&error] { return asio::redirect_error(asio::use_awaitable, error); };
    for (;;) {
        const std::size_t count = co_await from.async_read_some(asio::buffer(buffer), token());
        if (error)
            break;
        if (m_delay.count() > 0)
            co_await pause(m_delay);
        // Lost data is never delivered, so the connection stays silent from then on.
        connection->silent = connection->silent || (toCaller && m_dropAnswers);
        if (connection->silent)
            continue;
        co_await asio::async_write(to, asio::buffer(buffer.data(), count), token());
        if (error)
            break;
    }
    // On a silent connection, a close by one side is not forwarded to the other.
    if (!connection->silent) {
        boost::system::error_code ignored;
        connection->caller.close(ignored);
        connection->target.close(ignored);
    }
    m_open.erase(connection);
}

void Link::silenceOpen()
{
    for (const ConnectionPtr &each : m_open)
        each->silent = true;
}

void Link::resetOpen()
{
    for (const ConnectionPtr &each : std::set<ConnectionPtr>(m_open)) {
        boost::system::error_code ignored;
        each->caller.set_option(asio::socket_base::linger(true, 0), ignored);
        each->caller.close(ignored);
        each->target.close(ignored);
    }
}

void Link::heal()
{
    if (std::exchange(m_cut, false)) {
        listen(asio::socket_base::max_listen_connections);
        m_queueFiller.reset();
        asio::co_spawn(m_context, accept(), asio::detached);
    }
    m_delay = Milliseconds(0);
    m_dropAnswers = false;
    m_refuse = false;
}

} // namespace balsamloft::soak
