// Requests on new connections at the end of the grace period. Each caller is owed an answer.

#include "callers.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft::testsuite;

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/// After SIGTERM, with the grace period of EntryHarness: before and after the time from which all
/// that is in progress is finished.
constexpr milliseconds BeforeEnding {7100};
constexpr milliseconds InEnding {7600};

/// An instance whose stop lasts for the whole grace period, because a stream does.
struct BusyStop
{
    BusyStop()
    {
        entry.addEndpoint("e", "plain", service.address());
        entry.addEndpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
        stream.send(requestTo("/stream/x"));
        REQUIRE(stream.receiveUntil("data: e1\n\n"));
    }
    ~BusyStop() { streams.finish(); }

    EntryHarness entry;
    RawServer service {answerAtOnce};
    HeldStreams streams;
    RawServer engine {streams.handler()};
    CallerConnection stream {entry.callers};
    Callers callers;
};

} // namespace

TEST_CASE("a request that is read as the end of a stop begins is lost", "[process][failure]")
{
    // One request of a stop is at risk, in about every second stop.
    constexpr int StopCount = 8;
    constexpr int CallerCount = 200;
    std::vector<std::unique_ptr<BusyStop>> stops;
    while (stops.size() < StopCount)
        stops.push_back(std::make_unique<BusyStop>());
    const auto terminatedAt = Clock::now();
    for (const auto &stop : stops)
        stop->entry.process->signal(SIGTERM);
    std::this_thread::sleep_until(terminatedAt + BeforeEnding);
    for (const auto &stop : stops) {
        stop->entry.process->signal(SIGSTOP);
        stop->callers = connectCallers(stop->entry.callers, CallerCount);
        sendFromEach(stop->callers, requestTo("/safe/x"));
    }
    std::this_thread::sleep_until(terminatedAt + InEnding);
    for (const auto &stop : stops)
        stop->entry.process->signal(SIGCONT);
    int answers = 0;
    for (const auto &stop : stops)
        answers += receiveByEach(stop->callers);
    CHECK(answers == StopCount * CallerCount);
}
