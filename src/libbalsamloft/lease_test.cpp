// The lease and the orders given under it.

#include "../fakes/tablemodel.h"

#include <balsamloft/lease.h>
#include <balsamloft/orders.h>

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

constexpr Duration Second {1'000'000};

/// One keeper against the shared table; its I/O is done at once unless held.
class Holder
{
public:
    Holder(TableModel &tables, const std::string &name)
        : keeper({.key = "l", .holder = name})
        , m_tables(tables)
    {
    }

    void tick(Time now)
    {
        LeaseActions actions;
        keeper.tick(now, actions);
        perform(actions, now);
    }

    void perform(LeaseActions actions, Time now)
    {
        for (const LeaseAction &action : actions) {
            LeaseActions next;
            if (const auto *read = std::get_if<ReadLease>(&action)) {
                ReadOutcome outcome;
                if (!cut)
                    outcome = m_tables.read(std::string(LeaseTable), read->key);
                keeper.readDone(read->id, outcome, now + latency, next);
            } else if (const auto *write = std::get_if<WriteLease>(&action)) {
                TransactionOutcome outcome {TransactionOutcome::Kind::NotCommitted, {}};
                if (!cut)
                    outcome = m_tables.transact(write->transaction);
                if (loseAnswers > 0) {
                    --loseAnswers;
                    outcome = {};
                }
                keeper.writeDone(write->id, outcome, now + latency, next);
            }
            perform(next, now + latency);
        }
    }

    LeaseManager keeper;
    bool cut = false;
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

TEST_CASE("one holder at a time", "[lease]")
{
    TableModel tables;
    Holder a(tables, "a");
    Holder b(tables, "b");
    for (int i = 0; i < 60; ++i) {
        a.tick(seconds(i));
        b.tick(seconds(i));
        CHECK(a.keeper.holds(seconds(i)));
        CHECK_FALSE(b.keeper.holds(seconds(i)));
    }
    CHECK(a.keeper.fencing() == 1);
}

TEST_CASE("a holder that is cut off loses the lease before another has it", "[lease][failure]")
{
    // Orders stop for a while, and never come from two. The holder no longer
    // reaches the table; the other takes over only after it has seen the row
    // unchanged for longer than any holder may count on.
    TableModel tables;
    Holder a(tables, "a");
    Holder b(tables, "b");
    int gap = 0;
    for (int i = 0; i < 60; ++i) {
        a.cut = i >= 20;
        a.tick(seconds(i));
        b.tick(seconds(i));
        CHECK_FALSE((a.keeper.holds(seconds(i)) && b.keeper.holds(seconds(i))));
        gap += !a.keeper.holds(seconds(i)) && !b.keeper.holds(seconds(i)) ? 1 : 0;
    }
    CHECK(b.keeper.holds(seconds(59)));
    CHECK(b.keeper.fencing() == 2);
    CHECK(gap < 10);
}

TEST_CASE("after an outage of the table the former holder goes on at once", "[lease][failure]")
{
    // Nobody reaches the table for half a minute, so the lease lapses and nobody
    // can take it. When the table is back, engines have waited long enough for
    // their orders: nobody held the lease in between, so nobody is waited for.
    TableModel tables;
    Holder a(tables, "a");
    Holder b(tables, "b");
    int without = 0;
    for (int i = 0; i < 80; ++i) {
        a.cut = i >= 20 && i < 50;
        b.cut = i >= 15 && i < 60; // it comes back later, and saw an older row
        a.tick(seconds(i));
        b.tick(seconds(i));
        CHECK_FALSE((a.keeper.holds(seconds(i)) && b.keeper.holds(seconds(i))));
        without += i >= 50 && !a.keeper.holds(seconds(i)) && !b.keeper.holds(seconds(i)) ? 1 : 0;
    }
    CHECK(without <= 4);
}

TEST_CASE("a holder frozen past its lease wakes up and knows it", "[lease][failure]")
{
    // Nothing is ordered by the one that was frozen. It does not run between
    // second 20 and second 50; its first question is whether it still holds.
    TableModel tables;
    Holder a(tables, "a");
    Holder b(tables, "b");
    for (int i = 0; i < 50; ++i) {
        if (i < 20)
            a.tick(seconds(i));
        b.tick(seconds(i));
    }
    CHECK(b.keeper.holds(seconds(50)));
    CHECK_FALSE(a.keeper.holds(seconds(50)));
    a.tick(seconds(50));
    CHECK_FALSE(a.keeper.holds(seconds(50)));
    CHECK(b.keeper.fencing() > 1);
}

TEST_CASE("time counts from before the write was sent", "[lease][failure]")
{
    // The table's answer takes 8 of the lease's 9 seconds. Counted from the
    // answer, the holder would believe in a lease that others see lapsed.
    TableModel tables;
    Holder a(tables, "a");
    a.latency = 4 * Second; // read and write: 8 in all
    a.tick(seconds(0));
    CHECK(a.keeper.holds(seconds(8)));
    CHECK_FALSE(a.keeper.holds(seconds(14)));
}

TEST_CASE("a lost answer is settled by reading", "[lease][failure]")
{
    TableModel tables;
    Holder a(tables, "a");
    a.loseAnswers = 1;
    a.tick(seconds(0));
    CHECK(a.keeper.holds(seconds(1)));
    CHECK(a.keeper.fencing() == 1);
}

TEST_CASE("a released lease is free at once", "[lease]")
{
    TableModel tables;
    Holder a(tables, "a");
    Holder b(tables, "b");
    a.tick(seconds(0));
    b.tick(seconds(0));
    LeaseActions actions;
    a.keeper.release(seconds(1), actions);
    a.perform(actions, seconds(1));
    CHECK_FALSE(a.keeper.holds(seconds(1)));
    b.tick(seconds(3));
    CHECK(b.keeper.holds(seconds(3)));
    CHECK(b.keeper.fencing() == 2);
}

TEST_CASE("a new holder lets old orders run out at engines that do not check", "[lease][failure]")
{
    // Engines that check the fencing number get orders at once. One that does
    // not could obey an order of the last holder that is still under way after
    // ours; it gets none until that cannot be any more, and then again and
    // again until it shows what is wanted.
    OrderManager keeper;
    keeper.setWanted({"checks", "m", "1", {0, 4}, "r"}, true);
    keeper.setWanted({"ignores", "m", "1", {0, 4}, "r"}, false);
    const auto ordered = [&](int second) {
        OrderActions actions;
        keeper.tick(true, 2, seconds(0), seconds(second), actions);
        std::vector<std::string> names;
        for (const SendOrder &order : actions)
            names.push_back(order.engine);
        return names;
    };
    CHECK(ordered(0) == std::vector<std::string> {"checks"});
    keeper.observed({"checks", "m", {0, 4}, false});
    CHECK(ordered(10).empty());
    CHECK(ordered(14) == std::vector<std::string> {"ignores"});
    CHECK(ordered(15).empty());
    CHECK(ordered(20) == std::vector<std::string> {"ignores"});
    keeper.observed({"ignores", "m", {0, 4}, false});
    CHECK(ordered(30).empty());
    // Something else made it change: said again.
    keeper.observed({"ignores", "other", {0, 4}, false});
    CHECK(ordered(31) == std::vector<std::string> {"ignores"});
}

TEST_CASE("without the lease nothing is ordered", "[lease]")
{
    OrderManager keeper;
    keeper.setWanted({"e", "m", "1", {0, 4}, "r"}, true);
    OrderActions actions;
    keeper.tick(false, 1, seconds(0), seconds(100), actions);
    CHECK(actions.empty());
}
