// Bounds on the measured policy. Virtual time and fixed seeds: the figures
// repeat exactly; a bound leaves room for changes that do not matter.

#include "scenarios.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::bench;

TEST_CASE("engines are kept busy at and beyond saturation", "[policy]")
{
    for (const double load : {1.0, 1.5, 3.0}) {
        const LoadFigures figures = runLoad({.load = load});
        INFO("load " << load);
        CHECK(figures.usefulFraction > 0.95);
        CHECK(figures.unexecutedPerRequest < 2.5);
    }
}

TEST_CASE("below saturation nothing is refused, and time is as with best of two", "[policy]")
{
    const LoadFigures ours = runLoad({.load = 0.5});
    const LoadFigures random = runLoad({.policy = RoutingPolicy::Random, .load = 0.5});
    CHECK(ours.ofOffered == 1);
    CHECK(ours.refusedNotExecuted == 0);
    CHECK(ours.medianSeconds < 0.9 * random.medianSeconds);
    CHECK(ours.p95Seconds < 0.9 * random.p95Seconds);
}

TEST_CASE("at three times the load almost nothing is begun in vain", "[policy]")
{
    const LoadFigures figures = runLoad({.load = 3});
    CHECK(static_cast<double>(figures.refusedOutcomeUnknown)
          < 0.005 * static_cast<double>(figures.refusedNotExecuted));
}

TEST_CASE("alerts start within a step though batch work saturates the engines", "[policy]")
{
    const AlertFigures kept = runAlerts(1, 2, 1);
    CHECK(kept.p99Steps < kept.idleSteps + 1);
    CHECK(kept.batchFraction > 0.95 * 0.9); // one of ten engines is kept
    const AlertFigures none = runAlerts(0, 2, 1);
    CHECK(none.p99Steps < 30);
    CHECK(none.batchFraction > 0.94);
}

TEST_CASE("a greedy team takes nothing from those within their share", "[policy]")
{
    for (const std::size_t teams : {10, 390}) {
        const FairnessFigures figures = runFairness(teams, 1);
        INFO(teams << " teams");
        CHECK(figures.modestLoss < 0.05);
        CHECK(figures.worstModestLoss < 0.05);
        CHECK(figures.greedyFraction > 0.25); // what the others leave is used
        CHECK(figures.usefulFraction > 0.94);
    }
}

TEST_CASE("prefixes find their caches", "[policy]")
{
    const PrefixFigures ours = runPrefixes(RoutingPolicy::Default, 1);
    const PrefixFigures random = runPrefixes(RoutingPolicy::Random, 1);
    CHECK(ours.hitRate > 0.7);
    CHECK(ours.hitRate > 1.8 * random.hitRate);
}

TEST_CASE("recovery: streams go on, soon and with little extra work", "[policy][failure]")
{
    // Callers see whole streams with a pause. For each kind of failure: the
    // pause from the fault to the next token of the requests it hit.
    for (const Fault fault : {Fault::KilledStage, Fault::LostThird}) {
        const RecoveryFigures figures = runRecovery(fault, 1);
        CHECK(figures.hit > 0);
        CHECK(figures.whole == 1);
        CHECK(figures.worstMillis < 100 + figures.prefillMillis);
        CHECK(figures.amplification < 1.1);
    }
    for (const Fault fault : {Fault::FrozenStage, Fault::SilentConnection}) {
        const RecoveryFigures figures = runRecovery(fault, 1);
        CHECK(figures.hit > 0);
        CHECK(figures.whole == 1);
        CHECK(figures.worstMillis < 1000);
        CHECK(figures.amplification < 1.1);
    }
}
