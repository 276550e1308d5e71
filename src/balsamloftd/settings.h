/// \file
/// The daemon's settings: flags and environment variables, checked.

#pragma once

#include "log.h"

#include <balsamloft/callerapi.h>
#include <balsamloft/router.h>

#include <optional>
#include <vector>

namespace balsamloft {

/// All that the daemon is told from outside.
struct DaemonSettings
{
    std::string name; ///< of this instance
    std::string domain; ///< failure domain
    std::string listen;
    std::string adminListen;
    std::string peerListen;
    std::string peerAdvertise; ///< address that peers connect to
    std::vector<std::string> seeds; ///< peer addresses to begin with
    std::string platform;
    std::string operatorTokenSha256;
    std::uint32_t trafficThreads = 1;
    Duration drainGrace {};
    Duration configPoll {};
    Duration platformTimeout {};
    Duration lease {};
    Duration routeAway {};
    LogLevel logLevel = LogLevel::Info;
    std::uint64_t seed = 0; ///< of the random generators; 0: from the system
    HttpServerSettings server;
    CallerLimits callers;
    RouterSettings router;
};

/// Reads flags and `BALSAMLOFTD_*` variables. Returns nothing and one reason a
/// line when something is missing, unknown, malformed or contradicting.
std::optional<DaemonSettings> readSettings(int argc, char **argv, Reason &reason);

/// Whether `--check` was given.
bool checkOnly();

} // namespace balsamloft
