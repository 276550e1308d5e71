// The part of Control that keeps the table of requests under which endpoints ended.

#include "clock.h"
#include "control.h"
#include "decisionlog.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr std::size_t MostWrites = 100; ///< that the store takes in one transaction
constexpr std::size_t MostWaiting = 1000; ///< writes that wait for a store that is down
constexpr Duration FirstPause {300'000}; ///< after a write that failed
constexpr Duration MostPause {5'000'000};

std::string keyOf(const CrashRecord &record)
{
    return record.digest + "/" + record.endpoint;
}

/// When the row's endpoint ended, on the store's clock; nothing when another writer
/// than an instance wrote it.
std::optional<std::int64_t> endedAtMs(const StoreRow &row)
{
    boost::system::error_code error;
    const json::value value = json::parse(row.value, error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *at = object ? object->if_contains("at_ms") : nullptr;
    return at && at->is_int64() ? std::optional(at->get_int64()) : std::nullopt;
}

} // namespace

void Control::tellCrashes(const CrashNews &news)
{
    if (!m_storeOffset) {
        m_crashesToTell.added.insert(m_crashesToTell.added.end(), news.added.begin(),
                                     news.added.end());
        return;
    }
    for (const CrashRecord &each : news.added) {
        const Time bootTime = bootNow() - (steadyNow() - each.at);
        const std::int64_t atMs = (bootTime.time_since_epoch() + *m_storeOffset).count() / 1000;
        m_crashWrites[keyOf(each)] =
            json::serialize(json::object {{"at_ms", atMs}, {"by", m_settings.name}});
    }
    for (const CrashRecord &each : news.removed)
        m_crashWrites[keyOf(each)] = std::nullopt;
    while (m_crashWrites.size() > MostWaiting)
        m_crashWrites.erase(m_crashWrites.begin());
    writeCrashes(steadyNow());
}

/// What could not be written is written later: after this instance has ended too, its
/// successors must know.
void Control::writeCrashes(Time now)
{
    if (m_storeOffset && !m_crashesToTell.empty())
        tellCrashes(std::exchange(m_crashesToTell, {}));
    if (m_crashWrites.empty() || m_writingCrashes || now < m_crashPauseUntil)
        return;
    Transaction transaction;
    while (!m_crashWrites.empty() && transaction.writes.size() < MostWrites) {
        auto next = m_crashWrites.extract(m_crashWrites.begin());
        RowWrite row;
        row.table = std::string(CrashTable);
        row.key = std::move(next.key());
        row.value = std::move(next.mapped());
        transaction.writes.push_back(std::move(row));
    }
    m_writingCrashes = true;
    m_channel.call(StoreUse::OwnRow, m_protocol.commit(transaction), StoreCallWithin,
                   [this, writes = transaction.writes](const StoreAnswer &answer) {
                       m_writingCrashes = false;
                       crashesWritten(writes, answer.reply.kind == StoreReply::Kind::Done);
                   });
}

void Control::crashesWritten(const std::vector<RowWrite> &writes, bool done)
{
    const Time now = steadyNow();
    if (done) {
        m_crashFailures = 0;
        return writeCrashes(now);
    }
    logDecision(
        "quarantine", "not written",
        {{"records", std::int64_t(writes.size())}, {"failures", std::int64_t(m_crashFailures)}});
    m_crashPauseUntil = now + doubled(FirstPause, m_crashFailures, MostPause);
    m_crashFailures += 1;
    // What was to be written to the same row since is newer.
    for (const RowWrite &each : writes)
        m_crashWrites.try_emplace(each.key, each.value);
}

void Control::crashRows()
{
    std::vector<CrashRecord> all;
    const Time storeNow = bootNow() + m_storeOffset.value_or(Duration {});
    for (const StoreRow &row : m_server.state(NewsTable::Crashes).copy.all()) {
        const std::size_t slash = row.key.find('/');
        const auto atMs = endedAtMs(row);
        if (slash == std::string::npos || !atMs) {
            m_state.badRows += 1;
            continue;
        }
        const Duration age =
            std::max(Duration {}, storeNow.time_since_epoch() - Duration(*atMs * 1000));
        all.push_back({row.key.substr(0, slash), row.key.substr(slash + 1), steadyNow() - age});
    }
    logDecision("quarantine", "learnt", {{"records", std::int64_t(all.size())}});
    m_events.crashes(std::move(all));
}

} // namespace balsamloft
