// Claims of idempotency keys during faults of the table service.

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

StartClaim makeClaim(RequestId request, Time deadline)
{
    return {request, "team", "key", "digest", deadline};
}

/// Returns the only action, which must be a transaction.
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

TEST_CASE("a repeated release whose answer was lost does not free a later claim",
          "[claims][failure]")
{
    // Instance "a" releases a key. The write takes effect, but its answer is lost. Instance "b"
    // claims the key and executes the request. Then instance "a" repeats its write. If the row then
    // still had the version that this write expects, the key would be freed, and the request could
    // be executed a second time.
    TableModel tables;
    ClaimManager a({.instance = "a"});
    ClaimManager b({.instance = "b"});
    ClaimActions actions;
    a.claim({0, 1}, makeClaim(1, at(1000)), at(0), actions);
    RunClaimTransaction claimA = onlyTransaction(actions);
    actions.clear();
    a.transactionDone(claimA.id, tables.transact(claimA.transaction), at(1), actions);
    REQUIRE(won(actions));
    actions.clear();
    a.resolve({0, 1}, ClaimOutcome::NotExecuted, {}, at(2), actions);
    const RunClaimTransaction release = onlyTransaction(actions);
    actions.clear();
    REQUIRE(tables.transact(release.transaction).kind == TransactionOutcome::Kind::Committed);
    a.transactionDone(release.id, {}, at(3), actions);
    REQUIRE(actions.empty());

    b.claim({0, 1}, makeClaim(1, at(1000)), at(4), actions);
    RunClaimTransaction claimB = onlyTransaction(actions);
    actions.clear();
    b.transactionDone(claimB.id, tables.transact(claimB.transaction), at(5), actions);
    if (!won(actions)) { // the row exists and is marked free: it is read, then claimed
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
    const RunClaimTransaction repeatedRelease = onlyTransaction(actions);
    CHECK(tables.transact(repeatedRelease.transaction).kind == TransactionOutcome::Kind::Conflict);
}

TEST_CASE("claims that arrive during a transaction share the next one", "[claims]")
{
    ClaimManager manager({.instance = "a", .batchSize = 10});
    TableModel tables;
    ClaimActions actions;
    for (RequestId request = 1; request <= 21; ++request)
        manager.claim({0, request},
                      {request, "team", "key " + std::to_string(request), "d", at(1000)}, at(0),
                      actions);
    std::size_t decided = 0;
    while (!actions.empty()) {
        ClaimActions next;
        for (const ClaimAction &action : actions) {
            if (const auto *transact = std::get_if<RunClaimTransaction>(&action))
                manager.transactionDone(transact->id, tables.transact(transact->transaction), at(1),
                                        next);
            else
                ++decided;
        }
        actions = std::move(next);
    }
    CHECK(decided == 21);
    CHECK(manager.transactions() == 3); // with 1, 10 and 10 claims
}

TEST_CASE("the number of unwritten resolutions is bounded while the table is down",
          "[claims][failure]")
{
    // Guards against memory that grows during a long outage of the table. The requests have been
    // answered already. The oldest outcomes are dropped. A retry with the key of such a request is
    // refused with an unknown outcome, since the key's row stays claimed.
    ClaimManager manager({.instance = "a", .batchSize = 1, .maxPendingResolutions = 5});
    TableModel tables;
    ClaimActions actions;
    for (RequestId request = 1; request <= 20; ++request) {
        manager.claim({0, request}, {request, "t", std::to_string(request), "d", at(1000)}, at(0),
                      actions);
        const auto transact = onlyTransaction(actions);
        actions.clear();
        manager.transactionDone(transact.id, tables.transact(transact.transaction), at(0), actions);
        actions.clear();
    }
    for (RequestId request = 1; request <= 20; ++request) {
        manager.resolve({0, request}, ClaimOutcome::Finished, {}, at(1), actions);
        for (const ClaimAction &action : std::exchange(actions, {})) {
            const auto &transact = std::get<RunClaimTransaction>(action);
            manager.transactionDone(transact.id, {TransactionOutcome::Kind::NotCommitted, {}},
                                    at(1), actions);
        }
    }
    CHECK(manager.pendingResolutions() <= 6);
    CHECK(manager.resolutionsDropped() >= 14);
}
