#include "../fakes/crashsimulation.h"
#include "../fakes/relayharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// From the third engine's end until no instance may send the request any more.
constexpr Duration KnownEverywhere {3'000'000};

/// Engines that one request may end, over all instances.
constexpr std::size_t MostEnds = 4;

/// The same when something speaks for the request, such as that it came through before.
constexpr std::size_t MostEndsInDoubt = 5;

/// Sends later than KnownEverywhere that the fleet bears.
constexpr std::size_t MostLateSends = 3;

FlightId submitBad(RelayHarness &harness, RequestKind kind = RequestKind::Stream)
{
    return harness.submit(kind, Duration(20'000'000), "bad");
}

std::vector<RelayEngine> wholeEngines()
{
    return {{"e1", {0, 8}}, {"e2", {0, 8}}, {"e3", {0, 8}}, {"e4", {0, 8}}, {"p1", {}}, {"p2", {}}};
}

/// Others saw \a crashes endpoints end under the request, a while ago.
void learnEnds(RelayHarness &harness, int crashes)
{
    std::vector<CrashRecord> told;
    for (int i = 0; i < crashes; ++i)
        told.push_back({"bad", "gone" + std::to_string(i), harness.now});
    harness.relay.setSharedCrashes(told);
    harness.advance(seconds(3));
}

/// A few engines ended before anything could be known, one more for each try that the fleet
/// permitted, and nobody harmless was held.
void checkFoundOut(const CrashSimulation &simulation, std::size_t instances)
{
    INFO(instances << " instances, " << simulation.crashes().size() << " ends");
    const std::size_t tries = simulation.sendsAfterThirdCrash(KnownEverywhere);
    CHECK(tries <= MostLateSends);
    CHECK(simulation.crashes().size() <= MostEnds + tries);
    CHECK(simulation.harmless().quarantined == 0);
}

} // namespace

// Guards against a request that ends each engine that runs it and is sent to all, one after
// another.
TEST_CASE("a request that ends its engines is sent to no more of them after the third")
{
    CrashSimulationSettings settings;
    settings.seed = GENERATE(range(1, 9));
    CrashSimulation simulation(settings);
    simulation.run(seconds(60));
    CHECK(simulation.sendsAfterThirdCrash(KnownEverywhere) == 0);
    CHECK(simulation.crashes().size() <= MostEnds);
}

// Guards against a neighbour's broken connection, read a moment later, that is taken for a
// sign that the engine was still alive after it broke the guilty one off.
TEST_CASE("engines whose connections break one after another end under a request all the same")
{
    CrashSimulationSettings settings;
    settings.requestsPerSecond = 300;
    settings.breakSpread = Duration(3'000);
    settings.crashingInterval = Duration(1'000'000);
    settings.enginesPerDomain = 2;
    settings.seed = GENERATE(range(1, 9));
    CrashSimulation simulation(settings);
    simulation.run(seconds(40));
    INFO(simulation.crashes().size() << " ends");
    CHECK(simulation.sendsAfterThirdCrash(KnownEverywhere) == 0);
    CHECK(simulation.crashes().size() <= MostEnds);
}

// Guards against an earlier success that clears a request of all that it does later.
TEST_CASE("a request that came through before is found out when it ends engines")
{
    CrashSimulationSettings settings;
    settings.harmlessFor = Duration(13'000'000);
    settings.seed = GENERATE(range(1, 9));
    CrashSimulation simulation(settings);
    simulation.run(seconds(60));
    CHECK(simulation.sendsAfterThirdCrash(KnownEverywhere) <= MostLateSends);
    CHECK(simulation.crashes().size() <= MostEndsInDoubt);
}

// Guards against what is left of one such request and keeps the next from being found out.
TEST_CASE("of several such requests, one after another, each is found out")
{
    CrashSimulationSettings settings;
    settings.crashingLifetime = Duration(15'000'000);
    settings.crashingInterval = Duration(2'000'000);
    settings.seed = GENERATE(range(1, 5));
    CrashSimulation simulation(settings);
    simulation.run(seconds(60));
    CHECK(simulation.sendsAfterThirdCrash(KnownEverywhere) == 0);
    CHECK(simulation.crashes().size() <= MostEnds);
}

// Guards against as many ends as there are instances that do not know of each other's.
TEST_CASE("sixty instances send a request that ends its engines to no more than six do")
{
    CrashSimulationSettings settings;
    settings.instances = 60;
    settings.enginesPerDomain = 20;
    settings.requestsPerSecond = 200;
    settings.crashingInterval = Duration(1'000'000);
    CrashSimulation simulation(settings);
    simulation.run(seconds(30));
    CHECK(simulation.sendsAfterThirdCrash(KnownEverywhere) == 0);
    CHECK(simulation.crashes().size() <= MostEnds);
}

// Guards against a permission that each instance gives alone, at a moment that all share.
TEST_CASE("hundreds of instances try a request under suspicion no more often than a few do")
{
    CrashSimulationSettings settings;
    settings.instances = GENERATE(6, 60, 76, 295);
    settings.crashingInterval = Duration(100'000);
    settings.crashingRetries = 1;
    settings.seed = GENERATE(range(1, 4));
    CrashSimulation simulation(settings);
    simulation.addSuspects(5);
    simulation.run(seconds(35));
    INFO(settings.instances << " instances, " << simulation.crashes().size() << " ends");
    CHECK(simulation.sendsAfterThirdCrash(KnownEverywhere) <= MostLateSends);
    CHECK(simulation.harmless().quarantined == 0);
    CHECK(simulation.waits().size() == 5);
}

// Guards against a request whose path leads to one engine after another behind a first one that
// lives and answers for them.
TEST_CASE("a request that ends engines in the middle of its path is found out")
{
    CrashSimulationSettings settings;
    settings.crashKind = CrashKind::CrashesMiddle;
    settings.enginesPerDomain = 8;
    settings.instances = GENERATE(6, 76, 295);
    settings.crashingInterval = Duration(2'000'000);
    settings.seed = GENERATE(range(1, 6));
    CrashSimulation simulation(settings);
    simulation.run(seconds(30));
    checkFoundOut(simulation, settings.instances);
}

// Guards against engines that are silent and not gone, one after another.
TEST_CASE("a request that hangs its engines is found out")
{
    CrashSimulationSettings settings;
    settings.crashKind = CrashKind::Hangs;
    settings.restart = Duration(30'000'000);
    settings.instances = GENERATE(6, 76, 295);
    settings.crashingInterval = Duration(2'000'000);
    settings.seed = GENERATE(range(1, 3));
    CrashSimulation simulation(settings);
    simulation.run(seconds(25));
    checkFoundOut(simulation, settings.instances);
}

// Guards against copies that wait at engines while it becomes known what they do.
TEST_CASE(
    "a request that comes at three instances at once is known as soon as one that comes alone")
{
    CrashSimulationSettings settings;
    settings.crashingCopies = 3;
    settings.seed = GENERATE(range(1, 9));
    CrashSimulation simulation(settings);
    simulation.run(seconds(30));
    CHECK(simulation.sendsAfterThirdCrash(KnownEverywhere) == 0);
    CHECK(simulation.harmless().quarantined == 0);
}

// Guards against a domain without the store, where each instance learns by its own ends alone.
TEST_CASE("instances that cannot reach the store send a request that ends engines to few")
{
    CrashSimulationSettings settings;
    settings.storeUnreachable = true;
    settings.instances = GENERATE(6, 76, 295);
    settings.crashingInterval = Duration(500'000);
    CrashSimulation simulation(settings);
    simulation.run(seconds(40));
    INFO(settings.instances << " instances, " << simulation.crashes().size() << " ends");
    CHECK(simulation.crashes().size() <= MostEnds);
}

// Guards against single attempts, each at another instance, that add up nowhere.
TEST_CASE("a request that may run once only and ends its engines is found out over its attempts")
{
    CrashSimulationSettings settings;
    settings.crashingKind = RequestKind::Unsafe;
    settings.seed = GENERATE(range(1, 5));
    CrashSimulation simulation(settings);
    simulation.run(seconds(40));
    CHECK(simulation.crashes().size() <= MostEnds);
}

// Guards against instances that all begin anew and send the request to three more engines.
TEST_CASE("what instances know of a request outlasts all of them")
{
    CrashSimulationSettings settings;
    settings.seed = GENERATE(range(1, 5));
    CrashSimulation simulation(settings);
    simulation.run(seconds(7));
    REQUIRE_FALSE(simulation.crashes().empty());
    simulation.restartInstances();
    simulation.run(seconds(30));
    simulation.restartInstances();
    simulation.run(seconds(30));
    CHECK(simulation.sendsAfterThirdCrash(KnownEverywhere) == 0);
    CHECK(simulation.crashes().size() <= MostEnds);
}

// Guards against harmless requests that are shut out since engines end by themselves.
TEST_CASE("engines that end by themselves shut out nobody")
{
    CrashSimulationSettings settings;
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

// Guards against a fleet that is busy when engines end, and takes all that wait for guilty.
TEST_CASE("on a fleet at its limits the request is found out and nobody else is")
{
    CrashSimulationSettings settings;
    settings.enginesPerDomain = 3;
    settings.requestsPerSecond = 80;
    settings.prefillTime = Duration(60'000);
    settings.restart = Duration(8'000'000);
    settings.crashingInterval = Duration(2'000'000);
    settings.seed = GENERATE(range(1, 9));
    CrashSimulation simulation(settings);
    simulation.run(seconds(40));
    CHECK(simulation.sendsAfterThirdCrash(KnownEverywhere) == 0);
    CHECK(simulation.crashes().size() <= MostEnds);
    CHECK(simulation.harmless().quarantined == 0);
}

// Guards against an endpoint that ends after the request was given up, and breaks nothing off.
TEST_CASE("a request that is given up as its engine ends is found out")
{
    RelayHarness harness(wholeEngines());
    const FlightId flight = submitBad(harness);
    const std::string engine = harness.sends(flight).back().endpoint;
    harness.relay.callerGone(flight, harness.now, harness.actions);
    harness.advance(milliseconds(250));
    REQUIRE(harness.queriedEngines() == std::vector<std::string> {engine});
    harness.relay.queryFailed(engine, harness.now, harness.actions, true);
    CHECK(harness.relay.quarantine().crashes("bad", harness.now) == 1);
}

// Guards against bytes that came before an engine's end and are read after it.
TEST_CASE("what an engine sent before it ended is no sign that it lives")
{
    RelayHarness harness({{"e1", {0, 8}}});
    const FlightId other = harness.submit(RequestKind::Stream);
    REQUIRE(harness.answer(other, 200));
    const FlightId flight = submitBad(harness);
    harness.fail(flight, AttemptFailure::Broken);
    harness.advance(milliseconds(1));
    harness.forwardEvents(other, 1);
    harness.relay.queryAnswered("e1", {}, 1, harness.now, harness.actions);
    harness.relay.endpointAnswered("e1", harness.now - milliseconds(50));
    harness.fail(other, AttemptFailure::InvalidAnswer);
    harness.relay.queryFailed("e1", harness.now, harness.actions, true);
    CHECK(harness.relay.quarantine().crashes("bad", harness.now) == 1);
}

// Guards against a lost link, where engines are silent, that is taken for their end.
TEST_CASE("an engine that only does not answer ended under nothing")
{
    RelayHarness harness(wholeEngines());
    const FlightId flight = submitBad(harness);
    const std::string engine = harness.sends(flight).back().endpoint;
    harness.fail(flight, AttemptFailure::Broken);
    harness.relay.queryFailed(engine, harness.now, harness.actions, false);
    CHECK(harness.relay.quarantine().crashes("bad", harness.now) == 0);
}

// Guards against harmless streams that are suspected of all ends along their path.
TEST_CASE("an engine in the middle that passed events of a stream on did not end under it")
{
    RelayHarness harness({{"first", {0, 4}}, {"middle", {4, 8}}, {"other", {4, 8}}});
    const FlightId flight = submitBad(harness);
    REQUIRE(harness.sends(flight).back().path.size() == 2);
    const std::string middle = harness.sends(flight).back().path[1].endpoint;
    REQUIRE(harness.answer(flight, 200));
    const bool passedOn = GENERATE(true, false);
    if (passedOn)
        harness.forwardEvents(flight, 1);
    harness.advance(seconds(1));
    harness.relay.queryAnswered("first", {harness.addressOf(middle)}, 1, harness.now,
                                harness.actions);
    harness.advance(milliseconds(100));
    harness.relay.queryFailed(middle, harness.now, harness.actions, true);
    CHECK(harness.relay.quarantine().crashes("bad", harness.now) == (passedOn ? 0 : 1));
}

// Guards against a planned stop that is held against the requests that it cuts.
TEST_CASE("an engine that leaves ends under nothing")
{
    RelayHarness harness(wholeEngines());
    const FlightId flight = submitBad(harness);
    const std::string engine = harness.sends(flight).back().endpoint;
    harness.drain(engine);
    harness.fail(flight, AttemptFailure::Broken);
    harness.remove(engine);
    harness.advance(seconds(1));
    CHECK(harness.relay.quarantine().crashes("bad", harness.now) == 0);
}

// Guards against a caller who waits for nothing, and against a promise that is not true.
TEST_CASE("a request that is held back is refused at once, as not run if it was not")
{
    RelayHarness harness(wholeEngines());
    learnEnds(harness, 3);
    const FlightId flight = submitBad(harness, GENERATE(RequestKind::Stream, RequestKind::Unsafe));
    CHECK(harness.sends(flight).empty());
    REQUIRE(harness.finished(flight));
    CHECK(harness.finished(flight)->outcome == FlightOutcome::NotExecuted);
    CHECK(harness.finished(flight)->retryAfter > seconds(60));
}

// Guards against an engine that is lost to a request which waits there to be run.
TEST_CASE("a request that waits at an engine is taken back when it becomes known")
{
    RelayHarness harness(wholeEngines());
    const FlightId flight = submitBad(harness);
    REQUIRE(harness.sends(flight).size() == 1);
    learnEnds(harness, 3);
    CHECK(harness.abandoned(flight) == 1);
    REQUIRE(harness.finished(flight));
    CHECK(harness.finished(flight)->outcome == FlightOutcome::Failed);
}

// Guards against callers who lose a stream that runs, since it stood beside others' ends.
TEST_CASE("a stream that runs well is neither suspected nor taken back")
{
    RelayHarness harness(wholeEngines());
    const FlightId flight = submitBad(harness);
    REQUIRE(harness.answer(flight, 200));
    for (std::uint64_t event = 1; event <= 12; ++event) {
        harness.forwardEvents(flight, event);
        harness.advance(milliseconds(100));
    }
    learnEnds(harness, 3);
    CHECK_FALSE(harness.finished(flight));
    harness.fail(flight, AttemptFailure::InvalidAnswer);
    CHECK(harness.sends(flight).size() == 2);
}

// Guards against two copies at one instance that each end an engine where one shows enough.
TEST_CASE("a request under which two engines ended is tried once at a time")
{
    RelayHarness harness(wholeEngines());
    learnEnds(harness, 2);
    const FlightId first = submitBad(harness);
    const FlightId second = submitBad(harness);
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
