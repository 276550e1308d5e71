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

TableFollower::TableFollower(boost::asio::io_context &context, FollowerSettings settings,
                             TableEvents events)
    : m_settings(std::move(settings))
    , m_events(std::move(events))
    , m_timer(context)
{
}

void TableFollower::start()
{
    watch();
}

void TableFollower::later(Duration pause, std::function<void()> what)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([what = std::move(what)](const boost::system::error_code &error) {
        if (!error)
            what();
    });
}

void TableFollower::lost(const TableSource &source, bool answered)
{
    m_failures += 1;
    m_events.failed(source, answered);
    if (std::exchange(m_well, false))
        logDecision("store", "lost",
                    {{"table", std::string_view(m_settings.table)}, {"from", nameOf(source)}});
}

void TableFollower::regained(const TableSource &source)
{
    if (!std::exchange(m_well, true) || m_lastPeer != source.peer())
        logDecision("store", "read from",
                    {{"table", std::string_view(m_settings.table)},
                     {"from", nameOf(source)},
                     {"failures", std::int64_t(m_failures)}});
    m_lastPeer = source.peer();
    m_failures = 0;
}

void TableFollower::watch()
{
    const SourceChoice choice = m_events.source();
    TableSource *source = choice.source;
    if (!source)
        return later(m_settings.retry, [this] { watch(); });
    if (m_version == 0)
        return readPage({}, *source);
    Duration wait = source->isStore() ? m_settings.storeWait : m_settings.peerWait;
    if (choice.atOnce)
        wait = Duration {};
    source->watch(m_version, wait, [this, source](TableAnswer answer) {
        changesArrived(std::move(answer), *source);
    });
}

void TableFollower::readPage(const std::string &from, TableSource &source)
{
    if (from.empty())
        m_pages.clear();
    source.read(from, m_settings.firstPeerWait, [this, from, &source](TableAnswer answer) {
        pageArrived(std::move(answer), from, source);
    });
}

void TableFollower::pageArrived(TableAnswer answer, const std::string &from, TableSource &source)
{
    // An instance that knows less than this one once did: it may lack the store.
    // Taken over, what left since would be back for a while, and get new work.
    const bool outdated = !source.isStore() && answer.reply.version < m_reached;
    if (answer.reply.kind != StoreReply::Kind::Done || outdated) {
        lost(source, answer.answered);
        return watch();
    }
    regained(source);
    if (from.empty())
        m_firstVersion = answer.reply.version;
    for (StoreRow &row : answer.reply.rows)
        if (m_pages.empty() || m_pages.back().key < row.key)
            m_pages.push_back(std::move(row));
    if (answer.reply.more && !m_pages.empty() && m_pages.back().key != from)
        return readPage(m_pages.back().key, source);
    // Changes made while the pages were read come again; that does no harm.
    m_version = m_firstVersion;
    m_reached = std::max(m_reached, m_version);
    m_events.whole(m_pages, m_version, answer);
    m_pages.clear();
    m_events.heard(source, answer);
    watch();
}

void TableFollower::changesArrived(TableAnswer answer, const TableSource &source)
{
    switch (answer.reply.kind) {
    case StoreReply::Kind::Done: {
        regained(source);
        const bool news = !answer.reply.rows.empty();
        // An answer without changes moves nothing on. A store that is about to drop
        // its history may hold changes back and yet tell its newest version: who
        // went on from there would miss them, and serve callers by what was before,
        // until the next change. From the old version it says that history is gone.
        if (news || answer.whole)
            m_version = std::max(m_version, answer.reply.version);
        m_reached = std::max(m_reached, m_version);
        if (answer.whole)
            m_events.whole(answer.reply.rows, m_version, answer);
        else if (news)
            m_events.changed(answer.reply.rows, m_version, answer);
        m_events.heard(source, answer);
        const Duration minInterval =
            source.isStore() ? m_settings.minInterval : m_settings.peerMinInterval;
        if (minInterval > Duration {} && news)
            return later(minInterval, [this] { watch(); });
        return watch();
    }
    case StoreReply::Kind::HistoryExpired:
        logDecision("store", "history gone", {{"table", std::string_view(m_settings.table)}});
        m_version = 0;
        return watch();
    default:
        lost(source, answer.answered);
        // The store is read anew: what was missed may not be in its history any
        // more. Another instance's copy says itself how far back it reaches.
        if (source.isStore())
            m_version = 0;
        watch();
    }
}

} // namespace balsamloft
