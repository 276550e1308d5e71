// Tests of requests whose forwarding instances end while their endpoints work.

#include "../fakes/relayharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::vector<RelayEngine> fourEngines()
{
    return {{"e1", {0, 8}}, {"e2", {0, 8}}, {"e3", {0, 8}}, {"e4", {0, 8}}, {"p1", {}}, {"p2", {}}};
}

/// A stream whose first endpoint broke it, and whose forwarding instance to the second one was
/// lost. Its attempts are used up.
FlightId streamWithLostForwarder(RelayHarness &harness)
{
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 1);
    harness.fail(stream, AttemptFailure::Broken);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 2);
    harness.fail(stream, AttemptFailure::ForwarderLost);
    REQUIRE(harness.sends(stream).size() == 3);
    REQUIRE(harness.sends(stream)[2].endpoint == harness.sends(stream)[1].endpoint);
    return stream;
}

} // namespace

// Guards against a stream that is cut because the instances that forward it end.
TEST_CASE("a stream outlives any number of forwarding instances, at the same endpoint")
{
    RelayHarness harness(fourEngines());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    const std::string endpoint = harness.sends(stream).front().endpoint;
    for (std::uint64_t event = 1; event <= 5; ++event) {
        harness.forwardEvents(stream, event);
        harness.fail(stream, AttemptFailure::ForwarderLost);
        REQUIRE(harness.sends(stream).size() == event + 1);
        CHECK(harness.sends(stream).back().endpoint == endpoint);
        CHECK(harness.sends(stream).back().afterEvent == event);
        REQUIRE(harness.answer(stream, 200));
    }
}

// Guards against a stream that is cut since no instance can forward it for a moment.
TEST_CASE(
    "a stream whose attempts are used up goes on at the endpoint of a lost forwarding instance")
{
    RelayHarness harness(fourEngines());
    const FlightId stream = streamWithLostForwarder(harness);
    harness.fail(stream, AttemptFailure::NotSent);
    harness.advance(milliseconds(500));
    CHECK_FALSE(harness.finished(stream));
    REQUIRE(harness.sends(stream).size() == 4);
    CHECK(harness.sends(stream)[3].endpoint == harness.sends(stream)[1].endpoint);
    CHECK(harness.sends(stream)[3].afterEvent == 2);
}

// Guards against a storm of sends, and an empty budget, by one stream that cannot go on.
TEST_CASE("a repeat after a lost forwarding instance is tried a few times until its caller leaves")
{
    const bool rejected = GENERATE(true, false);
    CAPTURE(rejected);
    RelayHarness harness(fourEngines());
    const FlightId stream = streamWithLostForwarder(harness);
    std::size_t handled = 2;
    for (int i = 0; i < 100 && !harness.finished(stream); ++i) {
        if (harness.sends(stream).size() > handled) {
            handled = harness.sends(stream).size();
            if (rejected)
                harness.answer(stream, 503, false, true);
            else
                harness.fail(stream, AttemptFailure::NotSent);
        }
        harness.advance(milliseconds(50));
    }
    REQUIRE(harness.finished(stream));
    CHECK(harness.finished(stream)->outcome == FlightOutcome::Truncated);
    CHECK(harness.sends(stream).size() < 10);
}

// Guards against a request that runs twice since the end of its way is no failure of its endpoint.
TEST_CASE("a non-idempotent call is not repeated when its forwarding instance ends")
{
    RelayHarness harness(fourEngines());
    const FlightId call = harness.submit(RequestKind::Unsafe);
    harness.fail(call, AttemptFailure::ForwarderLost);
    CHECK(harness.sends(call).size() == 1);
    REQUIRE(harness.finished(call));
    CHECK(harness.finished(call)->outcome == FlightOutcome::Failed);
}

// Guards against an endpoint at which a request fails again and again.
TEST_CASE("a stream is not repeated at an endpoint that broke it after its forwarding instance")
{
    RelayHarness harness(fourEngines());
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 1);
    harness.fail(stream, AttemptFailure::ForwarderLost);
    harness.fail(stream, AttemptFailure::Broken);
    REQUIRE(harness.sends(stream).size() == 3);
    CHECK(harness.sends(stream)[2].endpoint != harness.sends(stream)[0].endpoint);
    harness.fail(stream, AttemptFailure::Broken);
    REQUIRE(harness.finished(stream));
    CHECK(harness.finished(stream)->outcome == FlightOutcome::Truncated);
}

// Guards against a stream that uses up its retries and endpoints while no way is known to work.
TEST_CASE("a stream with attempts left goes on when a way is found again")
{
    RelayHarness harness({{"e1", {0, 8}}, {"e2", {0, 8}}});
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 1);
    harness.fail(stream, AttemptFailure::ForwarderLost);
    const Time begin = harness.now;
    std::size_t handled = 1;
    while (harness.now - begin < seconds(4) && !harness.finished(stream)) {
        const auto sends = harness.sends(stream).size();
        if (sends > handled && harness.now - begin < seconds(1)) {
            handled = sends;
            harness.fail(stream, AttemptFailure::NotSent);
        } else if (sends > handled) {
            break;
        }
        harness.advance(milliseconds(50));
    }
    CHECK_FALSE(harness.finished(stream));
    CHECK(harness.sends(stream).size() > handled);
}

// Guards against more endpoints than the route allows.
TEST_CASE("a withheld repeat after a lost forwarding instance does not go to a further endpoint")
{
    RelayHarness harness(fourEngines());
    const FlightId stream = streamWithLostForwarder(harness);
    harness.drain(harness.sends(stream)[2].endpoint);
    harness.fail(stream, AttemptFailure::Withheld);
    harness.advance(milliseconds(200));
    std::set<std::string> reached;
    for (const SendRequest &send : harness.sends(stream))
        reached.insert(send.endpoint);
    CHECK(reached.size() == 2);
}

// Guards against a stream that is cut since its endpoint still holds the abandoned attempt.
TEST_CASE("a stream whose repeat is rejected after a lost forwarding instance is repeated again")
{
    RelayHarness harness(fourEngines());
    const FlightId stream = streamWithLostForwarder(harness);
    harness.answer(stream, 503, false, true);
    harness.advance(seconds(1));
    CHECK_FALSE(harness.finished(stream));
    REQUIRE(harness.sends(stream).size() == 4);
    CHECK(harness.sends(stream)[3].endpoint == harness.sends(stream)[1].endpoint);
}

// Guards against an endless series of repeats of a request without an answer.
TEST_CASE("a call is repeated at its endpoint after a lost forwarding instance, in bounds")
{
    RelayHarness harness(fourEngines());
    const FlightId call = harness.submit(RequestKind::Safe);
    for (int i = 0; i < 20 && !harness.finished(call); ++i)
        harness.fail(call, AttemptFailure::ForwarderLost);
    CHECK(harness.finished(call));
    CHECK(harness.sends(call).size() <= 5);
}

// Guards against a stream that is cut because its request became suspected while its way was lost.
TEST_CASE("a stream that is repeated after a lost forwarding instance survives a quarantine")
{
    RelayHarness harness(fourEngines());
    const FlightId stream = harness.submit(RequestKind::Stream, seconds(20), "bad");
    REQUIRE(harness.answer(stream, 200));
    harness.forwardEvents(stream, 1);
    harness.fail(stream, AttemptFailure::ForwarderLost);
    REQUIRE(harness.sends(stream).size() == 2);
    std::vector<CrashRecord> records;
    for (int i = 0; i < 3; ++i)
        records.push_back({"bad", "gone" + std::to_string(i), harness.now - seconds(3)});
    harness.relay.setSharedCrashes(records);
    harness.advance(milliseconds(100));
    CHECK_FALSE(harness.finished(stream));
}
