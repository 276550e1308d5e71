#include "../common/fleet.h"

#include <catch2/catch.hpp>

#include <set>

using namespace balsamloft;
using namespace balsamloft::testsuite;

namespace {

boost::json::array listOf(const std::string &leaving, int generation)
{
    return {boost::json::object {
        {"name", leaving}, {"peer_address", ""}, {"generation", generation}, {"leaving", true}}};
}

/// Whether the instance knows that the endpoint is leaving.
bool seenLeaving(const Daemon &daemon, const std::string &endpoint)
{
    const Reply reply = send(daemon.admin, "GET", "/admin/v1/endpoints", {},
                             {{"Authorization", std::string("Bearer ") + Fleet::OperatorToken}});
    const boost::json::object body = reply.json();
    const auto &list = body.at("endpoints").as_array();
    return std::any_of(list.begin(), list.end(), [&](const boost::json::value &item) {
        return item.at("name") == endpoint.c_str() && item.at("leaving").as_bool();
    });
}

std::size_t prefills(Fleet &fleet, const std::string &engine)
{
    std::set<std::string> requests;
    const boost::json::object log = fleet.log(engine);
    for (const auto &step : log.at("steps").as_array())
        requests.insert(std::string(step.at("request").as_string()));
    return requests.size();
}

std::vector<Call> someCalls(Fleet &fleet, int count)
{
    std::vector<Call> calls;
    for (int i = 0; i < count; ++i)
        calls.push_back({fleet.daemon("i" + std::to_string(i % 2 + 1)).callers,
                         completionBody("m", "p" + std::to_string(i), 5), Fleet::team()});
    return calls;
}

} // namespace

TEST_CASE("an endpoint on the list of the leaving gets nothing new", "[process][failure]")
{
    // Callers see nothing. The platform lists an engine as leaving; only one
    // instance reads that list in time, the other hears of it by gossip. A
    // list of before, served again, does not bring the endpoint back.
    Fleet fleet;
    fleet.startChains(2);
    fleet.startDaemon("i1", "a");
    fleet.startDaemon("i2", "b");
    fleet.configure();
    for (const Reply &reply : sendAll(someCalls(fleet, 40)))
        CHECK(reply.status == 200);
    REQUIRE(prefills(fleet, "e00") > 0);
    fleet.listInstances(listOf("e00", 1));
    for (const auto *daemon : {"i1", "i2"})
        REQUIRE(waitUntil([&] { return seenLeaving(fleet.daemon(daemon), "e00"); }));
    fleet.listInstances({boost::json::object {
        {"name", "e00"}, {"peer_address", ""}, {"generation", 1}, {"leaving", false}}});
    const std::size_t before = prefills(fleet, "e00");
    for (int round = 0; round < 3; ++round) {
        for (const Reply &reply : sendAll(someCalls(fleet, 40)))
            CHECK(reply.status == 200);
    }
    CHECK(prefills(fleet, "e00") == before);
}

TEST_CASE("an endpoint that says itself that it is leaving", "[process][failure]")
{
    // Callers see nothing. The engine refuses new work and says why; the
    // refusal proves that nothing ran, so the request goes elsewhere, and the
    // other instances are told. Work begun before is finished there.
    Fleet fleet;
    fleet.startChains(2);
    fleet.startDaemon("i1", "a");
    fleet.startDaemon("i2", "b");
    fleet.configure();
    fleet.faults(fleet.address("e00"), {{"leaving", true}});
    for (const Reply &reply : sendAll(someCalls(fleet, 40)))
        CHECK(reply.status == 200);
    for (const auto *daemon : {"i1", "i2"})
        CHECK(waitUntil([&] { return seenLeaving(fleet.daemon(daemon), "e00"); }));
    CHECK(prefills(fleet, "e00") == 0);
}
