#include "../common/fleet.h"
#include "../entry/callerconnection.h"

#include "../../src/fakes/enginemodel.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft;
using namespace balsamloft::testsuite;

TEST_CASE("SIGTERM under full load truncates no answer", "[process]")
{
    // The instance receives SIGTERM twice while all requests are in flight. The second signal must
    // not terminate it early.
    Fleet fleet;
    fleet.startChains(2, {.slots = 32, .stepMicros = 5000});
    fleet.startDaemon("i1");
    fleet.configure();
    std::vector<Call> calls;
    for (int i = 0; i < 50; ++i)
        calls.push_back({fleet.daemon("i1").callers,
                         completionBody("m", "p" + std::to_string(i), 60, i % 2 == 0),
                         Fleet::teamHeaders()});
    Process &process = *fleet.daemon("i1").process;
    std::thread stopThread;
    const auto replies = sendAll(calls, [&] {
        stopThread = std::thread([&] {
            // When the first engine has executed more than 50 steps, all requests have arrived and
            // none has finished.
            waitUntil([&] { return fleet.log("e00").at("steps").as_array().size() > 50; });
            process.signal(SIGTERM);
            process.waitFor("not ready from now on");
            process.signal(SIGTERM);
        });
    });
    stopThread.join();
    for (int i = 0; i < 50; ++i) {
        CHECK(replies[i].status == 200);
        CHECK(replies[i].text()
              == fakes::expectedCompletion("m", Fleet::Layers, "p" + std::to_string(i), 60));
    }
    CHECK(process.wait() == 0);
    CHECK(process.output().find("already stopping") != std::string::npos);
}

TEST_CASE("a draining instance reports not ready before it closes its port", "[process]")
{
    // The load balancer sees "not ready" while connections are still accepted. A request that
    // arrives meanwhile gets a refusal instead of a closed port.
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
        send(callers, "POST", "/v1/completions", completionBody("m", "x", 3), Fleet::teamHeaders());
    CHECK(reply.errorCode() == "draining");
    CHECK(reply.ran() == "no");
    CallerConnection kept(callers);
    kept.send("GET /healthz HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    CHECK(kept.receive().find("Connection: close") != std::string::npos);
}

// Guards against a reset of requests that arrive while the process is late.
TEST_CASE("requests that wait on kept connections are answered although the process stands still "
          "until it closes idle connections",
          "[process]")
{
    constexpr int Callers = 300; // more than the process takes from the system in one turn
    const std::string request =
        "GET /services/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\n"
        "Content-Length: 0\r\n\r\n";
    Fleet fleet;
    fleet.startChains(1);
    fleet.startService("s0");
    fleet.startDaemon("i1", "a", {"--drain_grace_ms=1000"});
    fleet.configure();
    Process &process = *fleet.daemon("i1").process;
    std::vector<std::unique_ptr<CallerConnection>> callers;
    for (int i = 0; i < Callers; ++i) {
        callers.push_back(std::make_unique<CallerConnection>(fleet.daemon("i1").callers));
        callers.back()->send(request);
        REQUIRE(callers.back()->receive().starts_with("HTTP/1.1 "));
    }
    process.signal(SIGTERM);
    process.waitFor("not ready from now on");
    process.signal(SIGSTOP);
    for (const auto &caller : callers)
        caller->send(request);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500)); // longer than the drain grace
    process.signal(SIGCONT);
    int answered = 0;
    for (const auto &caller : callers)
        answered += caller->receive().starts_with("HTTP/1.1 ");
    CHECK(answered == Callers);
    callers.clear();
    CHECK(process.wait() == 0);
}
