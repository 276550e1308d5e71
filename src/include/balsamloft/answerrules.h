/// \file
/// What makes the head of an answer valid, for all that read answers of other processes.

#pragma once

#include <algorithm>
#include <string>

namespace balsamloft {

/// Whether \a status is one of HTTP (RFC 9110, section 15). Beast takes any three digits for a
/// status, and a caller would get them as those of an answer.
constexpr bool isHttpStatus(unsigned status)
{
    constexpr unsigned First = 100;
    constexpr unsigned Last = 599;
    return status >= First && status <= Last;
}

/// Describes a \a status that is none, as it stands in its answer.
inline std::string describeStatus(unsigned status)
{
    constexpr std::size_t Digits = 3;
    const std::string text = std::to_string(status);
    return "status " + std::string(Digits - std::min(Digits, text.size()), '0') + text;
}

/// Begins the reason of a failure whose cause is an answer that is none in HTTP.
inline constexpr char InvalidAnswerPrefix[] = "invalid answer: ";

} // namespace balsamloft
