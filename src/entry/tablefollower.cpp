#include "tablefollower.h"

#include "clock.h"
#include "decisionlog.h"

namespace balsamloft {

namespace {

std::string_view nameOf(const TableSource &source)
{
    return source.isStore() ? std::string_view("store") : std::string_view(source.peer());
}

} // namespace

FollowerTimer timerOf(boost::asio::io_context &context)
{
    return [timer = std::make_shared<boost::asio::steady_timer>(context)](
               Duration pause, std::function<void()> callback) {
        timer->expires_after(pause);
        timer->async_wait([callback = std::move(callback)](const boost::system::error_code &error) {
            if (!error)
                callback();
        });
    };
}

TableFollower::TableFollower(FollowerTimer timer, FollowerSettings settings, TableEvents events)
    : m_settings(std::move(settings))
    , m_events(std::move(events))
    , m_timer(std::move(timer))
{
}

void TableFollower::start()
{
    watch();
}

void TableFollower::sourceFailed(const TableSource &source, bool answered)
{
    m_failures += 1;
    m_events.failed(source, answered);
    if (std::exchange(m_sourceHealthy, false))
        logDecision("store", "lost",
                    {{"table", std::string_view(m_settings.table)}, {"from", nameOf(source)}});
}

void TableFollower::sourceSucceeded(const TableSource &source)
{
    if (!std::exchange(m_sourceHealthy, true) || m_lastPeer != source.peer())
        logDecision("store", "read from",
                    {{"table", std::string_view(m_settings.table)},
                     {"from", nameOf(source)},
                     {"failures", std::int64_t(m_failures)}});
    m_lastPeer = source.peer();
    m_failures = 0;
}

void TableFollower::watch()
{
    const SourceChoice choice = m_events.chooseSource();
    TableSource *source = choice.source;
    if (!source)
        return m_timer(m_settings.retryInterval, [this] { watch(); });
    if (!m_version.known())
        return readPage({}, *source, choice.noWait);
    Duration wait = source->isStore() ? m_settings.storeWait : m_settings.peerWait;
    if (choice.noWait)
        wait = Duration {};
    m_waitingFor = source;
    source->watch(m_version, wait, [this, source](TableAnswer answer) {
        m_waitingFor = nullptr;
        changesReceived(std::move(answer), *source);
    });
}

void TableFollower::eraBegan()
{
    // Another instance answers as soon as it has rows of the new era.
    if (!m_waitingFor || !m_waitingFor->isStore())
        return;
    std::exchange(m_waitingFor, nullptr)->cancel();
    watch();
}

void TableFollower::readPage(const std::string &from, TableSource &source, bool noWait)
{
    if (from.empty())
        m_snapshotRows.clear();
    source.read(from, noWait ? Duration {} : m_settings.firstPeerWait,
                [this, from, &source](TableAnswer answer) {
                    pageReceived(std::move(answer), from, source);
                });
}

void TableFollower::pageReceived(TableAnswer answer, const std::string &from, TableSource &source)
{
    // Another instance may send data older than a version this instance has already had, for
    // example because the other instance cannot read the store. Such data would list endpoints that
    // have since left, and they would receive requests.
    const bool outdated = !source.isStore() && answer.version() < m_newestVersion;
    if (answer.reply.kind != StoreReply::Kind::Done || outdated) {
        sourceFailed(source, answer.answered);
        return watch();
    }
    sourceSucceeded(source);
    if (from.empty())
        m_firstPageVersion = answer.version();
    // Pages of two eras are not one snapshot.
    if (answer.reply.era != m_firstPageVersion.era)
        return readPage({}, source);
    for (StoreRow &row : answer.reply.rows)
        if (m_snapshotRows.empty() || m_snapshotRows.back().key < row.key)
            m_snapshotRows.push_back(std::move(row));
    if (answer.reply.more && !m_snapshotRows.empty() && m_snapshotRows.back().key != from)
        return readPage(m_snapshotRows.back().key, source);
    // The follower continues from the version of the first page. Changes made while the pages were
    // read are therefore received again, which is harmless.
    m_version = m_firstPageVersion;
    m_newestVersion = std::max(m_newestVersion, m_version);
    m_events.snapshot(m_snapshotRows, m_version, answer);
    m_snapshotRows.clear();
    m_events.answered(source, answer);
    // A store in which nothing was ever written has no version to wait for a change of.
    if (!m_version.known())
        return m_timer(m_settings.retryInterval, [this] { watch(); });
    watch();
}

void TableFollower::changesReceived(TableAnswer answer, const TableSource &source)
{
    switch (answer.reply.kind) {
    case StoreReply::Kind::Done: {
        if (answer.reply.era < m_newestVersion.era) {
            sourceFailed(source, answer.answered);
            return watch();
        }
        sourceSucceeded(source);
        if (answer.reply.era > m_version.era && !answer.isSnapshot) {
            logDecision("store", "era began",
                        {{"table", std::string_view(m_settings.table)},
                         {"from", nameOf(source)},
                         {"era", std::int64_t(answer.reply.era)},
                         {"version", std::int64_t(answer.reply.version)},
                         {"former_era", std::int64_t(m_version.era)},
                         {"former_version", std::int64_t(m_version.number)}});
            m_version = {};
            return watch();
        }
        const bool hasChanges = !answer.reply.rows.empty();
        // An answer without changes does not advance the version. A store that is about to drop its
        // history may hold back changes and still report its newest version. A follower that
        // continued from the newest version would miss these changes and use old rows until the
        // next change. If it queries from the old version, the store reports HistoryExpired.
        if (hasChanges || answer.isSnapshot)
            m_version = std::max(m_version, answer.version());
        m_newestVersion = std::max(m_newestVersion, m_version);
        if (answer.isSnapshot)
            m_events.snapshot(answer.reply.rows, m_version, answer);
        else if (hasChanges)
            m_events.changed(answer.reply.rows, m_version, answer);
        m_events.answered(source, answer);
        const bool soon = m_events.needsChangesSoon && m_events.needsChangesSoon();
        const Duration minInterval = soon               ? m_settings.retryInterval
                                     : source.isStore() ? m_settings.minInterval
                                                        : m_settings.peerMinInterval;
        if (minInterval > Duration {} && hasChanges)
            return m_timer(minInterval, [this] { watch(); });
        return watch();
    }
    case StoreReply::Kind::HistoryExpired:
        logDecision("store", "history gone", {{"table", std::string_view(m_settings.table)}});
        m_version = {};
        return watch();
    default:
        sourceFailed(source, answer.answered);
        // After a failure of the store a snapshot is read, since the missed changes may no longer
        // be in the store's history. Another instance sends a snapshot without being asked if its
        // history is too short.
        if (source.isStore())
            m_version = {};
        watch();
    }
}

} // namespace balsamloft
