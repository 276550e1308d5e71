#include "../fakes/linkemulator.h"

#include <balsamloft/endpointlinks.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

constexpr Time Start {Duration(1'000'000'000)};

Time at(std::int64_t ms)
{
    return Start + Duration(ms * 1000);
}

std::vector<PeerInstance> instances(std::size_t own, std::size_t other)
{
    std::vector<PeerInstance> all;
    for (std::size_t i = 0; i < own + other; ++i)
        all.push_back({"i" + std::to_string(100 + i), i < own ? "north" : "south", "", "address"});
    return all;
}

/// The links of the first of \a own instances in a domain.
EndpointLinks makeLinks(std::size_t own, std::size_t other = 0)
{
    EndpointLinks links("i100", "north");
    links.setInstances(instances(own, other));
    return links;
}

} // namespace

TEST_CASE("a link is broken only if another instance reaches the endpoint")
{
    EndpointLinks links = makeLinks(2);
    links.recordDirectFailure("e", ConnectFailure::Refused, at(0));
    CHECK_FALSE(links.isBroken("e"));
    CHECK(links.choosePeer("e", {}, at(0))->name == "i101");
    CHECK(links.recordForwarded("e", "i101", at(2)));
    CHECK(links.isBroken("e"));
    CHECK_FALSE(links.mayReuseDirect("e", at(2)));
    CHECK_FALSE(links.mayReportCrash(at(2)));
    CHECK(links.recordDirectSuccess("e", at(600)));
    CHECK_FALSE(links.isBroken("e"));
    CHECK(links.mayReportCrash(at(600)));
}

TEST_CASE("one connection that times out does not break a link")
{
    EndpointLinks links = makeLinks(2);
    links.recordDirectFailure("e", ConnectFailure::TimedOut, at(0));
    CHECK_FALSE(links.recordForwarded("e", "i101", at(50)));
    links.recordDirectFailure("e", ConnectFailure::TimedOut, at(100));
    CHECK(links.recordForwarded("e", "i101", at(150)));
}

TEST_CASE("a broken link is tried again at intervals")
{
    EndpointLinks links = makeLinks(2);
    links.recordDirectFailure("e", ConnectFailure::Refused, at(0));
    links.recordForwarded("e", "i101", at(2));
    links.recordDirectAttempt("e", at(10));
    CHECK_FALSE(links.shouldTryDirect("e", at(400)));
    CHECK(links.shouldTryDirect("e", at(600)));
    links.recordDirectAttempt("e", at(600));
    CHECK_FALSE(links.shouldTryDirect("e", at(700)));
}

TEST_CASE("two broken links put the others in doubt until they open a connection")
{
    EndpointLinks links = makeLinks(2);
    for (const std::string endpoint : {"a", "b"}) {
        CHECK(links.mayReuseDirect("c", at(0)));
        links.recordDirectFailure(endpoint, ConnectFailure::Refused, at(0));
        links.recordForwarded(endpoint, "i101", at(2));
    }
    CHECK_FALSE(links.mayReuseDirect("c", at(5)));
    CHECK(links.shouldAskPeerAtOnce("c", at(5)));
    links.recordDirectSuccess("c", at(6));
    CHECK(links.mayReuseDirect("c", at(7)));
    CHECK_FALSE(links.mayReuseDirect("d", at(7)));
}

TEST_CASE("an endpoint that nobody reaches is not asked for again at once")
{
    EndpointLinks links = makeLinks(5);
    links.recordDirectFailure("e", ConnectFailure::Refused, at(0));
    std::set<std::string> asked;
    while (const auto peer = links.choosePeer("e", asked, at(0))) {
        asked.insert(peer->name);
        links.recordForwardingFailure("e", peer->name, false, at(1));
    }
    CHECK(asked.size() == 3);
    CHECK(links.isUnreachable("e", at(2)));
    CHECK_FALSE(links.choosePeer("e", {}, at(500)));
    CHECK(links.choosePeer("f", {}, at(2)));
    CHECK(links.choosePeer("e", {}, at(1100)));
    // A dead endpoint is no sign of broken links.
    CHECK(links.mayReportCrash(at(2)));
}

// Guards against crashes that are reported because the links of all asked instances are broken.
TEST_CASE("an endpoint that nobody reaches has crashed only if all found that it refuses")
{
    const bool refused = GENERATE(true, false);
    EndpointLinks links = makeLinks(3);
    links.recordDirectFailure("e", ConnectFailure::Refused, at(0));
    links.recordForwardingFailure("e", "i101", true, at(1));
    links.recordForwardingFailure("e", "i102", refused, at(2));
    CHECK(links.isUnreachable("e", at(3)));
    CHECK(links.isRefusedEverywhere("e", at(3)) == refused);
    CHECK_FALSE(links.isRefusedEverywhere("e", at(1100)));
}

TEST_CASE("a link is proved by endpoints of the domain of the one that refused")
{
    FleetSnapshot fleet;
    const auto add = [&fleet](const std::string &id, const std::string &domain) {
        FleetEndpoint &endpoint = fleet.endpoints.emplace_back();
        endpoint.id = id;
        endpoint.address = "at " + id;
        endpoint.domain = domain;
    };
    add("e", "north");
    add("other", "south");
    EndpointLinks links = makeLinks(2);
    CHECK(links.chooseReference(fleet, "e", {})->id == "other");
    add("a", "north");
    add("b", "north");
    add("gone", "north");
    add("leaving", "north");
    fleet.endpoints.back().draining = true;
    links.recordDirectFailure("gone", ConnectFailure::Refused, at(0));
    CHECK(links.chooseReference(fleet, "e", {"b"})->id == "a");
    CHECK(links.chooseReference(fleet, "e", {"a"})->id == "b");
    CHECK_FALSE(links.chooseReference(fleet, "e", {"a", "b"}));
    // The domain may be cut off as a whole, which an endpoint elsewhere would not show.
    links.recordDirectFailure("a", ConnectFailure::Refused, at(0));
    links.recordDirectFailure("b", ConnectFailure::Refused, at(0));
    CHECK_FALSE(links.chooseReference(fleet, "e", {}));
}

TEST_CASE("several endpoints that refuse connections at once are not reported as crashed")
{
    EndpointLinks links = makeLinks(1);
    for (const std::string endpoint : {"a", "b", "c"})
        links.recordDirectFailure(endpoint, ConnectFailure::Refused, at(0));
    CHECK_FALSE(links.mayReportCrash(at(10)));
    links.recordDirectData(at(20));
    CHECK(links.mayReportCrash(at(30)));
}

TEST_CASE("peers with broken links are avoided once another one reaches the endpoint")
{
    EndpointLinks links = makeLinks(4);
    links.recordDirectFailure("e", ConnectFailure::Refused, at(0));
    links.recordForwardingFailure("e", "i101", false, at(1));
    links.recordForwardingFailure("e", "i102", false, at(2));
    links.recordForwarded("e", "i103", at(3));
    for (int i = 0; i < 50; ++i)
        CHECK(links.choosePeer("f", {}, at(4 + i))->name == "i103");
}

TEST_CASE("peers of other domains are asked if those of the own domain fail")
{
    EndpointLinks links = makeLinks(50, 50);
    links.recordDirectFailure("e", ConnectFailure::Refused, at(0));
    std::set<std::string> asked;
    std::optional<PeerInstance> peer;
    for (int i = 0; i < 3; ++i) {
        peer = links.choosePeer("e", asked, at(i));
        REQUIRE(peer);
        CHECK((peer->domain == "north" || i == 2));
        asked.insert(peer->name);
        if (peer->domain == "north")
            links.recordForwardingFailure("e", peer->name, false, at(i));
    }
}

TEST_CASE("without other instances connections are direct")
{
    EndpointLinks links = makeLinks(1);
    links.recordDirectFailure("e", ConnectFailure::Refused, at(0));
    CHECK_FALSE(links.choosePeer("e", {}, at(0)));
    CHECK(links.shouldTryDirect("e", at(0)));
    CHECK(links.mayReportCrash(at(0)));
}

// Fleets

namespace {

using fakes::CutLink;
using fakes::LinkEmulator;
using fakes::LinkFleetSettings;

constexpr auto Second = std::chrono::seconds(1);

LinkFleetSettings fleetOf(std::size_t instances)
{
    LinkFleetSettings settings;
    settings.domains = instances == 6 ? 3 : instances == 76 ? 4 : 5;
    settings.instancesPerDomain = instances / settings.domains;
    settings.endpoints = instances == 6 ? 33 : 90;
    return settings;
}

/// The first \a count instances; the domains follow each other.
void cutFirst(LinkEmulator &fleet, std::size_t count, CutLink manner)
{
    for (std::size_t i = 0; i < count; ++i)
        fleet.cut(i, manner);
}

} // namespace

TEST_CASE("instances without links open connections as often as the others, at all sizes")
{
    const std::size_t size = GENERATE(6, 76, 295);
    const CutLink manner = GENERATE(CutLink::Refuses, CutLink::Silent);
    const LinkFleetSettings settings = fleetOf(size);
    const std::size_t domain = settings.instancesPerDomain;
    const std::size_t count =
        GENERATE_COPY(std::size_t(1), (domain + 1) / 2, domain - 1, domain, size / 2);
    LinkEmulator fleet(settings);
    fleet.run(Second * 2);
    cutFirst(fleet, count, manner);
    fleet.run(Second * 3);
    INFO(size << " instances, " << count << " cut, manner " << static_cast<int>(manner));
    fleet.run(Second * 9);
    const auto cut = fleet.counts(true);
    CHECK(fleet.counts(false).openedShare() == 1);
    CHECK(cut.openedShare() >= 0.95);
    CHECK(cut.forwarded == cut.opened);
    CHECK(cut.reportedCrashes == 0);
    // Forwarding takes less than a request of the instance's own, so four times its own load fits.
    CHECK(fleet.mostForwardedByOne() <= 4 * cut.tried / count);
    for (std::size_t i = 0; i < count; ++i)
        fleet.heal(i);
    fleet.run(Second * 2);
    fleet.run(Second * 2);
    CHECK(fleet.counts(false).forwarded == 0);
}

TEST_CASE("instances that are refused by all endpoints report no crashes")
{
    const std::size_t size = GENERATE(6, 76, 295);
    const std::size_t domain = fleetOf(size).instancesPerDomain;
    const std::size_t count =
        GENERATE_COPY(std::size_t(1), (domain + 1) / 2, domain, size / 2, size);
    LinkEmulator fleet(fleetOf(size));
    fleet.run(Second * 2);
    cutFirst(fleet, count, CutLink::Refuses);
    fleet.run(Second * 3);
    INFO(size << " instances, " << count << " cut");
    CHECK(fleet.counts(true).reportedCrashes == 0);
}

TEST_CASE("a cut from some endpoints only affects the connections to these")
{
    LinkEmulator fleet(fleetOf(76));
    fleet.cut(0, CutLink::Silent, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9});
    fleet.run(Second * 3);
    fleet.run(Second * 9);
    const auto cut = fleet.counts(true);
    CHECK(cut.openedShare() >= 0.95);
    CHECK(cut.forwarded <= cut.tried / 4);
}

TEST_CASE("a second cut is found like the first one")
{
    LinkEmulator fleet(fleetOf(6));
    for (int i = 0; i < 2; ++i) {
        cutFirst(fleet, 4, CutLink::Silent);
        fleet.run(Second * 3);
        fleet.run(Second * 3);
        CHECK(fleet.counts(true).openedShare() >= 0.95);
        for (std::size_t each = 0; each < 4; ++each)
            fleet.heal(each);
        fleet.run(Second * 4);
    }
}

TEST_CASE("a fleet that was cut as a whole opens connections again at once")
{
    LinkEmulator fleet(fleetOf(295));
    cutFirst(fleet, fleet.instances(), CutLink::Refuses);
    fleet.run(Second * 6);
    CHECK(fleet.counts(true).opened == 0);
    for (std::size_t i = 0; i < fleet.instances(); ++i)
        fleet.heal(i);
    fleet.run(Second * 1);
    CHECK(fleet.counts(false).openedShare() >= 0.95);
}

TEST_CASE("a dead endpoint is reached through nobody and breaks no link")
{
    LinkEmulator fleet(fleetOf(6));
    fleet.killEndpoint(0);
    fleet.run(Second * 10);
    const auto all = fleet.counts(false);
    CHECK(all.forwarded == 0);
    CHECK(all.tried - all.opened <= all.tried / 20);
    CHECK(all.foundCrashes > 0);
}
