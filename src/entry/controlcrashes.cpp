// The part of Control that maintains the table of trials and of crashes during requests.

#include "../libpeer/noticecodec.h"
#include "clock.h"
#include "control.h"
#include "decisionlog.h"
#include "rowfields.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr std::size_t MaxWritesPerTransaction = 100; ///< limit of the store
constexpr Duration NoticeTimeout {500'000};
constexpr std::size_t MaxPendingWrites = 1000; ///< kept while the store is down
/// Pause after a failed write; doubles with each further failure.
constexpr Duration InitialRetryPause {300'000};
constexpr Duration MaxRetryPause {5'000'000};

std::string crashKey(const CrashRecord &record)
{
    return record.digest + "/" + record.endpoint;
}

std::string trialText(const TrialRow &row)
{
    return json::serialize(json::object {{"at", row.counterpart},
                                         {"by", row.holder},
                                         {"until_ms", toMilliseconds(row.until)},
                                         {"tries", row.trials}});
}

std::string crashText(std::int64_t atMs, const std::string &by)
{
    return json::serialize(json::object {{"at_ms", atMs}, {"by", by}});
}

/// Returns the crash that the row records, with the time of the crash on the store's clock.
std::optional<CrashRecord> parseCrash(const StoreRow &row)
{
    const std::size_t slash = row.key.find('/');
    const auto object = parseRow(row);
    const auto atMs = object ? numberField(*object, "at_ms") : std::nullopt;
    if (slash == std::string::npos || !atMs)
        return std::nullopt;
    return CrashRecord {row.key.substr(0, slash), row.key.substr(slash + 1),
                        timeFromMilliseconds(*atMs)};
}

} // namespace

std::optional<TrialRow> parseTrial(const StoreRow &row, std::uint64_t era)
{
    const auto object = parseRow(row);
    if (!object)
        return std::nullopt;
    const auto at = textField(*object, "at");
    const auto holder = textField(*object, "by");
    const auto until = numberField(*object, "until_ms");
    const auto tries = numberField(*object, "tries");
    if (!at || !holder || !until || !tries || *tries < 0)
        return std::nullopt;
    return TrialRow {row.key, StoreVersion {era, row.version}, *at,
                     *holder, timeFromMilliseconds(*until),    static_cast<std::uint32_t>(*tries)};
}

void Control::publishCrashes(const CrashUpdate &update)
{
    m_crashGossip.publish(update, steadyNow());
    m_events.crashes(m_crashGossip.records());
    sendCrashNotices();
    queueCrashWrites(update);
}

void Control::crashNoticesReceived(std::span<const CrashNotice> notices)
{
    m_state.crashNotices += notices.size();
    if (!m_crashGossip.receive(notices, steadyNow()))
        return;
    std::vector<CrashRecord> records = m_crashGossip.records();
    logDecision(
        "quarantine", "learnt from instance",
        {{"notices", std::int64_t(notices.size())}, {"records", std::int64_t(records.size())}});
    m_events.crashes(std::move(records));
    sendCrashNotices();
}

void Control::sendCrashNotices()
{
    const Time now = steadyNow();
    const auto message = m_crashGossip.takeMessage(m_instances, now);
    if (!message)
        return;
    // What is lost is not repeated: the other recipients send it on.
    const OutgoingCall call {"POST", std::string(NoticeTarget),
                             encodeNotices(message->notices, now), "Connection: close"};
    for (const PeerInstance &each : message->recipients)
        startCall(m_peers, each.name, each.address, call, NoticeTimeout,
                  [](const CallOutcome &) {});
}

/// Queues the writes of \a update to the store.
void Control::queueCrashWrites(const CrashUpdate &update)
{
    if (!m_storeOffset) {
        m_unpublishedCrashes.added.insert(m_unpublishedCrashes.added.end(), update.added.begin(),
                                          update.added.end());
        return;
    }
    for (const CrashRecord &each : update.added) {
        const Time bootTime = bootNow() - (steadyNow() - each.at);
        m_pendingCrashWrites[crashKey(each)] =
            crashText(toMilliseconds(bootTime + *m_storeOffset), m_settings.name);
    }
    for (const CrashRecord &each : update.removed)
        m_pendingCrashWrites[crashKey(each)] = std::nullopt;
    for (std::string &key : m_trialPermits.expiredKeys(storeNow()))
        m_pendingCrashWrites[std::move(key)] = std::nullopt;
    while (m_pendingCrashWrites.size() > MaxPendingWrites)
        m_pendingCrashWrites.erase(m_pendingCrashWrites.begin());
    writeCrashes(steadyNow());
}

/// Writes pending crash records, and retries those whose last write failed. Records must survive a
/// crash of this instance, because instances that start later need them.
void Control::writeCrashes(Time now)
{
    if (m_storeOffset && !m_unpublishedCrashes.empty())
        queueCrashWrites(std::exchange(m_unpublishedCrashes, {}));
    if (m_pendingCrashWrites.empty() || m_writingCrashes || now < m_crashPauseUntil)
        return;
    Transaction transaction;
    while (!m_pendingCrashWrites.empty() && transaction.writes.size() < MaxWritesPerTransaction) {
        auto next = m_pendingCrashWrites.extract(m_pendingCrashWrites.begin());
        RowWrite row;
        row.table = std::string(CrashTable);
        row.key = std::move(next.key());
        row.value = std::move(next.mapped());
        transaction.writes.push_back(std::move(row));
    }
    m_writingCrashes = true;
    m_crashChannel.call(StoreUse::OwnRow, m_protocol.commitCall(transaction), StoreCallTimeout,
                        [this, writes = transaction.writes](const StoreAnswer &answer) {
                            m_writingCrashes = false;
                            noticeEra();
                            crashWriteFinished(writes, answer.reply.kind == StoreReply::Kind::Done);
                        });
}

void Control::crashWriteFinished(const std::vector<RowWrite> &writes, bool done)
{
    const Time now = steadyNow();
    if (done) {
        m_crashFailures = 0;
        for (const RowWrite &each : writes)
            if (m_unreadCrashWrites.size() < MaxPendingWrites)
                m_unreadCrashWrites.insert_or_assign(each.key, each.value);
        return writeCrashes(now);
    }
    logDecision(
        "quarantine", "not written",
        {{"records", std::int64_t(writes.size())}, {"failures", std::int64_t(m_crashFailures)}});
    m_crashPauseUntil = now + exponentialBackoff(InitialRetryPause, m_crashFailures, MaxRetryPause);
    m_crashFailures += 1;
    // If a newer write to the same row was queued meanwhile, the newer write is kept.
    for (const RowWrite &each : writes)
        m_pendingCrashWrites.try_emplace(each.key, each.value);
}

void Control::applyCrashRows()
{
    std::vector<CrashRecord> crashes;
    std::vector<TrialRow> trials;
    const TableCopy &copy = m_server.state(SharedTable::Crashes).copy;
    std::erase_if(m_unreadCrashWrites, [&copy](const auto &each) {
        return copy.contains(each.first) == each.second.has_value();
    });
    for (const StoreRow &row : copy.rows()) {
        if (isTrialKey(row.key)) {
            if (auto trial = parseTrial(row, copy.version().era))
                trials.push_back(std::move(*trial));
            else
                m_state.invalidRows += 1;
        } else if (auto crash = parseCrash(row)) {
            crashes.push_back(std::move(*crash));
        } else {
            m_state.invalidRows += 1;
        }
    }
    m_trialPermits.setRows(std::move(trials), crashes);
    const Time now = steadyNow();
    for (CrashRecord &each : crashes)
        each.at = now - std::max(Duration {}, storeNow() - each.at);
    logDecision("quarantine", "learnt",
                {{"records", std::int64_t(crashes.size())},
                 {"trials", std::int64_t(m_trialPermits.rows().size())}});
    m_crashGossip.setStored(std::move(crashes));
    m_events.crashes(m_crashGossip.records());
}

Time Control::storeNow() const
{
    return bootNow() + m_storeOffset.value_or(Duration {});
}

void Control::requestTrial(const TrialRequest &request, std::function<void(TrialAnswer)> answered)
{
    if (!m_storeOffset || !m_directory.storeUsable(steadyNow()))
        return answered(m_trialPermits.answerWithoutStore(request));
    noticeEra();
    if (const auto refused = m_trialPermits.refusalAfterRestore(steadyNow()))
        return answered(*refused);
    auto decision = m_trialPermits.decide(request, *m_fleetSnapshot, storeNow());
    if (const auto *refused = std::get_if<TrialAnswer>(&decision))
        return answered(*refused);
    const Time requestedAt = bootNow();
    TrialChange change = std::get<TrialChange>(std::move(decision));
    writeTrial(change,
               [this, request, change, requestedAt, answered = std::move(answered)](bool done) {
                   TrialAnswer answer = m_trialPermits.answer(request, change, done, storeNow());
                   answer.validFor -= std::min(answer.validFor, bootNow() - requestedAt);
                   logDecision("quarantine", answer.granted ? "trial permitted" : "trial refused",
                               {{"digest", std::string_view(request.digest)},
                                {"endpoint", std::string_view(request.endpoint)},
                                {"wait_ms", answer.wait.count() / 1000}});
                   answered(answer);
               });
}

void Control::writeTrial(const TrialChange &change, std::function<void(bool done)> written)
{
    Transaction transaction;
    const std::uint64_t era = m_eras.era();
    bool outdated = false;
    const auto put = [&](const TrialRow &row, std::optional<std::string> value) {
        // In another era, another row may have the number that the condition names.
        outdated = outdated || (row.version.known() && row.version.era != era);
        transaction.checks.push_back({std::string(CrashTable), row.key, row.version.number});
        transaction.writes.push_back({std::string(CrashTable), row.key, std::move(value)});
    };
    for (const TrialRow &each : change.rows)
        put(each, trialText(each));
    for (const TrialRow &each : change.removed)
        put(each, std::nullopt);
    if (outdated)
        return written(false);
    if (change.crash)
        transaction.writes.push_back(
            {std::string(CrashTable), crashKey(*change.crash),
             crashText(toMilliseconds(change.crash->at), m_settings.name)});
    m_crashChannel.call(
        StoreUse::OwnRow, m_protocol.commitCall(transaction), StoreCallTimeout,
        [this, change, era, written = std::move(written)](const StoreAnswer &answer) {
            const StoreReply &reply = answer.reply;
            const bool done = reply.kind == StoreReply::Kind::Done && reply.era == era;
            std::vector<TrialRow> found;
            if (reply.kind == StoreReply::Kind::Conflict)
                for (const StoreRow &row : reply.rows)
                    if (auto trial = parseTrial(row, reply.era))
                        found.push_back(std::move(*trial));
            m_trialPermits.recordWrite(change, done, {reply.era, reply.version}, found);
            written(done);
        });
}

void Control::finishTrial(const FinishTrial &trial)
{
    const auto change = m_trialPermits.release(trial.digest, trial.endpoint, trial.outcome);
    if (!change)
        return;
    writeTrial(*change, [digest = trial.digest](bool done) {
        logDecision("quarantine", done ? "trial over" : "trial not given back",
                    {{"digest", std::string_view(digest)}});
    });
}

} // namespace balsamloft
