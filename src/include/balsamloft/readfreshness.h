/// \file
/// Age of data that was read from the platform's store.

#pragma once

#include <balsamloft/types.h>

#include <optional>

namespace balsamloft {

/// Computes when the store created its last answer, on this process's own clock.
///
/// A long poll is answered long after it was sent, so the time of sending underestimates
/// the freshness of the data. The time of arrival overestimates it: the answer may have been
/// in transit for seconds. Each answer carries the store's own steady clock. The largest
/// difference "time of sending minus store's time" so far is a lower bound of the offset
/// between the two clocks, so the computed time is never later than the actual one.
class ReadFreshness
{
public:
    /// Records an answer that the store created at \a storeMs on its own clock, to a call that
    /// was sent at \a sentAt and answered at \a arrivedAt. Both local times must come from a
    /// clock that also runs while this process is suspended. \a era: the store's clock may be
    /// another one in each era.
    void recordAnswer(Time sentAt, Time arrivedAt, std::int64_t storeMs, std::uint64_t era = 0);

    /// Time at which the last read data was current; nullopt before the first answer.
    std::optional<Time> knownAt() const { return m_knownAt; }

    /// Discards the clock offset, since a restart of the store may reset the store's clock.
    void resetClock() { m_offset.reset(); }

private:
    std::optional<Duration> m_offset; ///< lower bound of local time minus store time
    std::int64_t m_lastStoreMs = 0;
    std::uint64_t m_era = 0;
    std::optional<Time> m_knownAt;
};

} // namespace balsamloft
