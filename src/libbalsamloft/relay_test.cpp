#include "../fakes/relayharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two pairs of engines, each pair with all layers, and two plain endpoints.
std::vector<RelayEngine> twoPaths()
{
    return {{"a1", {0, 4}}, {"a2", {4, 8}}, {"b1", {0, 4}}, {"b2", {4, 8}}, {"p1", {}}, {"p2", {}}};
}

/// All instances together have \a slack retries in a window, whatever the number of requests.
RelaySettings onlySlack(double slack, Duration window = RelaySettings {}.retryWindow)
{
    RelaySettings settings = RelayHarness::defaults();
    settings.retryRatio = 0;
    settings.retrySlack = slack;
    settings.retryWindow = window;
    return settings;
}

bool passesThrough(const SendRequest &send, const std::string &id)
{
    for (const PathPart &part : send.path)
        if (part.endpoint == id)
            return true;
    return send.endpoint == id;
}

} // namespace

// Guards against a call that runs twice: the connection to the endpoint breaks after the bytes were
// sent. A retry would run it again, and so would the caller after an answer "not executed".
TEST_CASE("a non-idempotent call that may have run is not retried and is reported as failed")
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

// Guards against the loss of a call that is safe to retry: nothing was sent, or the endpoint
// reported that it executed nothing.
TEST_CASE(
    "a non-idempotent call that did not run is retried elsewhere, then refused as not executed")
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

TEST_CASE("a non-idempotent call is sent on a fresh connection")
{
    RelayHarness harness(twoPaths());
    CHECK(harness.sends(harness.submit(RequestKind::Unsafe)).front().freshConnection);
    CHECK_FALSE(harness.sends(harness.submit(RequestKind::Safe)).front().freshConnection);
}

// Guards against lost or repeated events when an engine fails in the middle of a stream.
TEST_CASE("a broken stream resumes on another path after its last complete event")
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
    CHECK_FALSE(passesThrough(sends[1], sends[0].endpoint));
}

// Guards against a stream that is cut after as many ends of forwarding instances as its route has
// attempts, and against endpoints that are suspected for them.
TEST_CASE("a stream whose forwarding instances are lost goes on at the same endpoint")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream, seconds(20), "digest");
    for (std::uint64_t event = 1; event <= 4; ++event) {
        REQUIRE(harness.answer(stream, 200));
        harness.forwardEvents(stream, event);
        harness.fail(stream, AttemptFailure::ForwarderLost);
        const auto sends = harness.sends(stream);
        REQUIRE(sends.size() == event + 1);
        CHECK(sends.back().endpoint == sends.front().endpoint);
        CHECK(sends.back().afterEvent == event);
    }
    CHECK_FALSE(
        harness.relay.engines().suspected(harness.sends(stream).front().endpoint, harness.now));
    CHECK_FALSE(harness.relay.quarantine().awaitsConfirmation("digest", harness.now));
}

TEST_CASE("a non-idempotent call whose forwarding instance is lost is not repeated")
{
    RelayHarness harness(twoPaths());
    const FlightId call = harness.submit(RequestKind::Unsafe);
    harness.fail(call, AttemptFailure::ForwarderLost);
    CHECK(harness.sends(call).size() == 1);
    REQUIRE(harness.finished(call));
    CHECK(harness.finished(call)->outcome == FlightOutcome::Failed);
}

// Guards against a truncated stream that looks complete: the engine that resumes a stream answers
// with an error, and forwarding it would end the caller's stream normally.
TEST_CASE("a server error after forwarded events truncates the stream")
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

// Guards against a caller that waits in vain: no events follow an answer other than 200.
TEST_CASE("an answer other than 200 to a stream is passed on, and truncates one that has events")
{
    RelayHarness harness(twoPaths());
    const FlightId unbegun = harness.submit(RequestKind::Stream);
    CHECK_FALSE(harness.answer(unbegun, 404));
    CHECK(harness.passed(unbegun));
    const FlightId begun = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(begun, 200));
    harness.forwardEvents(begun, 7);
    harness.fail(begun, AttemptFailure::Broken);
    CHECK_FALSE(harness.answer(begun, 404));
    REQUIRE(harness.finished(begun));
    CHECK(harness.finished(begun)->outcome == FlightOutcome::Truncated);
}

// Guards against events of a failed attempt that arrive after the stream resumed elsewhere.
TEST_CASE("late data of a failed attempt is ignored")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 3);
    const std::uint32_t firstAttempt = harness.sends(stream).back().attempt;
    harness.fail(stream, AttemptFailure::Broken);
    harness.relay.eventsForwarded(stream, firstAttempt, 9, harness.now, harness.actions);
    CHECK(harness.relay.lastEvent(stream) == 3);
    harness.relay.streamCompleted(stream, firstAttempt, harness.now, harness.actions);
    CHECK_FALSE(harness.passed(stream));
}

// Guards against overload by retries when many engines fail at once: all instances together may
// only add a bounded load to the engines that are left.
TEST_CASE("retries stay within the budget")
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
    std::size_t retries = 0;
    for (const FlightId stream : streams)
        retries += harness.sends(stream).size() - 1;
    CHECK(retries <= 12 / 4 + 100 / 10);
    CHECK(retries >= 3);
}

// Guards against new requests that use up the retry budget. An overloaded fleet rejects them one
// after another; then the engine of a stream that began seconds ago fails. Without a retry the
// stream would be truncated, while callers of refused requests can retry.
TEST_CASE("new requests leave retries for started streams")
{
    RelayHarness harness(twoPaths(), onlySlack(2, milliseconds(3'000)));
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 4);
    for (std::uint64_t event = 5; event < 40; ++event) { // until the first window is over
        harness.advance(milliseconds(100));
        harness.forwardEvents(stream, event);
    }
    const FlightId newRequest = harness.submit(RequestKind::Stream);
    harness.answer(newRequest, 503, false, true);
    REQUIRE(harness.sends(newRequest).size() == 2);
    harness.answer(newRequest, 503, false, true);
    REQUIRE(harness.finished(newRequest));
    CHECK(harness.finished(newRequest)->outcome == FlightOutcome::NotExecuted);
    CHECK(harness.finished(newRequest)->retryAfter > Duration {});
    harness.fail(stream, AttemptFailure::Broken);
    harness.advance(milliseconds(400)); // both engines are avoided after their rejections
    CHECK(harness.sends(stream).size() == 2);
    CHECK_FALSE(harness.finished(stream));
}

// Guards against a needless truncation: a stream ran at two engines, which is the limit of its
// route, when an engine of its path becomes unresponsive for a while.
TEST_CASE("a stream that may not run again is not truncated when an engine is unresponsive")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 3);
    harness.fail(stream, AttemptFailure::Broken);
    REQUIRE(harness.sends(stream).size() == 2);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 4);
    const std::string unresponsive = harness.sends(stream).back().path.back().endpoint;
    harness.relay.queryFailed(unresponsive, harness.now, harness.actions);
    harness.advance(milliseconds(1500));
    CHECK_FALSE(harness.finished(stream));
    harness.forwardEvents(stream, 5);
    harness.completeStream(stream);
    CHECK(harness.passed(stream));
}

// Guards against a stream that is abandoned without an alternative: an engine in the middle of its
// path pauses, and no other engine holds its layers.
TEST_CASE("a started stream is not abandoned while there is no other path")
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

// Guards against a truncation when the retry budget is exhausted. The caller waits two seconds for
// the next event, and in that time the window frees a retry.
TEST_CASE("a started stream without a retry waits until the window frees one")
{
    RelayHarness harness(twoPaths(), onlySlack(1, milliseconds(2'000)));
    const auto startStream = [&] {
        const FlightId stream = harness.submit(RequestKind::Stream);
        REQUIRE(harness.answer(stream, 200));
        harness.forwardEvents(stream, 1);
        return stream;
    };
    harness.submit(RequestKind::Stream);
    harness.advance(milliseconds(2'500)); // until the first window of this instance is over
    const FlightId other = startStream();
    harness.fail(other, AttemptFailure::Broken);
    REQUIRE(harness.sends(other).size() == 2); // uses the only retry
    harness.advance(milliseconds(1'300));
    const FlightId stream = startStream();
    harness.fail(stream, AttemptFailure::Broken);
    CHECK(harness.sends(stream).size() == 1);
    harness.advance(milliseconds(1'500));
    CHECK(harness.sends(stream).size() == 2);
    CHECK_FALSE(harness.finished(stream));
}

// Guards against retries beyond the fleet's budget: two of four instances stop in turn, and the
// retries that they used still count in the window.
TEST_CASE("the share of an instance that left is not redistributed in the same window")
{
    RelayHarness harness(twoPaths(), onlySlack(40));
    harness.relay.setInstances(2, 4, harness.now);
    harness.submit(RequestKind::Stream); // starts the first window of the budget
    harness.advance(milliseconds(11'000));
    harness.relay.setInstances(2, 2, harness.now);
    const auto retries = [&] {
        std::size_t count = 0;
        for (int i = 0; i < 30; ++i) {
            const FlightId stream = harness.submit(RequestKind::Stream);
            REQUIRE(harness.answer(stream, 200));
            harness.fail(stream, AttemptFailure::Broken);
            count += harness.sends(stream).size() - 1;
        }
        return count;
    };
    CHECK(retries() <= 10);
    harness.advance(milliseconds(13'000));
    harness.relay.setInstances(2, 2, harness.now);
    CHECK(retries() == 20);
}

// Guards against more attempts than the route allows. Attempts on endpoints that are gone do not
// count, since their results are lost.
TEST_CASE("a request runs at no more endpoints than its route allows")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 1);
    const std::string first = harness.sends(stream).front().endpoint;
    const bool firstDelisted = GENERATE(false, true);
    harness.fail(stream, AttemptFailure::Broken);
    REQUIRE(harness.sends(stream).size() == 2);
    if (firstDelisted)
        harness.remove(first);
    harness.fail(stream, AttemptFailure::Broken);
    CHECK(harness.sends(stream).size() == (firstDelisted ? 3 : 2));
}

TEST_CASE("the attempt of a disconnected caller is abandoned at once")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    harness.relay.callerGone(stream, harness.now, harness.actions);
    CHECK(harness.abandoned(stream) == 1);
    CHECK(harness.relay.flights() == 0);
    harness.advance(milliseconds(3000));
    CHECK(harness.sends(stream).size() == 1);
}

TEST_CASE("a retry carries the remaining time")
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

// Guards against requests without an answer at the caller's deadline or the route's timeout.
TEST_CASE("a request is answered when its deadline or its route's timeout passes")
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

TEST_CASE("a stream on a dead connection to a live engine is repeated, others are not")
{
    RelayHarness harness(twoPaths());
    const FlightId overdue = harness.submit(RequestKind::Stream);
    harness.answer(overdue, 200);
    harness.forwardEvents(overdue, 3);
    harness.advance(std::chrono::milliseconds(600));
    const FlightId running = harness.submit(RequestKind::Stream);
    for (const FlightId stream : {overdue, running})
        harness.relay.connectionLost(stream, harness.sends(stream).back().attempt, harness.now,
                                     harness.actions);
    REQUIRE(harness.sends(overdue).size() == 2);
    CHECK(harness.sends(overdue).back().afterEvent == 3);
    CHECK(harness.sends(running).size() == 1);
    CHECK_FALSE(
        harness.relay.engines().suspected(harness.sends(overdue).front().endpoint, harness.now));
}

TEST_CASE("a call on a dead connection that may have run is not repeated")
{
    RelayHarness harness(twoPaths());
    const FlightId call = harness.submit(RequestKind::Unsafe);
    harness.advance(std::chrono::milliseconds(600));
    harness.relay.connectionLost(call, harness.sends(call).back().attempt, harness.now,
                                 harness.actions);
    CHECK(harness.sends(call).size() == 1);
    CHECK_FALSE(harness.finished(call));
}

TEST_CASE("a request without a path is refused within a second, with a retry delay")
{
    RelayHarness harness({{"a1", {0, 4}}});
    const FlightId stream = harness.submit(RequestKind::Stream);
    harness.advance(milliseconds(1000));
    REQUIRE(harness.finished(stream));
    CHECK(harness.finished(stream)->outcome == FlightOutcome::NotExecuted);
    CHECK(harness.finished(stream)->retryAfter > Duration {});
}

namespace {

/// Twelve started streams. The last engine on the path of the first stream is the dead engine.
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

    /// Advances the time. Streams that avoid the dead engine receive events; each queried engine
    /// reports that the dead one does not answer.
    void advance(RelayHarness &harness, int steps) const
    {
        for (int step = 0; step < steps; ++step) {
            harness.advance(milliseconds(50));
            for (const FlightId stream : streams)
                if (!passesThrough(harness.sends(stream).back(), dead))
                    harness.forwardEvents(stream, 2 + static_cast<std::uint64_t>(step));
            for (const std::string &queried : harness.queriedEngines())
                harness.relay.queryAnswered(queried, {harness.addressOf(dead)}, 1, harness.now,
                                            harness.actions);
        }
    }

    std::vector<FlightId> streams;
    std::string dead;
};

} // namespace

// Guards against long pauses when an engine in the middle of a path fails silently. The first
// engine reports which engine does not answer and is ordered to change the path. In this test, the
// first engine no longer knows the request, so the stream is retried, within half a second of its
// last event.
TEST_CASE("streams through an unresponsive engine are moved, others are not")
{
    RelayHarness harness(twoPaths());
    const RunningStreams running(harness);
    running.advance(harness, 8);
    REQUIRE_FALSE(harness.queriedEngines().empty());
    for (const FlightId stream : running.streams) {
        INFO("stream " << stream);
        const bool affected = passesThrough(harness.sends(stream).front(), running.dead);
        CHECK(harness.pathChanges(stream).size() == (affected ? 1U : 0U));
        if (affected)
            harness.answerPathChange(stream, PathReply::Lost);
        CHECK_FALSE(passesThrough(harness.sends(stream).back(), running.dead));
        CHECK(harness.sends(stream).size() == (affected ? 2U : 1U));
    }
}

// Guards against the use of retries for a dead engine in the middle of a path: the first engine
// accepts the new path, so the stream continues in the same attempt.
TEST_CASE("a stream through a dead engine continues on another path without a retry")
{
    RelayHarness harness(twoPaths());
    const RunningStreams running(harness);
    running.advance(harness, 8);
    for (const FlightId stream : running.streams) {
        if (!passesThrough(harness.sends(stream).front(), running.dead))
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

// Guards against a stream that waits until its caller leaves, because its first engine does not
// answer the order to change the path.
TEST_CASE("an unanswered path change is followed by a retry")
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

// Guards against a retry when the new path lacks memory too but a third path exists.
TEST_CASE("a refused path change is repeated with another path")
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

// After the process was paused for four seconds, all its streams seem to have been silent. Guards
// against suspicion of their engines, and against retries and refusals.
TEST_CASE("a pause of the process is not counted as a pause of its streams")
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

// Guards against streams that leave a healthy engine because this process handles its answers late.
TEST_CASE("a delay of the event loop does not move streams away from a suspected engine")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 1);
    harness.advance(milliseconds(50));
    harness.relay.queryFailed(harness.sends(stream).front().endpoint, harness.now, harness.actions);
    harness.advance(milliseconds(250), milliseconds(250));
    harness.forwardEvents(stream, 2);
    harness.advance(milliseconds(50));
    CHECK(harness.sends(stream).size() == 1);
    CHECK(harness.pathChanges(stream).empty());
}

// Guards against dead engines that are not detected because each tick is late.
TEST_CASE("a dead engine is detected although each tick is late")
{
    const Duration step =
        GENERATE(milliseconds(50), milliseconds(110), milliseconds(125), milliseconds(250));
    CAPTURE(step.count());
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 1);
    harness.advance(milliseconds(500), step);
    harness.relay.queryFailed(harness.sends(stream).front().endpoint, harness.now, harness.actions);
    harness.advance(seconds(15), step);
    CHECK(harness.sends(stream).size() + harness.pathChanges(stream).size() > 1);
    const FlightId call = harness.submit(RequestKind::Safe);
    harness.advance(seconds(5), step);
    CHECK(harness.sends(call).size() > 1);
}

// Guards against requests sent by an outdated decision: the endpoint started draining while the
// request waited for a connection, or the process was paused until the deadline.
TEST_CASE("an attempt may not be sent after its deadline or to a draining endpoint")
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

// Guards against a new request for an engine that started draining while the connection to the
// first engine of the path was made.
TEST_CASE("an attempt may not be sent if an engine of its path is draining")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    const SendRequest send = harness.sends(stream).back();
    REQUIRE(harness.relay.maySend(stream, send.attempt, harness.now));
    harness.drain(send.path.back().endpoint);
    CHECK_FALSE(harness.relay.maySend(stream, send.attempt, harness.now));
}

// Guards against streams that resume on a draining engine: a resumed stream is new work for the
// engine.
TEST_CASE("a draining engine receives neither new requests nor resumed streams")
{
    RelayHarness harness(twoPaths());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 1);
    const bool onA = harness.sends(stream).front().endpoint == "a1";
    const std::string draining = onA ? "b1" : "a1";
    harness.drain(draining);
    harness.fail(stream, AttemptFailure::Broken);
    for (int i = 0; i < 20; ++i) {
        const FlightId other = harness.submit(RequestKind::Stream);
        for (const SendRequest &send : harness.sends(other))
            CHECK_FALSE(passesThrough(send, draining));
    }
    for (const SendRequest &send : harness.sends(stream))
        CHECK_FALSE(passesThrough(send, draining));
}

// Guards against the use of retries for engines that reject requests again and again for lack of
// memory.
TEST_CASE("an engine that rejects repeatedly is avoided for longer each time")
{
    EngineTracker tracker;
    Time now(std::chrono::hours(1));
    std::vector<Duration> pauses;
    for (int i = 0; i < 4; ++i) {
        tracker.refusedBusy("e", now);
        Duration pause {};
        while (!tracker.usable("e", now + pause))
            pause += milliseconds(10);
        pauses.push_back(pause);
        now += pause;
    }
    CHECK(pauses[1] > pauses[0]);
    CHECK(pauses[3] > pauses[2]);
    tracker.resetRefusals("e");
    tracker.refusedBusy("e", now);
    CHECK(tracker.usable("e", now + pauses[0]));
}

// Guards against a call that waits for an unresponsive endpoint until its deadline.
TEST_CASE("an unanswered idempotent call is sent to another endpoint")
{
    RelayHarness harness(twoPaths());
    const FlightId call = harness.submit(RequestKind::Safe);
    harness.advance(milliseconds(600));
    REQUIRE(harness.sends(call).size() == 2);
    CHECK(harness.abandoned(call) == 1);
    harness.answer(call, 200);
    CHECK(harness.passed(call));
}

// An engine's changed state may be older than the last confirmation that all other engines of the
// domain are unchanged. Guards against ignoring such a change.
TEST_CASE("an engine's changed state applies although its domain was confirmed unchanged later")
{
    RelayHarness harness({{"e1", {0, 8}}});
    const auto used = [&] { return harness.relay.engines().load("e1", "near", harness.now).used; };
    const auto report = [&](double tokens, milliseconds age) {
        EngineReports reports;
        reports.changed.push_back({"e1", tokens, 1, 0, 1, false, harness.now - age});
        reports.asOf["near"] = harness.now;
        harness.relay.applyEngineReports(reports, harness.now, harness.actions);
    };
    report(1000, milliseconds(100));
    CHECK(used() == 1000);
    harness.advance(milliseconds(300));
    report(5000, milliseconds(100));
    CHECK(used() == 5000);
    harness.advance(milliseconds(300));
    report(7000, milliseconds(350)); // older than the last confirmation
    CHECK(used() == 7000);
}

// Guards against a state that expires because it did not change and was therefore not sent again.
TEST_CASE("an engine's state stays valid while its domain is confirmed unchanged")
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

// Guards against applying an old report of an unresponsive engine that has answered since, whether
// this instance or another one received the answer.
TEST_CASE("an outdated report of an unresponsive engine is ignored after the engine answered")
{
    RelayHarness harness({{"engine", {0, 8}}});
    const Time unresponsiveAt = harness.now;
    harness.advance(milliseconds(500));
    EngineState state;
    state.id = "engine";
    const bool answeredHere = GENERATE(true, false);
    if (answeredHere) {
        harness.answer(harness.submit(RequestKind::Stream), 200);
    } else {
        state.at = harness.now;
        harness.relay.applyEngineReports({{state}, {}}, harness.now, harness.actions);
    }
    state.at = unresponsiveAt;
    state.silent = true;
    harness.relay.applyEngineReports({{state}, {}}, harness.now, harness.actions);
    CHECK(harness.relay.engines().usable("engine", harness.now));
    harness.advance(milliseconds(500));
    state.at = harness.now;
    harness.relay.applyEngineReports({{state}, {}}, harness.now, harness.actions);
    CHECK_FALSE(harness.relay.engines().usable("engine", harness.now));
}

// Guards against new requests to an endpoint that exits while its entry still says that it is
// ready.
TEST_CASE("an endpoint that announces its exit in an answer gets no new requests")
{
    const RequestKind kind = GENERATE(RequestKind::Unsafe, RequestKind::Stream);
    RelayHarness harness({{"a", {0, 8}}, {"b", {0, 8}}, {"p", {}}, {"q", {}}});
    const FlightId first = harness.submit(kind);
    const std::string endpoint = harness.sends(first).back().endpoint;
    FlightId waiting = 0;
    do
        waiting = harness.submit(kind);
    while (harness.sends(waiting).back().endpoint != endpoint);
    AnswerHead head;
    head.status = 200;
    head.provenExecuted = true;
    head.announcement.draining = true;
    harness.relay.answered(first, 1, head, harness.now, harness.actions);
    // The answer itself, and a stream that it begins, are served.
    CHECK_FALSE(harness.finished(first));
    const std::uint32_t attempt = harness.sends(waiting).back().attempt;
    CHECK_FALSE(harness.relay.maySend(waiting, attempt, harness.now));
    harness.fail(waiting, AttemptFailure::Withheld);
    CHECK_FALSE(passesThrough(harness.sends(waiting).back(), endpoint));
    // Another endpoint announces its exit too. The list changes, but still says that both are
    // ready.
    const std::string other = harness.sends(waiting).back().endpoint;
    harness.add({"c", {0, 8}});
    harness.add({"r", {}});
    harness.relay.answered(waiting, attempt + 1, head, harness.now, harness.actions);
    harness.add({"s", {}});
    for (int i = 0; i < 20; ++i)
        for (const std::string &draining : {endpoint, other})
            CHECK_FALSE(passesThrough(harness.sends(harness.submit(kind)).back(), draining));
}

// Guards against requests that a process drops without a word when it ends.
TEST_CASE("when the process ends, the caller of each flight is told what became of its request")
{
    RelayHarness harness(twoPaths());
    const FlightId unsent = harness.submit(RequestKind::Unsafe);
    harness.fail(unsent, AttemptFailure::NotSent);
    harness.fail(unsent, AttemptFailure::NotSent);
    const FlightId sent = harness.submit(RequestKind::Unsafe);
    const FlightId begun = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(begun, 200));
    harness.forwardEvents(begun, 7);
    harness.relay.finishAll("instance is stopping", harness.now, harness.actions);
    const auto outcomeOf = [&](FlightId id) {
        REQUIRE(harness.finished(id));
        return harness.finished(id)->outcome;
    };
    CHECK(outcomeOf(unsent) == FlightOutcome::NotExecuted);
    CHECK(outcomeOf(sent) == FlightOutcome::Failed);
    CHECK(outcomeOf(begun) == FlightOutcome::Truncated);
    CHECK(harness.relay.flights() == 0);
}
