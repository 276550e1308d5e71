/// \file
/// The traffic core: every decision on a request, from admission to answer.

#pragma once

#include <balsamloft/actions.h>
#include <balsamloft/retrybudget.h>
#include <balsamloft/routing.h>
#include <balsamloft/teamlimits.h>

#include <memory>
#include <optional>
#include <span>

namespace balsamloft {

/// Settings of the traffic core.
struct RouterSettings
{
    std::string domain; ///< failure domain of this instance
    std::size_t maxQueued = 10'000; ///< per model or service
    std::uint32_t maxTokens = 32'768; ///< longest completion a caller may ask for
    std::uint32_t maxAttempts = 6;
    Duration minStepTimeout {400'000}; ///< least time before a step counts as silent
    Duration minPrefillTimeout {600'000}; ///< as minStepTimeout, for the first pass of an attempt
    Duration serviceCallTimeout {2'000'000}; ///< as minStepTimeout, for a service call
    double stepTimeoutFactor = 6; ///< multiple of the expected step time
    std::uint32_t maxSilentPeriods = 4; ///< silent periods granted to what cannot be repeated
    Duration retryBackoff {50'000};
    Duration endpointCheckInterval {1'000'000}; ///< between looks at who is to be probed again
    Duration dispatchInterval {20'000}; ///< queues are looked at this often at least
    LoadSettings load;
    RoutingSettings routing;
    RetryBudgetSettings retry;
};

/// Counters that only grow, for metrics and benchmarks.
struct RouterCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t finished = 0;
    std::uint64_t refusedNotExecuted = 0;
    std::uint64_t refusedOutcomeUnknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t unexecutedAttempts = 0; ///< endpoints that proved not to have run it
    std::uint64_t ejections = 0;
    std::uint64_t lateAnswers = 0; ///< dropped: of an attempt given up before
    std::uint64_t mismatchedAnswers = 0; ///< dropped: of another step than awaited
    std::uint64_t tokens = 0;
};

/// Tokens asked of each model since the process started, refused ones included.
using ModelDemand = std::map<std::string, double>;

/// Decides on every request of one traffic thread. It does no I/O: commands
/// take an event and the present time and append the actions to carry out.
/// Not thread-safe.
class Router
{
public:
    Router(RouterSettings settings, std::uint64_t seed);
    ~Router();
    Router(Router &&) noexcept;
    Router &operator=(Router &&) noexcept;

    // Commands

    void setConfig(ConfigPtr config, Time now, Actions &actions);

    /// The membership's word on \a endpoint. While true it gets no new work.
    void setLeaving(std::string_view endpoint, bool leaving);
    TeamLimits &limits();

    void submit(Request request, Time now, Actions &actions);
    void claimAnswered(RequestId request, const ClaimAnswer &answer, Time now, Actions &actions);
    void stepAnswered(const StepRef &awaited, const StepAnswer &answer, Time now, Actions &actions);

    /// The step \a awaited failed. \a load holds the endpoint's report if it sent one.
    void stepFailed(const StepRef &awaited, FailureKind kind, const std::optional<LoadReport> &load,
                    Time now, Actions &actions);
    void callAnswered(RequestId request, std::uint32_t attempt, Answer answer, Time now,
                      Actions &actions);
    void callFailed(RequestId request, std::uint32_t attempt, FailureKind kind, Time now,
                    Actions &actions);
    /// A probe was answered (\a alive), or not; \a leaving as the answer says.
    void probeFinished(EndpointId endpoint, bool alive, bool leaving, Time now, Actions &actions);
    void callerGone(RequestId request, Time now, Actions &actions);

    /// Lets time pass: call it at nextWakeup() or later.
    void tick(Time now, Actions &actions);

    /// Refuses new requests from now on; those in flight go on.
    void startDrain();

    // Queries

    std::optional<Time> nextWakeup() const;

    /// Whether the bytes of a step or call may still leave. Adapters ask right
    /// before they write: a process that was paused since the decision must
    /// not send what has been given up on, or is past its deadline.
    bool maySend(RequestId request, std::uint32_t attempt, Time now) const;

    const LoadView &loads() const;
    const RouterCounters &counters() const;
    std::size_t inFlight() const;
    std::size_t queued() const;
    bool ready() const; ///< holds a configuration and is not draining
    const ConfigPtr &config() const;
    ModelDemand modelDemand() const;

    /// Why the request went where it went, one line per decision, oldest
    /// first. Empty when it is not, or no longer, remembered.
    std::vector<std::string> explain(RequestId request) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace balsamloft
