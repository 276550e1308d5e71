/// \file
/// Members of the rows that instances write for each other. Nothing when a member is missing
/// or of another type: another writer than an instance wrote the row.

#pragma once

#include <balsamloft/tablecopy.h>

#include <boost/json.hpp>

namespace balsamloft {

std::optional<boost::json::object> parseRow(const StoreRow &row);
std::optional<std::int64_t> numberField(const boost::json::object &object, std::string_view name);
std::optional<std::string> textField(const boost::json::object &object, std::string_view name);

/// Times stand in rows as milliseconds of the store's clock.
Time timeFromMilliseconds(std::int64_t milliseconds);
std::int64_t toMilliseconds(Time time);

} // namespace balsamloft
