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

TEST_CASE("a snapshot older than the current version is ignored", "[config][failure]")
{
    // An out-of-date peer, or an object store that serves an old object, provides a version
    // lower than the current one.
    ConfigManager manager({}, 1);
    ConfigActions actions;
    manager.peerSnapshot(snapshotOf(7, "new"), Time {}, actions);
    REQUIRE(manager.head().version == 7);
    actions.clear();
    manager.peerSnapshot(snapshotOf(5, "old"), Time {}, actions);
    CHECK(manager.head().version == 7);
    CHECK(actions.empty());
    CHECK(manager.entries().contains("rules/teams/new"));
}

TEST_CASE("a change with a wrong chain digest is rejected and counted as a fork",
          "[config][failure]")
{
    // A peer sends a change with the next version number, but from a different history. The
    // chain digest reveals it.
    ConfigManager manager({}, 1);
    ConfigActions actions;
    manager.peerSnapshot(snapshotOf(7, "t"), Time {}, actions);
    ConfigChange change {8, "id", "a", "s", 0, {}, {}};
    change.digest = chainDigest("another history", change);
    manager.peerChanges({&change, 1}, Time {}, actions);
    CHECK(manager.head().version == 7);
    CHECK(manager.forksSeen() == 1);
    change.digest = chainDigest("digest-7", change);
    manager.peerChanges({&change, 1}, Time {}, actions);
    CHECK(manager.head().version == 8);
}

TEST_CASE("an invalid snapshot is ignored", "[config][failure]")
{
    ConfigManager manager({}, 1);
    ConfigActions actions;
    manager.peerSnapshot({{3, "d"}, {{"rules/teams/t", "{}"}}}, Time {}, actions);
    CHECK(manager.head().version == 0);
    CHECK(actions.empty());
}
