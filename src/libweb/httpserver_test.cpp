#include <balsamloft/httpserver.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

using namespace balsamloft;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: "
                                     "close\r\nContent-Length: 0\r\n\r\n";

/// A server on its own thread, each of whose requests takes a fixed time of
/// that thread.
class BusyServer
{
public:
    explicit BusyServer(std::chrono::milliseconds work)
        : m_server(m_context, {}, [this, work](const HttpExchangePtr &exchange) {
            std::this_thread::sleep_for(work);
            m_handled += 1;
            exchange->respond(jsonResponse(boost::beast::http::status::ok, "{}"));
        })
    {
        Reason reason;
        REQUIRE(m_server.listen("127.0.0.1:0", reason));
        m_address = {asio::ip::make_address("127.0.0.1"), m_server.port()};
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~BusyServer()
    {
        m_context.stop();
        m_thread.join();
    }
    BusyServer(const BusyServer &) = delete;
    BusyServer &operator=(const BusyServer &) = delete;

    const tcp::endpoint &address() const { return m_address; }
    int handled() const { return m_handled; }

private:
    asio::io_context m_context {1};
    std::atomic<int> m_handled {0};
    HttpServer m_server;
    tcp::endpoint m_address;
    std::thread m_thread;
};

/// A connection with a request that was sent.
class Caller
{
public:
    explicit Caller(const tcp::endpoint &address)
        : m_socket(m_context)
    {
        boost::system::error_code error;
        m_socket.connect(address, error);
        if (!error)
            asio::write(m_socket, asio::buffer(Request.data(), Request.size()), error);
    }

    /// Reads until the connection is closed. \return whether the request was
    /// answered.
    bool isAnswered()
    {
        boost::system::error_code error;
        std::string text;
        asio::read(m_socket, asio::dynamic_buffer(text), error);
        return text.starts_with("HTTP/1.1 200");
    }

private:
    asio::io_context m_context;
    tcp::socket m_socket;
};

} // namespace

// Guards against working on those who have waited longest, whose callers are
// leaving.
TEST_CASE("a server that gets more connections than it can read answers the "
          "newest in time")
{
    constexpr int Earlier = 100;
    constexpr auto Work = 10ms; // together longer than callers wait
    BusyServer server(Work);
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < Earlier; ++i)
        callers.push_back(std::make_unique<Caller>(server.address()));
    std::this_thread::sleep_for(5 * Work);
    const auto begin = Clock::now();
    CHECK(Caller(server.address()).isAnswered());
    CHECK(Clock::now() - begin < 15 * Work);

    int answered = 1;
    for (const auto &each : callers)
        answered += each->isAnswered() ? 1 : 0;
    CHECK(answered < Earlier / 2);
    // A connection that is closed unread leaves no doubt whether its request was
    // executed.
    CHECK(server.handled() == answered);
}

TEST_CASE("a server that was behind listens again and answers")
{
    BusyServer server(10ms);
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < 100; ++i)
        callers.push_back(std::make_unique<Caller>(server.address()));
    for (const auto &each : callers)
        each->isAnswered();
    std::this_thread::sleep_for(300ms);
    CHECK(Caller(server.address()).isAnswered());
}

TEST_CASE("a server answers all connections that it can read in time")
{
    BusyServer server(0ms);
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < 100; ++i)
        callers.push_back(std::make_unique<Caller>(server.address()));
    for (const auto &each : callers)
        CHECK(each->isAnswered());
}

// Guards against work for a caller that left, at each endpoint of its request.
TEST_CASE("a caller that left is noticed although it sent more requests before")
{
    constexpr auto MaxDelay = 1s;
    const int more = GENERATE(0, 1, 2000); // the last exceeds what the server reads ahead
    const bool together = GENERATE(false, true);
    const bool reset = GENERATE(false, true);
    CAPTURE(more, together, reset);
    asio::io_context context {1};
    HttpExchangePtr held;
    int handled = 0;
    std::optional<Clock::time_point> goneAt;
    HttpServer server(context, {}, [&](const HttpExchangePtr &exchange) {
        handled += 1;
        held = exchange;
        held->onCallerGone([&] { goneAt = Clock::now(); });
    });
    Reason reason;
    REQUIRE(server.listen("127.0.0.1:0", reason));
    const auto runUntil = [&](const auto &condition, std::chrono::milliseconds limit) {
        const auto end = Clock::now() + limit;
        while (!condition() && Clock::now() < end)
            context.run_one_for(10ms);
    };
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    asio::io_context callers;
    tcp::socket caller(callers);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    std::string requests;
    for (int i = 0; i < more; ++i)
        requests += request;
    asio::write(caller, asio::buffer(together ? request + requests : request));
    runUntil([&] { return handled > 0; }, 10s);
    if (!together)
        asio::write(caller, asio::buffer(requests));
    runUntil([] { return false; }, 250ms);
    REQUIRE_FALSE(goneAt);
    if (reset)
        caller.set_option(asio::socket_base::linger(true, 0));
    caller.close();
    const auto leftAt = Clock::now();
    runUntil([&] { return goneAt.has_value(); }, 5s);
    REQUIRE(goneAt);
    CHECK(*goneAt - leftAt < MaxDelay);
    held.reset();
    runUntil([] { return false; }, 50ms);
    CHECK(handled == 1);
}

TEST_CASE("requests that a caller sends at once are answered in turn")
{
    constexpr int Requests = 20;
    asio::io_context context {1};
    std::vector<HttpExchangePtr> held;
    asio::steady_timer timer(context);
    std::function<void()> answer = [&] {
        timer.expires_after(5ms);
        timer.async_wait([&](boost::system::error_code) {
            std::exchange(held.back(), nullptr)
                ->respond(jsonResponse(boost::beast::http::status::ok, "{}"));
            if (held.size() == Requests)
                context.stop();
        });
    };
    HttpServer server(context, {}, [&](const HttpExchangePtr &exchange) {
        held.push_back(exchange);
        answer();
    });
    Reason reason;
    REQUIRE(server.listen("127.0.0.1:0", reason));
    asio::io_context callers;
    tcp::socket caller(callers);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    std::string requests;
    for (int i = 0; i < Requests; ++i)
        requests += "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    asio::write(caller, asio::buffer(requests));
    context.run_for(10s);
    CHECK(held.size() == Requests);
}

// Guards against an assertion of Beast, with which a caller could end the process.
TEST_CASE("a chunked request is read wherever it is split, and if it arrives byte by byte")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body = GENERATE("0\r\n\r\n", "3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n");
    for (std::size_t split = 0; split <= body.size(); ++split) {
        CAPTURE(body, split);
        asio::io_context context {1};
        std::string received = "none";
        HttpServer server(context, {}, [&](const HttpExchangePtr &exchange) {
            received = exchange->request().body();
            exchange->respond(jsonResponse(boost::beast::http::status::ok, "{}"));
        });
        Reason reason;
        REQUIRE(server.listen("127.0.0.1:0", reason));
        asio::io_context callers;
        tcp::socket caller(callers);
        caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        caller.set_option(tcp::no_delay(true));
        asio::write(caller, asio::buffer(head + body.substr(0, split)));
        context.run_for(5ms);
        for (const char byte : body.substr(split)) {
            asio::write(caller, asio::buffer(&byte, 1));
            context.run_for(5ms);
        }
        for (int i = 0; i < 200 && received == "none"; ++i)
            context.run_for(5ms);
        CHECK(received == (body.starts_with('0') ? "" : "abc"));
    }
}

namespace {

/// What a server with limited resources answers to \a request, whose caller sends no more.
std::string answerTo(const std::string &request, const ResourceLimits &limits,
                     const HttpHeadCheck &check = {})
{
    ResourceAccount account(limits);
    asio::io_context context {1};
    HttpServerSettings settings;
    settings.resources = &account;
    HttpServer server(context, settings, [](const HttpExchangePtr &exchange) {
        exchange->respond(jsonResponse(boost::beast::http::status::ok, "{}"));
    });
    if (check)
        server.checkHeads(check);
    Reason reason;
    REQUIRE(server.listen("127.0.0.1:0", reason));
    tcp::socket caller(context);
    caller.connect({asio::ip::address_v4::loopback(), server.port()});
    asio::write(caller, asio::buffer(request));
    std::string answer;
    asio::async_read_until(caller, asio::dynamic_buffer(answer), "}",
                           [&](const boost::system::error_code &, std::size_t) { context.stop(); });
    context.run();
    server.close();
    return answer;
}

constexpr ResourceLimits SmallLimits {.bytes = 1U << 20U, .connections = 64};

} // namespace

// Guards against a body that is read although it is known that it does not fit.
TEST_CASE("a request that does not fit is refused at its head")
{
    const std::string answer =
        answerTo("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n", SmallLimits);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(answer.find(R"("ran":"no")") != std::string::npos);
}

TEST_CASE("a request is looked at before its body is read")
{
    const auto refuseAll = [](const HttpRequest &) {
        return jsonResponse(boost::beast::http::status::unauthorized, "{}");
    };
    CHECK(answerTo("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n", SmallLimits,
                   refuseAll)
              .starts_with("HTTP/1.1 401"));
}

TEST_CASE("a connection beyond the limit is refused")
{
    CHECK(answerTo(std::string(Request), {.bytes = 1U << 20U, .connections = 1})
              .starts_with("HTTP/1.1 503"));
}
