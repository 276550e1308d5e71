/// \file
/// Private state of the traffic core, shared by its source files.

#pragma once

#include "tracelog.h"

#include <balsamloft/router.h>

#include <boost/intrusive/set.hpp>

namespace balsamloft {

/// Time constant of the average of a target's drain rate.
inline constexpr double DrainWindowMicros = 5e6;

/// Approximate length of a token, used in estimates only.
inline constexpr std::size_t BytesPerToken = 4;

/// Estimates the number of prompt tokens, at least 1.
std::uint32_t promptTokens(const Request &request);

/// Phase of a request in flight.
enum class FlightState : std::uint8_t { Queued, Claiming, Running, Backoff };

/// A request in flight: from its submission to its answer.
struct Flight : boost::intrusive::set_base_hook<>
{
    Request request;
    FlightState state = FlightState::Queued;
    bool claimed = false; ///< its idempotency key is claimed
    bool mayHaveExecuted = false; ///< an endpoint may have executed a part of the request
    bool attemptMayHaveExecuted = false; ///< an endpoint may have executed a part of the attempt
    bool prefillPass = false;
    std::uint32_t attempt = 0;
    std::uint32_t retries = 0; ///< attempts that were charged to the retry budget
    std::uint32_t failedConnects = 0; ///< attempts that failed as FailureKind::NotSent
    std::uint32_t silentPeriods = 0; ///< timeouts since the last answer
    std::size_t stage = 0;
    Chain chain;
    EndpointId avoid = NoEndpoint; ///< endpoint of the last failed attempt
    std::vector<std::string> tokens; ///< tokens sent to the caller so far
    double cost = 1; ///< expected work in tokens
    Time timer {}; ///< when tick() calls timerFired()
    Time submittedAt {};
    Time stepSentAt {};
    Time lastTokenAt {};
};

struct EarlierTimer
{
    bool operator()(const Flight &a, const Flight &b) const
    {
        return std::pair(a.timer, a.request.id) < std::pair(b.timer, b.request.id);
    }
};

/// A model or service: its queue, its candidate endpoints and its recent speed.
struct Target
{
    FairQueue queue;
    CandidateTable table;
    double finishedCost = 0; ///< exponentially decayed, for the drain rate
    Time finishedAt {};
    Time firstFinishAt {};
    double requestedTokens = 0; ///< since the process started, including refused requests
    double tokenMicros = 0; ///< smoothed time between two tokens
    double firstTokenMicros = 0; ///< smoothed time from dispatch to the first token
    double lengthRatio = 1; ///< smoothed ratio of generated tokens to max_tokens
};

class Router::Impl
{
public:
    Impl(RouterSettings settings, std::uint64_t seed);

    // Admission (routeradmission.cpp)
    void setConfig(ConfigPtr config, Time now, Actions &actions);
    void submit(Request request, Time now, Actions &actions);
    void dispatchQueued(Target &target, Time now, Actions &actions);
    void dispatchAllQueues(Time now, Actions &actions);
    void claimAnswered(RequestId id, const ClaimAnswer &answer, Time now, Actions &actions);

    // Attempts (routerattempts.cpp)
    void dispatch(Flight &flight, const Chain &chain, Time now, Actions &actions);
    void startAttempt(Flight &flight, Time now, Actions &actions);
    void sendStep(Flight &flight, std::string input, Time now, Actions &actions);
    void stepAnswered(const StepRef &awaited, const StepAnswer &answer, Time now, Actions &actions);
    void callAnswered(RequestId id, std::uint32_t attempt, Answer answer, Time now,
                      Actions &actions);
    void finish(Flight &flight, Answer answer, Time now, Actions &actions);
    void refuse(Flight &flight, RefusalCode code, std::string message, Duration retryAfter,
                Time now, Actions &actions);

    // Failures (routerfailures.cpp)
    void attemptFailed(Flight &flight, FailureKind kind, Time now, Actions &actions);
    void stepFailed(const StepRef &awaited, FailureKind kind, const std::optional<LoadReport> &load,
                    Time now, Actions &actions);
    void callFailed(RequestId id, std::uint32_t attempt, FailureKind kind, Time now,
                    Actions &actions);
    void probeFinished(EndpointId endpoint, bool alive, bool leaving, Time now, Actions &actions);
    void callerGone(RequestId id, Time now, Actions &actions);
    void tick(Time now, Actions &actions);

    // Queries
    std::optional<Time> nextWakeup() const;
    bool maySend(RequestId id, std::uint32_t attempt, Time now) const;
    Duration expectedService(const Target &target, const Request &request) const;
    std::size_t queued() const;
    ModelDemand modelDemand() const;
    std::size_t inFlight() const { return m_flights.size(); }

    RouterSettings m_settings;
    ConfigPtr m_config;
    LoadView m_loads;
    ChainChooser m_chooser;
    RetryBudget m_budget;
    TeamLimits m_limits;
    RouterCounters m_counters;
    TraceLog m_trace;
    bool m_draining = false;

private:
    using Timers = boost::intrusive::set<Flight, boost::intrusive::compare<EarlierTimer>>;

    /// Reason for not admitting a request.
    struct Denial
    {
        RefusalCode code;
        std::string message;
        Duration retryAfter {};
    };

    // Admission
    std::optional<Denial> applyRules(Request &request) const;
    std::optional<Denial> checkLimits(const Request &request, const Team &team, Time now);
    std::optional<Denial> checkDeadline(const Target &target, const Flight &flight,
                                        const Team &team, Time now) const;
    void dispatchQueuedOnce(Target &target, Time now, Actions &actions);
    void rebuildTargets(Time now, Actions &actions);
    void enqueue(Flight &flight, bool resumed, Time now);
    Duration expectedWait(const Target &target, const Request &request, double share,
                          Time now) const;
    static double drainRate(const Target &target, Time now);
    RouteQuery routeQuery(const Target &target, const Flight &flight, Time now) const;
    double jitter();

    // Attempts
    Flight *find(RequestId id);
    Target &targetOf(const Flight &flight);
    void setTimer(Flight &flight, Time at);
    Duration responseTimeout(const Flight &flight) const;
    void recordToken(Flight &flight, const StepAnswer &answer, Time now, Actions &actions);

    /// Frees the slots of the chain of \a flight.
    void release(Flight &flight, Time now);

    /// Cancels the current attempt at all stages except \a except.
    void cancelStages(const Flight &flight, EndpointId except, Actions &actions) const;
    void remove(Flight &flight);
    static void recordFinish(Target &target, double cost, Time now);

    // Failures

    /// Dispatches a request again after an attempt of which nothing was executed. This is
    /// not charged to the retry budget.
    void resendUnexecuted(Flight &flight, FailureKind kind, Time now, Actions &actions);
    void backOff(Flight &flight, std::uint32_t attempts, Time now);

    /// Retries a request that may have been executed, if it is idempotent and the retry
    /// budget allows it.
    void retryOrRefuse(Flight &flight, FailureKind kind, Time now, Actions &actions);

    /// Handles a step or call that was not answered in time.
    void handleTimeout(Flight &flight, Time now, Actions &actions);
    void timerFired(Flight &flight, Time now, Actions &actions);
    void probe(EndpointId endpoint, Actions &actions);
    void applyLoadReport(EndpointId endpoint, const LoadReport &load, Time now, Actions &actions);
    void probeDueEndpoints(Time now, Actions &actions);

    static std::string targetKey(TargetKind kind, std::string_view name);

    std::unordered_map<RequestId, Flight> m_flights;
    Timers m_timers; ///< declared after m_flights: destroyed before the flights it links
    std::unordered_map<std::string, Target, StringHash, std::equal_to<>> m_targets;
    std::set<EndpointId> m_probing;
    Chain m_chain; ///< buffer for the chain being selected
    std::minstd_rand m_random;
    Time m_dispatchAt {};
    bool m_dispatching = false;
    Time m_endpointCheckAt {};
};

} // namespace balsamloft
