/// \file
/// When callers of refused requests should come back.

#pragma once

#include <balsamloft/types.h>

#include <deque>
#include <random>

namespace balsamloft {

/// Settings of a ReturnSchedule.
struct ReturnScheduleSettings
{
    Duration minDelay {200'000};
    Duration maxDelay {15'000'000};
    Duration slot {250'000}; ///< resolution of the schedule
};

/// Schedules the returns of callers whose requests were refused for lack of capacity, so that no
/// more of them return at a time than can be served beside new requests. Callers that are all told
/// the same time return together and are refused again.
class ReturnSchedule
{
public:
    explicit ReturnSchedule(ReturnScheduleSettings settings = {});

    /// Returns the delay after which the caller of a request of \a work should come back, and
    /// counts it as a return at that time. \a rate: work per second that is left for returns; 0:
    /// unknown. \a earliest: expected time until there is capacity. \a latest: the caller does not
    /// wait longer.
    Duration schedule(double work, double rate, Duration earliest, Duration latest, Time now,
                      std::mt19937_64 &random);

    /// Work of callers that were told to come back after \a now.
    double pending(Time now) const;

private:
    // The implementer of this class adds its state.
};

} // namespace balsamloft
