#include "../fakes/relayharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

const Time Now(std::chrono::hours(1));
constexpr std::uint32_t Layers = 24;

FleetEndpoint engine(std::string id, LayerRange layers, std::string domain,
                     std::string kind = "fast")
{
    FleetEndpoint endpoint;
    endpoint.id = id;
    endpoint.service = "model";
    endpoint.address = "10.0.0.1:" + id;
    endpoint.domain = std::move(domain);
    endpoint.kind = std::move(kind);
    endpoint.layers = layers;
    return endpoint;
}

struct ChooserHarness
{
    FleetSnapshot fleet;
    RoutedService service {"model", 0, testModel(Layers)};
    EngineTracker tracker;
    std::mt19937_64 random {7};
    PathQuery query {"near", 100, 50, nullptr};

    std::optional<EnginePath> operator()()
    {
        return PathChooser().choose(fleet, service, tracker, query, Now, random);
    }
};

} // namespace

// A wrong sequence of layers gives wrong tokens, so every path is checked.
TEST_CASE("paths over random engines run each layer once, in order, and no engine twice")
{
    std::mt19937_64 random(20261202);
    std::size_t found = 0;
    for (int round = 0; round < 2000; ++round) {
        ChooserHarness chooser;
        const auto count = 6 + random() % 30;
        for (std::uint64_t i = 0; i < count; ++i) {
            const auto begin = static_cast<std::uint32_t>(random() % Layers);
            const auto end = begin + 1 + static_cast<std::uint32_t>(random() % (Layers - begin));
            FleetEndpoint each =
                engine(std::to_string(i), {begin, end}, random() % 2 ? "near" : "far",
                       random() % 2 ? "fast" : "slow");
            each.draining = random() % 6 == 0;
            if (random() % 6 == 0)
                chooser.tracker.suspect(each.id, Now);
            chooser.fleet.endpoints.push_back(each);
        }
        const auto path = chooser();
        if (!path)
            continue;
        found += 1;
        std::uint32_t next = 0;
        std::set<std::string> seen;
        for (const PathPart &part : path->parts) {
            const FleetEndpoint *each = chooser.fleet.find(part.endpoint);
            REQUIRE(each);
            REQUIRE(part.layers.begin == next);
            REQUIRE(part.layers.end > part.layers.begin);
            REQUIRE(each->layers.begin <= part.layers.begin);
            REQUIRE(each->layers.end >= part.layers.end);
            REQUIRE_FALSE(each->draining);
            REQUIRE_FALSE(chooser.tracker.suspected(each->id, Now));
            REQUIRE(seen.insert(part.endpoint).second);
            next = part.layers.end;
        }
        REQUIRE(next == Layers);
    }
    CHECK(found > 500);
}

TEST_CASE("a path stays inside one domain if that domain holds all layers")
{
    ChooserHarness chooser;
    chooser.fleet.endpoints = {engine("1", {0, 12}, "near", "slow"),
                               engine("2", {12, 24}, "near", "slow"), engine("3", {0, 12}, "far"),
                               engine("4", {12, 24}, "far")};
    for (int i = 0; i < 50; ++i) {
        const auto path = chooser();
        REQUIRE(path);
        REQUIRE(chooser.fleet.find(path->parts[0].endpoint)->domain
                == chooser.fleet.find(path->parts[1].endpoint)->domain);
    }
    chooser.fleet.endpoints.erase(chooser.fleet.endpoints.begin());
    chooser.fleet.endpoints.pop_back();
    CHECK(chooser()); // a path through both domains is better than none
}

TEST_CASE("a full engine is not chosen while another one has free KV memory")
{
    ChooserHarness chooser;
    chooser.fleet.endpoints = {engine("1", {0, 24}, "near"), engine("2", {0, 24}, "near")};
    const double capacity = chooser.service.model->kvCapacity(chooser.service.model->kinds[0], 24);
    chooser.tracker.reported({"1", capacity, 50, 5, 1, false, Now}, Now);
    chooser.tracker.reported({"2", 0, 0, 0, 1, false, Now}, Now);
    for (int i = 0; i < 20; ++i)
        CHECK(chooser()->parts.front().endpoint == "2");
}

TEST_CASE("an engine that reports a slowdown is not chosen while another one is fast")
{
    ChooserHarness chooser;
    chooser.fleet.endpoints = {engine("1", {0, 24}, "near"), engine("2", {0, 24}, "near")};
    chooser.tracker.setSlowdown("1", 5, Now);
    for (int i = 0; i < 20; ++i)
        CHECK(chooser()->parts.front().endpoint == "2");
}

// The only holder of some layers in a domain crashes. Paths of that domain run these layers in
// another domain, so that the first domain's other engines stay in use and the other domain does
// not get all requests of the first one.
TEST_CASE("a path runs layers that its domain lacks in another domain")
{
    ChooserHarness chooser;
    chooser.service.model->activationBytes = 30'000;
    chooser.service.model->linkBytesPerMs = 1'000'000;
    chooser.fleet.endpoints = {engine("1", {0, 12}, "near"), engine("2", {16, 24}, "near"),
                               engine("3", {0, 24}, "far", "slow")};
    const auto path = chooser();
    REQUIRE(path);
    REQUIRE(path->parts.size() == 3);
    CHECK(path->parts[0].endpoint == "1");
    CHECK(path->parts[1].layers == LayerRange {12, 16});
    CHECK(path->parts[2].endpoint == "2");
}

// All paths of a domain that lacks layers would cross the same link. Prompts pass the link one
// after another and would wait for each other for seconds. From half utilization on, further
// requests therefore run entirely in the other domain.
TEST_CASE("a link at half utilization gets no new paths while there are others")
{
    ChooserHarness chooser;
    chooser.service.model->activationBytes = 30'000;
    chooser.service.model->linkBytesPerMs = 1'000'000;
    chooser.tracker.setInstances(4);
    chooser.fleet.endpoints = {engine("1", {0, 12}, "near"), engine("2", {16, 24}, "near"),
                               engine("3", {0, 24}, "far", "slow")};
    CHECK(chooser()->parts.size() == 3);
    chooser.tracker.recordTransfer("near", "far", 200, Now);
    CHECK(chooser.tracker.linkLoad("far", "near", Now) > 0.5);
    CHECK(chooser()->parts.size() == 1);
    chooser.fleet.endpoints.back() = engine("3", {10, 18}, "far", "slow");
    CHECK(chooser()); // a path over a busy link is better than none
    CHECK(chooser.tracker.linkLoad("near", "far", Now + std::chrono::seconds(5)) < 0.05);
}
