#include <balsamloft/lingeringconnections.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

using namespace balsamloft;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Time Start {std::chrono::hours(1)};
constexpr Duration Long {10'000'000};

/// Two ends of a connection.
struct ConnectedSockets
{
    ConnectedSockets()
    {
        tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        caller.connect(acceptor.local_endpoint());
        server = acceptor.accept();
    }

    asio::io_context context;
    tcp::socket caller {context};
    tcp::socket server {context};
    LingeringConnections lingering;
};

} // namespace

TEST_CASE("an answer reaches its caller although bytes of the caller were unread at the close")
{
    ConnectedSockets sockets;
    const std::string answer(50'000, 'a');
    asio::write(sockets.caller, asio::buffer(std::string(30'000, 'r')));
    asio::write(sockets.server, asio::buffer(answer));
    sockets.lingering.add(std::move(sockets.server), Start);
    sockets.context.poll();
    sockets.lingering.tick(Start);
    CHECK(sockets.lingering.size() == 1);

    std::string received;
    boost::system::error_code error;
    asio::read(sockets.caller, asio::dynamic_buffer(received), error);
    CHECK(error == asio::error::eof);
    CHECK(received == answer);
    sockets.caller.close();
    sockets.context.run();
    CHECK(sockets.lingering.size() == 0);
    CHECK(sockets.lingering.counts().crossed == 1);
}

TEST_CASE("a connection whose caller never ends its side is closed after a limited time")
{
    ConnectedSockets sockets;
    sockets.lingering.add(std::move(sockets.server), Start);
    sockets.context.poll();
    sockets.lingering.tick(Start + Long);
    CHECK(sockets.lingering.size() == 0);
    CHECK(sockets.lingering.counts().timedOut == 1);
    sockets.context.restart();
    sockets.context.run();
}

TEST_CASE("a connection that was reset does not linger")
{
    ConnectedSockets sockets;
    sockets.caller.set_option(asio::socket_base::linger(true, 0));
    sockets.caller.close();
    sockets.lingering.add(std::move(sockets.server), Start);
    sockets.context.run();
    CHECK(sockets.lingering.size() == 0);
}
