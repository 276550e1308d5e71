#include "../common/fleet.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft;
using namespace balsamloft::testsuite;

namespace {

const std::vector<std::string> ShortLease {"--lease_ms=1500", "--route_away_ms=500"};

bool holdsLease(const Daemon &daemon)
{
    const Reply reply = send(daemon.admin, "GET", "/admin/v1/status", {},
                             {{"Authorization", std::string("Bearer ") + Fleet::OperatorToken}});
    const auto body = reply.json();
    return body.contains("holds_placement_lease") && body.at("holds_placement_lease").as_bool();
}

/// Fencing numbers of the orders that the engine accepted, in order.
std::vector<std::int64_t> fencingNumbers(Fleet &fleet, const std::string &engine)
{
    std::vector<std::int64_t> numbers;
    const boost::json::object log = fleet.log(engine);
    for (const auto &item : log.at("orders").as_array()) {
        if (item.at("obeyed").as_bool())
            numbers.push_back(item.at("order").at("fencing").as_int64());
    }
    return numbers;
}

void startEmptyEngines(Fleet &fleet, bool checksFencing)
{
    // Each engine holds at most half of the model: 24 of 48 GB.
    for (const auto *name : {"f1", "f2"})
        fleet.startEngine(name, {.checksFencing = checksFencing, .placeable = true});
}

bool serves(Fleet &fleet, const std::string &daemon)
{
    return send(fleet.daemon(daemon).callers, "POST", "/v1/completions",
                completionBody("m", "x", 3), Fleet::teamHeaders())
               .status
           == 200;
}

} // namespace

TEST_CASE("empty engines are assigned layers that fit their memory, then receive requests",
          "[process]")
{
    Fleet fleet;
    startEmptyEngines(fleet, true);
    fleet.startDaemon("i1", "a", ShortLease);
    fleet.configure();
    CHECK(waitUntil([&] { return serves(fleet, "i1"); }));
    std::string output;
    CHECK(fleet.cli(fleet.daemon("i1"), {"placement"}, &output) == 0);
    CHECK(output.find("m: no replica yet") != std::string::npos);
    CHECK(fleet.log("f1").at("loads") == 1);
    CHECK(fleet.log("f2").at("loads") == 1);
}

TEST_CASE("a lease holder paused past its lease sends no orders when it resumes",
          "[process][failure]")
{
    // The holder is paused; another instance waits until the lease expires and takes over with a
    // higher fencing number. The first holder resumes with outdated state and must check its lease
    // before it sends orders. No engine accepts a lower number after a higher one.
    for (const bool checksFencing : {true, false}) {
        Fleet fleet;
        startEmptyEngines(fleet, checksFencing);
        fleet.startDaemon("i1", "a", ShortLease);
        fleet.startDaemon("i2", "a", ShortLease);
        fleet.configure();
        REQUIRE(waitUntil([&] { return serves(fleet, "i1"); }));
        REQUIRE(waitUntil(
            [&] { return holdsLease(fleet.daemon("i1")) || holdsLease(fleet.daemon("i2")); }));
        const std::string first = holdsLease(fleet.daemon("i1")) ? "i1" : "i2";
        const std::string second = first == "i1" ? "i2" : "i1";
        fleet.daemon(first).process->signal(SIGSTOP);
        REQUIRE(waitUntil([&] { return holdsLease(fleet.daemon(second)); }));
        fleet.daemon(first).process->signal(SIGCONT);
        REQUIRE(waitUntil([&] { return !holdsLease(fleet.daemon(first)); }));
        CHECK(holdsLease(fleet.daemon(second)));
        // The second holder may not have read the placement of the first holder yet, so wait.
        CHECK(waitUntil([&] { return serves(fleet, second); }));
        for (const auto *engine : {"f1", "f2"}) {
            const auto numbers = fencingNumbers(fleet, engine);
            CHECK(std::is_sorted(numbers.begin(), numbers.end()));
            // The second holder keeps the loaded layers: it finds them in the configuration and on
            // the engines.
            CHECK(fleet.log(engine).at("loads") == 1);
        }
    }
}

TEST_CASE("a stopping instance releases its lease at once", "[process]")
{
    Fleet fleet;
    fleet.startDaemon("i1", "a", {"--lease_ms=100000"});
    fleet.configure();
    REQUIRE(waitUntil([&] { return holdsLease(fleet.daemon("i1")); }));
    fleet.startDaemon("i2", "a", {"--lease_ms=3000"});
    fleet.daemon("i1").process->signal(SIGTERM);
    CHECK(waitUntil([&] { return holdsLease(fleet.daemon("i2")); }));
}
