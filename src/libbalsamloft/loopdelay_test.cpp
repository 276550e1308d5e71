#include <balsamloft/loopdelay.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

constexpr Time Start {std::chrono::hours(1)};

Duration milliseconds(std::int64_t count)
{
    return Duration(count * 1000);
}

} // namespace

TEST_CASE("a thread that stood still is reported once, and again when it has caught up")
{
    using Change = LoopDelay::Change;
    LoopDelay delay;
    CHECK(delay.recordTimer(Start, Start + milliseconds(150)) == Change::None);
    CHECK(delay.recordTimer(Start, Start + milliseconds(900)) == Change::FellBehind);
    CHECK(delay.last() == milliseconds(900));
    const Time late = Start + milliseconds(1500);
    CHECK(delay.recordTimer(late - milliseconds(400), late) == Change::None);
    CHECK(delay.longest() == milliseconds(900));
    CHECK(delay.recordTimer(late + milliseconds(50), late + milliseconds(51)) == Change::None);
    const Time calm = late + milliseconds(1000);
    CHECK(delay.recordTimer(calm, calm) == Change::CaughtUp);
    CHECK(delay.behindFor() == milliseconds(1500));
    CHECK(delay.recordTimer(calm, calm + milliseconds(1)) == Change::None);
}

TEST_CASE("a thread that falls behind again reports the longest delay of that time only")
{
    LoopDelay delay;
    delay.recordTimer(Start, Start + milliseconds(900));
    delay.recordTimer(Start + milliseconds(3000), Start + milliseconds(3000));
    const Time again = Start + milliseconds(4000);
    CHECK(delay.recordTimer(again, again + milliseconds(300)) == LoopDelay::Change::FellBehind);
    CHECK(delay.longest() == milliseconds(300));
}
