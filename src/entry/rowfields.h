/// \file
/// Reads the JSON rows that instances write to the store. The functions return nothing if a
/// member is missing or has another type: such a row was not written by an instance.

#pragma once

#include <balsamloft/tablecopy.h>

#include <boost/json.hpp>

namespace balsamloft {

std::optional<boost::json::object> parseRow(const StoreRow &row);
std::optional<std::int64_t> numberField(const boost::json::object &object, std::string_view name);
std::optional<std::string> textField(const boost::json::object &object, std::string_view name);

/// Convert between a time of the store's clock and the milliseconds that rows contain.
Time timeFromMilliseconds(std::int64_t milliseconds);
std::int64_t toMilliseconds(Time time);

} // namespace balsamloft
