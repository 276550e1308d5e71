#include "../common/fleet.h"

#include "../../src/fakes/enginemodel.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft;
using namespace balsamloft::testsuite;

namespace {

/// Streams \a count completions and calls \a fault when they have begun.
std::vector<Reply> streamDuring(Fleet &fleet, int count, int tokens,
                                const std::function<void()> &fault)
{
    std::vector<Call> calls;
    for (int i = 0; i < count; ++i)
        calls.push_back({fleet.daemon("i1").callers,
                         completionBody("m", "prompt " + std::to_string(i), tokens, true),
                         Fleet::team()});
    return sendAll(calls, fault);
}

void checkAllWhole(const std::vector<Reply> &replies, int tokens)
{
    for (std::size_t i = 0; i < replies.size(); ++i) {
        CHECK(replies[i].streamDone());
        CHECK(replies[i].text()
              == fakes::expectedCompletion("m", Fleet::Layers, "prompt " + std::to_string(i),
                                           static_cast<std::uint32_t>(tokens)));
    }
}

/// Waits until the engine has executed something.
void waitUntilBusy(Fleet &fleet, const std::string &engine)
{
    REQUIRE(waitUntil([&] { return fleet.log(engine).at("steps").as_array().size() > 30; }));
}

} // namespace

TEST_CASE("kill -9 of a stage in mid-token: streams go on elsewhere", "[process][failure]")
{
    // Callers see whole streams. An engine in the middle of the chain is
    // killed; its connections are reset with steps under way. Sending those
    // again to the same attempt could run layers twice, so each request is
    // resumed from the tokens it has been given.
    Fleet fleet;
    fleet.startChains(2, {.stepMicros = 5000});
    fleet.startDaemon("i1");
    fleet.configure();
    std::thread fault;
    const auto replies = streamDuring(fleet, 20, 60, [&] {
        fault = std::thread([&] {
            waitUntilBusy(fleet, "e01");
            fleet.endpoint("e01").signal(SIGKILL);
        });
    });
    fault.join();
    checkAllWhole(replies, 60);
}

TEST_CASE("a stage frozen past every timeout: late answers are fenced", "[process][failure]")
{
    // Callers see whole streams. An engine stops without a word; the probe
    // over a new connection shows that it is the engine. When it goes on, it
    // answers steps of attempts that were given up; those answers are dropped.
    Fleet fleet;
    fleet.startChains(2, {.stepMicros = 5000});
    fleet.startDaemon("i1");
    fleet.configure();
    std::thread fault;
    const auto replies = streamDuring(fleet, 20, 60, [&] {
        fault = std::thread([&] {
            waitUntilBusy(fleet, "e01");
            fleet.endpoint("e01").signal(SIGSTOP);
            waitUntil([&] {
                const auto metrics = send(fleet.daemon("i1").callers, "GET", "/metrics").body;
                return metrics.find("balsamloft_ejections_total{worker=\"0\"} 0")
                       == std::string::npos;
            });
            fleet.endpoint("e01").signal(SIGCONT);
        });
    });
    fault.join();
    checkAllWhole(replies, 60);
}

TEST_CASE("connections that go silent while new ones work", "[process][failure]")
{
    // Callers see whole streams. The engine's answers on open connections are
    // swallowed without an error; new connections work. The probe tells the
    // two apart, and the kept connections are not used again.
    Fleet fleet;
    fleet.startChains(1, {.stepMicros = 3000});
    fleet.startDaemon("i1");
    fleet.configure();
    std::thread fault;
    const auto replies = streamDuring(fleet, 8, 60, [&] {
        fault = std::thread([&] {
            waitUntilBusy(fleet, "e01");
            fleet.faults(fleet.address("e01"), {{"mute", 6}});
        });
    });
    fault.join();
    checkAllWhole(replies, 60);
}

TEST_CASE("answers crossed between two connections reach nobody", "[process][failure]")
{
    // Callers see their own whole streams. The engine swaps answers in pairs;
    // only the echo of request, attempt, position and layers shows it.
    Fleet fleet;
    fleet.startChains(2, {.stepMicros = 3000});
    fleet.startDaemon("i1");
    fleet.configure();
    std::thread fault;
    const auto replies = streamDuring(fleet, 20, 60, [&] {
        fault = std::thread([&] {
            waitUntilBusy(fleet, "e00");
            fleet.faults(fleet.address("e00"), {{"cross", 6}});
        });
    });
    fault.join();
    checkAllWhole(replies, 60);
    const auto metrics = send(fleet.daemon("i1").callers, "GET", "/metrics").body;
    CHECK(metrics.find("balsamloft_crossed_answers_total{worker=\"0\"} 6") != std::string::npos);
}

TEST_CASE("a killed stage and a silent connection at once", "[process][failure]")
{
    // Callers see whole streams. One chain loses an engine for good while a
    // connection to the other chain goes silent: both kinds of failure count
    // against the same requests.
    Fleet fleet;
    fleet.startChains(3, {.stepMicros = 3000});
    fleet.startDaemon("i1");
    fleet.configure();
    std::thread fault;
    const auto replies = streamDuring(fleet, 20, 60, [&] {
        fault = std::thread([&] {
            waitUntilBusy(fleet, "e01");
            fleet.faults(fleet.address("e11"), {{"mute", 4}});
            fleet.endpoint("e01").signal(SIGKILL);
        });
    });
    fault.join();
    checkAllWhole(replies, 60);
}
