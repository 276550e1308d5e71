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
    m_digestsByEndpoint[endpoint].insert(digest);
}

void Quarantine::remove(const std::string &digest, const std::string &endpoint)
{
    const auto it = m_requests.find(digest);
    if (it != m_requests.end() && it->second.erase(endpoint) > 0 && it->second.empty())
        m_requests.erase(it);
    const auto digests = m_digestsByEndpoint.find(endpoint);
    if (digests != m_digestsByEndpoint.end() && digests->second.erase(digest) > 0
        && digests->second.empty())
        m_digestsByEndpoint.erase(digests);
}

/// Evicts the oldest request with a single crash if the table is full. This way, a caller that
/// sends many different requests to crashing endpoints can neither evict requests with several
/// crashes nor prevent new ones from being stored.
/// \return whether there is space for another request.
bool Quarantine::ensureSpace()
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
    if (known != m_requests.end() || ensureSpace())
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
    const auto digests = m_digestsByEndpoint.find(endpoint);
    if (digests == m_digestsByEndpoint.end())
        return;
    for (const std::string &digest : std::set<std::string>(digests->second)) {
        const Crash &crash = m_requests[digest][endpoint];
        if (crash.stage == Stage::Unconfirmed && aliveAt >= crash.clearedIfAliveAt
            && (includingBroken || crash.interruption == Interruption::Abandoned))
            remove(digest, endpoint);
    }
}

void Quarantine::endpointAnswered(const std::string &endpoint, Time queriedAt)
{
    clearUnconfirmed(endpoint, queriedAt, true);
}

void Quarantine::endpointSentData(const std::string &endpoint, Time now)
{
    clearUnconfirmed(endpoint, now, false);
}

/// Confirms the crashes of all attempts interrupted at the endpoint up to
/// \a latestInterruption.
void Quarantine::confirmCrashes(const std::string &endpoint, Time crashedAt,
                                Time latestInterruption)
{
    const auto digests = m_digestsByEndpoint.find(endpoint);
    if (digests == m_digestsByEndpoint.end())
        return;
    for (const std::string &digest : digests->second) {
        Crash &crash = m_requests[digest][endpoint];
        if (crash.stage == Stage::Unconfirmed && crash.at <= latestInterruption)
            crash = {crashedAt, Stage::Confirmed, Interruption::Broken, true, {}};
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
    const auto digests = m_digestsByEndpoint.find(endpoint);
    if (digests == m_digestsByEndpoint.end())
        return;
    for (const std::string &digest : std::set<std::string>(digests->second)) {
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
    const auto records = m_requests.find(digest);
    if (records == m_requests.end())
        return false;
    const auto crash = records->second.find(endpoint);
    return crash != records->second.end() && crash->second.observedHere;
}

void Quarantine::setShared(const std::vector<CrashRecord> &all)
{
    m_sharedCount = all.size();
    std::set<std::pair<std::string_view, std::string_view>> published;
    for (const CrashRecord &each : all)
        published.emplace(each.digest, each.endpoint);
    std::vector<CrashRecord> gone;
    for (const auto &[digest, crashes] : m_requests)
        for (const auto &[endpoint, crash] : crashes)
            if (crash.stage == Stage::Shared && !published.contains({digest, endpoint}))
                gone.push_back({digest, endpoint, crash.at});
    for (const CrashRecord &each : gone)
        remove(each.digest, each.endpoint);
    for (const CrashRecord &each : all) {
        // A success after the crash is stronger evidence than a record of the crash.
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
    const auto confirmedCount =
        std::count_if(crashes.begin(), crashes.end(),
                      [&](const auto &each) { return isCounted(each.second, now); });
    return confirmedCount > 1
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

/// Removes expired records. Published ones are only retracted along with another change, so
/// that nothing is written to the store while no endpoint crashes.
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
    const auto unconfirmed =
        std::count_if(it->second.begin(), it->second.end(), [&](const auto &each) {
            const Crash &crash = each.second;
            const bool timedOut = crash.interruption == Interruption::Stalled
                                  && now - crash.at >= m_settings.stallQueryWindow;
            return crash.stage == Stage::Unconfirmed
                   && crash.interruption != Interruption::Abandoned && !timedOut;
        });
    return unconfirmed > 0 && static_cast<std::size_t>(unconfirmed) + crashes(digest, now) > 1;
}

/// Whether another request was on the crashed endpoint and has enough crashes to be the cause.
/// The numbers of crashes are not compared, since some of the crashes may be coincidences.
bool Quarantine::explainedByOther(const std::string &digest, const std::string &endpoint,
                                  Time now) const
{
    const auto digests = m_digestsByEndpoint.find(endpoint);
    return digests != m_digestsByEndpoint.end()
           && std::any_of(
               digests->second.begin(), digests->second.end(), [&](const std::string &other) {
                   return other != digest && isCounted(m_requests.at(other).at(endpoint), now)
                          && crashes(other, now) >= m_settings.crashesToQuarantine;
               });
}

/// Whether the request succeeded after one of the crashes or at most successWindow before it. Such
/// a request may be harmless: one that many callers send can be on several endpoints that crash
/// together for another reason.
bool Quarantine::succeededBefore(const std::string &digest, const Crashes &records) const
{
    const auto success = m_successes.find(digest);
    return success != m_successes.end()
           && std::any_of(records.begin(), records.end(), [&](const auto &each) {
                  return each.second.at - success->second < m_settings.successWindow;
              });
}

bool Quarantine::isConfirmedCause(const std::string &digest, const Crashes &records, Time now) const
{
    const std::size_t count = crashes(digest, now);
    if (count >= m_settings.crashesToForceQuarantine)
        return true;
    if (succeededBefore(digest, records))
        return false;
    const auto unexplained = std::count_if(records.begin(), records.end(), [&](const auto &each) {
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

/// Time until the records of all instances have been received. From the records of one
/// instance alone, a harmless request looks like the cause if another instance sent the
/// request that caused the crashes.
Duration Quarantine::deferredFor(const std::string &digest, Time now) const
{
    if (crashes(digest, now) < m_settings.crashesToQuarantine)
        return {};
    return std::max(Duration {}, lastCrash(digest) + m_settings.propagationDelay - now);
}

/// Whether other instances recorded a crash with the request. If so, several instances receive
/// copies of the request, and each could crash one more endpoint.
bool Quarantine::observedElsewhere(const Crashes &records, Time now) const
{
    return std::any_of(records.begin(), records.end(), [&](const auto &each) {
        return isCounted(each.second, now) && !each.second.observedHere;
    });
}

SendPermission Quarantine::sendPermission(const std::string &digest, Time now) const
{
    const std::size_t count = crashes(digest, now);
    if (count == 0)
        return SendPermission::Allowed;
    if (deferredFor(digest, now) > Duration {})
        return SendPermission::Deferred;
    const Crashes &records = m_requests.at(digest);
    if (count >= m_settings.crashesToQuarantine && isConfirmedCause(digest, records, now))
        return SendPermission::Quarantined;
    const bool suspected =
        count >= m_settings.crashesToRequireTrial
        || (observedElsewhere(records, now) && !succeededBefore(digest, records));
    return suspected ? SendPermission::TrialOnly : SendPermission::Allowed;
}

Duration Quarantine::blockedFor(const std::string &digest, Time now) const
{
    switch (sendPermission(digest, now)) {
    case SendPermission::Allowed:
    case SendPermission::TrialOnly:
        return {};
    case SendPermission::Deferred:
        return deferredFor(digest, now);
    case SendPermission::Quarantined:
        break;
    }
    return lastCrash(digest) + m_settings.retention - now;
}

std::vector<std::string> Quarantine::unconfirmedEndpoints(Time now) const
{
    std::vector<std::string> endpoints;
    for (const auto &each : m_digestsByEndpoint)
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
            return sendPermission(each.first, now) == SendPermission::Quarantined;
        }));
}

} // namespace balsamloft
