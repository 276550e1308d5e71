#include <balsamloft/admission/capacityestimate.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

Time at(double seconds)
{
    return Time(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// A model of 4 layers with one kind of accelerator that holds 6 layers, or requests of one token
/// in the memory of each layer that it does not hold.
RoutedService modelService()
{
    LayeredModel model;
    model.layers = 4;
    model.layerMegabytes = 100;
    model.bytesPerToken = 4e6;
    model.kinds.push_back({"card", 600});
    RoutedService service;
    service.name = "model";
    service.model = model;
    return service;
}

FleetEndpoint engine(const std::string &id, LayerRange layers, const std::string &domain = "a")
{
    FleetEndpoint endpoint;
    endpoint.id = endpoint.name = id;
    endpoint.service = "model";
    endpoint.domain = domain;
    endpoint.kind = "card";
    endpoint.layers = layers;
    return endpoint;
}

FleetSnapshot fleetOf(std::vector<FleetEndpoint> endpoints)
{
    FleetSnapshot fleet;
    fleet.endpoints = std::move(endpoints);
    return fleet;
}

ServiceLoad load(double inFlight, double onTime, double late, double rejected)
{
    return {"model", 0, inFlight, onTime, late, rejected};
}

} // namespace

TEST_CASE("the capacity of a model is that of its layer with the least memory")
{
    const RoutedService service = modelService();
    // Two layers leave 400 MB of an engine, or 400 token-layers for two layers.
    const double half = 200;
    CHECK(nominalCapacity(fleetOf({engine("e1", {0, 2}), engine("e2", {2, 4})}), service)
          == Approx(half));
    CHECK(nominalCapacity(
              fleetOf({engine("e1", {0, 2}), engine("e2", {0, 2}), engine("e3", {2, 4})}), service)
          == Approx(half));
    CHECK(nominalCapacity(fleetOf({engine("e1", {0, 2}), engine("e2", {2, 4}),
                                   engine("e3", {0, 2}, "b"), engine("e4", {2, 4}, "b")}),
                          service)
          == Approx(2 * half));
}

TEST_CASE("a model that only several domains hold together has the capacity of all engines")
{
    const FleetSnapshot fleet = fleetOf({engine("e1", {0, 2}), engine("e2", {2, 4}, "b")});
    CHECK(nominalCapacity(fleet, modelService()) == Approx(200));
}

TEST_CASE("endpoints that are draining or hold nothing add no capacity")
{
    FleetEndpoint draining = engine("e2", {2, 4});
    draining.draining = true;
    CHECK(
        nominalCapacity(fleetOf({engine("e1", {0, 2}), draining, engine("e3", {})}), modelService())
        == 0);
}

TEST_CASE("the capacity of a plain service is the sum of its slots")
{
    RoutedService service;
    service.name = "model";
    FleetEndpoint endpoint = engine("e1", {});
    endpoint.slots = 6;
    CHECK(nominalCapacity(fleetOf({endpoint, endpoint, endpoint}), service) == 18);
}

TEST_CASE("rejections and late requests reduce a capacity that is in use")
{
    const auto [rejected, late] = GENERATE(std::pair(20.0, 0.0), std::pair(0.0, 20.0));
    CapacityEstimate estimate;
    estimate.setNominal(1000);
    const double before = estimate.capacity();
    estimate.update(load(before, 80, late, rejected), at(1));
    CHECK(estimate.capacity() < before);
}

TEST_CASE("failing endpoints do not reduce a capacity that is not in use")
{
    CapacityEstimate estimate;
    estimate.setNominal(1000);
    const double before = estimate.capacity();
    for (int second = 1; second < 20; ++second)
        estimate.update(load(before / 2, 50, 30, 20), at(second));
    CHECK(estimate.capacity() == before);
}

TEST_CASE("reports that arrive together reduce the capacity once")
{
    CapacityEstimate estimate;
    estimate.setNominal(1000);
    const double before = estimate.capacity();
    for (int i = 0; i < 10; ++i)
        estimate.update(load(before, 50, 50, 0), at(1 + i * 0.05));
    CHECK(estimate.capacity() > before * 0.8);
}

TEST_CASE("a capacity that was learned while endpoints were slow recovers within seconds")
{
    CapacityEstimate estimate;
    estimate.setNominal(1000);
    const double before = estimate.capacity();
    for (int second = 1; second <= 40; ++second)
        estimate.update(load(1000, 10, 90, 0), at(second));
    REQUIRE(estimate.capacity() < before / 2);
    CHECK(estimate.capacity() > 0);
    int seconds = 0;
    while (estimate.capacity() < before * 0.9 && seconds < 60)
        estimate.update(load(estimate.capacity(), 100, 0, 0), at(41 + seconds++));
    CHECK(seconds <= 15);
}
