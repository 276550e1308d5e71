// Tests of the ports that tests reserve.

#include "ports.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace balsamloft::testsuite;
using boost::asio::ip::tcp;

namespace {

tcp::endpoint endpointOf(const std::string &address)
{
    const std::string port = address.substr(address.find(':') + 1);
    return {boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(std::stoi(port))};
}

} // namespace

// Guards against tests that fail because another listener took the port of their server.
TEST_CASE("a reserved port is given to nobody else")
{
    std::set<int> reserved;
    for (int i = 0; i < 200; ++i)
        reserved.insert(endpointOf(freeAddress()).port());
    CHECK(reserved.size() == 200);
    boost::asio::io_context context;
    int taken = 0;
    for (int i = 0; i < 20'000; ++i) {
        const tcp::acceptor other(context,
                                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        taken += static_cast<int>(reserved.count(other.local_endpoint().port()));
    }
    CHECK(taken == 0);
}

TEST_CASE("a server listens at its reserved port again and again")
{
    const tcp::endpoint address = endpointOf(freeAddress());
    boost::asio::io_context context;
    for (int i = 0; i < 3; ++i) {
        const tcp::acceptor server(context, address);
        tcp::socket caller(context);
        boost::system::error_code error;
        caller.connect(address, error);
        CHECK(!error);
    }
    tcp::socket caller(context);
    boost::system::error_code error;
    caller.connect(address, error);
    CHECK(error == boost::asio::error::connection_refused);
}
