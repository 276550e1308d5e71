// Runs the layer emulator while varying one parameter (--vary). Prints a table,
// or comma-separated values with --csv.

#include "../fakes/layeremulator.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(fleet, "today", "emulated fleet: today (the reference fleet), grown, large, design");
DEFINE_bool(csv, false, "print comma-separated values");
DEFINE_int32(seconds, 15, "seconds of traffic in each run of the fleet today");
DEFINE_int32(seed, 1, "seed of the random numbers");
DEFINE_string(vary, "load",
              "varied parameter: load, cover_room (memory kept free per replica), instances, "
              "failures, reports");

namespace balsamloft::fakes {

namespace {

struct Variant
{
    std::string name;
    EmulationSettings settings;
};

std::vector<Variant> variants()
{
    EmulationSettings base = FLAGS_fleet == "design"  ? designFleet()
                             : FLAGS_fleet == "grown" ? grownFleet()
                             : FLAGS_fleet == "large" ? largeFleet()
                                                      : referenceFleet();
    base.seed = static_cast<std::uint64_t>(FLAGS_seed);
    if (FLAGS_fleet == "today")
        base.length = std::chrono::seconds(FLAGS_seconds);
    std::vector<Variant> found;
    const auto add = [&](const std::string &name, const auto &change) {
        found.push_back({name, base});
        change(found.back().settings);
    };
    if (FLAGS_vary == "load")
        for (const double load : {0.5, 1.0, 1.5, 3.0})
            add("load x " + std::to_string(load).substr(0, 3),
                [&](auto &each) { each.requestsPerSecond *= load; });
    if (FLAGS_vary == "cover_room")
        for (const double room : {0.1, 0.2, 0.4, 0.6, 0.9})
            add("room " + std::to_string(room).substr(0, 3), [&](auto &each) {
                each.planner.replicaHeadroom = room;
                each.requestsPerSecond *= 1.5;
            });
    if (FLAGS_vary == "instances")
        for (const std::uint32_t count : {1U, 3U, 10U, 20U, 40U})
            add("instances " + std::to_string(count),
                [&](auto &each) { each.instancesPerDomain = count; });
    if (FLAGS_vary == "failures")
        for (const int every : {0, 8, 4, 2})
            add("death each " + std::to_string(every) + " s",
                [&](auto &each) { each.failureInterval = std::chrono::seconds(every); });
    if (FLAGS_vary == "reports")
        for (const int millis : {250, 1000, 4000})
            add("states each " + std::to_string(millis) + " ms", [&](auto &each) {
                each.reportInterval = std::chrono::milliseconds(millis);
                each.requestsPerSecond *= 1.5;
            });
    return found;
}

void print(const Variant &variant, const EmulationResult &result)
{
    const double seconds = variant.settings.length.count() / 1e6;
    const char *format = FLAGS_csv
                             ? "%s,%lu,%.4f,%lu,%lu,%lu,%lu,%lu,%lu,%.0f,%.4f,%.1f,%.1f,%.1f,%.0f\n"
                             : "%-20s %7lu %7.3f %6lu %7lu %5lu %6lu %8lu %9lu %9.0f %8.3f %8.1f "
                               "%8.1f %7.1f %8.0f\n";
    std::printf(format, variant.name.c_str(), result.requests, result.onTimeShare(), result.late,
                result.refused, result.truncated, result.resent, result.rejected, result.preempted,
                result.tokens / seconds, result.tokens / seconds / tokenBound(variant.settings),
                result.medianFirstEventMs, result.p99FirstEventMs, result.medianGapMs,
                result.medianRecoveryMs);
    std::fflush(stdout);
}

} // namespace

} // namespace balsamloft::fakes

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto variants = balsamloft::fakes::variants();
    if (variants.empty()) {
        std::fprintf(stderr, "layer_experiment: --vary: unknown value '%s'\n", FLAGS_vary.c_str());
        return 2;
    }
    if (!FLAGS_csv)
        std::printf("%-20s %7s %7s %6s %7s %5s %6s %8s %9s %9s %8s %8s %8s %7s %8s\n", "", "asked",
                    "on time", "late", "refused", "cut", "resent", "rejected", "preempted",
                    "tokens/s", "of bound", "first ms", "p99 ms", "gap ms", "recov ms");
    for (const auto &variant : variants)
        balsamloft::fakes::print(variant, balsamloft::fakes::emulate(variant.settings));
    return 0;
}
