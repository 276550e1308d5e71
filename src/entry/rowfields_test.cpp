#include "rowfields.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace balsamloft;

// Guards against a time of another writer that overflows, and becomes one in the past.
TEST_CASE("times at the ends of their range stay in order")
{
    constexpr std::int64_t Max = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t Min = std::numeric_limits<std::int64_t>::min();
    constexpr std::int64_t Now = 1'796'599'970'821;
    for (const std::int64_t far : {Max, Max / 1000, Max / 1000 + 1, Max / 2}) {
        CAPTURE(far);
        CHECK(timeFromMilliseconds(far) > timeFromMilliseconds(Now));
        CHECK(timeFromMilliseconds(far) - timeFromMilliseconds(-Now) > Duration {});
    }
    for (const std::int64_t past : {Min, Min / 1000, Min / 1000 - 1, Min / 2})
        CHECK(timeFromMilliseconds(past) < timeFromMilliseconds(-Now));
    CHECK(toMilliseconds(timeFromMilliseconds(Now)) == Now);
}
