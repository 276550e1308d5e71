/// \file
/// Forwards requests as a whole, in balsamloft-entry: chooses an endpoint or a path of engines for
/// each attempt, decides on retries, and decides how each request finishes. balsamloftd, which
/// executes requests step by step on chains of engines, uses router.h instead.

#pragma once

#include <balsamloft/admission/admission.h>
#include <balsamloft/admission/ratelimits.h>
#include <balsamloft/admission/retrybudget.h>
#include <balsamloft/announcedpauses.h>
#include <balsamloft/announcement.h>
#include <balsamloft/flightend.h>
#include <balsamloft/pathchooser.h>
#include <balsamloft/quarantine.h>
#include <balsamloft/trialpermits.h>

#include <algorithm>
#include <unordered_map>
#include <variant>

namespace balsamloft {

/// The properties of a request on which the relay's decisions depend. The caller's session
/// keeps the bytes of the request.
struct RelayRequest
{
    std::string id;
    std::string digest; ///< of the content, see requestDigest(); equal for repeated requests
    /// Digests of the prompt's parts that other requests may share, see sharedPromptParts().
    std::vector<std::string> promptParts;
    RouteMapPtr table; ///< version of the routes that applies to this request
    const Route *route = nullptr; ///< in \a table
    std::uint32_t service = 0; ///< index in \a table
    std::string team; ///< empty: none
    int priority = 0; ///< 0 is the highest, see combinedPriority()
    Duration timeLeft {}; ///< until the caller's deadline
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; ///< expected
};

/// Number of route priorities that are distinguished; larger ones count as the lowest.
inline constexpr int RoutePriorities = 10;

/// Returns the priority of a request whose team and route have the priorities \a team and \a route.
/// The priority of the team takes precedence over that of the route.
inline int combinedPriority(int team, int route)
{
    return team * RoutePriorities + std::min(route, RoutePriorities - 1);
}

/// Identifies a flight: a request from submit() until it is answered or refused.
using FlightId = std::uint64_t;

/// Why an attempt failed without a valid answer.
enum class AttemptFailure : std::uint8_t {
    NotSent, ///< no byte was sent, so the request was not executed
    Broken, ///< the connection was reset or closed early; the request may have been executed
    InvalidAnswer, ///< malformed, or the answer to another request
    /// No byte reached the endpoint: Relay::maySend() forbade it, or the instance that was to
    /// forward the request did not.
    Withheld,
    /// The instance that forwarded the request ended the connection. The request may have been
    /// executed; the endpoint has not failed.
    ForwarderLost,
};

/// The head of an endpoint's answer, reduced to what decisions need.
struct AnswerHead
{
    int status = 0;
    bool notExecuted = false; ///< the endpoint guarantees that it did not execute the request
    bool provenExecuted = false; ///< carries the endpoint's proof that it executed the request
    std::string_view faultyAddress; ///< address of the engine that failed, if another one answered
    std::optional<std::uint32_t> running; ///< requests in progress at the endpoint
    /// Requests per second that the endpoint accepts from all instances together; empty: no
    /// limit.
    std::optional<double> rateLimit;
    Announcement announcement;
};

// Actions

/// Number of the lowest urgency that engines distinguish; 0 is the highest.
inline constexpr int MaxUrgency = 9;

/// Send the request to an endpoint, or request the rest of its stream there.
struct SendRequest
{
    FlightId flight = 0;
    std::uint32_t attempt = 0;
    std::string endpoint; ///< id
    std::string name; ///< that the endpoint is listed under; the endpoint expects it in requests
    std::string address;
    std::vector<PathPart> path; ///< empty for a plain endpoint
    Duration timeLeft {};
    std::optional<std::uint64_t> afterEvent; ///< resume the stream after this event
    bool freshConnection = false;
    std::optional<int> urgency; ///< for the engines' queues; 0 is the highest, at most MaxUrgency
    std::string reason; ///< for the log: why the attempt is made
};

/// Abandon an attempt: close its connection and discard further data from it.
struct AbandonAttempt
{
    FlightId flight = 0;
    std::uint32_t attempt = 0;
};

/// Forward the endpoint's answer to the caller unchanged. The flight is finished.
struct ForwardAnswer
{
    FlightId flight = 0;
};

/// How an engine answered the order to change a path.
enum class PathReply : std::uint8_t {
    Accepted,
    Refused, ///< an engine of the new path cannot accept the request
    Lost, ///< the engine does not know the request, or did not answer
};

/// How a flight finishes without an endpoint's answer.
enum class FlightOutcome : std::uint8_t {
    NotExecuted, ///< guaranteed: the request was not and will not be executed
    Failed, ///< it may have been executed
    TimedOut, ///< its deadline passed; it may have been executed
    Truncated, ///< events were forwarded, so the answer must not look complete
};

/// Refuse the request, or truncate its answer. The flight is finished.
struct FinishFlight
{
    FlightId flight = 0;
    FlightOutcome outcome = FlightOutcome::NotExecuted;
    Duration retryAfter {}; ///< for the caller; only with NotExecuted
    std::string reason;
    FlightEnd end {};
};

/// Query how slow an engine is, and at which other engines its requests are stalled.
struct QueryEngine
{
    std::string endpoint;
    std::string address;
};

/// Order the first engine of an attempt to continue it along another path that begins with
/// the same part. The attempt, its connection and the cached state on the engines that both
/// paths share are kept.
struct ChangePath
{
    FlightId flight = 0;
    std::uint32_t attempt = 0;
    std::uint32_t number = 0; ///< of the order, counted in each attempt
    std::string request; ///< id under which the engine knows the request
    std::string endpoint; ///< id of the first engine
    std::string address;
    std::vector<PathPart> path;
    std::string reason;
};

/// Publish to all instances which requests ran on endpoints that crashed.
struct PublishCrashes
{
    CrashUpdate update;
};

/// Request the permit for a trial of a suspected request; answered by Relay::trialAnswered().
struct RequestTrial
{
    FlightId flight = 0;
    std::uint32_t attempt = 0; ///< that the permit is for
    TrialRequest request;
};

/// Report the outcome of a permitted trial.
struct FinishTrial
{
    std::string digest;
    std::string endpoint; ///< that the permit is for
    TrialOutcome outcome = TrialOutcome::Inconclusive;
};

/// Report to the list of endpoints that an endpoint announced its exit.
struct ReportDraining
{
    std::string endpoint;
};

using RelayAction =
    std::variant<SendRequest, AbandonAttempt, ForwardAnswer, FinishFlight, QueryEngine, ChangePath,
                 PublishCrashes, RequestTrial, FinishTrial, ReportDraining>;
using RelayActions = std::vector<RelayAction>;

/// Interval of the ticks of a Relay while it has flights.
inline constexpr Duration RelayTickInterval {50'000};

/// Retry budget, timeouts and limits of a Relay.
struct RelaySettings
{
    std::string domain; ///< of this instance
    double retryRatio = 0.15; ///< permitted retries per request of this instance
    double retrySlack = 20; ///< additional retries per window, shared by all instances
    Duration retryWindow {10'000'000};
    double streamReserve = 0.5; ///< share of the slack reserved for started streams
    /// Shortest pause of a stream after which its engine is queried.
    Duration queryAfterPause {250'000};
    /// The same as a multiple of the expected pause. The longer of the two applies.
    double queryAfterPauses = 4;
    Duration queryInterval {350'000}; ///< minimum time between two queries to one engine
    /// Pause beyond the expected one that moves a stream off a suspected engine, or off a
    /// connection over a broken link.
    Duration suspectPause {120'000};
    Duration startTimeout {1'700'000}; ///< until the first event; then the request is moved
    Duration stallTimeout {1'200'000}; ///< the same if no engine is suspected
    /// How long a request waits for a path if it may have run already but has no events.
    Duration rerunTimeout {1'700'000};
    /// How long a started stream waits for a path. Callers disconnect after a pause of two
    /// seconds or more. Truncating a stream even a few tenths of a second before its caller
    /// disconnects would lose an answer that may still be resumed.
    Duration resumeTimeout {2'500'000};
    /// Between two repeats at an endpoint that could not be reached or rejected the first one.
    Duration repeatInterval {500'000};
    std::uint32_t maxPathChanges = 4; ///< per attempt
    Duration pathChangeTimeout {700'000}; ///< for the answer to an order to change the path
    Duration callAttemptTimeout {400'000}; ///< then an idempotent call is sent to another endpoint
    double callWaitShare = 0.12; ///< longest wait for an endpoint, as a share of the target latency
    double streamWaitShare = 1.6; ///< the same for a stream that waits for a path
    Duration tickInterval {RelayTickInterval};
    /// A longer interval between ticks means that the process did not run, or was late. A late
    /// tick may come before the data that arrived meanwhile.
    Duration maxTickInterval {120'000};
    Duration retryAfter {700'000}; ///< mean delay that refused callers are given
    std::uint32_t extraSends = 2; ///< sends beyond maxAttempts, for attempts that were not executed
    /// A request that produces events on one endpoint for this long is not the cause of crashes.
    Duration harmlessAfter {1'000'000};
    /// Minimum time between two requests for a permit if the first one was refused because its
    /// endpoint was busy.
    Duration trialRetryInterval {200'000};
    /// Cost noise for requests interrupted by a crash. It spreads them over the endpoints: if
    /// all went to the same one, the request that causes crashes could not be identified.
    double rerouteSpread = 1;
    AnnouncedPauseSettings pauses;
    /// Callers that are refused because all endpoints are paused return within this share of the
    /// pause after its end, but within minReturnSpread to maxReturnSpread.
    double returnSpreadShare = 0.6;
    Duration minReturnSpread {300'000};
    Duration maxReturnSpread {5'000'000};
    AdmissionSettings admission;
    /// Whether admission control applies to services whose routes all have the same priority. Where
    /// no request is more urgent than another, most callers prefer a late answer to a refusal.
    bool admitToAll = false;
    /// Whether rate limits are divided by demand. Requires that instances without recent totals
    /// report no load, see RateLimits::followsDemand().
    bool rateLimitsFollowDemand = false;
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
    std::array<std::uint64_t, EndCauseNames.size()> truncatedBy {}; ///< the same by EndCause
    std::uint64_t resent = 0;
    std::uint64_t budgetExhausted = 0;
    std::uint64_t pathsChanged = 0;
    std::uint64_t crashes = 0; ///< published crash records
    std::uint64_t quarantined = 0; ///< requests refused because of crashes
    std::uint64_t rateLimitSkips = 0; ///< choices that excluded an endpoint for its rate limit
    std::uint64_t pauseSkips = 0; ///< choices that excluded an endpoint for its announced pause
    std::uint64_t pauseRefusals = 0; ///< requests refused because all endpoints are paused
    std::uint64_t withheld = 0; ///< attempts that were chosen, but no longer permitted to be sent
    std::uint64_t retryAfterAnswers = 0; ///< refusals that announced when to come back
    std::uint64_t drainingAnswers = 0; ///< answers that announced the exit of their endpoint
};

/// The state machine of all forwarded requests of one instance. It does no I/O: events and
/// the current time go in, actions come out.
class Relay
{
public:
    explicit Relay(RelaySettings settings);

    // Commands

    FlightId submit(RelayRequest request, Time now, RelayActions &actions);
    void attemptFailed(FlightId id, std::uint32_t attempt, AttemptFailure failure, Time now,
                       RelayActions &actions);

    /// Handles the head of a stream's answer, or the complete answer to a call.
    /// \return whether the events of a stream may be forwarded.
    bool answered(FlightId id, std::uint32_t attempt, const AnswerHead &head, Time now,
                  RelayActions &actions);

    /// Complete events were forwarded to the caller; \a lastEvent is the id of the last one.
    void eventsForwarded(FlightId id, std::uint32_t attempt, std::optional<std::uint64_t> lastEvent,
                         Time now, RelayActions &actions);

    /// The engine marked the stream as complete.
    void streamCompleted(FlightId id, std::uint32_t attempt, Time now, RelayActions &actions);
    void callerGone(FlightId id, Time now, RelayActions &actions);

    /// Finishes all flights for \a reason, since the process is about to end.
    void finishAll(const std::string &reason, Time now, RelayActions &actions);

    /// Handles the reply to \a order, or its absence. It only counts if no later order was given.
    /// \a faultyAddress is the engine that lacks memory or the layers, if the reply names it.
    void pathChanged(const ChangePath &order, PathReply reply, std::string_view faultyAddress,
                     Time now, RelayActions &actions);

    /// An engine answered a QueryEngine; \a stalledAt lists the addresses of engines that do
    /// not answer the queried engine.
    void queryAnswered(const std::string &endpoint, const std::vector<std::string> &stalledAt,
                       double slowdown, Time now, RelayActions &actions);

    /// An engine did not answer a QueryEngine; \a refused: the connection was refused.
    void queryFailed(const std::string &endpoint, Time now, RelayActions &actions,
                     bool refused = false);

    /// The connection of an attempt is dead although its endpoint is alive: the link between them
    /// is broken. An idempotent attempt that is overdue is repeated.
    void connectionLost(FlightId id, std::uint32_t attempt, Time now, RelayActions &actions);

    /// The endpoint answered a query that was sent at \a queriedAt, whatever the answer.
    void endpointAnswered(const std::string &endpoint, Time queriedAt)
    {
        m_quarantine.endpointAnswered(endpoint, queriedAt);
    }

    /// The endpoint announced \a announcement in an answer to this instance, whatever it answered.
    void endpointAnnounced(const std::string &endpoint, const Announcement &announcement, Time now,
                           RelayActions &actions);

    /// Replaces the crash records published by all instances.
    void setSharedCrashes(const std::vector<CrashRecord> &all) { m_quarantine.setShared(all); }

    /// Handles the answer to \a request. It only counts while the flight still waits to make the
    /// attempt that the permit is for.
    void trialAnswered(const RequestTrial &request, const TrialAnswer &answer, Time now,
                       RelayActions &actions);

    /// Treats all permits as expired, after this process was suspended for an unknown time.
    void expireTrials();
    void setFleet(FleetPtr fleet, Time now, RelayActions &actions);
    void tick(Time now, RelayActions &actions);

    /// Applies states of engines that this or another instance polled.
    void applyEngineReports(const EngineReports &reports, Time now, RelayActions &actions);

    /// Sets how many instances share the endpoints of this domain, and of all domains.
    void setInstances(std::size_t inDomain, std::size_t all, Time now);

    /// Sets the instances that share the rate limits of endpoints; \a self is the name of this
    /// instance. \a clockOffset: the common clock of the instances minus the clock that \a now
    /// was read from.
    void shareLimits(std::span<const PeerInstance> all, const std::string &self,
                     Duration clockOffset, Time now);

    /// Applies the load of all instances, of which Relay::load() is the part of this instance.
    void applyFleetLoad(const FleetLoad &load, Time now);

    /// Sets RelaySettings::retryRatio and RelaySettings::retrySlack.
    void setRetries(double ratio, double slack);

    // Queries

    /// Whether an attempt may still be sent. To be called right before its bytes are sent,
    /// since the process may have been paused after the decision.
    bool maySend(FlightId id, std::uint32_t attempt, Time now) const;

    /// Whether the endpoint accepts requests that this instance sends on behalf of others.
    bool acceptsRequests(const std::string &endpoint, Time now) const;

    /// The id of the last event that was forwarded to the caller.
    std::optional<std::uint64_t> lastEvent(FlightId id) const;
    std::size_t flights() const { return m_flights.size(); }

    /// How many attempts of the flight were sent.
    std::uint32_t sends(FlightId id) const;

    /// The load of services by the callers of this instance.
    LoadSummary load(Time now) const { return m_admission.load(now); }
    const Admission &admission() const { return m_admission; }
    const RelayCounts &counts() const { return m_counts; }
    const EngineTracker &engines() const { return m_engines; }
    const Quarantine &quarantine() const { return m_quarantine; }
    const RateLimits &rateLimits() const { return m_limits; }
    const AnnouncedPauses &pauses() const { return m_pauses; }

private:
    /// Whether an attempt is in progress (Sent, Streaming). recordSent() alone begins one, and only
    /// in a flight that waits; only the end of that attempt lets the flight wait again.
    enum class State : std::uint8_t { Waiting, Sent, Streaming };

    /// The trial permit of a flight whose request is suspected.
    struct Trial
    {
        enum class State : std::uint8_t { None, Requested, Granted, Sent };

        State state = State::None;
        std::string digest; ///< of the possible cause that is tried
        std::string endpoint; ///< first endpoint of the trial
        std::optional<PathPart> first; ///< the first endpoint with its layers, for a layered model
        Time requestedAt {};
        Time until {}; ///< expiry of the permit
        std::set<std::string> busyEndpoints; ///< with a trial of another request
    };

    struct Flight
    {
        RelayRequest request;
        std::vector<std::string> causes; ///< its content and prompt parts, see CauseDigests
        State state = State::Waiting;
        bool awaitsAdmission = false;
        Time submittedAt {};
        Time deadline {};
        Time waitingSince {};
        std::uint32_t attempt = 0; ///< number of the current attempt
        std::uint32_t sends = 0;
        std::vector<std::string> mayHaveRunAt; ///< endpoints that may have executed the request
        std::vector<PathPart> path;
        std::string endpoint; ///< first engine or plain endpoint
        std::string domain;
        Time sentAt {};
        bool answered = false; ///< the endpoint answered the current attempt
        Time progressAt {}; ///< time of the last event, or of the send if there was none
        Duration expectedEventInterval {};
        Duration expectedFirstEvent {};
        std::optional<Time> pathChangeSentAt; ///< set while a ChangePath is unanswered
        std::uint32_t pathChanges = 0; ///< of this attempt
        bool eventsForwarded = false;
        std::optional<Time> firstEventAt; ///< of the current attempt
        bool provenHarmless = false; ///< ran for harmlessAfter, so it does not cause crashes
        bool failedEarly = false; ///< an endpoint interrupted it before it was provenHarmless
        bool nextSendIsRetry = false; ///< the next send counts against the retry budget
        std::optional<std::uint64_t> lastEvent;
        std::set<std::string> avoid; ///< endpoints where it failed
        /// First part of the path, or plain endpoint, of an attempt whose forwarding instance was
        /// lost. The request may be repeated there without counting against the route's attempts.
        std::optional<PathPart> repeatAt;
        Time forwarderLostAt {}; ///< last time
        Time repeatAfter {}; ///< no send before
        Trial trial;
        std::string lastReason;
        EndCause waitCause = EndCause::None; ///< why the flight was not sent when it was last tried
        AttemptEnd lastFailure = AttemptEnd::None;
        int lastStatus = 0; ///< of the answer of the attempt that failed last
    };

    /// Why a flight ends.
    struct Ending
    {
        EndCause cause;
        std::string reason;
    };

    /// Why an attempt failed.
    struct Failure
    {
        AttemptEnd end;
        std::string reason;
        int status = 0; ///< of its answer
    };

    using FlightMap = std::unordered_map<FlightId, Flight>;

    // Answers come back to a flight that may have moved on. Each names its attempt, and finds the
    // flight only in the state in which it was asked for.
    Flight *inAttempt(FlightId id, std::uint32_t attempt);
    const Flight *inAttempt(FlightId id, std::uint32_t attempt) const;
    Flight *awaitingPermit(FlightId id, std::uint32_t attempt);
    const RoutedService &service(const Flight &flight) const;
    RetryWindow &budget(const Flight &flight);
    void dispatch(FlightId id, Flight &flight, Time now, RelayActions &actions);

    // Admission
    bool hasAdmission(const Flight &flight) const;
    bool admit(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void updateCapacity(const Flight &flight);
    void dispatchAdmitted(Time now, RelayActions &actions);
    std::optional<int> urgency(const Flight &flight) const;
    std::optional<EnginePath> findPath(const Flight &flight, const std::set<std::string> &without,
                                       Time now, const PathPart *first = nullptr);
    static std::set<std::string> excludedEndpoints(const Flight &flight);
    std::set<std::string> ofService(const Flight &flight, std::set<std::string> endpoints) const;
    std::set<std::string> rateLimitedEndpoints(const Flight &flight, Time now);
    void recordAnswered(Flight &flight, bool accepted);
    void recordAnnouncement(const Flight &flight, const AnswerHead &head, Time now,
                            RelayActions &actions);
    bool isActive(const std::string &endpoint) const;
    void markDraining(const std::string &endpoint, RelayActions &actions);
    void applyAnnouncedExits();
    void withhold(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void forwarderLost(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void notSent(FlightId id, Flight &flight, Time now, RelayActions &actions);
    bool canOnlyRepeat(const Flight &flight, Time now) const;
    bool lostForwarderRecently(const Flight &flight, Time now) const;
    void repeatLater(Flight &flight, Failure failure, Time now);
    Duration maxWait(const Flight &flight) const;
    bool choosePath(Flight &flight, Time now, SendRequest &send, const PathPart *first = nullptr);
    bool chooseAgain(Flight &flight, Time now, SendRequest &send);
    void setExpectedTimes(Flight &flight, const EnginePath &path);
    void addLoad(const Flight &flight);
    void removeLoad(const Flight &flight);
    void recordTransfers(const Flight &flight, Time now);
    bool changePath(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void pathNotChanged(FlightId id, Flight &flight, Time now, RelayActions &actions);
    bool chooseEndpoint(Flight &flight, Time now, SendRequest &send);
    double endpointCost(const FleetEndpoint &endpoint, const std::set<std::string> &avoid,
                        Time now);
    void recordSent(Flight &flight, const SendRequest &send, Time now);
    void endAttempt(Flight &flight);
    void abandonAttempt(FlightId id, Flight &flight, Time now, RelayActions &actions);
    static void recordPossibleRun(Flight &flight);
    void retry(FlightId id, Flight &flight, bool mayHaveRun, const std::string &faultyEndpoint,
               Failure failure, Time now, RelayActions &actions);
    bool mayRunAgain(const Flight &flight, std::string_view alsoAt = {}) const;
    bool withdrawRetry(const Flight &flight, Time now);
    bool sendLimitReached(const Flight &flight) const;

    // Requests that may cause crashes
    void recordBroken(Flight &flight, Time now, RelayActions &actions);
    void recordAbandoned(const Flight &flight, Time now);
    void recordStalled(Flight &flight, const std::string &endpoint, Time now);
    void recordSuccess(const Flight &flight, Time now);
    void recordProgress(Flight &flight, Time now, RelayActions &actions);
    bool isSuspected(const Flight &flight, Time now) const;
    bool awaitTrial(FlightId id, Flight &flight, Time now, RelayActions &actions);
    bool choose(Flight &flight, Time now, SendRequest &send);
    void finishTrial(Flight &flight, TrialOutcome outcome, RelayActions &actions);
    bool mayRun(const Flight &flight, Time now) const;
    bool blockIfSuspected(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void finishBlocked(FlightId id, const Flight &flight, Duration wait, Time now,
                       RelayActions &actions);
    bool abandonSuspectedAttempt(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void resolveUnconfirmed(Time now);
    void queryUnconfirmed(Time now, RelayActions &actions);
    void publishCrashes(Time now, RelayActions &actions);
    void forwardAnswer(FlightId id, Flight &flight, bool succeeded, Time now,
                       RelayActions &actions);

    // Endpoints that announced a pause
    std::set<std::string> pausedEndpoints(const Flight &flight, Time now);
    std::optional<AnnouncedPause> firstPauseToEnd(const Flight &flight, Time now);
    Duration returnSpread(const AnnouncedPause &pause);
    bool canRunWith(const Flight &flight, const std::set<std::string> &excludedAsFirst, Time now);
    bool refuseIfPaused(FlightId id, const Flight &flight, Time now, RelayActions &actions);

    static Duration expectedPause(const Flight &flight);
    bool worthMoving(const Flight &flight, Time now);

    static FlightOutcome outcomeOf(const Flight &flight, FlightOutcome ifMayHaveRun);
    void finish(FlightId id, FlightOutcome ifMayHaveRun, Ending ending, Time now,
                RelayActions &actions, std::optional<Duration> retryAfter = {});
    void recordRateLimit(const Flight &flight, const AnswerHead &head, Time now);
    void handleRejection(FlightId id, Flight &flight, const AnswerHead &head, Time now,
                         RelayActions &actions);
    void watch(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void watchStream(FlightId id, Flight &flight, Time now, RelayActions &actions);
    void watchWaiting(FlightId id, Flight &flight, Time now, RelayActions &actions);
    static std::string waitReason(const Flight &flight);
    void abandonAndRetry(FlightId id, Flight &flight, Failure failure, Time now,
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
    AnnouncedPauses m_pauses;
    Admission m_admission;
    /// Versions of the fleet and of the routes for which a service's capacity was last computed.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>, std::less<>> m_capacityVersions;
    FleetPtr m_fleet;
    /// Endpoints that announced their exit and are not yet listed as draining.
    std::set<std::string> m_announcedExits;
    FlightMap m_flights;
    std::map<std::string, RetryWindow, std::less<>> m_budgets; ///< by service
    /// Number of instances over time, in the last window.
    std::deque<std::pair<Time, std::size_t>> m_instanceCounts;
    std::map<std::string, Time, std::less<>> m_queriedAt;
    Time m_lastTick {};
    FlightId m_nextFlight = 1;
    RelayCounts m_counts;
};

} // namespace balsamloft
