/// \file
/// Waits for conditions instead of fixed times.

#pragma once

#include <chrono>
#include <thread>

namespace balsamloft::testsuite {

/// Polls \a condition until it returns true. Returns false after two minutes. This is ample
/// for a slow machine, so only a hang reaches the limit.
template<typename Condition>
bool waitUntil(Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::minutes(2);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

} // namespace balsamloft::testsuite
