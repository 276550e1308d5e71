/// \file
/// Assigns the answers of the store to its eras.

#pragma once

#include <balsamloft/storeversion.h>

#include <optional>

namespace balsamloft {

/// Knows the latest era of the store that an answer of the store, or another instance, has shown.
///
/// An answer of an earlier era was under way when the store was restored; it is void. A store that
/// states no era has begun a new one if a version is below one that was known before the call was
/// sent, since the answers of a store are otherwise never older than those before.
class StoreEras
{
public:
    // Commands

    /// Records an answer of the store.
    /// \param before newest() when the call was sent
    /// \param statedEra era that the answer states; 0: none
    /// \param number newest version that the answer states; 0: none
    /// \return the era of the answer; nullopt if the answer is void
    std::optional<std::uint64_t> recordAnswer(StoreVersion before, std::uint64_t statedEra,
                                              std::uint64_t number);

    /// Records a version that another instance has read.
    void recordPeer(StoreVersion version);

    // Queries

    /// The newest known version, in the latest known era.
    StoreVersion newest() const { return m_newest; }
    std::uint64_t era() const { return m_newest.era; }

private:
    void record(StoreVersion version);

    StoreVersion m_newest;
};

} // namespace balsamloft
