/// \file
/// Structured log on standard output, one JSON object per line. Its buffer is bounded, and
/// writing never blocks.

#pragma once

#include <balsamloft/loopdelay.h>

#include <cstdint>
#include <initializer_list>
#include <span>
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

/// Initializes the log of the instance \a name in \a domain.
void setUpDecisionLog(std::string_view name, std::string_view domain);

/// Logs \a event of the component \a part with \a fields.
void logDecision(std::string_view part, std::string_view event, std::span<const LogField> fields);
inline void logDecision(std::string_view part, std::string_view event,
                        std::initializer_list<LogField> fields)
{
    logDecision(part, event, std::span<const LogField>(fields.begin(), fields.size()));
}

/// Logs that \a thread, whose delays \a delay recorded, fell behind or caught up.
void logLoopDelay(std::string_view thread, LoopDelay::Change change, const LoopDelay &delay);

/// Writes buffered lines to standard output, as far as that does not block.
void flushDecisionLog();

/// Number of lines dropped because the buffer was full.
std::uint64_t droppedLogLines();

} // namespace balsamloft
