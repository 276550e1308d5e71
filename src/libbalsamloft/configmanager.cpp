// Follows the configuration: reads heads, changes and snapshots from the platform and peers.

#include <balsamloft/configmanager.h>

#include "jsonreader.h"

#include <algorithm>
#include <cstdio>

namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr double PollJitter = 0.2;

} // namespace

std::string changeKey(std::uint64_t version)
{
    char buffer[24];
    std::snprintf(buffer, sizeof buffer, "%020llu", static_cast<unsigned long long>(version));
    return buffer;
}

std::string toJson(const ConfigSnapshot &snapshot)
{
    json::object entries;
    for (const auto &[path, text] : snapshot.entries)
        entries[path] = text;
    return json::serialize(json::object {{"version", snapshot.head.version},
                                         {"digest", snapshot.head.digest},
                                         {"entries", std::move(entries)}});
}

std::optional<ConfigSnapshot> snapshotFromJson(std::string_view text, Reason &reason)
{
    const auto value = parseJson(text, reason);
    if (!value || !value->is_object())
        return std::nullopt;
    const json::object &object = value->get_object();
    const json::value *version = object.if_contains("version");
    const json::value *digest = object.if_contains("digest");
    const json::value *entries = object.if_contains("entries");
    if (!version || !version->is_int64() || !digest || !digest->is_string() || !entries
        || !entries->is_object()) {
        reason = "a snapshot needs version, digest and entries";
        return std::nullopt;
    }
    ConfigSnapshot snapshot;
    snapshot.head = {static_cast<std::uint64_t>(version->get_int64()),
                     std::string(digest->get_string())};
    for (const auto &member : entries->get_object()) {
        if (member.value().is_string())
            snapshot.entries.emplace(member.key(), member.value().get_string());
    }
    return snapshot;
}

ConfigManager::ConfigManager(ConfigManagerSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
    , m_nextPoll(Time {})
{
}

void ConfigManager::tick(Time now, ConfigActions &actions)
{
    if (m_nextPoll && *m_nextPoll > now)
        return;
    // Jitter spreads the polls of instances that were started at the same time.
    std::uniform_real_distribution<double> jitter(1 - PollJitter, 1 + PollJitter);
    const auto interval = static_cast<double>(m_settings.pollInterval.count()) * jitter(m_random);
    m_nextPoll = now + Duration(static_cast<std::int64_t>(interval));
    m_headReadId = m_nextId++;
    actions.push_back(ReadConfigHead {m_headReadId});
}

void ConfigManager::pollSoon(Time now)
{
    m_nextPoll = std::min(m_nextPoll.value_or(now), now + m_settings.retryDelay);
}

void ConfigManager::headRead(std::uint64_t id, const ReadOutcome &outcome, Time now,
                             ConfigActions &actions)
{
    if (id != m_headReadId)
        return;
    m_platformReachable = outcome.kind != ReadOutcome::Kind::Unavailable;
    if (!m_platformReachable) {
        if (m_head.version == 0)
            pollSoon(now);
        if (m_proposalWaitsForHead) {
            m_proposalWaitsForHead = false;
            finishUncommitted(now, actions);
        }
        return;
    }
    // Each commit writes the head's row once, so the row's version is the configuration version.
    const std::uint64_t newest = outcome.kind == ReadOutcome::Kind::Found ? outcome.row.version : 0;
    if (newest > m_head.version)
        return fetchFrom(newest, actions);
    if (m_proposalWaitsForHead) {
        m_proposalWaitsForHead = false;
        tryProposal(now, actions);
    }
}

void ConfigManager::fetchFrom(std::uint64_t newest, ConfigActions &actions)
{
    if (newest - m_head.version > m_settings.snapshotLag && !m_snapshotRequested) {
        m_snapshotId = m_nextId++;
        m_snapshotRequested = true;
        actions.push_back(ReadConfigSnapshot {m_snapshotId});
        return;
    }
    m_scanId = m_nextId++;
    actions.push_back(ScanConfigChanges {m_scanId, m_head.version, m_settings.scanLimit});
}

void ConfigManager::snapshotRead(std::uint64_t id, const std::optional<std::string> &content,
                                 Time now, ConfigActions &actions)
{
    if (id != m_snapshotId)
        return;
    Reason reason;
    const auto snapshot = content ? snapshotFromJson(*content, reason) : std::nullopt;
    // An outdated snapshot is fine: the scan then reads more changes.
    if (snapshot)
        peerSnapshot(*snapshot, now, actions);
    m_scanId = m_nextId++;
    actions.push_back(ScanConfigChanges {m_scanId, m_head.version, m_settings.scanLimit});
}

void ConfigManager::changesScanned(std::uint64_t id, const ScanOutcome &outcome, Time now,
                                   ConfigActions &actions)
{
    if (id != m_scanId)
        return;
    std::vector<ConfigChange> changes;
    Reason reason;
    for (const TableRow &row : outcome.rows) {
        auto change = changeFromJson(row.value, reason);
        if (!change)
            break;
        changes.push_back(std::move(*change));
    }
    const bool progressed = applyChanges(changes, actions);
    if (progressed && outcome.rows.size() == m_settings.scanLimit) {
        m_scanId = m_nextId++;
        actions.push_back(ScanConfigChanges {m_scanId, m_head.version, m_settings.scanLimit});
        return;
    }
    if (!outcome.available)
        pollSoon(now);
    if (m_proposalWaitsForHead) {
        m_proposalWaitsForHead = false;
        if (outcome.available)
            return tryProposal(now, actions);
        finishUncommitted(now, actions);
    }
}

void ConfigManager::peerHead(const std::string &peer, const ConfigHead &head, Time now,
                             ConfigActions &actions)
{
    if (head.version == m_head.version && head.version > 0 && head.digest != m_head.digest)
        ++m_forksSeen;
    if (head.version <= m_head.version)
        return;
    const bool waiting =
        m_requestedVersion >= head.version && now - m_requestedAt < m_settings.peerTimeout;
    if (waiting)
        return;
    m_requestedVersion = head.version;
    m_requestedAt = now;
    actions.push_back(RequestPeerConfig {peer, m_head.version});
}

void ConfigManager::peerChanges(std::span<const ConfigChange> changes, Time, ConfigActions &actions)
{
    m_requestedVersion = 0;
    applyChanges(changes, actions);
}

void ConfigManager::peerSnapshot(const ConfigSnapshot &snapshot, Time, ConfigActions &actions)
{
    m_requestedVersion = 0;
    // The version must never decrease: ignore outdated snapshots from any source.
    if (snapshot.head.version <= m_head.version)
        return;
    std::vector<Problem> problems;
    if (!compileConfig(snapshot.entries, snapshot.head, problems))
        return;
    m_head = snapshot.head;
    m_entries = snapshot.entries;
    m_history.clear();
    install(actions);
}

bool ConfigManager::applyChange(const ConfigChange &change)
{
    if (change.version != m_head.version + 1)
        return false;
    if (chainDigest(m_head.digest, change) != change.digest) {
        ++m_forksSeen;
        return false;
    }
    Reason reason;
    if (!applyEdits(m_entries, change.edits, reason))
        return false;
    m_head = {change.version, change.digest};
    m_history.push_back(change);
    if (m_history.size() > m_settings.historyLength)
        m_history.pop_front();
    return true;
}

bool ConfigManager::applyChanges(std::span<const ConfigChange> changes, ConfigActions &actions)
{
    bool progressed = false;
    for (const ConfigChange &change : changes)
        progressed = applyChange(change) || progressed;
    if (progressed)
        install(actions);
    return progressed;
}

void ConfigManager::install(ConfigActions &actions)
{
    std::vector<Problem> problems;
    if (ConfigPtr config = compileConfig(m_entries, m_head, problems))
        actions.push_back(InstallConfig {std::move(config)});
}

std::optional<ConfigEntries> ConfigManager::entriesAt(std::uint64_t version) const
{
    if (version > m_head.version || m_head.version - version > m_history.size())
        return std::nullopt;
    ConfigEntries entries = m_entries;
    Reason reason;
    for (auto it = m_history.rbegin(); it != m_history.rend() && it->version > version; ++it) {
        const ConfigEdits reverse = reverseEdits(it->edits);
        if (!applyEdits(entries, reverse, reason))
            return std::nullopt;
    }
    return entries;
}

std::optional<std::vector<ConfigChange>> ConfigManager::changesAfter(std::uint64_t version) const
{
    if (version >= m_head.version)
        return std::vector<ConfigChange> {};
    if (m_head.version - version > m_history.size())
        return std::nullopt;
    const auto skip = m_history.size() - (m_head.version - version);
    return std::vector<ConfigChange>(m_history.begin() + static_cast<std::ptrdiff_t>(skip),
                                     m_history.end());
}

} // namespace balsamloft
