/// \file
/// Structured logging with Boost.Log. Each record is one line: the part of the daemon, a message
/// and attributes as key=value.

#pragma once

#include <balsamloft/types.h>

#include <initializer_list>
#include <utility>

namespace balsamloft {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// Writes records of \a level and above to the standard error stream, each with the attribute
/// instance=\a instance.
void setUpLog(LogLevel level, std::string_view instance);

/// Key and value of an attribute of a log record.
using LogAttribute = std::pair<std::string_view, std::string>;

/// Writes a record. \a part names the part of the daemon, for example "traffic".
void log(LogLevel level, std::string_view part, std::string_view message,
         std::initializer_list<LogAttribute> attributes = {});

/// Whether records of \a level are written.
bool logEnabled(LogLevel level);

} // namespace balsamloft
