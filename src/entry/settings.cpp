#include "settings.h"

#include "sockets.h"

#include <gflags/gflags.h>

#include <fstream>

DEFINE_string(name, "", "name of this instance, for logs and other instances");
DEFINE_string(domain, "", "failure domain of this instance");
DEFINE_string(listen, "", "IP:port to listen at for callers");
DEFINE_string(ready_listen, "", "IP:port of the readiness check for the load balancer");
DEFINE_string(peer_listen, "", "IP:port to listen at for update queries of other instances");
DEFINE_string(forward_listen, "",
              "IP:port to listen at for instances whose own links to endpoints are broken; "
              "empty: forward no connections");
DEFINE_string(metrics_listen, "", "IP:port of the metrics; empty: none");
DEFINE_string(store, "", "IP:port of the platform's store");
DEFINE_double(revocation_ms, 5000, "time after which no instance accepts a withdrawn key");
DEFINE_double(beat_ms, 1200, "interval at which endpoints refresh their rows in the store");
DEFINE_double(grace_s, 8, "time from the stop signal to the end of the process");
DEFINE_double(retry_ratio, 0.2, "retries per request, over all instances");
DEFINE_double(retry_slack, 100, "retries beyond the ratio in a window, over all instances");
DEFINE_double(retry_window_s, 10, "window in which retries are counted");
DEFINE_int32(memory_mb, 0,
             "memory of the machine in megabytes, from 32; 0: what the system reports");
DEFINE_int32(max_descriptors, 0,
             "descriptors that the process may have, from 250, of which 200 are for files; 0: what "
             "the system reports");
DEFINE_bool(log_all, false, "log successful requests too");
DEFINE_bool(admission, false,
            "limit the admitted work to the capacity of services whose routes have different "
            "priorities");
DEFINE_bool(admission_all, false, "with --admission: limit the admitted work of all services");

namespace balsamloft {

namespace {

bool isAddress(std::string_view flag, const std::string &value, bool optional, Reason &reason)
{
    if ((optional && value.empty()) || parseTcpEndpoint(value))
        return true;
    reason = "--" + std::string(flag) + ": '" + value + "' is not an IP:port";
    return false;
}

bool isPositive(std::string_view flag, double value, Reason &reason)
{
    if (value > 0)
        return true;
    reason = "--" + std::string(flag) + ": must be greater than zero";
    return false;
}

bool isZeroOrFrom(std::string_view flag, std::int64_t value, std::int64_t min, Reason &reason)
{
    if (value == 0 || value >= min)
        return true;
    reason = "--" + std::string(flag) + ": must be 0, or at least " + std::to_string(min);
    return false;
}

Duration milliseconds(double value)
{
    return Duration(static_cast<std::int64_t>(value * 1000));
}

std::optional<EntrySettings> settingsFromFlags(Reason &reason)
{
    if (FLAGS_name.empty() || FLAGS_domain.empty()) {
        reason = "--name and --domain are required";
        return std::nullopt;
    }
    if (!isAddress("listen", FLAGS_listen, false, reason)
        || !isAddress("ready_listen", FLAGS_ready_listen, false, reason)
        || !isAddress("peer_listen", FLAGS_peer_listen, false, reason)
        || !isAddress("store", FLAGS_store, false, reason)
        || !isAddress("forward_listen", FLAGS_forward_listen, true, reason)
        || !isAddress("metrics_listen", FLAGS_metrics_listen, true, reason)
        || !isPositive("revocation_ms", FLAGS_revocation_ms, reason)
        || !isPositive("beat_ms", FLAGS_beat_ms, reason)
        || !isPositive("grace_s", FLAGS_grace_s, reason)
        || !isPositive("retry_window_s", FLAGS_retry_window_s, reason)
        || !isZeroOrFrom("memory_mb", FLAGS_memory_mb, MinMemoryMegabytes, reason)
        || !isZeroOrFrom("max_descriptors", FLAGS_max_descriptors, MinDescriptors, reason))
        return std::nullopt;
    EntrySettings settings;
    settings.name = FLAGS_name;
    settings.domain = FLAGS_domain;
    settings.callerAddress = FLAGS_listen;
    settings.readinessAddress = FLAGS_ready_listen;
    settings.peerAddress = FLAGS_peer_listen;
    settings.forwardAddress = FLAGS_forward_listen;
    settings.metricsAddress = FLAGS_metrics_listen;
    settings.storeAddress = FLAGS_store;
    settings.revocationTime = milliseconds(FLAGS_revocation_ms);
    settings.heartbeatInterval = milliseconds(FLAGS_beat_ms);
    settings.gracePeriod = milliseconds(FLAGS_grace_s * 1000);
    settings.retryRatio = FLAGS_retry_ratio;
    settings.retrySlack = FLAGS_retry_slack;
    settings.retryWindow = milliseconds(FLAGS_retry_window_s * 1000);
    settings.machine = machineSize(FLAGS_memory_mb, FLAGS_max_descriptors);
    settings.logAll = FLAGS_log_all;
    settings.admission = FLAGS_admission;
    settings.admissionAll = FLAGS_admission_all;
    return settings;
}

/// Sets the flags that \a file lists, one per line.
bool setFlagsFrom(const std::string &file, Reason &reason)
{
    std::ifstream lines(file);
    if (!lines) {
        reason = "cannot read '" + file + "'";
        return false;
    }
    for (std::string line; std::getline(lines, line);) {
        const std::size_t equals = line.find('=');
        if (!line.starts_with("--") || equals == std::string::npos)
            continue;
        const std::string name = line.substr(2, equals - 2);
        const std::string value = line.substr(equals + 1);
        // Unlike gflags' own handling of flag files, this does not exit on an error.
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
            reason = "--" + name + ": '" + value + "' is not a valid value";
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<EntrySettings> readEntrySettings(int argc, char **argv, Reason &reason)
{
    gflags::SetUsageMessage("entry instance of balsamloft, which routes and forwards requests");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1) {
        reason = "unknown argument '" + std::string(argv[1]) + "'";
        return std::nullopt;
    }
    return settingsFromFlags(reason);
}

std::optional<EntrySettings> reloadEntrySettings(Reason &reason)
{
    std::string file;
    if (!gflags::GetCommandLineOption("flagfile", &file) || file.empty()) {
        reason = "cannot reload settings: the process was started without --flagfile";
        return std::nullopt;
    }
    const gflags::FlagSaver startingValues;
    if (!setFlagsFrom(file, reason))
        return std::nullopt;
    return settingsFromFlags(reason);
}

EndpointLinkSettings linkSettings(const EntrySettings &settings, EntryThread thread)
{
    EndpointLinkSettings links;
    links.seed = std::hash<std::string> {}(settings.name) + static_cast<std::uint64_t>(thread);
    return links;
}

std::string flagsNeedingRestart(const EntrySettings &before, const EntrySettings &after)
{
    struct Member
    {
        std::string_view flag;
        std::string EntrySettings::*value;
    };
    static constexpr Member Members[] = {{"name", &EntrySettings::name},
                                         {"domain", &EntrySettings::domain},
                                         {"listen", &EntrySettings::callerAddress},
                                         {"ready_listen", &EntrySettings::readinessAddress},
                                         {"peer_listen", &EntrySettings::peerAddress},
                                         {"forward_listen", &EntrySettings::forwardAddress},
                                         {"metrics_listen", &EntrySettings::metricsAddress},
                                         {"store", &EntrySettings::storeAddress}};
    std::string names;
    const auto add = [&](std::string_view flag, bool differs) {
        if (differs)
            names.append(names.empty() ? "--" : " --").append(flag);
    };
    for (const Member &each : Members)
        add(each.flag, before.*each.value != after.*each.value);
    add("beat_ms", before.heartbeatInterval != after.heartbeatInterval);
    add("retry_window_s", before.retryWindow != after.retryWindow);
    add("memory_mb", before.machine.memoryBytes != after.machine.memoryBytes);
    add("max_descriptors", before.machine.descriptors != after.machine.descriptors);
    add("admission", before.admission != after.admission);
    add("admission_all", before.admissionAll != after.admissionAll);
    return names;
}

} // namespace balsamloft
