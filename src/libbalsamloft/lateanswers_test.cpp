// Answers that arrive after their flight has moved on. They come from other threads, the store,
// engines and other instances, so nothing bounds how late they are.

#include "../fakes/relayharness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <random>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<RelayEngine> fleetOfBothServices()
{
    return {{"e1", {0, 8}}, {"e2", {0, 8}}, {"e3", {0, 4}}, {"e4", {4, 8}},
            {"e5", {4, 8}}, {"p1", {}},     {"p2", {}},     {"p3", {}}};
}

/// Crash records of other instances that make requests with the content \a digest suspected.
std::vector<CrashRecord> suspectingRecords(const std::string &digest, Time now)
{
    return {{digest, "gone 1", now}, {digest, "gone 2", now}};
}

/// A relay with a suspected request that waits for its permit.
struct WaitingForPermit
{
    explicit WaitingForPermit(RequestKind kind)
    {
        harness.relay.setSharedCrashes(suspectingRecords("bad", harness.now));
        harness.advance(seconds(3));
        flight = kind == RequestKind::Stream ? harness.submitStreamOnce("bad")
                                             : harness.submit(kind, seconds(20), "bad");
    }

    /// Another instance has shown that the request does not cause crashes.
    void liftSuspicion()
    {
        harness.relay.setSharedCrashes({});
        harness.advance(milliseconds(50));
    }

    RelayHarness harness {fleetOfBothServices()};
    FlightId flight = 0;
};

const TrialAnswer Granted {.granted = true, .validFor = seconds(5)};
const TrialAnswer Refused {.wait = seconds(1)};

} // namespace

// Guards against a request that is executed twice.
TEST_CASE("a permit that arrives after its request was sent does not send it again")
{
    WaitingForPermit test(GENERATE(RequestKind::Unsafe, RequestKind::Stream));
    REQUIRE(test.harness.trialRequests(test.flight).size() == 1);
    test.liftSuspicion();
    REQUIRE(test.harness.sends(test.flight).size() == 1);
    test.harness.answerTrial(test.flight, Granted);
    CHECK(test.harness.sends(test.flight).size() == 1);
    CHECK(test.harness.finishedTrials() == std::vector {TrialOutcome::NotSent});
}

// Guards against a request that is executed although its caller was told that it is not.
TEST_CASE("a refused permit does not refuse a request that was sent meanwhile")
{
    WaitingForPermit test(GENERATE(RequestKind::Unsafe, RequestKind::Stream));
    test.liftSuspicion();
    REQUIRE(test.harness.sends(test.flight).size() == 1);
    test.harness.answerTrial(test.flight, Refused);
    CHECK_FALSE(test.harness.finished(test.flight));
    test.harness.answer(test.flight, 200);
    test.harness.completeStream(test.flight);
    CHECK(test.harness.passed(test.flight));
}

// Guards against the refusal of a harmless request that only waited for its permit.
TEST_CASE("a refused permit does not refuse a request that is no longer suspected")
{
    WaitingForPermit test(RequestKind::Unsafe);
    test.harness.relay.setSharedCrashes({});
    test.harness.answerTrial(test.flight, Refused);
    CHECK_FALSE(test.harness.finished(test.flight));
    CHECK(test.harness.sends(test.flight).size() == 1);
}

// Guards against a permit for an earlier attempt that is used for a later one.
TEST_CASE("a permit is void once an attempt was made without it")
{
    WaitingForPermit test(RequestKind::Unsafe);
    const RequestTrial first = test.harness.trialRequests(test.flight).front();
    test.liftSuspicion();
    test.harness.relay.setSharedCrashes(suspectingRecords("bad", test.harness.now - seconds(3)));
    test.harness.fail(test.flight, AttemptFailure::NotSent);
    test.harness.answerTrial(first, Granted);
    CHECK(test.harness.sends(test.flight).size() == 1);
    CHECK(test.harness.finishedTrials() == std::vector {TrialOutcome::NotSent});
    REQUIRE(test.harness.trialRequests(test.flight).size() == 2);
    test.harness.answerTrial(test.flight, Granted);
    CHECK(test.harness.sends(test.flight).size() == 2);
}

// Guards against a path that is given up for a refusal of the one before.
TEST_CASE("a late reply to an order to change the path does not count for the next order")
{
    RelayHarness harness({{"e1", {0, 4}}, {"e2", {4, 8}}, {"e3", {4, 8}}, {"e4", {4, 8}}});
    const FlightId flight = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(flight, 200));
    harness.forwardEvents(flight, 1);
    const auto loseSecondEngine = [&] {
        const std::vector<PathPart> path = harness.pathChanges(flight).empty()
                                               ? harness.sends(flight).back().path
                                               : harness.pathChanges(flight).back().path;
        harness.relay.queryFailed(path.back().endpoint, harness.now, harness.actions);
        harness.advance(milliseconds(300));
    };
    loseSecondEngine();
    REQUIRE(harness.pathChanges(flight).size() == 1);
    const ChangePath first = harness.pathChanges(flight).back();
    harness.answerPathChange(flight, PathReply::Accepted);
    harness.advance(seconds(1));
    loseSecondEngine();
    REQUIRE(harness.pathChanges(flight).size() == 2);
    harness.answerPathChange(first, PathReply::Lost);
    CHECK(harness.abandoned(flight) == 0);
    harness.answerPathChange(flight, PathReply::Accepted);
    CHECK(harness.abandoned(flight) == 0);
}

// Guards against an attempt that is sent after it was given up.
TEST_CASE("an attempt that was given up may not be sent any more")
{
    RelayHarness harness(std::vector<RelayEngine> {{"p1", {}}, {"p2", {}}});
    const FlightId flight = harness.submit(RequestKind::Safe);
    const std::uint32_t attempt = harness.sends(flight).back().attempt;
    REQUIRE(harness.relay.maySend(flight, attempt, harness.now));
    harness.fail(flight, AttemptFailure::NotSent);
    const std::uint32_t second = harness.sends(flight).back().attempt;
    harness.fail(flight, AttemptFailure::NotSent);
    REQUIRE(harness.sends(flight).back().attempt == second);
    CHECK_FALSE(harness.relay.maySend(flight, attempt, harness.now));
    CHECK_FALSE(harness.relay.maySend(flight, second, harness.now));
}

namespace {

/// Drives a relay with random events. All answers come at random times: after their flight has been
/// sent, sent again, refused or finished, and in any order.
class RandomAnswers
{
public:
    explicit RandomAnswers(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            step();
            collect();
        }
    }

    /// Non-idempotent requests that were sent although an earlier attempt may have been executed.
    std::size_t sentTwice = 0;
    /// Requests that were refused as not executed although an attempt may have been executed.
    std::size_t wronglyRefused = 0;
    std::size_t sends = 0;
    std::size_t permitsAnsweredLate = 0; ///< after an attempt of their flight

private:
    /// An attempt, and whether its endpoint guaranteed that it did not execute the request.
    struct Attempt
    {
        std::uint32_t number = 0;
        bool isOpen = true;
        bool mayHaveRun = true;
    };

    struct Sent
    {
        bool mayHaveRun() const
        {
            return std::any_of(attempts.begin(), attempts.end(),
                               [](const Attempt &each) { return each.mayHaveRun; });
        }

        bool idempotent = false;
        std::vector<Attempt> attempts;
    };

    std::size_t below(std::size_t limit) { return limit == 0 ? 0 : m_random() % limit; }

    void submit()
    {
        const std::string digest = below(3) == 0 ? "other" : "bad";
        const std::size_t kind = below(4);
        const FlightId flight =
            kind == 3 ? m_harness.submitStreamOnce(digest)
                      : m_harness.submit(static_cast<RequestKind>(kind), seconds(8), digest);
        m_flights[flight].idempotent = kind == 0 || kind == 2;
    }

    Relay &relay() { return m_harness.relay; }

    /// An endpoint's answer to an open attempt.
    void answer(FlightId flight, Attempt &attempt)
    {
        const auto fail = [&](AttemptFailure failure) {
            relay().attemptFailed(flight, attempt.number, failure, m_harness.now,
                                  m_harness.actions);
        };
        AnswerHead head;
        head.status = 200;
        head.provenExecuted = true;
        switch (below(6)) {
        case 0:
            attempt.isOpen = attempt.mayHaveRun = false;
            return fail(AttemptFailure::NotSent);
        case 1:
            attempt.isOpen = false;
            return fail(AttemptFailure::Broken);
        case 2:
            attempt.isOpen = attempt.mayHaveRun = false;
            head.status = 503;
            head.provenExecuted = false;
            head.notExecuted = true;
            break;
        case 3:
            attempt.isOpen = false;
            head.status = 500;
            break;
        case 4:
            relay().eventsForwarded(flight, attempt.number, m_nextEvent++, m_harness.now,
                                    m_harness.actions);
            return;
        default:
            break;
        }
        relay().answered(flight, attempt.number, head, m_harness.now, m_harness.actions);
    }

    void answerAnyAttempt()
    {
        std::vector<std::pair<FlightId, Attempt *>> open;
        for (auto &[flight, sent] : m_flights)
            for (Attempt &attempt : sent.attempts)
                if (attempt.isOpen)
                    open.emplace_back(flight, &attempt);
        if (open.empty())
            return;
        const auto [flight, attempt] = open[below(open.size())];
        answer(flight, *attempt);
    }

    void answerAnyPermit()
    {
        if (m_permits.empty())
            return;
        const std::size_t chosen = below(m_permits.size());
        const RequestTrial request = m_permits[chosen];
        m_permits.erase(m_permits.begin() + static_cast<std::ptrdiff_t>(chosen));
        permitsAnsweredLate += m_flights[request.flight].attempts.empty() ? 0 : 1;
        const std::array<TrialAnswer, 3> answers {Granted, Refused, {.endpointBusy = true}};
        m_harness.answerTrial(request, answers[below(answers.size())]);
    }

    void answerAnyPathChange()
    {
        if (m_pathChanges.empty())
            return;
        const ChangePath change = m_pathChanges[below(m_pathChanges.size())];
        m_harness.answerPathChange(change, static_cast<PathReply>(below(3)));
    }

    void step()
    {
        switch (below(12)) {
        case 0:
            return submit();
        case 1:
            return relay().setSharedCrashes(
                below(2) == 0 ? std::vector<CrashRecord> {}
                              : suspectingRecords("bad", m_harness.now - seconds(3)));
        case 2:
        case 3:
            return answerAnyPermit();
        case 4:
            return answerAnyPathChange();
        case 5:
            return relay().queryFailed("e" + std::to_string(1 + below(5)), m_harness.now,
                                       m_harness.actions, below(2) == 0);
        case 6:
            return relay().expireTrials();
        case 7:
        case 8:
            return m_harness.advance(milliseconds(50 * (1 + below(8))));
        default:
            return answerAnyAttempt();
        }
    }

    /// Takes the relay's actions since the last call.
    void collect()
    {
        for (const RelayAction &action : m_harness.actions) {
            if (const auto *send = std::get_if<SendRequest>(&action))
                sent(*send);
            else if (const auto *abandoned = std::get_if<AbandonAttempt>(&action))
                abandon(*abandoned);
            else if (const auto *trial = std::get_if<RequestTrial>(&action))
                m_permits.push_back(*trial);
            else if (const auto *change = std::get_if<ChangePath>(&action))
                m_pathChanges.push_back(*change);
            else if (const auto *finish = std::get_if<FinishFlight>(&action))
                finished(*finish);
        }
        m_harness.actions.clear();
    }

    void sent(const SendRequest &send)
    {
        sends += 1;
        Sent &flight = m_flights[send.flight];
        sentTwice += !flight.idempotent && flight.mayHaveRun() ? 1 : 0;
        flight.attempts.push_back({send.attempt});
    }

    void abandon(const AbandonAttempt &abandoned)
    {
        for (Attempt &each : m_flights[abandoned.flight].attempts)
            each.isOpen = each.isOpen && each.number != abandoned.attempt;
    }

    void finished(const FinishFlight &finish)
    {
        const bool refused = finish.outcome == FlightOutcome::NotExecuted;
        wronglyRefused += refused && m_flights[finish.flight].mayHaveRun() ? 1 : 0;
    }

    std::mt19937_64 m_random;
    RelayHarness m_harness {fleetOfBothServices()};
    std::map<FlightId, Sent> m_flights;
    std::vector<RequestTrial> m_permits; ///< requested and not yet answered
    std::vector<ChangePath> m_pathChanges;
    std::uint64_t m_nextEvent = 1;
};

} // namespace

// Guards against handlers of answers that rely on the state that their flight had when it asked.
TEST_CASE("however late answers arrive, requests run at most once and refusals are true")
{
    std::size_t sends = 0;
    std::size_t permitsAnsweredLate = 0;
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
        RandomAnswers answers(seed);
        answers.run(400);
        CAPTURE(seed);
        CHECK(answers.sentTwice == 0);
        CHECK(answers.wronglyRefused == 0);
        sends += answers.sends;
        permitsAnsweredLate += answers.permitsAnsweredLate;
    }
    // The schedules reach what they are meant for.
    CHECK(sends > 30'000);
    CHECK(permitsAnsweredLate > 500);
}
