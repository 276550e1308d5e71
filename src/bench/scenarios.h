/// \file
/// Scenarios that measure the traffic policy in virtual time. The same input
/// gives the same figures, so that tests can bound them.

#pragma once

#include "../fakes/routerharness.h"

namespace balsamloft::bench {

/// Load on a fleet of whole-model engines of five speeds.
struct LoadScenario
{
    RoutingPolicy policy = RoutingPolicy::Default;
    std::size_t routers = 8;
    std::size_t engines = 33;
    std::uint32_t slots = 8;
    double load = 1; ///< offered, as a multiple of what the engines can do
    Duration reportLag {1'000'000};
    Duration length {10'000'000};
    Duration deadline {10'000'000};
    std::uint32_t tokens = 32;
    std::uint64_t seed = 1;
};

/// What a LoadScenario gave.
struct LoadFigures
{
    double usefulFraction = 0; ///< tokens of whole answers, of what the engines could do
    double ofOffered = 0; ///< requests answered whole, of those offered
    double medianSeconds = 0; ///< time in the system of those answered
    double p95Seconds = 0;
    double unexecutedPerRequest = 0;
    std::uint64_t refusedNotExecuted = 0;
    std::uint64_t refusedOutcomeUnknown = 0;
};

LoadFigures runLoad(const LoadScenario &scenario);

/// How alerts fare while batch work saturates the engines.
struct AlertFigures
{
    double idleSteps = 0; ///< first token of an alert on an idle system, in engine steps
    double p99Steps = 0; ///< the same under saturation, 99 in 100
    double batchFraction = 0; ///< useful batch tokens, of what the engines could do
};

AlertFigures runAlerts(std::uint32_t alertEndpoints, double load, std::uint64_t seed);

/// One greedy team among others that stay within their share.
struct FairnessFigures
{
    double modestLoss = 0; ///< mean share of requests that modest teams lost
    double worstModestLoss = 0; ///< of the team that lost most
    double greedyFraction = 0; ///< of the answered tokens that the greedy team got
    double usefulFraction = 0;
};

FairnessFigures runFairness(std::size_t teams, std::uint64_t seed);

/// Prefix cache hits.
struct PrefixFigures
{
    double hitRate = 0;
    double oracleHitRate = 0; ///< of one that sees all caches and has no queue to mind
};

PrefixFigures runPrefixes(RoutingPolicy policy, std::uint64_t seed);

enum class Fault : std::uint8_t { KilledStage, FrozenStage, SilentConnection, LostThird };

/// How long callers wait after a fault.
struct RecoveryFigures
{
    double medianMillis = 0; ///< from the fault to the next token of those it hit
    double worstMillis = 0;
    double prefillMillis = 0; ///< of the new attempt, included in the above
    double whole = 0; ///< of the requests, answered whole
    double amplification = 0; ///< attempts that may have run, by request
    std::size_t hit = 0; ///< requests that had to resume
};

RecoveryFigures runRecovery(Fault fault, std::uint64_t seed);

} // namespace balsamloft::bench
