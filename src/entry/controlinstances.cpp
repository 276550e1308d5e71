// The part of Control that keeps the lease for placement and the list of instances.

#include "clock.h"
#include "control.h"
#include "decisionlog.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace balsamloft {

namespace {

/// The store's clock becomes known better with each answer; less is not told again.
constexpr Duration NoticeableClock {20'000};

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
    m_channel.call(StoreUse::Lease, m_protocol.read(LeaseTable, {}), StoreCallWithin,
                   [this, id](const StoreAnswer &answer) {
                       ReadOutcome outcome;
                       if (answer.reply.kind == StoreReply::Kind::Done) {
                           outcome.kind = ReadOutcome::Kind::Missing;
                           for (const StoreRow &row : answer.reply.rows)
                               if (row.key == LeaseKey) {
                                   outcome.kind = ReadOutcome::Kind::Found;
                                   outcome.row = {row.key, row.version, row.value};
                               }
                       }
                       LeaseActions actions;
                       m_lease.readDone(id, outcome, bootNow(), actions);
                       leaseActions(std::move(actions));
                   });
}

void Control::writeLease(WriteLease write)
{
    m_channel.call(StoreUse::Lease, m_protocol.commit(write.transaction), StoreCallWithin,
                   [this, id = write.id](const StoreAnswer &answer) {
                       TransactionOutcome outcome;
                       outcome.version = answer.reply.version;
                       switch (answer.reply.kind) {
                       case StoreReply::Kind::Done:
                           outcome.kind = TransactionOutcome::Kind::Committed;
                           break;
                       case StoreReply::Kind::Conflict:
                           outcome.kind = TransactionOutcome::Kind::Conflict;
                           break;
                       case StoreReply::Kind::NotDone:
                           outcome.kind = TransactionOutcome::Kind::NotCommitted;
                           break;
                       default:
                           outcome.kind = answer.left ? TransactionOutcome::Kind::Unknown
                                                      : TransactionOutcome::Kind::NotCommitted;
                       }
                       LeaseActions more;
                       m_lease.writeDone(id, outcome, bootNow(), more);
                       leaseActions(std::move(more));
                   });
}

void Control::countInstances()
{
    const NewsState &known = m_server.state(NewsTable::Instances);
    std::vector<InstanceRow> rows;
    for (const StoreRow &row : known.copy.all()) {
        boost::system::error_code error;
        const json::value value = json::parse(row.value, error);
        const json::object *object = error ? nullptr : value.if_object();
        const json::value *domain = object ? object->if_contains("domain") : nullptr;
        const json::value *peer = object ? object->if_contains("peer") : nullptr;
        const json::value *seen = object ? object->if_contains("seen_ms") : nullptr;
        if (domain && peer && seen && domain->is_string() && peer->is_string() && seen->is_int64())
            rows.push_back(
                {{row.key, std::string(domain->get_string()), std::string(peer->get_string())},
                 seen->get_int64()});
    }
    std::vector<PeerInstance> instances = m_instanceList.heard(rows, known.storeMs);
    const Duration clock = m_storeOffset.value_or(Duration {});
    if (instances == m_instances && clock - m_toldClock < NoticeableClock)
        return;
    m_toldClock = clock;
    m_instances = instances;
    m_directory.replace(std::move(instances));
    logDecision("instances", "counted",
                {{"in_domain", std::int64_t(m_directory.inDomain())},
                 {"all", std::int64_t(m_directory.count())}});
    m_events.instances({m_instances, m_directory.inDomain(), m_directory.count(), clock});
}

void Control::writeInstance(bool leaving, std::function<void()> done)
{
    m_writtenAt = bootNow();
    RowWrite write;
    write.table = std::string(InstanceTable);
    write.key = m_settings.name;
    if (!leaving) {
        const Duration storeTime = m_writtenAt.time_since_epoch() + *m_storeOffset;
        write.value = json::serialize(json::object {{"domain", m_settings.domain},
                                                    {"peer", m_settings.peers},
                                                    {"seen_ms", storeTime.count() / 1000}});
    }
    Transaction transaction;
    transaction.writes.push_back(std::move(write));
    m_channel.call(StoreUse::OwnRow, m_protocol.commit(transaction), StoreCallWithin,
                   [done = std::move(done)](const StoreAnswer &) {
                       if (done)
                           done();
                   });
}

} // namespace balsamloft
