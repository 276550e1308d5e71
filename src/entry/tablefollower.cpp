#include "tablefollower.h"

#include "clock.h"
#include "decisionlog.h"

namespace balsamloft {

TableFollower::TableFollower(boost::asio::io_context &context, const std::string &address,
                             const EntryProtocol &protocol, EntryState &state,
                             FollowerSettings settings, TableEvents events)
    : m_protocol(protocol)
    , m_settings(std::move(settings))
    , m_events(std::move(events))
    , m_channel(context, address, protocol, state)
    , m_timer(context)
{
}

void TableFollower::start()
{
    readPage({});
}

void TableFollower::later(Duration pause, std::function<void()> what)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([what = std::move(what)](const boost::system::error_code &error) {
        if (!error)
            what();
    });
}

void TableFollower::lost(std::string_view why)
{
    m_failures += 1;
    if (std::exchange(m_well, false))
        logDecision("store", "lost",
                    {{"table", std::string_view(m_settings.table)}, {"reason", why}});
}

void TableFollower::regained()
{
    if (!std::exchange(m_well, true))
        logDecision("store", "regained",
                    {{"table", std::string_view(m_settings.table)},
                     {"failures", std::int64_t(m_failures)}});
    m_failures = 0;
}

void TableFollower::readPage(const std::string &from)
{
    if (from.empty())
        m_pages.clear();
    m_channel.call(m_protocol.read(m_settings.table, from), m_settings.answerWithin,
                   [this, from](StoreAnswer answer) { pageArrived(std::move(answer), from); });
}

void TableFollower::pageArrived(StoreAnswer answer, const std::string &from)
{
    if (answer.reply.kind != StoreReply::Kind::Done) {
        lost("not read");
        return later(m_settings.retry, [this] { readPage({}); });
    }
    regained();
    if (from.empty())
        m_firstVersion = answer.reply.version;
    for (StoreRow &row : answer.reply.rows)
        if (m_pages.empty() || m_pages.back().key < row.key)
            m_pages.push_back(std::move(row));
    if (answer.reply.more && !m_pages.empty() && m_pages.back().key != from)
        return readPage(m_pages.back().key);
    // Changes made while the pages were read come again; that does no harm.
    m_version = m_firstVersion;
    m_events.whole(m_pages);
    m_pages.clear();
    m_events.heard(answer);
    watch();
}

void TableFollower::watch()
{
    m_channel.call(m_protocol.watch(m_settings.table, m_version, m_settings.wait),
                   m_settings.wait + m_settings.answerWithin,
                   [this](StoreAnswer answer) { changesArrived(std::move(answer)); });
}

void TableFollower::changesArrived(StoreAnswer answer)
{
    switch (answer.reply.kind) {
    case StoreReply::Kind::Done:
        regained();
        if (!answer.reply.rows.empty())
            m_events.changed(answer.reply.rows);
        m_version = std::max(m_version, answer.reply.version);
        m_events.heard(answer);
        if (m_settings.pace > Duration {} && !answer.reply.rows.empty())
            return later(m_settings.pace, [this] { watch(); });
        return watch();
    case StoreReply::Kind::HistoryGone:
        logDecision("store", "history gone", {{"table", std::string_view(m_settings.table)}});
        return readPage({});
    default:
        lost("no changes heard");
        // Read anew: what was missed may not be in the history any more.
        return later(m_settings.retry, [this] { readPage({}); });
    }
}

} // namespace balsamloft
