#include "../common/fleet.h"

#include "../../src/fakes/enginemodel.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft;
using namespace balsamloft::testsuite;

namespace {

constexpr int Tokens = 60;

/// Starts \a chains chains of three engines and one instance.
void startFleet(Fleet &fleet, int chains, int stepMicros)
{
    fleet.startChains(chains, {.stepMicros = stepMicros});
    fleet.startDaemon("i1");
    fleet.configure();
}

/// Streams \a count completions and calls \a fault once \a engine has executed more than 30 steps.
std::vector<Reply> streamDuring(Fleet &fleet, int count, const std::string &engine,
                                const std::function<void()> &fault)
{
    std::vector<Call> calls;
    for (int i = 0; i < count; ++i)
        calls.push_back({fleet.daemon("i1").callers,
                         completionBody("m", "prompt " + std::to_string(i), Tokens, true),
                         Fleet::teamHeaders()});
    std::thread faultThread;
    auto replies = sendAll(calls, [&] {
        faultThread = std::thread([&] {
            waitUntil([&] { return fleet.log(engine).at("steps").as_array().size() > 30; });
            fault();
        });
    });
    faultThread.join();
    return replies;
}

void checkAllComplete(const std::vector<Reply> &replies)
{
    for (std::size_t i = 0; i < replies.size(); ++i) {
        CHECK(replies[i].streamDone());
        CHECK(replies[i].text()
              == fakes::expectedCompletion("m", Fleet::Layers, "prompt " + std::to_string(i),
                                           Tokens));
    }
}

std::string metrics(Fleet &fleet)
{
    return send(fleet.daemon("i1").callers, "GET", "/metrics").body;
}

} // namespace

TEST_CASE("streams through a killed engine continue on another chain", "[process][failure]")
{
    // An engine in the middle of a chain is killed while steps are in flight. Sending those steps
    // again in the same attempt could execute layers twice, so each request is resumed from the
    // tokens already received.
    Fleet fleet;
    startFleet(fleet, 2, 5000);
    checkAllComplete(
        streamDuring(fleet, 20, "e01", [&] { fleet.endpoint("e01").signal(SIGKILL); }));
}

TEST_CASE("late answers of an engine paused past all timeouts are dropped", "[process][failure]")
{
    // A probe on a new connection fails too, so the engine has failed and not just a connection.
    // When the engine resumes, it answers steps of abandoned attempts; those answers are dropped.
    Fleet fleet;
    startFleet(fleet, 2, 5000);
    checkAllComplete(streamDuring(fleet, 20, "e01", [&] {
        fleet.endpoint("e01").signal(SIGSTOP);
        waitUntil([&] {
            return metrics(fleet).find("balsamloft_ejections_total{worker=\"0\"} 0")
                   == std::string::npos;
        });
        fleet.endpoint("e01").signal(SIGCONT);
    }));
}

TEST_CASE("streams continue if open connections go silent while new ones work",
          "[process][failure]")
{
    // The engine's answers on open connections are lost without an error; new connections work. A
    // probe on a new connection succeeds, so the engine is not treated as failed. The open
    // connections are not used again.
    Fleet fleet;
    startFleet(fleet, 1, 3000);
    checkAllComplete(streamDuring(fleet, 8, "e01", [&] {
        fleet.injectFaults(fleet.address("e01"), {{"mute", 6}});
    }));
}

TEST_CASE("mismatched answers are not passed to callers", "[process][failure]")
{
    // The engine swaps answers between pairs of connections. Only the echoed request, attempt,
    // position and layers reveal the mismatch.
    Fleet fleet;
    startFleet(fleet, 2, 3000);
    checkAllComplete(streamDuring(fleet, 20, "e00", [&] {
        fleet.injectFaults(fleet.address("e00"), {{"cross", 6}});
    }));
    CHECK(metrics(fleet).find("balsamloft_crossed_answers_total{worker=\"0\"} 6")
          != std::string::npos);
}

TEST_CASE("streams complete despite a killed engine and silent connections at the same time",
          "[process][failure]")
{
    // One chain loses an engine permanently while connections to another chain go silent. Both
    // kinds of failure count toward the attempt limit of a request.
    Fleet fleet;
    startFleet(fleet, 3, 3000);
    checkAllComplete(streamDuring(fleet, 20, "e01", [&] {
        fleet.injectFaults(fleet.address("e11"), {{"mute", 4}});
        fleet.endpoint("e01").signal(SIGKILL);
    }));
}
