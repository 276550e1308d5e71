// Runs the soak test for one or more seeds and prints a line for each seed. For a failing seed
// it also prints the violated guarantees and the injected faults. Exits with 1 if a seed failed.

#include "configurationsoak.h"
#include "plannedwork.h"
#include "soak.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(seeds, 1, "number of consecutive seeds");
DEFINE_int32(seconds, 8, "duration of the faults in each run, in seconds");
DEFINE_int32(instances, 3, "number of balsamloft-entry processes");
DEFINE_int32(series, 3, "number of concurrent series of faults");
DEFINE_bool(ending, false, "repeatedly send a request that crashes the endpoints that execute it");
DEFINE_int32(crashing_parts, 0,
             "number of prompt parts, in otherwise different requests, that crash endpoints");
DEFINE_bool(store_down, false, "keep the store down from the first fault to the last");
DEFINE_bool(own_links, false, "cut instances from all endpoints in a further series of faults");
DEFINE_bool(
    restores, false,
    "let the store come back from copies while the configuration changes, in a further series");
DEFINE_bool(announcements, false,
            "let endpoints announce pauses and their exit in a further series of faults");
DEFINE_bool(departures, false,
            "let callers leave while instances stand still for short times in a further series");
DEFINE_bool(planned, false,
            "run planned work (stops, new flags, new configurations) in place of faults, at most "
            "30 instances");
DEFINE_bool(configurations, false,
            "write configurations at a high rate and kill instances right after them in place of "
            "faults, at most 30 instances");
DEFINE_int32(callers, 25, "with --planned, --configurations: number of callers per instance");
DEFINE_int32(caller_threads, 1, "with --planned, --configurations: number of threads of callers");
DEFINE_int32(grace_ms, 4000, "with --planned: grace period of stops");
DEFINE_int32(busy, 0,
             "with --planned, --configurations: number of busy threads on the instances' cores");
DEFINE_int32(cores, 0,
             "with --planned, --configurations: number of cores that instances share; 0: all");
DEFINE_int32(engines, 16, "with --configurations: number of engines, four in each path");
DEFINE_int32(routes, 240, "with --configurations: number of routes, at times up to six times it");
DEFINE_double(processor_share, 0,
              "with --configurations: share of each tenth of a second for which an instance runs; "
              "0: always");
DEFINE_bool(detours, false,
            "with --configurations: instances reach some endpoints only by way of others");
DEFINE_bool(kills, true, "with --configurations: kill instances after configurations");
DEFINE_string(logs, "", "directory for the instances' logs of failing seeds");

namespace {

balsamloft::soak::SoakSettings soakSettings(std::uint64_t seed)
{
    balsamloft::soak::SoakSettings settings;
    settings.seed = seed;
    settings.length = std::chrono::seconds(FLAGS_seconds);
    settings.instances = FLAGS_instances;
    settings.series = FLAGS_series;
    settings.crashingRequest = FLAGS_ending;
    settings.crashingParts = FLAGS_crashing_parts;
    settings.storeDown = FLAGS_store_down;
    settings.ownLinks = FLAGS_own_links;
    settings.announcements = FLAGS_announcements;
    settings.restores = FLAGS_restores;
    settings.departures = FLAGS_departures;
    return settings;
}

balsamloft::soak::PlannedWorkSettings plannedWorkSettings(std::uint64_t seed)
{
    balsamloft::soak::PlannedWorkSettings settings;
    settings.seed = seed;
    settings.length = std::chrono::seconds(FLAGS_seconds);
    settings.instances = FLAGS_instances;
    settings.callers = FLAGS_callers;
    settings.callerThreads = FLAGS_caller_threads;
    settings.grace = std::chrono::milliseconds(FLAGS_grace_ms);
    settings.busy = FLAGS_busy;
    settings.cores = FLAGS_cores;
    return settings;
}

balsamloft::soak::ConfigurationSoakSettings configurationSoakSettings(std::uint64_t seed)
{
    balsamloft::soak::ConfigurationSoakSettings settings;
    settings.seed = seed;
    settings.length = std::chrono::seconds(FLAGS_seconds);
    settings.instances = FLAGS_instances;
    settings.callers = FLAGS_callers;
    settings.callerThreads = FLAGS_caller_threads;
    settings.engines = FLAGS_engines;
    settings.routes = FLAGS_routes;
    settings.processorShare = FLAGS_processor_share;
    settings.busy = FLAGS_busy;
    settings.cores = FLAGS_cores;
    settings.detours = FLAGS_detours;
    settings.kills = FLAGS_kills;
    return settings;
}

/// Runs \a soak, a Soak, PlannedWork or ConfigurationSoak.
template<typename Run>
bool passes(std::uint64_t seed, Run &&soak)
{
    const std::vector<std::string> violations = soak.run();
    std::printf("seed %lu: %s, %zu faults, %s\n", seed, violations.empty() ? "passed" : "FAILED",
                soak.faults().size(), soak.summary().c_str());
    for (const std::string &each : violations)
        std::printf("  violation: %s\n", each.c_str());
    if (!violations.empty()) {
        for (const std::string &each : soak.faults())
            std::printf("  fault: %s\n", each.c_str());
        if (!FLAGS_logs.empty())
            soak.saveLogs(FLAGS_logs);
    }
    std::fflush(stdout);
    return violations.empty();
}

bool runSeed(std::uint64_t seed)
{
    if (FLAGS_planned)
        return passes(seed, balsamloft::soak::PlannedWork(plannedWorkSettings(seed)));
    if (FLAGS_configurations)
        return passes(seed, balsamloft::soak::ConfigurationSoak(configurationSoakSettings(seed)));
    return passes(seed, balsamloft::soak::Soak(soakSettings(seed)));
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    int failed = 0;
    for (int i = 0; i < FLAGS_seeds; ++i)
        failed += runSeed(FLAGS_seed + static_cast<std::uint64_t>(i)) ? 0 : 1;
    if (failed > 0)
        std::printf("%d of %d seeds failed\n", failed, FLAGS_seeds);
    return failed > 0 ? 1 : 0;
}
