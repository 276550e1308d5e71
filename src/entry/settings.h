/// \file
/// Settings of `balsamloft-entry`, from flags and environment variables.

#pragma once

#include <balsamloft/types.h>

#include <optional>
#include <string>

namespace balsamloft {

/// Checked settings of an entry instance that forwards whole requests.
struct EntrySettings
{
    std::string name;
    std::string domain;
    std::string callerAddress; ///< "IP:port" to listen at
    std::string readinessAddress; ///< "IP:port" to listen at
    std::string peers; ///< "IP:port" at which other instances ask
    std::string metrics; ///< "IP:port" to listen at; empty: none
    std::string store; ///< "IP:port"
    Duration revocationTime {}; ///< a withdrawn key is refused everywhere after this time
    Duration heartbeatInterval {}; ///< how often endpoints write themselves down
    Duration gracePeriod {}; ///< from the signal to stop to the end
    double retryRatio = 0; ///< repeats over requests, all instances together
    double retrySlack = 0; ///< repeats beyond the ratio in a window, all instances together
    Duration retryWindow {}; ///< the window
    bool logAll = false; ///< log requests that went well, too
};

/// Exit code of a process whose settings cannot be used.
inline constexpr int InvalidSettingsExitCode = 2;

/// Reads flags and environment; nothing, and a reason, when a value is missing
/// or malformed.
std::optional<EntrySettings> readEntrySettings(int argc, char **argv, Reason &reason);

/// Reads the file of `--flagfile` once more, for a process that runs. Flags that
/// it does not name keep what they had at the start. Nothing, and a reason, when
/// there is no such file or a value is malformed: then nothing changes.
std::optional<EntrySettings> reloadEntrySettings(Reason &reason);

/// Names of the flags that differ and take effect only at a start.
std::string flagsNeedingRestart(const EntrySettings &before, const EntrySettings &after);

} // namespace balsamloft
