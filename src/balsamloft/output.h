/// \file
/// Renders answers of the admin listener as text.

#pragma once

#include <boost/json.hpp>

#include <string>

namespace balsamloft {

/// Returns a diff with one line per change: `~ path.field: old -> new` for a changed field,
/// `+ path: entry` for an added entry and `- path` for a removed one.
std::string renderEdits(const boost::json::array &edits);

/// Returns the changes, one line each, in the given order. \a withEdits adds the diff of each
/// change.
std::string renderHistory(const boost::json::array &changes, bool withEdits);

/// Returns an aligned table of the objects in \a rows with the given columns.
std::string renderTable(const boost::json::array &rows,
                        std::initializer_list<std::string_view> columns);

/// Returns `name: value` lines for the scalar members of \a object.
std::string renderFields(const boost::json::object &object);

/// Returns a string value without quotes, and any other JSON value serialized.
std::string plainText(const boost::json::value &value);

} // namespace balsamloft
