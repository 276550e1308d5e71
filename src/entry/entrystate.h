/// \file
/// What the threads of an entry instance share.

#pragma once

#include <balsamloft/peerdirectory.h>
#include <balsamloft/storeuse.h>
#include <balsamloft/types.h>

#include <atomic>

namespace balsamloft {

/// The instances that are believed to live.
struct KnownInstances
{
    std::vector<PeerInstance> all;
    std::size_t inDomain = 1;
    std::size_t count = 1; ///< this one too, which may not be listed yet
    Duration storeClockOffset {}; ///< the store's time less this one's, which counts suspension
};

/// Written by the control thread, read by the traffic thread.
struct EntryState
{
    /// The store's keys are known in full as of this time; on the clock that
    /// counts suspension, in microseconds; 0: never read.
    std::atomic<std::int64_t> keysKnownAt {0};
    std::atomic<bool> fleetKnown {false};
    std::atomic<bool> holdsLease {false};
    std::atomic<bool> stopping {false};
    std::array<std::atomic<std::uint64_t>, StoreUseNames.size()> storeCalls {}; ///< by use
    std::atomic<std::uint64_t> storeFailures {0};
    std::atomic<std::uint64_t> ordersGiven {0};
    std::atomic<std::uint64_t> badRows {0};

    /// Age of what is known of keys at \a bootTime; very old when never read.
    Duration keyAge(Time bootTime) const
    {
        const std::int64_t known = keysKnownAt.load(std::memory_order_relaxed);
        return known == 0 ? Duration::max() : bootTime.time_since_epoch() - Duration(known);
    }
};

} // namespace balsamloft
