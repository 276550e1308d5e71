#include "../fakes/relayharness.h"

#include <balsamloft/coverage.h>
#include <balsamloft/gapfiller.h>

#include <catch2/catch.hpp>

#include <random>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;

/// A domain with engines. Layers may take up to 94 % of an engine's memory.
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

    std::uint32_t maxLayers() const
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

// The only holder of two layers crashes, and the domain has no complete path until both
// neighbours have loaded one more layer. No engine releases layers.
TEST_CASE("neighbours load the layers of an engine that is silent or removed")
{
    Domain domain(8);
    REQUIRE(domain.maxLayers() >= 4);
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

TEST_CASE("a gap gets no orders before its delay is over")
{
    Domain domain(8);
    domain.add("a", {0, 4});
    domain.add("c", {5, 8});
    GapFiller filler;
    CHECK(domain.fill(filler, milliseconds(50)).empty());
    CHECK_FALSE(domain.fill(filler, milliseconds(150)).empty());
}

// The neighbours of a gap lack the memory to close it. A restarted, empty engine loads the layers
// if the lease holder has not assigned any to it within the delay.
TEST_CASE("an empty engine loads a gap that its neighbours have no memory for, after a delay")
{
    Domain domain(96);
    const std::uint32_t maxLayers = domain.maxLayers();
    REQUIRE(maxLayers * 2 + 4 < 96);
    domain.add("a", {0, maxLayers});
    domain.add("c", {maxLayers + 4, 2 * maxLayers + 4});
    domain.add("d", {2 * maxLayers + 4, 96});
    domain.add("e", {});
    GapFiller filler;
    CHECK(domain.fill(filler, milliseconds(500)).empty());
    const auto orders = domain.fill(filler, milliseconds(1500));
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().endpoint == "e");
    CHECK(orders.front().layers.begin <= maxLayers);
    CHECK(orders.front().layers.end >= maxLayers + 4);
}

TEST_CASE(
    "an engine that refused gets an order after the backoff, one with a pending order gets none")
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

// Two instances fill the same gaps at the same time, each without the other's orders. No
// order may exceed an engine's memory or release a layer, in whichever sequence the orders
// are carried out.
TEST_CASE("orders of two instances for the same gaps exceed no memory and release no layer")
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
        GapFiller first;
        GapFiller second;
        std::vector<LayerOrder> orders = domain.fill(first, milliseconds(2000));
        for (const LayerOrder &order : domain.fill(second, milliseconds(2000)))
            orders.push_back(order);
        std::shuffle(orders.begin(), orders.end(), random);
        for (const LayerOrder &order : orders) {
            REQUIRE(order.layers.end - order.layers.begin <= domain.maxLayers());
            const FleetEndpoint *engine = domain.fleet.find(order.endpoint);
            if (engine->layers.end == engine->layers.begin)
                continue;
            REQUIRE(order.layers.begin <= engine->layers.begin);
            REQUIRE(order.layers.end >= engine->layers.end);
        }
    }
}

// The lease holder moves an engine. Meanwhile the domain reader, based on a report that is a second
// old, orders the same engine to add layers. That order would make the engine release the layers
// that it has just loaded.
TEST_CASE("an addition to an engine that was moved since no longer keeps its layers")
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

TEST_CASE("a domain of empty engines gets no orders")
{
    Domain domain(8);
    domain.add("a", {});
    domain.add("b", {});
    GapFiller filler;
    CHECK(domain.fill(filler, milliseconds(5000)).empty());
}

TEST_CASE("coverage counts gaps, layers held once and the fewest holders")
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

// Guards against filling a restarted engine's memory because of a small gap.
TEST_CASE("an empty engine that fills a gap keeps headroom for requests")
{
    Domain domain(80);
    domain.add("below", {0, domain.maxLayers()});
    domain.add("above", {domain.maxLayers() + 3, 2 * domain.maxLayers() + 3});
    domain.add("end", {2 * domain.maxLayers() + 3, 80});
    domain.add("back", {});
    GapFiller filler;
    const auto orders = domain.fill(filler, std::chrono::seconds(2));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].endpoint == "back");
    CHECK(orders[0].layers.length() >= 3);
    CHECK(orders[0].layers.length() <= 0.7 * domain.maxLayers());
}

// Guards against orders of the domain reader and the lease holder to the same restarted
// engine.
TEST_CASE("an engine that restarts during a gap gets no order before its delay is over")
{
    Domain domain(80);
    domain.add("below", {0, domain.maxLayers()});
    domain.add("above", {domain.maxLayers() + 3, 2 * domain.maxLayers() + 3});
    domain.add("end", {2 * domain.maxLayers() + 3, 80});
    GapFiller filler;
    REQUIRE(domain.fill(filler, std::chrono::seconds(3)).empty());
    domain.add("back", {});
    CHECK(domain.fill(filler, milliseconds(500)).empty());
    CHECK(domain.fill(filler, milliseconds(1100)).size() == 1);
}
