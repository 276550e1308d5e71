// Propagation of store changes to hundreds of instances, and its load on the store, in virtual
// time.

#include "../fakes/propagationemulator.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <functional>
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

/// Returns a configuration with \a routes routes that vary as operators' routes do, so that it
/// compresses as well as a configuration in use.
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

/// Returns the settings of a fleet that follows a configuration. One instance in each domain has a
/// fast link; all others have slow links.
PropagationSettings configuredFleet(std::size_t instances, std::string row)
{
    PropagationSettings settings;
    settings.domains = instances < 100 ? 3 : 5;
    settings.instancesPerDomain = instances / settings.domains;
    settings.writeEvery = Duration {};
    settings.row = std::move(row);
    return settings;
}

/// Runs the fleet for \a length and returns the store calls per second in that time.
double callsPerSecond(PropagationEmulator &fleet, Duration length)
{
    const std::uint64_t before = fleet.storeCalls();
    fleet.run(length);
    return static_cast<double>(fleet.storeCalls() - before) * 1e6
           / static_cast<double>(length.count());
}

/// A fleet of one of the sizes that updates are tested at, and how old data may become there.
struct FleetSize
{
    std::size_t instances;
    std::size_t maxCut; ///< first instances of a domain that are cut off at the same time
    Duration connectedFor;
    Duration maxAge;
};

const std::vector<FleetSize> FleetSizes {{9, 2, seconds(3), seconds(2)},
                                         {75, 6, seconds(4), seconds(3)},
                                         {295, 8, seconds(5), seconds(4)}};

/// How an instance is cut off from the store; it always reaches the instances of its domain.
enum class Cut : std::uint8_t { FromStore, FromStoreAndOtherDomains, Refused };

void cut(PropagationEmulator &fleet, std::size_t instance, Cut how)
{
    if (how == Cut::FromStoreAndOtherDomains)
        fleet.partition(instance, true);
    else
        fleet.setStore(instance,
                       how == Cut::Refused ? StoreBehavior::Refusing : StoreBehavior::Silent);
}

void reconnect(PropagationEmulator &fleet, std::size_t instance)
{
    fleet.partition(instance, false);
    fleet.setStore(instance, StoreBehavior::Healthy);
}

/// Runs the fleet for some seconds and calls \a fault before each step. Checks the age of the data
/// of connected instances after each.
void checkAgeUnderFaults(PropagationEmulator &fleet, const FleetSize &size,
                         const std::function<void()> &fault)
{
    for (int step = 0; step < 200; ++step) {
        fault();
        fleet.run(milliseconds(50));
        CAPTURE(size.instances, step);
        REQUIRE(fleet.oldestConnectedAge(size.connectedFor) <= size.maxAge);
    }
}

} // namespace

// The rate of store calls does not grow with the fleet, neither with a healthy store nor in an
// outage of the store. Callers do not notice the outage, and 3.5 s after it all instances have
// current data again.
TEST_CASE("store call rate stays constant as the number of instances grows")
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

// Guards against a reader that updates its whole domain by itself and saturates its link.
TEST_CASE("queries per instance stay bounded as the fleet grows")
{
    constexpr std::size_t MaxQueriers = 10;
    for (const std::size_t instances : {30U, 100U, 300U, 340U}) {
        PropagationSettings settings;
        settings.domains = 3;
        settings.instancesPerDomain = instances / settings.domains;
        PropagationEmulator fleet(settings);
        fleet.run(seconds(3));
        for (int sample = 0; sample < 100; ++sample) {
            fleet.run(milliseconds(70));
            REQUIRE(fleet.maxQueriersPerInstance() <= MaxQueriers);
        }
        CHECK(fleet.oldestAge() < milliseconds(1'600));
    }
}

// A domain is partitioned from the store and the other domains for six seconds. Its instances
// keep serving from the data they have, and only its readers retry the unreachable store.
TEST_CASE("only the readers of a partitioned domain call the store")
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

// More than half of the processes die at the same time and restart two seconds later. The
// others keep getting updates, and the restarted ones are up to date within three seconds.
TEST_CASE("instances that restart simultaneously are up to date within three seconds")
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
    // One call per restarted instance, in addition to the calls of the readers.
    CHECK(fleet.storeCalls() - before < dead.size() + 150);
}

// Guards against instances that start at the same time, find each other too busy to answer and
// increase their pauses between queries again and again.
TEST_CASE("a fleet that restarts is up to date three seconds after its slowest instance is up")
{
    constexpr Duration MaxBusy {10'000'000};
    std::mt19937_64 random(20261203);
    for (const std::size_t instances : {30U, 100U, 300U, 340U}) {
        PropagationEmulator fleet(fleetOf(instances));
        fleet.run(seconds(1));
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.kill(i);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.start(i, Duration(random() % MaxBusy.count()));
        fleet.run(MaxBusy + seconds(3));
        CHECK(fleet.oldestAge() < milliseconds(1'600));
    }
}

// Under any faults, and along any path between instances, data must not be recorded as newer
// than it is. The checks that revoked API keys are rejected and that leaving endpoints get no
// new requests depend on that age.
TEST_CASE("recorded data age never understates the actual age under random faults")
{
    std::mt19937_64 random(20261203);
    for (int round = 0; round < 100'000; ++round) {
        PropagationSettings settings;
        settings.domains = 1 + random() % 4;
        settings.instancesPerDomain = 1 + random() % 5;
        PropagationEmulator fleet(settings);
        const auto anyInstance = [&] { return static_cast<std::size_t>(random() % fleet.size()); };
        for (int step = 0; step < 12; ++step) {
            const auto behavior = static_cast<StoreBehavior>(random() % 3);
            switch (random() % 6) {
            case 0:
                fleet.setStore(behavior);
                break;
            case 1:
                fleet.setStore(anyInstance(), behavior);
                break;
            case 2:
                fleet.partitionDomain(random() % settings.domains, random() % 2 == 0);
                break;
            case 3:
                fleet.kill(anyInstance());
                break;
            case 4:
                fleet.start(anyInstance());
                break;
            default:
                break;
            }
            fleet.run(Duration(static_cast<std::int64_t>(random() % 900'000)));
        }
        REQUIRE(fleet.freshnessViolations() == 0);
        // After all faults are removed, all instances catch up.
        fleet.setStore(StoreBehavior::Healthy);
        for (std::size_t domain = 0; domain < settings.domains; ++domain)
            fleet.partitionDomain(domain, false);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.start(i);
        fleet.run(seconds(4));
        REQUIRE(fleet.oldestAge() < milliseconds(1'700));
    }
}

// Guards against updates that are delayed because the link is busy with older versions of the
// same configuration.
TEST_CASE("a large configuration change reaches all instances within two seconds")
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

// Guards against answers that are aborted in transit and then sent again by other instances.
TEST_CASE("a slow transfer of a change is sent about once per instance")
{
    constexpr std::size_t RowBytes = 1'000'000;
    std::mt19937_64 random(20261203);
    std::string row;
    for (std::size_t i = 0; i < RowBytes; ++i)
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

// Guards against a connected instance that serves callers with an outdated configuration while
// its sources die, hang or are partitioned.
TEST_CASE("data age of connected instances stays bounded while other instances fail")
{
    std::vector<FleetSize> sizes = FleetSizes;
    sizes.insert(sizes.begin(), {6, 0, seconds(3), seconds(2)});
    std::mt19937_64 random(20261203);
    for (const FleetSize &size : sizes) {
        const int rounds = size.instances < 10 ? 200 : size.instances < 100 ? 60 : 12;
        for (int round = 0; round < rounds; ++round) {
            CAPTURE(round);
            PropagationEmulator fleet(configuredFleet(size.instances, configurationOf(200)));
            const auto anyInstance = [&] {
                return static_cast<std::size_t>(random() % fleet.size());
            };
            checkAgeUnderFaults(fleet, size, [&] {
                switch (random() % 12) {
                case 0:
                    fleet.kill(anyInstance());
                    break;
                case 1:
                    fleet.start(anyInstance(), Duration(random() % 2'000'000));
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
            });
        }
    }
}

// Guards against an instance that takes stale data of its sources as a sign that the store fails.
TEST_CASE("instances whose sources are cut off from the store do not serve outdated data")
{
    const Cut how = GENERATE(Cut::FromStore, Cut::FromStoreAndOtherDomains, Cut::Refused);
    for (const FleetSize &size : FleetSizes) {
        for (std::size_t count = 2; count <= size.maxCut; count += 2) {
            PropagationEmulator fleet(configuredFleet(size.instances, configurationOf(200)));
            fleet.run(seconds(6));
            const std::vector<std::size_t> domain = fleet.instancesOf(0);
            for (std::size_t i = 0; i < count; ++i)
                cut(fleet, domain[i], how);
            for (int step = 0; step < 550; ++step) {
                fleet.run(milliseconds(10));
                CAPTURE(size.instances, count, step);
                REQUIRE(fleet.oldestConnectedAge(size.connectedFor) <= size.maxAge);
            }
            for (std::size_t i = 0; i < count; ++i)
                reconnect(fleet, domain[i]);
            fleet.run(seconds(4));
            CHECK(fleet.oldestAge() < milliseconds(1'600));
            CHECK(fleet.freshnessViolations() == 0);
        }
    }
}

// Guards against the same where the other source is dead, hangs or starts meanwhile.
TEST_CASE("data age of connected instances stays bounded while others are cut off from the store")
{
    std::mt19937_64 random(20261204);
    for (const FleetSize &size : FleetSizes)
        for (int round = 0; round < (size.instances < 100 ? 100 : 12); ++round) {
            CAPTURE(round);
            PropagationEmulator fleet(configuredFleet(size.instances, configurationOf(200)));
            fleet.run(seconds(6));
            // Most faults hit the first instances of a domain, which the others read from.
            const auto anyInstance = [&] {
                const std::vector<std::size_t> domain = fleet.instancesOf(random() % 3);
                return domain[random() % std::min<std::size_t>(domain.size(), 4)];
            };
            std::vector<std::size_t> impaired;
            checkAgeUnderFaults(fleet, size, [&] {
                const std::size_t instance = anyInstance();
                switch (random() % 24) {
                case 0:
                case 1:
                case 2:
                    cut(fleet, instance, static_cast<Cut>(random() % 3));
                    impaired.push_back(instance);
                    break;
                case 3:
                    fleet.kill(instance);
                    break;
                case 4:
                    fleet.start(instance, Duration(random() % 2'000'000));
                    break;
                case 5:
                case 6:
                    if (!impaired.empty()) {
                        reconnect(fleet, impaired.back());
                        impaired.pop_back();
                    }
                    break;
                case 7:
                    fleet.write();
                    break;
                default:
                    break;
                }
            });
        }
}

// Guards against an instance that waits for sources that have no data and cannot get any.
TEST_CASE("an instance that starts beside sources without data reads the store itself")
{
    for (const FleetSize &size : FleetSizes) {
        PropagationEmulator fleet(configuredFleet(size.instances, configurationOf(200)));
        fleet.run(seconds(3));
        const std::vector<std::size_t> domain = fleet.instancesOf(0);
        for (std::size_t i = 0; i < 2; ++i)
            cut(fleet, domain[i], Cut::FromStoreAndOtherDomains);
        for (const std::size_t each : domain)
            fleet.kill(each);
        fleet.run(seconds(1));
        for (const std::size_t each : domain)
            fleet.start(each);
        fleet.run(size.connectedFor + seconds(1));
        CAPTURE(size.instances);
        CHECK(fleet.longestWithoutData(size.connectedFor) == Duration {});
    }
}

namespace {

/// Store calls per second and domain.
struct CallRates
{
    double first = 0; ///< in the first three seconds of a fault, in which data becomes stale
    double later = 0; ///< in the ten seconds after them
};

CallRates callRates(std::size_t instances, const std::function<void(PropagationEmulator &)> &fail)
{
    PropagationSettings settings;
    settings.domains = 3;
    settings.instancesPerDomain = instances / settings.domains;
    PropagationEmulator fleet(settings);
    fleet.run(seconds(5));
    fail(fleet);
    const auto domains = static_cast<double>(settings.domains);
    CallRates rates;
    rates.first = callsPerSecond(fleet, seconds(3)) / domains;
    rates.later = callsPerSecond(fleet, seconds(10)) / domains;
    return rates;
}

void cutReaders(PropagationEmulator &fleet, Cut how)
{
    for (std::size_t domain = 0; domain < 3; ++domain)
        for (std::size_t i = 0; i < 2; ++i)
            cut(fleet, fleet.instancesOf(domain)[i], how);
}

void partitionAllDomains(PropagationEmulator &fleet)
{
    for (std::size_t domain = 0; domain < 3; ++domain)
        fleet.partitionDomain(domain, true);
}

/// Faults in which all sources of an instance are stale.
const std::vector<std::pair<std::string, std::function<void(PropagationEmulator &)>>> StaleSources {
    {"readers cut off from the store",
     [](PropagationEmulator &fleet) { cutReaders(fleet, Cut::FromStore); }},
    {"readers cut off from all",
     [](PropagationEmulator &fleet) { cutReaders(fleet, Cut::FromStoreAndOtherDomains); }},
    {"readers refused by the store",
     [](PropagationEmulator &fleet) { cutReaders(fleet, Cut::Refused); }},
    {"store refuses", [](PropagationEmulator &fleet) { fleet.setStore(StoreBehavior::Refusing); }},
    {"store silent", [](PropagationEmulator &fleet) { fleet.setStore(StoreBehavior::Silent); }},
    {"domains cut off", partitionAllDomains},
};

} // namespace

// Guards against a fleet that turns to the store at once when its sources are stale: the store gets
// no more calls than in normal operation, and twice as many for a moment.
TEST_CASE("store call rate while sources are stale does not grow with the number of instances")
{
    const double normal = callRates(9, [](PropagationEmulator &) {}).later;
    for (const auto &[fault, fail] : StaleSources) {
        std::vector<CallRates> rates;
        for (const std::size_t instances : {6U, 9U, 75U, 294U}) {
            rates.push_back(callRates(instances, fail));
            CAPTURE(fault, instances, rates.back().first, rates.back().later);
            CHECK(rates.back().first <= 2 * normal);
            CHECK(rates.back().later <= normal);
        }
        CHECK(rates[3].first <= rates[2].first * 1.2);
        CHECK(rates[3].later <= rates[2].later * 1.2);
    }
}

// Prints the figures of docs/CAPACITY.md.
TEST_CASE("store call rates while sources are stale", "[.figures]")
{
    for (const auto &[fault, fail] : StaleSources)
        for (const std::size_t instances : {6U, 75U, 294U}) {
            const CallRates rates = callRates(instances, fail);
            std::printf("%-30s %3zu instances: %.1f, then %.1f calls a second and domain\n",
                        fault.c_str(), instances, rates.first, rates.later);
        }
}

// Guards against an instance that alternates between two dead sources forever and never
// becomes ready.
TEST_CASE(
    "a starting instance has data within three seconds while two thirds of the fleet are dead")
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
            CHECK(fleet.hasData(started));
        }
}
