// Tests one instance of `balsamloft-entry` from the caller's point of view.

#include "entryharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft::testsuite;

TEST_CASE("an instance without a configuration is not ready and answers 503", "[process]")
{
    // A process that has just started and cannot read the store has neither routes nor keys, so 404
    // or 401 would be wrong.
    EntryHarness entry(false);
    CHECK_FALSE(entry.isReady());
    CHECK(entry.post("/safe/x").starts_with("HTTP/1.1 503"));
}

TEST_CASE("a forwarded request has the team's name and the remaining time, but not the key",
          "[process]")
{
    EntryHarness entry;
    RawServer endpoint(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
    entry.addEndpoint("e1", "plain", endpoint.address());
    const std::string answer =
        entry.post("/unsafe/x", "good-key", "Team: forged\r\nX-Own: kept\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("done"));
    REQUIRE(endpoint.requests().size() == 1);
    const std::string request = endpoint.requests().front();
    CHECK(request.starts_with("POST /unsafe/x HTTP/1.1"));
    CHECK(request.ends_with("hi"));
    CHECK(headerOf(request, "Team") == "team-a");
    CHECK(headerOf(request, "Team-Key").empty());
    CHECK(headerOf(request, "Endpoint-Id") == "e1");
    CHECK(headerOf(request, "X-Own") == "kept");
    CHECK(std::stoi(headerOf(request, "Deadline-Ms")) <= 5000);
}

TEST_CASE("an unknown key is refused, and so is a known key after a long outage of the store",
          "[process]")
{
    // A key may be withdrawn while the store cannot be read. Before the revocation time is over,
    // requests are refused with 503 and Retry-After; unknown keys get 503 too, since they may be
    // new.
    EntryHarness entry(true, "3000");
    RawServer endpoint(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
    entry.addEndpoint("e1", "plain", endpoint.address());
    CHECK(waitUntil([&] { return entry.post("/safe/x", "bad-key").starts_with("HTTP/1.1 401"); }));
    CHECK(entry.answersWith("/safe/x", "done"));
    entry.store.silent = true;
    CHECK(waitUntil([&] { return entry.post("/safe/x").starts_with("HTTP/1.1 503"); }));
    CHECK(entry.post("/safe/x", "bad-key").starts_with("HTTP/1.1 503"));
    CHECK(entry.post("/safe/x").find("Retry-After: ") != std::string::npos);
    CHECK(waitUntil([&] { return !entry.isReady(); }));
}

TEST_CASE("a new configuration takes effect, and a malformed one changes nothing", "[process]")
{
    EntryHarness entry;
    RawServer endpoint(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
    entry.addEndpoint("e1", "plain", endpoint.address());
    entry.configure(5, R"({"new-key":"team-b"})", "/moved/");
    CHECK(waitUntil([&] { return entry.post("/moved/x", "new-key").starts_with("HTTP/1.1 200"); }));
    CHECK(entry.post("/safe/x", "new-key").starts_with("HTTP/1.1 404"));
    CHECK(entry.post("/moved/x").starts_with("HTTP/1.1 401"));
    entry.store.put("configuration", "current", "{broken");
    entry.process->waitFor("\"event\":\"(not taken)\"");
    CHECK(entry.answersWith("/moved/x", "done", "new-key"));
}

TEST_CASE("an invalid answer of an endpoint is not passed to the caller", "[process]")
{
    // The answer belongs to another request, lacks the proof of execution, is truncated, is encoded
    // or is not HTTP. The request is unsafe, so it is not retried and fails with 502.
    const std::string wrong = GENERATE(
        std::string(
            "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\nContent-Length: 4\r\n\r\nevil"),
        std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\nevil"),
        std::string(
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nevil"),
        std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\nContent-Encoding: gzip\r\n"
                    "Content-Length: 4\r\n\r\nevil"),
        std::string("no answer at all\r\n\r\n"));
    EntryHarness entry;
    RawServer bad([&](const std::string &) { return RawAnswer {wrong, RawAnswer::Then::Close}; });
    entry.addEndpoint("bad", "plain", bad.address());
    const std::string unsafe = entry.post("/unsafe/x");
    CHECK(unsafe.starts_with("HTTP/1.1 502"));
    CHECK(unsafe.find("evil") == std::string::npos);
    CHECK(bad.requests().size() == 1);
}

TEST_CASE("a connection with bytes after an answer is not reused", "[process]")
{
    // The endpoint sends an unsolicited second answer, which the next caller must not receive.
    EntryHarness entry;
    std::atomic<int> count {0};
    RawServer endpoint([&](const std::string &request) {
        const std::string extra =
            count++ == 0 ? okAnswer("\r\nRequest-Id: r1\r\n", "evil") : std::string();
        return RawAnswer {okAnswer(request, "done") + extra};
    });
    entry.addEndpoint("e1", "plain", endpoint.address());
    for (int i = 0; i < 5; ++i)
        CHECK(waitUntil([&] {
            const std::string answer = entry.post("/safe/x");
            CHECK(answer.find("evil") == std::string::npos);
            return answer.ends_with("done");
        }));
}

TEST_CASE("an unsafe request that the endpoint reports as not executed is answered with 503",
          "[process]")
{
    EntryHarness entry;
    RawServer full([](const std::string &) {
        return RawAnswer {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"};
    });
    entry.addEndpoint("full", "plain", full.address());
    const std::string answer = entry.post("/unsafe/x");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("an unsafe request is not sent again after its connection broke", "[process]")
{
    EntryHarness entry;
    const auto then = GENERATE(RawAnswer::Then::Close, RawAnswer::Then::Reset);
    RawServer one([&](const std::string &) { return RawAnswer {"", then}; });
    RawServer two([&](const std::string &) { return RawAnswer {"", then}; });
    entry.addEndpoint("one", "plain", one.address());
    entry.addEndpoint("two", "plain", two.address());
    CHECK(entry.post("/unsafe/x").starts_with("HTTP/1.1 502"));
    CHECK(one.requests().size() + two.requests().size() == 1);
}

TEST_CASE("a stream truncated within an event resumes at another engine", "[process]")
{
    // The caller receives one answer: the head and events 1 and 2 of the first engine, then events
    // 3 and 4 of the second. The partial event 3 of the first engine is dropped.
    EntryHarness entry;
    std::atomic<int> runs {0};
    const auto engine = [&](const std::string &request) -> RawAnswer {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        if (runs++ == 0)
            return {streamHead(request) + chunk(event(1) + event(2)) + chunk("id: 3\nda"),
                    RawAnswer::Then::Close};
        return {streamHead(request) + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n"};
    };
    RawServer a(engine);
    RawServer b(engine);
    entry.addEndpoint("a", "model", a.address(), R"(,"layers":[0,4])");
    entry.addEndpoint("b", "model", b.address(), R"(,"layers":[0,4])");
    const std::string answer = entry.post("/stream/x");
    std::string events;
    for (int i = 1; i <= 4; ++i) {
        const std::size_t at = answer.find(event(i));
        REQUIRE(at != std::string::npos);
        CHECK(answer.find("id: " + std::to_string(i) + "\n", at + 1) == std::string::npos);
    }
    CHECK(answer.ends_with("0\r\n\r\n"));
    CHECK(runs == 2);
    bool resumed = false;
    for (const RawServer *each : {&a, &b})
        for (const std::string &request : each->requests())
            resumed = resumed || headerOf(request, "Last-Event-Id") == "2";
    CHECK(resumed);
}

TEST_CASE("a stream that cannot resume ends without the last chunk", "[process]")
{
    EntryHarness entry;
    RawServer engine([&](const std::string &request) -> RawAnswer {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        return {streamHead(request) + chunk(event(1)), RawAnswer::Then::Close};
    });
    entry.addEndpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
    const std::string answer = entry.post("/stream/x");
    CHECK(answer.find(event(1)) != std::string::npos);
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("the connection to the engine is closed when the caller disconnects", "[process]")
{
    EntryHarness entry;
    RawServer engine([&](const std::string &request) -> RawAnswer {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        return {streamHead(request) + chunk(event(1)), RawAnswer::Then::Silence};
    });
    entry.addEndpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
    exchange(entry.callers,
             "POST /stream/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTeam-Key: good-key\r\n"
             "Tokens: 10,10\r\nDeadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n",
             [](const std::string &text) { return text.find(event(1)) != std::string::npos; });
    CHECK(waitUntil([&] { return engine.closedByPeer() >= 1; }));
}

TEST_CASE("a request with both Content-Length and Transfer-Encoding is not forwarded", "[process]")
{
    EntryHarness entry;
    RawServer endpoint(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
    entry.addEndpoint("e1", "plain", endpoint.address());
    const std::string answer =
        exchange(entry.callers,
                 "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTeam-Key: good-key\r\n"
                 "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                 "POST /unsafe/evil HTTP/1.1\r\nHost: h\r\n\r\n",
                 completeAnswer);
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(endpoint.requests().empty());
}

TEST_CASE("an endpoint that reports leaving gets no new requests", "[process]")
{
    EntryHarness entry;
    RawServer old([](const std::string &request) { return RawAnswer {okAnswer(request, "old")}; });
    RawServer fresh(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "new")}; });
    entry.addEndpoint("old", "plain", old.address());
    CHECK(entry.answersWith("/safe/x", "old"));
    entry.addEndpoint("fresh", "plain", fresh.address());
    entry.store.put("endpoints", "old",
                    R"({"service":"plain","address":")" + old.address()
                        + R"(","domain":"d","state":"leaving"})");
    entry.process->waitFor("\"number\":(3)"); // the instance has applied the change
    const std::size_t before = old.requests().size();
    for (int i = 0; i < 20; ++i)
        CHECK(entry.answersWith("/safe/x", "new"));
    CHECK(old.requests().size() == before);
}

// Guards against applying the deletions in an answer before the other changes. If an endpoint's row
// is written and deleted within a quarter of a second, one answer of the store holds both. The
// endpoint would then stay listed and receive requests, since no further change removes it.
TEST_CASE("an endpoint that is added and removed between two reads gets no requests", "[process]")
{
    EntryHarness entry;
    const auto answerWith = [](const std::string &body) {
        return [body](const std::string &request) { return RawAnswer {okAnswer(request, body)}; };
    };
    RawServer stays(answerWith("stays"));
    RawServer left(answerWith("left"));
    RawServer later(answerWith("later"));
    entry.addEndpoint("stays", "plain", stays.address());
    CHECK(entry.answersWith("/safe/x", "stays"));
    entry.store.putAndDrop("endpoints", "left",
                           R"({"service":"plain","address":")" + left.address()
                               + R"(","domain":"d","kind":"card"})");
    entry.addEndpoint("later", "plain", later.address());
    CHECK(entry.answersWith("/safe/x", "later")); // the instance has read both changes
    for (int i = 0; i < 20; ++i)
        entry.post("/safe/x");
    CHECK(left.requests().empty());
}

// Guards against ignoring the rate limit in the answers of an endpoint.
TEST_CASE("an endpoint with a low rate limit gets few of the requests", "[process]")
{
    constexpr std::size_t Calls = 200;
    EntryHarness entry;
    const auto answer = [](const std::string &request, const std::string &header) {
        std::string text = okAnswer(request, "done");
        text.insert(text.find("\r\n") + 2, header);
        return RawAnswer {text};
    };
    RawServer limited(
        [&](const std::string &request) { return answer(request, "Rate-Limit: 0.05\r\n"); });
    RawServer other([&](const std::string &request) { return answer(request, ""); });
    entry.addEndpoint("e1", "plain", limited.address());
    entry.addEndpoint("e2", "plain", other.address());
    for (std::size_t i = 0; i < Calls; ++i)
        CHECK(entry.post("/safe/x").starts_with("HTTP/1.1 200"));
    CHECK(limited.requests().size() < Calls / 10);
    CHECK(limited.requests().size() + other.requests().size() >= Calls);
}
