// Configuration and membership between instances, in virtual time.

#include "../fakes/controlharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;
using Kind = ProposalOutcome::Kind;

namespace {

ControlHarness settled(std::size_t nodes, double loss = 0, std::uint64_t seed = 1)
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

bool knowsTeam(ControlHarness &harness, std::size_t node, const std::string &team)
{
    return harness.node(node).config.entries().contains("rules/teams/" + team);
}

} // namespace

TEST_CASE("a change is in force everywhere within seconds", "[control]")
{
    for (const std::size_t nodes : {8, 64}) {
        ControlHarness harness = settled(nodes, 0.1);
        harness.propose(1, ControlHarness::teamProposal("second", "second", 0.1));
        const auto took = harness.timeToVersion(2, std::chrono::seconds(60));
        REQUIRE(took);
        CHECK(*took < std::chrono::seconds(15));
        checkNoRegression(harness);
    }
}

TEST_CASE("two operators race: disjoint edits are both kept", "[control][failure]")
{
    // Both operators are told "accepted". Each proposes from the same version
    // through another instance; the second's commit meets a head that has
    // moved, is rebased on it and committed again.
    ControlHarness harness = settled(8);
    harness.propose(1, ControlHarness::teamProposal("x", "x", 0.1));
    harness.propose(2, ControlHarness::teamProposal("y", "y", 0.1));
    REQUIRE(harness.timeToVersion(3, std::chrono::seconds(60)));
    CHECK(harness.node(1).outcomes["x"].kind == Kind::Accepted);
    CHECK(harness.node(2).outcomes["y"].kind == Kind::Accepted);
    for (std::size_t i = 0; i < harness.size(); ++i) {
        CHECK(knowsTeam(harness, i, "x"));
        CHECK(knowsTeam(harness, i, "y"));
    }
    checkNoRegression(harness);
}

TEST_CASE("two operators race: of clashing edits one is refused", "[control][failure]")
{
    // One operator is told "accepted", the other "conflict" with what the
    // first did. Both edit the same entry at the same time.
    ControlHarness harness = settled(8);
    harness.propose(1, ControlHarness::teamProposal("x1", "x", 0.1));
    harness.propose(2, ControlHarness::teamProposal("x2", "x", 0.2));
    REQUIRE(harness.timeToVersion(2, std::chrono::seconds(60)));
    harness.runFor(std::chrono::seconds(5));
    const auto first = harness.node(1).outcomes["x1"].kind;
    const auto second = harness.node(2).outcomes["x2"];
    const auto &loser = first == Kind::Accepted ? second : harness.node(1).outcomes["x1"];
    CHECK((first == Kind::Accepted) != (second.kind == Kind::Accepted));
    CHECK(loser.kind == Kind::Conflict);
    CHECK(loser.conflicts == std::vector<std::string> {"rules/teams/x"});
    CHECK(harness.node(0).installed == 2);
}

TEST_CASE("the answer to a commit is lost", "[control][failure]")
{
    // The operator is told "accepted", and the change is there once. The
    // commit took effect; committing again would make a second version of it.
    ControlHarness harness = settled(8);
    harness.loseAnswers = 1;
    harness.propose(3, ControlHarness::teamProposal("x", "x", 0.1));
    REQUIRE(harness.timeToVersion(2, std::chrono::seconds(60)));
    harness.runFor(std::chrono::seconds(20));
    CHECK(harness.node(3).outcomes["x"].kind == Kind::Accepted);
    CHECK(harness.node(3).outcomes["x"].head.version == 2);
    for (std::size_t i = 0; i < harness.size(); ++i)
        CHECK(harness.node(i).installed == 2);
}

TEST_CASE("the answer is lost and the platform goes down", "[control][failure]")
{
    // The operator is told "unknown", never "not done". Afterwards the same id
    // is answered "accepted" with the version it got.
    ControlHarness harness = settled(8);
    harness.loseAnswers = 1;
    harness.propose(3, ControlHarness::teamProposal("x", "x", 0.1));
    harness.runFor(Duration(7'000)); // head read and commit are through
    harness.platformDown = true;
    harness.runFor(std::chrono::seconds(10));
    CHECK(harness.node(3).outcomes["x"].kind == Kind::Unknown);
    harness.platformDown = false;
    harness.propose(3, ControlHarness::teamProposal("x", "x", 0.1));
    harness.runFor(std::chrono::seconds(10));
    CHECK(harness.node(3).outcomes["x"].kind == Kind::Accepted);
    CHECK(harness.node(3).outcomes["x"].head.version == 2);
}

TEST_CASE("a change during an outage is refused as not done", "[control][failure]")
{
    ControlHarness harness = settled(8);
    harness.platformDown = true;
    harness.propose(3, ControlHarness::teamProposal("x", "x", 0.1));
    harness.runFor(std::chrono::seconds(10));
    CHECK(harness.node(3).outcomes["x"].kind == Kind::Unavailable);
    harness.platformDown = false;
    harness.runFor(std::chrono::seconds(10));
    CHECK(harness.node(0).installed == 1);
}

TEST_CASE("a domain cut off from platform and peers, then healed", "[control][failure]")
{
    // Callers in the domain are served on with what it holds. Changes are
    // accepted elsewhere; after healing they arrive within the bound, and
    // nothing that the domain held comes back anywhere.
    ControlHarness harness = settled(24);
    for (std::size_t i = 0; i < 24; i += 6) {
        harness.node(i).side = 1;
        harness.node(i).platformReachable = false;
    }
    for (int i = 0; i < 5; ++i) {
        const std::string name = "t" + std::to_string(i);
        harness.propose(1, ControlHarness::teamProposal(name, name, 0.05));
        harness.runFor(std::chrono::seconds(30));
    }
    CHECK(harness.node(1).installed == 6);
    CHECK(harness.node(0).installed == 1);
    for (std::size_t i = 0; i < 24; i += 6) {
        harness.node(i).side = 0;
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

TEST_CASE("a fresh instance in an outage takes the highest version of its peers",
          "[control][failure]")
{
    // The new instance first meets peers that lag: it takes what they have,
    // and moves up when it hears of more. It never goes down.
    ControlHarness harness = settled(12);
    // Half do not hear of version 2 yet.
    for (std::size_t i = 6; i < 12; ++i) {
        harness.node(i).side = 1;
        harness.node(i).platformReachable = false;
    }
    harness.propose(0, ControlHarness::teamProposal("x", "x", 0.1));
    harness.runFor(std::chrono::seconds(20));
    harness.platformDown = true;
    const std::size_t fresh = harness.addNode();
    harness.node(fresh).side = 1;
    CHECK(harness.node(fresh).installed == 0);
    harness.runFor(std::chrono::seconds(60));
    CHECK(harness.node(fresh).installed == 1);
    for (std::size_t i = 0; i < harness.size(); ++i)
        harness.node(i).side = 0;
    REQUIRE(harness.timeToVersion(2, std::chrono::seconds(60)));
    checkNoRegression(harness);
}

TEST_CASE("the object store serves an old snapshot", "[control][failure]")
{
    // A fresh instance far behind starts from a snapshot that is older than it
    // should be, and reads the changes after it.
    ControlHarness harness = settled(4);
    std::string old;
    for (int i = 0; i < 320; ++i) {
        const std::string name = "t" + std::to_string(i);
        harness.propose(0, ControlHarness::teamProposal(name, name, 0.001));
        harness.runFor(std::chrono::milliseconds(100));
        if (harness.node(0).installed == 105)
            old = harness.objects()[std::string(SnapshotObject)];
    }
    harness.runFor(std::chrono::seconds(20));
    REQUIRE(harness.node(0).installed == 321);
    REQUIRE_FALSE(old.empty());
    harness.objects()[std::string(SnapshotObject)] = old;
    const std::size_t fresh = harness.addNode();
    REQUIRE(harness.timeToVersion(321, std::chrono::seconds(60)));
    CHECK(harness.node(fresh).config.head() == harness.node(0).config.head());
    checkNoRegression(harness);
}

TEST_CASE("a dead member is noticed, a slow message is no death", "[control][failure]")
{
    // Callers see nothing. One instance dies; all others know within the
    // bound. With a tenth of all messages lost nobody living is taken for dead.
    ControlHarness harness = settled(32, 0.1);
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

TEST_CASE("leaving beats older news, and a new generation comes back", "[control][failure]")
{
    // An endpoint that is leaving gets nothing new anywhere within seconds. An
    // instance that reads a list of before does not bring it back; a new
    // process under the same name does.
    ControlHarness harness = settled(64, 0.1);
    harness.listed(3, {{"e1", "", 5, false}});
    harness.runFor(std::chrono::seconds(20));
    harness.listed(3, {{"e1", "", 5, true}});
    harness.runFor(std::chrono::seconds(12));
    for (std::size_t i = 0; i < 64; ++i)
        CHECK(harness.node(i).endpointsLeaving["e1"]);
    harness.listed(40, {{"e1", "", 5, false}});
    harness.runFor(std::chrono::seconds(20));
    for (std::size_t i = 0; i < 64; ++i)
        CHECK(harness.node(i).endpointsLeaving["e1"]);
    harness.listed(40, {{"e1", "", 6, false}});
    harness.runFor(std::chrono::seconds(20));
    for (std::size_t i = 0; i < 64; ++i)
        CHECK_FALSE(harness.node(i).endpointsLeaving["e1"]);
}

TEST_CASE("half a domain replaced within a minute, platform down", "[control][failure]")
{
    ControlHarness harness = settled(24, 0.05);
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

TEST_CASE("a leaving instance is not suspected", "[control]")
{
    ControlHarness harness = settled(16);
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
