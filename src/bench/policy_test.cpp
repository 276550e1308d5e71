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
        const LoadResult result = runLoad({.load = load});
        INFO("load " << load);
        CHECK(result.usefulFraction > 0.95);
        CHECK(result.unexecutedPerRequest < 2.5);
    }
}

TEST_CASE("at half load no request is refused and latency is at least 10 % below random routing",
          "[policy]")
{
    const LoadResult defaultPolicy = runLoad({.load = 0.5});
    const LoadResult random = runLoad({.policy = RoutingPolicy::Random, .load = 0.5});
    CHECK(defaultPolicy.answeredFraction == 1);
    CHECK(defaultPolicy.refusedNotExecuted == 0);
    CHECK(defaultPolicy.medianSeconds < 0.9 * random.medianSeconds);
    CHECK(defaultPolicy.p95Seconds < 0.9 * random.p95Seconds);
}

TEST_CASE("at three times the load fewer than 1 in 200 refused requests may have been executed",
          "[policy]")
{
    const LoadResult result = runLoad({.load = 3});
    CHECK(static_cast<double>(result.refusedOutcomeUnknown)
          < 0.005 * static_cast<double>(result.refusedNotExecuted));
}

TEST_CASE("with a reserved endpoint alerts start within one more step while batch work saturates "
          "the engines",
          "[policy]")
{
    const AlertResult reserved = runAlerts(1, 2, 1);
    CHECK(reserved.p99Steps < reserved.idleSteps + 1);
    CHECK(reserved.batchFraction > 0.95 * 0.9); // one of ten engines is reserved for alerts
    const AlertResult unreserved = runAlerts(0, 2, 1);
    CHECK(unreserved.p99Steps < 30);
    CHECK(unreserved.batchFraction > 0.94);
}

TEST_CASE("teams within their share lose less than 5 % of their requests to an overloading team",
          "[policy]")
{
    for (const std::size_t teams : {10, 390}) {
        const FairnessResult result = runFairness(teams, 1);
        INFO(teams << " teams");
        CHECK(result.modestLoss < 0.05);
        CHECK(result.worstModestLoss < 0.05);
        // The greedy team uses the capacity that the other teams leave unused.
        CHECK(result.greedyFraction > 0.25);
        CHECK(result.usefulFraction > 0.94);
    }
}

TEST_CASE("the default policy has at least 1.8 times the prefix cache hits of random routing",
          "[policy]")
{
    const PrefixResult defaultPolicy = runPrefixes(RoutingPolicy::Default, 1);
    const PrefixResult random = runPrefixes(RoutingPolicy::Random, 1);
    CHECK(defaultPolicy.hitRate > 0.7);
    CHECK(defaultPolicy.hitRate > 1.8 * random.hitRate);
}

TEST_CASE("after an engine failure all streams complete, with a short pause and few retries",
          "[policy][failure]")
{
    // Killed engines are detected at once; frozen engines and unresponsive connections
    // are detected by a timeout. The measured pause is the longest one between two tokens
    // after the fault.
    for (const Fault fault : {Fault::KilledStage, Fault::LostThird}) {
        const RecoveryResult result = runRecovery(fault, 1);
        CHECK(result.affectedRequests > 0);
        CHECK(result.completeFraction == 1);
        CHECK(result.worstMillis < 100 + result.prefillMillis);
        CHECK(result.amplification < 1.1);
    }
    for (const Fault fault : {Fault::FrozenStage, Fault::SilentConnection}) {
        const RecoveryResult result = runRecovery(fault, 1);
        CHECK(result.affectedRequests > 0);
        CHECK(result.completeFraction == 1);
        CHECK(result.worstMillis < 1000);
        CHECK(result.amplification < 1.1);
    }
}
