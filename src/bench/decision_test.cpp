#include "decision.h"

#include <catch2/catch.hpp>

using namespace balsamloft::bench;

TEST_CASE("a routing decision in the steady state makes no heap allocation", "[policy]")
{
    for (const bool staged : {false, true}) {
        DecisionBench bench(790, staged);
        REQUIRE(bench.decide());
        const std::uint64_t before = allocations();
        for (int i = 0; i < 1000; ++i) {
            if (!bench.decide())
                FAIL("no chain");
        }
        CHECK(allocations() == before);
    }
}
