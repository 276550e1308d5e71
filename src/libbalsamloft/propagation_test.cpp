// How knowledge of the store spreads among hundreds of instances, and what that
// costs the store, in virtual time.

#include "../fakes/propagationemulator.h"

#include <catch2/catch.hpp>

#include <random>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PropagationSettings fleetOf(std::size_t instances)
{
    PropagationSettings settings;
    settings.instancesPerDomain = instances / settings.domains;
    return settings;
}

/// A configuration of so many routes, as an operator writes it.
std::string configurationOf(std::size_t routes)
{
    std::mt19937_64 random(20261203);
    std::string text;
    for (std::size_t i = 0; i < routes; ++i) {
        const std::string name = std::to_string(random());
        text += R"({"name":"r-)" + name.substr(0, 7) + R"(","host":"h)" + name.substr(7, 5)
                + R"(.example","prefix":"/)" + name.substr(12)
                + R"(/","kind":"streaming","timeout_ms":20000,"target_latency_ms":600,)"
                + R"("priority":1,"service":"s)" + name.substr(2, 6)
                + R"(","max_attempts":2,"anonymous":false,"affinity":true,"resumption":true,)"
                + R"("split":[{"service":"s)" + name.substr(3, 6)
                + R"(","weight":90}],"target_gap_ms":300},)";
    }
    return text;
}

/// A fleet of small instances, one wide link in each domain, that follow a configuration.
PropagationSettings configuredFleet(std::size_t instances, std::string row)
{
    PropagationSettings settings;
    settings.domains = instances < 100 ? 3 : 5;
    settings.instancesPerDomain = instances / settings.domains;
    settings.writeEvery = Duration {};
    settings.row = std::move(row);
    return settings;
}

/// Calls to the store a second in the span.
double callsPerSecond(PropagationEmulator &fleet, Duration length)
{
    const std::uint64_t before = fleet.storeCalls();
    fleet.run(length);
    return static_cast<double>(fleet.storeCalls() - before) * 1e6
           / static_cast<double>(length.count());
}

} // namespace

// Calm, and in an outage of which callers notice nothing: what the store is asked
// does not grow with the fleet, and all know of its return within two seconds.
TEST_CASE("the store's calls do not grow with the number of instances")
{
    const StoreBehavior behavior =
        GENERATE(StoreBehavior::Healthy, StoreBehavior::Refusing, StoreBehavior::Silent);
    std::vector<double> rates;
    for (const std::size_t instances : {30U, 100U, 300U, 340U}) {
        PropagationEmulator fleet(fleetOf(instances));
        fleet.run(seconds(3));
        CHECK(fleet.oldestAge() < milliseconds(1'600));
        fleet.setStore(behavior);
        rates.push_back(callsPerSecond(fleet, seconds(10)));
        fleet.setStore(StoreBehavior::Healthy);
        fleet.run(milliseconds(3'500));
        CHECK(fleet.oldestAge() < milliseconds(1'600));
        CHECK(fleet.freshnessViolations() == 0);
    }
    CHECK(rates.back() <= rates.front() * 1.2);
    CHECK(rates.back() < (behavior == StoreBehavior::Healthy ? 30 : 20));
}

// Guards against a reader that tells a whole domain, and whose link is too small for it.
TEST_CASE("no instance is asked by more others as the fleet grows")
{
    constexpr std::size_t MostAskers = 10;
    for (const std::size_t instances : {30U, 100U, 300U, 340U}) {
        PropagationSettings settings;
        settings.domains = 3;
        settings.instancesPerDomain = instances / settings.domains;
        PropagationEmulator fleet(settings);
        fleet.run(seconds(3));
        for (int look = 0; look < 100; ++look) {
            fleet.run(milliseconds(70));
            REQUIRE(fleet.maxQueriersPerInstance() <= MostAskers);
        }
        CHECK(fleet.oldestAge() < milliseconds(1'600));
    }
}

// A domain loses the others and the store for six seconds. Its instances go on with
// what they know; nobody there hammers a store that cannot be reached.
TEST_CASE("a domain that is cut off asks the store by its readers only")
{
    PropagationEmulator fleet(fleetOf(300));
    fleet.run(seconds(3));
    fleet.partitionDomain(2, true);
    CHECK(callsPerSecond(fleet, seconds(6)) < 40);
    CHECK(fleet.oldestAge() < milliseconds(1'600));
    fleet.partitionDomain(2, false);
    fleet.run(seconds(4));
    CHECK(fleet.oldestAge() < milliseconds(1'600));
}

// More than half of the processes die at the same moment and start again two
// seconds later. Those that live are told on, and those that start learn at once.
TEST_CASE("instances that start again together know all within three seconds")
{
    PropagationEmulator fleet(fleetOf(300));
    fleet.run(seconds(3));
    std::mt19937_64 random(20261203);
    std::vector<std::size_t> dead;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        if (random() % 100 < 55)
            dead.push_back(i);
    for (const std::size_t each : dead)
        fleet.kill(each);
    fleet.run(seconds(2));
    const std::uint64_t before = fleet.storeCalls();
    for (const std::size_t each : dead)
        fleet.start(each);
    fleet.run(seconds(3));
    CHECK(fleet.oldestAge() < milliseconds(1'600));
    // One call for each that started, and the readers'.
    CHECK(fleet.storeCalls() - before < dead.size() + 150);
}

// Guards against instances that start together, find each other too busy to answer and wait
// ever longer before they ask again.
TEST_CASE("a fleet that starts together knows all three seconds after the slowest is up")
{
    constexpr Duration MostBusy {10'000'000};
    std::mt19937_64 random(20261203);
    for (const std::size_t instances : {30U, 100U, 300U, 340U}) {
        PropagationEmulator fleet(fleetOf(instances));
        fleet.run(seconds(1));
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.kill(i);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.start(i, Duration(random() % MostBusy.count()));
        fleet.run(MostBusy + seconds(3));
        CHECK(fleet.oldestAge() < milliseconds(1'600));
    }
}

// Whatever fails, and whoever reads from whom: news are never taken for newer than
// they are. On that age rests that a withdrawn key serves no caller, and that a
// leaving endpoint gets nothing new.
TEST_CASE("no instance takes its knowledge for newer than it is")
{
    std::mt19937_64 random(20261203);
    for (int round = 0; round < 100'000; ++round) {
        PropagationSettings settings;
        settings.domains = 1 + random() % 4;
        settings.instancesPerDomain = 1 + random() % 5;
        PropagationEmulator fleet(settings);
        const auto any = [&] { return static_cast<std::size_t>(random() % fleet.size()); };
        for (int step = 0; step < 12; ++step) {
            const auto behavior = static_cast<StoreBehavior>(random() % 3);
            switch (random() % 6) {
            case 0:
                fleet.setStore(behavior);
                break;
            case 1:
                fleet.setStore(any(), behavior);
                break;
            case 2:
                fleet.partitionDomain(random() % settings.domains, random() % 2 == 0);
                break;
            case 3:
                fleet.kill(any());
                break;
            case 4:
                fleet.start(any());
                break;
            default:
                break;
            }
            fleet.run(Duration(static_cast<std::int64_t>(random() % 900'000)));
        }
        REQUIRE(fleet.freshnessViolations() == 0);
        // Once all is well again, all learn of it.
        fleet.setStore(StoreBehavior::Healthy);
        for (std::size_t domain = 0; domain < settings.domains; ++domain)
            fleet.partitionDomain(domain, false);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.start(i);
        fleet.run(seconds(4));
        REQUIRE(fleet.oldestAge() < milliseconds(1'700));
    }
}

// Guards against a configuration that stands in line behind copies of itself.
TEST_CASE("a large configuration is in force everywhere within two seconds of each change")
{
    for (const std::size_t instances : {6U, 75U, 295U}) {
        PropagationEmulator fleet(configuredFleet(instances, configurationOf(2'000)));
        fleet.run(seconds(3));
        for (int change = 0; change < 4; ++change) {
            fleet.write();
            fleet.run(seconds(2));
            CAPTURE(instances, change);
            CHECK(fleet.upToDateCount() == fleet.size());
        }
    }
}

// Guards against an answer that is given up under way and sent again by others.
TEST_CASE("each instance is told a change about once, however long it takes")
{
    constexpr std::size_t UnpackedBytes = 1'000'000;
    std::mt19937_64 random(20261203);
    std::string row;
    for (std::size_t i = 0; i < UnpackedBytes; ++i)
        row += static_cast<char>(random());
    for (const std::size_t instances : {6U, 75U, 295U}) {
        PropagationEmulator fleet(configuredFleet(instances, row));
        fleet.run(seconds(3));
        fleet.write();
        fleet.run(seconds(12));
        CHECK(fleet.upToDateCount() == fleet.size());
        CHECK(static_cast<double>(fleet.answersSent()) <= 1.1 * static_cast<double>(instances));
    }
}

// Guards against an instance in touch that serves callers by an older configuration, while
// those whom it reads from die, freeze or are cut off.
TEST_CASE("what an instance in touch knows is never older than a change may take")
{
    struct Size
    {
        std::size_t instances;
        int rounds;
        Duration contact;
        Duration most;
    };
    const std::vector<Size> sizes {{6, 200, seconds(3), seconds(2)},
                                   {9, 200, seconds(3), seconds(2)},
                                   {75, 60, seconds(4), seconds(3)},
                                   {295, 12, seconds(5), seconds(4)}};
    std::mt19937_64 random(20261203);
    for (const Size &size : sizes) {
        for (int round = 0; round < size.rounds; ++round) {
            PropagationEmulator fleet(configuredFleet(size.instances, configurationOf(200)));
            const auto one = [&] { return static_cast<std::size_t>(random() % fleet.size()); };
            for (int step = 0; step < 200; ++step) {
                switch (random() % 12) {
                case 0:
                    fleet.kill(one());
                    break;
                case 1:
                    fleet.start(one(), Duration(random() % 2'000'000));
                    break;
                case 2:
                    fleet.partitionDomain(random() % 3, random() % 3 == 0);
                    break;
                case 3:
                    if (random() % 10 == 0)
                        for (std::size_t i = 0; i < fleet.size(); ++i)
                            if (random() % 2 == 0)
                                fleet.start(i, Duration(random() % 3'000'000));
                    break;
                case 4:
                    fleet.write();
                    break;
                default:
                    break;
                }
                fleet.run(milliseconds(50));
                CAPTURE(size.instances, round, step);
                REQUIRE(fleet.oldestConnectedAge(size.contact) <= size.most);
            }
        }
    }
}

// Guards against an instance that asks two dead ones in turn for ever and serves nobody.
TEST_CASE("an instance that starts knows all within three seconds, whoever is dead")
{
    std::mt19937_64 random(20261203);
    for (const std::size_t instances : {6U, 9U, 75U, 295U})
        for (int round = 0; round < 20; ++round) {
            PropagationEmulator fleet(configuredFleet(instances, configurationOf(200)));
            fleet.run(seconds(1));
            for (std::size_t i = 0; i < fleet.size(); ++i)
                if (random() % 3 != 0)
                    fleet.kill(i);
            const std::size_t started = random() % fleet.size();
            fleet.start(started);
            fleet.run(seconds(3));
            CAPTURE(instances, round, started);
            CHECK(fleet.knows(started));
        }
}
