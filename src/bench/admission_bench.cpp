// Goodput under overload in virtual time, with and without admission control, and the cost of a
// decision. The counters of the simulation are deterministic; its times are only its run time.

#include "../fakes/admissionsimulation.h"

#include <benchmark/benchmark.h>

#include <deque>

namespace balsamloft::bench {

namespace {

constexpr Duration Second {1'000'000};

void overload(benchmark::State &state)
{
    const double load = double(state.range(2)) / 100;
    AdmissionSimulation::Result onset;
    AdmissionSimulation::Result result;
    for (auto _ : state) { // NOLINT(readability-identifier-naming)
        AdmissionSimulation simulation(
            {.instances = std::size_t(state.range(1)), .admission = state.range(0) != 0});
        onset = simulation.run(load, 8 * Second);
        result = simulation.run(load, 8 * Second);
    }
    state.SetLabel(state.range(0) != 0 ? "admission control" : "all admitted");
    state.counters["goodput"] = result.goodput;
    state.counters["goodput_work"] = result.goodputWork;
    state.counters["peak"] = std::max(onset.peakInFlight, result.peakInFlight);
    state.counters["at_once"] = result.admittedAtOnce;
    state.counters["rejected"] = result.rejectedAttempts;
    state.counters["unsent"] = result.refusedUnsent;
    state.counters["refusal_ms"] = double(result.medianRefusal.count()) / 1000;
}

/// Submits, ends and starts one request. Decides on requests of \a range(1) teams while \a range(0)
/// requests wait. Every request that ends lets one start, so that the queue keeps its length.
void decision(benchmark::State &state)
{
    const auto waiting = std::size_t(state.range(0));
    const auto teams = std::uint64_t(state.range(1));
    constexpr double Limit = 1000;
    Admission admission({.enabled = true, .maxWaiting = waiting + 1});
    admission.setNominalCapacity("model", Limit);
    Time now {std::chrono::hours(1)};
    std::uint64_t id = 0;
    const auto submit = [&] {
        const std::uint64_t next = id++;
        return admission.submit({.id = next,
                                 .service = "model",
                                 .priority = int(next % 4),
                                 .team = "team" + std::to_string(next % teams),
                                 .target = std::chrono::hours(1),
                                 .timeLeft = std::chrono::hours(1)},
                                now);
    };
    std::deque<std::uint64_t> running;
    std::size_t queued = 0;
    while (queued < waiting) {
        const AdmissionDecision result = submit();
        if (result.kind == AdmissionDecision::Kind::Admit)
            running.push_back(result.id);
        else
            queued += 1;
    }
    std::uint64_t refused = 0;
    for (auto _ : state) { // NOLINT(readability-identifier-naming)
        now += Duration(100);
        if (const AdmissionDecision result = submit();
            result.kind == AdmissionDecision::Kind::Admit)
            running.push_back(result.id);
        else if (result.kind == AdmissionDecision::Kind::Refuse)
            refused += 1;
        if (running.empty()) {
            state.SkipWithError("no request runs");
            break;
        }
        admission.finished(running.front(), now);
        running.pop_front();
        for (const AdmissionDecision &each : admission.poll(now))
            running.push_back(each.id);
    }
    state.counters["refused"] = double(refused) / double(state.iterations());
    state.counters["queue"] = double(admission.status(now).front().waiting);
}

BENCHMARK(overload)
    ->ArgNames({"admission", "instances", "percent"})
    ->ArgsProduct({{0, 1}, {6, 68, 295}, {45, 100, 150, 200, 400, 800}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(decision)->ArgNames({"waiting", "teams"})->ArgsProduct({{0, 100, 1000}, {4, 390}});

} // namespace

} // namespace balsamloft::bench

BENCHMARK_MAIN();
