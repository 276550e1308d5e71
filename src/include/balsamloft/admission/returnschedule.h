/// \file
/// Schedules when the callers of refused requests come back.

#pragma once

#include <balsamloft/types.h>

#include <cstdint>
#include <deque>
#include <optional>
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
    /// unknown, returns are spread evenly. \a earliest: expected time until there is capacity.
    /// \a latest: the caller does not wait longer.
    ///
    /// With a known rate, the delay ends at a random time of the first slot with room between \a
    /// earliest and \a latest; if there is none, at a random time of the later half of this span.
    /// The work of requests that found room in a slot is at most what \a rate allows, unless one
    /// request alone is larger. The delay is never greater than \a latest. It is less than \a
    /// earliest or the minimum delay only if \a latest is not greater than these.
    Duration schedule(double work, double rate, Duration earliest, Duration latest, Time now,
                      std::mt19937_64 &random);

    /// Work of callers that were told to come back after \a now, including those of the current
    /// slot.
    double pending(Time now) const;

private:
    /// Returns that are scheduled in one slot.
    struct SlotLoad
    {
        double returning = 0; ///< work of the callers that come back in the slot
        double booked = 0; ///< work charged to the slot; a large request is charged to several
    };

    std::int64_t slotAt(Time time) const;
    Time beginOf(std::int64_t slot) const;
    SlotLoad &load(std::int64_t slot) { return m_slots[static_cast<std::size_t>(slot - m_first)]; }
    const SlotLoad &load(std::int64_t slot) const
    {
        return m_slots[static_cast<std::size_t>(slot - m_first)];
    }

    /// Removes the slots before \a now and adds those up to the maximum delay.
    void advance(Time now);

    /// The first slot between \a from and \a to in which \a work keeps within \a rate. A slot that
    /// is only partly in this span has room for the same part of the work.
    std::optional<std::int64_t> freeSlot(double work, double rate, Time from, Time to) const;

    /// Counts \a work as a return in \a slot. Work beyond \a limit is charged to the room that is
    /// left in this slot and the next ones.
    void book(std::int64_t slot, double work, double limit);

    ReturnScheduleSettings m_settings;
    std::deque<SlotLoad> m_slots; ///< from m_first on
    std::int64_t m_first = 0; ///< number of the first slot since the clock's epoch
};

} // namespace balsamloft
