/// \file
/// Starts instances of `balsamloft-entry` for a soak and queries them.

#pragma once

#include "../common/process.h"
#include "link.h"

#include <future>

namespace balsamloft::soak {

/// Returns the result of \a work, which runs on a thread of its own while other tasks go on.
template<typename Work>
awaitable<std::invoke_result_t<Work>> runApart(Work work)
{
    constexpr Milliseconds PollInterval {20};
    auto result = std::async(std::launch::async, std::move(work));
    while (result.wait_for(Milliseconds(0)) != std::future_status::ready)
        co_await pause(PollInterval);
    co_return result.get();
}

/// Chooses \a count cores of those that this process may use; they differ between seeds.
std::vector<int> chooseCores(std::uint64_t seed, int count);

/// Starts \a count threads that use all the time they get of \a cores; no cores: of all.
std::vector<std::jthread> startBusyThreads(int count, const std::vector<int> &cores);

/// Starts an instance on \a cores; no cores: on all. It inherits no connections. Thread-safe.
std::unique_ptr<testsuite::Process> startInstance(const std::vector<std::string> &arguments,
                                                  const std::vector<int> &cores);

/// Returns the body of the answer to GET \a target at \a address; empty unless its status is 200.
awaitable<std::optional<std::string>> get(const std::string &address, std::string_view target);

/// Waits until the readiness check at \a address succeeds.
/// \return whether it did within a time that only a hang exceeds.
awaitable<bool> waitUntilReady(const std::string &address);

} // namespace balsamloft::soak
