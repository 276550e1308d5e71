// Tests of calls whose time limits pass while the event loop does not run.

#include "clock.h"
#include "timedcall.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

namespace asio = boost::asio;
using asio::ip::tcp;

using namespace balsamloft;

namespace {

constexpr Duration Limit {100'000};

/// Longer than Limit.
constexpr Duration Stall {150'000};

/// An engine that answers each call at once, on a thread of its own.
class Engine
{
public:
    Engine()
        : m_thread([this] { serve(); })
    {
    }

    ~Engine()
    {
        tcp::socket last(m_context);
        last.connect(m_acceptor.local_endpoint());
        last.close();
        m_thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void serve()
    {
        boost::system::error_code error;
        while (!error) {
            tcp::socket socket = m_acceptor.accept();
            std::string text;
            asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
            if (!error)
                asio::write(socket, asio::buffer(std::string_view(
                                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        }
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor {m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::thread m_thread;
};

/// Calls \a engine with a limit that passes while the loop, after \a steps of it, does not run.
int statusAfterStall(const Engine &engine, int steps)
{
    asio::io_context context;
    ConnectionPool pool(context);
    std::optional<CallOutcome> outcome;
    startCall(pool, "e1", engine.address(), {"GET", "/state", {}}, Limit,
              [&](const CallOutcome &result) { outcome = result; });
    for (int i = 0; i < steps; ++i)
        context.run_one();
    std::this_thread::sleep_for(Stall);
    while (!outcome)
        context.run_one();
    return outcome->status;
}

} // namespace

// Guards against an engine that counts as silent because this process stood still.
TEST_CASE("a call is not given up for a limit that passed while the loop did not run")
{
    const Engine engine;
    for (int steps = 0; steps < 3; ++steps) {
        INFO("after " << steps << " steps");
        CHECK(statusAfterStall(engine, steps) == 200);
    }
}

namespace {

/// An instance that forwards one connection, and answers the request on it itself.
class Forwarder
{
public:
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    ~Forwarder()
    {
        boost::system::error_code ignored;
        tcp::socket last(m_context);
        last.connect(m_acceptor.local_endpoint(), ignored);
        m_stop = true;
        last.close();
        m_thread.join();
    }

private:
    void serve()
    {
        while (!m_stop) {
            boost::system::error_code error;
            tcp::socket socket = m_acceptor.accept();
            std::string text;
            const auto size =
                asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
            if (error)
                continue;
            text.erase(0, size);
            asio::write(socket,
                        asio::buffer(std::string_view(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")),
                        error);
            asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
            if (error)
                continue;
            asio::write(socket,
                        asio::buffer(std::string_view(
                            "26\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n\r\n")),
                        error);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor {m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::atomic<bool> m_stop {false};
    std::thread m_thread {[this] { serve(); }};
};

} // namespace

// Guards against an engine that counts as silent because this process stood still while another
// instance opened the connection.
TEST_CASE("a forwarded call is not given up by its connector for a delay of the loop")
{
    const Forwarder forwarder;
    const int stallMs = GENERATE(0, 100, 250);
    for (int steps = 0; steps < 5; ++steps) {
        INFO("stall " << stallMs << " ms after " << steps << " steps");
        EndpointLinks links("self", "d0");
        links.setInstances(std::vector<PeerInstance> {{"b", "d0", "", forwarder.address()}});
        // The link to the engine is known as broken, so the other instance is asked.
        for (int i = 0; i < 3; ++i)
            links.recordDirectFailure("e1", ConnectFailure::Refused, steadyNow());
        links.recordForwarded("e1", "b", steadyNow());
        links.recordDirectAttempt("e1", steadyNow());
        asio::io_context context;
        ConnectionPool pool(context);
        pool.useLinks(links);
        std::optional<CallOutcome> outcome;
        startCall(pool, "e1", "127.0.0.1:1", {"GET", "/state", {}}, Duration(300'000),
                  [&](const CallOutcome &result) { outcome = result; });
        for (int i = 0; i < steps; ++i)
            context.run_one();
        std::this_thread::sleep_for(std::chrono::milliseconds(stallMs));
        while (!outcome)
            context.run_one();
        INFO("may have arrived " << outcome->mayHaveArrived << ", forwarded "
                                 << outcome->forwarded);
        CHECK(outcome->status == 200);
        CHECK_FALSE(links.isUnreachable("e1", steadyNow()));
    }
}
