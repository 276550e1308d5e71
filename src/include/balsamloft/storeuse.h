/// \file
/// Purposes of calls to the store, for metrics and log lines.

#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace balsamloft {

/// The purpose of a call to the store.
enum class StoreUse : std::uint8_t {
    Follow, ///< waits for changes of a table
    ReadSnapshot,
    Lease,
    OwnRow, ///< writes the row of this instance, or rows about crashes or trials
};

/// Names in metrics and log lines, in the order of StoreUse.
inline constexpr std::array<std::string_view, 4> StoreUseNames {"follow", "read_whole", "lease",
                                                                "own_row"};

} // namespace balsamloft
