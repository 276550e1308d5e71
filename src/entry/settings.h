/// \file
/// Settings of `balsamloft-entry`, from flags and environment variables.

#pragma once

#include <balsamloft/endpointlinks.h>
#include <balsamloft/resourceaccount.h>

#include <optional>
#include <string>

namespace balsamloft {

/// Validated settings of an entry instance.
struct EntrySettings
{
    std::string name;
    std::string domain; ///< failure domain
    std::string callerAddress; ///< "IP:port" to listen at for callers
    std::string readinessAddress; ///< "IP:port" of the readiness check
    std::string peerAddress; ///< "IP:port" to listen at for other instances
    /// "IP:port" to listen at for instances whose links to endpoints are broken; empty: none.
    std::string forwardAddress;
    std::string metricsAddress; ///< "IP:port" of the metrics; empty: none
    std::string storeAddress; ///< "IP:port"
    Duration revocationTime {}; ///< after this time no instance accepts a withdrawn key
    Duration heartbeatInterval {}; ///< of the rows that endpoints write about themselves
    Duration gracePeriod {}; ///< from the stop signal to the end of the process
    double retryRatio = 0; ///< retries per request, over all instances
    double retrySlack = 0; ///< retries beyond the ratio in a window, over all instances
    Duration retryWindow {}; ///< in which retries are counted
    MachineSize machine; ///< what the process may use
    bool logAll = false; ///< log successful requests too
    /// Limit the admitted work to the capacity of services whose routes have different priorities.
    bool admission = false;
    bool admissionAll = false; ///< with `admission`: of all services
};

/// The threads that open connections to endpoints, each with EndpointLinks of its own.
enum class EntryThread : std::uint8_t { Traffic, Control };

/// Returns the settings for the links of \a thread. Their seed differs at each instance: otherwise
/// all instances would ask the same ones to forward.
EndpointLinkSettings linkSettings(const EntrySettings &settings, EntryThread thread);

/// Exit code for invalid settings.
inline constexpr int InvalidSettingsExitCode = 2;

/// Reads flags and environment variables. Returns nothing and sets \a reason if a value is
/// missing or malformed.
std::optional<EntrySettings> readEntrySettings(int argc, char **argv, Reason &reason);

/// Reads the file of `--flagfile` again in a running process. Flags that the file does not set keep
/// their values from the start. Returns nothing and sets \a reason if there is no such file or a
/// value is malformed.
std::optional<EntrySettings> reloadEntrySettings(Reason &reason);

/// Names of the flags that differ and take effect only after a restart.
std::string flagsNeedingRestart(const EntrySettings &before, const EntrySettings &after);

} // namespace balsamloft
