/// \file
/// State that the threads of an entry instance share.

#pragma once

#include <balsamloft/peerdirectory.h>
#include <balsamloft/resourceaccount.h>
#include <balsamloft/storeuse.h>
#include <balsamloft/types.h>

#include <atomic>

namespace balsamloft {

/// The instances that are considered alive.
struct KnownInstances
{
    std::vector<PeerInstance> all;
    std::size_t inDomain = 1; ///< in the failure domain of this instance
    std::size_t count = 1; ///< in all domains; includes this instance, even if it is not listed yet
    Duration storeClockOffset {}; ///< store's clock minus bootNow()
};

/// Written by the control thread, read by the traffic thread.
struct EntryState
{
    explicit EntryState(const ResourceLimits &limits = limitsFor(reportedSize({})))
        : resources(limits)
    {
    }

    ResourceAccount resources; ///< what all threads hold for clients
    /// The API keys are complete as of this time (bootNow() in microseconds); 0: never read.
    std::atomic<std::int64_t> keysKnownAt {0};
    std::atomic<bool> fleetKnown {false}; ///< the list of endpoints was read
    std::atomic<bool> holdsLease {false};
    std::atomic<bool> stopping {false};
    std::array<std::atomic<std::uint64_t>, StoreUseNames.size()> storeCalls {}; ///< by StoreUse
    std::atomic<std::uint64_t> storeFailures {0};
    std::atomic<std::uint64_t> storeEra {0}; ///< latest known era of the store
    std::atomic<std::uint64_t> storeEraChanges {0}; ///< that this process has seen
    std::atomic<std::uint64_t> voidStoreAnswers {0}; ///< answers of an earlier era
    std::atomic<std::uint64_t> rowsWrittenAgain {0}; ///< rows that the store had lost
    std::atomic<std::uint64_t> ordersSent {0}; ///< orders to engines
    std::atomic<std::uint64_t> invalidRows {0};
    std::atomic<std::uint64_t> crashNotices {0}; ///< received from other instances
    std::atomic<std::int64_t> controlDelayMs {0}; ///< how late the control thread's last timer ran

    /// Age of the API keys at \a bootTime; the maximum if they were never read.
    Duration keyAge(Time bootTime) const
    {
        const std::int64_t known = keysKnownAt.load(std::memory_order_relaxed);
        return known == 0 ? Duration::max() : bootTime.time_since_epoch() - Duration(known);
    }
};

} // namespace balsamloft
