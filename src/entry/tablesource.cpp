#include "tablesource.h"

#include "../libpeer/rowcodec.h"
#include "../libpeer/statecodec.h"
#include "clock.h"
#include "peerserver.h"

#include <balsamloft/tableupdate.h>

namespace balsamloft {

namespace {

/// A call fails if its answer has not begun this long after the requested wait.
constexpr Duration StoreResponseTimeout {500'000};
/// Added to the maximum age of engine states in a query: the queried peer may have received a state
/// up to this much later than the peer that was queried before.
constexpr Duration ReportOverlap {2'000'000};

CallLimits storeLimits(Duration wait)
{
    CallLimits limits = answerLimits(false, wait);
    limits.answerTimeout = wait + StoreResponseTimeout;
    return limits;
}

} // namespace

StoreSource::StoreSource(boost::asio::io_context &context, const std::string &address,
                         const EntryProtocol &protocol, EntryState &state, StoreEras &eras,
                         std::string table)
    : m_protocol(protocol)
    , m_table(std::move(table))
    , m_channel(context, address, protocol, state, eras)
{
}

void StoreSource::read(const std::string &from, Duration /*wait*/, Callback callback)
{
    m_channel.call(StoreUse::ReadSnapshot, m_protocol.readCall(m_table, from), storeLimits({}),
                   [this, callback = std::move(callback)](StoreAnswer answer) {
                       deliver(std::move(answer), callback);
                   });
}

void StoreSource::watch(StoreVersion after, Duration wait, Callback callback)
{
    m_channel.call(StoreUse::Follow, m_protocol.watchCall(m_table, after.number, wait),
                   storeLimits(wait), [this, callback = std::move(callback)](StoreAnswer answer) {
                       deliver(std::move(answer), callback);
                   });
}

void StoreSource::cancel()
{
    m_channel.cancelAll();
}

void StoreSource::deliver(StoreAnswer answer, const Callback &callback)
{
    TableAnswer result;
    if (answer.reply.kind == StoreReply::Kind::Done) {
        m_freshness.recordAnswer(answer.sentAt, answer.arrivedAt, answer.reply.storeMs,
                                 answer.reply.era);
        result.knownAt = m_freshness.knownAt();
        result.fromStore = true;
    }
    result.answered = answer.reply.kind != StoreReply::Kind::Failed;
    result.reply = std::move(answer.reply);
    callback(std::move(result));
}

PeerSource::PeerSource(boost::asio::io_context &context, PeerInstance peer, std::size_t table,
                       std::shared_ptr<Time> lastReportAt, std::function<InstanceState()> self)
    : m_pool(context)
    , m_peer(std::move(peer))
    , m_table(table)
    , m_lastReportAt(std::move(lastReportAt))
    , m_self(std::move(self))
{
}

PeerSource::~PeerSource()
{
    cancel();
}

void PeerSource::cancel()
{
    if (const auto call = std::exchange(m_call, nullptr))
        call->cancel();
}

void PeerSource::read(const std::string & /*from*/, Duration wait, Callback callback)
{
    sendQuery({}, wait, std::move(callback));
}

void PeerSource::watch(StoreVersion after, Duration wait, Callback callback)
{
    sendQuery(after, wait, std::move(callback));
}

void PeerSource::sendQuery(StoreVersion after, Duration wait, Callback callback)
{
    ExchangeSettings settings;
    settings.endpoint = m_peer.name;
    settings.address = m_peer.address;
    InstanceState self = m_self();
    // The peer needs the name only to fetch a configuration that it lacks, and to identify loads.
    if (self.configuration <= m_peerConfiguration && !self.load)
        self.name.clear();
    const Time sentAt = bootNow();
    m_call = std::make_shared<TimedCall>(
        m_pool, std::move(settings),
        formatRequest(
            {"GET", updateTarget({m_table, after.number, wait, m_statesUntilMs, changedWithin()}),
             encodeQuery(after.era, self)},
            m_peer.address),
        answerLimits(!after.known(), wait),
        [this, sentAt, callback = std::move(callback)](const CallOutcome &outcome) {
            callback(decode(outcome, sentAt));
        });
    m_call->start();
}

/// Returns the maximum age of the engine states to query; 0: all states. A follower that switches
/// to another peer does not query all states again, since the answers would exceed the bandwidth
/// when many followers switch at once.
Duration PeerSource::changedWithin() const
{
    if (*m_lastReportAt == Time {})
        return {};
    return steadyNow() - *m_lastReportAt + ReportOverlap;
}

TableAnswer PeerSource::decode(const CallOutcome &outcome, Time sentAt)
{
    TableAnswer answer;
    wire::TableNews update;
    answer.answered = outcome.status != 0;
    if (outcome.status != 200 || !update.ParseFromString(outcome.body))
        return answer;
    const Time now = bootNow();
    // The time of the answer is estimated from the peer's clock, in the same way as for the store.
    // The data is older than the answer by the age that the peer reports.
    m_freshness.recordAnswer(sentAt, now, static_cast<std::int64_t>(update.clock_ms()));
    const auto age = Duration((update.clock_ms() - update.known_ms()) * 1000);
    answer.knownAt = *m_freshness.knownAt() - age;
    answer.reply.kind = StoreReply::Kind::Done;
    answer.reply.version = update.version();
    answer.reply.era = update.era();
    if (update.has_sender())
        answer.sender = decodeState(update.sender());
    if (answer.sender)
        m_peerConfiguration = answer.sender->configuration;
    answer.reply.storeMs = static_cast<std::int64_t>(update.store_ms());
    answer.isSnapshot = update.whole();
    answer.fromStore = update.direct();
    m_statesUntilMs = update.told_ms();
    if (!update.packed_rows().empty()) {
        auto rows = decompressRows({update.packed_from(), update.packed_rows()});
        if (!rows)
            return {};
        answer.reply.rows = std::move(*rows);
    }
    for (const wire::NewsRow &row : update.rows())
        answer.reply.rows.push_back(decodeRow(row));
    const Time steady = steadyNow();
    if (update.domains_size() > 0)
        *m_lastReportAt = steady;
    for (const wire::DomainNews &domain : update.domains())
        answer.engines.asOf[domain.domain()] = steady - Duration(domain.age_ms() * 1000);
    for (const wire::EngineNews &engine : update.engines())
        answer.engines.changed.push_back(
            {engine.id(), engine.used(), engine.active(), engine.queued(), engine.pace(),
             engine.silent(), steady - Duration(engine.age_ms() * 1000) - (now - sentAt) / 8});
    return answer;
}

} // namespace balsamloft
