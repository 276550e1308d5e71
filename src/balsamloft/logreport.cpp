#include "logreport.h"

#include <balsamloft/storeuse.h>

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <regex>
#include <sstream>

namespace json = boost::json;

namespace balsamloft {

namespace {

/// Log lines of the instance are shown if they are at most this much older than the start of a
/// request, or at most a quarter of this time later than its end.
constexpr std::int64_t ContextMs = 2000;
constexpr std::size_t MaxContextLines = 20;
constexpr std::size_t MaxBarLength = 50;
constexpr std::int64_t FirstErrorStatus = 400;
constexpr std::size_t MaxRejectingEngines = 10;

std::string textField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::int64_t integerField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_int64() ? value->get_int64() : 0;
}

std::string bar(std::size_t count, std::size_t maxCount)
{
    return std::string(maxCount == 0 ? 0 : (count * MaxBarLength + maxCount - 1) / maxCount, '#');
}

/// Whether the request was refused because the current configuration does not permit it.
bool deniedByConfig(const LogLine &line)
{
    return line.outcome == "refused" && (line.status == 401 || line.status == 404);
}

bool succeeded(const LogLine &line)
{
    return line.outcome == "passed" && line.status < FirstErrorStatus;
}

} // namespace

std::string causeOf(const LogLine &line)
{
    // Endpoint ids are replaced, so that lines with the same cause are counted together.
    static const std::regex id("[a-z]+-[0-9a-f]{6,}(@[0-9]+)?");
    const std::string reason = std::regex_replace(line.reason, id, "an endpoint");
    if (line.outcome == "passed" && line.status >= FirstErrorStatus)
        return "the endpoint answered " + std::to_string(line.status);
    if (line.outcome == "passed")
        return "late";
    if (deniedByConfig(line))
        return "not permitted by the current configuration: " + reason;
    if (line.outcome == "refused" && line.status == 503)
        return "refused, not run: " + reason;
    if (line.outcome == "refused")
        return "failed, may have been executed (" + std::to_string(line.status) + "): " + reason;
    if (line.outcome == "cut short")
        return "stream truncated: " + reason;
    return line.outcome + (reason.empty() ? "" : ": " + reason);
}

void LogReport::read(std::istream &stream)
{
    std::string rawLine;
    while (std::getline(stream, rawLine)) {
        const std::size_t brace = rawLine.find('{');
        boost::system::error_code error;
        json::value value;
        if (brace != std::string::npos)
            value = json::parse(rawLine.substr(brace), error);
        if (brace == std::string::npos || error || !value.is_object()) {
            m_unreadable += 1;
            continue;
        }
        const json::object &object = value.get_object();
        LogLine line;
        line.wallMs = integerField(object, "at");
        line.upMs = integerField(object, "up");
        line.instance = textField(object, "instance");
        line.domain = textField(object, "domain");
        line.part = textField(object, "part");
        line.event = textField(object, "event");
        line.request = textField(object, "request");
        line.outcome = textField(object, "outcome");
        line.reason = textField(object, "reason");
        line.trail = textField(object, "trail");
        line.status = integerField(object, "status");
        line.durationMs = integerField(object, "ms");
        const json::value *late = object.if_contains("late");
        line.late = late && late->is_bool() && late->get_bool();
        line.gapsEverywhere = textField(object, "gaps_everywhere");
        if (line.part == "store" && line.event == "calls")
            for (const std::string_view purpose : StoreUseNames)
                m_storeCalls[purpose] += integerField(object, purpose);
        line.text = rawLine.substr(brace);
        if (line.part == "entry" && line.event == "started")
            m_processes[line.instance] += 1;
        line.process = m_processes[line.instance];
        m_lines.push_back(std::move(line));
    }
    sortByTime();
}

void LogReport::sortByTime()
{
    // The wall clock of an instance may jump; its steady clock does not. Lines are ordered by
    // steady time plus the median offset between the two clocks, which is correct unless the
    // wall clock was wrong for most lines. The steady clock may restart with the process, so
    // each process has its own offset.
    std::map<std::pair<std::string, std::size_t>, std::vector<std::int64_t>> offsets;
    for (const LogLine &line : m_lines)
        offsets[{line.instance, line.process}].push_back(line.wallMs - line.upMs);
    for (auto &[process, values] : offsets)
        std::nth_element(values.begin(), values.begin() + values.size() / 2, values.end());
    for (LogLine &line : m_lines) {
        const auto &values = offsets[{line.instance, line.process}];
        line.atMs = line.upMs + values[values.size() / 2];
    }
    std::stable_sort(m_lines.begin(), m_lines.end(), [](const LogLine &left, const LogLine &right) {
        return left.atMs < right.atMs;
    });
}

std::string LogReport::explain(std::string_view request) const
{
    std::string result;
    for (const LogLine &line : m_lines) {
        if (line.request != request)
            continue;
        result += "cause: " + causeOf(line) + "\n";
        result += "at " + line.instance + " (" + line.domain + "), after "
                  + std::to_string(line.durationMs) + " ms\n";
        if (!line.trail.empty())
            result += "timeline: " + line.trail + "\n";
        result += line.text + "\n";
        result += "other log lines of the instance around that time:\n";
        std::size_t shown = 0;
        for (const LogLine &other : m_lines)
            if (other.instance == line.instance && other.request.empty()
                && other.atMs >= line.atMs - line.durationMs - ContextMs
                && other.atMs <= line.atMs + ContextMs / 4 && shown++ < MaxContextLines)
                result +=
                    "  " + std::to_string(other.atMs - line.atMs) + " ms  " + other.text + "\n";
    }
    return result;
}

/// Returns the times at which some layer lost its last holder in the fleet, or all layers were held
/// again. The value is true if some layer is held by no engine from then on. The latest "coverage"
/// line of any instance applies.
std::vector<std::pair<std::int64_t, bool>> LogReport::coverageChanges() const
{
    std::vector<std::pair<std::int64_t, bool>> changes;
    for (const LogLine &line : m_lines) {
        if (line.event != "coverage")
            continue;
        const bool uncovered = !line.gapsEverywhere.empty();
        if (changes.empty() || changes.back().second != uncovered)
            changes.emplace_back(line.atMs, uncovered);
    }
    return changes;
}

namespace {

/// A request whose answer is late counts as this share of a lost request.
constexpr double LateWeight = 0.75;

struct Loss
{
    std::size_t count = 0;
    double lost = 0;
};

/// Whether the caller or the endpoint caused the failure.
bool causedOutsideRouter(const LogLine &line)
{
    return line.outcome == "caller gone"
           || (line.outcome == "passed" && line.status >= FirstErrorStatus);
}

std::string fixed(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << value;
    return text.str();
}

} // namespace

/// Lists the engines that rejected requests with status 503 because they had no capacity, most
/// rejections first. A few engines far ahead of the others are the bottleneck of many paths.
std::string LogReport::rejectionReport() const
{
    constexpr std::string_view RejectionText = "answered 503, not run at ";
    std::map<std::string, std::size_t, std::less<>> counts;
    std::size_t total = 0;
    for (const LogLine &line : m_lines)
        for (std::size_t at = line.trail.find(RejectionText); at != std::string::npos;
             at = line.trail.find(RejectionText, at + 1)) {
            const std::size_t begin = at + RejectionText.size();
            counts[line.trail.substr(begin, line.trail.find(';', begin) - begin)] += 1;
            total += 1;
        }
    std::vector<std::pair<std::size_t, std::string>> sorted;
    for (const auto &[address, count] : counts)
        sorted.emplace_back(count, address);
    std::sort(sorted.rbegin(), sorted.rend());
    std::string result = "rejections by engines: " + std::to_string(total) + " by "
                         + std::to_string(counts.size()) + " engines\n";
    for (std::size_t i = 0; i < std::min(MaxRejectingEngines, sorted.size()); ++i)
        result += std::to_string(sorted[i].first) + "  " + sorted[i].second + "\n";
    return result;
}

std::string LogReport::storeCallReport() const
{
    std::string result = "calls to the store:";
    for (const auto &[purpose, calls] : m_storeCalls)
        result += " " + std::string(purpose) + " " + std::to_string(calls);
    return result + (m_storeCalls.empty() ? " none logged\n" : "\n");
}

std::string LogReport::losses() const
{
    const auto changes = coverageChanges();
    std::map<std::string, Loss> causes;
    std::map<std::string, Loss> domains;
    std::map<std::int64_t, std::map<std::string, std::size_t>> seconds;
    double avoidable = 0;
    double unavoidable = 0;
    for (const LogLine &line : m_lines) {
        if (line.event != "ended" || deniedByConfig(line) || (succeeded(line) && !line.late))
            continue;
        const double lost = succeeded(line) ? LateWeight : 1;
        const std::int64_t startMs = line.atMs - line.durationMs;
        const auto after =
            std::upper_bound(changes.begin(), changes.end(), startMs,
                             [](std::int64_t at, const auto &each) { return at < each.first; });
        const bool uncovered = after != changes.begin() && std::prev(after)->second;
        (causedOutsideRouter(line) || uncovered ? unavoidable : avoidable) += lost;
        for (Loss *each : {&causes[causeOf(line)], &domains[line.domain]}) {
            each->count += 1;
            each->lost += lost;
        }
        const char *column = succeeded(line)             ? "late"
                             : line.outcome == "refused" ? "refused"
                                                         : "failed";
        seconds[(startMs - m_lines.front().atMs) / 1000][column] += 1;
    }
    std::vector<std::pair<double, std::string>> sorted;
    for (const auto &[cause, loss] : causes)
        sorted.emplace_back(loss.lost, std::to_string(loss.count) + "  " + cause);
    std::sort(sorted.rbegin(), sorted.rend());
    std::string result = "lost requests: " + fixed(avoidable) + " avoidable by the router, "
                         + fixed(unavoidable) + " unavoidable; " + std::to_string(m_unreadable)
                         + " unreadable lines\n\nlost  count  cause\n";
    for (const auto &[lost, cause] : sorted)
        result += fixed(lost) + "  " + cause + "\n";
    result += "\nlost  count  domain\n";
    for (const auto &[domain, loss] : domains)
        result += fixed(loss.lost) + "  " + std::to_string(loss.count) + "  " + domain + "\n";
    result += "\n" + rejectionReport() + "\n" + storeCallReport();
    result += "\nsecond late refused failed\n";
    for (auto &[second, columns] : seconds)
        result += std::to_string(second) + " " + std::to_string(columns["late"]) + " "
                  + std::to_string(columns["refused"]) + " " + std::to_string(columns["failed"])
                  + "\n";
    return result;
}

std::string LogReport::summary() const
{
    std::map<std::string, std::size_t> causes;
    std::map<std::string, std::size_t> domains;
    std::map<std::int64_t, std::size_t> seconds;
    std::size_t finished = 0;
    for (const LogLine &line : m_lines) {
        if (line.event != "ended")
            continue;
        finished += 1;
        if (succeeded(line) && causeOf(line) != "late")
            continue;
        causes[causeOf(line)] += 1;
        if (succeeded(line))
            continue;
        domains[line.domain] += 1;
        seconds[(line.atMs - m_lines.front().atMs) / 1000] += 1;
    }
    std::vector<std::pair<std::size_t, std::string>> sorted;
    for (const auto &[cause, count] : causes)
        sorted.emplace_back(count, cause);
    std::sort(sorted.rbegin(), sorted.rend());
    std::string result = std::to_string(finished) + " requests logged\n\ncauses\n";
    for (const auto &[count, cause] : sorted)
        result += "  " + std::to_string(count) + "  " + cause + "\n";
    result += "\nunsuccessful requests by domain\n";
    for (const auto &[domain, count] : domains)
        result += "  " + std::to_string(count) + "  " + domain + "\n";
    result += "\nunsuccessful requests by second\n";
    std::size_t maxCount = 0;
    for (const auto &[second, count] : seconds)
        maxCount = std::max(maxCount, count);
    for (const auto &[second, count] : seconds)
        result += "  " + std::to_string(second) + "  " + bar(count, maxCount) + " "
                  + std::to_string(count) + "\n";
    return result;
}

} // namespace balsamloft
