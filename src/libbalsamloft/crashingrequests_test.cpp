#include "../fakes/crashworld.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::seconds;

/// From the third engine's end until no instance may send the request any more.
constexpr Duration KnownEverywhere {3'000'000};

/// Engines that one request may end, over all instances.
constexpr std::size_t MostEnds = 4;

/// The same when something speaks for the request, such as that it came through before.
constexpr std::size_t MostEndsInDoubt = 5;

/// Sends later than KnownEverywhere that the fleet bears.
constexpr std::size_t MostLateSends = 3;

} // namespace

// Guards against a request that ends each engine that runs it and is sent to all, one after
// another.
TEST_CASE("a request that ends its engines is sent to no more of them after the third")
{
    CrashWorldSettings settings;
    settings.seed = GENERATE(range(1, 9));
    CrashWorld world(settings);
    world.run(seconds(60));
    CHECK(world.sendsAfterThirdEnd(KnownEverywhere) == 0);
    CHECK(world.ends().size() <= MostEnds);
}

// Guards against an earlier success that clears a request of all that it does later.
TEST_CASE("a request that came through before is found out when it ends engines")
{
    CrashWorldSettings settings;
    settings.harmlessFor = Duration(13'000'000);
    settings.seed = GENERATE(range(1, 9));
    CrashWorld world(settings);
    world.run(seconds(60));
    CHECK(world.sendsAfterThirdEnd(KnownEverywhere) <= MostLateSends);
    CHECK(world.ends().size() <= MostEndsInDoubt);
}

// Guards against as many ends as there are instances that do not know of each other's.
TEST_CASE("sixty instances send a request that ends its engines to no more than six do")
{
    CrashWorldSettings settings;
    settings.instances = 60;
    settings.enginesPerDomain = 20;
    settings.requestsPerSecond = 200;
    settings.crashingEvery = Duration(1'000'000);
    CrashWorld world(settings);
    world.run(seconds(30));
    CHECK(world.sendsAfterThirdEnd(KnownEverywhere) == 0);
    CHECK(world.ends().size() <= MostEnds);
}

// Guards against copies that wait at engines while it becomes known what they do.
TEST_CASE(
    "a request that comes at three instances at once is known as soon as one that comes alone")
{
    CrashWorldSettings settings;
    settings.crashingTogether = 3;
    settings.seed = GENERATE(range(1, 9));
    CrashWorld world(settings);
    world.run(seconds(30));
    CHECK(world.sendsAfterThirdEnd(KnownEverywhere) == 0);
    CHECK(world.harmless().heldBack == 0);
}

// Guards against single attempts, each at another instance, that add up nowhere.
TEST_CASE("a request that may run once only and ends its engines is found out over its attempts")
{
    CrashWorldSettings settings;
    settings.crashingKind = RequestKind::Unsafe;
    settings.seed = GENERATE(range(1, 5));
    CrashWorld world(settings);
    world.run(seconds(40));
    CHECK(world.ends().size() <= MostEnds);
}

// Guards against instances that all begin anew and send the request to three more engines.
TEST_CASE("what instances know of a request outlasts all of them")
{
    CrashWorldSettings settings;
    settings.seed = GENERATE(range(1, 5));
    CrashWorld world(settings);
    world.run(seconds(7));
    REQUIRE_FALSE(world.ends().empty());
    world.restartInstances();
    world.run(seconds(30));
    world.restartInstances();
    world.run(seconds(30));
    CHECK(world.sendsAfterThirdEnd(KnownEverywhere) == 0);
    CHECK(world.ends().size() <= MostEnds);
}

// Guards against harmless requests that are shut out since engines end by themselves.
TEST_CASE("engines that end by themselves shut out nobody")
{
    CrashWorldSettings settings;
    settings.crashingUntil = Duration {};
    settings.seed = GENERATE(range(1, 9));
    CrashWorld world(settings);
    for (int second = 0; second < 40; ++second) {
        world.run(seconds(1));
        world.endAnyEngine();
    }
    CHECK(world.harmless().heldBack == 0);
    CHECK(world.harmless().refused == 0);
}

// Guards against a fleet that is busy when engines end, and takes all that wait for guilty.
TEST_CASE("on a fleet at its limits the request is found out and nobody else is")
{
    CrashWorldSettings settings;
    settings.enginesPerDomain = 3;
    settings.requestsPerSecond = 80;
    settings.readTime = Duration(60'000);
    settings.restart = Duration(8'000'000);
    settings.crashingEvery = Duration(2'000'000);
    settings.seed = GENERATE(range(1, 9));
    CrashWorld world(settings);
    world.run(seconds(40));
    CHECK(world.sendsAfterThirdEnd(KnownEverywhere) == 0);
    CHECK(world.ends().size() <= MostEnds);
    CHECK(world.harmless().heldBack == 0);
}
