/// \file
/// Detection of live instances by the rows that they write about themselves.

#pragma once

#include <balsamloft/peerdirectory.h>

#include <cstdint>
#include <span>
#include <vector>

namespace balsamloft {

/// The row that an instance writes about itself.
struct InstanceRow
{
    PeerInstance instance;
    std::int64_t seenMs = 0; ///< time of the last write, on the store's clock
};

/// Distinguishes live instances from dead ones by the age of their rows.
///
/// No instance can write its row while the store is down, so a row that expires during an outage
/// does not count as expired until its instance has had time to write the row again. Otherwise
/// every instance would drop all others from its list at once and read the store directly.
class InstanceList
{
public:
    // Commands

    /// Applies the rows that the store held at \a storeMs on its clock, and returns the live
    /// instances. \a era: the store's clock may be another one in each era.
    std::vector<PeerInstance> update(std::span<const InstanceRow> rows, std::int64_t storeMs,
                                     std::uint64_t era = 0);

private:
    bool m_afterRestore = false; ///< rows may have times of the store's former clock
    std::int64_t m_restoredMs = 0;
    std::uint64_t m_era = 0;
    std::int64_t m_lastUpdateMs = 0;
    std::int64_t m_outageMs = 0; ///< duration of the last outage
    std::int64_t m_outageEndMs = 0;
};

} // namespace balsamloft
