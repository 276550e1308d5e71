// Each state in which a request waits ends by itself, even if what it waits for never comes.

#include "../fakes/relayharness.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>

using namespace balsamloft;
using namespace balsamloft::fakes;
using std::chrono::milliseconds;

namespace {

/// Time limit of the harness's routes.
constexpr Duration RouteTimeout {10'000'000};
/// How late a limit may be noticed: the interval of ticks.
constexpr Duration TickInterval {50'000};

std::vector<RelayEngine> engines()
{
    return {{"p1", {}}, {"p2", {}}, {"a1", {0, 4}}, {"a2", {4, 8}}, {"b1", {0, 4}}, {"b2", {4, 8}}};
}

std::unique_ptr<RelayHarness> makeHarness(std::vector<RelayEngine> all = engines())
{
    RelaySettings settings = RelayHarness::defaults();
    settings.admission.enabled = true;
    settings.admitToAll = true;
    return std::make_unique<RelayHarness>(std::move(all), settings);
}

/// A state in which a request waits, and how it gets there.
struct WaitingState
{
    std::string name;
    std::function<FlightId(RelayHarness &)> reach;
    std::vector<RelayEngine> engines;
    /// Whether the relay may not repeat or refuse the request before its time is over.
    bool lastsToLimit = false;
};

/// Makes the endpoint of the flight's attempt crash: its connection breaks, and a query finds its
/// port closed.
void crash(RelayHarness &harness, FlightId flight)
{
    const std::string endpoint = harness.sends(flight).back().endpoint;
    harness.fail(flight, AttemptFailure::Broken);
    harness.relay.queryFailed(endpoint, harness.now, harness.actions, true);
}

std::vector<WaitingState> waitingStates()
{
    const auto submitted = [](RequestKind kind) {
        return [kind](RelayHarness &harness) { return harness.submit(kind); };
    };
    const auto started = [](RelayHarness &harness) {
        const FlightId flight = harness.submit(RequestKind::Stream);
        harness.answer(flight, 200);
        harness.forwardEvents(flight, 1);
        return flight;
    };
    const auto awaitsAdmission = [](RelayHarness &harness) {
        constexpr int MoreThanAdmitted = 400;
        FlightId last = 0;
        for (int i = 0; i < MoreThanAdmitted; ++i)
            last = harness.submit(RequestKind::Safe);
        return last;
    };
    const auto awaitsPermit = [](RelayHarness &harness) {
        for (int i = 0; i < 2; ++i)
            crash(harness, harness.submit(RequestKind::Safe, RouteTimeout * 2, "content"));
        return harness.submit(RequestKind::Safe, RouteTimeout * 2, "content");
    };
    const auto awaitsConfirmation = [](RelayHarness &harness) {
        const FlightId flight = harness.submit(RequestKind::Safe, RouteTimeout * 2, "content");
        harness.fail(flight, AttemptFailure::Broken);
        return flight;
    };
    const auto resumes = [started](RelayHarness &harness) {
        const FlightId flight = started(harness);
        for (const RelayEngine &each : engines())
            harness.remove(each.id);
        harness.fail(flight, AttemptFailure::Broken);
        return flight;
    };
    const auto pathChange = [started](RelayHarness &harness) {
        const FlightId flight = started(harness);
        harness.relay.queryFailed(harness.sends(flight).back().path.back().endpoint, harness.now,
                                  harness.actions);
        return flight;
    };
    const auto paused = [](RelayHarness &harness) {
        const FlightId first = harness.submit(RequestKind::Safe);
        harness.refuse(first, milliseconds(40));
        harness.refuse(first, milliseconds(40));
        return harness.submit(RequestKind::Safe);
    };
    return {{"a call that is at an endpoint", submitted(RequestKind::Safe), engines()},
            {"a call that may not be repeated", submitted(RequestKind::Unsafe), engines(), true},
            {"a stream without events", submitted(RequestKind::Stream), engines()},
            {"a stream that has begun", started, engines()},
            {"a stream that may not be repeated",
             [](RelayHarness &harness) { return harness.submitStreamOnce(); }, engines(), true},
            {"a call without an endpoint", submitted(RequestKind::Safe), {}},
            {"a stream without a path", submitted(RequestKind::Stream), {{"a1", {0, 4}}}},
            {"a call that waits for its admission", awaitsAdmission, engines()},
            {"a call that waits for a permit", awaitsPermit, engines()},
            {"a call that waits for the confirmation of a crash", awaitsConfirmation, engines()},
            {"a stream that waits to be resumed", resumes, engines()},
            {"a stream that waits for another path", pathChange, engines()},
            {"a call whose endpoints announced a pause", paused, {{"p1", {}}, {"p2", {}}}}};
}

/// A change of the surroundings of waiting requests, such as during releases.
struct Change
{
    std::string name;
    std::function<void(RelayHarness &)> make;
};

std::vector<Change> changes()
{
    return {
        {"nothing changes", [](RelayHarness &) {}},
        {"all endpoints leave",
         [](RelayHarness &harness) {
             for (const RelayEngine &each : engines())
                 harness.remove(each.id);
         }},
        {"all endpoints are marked as leaving",
         [](RelayHarness &harness) {
             for (const RelayEngine &each : engines())
                 harness.drain(each.id);
         }},
        {"endpoints are replaced",
         [](RelayHarness &harness) {
             for (const RelayEngine &each : engines()) {
                 harness.remove(each.id);
                 harness.add({each.id + "-next", each.layers});
             }
         }},
        {"many instances are counted",
         [](RelayHarness &harness) { harness.relay.setInstances(50, 300, harness.now); }},
        {"no retries are allowed", [](RelayHarness &harness) { harness.relay.setRetries(0, 0); }}};
}

bool isOver(const RelayHarness &harness, FlightId flight)
{
    return harness.passed(flight) || harness.finished(flight).has_value();
}

} // namespace

// Guards against requests that wait for ever since nothing wakes them.
TEST_CASE("a request ends by its route's timeout in whatever state it waits")
{
    for (const WaitingState &state : waitingStates()) {
        for (const Change &change : changes()) {
            INFO(state.name << ", " << change.name);
            const auto harness = makeHarness(state.engines);
            const FlightId flight = state.reach(*harness);
            harness->advance(milliseconds(100));
            change.make(*harness);
            harness->advance(RouteTimeout + TickInterval);
            CHECK(isOver(*harness, flight));
            CHECK(harness->relay.flights() == 0);
        }
    }
}

TEST_CASE("a request ends by its caller's deadline if that is earlier")
{
    constexpr Duration Deadline {700'000};
    for (const RequestKind kind : {RequestKind::Safe, RequestKind::Unsafe, RequestKind::Stream}) {
        const auto harness = makeHarness();
        const FlightId flight = harness->submit(kind, Deadline);
        harness->advance(Deadline + TickInterval);
        CHECK(isOver(*harness, flight));
    }
}

// Guards the table of states above: a request that ended at once would not be waiting.
TEST_CASE("requests that may not be repeated wait until their time is over")
{
    for (const WaitingState &state : waitingStates()) {
        if (!state.lastsToLimit)
            continue;
        INFO(state.name);
        const auto harness = makeHarness(state.engines);
        const FlightId flight = state.reach(*harness);
        harness->advance(RouteTimeout - TickInterval);
        CHECK_FALSE(isOver(*harness, flight));
    }
}

TEST_CASE("each waiting state is reached")
{
    for (const WaitingState &state : waitingStates()) {
        INFO(state.name);
        const auto harness = makeHarness(state.engines);
        const FlightId flight = state.reach(*harness);
        CHECK_FALSE(isOver(*harness, flight));
        if (state.name == "a call that waits for its admission")
            CHECK(harness->sends(flight).empty());
        if (state.name == "a call that waits for a permit")
            CHECK(harness->trialRequests(flight).size() == 1);
        if (state.name == "a stream that waits for another path") {
            harness->advance(milliseconds(600));
            CHECK(harness->pathChanges(flight).size() >= 1);
        }
    }
}

// Guards against an answer without a reason, with which nobody can find out why it came.
TEST_CASE("a request that ends while it waits tells why")
{
    for (const WaitingState &state : waitingStates()) {
        for (const Change &change : changes()) {
            INFO(state.name << ", " << change.name);
            const auto harness = makeHarness(state.engines);
            const FlightId flight = state.reach(*harness);
            harness->advance(milliseconds(100));
            change.make(*harness);
            harness->advance(RouteTimeout + TickInterval);
            const auto finish = harness->finished(flight);
            if (!finish)
                continue;
            CHECK_FALSE(finish->reason.empty());
            CHECK(finish->end.cause != EndCause::None);
        }
    }
}
