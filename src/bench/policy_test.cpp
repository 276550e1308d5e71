// Bounds on the results of the routing policy. Virtual time and fixed seeds make
// them deterministic; the bounds leave a margin for insignificant changes.

#include "scenarios.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::bench;

TEST_CASE("at and above saturation more than 95 % of the capacity produces complete answers",
          "[policy]")
{
    for (const double load : {1.0, 1.5, 3.0}) {
        const LoadFigures figures = runLoad({.load = load});
        INFO("load " << load);
        CHECK(figures.usefulFraction > 0.95);
        CHECK(figures.unexecutedPerRequest < 2.5);
    }
}

TEST_CASE("at half load no request is refused and latency is at least 10 % below random routing",
          "[policy]")
{
    const LoadFigures ours = runLoad({.load = 0.5});
    const LoadFigures random = runLoad({.policy = RoutingPolicy::Random, .load = 0.5});
    CHECK(ours.answeredFraction == 1);
    CHECK(ours.refusedNotExecuted == 0);
    CHECK(ours.medianSeconds < 0.9 * random.medianSeconds);
    CHECK(ours.p95Seconds < 0.9 * random.p95Seconds);
}

TEST_CASE("at three times the load fewer than 1 in 200 refused requests may have been executed",
          "[policy]")
{
    const LoadFigures figures = runLoad({.load = 3});
    CHECK(static_cast<double>(figures.refusedOutcomeUnknown)
          < 0.005 * static_cast<double>(figures.refusedNotExecuted));
}

TEST_CASE("with a reserved endpoint alerts start within one more step while batch work saturates "
          "the engines",
          "[policy]")
{
    const AlertFigures kept = runAlerts(1, 2, 1);
    CHECK(kept.p99Steps < kept.idleSteps + 1);
    CHECK(kept.batchFraction > 0.95 * 0.9); // one of ten engines is reserved for alerts
    const AlertFigures none = runAlerts(0, 2, 1);
    CHECK(none.p99Steps < 30);
    CHECK(none.batchFraction > 0.94);
}

TEST_CASE("teams within their share lose less than 5 % of their requests to an overloading team",
          "[policy]")
{
    for (const std::size_t teams : {10, 390}) {
        const FairnessFigures figures = runFairness(teams, 1);
        INFO(teams << " teams");
        CHECK(figures.modestLoss < 0.05);
        CHECK(figures.worstModestLoss < 0.05);
        CHECK(figures.greedyFraction > 0.25); // capacity that the other teams leave unused
        CHECK(figures.usefulFraction > 0.94);
    }
}

TEST_CASE("the default policy has at least 1.8 times the prefix cache hits of random routing",
          "[policy]")
{
    const PrefixFigures ours = runPrefixes(RoutingPolicy::Default, 1);
    const PrefixFigures random = runPrefixes(RoutingPolicy::Random, 1);
    CHECK(ours.hitRate > 0.7);
    CHECK(ours.hitRate > 1.8 * random.hitRate);
}

TEST_CASE("after an engine failure all streams complete, with a short pause and few retries",
          "[policy][failure]")
{
    // Killed engines are detected at once, frozen ones and unresponsive connections
    // by a timeout. The pause is the longest gap between tokens after the fault.
    for (const Fault fault : {Fault::KilledStage, Fault::LostThird}) {
        const RecoveryFigures figures = runRecovery(fault, 1);
        CHECK(figures.affectedRequests > 0);
        CHECK(figures.completeFraction == 1);
        CHECK(figures.worstMillis < 100 + figures.prefillMillis);
        CHECK(figures.amplification < 1.1);
    }
    for (const Fault fault : {Fault::FrozenStage, Fault::SilentConnection}) {
        const RecoveryFigures figures = runRecovery(fault, 1);
        CHECK(figures.affectedRequests > 0);
        CHECK(figures.completeFraction == 1);
        CHECK(figures.worstMillis < 1000);
        CHECK(figures.amplification < 1.1);
    }
}
