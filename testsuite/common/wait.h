/// \file
/// Waiting on conditions, never for a time.

#pragma once

#include <chrono>
#include <thread>

namespace balsamloft::testsuite {

/// Waits until \a condition holds. Returns false when it does not within two
/// minutes: long enough for any machine, so that it only bounds a hang.
template<typename Condition>
bool waitUntil(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::minutes(2);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

} // namespace balsamloft::testsuite
