#include "../common/fleet.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft;
using namespace balsamloft::testsuite;

namespace {

const std::vector<std::string> ShortLease {"--lease_ms=1500", "--route_away_ms=500"};

bool holds(const Daemon &daemon)
{
    const Reply reply = send(daemon.admin, "GET", "/admin/v1/status", {},
                             {{"Authorization", std::string("Bearer ") + Fleet::OperatorToken}});
    const auto body = reply.json();
    return body.contains("holds_placement_lease") && body.at("holds_placement_lease").as_bool();
}

/// Fencing numbers of the orders that the engine has obeyed, in their order.
std::vector<std::int64_t> obeyed(Fleet &fleet, const std::string &engine)
{
    std::vector<std::int64_t> numbers;
    const boost::json::object log = fleet.log(engine);
    for (const auto &item : log.at("orders").as_array()) {
        if (item.at("obeyed").as_bool())
            numbers.push_back(item.at("order").at("fencing").as_int64());
    }
    return numbers;
}

void startFreeEngines(Fleet &fleet, bool checksFencing)
{
    // One holds at most half of the model: 24 of 48 gigabytes.
    for (const auto *name : {"f1", "f2"})
        fleet.startEngine(name, {.checksFencing = checksFencing, .placeable = true});
}

bool served(Fleet &fleet, const std::string &daemon)
{
    return send(fleet.daemon(daemon).callers, "POST", "/v1/completions",
                completionBody("m", "x", 3), Fleet::team())
               .status
           == 200;
}

} // namespace

TEST_CASE("free engines are given a model, split to fit, and then routed to", "[process]")
{
    Fleet fleet;
    startFreeEngines(fleet, true);
    fleet.startDaemon("i1", "a", ShortLease);
    fleet.configure();
    CHECK(waitUntil([&] { return served(fleet, "i1"); }));
    std::string output;
    CHECK(fleet.cli(fleet.daemon("i1"), {"placement"}, &output) == 0);
    CHECK(output.find("m: no replica yet") != std::string::npos);
    CHECK(fleet.log("f1").at("loads") == 1);
    CHECK(fleet.log("f2").at("loads") == 1);
}

TEST_CASE("a holder frozen past its lease wakes up and orders nothing", "[process][failure]")
{
    // Callers see nothing. The holder is stopped; another instance waits the
    // lease out and takes over with a higher fencing number. The first wakes
    // up still believing that it is in charge, looks at its lease, and is
    // silent. No engine obeys a lower number after a higher one.
    for (const bool checksFencing : {true, false}) {
        Fleet fleet;
        startFreeEngines(fleet, checksFencing);
        fleet.startDaemon("i1", "a", ShortLease);
        fleet.startDaemon("i2", "a", ShortLease);
        fleet.configure();
        REQUIRE(waitUntil([&] { return served(fleet, "i1"); }));
        REQUIRE(waitUntil([&] { return holds(fleet.daemon("i1")) || holds(fleet.daemon("i2")); }));
        const std::string first = holds(fleet.daemon("i1")) ? "i1" : "i2";
        const std::string second = first == "i1" ? "i2" : "i1";
        fleet.daemon(first).process->signal(SIGSTOP);
        REQUIRE(waitUntil([&] { return holds(fleet.daemon(second)); }));
        fleet.daemon(first).process->signal(SIGCONT);
        REQUIRE(waitUntil([&] { return !holds(fleet.daemon(first)); }));
        CHECK(holds(fleet.daemon(second)));
        // It may not have read yet what the first one placed.
        CHECK(waitUntil([&] { return served(fleet, second); }));
        for (const auto *engine : {"f1", "f2"}) {
            const auto numbers = obeyed(fleet, engine);
            CHECK(std::is_sorted(numbers.begin(), numbers.end()));
            // What the first holder loaded is kept: the second finds it in
            // the configuration and on the engines.
            CHECK(fleet.log(engine).at("loads") == 1);
        }
    }
}

TEST_CASE("a planned stop hands the lease over at once", "[process]")
{
    Fleet fleet;
    fleet.startDaemon("i1", "a", {"--lease_ms=100000"});
    fleet.configure();
    REQUIRE(waitUntil([&] { return holds(fleet.daemon("i1")); }));
    fleet.startDaemon("i2", "a", {"--lease_ms=3000"});
    fleet.daemon("i1").process->signal(SIGTERM);
    CHECK(waitUntil([&] { return holds(fleet.daemon("i2")); }));
}
