// What requests need of the control thread and of the store while an instance stops.

#include "callers.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft::testsuite;
using namespace std::chrono_literals;

namespace {

/// An instance that goes on serving during a stop of 8 s: a stream holds the process.
struct StoppingEntry
{
    StoppingEntry()
    {
        entry.addEndpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
        entry.addEndpoint("e1", "plain", endpoint.address());
        entry.answersWith("/safe/x", "done");
        holder = std::thread([this] { held = entry.post("/stream/x"); });
        waitUntil([this] {
            for (const std::string &request : engine.requests())
                if (request.starts_with("POST /stream"))
                    return true;
            return false;
        });
        calls = std::make_unique<Callers>(entry.callers, "/safe/x", 8);
        waitUntil([this] { return calls->count() >= 100; });
    }
    ~StoppingEntry()
    {
        released = true;
        holder.join();
    }

    void terminate()
    {
        entry.process->signal(SIGTERM);
        entry.process->waitFor("\"event\":\"stopping\"");
    }

    std::size_t refusals(const std::string &reason) const
    {
        const std::string output = entry.process->output();
        std::size_t count = 0;
        for (std::size_t at = output.find(reason); at != std::string::npos;
             at = output.find(reason, at + 1))
            count += 1;
        return count;
    }

    std::atomic<bool> released {false};
    EntryHarness entry {true, "5000"};
    RawServer engine {[this](const std::string &request) -> RawAnswer {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        waitUntil([this] { return released.load(); });
        return {streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
    }};
    RawServer endpoint {unhurriedEndpoint(20ms)};
    std::string held;
    std::thread holder;
    std::unique_ptr<Callers> calls;
};

} // namespace

TEST_CASE("an instance that stops goes on reading keys and endpoints", "[process]")
{
    // With a revocation time shorter than the stop, keys that are not read any more expire in it.
    StoppingEntry stopping;
    stopping.terminate();
    std::this_thread::sleep_for(1s);
    RawServer later(unhurriedEndpoint(1ms));
    stopping.entry.addEndpoint("e2", "plain", later.address());
    CHECK(waitUntil([&] { return !later.requests().empty(); }));
    std::this_thread::sleep_for(3s);
    stopping.released = true;
    CHECK(stopping.entry.process->wait() == 0);
    stopping.calls->stop();
    report("calls", *stopping.calls);
    CHECK(stopping.refusals("API keys out of date") == 0);
    auto atEndpoints = stopping.endpoint.requests();
    const auto atLater = later.requests();
    atEndpoints.insert(atEndpoints.end(), atLater.begin(), atLater.end());
    CHECK(stopping.calls->lost(atEndpoints).empty());
}

TEST_CASE("a store that fails during a stop leaves no request without an answer", "[process]")
{
    StoppingEntry stopping;
    SECTION("the store is down from the SIGTERM on")
    {
        stopping.entry.store.down = true;
    }
    SECTION("the store is silent from the SIGTERM on")
    {
        stopping.entry.store.silent = true;
    }
    stopping.terminate();
    std::this_thread::sleep_for(6s);
    stopping.released = true;
    CHECK(stopping.entry.process->wait() == 0);
    stopping.calls->stop();
    report("calls", *stopping.calls);
    if (std::getenv("BALSAMLOFT_SHOW_COUNTS"))
        std::printf("keys out of date: %zu, stopping: %zu\n",
                    stopping.refusals("API keys out of date"),
                    stopping.refusals("instance is stopping"));
    CHECK(stopping.calls->lost(stopping.endpoint.requests()).empty());
}

TEST_CASE("a request that breaks its connection is answered during a stop", "[process]")
{
    EntryHarness entry;
    RawServer crashing([&](const std::string &request) -> RawAnswer {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        return {"", RawAnswer::Then::Reset};
    });
    entry.addEndpoint("e1", "plain", crashing.address());
    Callers callers(entry.callers, "/safe/x", 4);
    waitUntil([&] { return callers.count() >= 8; });
    const bool storeSilent = GENERATE(false, true);
    entry.store.silent = storeSilent;
    entry.process->signal(SIGTERM);
    CHECK(entry.process->wait() == 0);
    callers.stop();
    report("callers", callers);
    CHECK(callers.count() > 8);
    CHECK(callers.lost(crashing.requests()).empty());
}

TEST_CASE("a large answer is delivered to a caller that pauses its reading", "[process]")
{
    // A caller that is paused for longer than the endpoints' timeout for acknowledgments.
    const bool stop = GENERATE(false, true);
    const std::string body(7U << 20U, 'x');
    EntryHarness entry;
    RawServer endpoint(
        [&](const std::string &request) { return RawAnswer {okAnswer(request, body)}; });
    entry.addEndpoint("e1", "plain", endpoint.address());
    CallerConnection caller(entry.callers);
    caller.send("POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nTeam-Key: good-key\r\n"
                "Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
    std::string answer = caller.receiveSome();
    if (stop)
        entry.process->signal(SIGTERM);
    std::this_thread::sleep_for(4s);
    while (!completeAnswer(answer)) {
        const std::string more = caller.receiveSome();
        if (more.empty())
            break;
        answer += more;
    }
    CHECK(answer.size() > body.size());
}

TEST_CASE("a process that is late at the end of its stop still answers", "[process]")
{
    // It stands still until its grace period is over, and then finds requests that nobody has read.
    EntryHarness entry;
    std::atomic<bool> released {false};
    RawServer endpoint([&](const std::string &request) {
        waitUntil([&] { return released.load(); });
        return RawAnswer {okAnswer(request, "done")};
    });
    entry.addEndpoint("e1", "plain", endpoint.address());
    CallerConnection holder(entry.callers);
    holder.send("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nTeam-Key: good-key\r\n"
                "Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
    waitUntil([&] { return !endpoint.requests().empty(); });
    entry.process->signal(SIGTERM);
    waitUntil([&] { return !entry.isReady(); });
    std::this_thread::sleep_for(7s);
    entry.process->signal(SIGSTOP);
    constexpr std::size_t CallerCount = 40;
    std::vector<std::unique_ptr<CallerConnection>> callers;
    for (std::size_t i = 0; i < CallerCount; ++i) {
        callers.push_back(std::make_unique<CallerConnection>(entry.callers));
        callers.back()->send("POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
                             "Team-Key: good-key\r\nContent-Length: 0\r\n\r\n");
    }
    std::this_thread::sleep_for(1s);
    entry.process->signal(SIGCONT);
    std::size_t refused = 0;
    for (const auto &caller : callers)
        refused += caller->receive().starts_with("HTTP/1.1 503") ? 1 : 0;
    CHECK(refused == CallerCount);
    released = true;
    CHECK(completeAnswer(holder.receive()));
    CHECK(entry.process->wait() == 0);
}
