#include "peerserver.h"

#include "../libpeer/noticecodec.h"
#include "../libpeer/rowcodec.h"
#include "../libpeer/statecodec.h"
#include "clock.h"

#include <charconv>

namespace balsamloft {

namespace {

constexpr auto ExpireInterval = std::chrono::milliseconds(100);
constexpr std::string_view TargetPrefix = "/news/";

std::uint64_t milliseconds(Time time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count() / 1000);
}

/// Parses numbers separated by slashes.
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

std::string updateTarget(const UpdateQuery &query)
{
    return std::string(TargetPrefix) + std::to_string(query.table) + "/"
           + std::to_string(query.after) + "/" + std::to_string(query.wait.count() / 1000) + "/"
           + std::to_string(query.statesSinceMs) + "/"
           + std::to_string(query.changedWithin.count() / 1000);
}

void PeerServer::addCompressed(const CompressedRows &compressed, wire::TableNews &update)
{
    update.set_packed_rows(compressed.bytes);
    update.set_packed_from(compressed.uncompressedSize);
}

/// Adds a snapshot of the table, which is compressed once for all queries. As text, thousands of
/// similar rows exceed what the link of a small instance transfers in a second, and instances that
/// start together all query them.
void PeerServer::addAllRows(std::size_t table, wire::TableNews &update) const
{
    const TableCopy &copy = m_states[table].copy;
    CompressedTable &compressed = m_compressed[table];
    if (compressed.version != copy.version() || compressed.rows.bytes.empty())
        compressed = {copy.version(), compressRows(copy.snapshot())};
    addCompressed(compressed.rows, update);
}

PeerServer::PeerServer(boost::asio::io_context &context, NoticeHandler noticesReceived,
                       StateHandler stateReceived, AnswerState self, ResourceGroupPtr resources)
    : m_server(
        context,
        [this](std::string_view target, std::string_view body, SimpleHttpServer::Reply reply) {
            if (target == NoticeTarget)
                reply(receiveNotices(body));
            else
                handleQuery(target, body, std::move(reply));
        },
        std::move(resources), ResourceUse::Instance)
    , m_noticesReceived(std::move(noticesReceived))
    , m_stateReceived(std::move(stateReceived))
    , m_self(std::move(self))
    , m_timer(context)
{
}

bool PeerServer::listen(const std::string &address, Reason &reason)
{
    return m_server.listen(address, reason);
}

HttpAnswer PeerServer::receiveNotices(std::string_view body)
{
    const auto notices = decodeNotices(body, steadyNow());
    if (!notices)
        return {400, {}};
    m_noticesReceived(*notices);
    return {};
}

/// Handles a query with a target from updateTarget() and a body from encodeQuery().
void PeerServer::handleQuery(std::string_view target, std::string_view body,
                             SimpleHttpServer::Reply reply)
{
    std::array<std::uint64_t, 5> numbers {};
    if (!target.starts_with(TargetPrefix)
        || !readNumbers(target.substr(TargetPrefix.size()), numbers)
        || numbers[0] >= SharedTableCount)
        return reply({404, {}});
    auto details = decodeQuery(body);
    if (!details)
        return reply({400, {}});
    InstanceState &sender = details->sender;
    m_stateReceived(sender);
    if (sender.load)
        sender.load->report = {};
    const auto [table, afterNumber, waitMs, receivedUntilMs, changedWithinMs] = numbers;
    const StoreVersion after {details->era, afterNumber};
    const TableState &state = m_states[table];
    const std::uint64_t nowMs = milliseconds(steadyNow());
    const std::uint64_t statesSinceMs = receivedUntilMs > 0 || changedWithinMs == 0
                                            ? receivedUntilMs
                                            : nowMs - std::min(nowMs, changedWithinMs);
    const bool known = state.copy.known();
    if (waitMs == 0 || (known && (state.copy.version() > after || !after.known())))
        return reply(answer(table, after, statesSinceMs, sender));
    m_pendingQueries.push_back({table, after, statesSinceMs, std::move(sender), state.knownAt,
                                steadyNow() + Duration(waitMs * 1000), std::move(reply)});
    if (!std::exchange(m_timerRunning, true))
        expireQueries();
}

/// Answers 503 while the table has not been read yet, so that the follower does not treat the
/// table as empty, nor takes over one of an earlier era.
HttpAnswer PeerServer::answer(std::size_t table, StoreVersion after, std::uint64_t statesSinceMs,
                              const InstanceState &sender) const
{
    const TableCopy &copy = m_states[table].copy;
    if (!copy.known() || copy.version().era < after.era)
        return {503, {}};
    return {200, encodeUpdate(table, after, statesSinceMs, sender)};
}

std::string PeerServer::encodeUpdate(std::size_t table, StoreVersion after,
                                     std::uint64_t statesSinceMs, const InstanceState &sender) const
{
    const TableState &state = m_states[table];
    wire::TableNews update;
    auto rows = after.known() ? state.copy.changesSince(after) : std::nullopt;
    update.set_whole(!rows);
    // If the changes cover all rows, for example in a table with one row, the snapshot is sent
    // instead: its compressed form is shared by all queries.
    if (!rows || (shouldCompress(*rows) && state.copy.isFullSnapshot(*rows)))
        addAllRows(table, update);
    else if (shouldCompress(*rows))
        addCompressed(compressRows(*rows), update);
    else
        for (const StoreRow &row : *rows)
            encodeRow(row, *update.add_rows());
    update.set_version(state.copy.version().number);
    update.set_era(state.copy.version().era);
    InstanceState self = m_self(sender);
    self.name.clear(); // the follower knows whom it asked
    encodeState(self, *update.mutable_sender());
    update.set_clock_ms(milliseconds(bootNow()));
    update.set_known_ms(milliseconds(state.knownAt));
    update.set_store_ms(static_cast<std::uint64_t>(state.storeMs));
    update.set_direct(state.fromStore);
    if (table == static_cast<std::size_t>(SharedTable::Endpoints))
        addEngines(statesSinceMs, update);
    return update.SerializeAsString();
}

void PeerServer::addReports(const EngineReports &reports)
{
    const Time now = steadyNow();
    for (const EngineState &state : reports.changed)
        m_engines.insert_or_assign(state.id, PublishedEngine {state, now});
    for (const auto &[domain, at] : reports.asOf) {
        Time &asOf = m_statesAsOf[domain];
        asOf = std::max(asOf, at);
    }
}

const EngineState *PeerServer::publishedState(std::string_view id) const
{
    const auto it = m_engines.find(id);
    return it == m_engines.end() ? nullptr : &it->second.state;
}

void PeerServer::pruneEngines(const FleetSnapshot &fleet)
{
    std::erase_if(m_engines, [&](const auto &each) { return !fleet.find(each.first); });
}

/// Adds the engine states that the follower may not have received yet. Sending all states in each
/// answer would exceed the bandwidth of a small instance.
void PeerServer::addEngines(std::uint64_t statesSinceMs, wire::TableNews &update) const
{
    const Time now = steadyNow();
    update.set_told_ms(milliseconds(now));
    // A time in the future was measured by an earlier process with another clock. It is ignored,
    // and all states are sent.
    const bool valid = statesSinceMs <= milliseconds(now);
    const auto ageMs = [now](Time at) {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - at).count() / 1000));
    };
    for (const auto &[domain, at] : m_statesAsOf) {
        wire::DomainNews &each = *update.add_domains();
        each.set_domain(domain);
        each.set_age_ms(ageMs(at));
    }
    for (const auto &[id, published] : m_engines) {
        if (valid && milliseconds(published.changedAt) < statesSinceMs)
            continue;
        const EngineState &engine = published.state;
        wire::EngineNews &each = *update.add_engines();
        each.set_id(engine.id);
        each.set_used(engine.used);
        each.set_active(engine.active);
        each.set_queued(engine.queued);
        each.set_pace(engine.slowdown);
        each.set_silent(engine.silent);
        each.set_age_ms(ageMs(engine.at));
    }
}

void PeerServer::rowsAdopted(SharedTable table)
{
    m_compressed[static_cast<std::size_t>(table)] = {};
}

void PeerServer::markStoreUnavailable()
{
    for (TableState &state : m_states)
        state.fromStore = false;
}

/// Whether a waiting query is answered because the table was confirmed as unchanged after \a then.
/// Only for configuration and endpoints, since followers do not use the age of the other tables.
bool PeerServer::wasConfirmedSince(SharedTable table, const TableState &state, Time then)
{
    return (table == SharedTable::Configuration || table == SharedTable::Endpoints)
           && state.knownAt > then;
}

void PeerServer::tableChanged(SharedTable table)
{
    const auto index = static_cast<std::size_t>(table);
    std::vector<PendingQuery> ready;
    std::erase_if(m_pendingQueries, [&](PendingQuery &each) {
        const TableState &state = m_states[index];
        const bool due =
            each.table == index
            && (state.copy.version() > each.after || wasConfirmedSince(table, state, each.knownAt));
        if (due)
            ready.push_back(std::move(each));
        return due;
    });
    for (PendingQuery &each : ready)
        each.reply(answer(each.table, each.after, each.statesSinceMs, each.sender));
}

void PeerServer::expireQueries()
{
    const Time now = steadyNow();
    std::vector<PendingQuery> expired;
    std::erase_if(m_pendingQueries, [&](PendingQuery &each) {
        const bool due = now >= each.until;
        if (due)
            expired.push_back(std::move(each));
        return due;
    });
    for (PendingQuery &each : expired)
        each.reply(answer(each.table, each.after, each.statesSinceMs, each.sender));
    m_timerRunning = !m_pendingQueries.empty();
    if (!m_timerRunning)
        return;
    m_timer.expires_after(ExpireInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            expireQueries();
    });
}

} // namespace balsamloft
