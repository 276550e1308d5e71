// The lease, and the orders that its holder sends.

#include "../fakes/restoredlease.h"
#include "../fakes/tablemodel.h"

#include <balsamloft/lease.h>
#include <balsamloft/orders.h>

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

constexpr Duration Second {1'000'000};

/// A process that competes for the lease in the shared table. Its I/O is executed immediately;
/// answers arrive after \c latency.
class Process
{
public:
    Process(TableModel &tables, const std::string &name)
        : manager({.key = "l", .holder = name})
        , m_tables(tables)
    {
    }

    void tick(Time now)
    {
        LeaseActions actions;
        manager.tick(now, actions);
        perform(actions, now);
    }

    void perform(LeaseActions actions, Time now)
    {
        for (const LeaseAction &action : actions) {
            LeaseActions next;
            if (const auto *read = std::get_if<ReadLease>(&action)) {
                ReadOutcome outcome;
                if (!partitioned)
                    outcome = m_tables.read(std::string(LeaseTable), read->key);
                manager.readDone(read->id, outcome, now + latency, next);
            } else if (const auto *write = std::get_if<WriteLease>(&action)) {
                TransactionOutcome outcome {TransactionOutcome::Kind::NotCommitted, {}};
                if (!partitioned)
                    outcome = m_tables.transact(write->transaction);
                if (loseAnswers > 0) {
                    --loseAnswers;
                    outcome = {};
                }
                manager.writeDone(write->id, outcome, now + latency, next);
            }
            perform(next, now + latency);
        }
    }

    LeaseManager manager;
    bool partitioned = false;
    int loseAnswers = 0;
    Duration latency {0};

private:
    TableModel &m_tables;
};

Time seconds(int count)
{
    return Time(std::chrono::seconds(100 + count));
}

} // namespace

TEST_CASE("only one of two processes holds the lease", "[lease]")
{
    TableModel tables;
    Process a(tables, "a");
    Process b(tables, "b");
    for (int i = 0; i < 60; ++i) {
        a.tick(seconds(i));
        b.tick(seconds(i));
        CHECK(a.manager.holds(seconds(i)));
        CHECK_FALSE(b.manager.holds(seconds(i)));
    }
    CHECK(a.manager.fencing() == 1);
}

TEST_CASE("a partitioned holder loses the lease before another process acquires it",
          "[lease][failure]")
{
    // The holder no longer reaches the table. The other process takes over only after it has
    // observed the row unchanged for longer than the lease duration, so the lease may have no
    // holder for some seconds, but never two.
    TableModel tables;
    Process a(tables, "a");
    Process b(tables, "b");
    int secondsWithoutHolder = 0;
    for (int i = 0; i < 60; ++i) {
        a.partitioned = i >= 20;
        a.tick(seconds(i));
        b.tick(seconds(i));
        CHECK_FALSE((a.manager.holds(seconds(i)) && b.manager.holds(seconds(i))));
        secondsWithoutHolder +=
            !a.manager.holds(seconds(i)) && !b.manager.holds(seconds(i)) ? 1 : 0;
    }
    CHECK(b.manager.holds(seconds(59)));
    CHECK(b.manager.fencing() == 2);
    CHECK(secondsWithoutHolder < 10);
}

TEST_CASE("the former holder reacquires the lease right after a table outage", "[lease][failure]")
{
    // The table is unreachable for half a minute, so the lease expires and no process can
    // acquire it. When the table is reachable again, the former holder acquires the lease
    // without waiting, because no other process held it in between.
    TableModel tables;
    Process a(tables, "a");
    Process b(tables, "b");
    int secondsWithoutHolder = 0;
    for (int i = 0; i < 80; ++i) {
        a.partitioned = i >= 20 && i < 50;
        b.partitioned = i >= 15 && i < 60; // b reconnects after a; the row it read last is older
        a.tick(seconds(i));
        b.tick(seconds(i));
        CHECK_FALSE((a.manager.holds(seconds(i)) && b.manager.holds(seconds(i))));
        secondsWithoutHolder +=
            i >= 50 && !a.manager.holds(seconds(i)) && !b.manager.holds(seconds(i)) ? 1 : 0;
    }
    CHECK(secondsWithoutHolder <= 4);
}

TEST_CASE("a process suspended past its lease does not hold it on resumption", "[lease][failure]")
{
    // The holder is suspended from second 20 to second 50. Right after resumption, before its
    // first tick, holds() must return false.
    TableModel tables;
    Process a(tables, "a");
    Process b(tables, "b");
    for (int i = 0; i < 50; ++i) {
        if (i < 20)
            a.tick(seconds(i));
        b.tick(seconds(i));
    }
    CHECK(b.manager.holds(seconds(50)));
    CHECK_FALSE(a.manager.holds(seconds(50)));
    a.tick(seconds(50));
    CHECK_FALSE(a.manager.holds(seconds(50)));
    CHECK(b.manager.fencing() > 1);
}

TEST_CASE("the lease duration starts when the write is sent", "[lease][failure]")
{
    // The read and the write take 8 of the lease's 9 seconds. If the duration started with the
    // answer, the holder would use the lease after it has expired for other processes.
    TableModel tables;
    Process a(tables, "a");
    a.latency = 4 * Second; // 4 s for the read and 4 s for the write
    a.tick(seconds(0));
    CHECK(a.manager.holds(seconds(8)));
    CHECK_FALSE(a.manager.holds(seconds(14)));
}

TEST_CASE("a write whose answer is lost is resolved by a read", "[lease][failure]")
{
    TableModel tables;
    Process a(tables, "a");
    a.loseAnswers = 1;
    a.tick(seconds(0));
    CHECK(a.manager.holds(seconds(1)));
    CHECK(a.manager.fencing() == 1);
}

TEST_CASE("a released lease can be acquired at once", "[lease]")
{
    TableModel tables;
    Process a(tables, "a");
    Process b(tables, "b");
    a.tick(seconds(0));
    b.tick(seconds(0));
    LeaseActions actions;
    a.manager.release(seconds(1), actions);
    a.perform(actions, seconds(1));
    CHECK_FALSE(a.manager.holds(seconds(1)));
    b.tick(seconds(3));
    CHECK(b.manager.holds(seconds(3)));
    CHECK(b.manager.fencing() == 2);
}

TEST_CASE("a new holder waits for old orders to expire at engines without fencing checks",
          "[lease][failure]")
{
    // Engines that check the fencing token get orders at once. An engine without this check could
    // execute the new order and then an order of the previous holder that was still in transit.
    // Such an engine gets no order until the previous holder's orders have expired, and then
    // repeated orders until the engine reports the wanted state.
    OrderManager manager;
    manager.setWanted({"checks", "m", "1", {0, 4}, "r"}, true);
    manager.setWanted({"ignores", "m", "1", {0, 4}, "r"}, false);
    const auto orderedEngines = [&](int second) {
        OrderActions actions;
        manager.tick(true, 2, seconds(0), seconds(second), actions);
        std::vector<std::string> names;
        for (const SendOrder &order : actions)
            names.push_back(order.engine);
        return names;
    };
    CHECK(orderedEngines(0) == std::vector<std::string> {"checks"});
    manager.observed({"checks", "m", {0, 4}, false});
    CHECK(orderedEngines(10).empty());
    CHECK(orderedEngines(14) == std::vector<std::string> {"ignores"});
    CHECK(orderedEngines(15).empty());
    CHECK(orderedEngines(20) == std::vector<std::string> {"ignores"});
    manager.observed({"ignores", "m", {0, 4}, false});
    CHECK(orderedEngines(30).empty());
    // The engine's state changed without an order, so the order is sent again.
    manager.observed({"ignores", "other", {0, 4}, false});
    CHECK(orderedEngines(31) == std::vector<std::string> {"ignores"});
}

TEST_CASE("no orders are sent without the lease", "[lease]")
{
    OrderManager manager;
    manager.setWanted({"e", "m", "1", {0, 4}, "r"}, true);
    OrderActions actions;
    manager.tick(false, 1, seconds(0), seconds(100), actions);
    CHECK(actions.empty());
}

// Guards against two holders of the lease, and tokens given twice, after a restore.
TEST_CASE("the lease has one holder and each token is given once, whatever the store loses",
          "[lease][failure]")
{
    LeaseWorldResult all;
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed)
        all += runLeaseWorld(seed);
    CHECK(all.twoHolders == 0);
    CHECK(all.repeatedTokens == 0);
    CHECK(all.loweredTokens == 0);
    CHECK(all.grants > 2'000);
    CHECK(all.restores > 2'000);
}

TEST_CASE("100,000 schedules of a lease in a store that is restored", "[.][long]")
{
    LeaseWorldResult all;
    for (std::uint64_t seed = 1; seed <= 100'000; ++seed)
        all += runLeaseWorld(seed);
    CHECK(all.twoHolders == 0);
    CHECK(all.repeatedTokens == 0);
    CHECK(all.loweredTokens == 0);
    WARN(all.grants << " grants, " << all.restores << " restores, held "
                    << 100.0 * all.heldSteps / all.steps << "% of the time");
}

TEST_CASE("a holder whose grant the store lost keeps the lease with a new token",
          "[lease][failure]")
{
    LeaseManager holder({.key = "l", .holder = "a"});
    LeaseActions actions;
    const auto read = [&](StoreVersion version, const std::string &key, const std::string &row,
                          Time now) {
        const std::uint64_t id = std::get<ReadLease>(actions.at(0)).id;
        actions.clear();
        ReadOutcome outcome;
        outcome.kind = row.empty() ? ReadOutcome::Kind::Missing : ReadOutcome::Kind::Found;
        outcome.row = {key, version.number, row};
        outcome.era = version.era;
        holder.readDone(id, outcome, now, actions);
    };
    const auto commit = [&](StoreVersion version, Time now) {
        const std::uint64_t id = std::get<WriteLease>(actions.at(0)).id;
        actions.clear();
        TransactionOutcome outcome;
        outcome.kind = TransactionOutcome::Kind::Committed;
        outcome.version = version.number;
        outcome.era = version.era;
        holder.writeDone(id, outcome, now, actions);
    };
    holder.tick(seconds(0), actions);
    read({1, 0}, {}, {}, seconds(0));
    commit({1, 40}, seconds(0));
    const std::uint64_t former = holder.fencing();
    REQUIRE(holder.holds(seconds(1)));
    // The write of a renewal meets its condition by chance in the next era.
    holder.tick(seconds(3), actions);
    commit({2, 31}, seconds(3));
    CHECK_FALSE(holder.holds(seconds(10)));
    holder.tick(seconds(6), actions);
    read({2, 31}, "l@1", R"({"holder":"a","fencing":1})", seconds(6));
    commit({2, 35}, seconds(6));
    CHECK(holder.holds(seconds(14)));
    CHECK(holder.fencing() > former);
}

TEST_CASE("a lease that a restored store shows as free is not acquired at once", "[lease][failure]")
{
    LeaseManager other({.key = "l", .holder = "b"});
    other.setEra(1, seconds(0));
    other.setEra(2, seconds(20));
    LeaseActions actions;
    for (int second = 20; second < 30; second += 3) {
        other.tick(seconds(second), actions);
        ReadOutcome outcome;
        outcome.kind = ReadOutcome::Kind::Missing;
        outcome.era = 2;
        const std::uint64_t id = std::get<ReadLease>(actions.at(0)).id;
        actions.clear();
        other.readDone(id, outcome, seconds(second), actions);
        CHECK(actions.empty());
    }
    other.tick(seconds(32), actions);
    ReadOutcome outcome;
    outcome.kind = ReadOutcome::Kind::Missing;
    outcome.era = 2;
    const std::uint64_t id = std::get<ReadLease>(actions.at(0)).id;
    actions.clear();
    other.readDone(id, outcome, seconds(32), actions);
    CHECK(actions.size() == 1);
}
