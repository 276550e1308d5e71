/// \file
/// How late the event loop of a thread handles its work.

#pragma once

#include <balsamloft/types.h>

#include <optional>

namespace balsamloft {

/// Watches the lateness of a repeated timer, which waits behind all other work of its thread.
class LoopDelay
{
public:
    enum class Change { None, FellBehind, CaughtUp };

    /// Records that a timer due at \a due ran at \a now.
    Change recordTimer(Time due, Time now);

    Duration last() const { return m_last; }

    /// Longest delay since the thread last fell behind.
    Duration longest() const { return m_longest; }

    /// How long the thread was behind when it last caught up.
    Duration behindFor() const { return m_behindFor; }

private:
    Duration m_last {};
    Duration m_longest {};
    Duration m_behindFor {};
    std::optional<Time> m_behindSince;
    Time m_lateAt {}; ///< last time at which a timer was late
};

} // namespace balsamloft
