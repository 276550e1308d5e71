// Tests of when and how a server closes the connections of its callers. The server runs only while
// a test lets it, so that requests wait in the system as they do before a process that is late.

#include <balsamloft/httpserver.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <thread>

using namespace balsamloft;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto Request = "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

/// A server that answers each request at once, or holds it if the test asks for that.
class LateServer
{
public:
    explicit LateServer(HttpServerSettings settings = {})
        : m_server(m_context, settings, [this](const HttpExchangePtr &exchange) {
            m_read += 1;
            if (m_holds)
                m_held.push_back(exchange);
            else
                exchange->respond(answer());
        })
    {
        Reason reason;
        REQUIRE(m_server.listen("127.0.0.1:0", reason));
    }

    HttpResponse answer() const
    {
        return jsonResponse(http::status::ok, std::string(m_answerSize, 'a'));
    }

    void holdRequests() { m_holds = true; }
    void answerWith(std::size_t size) { m_answerSize = size; }
    HttpExchangePtr takeHeld()
    {
        HttpExchangePtr exchange = m_held.back();
        m_held.pop_back();
        return exchange;
    }

    HttpServer &server() { return m_server; }
    tcp::endpoint address() const { return {asio::ip::address_v4::loopback(), m_server.port()}; }
    int read() const { return m_read; }

    /// Runs \a work on the thread of the server, after what its loop holds.
    void post(std::function<void()> work) { asio::post(m_context, std::move(work)); }
    void runFor(std::chrono::milliseconds time) { m_context.run_for(time); }

    /// Runs until \a condition holds. \return whether it does within a time that only a hang
    /// exceeds.
    template<typename Condition>
    bool runUntil(Condition condition)
    {
        for (int turn = 0; turn < 3'000; ++turn) {
            if (condition())
                return true;
            m_context.restart();
            m_context.run_for(10ms);
        }
        return false;
    }

private:
    asio::io_context m_context {1};
    std::vector<HttpExchangePtr> m_held;
    HttpServer m_server;
    std::size_t m_answerSize = 2;
    int m_read = 0;
    bool m_holds = false;
};

/// A caller that keeps its connection until the server ends it.
class KeptCaller
{
public:
    explicit KeptCaller(const LateServer &server, int receiveBuffer = 0)
        : m_socket(m_context)
    {
        m_socket.open(tcp::v4());
        if (receiveBuffer > 0)
            m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        m_socket.connect(server.address());
        m_socket.non_blocking(true);
    }

    void send(std::string_view text)
    {
        boost::system::error_code error;
        asio::write(m_socket, asio::buffer(text.data(), text.size()), error);
    }

    /// Reads what has arrived.
    void receive()
    {
        std::array<char, 65536> buffer;
        boost::system::error_code error;
        while (!m_ended) {
            const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
            if (error == asio::error::would_block)
                return;
            m_received.append(buffer.data(), size);
            m_ended = static_cast<bool>(error);
            m_reset = error == asio::error::connection_reset;
        }
    }

    int answers(std::string_view status = "200")
    {
        receive();
        const std::string line = "HTTP/1.1 " + std::string(status) + " ";
        int count = 0;
        for (auto at = m_received.find(line); at != std::string::npos;
             at = m_received.find(line, at + 1))
            count += 1;
        return count;
    }
    bool ended()
    {
        receive();
        return m_ended;
    }
    bool wasReset() const { return m_reset; }
    const std::string &received() const { return m_received; }

private:
    asio::io_context m_context;
    tcp::socket m_socket;
    std::string m_received;
    bool m_ended = false;
    bool m_reset = false;
};

using Callers = std::vector<std::unique_ptr<KeptCaller>>;

/// More than the events that the loop of the server takes from the system at once.
constexpr int ManyCallers = 300;

Callers connectCallers(const LateServer &server, int count = ManyCallers)
{
    Callers callers;
    for (int i = 0; i < count; ++i)
        callers.push_back(std::make_unique<KeptCaller>(server));
    return callers;
}

void sendToAll(const Callers &callers)
{
    for (const auto &caller : callers)
        caller->send(Request);
}

int answersOf(const Callers &callers)
{
    int count = 0;
    for (const auto &caller : callers)
        count += caller->answers();
    return count;
}

bool allEnded(const Callers &callers)
{
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto &caller) { return caller->ended(); });
}

/// Callers each of whose connections has served one request.
Callers keptCallers(LateServer &server)
{
    Callers callers = connectCallers(server);
    sendToAll(callers);
    REQUIRE(server.runUntil([&] { return answersOf(callers) == ManyCallers; }));
    return callers;
}

} // namespace

// Guards against a reset of requests that wait in the system while the process is late.
TEST_CASE("a stop answers the requests that wait unread on kept connections")
{
    LateServer server;
    const Callers callers = keptCallers(server);
    sendToAll(callers);
    server.server().stopAccepting();
    REQUIRE(server.runUntil([&] { return allEnded(callers); }));
    CHECK(answersOf(callers) == 2 * ManyCallers);
    CHECK(server.server().counts().closedUnread() == 0);
}

// Guards against a timer that expires in the same turn in which requests can be read.
TEST_CASE("the idle timeout closes no connection on which a request waits unread")
{
    constexpr auto IdleTimeout = 300ms;
    LateServer server({.requestTimeout = IdleTimeout});
    const Callers callers = keptCallers(server);
    sendToAll(callers);
    std::this_thread::sleep_for(2 * IdleTimeout);
    REQUIRE(server.runUntil([&] { return allEnded(callers); }));
    CHECK(answersOf(callers) == 2 * ManyCallers);
}

// Guards against bytes that only the loop knows of, between the read and its handler.
TEST_CASE("a stop answers a request that the loop has read and not handled yet")
{
    constexpr auto LongerThanIdle = 600ms;
    constexpr auto LongerThanTick = 200ms;
    LateServer server;
    server.holdRequests();
    KeptCaller caller(server);
    caller.send(Request);
    REQUIRE(server.runUntil([&] { return server.read() == 1; }));
    server.server().stopAccepting();
    caller.send(Request);
    server.post([&] {
        std::this_thread::sleep_for(LongerThanTick);
        server.takeHeld()->respond(server.answer());
        server.post([&] { std::this_thread::sleep_for(LongerThanIdle); });
    });
    REQUIRE(server.runUntil([&] { return server.read() == 2 || caller.ended(); }));
    CHECK(server.read() == 2);
}

TEST_CASE("a stop answers new connections that the process has not accepted yet")
{
    LateServer server;
    const Callers callers = connectCallers(server, 100);
    sendToAll(callers);
    server.server().stopAccepting();
    REQUIRE(server.runUntil([&] { return allEnded(callers); }));
    CHECK(answersOf(callers) == 100);
}

// Guards against an idle time that counts from the last read.
TEST_CASE("a caller whose stream ends during a stop can still use its connection")
{
    LateServer server;
    server.holdRequests();
    KeptCaller caller(server);
    caller.send(Request);
    REQUIRE(server.runUntil([&] { return server.read() == 1; }));
    const HttpExchangePtr stream = server.takeHeld();
    stream->beginStream(HttpResponse(http::status::ok, 11));
    stream->write("event");
    REQUIRE(server.runUntil([&] { return caller.answers() == 1; }));
    server.server().stopAccepting();
    server.runFor(1s);
    stream->endStream();
    REQUIRE(server.runUntil(
        [&] { return caller.received().ends_with("0\r\n\r\n") || caller.ended(); }));
    server.runFor(50ms);
    caller.send(Request);
    REQUIRE(server.runUntil([&] { return server.read() == 2 || caller.ended(); }));
    REQUIRE(server.read() == 2);
    server.takeHeld()->respond(server.answer());
    REQUIRE(server.runUntil([&] { return caller.ended(); }));
    CHECK(caller.answers() == 2);
    CHECK(caller.received().find("Connection: close") != std::string::npos);
}

TEST_CASE("a stop answers all requests that a caller sent at once, and announces the close last")
{
    LateServer server;
    server.holdRequests();
    KeptCaller caller(server);
    caller.send(std::string(Request) + Request);
    REQUIRE(server.runUntil([&] { return server.read() == 1; }));
    server.server().stopAccepting();
    server.takeHeld()->respond(server.answer());
    REQUIRE(server.runUntil([&] { return server.read() == 2 || caller.ended(); }));
    CHECK(caller.received().find("Connection: close") == std::string::npos);
    REQUIRE(server.read() == 2);
    server.takeHeld()->respond(server.answer());
    REQUIRE(server.runUntil([&] { return caller.ended(); }));
    CHECK(caller.answers() == 2);
    CHECK(caller.received().find("Connection: close") != std::string::npos);
    CHECK_FALSE(caller.wasReset());
}

TEST_CASE("a caller that always has a further request under way does not hold up a stop")
{
    LateServer server({.requestTimeout = 300ms});
    KeptCaller caller(server);
    caller.send(Request);
    REQUIRE(server.runUntil([&] { return caller.answers() == 1; }));
    server.server().stopAccepting();
    int sent = 1;
    const auto drained = [&] {
        for (; sent < caller.answers() + 2 && !caller.ended(); ++sent)
            caller.send(Request);
        return server.server().isDrained();
    };
    REQUIRE(server.runUntil(drained));
    CHECK(caller.received().find("Connection: close") != std::string::npos);
}

TEST_CASE("answers after the announcement of a stop announce the end of their connections")
{
    LateServer server;
    KeptCaller caller(server);
    server.server().announceStop();
    server.runFor(600ms); // longer than an idle connection is kept once the server closes them
    CHECK_FALSE(caller.ended());
    caller.send(Request);
    REQUIRE(server.runUntil([&] { return caller.ended(); }));
    CHECK(caller.answers() == 1);
    CHECK(caller.received().find("Connection: close") != std::string::npos);
}

// Guards against the reset that the system sends if a connection is closed with unread bytes.
TEST_CASE("a caller that reads slowly gets its whole answer although it sent more than a request")
{
    constexpr std::size_t AnswerSize = 1'000'000;
    LateServer server;
    server.answerWith(AnswerSize);
    server.holdRequests();
    KeptCaller caller(server, 4096);
    caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(server.runUntil([&] { return server.read() == 1; }));
    caller.send(Request);
    server.takeHeld()->respond(server.answer());
    // At that moment the last part of the answer is with the system, unread.
    REQUIRE(server.runUntil([&] {
        if (server.server().counts().answered() == 1)
            return true;
        caller.receive();
        return false;
    }));
    server.runFor(50ms);
    REQUIRE(server.runUntil([&] { return caller.ended(); }));
    CHECK_FALSE(caller.wasReset());
    CHECK(caller.received().size() > AnswerSize);
}

TEST_CASE("a caller whose body is too large gets the refusal whole")
{
    LateServer server({.maxBodyBytes = 1000});
    KeptCaller caller(server);
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n");
    caller.send(std::string(300'000, 'b'));
    REQUIRE(server.runUntil([&] { return caller.ended(); }));
    CHECK(caller.answers("413") == 1);
    CHECK_FALSE(caller.wasReset());
}

TEST_CASE("a caller whose request is not received completely in time is told so")
{
    LateServer server({.requestTimeout = 300ms});
    KeptCaller caller(server);
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    REQUIRE(server.runUntil([&] { return caller.ended(); }));
    CHECK(caller.answers("408") == 1);
    CHECK(caller.received().find(R"("ran":"no")") != std::string::npos);
}

TEST_CASE("the time to receive a request does not include the idle time before it")
{
    constexpr auto RequestTimeout = 2s;
    LateServer server({.requestTimeout = RequestTimeout});
    KeptCaller caller(server);
    server.runFor(1400ms);
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    server.runFor(1s);
    caller.send("defghij");
    REQUIRE(server.runUntil([&] { return caller.answers() == 1 || caller.ended(); }));
    CHECK(caller.answers() == 1);
}

TEST_CASE("a connection beyond the limit is refused with an answer")
{
    LateServer server({.maxConnections = 1});
    KeptCaller first(server);
    first.send(Request);
    REQUIRE(server.runUntil([&] { return first.answers() == 1; }));
    KeptCaller second(server);
    second.send(Request);
    REQUIRE(server.runUntil([&] { return second.ended(); }));
    CHECK(second.answers("503") == 1);
    CHECK(second.received().find(R"("ran":"no")") != std::string::npos);
    CHECK_FALSE(second.wasReset());
    CHECK(server.read() == 1);
}

TEST_CASE("each request that was read is accounted for at the end of a stop")
{
    LateServer server;
    server.holdRequests();
    KeptCaller answered(server);
    answered.send(Request);
    REQUIRE(server.runUntil([&] { return server.read() == 1; }));
    server.takeHeld()->respond(server.answer());
    KeptCaller truncated(server);
    truncated.send(Request);
    REQUIRE(server.runUntil([&] { return server.read() == 2; }));
    HttpExchangePtr stream = server.takeHeld();
    stream->beginStream(HttpResponse(http::status::ok, 11));
    stream->write("event");
    REQUIRE(server.runUntil([&] { return truncated.answers() == 1; }));
    stream->abort();
    stream.reset();
    server.server().stopAccepting();
    REQUIRE(server.runUntil([&] { return server.server().connections() == 0; }));
    const CallerCounts &counts = server.server().counts();
    CHECK(counts.read() == 2);
    CHECK(counts.answered() == 1);
    CHECK(counts.truncated() == 1);
    CHECK(counts.unanswered() == 0);
    CHECK(counts.closedUnread() == 0);
}
