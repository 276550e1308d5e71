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

/// How far around a request what the instance believed is shown.
constexpr std::int64_t AroundMs = 2000;
constexpr std::size_t MostAround = 20;
constexpr std::size_t BarWidth = 50;
constexpr std::int64_t FirstRefusal = 400;
constexpr std::size_t MostRejecting = 10;

std::string text(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::int64_t number(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_int64() ? value->get_int64() : 0;
}

std::string bar(std::size_t count, std::size_t most)
{
    return std::string(most == 0 ? 0 : (count * BarWidth + most - 1) / most, '#');
}

/// Refused since the configuration in force does not allow it.
bool denied(const LogLine &line)
{
    return line.outcome == "refused" && (line.status == 401 || line.status == 404);
}

bool wentWell(const LogLine &line)
{
    return line.outcome == "passed" && line.status < FirstRefusal;
}

} // namespace

std::string causeOf(const LogLine &line)
{
    // Ids differ in each line; what they did does not.
    static const std::regex id("[a-z]+-[0-9a-f]{6,}(@[0-9]+)?");
    const std::string reason = std::regex_replace(line.reason, id, "an endpoint");
    if (line.outcome == "passed" && line.status >= FirstRefusal)
        return "the endpoint answered " + std::to_string(line.status);
    if (line.outcome == "passed")
        return "late";
    if (denied(line))
        return "the configuration in force does not allow it: " + reason;
    if (line.outcome == "refused" && line.status == 503)
        return "refused, not run: " + reason;
    if (line.outcome == "refused")
        return "failed, it may have run (" + std::to_string(line.status) + "): " + reason;
    if (line.outcome == "cut short")
        return "stream broken off: " + reason;
    return line.outcome + (reason.empty() ? "" : ": " + reason);
}

void LogReport::read(std::istream &stream)
{
    std::string whole;
    while (std::getline(stream, whole)) {
        const std::size_t brace = whole.find('{');
        boost::system::error_code error;
        json::value value;
        if (brace != std::string::npos)
            value = json::parse(whole.substr(brace), error);
        if (brace == std::string::npos || error || !value.is_object()) {
            m_unreadable += 1;
            continue;
        }
        const json::object &object = value.get_object();
        LogLine line;
        line.wallMs = number(object, "at");
        line.upMs = number(object, "up");
        line.instance = text(object, "instance");
        line.domain = text(object, "domain");
        line.part = text(object, "part");
        line.event = text(object, "event");
        line.request = text(object, "request");
        line.outcome = text(object, "outcome");
        line.reason = text(object, "reason");
        line.trail = text(object, "trail");
        line.status = number(object, "status");
        line.durationMs = number(object, "ms");
        const json::value *late = object.if_contains("late");
        line.late = late && late->is_bool() && late->get_bool();
        line.gapsEverywhere = text(object, "gaps_everywhere");
        if (line.part == "store" && line.event == "calls")
            for (const std::string_view use : StoreUseNames)
                m_storeCalls[use] += number(object, use);
        line.text = whole.substr(brace);
        if (line.part == "entry" && line.event == "started")
            m_processes[line.instance] += 1;
        line.process = m_processes[line.instance];
        m_lines.push_back(std::move(line));
    }
    order();
}

void LogReport::order()
{
    // The time of day may jump on an instance; its steady clock does not. The
    // median of the difference is right unless the clock was wrong most of the
    // time. A restart may begin a new steady clock, so each process has its own.
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
            result += "what happened: " + line.trail + "\n";
        result += line.text + "\n";
        result += "what the instance believed around that time:\n";
        std::size_t shown = 0;
        for (const LogLine &other : m_lines)
            if (other.instance == line.instance && other.request.empty()
                && other.atMs >= line.atMs - line.durationMs - AroundMs
                && other.atMs <= line.atMs + AroundMs / 4 && shown++ < MostAround)
                result +=
                    "  " + std::to_string(other.atMs - line.atMs) + " ms  " + other.text + "\n";
    }
    return result;
}

/// Moments from which on some layer had no holder anywhere (true) or all had one,
/// by the lines of all instances: the last one that told decides.
std::vector<std::pair<std::int64_t, bool>> LogReport::uncoveredSince() const
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

/// What a request that did not go well lost, of 1.
constexpr double LateLoss = 0.75;

struct Loss
{
    std::size_t count = 0;
    double lost = 0;
};

/// Causes that lie with the caller, the endpoint or the configuration.
bool notTheRouters(const LogLine &line)
{
    return line.outcome == "caller gone"
           || (line.outcome == "passed" && line.status >= FirstRefusal);
}

std::string fixed(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << value;
    return text.str();
}

} // namespace

/// Engines that refused requests for want of room, those that refused most first. A few
/// that lead the list by far are the neck of many paths.
std::string LogReport::rejecting() const
{
    constexpr std::string_view Mark = "answered 503, not run at ";
    std::map<std::string, std::size_t, std::less<>> counts;
    std::size_t all = 0;
    for (const LogLine &line : m_lines)
        for (std::size_t at = line.trail.find(Mark); at != std::string::npos;
             at = line.trail.find(Mark, at + 1)) {
            const std::size_t begin = at + Mark.size();
            counts[line.trail.substr(begin, line.trail.find(';', begin) - begin)] += 1;
            all += 1;
        }
    std::vector<std::pair<std::size_t, std::string>> sorted;
    for (const auto &[address, count] : counts)
        sorted.emplace_back(count, address);
    std::sort(sorted.rbegin(), sorted.rend());
    std::string result = "rejections by engines: " + std::to_string(all) + " by "
                         + std::to_string(counts.size()) + " engines\n";
    for (std::size_t i = 0; i < std::min(MostRejecting, sorted.size()); ++i)
        result += std::to_string(sorted[i].first) + "  " + sorted[i].second + "\n";
    return result;
}

std::string LogReport::storeCalls() const
{
    std::string result = "calls to the store:";
    for (const auto &[use, calls] : m_storeCalls)
        result += " " + std::string(use) + " " + std::to_string(calls);
    return result + (m_storeCalls.empty() ? " none told\n" : "\n");
}

std::string LogReport::losses() const
{
    const auto changes = uncoveredSince();
    std::map<std::string, Loss> causes;
    std::map<std::string, Loss> domains;
    std::map<std::int64_t, std::map<std::string, std::size_t>> seconds;
    double router = 0;
    double nobody = 0;
    for (const LogLine &line : m_lines) {
        if (line.event != "ended" || denied(line) || (wentWell(line) && !line.late))
            continue;
        const double lost = wentWell(line) ? LateLoss : 1;
        const std::int64_t began = line.atMs - line.durationMs;
        const auto after =
            std::upper_bound(changes.begin(), changes.end(), began,
                             [](std::int64_t at, const auto &each) { return at < each.first; });
        const bool uncovered = after != changes.begin() && std::prev(after)->second;
        (notTheRouters(line) || uncovered ? nobody : router) += lost;
        for (Loss *each : {&causes[causeOf(line)], &domains[line.domain]}) {
            each->count += 1;
            each->lost += lost;
        }
        const char *column = wentWell(line)              ? "late"
                             : line.outcome == "refused" ? "refused"
                                                         : "failed";
        seconds[(began - m_lines.front().atMs) / 1000][column] += 1;
    }
    std::vector<std::pair<double, std::string>> sorted;
    for (const auto &[cause, loss] : causes)
        sorted.emplace_back(loss.lost, std::to_string(loss.count) + "  " + cause);
    std::sort(sorted.rbegin(), sorted.rend());
    std::string result = "lost, in whole requests: " + fixed(router) + " the router's to win, "
                         + fixed(nobody) + " that no router could have served; "
                         + std::to_string(m_unreadable)
                         + " lines unreadable\n\nlost  count  cause\n";
    for (const auto &[lost, cause] : sorted)
        result += fixed(lost) + "  " + cause + "\n";
    result += "\nlost  count  domain\n";
    for (const auto &[domain, loss] : domains)
        result += fixed(loss.lost) + "  " + std::to_string(loss.count) + "  " + domain + "\n";
    result += "\n" + rejecting() + "\n" + storeCalls();
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
    std::size_t ended = 0;
    for (const LogLine &line : m_lines) {
        if (line.event != "ended")
            continue;
        ended += 1;
        if (wentWell(line) && causeOf(line) != "late")
            continue;
        causes[causeOf(line)] += 1;
        if (wentWell(line))
            continue;
        domains[line.domain] += 1;
        seconds[(line.atMs - m_lines.front().atMs) / 1000] += 1;
    }
    std::vector<std::pair<std::size_t, std::string>> sorted;
    for (const auto &[cause, count] : causes)
        sorted.emplace_back(count, cause);
    std::sort(sorted.rbegin(), sorted.rend());
    std::string result = std::to_string(ended) + " requests logged\n\ncauses\n";
    for (const auto &[count, cause] : sorted)
        result += "  " + std::to_string(count) + "  " + cause + "\n";
    result += "\nnot served, by domain\n";
    for (const auto &[domain, count] : domains)
        result += "  " + std::to_string(count) + "  " + domain + "\n";
    result += "\nnot served, by second\n";
    std::size_t most = 0;
    for (const auto &[second, count] : seconds)
        most = std::max(most, count);
    for (const auto &[second, count] : seconds)
        result += "  " + std::to_string(second) + "  " + bar(count, most) + " "
                  + std::to_string(count) + "\n";
    return result;
}

} // namespace balsamloft
