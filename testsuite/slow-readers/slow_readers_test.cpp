// Tests of endpoints that are alive and do not read for a while.

#include "../entry/entryharness.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <thread>

namespace asio = boost::asio;
using asio::ip::tcp;

using namespace balsamloft::testsuite;

namespace {

/// An endpoint that reads its first request late.
class LateReader
{
public:
    LateReader(std::size_t bodyBytes, std::chrono::milliseconds pause)
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(8192));
        m_acceptor.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        m_acceptor.listen();
        m_thread = std::jthread([this, bodyBytes, pause] { serve(bodyBytes, pause); });
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void serve(std::size_t bodyBytes, std::chrono::milliseconds pause)
    {
        // Checks of whether the endpoint accepts connections come first.
        for (std::string request; request.empty();) {
            tcp::socket socket = m_acceptor.accept();
            boost::system::error_code error;
            socket.wait(tcp::socket::wait_read, error);
            if (socket.available(error) == 0)
                continue;
            std::this_thread::sleep_for(pause);
            std::array<char, 65536> buffer {};
            while (request.size() < bodyBytes && !error) {
                const std::size_t count = socket.read_some(asio::buffer(buffer), error);
                request.append(buffer.data(), count);
            }
            asio::write(socket, asio::buffer(okAnswer(request, "whole")), error);
            socket.shutdown(tcp::socket::shutdown_send, error);
            while (!error)
                socket.read_some(asio::buffer(buffer), error);
        }
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor {m_context};
    std::jthread m_thread;
};

} // namespace

// Guards against a request that is cut off because its endpoint stands still while it is sent.
TEST_CASE("a large request is delivered to an endpoint that pauses its reading", "[process]")
{
    const std::string body(1 << 20, 'x');
    LateReader endpoint(body.size(), std::chrono::milliseconds(2500));
    EntryHarness entry;
    entry.addEndpoint("e1", "plain", endpoint.address());
    const std::string answer =
        exchange(entry.callers,
                 "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTeam-Key: good-key\r\n"
                 "Deadline-Ms: 20000\r\nTokens: 10,10\r\nContent-Length: "
                     + std::to_string(body.size()) + "\r\n\r\n" + body,
                 completeAnswer);
    CHECK(answer.ends_with("whole"));
}
