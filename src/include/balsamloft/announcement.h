/// \file
/// What endpoints announce about themselves in their answers.

#pragma once

#include <balsamloft/types.h>

#include <chrono>
#include <optional>
#include <span>
#include <string_view>

namespace balsamloft {

/// What the head of an answer says about the process that sent it, whatever it answered.
struct Announcement
{
    /// It wants no request from this instance for so long.
    std::optional<Duration> retryAfter;
    bool draining = false; ///< it is about to exit and wants no new requests

    bool operator==(const Announcement &) const = default;
};

/// Longest time that a Retry-After field is believed. A wrong value must not exclude an endpoint
/// for the rest of its life.
inline constexpr Duration MaxRetryAfter = std::chrono::minutes(10);

/// Parses the values of all Retry-After fields of an answer: seconds, also with a fraction, or an
/// HTTP date (RFC 9110, section 10.2.3). A date counts from \a date, the value of the answer's Date
/// field, or from \a wallClock if that cannot be read. Returns the longest readable time, at most
/// MaxRetryAfter, or nothing if no value can be read or none is in the future.
std::optional<Duration> parseRetryAfter(std::span<const std::string_view> values,
                                        std::string_view date,
                                        std::chrono::system_clock::time_point wallClock);

} // namespace balsamloft
