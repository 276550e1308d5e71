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
    RelayHarness harness(twoPaths());
    const FlightId call = harness.submit(RequestKind::Unsafe);
    harness.fail(call, failure);
    REQUIRE(harness.sends(call).size() == 1);
    REQUIRE(harness.finished(call));
    CHECK(harness.finished(call)->outcome == FlightOutcome::Failed);
    CHECK(harness.finished(call)->retryAfter == Duration {});
}

// Nothing left, or the endpoint says that it ran nothing: another endpoint may
// run it, and when none is left the caller is told that it did not run.
TEST_CASE("an unsafe call that surely did not run goes elsewhere, then is refused as not run")
{
    RelayHarness harness(twoPaths());
    const FlightId call = harness.submit(RequestKind::Unsafe);
    harness.fail(call, AttemptFailure::NotSent);
    REQUIRE(harness.sends(call).size() == 2);
    CHECK(harness.sends(call)[0].endpoint != harness.sends(call)[1].endpoint);
    harness.answer(call, 503, false, true);
    harness.advance(milliseconds(500));
    REQUIRE(harness.finished(call));
    CHECK(harness.finished(call)->outcome == FlightOutcome::NotExecuted);
    CHECK(harness.finished(call)->retryAfter > Duration {});
}

TEST_CASE("an unsafe call is sent on a connection that carried nothing before")
{
    RelayHarness harness(twoPaths());
    CHECK(harness.sends(harness.submit(RequestKind::Unsafe)).front().freshConnection);
    CHECK_FALSE(harness.sends(harness.submit(RequestKind::Safe)).front().freshConnection);
}

// An engine breaks off in the middle of a stream: the caller sees the events go
// on from another path, after the last one that it got whole.
TEST_CASE("a broken stream goes on elsewhere after its last whole event")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 7);
    harness.fail(stream, AttemptFailure::Broken);
    const auto sends = harness.sends(stream);
    REQUIRE(sends.size() == 2);
    CHECK(sends[1].afterEvent == 7);
    CHECK(sends[1].attempt > sends[0].attempt);
    CHECK_FALSE(goesThrough(sends[1], sends[0].endpoint));
}

// The engine that takes a broken stream over answers with a sealed failure.
// Passed on, it would end the caller's stream as if it were complete.
TEST_CASE("a failure after events were passed breaks the stream off")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 7);
    harness.fail(stream, AttemptFailure::Broken);
    harness.answer(stream, 500);
    CHECK_FALSE(harness.passed(stream));
    REQUIRE(harness.finished(stream));
    CHECK(harness.finished(stream)->outcome == FlightOutcome::Truncated);
}

// Late events of an attempt that was given up come after the stream went on
// elsewhere: they must change nothing.
TEST_CASE("what an abandoned attempt still sends changes nothing")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 3);
    const std::uint32_t old = harness.sends(stream).back().attempt;
    harness.fail(stream, AttemptFailure::Broken);
    harness.relay.eventsPassed(stream, old, 9, harness.now, harness.actions);
    CHECK(harness.relay.lastEvent(stream) == 3);
    harness.relay.streamCompleted(stream, old, harness.now, harness.actions);
    CHECK_FALSE(harness.passed(stream));
}

// Many engines die at once. Each stream is sent again once, but all instances
// together may add only so much load, or those left would fail as well.
TEST_CASE("repeats stay within the budget")
{
    RelaySettings settings = RelayHarness::defaults();
    settings.retryRatio = 0.1;
    settings.retrySlack = 12;
    RelayHarness harness(twoPaths(), settings);
    harness.relay.setInstances(2, 4, harness.now);
    std::vector<FlightId> streams;
    for (int i = 0; i < 100; ++i)
        streams.push_back(harness.submit(RequestKind::Stream));
    for (const FlightId stream : streams) {
        REQUIRE(harness.answer(stream, 200));
        harness.forwardEvents(stream, 1);
        harness.fail(stream, AttemptFailure::Broken);
    }
    std::size_t repeats = 0;
    for (const FlightId stream : streams)
        repeats += harness.sends(stream).size() - 1;
    CHECK(repeats <= 12 / 4 + 100 / 10);
    CHECK(repeats >= 3);
}

// An overloaded fleet rejects one new request after another, and each is sent again.
// Then the engine of a stream that has run for seconds dies. Its caller would see a
// broken answer if no repeat was left; the new ones are refused, and come back.
TEST_CASE("new requests leave repeats for streams that have begun")
{
    RelayHarness harness(twoPaths(), onlyRepeats(2, milliseconds(3'000)));
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 4);
    for (std::uint64_t event = 5; event < 40; ++event) { // its first window goes by
        harness.advance(milliseconds(100));
        harness.forwardEvents(stream, event);
    }
    const FlightId fresh = harness.submit(RequestKind::Stream);
    harness.answer(fresh, 503, false, true);
    REQUIRE(harness.sends(fresh).size() == 2);
    harness.answer(fresh, 503, false, true);
    REQUIRE(harness.finished(fresh));
    CHECK(harness.finished(fresh)->outcome == FlightOutcome::NotExecuted);
    CHECK(harness.finished(fresh)->retryAfter > Duration {});
    harness.fail(stream, AttemptFailure::Broken);
    harness.advance(milliseconds(400)); // both engines had just no room
    CHECK(harness.sends(stream).size() == 2);
    CHECK_FALSE(harness.finished(stream));
}

// A stream ran at two engines, all that its route allows, when an engine of its path
// goes silent and no other path is there. Broken off it would surely be lost to its
// caller; the silence passes, and the caller gets the rest.
TEST_CASE("a stream that may not run again is not broken off for an engine's silence")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 3);
    harness.fail(stream, AttemptFailure::Broken);
    REQUIRE(harness.sends(stream).size() == 2);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 4);
    const std::string silent = harness.sends(stream).back().path.back().endpoint;
    harness.relay.queryFailed(silent, harness.now, harness.actions);
    harness.advance(milliseconds(1500));
    CHECK_FALSE(harness.finished(stream));
    harness.forwardEvents(stream, 5);
    harness.completeStream(stream);
    CHECK(harness.passed(stream));
}

// An engine in the middle of a path pauses, and no other engine has its layers. Given
// up for that, the stream would wait for a path that is not there; left alone, it goes
// on when the engine does.
TEST_CASE("a stream that has begun is not given up before there is another path")
{
    RelayHarness harness({{"one", {0, 4}}, {"two", {4, 8}}});
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 3);
    harness.relay.queryFailed("two", harness.now, harness.actions);
    harness.advance(milliseconds(1500));
    CHECK(harness.abandoned(stream) == 0);
    harness.forwardEvents(stream, 4);
    harness.completeStream(stream);
    CHECK(harness.passed(stream));
}

// The engine of a stream dies when all repeats of the window are spent. Its caller
// waits two seconds for the next event; within these the window moves on, and the
// stream goes on elsewhere instead of being broken off.
TEST_CASE("a stream that has begun waits for a repeat while its caller does")
{
    RelayHarness harness(twoPaths(), onlyRepeats(1, milliseconds(2'000)));
    const auto begin = [&] {
        const FlightId stream = harness.submit(RequestKind::Stream);
        REQUIRE(harness.answer(stream, 200));
        harness.forwardEvents(stream, 1);
        return stream;
    };
    harness.submit(RequestKind::Stream);
    harness.advance(milliseconds(2'500)); // the first window of this instance
    const FlightId other = begin();
    harness.fail(other, AttemptFailure::Broken);
    REQUIRE(harness.sends(other).size() == 2); // the only repeat
    harness.advance(milliseconds(1'300));
    const FlightId stream = begin();
    harness.fail(stream, AttemptFailure::Broken);
    CHECK(harness.sends(stream).size() == 1);
    harness.advance(milliseconds(1'500));
    CHECK(harness.sends(stream).size() == 2);
    CHECK_FALSE(harness.finished(stream));
}

// Two of four instances stop in turn. What they spent counts in the same window,
// so their shares may not go to the others before it is over.
TEST_CASE("the share of an instance that left is not given out again in the same window")
{
    RelayHarness harness(twoPaths(), onlyRepeats(40));
    harness.relay.setInstances(2, 4, harness.now);
    harness.submit(RequestKind::Stream); // the budget's own first window begins
    harness.advance(milliseconds(11'000));
    harness.relay.setInstances(2, 2, harness.now);
    const auto repeats = [&] {
        std::size_t count = 0;
        for (int i = 0; i < 30; ++i) {
            const FlightId stream = harness.submit(RequestKind::Stream);
            REQUIRE(harness.answer(stream, 200));
            harness.fail(stream, AttemptFailure::Broken);
            count += harness.sends(stream).size() - 1;
        }
        return count;
    };
    CHECK(repeats() <= 10);
    harness.advance(milliseconds(13'000));
    harness.relay.setInstances(2, 2, harness.now);
    CHECK(repeats() == 20);
}

// Two living engines ran it: that is all the route allows. One that is gone
// does not count, since what it ran is lost.
TEST_CASE("a request runs at no more endpoints than its route allows")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 1);
    const std::string first = harness.sends(stream).front().endpoint;
    const bool gone = GENERATE(false, true);
    harness.fail(stream, AttemptFailure::Broken);
    REQUIRE(harness.sends(stream).size() == 2);
    if (gone)
        harness.remove(first);
    harness.fail(stream, AttemptFailure::Broken);
    CHECK(harness.sends(stream).size() == (gone ? 3 : 2));
}

TEST_CASE("a caller that leaves cancels its work at once")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    harness.relay.callerGone(stream, harness.now, harness.actions);
    CHECK(harness.abandoned(stream) == 1);
    CHECK(harness.relay.flights() == 0);
    harness.advance(milliseconds(3000));
    CHECK(harness.sends(stream).size() == 1);
}

TEST_CASE("what is sent again carries the time that is left")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream, milliseconds(5000));
    harness.advance(milliseconds(200));
    harness.fail(stream, AttemptFailure::Broken);
    const auto sends = harness.sends(stream);
    REQUIRE(sends.size() == 2);
    CHECK(sends[0].timeLeft == milliseconds(5000));
    CHECK(sends[1].timeLeft <= milliseconds(4800));
}

// Neither the caller's time nor the route's may pass without an answer.
TEST_CASE("a request is answered when its time or its route's is over")
{
    RelayHarness harness(twoPaths());
    const FlightId caller = harness.submit(RequestKind::Unsafe, milliseconds(800));
    const FlightId route = harness.submit(RequestKind::Unsafe, milliseconds(60'000));
    harness.advance(milliseconds(850));
    REQUIRE(harness.finished(caller));
    CHECK(harness.finished(caller)->outcome == FlightOutcome::TimedOut);
    CHECK_FALSE(harness.finished(route));
    harness.advance(milliseconds(9250));
    CHECK(harness.finished(route));
}

TEST_CASE("a request without a path is refused soon, saying when to come back")
{
    RelayHarness harness({{"a1", {0, 4}}});
    const FlightId stream = harness.submit(RequestKind::Stream);
    harness.advance(milliseconds(1000));
    REQUIRE(harness.finished(stream));
    CHECK(harness.finished(stream)->outcome == FlightOutcome::NotExecuted);
    CHECK(harness.finished(stream)->retryAfter > Duration {});
}

namespace {

/// Twelve streams that have begun, and the last engine of the first one's path.
struct RunningStreams
{
    explicit RunningStreams(RelayHarness &harness)
    {
        for (int i = 0; i < 12; ++i)
            streams.push_back(harness.submit(RequestKind::Stream));
        for (const FlightId stream : streams) {
            REQUIRE(harness.answer(stream, 200));
            harness.forwardEvents(stream, 1);
        }
        dead = harness.sends(streams.front()).front().path.back().endpoint;
    }

    /// Those that do not pass through the dead engine go on; each engine that is
    /// asked says that it does not answer.
    void advance(RelayHarness &harness, int steps) const
    {
        for (int step = 0; step < steps; ++step) {
            harness.advance(milliseconds(50));
            for (const FlightId stream : streams)
                if (!goesThrough(harness.sends(stream).back(), dead))
                    harness.forwardEvents(stream, 2 + static_cast<std::uint64_t>(step));
            for (const std::string &asked : harness.queriedEngines())
                harness.relay.queryAnswered(asked, {harness.addressOf(dead)}, 1, harness.now,
                                            harness.actions);
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
    RelayHarness harness(twoPaths());
    const RunningStreams running(harness);
    running.advance(harness, 8);
    REQUIRE_FALSE(harness.queriedEngines().empty());
    for (const FlightId stream : running.streams) {
        INFO("stream " << stream);
        const bool hit = goesThrough(harness.sends(stream).front(), running.dead);
        CHECK(harness.pathChanges(stream).size() == (hit ? 1U : 0U));
        if (hit)
            harness.answerPathChange(stream, PathReply::Lost);
        CHECK_FALSE(goesThrough(harness.sends(stream).back(), running.dead));
        CHECK(harness.sends(stream).size() == (hit ? 2U : 1U));
    }
}

// The same, but the first engine takes the other path: the caller's stream goes
// on with no second send, so a dead engine costs none of the few repeats.
TEST_CASE("a stream whose engine died goes on along another path without being sent again")
{
    RelayHarness harness(twoPaths());
    const RunningStreams running(harness);
    running.advance(harness, 8);
    for (const FlightId stream : running.streams) {
        if (!goesThrough(harness.sends(stream).front(), running.dead))
            continue;
        INFO("stream " << stream);
        REQUIRE(harness.pathChanges(stream).size() == 1);
        const ChangePath change = harness.pathChanges(stream).front();
        CHECK(change.path.front() == harness.sends(stream).front().path.front());
        for (const PathPart &part : change.path)
            CHECK(part.endpoint != running.dead);
        harness.answerPathChange(stream, PathReply::Accepted);
        harness.forwardEvents(stream, 2);
        CHECK(harness.sends(stream).size() == 1);
        CHECK_FALSE(harness.finished(stream));
    }
    CHECK(harness.relay.counts().resent == 0);
}

// The first engine is silent too: the order to change the path is not answered.
// The stream may not wait for it until its caller leaves.
TEST_CASE("a change of path that is not answered ends in another send")
{
    RelayHarness harness(twoPaths());
    const RunningStreams running(harness);
    running.advance(harness, 8);
    const FlightId stream = running.streams.front();
    REQUIRE(harness.pathChanges(stream).size() == 1);
    harness.advance(milliseconds(800));
    CHECK(harness.sends(stream).size() == 2);
    harness.answerPathChange(stream, PathReply::Accepted);
    CHECK(harness.sends(stream).size() == 2);
}

// The new path has no room either. The stream is told yet another one before it
// is sent again, which would cost a repeat.
TEST_CASE("a change of path that is refused is tried again along another path")
{
    std::vector<RelayEngine> engines = twoPaths();
    engines.push_back({"c2", {4, 8}});
    RelayHarness harness(engines);
    const RunningStreams running(harness);
    running.advance(harness, 8);
    const FlightId stream = running.streams.front();
    REQUIRE(harness.pathChanges(stream).size() == 1);
    const std::string full = harness.pathChanges(stream).front().path.back().endpoint;
    harness.answerPathChange(stream, PathReply::Refused, full);
    harness.advance(milliseconds(50));
    REQUIRE(harness.pathChanges(stream).size() == 2);
    CHECK(harness.pathChanges(stream).back().path.back().endpoint != full);
    CHECK(harness.sends(stream).size() == 1);
    CHECK_FALSE(harness.finished(stream));
}

// A machine is frozen for four seconds and wakes. All its streams seem silent
// for that long, but the silence was its own: no engine is suspected, nothing
// is sent again, nobody is refused.
TEST_CASE("time that the process did not live through is charged to nobody")
{
    RelayHarness harness(twoPaths());
    std::vector<FlightId> streams;
    for (int i = 0; i < 6; ++i) {
        streams.push_back(harness.submit(RequestKind::Stream));
        REQUIRE(harness.answer(streams.back(), 200));
        harness.forwardEvents(streams.back(), 1);
    }
    harness.advance(milliseconds(100));
    harness.advance(milliseconds(4000), milliseconds(4000));
    harness.advance(milliseconds(50));
    for (const FlightId stream : streams) {
        CHECK(harness.sends(stream).size() == 1);
        CHECK_FALSE(harness.finished(stream));
    }
    CHECK(harness.queriedEngines().empty());
}

// The engine was reported as leaving while the request waited for a connection,
// or the process was paused until the caller's time was over.
TEST_CASE("right before the bytes leave it is asked again whether they may")
{
    RelayHarness harness(twoPaths());
    const FlightId call = harness.submit(RequestKind::Safe, milliseconds(1000));
    const SendRequest send = harness.sends(call).back();
    CHECK(harness.relay.maySend(call, send.attempt, harness.now));
    CHECK_FALSE(harness.relay.maySend(call, send.attempt + 1, harness.now));
    CHECK_FALSE(harness.relay.maySend(call, send.attempt, harness.now + milliseconds(1000)));
    harness.drain(send.endpoint);
    CHECK_FALSE(harness.relay.maySend(call, send.attempt, harness.now));
}

// While a connection to the first engine is made, another engine of the path
// begins to leave: it would get a new request too.
TEST_CASE("right before the bytes leave all engines of the path are asked for")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    const SendRequest send = harness.sends(stream).back();
    REQUIRE(harness.relay.maySend(stream, send.attempt, harness.now));
    harness.drain(send.path.back().endpoint);
    CHECK_FALSE(harness.relay.maySend(stream, send.attempt, harness.now));
}

// Also what goes on elsewhere is new work to the engine that gets it.
TEST_CASE("an engine that leaves gets nothing new, not even a stream that goes on")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 1);
    const bool onA = harness.sends(stream).front().endpoint == "a1";
    const std::string leaving = onA ? "b1" : "a1";
    harness.drain(leaving);
    harness.fail(stream, AttemptFailure::Broken);
    for (int i = 0; i < 20; ++i) {
        const FlightId other = harness.submit(RequestKind::Stream);
        for (const SendRequest &send : harness.sends(other))
            CHECK_FALSE(goesThrough(send, leaving));
    }
    for (const SendRequest &send : harness.sends(stream))
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
    RelayHarness harness(twoPaths());
    const FlightId call = harness.submit(RequestKind::Safe);
    harness.advance(milliseconds(600));
    REQUIRE(harness.sends(call).size() == 2);
    CHECK(harness.abandoned(call) == 1);
    harness.answer(call, 200);
    CHECK(harness.passed(call));
}

// Guards against a change that is taken for older than the news that all else is as it was.
TEST_CASE("an engine's new state is taken though its domain is known to be as told since")
{
    RelayHarness harness({{"e1", {0, 8}}});
    const auto used = [&] { return harness.relay.engines().load("e1", "near", harness.now).used; };
    const auto told = [&](double tokens, milliseconds age) {
        EngineReports reports;
        reports.changed.push_back({"e1", tokens, 1, 0, 1, false, harness.now - age});
        reports.asOf["near"] = harness.now;
        harness.relay.applyEngineReports(reports, harness.now, harness.actions);
    };
    told(1000, milliseconds(100));
    CHECK(used() == 1000);
    harness.advance(milliseconds(300));
    told(5000, milliseconds(100));
    CHECK(used() == 5000);
    harness.advance(milliseconds(300));
    told(7000, milliseconds(350)); // true before the news of a moment ago, and told late
    CHECK(used() == 7000);
}

// Guards against a state that counts as unknown since nobody had to tell it again.
TEST_CASE("an engine's state holds as long as its domain is known to be as told")
{
    RelayHarness harness({{"e1", {0, 8}}});
    EngineReports reports;
    reports.changed.push_back({"e1", 1000, 1, 0, 1, false, harness.now});
    harness.relay.applyEngineReports(reports, harness.now, harness.actions);
    reports.changed.clear();
    for (int second = 0; second < 5; ++second) {
        harness.advance(seconds(1));
        reports.asOf["near"] = harness.now;
        harness.relay.applyEngineReports(reports, harness.now, harness.actions);
    }
    CHECK(harness.relay.engines().load("e1", "near", harness.now).reported);
    harness.advance(seconds(3));
    CHECK_FALSE(harness.relay.engines().load("e1", "near", harness.now).reported);
}

// Guards against news of an engine's silence that arrive after it was heard again.
TEST_CASE("late news of silence shut no engine out that has answered since")
{
    RelayHarness harness({{"engine", {0, 8}}});
    const Time silentAt = harness.now;
    harness.advance(milliseconds(500));
    EngineState state;
    state.id = "engine";
    const bool heardItself = GENERATE(true, false);
    if (heardItself) {
        harness.answer(harness.submit(RequestKind::Stream), 200);
    } else {
        state.at = harness.now;
        harness.relay.applyEngineReports({{state}, {}}, harness.now, harness.actions);
    }
    state.at = silentAt;
    state.silent = true;
    harness.relay.applyEngineReports({{state}, {}}, harness.now, harness.actions);
    CHECK(harness.relay.engines().usable("engine", harness.now));
    harness.advance(milliseconds(500));
    state.at = harness.now;
    harness.relay.applyEngineReports({{state}, {}}, harness.now, harness.actions);
    CHECK_FALSE(harness.relay.engines().usable("engine", harness.now));
}
