// What a flight that ends without a complete answer tells about its end.

#include "../fakes/relayharness.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace balsamloft;
using namespace balsamloft::fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::vector<RelayEngine> engines()
{
    return {{"a1", {0, 4}}, {"a2", {4, 8}}, {"b1", {0, 4}}, {"b2", {4, 8}},
            {"c1", {0, 8}}, {"p1", {}},     {"p2", {}}};
}

RelaySettings withoutRetries()
{
    RelaySettings settings = RelayHarness::defaults();
    settings.retryRatio = 0;
    settings.retrySlack = 0;
    return settings;
}

FlightId startStream(RelayHarness &harness, const std::string &digest = {})
{
    const FlightId stream = harness.submit(RequestKind::Stream, seconds(8), digest);
    harness.answer(stream, 200);
    harness.forwardEvents(stream, 1);
    return stream;
}

/// Lets the endpoint of the flight's attempt crash, and confirms the crash.
void crash(RelayHarness &harness, FlightId flight)
{
    const std::string endpoint = harness.sends(flight).back().endpoint;
    harness.fail(flight, AttemptFailure::Broken);
    harness.relay.queryFailed(endpoint, harness.now, harness.actions, true);
}

/// How a stream that has begun is cut, and what it is to tell.
struct CutStream
{
    std::string name;
    std::function<FlightId(RelayHarness &)> cut;
    EndCause cause;
    AttemptEnd lastFailure = AttemptEnd::None;
    int lastStatus = 0;
    std::uint32_t attempts = 1;
    RelaySettings settings = RelayHarness::defaults();
};

std::vector<CutStream> cutStreams()
{
    return {
        {"its deadline passes",
         [](RelayHarness &harness) {
             const FlightId stream = harness.submit(RequestKind::Stream, milliseconds(300));
             harness.answer(stream, 200);
             harness.forwardEvents(stream, 1);
             return stream;
         },
         EndCause::Deadline},
        {"two endpoints break it off",
         [](RelayHarness &harness) {
             const FlightId stream = startStream(harness);
             harness.fail(stream, AttemptFailure::Broken);
             harness.answer(stream, 200);
             harness.fail(stream, AttemptFailure::Broken);
             return stream;
         },
         EndCause::AttemptsUsed, AttemptEnd::Broken, 0, 2},
        {"the second endpoint sends what is no answer",
         [](RelayHarness &harness) {
             const FlightId stream = startStream(harness);
             harness.fail(stream, AttemptFailure::Broken);
             harness.fail(stream, AttemptFailure::InvalidAnswer);
             return stream;
         },
         EndCause::AttemptsUsed, AttemptEnd::InvalidAnswer, 0, 2},
        {"the answer of the second endpoint has no proof",
         [](RelayHarness &harness) {
             const FlightId stream = startStream(harness);
             harness.fail(stream, AttemptFailure::Broken);
             harness.answer(stream, 200, false);
             return stream;
         },
         EndCause::AttemptsUsed, AttemptEnd::NoProof, 200, 2},
        {"the second endpoint fails",
         [](RelayHarness &harness) {
             const FlightId stream = startStream(harness);
             harness.fail(stream, AttemptFailure::Broken);
             harness.answer(stream, 500);
             return stream;
         },
         EndCause::ServerError, AttemptEnd::ServerError, 500, 2},
        {"no retry is available",
         [](RelayHarness &harness) {
             const FlightId stream = startStream(harness);
             harness.fail(stream, AttemptFailure::Broken);
             return stream;
         },
         EndCause::RetryBudget, AttemptEnd::Broken, 0, 1, withoutRetries()},
        {"no path is left",
         [](RelayHarness &harness) {
             const FlightId stream = startStream(harness);
             for (const RelayEngine &each : engines())
                 harness.remove(each.id);
             harness.fail(stream, AttemptFailure::NotSent);
             return stream;
         },
         EndCause::NoPath, AttemptEnd::NotSent},
        {"it stalls, and the second endpoint breaks it off",
         [](RelayHarness &harness) {
             const FlightId stream = startStream(harness);
             while (harness.sends(stream).size() < 2 && !harness.finished(stream))
                 harness.advance(milliseconds(50));
             harness.fail(stream, AttemptFailure::Broken);
             return stream;
         },
         EndCause::AttemptsUsed, AttemptEnd::Broken, 0, 2},
        {"the instance stops",
         [](RelayHarness &harness) {
             const FlightId stream = startStream(harness);
             harness.relay.finishAll("instance is stopping", harness.now, harness.actions);
             return stream;
         },
         EndCause::Stopping},
    };
}

} // namespace

// Guards against a cut stream whose log line does not tell what to look for.
TEST_CASE("a stream that is cut tells the cause and its last failure")
{
    for (const CutStream &each : cutStreams()) {
        INFO(each.name);
        RelayHarness harness(engines(), each.settings);
        const FlightId stream = each.cut(harness);
        for (int i = 0; i < 200 && !harness.finished(stream); ++i)
            harness.advance(milliseconds(50));
        const auto finish = harness.finished(stream);
        if (!finish) {
            FAIL_CHECK("not finished");
            continue;
        }
        CHECK(finish->outcome == FlightOutcome::Truncated);
        CHECK(nameOf(finish->end.cause) == nameOf(each.cause));
        CHECK(nameOf(finish->end.lastFailure) == nameOf(each.lastFailure));
        CHECK(finish->end.lastStatus == each.lastStatus);
        CHECK(finish->end.attempts == each.attempts);
        CHECK_FALSE(finish->reason.empty());
        CHECK(harness.relay.counts().truncatedBy[static_cast<std::size_t>(each.cause)] == 1);
    }
}

// Guards against a refusal without a reason: the request was held back and never sent.
TEST_CASE("a request held back as suspected tells what it waits for")
{
    const bool confirmed = GENERATE(false, true);
    RelayHarness harness(engines());
    for (int i = 0; i < 2; ++i) {
        const FlightId other = harness.submit(RequestKind::Unsafe, seconds(8), "content");
        if (confirmed)
            crash(harness, other);
        else
            harness.fail(other, AttemptFailure::Broken);
    }
    const FlightId held = harness.submit(RequestKind::Safe, seconds(8), "content");
    REQUIRE(harness.sends(held).empty());
    harness.advance(milliseconds(100));
    REQUIRE(harness.finished(held));
    CHECK(nameOf(harness.finished(held)->end.cause)
          == nameOf(confirmed ? EndCause::AwaitsPermit : EndCause::AwaitsConfirmation));
    CHECK(harness.finished(held)->reason.find(confirmed ? "permit" : "not confirmed")
          != std::string::npos);
}
