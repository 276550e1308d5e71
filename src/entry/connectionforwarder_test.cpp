// Tests of connections to endpoints that are forwarded for another instance.

#include "clock.h"
#include "connectionforwarder.h"
#include "sockets.h"

#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

using namespace balsamloft;

namespace {

class PermissivePolicy : public ForwardingPolicy
{
public:
    bool mayForward(const std::string & /*endpoint*/, Time /*now*/) const override { return true; }
    void forwardedAnswer(const std::string & /*endpoint*/, const MessageHead & /*answer*/) override
    {
    }
};

/// An instance that forwards one connection of another instance to an endpoint.
class ForwardedConnection
{
    asio::io_context m_context; // before what uses it

public:
    ForwardedConnection()
    {
        auto fleet = std::make_shared<FleetSnapshot>();
        FleetEndpoint &listed = fleet->endpoints.emplace_back();
        listed.id = "e1";
        listed.address = address(m_endpoints);
        const std::string own = address(tcp::acceptor(m_context, AnyPort));
        Reason reason;
        REQUIRE(m_forwarder.listen(own, reason));
        m_forwarder.setFleet(std::move(fleet));
        instance.connect(*parseTcpEndpoint(own));
        instance.non_blocking(true);
        asio::write(instance, asio::buffer(forwardingRequest("e1")));
        m_endpoints.async_accept(
            [this](const error_code &, tcp::socket socket) { endpoint = std::move(socket); });
        runUntil([this] { return endpoint.is_open() && m_forwarder.opened() > 0; });
    }

    /// Sends \a head and of its body as much as the connections take while the endpoint reads none.
    void upload(std::string_view head)
    {
        asio::write(instance, asio::buffer(head));
        const std::string piece(65536, 'x');
        for (int stalled = 0; stalled < MaxStalledRounds; ++stalled) {
            error_code error;
            if (instance.write_some(asio::buffer(piece), error) > 0)
                stalled = 0;
            m_context.poll();
        }
    }

    void answer(std::string_view text)
    {
        asio::write(endpoint, asio::buffer(text));
        m_context.poll();
    }

    void reset()
    {
        endpoint.set_option(asio::socket_base::linger(true, 0));
        endpoint.close();
    }

    /// What the instance receives until the connection ends.
    std::string received()
    {
        std::string text;
        runUntil([&] {
            std::array<char, 4096> buffer {};
            error_code error;
            text.append(buffer.data(), instance.read_some(asio::buffer(buffer), error));
            return error && error != asio::error::would_block;
        });
        return text;
    }

    tcp::socket instance {m_context};
    tcp::socket endpoint {m_context};

private:
    static constexpr int MaxStalledRounds = 50;
    inline static const tcp::endpoint AnyPort {asio::ip::address_v4::loopback(), 0};

    static std::string address(const tcp::acceptor &acceptor)
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition())
            m_context.run_one_for(std::chrono::milliseconds(1));
    }

    tcp::acceptor m_endpoints {m_context, AnyPort};
    EndpointLinks m_links {"self", "d0"};
    PermissivePolicy m_policy;
    ConnectionForwarder m_forwarder {m_context, m_links, m_policy,
                                     std::make_shared<ResourceGroup>()};
};

constexpr std::string_view Upload =
    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\n";

} // namespace

// Guards against a reset of the endpoint that is told as an orderly close: the write to the
// endpoint learns of it, and the read then sees an orderly end.
TEST_CASE("an endpoint that resets a connection within an upload is told to have failed")
{
    ForwardedConnection connection;
    connection.upload(Upload);
    connection.answer("HTTP/1.1 200 OK\r\n\r\nfirst half");
    connection.reset();
    const std::string text = connection.received();
    CHECK(text.find("first half") != std::string::npos);
    CHECK(text.find("\r\n" + std::string(EndpointFailureField) + ": 1\r\n") != std::string::npos);
}

TEST_CASE("an endpoint that closes a connection in order is not told to have failed")
{
    ForwardedConnection connection;
    connection.upload(Upload);
    connection.answer("HTTP/1.1 200 OK\r\n\r\nwhole");
    connection.endpoint.shutdown(tcp::socket::shutdown_send);
    const std::string text = connection.received();
    CHECK(text.find("whole") != std::string::npos);
    CHECK(text.find(std::string(ForwardedBytesField) + ": ") != std::string::npos);
    CHECK(text.find(std::string(EndpointFailureField) + ": 1") == std::string::npos);
}
