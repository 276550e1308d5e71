// Runs the soak for one seed or many. Prints a line for each; for a failing one
// also what was broken and the faults in order. Ends with 1 when one failed.

#include "soak.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_uint64(seed, 1, "the first seed");
DEFINE_int32(seeds, 1, "how many seeds, one after another");
DEFINE_int32(seconds, 8, "of faults in each run");
DEFINE_int32(instances, 3, "processes of balsamloft-entry");
DEFINE_int32(series, 3, "of faults, that overlap");
DEFINE_bool(ending, false, "a request comes again and again that ends its endpoints");
DEFINE_string(logs, "", "directory for the instances' logs of failing seeds");

namespace {

bool holds(std::uint64_t seed)
{
    balsamloft::soak::SoakSettings settings;
    settings.seed = seed;
    settings.length = std::chrono::seconds(FLAGS_seconds);
    settings.instances = FLAGS_instances;
    settings.series = FLAGS_series;
    settings.ending = FLAGS_ending;
    balsamloft::soak::Soak soak(settings);
    const std::vector<std::string> broken = soak.run();
    std::printf("seed %lu: %s, %zu faults, %s\n", seed, broken.empty() ? "holds" : "BROKEN",
                soak.faults().size(), soak.summary().c_str());
    for (const std::string &each : broken)
        std::printf("  broken: %s\n", each.c_str());
    if (!broken.empty()) {
        for (const std::string &each : soak.faults())
            std::printf("  fault: %s\n", each.c_str());
        if (!FLAGS_logs.empty())
            soak.saveLogs(FLAGS_logs);
    }
    std::fflush(stdout);
    return broken.empty();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    int failed = 0;
    for (int i = 0; i < FLAGS_seeds; ++i)
        failed += holds(FLAGS_seed + static_cast<std::uint64_t>(i)) ? 0 : 1;
    if (failed > 0)
        std::printf("%d of %d seeds broken\n", failed, FLAGS_seeds);
    return failed > 0 ? 1 : 0;
}
