/// \file
/// The traffic core of balsamloftd: all decisions on a request, from admission to its answer.
/// Requests are executed step by step on chains of engines. balsamloft-entry, which forwards
/// complete requests, uses relay.h instead.

#pragma once

#include <balsamloft/actions.h>
#include <balsamloft/admission/retrybudget.h>
#include <balsamloft/admission/teamlimits.h>
#include <balsamloft/routing.h>

#include <memory>
#include <optional>
#include <span>

namespace balsamloft {

/// Limits, timeouts and retry rules of the traffic core.
struct RouterSettings
{
    std::string domain; ///< failure domain of this instance
    std::size_t maxQueued = 10'000; ///< requests per model or service
    std::uint32_t maxTokens = 32'768; ///< upper bound of max_tokens
    std::uint32_t maxAttempts = 6; ///< attempts of one request, including the first
    Duration minStepTimeout {400'000}; ///< lower bound of the timeout of a decode step
    Duration minPrefillTimeout {600'000}; ///< lower bound of the timeout of an attempt's first pass
    Duration serviceCallTimeout {2'000'000}; ///< timeout of a call to a plain service
    double stepTimeoutFactor = 6; ///< timeout of a step in multiples of its expected time
    std::uint32_t maxSilentPeriods = 4; ///< timeouts tolerated for a non-idempotent request
    Duration retryBackoff {50'000}; ///< base of the exponential backoff
    Duration endpointCheckInterval {1'000'000}; ///< time between searches for endpoints to probe
    Duration dispatchInterval {20'000}; ///< longest time between two dispatches of queued requests
    LoadSettings load;
    RoutingSettings routing;
    RetryBudgetSettings retry;
};

/// Monotonic counters for metrics and benchmarks.
struct RouterCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t finished = 0;
    std::uint64_t refusedNotExecuted = 0;
    std::uint64_t refusedOutcomeUnknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t unexecutedAttempts = 0; ///< rejected by an endpoint or not sent
    std::uint64_t ejections = 0;
    std::uint64_t lateAnswers = 0; ///< dropped: their attempt had been abandoned
    std::uint64_t mismatchedAnswers = 0; ///< dropped: they belong to another step
    std::uint64_t tokens = 0;
};

/// Tokens requested of each model since the process started, refused requests included.
using ModelDemand = std::map<std::string, double>;

/// Makes all decisions on the requests of one traffic thread. Performs no I/O: each command
/// takes an event and the current time and appends the actions that the I/O layer has to carry
/// out. Not thread-safe.
class Router
{
public:
    Router(RouterSettings settings, std::uint64_t seed);
    ~Router();
    Router(Router &&) noexcept;
    Router &operator=(Router &&) noexcept;

    // Commands

    void setConfig(ConfigPtr config, Time now, Actions &actions);

    /// Sets whether the membership reports \a endpoint as leaving. A leaving endpoint gets no
    /// new requests.
    void setLeaving(std::string_view endpoint, bool leaving);
    TeamLimits &limits();

    void submit(Request request, Time now, Actions &actions);
    void claimAnswered(RequestId request, const ClaimAnswer &answer, Time now, Actions &actions);
    void stepAnswered(const StepRef &awaited, const StepAnswer &answer, Time now, Actions &actions);

    /// Handles the failure of the step \a awaited. \a load is the endpoint's load report, if it
    /// sent one.
    void stepFailed(const StepRef &awaited, FailureKind kind, const std::optional<LoadReport> &load,
                    Time now, Actions &actions);
    void callAnswered(RequestId request, std::uint32_t attempt, Answer answer, Time now,
                      Actions &actions);
    void callFailed(RequestId request, std::uint32_t attempt, FailureKind kind, Time now,
                    Actions &actions);

    /// Handles a probe that was answered (\a alive) or failed. \a leaving: the answer reports
    /// that the endpoint is shutting down.
    void probeFinished(EndpointId endpoint, bool alive, bool leaving, Time now, Actions &actions);
    void callerGone(RequestId request, Time now, Actions &actions);

    /// Handles all timers up to \a now. To be called at nextWakeup() or later.
    void tick(Time now, Actions &actions);

    /// Refuses new requests from now on. Requests in flight continue.
    void startDrain();

    // Queries

    std::optional<Time> nextWakeup() const;

    /// Whether a step or call may still be sent. The I/O layer checks this right before it writes:
    /// if the process was paused after the decision, the attempt may have been abandoned or the
    /// request's deadline may have passed.
    bool maySend(RequestId request, std::uint32_t attempt, Time now) const;

    const LoadView &loads() const;
    const RouterCounters &counters() const;
    std::size_t inFlight() const;
    std::size_t queued() const;
    bool ready() const; ///< has a configuration and is not draining
    const ConfigPtr &config() const;
    ModelDemand modelDemand() const;

    /// The logged decisions on the request, one line each, oldest first. Empty if
    /// the request is unknown or its entries have been overwritten.
    std::vector<std::string> explain(RequestId request) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace balsamloft
