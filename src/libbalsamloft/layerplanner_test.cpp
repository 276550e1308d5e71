#include "../fakes/layeremulator.h"
#include "../fakes/relayharness.h"

#include <balsamloft/layerplanner.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;

/// A planner and engines that carry out its orders with a delay.
struct PlannerSimulation
{
    explicit PlannerSimulation(LayeredModel model)
        : service {"model", 0, std::move(model)}
    {
    }

    void add(std::string id, std::string domain, std::string kind)
    {
        FleetEndpoint each;
        each.id = std::move(id);
        each.service = "model";
        each.address = each.id;
        each.domain = std::move(domain);
        each.kind = std::move(kind);
        fleet.endpoints.push_back(std::move(each));
    }

    /// Runs the planner for \a duration. Engines carry out each order after half a second.
    void run(Duration duration)
    {
        const Time until = now + duration;
        while (now < until) {
            now += milliseconds(100);
            std::erase_if(loading, [&](const auto &each) {
                if (now < each.second)
                    return false;
                for (FleetEndpoint &endpoint : fleet.endpoints)
                    if (endpoint.id == each.first.endpoint)
                        endpoint.layers = each.first.layers;
                return true;
            });
            for (const LayerOrder &order : planner.plan(fleet, service, now)) {
                check(order);
                planner.orderSent(order, now);
                loading.emplace_back(order, now + milliseconds(500));
                orders += 1;
            }
        }
    }

    /// Requires that the ordered layers fit the engine's memory: otherwise the engine would crash.
    void check(const LayerOrder &order)
    {
        const FleetEndpoint *each = fleet.find(order.endpoint);
        REQUIRE(each);
        REQUIRE(order.layers.end <= service.model->layers);
        const double size = service.model->kind(each->kind)->memoryMegabytes;
        REQUIRE((order.layers.end - order.layers.begin) * service.model->layerMegabytes <= size);
    }

    /// Number of holders of the layer with the fewest holders, in \a domain or in all domains.
    std::size_t minHolders(std::string_view domain = {}) const
    {
        std::size_t minHolders = 1000;
        for (std::uint32_t layer = 0; layer < service.model->layers; ++layer)
            minHolders = std::min<std::size_t>(
                minHolders,
                std::count_if(fleet.endpoints.begin(), fleet.endpoints.end(), [&](auto &each) {
                    return !each.draining && (domain.empty() || each.domain == domain)
                           && each.layers.begin <= layer && layer < each.layers.end;
                }));
        return minHolders;
    }

    /// Concurrent requests that the layer with the least KV capacity can serve.
    double minRequestCapacity() const
    {
        const LayeredModel &model = *service.model;
        std::vector<double> capacities(model.layers, 0);
        for (const FleetEndpoint &each : fleet.endpoints) {
            const std::uint32_t held = each.layers.length();
            if (held == 0)
                continue;
            const double capacity = model.kvCapacity(*model.kind(each.kind), held) / held;
            for (std::uint32_t layer = each.layers.begin; layer < each.layers.end; ++layer)
                capacities[layer] +=
                    capacity / (model.typicalPromptTokens + model.typicalAnswerTokens);
        }
        return *std::min_element(capacities.begin(), capacities.end());
    }

    FleetEndpoint &engine(const std::string &id)
    {
        return *std::find_if(fleet.endpoints.begin(), fleet.endpoints.end(),
                             [&](const auto &each) { return each.id == id; });
    }

    RoutedService service;
    FleetSnapshot fleet;
    LayerPlanner planner;
    Time now {std::chrono::hours(1)};
    std::vector<std::pair<LayerOrder, Time>> loading;
    std::size_t orders = 0;
};

/// A domain with two large engines, which hold most layers, and smaller ones.
PlannerSimulation domainWithTwoLarge()
{
    PlannerSimulation simulation(referenceFleet().model);
    for (int i = 0; i < 2; ++i) {
        simulation.add("large-" + std::to_string(i), "a", "large");
        simulation.add("middle-" + std::to_string(i), "a", "middle");
    }
    for (int i = 0; i < 5; ++i)
        simulation.add("small-" + std::to_string(i), "a", "small");
    simulation.run(std::chrono::seconds(20));
    return simulation;
}

} // namespace

// Random accelerators, domains and numbers of layers: the model is held wherever its weights
// fit, and no order exceeds an engine's memory.
TEST_CASE("random fleets hold the model wherever it fits, within memory, with few orders later on")
{
    std::mt19937_64 random(20261202);
    for (int round = 0; round < 100; ++round) {
        LayeredModel model = testModel(40 + static_cast<std::uint32_t>(random() % 81));
        model.kinds = {{"x", 20'000.0 + random() % 60'000, 2, 2},
                       {"y", 12'000.0 + random() % 20'000, 6, 3},
                       {"z", 6'000.0 + random() % 12'000, 16, 8}};
        PlannerSimulation simulation(model);
        const auto domains = 2 + random() % 4;
        double memory = 0;
        const auto count = 4 + random() % 40;
        for (std::uint64_t i = 0; i < count; ++i) {
            const AcceleratorKind &kind = model.kinds[random() % 3];
            simulation.add("e" + std::to_string(i), "d" + std::to_string(random() % domains),
                           kind.name);
            memory += std::floor(kind.memoryMegabytes * 0.9 / model.layerMegabytes);
        }
        simulation.run(std::chrono::seconds(40));
        INFO("round " << round << " layers " << model.layers << " memory " << memory);
        if (memory >= model.layers)
            CHECK(simulation.minHolders() >= 1);
        const std::size_t before = simulation.orders;
        simulation.run(std::chrono::seconds(60));
        CHECK(simulation.orders - before <= count / 2);
        const std::size_t ordersAtRest = simulation.orders;
        simulation.run(std::chrono::seconds(30));
        CHECK(simulation.orders - ordersAtRest <= 2);
    }
}

// Guards against a lasting gap after the loss of an engine that was the only holder of its
// layers.
TEST_CASE("the layers of a removed engine get new holders")
{
    PlannerSimulation simulation(testModel(80));
    for (int i = 0; i < 2; ++i)
        simulation.add("f" + std::to_string(i), "d", "fast");
    for (int i = 0; i < 5; ++i)
        simulation.add("s" + std::to_string(i), "d", "slow");
    simulation.run(std::chrono::seconds(20));
    REQUIRE(simulation.minHolders() >= 1);
    simulation.fleet.endpoints.erase(simulation.fleet.endpoints.begin() + 3);
    simulation.run(std::chrono::seconds(8));
    CHECK(simulation.minHolders() >= 1);
}

TEST_CASE("an empty engine that replaces a removed one gets the layers without a holder")
{
    PlannerSimulation simulation(testModel(30));
    simulation.add("a", "d", "fast");
    simulation.add("b", "d", "fast");
    simulation.add("c", "d", "fast");
    simulation.run(std::chrono::seconds(10));
    simulation.fleet.endpoints.erase(simulation.fleet.endpoints.begin());
    simulation.add("new", "d", "fast");
    simulation.run(std::chrono::seconds(3));
    CHECK(simulation.minHolders() >= 1);
    CHECK(simulation.fleet.find("new")->layers.end > 0);
}

// Guards against needless moves when an instance without earlier state takes over the
// placement, for example after all instances were killed.
TEST_CASE("a new planner moves no engines of a complete placement")
{
    PlannerSimulation simulation(testModel(80));
    for (int i = 0; i < 9; ++i)
        simulation.add("f" + std::to_string(i), i < 5 ? "d" : "e", "fast");
    simulation.run(std::chrono::seconds(30));
    const std::size_t before = simulation.orders;
    simulation.planner = LayerPlanner();
    simulation.run(std::chrono::seconds(20));
    CHECK(simulation.orders == before);
}

// Two orders get no answer, and one of the engines is removed. The other engine may carry out
// its order seconds later, so it gets more layers only after that order has expired.
TEST_CASE("an engine with an unanswered order gets no other one until it expires")
{
    PlannerSimulation simulation(testModel(36));
    simulation.add("a", "d", "fast");
    simulation.add("b", "d", "fast");
    const auto run = [&](int steps) {
        std::size_t orders = 0;
        for (int i = 0; i < steps; ++i) {
            simulation.now += milliseconds(100);
            for (const LayerOrder &order :
                 simulation.planner.plan(simulation.fleet, simulation.service, simulation.now)) {
                simulation.planner.orderSent(order, simulation.now);
                orders += 1;
            }
        }
        return orders;
    };
    CHECK(run(30) == 2);
    simulation.fleet.endpoints.pop_back();
    CHECK(run(50) == 0);
    CHECK(run(100) >= 1);
}

TEST_CASE("the layers of a draining engine get another holder")
{
    PlannerSimulation simulation(testModel(30));
    simulation.add("a", "d", "fast");
    simulation.add("b", "d", "fast");
    simulation.run(std::chrono::seconds(5));
    simulation.fleet.endpoints[0].draining = true;
    simulation.run(std::chrono::seconds(10));
    CHECK(simulation.minHolders() >= 1);
}

// Guards against assigning so many layers to a restarted engine that it has little KV
// capacity left.
TEST_CASE("a domain regains its KV capacity after its large engines restart")
{
    PlannerSimulation simulation = domainWithTwoLarge();
    const double before = simulation.minRequestCapacity();
    const int lost = GENERATE(1, 2);
    for (int i = 0; i < lost; ++i) {
        simulation.engine("large-" + std::to_string(i)).layers = {};
        simulation.engine("large-" + std::to_string(i)).id = "back-" + std::to_string(i);
        simulation.run(milliseconds(600));
    }
    simulation.run(std::chrono::seconds(20));
    CHECK(simulation.minRequestCapacity() >= 0.9 * before);
}

// Guards against engines that were extended over a gap and keep little KV capacity for good.
TEST_CASE("an engine that was extended over a gap releases layers that are held elsewhere")
{
    PlannerSimulation simulation = domainWithTwoLarge();
    const double before = simulation.minRequestCapacity();
    const FleetEndpoint lost = simulation.engine("large-1");
    const LayerRange held = simulation.engine("middle-0").layers;
    REQUIRE(held.begin == lost.layers.end);
    simulation.engine("middle-0").layers.begin -= 6;
    simulation.run(std::chrono::seconds(20));
    CHECK(simulation.engine("middle-0").layers == held);
    CHECK(simulation.minRequestCapacity() >= 0.9 * before);
}

// Guards against closing a gap twice, the second time with engines that are needed elsewhere.
TEST_CASE(
    "no engine is moved over a gap while an empty engine carries out another instance's order")
{
    PlannerSimulation simulation = domainWithTwoLarge();
    simulation.engine("large-0").layers = {};
    simulation.engine("large-0").busy = true;
    simulation.engine("large-0").id = "back";
    const std::size_t before = simulation.orders;
    simulation.run(std::chrono::seconds(5));
    CHECK(simulation.orders == before);
    simulation.run(std::chrono::seconds(5));
    CHECK(simulation.minHolders() >= 1);
}

// Guards against counting a crashed engine as a holder while its entry is still listed.
TEST_CASE("a restarted engine replaces its old process while that one is still listed")
{
    PlannerSimulation simulation = domainWithTwoLarge();
    const double before = simulation.minRequestCapacity();
    const FleetEndpoint crashed = simulation.engine("large-0");
    simulation.add("back", "a", "large");
    simulation.engine("back").address = crashed.address;
    simulation.run(milliseconds(700));
    std::erase_if(simulation.fleet.endpoints,
                  [&](const auto &each) { return each.id == crashed.id; });
    simulation.run(milliseconds(500));
    CHECK(simulation.minHolders() >= 1);
    CHECK(simulation.minRequestCapacity() >= 0.9 * before);
}
