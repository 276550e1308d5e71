// The part of Control that maintains the placement lease and the list of instances.

#include "clock.h"
#include "control.h"
#include "decisionlog.h"
#include "rowfields.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace balsamloft {

namespace {

/// The estimate of the store's clock improves with each answer. Improvements smaller than this are
/// not published.
constexpr Duration ClockTolerance {20'000};

} // namespace

void Control::leaseActions(LeaseActions actions)
{
    for (LeaseAction &action : actions) {
        if (const auto *read = std::get_if<ReadLease>(&action))
            readLease(read->id);
        else
            writeLease(std::move(std::get<WriteLease>(action)));
    }
}

void Control::readLease(std::uint64_t id)
{
    m_channel.call(StoreUse::Lease, m_protocol.readCall(LeaseTable, {}), StoreCallTimeout,
                   [this, id](const StoreAnswer &answer) {
                       noticeEra();
                       ReadOutcome outcome;
                       outcome.era = answer.reply.era;
                       if (answer.reply.kind == StoreReply::Kind::Done) {
                           std::vector<TableRow> rows;
                           for (const StoreRow &row : answer.reply.rows)
                               rows.push_back({row.key, row.version, row.value});
                           const TableRow *row = m_lease.chooseRow(rows);
                           outcome.kind =
                               row ? ReadOutcome::Kind::Found : ReadOutcome::Kind::Missing;
                           if (row)
                               outcome.row = *row;
                       }
                       LeaseActions actions;
                       m_lease.readDone(id, outcome, bootNow(), actions);
                       leaseActions(std::move(actions));
                   });
}

void Control::writeLease(WriteLease write)
{
    m_channel.call(StoreUse::Lease, m_protocol.commitCall(write.transaction), StoreCallTimeout,
                   [this, id = write.id](const StoreAnswer &answer) {
                       noticeEra();
                       TransactionOutcome outcome;
                       outcome.version = answer.reply.version;
                       outcome.era = answer.reply.era;
                       switch (answer.reply.kind) {
                       case StoreReply::Kind::Done:
                           outcome.kind = TransactionOutcome::Kind::Committed;
                           break;
                       case StoreReply::Kind::Conflict:
                           outcome.kind = TransactionOutcome::Kind::Conflict;
                           break;
                       case StoreReply::Kind::Rejected:
                           outcome.kind = TransactionOutcome::Kind::NotCommitted;
                           break;
                       default:
                           outcome.kind = answer.mayHaveArrived
                                              ? TransactionOutcome::Kind::Unknown
                                              : TransactionOutcome::Kind::NotCommitted;
                       }
                       LeaseActions actions;
                       m_lease.writeDone(id, outcome, bootNow(), actions);
                       leaseActions(std::move(actions));
                   });
}

void Control::updateInstances()
{
    const TableState &state = m_server.state(SharedTable::Instances);
    std::vector<InstanceRow> rows;
    for (const StoreRow &row : state.copy.rows()) {
        const auto object = parseRow(row);
        const auto domain = object ? textField(*object, "domain") : std::nullopt;
        const auto peer = object ? textField(*object, "peer") : std::nullopt;
        const auto seenMs = object ? numberField(*object, "seen_ms") : std::nullopt;
        if (domain && peer && seenMs)
            rows.push_back(
                {{row.key, *domain, *peer, textField(*object, "forward").value_or("")}, *seenMs});
    }
    std::vector<PeerInstance> instances =
        m_instanceList.update(rows, state.storeMs, state.storeMsEra);
    const Duration clockOffset = m_storeOffset.value_or(Duration {});
    const bool listChanged = instances != m_instances;
    if (!listChanged && std::chrono::abs(clockOffset - m_publishedClockOffset) < ClockTolerance)
        return;
    m_publishedClockOffset = clockOffset;
    if (listChanged) {
        m_instances = std::move(instances);
        m_directory.setInstances(m_instances);
        m_links.setInstances(m_instances);
        logDecision("instances", "counted",
                    {{"in_domain", std::int64_t(m_directory.instancesInDomain())},
                     {"all", std::int64_t(m_directory.instanceCount())}});
    }
    m_events.instances(
        {m_instances, m_directory.instancesInDomain(), m_directory.instanceCount(), clockOffset});
}

void Control::writeInstanceRow(bool leaving, std::function<void()> done)
{
    m_instanceRowWrittenAt = bootNow();
    RowWrite write;
    write.table = std::string(InstanceTable);
    write.key = m_settings.name;
    if (!leaving)
        write.value = json::serialize(json::object {{"domain", m_settings.domain},
                                                    {"peer", m_settings.peerAddress},
                                                    {"forward", m_settings.forwardAddress},
                                                    {"seen_ms", toMilliseconds(storeNow())}});
    Transaction transaction;
    transaction.writes.push_back(std::move(write));
    m_channel.call(StoreUse::OwnRow, m_protocol.commitCall(transaction), StoreCallTimeout,
                   [done = std::move(done)](const StoreAnswer &) {
                       if (done)
                           done();
                   });
}

} // namespace balsamloft
