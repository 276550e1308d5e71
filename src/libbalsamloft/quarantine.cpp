#include <balsamloft/quarantine.h>

#include <algorithm>

namespace balsamloft {

Quarantine::Quarantine(QuarantineSettings settings)
    : m_settings(settings)
{
}

bool Quarantine::counts(const Crash &crash, Time now) const
{
    return crash.stage != Stage::Doubtful && now - crash.at < m_settings.retention;
}

void Quarantine::add(const std::string &digest, const std::string &endpoint, Crash crash)
{
    m_requests[digest].insert_or_assign(endpoint, crash);
    m_onEndpoint[endpoint].insert(digest);
}

void Quarantine::forget(const std::string &digest, const std::string &endpoint)
{
    const auto it = m_requests.find(digest);
    if (it != m_requests.end() && it->second.erase(endpoint) > 0 && it->second.empty())
        m_requests.erase(it);
    const auto on = m_onEndpoint.find(endpoint);
    if (on != m_onEndpoint.end() && on->second.erase(digest) > 0 && on->second.empty())
        m_onEndpoint.erase(on);
}

/// Who is suspected of one end alone makes room, the oldest first: a caller that sends
/// ever new requests beside ends must not push out those under which several endpoints
/// ended, nor keep a new one from being suspected.
bool Quarantine::makeRoom()
{
    if (m_requests.size() < m_settings.maxDigests)
        return true;
    auto oldest = m_requests.end();
    for (auto it = m_requests.begin(); it != m_requests.end(); ++it)
        if (it->second.size() == 1
            && (oldest == m_requests.end()
                || it->second.begin()->second.at < oldest->second.begin()->second.at))
            oldest = it;
    if (oldest == m_requests.end())
        return false;
    const std::string digest = oldest->first;
    const std::string endpoint = oldest->second.begin()->first;
    const Crash crash = oldest->second.begin()->second;
    if (crash.stage == Stage::Told || crash.stage == Stage::Shared)
        m_retracted.push_back({digest, endpoint, crash.at});
    forget(digest, endpoint);
    return true;
}

void Quarantine::doubt(const std::string &digest, const std::string &endpoint, Crash crash)
{
    const auto known = m_requests.find(digest);
    if (known != m_requests.end() && known->second.contains(endpoint))
        return;
    if (known != m_requests.end() || makeRoom())
        add(digest, endpoint, crash);
}

void Quarantine::attemptBroken(const std::string &digest, const std::string &endpoint, Time now)
{
    endpointSentData(endpoint, now);
    doubt(digest, endpoint, {now, Stage::Doubtful, Sign::BrokenOff, true, now + Duration(1)});
}

void Quarantine::attemptAbandoned(const std::string &digest, const std::string &endpoint, Time now)
{
    doubt(digest, endpoint,
          {now, Stage::Doubtful, Sign::GivenUp, true, now + m_settings.crashDelay});
}

void Quarantine::attemptStalled(const std::string &digest, const std::string &endpoint, Time now)
{
    doubt(digest, endpoint, {now, Stage::Doubtful, Sign::Stalled, true, now + Duration(1)});
}

void Quarantine::clearDoubts(const std::string &endpoint, Time aliveAt, bool ofThoseCut)
{
    const auto on = m_onEndpoint.find(endpoint);
    if (on == m_onEndpoint.end())
        return;
    for (const std::string &digest : std::set<std::string>(on->second)) {
        const Crash &crash = m_requests[digest][endpoint];
        if (crash.stage == Stage::Doubtful && aliveAt >= crash.settledFrom
            && (ofThoseCut || crash.sign == Sign::GivenUp))
            forget(digest, endpoint);
    }
}

void Quarantine::endpointAnswered(const std::string &endpoint, Time asked)
{
    clearDoubts(endpoint, asked, true);
}

void Quarantine::endpointSentData(const std::string &endpoint, Time now)
{
    clearDoubts(endpoint, now, false);
}

/// What is in doubt there since \a last or before ended with the endpoint.
void Quarantine::settle(const std::string &endpoint, Time endedAt, Time last)
{
    const auto on = m_onEndpoint.find(endpoint);
    if (on == m_onEndpoint.end())
        return;
    for (const std::string &digest : on->second) {
        Crash &crash = m_requests[digest][endpoint];
        if (crash.stage == Stage::Doubtful && crash.at <= last)
            crash = {endedAt, Stage::Own, Sign::BrokenOff, true, {}};
    }
}

void Quarantine::endpointCrashed(const std::string &endpoint, Time now)
{
    settle(endpoint, now, Time::max());
}

void Quarantine::endpointUnresponsive(const std::string &endpoint, Time at)
{
    settle(endpoint, at, at);
}

void Quarantine::endpointDelisted(const std::string &endpoint, Time now)
{
    const auto on = m_onEndpoint.find(endpoint);
    if (on == m_onEndpoint.end())
        return;
    for (const std::string &digest : std::set<std::string>(on->second)) {
        const Crash &crash = m_requests[digest][endpoint];
        if (crash.stage == Stage::Doubtful && crash.sign != Sign::BrokenOff)
            forget(digest, endpoint);
    }
    endpointCrashed(endpoint, now);
}

void Quarantine::requestSucceeded(const std::string &digest, Time now)
{
    if (const auto it = m_requests.find(digest); it != m_requests.end()) {
        for (const auto &[endpoint, crash] : Crashes(it->second)) {
            if (crash.stage == Stage::Told || crash.stage == Stage::Shared)
                m_retracted.push_back({digest, endpoint, crash.at});
            forget(digest, endpoint);
        }
    }
    if (!m_good.insert_or_assign(digest, now).second)
        return;
    m_goodOrder.push_back(digest);
    if (m_goodOrder.size() > m_settings.maxSuccesses) {
        m_good.erase(m_goodOrder.front());
        m_goodOrder.pop_front();
    }
}

bool Quarantine::sawItself(const std::string &digest, const std::string &endpoint) const
{
    const auto under = m_requests.find(digest);
    if (under == m_requests.end())
        return false;
    const auto crash = under->second.find(endpoint);
    return crash != under->second.end() && crash->second.own;
}

void Quarantine::learn(const std::vector<CrashRecord> &all)
{
    m_shared = all.size();
    std::set<std::pair<std::string_view, std::string_view>> told;
    for (const CrashRecord &each : all)
        told.emplace(each.digest, each.endpoint);
    std::vector<CrashRecord> gone;
    for (const auto &[digest, crashes] : m_requests)
        for (const auto &[endpoint, crash] : crashes)
            if (crash.stage == Stage::Shared && !told.contains({digest, endpoint}))
                gone.push_back({digest, endpoint, crash.at});
    for (const CrashRecord &each : gone)
        forget(each.digest, each.endpoint);
    for (const CrashRecord &each : all) {
        // Who saw it come through since knows better than who saw it stand beside an end.
        const auto good = m_good.find(each.digest);
        if (good != m_good.end() && good->second >= each.at)
            m_retracted.push_back(each);
        else
            add(each.digest, each.endpoint,
                {each.at,
                 Stage::Shared,
                 Sign::BrokenOff,
                 sawItself(each.digest, each.endpoint),
                 {}});
    }
}

bool Quarantine::worthTelling(const Crashes &crashes, const Crash &crash, Time now) const
{
    if (crash.stage != Stage::Own)
        return false;
    const auto ended = std::count_if(crashes.begin(), crashes.end(),
                                     [&](const auto &each) { return counts(each.second, now); });
    return ended > 1
           || (now - crash.at >= m_settings.publishDelay && m_shared < m_settings.maxShared);
}

CrashUpdate Quarantine::news(Time now)
{
    CrashUpdate news;
    news.removed.swap(m_retracted);
    for (auto &[digest, crashes] : m_requests)
        for (auto &[endpoint, crash] : crashes)
            if (news.added.size() < m_settings.maxPerUpdate && worthTelling(crashes, crash, now)) {
                crash.stage = Stage::Told;
                news.added.push_back({digest, endpoint, crash.at});
            }
    forgetExpired(now, news);
    return news;
}

/// What others were told and no longer counts is taken back by whoever has to write
/// anyway: while no endpoint ends, nothing is written.
void Quarantine::forgetExpired(Time now, CrashUpdate &news)
{
    std::vector<CrashRecord> expired;
    for (const auto &[digest, crashes] : m_requests)
        for (const auto &[endpoint, crash] : crashes) {
            if (now - crash.at < m_settings.retention)
                continue;
            if (crash.stage == Stage::Doubtful || crash.stage == Stage::Own || !news.empty())
                expired.push_back({digest, endpoint, crash.at});
        }
    for (const CrashRecord &each : expired) {
        const Stage stage = m_requests[each.digest][each.endpoint].stage;
        if (stage == Stage::Told || stage == Stage::Shared)
            news.removed.push_back(each);
        forget(each.digest, each.endpoint);
    }
}

std::size_t Quarantine::crashes(const std::string &digest, Time now) const
{
    const auto it = m_requests.find(digest);
    if (it == m_requests.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(it->second.begin(), it->second.end(),
                      [&](const auto &each) { return counts(each.second, now); }));
}

bool Quarantine::awaitsConfirmation(const std::string &digest, Time now) const
{
    const auto it = m_requests.find(digest);
    if (it == m_requests.end())
        return false;
    const auto open = std::count_if(it->second.begin(), it->second.end(), [&](const auto &each) {
        const Crash &crash = each.second;
        const bool silent =
            crash.sign == Sign::Stalled && now - crash.at >= m_settings.stallQueryWindow;
        return crash.stage == Stage::Doubtful && crash.sign != Sign::GivenUp && !silent;
    });
    return open > 0 && static_cast<std::size_t>(open) + crashes(digest, now) > 1;
}

/// Whether another request was there too that may just as well be the guilty one. By
/// more ends than that nobody is found guilty: one of them may have been by chance.
bool Quarantine::explainedByOther(const std::string &digest, const std::string &endpoint,
                                  Time now) const
{
    const auto on = m_onEndpoint.find(endpoint);
    return on != m_onEndpoint.end()
           && std::any_of(on->second.begin(), on->second.end(), [&](const std::string &other) {
                  return other != digest && counts(m_requests.at(other).at(endpoint), now)
                         && crashes(other, now) >= m_settings.crashesToQuarantine;
              });
}

/// A request that many callers send is on several endpoints when these end at once.
bool Quarantine::cameThroughBefore(const std::string &digest, const Crashes &under) const
{
    const auto good = m_good.find(digest);
    return good != m_good.end() && std::any_of(under.begin(), under.end(), [&](const auto &each) {
               return each.second.at - good->second < m_settings.successWindow;
           });
}

bool Quarantine::guilty(const std::string &digest, const Crashes &under, Time now) const
{
    const std::size_t count = crashes(digest, now);
    if (count >= m_settings.crashesToForceQuarantine)
        return true;
    if (cameThroughBefore(digest, under))
        return false;
    const auto unexplained = std::count_if(under.begin(), under.end(), [&](const auto &each) {
        return counts(each.second, now) && !explainedByOther(digest, each.first, now);
    });
    return static_cast<std::size_t>(unexplained) >= m_settings.crashesToQuarantine;
}

Time Quarantine::lastEnd(const std::string &digest) const
{
    Time last {};
    for (const auto &[endpoint, crash] : m_requests.at(digest))
        if (crash.stage != Stage::Doubtful)
            last = std::max(last, crash.at);
    return last;
}

/// Judged by what one instance saw alone, a request that stood beside looks like the
/// one that another instance sent.
Duration Quarantine::unsettledFor(const std::string &digest, Time now) const
{
    if (crashes(digest, now) < m_settings.crashesToQuarantine)
        return {};
    return std::max(Duration {}, lastEnd(digest) + m_settings.propagationDelay - now);
}

/// Whether other instances saw an endpoint end under the request: then copies of it come
/// to several, and each would take one more endpoint.
bool Quarantine::seenByOthers(const Crashes &under, Time now) const
{
    return std::any_of(under.begin(), under.end(), [&](const auto &each) {
        return counts(each.second, now) && !each.second.own;
    });
}

Verdict Quarantine::verdict(const std::string &digest, Time now) const
{
    const std::size_t count = crashes(digest, now);
    if (count == 0)
        return Verdict::Allowed;
    if (unsettledFor(digest, now) > Duration {})
        return Verdict::Deferred;
    const Crashes &under = m_requests.at(digest);
    if (count >= m_settings.crashesToQuarantine && guilty(digest, under, now))
        return Verdict::Quarantined;
    const bool suspect = count >= m_settings.crashesToRequireTrial
                         || (seenByOthers(under, now) && !cameThroughBefore(digest, under));
    return suspect ? Verdict::TrialOnly : Verdict::Allowed;
}

Duration Quarantine::blockedFor(const std::string &digest, Time now) const
{
    switch (verdict(digest, now)) {
    case Verdict::Allowed:
    case Verdict::TrialOnly:
        return {};
    case Verdict::Deferred:
        return unsettledFor(digest, now);
    case Verdict::Quarantined:
        break;
    }
    return lastEnd(digest) + m_settings.retention - now;
}

std::vector<std::string> Quarantine::unconfirmedEndpoints(Time now) const
{
    std::vector<std::string> endpoints;
    for (const auto &each : m_onEndpoint)
        if (std::any_of(each.second.begin(), each.second.end(), [&](const std::string &digest) {
                const Crash &crash = m_requests.at(digest).find(each.first)->second;
                return crash.stage == Stage::Doubtful && now >= crash.settledFrom;
            }))
            endpoints.push_back(each.first);
    return endpoints;
}

std::size_t Quarantine::quarantinedCount(Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [&](const auto &each) {
            return verdict(each.first, now) == Verdict::Quarantined;
        }));
}

} // namespace balsamloft
