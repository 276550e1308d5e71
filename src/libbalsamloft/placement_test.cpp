#include <balsamloft/placement.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <set>

using namespace balsamloft;

namespace {

Time minutes(double count)
{
    return Time(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(count * 60e6));
}

PlacementModel model(const std::string &name, double demand, bool scaleToZero = false)
{
    return {name, "1", 48, 60, scaleToZero, demand};
}

std::vector<PlacementEngine> mixedEngines()
{
    std::vector<PlacementEngine> engines;
    for (int i = 0; i < 12; ++i)
        engines.push_back(
            {"e" + std::to_string(i), i % 3 == 0 ? 48.0 : 24.0, i % 3 == 0 ? 2.0 : 1.0});
    return engines;
}

/// Engines that carry out each planned step at once.
struct PlacementSimulation
{
    Placement placement;
    std::vector<PlacementEngine> engines = mixedEngines();
    std::vector<Assignment> current;
    int loads = 0;
    int unloads = 0;

    void step(const std::vector<PlacementModel> &models, Time now)
    {
        for (const PlacementStep &step : placement.plan(engines, models, current, 0, now)) {
            for (const Assignment &assignment : step.assignments) {
                std::erase_if(current, [&](const Assignment &other) {
                    return other.engine == assignment.engine;
                });
                if (assignment.model.empty()) {
                    ++unloads;
                    continue;
                }
                ++loads;
                current.push_back(assignment);
            }
        }
    }
    std::size_t replicas(const std::string &name) const
    {
        std::set<std::string> names;
        for (const Assignment &assignment : current) {
            if (assignment.model == name)
                names.insert(assignment.replica);
        }
        return names.size();
    }
};

} // namespace

TEST_CASE("layers are split in proportion to speed within memory, without gap or overlap",
          "[placement]")
{
    const std::vector<PlacementEngine> engines {{"big", 48, 2}, {"small", 24, 1}};
    const auto parts = Placement::splitLayers(model("m", 0), engines, "r");
    REQUIRE(parts);
    REQUIRE(parts->size() == 2);
    CHECK((*parts)[0].layers == LayerRange {0, 32});
    CHECK((*parts)[1].layers == LayerRange {32, 48});
    // 24 GB hold 19 of 48 layers of a 60 GB model, so two such engines are not enough.
    const std::vector<PlacementEngine> tooSmall {{"a", 24, 1}, {"b", 24, 1}};
    CHECK_FALSE(Placement::splitLayers(model("m", 0), tooSmall, "r"));
}

TEST_CASE("replicas are added at high demand and removed down to one at low demand", "[placement]")
{
    PlacementSimulation simulation;
    simulation.step({model("m", 10)}, minutes(0));
    CHECK(simulation.replicas("m") == 1);
    // Six minutes of high demand.
    for (int i = 1; i < 60; ++i)
        simulation.step({model("m", 500)}, minutes(i * 0.1));
    const std::size_t busy = simulation.replicas("m");
    CHECK(busy >= 2);
    // An hour of low demand.
    for (int i = 0; i < 600; ++i)
        simulation.step({model("m", 5)}, minutes(10 + i * 0.1));
    CHECK(simulation.replicas("m") == 1);
}

TEST_CASE("demand that oscillates within the scale-down delay causes no unloads and few loads",
          "[placement]")
{
    // Guards against loading and unloading a replica in each period of the demand.
    PlacementSimulation simulation;
    for (int i = 0; i < 2000; ++i) {
        const double demand = 150 + 120 * std::sin(i * 0.05);
        simulation.step({model("m", demand)}, minutes(i * 0.05));
    }
    CHECK(simulation.unloads == 0);
    CHECK(simulation.loads <= 9);
}

TEST_CASE("an idle model loses its last replica only with scale to zero", "[placement]")
{
    PlacementSimulation simulation;
    simulation.step({model("keeps", 10), model("may go", 10, true)}, minutes(0));
    CHECK(simulation.replicas("may go") == 1);
    for (int i = 0; i < 100; ++i)
        simulation.step({model("keeps", 0), model("may go", 0, true)}, minutes(1 + i));
    CHECK(simulation.replicas("keeps") == 1);
    CHECK(simulation.replicas("may go") == 0);
    simulation.step({model("keeps", 0), model("may go", 1, true)}, minutes(200));
    CHECK(simulation.replicas("may go") == 1);
}

TEST_CASE("a replica with a lost engine is replaced before it is unloaded", "[placement][failure]")
{
    // Guards against a model without a complete replica, and against an incomplete one that
    // keeps its engines from other use.
    PlacementSimulation simulation;
    simulation.step({model("m", 10)}, minutes(0));
    const std::string lost = simulation.current.front().engine;
    for (PlacementEngine &engine : simulation.engines)
        engine.usable = engine.name != lost;
    for (int i = 1; i < 10; ++i)
        simulation.step({model("m", 10)}, minutes(i));
    CHECK(simulation.replicas("m") == 1);
    for (const Assignment &assignment : simulation.current)
        CHECK(assignment.engine != lost);
}

TEST_CASE("no more concurrent loads than the limit are planned", "[placement]")
{
    Placement placement;
    const auto engines = mixedEngines();
    const std::vector<PlacementModel> models {model("a", 1), model("b", 2), model("c", 3)};
    CHECK(placement.plan(engines, models, {}, 0, minutes(0)).size() == 2);
    CHECK(placement.plan(engines, models, {}, 2, minutes(0)).empty());
}
