// The state that an entry instance replicates from the store and from other instances, and the
// age of that state.

#include <balsamloft/enginefleet.h>
#include <balsamloft/eventsplitter.h>
#include <balsamloft/instancelist.h>
#include <balsamloft/peerdirectory.h>
#include <balsamloft/pollschedule.h>
#include <balsamloft/readfreshness.h>
#include <balsamloft/routemap.h>
#include <balsamloft/tablecopy.h>

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace balsamloft;

namespace {

using std::chrono::milliseconds;
const Time Start(std::chrono::hours(1));

FleetEndpoint endpoint(std::string id)
{
    FleetEndpoint each;
    each.id = each.name = std::move(id);
    each.service = "s";
    return each;
}

std::size_t count(FleetTracker &tracker)
{
    return tracker.snapshot()->endpoints.size();
}

} // namespace

// The list is unavailable for five seconds, and the entries of live endpoints expire. Guards
// against requests that find no endpoint in the first second after the outage.
TEST_CASE("entries that expire in an outage of the list are kept for the recovery time")
{
    FleetTracker tracker;
    tracker.listed({endpoint("a"), endpoint("b")}, Start);
    const Time back = Start + milliseconds(5000);
    tracker.listed({}, back);
    CHECK(count(tracker) == 2);
    tracker.changed(endpoint("a"), back + milliseconds(900));
    tracker.tick(back + milliseconds(2100));
    CHECK(count(tracker) == 1);
}

TEST_CASE("an entry deleted while the list is available is removed at once")
{
    FleetTracker tracker;
    tracker.listed({endpoint("a"), endpoint("b")}, Start);
    tracker.listConfirmed(Start + milliseconds(1000));
    tracker.dropped("a", Start + milliseconds(1500));
    CHECK(count(tracker) == 1);
}

// For 1.8 s the source of this instance could not read the store and sent stale updates, while
// the list was available and an endpoint left. If the entry were kept as after an outage, the
// endpoint would get new requests for seconds after it left.
TEST_CASE("an entry deleted during a short interruption of updates is removed at once")
{
    FleetTracker tracker;
    tracker.listed({endpoint("a"), endpoint("b")}, Start);
    const bool viaSnapshot = GENERATE(false, true);
    const Time back = Start + milliseconds(1800);
    if (viaSnapshot)
        tracker.listed({endpoint("b")}, back);
    else
        tracker.dropped("a", back);
    CHECK(count(tracker) == 1);
}

// The store is down for five seconds while the source keeps answering with stale data, and the
// entries of live endpoints expire. If those answers counted as updates of the list, they would
// hide the outage, and requests would find no endpoint for a second.
TEST_CASE("forwarded stale updates do not hide an outage of the list")
{
    FleetTracker tracker;
    tracker.listed({endpoint("a"), endpoint("b")}, Start);
    for (int i = 0; i < 12; ++i)
        tracker.listConfirmed(Start + milliseconds(100));
    tracker.dropped("a", Start + milliseconds(5000));
    CHECK(count(tracker) == 2);
}

// This instance reads from two sources in turn, and the data of the second source is older. An
// endpoint that leaves at that time must be removed at once, unlike after an outage.
TEST_CASE("an update older than the last one does not count as an outage")
{
    FleetTracker tracker;
    tracker.listed({endpoint("a"), endpoint("b")}, Start);
    tracker.listConfirmed(Start + milliseconds(1000));
    tracker.listConfirmed(Start + milliseconds(200));
    tracker.dropped("a", Start + milliseconds(3000));
    CHECK(count(tracker) == 1);
}

// The entry of a leaving endpoint expires in an outage: it must not be kept, since the endpoint
// does not return.
TEST_CASE("a leaving endpoint stays leaving, and is not kept through an outage")
{
    FleetTracker tracker;
    FleetEndpoint leaving = endpoint("a");
    leaving.draining = true;
    tracker.listed({leaving}, Start);
    tracker.changed(endpoint("a"), Start + milliseconds(100));
    CHECK(tracker.snapshot()->endpoints.front().draining);
    tracker.listed({}, Start + milliseconds(6000));
    CHECK(count(tracker) == 0);
}

// An endpoint announces that it leaves, and its entry is deleted. Then a delayed write of the
// endpoint is executed and restores the entry as ready. The process runs for a few more seconds;
// requests sent to it would be truncated when it exits.
TEST_CASE("an entry written after its deletion does not revert leaving")
{
    FleetTracker tracker;
    FleetEndpoint leaving = endpoint("a");
    leaving.draining = true;
    tracker.listed({leaving}, Start);
    tracker.dropped("a", Start + milliseconds(1000));
    tracker.tick(Start + milliseconds(1500));
    tracker.changed(endpoint("a"), Start + milliseconds(2000));
    CHECK(tracker.snapshot()->endpoints.front().draining);
}

namespace {

FleetEndpoint engineStartedAt(std::uint64_t startedAt, LayerRange layers)
{
    FleetEndpoint each = endpoint("a");
    each.startedAt = startedAt;
    each.id = processId("a", startedAt);
    each.layers = layers;
    return each;
}

} // namespace

// An engine dies and restarts under the same name, without layers. Streams must not be routed
// through the layers of the dead process, and the new process must get requests although the
// old one was leaving or unresponsive.
TEST_CASE("an engine restarted under the same name is a new endpoint")
{
    FleetTracker tracker;
    FleetEndpoint leaving = engineStartedAt(1000, {0, 8});
    leaving.draining = true;
    tracker.listed({leaving, endpoint("b")}, Start);
    const std::string dead = tracker.snapshot()->endpoints.front().id;
    tracker.changed(engineStartedAt(5000, {}), Start + milliseconds(100));
    const FleetPtr fleet = tracker.snapshot();
    REQUIRE(fleet->endpoints.size() == 2);
    CHECK_FALSE(fleet->find(dead));
    const FleetEndpoint *alive = fleet->find(processId("a", 5000));
    REQUIRE(alive);
    CHECK_FALSE(alive->draining);
    CHECK(alive->layers == LayerRange {});
}

// An update about the dead process arrives through another instance after the update about the
// new process, or after the new process is gone as well.
TEST_CASE("an older entry does not restore a replaced engine")
{
    FleetTracker tracker;
    tracker.listed({engineStartedAt(5000, {})}, Start);
    const bool gone = GENERATE(false, true);
    if (gone)
        tracker.dropped("a", Start + milliseconds(50));
    if (GENERATE(false, true))
        tracker.changed(engineStartedAt(1000, {0, 8}), Start + milliseconds(100));
    else
        tracker.listed({engineStartedAt(1000, {0, 8})}, Start + milliseconds(100));
    CHECK_FALSE(tracker.snapshot()->find(processId("a", 1000)));
}

// A caller may be served only while a recent read confirms its key. For any delays, the
// computed time of an answer must not be later than the time at which the store created it.
TEST_CASE("computed time of read data is never later than the actual time")
{
    std::mt19937_64 random(20261202);
    for (int round = 0; round < 200; ++round) {
        ReadFreshness freshness;
        const Duration offset(static_cast<std::int64_t>(random() % 1'000'000'000));
        Time now = Start;
        for (int call = 0; call < 20; ++call) {
            const Time sent = now;
            const Time createdAt = sent + Duration(random() % 2'000'000);
            const Time arrived = createdAt + Duration(random() % 3'000'000);
            const std::int64_t storeMs = (createdAt.time_since_epoch() - offset).count() / 1000;
            freshness.recordAnswer(sent, arrived, storeMs);
            REQUIRE(freshness.knownAt());
            REQUIRE(*freshness.knownAt() <= createdAt);
            now = arrived + Duration(random() % 100'000);
        }
    }
}

TEST_CASE("a long poll's data is as recent as its answer once the clock offset is known")
{
    ReadFreshness freshness;
    freshness.recordAnswer(Start, Start + milliseconds(2), 1000);
    const Time sent = Start + milliseconds(10);
    freshness.recordAnswer(sent, sent + milliseconds(1502), 1000 + 1510);
    CHECK(*freshness.knownAt() >= sent + milliseconds(1490));
    CHECK(*freshness.knownAt() <= sent + milliseconds(1502));
}

// The bytes may be split at any position, and an engine may stop in the middle of an event.
TEST_CASE("only complete events are forwarded for any split of the bytes")
{
    std::string all;
    for (int i = 1; i <= 40; ++i)
        all += "id: " + std::to_string(i) + "\ndata: event " + std::to_string(i) + "\n\n";
    std::mt19937_64 random(20261202);
    for (int round = 0; round < 200; ++round) {
        EventSplitter splitter;
        std::string complete;
        const std::size_t stop = random() % all.size();
        std::size_t at = 0;
        while (at < stop) {
            const std::size_t length = std::min<std::size_t>(stop - at, 1 + random() % 30);
            splitter.add(std::string_view(all).substr(at, length), std::nullopt, complete);
            at += length;
        }
        REQUIRE(all.starts_with(complete));
        REQUIRE((complete.empty() || complete.ends_with("\n\n")));
        REQUIRE(complete.size() + splitter.bufferedBytes() == stop);
        REQUIRE(
            splitter.lastId().value_or(0)
            == static_cast<std::uint64_t>(std::count(complete.begin(), complete.end(), '\n') / 3));
    }
}

TEST_CASE("an event ends at its blank line wherever the bytes are split")
{
    for (const std::string lineEnd : {"\n", "\r\n"}) {
        const std::string event = "id: 1" + lineEnd + "data: x" + lineEnd + lineEnd;
        for (std::size_t split = 0; split < event.size(); ++split) {
            EventSplitter splitter;
            std::string complete;
            CHECK(splitter.add(std::string_view(event).substr(0, split), std::nullopt, complete)
                  == 0);
            for (const char byte : event.substr(split))
                splitter.add(std::string_view(&byte, 1), std::nullopt, complete);
            CHECK(complete == event);
            CHECK_FALSE(splitter.partial());
        }
    }
}

// Guards against a search of the whole event for each piece that arrives.
TEST_CASE("an event that never ends takes time in proportion to its bytes")
{
    constexpr std::size_t Bytes = 8U << 20U;
    constexpr auto MaxDuration = std::chrono::seconds(5); // minutes if searched as a whole
    const std::string piece(4000, '\r');
    EventSplitter splitter;
    std::string complete;
    const auto begin = std::chrono::steady_clock::now();
    while (splitter.bufferedBytes() < Bytes
           && std::chrono::steady_clock::now() - begin < MaxDuration)
        splitter.add(piece, std::nullopt, complete);
    CHECK(splitter.bufferedBytes() >= Bytes);
}

TEST_CASE("events that the caller already has are skipped")
{
    EventSplitter splitter;
    std::string complete;
    CHECK(splitter.add("id: 4\ndata: x\n\nid: 5\ndata: y\n\n", 4, complete) == 1);
    CHECK(complete == "id: 5\ndata: y\n\n");
}

namespace {

/// Returns instances that alternate between two domains.
std::vector<PeerInstance> twoDomains(int count)
{
    std::vector<PeerInstance> instances;
    for (int i = 0; i < count; ++i)
        instances.push_back({"n" + std::to_string(100 + i), i % 2 ? "d" : "e", "10.0.0.1:1"});
    return instances;
}

std::vector<PeerDirectory> directoriesOf(const std::vector<PeerInstance> &instances)
{
    std::vector<PeerDirectory> directories;
    for (const PeerInstance &self : instances) {
        directories.emplace_back(self.name, self.domain);
        directories.back().setInstances(instances);
    }
    return directories;
}

std::size_t storeReaders(const std::vector<PeerDirectory> &directories, Time now)
{
    return static_cast<std::size_t>(
        std::count_if(directories.begin(), directories.end(), [&](const PeerDirectory &each) {
            return each.source(now).kind == ReadSource::Kind::Store;
        }));
}

} // namespace

TEST_CASE("one instance per domain reads from the store")
{
    CHECK(storeReaders(directoriesOf(twoDomains(300)), Start) == 2);
}

// The store fails for all readers. If followers switched from the readers to the store because
// the readers' data is stale, all 300 instances would call the failing store at once.
TEST_CASE("followers do not call the store during its outage")
{
    const std::vector<PeerInstance> instances = twoDomains(300);
    std::vector<PeerDirectory> directories = directoriesOf(instances);
    std::size_t calls = 0;
    for (Time now = Start; now < Start + milliseconds(10'000); now += milliseconds(50)) {
        for (PeerDirectory &each : directories) {
            const ReadSource from = each.source(now);
            if (from.kind == ReadSource::Kind::Store) {
                calls += 1;
                each.storeFailed(now);
            } else if (from.kind == ReadSource::Kind::Instance) {
                each.recordAnswer(from.instance->name, now - Start + milliseconds(1300), false,
                                  now);
            }
        }
    }
    // Two readers per domain, with pauses of 0.6 s or more on average after the first failures.
    CHECK(calls <= 4 * 16);
    // The store is available again, and each reader finds out within its maximum pause.
    for (PeerDirectory &each : directories)
        each.storeAnswered();
    const std::size_t readers = storeReaders(directories, Start + milliseconds(13'000));
    CHECK(readers == 2);
}

// Half of the instances die at the same time, among them readers. Each other instance detects
// the dead ones one by one, and the first live instance of each domain becomes its reader.
TEST_CASE("dead readers are replaced by one live reader per domain")
{
    const std::vector<PeerInstance> instances = twoDomains(300);
    std::vector<PeerDirectory> directories = directoriesOf(instances);
    std::mt19937_64 random(20261203);
    std::set<std::string> dead;
    for (const PeerInstance &each : instances)
        if (random() % 2 == 0)
            dead.insert(each.name);
    std::set<std::string> readers;
    for (Time now = Start; now < Start + milliseconds(6'000); now += milliseconds(50)) {
        readers.clear();
        for (std::size_t i = 0; i < instances.size(); ++i) {
            if (dead.contains(instances[i].name))
                continue;
            const ReadSource from = directories[i].source(now);
            if (from.kind == ReadSource::Kind::Store)
                readers.insert(instances[i].name);
            else if (from.instance && dead.contains(from.instance->name))
                directories[i].markUnresponsive(from.instance->name, now);
            else if (from.instance)
                directories[i].recordAnswer(from.instance->name, milliseconds(500), true, now);
        }
    }
    CHECK(readers.size() == 2);
}

// The store refuses the first reader, but serves all others. The first reader then gets its updates
// from the second reader, and the followers of the first reader keep reading from it.
TEST_CASE("the second reader takes over if the store refuses the first")
{
    const std::vector<PeerInstance> instances = twoDomains(8);
    std::vector<PeerDirectory> directories = directoriesOf(instances);
    directories[0].storeFailed(Start);
    const ReadSource first = directories[0].source(Start);
    REQUIRE(first.instance);
    CHECK(first.instance->name == instances[2].name);
    // The first reader's data is not stale, but it no longer comes from the store directly.
    directories[2].recordAnswer(instances[0].name, milliseconds(600), false, Start);
    CHECK(directories[2].source(Start).kind == ReadSource::Kind::Store);
    directories[4].recordAnswer(instances[0].name, milliseconds(600), false, Start);
    REQUIRE(directories[4].source(Start).instance);
    CHECK(directories[4].source(Start).instance->name == instances[0].name);
}

// Guards against a domain in which all instances query the readers of other domains when the
// readers of the domain cannot read the store. Only these two readers may query other domains; the
// other instances wait for them.
TEST_CASE("a domain that cannot read the store is updated by readers of other domains")
{
    const std::vector<PeerInstance> instances = twoDomains(300);
    std::vector<PeerDirectory> directories = directoriesOf(instances);
    for (const std::size_t reader : {0U, 2U}) {
        directories[reader].storeFailed(Start);
        directories[reader].recordAnswer(instances[2 - reader].name, milliseconds(1500), false,
                                         Start);
        const ReadSource from = directories[reader].source(Start);
        REQUIRE(from.instance);
        CHECK(from.instance->domain == "d");
    }
    for (std::size_t i = 4; i < instances.size(); i += 2) {
        for (int query = 0; query < 2; ++query) {
            const ReadSource from = directories[i].source(Start);
            REQUIRE(from.instance);
            CHECK(from.instance->domain == instances[i].domain);
            directories[i].recordAnswer(from.instance->name, milliseconds(1500), false, Start);
        }
        CHECK(directories[i].source(Start).kind == ReadSource::Kind::None);
    }
}

// Guards against followers that get no updates because both of their sources died.
TEST_CASE("a follower whose sources are both unresponsive reads from a domain reader")
{
    const std::vector<PeerInstance> instances = twoDomains(300);
    PeerDirectory directory = directoriesOf(instances)[298];
    for (int query = 0; query < 2; ++query) {
        const ReadSource from = directory.source(Start);
        REQUIRE(from.instance);
        CHECK(from.instance->name != instances[0].name);
        directory.markUnresponsive(from.instance->name, Start);
    }
    REQUIRE(directory.source(Start).instance);
    CHECK(directory.source(Start).instance->name == instances[0].name);
}

// In a long outage no instance can write its row, although all are alive. If the others counted
// as dead, each instance would read the store directly.
TEST_CASE("instance rows that expire in an outage of the store do not count as dead")
{
    InstanceList list;
    const auto row = [](const char *name, std::int64_t seenMs) {
        return InstanceRow {{name, "d", "10.0.0.1:1"}, seenMs};
    };
    CHECK(list.update(std::vector {row("a", 1'000), row("b", 2'000)}, 10'000).size() == 2);
    CHECK(list.update(std::vector {row("a", 1'000), row("b", 2'000)}, 90'000).size() == 2);
    // Once live instances had time to write again, an expired row means a dead instance.
    CHECK(list.update(std::vector {row("a", 95'000), row("b", 2'000)}, 100'000).size() == 2);
    CHECK(list.update(std::vector {row("a", 140'000), row("b", 2'000)}, 155'000).size() == 1);
}

TEST_CASE("changesSince returns rows changed and deleted after a version")
{
    TableCopy copy;
    copy.replaceAll({{"a", "1", 5, false}, {"b", "1", 6, false}}, {0, 10});
    CHECK_FALSE(copy.changesSince({0, 9})); // before the start of the history
    copy.applyChanges({{"a", "2", 12, false}}, {0, 12});
    REQUIRE(copy.changesSince({0, 10}));
    CHECK(copy.changesSince({0, 10})->size() == 1);
    copy.replaceAll({{"a", "2", 12, false}}, {0, 20}); // new snapshot without b
    const auto changes = copy.changesSince({0, 12});
    REQUIRE(changes);
    REQUIRE(changes->size() == 1);
    CHECK(changes->front().key == "b");
    CHECK(changes->front().dropped);
    CHECK(copy.rows().size() == 1);
}

namespace {

std::vector<std::pair<std::uint64_t, bool>> versionsOf(const std::vector<StoreRow> &rows)
{
    std::vector<std::pair<std::uint64_t, bool>> versions;
    for (const StoreRow &row : rows)
        versions.emplace_back(row.version, row.dropped);
    return versions;
}

} // namespace

// An endpoint is added, leaves and is deleted between two reads. Followers must get these
// changes in the store's order, otherwise the endpoint would remain forever.
TEST_CASE("applyChanges returns new rows in version order and skips known ones")
{
    TableCopy copy;
    copy.replaceAll({}, {0, 10});
    const auto applied = copy.applyChanges(
        {{"a", "", 13, true}, {"a", "ready", 11, false}, {"a", "leaving", 12, false}}, {0, 13});
    const std::vector<std::pair<std::uint64_t, bool>> versions {
        {11, false}, {12, false}, {13, true}};
    CHECK(versionsOf(applied) == versions);
    CHECK(copy.applyChanges({{"a", "", 13, true}}, {0, 13}).empty());
    CHECK(copy.rows().empty());
}

// Guards against callers that get 404 for a route that was added 3 s before. An operator writes
// the full configuration many times within five seconds. Sending every version saturates the
// link of an instance with 30 followers; these time out, switch to another source, query the
// full table again and are 3 s out of date.
TEST_CASE("changesSince returns a row written many times once, in its latest version")
{
    TableCopy copy;
    copy.replaceAll({}, {0, 10});
    for (std::uint64_t version = 11; version <= 80; ++version)
        copy.applyChanges({{"current", std::string(50'000, 'x'), version, false}}, {0, version});
    const auto rows = copy.changesSince({0, 10});
    REQUIRE(rows);
    REQUIRE(rows->size() == 1);
    CHECK(rows->front().version == 80);
}

// An older row of a deleted endpoint arrives late, through another instance or in a full
// snapshot. Guards against requests that are sent to an endpoint that is gone.
TEST_CASE("an older row does not restore a deleted row")
{
    TableCopy copy;
    copy.replaceAll({{"a", "ready", 5, false}, {"b", "ready", 6, false}}, {0, 10});
    copy.applyChanges({{"a", "", 12, true}}, {0, 12});
    if (GENERATE(false, true))
        CHECK(copy.applyChanges({{"a", "ready", 5, false}}, {0, 12}).empty());
    else
        copy.replaceAll({{"a", "ready", 5, false}, {"b", "ready", 6, false}}, {0, 11});
    REQUIRE(copy.rows().size() == 1);
    CHECK(copy.rows().front().key == "b");
    // A newer write restores the row, which had expired although the endpoint is alive.
    CHECK(copy.applyChanges({{"a", "ready", 14, false}}, {0, 14}).size() == 1);
    CHECK(copy.rows().size() == 2);
}

TEST_CASE("isFullSnapshot recognises changes that contain all existing rows")
{
    TableCopy copy;
    copy.replaceAll({{"a", "1", 5, false}}, {0, 10});
    copy.applyChanges({{"a", "2", 12, false}}, {0, 12});
    CHECK(copy.isFullSnapshot(*copy.changesSince({0, 10})));
    copy.applyChanges({{"b", "1", 13, false}}, {0, 13});
    CHECK(copy.isFullSnapshot(*copy.changesSince({0, 10})));
    CHECK_FALSE(copy.isFullSnapshot(*copy.changesSince({0, 12})));
    copy.applyChanges({{"a", "", 14, true}}, {0, 14});
    CHECK_FALSE(
        copy.isFullSnapshot(*copy.changesSince({0, 10}))); // the same number, but one is a deletion
}

TEST_CASE("changesSince returns nullopt for versions before pruned deletions")
{
    TableCopy copy;
    copy.replaceAll({}, {0, 10});
    for (std::uint64_t version = 11; version <= 511; ++version)
        copy.applyChanges({{"k" + std::to_string(version), "", version, true}}, {0, version});
    CHECK_FALSE(copy.changesSince({0, 10}));
    REQUIRE(copy.changesSince({0, 400}));
    CHECK(copy.changesSince({0, 400})->size() == 111);
}

TEST_CASE("the longest matching prefix wins, and an invalid route does not affect others")
{
    RouteMapBuilder builder(3);
    builder.service({"one", 0, std::nullopt}).service({"two", 0, std::nullopt});
    Route route;
    route.host = "h";
    route.prefix = "/a/";
    route.name = "short";
    builder.route(route, {{"one", 1}});
    route.prefix = "/a/b/";
    route.name = "long";
    builder.route(route, {{"two", 1}});
    route.prefix = "/c/";
    route.name = "bad";
    builder.route(route, {{"missing", 1}});
    const RouteMapPtr map = builder.build();
    REQUIRE(map->match("h", "/a/b/c"));
    CHECK(map->match("h", "/a/b/c")->name == "long");
    CHECK(map->match("h", "/a/x")->name == "short");
    CHECK_FALSE(map->match("h", "/c/x"));
    CHECK_FALSE(map->match("other", "/a/x"));
    CHECK(builder.skippedRoutes().size() == 1);
}

TEST_CASE("a weighted split follows the weights and is stable per request")
{
    RouteMapBuilder builder(1);
    builder.service({"one", 0, std::nullopt}).service({"two", 0, std::nullopt});
    Route route;
    route.host = "h";
    route.prefix = "/";
    builder.route(route, {{"one", 90}, {"two", 10}});
    const RouteMapPtr map = builder.build();
    int second = 0;
    for (int i = 0; i < 2000; ++i)
        second += static_cast<int>(map->target(map->routes()[0], "r" + std::to_string(i)));
    CHECK(second > 140);
    CHECK(second < 260);
    CHECK(map->target(map->routes()[0], "x") == map->target(map->routes()[0], "x"));
}

// A burst fills an engine within a second. Instances that receive its usage a second late keep
// sending requests, which the engine refuses. More frequent polls reduce this delay.
TEST_CASE("an engine that is filling up is polled more often than an idle one")
{
    const Duration defaultInterval = pollInterval({100, 100, 1000});
    CHECK(pollInterval({400, 400, 1000}) < defaultInterval / 2);
    CHECK(pollInterval({300, 100, 1000}) < defaultInterval / 2);
    CHECK(pollInterval({20, 300, 1000}) < defaultInterval / 2); // it may fill up again as quickly
    CHECK(pollInterval({0, 0, 0}) == defaultInterval); // no layers, hence no capacity
}

// Guards against new requests to an exiting endpoint whose entry lapses and comes back.
TEST_CASE("an exit announced in an answer outlasts the entry of its process, and no further")
{
    FleetTracker tracker;
    FleetEndpoint process = endpoint("a");
    process.startedAt = 1;
    process.id = processId("a", 1);
    tracker.listed({process, endpoint("b")}, Start);
    tracker.snapshot();
    tracker.announcedExit("an unknown process", Start);
    CHECK_FALSE(tracker.dirty());
    tracker.announcedExit(process.id, Start);
    CHECK(tracker.dirty());
    CHECK(tracker.snapshot()->find(process.id)->draining);
    tracker.dropped("a", Start + milliseconds(500));
    tracker.announcedExit(process.id, Start + milliseconds(600));
    tracker.changed(process, Start + milliseconds(900));
    CHECK(tracker.snapshot()->find(process.id)->draining);
    process.startedAt = 2;
    process.id = processId("a", 2);
    tracker.changed(process, Start + milliseconds(1200));
    CHECK_FALSE(tracker.snapshot()->find(process.id)->draining);
}
