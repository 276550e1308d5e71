#include <balsamloft/quarantine.h>

#include <algorithm>

namespace balsamloft {

Quarantine::Quarantine(QuarantineSettings settings)
    : m_settings(settings)
{
}

bool Quarantine::isCounted(const Crash &crash, Time now) const
{
    return crash.stage != Stage::Unconfirmed && now - crash.at < m_settings.retention;
}

void Quarantine::add(const std::string &digest, const std::string &endpoint, Crash crash)
{
    m_requests[digest].insert_or_assign(endpoint, crash);
    m_onEndpoint[endpoint].insert(digest);
}

void Quarantine::remove(const std::string &digest, const std::string &endpoint)
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
bool Quarantine::evictOldest()
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
    if (crash.stage == Stage::Published || crash.stage == Stage::Shared)
        m_retracted.push_back({digest, endpoint, crash.at});
    remove(digest, endpoint);
    return true;
}

void Quarantine::addUnconfirmed(const std::string &digest, const std::string &endpoint, Crash crash)
{
    const auto known = m_requests.find(digest);
    if (known != m_requests.end() && known->second.contains(endpoint))
        return;
    if (known != m_requests.end() || evictOldest())
        add(digest, endpoint, crash);
}

void Quarantine::attemptBroken(const std::string &digest, const std::string &endpoint, Time now)
{
    endpointSentData(endpoint, now);
    addUnconfirmed(digest, endpoint,
                   {now, Stage::Unconfirmed, Interruption::Broken, true, now + Duration(1)});
}

void Quarantine::attemptAbandoned(const std::string &digest, const std::string &endpoint, Time now)
{
    addUnconfirmed(
        digest, endpoint,
        {now, Stage::Unconfirmed, Interruption::Abandoned, true, now + m_settings.crashDelay});
}

void Quarantine::attemptStalled(const std::string &digest, const std::string &endpoint, Time now)
{
    addUnconfirmed(digest, endpoint,
                   {now, Stage::Unconfirmed, Interruption::Stalled, true, now + Duration(1)});
}

void Quarantine::clearUnconfirmed(const std::string &endpoint, Time aliveAt, bool includingBroken)
{
    const auto on = m_onEndpoint.find(endpoint);
    if (on == m_onEndpoint.end())
        return;
    for (const std::string &digest : std::set<std::string>(on->second)) {
        const Crash &crash = m_requests[digest][endpoint];
        if (crash.stage == Stage::Unconfirmed && aliveAt >= crash.clearedIfAliveAt
            && (includingBroken || crash.interruption == Interruption::Abandoned))
            remove(digest, endpoint);
    }
}

void Quarantine::endpointAnswered(const std::string &endpoint, Time asked)
{
    clearUnconfirmed(endpoint, asked, true);
}

void Quarantine::endpointSentData(const std::string &endpoint, Time now)
{
    clearUnconfirmed(endpoint, now, false);
}

/// What is in doubt there since \a last or before ended with the endpoint.
void Quarantine::confirmCrashes(const std::string &endpoint, Time endedAt, Time last)
{
    const auto on = m_onEndpoint.find(endpoint);
    if (on == m_onEndpoint.end())
        return;
    for (const std::string &digest : on->second) {
        Crash &crash = m_requests[digest][endpoint];
        if (crash.stage == Stage::Unconfirmed && crash.at <= last)
            crash = {endedAt, Stage::Confirmed, Interruption::Broken, true, {}};
    }
}

void Quarantine::endpointCrashed(const std::string &endpoint, Time now)
{
    confirmCrashes(endpoint, now, Time::max());
}

void Quarantine::endpointUnresponsive(const std::string &endpoint, Time at)
{
    confirmCrashes(endpoint, at, at);
}

void Quarantine::endpointDelisted(const std::string &endpoint, Time now)
{
    const auto on = m_onEndpoint.find(endpoint);
    if (on == m_onEndpoint.end())
        return;
    for (const std::string &digest : std::set<std::string>(on->second)) {
        const Crash &crash = m_requests[digest][endpoint];
        if (crash.stage == Stage::Unconfirmed && crash.interruption != Interruption::Broken)
            remove(digest, endpoint);
    }
    endpointCrashed(endpoint, now);
}

void Quarantine::requestSucceeded(const std::string &digest, Time now)
{
    if (const auto it = m_requests.find(digest); it != m_requests.end()) {
        for (const auto &[endpoint, crash] : Crashes(it->second)) {
            if (crash.stage == Stage::Published || crash.stage == Stage::Shared)
                m_retracted.push_back({digest, endpoint, crash.at});
            remove(digest, endpoint);
        }
    }
    if (!m_successes.insert_or_assign(digest, now).second)
        return;
    m_successOrder.push_back(digest);
    if (m_successOrder.size() > m_settings.maxSuccesses) {
        m_successes.erase(m_successOrder.front());
        m_successOrder.pop_front();
    }
}

bool Quarantine::wasObservedHere(const std::string &digest, const std::string &endpoint) const
{
    const auto under = m_requests.find(digest);
    if (under == m_requests.end())
        return false;
    const auto crash = under->second.find(endpoint);
    return crash != under->second.end() && crash->second.observedHere;
}

void Quarantine::setShared(const std::vector<CrashRecord> &all)
{
    m_sharedCount = all.size();
    std::set<std::pair<std::string_view, std::string_view>> told;
    for (const CrashRecord &each : all)
        told.emplace(each.digest, each.endpoint);
    std::vector<CrashRecord> gone;
    for (const auto &[digest, crashes] : m_requests)
        for (const auto &[endpoint, crash] : crashes)
            if (crash.stage == Stage::Shared && !told.contains({digest, endpoint}))
                gone.push_back({digest, endpoint, crash.at});
    for (const CrashRecord &each : gone)
        remove(each.digest, each.endpoint);
    for (const CrashRecord &each : all) {
        // Who saw it come through since knows better than who saw it stand beside an end.
        const auto success = m_successes.find(each.digest);
        if (success != m_successes.end() && success->second >= each.at)
            m_retracted.push_back(each);
        else
            add(each.digest, each.endpoint,
                {each.at,
                 Stage::Shared,
                 Interruption::Broken,
                 wasObservedHere(each.digest, each.endpoint),
                 {}});
    }
}

bool Quarantine::shouldPublish(const Crashes &crashes, const Crash &crash, Time now) const
{
    if (crash.stage != Stage::Confirmed)
        return false;
    const auto ended = std::count_if(crashes.begin(), crashes.end(),
                                     [&](const auto &each) { return isCounted(each.second, now); });
    return ended > 1
           || (now - crash.at >= m_settings.publishDelay && m_sharedCount < m_settings.maxShared);
}

CrashUpdate Quarantine::takeUpdate(Time now)
{
    CrashUpdate update;
    update.removed.swap(m_retracted);
    for (auto &[digest, crashes] : m_requests)
        for (auto &[endpoint, crash] : crashes)
            if (update.added.size() < m_settings.maxPerUpdate
                && shouldPublish(crashes, crash, now)) {
                crash.stage = Stage::Published;
                update.added.push_back({digest, endpoint, crash.at});
            }
    removeExpired(now, update);
    return update;
}

/// What others were told and no longer counts is taken back by whoever has to write
/// anyway: while no endpoint ends, nothing is written.
void Quarantine::removeExpired(Time now, CrashUpdate &update)
{
    std::vector<CrashRecord> expired;
    for (const auto &[digest, crashes] : m_requests)
        for (const auto &[endpoint, crash] : crashes) {
            if (now - crash.at < m_settings.retention)
                continue;
            if (crash.stage == Stage::Unconfirmed || crash.stage == Stage::Confirmed
                || !update.empty())
                expired.push_back({digest, endpoint, crash.at});
        }
    for (const CrashRecord &each : expired) {
        const Stage stage = m_requests[each.digest][each.endpoint].stage;
        if (stage == Stage::Published || stage == Stage::Shared)
            update.removed.push_back(each);
        remove(each.digest, each.endpoint);
    }
}

std::size_t Quarantine::crashes(const std::string &digest, Time now) const
{
    const auto it = m_requests.find(digest);
    if (it == m_requests.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(it->second.begin(), it->second.end(),
                      [&](const auto &each) { return isCounted(each.second, now); }));
}

bool Quarantine::awaitsConfirmation(const std::string &digest, Time now) const
{
    const auto it = m_requests.find(digest);
    if (it == m_requests.end())
        return false;
    const auto open = std::count_if(it->second.begin(), it->second.end(), [&](const auto &each) {
        const Crash &crash = each.second;
        const bool silent = crash.interruption == Interruption::Stalled
                            && now - crash.at >= m_settings.stallQueryWindow;
        return crash.stage == Stage::Unconfirmed && crash.interruption != Interruption::Abandoned
               && !silent;
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
                  return other != digest && isCounted(m_requests.at(other).at(endpoint), now)
                         && crashes(other, now) >= m_settings.crashesToQuarantine;
              });
}

/// A request that many callers send is on several endpoints when these end at once.
bool Quarantine::succeededBefore(const std::string &digest, const Crashes &under) const
{
    const auto success = m_successes.find(digest);
    return success != m_successes.end()
           && std::any_of(under.begin(), under.end(), [&](const auto &each) {
                  return each.second.at - success->second < m_settings.successWindow;
              });
}

bool Quarantine::isConfirmedCause(const std::string &digest, const Crashes &under, Time now) const
{
    const std::size_t count = crashes(digest, now);
    if (count >= m_settings.crashesToForceQuarantine)
        return true;
    if (succeededBefore(digest, under))
        return false;
    const auto unexplained = std::count_if(under.begin(), under.end(), [&](const auto &each) {
        return isCounted(each.second, now) && !explainedByOther(digest, each.first, now);
    });
    return static_cast<std::size_t>(unexplained) >= m_settings.crashesToQuarantine;
}

Time Quarantine::lastCrash(const std::string &digest) const
{
    Time last {};
    for (const auto &[endpoint, crash] : m_requests.at(digest))
        if (crash.stage != Stage::Unconfirmed)
            last = std::max(last, crash.at);
    return last;
}

/// Judged by what one instance saw alone, a request that stood beside looks like the
/// one that another instance sent.
Duration Quarantine::deferredFor(const std::string &digest, Time now) const
{
    if (crashes(digest, now) < m_settings.crashesToQuarantine)
        return {};
    return std::max(Duration {}, lastCrash(digest) + m_settings.propagationDelay - now);
}

/// Whether other instances saw an endpoint end under the request: then copies of it come
/// to several, and each would take one more endpoint.
bool Quarantine::observedElsewhere(const Crashes &under, Time now) const
{
    return std::any_of(under.begin(), under.end(), [&](const auto &each) {
        return isCounted(each.second, now) && !each.second.observedHere;
    });
}

Verdict Quarantine::verdict(const std::string &digest, Time now) const
{
    const std::size_t count = crashes(digest, now);
    if (count == 0)
        return Verdict::Allowed;
    if (deferredFor(digest, now) > Duration {})
        return Verdict::Deferred;
    const Crashes &under = m_requests.at(digest);
    if (count >= m_settings.crashesToQuarantine && isConfirmedCause(digest, under, now))
        return Verdict::Quarantined;
    const bool suspect = count >= m_settings.crashesToRequireTrial
                         || (observedElsewhere(under, now) && !succeededBefore(digest, under));
    return suspect ? Verdict::TrialOnly : Verdict::Allowed;
}

Duration Quarantine::blockedFor(const std::string &digest, Time now) const
{
    switch (verdict(digest, now)) {
    case Verdict::Allowed:
    case Verdict::TrialOnly:
        return {};
    case Verdict::Deferred:
        return deferredFor(digest, now);
    case Verdict::Quarantined:
        break;
    }
    return lastCrash(digest) + m_settings.retention - now;
}

std::vector<std::string> Quarantine::unconfirmedEndpoints(Time now) const
{
    std::vector<std::string> endpoints;
    for (const auto &each : m_onEndpoint)
        if (std::any_of(each.second.begin(), each.second.end(), [&](const std::string &digest) {
                const Crash &crash = m_requests.at(digest).find(each.first)->second;
                return crash.stage == Stage::Unconfirmed && now >= crash.clearedIfAliveAt;
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
