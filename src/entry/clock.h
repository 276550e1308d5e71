/// \file
/// The clocks of a process.

#pragma once

#include <balsamloft/types.h>

#include <ctime>

namespace balsamloft {

/// Time that does not count suspension: what a process lived through.
inline Time steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Time that counts suspension. The age of a withdrawn key goes on growing
/// while a machine sleeps, so the steady clock would keep it valid.
inline Time bootNow()
{
    std::timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Time(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                     + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace balsamloft
