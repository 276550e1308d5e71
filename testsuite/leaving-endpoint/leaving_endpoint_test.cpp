#include "../common/fleet.h"

#include <catch2/catch.hpp>

#include <set>

using namespace balsamloft;
using namespace balsamloft::testsuite;

namespace {

boost::json::array leavingList(const std::string &endpoint, int generation)
{
    return {boost::json::object {
        {"name", endpoint}, {"peer_address", ""}, {"generation", generation}, {"leaving", true}}};
}

/// Whether \a daemon reports \a endpoint as leaving.
bool reportsLeaving(const Daemon &daemon, const std::string &endpoint)
{
    const Reply reply = send(daemon.admin, "GET", "/admin/v1/endpoints", {},
                             {{"Authorization", std::string("Bearer ") + Fleet::OperatorToken}});
    const boost::json::object body = reply.json();
    const auto &list = body.at("endpoints").as_array();
    return std::any_of(list.begin(), list.end(), [&](const boost::json::value &item) {
        return item.at("name") == endpoint.c_str() && item.at("leaving").as_bool();
    });
}

/// Number of requests of which \a engine has executed steps.
std::size_t executedRequests(Fleet &fleet, const std::string &engine)
{
    std::set<std::string> requests;
    const boost::json::object log = fleet.log(engine);
    for (const auto &step : log.at("steps").as_array())
        requests.insert(std::string(step.at("request").as_string()));
    return requests.size();
}

std::vector<Call> makeCalls(Fleet &fleet, int count)
{
    std::vector<Call> calls;
    for (int i = 0; i < count; ++i)
        calls.push_back({fleet.daemon("i" + std::to_string(i % 2 + 1)).callers,
                         completionBody("m", "p" + std::to_string(i), 5), Fleet::teamHeaders()});
    return calls;
}

} // namespace

TEST_CASE("an endpoint that is listed as leaving gets no new requests", "[process][failure]")
{
    // Only one instance reads the platform's list in time; the other receives the state by gossip.
    // If the platform serves an older list again, the endpoint must still count as leaving.
    Fleet fleet;
    fleet.startChains(2);
    fleet.startDaemon("i1", "a");
    fleet.startDaemon("i2", "b");
    fleet.configure();
    for (const Reply &reply : sendAll(makeCalls(fleet, 40)))
        CHECK(reply.status == 200);
    REQUIRE(executedRequests(fleet, "e00") > 0);
    fleet.setInstanceList(leavingList("e00", 1));
    for (const auto *daemon : {"i1", "i2"})
        REQUIRE(waitUntil([&] { return reportsLeaving(fleet.daemon(daemon), "e00"); }));
    fleet.setInstanceList({boost::json::object {
        {"name", "e00"}, {"peer_address", ""}, {"generation", 1}, {"leaving", false}}});
    const std::size_t before = executedRequests(fleet, "e00");
    for (int round = 0; round < 3; ++round) {
        for (const Reply &reply : sendAll(makeCalls(fleet, 40)))
            CHECK(reply.status == 200);
    }
    CHECK(executedRequests(fleet, "e00") == before);
}

TEST_CASE("an endpoint that refuses requests as leaving executes none, and no request fails",
          "[process][failure]")
{
    // A leaving engine refuses a request. The refusal proves that the engine executed nothing, so
    // the request is sent to another engine, and the other instances are notified. The leaving
    // engine finishes the requests that it is executing.
    Fleet fleet;
    fleet.startChains(2);
    fleet.startDaemon("i1", "a");
    fleet.startDaemon("i2", "b");
    fleet.configure();
    fleet.injectFaults(fleet.address("e00"), {{"leaving", true}});
    for (const Reply &reply : sendAll(makeCalls(fleet, 40)))
        CHECK(reply.status == 200);
    for (const auto *daemon : {"i1", "i2"})
        CHECK(waitUntil([&] { return reportsLeaving(fleet.daemon(daemon), "e00"); }));
    CHECK(executedRequests(fleet, "e00") == 0);
}
