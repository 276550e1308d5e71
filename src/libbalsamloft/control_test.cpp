// Configuration exchange and membership between instances, in virtual time.

#include "../fakes/controlharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;
using Kind = ProposalOutcome::Kind;

namespace {

ControlHarness harnessAtVersion1(std::size_t nodes, double loss = 0, std::uint64_t seed = 1)
{
    ControlHarness harness({.nodes = nodes, .loss = loss, .seed = seed});
    harness.runFor(std::chrono::seconds(30));
    harness.propose(0, ControlHarness::teamProposal("first", "first", 0.1));
    REQUIRE(harness.timeToVersion(1, std::chrono::seconds(30)));
    return harness;
}

void checkNoRegression(ControlHarness &harness)
{
    for (std::size_t i = 0; i < harness.size(); ++i) {
        CHECK(harness.node(i).regressions == 0);
        CHECK(harness.node(i).config.forksSeen() == 0);
    }
}

bool hasTeam(ControlHarness &harness, std::size_t node, const std::string &team)
{
    return harness.node(node).config.entries().contains("rules/teams/" + team);
}

} // namespace

TEST_CASE("a change is active at all instances within 15 seconds", "[control]")
{
    for (const std::size_t nodes : {8, 64}) {
        ControlHarness harness = harnessAtVersion1(nodes, 0.1);
        harness.propose(1, ControlHarness::teamProposal("second", "second", 0.1));
        const auto took = harness.timeToVersion(2, std::chrono::seconds(60));
        REQUIRE(took);
        CHECK(*took < std::chrono::seconds(15));
        checkNoRegression(harness);
    }
}

TEST_CASE("concurrent proposals with disjoint edits are both accepted", "[control][failure]")
{
    // Two operators propose changes to the same version through different instances. The
    // second commit fails because the head has changed, is rebased and committed again.
    ControlHarness harness = harnessAtVersion1(8);
    harness.propose(1, ControlHarness::teamProposal("x", "x", 0.1));
    harness.propose(2, ControlHarness::teamProposal("y", "y", 0.1));
    REQUIRE(harness.timeToVersion(3, std::chrono::seconds(60)));
    CHECK(harness.node(1).outcomes["x"].kind == Kind::Accepted);
    CHECK(harness.node(2).outcomes["y"].kind == Kind::Accepted);
    for (std::size_t i = 0; i < harness.size(); ++i) {
        CHECK(hasTeam(harness, i, "x"));
        CHECK(hasTeam(harness, i, "y"));
    }
    checkNoRegression(harness);
}

TEST_CASE("one of two concurrent proposals that edit the same entry is rejected as a conflict",
          "[control][failure]")
{
    // Two operators edit the same entry at the same time. One proposal is accepted, the other is
    // rejected with a conflict that lists the entry.
    ControlHarness harness = harnessAtVersion1(8);
    harness.propose(1, ControlHarness::teamProposal("x1", "x", 0.1));
    harness.propose(2, ControlHarness::teamProposal("x2", "x", 0.2));
    REQUIRE(harness.timeToVersion(2, std::chrono::seconds(60)));
    harness.runFor(std::chrono::seconds(5));
    const auto first = harness.node(1).outcomes["x1"].kind;
    const auto second = harness.node(2).outcomes["x2"];
    const auto &rejected = first == Kind::Accepted ? second : harness.node(1).outcomes["x1"];
    CHECK((first == Kind::Accepted) != (second.kind == Kind::Accepted));
    CHECK(rejected.kind == Kind::Conflict);
    CHECK(rejected.conflicts == std::vector<std::string> {"rules/teams/x"});
    CHECK(harness.node(0).installedVersion == 2);
}

TEST_CASE("a commit whose answer is lost is accepted once", "[control][failure]")
{
    // The commit takes effect, but its answer is lost. The proposal must be reported as
    // accepted without a second commit, which would create another version.
    ControlHarness harness = harnessAtVersion1(8);
    harness.loseAnswers = 1;
    harness.propose(3, ControlHarness::teamProposal("x", "x", 0.1));
    REQUIRE(harness.timeToVersion(2, std::chrono::seconds(60)));
    harness.runFor(std::chrono::seconds(20));
    CHECK(harness.node(3).outcomes["x"].kind == Kind::Accepted);
    CHECK(harness.node(3).outcomes["x"].head.version == 2);
    for (std::size_t i = 0; i < harness.size(); ++i)
        CHECK(harness.node(i).installedVersion == 2);
}

TEST_CASE("a lost commit answer followed by a platform outage is reported as unknown",
          "[control][failure]")
{
    // The outcome must be unknown, not unavailable, because the commit took effect. A later
    // retry with the same id is reported as accepted, with the version of the commit.
    ControlHarness harness = harnessAtVersion1(8);
    harness.loseAnswers = 1;
    harness.propose(3, ControlHarness::teamProposal("x", "x", 0.1));
    harness.runFor(Duration(7'000)); // enough for the head read and the commit
    harness.platformDown = true;
    harness.runFor(std::chrono::seconds(10));
    CHECK(harness.node(3).outcomes["x"].kind == Kind::Unknown);
    harness.platformDown = false;
    harness.propose(3, ControlHarness::teamProposal("x", "x", 0.1));
    harness.runFor(std::chrono::seconds(10));
    CHECK(harness.node(3).outcomes["x"].kind == Kind::Accepted);
    CHECK(harness.node(3).outcomes["x"].head.version == 2);
}

TEST_CASE("a proposal during a platform outage is reported as unavailable", "[control][failure]")
{
    ControlHarness harness = harnessAtVersion1(8);
    harness.platformDown = true;
    harness.propose(3, ControlHarness::teamProposal("x", "x", 0.1));
    harness.runFor(std::chrono::seconds(10));
    CHECK(harness.node(3).outcomes["x"].kind == Kind::Unavailable);
    harness.platformDown = false;
    harness.runFor(std::chrono::seconds(10));
    CHECK(harness.node(0).installedVersion == 1);
}

TEST_CASE("a partitioned domain catches up after the partition heals", "[control][failure]")
{
    // The partitioned domain keeps its version while changes are accepted elsewhere. After the
    // partition heals the changes arrive within 15 seconds, no instance goes back to an older
    // version, and all members are live again.
    ControlHarness harness = harnessAtVersion1(24);
    for (std::size_t i = 0; i < 24; i += 6) {
        harness.node(i).partition = 1;
        harness.node(i).platformReachable = false;
    }
    for (int i = 0; i < 5; ++i) {
        const std::string name = "t" + std::to_string(i);
        harness.propose(1, ControlHarness::teamProposal(name, name, 0.05));
        harness.runFor(std::chrono::seconds(30));
    }
    CHECK(harness.node(1).installedVersion == 6);
    CHECK(harness.node(0).installedVersion == 1);
    for (std::size_t i = 0; i < 24; i += 6) {
        harness.node(i).partition = 0;
        harness.node(i).platformReachable = true;
    }
    const auto took = harness.timeToVersion(6, std::chrono::seconds(60));
    REQUIRE(took);
    CHECK(*took < std::chrono::seconds(15));
    harness.runFor(std::chrono::seconds(60));
    for (std::size_t i = 0; i < 24; ++i)
        CHECK(harness.node(i).membership.liveCount() == 24);
    checkNoRegression(harness);
}

TEST_CASE("a new instance in a platform outage installs the highest version of its peers",
          "[control][failure]")
{
    // The new instance first reaches only peers with an old version and installs that version. It
    // updates once it reaches peers with a newer version. Its version never decreases.
    ControlHarness harness = harnessAtVersion1(12);
    // Half of the instances do not receive version 2 yet.
    for (std::size_t i = 6; i < 12; ++i) {
        harness.node(i).partition = 1;
        harness.node(i).platformReachable = false;
    }
    harness.propose(0, ControlHarness::teamProposal("x", "x", 0.1));
    harness.runFor(std::chrono::seconds(20));
    harness.platformDown = true;
    const std::size_t newNode = harness.addNode();
    harness.node(newNode).partition = 1;
    CHECK(harness.node(newNode).installedVersion == 0);
    harness.runFor(std::chrono::seconds(60));
    CHECK(harness.node(newNode).installedVersion == 1);
    for (std::size_t i = 0; i < harness.size(); ++i)
        harness.node(i).partition = 0;
    REQUIRE(harness.timeToVersion(2, std::chrono::seconds(60)));
    checkNoRegression(harness);
}

TEST_CASE("a new instance catches up from an outdated snapshot", "[control][failure]")
{
    // A new instance starts from a snapshot that is older than the latest one, and reads the
    // changes after it.
    ControlHarness harness = harnessAtVersion1(4);
    std::string old;
    for (int i = 0; i < 320; ++i) {
        const std::string name = "t" + std::to_string(i);
        harness.propose(0, ControlHarness::teamProposal(name, name, 0.001));
        harness.runFor(std::chrono::milliseconds(100));
        if (harness.node(0).installedVersion == 105)
            old = harness.objects()[std::string(SnapshotObject)];
    }
    harness.runFor(std::chrono::seconds(20));
    REQUIRE(harness.node(0).installedVersion == 321);
    REQUIRE_FALSE(old.empty());
    harness.objects()[std::string(SnapshotObject)] = old;
    const std::size_t newNode = harness.addNode();
    REQUIRE(harness.timeToVersion(321, std::chrono::seconds(60)));
    CHECK(harness.node(newNode).config.head() == harness.node(0).config.head());
    checkNoRegression(harness);
}

TEST_CASE("a killed member is detected, and 10 % message loss causes no false detection",
          "[control][failure]")
{
    // With a tenth of all messages lost, no live instance is declared dead in two minutes. A
    // killed instance is declared dead by all others within a minute.
    ControlHarness harness = harnessAtVersion1(32, 0.1);
    harness.runFor(std::chrono::seconds(120));
    for (std::size_t i = 0; i < 32; ++i) {
        for (const auto &[name, state] : harness.node(i).memberStates)
            CHECK(state != MemberState::Dead);
    }
    harness.kill(7);
    harness.runFor(std::chrono::seconds(60));
    for (std::size_t i = 0; i < 32; ++i) {
        if (i != 7)
            CHECK(harness.node(i).memberStates["node-7"] == MemberState::Dead);
    }
}

TEST_CASE("leaving overrides older list entries until a new generation appears",
          "[control][failure]")
{
    // All instances mark a leaving endpoint within seconds. An outdated list read by one of them
    // does not revert the mark, but a new process under the same name does.
    ControlHarness harness = harnessAtVersion1(64, 0.1);
    harness.applyInstanceList(3, {{"e1", "", 5, false}});
    harness.runFor(std::chrono::seconds(20));
    harness.applyInstanceList(3, {{"e1", "", 5, true}});
    harness.runFor(std::chrono::seconds(12));
    for (std::size_t i = 0; i < 64; ++i)
        CHECK(harness.node(i).endpointsLeaving["e1"]);
    harness.applyInstanceList(40, {{"e1", "", 5, false}});
    harness.runFor(std::chrono::seconds(20));
    for (std::size_t i = 0; i < 64; ++i)
        CHECK(harness.node(i).endpointsLeaving["e1"]);
    harness.applyInstanceList(40, {{"e1", "", 6, false}});
    harness.runFor(std::chrono::seconds(20));
    for (std::size_t i = 0; i < 64; ++i)
        CHECK_FALSE(harness.node(i).endpointsLeaving["e1"]);
}

TEST_CASE("instances replaced during a platform outage converge on members and version",
          "[control][failure]")
{
    ControlHarness harness = harnessAtVersion1(24, 0.05);
    harness.platformDown = true;
    for (std::size_t i = 0; i < 24; i += 3) {
        harness.kill(i);
        harness.addNode();
        harness.runFor(std::chrono::seconds(5));
    }
    REQUIRE(harness.timeToVersion(1, std::chrono::seconds(30)));
    harness.runFor(std::chrono::seconds(60));
    for (std::size_t i = 0; i < harness.size(); ++i) {
        if (harness.node(i).alive)
            CHECK(harness.node(i).membership.liveCount() == 24);
    }
    checkNoRegression(harness);
}

TEST_CASE("an instance that left is not suspected", "[control]")
{
    ControlHarness harness = harnessAtVersion1(16);
    harness.leave(5);
    harness.runFor(std::chrono::seconds(6));
    harness.kill(5);
    harness.runFor(std::chrono::seconds(30));
    for (std::size_t i = 0; i < 16; ++i) {
        if (i == 5)
            continue;
        CHECK(harness.node(i).memberStates["node-5"] == MemberState::Leaving);
        CHECK(harness.node(i).membership.liveCount() == 15);
    }
}
