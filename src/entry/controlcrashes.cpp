// The part of Control that keeps the table of requests under which endpoints ended.

#include "clock.h"
#include "control.h"
#include "decisionlog.h"
#include "rowfields.h"

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

/// Nothing when another writer than an instance wrote the row.
std::optional<TrialRow> trialOf(const StoreRow &row)
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
    return TrialRow {row.key,
                     row.version,
                     *at,
                     *holder,
                     timeFromMilliseconds(*until),
                     static_cast<std::uint32_t>(*tries)};
}

std::string valueOf(const TrialRow &row)
{
    return json::serialize(json::object {{"at", row.counterpart},
                                         {"by", row.holder},
                                         {"until_ms", toMilliseconds(row.until)},
                                         {"tries", row.trials}});
}

std::string textOfEnd(std::int64_t atMs, const std::string &by)
{
    return json::serialize(json::object {{"at_ms", atMs}, {"by", by}});
}

/// The end that a row tells, on the store's clock.
std::optional<CrashRecord> crashOf(const StoreRow &row)
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

void Control::publishCrashes(const CrashUpdate &news)
{
    if (!m_storeOffset) {
        m_unpublishedCrashes.added.insert(m_unpublishedCrashes.added.end(), news.added.begin(),
                                          news.added.end());
        return;
    }
    for (const CrashRecord &each : news.added) {
        const Time bootTime = bootNow() - (steadyNow() - each.at);
        m_crashWrites[keyOf(each)] =
            textOfEnd(toMilliseconds(bootTime + *m_storeOffset), m_settings.name);
    }
    for (const CrashRecord &each : news.removed)
        m_crashWrites[keyOf(each)] = std::nullopt;
    for (std::string &key : m_trials.expiredKeys(storeNow()))
        m_crashWrites[std::move(key)] = std::nullopt;
    while (m_crashWrites.size() > MostWaiting)
        m_crashWrites.erase(m_crashWrites.begin());
    writeCrashes(steadyNow());
}

/// What could not be written is written later: after this instance has ended too, its
/// successors must know.
void Control::writeCrashes(Time now)
{
    if (m_storeOffset && !m_unpublishedCrashes.empty())
        publishCrashes(std::exchange(m_unpublishedCrashes, {}));
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
    m_crashChannel.call(StoreUse::OwnRow, m_protocol.commit(transaction), StoreCallTimeout,
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
    m_crashPauseUntil = now + exponentialBackoff(FirstPause, m_crashFailures, MostPause);
    m_crashFailures += 1;
    // What was to be written to the same row since is newer.
    for (const RowWrite &each : writes)
        m_crashWrites.try_emplace(each.key, each.value);
}

void Control::crashRows()
{
    std::vector<CrashRecord> crashes;
    std::vector<TrialRow> trials;
    for (const StoreRow &row : m_server.state(SharedTable::Crashes).copy.all()) {
        if (isTrialKey(row.key)) {
            if (auto trial = trialOf(row))
                trials.push_back(std::move(*trial));
            else
                m_state.badRows += 1;
        } else if (auto crash = crashOf(row)) {
            crashes.push_back(std::move(*crash));
        } else {
            m_state.badRows += 1;
        }
    }
    m_trials.setRows(std::move(trials), crashes);
    const Time now = steadyNow();
    for (CrashRecord &each : crashes)
        each.at = now - std::max(Duration {}, storeNow() - each.at);
    logDecision("quarantine", "learnt",
                {{"records", std::int64_t(crashes.size())},
                 {"trials", std::int64_t(m_trials.rows().size())}});
    m_events.crashes(std::move(crashes));
}

Time Control::storeNow() const
{
    return bootNow() + m_storeOffset.value_or(Duration {});
}

void Control::requestTrial(const TrialRequest &request, std::function<void(TrialAnswer)> answered)
{
    constexpr Duration WithoutStore {2'000'000};
    if (!m_storeOffset || !m_directory.storeUsable(steadyNow()))
        return answered({.wait = WithoutStore});
    auto decision = m_trials.decide(request, *m_fleetNow, storeNow());
    if (const auto *refused = std::get_if<TrialAnswer>(&decision))
        return answered(*refused);
    const Time askedAt = bootNow();
    TrialChange change = std::get<TrialChange>(std::move(decision));
    writeTrial(change, [this, request, change, askedAt, answered = std::move(answered)](bool done) {
        TrialAnswer answer = m_trials.answer(request, change, done, storeNow());
        answer.validFor -= std::min(answer.validFor, bootNow() - askedAt);
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
    const auto put = [&](const TrialRow &row, std::optional<std::string> value) {
        transaction.checks.push_back({std::string(CrashTable), row.key, row.version});
        transaction.writes.push_back({std::string(CrashTable), row.key, std::move(value)});
    };
    for (const TrialRow &each : change.rows)
        put(each, valueOf(each));
    for (const TrialRow &each : change.removed)
        put(each, std::nullopt);
    if (change.crash)
        transaction.writes.push_back(
            {std::string(CrashTable), keyOf(*change.crash),
             textOfEnd(toMilliseconds(change.crash->at), m_settings.name)});
    m_crashChannel.call(StoreUse::OwnRow, m_protocol.commit(transaction), StoreCallTimeout,
                        [this, change, written = std::move(written)](const StoreAnswer &answer) {
                            const bool done = answer.reply.kind == StoreReply::Kind::Done;
                            std::vector<TrialRow> found;
                            for (const StoreRow &row : answer.reply.rows)
                                if (auto trial = done ? std::nullopt : trialOf(row))
                                    found.push_back(std::move(*trial));
                            m_trials.recordWrite(change, done, answer.reply.version, found);
                            written(done);
                        });
}

void Control::finishTrial(const FinishTrial &ended)
{
    const auto change = m_trials.release(ended.digest, ended.outcome);
    if (!change)
        return;
    writeTrial(*change, [digest = ended.digest](bool done) {
        logDecision("quarantine", done ? "trial over" : "trial not given back",
                    {{"digest", std::string_view(digest)}});
    });
}

} // namespace balsamloft
