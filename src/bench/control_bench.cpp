// Benchmarks of the control plane in virtual time. All counters except cpu_us
// are deterministic; cpu_us depends on the machine.

#include "controlscenarios.h"

#include <benchmark/benchmark.h>

#include <fstream>

namespace balsamloft::bench {

namespace {

void spread(benchmark::State &state)
{
    PropagationScenario scenario;
    scenario.nodes = static_cast<std::size_t>(state.range(0));
    scenario.gossip = state.range(1) != 1;
    scenario.polling = state.range(1) != 0;
    scenario.partitionedShare = static_cast<double>(state.range(2)) / 100;
    PropagationResult result;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        result = runPropagation(scenario);
    static constexpr const char *Names[] = {"gossip alone", "polling alone", "both"};
    state.SetLabel(Names[state.range(1)]);
    state.counters["median_s"] = result.medianSeconds;
    state.counters["worst_s"] = result.worstSeconds;
    state.counters["missed"] = static_cast<double>(result.timeouts);
}

void cost(benchmark::State &state)
{
    CostResult result;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        result = runCost(static_cast<std::size_t>(state.range(0)),
                         static_cast<std::size_t>(state.range(1)),
                         static_cast<std::size_t>(state.range(2)));
    state.counters["bytes_s"] = result.bytesPerSecond;
    state.counters["messages_s"] = result.messagesPerSecond;
    state.counters["reads_s"] = result.readsPerSecond;
    state.counters["cpu_us"] = result.cpuMicrosPerSecond;
}

void detection(benchmark::State &state)
{
    DetectionResult result;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        result = runDetection(static_cast<std::size_t>(state.range(0)), state.range(1) != 0, 0.1);
    state.SetLabel(state.range(1) != 0 ? "leaving" : "dead");
    state.counters["first_s"] = result.firstSeconds;
    state.counters["all_s"] = result.allSeconds;
    state.counters["false"] = static_cast<double>(result.falseDeaths);
}

/// Returns the resident set size of this process in bytes.
double residentBytes()
{
    std::ifstream stream("/proc/self/statm");
    double total = 0;
    double resident = 0;
    stream >> total >> resident;
    return resident * 4096;
}

void configuration(benchmark::State &state)
{
    const ConfigEntries entries = fleetEntries(static_cast<std::size_t>(state.range(0)),
                                               static_cast<std::size_t>(state.range(1)), 32);
    const ConfigSnapshot snapshot {{1, "d"}, entries};
    std::vector<Problem> problems;
    std::vector<ConfigPtr> kept;
    const double before = residentBytes();
    for (int i = 0; i < 10; ++i)
        kept.push_back(compileConfig(entries, {1, "d"}, problems));
    const double memory = (residentBytes() - before) / 10;
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        benchmark::DoNotOptimize(compileConfig(entries, {1, "d"}, problems));
    state.counters["snapshot_bytes"] = static_cast<double>(toJson(snapshot).size());
    state.counters["memory_bytes"] = memory;
}

} // namespace

BENCHMARK(spread)
    ->ArgNames({"nodes", "how", "cut_off"})
    ->ArgsProduct({{8, 64, 340}, {0, 1, 2}, {0}})
    ->Args({340, 2, 50})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(cost)
    ->ArgNames({"nodes", "endpoints", "teams"})
    ->Args({8, 33, 10})
    ->Args({64, 33, 10})
    ->Args({340, 33, 10})
    ->Args({340, 790, 10})
    ->Args({340, 790, 390})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(detection)
    ->ArgNames({"nodes", "leaving"})
    ->ArgsProduct({{8, 64, 340}, {0, 1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(configuration)
    ->ArgNames({"endpoints", "teams"})
    ->Args({33, 10})
    ->Args({790, 10})
    ->Args({790, 390})
    ->Unit(benchmark::kMillisecond);

} // namespace balsamloft::bench

BENCHMARK_MAIN();
