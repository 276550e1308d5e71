/// \file
/// How old what was read from the platform's store is.

#pragma once

#include <balsamloft/types.h>

#include <optional>

namespace balsamloft {

/// Tells when the store made its last answer, on this process's own clock.
///
/// A long poll is answered long after it was sent, so the time of sending says
/// too little, and the time of arrival too much: an answer may have been under
/// way for seconds. Answers carry the store's own steady clock; the largest
/// difference "sent minus store's time" seen so far bounds that clock from
/// below, and so places each answer no later than it was made.
class ReadFreshness
{
public:
    /// An answer, made at \a storeMs on the store's clock, to a call sent at
    /// \a sentAt that arrived at \a arrivedAt. All on a clock that counts the
    /// time in which this process was suspended.
    void answered(Time sentAt, Time arrivedAt, std::int64_t storeMs);

    /// The store's state at this time is known in full; nothing: never read.
    std::optional<Time> knownAt() const { return m_knownAt; }

    /// Forgets the store's clock, which may begin anew when the store does.
    void resetClock() { m_offset.reset(); }

private:
    std::optional<Duration> m_offset; ///< own time minus store's time, at least
    std::int64_t m_lastStoreMs = 0;
    std::optional<Time> m_knownAt;
};

} // namespace balsamloft
