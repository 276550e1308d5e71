#include "tablesource.h"

#include "../libpeer/newsrows.h"
#include "clock.h"
#include "peerserver.h"

#include <balsamloft/tableupdate.h>

namespace balsamloft {

namespace {

/// Beyond the time that was asked to wait, a call whose answer has not begun has failed.
constexpr Duration StoreWithin {500'000};
/// What one instance knew when it last told, another may know so much later.
constexpr Duration ReportsOverlap {2'000'000};

CallLimits storeLimits(Duration wait)
{
    CallLimits limits = answerLimits(false, wait);
    limits.within = wait + StoreWithin;
    return limits;
}

} // namespace

StoreSource::StoreSource(boost::asio::io_context &context, const std::string &address,
                         const EntryProtocol &protocol, EntryState &state, std::string table)
    : m_protocol(protocol)
    , m_table(std::move(table))
    , m_channel(context, address, protocol, state)
{
}

void StoreSource::read(const std::string &from, Duration /*wait*/, Callback callback)
{
    m_channel.call(StoreUse::ReadSnapshot, m_protocol.read(m_table, from), storeLimits({}),
                   [this, callback = std::move(callback)](StoreAnswer answer) {
                       pass(std::move(answer), callback);
                   });
}

void StoreSource::watch(std::uint64_t after, Duration wait, Callback callback)
{
    m_channel.call(StoreUse::Follow, m_protocol.watch(m_table, after, wait), storeLimits(wait),
                   [this, callback = std::move(callback)](StoreAnswer answer) {
                       pass(std::move(answer), callback);
                   });
}

void StoreSource::pass(StoreAnswer answer, const Callback &callback)
{
    TableAnswer result;
    if (answer.reply.kind == StoreReply::Kind::Done) {
        m_freshness.recordAnswer(answer.sentAt, answer.arrivedAt, answer.reply.storeMs);
        result.knownAt = m_freshness.knownAt();
        result.direct = true;
    }
    result.answered = answer.reply.kind != StoreReply::Kind::Failed;
    result.reply = std::move(answer.reply);
    callback(std::move(result));
}

PeerSource::PeerSource(boost::asio::io_context &context, PeerInstance peer, std::size_t table,
                       std::shared_ptr<Time> reportsAt)
    : m_pool(context)
    , m_peer(std::move(peer))
    , m_table(table)
    , m_reportsAt(std::move(reportsAt))
{
}

PeerSource::~PeerSource()
{
    if (m_call)
        m_call->cancel();
}

void PeerSource::read(const std::string & /*from*/, Duration wait, Callback callback)
{
    ask(0, wait, std::move(callback));
}

void PeerSource::watch(std::uint64_t after, Duration wait, Callback callback)
{
    ask(after, wait, std::move(callback));
}

void PeerSource::ask(std::uint64_t after, Duration wait, Callback callback)
{
    ExchangeSettings settings;
    settings.endpoint = m_peer.name;
    settings.address = m_peer.address;
    const Time sentAt = bootNow();
    m_call = std::make_shared<TimedCall>(
        m_pool, std::move(settings),
        formatRequest({"GET", updateTarget({m_table, after, wait, m_toldMs, changedWithin()}), {}},
                      m_peer.address),
        answerLimits(after == 0, wait),
        [this, sentAt, callback = std::move(callback)](const CallOutcome &outcome) {
            callback(decode(outcome, sentAt));
        });
    m_call->start();
}

/// All states are told once to each instance: told again by each other one that it turns
/// to, they fill the links just when many turn to others.
Duration PeerSource::changedWithin() const
{
    if (*m_reportsAt == Time {})
        return {};
    return steadyNow() - *m_reportsAt + ReportsOverlap;
}

TableAnswer PeerSource::decode(const CallOutcome &outcome, Time sentAt)
{
    TableAnswer answer;
    wire::TableNews news;
    answer.answered = outcome.status != 0;
    if (outcome.status != 200 || !news.ParseFromString(outcome.body))
        return answer;
    const Time now = bootNow();
    // The other's clock bounds its answer as the store's does; what it knows is
    // older than the answer by its own account.
    m_freshness.recordAnswer(sentAt, now, static_cast<std::int64_t>(news.clock_ms()));
    const auto age = Duration((news.clock_ms() - news.known_ms()) * 1000);
    answer.knownAt = *m_freshness.knownAt() - age;
    answer.reply.kind = StoreReply::Kind::Done;
    answer.reply.version = news.version();
    answer.reply.storeMs = static_cast<std::int64_t>(news.store_ms());
    answer.whole = news.whole();
    answer.direct = news.direct();
    m_toldMs = news.told_ms();
    if (!news.packed_rows().empty()) {
        auto rows = decompressRows({news.packed_from(), news.packed_rows()});
        if (!rows)
            return {};
        answer.reply.rows = std::move(*rows);
    }
    for (const wire::NewsRow &row : news.rows())
        answer.reply.rows.push_back(rowOf(row));
    const Time steady = steadyNow();
    if (news.domains_size() > 0)
        *m_reportsAt = steady;
    for (const wire::DomainNews &domain : news.domains())
        answer.engines.asOf[domain.domain()] = steady - Duration(domain.age_ms() * 1000);
    for (const wire::EngineNews &engine : news.engines())
        answer.engines.changed.push_back(
            {engine.id(), engine.used(), engine.active(), engine.queued(), engine.pace(),
             engine.silent(), steady - Duration(engine.age_ms() * 1000) - (now - sentAt) / 8});
    return answer;
}

} // namespace balsamloft
