// Fleets of 6, 76 and 295 instances whose store comes back from a copy, in virtual time.

#include "../fakes/restorefleet.h"

#include <boost/log/core.hpp>

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after its acknowledgement in which a configuration has to be in force at all instances, and
/// an endpoint that leaves has to be known.
constexpr milliseconds InForceTime {2000};

/// Endpoints of a fleet with as many instances.
std::size_t endpointsOf(std::size_t instances)
{
    return instances == 6 ? 36 : instances == 76 ? 90 : 200;
}

/// Runs until all instances have \a version in force. Returns the time it took.
Duration timeUntilInForce(RestoreFleet &fleet, std::uint64_t version)
{
    const Time begin = fleet.now();
    while (fleet.lowestInForce() < version && fleet.now() - begin < seconds(30))
        fleet.run(milliseconds(10));
    return fleet.now() - begin;
}

struct Restored
{
    std::size_t instances;
    Duration away;
    bool breaksCalls;
};

/// A fleet in which version 26 is in force, which the store then lost. Endpoint 0 has left, and the
/// entry of endpoint 5 has lapsed; the copy lists both.
std::unique_ptr<RestoreFleet> restoredFleet(const Restored &how)
{
    boost::log::core::get()->set_logging_enabled(false);
    auto fleet = std::make_unique<RestoreFleet>(how.instances, endpointsOf(how.instances));
    fleet->writeConfiguration(20);
    REQUIRE(timeUntilInForce(*fleet, 20) < seconds(5));
    fleet->run(seconds(2));
    fleet->copyStore();
    fleet->writeEndpoint(0, true);
    fleet->run(milliseconds(500));
    fleet->dropEndpoint(0);
    fleet->dropEndpoint(5);
    for (int i = 0; i < 40; ++i)
        fleet->writeEndpoint(1);
    fleet->writeConfiguration(26);
    REQUIRE(timeUntilInForce(*fleet, 26) < InForceTime);
    fleet->run(seconds(2));
    REQUIRE(fleet->users(0) == 0);
    REQUIRE(fleet->users(5) == 0);
    fleet->restore(how.away, how.breaksCalls);
    return fleet;
}

Restored anyRestore()
{
    const auto [instances, awayMs, breaksCalls] =
        GENERATE(table<std::size_t, int, bool>({{6, 0, false},
                                                {6, 0, true},
                                                {6, 1500, true},
                                                {76, 0, false},
                                                {76, 1500, true},
                                                {295, 700, true}}));
    INFO(instances << " instances, away for " << awayMs << " ms, calls broken: " << breaksCalls);
    return {instances, milliseconds(awayMs), breaksCalls};
}

} // namespace

// Guards against configurations that are ignored while the store's counter is below its old value.
TEST_CASE("each version is in force in time after a restore, and none is replaced by an older one",
          "[restored]")
{
    const Restored how = anyRestore();
    const auto fleet = restoredFleet(how);
    const bool beyond = GENERATE(false, true);
    if (beyond) // the numbers pass the lost ones before anybody reads
        for (int i = 0; i < 100; ++i)
            fleet->writeEndpoint(2);
    fleet->run(how.away + milliseconds(300));
    CHECK(fleet->lowestInForce() == 26);
    fleet->writeConfiguration(26);
    for (const std::uint64_t version : {30, 33, 37}) {
        fleet->writeConfiguration(version);
        CHECK(timeUntilInForce(*fleet, version) < InForceTime);
        fleet->run(seconds(1));
    }
    // The endpoint that had left stays gone, the others stay.
    CHECK(fleet->users(0) == 0);
    CHECK(fleet->users(3) == fleet->size());
}

// Guards against requests to endpoints that say after the restore that they leave.
TEST_CASE("endpoints that leave, start or lapse after a restore are known in time", "[restored]")
{
    const Restored how = anyRestore();
    const auto fleet = restoredFleet(how);
    fleet->run(how.away + milliseconds(100));
    fleet->writeEndpoint(3, true);
    fleet->dropEndpoint(4);
    fleet->run(InForceTime);
    CHECK(fleet->users(3) == 0);
    CHECK(fleet->users(0) == 0);
    fleet->run(InForceTime);
    CHECK(fleet->users(4) == 0);
    CHECK(fleet->users(5) == 0);
    fleet->writeEndpoint(5);
    fleet->run(InForceTime);
    CHECK(fleet->users(5) == fleet->size());
}

// Guards against a restore that is taken for the end of the one before.
TEST_CASE("a second restore while the first is being reconciled changes nothing", "[restored]")
{
    const Restored how = anyRestore();
    const auto fleet = restoredFleet(how);
    fleet->run(how.away + milliseconds(GENERATE(20, 250, 700)));
    fleet->restore(how.away, how.breaksCalls);
    fleet->run(how.away + milliseconds(300));
    CHECK(fleet->lowestInForce() == 26);
    fleet->writeConfiguration(30);
    CHECK(timeUntilInForce(*fleet, 30) < InForceTime);
    fleet->run(seconds(3));
    CHECK(fleet->users(0) == 0);
    CHECK(fleet->users(3) == fleet->size());
}

// Guards against an instance that starts with a key that had been revoked.
TEST_CASE("an instance that starts after a restore takes no older configuration", "[restored]")
{
    const Restored how = anyRestore();
    const auto fleet = restoredFleet(how);
    const std::size_t starting = GENERATE(0, 1, 3); // two readers of the store, a follower
    fleet->stop(starting);
    fleet->run(how.away + milliseconds(GENERATE(0, 400, 2000)));
    fleet->start(starting);
    const Time begin = fleet->now();
    while (fleet->inForce(starting) == 0 && fleet->now() - begin < seconds(10))
        fleet->run(milliseconds(10));
    CHECK(fleet->inForce(starting) == 26);
    CHECK(fleet->now() - begin < InForceTime);
    CHECK_FALSE(fleet->uses(starting, 0));
    fleet->run(seconds(5));
    CHECK(fleet->lowestInForce() == 26);
}

// Guards against a configuration that only one domain knows, and that is lost with the store.
TEST_CASE("a configuration that some instances had is in force at all of them soon", "[restored]")
{
    const std::size_t instances = GENERATE(6, 76, 295);
    boost::log::core::get()->set_logging_enabled(false);
    RestoreFleet fleet(instances, endpointsOf(instances));
    fleet.writeConfiguration(20);
    REQUIRE(timeUntilInForce(fleet, 20) < seconds(5));
    fleet.run(seconds(2));
    fleet.copyStore();
    fleet.writeConfiguration(26);
    while (fleet.inForce(0) < 26)
        fleet.run(milliseconds(10));
    fleet.restore({});
    CHECK(timeUntilInForce(fleet, 26) < InForceTime);
}

// Guards against instances without the store that never hear of the restore.
TEST_CASE("instances that are cut from the store follow the others through a restore", "[restored]")
{
    const Restored how = anyRestore();
    const auto fleet = restoredFleet(how);
    for (const std::size_t reader : {0U, 3U})
        fleet->cutFromStore(reader, true);
    fleet->run(how.away + milliseconds(1500));
    fleet->writeConfiguration(30);
    CHECK(timeUntilInForce(*fleet, 30) < 2 * InForceTime);
    CHECK(fleet->users(0) == 0);
    for (const std::size_t reader : {0U, 3U})
        fleet->cutFromStore(reader, false);
    fleet->run(seconds(3));
    fleet->writeConfiguration(33);
    CHECK(timeUntilInForce(*fleet, 33) < InForceTime);
}

// Guards against a rush of all instances at a store that has just come back.
TEST_CASE("a restore costs few calls of the store and each instance one snapshot", "[restored]")
{
    const Restored how = anyRestore();
    const auto fleet = restoredFleet(how);
    const std::uint64_t calls = fleet->storeCalls();
    const std::uint64_t bytes = fleet->peerBytes();
    fleet->run(how.away + seconds(5));
    const double seconds = 5 + static_cast<double>(how.away.count()) / 1e6;
    const double callsPerS = static_cast<double>(fleet->storeCalls() - calls) / seconds;
    CHECK(callsPerS < 60);
    const double bytesPerInstance =
        static_cast<double>(fleet->peerBytes() - bytes) / static_cast<double>(fleet->size());
    // 2 KB a second on average over the hour in which an instance may see a restore or two.
    CHECK(bytesPerInstance < 60'000);
    WARN(how.instances << " instances: " << callsPerS << " calls a second, " << bytesPerInstance
                       << " bytes an instance");
}
