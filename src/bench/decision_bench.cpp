// Measures the cost of one routing decision by number of candidates. With two arguments
// (endpoints, decisions) the program runs without the benchmark library, so that an
// instruction count is reproducible:
// valgrind --tool=callgrind build/bin/decision_bench 790 1000

#include "decision.h"

#include <benchmark/benchmark.h>

#include <iostream>

namespace {

void decision(benchmark::State &state)
{
    balsamloft::bench::DecisionBench bench(static_cast<std::size_t>(state.range(0)),
                                           state.range(1) != 0);
    for (auto _ : state) // NOLINT(readability-identifier-naming)
        benchmark::DoNotOptimize(bench.decide());
}

} // namespace

BENCHMARK(decision)
    ->ArgNames({"endpoints", "staged"})
    ->ArgsProduct({{10, 33, 100, 330, 790}, {0, 1}});

int main(int argc, char **argv)
{
    if (argc == 3) {
        balsamloft::bench::DecisionBench bench(std::stoul(argv[1]), true);
        std::size_t chosen = 0;
        for (std::size_t i = 0; i < std::stoul(argv[2]); ++i)
            chosen += bench.decide() ? 1 : 0;
        std::cout << chosen << " decisions\n";
        return 0;
    }
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
