#include "rowfields.h"

#include <algorithm>

namespace json = boost::json;

namespace balsamloft {

namespace {

/// Far beyond each time that is used, and far from where differences of times overflow.
constexpr std::int64_t MaxMilliseconds = std::int64_t(1) << 50U;

} // namespace

std::optional<json::object> parseRow(const StoreRow &row)
{
    boost::system::error_code error;
    json::value value = json::parse(row.value, error);
    return !error && value.is_object() ? std::optional(value.get_object()) : std::nullopt;
}

std::optional<std::int64_t> numberField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_int64() ? std::optional(value->get_int64()) : std::nullopt;
}

std::optional<std::string> textField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_string() ? std::optional(std::string(value->get_string()))
                                       : std::nullopt;
}

Time timeFromMilliseconds(std::int64_t milliseconds)
{
    return Time(
        std::chrono::milliseconds(std::clamp(milliseconds, -MaxMilliseconds, MaxMilliseconds)));
}

std::int64_t toMilliseconds(Time time)
{
    return time.time_since_epoch().count() / 1000;
}

} // namespace balsamloft
