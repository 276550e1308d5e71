#include "../common/fleet.h"

#include "../../src/fakes/enginemodel.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::testsuite;

TEST_CASE("200 concurrent callers each get their own complete answer", "[process]")
{
    Fleet fleet;
    fleet.startChains(2, {.slots = 32});
    fleet.startService("s1");
    fleet.startDaemon("i1", "a");
    fleet.startDaemon("i2", "a");
    fleet.startDaemon("i3", "b");
    fleet.configure();

    std::vector<Call> calls;
    for (int i = 0; i < 200; ++i) {
        const auto &daemon = fleet.daemon("i" + std::to_string(i % 3 + 1));
        calls.push_back({daemon.callers,
                         completionBody("m", "prompt " + std::to_string(i), 20, i % 2 == 0),
                         Fleet::teamHeaders()});
    }
    const auto replies = sendAll(calls);
    const auto steps = fleet.steps();
    for (int i = 0; i < 200; ++i) {
        const std::string prompt = "prompt " + std::to_string(i);
        const std::string expected = fakes::expectedCompletion("m", Fleet::Layers, prompt, 20);
        REQUIRE(replies[i].status == 200);
        REQUIRE(replies[i].text() == expected);
        REQUIRE((i % 2 != 0 || replies[i].streamDone()));
        checkLayersOnce(steps, replies[i].headers.at("Balsamloft-Request-Id"), expected);
    }
}

TEST_CASE("a service receives the method, path and body of a call unchanged", "[process]")
{
    Fleet fleet;
    fleet.startService("s1");
    fleet.startDaemon("i1");
    fleet.configure();
    const Reply reply = send(fleet.daemon("i1").callers, "PUT", "/services/s/records/7?x=1",
                             "content", Fleet::teamHeaders());
    CHECK(reply.status == 200);
    CHECK(reply.json().at("method") == "PUT");
    CHECK(reply.json().at("path") == "/records/7?x=1");
    CHECK(reply.json().at("body") == "content");
}
