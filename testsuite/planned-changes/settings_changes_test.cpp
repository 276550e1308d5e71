// SIGHUP and SIGTERM, in all orders, while callers have requests in progress.

#include "callers.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft::testsuite;
using namespace std::chrono_literals;

namespace {

constexpr int CallerCount = 12;
/// Requests that callers send before and after the change.
constexpr std::size_t RequestsAround = 60;

const std::string ValidSettings = "--revocation_ms=30000\n--grace_s=8\n";

/// An instance with calls and streams in progress.
struct LoadedEntry
{
    LoadedEntry()
        : entry(true, "30000", {settings.flag()})
        , endpoint(unhurriedEndpoint(60ms))
        , engine(unhurriedEndpoint(120ms))
    {
        entry.addEndpoint("e1", "plain", endpoint.address());
        entry.addEndpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
        entry.answersWith("/safe/x", "done");
        calls = std::make_unique<Callers>(entry.callers, "/safe/x", CallerCount);
        streams = std::make_unique<Callers>(entry.callers, "/stream/x", CallerCount);
        waitForMoreRequests();
    }

    void waitForMoreRequests()
    {
        const std::size_t callsBefore = calls->count();
        const std::size_t streamsBefore = streams->count();
        waitUntil([&] {
            return calls->count() >= callsBefore + RequestsAround
                   && streams->count() >= streamsBefore + RequestsAround;
        });
    }

    void terminate() { entry.process->signal(SIGTERM); }
    void reload() { entry.process->signal(SIGHUP); }

    /// Ends the callers, or waits until the process has ended, and checks their records.
    void checkAllAnswered()
    {
        calls->stop();
        streams->stop();
        const auto lostCalls = calls->lost(endpoint.requests());
        const auto lostStreams = streams->lost(engine.requests());
        for (const CallRecord &each : lostCalls)
            WARN("call " << each.id << " " << each.age.count() << " ms, status " << each.status);
        for (const CallRecord &each : lostStreams)
            WARN("stream " << each.id << " " << each.age.count() << " ms, status " << each.status);
        CHECK(lostCalls.empty());
        CHECK(lostStreams.empty());
        report("calls", *calls);
        report("streams", *streams);
        CHECK(calls->withStatus(200) + calls->withStatus(503) + calls->unanswered()
              == calls->count());
    }

    SettingsFile settings {ValidSettings};
    EntryHarness entry;
    RawServer endpoint;
    RawServer engine;
    std::unique_ptr<Callers> calls;
    std::unique_ptr<Callers> streams;
};

} // namespace

TEST_CASE("SIGHUP under load leaves no request without an answer", "[process]")
{
    LoadedEntry loaded;
    SECTION("valid file")
    {
        loaded.settings.write("--revocation_ms=20000\n--grace_s=9\n--retry_ratio=0.3\n");
        loaded.reload();
        loaded.entry.process->waitFor("\"grace_ms\":9000");
    }
    SECTION("malformed file")
    {
        loaded.settings.write("--grace_s=soon\n");
        loaded.reload();
        loaded.entry.process->waitFor("settings not taken");
    }
    SECTION("file that is being written")
    {
        loaded.settings.write("--revocation_ms=30000\n--grace_s=");
        loaded.reload();
        loaded.entry.process->waitFor("settings not taken");
        loaded.settings.write("");
        loaded.reload();
        loaded.entry.process->waitFor("\"event\":\"reloaded\"");
    }
    SECTION("several in a row")
    {
        for (int i = 0; i < 50; ++i) {
            loaded.settings.write(i % 2 == 0 ? ValidSettings : "--grace_s=7\n");
            loaded.reload();
            std::this_thread::sleep_for(2ms);
        }
        loaded.entry.process->waitFor("\"event\":\"reloaded\"");
    }
    loaded.waitForMoreRequests();
    loaded.checkAllAnswered();
    CAPTURE(loaded.calls->byStatus(), loaded.streams->byStatus());
    CHECK(loaded.calls->unanswered() + loaded.streams->unanswered() == 0);
    CHECK(loaded.calls->withStatus(200) == loaded.calls->count());
    CHECK(loaded.streams->withStatus(200) == loaded.streams->count());
}

TEST_CASE("SIGTERM around SIGHUP leaves no request without an answer", "[process]")
{
    LoadedEntry loaded;
    SECTION("SIGTERM right after SIGHUP")
    {
        loaded.reload();
        loaded.terminate();
    }
    SECTION("SIGHUP right after SIGTERM")
    {
        loaded.terminate();
        loaded.reload();
    }
    SECTION("several SIGHUP during the stop")
    {
        loaded.terminate();
        while (loaded.entry.process->running()) {
            loaded.reload();
            std::this_thread::sleep_for(100ms);
        }
    }
    SECTION("two SIGTERM")
    {
        loaded.terminate();
        std::this_thread::sleep_for(1s);
        loaded.terminate();
    }
    CHECK(loaded.entry.process->wait() == 0);
    loaded.checkAllAnswered();
}

TEST_CASE("a grace period that changes during the stop truncates no answer", "[process]")
{
    // The callers of a stop rely on the grace period that was in force when it began.
    const std::string changed = GENERATE("--grace_s=2\n", "--grace_s=30\n");
    SettingsFile settings("--grace_s=8\n");
    EntryHarness entry(true, "30000", {settings.flag()});
    std::atomic<bool> released {false};
    RawServer engine(streamWhenReleased(released));
    entry.addEndpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
    std::string answer;
    std::thread caller([&] { answer = entry.post("/stream/x"); });
    waitForStream(engine);
    entry.process->signal(SIGTERM);
    const auto logged = [&](const std::string &text) {
        return entry.process->output().find(text) != std::string::npos;
    };
    waitUntil([&] { return logged("\"event\":\"stopping\""); });
    std::this_thread::sleep_for(2500ms);
    settings.write(changed);
    entry.process->signal(SIGHUP);
    waitUntil([&] { return logged("\"event\":\"reloaded\"") || !entry.process->running(); });
    std::this_thread::sleep_for(1s);
    released = true;
    caller.join();
    INFO(entry.process->output());
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("0\r\n\r\n"));
    CHECK(entry.process->wait() == 0);
}

TEST_CASE("SIGTERM before an instance is ready answers what it has accepted", "[process]")
{
    EntryHarness entry(false);
    Callers callers(entry.callers, "/safe/x", CallerCount);
    waitUntil([&] { return callers.count() >= RequestsAround; });
    entry.process->signal(SIGTERM);
    CHECK(entry.process->wait() == 0);
    callers.stop();
    CHECK(callers.lost({}).empty());
    CHECK(callers.withStatus(503) + callers.unanswered() == callers.count());
    report("callers", callers);
}
