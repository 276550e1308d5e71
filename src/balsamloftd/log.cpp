#include "log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <atomic>
#include <iostream>

namespace expressions = boost::log::expressions;

namespace balsamloft {

namespace {

std::atomic<LogLevel> minLevel {LogLevel::Info};
std::string instanceName; // written once, before other threads start

std::string_view toString(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

/// Quotes empty values and values with spaces, quotes, '=' or newlines, so that the attributes of
/// a line can be parsed.
std::string quoted(const std::string &value)
{
    if (value.find_first_of(" \"=\n") == std::string::npos && !value.empty())
        return value;
    std::string result = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            result += '\\';
        result += c == '\n' ? ' ' : c;
    }
    return result + "\"";
}

} // namespace

// Found by argument-dependent lookup from within Boost.Log's formatter.
static std::ostream &operator<<(std::ostream &stream, LogLevel level)
{
    return stream << toString(level);
}

BOOST_LOG_ATTRIBUTE_KEYWORD(severity, "Severity", LogLevel)

void setUpLog(LogLevel level, std::string_view instance)
{
    minLevel = level;
    instanceName = instance;
    boost::log::add_common_attributes();
    boost::log::add_console_log(std::cerr, boost::log::keywords::auto_flush = true,
                                boost::log::keywords::format =
                                    (expressions::stream
                                     << expressions::format_date_time<boost::posix_time::ptime>(
                                            "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                     << " " << expressions::attr<LogLevel>("Severity") << " "
                                     << expressions::smessage));
}

bool logEnabled(LogLevel level)
{
    return level >= minLevel.load(std::memory_order_relaxed);
}

void log(LogLevel level, std::string_view part, std::string_view message,
         std::initializer_list<LogAttribute> attributes)
{
    if (!logEnabled(level))
        return;
    thread_local boost::log::sources::severity_logger<LogLevel> logger;
    std::string line;
    line.append(part).append(": ").append(message);
    for (const auto &[key, value] : attributes)
        line.append(" ").append(key).append("=").append(quoted(value));
    line.append(" instance=").append(instanceName);
    BOOST_LOG_SEV(logger, level) << line;
}

} // namespace balsamloft
