// Tests of instances that receive more connections than they can read.

#include "../fakes/overloadsimulation.h"

#include <balsamloft/acceptgate.h>
#include <balsamloft/unreadconnections.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

using Order = OverloadSimulation::Order;

constexpr Time Start {std::chrono::hours(1)};
constexpr Duration Second {1'000'000};

Duration milliseconds(std::int64_t count)
{
    return Duration(count * 1000);
}

/// What callers get from an instance with a small share of a processor.
struct Goodput
{
    double during = 0; ///< requests served during the overload, of the capacity
    double after = 0; ///< share of requests served, from 2 s after it at half the capacity
};

Goodput overload(Order order, double multiple)
{
    OverloadSimulation::Settings settings;
    settings.order = order;
    settings.processorShare = 0.12;
    OverloadSimulation simulation(settings);
    const double capacity = simulation.capacity();
    REQUIRE(simulation.run(capacity * 0.9, 4 * Second) > 0.99);
    Goodput goodput;
    goodput.during = simulation.run(capacity * multiple, 6 * Second) * multiple;
    simulation.run(capacity / 2, 2 * Second);
    goodput.after = simulation.run(capacity / 2, 6 * Second);
    return goodput;
}

} // namespace

TEST_CASE("an instance that gets more than it can read serves what it can, and recovers at once")
{
    const double multiple = GENERATE(2.0, 4.0, 8.0, 16.0);
    CAPTURE(multiple);
    const Goodput goodput = overload(Order::NewestFirst, multiple);
    CHECK(goodput.during >= 0.75);
    CHECK(goodput.after >= 0.9);
}

TEST_CASE("read in the order of arrival, an overload serves hardly anybody and outlasts the load")
{
    // Shows that the simulation has the failure that the order of reading avoids.
    const Goodput goodput = overload(Order::OldestFirst, 4);
    CHECK(goodput.during < 0.25);
    CHECK(goodput.after < 0.5);
}

TEST_CASE("while most connections go to one instance, requests that are read are served")
{
    const std::size_t instances = GENERATE(6, 60, 295);
    CAPTURE(instances);
    OverloadSimulation::Settings settings;
    settings.instances = instances;
    settings.processorShare = 0.12;
    OverloadSimulation even(settings);
    const double rate = 4 * even.capacity();
    const double before = even.run(rate, 4 * Second);
    const double readBefore = even.servedOfRead();
    settings.skew = 5.0 / 6;
    OverloadSimulation skewed(settings);
    const double served = skewed.run(rate, 6 * Second);
    CHECK(skewed.servedOfRead() >= 0.75 * readBefore);
    CHECK(served >= 0.75 * before);
}

TEST_CASE(
    "after all instances started again, those that come first do not keep the others' callers")
{
    const std::size_t instances = GENERATE(6, 60, 295);
    CAPTURE(instances);
    OverloadSimulation::Settings settings;
    settings.instances = instances;
    settings.processorShare = 0.12;
    OverloadSimulation simulation(settings);
    const double rate = double(instances) * simulation.capacity() / 2;
    const double share = 1 / double(instances);
    simulation.useFirstOnly(3 * Second);
    CHECK(simulation.run(rate, 3 * Second) >= 0.75 * 2 * share);
    simulation.run(rate, 2 * Second);
    CHECK(simulation.run(rate, 4 * Second) >= 0.9);
}

TEST_CASE("after an instance stood still, it serves the callers that still wait")
{
    OverloadSimulation::Settings settings;
    settings.patience = 2 * Second;
    OverloadSimulation simulation(settings);
    simulation.standStill(Second);
    CHECK(simulation.run(200, 3 * Second) >= 0.99);
}

TEST_CASE("the newest connection is read first, and one that waited too long is closed")
{
    UnreadConnections connections;
    connections.add(1, Start);
    connections.add(2, Start + milliseconds(100));
    connections.add(3, Start + milliseconds(150));
    CHECK_FALSE(connections.takeExpired(Start + milliseconds(199)));
    CHECK(connections.takeNewest() == 3);
    CHECK(connections.takeExpired(Start + milliseconds(200)) == 1);
    CHECK_FALSE(connections.takeExpired(Start + milliseconds(200)));
    CHECK(connections.takeNewest() == 2);
    CHECK_FALSE(connections.takeNewest());
}

TEST_CASE("the number of connections that wait unread is bounded")
{
    UnreadConnections connections;
    for (int i = 0; i < 2000; ++i)
        connections.add(i, Start);
    while (connections.takeExpired(Start)) { }
    CHECK(connections.size() <= 512);
    CHECK(connections.takeNewest() == 1999);
}

TEST_CASE("an instance refuses connections only while it is behind and many wait")
{
    AcceptGate gate;
    CHECK(gate.update(1000, Start));
    gate.recordExpired(Start);
    CHECK(gate.isBehind(Start));
    CHECK_FALSE(gate.update(100, Start));
    CHECK(gate.update(2, Start + milliseconds(10)));
    CHECK(gate.backlog(Start) < 100);
    // Many waiting connections keep it behind, few let it catch up.
    CHECK_FALSE(gate.update(100, Start + milliseconds(900)));
    CHECK_FALSE(gate.update(100, Start + milliseconds(1800)));
    CHECK(gate.update(100, Start + milliseconds(2800)));
    CHECK(gate.backlog(Start + milliseconds(2800)) > 1000);
}
