// Tests TableFollower against sources with scripted answers.

#include "tablefollower.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace balsamloft;

namespace {

/// Answers queries with a list of scripted answers, and records the queried versions.
class ScriptedSource : public TableSource
{
public:
    explicit ScriptedSource(std::string peer)
        : m_peer(std::move(peer))
    {
    }

    const std::string &peer() const override { return m_peer; }

    void read(const std::string & /*from*/, Duration /*wait*/, Callback callback) override
    {
        next(0, callback);
    }

    void watch(StoreVersion after, Duration /*wait*/, Callback callback) override
    {
        next(after.number, callback);
    }

    void cancel() override { m_open.reset(); }

    /// Adds an answer with \a rows as of \a version.
    void add(std::vector<StoreRow> rows, std::uint64_t version, bool more = false)
    {
        TableAnswer answer;
        answer.answered = true;
        answer.reply.kind = StoreReply::Kind::Done;
        answer.reply.rows = std::move(rows);
        answer.reply.version = version;
        answer.reply.era = m_era;
        answer.reply.more = more;
        m_answers.push_back(std::move(answer));
    }

    /// The answers from now on are of \a era.
    void setEra(std::uint64_t era) { m_era = era; }

    void addHistoryExpired()
    {
        m_answers.emplace_back();
        m_answers.back().answered = true;
        m_answers.back().reply.kind = StoreReply::Kind::HistoryExpired;
    }

    std::vector<std::uint64_t> queriedVersions; ///< of all queries; 0: a snapshot

private:
    void next(std::uint64_t after, const Callback &callback)
    {
        queriedVersions.push_back(after);
        if (m_answers.empty()) {
            m_open = callback; // the query stays open
            return;
        }
        TableAnswer answer = std::move(m_answers.front());
        m_answers.pop_front();
        callback(std::move(answer));
    }

    std::string m_peer;
    std::uint64_t m_era = 0;
    std::deque<TableAnswer> m_answers;
    std::optional<Callback> m_open;
};

struct FollowerHarness
{
    explicit FollowerHarness(FollowerSettings settings = {},
                             std::function<bool()> needsChangesSoon = {})
    {
        TableEvents events;
        events.snapshot = [this](const auto &rows, StoreVersion, const TableAnswer &) {
            for (const StoreRow &row : rows)
                values.push_back(row.value);
        };
        events.changed = events.snapshot;
        events.answered = [](const TableSource &, const TableAnswer &) {};
        events.chooseSource = [this] {
            return sources[std::min(queryCount++, sources.size() - 1)];
        };
        events.failed = [this](const TableSource &source, bool) {
            failedPeers.push_back(source.peer());
        };
        events.needsChangesSoon = std::move(needsChangesSoon);
        follower = std::make_unique<TableFollower>(timerOf(context), std::move(settings), events);
    }

    boost::asio::io_context context;
    std::vector<TableSource *> sources; ///< for successive queries; the last source repeats
    std::size_t queryCount = 0;
    std::vector<std::string> values;
    std::vector<std::string> failedPeers;
    std::unique_ptr<TableFollower> follower;
};

} // namespace

// The store holds back the change of version 13 but already reports version 14, then drops its
// history. A follower that continued from version 14 would use the old row until the next change.
// It has to query from the old version, receive HistoryExpired and read a snapshot.
TEST_CASE("an answer without changes does not advance the version")
{
    FollowerHarness harness;
    ScriptedSource store("");
    harness.sources = {&store};
    store.add({{"k", "old", 5, false}}, 10);
    store.add({}, 14); // the change of version 13 is held back
    store.addHistoryExpired();
    store.add({{"k", "new", 13, false}}, 14);
    harness.follower->start();
    CHECK(store.queriedVersions == std::vector<std::uint64_t> {0, 10, 10, 0, 14});
    CHECK(harness.values == std::vector<std::string> {"old", "new"});
}

// An instance that cannot read the store still serves its old data. A follower that needs a
// snapshot must not apply that data: endpoints that have since left would receive new requests.
TEST_CASE("a snapshot older than the replica is not applied")
{
    FollowerHarness harness;
    ScriptedSource store("");
    ScriptedSource stale("n1");
    ScriptedSource fresh("n2");
    harness.sources = {&store, &store, &stale, &fresh};
    store.add({{"k", "new", 13, false}}, 14);
    store.addHistoryExpired();
    stale.add({{"k", "old", 5, false}}, 10);
    fresh.add({{"k", "newer", 15, false}}, 16);
    harness.follower->start();
    CHECK(harness.values == std::vector<std::string> {"new", "newer"});
    CHECK(harness.failedPeers == std::vector<std::string> {"n1"});
}

// Guards against an instance without links that starts with all others and long knows none of them.
TEST_CASE("changes that are needed soon are queried before the minimum interval is over")
{
    FollowerSettings settings;
    settings.minInterval = std::chrono::hours(1);
    std::size_t known = 0;
    FollowerHarness harness(settings, [&known] { return ++known < 3; });
    ScriptedSource store("");
    harness.sources = {&store};
    store.add({}, 10);
    for (std::uint64_t version = 11; version < 20; ++version)
        store.add({{"k", "row", version, false}}, version);
    harness.follower->start();
    harness.context.run_for(std::chrono::seconds(2));
    // The snapshot, and three answers with changes, after the last of which none are needed soon.
    CHECK(store.queriedVersions == std::vector<std::uint64_t> {0, 10, 11, 12});
}

// Guards against missed rows if the numbers pass the lost ones before anybody reads.
TEST_CASE("changes of a later era are not taken, but a snapshot is read", "[restored]")
{
    FollowerHarness harness;
    ScriptedSource store("");
    harness.sources = {&store};
    store.setEra(1);
    store.add({{"k", "old", 5, false}}, 10);
    store.setEra(2);
    store.add({{"k", "part", 12, false}}, 12);
    store.add({{"k", "whole", 12, false}, {"m", "whole", 8, false}}, 13);
    harness.follower->start();
    CHECK(store.queriedVersions == std::vector<std::uint64_t> {0, 10, 0, 13});
    CHECK(harness.values == std::vector<std::string> {"old", "whole", "whole"});
}

// Guards against an instance that nobody can update because its old version is the higher number.
TEST_CASE("a snapshot of a later era is taken from another instance, one of an earlier is not",
          "[restored]")
{
    FollowerHarness harness;
    ScriptedSource store("");
    ScriptedSource former("n1");
    ScriptedSource present("n2");
    harness.sources = {&store, &store, &present, &former, &present};
    store.setEra(1);
    store.add({{"k", "old", 50, false}}, 50);
    store.addHistoryExpired();
    present.setEra(2);
    present.add({{"k", "new", 30, false}}, 31);
    former.setEra(1);
    former.add({{"k", "late", 60, false}}, 60);
    harness.follower->start();
    CHECK(harness.values == std::vector<std::string> {"old", "new"});
    CHECK(harness.failedPeers == std::vector<std::string> {"n1"});
}

// Guards against a list that has one part from before the restore and one from after it.
TEST_CASE("pages of two eras are not joined", "[restored]")
{
    FollowerHarness harness;
    ScriptedSource store("");
    harness.sources = {&store};
    store.setEra(1);
    store.add({{"a", "old", 5, false}}, 10, true);
    store.setEra(2);
    store.add({{"b", "new", 6, false}}, 9);
    store.add({{"a", "new", 7, false}}, 9, true);
    store.add({{"b", "new", 6, false}}, 9);
    harness.follower->start();
    CHECK(harness.values == std::vector<std::string> {"new", "new"});
}

// Guards against an era that is noticed only when a long poll of the former one ends.
TEST_CASE("a query that waits at the store is repeated when an era begins", "[restored]")
{
    FollowerHarness harness;
    ScriptedSource store("");
    harness.sources = {&store};
    store.setEra(1);
    store.add({{"k", "old", 5, false}}, 10);
    harness.follower->start();
    REQUIRE(store.queriedVersions == std::vector<std::uint64_t> {0, 10});
    store.addHistoryExpired();
    store.setEra(2);
    store.add({{"k", "new", 6, false}}, 7);
    harness.follower->eraBegan();
    CHECK(harness.values == std::vector<std::string> {"old", "new"});
}

// Guards against hundreds of calls in the first second of a fleet whose store is empty.
TEST_CASE("an empty store is read again after a pause", "[restored]")
{
    FollowerHarness harness;
    ScriptedSource store("");
    harness.sources = {&store};
    for (int i = 0; i < 50; ++i)
        store.add({}, 0);
    harness.follower->start();
    CHECK(store.queriedVersions.size() == 1);
    harness.context.run_one();
    CHECK(store.queriedVersions.size() == 2);
}
