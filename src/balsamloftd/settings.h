/// \file
/// The daemon's settings, read from flags and environment variables and validated.

#pragma once

#include "log.h"

#include <balsamloft/callerapi.h>
#include <balsamloft/router.h>

#include <optional>
#include <vector>

namespace balsamloft {

/// Configuration of a daemon process.
struct DaemonSettings
{
    std::string name; ///< unique name of this instance
    std::string domain; ///< failure domain of this instance
    std::string listen;
    std::string adminListen;
    std::string peerListen;
    std::string peerAdvertise; ///< address that peers connect to
    std::vector<std::string> seeds; ///< peer addresses contacted first
    std::string platform;
    std::string operatorTokenSha256;
    std::uint32_t trafficThreads = 1;
    Duration drainGrace {}; ///< between "not ready" and closing the listener in a planned stop
    Duration configPollInterval {}; ///< between reads of the configuration from the platform
    Duration platformTimeout {};
    Duration leaseDuration {}; ///< of the placement lease
    Duration unloadDelay {}; ///< how long an engine keeps a model that is no longer routed to it
    LogLevel logLevel = LogLevel::Info;
    std::uint64_t seed = 0; ///< of the random number generators; 0: chosen by the system
    MachineSize machine; ///< what the process may use
    HttpServerSettings server;
    CallerLimits callers;
    RouterSettings router;
};

/// Reads flags and `BALSAMLOFTD_*` environment variables. If any are missing, unknown, malformed
/// or contradictory, returns nothing and sets \a reason to one error per line.
std::optional<DaemonSettings> readSettings(int argc, char **argv, Reason &reason);

/// Whether `--check` was given.
bool checkOnly();

} // namespace balsamloft
