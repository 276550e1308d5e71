/// \file
/// What the store is called for, as counters, log lines and their readers name it.

#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace balsamloft {

/// What a call to the store is for.
enum class StoreUse : std::uint8_t { Follow, ReadSnapshot, Lease, OwnRow };

inline constexpr std::array<std::string_view, 4> StoreUseNames {"follow", "read_whole", "lease",
                                                                "own_row"};

} // namespace balsamloft
