#include <balsamloft/promptparts.h>
#include <balsamloft/quarantine.h>

#include <algorithm>

namespace balsamloft {

Quarantine::Quarantine(QuarantineSettings settings)
    : m_settings(settings)
{
}

Duration Quarantine::retentionOf(const std::string &digest) const
{
    return isPromptPartDigest(digest) ? m_settings.partRetention : m_settings.retention;
}

bool Quarantine::isCounted(const std::string &digest, const Crash &crash, Time now) const
{
    return crash.stage != Stage::Unconfirmed && now - crash.at < retentionOf(digest);
}

void Quarantine::add(const std::string &digest, const std::string &endpoint, Crash crash)
{
    m_records[digest].insert_or_assign(endpoint, crash);
    m_digestsByEndpoint[endpoint].insert(digest);
}

void Quarantine::remove(const std::string &digest, const std::string &endpoint)
{
    const auto it = m_records.find(digest);
    if (it != m_records.end() && it->second.erase(endpoint) > 0 && it->second.empty())
        m_records.erase(it);
    const auto digests = m_digestsByEndpoint.find(endpoint);
    if (digests != m_digestsByEndpoint.end() && digests->second.erase(digest) > 0
        && digests->second.empty())
        m_digestsByEndpoint.erase(digests);
}

/// Evicts the oldest cause with a single crash if the table is full, a content before a part. This
/// way, a caller that sends many different requests to crashing endpoints can neither evict causes
/// with several crashes nor prevent new ones from being stored.
/// \return whether there is space for another cause.
bool Quarantine::ensureSpace()
{
    if (m_records.size() < m_settings.maxDigests)
        return true;
    const auto rank = [](const auto &each) {
        return std::pair(isPromptPartDigest(each.first), each.second.begin()->second.at);
    };
    auto oldest = m_records.end();
    for (auto it = m_records.begin(); it != m_records.end(); ++it)
        if (it->second.size() == 1 && (oldest == m_records.end() || rank(*it) < rank(*oldest)))
            oldest = it;
    if (oldest == m_records.end())
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
    const auto known = m_records.find(digest);
    if (known != m_records.end() && known->second.contains(endpoint))
        return;
    if (known != m_records.end() || ensureSpace())
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
        const Crash &crash = m_records[digest][endpoint];
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
        Crash &crash = m_records[digest][endpoint];
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
        const Crash &crash = m_records[digest][endpoint];
        if (crash.stage == Stage::Unconfirmed && crash.interruption != Interruption::Broken)
            remove(digest, endpoint);
    }
    endpointCrashed(endpoint, now);
}

void Quarantine::requestSucceeded(const std::string &digest, Time now)
{
    if (const auto it = m_records.find(digest); it != m_records.end()) {
        for (const auto &[endpoint, crash] : Crashes(it->second)) {
            if (crash.stage == Stage::Published || crash.stage == Stage::Shared)
                m_retracted.push_back({digest, endpoint, crash.at});
            remove(digest, endpoint);
        }
    }
    Successes &successes = isPromptPartDigest(digest) ? m_partSuccesses : m_contentSuccesses;
    successes.record(digest, now, m_settings.maxSuccesses);
}

void Quarantine::Successes::record(const std::string &digest, Time now, std::size_t max)
{
    if (const auto it = m_byDigest.find(digest); it != m_byDigest.end())
        m_byTime.erase(it->second);
    m_byDigest[digest] = m_byTime.emplace(m_byTime.end(), digest, now);
    if (m_byTime.size() > max) {
        m_byDigest.erase(m_byTime.front().first);
        m_byTime.pop_front();
    }
}

std::optional<Time> Quarantine::Successes::find(const std::string &digest) const
{
    const auto it = m_byDigest.find(digest);
    return it == m_byDigest.end() ? std::nullopt : std::make_optional(it->second->second);
}

const Quarantine::Successes &Quarantine::successesOf(const std::string &digest) const
{
    return isPromptPartDigest(digest) ? m_partSuccesses : m_contentSuccesses;
}

/// Whether requests with the part succeed here now, although there may be crashes since the last
/// success: other endpoints may crash often enough to leave no time between.
bool Quarantine::succeededRecently(const std::string &digest, Time now) const
{
    const auto success = successesOf(digest).find(digest);
    return success && now - *success < m_settings.propagationDelay;
}

bool Quarantine::wasObservedHere(const std::string &digest, const std::string &endpoint) const
{
    const auto records = m_records.find(digest);
    if (records == m_records.end())
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
    for (const auto &[digest, crashes] : m_records)
        for (const auto &[endpoint, crash] : crashes)
            if (crash.stage == Stage::Shared && !published.contains({digest, endpoint}))
                gone.push_back({digest, endpoint, crash.at});
    for (const CrashRecord &each : gone)
        remove(each.digest, each.endpoint);
    for (const CrashRecord &each : all) {
        // A success after the crash is stronger evidence than a record of the crash.
        const auto success = successesOf(each.digest).find(each.digest);
        if (success && *success >= each.at)
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

/// The first crash of a part is published without delay: other instances may be sending requests
/// with the part, while the same content seldom comes twice.
bool Quarantine::shouldPublish(const std::string &digest, const Crashes &crashes,
                               const Crash &crash, Time now) const
{
    if (crash.stage != Stage::Confirmed)
        return false;
    if (isPromptPartDigest(digest) && succeededRecently(digest, now))
        return false;
    const auto confirmedCount =
        std::count_if(crashes.begin(), crashes.end(),
                      [&](const auto &each) { return isCounted(digest, each.second, now); });
    if (confirmedCount > 1)
        return true;
    return isPromptPartDigest(digest) ? m_sharedCount < m_settings.maxShared
                                      : now - crash.at >= m_settings.publishDelay
                                            && m_sharedCount < m_settings.maxSharedContents;
}

CrashUpdate Quarantine::takeUpdate(Time now)
{
    CrashUpdate update;
    update.removed.swap(m_retracted);
    // Many contents with one crash must not delay what other instances need first.
    addToUpdate(update, now, [](const auto &each) { return each.second.size() > 1; });
    addToUpdate(update, now, [](const auto &each) { return isPromptPartDigest(each.first); });
    addToUpdate(update, now, [](const auto &) { return true; });
    removeExpired(now, update);
    return update;
}

/// Adds records of the causes that \a isNext holds for, while there is space.
template<typename Condition>
void Quarantine::addToUpdate(CrashUpdate &update, Time now, Condition isNext)
{
    for (auto &each : m_records) {
        if (update.added.size() >= m_settings.maxPerUpdate)
            return;
        if (!isNext(each))
            continue;
        for (auto &[endpoint, crash] : each.second)
            if (update.added.size() < m_settings.maxPerUpdate
                && shouldPublish(each.first, each.second, crash, now)) {
                crash.stage = Stage::Published;
                update.added.push_back({each.first, endpoint, crash.at});
            }
    }
}

/// Removes expired records. Published ones are only retracted along with another change, so
/// that nothing is written to the store while no endpoint crashes.
void Quarantine::removeExpired(Time now, CrashUpdate &update)
{
    std::vector<CrashRecord> expired;
    for (const auto &[digest, crashes] : m_records)
        for (const auto &[endpoint, crash] : crashes) {
            if (now - crash.at < retentionOf(digest))
                continue;
            if (crash.stage == Stage::Unconfirmed || crash.stage == Stage::Confirmed
                || !update.empty())
                expired.push_back({digest, endpoint, crash.at});
        }
    for (const CrashRecord &each : expired) {
        const Stage stage = m_records[each.digest][each.endpoint].stage;
        if (stage == Stage::Published || stage == Stage::Shared)
            update.removed.push_back(each);
        remove(each.digest, each.endpoint);
    }
}

std::size_t Quarantine::crashes(const std::string &digest, Time now) const
{
    const auto it = m_records.find(digest);
    if (it == m_records.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(it->second.begin(), it->second.end(),
                      [&](const auto &each) { return isCounted(digest, each.second, now); }));
}

bool Quarantine::awaitsConfirmation(CauseDigests causes, Time now) const
{
    return std::any_of(causes.begin(), causes.end(), [&](const std::string &digest) {
        const auto it = m_records.find(digest);
        // A part that was seen to be harmless would hold up too many callers.
        if (it == m_records.end()
            || (isPromptPartDigest(digest) && m_partSuccesses.find(digest).has_value()))
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
    });
}

/// Whether another possible cause explains the crash of \a endpoint and fulfils \a condition. It
/// has to have at least \a minCrashes; the numbers are not compared, since some of the crashes may
/// be coincidences. What the same request holds is no explanation: together, they may be the cause.
template<typename Condition>
bool Quarantine::anyExplanation(const Suspect &suspect, const std::string &endpoint,
                                std::size_t minCrashes, Time now, Condition condition) const
{
    const auto digests = m_digestsByEndpoint.find(endpoint);
    if (digests == m_digestsByEndpoint.end())
        return false;
    const CauseDigests own = suspect.causes;
    return std::any_of(
        digests->second.begin(), digests->second.end(), [&](const std::string &other) {
            return other != suspect.digest
                   && isCounted(other, m_records.at(other).at(endpoint), now)
                   && crashes(other, now)
                          >= crashesToExplain(other, suspect.digest, minCrashes, now)
                   && std::find(own.begin(), own.end(), other) == own.end()
                   && !isLessSuspicious(other, suspect.digest, now) && condition(other);
        });
}

/// Crashes that \a other needs to explain one of \a digest. A part explains crashes of a content
/// sooner than another content does: it comes again in other requests, and each may have added a
/// crash that is not known yet. A content does not explain a part that has more crashes than it:
/// the content may itself be one of those that have the part.
std::size_t Quarantine::crashesToExplain(const std::string &other, const std::string &digest,
                                         std::size_t minCrashes, Time now) const
{
    if (isPromptPartDigest(other) == isPromptPartDigest(digest))
        return minCrashes;
    return isPromptPartDigest(other) ? std::min(minCrashes, m_settings.crashesToRequireTrial)
                                     : std::max(minCrashes, crashes(digest, now));
}

/// Whether the part \a other is a worse explanation than \a digest: requests with it succeed now,
/// or succeeded before, and none with \a digest did.
bool Quarantine::isLessSuspicious(const std::string &other, const std::string &digest,
                                  Time now) const
{
    return isPromptPartDigest(other)
           && (succeededRecently(other, now)
               || (m_partSuccesses.find(other) && !successesOf(digest).find(digest)));
}

std::size_t Quarantine::unexplainedCrashes(const Suspect &suspect, std::size_t minCrashes,
                                           Time now) const
{
    const auto anyCause = [](const std::string &) { return true; };
    return static_cast<std::size_t>(
        std::count_if(suspect.records.begin(), suspect.records.end(), [&](const auto &each) {
            return isCounted(suspect.digest, each.second, now)
                   && !anyExplanation(suspect, each.first, minCrashes, now, anyCause);
        }));
}

/// Whether the request succeeded after one of the crashes or at most successWindow before it. Such
/// a request may be harmless: one that many callers send can be on several endpoints that crash
/// together for another reason.
bool Quarantine::succeededBefore(const std::string &digest, const Crashes &records) const
{
    const auto success = successesOf(digest).find(digest);
    return success && std::any_of(records.begin(), records.end(), [&](const auto &each) {
               return each.second.at - *success < m_settings.successWindow;
           });
}

bool Quarantine::isConfirmedCause(const Suspect &suspect, Time now) const
{
    if (crashes(suspect.digest, now) >= m_settings.crashesToForceQuarantine)
        return true;
    return !succeededBefore(suspect.digest, suspect.records)
           && unexplainedCrashes(suspect, m_settings.crashesToQuarantine, now)
                  >= m_settings.crashesToQuarantine;
}

bool Quarantine::isConfirmedPart(const Suspect &suspect, std::size_t count, Time now) const
{
    const std::size_t needed = m_settings.crashesToQuarantinePart;
    if (unexplainedCrashes(suspect, m_settings.crashesToQuarantine, now) >= needed)
        return true;
    // Several causes with the same few crashes explain each other. Once there are more crashes,
    // only those count that would be quarantined themselves.
    return count >= m_settings.crashesToForceQuarantinePart
           && unexplainedCrashes(suspect, needed, now) >= needed;
}

/// Whether the content or part \a digest is confirmed, whatever requests it came in.
bool Quarantine::isConfirmed(const std::string &digest, Time now) const
{
    const std::size_t count = crashes(digest, now);
    if (count < m_settings.crashesToQuarantine)
        return false;
    if (!isPromptPartDigest(digest))
        return isConfirmedCause({digest, m_records.at(digest), {&digest, 1}}, now);
    const std::vector<std::string> causes = alwaysBeside(digest);
    return isConfirmedPart({digest, m_records.at(digest), causes}, count, now);
}

/// Whether confirmed causes explain all crashes with the part, and something besides speaks for it:
/// it succeeded before, or they have crashes without it.
bool Quarantine::isExonerated(const Suspect &suspect, Time now) const
{
    const bool succeeded = m_partSuccesses.find(suspect.digest).has_value();
    const auto speaksForPart = [&](const std::string &other) {
        const Crashes &records = m_records.at(other);
        return (succeeded
                || std::any_of(records.begin(), records.end(),
                               [&](const auto &each) {
                                   return isCounted(other, each.second, now)
                                          && !suspect.records.contains(each.first);
                               }))
               && isConfirmed(other, now);
    };
    return std::all_of(suspect.records.begin(), suspect.records.end(), [&](const auto &each) {
        return !isCounted(suspect.digest, each.second, now)
               || anyExplanation(suspect, each.first, m_settings.crashesToQuarantine, now,
                                 speaksForPart);
    });
}

Time Quarantine::lastCrash(const std::string &digest) const
{
    Time last {};
    for (const auto &[endpoint, crash] : m_records.at(digest))
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
bool Quarantine::observedElsewhere(const Suspect &suspect, Time now) const
{
    return std::any_of(suspect.records.begin(), suspect.records.end(), [&](const auto &each) {
        return isCounted(suspect.digest, each.second, now) && !each.second.observedHere;
    });
}

SendPermission Quarantine::sendPermission(CauseDigests causes, Time now) const
{
    SendPermission strictest = SendPermission::Allowed;
    if (!m_records.empty())
        for (const std::string &digest : causes)
            strictest = std::max(strictest, permissionOf(digest, causes, now));
    return strictest;
}

SendPermission Quarantine::permissionOf(const std::string &digest, CauseDigests causes,
                                        Time now) const
{
    const std::size_t count = crashes(digest, now);
    if (count == 0)
        return SendPermission::Allowed;
    const Suspect suspect {digest, m_records.at(digest), causes};
    return isPromptPartDigest(digest) ? partPermission(suspect, count, now)
                                      : contentPermission(suspect, count, now);
}

SendPermission Quarantine::contentPermission(const Suspect &suspect, std::size_t count,
                                             Time now) const
{
    if (deferredFor(suspect.digest, now) > Duration {})
        return SendPermission::Deferred;
    if (count >= m_settings.crashesToQuarantine && isConfirmedCause(suspect, now))
        return SendPermission::Quarantined;
    const bool suspected =
        count >= m_settings.crashesToRequireTrial
        || (observedElsewhere(suspect, now) && !succeededBefore(suspect.digest, suspect.records));
    return suspected ? SendPermission::TrialOnly : SendPermission::Allowed;
}

SendPermission Quarantine::partPermission(const Suspect &suspect, std::size_t count, Time now) const
{
    if (count < m_settings.crashesToRequireTrial || succeededRecently(suspect.digest, now)
        || isExonerated(suspect, now))
        return SendPermission::Allowed;
    if (deferredFor(suspect.digest, now) > Duration {})
        return SendPermission::Deferred;
    const bool quarantined = count >= m_settings.crashesToQuarantinePart
                             && isConfirmedPart(suspect, count, now)
                             && now < partQuarantinedUntil(suspect.digest, now);
    return quarantined ? SendPermission::Quarantined : SendPermission::TrialOnly;
}

/// Each series of crashes ends with a quarantine, and each further series is one trial after it.
Time Quarantine::partQuarantinedUntil(const std::string &digest, Time now) const
{
    std::vector<Time> times;
    for (const auto &[endpoint, crash] : m_records.at(digest))
        if (isCounted(digest, crash, now))
            times.push_back(crash.at);
    if (times.empty())
        return now;
    std::sort(times.begin(), times.end());
    std::size_t laterSeries = 0;
    for (std::size_t i = 1; i < times.size(); ++i)
        laterSeries += times[i] - times[i - 1] >= m_settings.crashSeriesGap ? 1 : 0;
    return times.back()
           + (laterSeries >= m_settings.maxPartQuarantines
                  ? m_settings.retention
                  : m_settings.partQuarantine * (std::int64_t(1) << laterSeries));
}

Duration Quarantine::blockedFor(CauseDigests causes, Time now) const
{
    Duration longest {};
    for (const std::string &digest : causes)
        longest = std::max(longest, blockedFor(digest, causes, now));
    return longest;
}

Duration Quarantine::blockedFor(const std::string &digest, CauseDigests causes, Time now) const
{
    switch (permissionOf(digest, causes, now)) {
    case SendPermission::Allowed:
    case SendPermission::TrialOnly:
        return {};
    case SendPermission::Deferred:
        return deferredFor(digest, now);
    case SendPermission::Quarantined:
        break;
    }
    return isPromptPartDigest(digest) ? partQuarantinedUntil(digest, now) - now
                                      : lastCrash(digest) + m_settings.retention - now;
}

std::string Quarantine::causeToTry(CauseDigests causes, Time now) const
{
    const std::string *most = nullptr;
    for (const std::string &digest : causes)
        if (permissionOf(digest, causes, now) == SendPermission::TrialOnly
            && (!most || crashes(digest, now) >= crashes(*most, now)))
            most = &digest;
    return most ? *most : std::string();
}

std::vector<std::string> Quarantine::unconfirmedEndpoints(Time now) const
{
    std::vector<std::string> endpoints;
    for (const auto &each : m_digestsByEndpoint)
        if (std::any_of(each.second.begin(), each.second.end(), [&](const std::string &digest) {
                const Crash &crash = m_records.at(digest).find(each.first)->second;
                return crash.stage == Stage::Unconfirmed && now >= crash.clearedIfAliveAt;
            }))
            endpoints.push_back(each.first);
    return endpoints;
}

std::size_t Quarantine::quarantinedCount(Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(), [&](const auto &each) {
            return !isPromptPartDigest(each.first)
                   && sendPermission(each.first, now) == SendPermission::Quarantined;
        }));
}

/// The part with the other parts that have all of its crashes too: they may have come in the same
/// requests.
std::vector<std::string> Quarantine::alwaysBeside(const std::string &digest) const
{
    std::vector<std::string> together {digest};
    const Crashes &own = m_records.at(digest);
    for (const std::string &other : m_digestsByEndpoint.at(own.begin()->first))
        if (other != digest && isPromptPartDigest(other)
            && std::all_of(own.begin(), own.end(), [&](const auto &each) {
                   return m_records.at(other).contains(each.first);
               }))
            together.push_back(other);
    return together;
}

std::vector<std::string> Quarantine::quarantinedParts(Time now) const
{
    std::vector<std::string> parts;
    for (const auto &[digest, records] : m_records)
        if (isPromptPartDigest(digest) && isConfirmed(digest, now)
            && permissionOf(digest, alwaysBeside(digest), now) == SendPermission::Quarantined)
            parts.push_back(digest);
    std::sort(parts.begin(), parts.end());
    return parts;
}

} // namespace balsamloft
