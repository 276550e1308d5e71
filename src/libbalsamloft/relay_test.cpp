#include "../fakes/relayharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two engines that hold a half each, twice, and two plain endpoints.
std::vector<RelayEngine> twoPaths()
{
    return {{"a1", {0, 4}}, {"a2", {4, 8}}, {"b1", {0, 4}}, {"b2", {4, 8}}, {"p1", {}}, {"p2", {}}};
}

/// All instances together have \a slack repeats in a window, however many requests.
RelaySettings onlyRepeats(double slack, Duration window = RelaySettings {}.retryWindow)
{
    RelaySettings settings = RelayHarness::defaults();
    settings.retryRatio = 0;
    settings.retrySlack = slack;
    settings.retryWindow = window;
    return settings;
}

bool goesThrough(const SendRequest &send, const std::string &id)
{
    for (const PathPart &part : send.path)
        if (part.endpoint == id)
            return true;
    return send.endpoint == id;
}

} // namespace

// The caller of a call that may run once sees its connection to the endpoint
// break after the bytes left. Sent again it would run twice; told "not run" the
// caller would send it again. Neither may happen.
TEST_CASE("an unsafe call that may have run is never sent again, nor said not to have run")
{
    const auto failure = GENERATE(AttemptFailure::Broken, AttemptFailure::InvalidAnswer);
    RelayHarness world(twoPaths());
    const FlightId call = world.submit(RequestKind::Unsafe);
    world.fail(call, failure);
    REQUIRE(world.sends(call).size() == 1);
    REQUIRE(world.end(call));
    CHECK(world.end(call)->end == FlightOutcome::Failed);
    CHECK(world.end(call)->retryAfter == Duration {});
}

// Nothing left, or the endpoint says that it ran nothing: another endpoint may
// run it, and when none is left the caller is told that it did not run.
TEST_CASE("an unsafe call that surely did not run goes elsewhere, then is refused as not run")
{
    RelayHarness world(twoPaths());
    const FlightId call = world.submit(RequestKind::Unsafe);
    world.fail(call, AttemptFailure::NotSent);
    REQUIRE(world.sends(call).size() == 2);
    CHECK(world.sends(call)[0].endpoint != world.sends(call)[1].endpoint);
    world.answer(call, 503, false, true);
    world.pass(milliseconds(500));
    REQUIRE(world.end(call));
    CHECK(world.end(call)->end == FlightOutcome::NotRun);
    CHECK(world.end(call)->retryAfter > Duration {});
}

TEST_CASE("an unsafe call is sent on a connection that carried nothing before")
{
    RelayHarness world(twoPaths());
    CHECK(world.sends(world.submit(RequestKind::Unsafe)).front().freshConnection);
    CHECK_FALSE(world.sends(world.submit(RequestKind::Safe)).front().freshConnection);
}

// An engine breaks off in the middle of a stream: the caller sees the events go
// on from another path, after the last one that it got whole.
TEST_CASE("a broken stream goes on elsewhere after its last whole event")
{
    RelayHarness world(twoPaths());
    const FlightId stream = world.submit(RequestKind::Stream);
    REQUIRE(world.answer(stream, 200));
    world.events(stream, 7);
    world.fail(stream, AttemptFailure::Broken);
    const auto sends = world.sends(stream);
    REQUIRE(sends.size() == 2);
    CHECK(sends[1].afterEvent == 7);
    CHECK(sends[1].attempt > sends[0].attempt);
    CHECK_FALSE(goesThrough(sends[1], sends[0].endpoint));
}

// The engine that takes a broken stream over answers with a sealed failure.
// Passed on, it would end the caller's stream as if it were complete.
TEST_CASE("a failure after events were passed breaks the stream off")
{
    RelayHarness world(twoPaths());
    const FlightId stream = world.submit(RequestKind::Stream);
    REQUIRE(world.answer(stream, 200));
    world.events(stream, 7);
    world.fail(stream, AttemptFailure::Broken);
    world.answer(stream, 500);
    CHECK_FALSE(world.passed(stream));
    REQUIRE(world.end(stream));
    CHECK(world.end(stream)->end == FlightOutcome::Truncated);
}

// Late events of an attempt that was given up come after the stream went on
// elsewhere: they must change nothing.
TEST_CASE("what an abandoned attempt still sends changes nothing")
{
    RelayHarness world(twoPaths());
    const FlightId stream = world.submit(RequestKind::Stream);
    REQUIRE(world.answer(stream, 200));
    world.events(stream, 3);
    const std::uint32_t old = world.sends(stream).back().attempt;
    world.fail(stream, AttemptFailure::Broken);
    world.relay.eventsPassed(stream, old, 9, world.now, world.actions);
    CHECK(world.relay.lastEvent(stream) == 3);
    world.relay.streamCompleted(stream, old, world.now, world.actions);
    CHECK_FALSE(world.passed(stream));
}

// Many engines die at once. Each stream is sent again once, but all instances
// together may add only so much load, or those left would fail as well.
TEST_CASE("repeats stay within the budget")
{
    RelaySettings settings = RelayHarness::defaults();
    settings.retryRatio = 0.1;
    settings.retrySlack = 12;
    RelayHarness world(twoPaths(), settings);
    world.relay.setInstances(2, 4, world.now);
    std::vector<FlightId> streams;
    for (int i = 0; i < 100; ++i)
        streams.push_back(world.submit(RequestKind::Stream));
    for (const FlightId stream : streams) {
        REQUIRE(world.answer(stream, 200));
        world.events(stream, 1);
        world.fail(stream, AttemptFailure::Broken);
    }
    std::size_t repeats = 0;
    for (const FlightId stream : streams)
        repeats += world.sends(stream).size() - 1;
    CHECK(repeats <= 12 / 4 + 100 / 10);
    CHECK(repeats >= 3);
}

// An overloaded fleet rejects one new request after another, and each is sent again.
// Then the engine of a stream that has run for seconds dies. Its caller would see a
// broken answer if no repeat was left; the new ones are refused, and come back.
TEST_CASE("new requests leave repeats for streams that have begun")
{
    RelayHarness world(twoPaths(), onlyRepeats(2, milliseconds(3'000)));
    const FlightId stream = world.submit(RequestKind::Stream);
    REQUIRE(world.answer(stream, 200));
    world.events(stream, 4);
    for (std::uint64_t event = 5; event < 40; ++event) { // its first window goes by
        world.pass(milliseconds(100));
        world.events(stream, event);
    }
    const FlightId fresh = world.submit(RequestKind::Stream);
    world.answer(fresh, 503, false, true);
    REQUIRE(world.sends(fresh).size() == 2);
    world.answer(fresh, 503, false, true);
    REQUIRE(world.end(fresh));
    CHECK(world.end(fresh)->end == FlightOutcome::NotRun);
    CHECK(world.end(fresh)->retryAfter > Duration {});
    world.fail(stream, AttemptFailure::Broken);
    world.pass(milliseconds(400)); // both engines had just no room
    CHECK(world.sends(stream).size() == 2);
    CHECK_FALSE(world.end(stream));
}

// A stream ran at two engines, all that its route allows, when an engine of its path
// goes silent and no other path is there. Broken off it would surely be lost to its
// caller; the silence passes, and the caller gets the rest.
TEST_CASE("a stream that may not run again is not broken off for an engine's silence")
{
    RelayHarness world(twoPaths());
    const FlightId stream = world.submit(RequestKind::Stream);
    REQUIRE(world.answer(stream, 200));
    world.events(stream, 3);
    world.fail(stream, AttemptFailure::Broken);
    REQUIRE(world.sends(stream).size() == 2);
    REQUIRE(world.answer(stream, 200));
    world.events(stream, 4);
    const std::string silent = world.sends(stream).back().path.back().endpoint;
    world.relay.queryFailed(silent, world.now, world.actions);
    world.pass(milliseconds(1500));
    CHECK_FALSE(world.end(stream));
    world.events(stream, 5);
    world.endStream(stream);
    CHECK(world.passed(stream));
}

// An engine in the middle of a path pauses, and no other engine has its layers. Given
// up for that, the stream would wait for a path that is not there; left alone, it goes
// on when the engine does.
TEST_CASE("a stream that has begun is not given up before there is another path")
{
    RelayHarness world({{"one", {0, 4}}, {"two", {4, 8}}});
    const FlightId stream = world.submit(RequestKind::Stream);
    REQUIRE(world.answer(stream, 200));
    world.events(stream, 3);
    world.relay.queryFailed("two", world.now, world.actions);
    world.pass(milliseconds(1500));
    CHECK(world.abandoned(stream) == 0);
    world.events(stream, 4);
    world.endStream(stream);
    CHECK(world.passed(stream));
}

// The engine of a stream dies when all repeats of the window are spent. Its caller
// waits two seconds for the next event; within these the window moves on, and the
// stream goes on elsewhere instead of being broken off.
TEST_CASE("a stream that has begun waits for a repeat while its caller does")
{
    RelayHarness world(twoPaths(), onlyRepeats(1, milliseconds(2'000)));
    const auto begin = [&] {
        const FlightId stream = world.submit(RequestKind::Stream);
        REQUIRE(world.answer(stream, 200));
        world.events(stream, 1);
        return stream;
    };
    world.submit(RequestKind::Stream);
    world.pass(milliseconds(2'500)); // the first window of this instance
    const FlightId other = begin();
    world.fail(other, AttemptFailure::Broken);
    REQUIRE(world.sends(other).size() == 2); // the only repeat
    world.pass(milliseconds(1'300));
    const FlightId stream = begin();
    world.fail(stream, AttemptFailure::Broken);
    CHECK(world.sends(stream).size() == 1);
    world.pass(milliseconds(1'500));
    CHECK(world.sends(stream).size() == 2);
    CHECK_FALSE(world.end(stream));
}

// Two of four instances stop in turn. What they spent counts in the same window,
// so their shares may not go to the others before it is over.
TEST_CASE("the share of an instance that left is not given out again in the same window")
{
    RelayHarness world(twoPaths(), onlyRepeats(40));
    world.relay.setInstances(2, 4, world.now);
    world.submit(RequestKind::Stream); // the budget's own first window begins
    world.pass(milliseconds(11'000));
    world.relay.setInstances(2, 2, world.now);
    const auto repeats = [&] {
        std::size_t count = 0;
        for (int i = 0; i < 30; ++i) {
            const FlightId stream = world.submit(RequestKind::Stream);
            REQUIRE(world.answer(stream, 200));
            world.fail(stream, AttemptFailure::Broken);
            count += world.sends(stream).size() - 1;
        }
        return count;
    };
    CHECK(repeats() <= 10);
    world.pass(milliseconds(13'000));
    world.relay.setInstances(2, 2, world.now);
    CHECK(repeats() == 20);
}

// Two living engines ran it: that is all the route allows. One that is gone
// does not count, since what it ran is lost.
TEST_CASE("a request runs at no more endpoints than its route allows")
{
    RelayHarness world(twoPaths());
    const FlightId stream = world.submit(RequestKind::Stream);
    REQUIRE(world.answer(stream, 200));
    world.events(stream, 1);
    const std::string first = world.sends(stream).front().endpoint;
    const bool gone = GENERATE(false, true);
    world.fail(stream, AttemptFailure::Broken);
    REQUIRE(world.sends(stream).size() == 2);
    if (gone)
        world.remove(first);
    world.fail(stream, AttemptFailure::Broken);
    CHECK(world.sends(stream).size() == (gone ? 3 : 2));
}

TEST_CASE("a caller that leaves cancels its work at once")
{
    RelayHarness world(twoPaths());
    const FlightId stream = world.submit(RequestKind::Stream);
    world.relay.callerGone(stream, world.now, world.actions);
    CHECK(world.abandoned(stream) == 1);
    CHECK(world.relay.flights() == 0);
    world.pass(milliseconds(3000));
    CHECK(world.sends(stream).size() == 1);
}

TEST_CASE("what is sent again carries the time that is left")
{
    RelayHarness world(twoPaths());
    const FlightId stream = world.submit(RequestKind::Stream, milliseconds(5000));
    world.pass(milliseconds(200));
    world.fail(stream, AttemptFailure::Broken);
    const auto sends = world.sends(stream);
    REQUIRE(sends.size() == 2);
    CHECK(sends[0].timeLeft == milliseconds(5000));
    CHECK(sends[1].timeLeft <= milliseconds(4800));
}

// Neither the caller's time nor the route's may pass without an answer.
TEST_CASE("a request is answered when its time or its route's is over")
{
    RelayHarness world(twoPaths());
    const FlightId caller = world.submit(RequestKind::Unsafe, milliseconds(800));
    const FlightId route = world.submit(RequestKind::Unsafe, milliseconds(60'000));
    world.pass(milliseconds(850));
    REQUIRE(world.end(caller));
    CHECK(world.end(caller)->end == FlightOutcome::TimedOut);
    CHECK_FALSE(world.end(route));
    world.pass(milliseconds(9250));
    CHECK(world.end(route));
}

TEST_CASE("a request without a path is refused soon, saying when to come back")
{
    RelayHarness world({{"a1", {0, 4}}});
    const FlightId stream = world.submit(RequestKind::Stream);
    world.pass(milliseconds(1000));
    REQUIRE(world.end(stream));
    CHECK(world.end(stream)->end == FlightOutcome::NotRun);
    CHECK(world.end(stream)->retryAfter > Duration {});
}

namespace {

/// Twelve streams that have begun, and the last engine of the first one's path.
struct RunningStreams
{
    explicit RunningStreams(RelayHarness &world)
    {
        for (int i = 0; i < 12; ++i)
            streams.push_back(world.submit(RequestKind::Stream));
        for (const FlightId stream : streams) {
            REQUIRE(world.answer(stream, 200));
            world.events(stream, 1);
        }
        dead = world.sends(streams.front()).front().path.back().endpoint;
    }

    /// Those that do not pass through the dead engine go on; each engine that is
    /// asked says that it does not answer.
    void pass(RelayHarness &world, int steps) const
    {
        for (int step = 0; step < steps; ++step) {
            world.pass(milliseconds(50));
            for (const FlightId stream : streams)
                if (!goesThrough(world.sends(stream).back(), dead))
                    world.events(stream, 2 + static_cast<std::uint64_t>(step));
            for (const std::string &asked : world.asked())
                world.relay.reported(asked, {world.addressOf(dead)}, 1, world.now, world.actions);
        }
    }

    std::vector<FlightId> streams;
    std::string dead;
};

} // namespace

// An engine in the middle of a path dies silently. The streams through it
// pause; the first engine says who does not answer it, and is told another
// path. It does not know the request any more: the stream is sent again within
// half a second of its last event, the others stay.
TEST_CASE("streams through an engine that went silent move, others do not")
{
    RelayHarness world(twoPaths());
    const RunningStreams running(world);
    running.pass(world, 8);
    REQUIRE_FALSE(world.asked().empty());
    for (const FlightId stream : running.streams) {
        INFO("stream " << stream);
        const bool hit = goesThrough(world.sends(stream).front(), running.dead);
        CHECK(world.pathChanges(stream).size() == (hit ? 1U : 0U));
        if (hit)
            world.answerPathChange(stream, PathReply::Lost);
        CHECK_FALSE(goesThrough(world.sends(stream).back(), running.dead));
        CHECK(world.sends(stream).size() == (hit ? 2U : 1U));
    }
}

// The same, but the first engine takes the other path: the caller's stream goes
// on with no second send, so a dead engine costs none of the few repeats.
TEST_CASE("a stream whose engine died goes on along another path without being sent again")
{
    RelayHarness world(twoPaths());
    const RunningStreams running(world);
    running.pass(world, 8);
    for (const FlightId stream : running.streams) {
        if (!goesThrough(world.sends(stream).front(), running.dead))
            continue;
        INFO("stream " << stream);
        REQUIRE(world.pathChanges(stream).size() == 1);
        const ChangePath change = world.pathChanges(stream).front();
        CHECK(change.path.front() == world.sends(stream).front().path.front());
        for (const PathPart &part : change.path)
            CHECK(part.endpoint != running.dead);
        world.answerPathChange(stream, PathReply::Taken);
        world.events(stream, 2);
        CHECK(world.sends(stream).size() == 1);
        CHECK_FALSE(world.end(stream));
    }
    CHECK(world.relay.counts().resent == 0);
}

// The first engine is silent too: the order to change the path is not answered.
// The stream may not wait for it until its caller leaves.
TEST_CASE("a change of path that is not answered ends in another send")
{
    RelayHarness world(twoPaths());
    const RunningStreams running(world);
    running.pass(world, 8);
    const FlightId stream = running.streams.front();
    REQUIRE(world.pathChanges(stream).size() == 1);
    world.pass(milliseconds(800));
    CHECK(world.sends(stream).size() == 2);
    world.answerPathChange(stream, PathReply::Taken);
    CHECK(world.sends(stream).size() == 2);
}

// The new path has no room either. The stream is told yet another one before it
// is sent again, which would cost a repeat.
TEST_CASE("a change of path that is refused is tried again along another path")
{
    std::vector<RelayEngine> engines = twoPaths();
    engines.push_back({"c2", {4, 8}});
    RelayHarness world(engines);
    const RunningStreams running(world);
    running.pass(world, 8);
    const FlightId stream = running.streams.front();
    REQUIRE(world.pathChanges(stream).size() == 1);
    const std::string full = world.pathChanges(stream).front().path.back().endpoint;
    world.answerPathChange(stream, PathReply::Refused, full);
    world.pass(milliseconds(50));
    REQUIRE(world.pathChanges(stream).size() == 2);
    CHECK(world.pathChanges(stream).back().path.back().endpoint != full);
    CHECK(world.sends(stream).size() == 1);
    CHECK_FALSE(world.end(stream));
}

// A machine is frozen for four seconds and wakes. All its streams seem silent
// for that long, but the silence was its own: no engine is suspected, nothing
// is sent again, nobody is refused.
TEST_CASE("time that the process did not live through is charged to nobody")
{
    RelayHarness world(twoPaths());
    std::vector<FlightId> streams;
    for (int i = 0; i < 6; ++i) {
        streams.push_back(world.submit(RequestKind::Stream));
        REQUIRE(world.answer(streams.back(), 200));
        world.events(streams.back(), 1);
    }
    world.pass(milliseconds(100));
    world.pass(milliseconds(4000), milliseconds(4000));
    world.pass(milliseconds(50));
    for (const FlightId stream : streams) {
        CHECK(world.sends(stream).size() == 1);
        CHECK_FALSE(world.end(stream));
    }
    CHECK(world.asked().empty());
}

// The engine was reported as leaving while the request waited for a connection,
// or the process was paused until the caller's time was over.
TEST_CASE("right before the bytes leave it is asked again whether they may")
{
    RelayHarness world(twoPaths());
    const FlightId call = world.submit(RequestKind::Safe, milliseconds(1000));
    const SendRequest send = world.sends(call).back();
    CHECK(world.relay.maySend(call, send.attempt, world.now));
    CHECK_FALSE(world.relay.maySend(call, send.attempt + 1, world.now));
    CHECK_FALSE(world.relay.maySend(call, send.attempt, world.now + milliseconds(1000)));
    world.drain(send.endpoint);
    CHECK_FALSE(world.relay.maySend(call, send.attempt, world.now));
}

// While a connection to the first engine is made, another engine of the path
// begins to leave: it would get a new request too.
TEST_CASE("right before the bytes leave all engines of the path are asked for")
{
    RelayHarness world(twoPaths());
    const FlightId stream = world.submit(RequestKind::Stream);
    const SendRequest send = world.sends(stream).back();
    REQUIRE(world.relay.maySend(stream, send.attempt, world.now));
    world.drain(send.path.back().endpoint);
    CHECK_FALSE(world.relay.maySend(stream, send.attempt, world.now));
}

// Also what goes on elsewhere is new work to the engine that gets it.
TEST_CASE("an engine that leaves gets nothing new, not even a stream that goes on")
{
    RelayHarness world(twoPaths());
    const FlightId stream = world.submit(RequestKind::Stream);
    REQUIRE(world.answer(stream, 200));
    world.events(stream, 1);
    const bool onA = world.sends(stream).front().endpoint == "a1";
    const std::string leaving = onA ? "b1" : "a1";
    world.drain(leaving);
    world.fail(stream, AttemptFailure::Broken);
    for (int i = 0; i < 20; ++i) {
        const FlightId other = world.submit(RequestKind::Stream);
        for (const SendRequest &send : world.sends(other))
            CHECK_FALSE(goesThrough(send, leaving));
    }
    for (const SendRequest &send : world.sends(stream))
        CHECK_FALSE(goesThrough(send, leaving));
}

// Engines refuse for want of room, again and again. Each refusal costs one of
// the few repeats, so such an engine is left alone longer each time.
TEST_CASE("an engine that goes on refusing is asked less and less often")
{
    EngineTracker book;
    Time now(std::chrono::hours(1));
    std::vector<Duration> pauses;
    for (int i = 0; i < 4; ++i) {
        book.refusedBusy("e", now);
        Duration pause {};
        while (!book.usable("e", now + pause))
            pause += milliseconds(10);
        pauses.push_back(pause);
        now += pause;
    }
    CHECK(pauses[1] > pauses[0]);
    CHECK(pauses[3] > pauses[2]);
    book.resetRefusals("e");
    book.refusedBusy("e", now);
    CHECK(book.usable("e", now + pauses[0]));
}

// An idempotent call to an endpoint that is silent is tried elsewhere while
// there is time; the caller gets one answer.
TEST_CASE("a safe call that is not answered goes to another endpoint")
{
    RelayHarness world(twoPaths());
    const FlightId call = world.submit(RequestKind::Safe);
    world.pass(milliseconds(600));
    REQUIRE(world.sends(call).size() == 2);
    CHECK(world.abandoned(call) == 1);
    world.answer(call, 200);
    CHECK(world.passed(call));
}

// Guards against a change that is taken for older than the news that all else is as it was.
TEST_CASE("an engine's new state is taken though its domain is known to be as told since")
{
    RelayHarness world({{"e1", {0, 8}}});
    const auto used = [&] { return world.relay.book().load("e1", "near", world.now).used; };
    const auto told = [&](double tokens, milliseconds age) {
        EngineReports reports;
        reports.changed.push_back({"e1", tokens, 1, 0, 1, false, world.now - age});
        reports.asOf["near"] = world.now;
        world.relay.applyEngineReports(reports, world.now, world.actions);
    };
    told(1000, milliseconds(100));
    CHECK(used() == 1000);
    world.pass(milliseconds(300));
    told(5000, milliseconds(100));
    CHECK(used() == 5000);
    world.pass(milliseconds(300));
    told(7000, milliseconds(350)); // true before the news of a moment ago, and told late
    CHECK(used() == 7000);
}

// Guards against a state that counts as unknown since nobody had to tell it again.
TEST_CASE("an engine's state holds as long as its domain is known to be as told")
{
    RelayHarness world({{"e1", {0, 8}}});
    EngineReports reports;
    reports.changed.push_back({"e1", 1000, 1, 0, 1, false, world.now});
    world.relay.applyEngineReports(reports, world.now, world.actions);
    reports.changed.clear();
    for (int second = 0; second < 5; ++second) {
        world.pass(seconds(1));
        reports.asOf["near"] = world.now;
        world.relay.applyEngineReports(reports, world.now, world.actions);
    }
    CHECK(world.relay.book().load("e1", "near", world.now).reported);
    world.pass(seconds(3));
    CHECK_FALSE(world.relay.book().load("e1", "near", world.now).reported);
}

// Guards against news of an engine's silence that arrive after it was heard again.
TEST_CASE("late news of silence shut no engine out that has answered since")
{
    RelayHarness world({{"engine", {0, 8}}});
    const Time silentAt = world.now;
    world.pass(milliseconds(500));
    EngineState state;
    state.id = "engine";
    const bool heardItself = GENERATE(true, false);
    if (heardItself) {
        world.answer(world.submit(RequestKind::Stream), 200);
    } else {
        state.at = world.now;
        world.relay.applyEngineReports({{state}, {}}, world.now, world.actions);
    }
    state.at = silentAt;
    state.silent = true;
    world.relay.applyEngineReports({{state}, {}}, world.now, world.actions);
    CHECK(world.relay.book().usable("engine", world.now));
    world.pass(milliseconds(500));
    state.at = world.now;
    world.relay.applyEngineReports({{state}, {}}, world.now, world.actions);
    CHECK_FALSE(world.relay.book().usable("engine", world.now));
}
