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

/// Streams \a count completions; once \a engine works for them, calls \a fault.
std::vector<Reply> streamDuring(Fleet &fleet, int count, const std::string &engine,
                                const std::function<void()> &fault)
{
    std::vector<Call> calls;
    for (int i = 0; i < count; ++i)
        calls.push_back({fleet.daemon("i1").callers,
                         completionBody("m", "prompt " + std::to_string(i), Tokens, true),
                         Fleet::team()});
    std::thread breaker;
    auto replies = sendAll(calls, [&] {
        breaker = std::thread([&] {
            waitUntil([&] { return fleet.log(engine).at("steps").as_array().size() > 30; });
            fault();
        });
    });
    breaker.join();
    return replies;
}

void checkAllWhole(const std::vector<Reply> &replies)
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

TEST_CASE("kill -9 of a stage in mid-token: streams go on elsewhere", "[process][failure]")
{
    // Callers see whole streams. An engine in the middle of the chain is
    // killed; its connections are reset with steps under way. Sending those
    // again to the same attempt could run layers twice, so each request is
    // resumed from the tokens it has been given.
    Fleet fleet;
    startFleet(fleet, 2, 5000);
    checkAllWhole(streamDuring(fleet, 20, "e01", [&] { fleet.endpoint("e01").signal(SIGKILL); }));
}

TEST_CASE("a stage frozen past every timeout: late answers are fenced", "[process][failure]")
{
    // Callers see whole streams. An engine stops without a word; the probe
    // over a new connection shows that it is the engine. When it goes on, it
    // answers steps of attempts that were given up; those answers are dropped.
    Fleet fleet;
    startFleet(fleet, 2, 5000);
    checkAllWhole(streamDuring(fleet, 20, "e01", [&] {
        fleet.endpoint("e01").signal(SIGSTOP);
        waitUntil([&] {
            return metrics(fleet).find("balsamloft_ejections_total{worker=\"0\"} 0")
                   == std::string::npos;
        });
        fleet.endpoint("e01").signal(SIGCONT);
    }));
}

TEST_CASE("connections that go silent while new ones work", "[process][failure]")
{
    // Callers see whole streams. The engine's answers on open connections are
    // swallowed without an error; new connections work. The probe tells the
    // two apart, and the kept connections are not used again.
    Fleet fleet;
    startFleet(fleet, 1, 3000);
    checkAllWhole(streamDuring(fleet, 8, "e01", [&] {
        fleet.faults(fleet.address("e01"), {{"mute", 6}});
    }));
}

TEST_CASE("answers crossed between two connections reach nobody", "[process][failure]")
{
    // Callers see their own whole streams. The engine swaps answers in pairs;
    // only the echo of request, attempt, position and layers shows it.
    Fleet fleet;
    startFleet(fleet, 2, 3000);
    checkAllWhole(streamDuring(fleet, 20, "e00", [&] {
        fleet.faults(fleet.address("e00"), {{"cross", 6}});
    }));
    CHECK(metrics(fleet).find("balsamloft_crossed_answers_total{worker=\"0\"} 6")
          != std::string::npos);
}

TEST_CASE("a killed stage and a silent connection at once", "[process][failure]")
{
    // Callers see whole streams. One chain loses an engine for good while a
    // connection to the other chain goes silent: both kinds of failure count
    // against the same requests.
    Fleet fleet;
    startFleet(fleet, 3, 3000);
    checkAllWhole(streamDuring(fleet, 20, "e01", [&] {
        fleet.faults(fleet.address("e11"), {{"mute", 4}});
        fleet.endpoint("e01").signal(SIGKILL);
    }));
}
