// Routing policies under load and faults in virtual time. The counters are
// deterministic; the reported times are only the run time of the simulation.

#include "scenarios.h"

#include <benchmark/benchmark.h>

namespace balsamloft::bench {

namespace {

constexpr const char *PolicyNames[] = {"default", "random", "round robin", "least loaded",
                                       "best of two"};

LoadScenario fleetOf(bool large)
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
    LoadScenario scenario = fleetOf(state.range(2) != 0);
    scenario.policy = static_cast<RoutingPolicy>(state.range(0));
    scenario.load = static_cast<double>(state.range(1)) / 100;
    LoadFigures figures;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        figures = runLoad(scenario);
    state.SetLabel(PolicyNames[state.range(0)]);
    state.counters["useful"] = figures.usefulFraction;
    state.counters["of_offered"] = figures.answeredFraction;
    state.counters["median_s"] = figures.medianSeconds;
    state.counters["p95_s"] = figures.p95Seconds;
    state.counters["bounces"] = figures.unexecutedPerRequest;
    state.counters["unknown"] = static_cast<double>(figures.refusedOutcomeUnknown);
}

void alerts(benchmark::State &state)
{
    AlertFigures figures;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        figures = runAlerts(static_cast<std::uint32_t>(state.range(0)), 2, 1);
    state.counters["idle_steps"] = figures.idleSteps;
    state.counters["p99_steps"] = figures.p99Steps;
    state.counters["batch_useful"] = figures.batchFraction;
}

void fairness(benchmark::State &state)
{
    FairnessFigures figures;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        figures = runFairness(static_cast<std::size_t>(state.range(0)), 1);
    state.counters["modest_loss"] = figures.modestLoss;
    state.counters["worst_loss"] = figures.worstModestLoss;
    state.counters["greedy"] = figures.greedyFraction;
    state.counters["useful"] = figures.usefulFraction;
}

void prefixes(benchmark::State &state)
{
    PrefixFigures figures;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        figures = runPrefixes(static_cast<RoutingPolicy>(state.range(0)), 1);
    state.SetLabel(PolicyNames[state.range(0)]);
    state.counters["hits"] = figures.hitRate;
    state.counters["oracle"] = figures.oracleHitRate;
}

void recovery(benchmark::State &state)
{
    static constexpr const char *Names[] = {"killed stage", "frozen stage", "silent connection",
                                            "a third of the engines killed"};
    RecoveryFigures figures;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        figures = runRecovery(static_cast<Fault>(state.range(0)), 1);
    state.SetLabel(Names[state.range(0)]);
    state.counters["median_ms"] = figures.medianMillis;
    state.counters["worst_ms"] = figures.worstMillis;
    state.counters["prefill_ms"] = figures.prefillMillis;
    state.counters["whole"] = figures.completeFraction;
    state.counters["amplification"] = figures.amplification;
    state.counters["hit"] = static_cast<double>(figures.affectedRequests);
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
