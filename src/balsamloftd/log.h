/// \file
/// Structured logs through Boost.Log: one line a record, with a fixed prefix
/// for each part and attributes as key=value.

#pragma once

#include <balsamloft/types.h>

#include <initializer_list>
#include <utility>

namespace balsamloft {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// Sets the log up: records go to the standard error stream.
void setUpLog(LogLevel least, std::string_view instance);

/// Attribute of a log record.
using LogAttribute = std::pair<std::string_view, std::string>;

/// Writes a record of one part of the daemon, for example "traffic".
void log(LogLevel level, std::string_view part, std::string_view message,
         std::initializer_list<LogAttribute> attributes = {});

/// Whether records of this level are written.
bool logEnabled(LogLevel level);

} // namespace balsamloft
