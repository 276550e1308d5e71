/// \file
/// How a flight of balsamloft-entry and its attempts end, for the log and the metrics.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace balsamloft {

/// Why a flight ends without a complete answer. If it waited in vain: what it waited for.
enum class EndCause : std::uint8_t {
    None,
    Deadline, ///< of the caller or the route
    AttemptsUsed, ///< the request may not run again: attempts of its route, or not idempotent
    SendLimit, ///< too many attempts that were not executed
    RetryBudget, ///< no retry is available in the window
    NoPath, ///< no path over all layers
    NoMemory, ///< a path over all layers, but none with free memory
    NoEndpoint, ///< no endpoint of the service is listed
    AllEndpointsFailed, ///< under this request
    RateLimited, ///< all endpoints are at their rate limits
    Paused, ///< all endpoints announced a pause
    AwaitsConfirmation, ///< an attempt broke off; whether its endpoint crashed is unknown
    AwaitsPermit, ///< for a trial of a request that may cause crashes
    Quarantined, ///< endpoints crashed while running the request
    TrialNotPermitted, ///< the same, and another trial may begin later
    TrialRejected, ///< the endpoint did not execute the trial
    ServerError, ///< the endpoint of a later attempt answered with an error
    Admission, ///< the service lacks capacity
    Stopping, ///< this instance ends
    CallerGone, ///< the caller closed its connection
    WriteFailed, ///< the connection of the caller failed
};

/// Names of EndCause in the log and the metrics.
inline constexpr std::array<std::string_view, 21> EndCauseNames {
    "",
    "deadline",
    "attempts_used",
    "send_limit",
    "retry_budget",
    "no_path",
    "no_memory",
    "no_endpoint",
    "all_endpoints_failed",
    "rate_limited",
    "paused",
    "awaits_confirmation",
    "awaits_permit",
    "quarantined",
    "trial_not_permitted",
    "trial_rejected",
    "server_error",
    "admission",
    "stopping",
    "caller_gone",
    "write_failed",
};
static_assert(EndCauseNames.size() == static_cast<std::size_t>(EndCause::WriteFailed) + 1);

constexpr std::string_view nameOf(EndCause cause)
{
    return EndCauseNames[static_cast<std::size_t>(cause)];
}

/// How an attempt ends without a valid answer.
enum class AttemptEnd : std::uint8_t {
    None,
    NotSent,
    Broken, ///< the connection was reset or closed early
    BrokenOnWay, ///< the same, by the instance that forwarded the connection
    InvalidAnswer, ///< malformed, or the answer to another request
    Rejected, ///< not executed, as the endpoint says
    NoProof, ///< of execution, in the answer
    ServerError,
    NoAnswer, ///< in time; abandoned
    Stalled, ///< no event for too long, or an engine of the path is silent; abandoned
    LinkBroken, ///< the connection is dead, while another instance reaches the endpoint; abandoned
    PathNotChanged, ///< a later engine failed, and the path could not avoid it; abandoned
};

/// Names of AttemptEnd in the log.
inline constexpr std::array<std::string_view, 12> AttemptEndNames {
    "",
    "not sent",
    "broken off",
    "broken off on the way",
    "invalid answer",
    "rejected",
    "no proof of execution",
    "server error",
    "no answer",
    "stalled",
    "link broken",
    "path not changed",
};
static_assert(AttemptEndNames.size() == static_cast<std::size_t>(AttemptEnd::PathNotChanged) + 1);

constexpr std::string_view nameOf(AttemptEnd end)
{
    return AttemptEndNames[static_cast<std::size_t>(end)];
}

/// How the connection of an attempt ended.
enum class ConnectionEnd : std::uint8_t {
    None, ///< it did not end by itself
    Eof, ///< orderly close
    Reset,
    TimedOut,
    Error, ///< any other
};

/// Names of ConnectionEnd in the log.
inline constexpr std::array<std::string_view, 5> ConnectionEndNames {"", "eof", "reset",
                                                                     "timed out", "error"};

constexpr std::string_view nameOf(ConnectionEnd end)
{
    return ConnectionEndNames[static_cast<std::size_t>(end)];
}

/// How a flight ended, beside its outcome.
struct FlightEnd
{
    EndCause cause = EndCause::None;
    std::uint32_t attempts = 0; ///< that were sent
    AttemptEnd lastFailure = AttemptEnd::None; ///< of the last attempt that failed
    int lastStatus = 0; ///< with which it was answered; 0: not answered
};

} // namespace balsamloft
