/// \file
/// Decides on requests that are forwarded whole: to which endpoint or along
/// which path of engines, whether again, and how each ends.

#pragma once

#include <balsamloft/pathchooser.h>
#include <balsamloft/quarantine.h>
#include <balsamloft/ratelimits.h>
#include <balsamloft/retrybudget.h>
#include <balsamloft/trialpermits.h>

#include <unordered_map>
#include <variant>

namespace balsamloft {

/// A request as the core sees it; its bytes stay with the caller of the core.
struct RelayRequest
{
    std::string id;
    std::string digest; ///< of its content, see requestDigest(); the same when it comes again
    RouteMapPtr table; ///< the version that decides this request
    const Route *route = nullptr; ///< in \a table
    std::uint32_t service = 0; ///< index in \a table
    Duration timeLeft {}; ///< what the caller will wait
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; ///< expected
};

using FlightId = std::uint64_t;

/// How an attempt failed below the answer.
enum class AttemptFailure : std::uint8_t {
    NotSent, ///< no byte left: nothing ran
    Broken, ///< reset or closed early: it may have run
    InvalidAnswer, ///< bytes that are no answer, or another request's answer
};

/// The head of an endpoint's answer, as far as decisions need it.
struct AnswerHead
{
    int status = 0;
    bool notExecuted = false; ///< the endpoint promises that it did not run the request
    bool provenExecuted = false; ///< bears the mark of an endpoint that ran the request
    std::string_view faultyAddress; ///< the engine at fault, when another one than asked
    std::optional<std::uint32_t> running; ///< requests at the endpoint
    /// Requests a second that the endpoint takes from all instances together; nothing: as
    /// many as it can.
    std::optional<double> rateLimit;
};

// Actions

/// Send the request, or the rest of its stream, to an endpoint.
struct SendRequest
{
    FlightId flight = 0;
    std::uint32_t attempt = 0;
    std::string endpoint; ///< id
    std::string name; ///< that the endpoint is listed under, and knows itself by
    std::string address;
    std::vector<PathPart> path; ///< empty: that endpoint alone
    Duration timeLeft {};
    std::optional<std::uint64_t> afterEvent; ///< go on after this event
    bool freshConnection = false;
    std::string reason; ///< why this one, for the log
};

/// Give an attempt up: close its connection, drop what still comes.
struct AbandonAttempt
{
    FlightId flight = 0;
    std::uint32_t attempt = 0;
};

/// Give the caller the endpoint's answer as it is. The flight has ended.
struct PassAnswer
{
    FlightId flight = 0;
};

/// How an engine answered the order to change a path.
enum class PathReply : std::uint8_t {
    Accepted,
    Refused, ///< an engine of the new path cannot
    Lost, ///< no such request there, or no answer
};

/// How a flight ends without an endpoint's answer.
enum class FlightOutcome : std::uint8_t {
    NotExecuted, ///< a promise: nothing ran, nothing will
    Failed, ///< it may have run
    TimedOut, ///< it may have run; its time is over
    Truncated, ///< events were passed already: the answer must not look complete
};

/// Refuse the request, or break its answer off. The flight has ended.
struct FinishFlight
{
    FlightId flight = 0;
    FlightOutcome outcome = FlightOutcome::NotExecuted;
    Duration retryAfter {}; ///< when to come back; only for NotRun
    std::string reason;
};

/// Ask an engine which requests stall, at which engine, and how fast it is.
struct QueryEngine
{
    std::string endpoint;
    std::string address;
};

/// Have the first engine of an attempt carry it on along another path that
/// begins with the same part. The attempt, its connection and what the other
/// engines keep of it stay.
struct ChangePath
{
    FlightId flight = 0;
    std::uint32_t attempt = 0;
    std::string request; ///< id of the request, as the engine knows it
    std::string endpoint; ///< id of the first engine
    std::string address;
    std::vector<PathPart> path;
    std::string reason;
};

/// Have all instances know which requests were on endpoints that ended.
struct PublishCrashes
{
    CrashUpdate update;
};

/// Ask for the permit to try a request under suspicion; Relay::trialAnswered() follows.
struct RequestTrial
{
    FlightId flight = 0;
    TrialRequest request;
};

/// The try that was permitted is over.
struct FinishTrial
{
    std::string digest;
    TrialOutcome outcome = TrialOutcome::Inconclusive;
};

using RelayAction = std::variant<SendRequest, AbandonAttempt, PassAnswer, FinishFlight, QueryEngine,
                                 ChangePath, PublishCrashes, RequestTrial, FinishTrial>;
using RelayActions = std::vector<RelayAction>;

/// Settings of a Relay.
struct RelaySettings
{
    std::string domain; ///< of this instance
    double retryRatio = 0.15; ///< repeats for each request of this instance
    double retrySlack = 20; ///< repeats beyond that in a window, all instances together
    Duration retryWindow {10'000'000}; ///< the window
    double streamReserve = 0.5; ///< share of the slack for streams that have begun
    Duration queryAfterPause {250'000}; ///< shortest pause after which an engine is asked
    double queryAfterGaps = 4; ///< or so many expected pauses
    Duration queryInterval {350'000}; ///< between two questions to one engine
    Duration suspectPause {120'000}; ///< a stream through a suspected engine that paused this long
    Duration startTimeout {1'700'000}; ///< after which a request that has not begun is moved
    Duration stallTimeout {1'200'000}; ///< pause after which a stream is moved without proof
    Duration rerunTimeout {1'700'000}; ///< one that may have run but has not begun waits so long
    /// A stream that has begun waits so long for a path: as long as callers do, who
    /// leave after a pause of two seconds or more. Broken off a few tenths before
    /// that, it is lost to a caller who was still there.
    Duration resumeTimeout {2'500'000};
    std::uint32_t maxPathChanges = 4; ///< of one attempt
    Duration pathChangeTimeout {700'000}; ///< an order to change a path is answered by then
    Duration callAttemptTimeout {400'000}; ///< an idempotent call is then tried elsewhere
    double callWaitShare = 0.12; ///< share of the target latency that a call waits for an endpoint
    double streamWaitShare = 1.6; ///< the same for a stream that waits for a path
    Duration maxTickGap {300'000}; ///< a longer time between ticks was not lived through
    Duration retryAfter {700'000}; ///< told to those that are refused
    std::uint32_t extraSends = 2; ///< sends beyond the attempts, after proof that nothing ran
    /// A request that passes events for so long on one endpoint does not end endpoints
    /// by being run.
    Duration harmlessAfter {1'000'000};
    Duration trialRetryInterval {200'000}; ///< after an endpoint that was taken
    /// Spread of choices for requests that an endpoint's end cut: together on the next
    /// endpoint, none could be told from the one that ends endpoints.
    double rerouteSpread = 1;
    std::uint64_t seed = 1;
};

/// Counters of a Relay, for metrics.
struct RelayCounts
{
    std::uint64_t submitted = 0;
    std::uint64_t passed = 0;
    std::uint64_t notExecuted = 0;
    std::uint64_t failed = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t truncated = 0;
    std::uint64_t resent = 0;
    std::uint64_t budgetExhausted = 0;
    std::uint64_t pathsChanged = 0;
    std::uint64_t crashes = 0; ///< ends of endpoints under requests that were told to others
    std::uint64_t quarantined = 0; ///< requests that were not sent, or not again
    std::uint64_t rateLimitSkips = 0; ///< choices that left an endpoint out for its rate limit
};

/// The state machine of all whole requests of one instance. No I/O: events and
/// the present time go in, actions come out.
class Relay
{
public:
    explicit Relay(RelaySettings settings);

    // Commands

    FlightId submit(RelayRequest request, Time now, RelayActions &actions);
    void attemptFailed(FlightId id, std::uint32_t attempt, AttemptFailure failure, Time now,
                       RelayActions &actions);

    /// The head of a stream's answer, or the whole answer to a call.
    /// \return whether a stream's events may be passed on.
    bool answered(FlightId id, std::uint32_t attempt, const AnswerHead &head, Time now,
                  RelayActions &actions);

    /// Whole events went to the caller; \a lastEvent is the id of the last one.
    void eventsPassed(FlightId id, std::uint32_t attempt, std::optional<std::uint64_t> lastEvent,
                      Time now, RelayActions &actions);

    /// The engine ended the stream as complete.
    void streamCompleted(FlightId id, std::uint32_t attempt, Time now, RelayActions &actions);
    void callerGone(FlightId id, Time now, RelayActions &actions);

    /// The first engine answered a ChangePath, or did not; \a faultyAddress: the engine
    /// that has no room or not the part, when it was told.
    void pathChanged(FlightId id, std::uint32_t attempt, PathReply reply,
                     std::string_view faultyAddress, Time now, RelayActions &actions);

    /// An engine answered QueryEngine: \a stalledAt are addresses of engines that
    /// do not answer it.
    void queryAnswered(const std::string &endpoint, const std::vector<std::string> &stalledAt,
                       double slowdown, Time now, RelayActions &actions);

    /// An engine did not answer QueryEngine; \a refused: nobody listens at its address.
    void queryFailed(const std::string &endpoint, Time now, RelayActions &actions,
                     bool refused = false);

    /// The endpoint answered a question that was sent at \a asked, whatever it said.
    void endpointAnswered(const std::string &endpoint, Time asked)
    {
        m_quarantine.endpointAnswered(endpoint, asked);
    }

    /// All that instances told each other about endpoints that ended under requests.
    void setSharedCrashes(const std::vector<CrashRecord> &all) { m_quarantine.setShared(all); }

    /// The answer to RequestTrial with \a request.
    void trialAnswered(FlightId id, const TrialRequest &request, const TrialAnswer &answer,
                       Time now, RelayActions &actions);

    /// This process stood still for an unknown time: permits may have run out.
    void expireTrials();
    void setFleet(FleetPtr fleet, Time now, RelayActions &actions);
    void tick(Time now, RelayActions &actions);

    /// States of engines, as this or another instance asked for them.
    void applyEngineReports(const EngineReports &reports, Time now, RelayActions &actions);

    /// How many instances share the endpoints of this domain, and in all.
    void setInstances(std::size_t inDomain, std::size_t all, Time now);

    /// Which instances share the rate limits of endpoints, this one under the name \a self;
    /// \a clockOffset: the time that they all know less the present time that is passed here.
    void shareLimits(std::span<const PeerInstance> all, const std::string &self,
                     Duration clockOffset, Time now);

    /// Repeats for each request of this instance, and beyond that in a window by all.
    void setRetries(double ratio, double slack);

    // Queries

    /// Whether the request may still be sent: asked again right before its bytes
    /// leave, since a process may have been paused in between.
    bool maySend(FlightId id, std::uint32_t attempt, Time now) const;
    /// The last event of the flight that went to the caller.
    std::optional<std::uint64_t> lastEvent(FlightId id) const;
    std::size_t flights() const { return m_flights.size(); }
    const RelayCounts &counts() const { return m_counts; }
    const EngineTracker &engines() const { return m_engines; }
    const Quarantine &quarantine() const { return m_quarantine; }
    const RateLimits &rateLimits() const { return m_limits; }

private:
    enum class State : std::uint8_t { Waiting, Sent, Streaming };

    /// The permit of a flight whose request is under suspicion.
    struct Trial
    {
        enum class State : std::uint8_t { None, Requested, Granted, Sent };

        State state = State::None;
        std::string endpoint; ///< where the request runs first
        std::optional<PathPart> first; ///< the same with its layers, of a layered model
        Time requestedAt {};
        Time until {}; ///< it lasts
        std::set<std::string> busyEndpoints; ///< endpoints where something else was tried
    };

    struct Flight
    {
        RelayRequest request;
        State state = State::Waiting;
        Time deadline {};
        Time waitingSince {};
        std::uint32_t attempt = 0; ///< number of the present one
        std::uint32_t sends = 0;
        std::vector<std::string> mayHaveRunAt; ///< endpoints that may have run it
        std::vector<PathPart> path;
        std::string endpoint; ///< first engine or plain endpoint
        std::string domain;
        Time sentAt {};
        Time progressAt {}; ///< last event, or the send
        Duration expectedEventInterval {};
        Duration expectedFirstEvent {};
        std::optional<Time> pathChangeSentAt; ///< a ChangePath that is not yet answered
        std::uint32_t pathChanges = 0; ///< of this attempt
        bool eventsForwarded = false; ///< events went to the caller
        std::optional<Time> firstEventAt; ///< of the present attempt
        bool provenHarmless = false; ///< on some endpoint, so that it ends none by being run
        bool failedEarly = false; ///< an endpoint broke it off before it ran well
        bool owesRetry = false; ///< its next send takes a repeat that was not there yet
        std::optional<std::uint64_t> lastEvent;
        std::set<std::string> avoid; ///< endpoints that failed it
        Trial trial;
        std::string lastReason;
    };

    using FlightMap = std::unordered_map<FlightId, Flight>;

    Flight *current(FlightId id, std::uint32_t attempt);
    const RoutedService &service(const Flight &flight) const;
    RetryWindow &budget(const Flight &flight);
    void dispatch(FlightId id, Flight &flight, Time now, RelayActions &actions);
    std::optional<EnginePath> findPath(const Flight &flight, const std::set<std::string> &without,
                                       Time now);
    static std::set<std::string> excludedEndpoints(const Flight &flight);
    std::set<std::string> rateLimitedEndpoints(const Flight &flight, Time now);
    bool choosePath(Flight &flight, Time now, SendRequest &send);
    void setExpectedTimes(Flight &flight, const EnginePath &path);
    void addLoad(const Flight &flight);
    void removeLoad(const Flight &flight);
    void recordTransfers(const Flight &flight, Time now);
    bool changePath(FlightId id, Flight &flight, Time now, RelayActions &actions);
    bool chooseEndpoint(Flight &flight, Time now, SendRequest &send);
    double endpointCost(const FleetEndpoint &endpoint, const std::set<std::string> &avoid,
                        Time now);
    void recordSent(Flight &flight, const SendRequest &send, Time now);
    void endAttempt(Flight &flight);
    void retry(FlightId id, Flight &flight, bool mayHaveRun, const std::string &faultyEndpoint,
               std::string reason, Time now, RelayActions &actions);
    bool mayRunAgain(const Flight &flight, std::string_view alsoAt = {}) const;
    bool withdrawRetry(const Flight &flight, Time now);
    bool sendLimitReached(const Flight &flight) const;

    // Requests under which endpoints end
    void recordBroken(Flight &flight, Time now, RelayActions &actions);
    void recordAbandoned(const Flight &flight, Time now);
    void recordStalled(Flight &flight, const std::string &endpoint, Time now);
    void recordProgress(Flight &flight, Time now, RelayActions &actions);
    bool isSuspected(const Flight &flight, Time now) const;
    bool awaitTrial(FlightId id, Flight &flight, Time now, RelayActions &actions);
    bool choose(Flight &flight, Time now, SendRequest &send);
    void finishTrial(Flight &flight, TrialOutcome outcome, RelayActions &actions);
    bool mayRun(const Flight &flight, Time now) const;
    bool blockIfSuspected(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void finishBlocked(FlightId id, const Flight &flight, Duration wait, Time now,
                       RelayActions &actions);
    bool recall(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void resolveUnconfirmed(Time now);
    void queryUnconfirmed(Time now, RelayActions &actions);
    void publishCrashes(Time now, RelayActions &actions);
    void passAnswer(FlightId id, Flight &flight, bool succeeded, Time now, RelayActions &actions);

    bool worthMoving(const Flight &flight, Time now);

    /// How a flight that is given up now ends; \a ran: where it may have run.
    static FlightOutcome outcomeOf(const Flight &flight, FlightOutcome ifMayHaveRun);
    void finish(FlightId id, FlightOutcome outcome, std::string reason, RelayActions &actions,
                std::optional<Duration> retryAfter = {});
    void recordRateLimit(const Flight &flight, const AnswerHead &head, Time now);
    void handleRejection(FlightId id, Flight &flight, const AnswerHead &head, Time now,
                         RelayActions &actions);
    void watch(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void watchStream(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void watchWaiting(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void abandonAndRetry(FlightId id, Flight &flight, std::string reason, Time now,
                         RelayActions &actions);
    void queryEngine(const std::string &endpoint, Time now, RelayActions &actions);
    void discountPause(Time now);
    std::optional<std::string> firstSuspect(const Flight &flight, Time now) const;
    double slackShare() const;
    double tokenLayers(const Flight &flight, const PathPart &part) const;
    std::vector<FlightId> flightIds() const;

    RelaySettings m_settings;
    std::mt19937_64 m_random;
    PathChooser m_chooser;
    EngineTracker m_engines;
    Quarantine m_quarantine;
    RateLimits m_limits;
    FleetPtr m_fleet;
    FlightMap m_flights;
    std::map<std::string, RetryWindow, std::less<>> m_budgets; ///< by service
    std::deque<std::pair<Time, std::size_t>> m_instanceCounts; ///< of the last window
    std::map<std::string, Time, std::less<>> m_queriedAt;
    Time m_lastTick {};
    FlightId m_nextFlight = 1;
    RelayCounts m_counts;
};

} // namespace balsamloft
