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
