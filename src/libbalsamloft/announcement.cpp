#include <balsamloft/announcement.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <sstream>
#include <string>

namespace balsamloft {

namespace {

using WallTime = std::chrono::system_clock::time_point;

std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::optional<double> parseSeconds(std::string_view text)
{
    text = trimmed(text);
    double seconds = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds);
    const bool tooLarge = parsed.ec == std::errc::result_out_of_range && parsed.ptr == end;
    if (tooLarge && !text.starts_with('-'))
        return std::chrono::duration<double>(MaxRetryAfter).count();
    if (parsed.ec != std::errc {} || parsed.ptr != end || !std::isfinite(seconds) || seconds < 0)
        return std::nullopt;
    return seconds;
}

/// Parses seconds, or several of them that a proxy joined with commas.
std::optional<double> parseSecondsList(std::string_view text)
{
    std::optional<double> longest;
    while (true) {
        const std::size_t comma = text.find(',');
        const auto seconds = parseSeconds(text.substr(0, comma));
        if (!seconds)
            return std::nullopt;
        longest = std::max(longest.value_or(0), *seconds);
        if (comma == std::string_view::npos)
            return longest;
        text.remove_prefix(comma + 1);
    }
}

/// Parses a date in the preferred format of RFC 9110, section 5.6.7.
std::optional<WallTime> parseDate(std::string_view text)
{
    std::istringstream stream {std::string(trimmed(text))};
    stream.imbue(std::locale::classic());
    std::tm fields {};
    stream >> std::get_time(&fields, "%a, %d %b %Y %H:%M:%S GMT");
    if (stream.fail())
        return std::nullopt;
    return std::chrono::system_clock::from_time_t(timegm(&fields));
}

std::optional<double> secondsOf(std::string_view value, std::string_view date, WallTime wallClock)
{
    if (const auto seconds = parseSecondsList(value))
        return seconds;
    const auto at = parseDate(value);
    if (!at)
        return std::nullopt;
    return std::chrono::duration<double>(*at - parseDate(date).value_or(wallClock)).count();
}

} // namespace

std::optional<Duration> parseRetryAfter(std::span<const std::string_view> values,
                                        std::string_view date, WallTime wallClock)
{
    double longest = 0;
    for (const std::string_view value : values)
        longest = std::max(longest, secondsOf(value, date, wallClock).value_or(0));
    if (longest <= 0)
        return std::nullopt;
    const double maximum = std::chrono::duration<double>(MaxRetryAfter).count();
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(longest, maximum)));
}

} // namespace balsamloft
