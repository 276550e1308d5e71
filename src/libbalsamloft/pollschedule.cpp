#include <balsamloft/pollschedule.h>

#include <cmath>

namespace balsamloft {

namespace {

constexpr Duration Usual {1'000'000};

/// A second of a domain's requests can fill an engine that looked half empty: told
/// each 0.25 s instead of each second, 190 emulated engines at three times their
/// usual load refused 2,190 instead of 3,274 of 8,921 requests, and 0.77 instead of
/// 0.60 were on time. Asking all so often would cost four times the questions.
constexpr Duration Soon {250'000};

/// Shares of the room.
constexpr double Filled = 0.35;
constexpr double Moving = 0.1;

} // namespace

Duration pollInterval(const MemoryUsage &filling)
{
    const double moved = std::abs(filling.used - filling.usedBefore);
    const bool soon = filling.used > Filled * filling.room || moved > Moving * filling.room;
    return soon ? Soon : Usual;
}

} // namespace balsamloft
