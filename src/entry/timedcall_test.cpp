// Tests of calls whose time limits pass while the event loop does not run.

#include "clock.h"
#include "timedcall.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

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
