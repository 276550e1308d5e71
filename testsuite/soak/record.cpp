#include "record.h"

#include <algorithm>

namespace balsamloft::soak {

namespace {

constexpr int Ok = 200;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;

/// Time after which an endpoint that reported that it is leaving must get no new requests; ample
/// for a slow machine.
constexpr auto LeavingPropagation = std::chrono::seconds(10);

/// Time after an announcement in which requests may still arrive, since they were sent before.
constexpr auto AnnouncementDelay = std::chrono::seconds(2);

/// Requests that may arrive even later: a link may delay one of each of an instance's callers.
constexpr int MaxDelayed = 4;

/// Time after its caller left in which a request may still be executed: half a second, and the
/// longest delay of a link.
constexpr auto MaxDepartureDelay = std::chrono::milliseconds(700);

/// Requests that may be executed even later.
constexpr std::size_t MaxExecutedAfterLeaving = 3;

bool meansNotExecuted(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

std::string requestId(std::uint64_t number, const std::string &instance)
{
    return "r" + std::to_string(number) + "." + instance;
}

std::string instanceOf(const std::string &request)
{
    return request.substr(request.find('.') + 1);
}

std::string callBody(const std::string &request)
{
    return "done " + request;
}

std::string eventText(const std::string &request, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + request + "/" + std::to_string(number)
           + "\n\n";
}

void Record::executed(const std::string &request, const std::string &endpoint)
{
    m_executed[request].push_back(endpoint);
    const auto found = m_leavingAt.find(endpoint);
    if (found != m_leavingAt.end() && Clock::now() - found->second > LeavingPropagation)
        addViolation("a leaving endpoint got a new request: " + endpoint + ", " + request);
    const auto left = m_leftAt.find(request);
    if (left == m_leftAt.end())
        return;
    const auto late =
        std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - left->second);
    if (late > MaxDepartureDelay)
        m_executedAfterLeaving.push_back(request + " at " + endpoint + " after "
                                         + std::to_string(late.count()) + " ms");
}

std::vector<std::string> Record::executionsOf(const std::string &request) const
{
    const auto found = m_executed.find(request);
    return found == m_executed.end() ? std::vector<std::string>() : found->second;
}

bool Record::wasFinished(const std::string &request, Clock::time_point time) const
{
    const auto executed = m_executed.find(request);
    if (executed == m_executed.end())
        return false;
    const auto found = m_finishedAt.find({request, executed->second.back()});
    return found != m_finishedAt.end() && found->second <= time;
}

void Record::announced(const std::string &endpoint, const std::string &instance,
                       Clock::time_point until)
{
    const auto now = Clock::now();
    Announcement &each = m_announcements[{endpoint, instance}];
    if (now >= each.until)
        each = {now, until, 0};
    each.until = std::max(each.until, until);
}

void Record::arrived(const std::string &endpoint, const std::string &instance)
{
    const auto found = m_announcements.find({endpoint, instance});
    const auto now = Clock::now();
    if (found == m_announcements.end() || now < found->second.at + AnnouncementDelay
        || now >= found->second.until)
        return;
    if (++found->second.late == MaxDelayed + 1)
        addViolation("requests of " + instance + " to an endpoint that wants none: " + endpoint);
}

void Record::instanceStarted(const std::string &instance)
{
    std::erase_if(m_announcements, [&](const auto &each) { return each.first.second == instance; });
}

void Record::received(const std::string &request, Exchange exchange)
{
    m_received[request] = std::move(exchange);
}

void Record::checkBody(const std::string &request, const Exchange &exchange,
                       std::vector<std::string> &violations) const
{
    if (exchange.kind != Kind::Stream) {
        if (exchange.complete && exchange.body != callBody(request))
            violations.push_back("incomplete or mismatched answer: " + request + " received "
                                 + exchange.body);
        return;
    }
    std::string complete;
    for (int i = 1; i <= exchange.events; ++i)
        complete += eventText(request, i);
    if (exchange.complete && exchange.body != complete)
        violations.push_back("an incomplete stream ended as complete: " + request);
    if (!complete.starts_with(exchange.body))
        violations.push_back("events missing, duplicated or of another request: " + request
                             + " received " + exchange.body.substr(0, 200));
}

std::vector<std::string> Record::check() const
{
    std::vector<std::string> violations = m_violations;
    if (m_executedAfterLeaving.size() > MaxExecutedAfterLeaving)
        for (const std::string &each : m_executedAfterLeaving)
            violations.push_back("executed long after its caller left: " + each);
    for (const auto &[request, endpoints] : m_executed)
        if (!m_received.contains(request))
            violations.push_back("executed, but sent by no caller: " + request);
    for (const auto &[request, exchange] : m_received) {
        const auto found = m_executed.find(request);
        const std::size_t runs = found == m_executed.end() ? 0 : found->second.size();
        if (exchange.kind == Kind::Unsafe && runs > 1)
            violations.push_back("executed " + std::to_string(runs) + " times: " + request);
        if (exchange.kind == Kind::Unsafe && meansNotExecuted(exchange.status) && runs > 0)
            violations.push_back("reported as not executed, but executed: " + request);
        if (exchange.status == Ok)
            checkBody(request, exchange, violations);
        else if ((exchange.mayBeUnauthorized && exchange.status == Unauthorized)
                 || (exchange.mayLackRoute && exchange.status == NotFound))
            continue;
        else if (exchange.status >= 400 && exchange.status < 500
                 && !meansNotExecuted(exchange.status))
            violations.push_back("rejected with " + std::to_string(exchange.status) + ": "
                                 + request);
    }
    return violations;
}

std::string Record::summary() const
{
    std::size_t complete = 0;
    std::size_t refused = 0;
    std::map<int, std::size_t> failed; // by status
    for (const auto &[request, exchange] : m_received) {
        complete += exchange.status == Ok && exchange.complete ? 1 : 0;
        refused += meansNotExecuted(exchange.status) ? 1 : 0;
        if (!(exchange.status == Ok && exchange.complete) && !meansNotExecuted(exchange.status))
            failed[exchange.status] += 1;
    }
    std::string byStatus;
    for (const auto &[status, count] : failed)
        byStatus += (byStatus.empty() ? " (" : ", ") + std::to_string(count) + " with "
                    + std::to_string(status);
    byStatus += byStatus.empty() ? "" : ")";
    return std::to_string(m_received.size()) + " requests, " + std::to_string(complete)
           + " complete, " + std::to_string(refused) + " refused as not executed, "
           + std::to_string(m_received.size() - complete - refused) + " failed" + byStatus + ", "
           + std::to_string(m_crashed.size()) + " endpoint crashes by a request";
}

} // namespace balsamloft::soak
