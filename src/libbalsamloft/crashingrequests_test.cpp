#include "../fakes/crashsimulation.h"
#include "../fakes/relayharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the third crash by which no instance may send the request.
constexpr Duration DetectionDelay {3'000'000};

/// Engines that one request may crash, over all instances.
constexpr std::size_t MaxCrashes = 4;

/// The same if the request succeeded before.
constexpr std::size_t MaxCrashesAfterSuccess = 5;

/// Number of sends after DetectionDelay that are tolerated because they are trials.
constexpr std::size_t MaxLateSends = 3;

FlightId submitSuspect(RelayHarness &harness, RequestKind kind = RequestKind::Stream)
{
    return harness.submit(kind, Duration(20'000'000), "bad");
}

std::vector<RelayEngine> completeEngines()
{
    return {{"e1", {0, 8}}, {"e2", {0, 8}}, {"e3", {0, 8}}, {"e4", {0, 8}}, {"p1", {}}, {"p2", {}}};
}

std::vector<CrashRecord> crashRecords(int crashes, Time at)
{
    std::vector<CrashRecord> records;
    for (int i = 0; i < crashes; ++i)
        records.push_back({"bad", "gone" + std::to_string(i), at});
    return records;
}

/// Gives the relay as many crash records of other instances as \a crashes, and waits until the
/// records are effective.
void shareCrashes(RelayHarness &harness, int crashes)
{
    harness.relay.setSharedCrashes(crashRecords(crashes, harness.now));
    harness.advance(seconds(3));
}

/// Checks that only a few engines crashed before detection and one more for each trial, and that
/// no harmless request was quarantined.
void checkBlocked(const CrashSimulation &simulation, std::size_t instances)
{
    INFO(instances << " instances, " << simulation.crashes().size() << " crashes");
    const std::size_t lateSends = simulation.sendsAfterThirdCrash(DetectionDelay);
    CHECK(lateSends <= MaxLateSends);
    CHECK(simulation.crashes().size() <= MaxCrashes + lateSends);
    CHECK(simulation.harmless().quarantined == 0);
}

/// Instances share crash records by gossip and by the store, or by the store alone.
CrashSimulationSettings withAndWithoutGossip()
{
    CrashSimulationSettings settings;
    settings.gossipLoss = GENERATE(0.0, 1.0);
    return settings;
}

} // namespace

// Guards against a request that is sent to all engines one after another and crashes each.
TEST_CASE("a request that crashes engines is not sent after the third crash")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.seed = GENERATE(range(1, 9));
    CrashSimulation simulation(settings);
    simulation.run(seconds(60));
    CHECK(simulation.sendsAfterThirdCrash(DetectionDelay) == 0);
    CHECK(simulation.crashes().size() <= MaxCrashes);
}

// A crash breaks the connection of the crashing request first. Guards against taking data that is
// read from another connection of the engine afterwards as proof that the engine is alive.
TEST_CASE("a crash is recorded although the engine's connections break one after another")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.requestsPerSecond = 300;
    settings.breakSpread = Duration(3'000);
    settings.crashingInterval = Duration(1'000'000);
    settings.enginesPerDomain = 2;
    settings.seed = GENERATE(range(1, 9));
    CrashSimulation simulation(settings);
    simulation.run(seconds(40));
    INFO(simulation.crashes().size() << " crashes");
    CHECK(simulation.sendsAfterThirdCrash(DetectionDelay) == 0);
    CHECK(simulation.crashes().size() <= MaxCrashes);
}

// Guards against an early success that clears a request of all later crashes.
TEST_CASE("a request that succeeded at first is blocked once it crashes engines")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.harmlessFor = Duration(13'000'000);
    settings.seed = GENERATE(range(1, 9));
    CrashSimulation simulation(settings);
    simulation.run(seconds(60));
    CHECK(simulation.sendsAfterThirdCrash(DetectionDelay) <= MaxLateSends);
    CHECK(simulation.crashes().size() <= MaxCrashesAfterSuccess);
}

// Guards against records of one crashing request that prevent the detection of the next one.
TEST_CASE("each of several successive crashing requests is blocked")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.crashingLifetime = Duration(15'000'000);
    settings.crashingInterval = Duration(2'000'000);
    settings.seed = GENERATE(range(1, 5));
    CrashSimulation simulation(settings);
    simulation.run(seconds(60));
    CHECK(simulation.sendsAfterThirdCrash(DetectionDelay) == 0);
    CHECK(simulation.crashes().size() <= MaxCrashes);
}

// Guards against a number of crashes that grows with the number of instances.
TEST_CASE("sixty instances block a crashing request after as few crashes as six")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.instances = 60;
    settings.enginesPerDomain = 20;
    settings.requestsPerSecond = 200;
    settings.crashingInterval = Duration(1'000'000);
    CrashSimulation simulation(settings);
    simulation.run(seconds(30));
    CHECK(simulation.sendsAfterThirdCrash(DetectionDelay) == 0);
    CHECK(simulation.crashes().size() <= MaxCrashes);
}

// Guards against hundreds of instances that run a trial as soon as trials are allowed.
TEST_CASE("trials of a suspected request do not increase with the number of instances")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.instances = GENERATE(6, 60, 76, 295);
    settings.crashingInterval = Duration(100'000);
    settings.crashingRetries = 1;
    settings.seed = GENERATE(range(1, 4));
    CrashSimulation simulation(settings);
    simulation.addSuspects(5);
    simulation.run(seconds(35));
    INFO(settings.instances << " instances, " << simulation.crashes().size() << " crashes");
    CHECK(simulation.sendsAfterThirdCrash(DetectionDelay) <= MaxLateSends);
    CHECK(simulation.harmless().quarantined == 0);
    CHECK(simulation.waits().size() == 5);
}

// Guards against crashes that are not recorded: the first engine of the path is alive and answers
// queries, while the request is moved on to another second engine after each crash.
TEST_CASE("a request that crashes engines in the middle of its path is blocked")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.crashKind = CrashKind::CrashesMiddle;
    settings.enginesPerDomain = 8;
    settings.instances = GENERATE(6, 76, 295);
    settings.crashingInterval = Duration(2'000'000);
    settings.seed = GENERATE(range(1, 6));
    CrashSimulation simulation(settings);
    simulation.run(seconds(30));
    checkBlocked(simulation, settings.instances);
}

// Guards against a request that hangs one engine after another. A hung engine does not terminate,
// so no crash would be recorded.
TEST_CASE("a request that hangs its engines is blocked")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.crashKind = CrashKind::Hangs;
    settings.restartDelay = Duration(30'000'000);
    settings.instances = GENERATE(6, 76, 295);
    settings.crashingInterval = Duration(2'000'000);
    settings.seed = GENERATE(range(1, 3));
    CrashSimulation simulation(settings);
    simulation.run(seconds(25));
    checkBlocked(simulation, settings.instances);
}

// Guards against crashes by copies of the request that are queued at engines while the crashes are
// being attributed to it.
TEST_CASE("copies of a crashing request at three instances are blocked as soon as a single one")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.crashingCopies = 3;
    settings.seed = GENERATE(range(1, 9));
    CrashSimulation simulation(settings);
    simulation.run(seconds(30));
    CHECK(simulation.sendsAfterThirdCrash(DetectionDelay) == 0);
    CHECK(simulation.harmless().quarantined == 0);
}

// Guards against one series of crashes per instance in a domain that cannot reach the store.
TEST_CASE("instances without the store block a crashing request after few crashes")
{
    CrashSimulationSettings settings;
    settings.storeUnreachable = true;
    settings.instances = GENERATE(6, 76, 295);
    settings.crashingInterval = Duration(500'000);
    CrashSimulation simulation(settings);
    simulation.run(seconds(40));
    INFO(settings.instances << " instances, " << simulation.crashes().size() << " crashes");
    CHECK(simulation.crashes().size() <= MaxCrashes);
}

// Guards against crashes that are not added up because each attempt ran at another instance.
TEST_CASE("a crashing request that may run only once is blocked")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.crashingKind = RequestKind::Unsafe;
    settings.seed = GENERATE(range(1, 5));
    CrashSimulation simulation(settings);
    simulation.run(seconds(40));
    CHECK(simulation.crashes().size() <= MaxCrashes);
}

// Guards against instances that restart without records and send the request to three more engines.
TEST_CASE("crash records persist through restarts of all instances")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.seed = GENERATE(range(1, 5));
    CrashSimulation simulation(settings);
    simulation.run(seconds(7));
    REQUIRE_FALSE(simulation.crashes().empty());
    simulation.restartInstances();
    simulation.run(seconds(30));
    simulation.restartInstances();
    simulation.run(seconds(30));
    CHECK(simulation.sendsAfterThirdCrash(DetectionDelay) == 0);
    CHECK(simulation.crashes().size() <= MaxCrashes);
}

// Guards against the quarantine of harmless requests when engines crash for other reasons.
TEST_CASE("crashes without a common cause quarantine no request")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.crashingUntil = Duration {};
    settings.seed = GENERATE(range(1, 9));
    CrashSimulation simulation(settings);
    for (int second = 0; second < 40; ++second) {
        simulation.run(seconds(1));
        simulation.crashAnyEngine();
    }
    CHECK(simulation.harmless().quarantined == 0);
    CHECK(simulation.harmless().refused == 0);
}

// Guards against the quarantine of requests that are queued at busy engines when these crash.
TEST_CASE("a busy fleet blocks the crashing request and no harmless one")
{
    CrashSimulationSettings settings = withAndWithoutGossip();
    settings.enginesPerDomain = 3;
    settings.requestsPerSecond = 80;
    settings.prefillTime = Duration(60'000);
    settings.restartDelay = Duration(8'000'000);
    settings.crashingInterval = Duration(2'000'000);
    settings.seed = GENERATE(range(1, 9));
    CrashSimulation simulation(settings);
    simulation.run(seconds(40));
    CHECK(simulation.sendsAfterThirdCrash(DetectionDelay) == 0);
    CHECK(simulation.crashes().size() <= MaxCrashes);
    CHECK(simulation.harmless().quarantined == 0);
}

// Guards against a crash after the attempt was abandoned, which breaks no connection.
TEST_CASE("a crash during an abandoned attempt counts against the request")
{
    RelayHarness harness(completeEngines());
    const FlightId flight = submitSuspect(harness);
    const std::string engine = harness.sends(flight).back().endpoint;
    harness.relay.callerGone(flight, harness.now, harness.actions);
    harness.advance(milliseconds(250));
    REQUIRE(harness.queriedEngines() == std::vector<std::string> {engine});
    harness.relay.queryFailed(engine, harness.now, harness.actions, true);
    CHECK(harness.relay.quarantine().crashes("bad", harness.now) == 1);
}

// Guards against data that was sent before a crash and is read after it.
TEST_CASE("data that an engine sent before its crash does not clear the request")
{
    RelayHarness harness({{"e1", {0, 8}}});
    const FlightId other = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(other, 200));
    const FlightId flight = submitSuspect(harness);
    harness.fail(flight, AttemptFailure::Broken);
    harness.advance(milliseconds(1));
    harness.forwardEvents(other, 1);
    harness.relay.queryAnswered("e1", {}, 1, harness.now, harness.actions);
    harness.relay.endpointAnswered("e1", harness.now - milliseconds(50));
    harness.fail(other, AttemptFailure::InvalidAnswer);
    harness.relay.queryFailed("e1", harness.now, harness.actions, true);
    CHECK(harness.relay.quarantine().crashes("bad", harness.now) == 1);
}

// Guards against counting a lost link as the crash of the engines behind it, which do not answer.
TEST_CASE("an unanswered query does not count as a crash")
{
    RelayHarness harness(completeEngines());
    const FlightId flight = submitSuspect(harness);
    const std::string engine = harness.sends(flight).back().endpoint;
    harness.fail(flight, AttemptFailure::Broken);
    harness.relay.queryFailed(engine, harness.now, harness.actions, false);
    CHECK(harness.relay.quarantine().crashes("bad", harness.now) == 0);
}

// Guards against harmless streams that are suspected of all crashes along their paths.
TEST_CASE("a crash in the middle of the path does not count after the first event")
{
    RelayHarness harness({{"first", {0, 4}}, {"middle", {4, 8}}, {"other", {4, 8}}});
    const FlightId flight = submitSuspect(harness);
    REQUIRE(harness.sends(flight).back().path.size() == 2);
    const std::string middle = harness.sends(flight).back().path[1].endpoint;
    REQUIRE(harness.answer(flight, 200));
    const bool eventForwarded = GENERATE(true, false);
    if (eventForwarded)
        harness.forwardEvents(flight, 1);
    harness.advance(seconds(1));
    harness.relay.queryAnswered("first", {harness.addressOf(middle)}, 1, harness.now,
                                harness.actions);
    harness.advance(milliseconds(100));
    harness.relay.queryFailed(middle, harness.now, harness.actions, true);
    CHECK(harness.relay.quarantine().crashes("bad", harness.now) == (eventForwarded ? 0 : 1));
}

// Guards against a planned shutdown that counts against the requests it interrupts.
TEST_CASE("the shutdown of a draining engine does not count as a crash")
{
    RelayHarness harness(completeEngines());
    const FlightId flight = submitSuspect(harness);
    const std::string engine = harness.sends(flight).back().endpoint;
    harness.drain(engine);
    harness.fail(flight, AttemptFailure::Broken);
    harness.remove(engine);
    harness.advance(seconds(1));
    CHECK(harness.relay.quarantine().crashes("bad", harness.now) == 0);
}

// Guards against callers that wait for a quarantined request until they time out, and against
// answers that falsely state that nothing was executed.
TEST_CASE("a quarantined request is refused at once as not executed")
{
    RelayHarness harness(completeEngines());
    shareCrashes(harness, 3);
    const FlightId flight =
        submitSuspect(harness, GENERATE(RequestKind::Stream, RequestKind::Unsafe));
    CHECK(harness.sends(flight).empty());
    REQUIRE(harness.finished(flight));
    CHECK(harness.finished(flight)->outcome == FlightOutcome::NotExecuted);
    CHECK(harness.finished(flight)->retryAfter > seconds(60));
}

// Guards against the crash of an engine where the request is still queued.
TEST_CASE("a queued attempt is abandoned when its request becomes quarantined")
{
    RelayHarness harness(completeEngines());
    const FlightId flight = submitSuspect(harness);
    REQUIRE(harness.sends(flight).size() == 1);
    shareCrashes(harness, 3);
    CHECK(harness.abandoned(flight) == 1);
    REQUIRE(harness.finished(flight));
    CHECK(harness.finished(flight)->outcome == FlightOutcome::Failed);
}

// Guards against the loss of a running stream because of crashes elsewhere.
TEST_CASE("a stream with events for over a second is neither suspected nor abandoned")
{
    RelayHarness harness(completeEngines());
    const FlightId flight = submitSuspect(harness);
    REQUIRE(harness.answer(flight, 200));
    for (std::uint64_t event = 1; event <= 12; ++event) {
        harness.forwardEvents(flight, event);
        harness.advance(milliseconds(100));
    }
    shareCrashes(harness, 3);
    CHECK_FALSE(harness.finished(flight));
    harness.fail(flight, AttemptFailure::InvalidAnswer);
    CHECK(harness.sends(flight).size() == 2);
}

// Guards against a stream that is cut on its way to the caller because of crashes elsewhere.
TEST_CASE("a stream with events is not abandoned when its request becomes quarantined")
{
    RelayHarness harness(completeEngines());
    const FlightId flight = submitSuspect(harness);
    REQUIRE(harness.answer(flight, 200));
    const Duration age = GENERATE(Duration {}, Duration(seconds(3)));
    for (std::uint64_t event = 1; event <= 8; ++event) {
        harness.forwardEvents(flight, event);
        harness.relay.setSharedCrashes(crashRecords(3, harness.now - age));
        harness.advance(milliseconds(100));
    }
    CHECK(harness.abandoned(flight) == 0);
    CHECK_FALSE(harness.finished(flight));
}

// Guards against a stream that is cut after it was resumed at a sound engine.
TEST_CASE("a resumed stream is not abandoned when its request becomes quarantined")
{
    RelayHarness harness(completeEngines());
    const FlightId flight = submitSuspect(harness);
    REQUIRE(harness.answer(flight, 200));
    harness.forwardEvents(flight, 1);
    harness.fail(flight, AttemptFailure::Broken);
    harness.relay.queryAnswered(harness.sends(flight).front().endpoint, {}, 1, harness.now,
                                harness.actions);
    harness.advance(milliseconds(50));
    REQUIRE(harness.sends(flight).size() == 2);
    if (GENERATE(false, true))
        REQUIRE(harness.answer(flight, 200));
    harness.relay.setSharedCrashes(crashRecords(3, harness.now - seconds(3)));
    harness.advance(milliseconds(100));
    CHECK(harness.abandoned(flight) == 0);
    CHECK_FALSE(harness.finished(flight));
}

// Guards against two copies of a request at one instance that each crash an engine: with one trial
// at a time, only one engine crashes.
TEST_CASE("a request with two crashes has one trial at a time")
{
    RelayHarness harness(completeEngines());
    shareCrashes(harness, 2);
    const FlightId first = submitSuspect(harness);
    const FlightId second = submitSuspect(harness);
    CHECK(harness.sends(first).empty());
    harness.answerTrial(first, {.granted = true, .validFor = seconds(5)});
    harness.answerTrial(second, {.wait = seconds(1)});
    CHECK(harness.sends(first).size() == 1);
    CHECK(harness.sends(second).empty());
    REQUIRE(harness.finished(second));
    CHECK(harness.finished(second)->outcome == FlightOutcome::NotExecuted);
    harness.answer(first, 503, false, true);
    CHECK(harness.sends(first).size() == 1);
    REQUIRE(harness.finished(first));
    CHECK(harness.finished(first)->outcome == FlightOutcome::NotExecuted);
}
