#include "peerserver.h"

#include "../libpeer/newsrows.h"
#include "clock.h"

#include <charconv>

namespace balsamloft {

namespace {

constexpr auto ExpireEvery = std::chrono::milliseconds(100);
constexpr std::string_view Prefix = "/news/";

std::uint64_t milliseconds(Time time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count() / 1000);
}

/// Reads numbers that slashes separate.
template<std::size_t Count>
bool readNumbers(std::string_view text, std::array<std::uint64_t, Count> &numbers)
{
    for (std::uint64_t &number : numbers) {
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (parsed.ec != std::errc {})
            return false;
        text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
        if (text.starts_with('/'))
            text.remove_prefix(1);
    }
    return text.empty();
}

} // namespace

std::string updateTarget(const UpdateQuery &question)
{
    return std::string(Prefix) + std::to_string(question.table) + "/"
           + std::to_string(question.after) + "/" + std::to_string(question.wait.count() / 1000)
           + "/" + std::to_string(question.statesSinceMs) + "/"
           + std::to_string(question.changedWithin.count() / 1000);
}

void PeerServer::addPacked(const CompressedRows &packed, wire::TableNews &news)
{
    news.set_packed_rows(packed.bytes);
    news.set_packed_from(packed.from);
}

/// Thousands of rows as text are more than a small instance's link carries in a second,
/// and all that start together ask for them; their fields are much alike.
void PeerServer::addAllRows(std::size_t table, wire::TableNews &news) const
{
    const TableCopy &copy = m_states[table].copy;
    PackedTable &packed = m_packed[table];
    if (packed.version != copy.version() || packed.rows.bytes.empty())
        packed = {copy.version(), compressRows(copy.all())};
    addPacked(packed.rows, news);
}

PeerServer::PeerServer(boost::asio::io_context &context)
    : m_server(context, [this](std::string_view target,
                               SimpleHttpServer::Reply reply) { asked(target, std::move(reply)); })
    , m_timer(context)
{
}

bool PeerServer::listen(const std::string &address, Reason &reason)
{
    return m_server.listen(address, reason);
}

void PeerServer::asked(std::string_view target, SimpleHttpServer::Reply reply)
{
    std::array<std::uint64_t, 5> numbers {};
    if (!target.starts_with(Prefix) || !readNumbers(target.substr(Prefix.size()), numbers)
        || numbers[0] >= SharedTableCount)
        return reply({404, {}});
    const auto [table, after, waitMs, toldBeforeMs, changedWithinMs] = numbers;
    const TableState &state = m_states[table];
    const std::uint64_t nowMs = milliseconds(steadyNow());
    const std::uint64_t statesSinceMs = toldBeforeMs > 0 || changedWithinMs == 0
                                            ? toldBeforeMs
                                            : nowMs - std::min(nowMs, changedWithinMs);
    const bool known = state.copy.known();
    if (waitMs == 0 || (known && (state.copy.version() > after || after == 0)))
        return reply(answer(table, after, statesSinceMs));
    m_waiters.push_back({table, after, statesSinceMs, state.knownAt,
                         steadyNow() + Duration(waitMs * 1000), std::move(reply)});
    if (!std::exchange(m_timing, true))
        expire();
}

/// A table that is not known yet is no answer: its asker must not take it for empty.
HttpAnswer PeerServer::answer(std::size_t table, std::uint64_t after,
                              std::uint64_t statesSinceMs) const
{
    if (!m_states[table].copy.known())
        return {503, {}};
    return {200, news(table, after, statesSinceMs)};
}

std::string PeerServer::news(std::size_t table, std::uint64_t after,
                             std::uint64_t statesSinceMs) const
{
    const TableState &state = m_states[table];
    wire::TableNews news;
    auto rows = after == 0 ? std::nullopt : state.copy.since(after);
    news.set_whole(!rows);
    // Packed once for all who ask, also where the only row of a table has changed.
    if (!rows || (shouldCompress(*rows) && state.copy.isFullSnapshot(*rows)))
        addAllRows(table, news);
    else if (shouldCompress(*rows))
        addPacked(compressRows(*rows), news);
    else
        for (const StoreRow &row : *rows)
            putRow(row, *news.add_rows());
    news.set_version(state.copy.version());
    news.set_clock_ms(milliseconds(bootNow()));
    news.set_known_ms(milliseconds(state.knownAt));
    news.set_store_ms(static_cast<std::uint64_t>(state.storeMs));
    news.set_direct(state.direct);
    if (table == static_cast<std::size_t>(SharedTable::Endpoints))
        addEngines(statesSinceMs, news);
    return news.SerializeAsString();
}

void PeerServer::addReports(const EngineReports &reports)
{
    const Time now = steadyNow();
    for (const EngineState &state : reports.changed)
        m_engines.insert_or_assign(state.id, ToldEngine {state, now});
    for (const auto &[domain, at] : reports.asOf) {
        Time &asOf = m_asOf[domain];
        asOf = std::max(asOf, at);
    }
}

const EngineState *PeerServer::told(std::string_view id) const
{
    const auto it = m_engines.find(id);
    return it == m_engines.end() ? nullptr : &it->second.state;
}

void PeerServer::keepOnly(const FleetSnapshot &fleet)
{
    std::erase_if(m_engines, [&](const auto &each) { return !fleet.find(each.first); });
}

/// States of engines that the asker may not have been told yet; older ones, told again
/// with each answer, would fill a small instance's link.
void PeerServer::addEngines(std::uint64_t statesSinceMs, wire::TableNews &news) const
{
    const Time now = steadyNow();
    news.set_told_ms(milliseconds(now));
    // A time from another process, whose clock may have been ahead, says nothing.
    const bool known = statesSinceMs <= milliseconds(now);
    const auto ageMs = [now](Time at) {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - at).count() / 1000));
    };
    for (const auto &[domain, at] : m_asOf) {
        wire::DomainNews &each = *news.add_domains();
        each.set_domain(domain);
        each.set_age_ms(ageMs(at));
    }
    for (const auto &[id, told] : m_engines) {
        if (known && milliseconds(told.changedAt) < statesSinceMs)
            continue;
        const EngineState &engine = told.state;
        wire::EngineNews &each = *news.add_engines();
        each.set_id(engine.id);
        each.set_used(engine.used);
        each.set_active(engine.active);
        each.set_queued(engine.queued);
        each.set_pace(engine.slowdown);
        each.set_silent(engine.silent);
        each.set_age_ms(ageMs(engine.at));
    }
}

void PeerServer::storeLost()
{
    for (TableState &state : m_states)
        state.direct = false;
}

/// Whether those who asked when \a state was known as of \a then are told that it still is.
bool PeerServer::fresher(SharedTable table, const TableState &state, Time then)
{
    return (table == SharedTable::Configuration || table == SharedTable::Endpoints)
           && state.knownAt > then;
}

void PeerServer::changed(SharedTable table)
{
    const auto index = static_cast<std::size_t>(table);
    std::vector<Waiter> ready;
    std::erase_if(m_waiters, [&](Waiter &each) {
        const TableState &state = m_states[index];
        const bool now =
            each.table == index
            && (state.copy.version() > each.after || fresher(table, state, each.knownAt));
        if (now)
            ready.push_back(std::move(each));
        return now;
    });
    for (Waiter &each : ready)
        each.reply(answer(each.table, each.after, each.statesSinceMs));
}

void PeerServer::expire()
{
    const Time now = steadyNow();
    std::vector<Waiter> over;
    std::erase_if(m_waiters, [&](Waiter &each) {
        const bool expired = now >= each.until;
        if (expired)
            over.push_back(std::move(each));
        return expired;
    });
    for (Waiter &each : over)
        each.reply(answer(each.table, each.after, each.statesSinceMs));
    m_timing = !m_waiters.empty();
    if (!m_timing)
        return;
    m_timer.expires_after(ExpireEvery);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            expire();
    });
}

} // namespace balsamloft
