/// \file
/// Explains requests from log lines of any number of instances.

#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsamloft {

/// One log line, as far as reports need it.
struct LogLine
{
    std::int64_t atMs = 0; ///< on a clock common to all instances, as far as can be told
    std::int64_t wallMs = 0; ///< as written; jumps when the instance's clock does
    std::int64_t upMs = 0; ///< on the instance's steady clock
    std::string instance;
    std::size_t process = 0; ///< which process of the instance wrote it, in the order of lines
    std::string domain;
    std::string part;
    std::string event;
    std::string request;
    std::string outcome;
    std::string reason;
    std::string trail;
    std::int64_t status = 0;
    std::int64_t durationMs = 0;
    bool late = false;
    std::string gapsEverywhere; ///< of a line that tells which layers nobody holds
    std::string text; ///< the line itself
};

/// Lines of the log, in the order of time.
class LogReport
{
public:
    /// Reads lines; text before the first brace of a line is left out, and lines
    /// that are no JSON object are counted only.
    void read(std::istream &stream);

    /// What became of \a request, cause first, then what the instance believed
    /// around that time. Empty when no line names it.
    std::string explain(std::string_view request) const;

    /// What each cause cost: a table by cause and domain, with what no router
    /// could have served apart, then a line for each second, for plots. A request
    /// that is late counts as three quarters lost, one that is not served as lost.
    std::string losses() const;

    /// Causes of requests that did not go well: by kind, domain and second.
    std::string summary() const;

    std::size_t lines() const { return m_lines.size(); }
    std::size_t unreadable() const { return m_unreadable; }

private:
    void order();
    std::vector<std::pair<std::int64_t, bool>> uncoveredSince() const;
    std::string rejecting() const;
    std::string storeCalls() const;

    std::vector<LogLine> m_lines;
    std::size_t m_unreadable = 0;
    std::map<std::string_view, std::int64_t> m_storeCalls; ///< by use
    std::map<std::string, std::size_t> m_processes; ///< seen of each instance
};

/// The cause of a line that ends a request, in words, without ids.
std::string causeOf(const LogLine &line);

} // namespace balsamloft
