// What callers of one instance of `balsamloft-entry` see.

#include "entryharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft::testsuite;

TEST_CASE("an instance without a configuration is not ready and refuses as not run", "[process]")
{
    // The caller of a process that has just started and cannot read the store:
    // neither "no such route" nor "unknown key" would be true.
    EntryHarness entry(false);
    CHECK_FALSE(entry.isReady());
    CHECK(entry.post("/safe/x").starts_with("HTTP/1.1 503"));
}

TEST_CASE("a call goes through with the team's name, without the key, with the time left",
          "[process]")
{
    EntryHarness entry;
    RawServer endpoint(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
    entry.endpoint("e1", "plain", endpoint.address());
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

TEST_CASE("an unknown key is refused, and so is a known one once the store was silent too long",
          "[process]")
{
    // A key may have been withdrawn while the store cannot be read. Before the
    // bound is over the caller is refused as not run, with a time to come back;
    // an unknown key is then not called unknown either.
    EntryHarness entry(true, "3000");
    RawServer endpoint(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
    entry.endpoint("e1", "plain", endpoint.address());
    CHECK(waitUntil([&] { return entry.post("/safe/x", "bad-key").starts_with("HTTP/1.1 401"); }));
    CHECK(entry.answersWith("/safe/x", "done"));
    entry.store.silent = true;
    CHECK(waitUntil([&] { return entry.post("/safe/x").starts_with("HTTP/1.1 503"); }));
    CHECK(entry.post("/safe/x", "bad-key").starts_with("HTTP/1.1 503"));
    CHECK(entry.post("/safe/x").find("Retry-After: ") != std::string::npos);
    CHECK(waitUntil([&] { return !entry.isReady(); }));
}

TEST_CASE("a new configuration is in force, and a malformed one changes nothing", "[process]")
{
    EntryHarness entry;
    RawServer endpoint(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
    entry.endpoint("e1", "plain", endpoint.address());
    entry.configure(5, R"({"new-key":"team-b"})", "/moved/");
    CHECK(waitUntil([&] { return entry.post("/moved/x", "new-key").starts_with("HTTP/1.1 200"); }));
    CHECK(entry.post("/safe/x", "new-key").starts_with("HTTP/1.1 404"));
    CHECK(entry.post("/moved/x").starts_with("HTTP/1.1 401"));
    entry.store.put("configuration", "current", "{broken");
    entry.process->waitFor("\"event\":\"(not taken)\"");
    CHECK(entry.answersWith("/moved/x", "done", "new-key"));
}

TEST_CASE("what an endpoint sends that is no answer to the request reaches nobody", "[process]")
{
    // The caller gets an honest failure, or, for a call that may run again, the
    // answer of another endpoint; never another's answer, never half of one.
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
    entry.endpoint("bad", "plain", bad.address());
    const std::string unsafe = entry.post("/unsafe/x");
    CHECK(unsafe.starts_with("HTTP/1.1 502"));
    CHECK(unsafe.find("evil") == std::string::npos);
    CHECK(bad.requests().size() == 1);
}

TEST_CASE("bytes after an answer poison the connection", "[process]")
{
    // An endpoint sends a second answer that nobody asked for. The next caller
    // must not get it.
    EntryHarness entry;
    std::atomic<int> count {0};
    RawServer endpoint([&](const std::string &request) {
        const std::string extra =
            count++ == 0 ? okAnswer("\r\nRequest-Id: r1\r\n", "evil") : std::string();
        return RawAnswer {okAnswer(request, "done") + extra};
    });
    entry.endpoint("e1", "plain", endpoint.address());
    for (int i = 0; i < 5; ++i)
        CHECK(waitUntil([&] {
            const std::string answer = entry.post("/safe/x");
            CHECK(answer.find("evil") == std::string::npos);
            return answer.ends_with("done");
        }));
}

TEST_CASE("an endpoint that says it did not run an unsafe call is no reason to say it may have",
          "[process]")
{
    EntryHarness entry;
    RawServer full([](const std::string &) {
        return RawAnswer {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"};
    });
    entry.endpoint("full", "plain", full.address());
    const std::string answer = entry.post("/unsafe/x");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("an unsafe call whose connection broke is sent once and may have run", "[process]")
{
    EntryHarness entry;
    const auto then = GENERATE(RawAnswer::Then::Close, RawAnswer::Then::Reset);
    RawServer one([&](const std::string &) { return RawAnswer {"", then}; });
    RawServer two([&](const std::string &) { return RawAnswer {"", then}; });
    entry.endpoint("one", "plain", one.address());
    entry.endpoint("two", "plain", two.address());
    CHECK(entry.post("/unsafe/x").starts_with("HTTP/1.1 502"));
    CHECK(one.requests().size() + two.requests().size() == 1);
}

TEST_CASE("a stream cut in the middle of an event goes on at another engine", "[process]")
{
    // The caller sees one answer: the head and events 1 and 2 of the first
    // engine, then 3 and 4 of the second; the half event is not among them.
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
    entry.endpoint("a", "model", a.address(), R"(,"layers":[0,4])");
    entry.endpoint("b", "model", b.address(), R"(,"layers":[0,4])");
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

TEST_CASE("a stream that cannot go on does not look complete", "[process]")
{
    EntryHarness entry;
    RawServer engine([&](const std::string &request) -> RawAnswer {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        return {streamHead(request) + chunk(event(1)), RawAnswer::Then::Close};
    });
    entry.endpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
    const std::string answer = entry.post("/stream/x");
    CHECK(answer.find(event(1)) != std::string::npos);
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("a caller that goes away ends the work at the engine", "[process]")
{
    EntryHarness entry;
    RawServer engine([&](const std::string &request) -> RawAnswer {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        return {streamHead(request) + chunk(event(1)), RawAnswer::Then::Silence};
    });
    entry.endpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
    exchange(entry.callers,
             "POST /stream/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTeam-Key: good-key\r\n"
             "Tokens: 10,10\r\nDeadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n",
             [](const std::string &text) { return text.find(event(1)) != std::string::npos; });
    CHECK(waitUntil([&] { return engine.closedByPeer() >= 1; }));
}

TEST_CASE("a request that could be read in two ways reaches no endpoint", "[process]")
{
    EntryHarness entry;
    RawServer endpoint(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
    entry.endpoint("e1", "plain", endpoint.address());
    const std::string answer =
        exchange(entry.callers,
                 "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTeam-Key: good-key\r\n"
                 "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                 "POST /unsafe/evil HTTP/1.1\r\nHost: h\r\n\r\n",
                 completeAnswer);
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(endpoint.requests().empty());
}

TEST_CASE("an endpoint that leaves gets nothing new", "[process]")
{
    EntryHarness entry;
    RawServer old([](const std::string &request) { return RawAnswer {okAnswer(request, "old")}; });
    RawServer fresh(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "new")}; });
    entry.endpoint("old", "plain", old.address());
    CHECK(entry.answersWith("/safe/x", "old"));
    entry.endpoint("fresh", "plain", fresh.address());
    entry.store.put("endpoints", "old",
                    R"({"service":"plain","address":")" + old.address()
                        + R"(","domain":"d","state":"leaving"})");
    entry.process->waitFor("\"number\":(3)"); // it has heard
    const std::size_t before = old.requests().size();
    for (int i = 0; i < 20; ++i)
        CHECK(entry.answersWith("/safe/x", "new"));
    CHECK(old.requests().size() == before);
}

// The caller's request goes to an endpoint whose leaving the store acknowledged seconds
// ago. The endpoint wrote itself down and was taken off the list within a quarter of a
// second, between two readings, so that one answer of the store holds both steps, in
// their order. The instance takes the endpoint for ready, and nothing tells it again.
TEST_CASE("an endpoint that came and left between two readings gets nothing", "[process]")
{
    EntryHarness entry;
    const auto answers = [](const std::string &body) {
        return [body](const std::string &request) { return RawAnswer {okAnswer(request, body)}; };
    };
    RawServer stays(answers("stays"));
    RawServer left(answers("left"));
    RawServer later(answers("later"));
    entry.endpoint("stays", "plain", stays.address());
    CHECK(entry.answersWith("/safe/x", "stays"));
    entry.store.putAndDrop("endpoints", "left",
                           R"({"service":"plain","address":")" + left.address()
                               + R"(","domain":"d","kind":"card"})");
    entry.endpoint("later", "plain", later.address());
    CHECK(entry.answersWith("/safe/x", "later")); // the list has been read since
    for (int i = 0; i < 20; ++i)
        entry.post("/safe/x");
    CHECK(left.requests().empty());
}

// Guards against a limit in an endpoint's answers that is not read.
TEST_CASE("an endpoint that names a rate limit gets few of the calls", "[process]")
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
    entry.endpoint("e1", "plain", limited.address());
    entry.endpoint("e2", "plain", other.address());
    for (std::size_t i = 0; i < Calls; ++i)
        CHECK(entry.post("/safe/x").starts_with("HTTP/1.1 200"));
    CHECK(limited.requests().size() < Calls / 10);
    CHECK(limited.requests().size() + other.requests().size() >= Calls);
}
