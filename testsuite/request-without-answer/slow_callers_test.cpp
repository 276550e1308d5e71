// Answers to callers that read late or slowly, and requests to endpoints that read late.

#include "callers.h"

#include <catch2/catch.hpp>

using namespace balsamloft::testsuite;

namespace {

using std::chrono::milliseconds;

constexpr int SmallWindow = 4096; ///< bytes
constexpr int MediumWindow = 65536; ///< bytes
constexpr std::size_t SmallAnswer = 60'000; ///< bytes; fits into the send buffer of a socket
constexpr std::size_t LargeAnswer =
    4'000'000; ///< bytes; more than the buffers of a slow connection

RawServer::Handler answerOfSize(std::size_t size)
{
    return [size](const std::string &request) {
        return RawAnswer {okAnswer(request, request.starts_with("POST /safe/large")
                                                ? std::string(size, 'x')
                                                : std::string("done"))};
    };
}

/// Whether \a caller receives one answer with \a status whole, and then the end of the connection
/// or nothing more.
bool receivesWhole(CallerConnection &caller, int status)
{
    const auto answer = caller.receiveAnswer();
    return answer && answer->starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

std::unique_ptr<CallerConnection> connectSlowCaller(const EntryWithEndpoints &running,
                                                    int window = SmallWindow)
{
    auto caller = std::make_unique<CallerConnection>(running.entry.callers);
    caller->shrinkReceiveBuffer(window);
    return caller;
}

std::string requestWithBody(std::size_t size, const std::string &path = "/safe/x")
{
    const std::string request = requestTo(path);
    const std::size_t length = request.find("Content-Length");
    return request.substr(0, length) + "Content-Length: " + std::to_string(size) + "\r\n\r\n"
           + std::string(size, 'b');
}

/// An endpoint whose connections carry a large request before it reads for the first time.
class StillEndpoint
{
public:
    explicit StillEndpoint(milliseconds pause)
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
        REQUIRE(::listen(m_listener, SOMAXCONN) == 0);
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this, pause] { run(pause); });
    }
    ~StillEndpoint()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }
    StillEndpoint(const StillEndpoint &) = delete;
    StillEndpoint &operator=(const StillEndpoint &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    /// Serves one connection after another.
    void run(milliseconds pause) const
    {
        for (int socket = -1; (socket = ::accept(m_listener, nullptr, nullptr)) >= 0;) {
            serve(socket, pause);
            ::close(socket);
        }
    }

    static void serve(int socket, milliseconds pause)
    {
        // A connection that only checks whether the endpoint listens carries no bytes.
        char buffer[65536];
        if (::recv(socket, buffer, 1, MSG_PEEK) <= 0)
            return;
        std::this_thread::sleep_for(pause);
        std::string text;
        for (ssize_t count = 0; (count = ::recv(socket, buffer, sizeof buffer, 0)) > 0;) {
            text.append(buffer, static_cast<std::size_t>(count));
            const std::size_t head = text.find("\r\n\r\n");
            const std::string length = headerOf(text.substr(0, head + 2), "Content-Length");
            if (head == std::string::npos || text.size() < head + 4 + std::stoul(length))
                continue;
            const std::string answer = okAnswer(text.substr(0, head + 2), "done");
            ::send(socket, answer.data(), answer.size(), MSG_NOSIGNAL);
            return;
        }
    }

    int m_listener;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace

TEST_CASE("an answer in a stop is destroyed by a request that its caller sends before it has read",
          "[process][failure]")
{
    EntryWithEndpoints running(answerOfSize(SmallAnswer));
    const auto caller = connectSlowCaller(running);
    running.terminate();
    caller->send(requestTo("/safe/large"));
    REQUIRE(caller->receiveUntil("HTTP/1.1 200"));
    std::this_thread::sleep_for(milliseconds(200)); // the answer is written
    caller->send(requestTo("/safe/x"));
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(receivesWhole(*caller, 200));
}

TEST_CASE("an answer in a stop is destroyed by requests that arrived behind its own",
          "[process][failure]")
{
    // More requests than the process reads ahead.
    constexpr std::size_t BodySize = 150'000;
    EntryWithEndpoints running(answerOfSize(SmallAnswer));
    const auto caller = connectSlowCaller(running);
    running.terminate();
    caller->send(requestTo("/safe/large") + requestWithBody(BodySize));
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(receivesWhole(*caller, 200));
    CHECK(caller->receiveAnswer());
}

TEST_CASE("the refusal of a large body is destroyed by the rest of the body", "[process][failure]")
{
    constexpr std::size_t BodySize = 3'000'000;
    EntryWithEndpoints running(answerAtOnce, R"({"body_bytes":100000})");
    const auto caller = std::make_unique<CallerConnection>(running.entry.callers);
    std::thread sender([&] { caller->send(requestWithBody(BodySize)); });
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(receivesWhole(*caller, 413));
    CHECK(caller->receiveEnd(milliseconds(5000)) == ConnectionEnd::Closed);
    sender.join();
}

TEST_CASE("the refusal of a large header is destroyed by the rest of the header",
          "[process][failure]")
{
    EntryWithEndpoints running;
    const auto caller = std::make_unique<CallerConnection>(running.entry.callers);
    const std::string field = "X-Large: " + std::string(200'000, 'x') + "\r\n";
    caller->send(requestTo("/safe/x", field));
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(receivesWhole(*caller, 431));
    CHECK(caller->receiveEnd(milliseconds(5000)) == ConnectionEnd::Closed);
}

TEST_CASE("the refusal of a malformed request is destroyed by what follows it",
          "[process][failure]")
{
    EntryWithEndpoints running;
    const auto caller = std::make_unique<CallerConnection>(running.entry.callers);
    caller->send("POST /safe/x\r\n\r\n" + std::string(200'000, 'x'));
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(receivesWhole(*caller, 400));
    CHECK(caller->receiveEnd(milliseconds(5000)) == ConnectionEnd::Closed);
}

TEST_CASE("a large answer is cut if its caller reads nothing for seconds", "[process][failure]")
{
    const milliseconds pause(GENERATE(0, 2000, 5000));
    EntryWithEndpoints running(answerOfSize(LargeAnswer));
    const auto caller = connectSlowCaller(running, MediumWindow);
    caller->send(requestTo("/safe/large"));
    std::this_thread::sleep_for(pause);
    const auto answer = caller->receiveAnswer();
    CAPTURE(pause.count(), caller->received().size(), answer.value_or("").substr(0, 300));
    CHECK(answer.value_or("").starts_with("HTTP/1.1 200"));
    CHECK(caller->end() == ConnectionEnd::None);
}

TEST_CASE("a large request is cut if its endpoint reads nothing for seconds", "[process][failure]")
{
    constexpr std::size_t BodySize = 4'000'000;
    const milliseconds pause(GENERATE(0, 2000, 5000));
    EntryHarness entry;
    StillEndpoint endpoint(pause);
    entry.addEndpoint("still", "plain", endpoint.address());
    CallerConnection caller(entry.callers);
    caller.send(requestWithBody(BodySize, "/unsafe/x")); // is not sent again
    const auto answer = caller.receiveAnswer();
    CAPTURE(pause.count(), answer.value_or(caller.received()));
    CHECK(answer);
    CHECK(answer.value_or("").starts_with("HTTP/1.1 200"));
}
