#include <balsamloft/trialpermits.h>

#include <algorithm>

namespace balsamloft {

namespace {

constexpr std::string_view ContentPrefix = "trial:";
constexpr std::string_view EndpointPrefix = "trial@";

} // namespace

std::string contentTrialKey(std::string_view digest)
{
    return std::string(ContentPrefix).append(digest);
}

std::string endpointTrialKey(std::string_view endpoint)
{
    return std::string(EndpointPrefix).append(endpoint);
}

bool isTrialKey(std::string_view key)
{
    return key.starts_with(ContentPrefix) || key.starts_with(EndpointPrefix);
}

TrialPermits::TrialPermits(TrialSettings settings)
    : m_settings(std::move(settings))
{
}

void TrialPermits::setRows(std::vector<TrialRow> rows, std::span<const CrashRecord> crashes)
{
    std::map<std::string, TrialRow, std::less<>> known;
    for (TrialRow &each : rows) {
        // A write of this instance may be newer than the received row.
        const auto before = m_rows.find(each.key);
        if (before != m_rows.end() && before->second.version > each.version)
            each = before->second;
        known.insert_or_assign(each.key, std::move(each));
    }
    m_rows = std::move(known);
    m_crashes.clear();
    for (const CrashRecord &each : crashes)
        m_crashes.emplace(each.digest, each.endpoint);
}

TrialRow TrialPermits::row(const std::string &key) const
{
    const auto it = m_rows.find(key);
    if (it != m_rows.end())
        return it->second;
    TrialRow missing;
    missing.key = key;
    return missing;
}

bool TrialPermits::isRunning(const TrialRow &row, Time storeNow) const
{
    return !row.counterpart.empty() && storeNow < row.until + m_settings.margin;
}

bool TrialPermits::crashPublished(const std::string &digest, const std::string &endpoint) const
{
    return m_crashes.contains({digest, endpoint});
}

Duration TrialPermits::retryDelay(const TrialRow &row, Time storeNow) const
{
    // Without the margin: most trials finish long before their permits expire.
    return std::max(m_settings.retryInterval, row.until - storeNow);
}

std::optional<TrialAnswer> TrialPermits::refusalAfterRestore(Time now) const
{
    if (!m_restoredAt || now >= *m_restoredAt + m_settings.validFor)
        return std::nullopt;
    return TrialAnswer {false, {}, false, *m_restoredAt + m_settings.validFor - now};
}

std::variant<TrialChange, TrialAnswer>
TrialPermits::decide(const TrialRequest &request, const FleetSnapshot &fleet, Time storeNow) const
{
    TrialRow content = row(contentTrialKey(request.digest));
    const bool isPublished = crashPublished(request.digest, content.counterpart);
    if (!isPublished && isRunning(content, storeNow))
        return TrialAnswer {false, {}, false, retryDelay(content, storeNow)};
    TrialChange change;
    if (!isPublished && !content.counterpart.empty() && !fleet.find(content.counterpart)) {
        change.crash = CrashRecord {request.digest, content.counterpart, content.until};
        content.counterpart.clear();
        change.rows = {content};
        return change;
    }
    if (request.limited && content.trials >= m_settings.maxTrials)
        return TrialAnswer {false, {}, false, content.until + m_settings.retention - storeNow};
    TrialRow endpoint = row(endpointTrialKey(request.endpoint));
    if (isRunning(endpoint, storeNow))
        return TrialAnswer {false, {}, true, m_settings.retryInterval};
    content.counterpart = request.endpoint;
    endpoint.counterpart = request.digest;
    content.trials += request.limited ? 1 : 0;
    content.holder = endpoint.holder = m_settings.holder;
    content.until = endpoint.until = storeNow + m_settings.validFor;
    change.rows = {std::move(content), std::move(endpoint)};
    return change;
}

TrialAnswer TrialPermits::answer(const TrialRequest &request, const TrialChange &change,
                                 bool committed, Time storeNow) const
{
    if (committed && !change.crash)
        return {true, m_settings.validFor, false, {}};
    const TrialRow content = row(contentTrialKey(request.digest));
    const bool endpointBusy = !committed && !isRunning(content, storeNow)
                              && isRunning(row(endpointTrialKey(request.endpoint)), storeNow);
    return {false, {}, endpointBusy, retryDelay(content, storeNow)};
}

TrialAnswer TrialPermits::answerWithoutStore(const TrialRequest &request) const
{
    if (request.crashes <= m_settings.maxCrashesWithoutStore)
        return {true, m_settings.validFor, false, {}};
    return {false, {}, false, m_settings.waitForStore};
}

void TrialPermits::recordWrite(const TrialChange &change, bool committed, StoreVersion version,
                               std::span<const TrialRow> found)
{
    for (const TrialRow &each : found)
        m_rows.insert_or_assign(each.key, each);
    if (!committed)
        return;
    for (TrialRow each : change.rows) {
        each.version = version;
        m_rows.insert_or_assign(each.key, each);
    }
    for (const TrialRow &each : change.removed)
        m_rows.erase(each.key);
    if (change.crash)
        m_crashes.emplace(change.crash->digest, change.crash->endpoint);
}

std::optional<TrialChange> TrialPermits::release(const std::string &digest,
                                                 const std::string &endpoint,
                                                 TrialOutcome outcome) const
{
    TrialRow content = row(contentTrialKey(digest));
    TrialRow atEndpoint = row(endpointTrialKey(endpoint));
    if (content.counterpart != endpoint || content.holder != m_settings.holder
        || atEndpoint.counterpart != digest)
        return std::nullopt;
    TrialChange change;
    change.removed.push_back(std::move(atEndpoint));
    if (outcome == TrialOutcome::Succeeded) {
        change.removed.push_back(std::move(content));
        return change;
    }
    if (outcome == TrialOutcome::NotSent && content.trials > 0)
        content.trials -= 1;
    content.counterpart.clear();
    change.rows.push_back(std::move(content));
    return change;
}

std::vector<std::string> TrialPermits::expiredKeys(Time storeNow) const
{
    std::vector<std::string> keys;
    for (const auto &[key, each] : m_rows)
        if (storeNow > each.until + m_settings.retention)
            keys.push_back(key);
    return keys;
}

} // namespace balsamloft
