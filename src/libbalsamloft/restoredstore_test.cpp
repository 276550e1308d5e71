// What an instance keeps when the store comes back from a copy of its content some seconds old.

#include <balsamloft/configurationfetch.h>
#include <balsamloft/crashgossip.h>
#include <balsamloft/enginefleet.h>
#include <balsamloft/eraage.h>
#include <balsamloft/instancelist.h>
#include <balsamloft/readfreshness.h>
#include <balsamloft/tablecopy.h>
#include <balsamloft/trialpermits.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

using std::chrono::milliseconds;
const Time Start(std::chrono::hours(1));

/// Rows whose values are numbers that their writer raises.
RestorePolicy byValue(bool keepsMissing = false)
{
    return {[](const StoreRow &known, const StoreRow &listed) {
                return std::stoi(known.value) > std::stoi(listed.value);
            },
            {},
            keepsMissing};
}

std::vector<std::string> valuesOf(const TableCopy &copy)
{
    std::vector<std::string> values;
    for (const StoreRow &row : copy.rows())
        values.push_back(row.key + "=" + row.value);
    return values;
}

using Values = std::vector<std::string>;

FleetEndpoint endpoint(const std::string &name, LayerRange layers = {})
{
    FleetEndpoint each;
    each.id = each.name = name;
    each.layers = layers;
    return each;
}

std::size_t count(FleetTracker &tracker)
{
    return tracker.snapshot()->endpoints.size();
}

} // namespace

// Guards against rows that are ignored until the store's counter has passed its old value.
TEST_CASE("rows of a later era replace those with higher numbers", "[restored]")
{
    TableCopy copy;
    copy.replaceAll({{"a", "old", 90, false}, {"b", "old", 91, false}}, {1, 100});
    copy.replaceAll({{"a", "new", 61, false}}, {2, 62});
    CHECK(valuesOf(copy) == Values {"a=new"});
    CHECK(copy.version() == StoreVersion {2, 62});
    CHECK(copy.applyChanges({{"a", "newer", 63, false}}, {2, 63}).size() == 1);
    CHECK_FALSE(copy.changesSince({1, 100}));
    CHECK(copy.changesSince({2, 62})->size() == 1);
}

// Guards against rows of the former era that arrive late, from a slow answer or another instance.
TEST_CASE("rows of an earlier era change nothing", "[restored]")
{
    TableCopy copy;
    copy.replaceAll({{"a", "new", 61, false}}, {2, 62});
    copy.replaceAll({{"a", "old", 90, false}}, {1, 100});
    CHECK(copy.applyChanges({{"a", "old", 95, false}}, {1, 100}).empty());
    CHECK(valuesOf(copy) == Values {"a=new"});
}

// Guards against a configuration that reverts until the operator writes it again.
TEST_CASE("a value that is later by its writer's order stays until the writer writes again",
          "[restored]")
{
    TableCopy copy(byValue());
    copy.replaceAll({{"a", "26", 90, false}, {"b", "1", 91, false}}, {1, 100});
    copy.replaceAll({{"a", "20", 50, false}, {"b", "2", 62, false}}, {2, 62});
    CHECK(valuesOf(copy) == Values {"a=26", "b=2"});
    CHECK(copy.isLost("a"));
    CHECK_FALSE(copy.isLost("b"));
    copy.replaceAll({{"a", "20", 50, false}, {"b", "2", 62, false}}, {2, 64});
    CHECK(valuesOf(copy) == Values {"a=26", "b=2"});
    copy.applyChanges({{"a", "22", 65, false}}, {2, 65});
    CHECK(valuesOf(copy) == Values {"a=22", "b=2"});
    CHECK(copy.lostRows().empty());
}

// Guards against an endpoint that is gone and that the copy lists.
TEST_CASE("a deleted row that the store has again stays deleted until it is written", "[restored]")
{
    TableCopy copy;
    copy.replaceAll({{"a", "ready", 30, false}}, {1, 40});
    copy.applyChanges({{"a", "", 45, true}}, {1, 45});
    copy.replaceAll({{"a", "ready", 30, false}}, {2, 41});
    CHECK(copy.rows().empty());
    REQUIRE(copy.lostRows().size() == 1);
    CHECK(copy.lostRows().front().dropped);
    if (GENERATE(false, true))
        copy.applyChanges({{"a", "ready", 42, false}}, {2, 42});
    else
        copy.replaceAll({{"a", "ready", 42, false}}, {2, 42});
    CHECK(copy.rows().size() == 1);
    CHECK(copy.lostRows().empty());
}

// Guards against an endpoint without requests whose name another had that left.
TEST_CASE("a deleted row of which the writer has a later one exists", "[restored]")
{
    RestorePolicy policy = byValue();
    policy.isRewritten = policy.isLater;
    TableCopy copy(policy);
    copy.replaceAll({{"a", "5", 30, false}, {"b", "5", 31, false}}, {1, 40});
    copy.applyChanges({{"a", "6", 44, false}, {"a", "", 45, true}, {"b", "", 46, true}}, {1, 46});
    copy.replaceAll({{"a", "5", 30, false}, {"b", "7", 29, false}}, {2, 41});
    CHECK(valuesOf(copy) == Values {"b=7"});
}

// Guards against a starting instance that uses an endpoint of which the others know that it left.
TEST_CASE("a snapshot has the latest deletions", "[restored]")
{
    TableCopy copy;
    copy.replaceAll({{"a", "ready", 30, false}, {"b", "ready", 31, false}}, {1, 40});
    copy.applyChanges({{"a", "leaving", 43, false}, {"a", "", 45, true}}, {1, 45});
    TableCopy starting;
    starting.replaceAll(copy.snapshot(), copy.version());
    CHECK(valuesOf(starting) == Values {"b=ready"});
    starting.replaceAll({{"a", "ready", 30, false}, {"b", "ready", 31, false}}, {2, 41});
    CHECK(valuesOf(starting) == Values {"b=ready"});
}

// Guards against a deletion that is written again and again after the store has executed it.
TEST_CASE("a lost deletion is settled when the store does not have the row", "[restored]")
{
    TableCopy copy;
    copy.replaceAll({{"a", "1", 30, false}}, {1, 40});
    copy.applyChanges({{"a", "", 45, true}}, {1, 45});
    copy.replaceAll({{"a", "1", 30, false}}, {2, 41});
    copy.replaceAll({}, {2, 50});
    CHECK(copy.lostRows().empty());
    CHECK(copy.rows().empty());
}

// Guards against crash records that are void because the store lost them.
TEST_CASE("rows that the store lacks are kept where they are written again", "[restored]")
{
    TableCopy copy(byValue(true));
    copy.replaceAll({{"a", "1", 30, false}, {"b", "1", 45, false}}, {1, 45});
    copy.replaceAll({{"a", "1", 30, false}}, {2, 41});
    CHECK(valuesOf(copy) == Values {"a=1", "b=1"});
    copy.replaceAll({{"a", "1", 30, false}}, {2, 42});
    CHECK(valuesOf(copy) == Values {"a=1", "b=1"});
    TableCopy follower(byValue(true));
    follower.replaceAll(copy.rows(), copy.version());
    CHECK(follower.isLost("b"));
    for (TableCopy *each : {&copy, &follower}) {
        each->applyChanges({{"b", "1", 43, false}}, {2, 43});
        CHECK(each->lostRows().empty());
        each->replaceAll({{"a", "1", 30, false}}, {2, 50});
        CHECK(valuesOf(*each) == Values {"a=1"});
    }
}

// Guards against endpoints that are lost because the copy was made before they started.
TEST_CASE("endpoints that a restored store lacks stay until they had time to write again",
          "[restored]")
{
    FleetTracker tracker;
    tracker.listed({endpoint("a"), endpoint("b"), endpoint("c")}, Start);
    FleetEndpoint leaving = endpoint("c");
    leaving.draining = true;
    tracker.changed(leaving, Start + milliseconds(100));
    const Time restored = Start + milliseconds(500);
    tracker.listedAfterRestore({endpoint("a")}, restored);
    CHECK(count(tracker) == 2);
    tracker.changed(endpoint("b"), restored + milliseconds(900));
    tracker.tick(restored + milliseconds(2100));
    CHECK(count(tracker) == 2);
    tracker.listedAfterRestore({endpoint("a")}, restored + milliseconds(3000));
    tracker.tick(restored + milliseconds(5100));
    CHECK(count(tracker) == 1);
}

// Guards against paths through layers that an engine held when the copy was made.
TEST_CASE("an older entry of a restored store counts only if it is not written again", "[restored]")
{
    FleetTracker tracker;
    tracker.listed({endpoint("a", {0, 8}), endpoint("b", {0, 8})}, Start);
    tracker.listedAfterRestore({endpoint("a", {0, 4}), endpoint("b", {0, 4})}, Start);
    const auto layersOf = [&](const char *id) { return tracker.snapshot()->find(id)->layers; };
    CHECK(layersOf("a") == LayerRange {0, 8});
    tracker.changed(endpoint("a", {4, 8}), Start + milliseconds(800));
    tracker.tick(Start + milliseconds(1900));
    CHECK(layersOf("b") == LayerRange {0, 8});
    tracker.tick(Start + milliseconds(2000));
    CHECK(layersOf("a") == LayerRange {4, 8});
    CHECK(layersOf("b") == LayerRange {0, 4});
}

// Guards against two instances that try a request at the same time, one by a permit that was lost.
TEST_CASE("no permit is granted until those that a restored store may have lost have expired",
          "[restored]")
{
    TrialPermits permits({.holder = "h"});
    CHECK_FALSE(permits.refusalAfterRestore(Start));
    permits.storeRestored(Start);
    const auto refused = permits.refusalAfterRestore(Start + milliseconds(1000));
    REQUIRE(refused);
    CHECK_FALSE(refused->granted);
    CHECK(refused->wait == TrialSettings {}.validFor - milliseconds(1000));
    CHECK_FALSE(permits.refusalAfterRestore(Start + TrialSettings {}.validFor));
}

// Guards against an own permit of the former era that hides the row of another holder.
// Guards against a starting instance that takes the era of the store for an old one.
TEST_CASE("an instance that starts waits for keys unless another one has known the era for longer",
          "[restored]")
{
    EraAge age;
    CHECK(age.mayLackWrites(Start));
    age.learnt(Start);
    CHECK(age.mayLackWrites(Start + RewriteTime - milliseconds(1)));
    CHECK_FALSE(age.mayLackWrites(Start + RewriteTime));
    EraAge told;
    told.learnt(Start);
    told.heard(milliseconds(700), Start); // the other one saw the era begin, or started then
    CHECK(told.mayLackWrites(Start + RewriteTime - milliseconds(701)));
    told.heard(milliseconds(100), Start);
    CHECK_FALSE(told.mayLackWrites(Start + RewriteTime - milliseconds(700)));
    told.heard(std::chrono::hours(5), Start);
    CHECK_FALSE(told.mayLackWrites(Start));
    told.learnt(Start); // the store was restored
    CHECK(told.mayLackWrites(Start));
}

TEST_CASE("trial rows of a later era replace those with higher numbers", "[restored]")
{
    TrialPermits permits({.holder = "h"});
    TrialRow row;
    row.key = contentTrialKey("d");
    row.version = {1, 90};
    row.holder = "former";
    permits.setRows({row}, {});
    row.version = {2, 61};
    row.holder = "present";
    permits.setRows({row}, {});
    CHECK(permits.rows().at(row.key).holder == "present");
}

// Guards against data that counts as fresher than it is because the store has another clock.
TEST_CASE("the age of an answer is not computed with the clock of a former era", "[restored]")
{
    ReadFreshness freshness;
    freshness.recordAnswer(Start, Start + milliseconds(2), 1000, 1);
    const Time sent = Start + milliseconds(1000);
    // The new clock is an hour ahead; the answer took two seconds.
    freshness.recordAnswer(sent, sent + milliseconds(2000), 3'600'000, 2);
    CHECK(*freshness.knownAt() == sent);
}

// Guards against instances that count as dead, or live forever, by times of a former clock.
TEST_CASE("instances stay listed when the store's clock changes, until they wrote their rows again",
          "[restored]")
{
    const std::int64_t shiftMs = GENERATE(-3'600'000, 3'600'000);
    InstanceList list;
    const InstanceRow alive {{"a", "d", "x"}, 90'000'000};
    const InstanceRow dead {{"b", "d", "y"}, 90'000'000};
    REQUIRE(list.update(std::vector {alive, dead}, 90'001'000, 1).size() == 2);
    const std::int64_t nowMs = 90'003'000 + shiftMs;
    CHECK(list.update(std::vector {alive, dead}, nowMs, 2).size() == 2);
    InstanceRow again = alive;
    again.seenMs = nowMs + 20'000;
    CHECK(list.update(std::vector {again, dead}, nowMs + 21'000, 2).size() == 2);
    again.seenMs = nowMs + 70'000;
    CHECK(list.update(std::vector {again, dead}, nowMs + 71'000, 2).size() == 1);
}

// Guards against crash records that expire early because the store's clock has changed.
TEST_CASE("a crash record keeps the time at which it was learnt", "[restored]")
{
    CrashGossip gossip {CrashGossipSettings {}};
    gossip.setStored({{"d", "e", Start}});
    gossip.setStored({{"d", "e", Start - std::chrono::hours(1)}, {"d", "f", Start}});
    REQUIRE(gossip.records().size() == 2);
    for (const CrashRecord &each : gossip.records())
        CHECK(each.at == Start);
}

// Guards against a fleet in which every change of the configuration is fetched a second time.
TEST_CASE("a newer configuration is fetched if it may be lost, or does not come otherwise",
          "[restored]")
{
    ConfigurationFetch fetch;
    CHECK_FALSE(fetch.heard(26, 20, Start));
    CHECK_FALSE(fetch.heard(26, 20, Start + milliseconds(500)));
    CHECK_FALSE(fetch.heard(30, 26, Start + milliseconds(700)));
    CHECK(fetch.heard(33, 26, Start + milliseconds(1300)));
    CHECK_FALSE(fetch.heard(33, 26, Start + milliseconds(1400)));
    fetch.finished();
    CHECK_FALSE(fetch.heard(33, 33, Start + milliseconds(1500)));
    fetch.storeRestored(Start + milliseconds(5000));
    CHECK(fetch.heard(37, 33, Start + milliseconds(5100)));
}
