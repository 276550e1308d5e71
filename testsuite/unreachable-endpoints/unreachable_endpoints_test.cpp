// Tests of instances whose own links to the endpoints are broken, while other instances reach them.

#include "linkedsite.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft::testsuite;
using balsamloft::soak::CutManner;
using Site = LinkedSite;

namespace {

/// A call to an instance without links, forwarded by another one, whose answer waits for release().
class ForwardedCall
{
public:
    /// \a answer: that of the endpoint.
    explicit ForwardedCall(Site::Answer answer = answerOf)
        : site(2, [this, answer = std::move(answer)](const std::string &request) {
            if (!request.starts_with(Target))
                return answerOf(request);
            waitUntil([&] { return m_released.load(); });
            return answer(request);
        })
    {
        site.cut(0, CutManner::Reset);
        CHECK(waitUntil([&] { return site.serves(0, "/unsafe/x"); }));
        m_caller = std::thread([this] { m_answer = site.post(0, "/unsafe/slow"); });
        CHECK(waitUntil([&] { return received() == 1; }));
    }

    ~ForwardedCall()
    {
        release();
        answer();
    }

    void release() { m_released = true; }

    /// Waits for the caller's answer.
    std::string answer()
    {
        if (m_caller.joinable())
            m_caller.join();
        return m_answer;
    }

    std::size_t received() const { return site.received(Target); }

private:
    inline static const std::string Target = "POST /unsafe/slow";
    std::atomic<bool> m_released {false};

public:
    Site site;

private:
    std::string m_answer;
    std::thread m_caller;
};

} // namespace

TEST_CASE("an instance without links to the endpoints serves its callers", "[process]")
{
    const CutManner manner = GENERATE(CutManner::Refuse, CutManner::Reset, CutManner::Silence);
    Site site(2);
    site.cut(0, manner);
    constexpr int Tries = 6;
    for (const std::string path : {"/safe/x", "/unsafe/x", "/stream/x"}) {
        INFO(path << " manner " << static_cast<int>(manner));
        // The first requests may be spent on finding out that the links are broken.
        for (int i = 0; i < Tries && !site.serves(0, path); ++i)
            continue;
        // Two thirds of what the other instance serves is the least that callers are promised.
        CHECK(site.served(0, path, Tries) * 3 >= site.served(1, path, Tries) * 2);
    }
}

TEST_CASE("an instance whose links are back connects directly again", "[process]")
{
    Site site(2);
    site.cut(0, CutManner::Reset);
    CHECK(waitUntil([&] { return site.serves(0, "/unsafe/x"); }));
    site.process(0).waitFor("\"part\":\"link\",\"event\":\"(broken)\"");
    site.heal(0);
    CHECK(waitUntil([&] {
        site.serves(0, "/unsafe/x");
        return site.process(0).output().find("\"event\":\"restored\"") != std::string::npos;
    }));
    site.cut(1, CutManner::Reset);
    CHECK(waitUntil([&] { return site.serves(1, "/unsafe/x"); }));
}

// Guards against a crash that is reported because the instance that confirms it is cut as well.
TEST_CASE("an instance that is refused by all endpoints does not confirm that one has crashed",
          "[process]")
{
    Site site(2);
    const bool all = GENERATE(true, false);
    all ? site.cut(1, CutManner::Refuse) : site.cutFirstLink(1, CutManner::Refuse);
    CHECK(site.connectThrough(1, "e1").starts_with(all ? "HTTP/1.1 504" : "HTTP/1.1 502"));
}

TEST_CASE("a request that may run once runs once when its forwarding instance is killed",
          "[process]")
{
    ForwardedCall call;
    call.site.process(1).signal(SIGKILL);
    const std::string answer = call.answer();
    call.release();
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(call.received() == 1);
}

TEST_CASE("an answer without a length that is cut off by its forwarding instance is not passed on",
          "[process]")
{
    ForwardedCall call([](const std::string &request) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
               + "\r\nSeal: s\r\n\r\nfirst half";
    });
    call.release();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    call.site.process(1).signal(SIGKILL);
    CHECK(call.answer().starts_with("HTTP/1.1 502"));
}

namespace {

/// A stream of three events without length or chunks. The first attempt ends inside the second
/// event.
std::string unframedStream(const std::string &request)
{
    if (!request.starts_with("POST /stream"))
        return answerOf(request);
    std::string text = "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
                       + "\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n";
    const std::string last = headerOf(request, "Last-Event-Id");
    if (last.empty())
        return text + event(1) + "id: 2\ndata: ";
    for (int i = std::stoi(last) + 1; i <= 3; ++i)
        text += event(i);
    return text;
}

} // namespace

// Guards against a stream that is taken for complete, or not resumed, because it has no length.
TEST_CASE("a stream without length or chunks that ends inside an event is resumed", "[process]")
{
    const bool forwarded = GENERATE(false, true);
    const auto then = GENERATE(RawAnswer::Then::Close, RawAnswer::Then::Reset);
    Site site(2, unframedStream);
    site.afterPartialEvent = then;
    if (forwarded) {
        site.cut(0, CutManner::Reset);
        CHECK(waitUntil([&] { return site.serves(0, "/unsafe/x"); }));
    }
    INFO("forwarded " << forwarded << ", reset " << (then == RawAnswer::Then::Reset));
    constexpr int Tries = 20;
    int whole = 0;
    for (int i = 0; i < Tries; ++i) {
        const std::string answer = site.post(0, "/stream/x");
        const bool hasAll = answer.find(event(1)) != std::string::npos
                            && answer.find(event(2)) != std::string::npos
                            && answer.find(event(3)) != std::string::npos;
        CHECK((hasAll || !completeAnswer(answer)));
        whole += hasAll && completeAnswer(answer) ? 1 : 0;
    }
    CHECK(whole == Tries);
}

TEST_CASE("a planned stop finishes the answers that the instance forwards for others", "[process]")
{
    ForwardedCall call;
    call.site.process(1).signal(SIGTERM);
    call.site.process(1).waitFor("\"event\":\"(stopping)\"");
    call.release();
    CHECK(call.answer().starts_with("HTTP/1.1 200"));
    CHECK(call.site.process(1).wait() == 0);
}

namespace {

/// A connection to an endpoint that the test opens through an instance, as another instance does.
class ForwardedConnection
{
public:
    ForwardedConnection(const Site &site, const std::string &endpoint)
        : m_connection(site.forwardAddress(0))
    {
        m_connection.send("CONNECT " + endpoint + " HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(m_connection.receiveSome().starts_with("HTTP/1.1 200"));
    }

    void send(const std::string &request)
    {
        m_sentBytes += request.size();
        m_connection.send(request);
    }

    /// Waits until \a text arrives. \return whether it did before the connection ended.
    bool receive(const std::string &text)
    {
        while (m_received.find(text) == std::string::npos) {
            const std::string some = m_connection.receiveSome();
            if (some.empty())
                return false;
            m_received += some;
        }
        return true;
    }

    std::size_t sentBytes() const { return m_sentBytes; }

private:
    CallerConnection m_connection;
    std::string m_received;
    std::size_t m_sentBytes = 0;
};

/// The end of a forwarded connection of which \a bytes were forwarded.
std::string forwardedEnd(std::size_t bytes)
{
    return "0\r\nForwarded-Bytes: " + std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

// Guards against a stream that is cut at the stop of its forwarding instance because it pauses.
TEST_CASE("a planned stop finishes a forwarded stream that pauses", "[process]")
{
    std::atomic<bool> released {false};
    Site site(1, [](const std::string &request) {
        return request.starts_with("POST /stream/slow") ? streamHead(request) + chunk(event(1))
                                                        : answerOf(request);
    });
    site.restOfStream = [&released, sent = false]() mutable -> std::string {
        waitUntil([&] { return released.load(); });
        return std::exchange(sent, true) ? "" : chunk(event(2)) + "0\r\n\r\n";
    };
    ForwardedConnection forwarded(site, "m1");
    forwarded.send(site.requestTo("/stream/slow"));
    CHECK(forwarded.receive(event(1)));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    CallerConnection idle(site.callerAddress(0));
    site.process(0).signal(SIGTERM);
    // The stop is about to finish when it closes idle connections.
    CHECK(idle.receiveSome().empty());
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    released = true;
    CHECK(forwarded.receive(event(2)));
    CHECK(site.process(0).wait() == 0);
}

// Guards against a request that may have run because it crosses the end of its connection.
TEST_CASE("an instance that stops tells how much it forwarded on a connection", "[process]")
{
    Site site(1);
    ForwardedConnection forwarded(site, "e1");
    forwarded.send(site.requestTo("/unsafe/first"));
    CHECK(forwarded.receive("done"));
    const std::size_t first = forwarded.sentBytes();
    site.process(0).signal(SIGTERM);
    site.process(0).waitFor("\"event\":\"(stopping)\"");
    forwarded.send(site.requestTo("/unsafe/crossing"));
    CHECK(forwarded.receive(forwardedEnd(first)));
    CHECK(site.received("POST /unsafe/crossing") == 0);
}

TEST_CASE("an instance tells how much it forwarded when an endpoint wants no more", "[process]")
{
    std::atomic<bool> announces {false};
    Site site(1, [&announces](const std::string &request) {
        std::string answer = answerOf(request);
        return announces ? answer.insert(answer.find("\r\n") + 2, "Draining: 1\r\n") : answer;
    });
    ForwardedConnection forwarded(site, "e1");
    forwarded.send(site.requestTo("/unsafe/first"));
    CHECK(forwarded.receive("done"));
    const std::size_t first = forwarded.sentBytes();
    announces = true;
    // Both endpoints of the service announce their exit.
    CHECK(waitUntil([&] { return !site.serves(0, "/unsafe/x"); }));
    forwarded.send(site.requestTo("/unsafe/crossing"));
    CHECK(forwarded.receive(forwardedEnd(first)));
    CHECK(site.received("POST /unsafe/crossing") == 0);
}

TEST_CASE("an instance tells how much it forwarded when an endpoint closes the connection",
          "[process]")
{
    Site site(1, [](const std::string &request) {
        return request.starts_with("POST /unsafe/last")
                   ? "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
                         + "\r\nContent-Type: text/event-stream\r\n\r\nwhole\n\n"
                   : answerOf(request);
    });
    ForwardedConnection forwarded(site, "e1");
    forwarded.send(site.requestTo("/unsafe/last"));
    CHECK(forwarded.receive(forwardedEnd(forwarded.sentBytes())));
}

TEST_CASE("calls through a forwarding instance that is paused are answered", "[process]")
{
    ForwardedCall call;
    call.site.process(1).signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    call.site.process(1).signal(SIGCONT);
    CHECK(waitUntil([&] { return call.site.serves(1, "/unsafe/x"); }));
    call.release();
    CHECK(call.answer().starts_with("HTTP/1.1 200"));
    CHECK(call.received() == 1);
}

namespace {

enum class Announced { Pause, Exit };

/// Two instances, of which the first one reaches the endpoints through the second one only. The
/// endpoints e1 and m1 announce a pause or their exit once the test asks for it.
struct AnnouncingSite
{
    explicit AnnouncingSite(Announced announced)
        : site(2, [this, announced](const std::string &request) {
            const std::string endpoint = headerOf(request, "Endpoint-Id");
            if (!announces || (endpoint != "e1" && endpoint != "m1"))
                return answerOf(request);
            received += 1;
            if (announced == Announced::Pause)
                return "HTTP/1.1 503 No\r\nRequest-Id: " + headerOf(request, "Request-Id")
                       + "\r\nNot-Run: 1\r\nRetry-After: 120\r\nContent-Length: 0\r\n\r\n";
            std::string answer = answerOf(request);
            return answer.insert(answer.find("\r\n") + 2, "Draining: 1\r\n");
        })
    {
        site.cut(0, CutManner::Reset);
        for (const std::string path : {"/safe/x", "/stream/x"})
            CHECK(waitUntil([&] { return site.served(0, path, 10) == 10; }));
        announces = true;
    }

    std::atomic<bool> announces {false};
    std::atomic<int> received {0}; ///< by e1 and m1, since they announce
    Site site;
};

} // namespace

TEST_CASE("a forwarding instance that stood still sends no request whose instance gave it up",
          "[process]")
{
    Site site(1);
    CallerConnection forwarded(site.forwardAddress(0));
    forwarded.send("CONNECT e1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(forwarded.receiveSome().starts_with("HTTP/1.1 200"));
    site.process(0).signal(SIGSTOP);
    forwarded.send("POST /unsafe/late HTTP/1.1\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nhi");
    forwarded.leave(Departure::Close);
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    site.process(0).signal(SIGCONT);
    // A later request is served, so the instance has handled the one before.
    CHECK(waitUntil([&] { return site.serves(0, "/unsafe/x"); }));
    CHECK(site.received("POST /unsafe/late") == 0);
}

// Guards against requests of others to an endpoint that wants none from the forwarding instance.
TEST_CASE("what an endpoint announces to an instance holds for requests that it forwards",
          "[process]")
{
    const Announced announced = GENERATE(Announced::Pause, Announced::Exit);
    const std::string path = GENERATE("/safe/x", "/unsafe/x", "/stream/x");
    AnnouncingSite announcing(announced);
    CHECK(waitUntil([&] {
        announcing.site.serves(1, path);
        return announcing.received == 1;
    }));
    CHECK(announcing.site.served(0, path, 30) == 30);
    CHECK(announcing.received == 1);
}

// Guards against requests of the forwarding instance to an endpoint that refused a forwarded one.
TEST_CASE("what an endpoint answers to a forwarded request holds for the forwarding instance",
          "[process]")
{
    const Announced announced = GENERATE(Announced::Pause, Announced::Exit);
    const std::string path = GENERATE("/safe/x", "/unsafe/x", "/stream/x");
    AnnouncingSite announcing(announced);
    CHECK(waitUntil([&] {
        announcing.site.serves(0, path);
        return announcing.received == 1;
    }));
    CHECK(announcing.site.served(1, path, 30) == 30);
    CHECK(announcing.received == 1);
}
