#include "record.h"

#include <algorithm>

namespace balsamloft::soak {

namespace {

constexpr int Ok = 200;

/// Endpoints get nothing new so long after they said that they leave, however
/// slow the machine is that runs all this.
constexpr auto LeavingKnown = std::chrono::seconds(10);

bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

std::string callBody(const std::string &request)
{
    return "done " + request;
}

std::string eventText(const std::string &request, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + request + "/" + std::to_string(number)
           + "\n\n";
}

void Record::ran(const std::string &request, const std::string &endpoint)
{
    m_ran[request].push_back(endpoint);
    const auto left = m_leftAt.find(endpoint);
    if (left != m_leftAt.end() && Clock::now() - left->second > LeavingKnown)
        broken("an endpoint that left got new work: " + endpoint + ", " + request);
}

void Record::got(const std::string &request, Attempt attempt)
{
    m_got[request] = std::move(attempt);
}

void Record::judgeBody(const std::string &request, const Attempt &attempt,
                       std::vector<std::string> &broken) const
{
    if (attempt.kind != Kind::Stream) {
        if (attempt.complete && attempt.body != callBody(request))
            broken.push_back("not its own whole answer: " + request + " got " + attempt.body);
        return;
    }
    std::string whole;
    for (int i = 1; i <= attempt.events; ++i)
        whole += eventText(request, i);
    if (attempt.complete && attempt.body != whole)
        broken.push_back("a stream ended as complete and is not: " + request);
    if (!whole.starts_with(attempt.body))
        broken.push_back("events missing, twice or another's: " + request + " got "
                         + attempt.body.substr(0, 200));
}

std::vector<std::string> Record::judge() const
{
    std::vector<std::string> broken = m_broken;
    for (const auto &[request, endpoints] : m_ran)
        if (!m_got.contains(request))
            broken.push_back("ran, and nobody asked for it: " + request);
    for (const auto &[request, attempt] : m_got) {
        const auto ran = m_ran.find(request);
        const std::size_t runs = ran == m_ran.end() ? 0 : ran->second.size();
        if (attempt.kind == Kind::Unsafe && runs > 1)
            broken.push_back("ran " + std::to_string(runs) + " times: " + request);
        if (attempt.kind == Kind::Unsafe && promisesNotRun(attempt.status) && runs > 0)
            broken.push_back("said not to have run, and ran: " + request);
        if (attempt.status == Ok)
            judgeBody(request, attempt, broken);
        else if (attempt.status >= 400 && attempt.status < 500 && !promisesNotRun(attempt.status))
            broken.push_back("denied with " + std::to_string(attempt.status) + ": " + request);
    }
    return broken;
}

std::string Record::summary() const
{
    std::size_t whole = 0;
    std::size_t refused = 0;
    for (const auto &[request, attempt] : m_got) {
        whole += attempt.status == Ok && attempt.complete ? 1 : 0;
        refused += promisesNotRun(attempt.status) ? 1 : 0;
    }
    return std::to_string(m_got.size()) + " asked, " + std::to_string(whole) + " whole, "
           + std::to_string(refused) + " refused as not run, "
           + std::to_string(m_got.size() - whole - refused) + " failed, "
           + std::to_string(m_endedUnder.size()) + " ended under a request";
}

} // namespace balsamloft::soak
