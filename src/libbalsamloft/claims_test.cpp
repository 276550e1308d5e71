// Schedules that once broke the claims, step by step.

#include "../fakes/tablemodel.h"

#include <balsamloft/claims.h>

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

Time at(int millis)
{
    return Time(std::chrono::seconds(1)) + std::chrono::milliseconds(millis);
}

StartClaim claimOf(RequestId request, Time deadline)
{
    return {request, "team", "key", "digest", deadline};
}

/// Takes the only action, which must be a transaction.
RunClaimTransaction onlyTransaction(const ClaimActions &actions)
{
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<RunClaimTransaction>(actions.front()));
    return std::get<RunClaimTransaction>(actions.front());
}

bool won(const ClaimActions &actions)
{
    return std::any_of(actions.begin(), actions.end(), [](const ClaimAction &action) {
        const auto *decided = std::get_if<ClaimDecided>(&action);
        return decided && decided->answer.kind == ClaimAnswer::Kind::Won;
    });
}

} // namespace

TEST_CASE("a release whose answer was lost cannot free a later claim", "[claims][failure]")
{
    // The caller's repeat runs once. Instance a gives a key back; the write
    // takes effect but its answer is lost. Instance b claims the key and runs
    // the request. Then a sends its write again. If that fitted b's row, the
    // key would be free and a third request would run it a second time.
    TableModel tables;
    ClaimManager a({.instance = "a"});
    ClaimManager b({.instance = "b"});
    ClaimActions actions;
    a.claim({0, 1}, claimOf(1, at(1000)), at(0), actions);
    RunClaimTransaction claimA = onlyTransaction(actions);
    actions.clear();
    a.transactionDone(claimA.id, tables.transact(claimA.transaction), at(1), actions);
    REQUIRE(won(actions));
    actions.clear();
    a.settle({0, 1}, ClaimOutcome::NotExecuted, {}, at(2), actions);
    const RunClaimTransaction release = onlyTransaction(actions);
    actions.clear();
    REQUIRE(tables.transact(release.transaction).kind == TransactionOutcome::Kind::Committed);
    a.transactionDone(release.id, {}, at(3), actions);
    REQUIRE(actions.empty());

    b.claim({0, 1}, claimOf(1, at(1000)), at(4), actions);
    RunClaimTransaction claimB = onlyTransaction(actions);
    actions.clear();
    b.transactionDone(claimB.id, tables.transact(claimB.transaction), at(5), actions);
    if (!won(actions)) { // the row is there, marked free: read, then claimed
        REQUIRE(actions.size() == 1);
        const ReadClaimRow read = std::get<ReadClaimRow>(actions.front());
        actions.clear();
        b.readDone(read.id, tables.read(std::string(ClaimTable), read.key), at(6), actions);
        claimB = onlyTransaction(actions);
        actions.clear();
        b.transactionDone(claimB.id, tables.transact(claimB.transaction), at(7), actions);
    }
    REQUIRE(won(actions));

    actions.clear();
    a.tick(at(500), actions);
    const RunClaimTransaction again = onlyTransaction(actions);
    CHECK(tables.transact(again.transaction).kind == TransactionOutcome::Kind::Conflict);
}

TEST_CASE("claims that come while one is under way share the next transaction", "[claims]")
{
    ClaimManager keeper({.instance = "a", .batchSize = 10});
    TableModel tables;
    ClaimActions actions;
    for (RequestId request = 1; request <= 21; ++request)
        keeper.claim({0, request},
                     {request, "team", "key " + std::to_string(request), "d", at(1000)}, at(0),
                     actions);
    std::size_t decided = 0;
    while (!actions.empty()) {
        ClaimActions next;
        for (const ClaimAction &action : actions) {
            if (const auto *transact = std::get_if<RunClaimTransaction>(&action))
                keeper.transactionDone(transact->id, tables.transact(transact->transaction), at(1),
                                       next);
            else
                ++decided;
        }
        actions = std::move(next);
    }
    CHECK(decided == 21);
    CHECK(keeper.transactions() == 3); // 1, then 10, then 10
}

TEST_CASE("memory for finished claims is bounded while the table is down", "[claims][failure]")
{
    // Callers have their answers. The table is down for long; of the oldest
    // keys a repeat will be told "unknown", which is true, and nothing grows.
    ClaimManager keeper({.instance = "a", .batchSize = 1, .maxUnresolved = 5});
    TableModel tables;
    ClaimActions actions;
    for (RequestId request = 1; request <= 20; ++request) {
        keeper.claim({0, request}, {request, "t", std::to_string(request), "d", at(1000)}, at(0),
                     actions);
        const auto transact = onlyTransaction(actions);
        actions.clear();
        keeper.transactionDone(transact.id, tables.transact(transact.transaction), at(0), actions);
        actions.clear();
    }
    for (RequestId request = 1; request <= 20; ++request) {
        keeper.settle({0, request}, ClaimOutcome::Finished, {}, at(1), actions);
        for (const ClaimAction &action : std::exchange(actions, {})) {
            const auto &transact = std::get<RunClaimTransaction>(action);
            keeper.transactionDone(transact.id, {TransactionOutcome::Kind::NotCommitted, {}}, at(1),
                                   actions);
        }
    }
    CHECK(keeper.unresolved() <= 6);
    CHECK(keeper.resolutionsDropped() >= 14);
}
