/// \file
/// Which instances live, by the rows that they write of themselves.

#pragma once

#include <balsamloft/peerdirectory.h>

#include <cstdint>
#include <span>
#include <vector>

namespace balsamloft {

/// What an instance wrote of itself.
struct InstanceRow
{
    PeerInstance instance;
    std::int64_t seenMs = 0; ///< when, on the store's clock
};

/// Tells the living from the dead by the age of their rows.
///
/// Nobody can write while the store is down, so a row that grew old in an outage
/// proves nothing. Taken for dead then, all instances would be gone from every
/// list at once, and each would read the store for itself.
class InstanceList
{
public:
    // Commands

    /// The rows as the store held them at \a storeMs on its clock.
    /// \return those that live.
    std::vector<PeerInstance> heard(std::span<const InstanceRow> rows, std::int64_t storeMs);

private:
    std::int64_t m_lastUpdateMs = 0;
    std::int64_t m_outageMs = 0; ///< length of the last outage
    std::int64_t m_outageEndMs = 0;
};

} // namespace balsamloft
