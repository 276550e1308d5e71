#include "../fakes/relayharness.h"

#include <balsamloft/coverage.h>
#include <balsamloft/gapfiller.h>

#include <catch2/catch.hpp>

#include <random>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;

/// One domain whose engines carry out what they are told.
struct Domain
{
    explicit Domain(std::uint32_t layers)
        : service {"model", 0, testModel(layers)}
    {
    }

    void add(const std::string &id, LayerRange layers)
    {
        FleetEndpoint each;
        each.id = each.name = each.address = id;
        each.service = "model";
        each.domain = "near";
        each.kind = "fast";
        each.layers = layers;
        fleet.endpoints.push_back(std::move(each));
    }

    void remove(const std::string &id)
    {
        std::erase_if(fleet.endpoints, [&](const auto &each) { return each.id == id; });
    }

    std::vector<LayerOrder> fill(GapFiller &filler, Duration after)
    {
        filler.fill(fleet, service, "near", silent, now);
        now += after;
        std::vector<LayerOrder> orders = filler.fill(fleet, service, "near", silent, now);
        for (const LayerOrder &order : orders)
            filler.orderSent(order, now);
        return orders;
    }

    void carryOut(const std::vector<LayerOrder> &orders)
    {
        for (const LayerOrder &order : orders)
            for (FleetEndpoint &each : fleet.endpoints)
                if (each.id == order.endpoint)
                    each.layers = order.layers;
    }

    std::uint32_t most() const
    {
        const AcceleratorKind *kind = service.model->kind("fast");
        return static_cast<std::uint32_t>(kind->memoryMegabytes * 0.94
                                          / service.model->layerMegabytes);
    }

    RoutedService service;
    FleetSnapshot fleet;
    std::set<std::string> silent;
    Time now {std::chrono::hours(1)};
};

} // namespace

// The only holder of two layers dies. Callers in the domain find no path, until
// its neighbours have loaded one more layer each; nobody gives anything up.
TEST_CASE("neighbours grow over the layers of an engine that died")
{
    Domain domain(8);
    REQUIRE(domain.most() >= 4);
    domain.add("a", {0, 3});
    domain.add("b", {3, 5});
    domain.add("c", {5, 8});
    GapFiller filler;
    CHECK(domain.fill(filler, milliseconds(500)).empty());
    const bool silent = GENERATE(true, false);
    if (silent)
        domain.silent.insert("b");
    else
        domain.remove("b");
    const auto orders = domain.fill(filler, milliseconds(500));
    REQUIRE(orders.size() == 2);
    for (const LayerOrder &order : orders) {
        CHECK(order.additive);
        CHECK(order.layers.end - order.layers.begin == 4);
    }
    CHECK(domain.fill(filler, milliseconds(500)).empty());
    domain.carryOut(orders);
    domain.remove("b");
    CHECK(Coverage(domain.fleet, domain.service, "near").minHolders() == 1);
    CHECK(domain.fill(filler, milliseconds(500)).empty());
}

TEST_CASE("a gap that has just appeared is left alone")
{
    Domain domain(8);
    domain.add("a", {0, 4});
    domain.add("c", {5, 8});
    GapFiller filler;
    CHECK(domain.fill(filler, milliseconds(50)).empty());
    CHECK_FALSE(domain.fill(filler, milliseconds(150)).empty());
}

// No neighbour has the memory. An engine that was just born again, empty, takes
// the layers, when whoever holds the lease has not given it any by then.
TEST_CASE("an empty engine takes what neighbours cannot, after a while")
{
    Domain domain(96);
    const std::uint32_t most = domain.most();
    REQUIRE(most * 2 + 4 < 96);
    domain.add("a", {0, most});
    domain.add("c", {most + 4, 2 * most + 4});
    domain.add("d", {2 * most + 4, 96});
    domain.add("e", {});
    GapFiller filler;
    CHECK(domain.fill(filler, milliseconds(500)).empty());
    const auto orders = domain.fill(filler, milliseconds(1500));
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().endpoint == "e");
    CHECK(orders.front().layers.begin <= most);
    CHECK(orders.front().layers.end >= most + 4);
}

TEST_CASE("an engine that refused is asked again later, one that may act is not")
{
    Domain domain(8);
    domain.add("a", {0, 4});
    domain.add("c", {5, 8});
    GapFiller filler;
    const auto first = domain.fill(filler, milliseconds(500));
    REQUIRE_FALSE(first.empty());
    CHECK(domain.fill(filler, milliseconds(3000)).empty());
    for (const LayerOrder &order : first)
        filler.orderRefused(order.endpoint, domain.now);
    CHECK(domain.fill(filler, milliseconds(100)).empty());
    CHECK_FALSE(domain.fill(filler, milliseconds(1000)).empty());
}

// Two instances fill the same gaps at once, each from its own, older view, and
// their orders are carried out in any order, some twice. No engine may be told to
// hold more than its memory, none may lose a layer that it held.
TEST_CASE("two that fill the same gaps at once exceed no memory and drop no layer")
{
    std::mt19937_64 random(20261203);
    for (int round = 0; round < 2000; ++round) {
        Domain domain(12 + random() % 20);
        const std::uint32_t layers = domain.service.model->layers;
        std::uint32_t next = 0;
        for (int i = 0; next < layers; ++i) {
            const auto size = static_cast<std::uint32_t>(1 + random() % 4);
            const LayerRange range {next, std::min(layers, next + size)};
            domain.add("e" + std::to_string(i), random() % 4 == 0 ? LayerRange {} : range);
            next = range.end;
        }
        GapFiller one;
        GapFiller other;
        std::vector<LayerOrder> orders = domain.fill(one, milliseconds(2000));
        for (const LayerOrder &order : domain.fill(other, milliseconds(2000)))
            orders.push_back(order);
        std::shuffle(orders.begin(), orders.end(), random);
        for (const LayerOrder &order : orders) {
            REQUIRE(order.layers.end - order.layers.begin <= domain.most());
            const FleetEndpoint *engine = domain.fleet.find(order.endpoint);
            if (engine->layers.end == engine->layers.begin)
                continue;
            REQUIRE(order.layers.begin <= engine->layers.begin);
            REQUIRE(order.layers.end >= engine->layers.end);
        }
    }
}

// The holder of the lease moves an engine while the reader of its domain, from a
// report of a second ago, wants it to grow. Carried out, the addition would drop
// the layers that were just loaded.
TEST_CASE("an addition to an engine that was moved meanwhile adds no more")
{
    Domain domain(8);
    domain.add("a", {0, 4});
    domain.add("c", {5, 8});
    GapFiller filler;
    const auto orders = domain.fill(filler, milliseconds(500));
    REQUIRE_FALSE(orders.empty());
    for (const LayerOrder &order : orders) {
        const LayerRange held = domain.fleet.find(order.endpoint)->layers;
        CHECK(GapFiller::keepsHeldLayers(order, held));
        CHECK(GapFiller::keepsHeldLayers(order, order.layers));
        CHECK(GapFiller::keepsHeldLayers(order, {}));
        CHECK_FALSE(GapFiller::keepsHeldLayers(order, {held.begin + 3, held.end + 3}));
        CHECK_FALSE(GapFiller::keepsHeldLayers(order, {0, 8}));
    }
}

TEST_CASE("a domain where nothing lies yet waits for its first plan")
{
    Domain domain(8);
    domain.add("a", {});
    domain.add("b", {});
    GapFiller filler;
    CHECK(domain.fill(filler, milliseconds(5000)).empty());
}

TEST_CASE("coverage tells gaps, single holders and the least")
{
    Domain domain(8);
    domain.add("a", {0, 3});
    domain.add("b", {2, 5});
    domain.add("c", {7, 8});
    const Coverage coverage(domain.fleet, domain.service, "near");
    CHECK(coverage.minHolders() == 0);
    CHECK(coverage.gaps() == "5-7");
    CHECK(coverage.layersHeldOnce() == 5);
    CHECK(Coverage(domain.fleet, domain.service, "far").gaps() == "0-8");
}

// Guards against an engine that comes back and is filled up for the sake of a small gap.
TEST_CASE("an empty engine that takes a gap keeps room for requests")
{
    Domain domain(80);
    domain.add("below", {0, domain.most()});
    domain.add("above", {domain.most() + 3, 2 * domain.most() + 3});
    domain.add("end", {2 * domain.most() + 3, 80});
    domain.add("back", {});
    GapFiller filler;
    const auto orders = domain.fill(filler, std::chrono::seconds(2));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].endpoint == "back");
    CHECK(orders[0].layers.length() >= 3);
    CHECK(orders[0].layers.length() <= 0.7 * domain.most());
}

// Guards against two who give an engine that came back layers in the same moment.
TEST_CASE("an engine that comes back during a gap is left to the holder of the lease first")
{
    Domain domain(80);
    domain.add("below", {0, domain.most()});
    domain.add("above", {domain.most() + 3, 2 * domain.most() + 3});
    domain.add("end", {2 * domain.most() + 3, 80});
    GapFiller filler;
    REQUIRE(domain.fill(filler, std::chrono::seconds(3)).empty());
    domain.add("back", {});
    CHECK(domain.fill(filler, milliseconds(500)).empty());
    CHECK(domain.fill(filler, milliseconds(1100)).size() == 1);
}
