#include <balsamloft/lease.h>

#include "jsonreader.h"

namespace json = boost::json;

namespace balsamloft {

namespace {

const std::string NoHolder;

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

void LeaseManager::tick(Time now, LeaseActions &actions)
{
    if (m_holding && now >= m_heldUntil)
        markLost();
    if (now < m_nextTick)
        return;
    m_nextTick = now + (m_holding ? m_settings.renewEvery : m_settings.pollEvery);
    if (m_holding && !m_write)
        return write(m_rowVersion, m_fencing, false, now, actions);
    m_readId = m_nextId++;
    actions.push_back(ReadLease {m_readId, m_settings.key});
}

void LeaseManager::write(std::uint64_t version, std::uint64_t fencing, bool release, Time now,
                         LeaseActions &actions)
{
    m_write = Write {m_nextId++, version, fencing, now, release};
    Transaction transaction;
    transaction.checks.push_back({std::string(LeaseTable), m_settings.key, version});
    transaction.writes.push_back({std::string(LeaseTable), m_settings.key,
                                  toJson({release ? "" : m_settings.holder, fencing})});
    actions.push_back(WriteLease {m_write->id, std::move(transaction)});
}

void LeaseManager::applyGrant(const Write &write, std::uint64_t version)
{
    m_rowVersion = version;
    m_write.reset();
    if (write.release)
        return;
    if (!m_holding || write.fencing != m_fencing)
        m_acquiredAt = write.sentAt;
    m_holding = true;
    m_fencing = write.fencing;
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
    switch (outcome.kind) {
    case TransactionOutcome::Kind::Committed:
        applyGrant(write, outcome.version ? outcome.version : write.base + 1);
        break;
    case TransactionOutcome::Kind::Conflict:
        m_write.reset();
        markLost();
        break;
    case TransactionOutcome::Kind::NotCommitted:
        m_write.reset();
        break;
    case TransactionOutcome::Kind::Unknown:
        // Read the row to find out whether the write took effect.
        m_readId = m_nextId++;
        actions.push_back(ReadLease {m_readId, m_settings.key});
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
    const bool found = outcome.kind == ReadOutcome::Kind::Found;
    const LeaseRow row = found ? rowFromJson(outcome.row.value) : LeaseRow {};
    const std::uint64_t version = found ? outcome.row.version : 0;
    if (version != m_lastSeenVersion || m_versionSeenAt == Time {}) {
        m_lastSeenVersion = version;
        m_versionSeenAt = now;
    }
    m_lastSeenHolder = row.holder;
    if (m_write) {
        const Write pending = *m_write;
        // The holder id is unique to this process, so a newer row with this id and fencing
        // token shows that the pending write took effect. A pending release leaves the holder
        // empty.
        const std::string &wanted = pending.release ? NoHolder : m_settings.holder;
        if (version != pending.base && row.holder == wanted && row.fencing == pending.fencing)
            return applyGrant(pending, version);
        m_write.reset();
        if (version != pending.base || row.holder != m_settings.holder)
            markLost();
    }
    if (m_holding)
        return;
    // If the row still has the version that this process wrote, no other process has held the
    // lease since it expired, so this process can acquire it again without waiting.
    const bool ownExpired = found && row.holder == m_settings.holder && version == m_rowVersion;
    const bool free = !found || row.holder.empty() || ownExpired;
    // The row version is unchanged since m_versionSeenAt, so the holder has not renewed the
    // lease since. Pauses between the reads of this process only prolong its wait.
    const bool expired = now - m_versionSeenAt >= m_settings.duration + m_settings.margin;
    if (free || expired)
        write(version, row.fencing + 1, false, now, actions);
}

void LeaseManager::release(Time now, LeaseActions &actions)
{
    if (!holds(now))
        return;
    m_holding = false;
    m_heldUntil = Time {};
    m_write.reset();
    write(m_rowVersion, m_fencing, true, now, actions);
}

} // namespace balsamloft
