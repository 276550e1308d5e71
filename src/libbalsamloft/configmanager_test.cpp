#include <balsamloft/configmanager.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

ConfigSnapshot snapshotOf(std::uint64_t version, const std::string &team)
{
    return {{version, "digest-" + std::to_string(version)},
            {{"rules/teams/" + team, R"({"name":")" + team + R"(","share":0.1,"token_sha256":")"
                                         + sha256Hex(team) + "\"}"}}};
}

} // namespace

TEST_CASE("an old snapshot changes nothing", "[config][failure]")
{
    // What is in force stays. A peer that lags, or an object store that serves
    // an old object, hands over a version below the one held.
    ConfigManager keeper({}, 1);
    ConfigActions actions;
    keeper.peerSnapshot(snapshotOf(7, "new"), Time {}, actions);
    REQUIRE(keeper.head().version == 7);
    actions.clear();
    keeper.peerSnapshot(snapshotOf(5, "old"), Time {}, actions);
    CHECK(keeper.head().version == 7);
    CHECK(actions.empty());
    CHECK(keeper.entries().contains("rules/teams/new"));
}

TEST_CASE("a change that does not fit the chain is refused and counted", "[config][failure]")
{
    // What is in force stays. Someone hands over a change with the right
    // number and another history: the digest shows it.
    ConfigManager keeper({}, 1);
    ConfigActions actions;
    keeper.peerSnapshot(snapshotOf(7, "t"), Time {}, actions);
    ConfigChange change {8, "id", "a", "s", 0, {}, {}};
    change.digest = chainDigest("another history", change);
    keeper.peerChanges({&change, 1}, Time {}, actions);
    CHECK(keeper.head().version == 7);
    CHECK(keeper.forksSeen() == 1);
    change.digest = chainDigest("digest-7", change);
    keeper.peerChanges({&change, 1}, Time {}, actions);
    CHECK(keeper.head().version == 8);
}

TEST_CASE("a snapshot that does not compile is not taken", "[config][failure]")
{
    ConfigManager keeper({}, 1);
    ConfigActions actions;
    keeper.peerSnapshot({{3, "d"}, {{"rules/teams/t", "{}"}}}, Time {}, actions);
    CHECK(keeper.head().version == 0);
    CHECK(actions.empty());
}
