#include <balsamloft/lease.h>

#include "jsonreader.h"

#include <algorithm>

namespace json = boost::json;

namespace balsamloft {

namespace {

const std::string NoHolder;

/// Between the key of the lease and the era in the key of its row.
constexpr char EraSeparator = '@';

/// More tokens than are given out in an era. Tokens stay below 2^32 for thousands of eras.
constexpr std::uint64_t TokensPerEra = 1'000'000;

struct LeaseRow
{
    std::string holder; ///< empty: released
    std::uint64_t fencing = 0;
};

std::string toJson(const LeaseRow &row)
{
    return json::serialize(json::object {{"holder", row.holder}, {"fencing", row.fencing}});
}

LeaseRow rowFromJson(std::string_view text)
{
    Reason reason;
    LeaseRow row;
    const auto value = parseJson(text, reason);
    if (!value || !value->is_object())
        return row;
    const json::value *holder = value->get_object().if_contains("holder");
    const json::value *fencing = value->get_object().if_contains("fencing");
    if (holder && holder->is_string())
        row.holder = std::string(holder->get_string());
    if (fencing && fencing->is_int64())
        row.fencing = static_cast<std::uint64_t>(fencing->get_int64());
    return row;
}

} // namespace

LeaseManager::LeaseManager(LeaseSettings settings)
    : m_settings(std::move(settings))
{
}

void LeaseManager::markLost()
{
    m_holding = false;
    m_heldUntil = Time {};
}

void LeaseManager::setEra(std::uint64_t era, Time now)
{
    if (m_era && era <= *m_era)
        return;
    const bool isFirst = !m_era;
    m_era = era;
    m_versionSeenAt = Time {};
    if (!isFirst)
        storeRestored(now);
}

void LeaseManager::storeRestored(Time when)
{
    m_noTakeoverUntil = std::max(m_noTakeoverUntil, when + m_settings.duration + m_settings.margin);
}

std::uint64_t LeaseManager::eraFencing() const
{
    return m_era.value_or(0) * TokensPerEra;
}

/// Returns a token above all that this process has seen and all of earlier eras.
std::uint64_t LeaseManager::nextFencing(std::uint64_t rowFencing) const
{
    return std::max({rowFencing, m_maxFencing, eraFencing()}) + 1;
}

void LeaseManager::tick(Time now, LeaseActions &actions)
{
    if (m_holding && now >= m_heldUntil)
        markLost();
    if (now < m_nextTick)
        return;
    m_nextTick = now + (m_holding ? m_settings.renewEvery : m_settings.pollEvery);
    if (m_holding && !m_write && m_rowVersion.era == m_era)
        return write(m_rowVersion, nullptr, m_fencing, false, now, actions);
    m_readId = m_nextId++;
    actions.push_back(ReadLease {m_readId, rowKey()});
}

std::string LeaseManager::rowKey() const
{
    const std::uint64_t era = m_era.value_or(0);
    return era == 0 ? m_settings.key : m_settings.key + EraSeparator + std::to_string(era);
}

const TableRow *LeaseManager::chooseRow(std::span<const TableRow> rows) const
{
    const TableRow *chosen = nullptr;
    for (const TableRow &each : rows) {
        if (each.key == rowKey())
            return &each;
        const bool isFormer =
            each.key == m_settings.key || each.key.starts_with(m_settings.key + EraSeparator);
        if (isFormer && (!chosen || each.version > chosen->version))
            chosen = &each;
    }
    return chosen;
}

void LeaseManager::write(StoreVersion version, const TableRow *former, std::uint64_t fencing,
                         bool release, Time now, LeaseActions &actions)
{
    m_write = Write {m_nextId++, version, fencing, now, release};
    Transaction transaction;
    transaction.checks.push_back({std::string(LeaseTable), rowKey(), version.number});
    transaction.writes.push_back(
        {std::string(LeaseTable), rowKey(), toJson({release ? "" : m_settings.holder, fencing})});
    if (former) {
        transaction.checks.push_back({std::string(LeaseTable), former->key, former->version});
        transaction.writes.push_back({std::string(LeaseTable), former->key, std::nullopt});
    }
    actions.push_back(WriteLease {m_write->id, std::move(transaction)});
}

void LeaseManager::applyGrant(const Write &write, StoreVersion version)
{
    m_rowVersion = version;
    m_write.reset();
    if (write.release)
        return;
    if (!m_holding || write.fencing != m_fencing)
        m_acquiredAt = write.sentAt;
    m_holding = true;
    m_fencing = write.fencing;
    m_maxFencing = std::max(m_maxFencing, m_fencing);
    m_lastSeenHolder = m_settings.holder;
    // The duration starts when the write was sent. If it started with the answer, a slow
    // answer would extend the lease beyond the time that other processes wait.
    m_heldUntil = write.sentAt + m_settings.duration;
}

void LeaseManager::writeDone(std::uint64_t id, const TransactionOutcome &outcome, Time now,
                             LeaseActions &actions)
{
    if (!m_write || m_write->id != id)
        return;
    const Write write = *m_write;
    if (outcome.kind == TransactionOutcome::Kind::Committed
        || outcome.kind == TransactionOutcome::Kind::Conflict)
        setEra(outcome.era, now);
    switch (outcome.kind) {
    case TransactionOutcome::Kind::Committed:
        // In another era the row had the expected number by chance.
        if (outcome.era == write.base.era && outcome.era == m_era)
            applyGrant(write,
                       {outcome.era, outcome.version ? outcome.version : write.base.number + 1});
        else
            m_write.reset();
        break;
    case TransactionOutcome::Kind::Conflict:
        m_write.reset();
        // In another era the row has another version, whoever holds the lease.
        if (outcome.era == write.base.era)
            markLost();
        break;
    case TransactionOutcome::Kind::NotCommitted:
        m_write.reset();
        break;
    case TransactionOutcome::Kind::Unknown:
        // Read the row to find out whether the write took effect.
        m_readId = m_nextId++;
        actions.push_back(ReadLease {m_readId, rowKey()});
        break;
    }
    if (m_holding && now >= m_heldUntil)
        markLost();
}

void LeaseManager::readDone(std::uint64_t id, const ReadOutcome &outcome, Time now,
                            LeaseActions &actions)
{
    if (id != m_readId || outcome.kind == ReadOutcome::Kind::Unavailable)
        return;
    setEra(outcome.era, now);
    const bool found = outcome.kind == ReadOutcome::Kind::Found;
    const TableRow *former = found && outcome.row.key != rowKey() ? &outcome.row : nullptr;
    const LeaseRow row = found ? rowFromJson(outcome.row.value) : LeaseRow {};
    const StoreVersion seen {outcome.era, found ? outcome.row.version : 0};
    const StoreVersion version {outcome.era, former ? 0 : seen.number};
    m_maxFencing = std::max(m_maxFencing, row.fencing);
    if (seen != m_lastSeenVersion || m_versionSeenAt == Time {}) {
        m_lastSeenVersion = seen;
        m_versionSeenAt = now;
    }
    m_lastSeenHolder = row.holder;
    if (m_write) {
        const Write pending = *m_write;
        // The holder id is unique to this process, so a newer row with this id and fencing
        // token shows that the pending write took effect. A pending release leaves the holder
        // empty.
        const std::string &wanted = pending.release ? NoHolder : m_settings.holder;
        if (version.era == pending.base.era && version != pending.base && row.holder == wanted
            && row.fencing == pending.fencing)
            return applyGrant(pending, version);
        m_write.reset();
        if (version.era == pending.base.era
            && (version != pending.base || (!former && row.holder != m_settings.holder)))
            markLost();
    }
    if (m_holding) {
        if (version.era == m_rowVersion.era)
            return;
        // A row of this era shows that another process has acquired the lease in it.
        if (version.known())
            return markLost();
        return write(version, former, nextFencing(row.fencing), false, now, actions);
    }
    if (now < m_noTakeoverUntil)
        return;
    // If the row still has the version that this process wrote, no other process has held the
    // lease since it expired, so this process can acquire it again without waiting.
    const bool ownExpired = found && row.holder == m_settings.holder && version == m_rowVersion;
    // A row of an earlier era does not tell who held the lease when the store lost its last writes.
    const bool free = !found || (!former && (row.holder.empty() || ownExpired));
    // The row version is unchanged since m_versionSeenAt, so the holder has not renewed the
    // lease since. Pauses between the reads of this process only prolong its wait.
    const bool expired = now - m_versionSeenAt >= m_settings.duration + m_settings.margin;
    if (free || expired)
        write(version, former, nextFencing(row.fencing), false, now, actions);
}

void LeaseManager::release(Time now, LeaseActions &actions)
{
    if (!holds(now))
        return;
    m_holding = false;
    m_heldUntil = Time {};
    m_write.reset();
    if (m_rowVersion.era == m_era)
        write(m_rowVersion, nullptr, m_fencing, true, now, actions);
}

} // namespace balsamloft
