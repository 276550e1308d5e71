/// \file
/// Conversions for header fields and log lines.

#pragma once

#include <balsamloft/types.h>

#include <charconv>
#include <optional>
#include <string_view>

namespace balsamloft {

/// Parses the number at the start of \a text, after spaces. Returns nothing if there is none.
template<typename Number>
std::optional<Number> leadingNumber(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    Number number = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), number).ec != std::errc {})
        return std::nullopt;
    return number;
}

inline std::int64_t milliseconds(Duration duration)
{
    return duration.count() / 1000;
}

} // namespace balsamloft
