/// \file
/// Structured log on standard output: one JSON object a line. Bounded, and it
/// never blocks.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace balsamloft {

/// A value of a log field.
using LogValue = std::variant<std::int64_t, double, bool, std::string_view>;

/// A named field of a log line.
struct LogField
{
    std::string_view name;
    LogValue value;
};

/// Prepares the log of the instance \a name in \a domain.
void setUpDecisionLog(std::string_view name, std::string_view domain);

/// Writes one line for \a event of the part \a part.
void logDecision(std::string_view part, std::string_view event,
                 std::initializer_list<LogField> fields);

/// Gives what was gathered to standard output, as far as it takes it at once.
void flushDecisionLog();

/// Lines that were dropped since nobody read them in time.
std::uint64_t droppedLogLines();

} // namespace balsamloft
