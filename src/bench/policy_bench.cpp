// Routing policies under load and faults in virtual time. The counters are
// deterministic; the reported times are only the run time of the simulation.

#include "scenarios.h"

#include <benchmark/benchmark.h>

namespace balsamloft::bench {

namespace {

constexpr const char *PolicyNames[] = {"default", "random", "round robin", "least loaded",
                                       "best of two"};

LoadScenario fleetScenario(bool large)
{
    LoadScenario scenario;
    if (large) {
        scenario.routers = 340;
        scenario.engines = 790;
        scenario.slots = 16;
        scenario.length = std::chrono::seconds(6);
    }
    return scenario;
}

void load(benchmark::State &state)
{
    LoadScenario scenario = fleetScenario(state.range(2) != 0);
    scenario.policy = static_cast<RoutingPolicy>(state.range(0));
    scenario.load = static_cast<double>(state.range(1)) / 100;
    LoadResult result;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        result = runLoad(scenario);
    state.SetLabel(PolicyNames[state.range(0)]);
    state.counters["useful"] = result.usefulFraction;
    state.counters["of_offered"] = result.answeredFraction;
    state.counters["median_s"] = result.medianSeconds;
    state.counters["p95_s"] = result.p95Seconds;
    state.counters["bounces"] = result.unexecutedPerRequest;
    state.counters["unknown"] = static_cast<double>(result.refusedOutcomeUnknown);
}

void alerts(benchmark::State &state)
{
    AlertResult result;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        result = runAlerts(static_cast<std::uint32_t>(state.range(0)), 2, 1);
    state.counters["idle_steps"] = result.idleSteps;
    state.counters["p99_steps"] = result.p99Steps;
    state.counters["batch_useful"] = result.batchFraction;
}

void fairness(benchmark::State &state)
{
    FairnessResult result;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        result = runFairness(static_cast<std::size_t>(state.range(0)), 1);
    state.counters["modest_loss"] = result.modestLoss;
    state.counters["worst_loss"] = result.worstModestLoss;
    state.counters["greedy"] = result.greedyFraction;
    state.counters["useful"] = result.usefulFraction;
}

void prefixes(benchmark::State &state)
{
    PrefixResult result;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        result = runPrefixes(static_cast<RoutingPolicy>(state.range(0)), 1);
    state.SetLabel(PolicyNames[state.range(0)]);
    state.counters["hits"] = result.hitRate;
    state.counters["oracle"] = result.oracleHitRate;
}

void recovery(benchmark::State &state)
{
    static constexpr const char *Names[] = {"killed stage", "frozen stage", "silent connection",
                                            "a third of the engines killed"};
    RecoveryResult result;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        result = runRecovery(static_cast<Fault>(state.range(0)), 1);
    state.SetLabel(Names[state.range(0)]);
    state.counters["median_ms"] = result.medianMillis;
    state.counters["worst_ms"] = result.worstMillis;
    state.counters["prefill_ms"] = result.prefillMillis;
    state.counters["whole"] = result.completeFraction;
    state.counters["amplification"] = result.amplification;
    state.counters["hit"] = static_cast<double>(result.affectedRequests);
}

} // namespace

BENCHMARK(load)
    ->ArgNames({"policy", "load", "large"})
    ->ArgsProduct({{0, 1, 2, 3, 4}, {50, 90, 100, 150, 300}, {0}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(load)
    ->Name("load_large")
    ->ArgNames({"policy", "load", "large"})
    ->ArgsProduct({{0, 3, 4}, {90, 150}, {1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(alerts)->ArgName("kept")->Arg(0)->Arg(1)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(fairness)->ArgName("teams")->Arg(10)->Arg(390)->Iterations(1)->Unit(
    benchmark::kMillisecond);
BENCHMARK(prefixes)->ArgName("policy")->Arg(0)->Arg(1)->Arg(4)->Iterations(1)->Unit(
    benchmark::kMillisecond);
BENCHMARK(recovery)->ArgName("fault")->DenseRange(0, 3)->Iterations(1)->Unit(
    benchmark::kMillisecond);

} // namespace balsamloft::bench

BENCHMARK_MAIN();
