/// \file
/// Versions of the platform's store.

#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace balsamloft {

/// A version of the store's content. The store numbers its writes. When it comes back from an older
/// copy of its content, a new era begins, in which it gives numbers out again. Numbers are
/// therefore ordered only within an era.
struct StoreVersion
{
    std::uint64_t era = 0; ///< 0: the store states none
    std::uint64_t number = 0;

    bool operator==(const StoreVersion &) const = default;
    auto operator<=>(const StoreVersion &other) const
    {
        return std::tie(era, number) <=> std::tie(other.era, other.number);
    }

    /// Whether there is a version at all.
    bool known() const { return number > 0; }
};

} // namespace balsamloft
