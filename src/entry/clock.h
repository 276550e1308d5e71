/// \file
/// The monotonic clocks of a process.

#pragma once

#include <balsamloft/types.h>

#include <ctime>

namespace balsamloft {

/// Monotonic time that stops while the machine is suspended.
inline Time steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Monotonic time that includes suspension. The validity of API keys is measured with it:
/// the steady clock would keep a withdrawn key valid while the machine sleeps.
inline Time bootNow()
{
    std::timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Time(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                     + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace balsamloft
