/// \file
/// Basic value types shared by all parts of the core.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace balsamloft {

/// Resolution of all durations in the core: one microsecond.
using Duration = std::chrono::microseconds;

/// A point on the monotonic clock. The core never reads a clock itself: functions that
/// depend on the current time take it as an argument.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Milliseconds since the Unix epoch, for records that are kept across restarts.
using WallMillis = std::int64_t;

/// Returns the pause after \a doublings consecutive failures: \a initial doubled as many times,
/// but at most \a max.
Duration exponentialBackoff(Duration initial, std::uint32_t doublings, Duration max);

/// Human-readable reason for a failure. Functions that return false or an empty result
/// store it in an out parameter.
using Reason = std::string;

/// Scheduling class of a request. Requests with a smaller value are served first.
enum class Priority : std::uint8_t { Alert = 0, Normal = 1, Batch = 2 };

/// Number of scheduling classes.
inline constexpr std::size_t PriorityCount = 3;

/// Whether a refused request may have been executed.
enum class Executed : std::uint8_t {
    No, ///< guaranteed: no endpoint executed any part of the request
    Unknown, ///< an endpoint may have executed all or part of the request
};

/// A half-open range of model layers, `[begin, end)`.
struct LayerRange
{
    std::uint32_t begin = 0;
    std::uint32_t end = 0;

    auto operator<=>(const LayerRange &) const = default; // NOLINT(modernize-use-nullptr)

    std::uint32_t length() const { return end > begin ? end - begin : 0; }
};

/// Transparent hash: allows lookup by string_view in unordered maps with string keys.
struct StringHash
{
    using is_transparent = void; // NOLINT(readability-identifier-naming): name set by the library
    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view> {}(text);
    }
};

/// Returns the name of \a priority in requests and configuration documents.
std::string_view toString(Priority priority);

/// Returns "no" or "unknown", the value of the field `ran` in error responses.
std::string_view toString(Executed executed);

} // namespace balsamloft
