/// \file
/// Renders answers as text for people.

#pragma once

#include <boost/json.hpp>

#include <string>

namespace balsamloft {

/// Returns a diff, one changed field a line: `~ path.field: old -> new`.
std::string renderEdits(const boost::json::array &edits);

/// Returns the list of changes, newest first. \a withEdits adds each diff.
std::string renderHistory(const boost::json::array &changes, bool withEdits);

/// Returns an aligned table of the objects in \a rows with the given columns.
std::string renderTable(const boost::json::array &rows,
                        std::initializer_list<std::string_view> columns);

/// Returns `name: value` lines for the plain members of \a object.
std::string renderFields(const boost::json::object &object);

/// Returns the text of a plain JSON value, without quotes.
std::string plainText(const boost::json::value &value);

} // namespace balsamloft
