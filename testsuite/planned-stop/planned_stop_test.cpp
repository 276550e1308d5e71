#include "../common/fleet.h"

#include "../../src/fakes/enginemodel.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft;
using namespace balsamloft::testsuite;

TEST_CASE("SIGTERM under full load cuts nothing", "[process]")
{
    // Callers see whole streams. An instance is told to stop, twice, while it
    // streams to all of them; the second signal must not end it early.
    Fleet fleet;
    fleet.startChains(2, {.slots = 32, .stepMicros = 5000});
    fleet.startDaemon("i1");
    fleet.configure();
    std::vector<Call> calls;
    for (int i = 0; i < 50; ++i)
        calls.push_back({fleet.daemon("i1").callers,
                         completionBody("m", "p" + std::to_string(i), 60, i % 2 == 0),
                         Fleet::team()});
    Process &process = *fleet.daemon("i1").process;
    std::thread stopper;
    const auto replies = sendAll(calls, [&] {
        stopper = std::thread([&] {
            // All have arrived, none has finished.
            waitUntil([&] { return fleet.log("e00").at("steps").as_array().size() > 50; });
            process.signal(SIGTERM);
            process.waitFor("not ready from now on");
            process.signal(SIGTERM);
        });
    });
    stopper.join();
    for (int i = 0; i < 50; ++i) {
        CHECK(replies[i].status == 200);
        CHECK(replies[i].text()
              == fakes::expectedCompletion("m", Fleet::Layers, "p" + std::to_string(i), 60));
    }
    CHECK(process.wait() == 0);
    CHECK(process.output().find("already stopping") != std::string::npos);
}

TEST_CASE("a stopping instance says so before it closes its port", "[process]")
{
    // The balancer sees "not ready" while connections are still accepted; a
    // caller that comes meanwhile gets an honest refusal, not a closed port.
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1", "a", {"--drain_grace_ms=60000"});
    fleet.configure();
    const std::string callers = fleet.daemon("i1").callers;
    REQUIRE(send(callers, "GET", "/readyz").status == 200);
    REQUIRE(fleet.cli(fleet.daemon("i1"), {"drain"}) == 0);
    CHECK(waitUntil([&] { return send(callers, "GET", "/readyz").status == 503; }));
    CHECK(send(callers, "GET", "/healthz").status == 200);
    const Reply reply =
        send(callers, "POST", "/v1/completions", completionBody("m", "x", 3), Fleet::team());
    CHECK(reply.errorCode() == "draining");
    CHECK(reply.ran() == "no");
}
