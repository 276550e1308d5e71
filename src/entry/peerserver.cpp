#include "peerserver.h"

#include "../libpeer/entrynews.pb.h"
#include "clock.h"

#include <charconv>

namespace balsamloft {

namespace {

constexpr auto ExpireEvery = std::chrono::milliseconds(100);
constexpr std::string_view Prefix = "/news/";

/// Reports of engines in other domains come late by about this much, and are told on
/// with the time at which they were true.
constexpr std::uint64_t NewsOverlapMs = 1'500;

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

std::string newsTarget(std::size_t table, std::uint64_t after, Duration wait, std::uint64_t toldMs)
{
    return std::string(Prefix) + std::to_string(table) + "/" + std::to_string(after) + "/"
           + std::to_string(wait.count() / 1000) + "/" + std::to_string(toldMs);
}

PeerServer::PeerServer(boost::asio::io_context &context)
    : m_server(context, [this](std::string_view target,
                               TextServer::Reply reply) { asked(target, std::move(reply)); })
    , m_timer(context)
{
}

bool PeerServer::listen(const std::string &address, Reason &reason)
{
    return m_server.listen(address, reason);
}

void PeerServer::asked(std::string_view target, TextServer::Reply reply)
{
    std::array<std::uint64_t, 4> numbers {};
    if (!target.starts_with(Prefix) || !readNumbers(target.substr(Prefix.size()), numbers)
        || numbers[0] >= NewsTableCount)
        return reply({404, {}});
    const auto [table, after, waitMs, toldMs] = numbers;
    const NewsState &state = m_states[table];
    const bool known = state.copy.known();
    if (waitMs == 0 || (known && (state.copy.version() > after || after == 0)))
        return reply(answer(table, after, toldMs));
    m_waiters.push_back(
        {table, after, toldMs, steadyNow() + Duration(waitMs * 1000), std::move(reply)});
    if (!std::exchange(m_timing, true))
        expire();
}

/// A table that is not known yet is no answer: its asker must not take it for empty.
TextAnswer PeerServer::answer(std::size_t table, std::uint64_t after, std::uint64_t toldMs) const
{
    if (!m_states[table].copy.known())
        return {503, {}};
    return {200, news(table, after, toldMs)};
}

std::string PeerServer::news(std::size_t table, std::uint64_t after, std::uint64_t toldMs) const
{
    const NewsState &state = m_states[table];
    wire::TableNews news;
    auto rows = after == 0 ? std::nullopt : state.copy.since(after);
    news.set_whole(!rows);
    for (const StoreRow &row : rows ? *rows : state.copy.all()) {
        wire::NewsRow &each = *news.add_rows();
        each.set_key(row.key);
        each.set_value(row.value);
        each.set_version(row.version);
        each.set_dropped(row.dropped);
    }
    news.set_version(state.copy.version());
    news.set_clock_ms(milliseconds(bootNow()));
    news.set_known_ms(milliseconds(state.knownAt));
    news.set_store_ms(static_cast<std::uint64_t>(state.storeMs));
    news.set_direct(state.direct);
    if (table == static_cast<std::size_t>(NewsTable::Endpoints))
        addEngines(toldMs, news);
    return news.SerializeAsString();
}

/// States of engines that the asker may not have been told yet; older ones, told again
/// with each answer, would fill a small instance's link.
void PeerServer::addEngines(std::uint64_t toldMs, wire::TableNews &news) const
{
    const Time now = steadyNow();
    news.set_told_ms(milliseconds(now));
    // A time from another process, whose clock may have been ahead, says nothing.
    const bool known = toldMs <= milliseconds(now);
    for (const EngineState &engine : m_engines) {
        if (known && milliseconds(engine.at) + NewsOverlapMs < toldMs)
            continue;
        wire::EngineNews &each = *news.add_engines();
        each.set_id(engine.id);
        each.set_used(engine.used);
        each.set_active(engine.active);
        each.set_queued(engine.queued);
        each.set_pace(engine.pace);
        each.set_silent(engine.silent);
        each.set_age_ms(static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, (now - engine.at).count() / 1000)));
    }
}

void PeerServer::storeLost()
{
    for (NewsState &state : m_states)
        state.direct = false;
}

void PeerServer::changed(NewsTable table)
{
    const auto index = static_cast<std::size_t>(table);
    std::vector<Waiter> ready;
    std::erase_if(m_waiters, [&](Waiter &each) {
        const bool now = each.table == index && m_states[index].copy.version() > each.after;
        if (now)
            ready.push_back(std::move(each));
        return now;
    });
    for (Waiter &each : ready)
        each.reply(answer(each.table, each.after, each.toldMs));
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
        each.reply(answer(each.table, each.after, each.toldMs));
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
