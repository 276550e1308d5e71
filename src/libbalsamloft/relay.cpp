#include <balsamloft/relay.h>

#include <algorithm>
#include <utility>

namespace balsamloft {

namespace {

constexpr int Ok = 200;
/// With this status, an endpoint rejects a request before it executes anything.
constexpr int Misdirected = 421;
constexpr int FirstServerError = 500;

/// A rejection that takes this long is not due to a lack of memory: the faulty engine is dead.
constexpr Duration StalledRejection {1'000'000};

/// Share of the slack that a previous process of this instance may just have used.
constexpr double PreviousSlackUse = 0.8;

/// Instances assumed to share the slack until their number is known.
constexpr std::size_t AssumedInstances = 8;

} // namespace

Relay::Relay(RelaySettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_pauses(m_settings.pauses)
    , m_admission(m_settings.admission)
    , m_fleet(std::make_shared<FleetSnapshot>())
{
}

const RoutedService &Relay::service(const Flight &flight) const
{
    return flight.request.table->services()[flight.request.service];
}

RetryWindow &Relay::budget(const Flight &flight)
{
    const std::string &name = service(flight).name;
    const auto it = m_budgets.find(name);
    if (it != m_budgets.end())
        return it->second;
    RetryWindowSettings settings;
    settings.window = m_settings.retryWindow;
    settings.perRequest = m_settings.retryRatio;
    settings.slack = slackShare();
    settings.spentBefore = settings.slack * PreviousSlackUse;
    return m_budgets.try_emplace(name, settings).first->second;
}

/// Divides the slack by the maximum number of instances in the last window. An instance that left
/// may have used its share in that window. If the remaining instances received that share at once,
/// a rolling restart would let the fleet spend the slack twice.
double Relay::slackShare() const
{
    std::size_t maxCount = m_instanceCounts.empty() ? AssumedInstances : 1;
    for (const auto &[at, count] : m_instanceCounts)
        maxCount = std::max(maxCount, count);
    return m_settings.retrySlack / static_cast<double>(maxCount);
}

void Relay::setInstances(std::size_t inDomain, std::size_t all, Time now)
{
    m_engines.setSharingInstances(static_cast<double>(inDomain));
    m_engines.setInstances(static_cast<double>(all));
    m_admission.setInstances(all);
    // Keeps one count from before the window: it was valid at the beginning of the window.
    while (m_instanceCounts.size() > 1
           && now - m_instanceCounts[1].first > m_settings.retryWindow * 6 / 5)
        m_instanceCounts.pop_front();
    m_instanceCounts.emplace_back(now, all);
    for (auto &[name, budget] : m_budgets)
        budget.setSlack(slackShare());
}

void Relay::shareLimits(std::span<const PeerInstance> all, const std::string &self,
                        Duration clockOffset, Time now)
{
    m_limits.setClockOffset(clockOffset);
    m_limits.setInstances(all, self, m_settings.domain, now);
}

void Relay::setRetries(double ratio, double slack)
{
    m_settings.retryRatio = ratio;
    m_settings.retrySlack = slack;
    for (auto &[name, budget] : m_budgets) {
        budget.setPerRequest(ratio);
        budget.setSlack(slackShare());
    }
}

/// Returns the flight if \a attempt of it is in progress, otherwise null.
const Relay::Flight *Relay::inAttempt(FlightId id, std::uint32_t attempt) const
{
    const auto it = m_flights.find(id);
    return it == m_flights.end() || it->second.attempt != attempt
                   || it->second.state == State::Waiting
               ? nullptr
               : &it->second;
}

Relay::Flight *Relay::inAttempt(FlightId id, std::uint32_t attempt)
{
    return const_cast<Flight *>(std::as_const(*this).inAttempt(id, attempt));
}

std::vector<FlightId> Relay::flightIds() const
{
    std::vector<FlightId> ids;
    ids.reserve(m_flights.size());
    for (const auto &[id, flight] : m_flights)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

FlightId Relay::submit(RelayRequest request, Time now, RelayActions &actions)
{
    const FlightId id = m_nextFlight++;
    Flight &flight = m_flights[id];
    flight.request = std::move(request);
    if (!flight.request.digest.empty())
        flight.causes.push_back(flight.request.digest);
    flight.causes.insert(flight.causes.end(), flight.request.promptParts.begin(),
                         flight.request.promptParts.end());
    flight.submittedAt = now;
    flight.waitingSince = now;
    flight.deadline = now + std::min(flight.request.timeLeft, flight.request.route->timeout);
    m_counts.submitted += 1;
    budget(flight).requestStarted(now);
    if (admit(id, flight, now, actions))
        dispatch(id, flight, now, actions);
    return id;
}

double Relay::tokenLayers(const Flight &flight, const PathPart &part) const
{
    return static_cast<double>(flight.request.promptTokens + flight.request.answerTokens)
           * part.layers.length();
}

/// Those of \a endpoints that belong to the flight's service.
std::set<std::string> Relay::ofService(const Flight &flight, std::set<std::string> endpoints) const
{
    std::erase_if(endpoints, [&](const std::string &id) {
        const FleetEndpoint *endpoint = m_fleet->find(id);
        return !endpoint || endpoint->service != service(flight).name;
    });
    return endpoints;
}

/// Endpoints of the flight's service that are at their rate limits now.
std::set<std::string> Relay::rateLimitedEndpoints(const Flight &flight, Time now)
{
    std::set<std::string> rateLimited = ofService(flight, m_limits.blockedEndpoints(now));
    m_counts.rateLimitSkips += rateLimited.empty() ? 0 : 1;
    return rateLimited;
}

/// Endpoints of the flight's service to which an announced pause forbids a request now.
std::set<std::string> Relay::pausedEndpoints(const Flight &flight, Time now)
{
    std::set<std::string> paused = ofService(flight, m_pauses.blockedEndpoints(now));
    m_counts.pauseSkips += paused.empty() ? 0 : 1;
    return paused;
}

/// Finds a path that avoids the engines \a without if possible. It never begins at an engine that
/// is paused or at its rate limit. Later parts run at a paused engine only if no other path exists:
/// such an engine gets no request from this instance.
std::optional<EnginePath> Relay::findPath(const Flight &flight,
                                          const std::set<std::string> &without, Time now,
                                          const PathPart *first)
{
    PathQuery query;
    query.domain = m_settings.domain;
    query.promptTokens = flight.request.promptTokens;
    query.answerTokens = flight.request.answerTokens;
    const std::set<std::string> paused = pausedEndpoints(flight, now);
    std::set<std::string> unwanted = without;
    unwanted.insert(paused.begin(), paused.end());
    query.excluded = &unwanted;
    query.firstPart = flight.trial.state == Trial::State::Granted && flight.trial.first
                          ? &*flight.trial.first
                          : first;
    query.minCostNoise = flight.failedEarly ? m_settings.rerouteSpread : 0;
    std::set<std::string> excludedAsFirst = rateLimitedEndpoints(flight, now);
    excludedAsFirst.insert(paused.begin(), paused.end());
    query.excludedAsFirst = &excludedAsFirst;
    auto path = m_chooser.choose(*m_fleet, service(flight), m_engines, query, now, m_random);
    if (!path && !paused.empty()) {
        query.excluded = &without;
        path = m_chooser.choose(*m_fleet, service(flight), m_engines, query, now, m_random);
    }
    if (!path && !without.empty()) {
        // An engine where the request failed once is better than none.
        query.excluded = nullptr;
        path = m_chooser.choose(*m_fleet, service(flight), m_engines, query, now, m_random);
    }
    return path;
}

bool Relay::choosePath(Flight &flight, Time now, SendRequest &send, const PathPart *first)
{
    auto path = findPath(flight, excludedEndpoints(flight), now, first);
    if (!path) {
        flight.lastReason = "no path over all layers";
        flight.waitCause = EndCause::NoPath;
        return false;
    }
    if (path->full) {
        flight.lastReason = "no free memory on any path";
        flight.waitCause = EndCause::NoMemory;
        return false;
    }
    send.endpoint = path->parts.front().endpoint;
    send.name = m_fleet->find(send.endpoint)->name;
    send.address = path->parts.front().address;
    send.path = std::move(path->parts);
    setExpectedTimes(flight, *path);
    return true;
}

void Relay::setExpectedTimes(Flight &flight, const EnginePath &path)
{
    flight.domain = path.domain;
    flight.expectedEventInterval = Duration(static_cast<std::int64_t>(path.eventIntervalMs * 1000));
    flight.expectedFirstEvent = Duration(static_cast<std::int64_t>(path.firstEventMs * 1000));
}

double Relay::endpointCost(const FleetEndpoint &endpoint, const std::set<std::string> &avoid,
                           Time now)
{
    const EngineEstimate *estimate = m_engines.find(endpoint.id);
    std::uniform_real_distribution<double> noise(0, 0.1);
    double cost = noise(m_random) + 4 * m_engines.failureShare(endpoint.id, now);
    if (estimate)
        cost += static_cast<double>(estimate->ownRequests) / std::max(1U, endpoint.slots)
                * m_engines.workRatio(endpoint.domain);
    if (endpoint.domain != m_settings.domain)
        cost += 0.4;
    if (!m_engines.usable(endpoint.id, now))
        cost += 10;
    if (avoid.contains(endpoint.id))
        cost += 20;
    return cost;
}

/// Endpoints where the flight failed, and those with a trial of another request.
std::set<std::string> Relay::excludedEndpoints(const Flight &flight)
{
    std::set<std::string> all = flight.avoid;
    all.insert(flight.trial.busyEndpoints.begin(), flight.trial.busyEndpoints.end());
    return all;
}

/// Chooses the endpoint of the last attempt again, whose forwarding instance was lost. The request
/// may have run there, so another endpoint would count against the route's limit.
bool Relay::chooseAgain(Flight &flight, Time now, SendRequest &send)
{
    const PathPart first = *flight.repeatAt;
    const FleetEndpoint *endpoint = m_fleet->find(first.endpoint);
    if (!endpoint || !acceptsRequests(endpoint->id, now) || m_engines.suspected(endpoint->id, now)
        || excludedEndpoints(flight).contains(endpoint->id)
        || rateLimitedEndpoints(flight, now).contains(endpoint->id))
        return false;
    if (service(flight).model)
        return choosePath(flight, now, send, &first);
    send.endpoint = endpoint->id;
    send.name = endpoint->name;
    send.address = endpoint->address;
    flight.domain = endpoint->domain;
    return true;
}

bool Relay::choose(Flight &flight, Time now, SendRequest &send)
{
    if (now < flight.repeatAfter)
        return false;
    if (flight.repeatAt && flight.trial.state != Trial::State::Granted) {
        if (chooseAgain(flight, now, send))
            return true;
        if (!mayRunAgain(flight)) {
            flight.waitCause = EndCause::AttemptsUsed;
            return false;
        }
    }
    return service(flight).model ? choosePath(flight, now, send)
                                 : chooseEndpoint(flight, now, send);
}

bool Relay::chooseEndpoint(Flight &flight, Time now, SendRequest &send)
{
    const FleetEndpoint *best = nullptr;
    double bestCost = 0;
    const std::set<std::string> avoid = excludedEndpoints(flight);
    const std::set<std::string> rateLimited = rateLimitedEndpoints(flight, now);
    const std::set<std::string> paused = pausedEndpoints(flight, now);
    const bool boundToTrial = flight.trial.state == Trial::State::Granted;
    for (const FleetEndpoint &each : m_fleet->endpoints) {
        if (each.service != service(flight).name || each.draining
            || (boundToTrial && each.id != flight.trial.endpoint) || rateLimited.contains(each.id)
            || paused.contains(each.id))
            continue;
        const double cost = endpointCost(each, avoid, now);
        if (!best || cost < bestCost) {
            best = &each;
            bestCost = cost;
        }
    }
    if (!best || avoid.contains(best->id)) {
        flight.lastReason = best                   ? "the request failed at all endpoints"
                            : !rateLimited.empty() ? "all endpoints are at their rate limits"
                            : !paused.empty()      ? "all endpoints announced a pause"
                                                   : "no endpoint available";
        flight.waitCause = best                   ? EndCause::AllEndpointsFailed
                           : !rateLimited.empty() ? EndCause::RateLimited
                           : !paused.empty()      ? EndCause::Paused
                                                  : EndCause::NoEndpoint;
        return false;
    }
    send.endpoint = best->id;
    send.name = best->name;
    send.address = best->address;
    flight.domain = best->domain;
    return true;
}

void Relay::recordSent(Flight &flight, const SendRequest &send, Time now)
{
    m_limits.recordSend(send.endpoint, now);
    m_pauses.recordSend(send.endpoint, now);
    flight.state = State::Sent;
    if (flight.trial.state == Trial::State::Granted)
        flight.trial.state = Trial::State::Sent;
    else if (flight.trial.state == Trial::State::Requested)
        flight.trial.state = Trial::State::None; // this attempt did not wait for the permit
    flight.sends += 1;
    flight.answered = false;
    flight.endpoint = send.endpoint;
    flight.path = send.path;
    flight.sentAt = now;
    flight.progressAt = now;
    flight.pathChangeSentAt.reset();
    flight.pathChanges = 0;
    flight.firstEventAt.reset();
    addLoad(flight);
    recordTransfers(flight, now);
}

/// Records the use of the links between domains by the request's prompt and answer.
void Relay::recordTransfers(const Flight &flight, Time now)
{
    const auto &model = service(flight).model;
    if (!model)
        return;
    const double linkMs =
        model->transferMs(flight.request.promptTokens + flight.request.answerTokens);
    const FleetEndpoint *from = nullptr;
    for (const PathPart &part : flight.path) {
        const FleetEndpoint *to = m_fleet->find(part.endpoint);
        if (from && to && from->domain != to->domain)
            m_engines.recordTransfer(from->domain, to->domain, linkMs, now);
        from = to;
    }
}

void Relay::addLoad(const Flight &flight)
{
    if (flight.path.empty())
        m_engines.requestStarted(flight.endpoint, 0, true);
    for (const PathPart &part : flight.path)
        m_engines.requestStarted(part.endpoint, tokenLayers(flight, part),
                                 part.endpoint == flight.endpoint);
}

void Relay::removeLoad(const Flight &flight)
{
    if (flight.path.empty())
        m_engines.requestFinished(flight.endpoint, 0, true);
    for (const PathPart &part : flight.path)
        m_engines.requestFinished(part.endpoint, tokenLayers(flight, part),
                                  part.endpoint == flight.endpoint);
}

void Relay::endAttempt(Flight &flight)
{
    if (flight.state == State::Waiting)
        return;
    recordAnswered(flight, false);
    removeLoad(flight);
    flight.path.clear();
    flight.state = State::Waiting;
}

/// Abandons the attempt in progress, if there is one.
void Relay::abandonAttempt(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (flight.state == State::Waiting)
        return;
    actions.push_back(AbandonAttempt {id, flight.attempt});
    recordAbandoned(flight, now);
    recordPossibleRun(flight);
    endAttempt(flight);
}

/// Records that the endpoint of the last attempt may have executed the request.
void Relay::recordPossibleRun(Flight &flight)
{
    std::vector<std::string> &all = flight.mayHaveRunAt;
    if (std::find(all.begin(), all.end(), flight.endpoint) == all.end())
        all.push_back(flight.endpoint);
}

void Relay::dispatch(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (flight.state != State::Waiting)
        return;
    if (now >= flight.deadline)
        return finish(id, FlightOutcome::TimedOut, {EndCause::Deadline, "deadline exceeded"}, now,
                      actions);
    if (blockIfSuspected(id, flight, now, actions))
        return;
    // This runs at each tick while the flight waits: skip the path search while no retry is
    // available.
    if (flight.nextSendIsRetry && !budget(flight).canWithdraw(now)) {
        flight.waitCause = EndCause::RetryBudget;
        return;
    }
    SendRequest send;
    if (!choose(flight, now, send)) {
        finishTrial(flight, TrialOutcome::NotSent, actions);
        refuseIfPaused(id, flight, now, actions);
        return;
    }
    if (flight.nextSendIsRetry && !withdrawRetry(flight, now)) {
        flight.waitCause = EndCause::RetryBudget;
        return;
    }
    flight.nextSendIsRetry = false;
    send.flight = id;
    send.attempt = ++flight.attempt;
    send.timeLeft = flight.deadline - now;
    send.afterEvent = flight.lastEvent;
    send.freshConnection = !flight.request.route->idempotent();
    send.urgency = urgency(flight);
    send.reason = flight.sends == 0 ? "first attempt" : flight.lastReason;
    recordSent(flight, send, now);
    actions.push_back(std::move(send));
}

/// Whether the route's limit of attempts allows another one. \a alsoAt is counted like the
/// endpoints where the request may have run.
bool Relay::mayRunAgain(const Flight &flight, std::string_view alsoAt) const
{
    if (!flight.request.route->idempotent())
        return false;
    // Delisted endpoints do not count: the results of their attempts are lost.
    const auto isListed = [&](std::string_view each) { return m_fleet->find(each) != nullptr; };
    auto endpointCount = static_cast<std::uint32_t>(
        std::count_if(flight.mayHaveRunAt.begin(), flight.mayHaveRunAt.end(), isListed));
    const bool counted = std::find(flight.mayHaveRunAt.begin(), flight.mayHaveRunAt.end(), alsoAt)
                         != flight.mayHaveRunAt.end();
    if (!alsoAt.empty() && !counted && isListed(alsoAt))
        endpointCount += 1;
    return endpointCount < flight.request.route->maxAttempts;
}

/// The outcome of a flight that finishes without an answer.
FlightOutcome Relay::outcomeOf(const Flight &flight, FlightOutcome ifMayHaveRun)
{
    if (flight.eventsForwarded)
        return FlightOutcome::Truncated;
    return flight.mayHaveRunAt.empty() ? FlightOutcome::NotExecuted : ifMayHaveRun;
}

/// The sends of a started stream are limited only by the retry budget and by how long the caller
/// waits: engines that reject the stream did not execute it, and its caller cannot resume it.
bool Relay::sendLimitReached(const Flight &flight) const
{
    return !flight.eventsForwarded
           && flight.sends >= flight.request.route->maxAttempts + m_settings.extraSends;
}

/// New requests leave a reserve of retries to started streams. Engines without free memory
/// reject many new requests, which would use up the retries. The caller of a new request can
/// retry it, while a started stream is lost without a retry.
bool Relay::withdrawRetry(const Flight &flight, Time now)
{
    const bool hasStarted = flight.eventsForwarded || !flight.mayHaveRunAt.empty();
    const bool leavesReserve = service(flight).model && !hasStarted;
    return budget(flight).withdraw(now, leavesReserve ? m_settings.streamReserve : 0);
}

/// Repeats the request if its kind permits. \a faultyEndpoint is avoided; empty: none has failed.
void Relay::retry(FlightId id, Flight &flight, bool mayHaveRun, const std::string &faultyEndpoint,
                  Failure failure, Time now, RelayActions &actions)
{
    if (!faultyEndpoint.empty())
        flight.avoid.insert(faultyEndpoint);
    if (flight.repeatAt && flight.avoid.contains(flight.repeatAt->endpoint))
        flight.repeatAt.reset();
    flight.lastFailure = failure.end;
    flight.lastStatus = failure.status;
    if (mayHaveRun)
        recordPossibleRun(flight);
    endAttempt(flight);
    flight.waitingSince = now;
    flight.lastReason = failure.reason;
    if (!flight.mayHaveRunAt.empty() && !flight.repeatAt && !mayRunAgain(flight))
        return finish(id, FlightOutcome::Failed,
                      {EndCause::AttemptsUsed, std::move(failure.reason)}, now, actions);
    if (refuseIfPaused(id, flight, now, actions))
        return;
    if (sendLimitReached(flight))
        return finish(id, FlightOutcome::Failed,
                      {EndCause::SendLimit, failure.reason + "; send limit reached"}, now, actions);
    if (blockIfSuspected(id, flight, now, actions))
        return;
    if (!withdrawRetry(flight, now)) {
        m_counts.budgetExhausted += 1;
        failure.reason += "; retry budget exhausted";
        if (!flight.eventsForwarded)
            return finish(id, FlightOutcome::Failed,
                          {EndCause::RetryBudget, std::move(failure.reason)}, now, actions);
        // The caller waits some time for the next event, and the window may free a retry
        // meanwhile. Truncating the answer now would lose it for certain.
        flight.nextSendIsRetry = true;
        flight.lastReason = std::move(failure.reason);
        flight.waitCause = EndCause::RetryBudget;
        return;
    }
    m_counts.resent += 1;
    dispatch(id, flight, now, actions);
}

/// Finishes the flight without an answer, and abandons an attempt that is in progress. Whether the
/// caller may be told that the request was not executed follows from the attempts alone.
void Relay::finish(FlightId id, FlightOutcome ifMayHaveRun, Ending ending, Time now,
                   RelayActions &actions, std::optional<Duration> retryAfter)
{
    const auto it = m_flights.find(id);
    if (it == m_flights.end())
        return;
    abandonAttempt(id, it->second, now, actions);
    const FlightOutcome outcome = outcomeOf(it->second, ifMayHaveRun);
    Duration delay {};
    if (outcome == FlightOutcome::NotExecuted) {
        // Jitter: callers that are refused together do not retry together.
        std::uniform_real_distribution<double> spread(0.6, 1.4);
        delay = retryAfter.value_or(
            Duration(static_cast<std::int64_t>(m_settings.retryAfter.count() * spread(m_random))));
    }
    std::uint64_t RelayCounts::*const counters[] = {&RelayCounts::notExecuted, &RelayCounts::failed,
                                                    &RelayCounts::timedOut,
                                                    &RelayCounts::truncated};
    m_counts.*counters[static_cast<std::size_t>(outcome)] += 1;
    if (outcome == FlightOutcome::Truncated)
        m_counts.truncatedBy[static_cast<std::size_t>(ending.cause)] += 1;
    const Flight &flight = it->second;
    const FlightEnd end {ending.cause, flight.sends, flight.lastFailure, flight.lastStatus};
    m_admission.finished(id, now);
    m_flights.erase(it);
    actions.push_back(FinishFlight {id, outcome, delay, std::move(ending.reason), end});
}

void Relay::attemptFailed(FlightId id, std::uint32_t attempt, AttemptFailure failure, Time now,
                          RelayActions &actions)
{
    Flight *flight = inAttempt(id, attempt);
    if (!flight)
        return;
    if (failure == AttemptFailure::Withheld)
        return withhold(id, *flight, now, actions);
    if (failure == AttemptFailure::ForwarderLost)
        return forwarderLost(id, *flight, now, actions);
    if (failure == AttemptFailure::NotSent)
        return notSent(id, *flight, now, actions);
    m_engines.recordOutcome(flight->endpoint, true, now);
    recordBroken(*flight, now, actions);
    switch (failure) {
    case AttemptFailure::Broken:
        return retry(id, *flight, true, flight->endpoint,
                     {AttemptEnd::Broken, "connection broken by " + flight->endpoint}, now,
                     actions);
    case AttemptFailure::InvalidAnswer:
        return retry(id, *flight, true, flight->endpoint,
                     {AttemptEnd::InvalidAnswer, "invalid answer from " + flight->endpoint}, now,
                     actions);
    case AttemptFailure::NotSent:
    case AttemptFailure::Withheld:
    case AttemptFailure::ForwarderLost:
        return;
    }
}

void Relay::notSent(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    finishTrial(flight, TrialOutcome::NotSent, actions);
    Failure failure {AttemptEnd::NotSent, "request could not be sent to " + flight.endpoint};
    // Right after the loss, no other instance may be known that works: that says nothing of the
    // endpoint.
    if (flight.eventsForwarded && lostForwarderRecently(flight, now))
        return repeatLater(flight, std::move(failure), now);
    m_engines.recordOutcome(flight.endpoint, true, now);
    m_engines.suspect(flight.endpoint, now);
    retry(id, flight, false, flight.endpoint, std::move(failure), now, actions);
}

/// Chooses again for an attempt of which nothing was sent. The endpoint has not failed, and since
/// it received nothing, the next send is not a retry.
void Relay::withhold(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    m_counts.withheld += 1;
    finishTrial(flight, TrialOutcome::NotSent, actions);
    endAttempt(flight);
    flight.sends -= 1;
    flight.waitingSince = now;
    dispatch(id, flight, now, actions);
}

/// Repeats an attempt whose forwarding instance was lost. If this counted as a failure of the
/// endpoint, a stream would be cut after as many ends of instances as the route has attempts, and
/// the request would be suspected of crashing endpoints.
void Relay::forwarderLost(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    finishTrial(flight, TrialOutcome::Inconclusive, actions);
    recordAbandoned(flight, now);
    flight.forwarderLostAt = now;
    if (flight.request.route->idempotent())
        flight.repeatAt =
            flight.path.empty() ? PathPart {flight.endpoint, {}, {}} : flight.path.front();
    retry(id, flight, true, {},
          {AttemptEnd::BrokenOnWay,
           "the instance that forwarded to " + flight.endpoint + " was lost"},
          now, actions);
}

/// Whether the stream can only go on at the endpoint of its attempt, whose forwarding instance was
/// lost a moment ago.
bool Relay::canOnlyRepeat(const Flight &flight, Time now) const
{
    return flight.eventsForwarded && lostForwarderRecently(flight, now)
           && flight.repeatAt->endpoint == flight.endpoint && !mayRunAgain(flight);
}

bool Relay::lostForwarderRecently(const Flight &flight, Time now) const
{
    return flight.repeatAt && now - flight.forwarderLostAt < m_settings.resumeTimeout;
}

/// Sends the stream again a moment later. Other forwarding instances may be lost at the same
/// moment, and the endpoint may still hold the abandoned attempt.
void Relay::repeatLater(Flight &flight, Failure failure, Time now)
{
    // An attempt that was not sent did not use its retry.
    flight.nextSendIsRetry = failure.end != AttemptEnd::NotSent;
    flight.lastFailure = failure.end;
    flight.lastStatus = failure.status;
    flight.lastReason = std::move(failure.reason);
    flight.waitCause = EndCause::AttemptsUsed;
    endAttempt(flight);
    flight.waitingSince = now;
    flight.repeatAfter = now + m_settings.repeatInterval;
}

void Relay::handleRejection(FlightId id, Flight &flight, const AnswerHead &head, Time now,
                            RelayActions &actions)
{
    const FleetEndpoint *faulty = head.faultyAddress.empty()
                                      ? m_fleet->find(flight.endpoint)
                                      : m_fleet->findByAddress(head.faultyAddress);
    const std::string faultyEndpoint = faulty ? faulty->id : flight.endpoint;
    const bool stalled = now - flight.sentAt >= StalledRejection;
    if (stalled)
        recordStalled(flight, faultyEndpoint, now);
    if (stalled || (head.status == Misdirected && flight.path.empty()))
        m_engines.suspect(faultyEndpoint, now);
    else if (!head.announcement.retryAfter) {
        m_engines.refusedBusy(faultyEndpoint, now);
        m_admission.rejected(id, now);
    }
    std::string reason =
        "rejected by " + faultyEndpoint + " with status " + std::to_string(head.status);
    if (flight.trial.state == Trial::State::Sent) {
        finishTrial(flight, TrialOutcome::Inconclusive, actions);
        endAttempt(flight);
        flight.lastFailure = AttemptEnd::Rejected;
        flight.lastStatus = head.status;
        return finish(id, FlightOutcome::Failed, {EndCause::TrialRejected, std::move(reason)}, now,
                      actions);
    }
    Failure failure {AttemptEnd::Rejected, std::move(reason), head.status};
    if (canOnlyRepeat(flight, now))
        return repeatLater(flight, std::move(failure), now);
    retry(id, flight, false, faultyEndpoint, std::move(failure), now, actions);
}

void Relay::recordRateLimit(const Flight &flight, const AnswerHead &head, Time now)
{
    const FleetEndpoint *endpoint = m_fleet->find(flight.endpoint);
    const bool fromEndpoint = head.provenExecuted || head.notExecuted;
    if (endpoint && (fromEndpoint || head.rateLimit))
        m_limits.recordAnswer(*endpoint, head.rateLimit, now);
}

/// Records that the current attempt was answered, or ends without an answer.
void Relay::recordAnswered(Flight &flight, bool accepted)
{
    if (!std::exchange(flight.answered, true))
        m_pauses.recordResult(flight.endpoint, flight.sentAt, accepted);
}

/// Records what the endpoint that answered announced. If another engine of the path refused, the
/// announced pause holds for both: the answer does not say which one is meant.
void Relay::recordAnnouncement(const Flight &flight, const AnswerHead &head, Time now,
                               RelayActions &actions)
{
    endpointAnnounced(flight.endpoint, head.announcement, now, actions);
    const FleetEndpoint *faulty =
        head.faultyAddress.empty() ? nullptr : m_fleet->findByAddress(head.faultyAddress);
    if (head.announcement.retryAfter && faulty && faulty->id != flight.endpoint)
        m_pauses.recordRefusal(faulty->id, *head.announcement.retryAfter, now, m_random);
}

void Relay::endpointAnnounced(const std::string &endpoint, const Announcement &announcement,
                              Time now, RelayActions &actions)
{
    m_counts.retryAfterAnswers += announcement.retryAfter ? 1 : 0;
    m_counts.drainingAnswers += announcement.draining ? 1 : 0;
    if (announcement.retryAfter)
        m_pauses.recordRefusal(endpoint, *announcement.retryAfter, now, m_random);
    if (announcement.draining)
        markDraining(endpoint, actions);
}

void Relay::markDraining(const std::string &endpoint, RelayActions &actions)
{
    const FleetEndpoint *listed = m_fleet->find(endpoint);
    if (!listed || listed->draining)
        return;
    m_announcedExits.insert(endpoint);
    applyAnnouncedExits();
    actions.push_back(ReportDraining {endpoint});
}

/// Marks the endpoints that announced their exit as draining.
void Relay::applyAnnouncedExits()
{
    if (m_announcedExits.empty())
        return;
    auto fleet = std::make_shared<FleetSnapshot>(*m_fleet);
    for (FleetEndpoint &each : fleet->endpoints)
        each.draining = each.draining || m_announcedExits.contains(each.id);
    m_fleet = std::move(fleet);
}

bool Relay::answered(FlightId id, std::uint32_t attempt, const AnswerHead &head, Time now,
                     RelayActions &actions)
{
    Flight *flight = inAttempt(id, attempt);
    if (!flight)
        return false;
    m_engines.recordAnswer(flight->endpoint, now);
    m_quarantine.endpointSentData(flight->endpoint, now);
    recordRateLimit(*flight, head, now);
    recordAnnouncement(*flight, head, now, actions);
    recordAnswered(*flight, head.provenExecuted && !head.notExecuted);
    if (head.running && !flight->path.empty())
        m_engines.updateWorkRatio(flight->endpoint, flight->domain, *head.running);
    if (head.notExecuted || head.status == Misdirected) {
        handleRejection(id, *flight, head, now, actions);
        return false;
    }
    if (!head.provenExecuted) {
        m_engines.recordOutcome(flight->endpoint, true, now);
        retry(id, *flight, true, flight->endpoint,
              {AttemptEnd::NoProof, "answer without proof of execution from " + flight->endpoint,
               head.status},
              now, actions);
        return false;
    }
    const bool failed = head.status >= FirstServerError;
    const bool stream = flight->request.route->kind == RequestKind::Stream;
    m_engines.recordOutcome(flight->endpoint, failed, now);
    if (failed && mayRunAgain(*flight) && flight->request.route->maxAttempts > 1
        && flight->sends < flight->request.route->maxAttempts) {
        actions.push_back(AbandonAttempt {id, attempt});
        retry(id, *flight, true, flight->endpoint,
              {AttemptEnd::ServerError, "server error from " + flight->endpoint, head.status}, now,
              actions);
        return false;
    }
    if (stream && head.status == Ok) {
        for (const PathPart &part : flight->path)
            m_engines.resetRefusals(part.endpoint);
        flight->state = State::Streaming;
        return true;
    }
    // The caller has received the head and events of an earlier attempt. Only truncation can
    // report a failure after them.
    if (flight->eventsForwarded) {
        endAttempt(*flight);
        flight->lastFailure = AttemptEnd::ServerError;
        flight->lastStatus = head.status;
        finish(id, FlightOutcome::Failed,
               {EndCause::ServerError, "server error from " + flight->endpoint}, now, actions);
        return false;
    }
    forwardAnswer(id, *flight, !failed, now, actions);
    return false;
}

void Relay::forwardAnswer(FlightId id, Flight &flight, bool succeeded, Time now,
                          RelayActions &actions)
{
    if (succeeded)
        recordSuccess(flight, now);
    finishTrial(flight, succeeded ? TrialOutcome::Succeeded : TrialOutcome::Inconclusive, actions);
    endAttempt(flight);
    m_admission.started(id, now - flight.submittedAt, now);
    m_admission.finished(id, now);
    m_flights.erase(id);
    m_counts.passed += 1;
    actions.push_back(ForwardAnswer {id});
}

void Relay::eventsForwarded(FlightId id, std::uint32_t attempt,
                            std::optional<std::uint64_t> lastEvent, Time now, RelayActions &actions)
{
    Flight *flight = inAttempt(id, attempt);
    if (!flight)
        return;
    if (!std::exchange(flight->eventsForwarded, true))
        m_admission.started(id, now - flight->submittedAt, now);
    flight->progressAt = now;
    recordProgress(*flight, now, actions);
    if (lastEvent)
        flight->lastEvent = lastEvent;
}

void Relay::streamCompleted(FlightId id, std::uint32_t attempt, Time now, RelayActions &actions)
{
    Flight *flight = inAttempt(id, attempt);
    if (!flight)
        return;
    forwardAnswer(id, *flight, true, now, actions);
}

void Relay::finishAll(const std::string &reason, Time now, RelayActions &actions)
{
    std::vector<FlightId> ids;
    for (const auto &[id, flight] : m_flights)
        ids.push_back(id);
    for (const FlightId id : ids)
        finish(id, FlightOutcome::Failed, {EndCause::Stopping, reason}, now, actions);
}

void Relay::callerGone(FlightId id, Time now, RelayActions &actions)
{
    const auto it = m_flights.find(id);
    if (it == m_flights.end())
        return;
    abandonAttempt(id, it->second, now, actions);
    m_admission.finished(id, now);
    m_flights.erase(it);
}

std::optional<std::uint64_t> Relay::lastEvent(FlightId id) const
{
    const auto it = m_flights.find(id);
    return it == m_flights.end() ? std::nullopt : it->second.lastEvent;
}

std::uint32_t Relay::sends(FlightId id) const
{
    const auto it = m_flights.find(id);
    return it == m_flights.end() ? 0 : it->second.sends;
}

bool Relay::maySend(FlightId id, std::uint32_t attempt, Time now) const
{
    const Flight *flight = inAttempt(id, attempt);
    if (!flight || now >= flight->deadline || !mayRun(*flight, now))
        return false;
    return acceptsRequests(flight->endpoint, now)
           && std::all_of(flight->path.begin(), flight->path.end(),
                          [&](const PathPart &part) { return isActive(part.endpoint); });
}

/// Whether the endpoint is listed and not about to exit.
bool Relay::isActive(const std::string &endpoint) const
{
    const FleetEndpoint *listed = m_fleet->find(endpoint);
    return listed && !listed->draining;
}

bool Relay::acceptsRequests(const std::string &endpoint, Time now) const
{
    return isActive(endpoint) && !m_pauses.isPaused(endpoint, now);
}

} // namespace balsamloft
