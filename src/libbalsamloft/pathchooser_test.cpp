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

struct Choice
{
    FleetSnapshot fleet;
    RoutedService service {"model", 0, testModel(Layers)};
    EngineTracker book;
    std::mt19937_64 random {7};
    PathQuery query {"near", 100, 50, nullptr};

    std::optional<EnginePath> operator()()
    {
        return PathChooser().choose(fleet, service, book, query, Now, random);
    }
};

} // namespace

// The rule that outranks all others: for each token each layer once, in order.
TEST_CASE("every path over random engines runs each layer once, in order, each engine once")
{
    std::mt19937_64 random(20261202);
    std::size_t found = 0;
    for (int round = 0; round < 2000; ++round) {
        Choice choice;
        const auto count = 6 + random() % 30;
        for (std::uint64_t i = 0; i < count; ++i) {
            const auto begin = static_cast<std::uint32_t>(random() % Layers);
            const auto end = begin + 1 + static_cast<std::uint32_t>(random() % (Layers - begin));
            FleetEndpoint each =
                engine(std::to_string(i), {begin, end}, random() % 2 ? "near" : "far",
                       random() % 2 ? "fast" : "slow");
            each.draining = random() % 6 == 0;
            if (random() % 6 == 0)
                choice.book.suspect(each.id, Now);
            choice.fleet.endpoints.push_back(each);
        }
        const auto path = choice();
        if (!path)
            continue;
        found += 1;
        std::uint32_t next = 0;
        std::set<std::string> seen;
        for (const PathPart &part : path->parts) {
            const FleetEndpoint *each = choice.fleet.find(part.endpoint);
            REQUIRE(each);
            REQUIRE(part.layers.begin == next);
            REQUIRE(part.layers.end > part.layers.begin);
            REQUIRE(each->layers.begin <= part.layers.begin);
            REQUIRE(each->layers.end >= part.layers.end);
            REQUIRE_FALSE(each->draining);
            REQUIRE_FALSE(choice.book.suspected(each->id, Now));
            REQUIRE(seen.insert(part.endpoint).second);
            next = part.layers.end;
        }
        REQUIRE(next == Layers);
    }
    CHECK(found > 500);
}

TEST_CASE("a path stays inside a domain where one covers the layers")
{
    Choice choice;
    choice.fleet.endpoints = {engine("1", {0, 12}, "near", "slow"),
                              engine("2", {12, 24}, "near", "slow"), engine("3", {0, 12}, "far"),
                              engine("4", {12, 24}, "far")};
    for (int i = 0; i < 50; ++i) {
        const auto path = choice();
        REQUIRE(path);
        REQUIRE(choice.fleet.find(path->parts[0].endpoint)->domain
                == choice.fleet.find(path->parts[1].endpoint)->domain);
    }
    choice.fleet.endpoints.erase(choice.fleet.endpoints.begin());
    choice.fleet.endpoints.pop_back();
    CHECK(choice()); // rather across domains than not at all
}

TEST_CASE("a full engine is passed by while another has room")
{
    Choice choice;
    choice.fleet.endpoints = {engine("1", {0, 24}, "near"), engine("2", {0, 24}, "near")};
    const double room = choice.service.model->kvCapacity(choice.service.model->kinds[0], 24);
    choice.book.reported({"1", room, 50, 5, 1, false, Now}, Now);
    choice.book.reported({"2", 0, 0, 0, 1, false, Now}, Now);
    for (int i = 0; i < 20; ++i)
        CHECK(choice()->parts.front().endpoint == "2");
}

TEST_CASE("an engine that says it is slow is passed by")
{
    Choice choice;
    choice.fleet.endpoints = {engine("1", {0, 24}, "near"), engine("2", {0, 24}, "near")};
    choice.book.setSlowdown("1", 5, Now);
    for (int i = 0; i < 20; ++i)
        CHECK(choice()->parts.front().endpoint == "2");
}

// An engine dies that alone held its layers in the domain. Callers there borrow
// them from the next domain: their own engines go on serving, and the other
// domain does not get all of their requests.
TEST_CASE("a domain that lacks layers borrows them from another one")
{
    Choice choice;
    choice.service.model->activationBytes = 30'000;
    choice.service.model->linkBytesPerMs = 1'000'000;
    choice.fleet.endpoints = {engine("1", {0, 12}, "near"), engine("2", {16, 24}, "near"),
                              engine("3", {0, 24}, "far", "slow")};
    const auto path = choice();
    REQUIRE(path);
    REQUIRE(path->parts.size() == 3);
    CHECK(path->parts[0].endpoint == "1");
    CHECK(path->parts[1].layers == LayerRange {12, 16});
    CHECK(path->parts[2].endpoint == "2");
}

// All callers of a domain that lacks layers borrow them at once. Prompts go
// through the pipe one after another, so beyond a share of its time they would
// wait for each other for seconds; the rest go to the other domain as a whole.
TEST_CASE("a pipe that is half in use takes no more paths while others exist")
{
    Choice choice;
    choice.service.model->activationBytes = 30'000;
    choice.service.model->linkBytesPerMs = 1'000'000;
    choice.book.setInstances(4);
    choice.fleet.endpoints = {engine("1", {0, 12}, "near"), engine("2", {16, 24}, "near"),
                              engine("3", {0, 24}, "far", "slow")};
    CHECK(choice()->parts.size() == 3);
    choice.book.recordTransfer("near", "far", 200, Now);
    CHECK(choice.book.linkLoad("far", "near", Now) > 0.5);
    CHECK(choice()->parts.size() == 1);
    choice.fleet.endpoints.back() = engine("3", {10, 18}, "far", "slow");
    CHECK(choice()); // rather a full pipe than no service
    CHECK(choice.book.linkLoad("near", "far", Now + std::chrono::seconds(5)) < 0.05);
}
