// Pauses that endpoints announce in their refusals, with 6, 76 and 295 instances, in virtual time.

#include "../fakes/pausesimulation.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t FleetSizes[] = {6, 76, 295};

} // namespace

TEST_CASE("an instance sends nothing to an endpoint until its announced pause ends")
{
    for (const std::size_t instances : FleetSizes)
        for (const Duration pause : {Duration(milliseconds(300)), Duration(seconds(3)),
                                     Duration(seconds(20)), Duration(seconds(120))})
            for (const RequestKind kind : {RequestKind::Unsafe, RequestKind::Stream}) {
                PauseSimulationSettings settings;
                settings.instances = instances;
                settings.kind = kind;
                PauseSimulation simulation(settings);
                simulation.run(seconds(1));
                simulation.refuse(2, pause);
                simulation.run(seconds(10));
                CAPTURE(instances, pause.count(), kind);
                CHECK(simulation.arrivedInPauses() == 0);
                CHECK(simulation.callers().lost == 0);
            }
}

// Guards against callers that wait in vain, or return before any endpoint accepts them.
TEST_CASE("while all endpoints are paused, callers are refused at once and told when to return")
{
    for (const std::size_t instances : FleetSizes)
        for (const RequestKind kind : {RequestKind::Unsafe, RequestKind::Stream}) {
            PauseSimulationSettings settings;
            settings.instances = instances;
            settings.kind = kind;
            settings.patience = seconds(60);
            settings.requestsPerSecond = 12 * static_cast<double>(instances);
            PauseSimulation simulation(settings);
            simulation.refuse(settings.endpoints, seconds(20));
            simulation.run(seconds(12));
            simulation.resetCallers();
            simulation.run(seconds(3));
            CAPTURE(instances, kind);
            // No pause ended, so none ends within the next five seconds.
            CHECK(simulation.callers().refused > 0);
            CHECK(simulation.callers().shortestRetryAfter >= seconds(5));
            CHECK(simulation.arrivedInPauses() == 0);
        }
}

// Guards against an endless series of pauses: all requests that waited are sent when a pause ends.
TEST_CASE("a fleet recovers after all its endpoints were paused")
{
    for (const std::size_t instances : FleetSizes)
        for (const RequestKind kind : {RequestKind::Safe, RequestKind::Stream}) {
            PauseSimulationSettings settings;
            settings.instances = instances;
            settings.kind = kind;
            settings.patience = seconds(20);
            PauseSimulation simulation(settings);
            simulation.run(seconds(1));
            simulation.refuse(settings.endpoints, seconds(3));
            simulation.run(seconds(3));
            // Together the endpoints can serve five times the load.
            simulation.accept(10);
            simulation.run(seconds(15));
            simulation.resetCallers();
            simulation.run(seconds(10));
            CAPTURE(instances, kind);
            CHECK(simulation.callers().lost == 0);
            CHECK(simulation.callers().refused == 0);
        }
}

TEST_CASE("an endpoint is used again within a second after its pause")
{
    for (const std::size_t instances : FleetSizes) {
        PauseSimulationSettings settings;
        settings.instances = instances;
        PauseSimulation simulation(settings);
        simulation.run(seconds(1));
        simulation.refuse(1, seconds(3));
        simulation.run(milliseconds(2500));
        simulation.accept();
        simulation.run(milliseconds(1500));
        CAPTURE(instances);
        CHECK(simulation.arrived(milliseconds(1000)) > 0);
    }
}

TEST_CASE("only its end, or the end of its endpoint's process, ends an announced pause")
{
    const Time start {std::chrono::hours(1)};
    AnnouncedPauses pauses({0, {}});
    std::mt19937_64 random;
    CHECK(pauses.recordRefusal("e", seconds(6), start, random));
    CHECK_FALSE(pauses.recordRefusal("e", seconds(1), start + seconds(1), random));
    pauses.recordResult("e", start, true);
    CHECK(pauses.isPaused("e", start + milliseconds(5999)));
    CHECK_FALSE(pauses.isPaused("e", start + seconds(6)));
    CHECK_FALSE(pauses.recordRefusal("e", seconds(9), start + seconds(2), random));
    CHECK(pauses.isPaused("e", start + milliseconds(10'999)));
    CHECK_FALSE(pauses.isPaused("another", start));
}

// Guards against a burst when a pause ends.
TEST_CASE("after a pause, the limit on unanswered requests grows as the endpoint accepts them")
{
    const Time start {std::chrono::hours(1)};
    const Time end = start + seconds(3);
    AnnouncedPauses pauses({0, {}});
    std::mt19937_64 random;
    const auto sendAll = [&](Time now) {
        int sent = 0;
        for (; !pauses.blockedEndpoints(now).contains("e"); ++sent)
            pauses.recordSend("e", now);
        return sent;
    };
    pauses.recordRefusal("e", seconds(3), start, random);
    CHECK(sendAll(end) == 1);
    // Abandoned without an answer: the next one may be sent, but not two.
    pauses.recordResult("e", end, false);
    CHECK(sendAll(end) == 1);
    pauses.recordResult("e", end, true);
    CHECK(sendAll(end) == 2);
    // The answer to a request sent before the pause shows nothing.
    pauses.recordResult("e", start, true);
    CHECK(sendAll(end) == 0);
}

// Guards against a request that is chosen before a pause is announced and sent after it.
TEST_CASE("a request that is not sent yet when a pause is announced goes elsewhere")
{
    RelaySettings settings = RelayHarness::defaults();
    settings.retryRatio = 0;
    settings.retrySlack = 0;
    const RequestKind kind = GENERATE(RequestKind::Unsafe, RequestKind::Stream);
    RelayHarness harness({{"a", {0, 8}}, {"b", {0, 8}}, {"p", {}}, {"q", {}}}, settings);
    const FlightId first = harness.submit(kind);
    const std::string endpoint = harness.sends(first).back().endpoint;
    FlightId waiting = 0;
    do
        waiting = harness.submit(kind);
    while (harness.sends(waiting).back().endpoint != endpoint);
    harness.refuse(first, seconds(3));
    const std::uint32_t attempt = harness.sends(waiting).back().attempt;
    REQUIRE_FALSE(harness.relay.maySend(waiting, attempt, harness.now));
    harness.fail(waiting, AttemptFailure::Withheld);
    REQUIRE(harness.sends(waiting).size() == 2);
    CHECK(harness.sends(waiting).back().endpoint != endpoint);
    CHECK(harness.relay.maySend(waiting, attempt + 1, harness.now));
    // The budget has no retry: nothing was sent, so none is needed.
    CHECK(harness.relay.counts().resent == 0);
}

// Guards against a lost stream: the only engine with some layers asked for a pause.
TEST_CASE("a paused engine runs later parts of a path if no other engine can")
{
    RelayHarness harness({{"a", {0, 4}}, {"b", {0, 4}}, {"last", {0, 8}}});
    FlightId refused = 0;
    do
        refused = harness.submit(RequestKind::Stream);
    while (harness.sends(refused).back().endpoint != "last");
    harness.refuse(refused, seconds(30));
    const FlightId stream = harness.submit(RequestKind::Stream);
    REQUIRE(harness.sends(stream).size() == 1);
    const SendRequest send = harness.sends(stream).back();
    CHECK(send.endpoint != "last");
    CHECK(send.path.back().endpoint == "last");
}

TEST_CASE("a refusal at a later engine of the path pauses that engine and the first one")
{
    RelayHarness harness({{"a", {0, 4}}, {"b", {4, 8}}});
    const FlightId stream = harness.submit(RequestKind::Stream);
    harness.refuse(stream, seconds(30), harness.addressOf("b"));
    CHECK(harness.relay.pauses().isPaused("a", harness.now));
    CHECK(harness.relay.pauses().isPaused("b", harness.now));
    REQUIRE(harness.finished(stream));
    CHECK(harness.finished(stream)->outcome == FlightOutcome::NotExecuted);
    CHECK(harness.finished(stream)->retryAfter >= seconds(30));
}

// Guards against a pause that a lapse of the endpoint's entry in the list ends.
TEST_CASE("an endpoint that is delisted and listed again stays paused")
{
    RelayHarness harness(std::vector<RelayEngine> {{"p", {}}});
    harness.refuse(harness.submit(RequestKind::Safe), seconds(30));
    harness.remove("p");
    harness.advance(seconds(5));
    harness.add({"p", {}});
    CHECK(harness.sends(harness.submit(RequestKind::Safe)).empty());
}

TEST_CASE("a request waits for the end of a pause that is near")
{
    RelayHarness harness(std::vector<RelayEngine> {{"a", {0, 8}}});
    harness.refuse(harness.submit(RequestKind::Stream), seconds(2));
    harness.advance(milliseconds(1700));
    const FlightId stream = harness.submit(RequestKind::Stream);
    CHECK(harness.sends(stream).empty());
    CHECK_FALSE(harness.finished(stream));
    harness.advance(milliseconds(600));
    CHECK(harness.sends(stream).size() == 1);
}

// Guards against instances that were refused together and return to the endpoint together.
TEST_CASE("instances that are refused at the same time return at different times")
{
    std::set<Time> ends;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        RelaySettings settings = RelayHarness::defaults();
        settings.seed = seed;
        RelayHarness harness(std::vector<RelayEngine> {{"p", {}}}, settings);
        harness.refuse(harness.submit(RequestKind::Safe), seconds(10));
        ends.insert(harness.relay.pauses().lastPause("p").until);
    }
    CHECK(ends.size() == 10);
}

// Guards against callers that are refused in a pause and return together when it ends.
TEST_CASE("callers that are refused in a pause are told different times to return")
{
    RelayHarness harness(std::vector<RelayEngine> {{"p", {}}});
    harness.refuse(harness.submit(RequestKind::Safe), seconds(10));
    std::vector<Duration> delays;
    for (int i = 0; i < 50; ++i) {
        const auto refused = harness.finished(harness.submit(RequestKind::Safe));
        REQUIRE(refused);
        delays.push_back(refused->retryAfter);
    }
    const auto [first, last] = std::minmax_element(delays.begin(), delays.end());
    CHECK(*first >= seconds(10));
    // Half of the most that a pause of this length permits.
    CHECK(*last - *first >= RelaySettings {}.maxReturnSpread / 2);
}
