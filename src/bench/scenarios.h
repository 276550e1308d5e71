/// \file
/// Simulated load and fault scenarios for the routing policies, in virtual time.
/// The results are deterministic, so that tests can check bounds on them.

#pragma once

#include "../fakes/routerharness.h"

namespace balsamloft::bench {

/// Load on a fleet of engines of five speeds, each of which holds all layers.
struct LoadScenario
{
    RoutingPolicy policy = RoutingPolicy::Default;
    std::size_t routers = 8;
    std::size_t engines = 33;
    std::uint32_t slots = 8;
    double load = 1; ///< offered load as a multiple of the engines' capacity
    Duration reportLag {1'000'000};
    Duration length {10'000'000};
    Duration deadline {10'000'000};
    std::uint32_t tokens = 32;
    std::uint64_t seed = 1;
};

/// Results of a LoadScenario.
struct LoadResult
{
    double usefulFraction = 0; ///< tokens of complete answers, as a fraction of the capacity
    double answeredFraction = 0; ///< fraction of the offered requests that were answered completely
    double medianSeconds = 0; ///< median time from submission to completion of answered requests
    double p95Seconds = 0;
    double unexecutedPerRequest = 0;
    std::uint64_t refusedNotExecuted = 0;
    std::uint64_t refusedOutcomeUnknown = 0;
};

LoadResult runLoad(const LoadScenario &scenario);

/// Latency of alerts while batch work saturates the engines.
struct AlertResult
{
    double idleSteps = 0; ///< median time to first token on an idle system, in engine steps
    double p99Steps = 0; ///< 99th percentile of the time to first token under saturation
    double batchFraction = 0; ///< tokens of complete batch answers, as a fraction of the capacity
};

AlertResult runAlerts(std::uint32_t alertEndpoints, double load, std::uint64_t seed);

/// Results of a load in which one team (greedy) exceeds its share and the other teams
/// (modest) stay within their shares.
struct FairnessResult
{
    double modestLoss = 0; ///< fraction of the modest teams' requests that were not answered
    double worstModestLoss = 0; ///< modestLoss of the modest team with the largest loss
    double greedyFraction = 0; ///< fraction of the answered requests that belong to the greedy team
    double usefulFraction = 0;
};

FairnessResult runFairness(std::size_t teams, std::uint64_t seed);

/// Hit rates of the engines' prefix caches.
struct PrefixResult
{
    double hitRate = 0;
    double oracleHitRate = 0; ///< hit rate of one cache as large as all engines' caches together
};

PrefixResult runPrefixes(RoutingPolicy policy, std::uint64_t seed);

enum class Fault : std::uint8_t { KilledStage, FrozenStage, SilentConnection, LostThird };

/// Effect of a fault on the callers.
struct RecoveryResult
{
    /// Median, over the affected requests, of the longest pause between tokens after the fault.
    double medianMillis = 0;
    double worstMillis = 0;
    double prefillMillis = 0; ///< prefill time of the new attempt, included in the pauses above
    double completeFraction = 0; ///< fraction of the requests that were answered completely
    double amplification = 0; ///< possibly executed attempts per request
    /// Requests that were in progress at the fault and were attempted again.
    std::size_t affectedRequests = 0;
};

RecoveryResult runRecovery(Fault fault, std::uint64_t seed);

} // namespace balsamloft::bench
