/// \file
/// Explains the outcome of requests from the log lines of any number of instances.

#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsamloft {

/// The fields of a log line that the reports use.
struct LogLine
{
    std::int64_t atMs = 0; ///< estimated time on a clock common to all instances
    std::int64_t wallMs = 0; ///< wall clock time as logged; jumps with the instance's clock
    std::int64_t upMs = 0; ///< on the instance's steady clock
    std::string instance;
    std::size_t process = 0; ///< number of "started" lines of the instance so far
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
    std::string gapsEverywhere; ///< of "coverage" lines: layers that no engine of the fleet holds
    std::string text; ///< the JSON text of the line
};

/// Log lines of several instances, ordered by time.
class LogReport
{
public:
    /// Reads lines. Text before the first brace of a line is ignored; lines without a JSON
    /// object are only counted.
    void read(std::istream &stream);

    /// Returns the outcome of \a request, its cause first, followed by other log lines of the
    /// instance around that time. Empty if no line contains the request.
    std::string explain(std::string_view request) const;

    /// Returns the lost requests by cause and by domain, with the avoidable and the unavoidable
    /// total, then one line per second for plots. A late request counts as three quarters of a
    /// lost request. A loss is unavoidable if the caller or the endpoint caused it, or if no
    /// engine held some layer when the request started.
    std::string losses() const;

    /// Returns the number of unsuccessful requests by cause, domain and second.
    std::string summary() const;

    std::size_t lines() const { return m_lines.size(); }
    std::size_t unreadable() const { return m_unreadable; }

private:
    void sortByTime();
    std::vector<std::pair<std::int64_t, bool>> coverageChanges() const;
    std::string rejectionReport() const;
    std::string storeCallReport() const;

    std::vector<LogLine> m_lines;
    std::size_t m_unreadable = 0;
    std::map<std::string_view, std::int64_t> m_storeCalls; ///< by purpose
    std::map<std::string, std::size_t> m_processes; ///< processes seen, by instance
};

/// Returns the cause of a request's outcome as text without ids. \a line reports the end of the
/// request.
std::string causeOf(const LogLine &line);

} // namespace balsamloft
