#include <balsamloft/relay.h>

#include <algorithm>

namespace balsamloft {

namespace {

/// Statuses with which an endpoint refuses before it runs anything.
constexpr int Misdirected = 421;
constexpr int FirstServerError = 500;

/// A refusal that took this long was no lack of room: the engine at fault is dead.
constexpr Duration StallRefusal {1'000'000};

/// Share of the slack that an earlier process of this instance may just have spent.
constexpr double SpentBefore = 0.8;

/// Instances that share the slack, until their number is known.
constexpr std::size_t UnknownInstances = 8;

} // namespace

Relay::Relay(RelaySettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
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
    settings.spentBefore = settings.slack * SpentBefore;
    return m_budgets.try_emplace(name, settings).first->second;
}

/// Those who left had their share in the same window: were it given out again at
/// once, a rolling restart would let all together spend it twice. So the slack
/// is divided by the most instances that were known in the last window.
double Relay::slackShare() const
{
    std::size_t most = m_instanceCounts.empty() ? UnknownInstances : 1;
    for (const auto &[at, count] : m_instanceCounts)
        most = std::max(most, count);
    return m_settings.retrySlack / static_cast<double>(most);
}

void Relay::setInstances(std::size_t inDomain, std::size_t all, Time now)
{
    m_book.setSharingInstances(static_cast<double>(inDomain));
    m_book.setInstances(static_cast<double>(all));
    // The last count before the window still held in its beginning.
    while (m_instanceCounts.size() > 1
           && now - m_instanceCounts[1].first > m_settings.retryWindow * 6 / 5)
        m_instanceCounts.pop_front();
    m_instanceCounts.emplace_back(now, all);
    for (auto &[name, budget] : m_budgets)
        budget.setSlack(slackShare());
}

void Relay::shareLimits(std::span<const PeerInstance> all, const std::string &self, Duration clock,
                        Time now)
{
    m_limits.setClockOffset(clock);
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

Relay::Flight *Relay::current(FlightId id, std::uint32_t attempt)
{
    const auto it = m_flights.find(id);
    return it == m_flights.end() || it->second.attempt != attempt
                   || it->second.state == State::Waiting
               ? nullptr
               : &it->second;
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
    flight.waitingSince = now;
    flight.deadline = now + std::min(flight.request.timeLeft, flight.request.route->timeout);
    m_counts.submitted += 1;
    budget(flight).requestStarted(now);
    dispatch(id, flight, now, actions);
    return id;
}

double Relay::ownNeed(const Flight &flight, const PathPart &part) const
{
    return static_cast<double>(flight.request.promptTokens + flight.request.answerTokens)
           * part.layers.length();
}

/// Endpoints of the flight's service to which nothing may be sent now for their rate limits.
std::set<std::string> Relay::beyondLimit(const Flight &flight, Time now)
{
    std::set<std::string> closed = m_limits.closed(now);
    std::erase_if(closed, [&](const std::string &id) {
        const FleetEndpoint *endpoint = m_fleet->find(id);
        return !endpoint || endpoint->service != service(flight).name;
    });
    m_counts.rateLimitSkips += closed.empty() ? 0 : 1;
    return closed;
}

/// A path, without the engines \a without if there is one.
std::optional<EnginePath> Relay::findPath(const Flight &flight,
                                          const std::set<std::string> &without, Time now)
{
    PathQuery query;
    query.domain = m_settings.domain;
    query.promptTokens = flight.request.promptTokens;
    query.answerTokens = flight.request.answerTokens;
    query.excluded = &without;
    query.firstPart = flight.trial.state == Trial::State::Granted && flight.trial.first
                          ? &*flight.trial.first
                          : nullptr;
    query.minCostNoise = flight.cutEarly ? m_settings.rerouteSpread : 0;
    const std::set<std::string> closed = beyondLimit(flight, now);
    query.excludedAsFirst = &closed;
    auto path = m_chooser.choose(*m_fleet, service(flight), m_book, query, now, m_random);
    if (!path && !without.empty()) {
        // Rather an engine that failed it once than none at all.
        query.excluded = nullptr;
        path = m_chooser.choose(*m_fleet, service(flight), m_book, query, now, m_random);
    }
    return path;
}

bool Relay::choosePath(Flight &flight, Time now, SendRequest &send)
{
    auto path = findPath(flight, notToUse(flight), now);
    if (!path) {
        flight.lastReason = "no path over all layers";
        return false;
    }
    if (path->full) {
        flight.lastReason = "no room on any path";
        return false;
    }
    send.endpoint = path->parts.front().endpoint;
    send.name = m_fleet->find(send.endpoint)->name;
    send.address = path->parts.front().address;
    send.path = std::move(path->parts);
    expect(flight, *path);
    return true;
}

void Relay::expect(Flight &flight, const EnginePath &path)
{
    flight.domain = path.domain;
    flight.expectedGap = Duration(static_cast<std::int64_t>(path.eventIntervalMs * 1000));
    flight.expectedFirst = Duration(static_cast<std::int64_t>(path.firstEventMs * 1000));
}

double Relay::endpointCost(const FleetEndpoint &endpoint, const std::set<std::string> &avoid,
                           Time now)
{
    const EngineEstimate *belief = m_book.find(endpoint.id);
    std::uniform_real_distribution<double> noise(0, 0.1);
    double cost = noise(m_random) + 4 * m_book.failureShare(endpoint.id, now);
    if (belief)
        cost += static_cast<double>(belief->ownRequests) / std::max(1U, endpoint.slots)
                * m_book.workRatio(endpoint.domain);
    if (endpoint.domain != m_settings.domain)
        cost += 0.4;
    if (!m_book.usable(endpoint.id, now))
        cost += 10;
    if (avoid.contains(endpoint.id))
        cost += 20;
    return cost;
}

/// Endpoints that failed the flight, or where something else is tried.
std::set<std::string> Relay::notToUse(const Flight &flight)
{
    std::set<std::string> all = flight.avoid;
    all.insert(flight.trial.taken.begin(), flight.trial.taken.end());
    return all;
}

bool Relay::choose(Flight &flight, Time now, SendRequest &send)
{
    return service(flight).model ? choosePath(flight, now, send)
                                 : chooseEndpoint(flight, now, send);
}

bool Relay::chooseEndpoint(Flight &flight, Time now, SendRequest &send)
{
    const FleetEndpoint *best = nullptr;
    double bestCost = 0;
    const std::set<std::string> avoid = notToUse(flight);
    const std::set<std::string> closed = beyondLimit(flight, now);
    const bool bound = flight.trial.state == Trial::State::Granted;
    for (const FleetEndpoint &each : m_fleet->endpoints) {
        if (each.service != service(flight).name || each.draining
            || (bound && each.id != flight.trial.endpoint) || closed.contains(each.id))
            continue;
        const double cost = endpointCost(each, avoid, now);
        if (!best || cost < bestCost) {
            best = &each;
            bestCost = cost;
        }
    }
    if (!best || avoid.contains(best->id)) {
        flight.lastReason = best             ? "all endpoints failed it"
                            : closed.empty() ? "no endpoint"
                                             : "no endpoint within its rate limit";
        return false;
    }
    send.endpoint = best->id;
    send.name = best->name;
    send.address = best->address;
    flight.domain = best->domain;
    return true;
}

void Relay::sent(Flight &flight, const SendRequest &send, Time now)
{
    m_limits.sent(send.endpoint, now);
    flight.state = State::Sent;
    flight.sends += 1;
    flight.endpoint = send.endpoint;
    flight.path = send.path;
    flight.sentAt = now;
    flight.progressAt = now;
    flight.pathAskedAt.reset();
    flight.pathChanges = 0;
    flight.firstEventAt.reset();
    occupy(flight);
    crossDomains(flight, now);
}

/// What the request's prompt and answer take of the pipes between domains.
void Relay::crossDomains(const Flight &flight, Time now)
{
    const auto &model = service(flight).model;
    if (!model)
        return;
    const double pipeMs =
        model->crossingMs(flight.request.promptTokens + flight.request.answerTokens);
    const FleetEndpoint *from = nullptr;
    for (const PathPart &part : flight.path) {
        const FleetEndpoint *to = m_fleet->find(part.endpoint);
        if (from && to && from->domain != to->domain)
            m_book.recordTransfer(from->domain, to->domain, pipeMs, now);
        from = to;
    }
}

void Relay::occupy(const Flight &flight)
{
    if (flight.path.empty())
        m_book.requestStarted(flight.endpoint, 0, true);
    for (const PathPart &part : flight.path)
        m_book.requestStarted(part.endpoint, ownNeed(flight, part),
                              part.endpoint == flight.endpoint);
}

void Relay::vacate(const Flight &flight)
{
    if (flight.path.empty())
        m_book.requestFinished(flight.endpoint, 0, true);
    for (const PathPart &part : flight.path)
        m_book.requestFinished(part.endpoint, ownNeed(flight, part),
                               part.endpoint == flight.endpoint);
}

void Relay::release(Flight &flight)
{
    if (flight.state == State::Waiting)
        return;
    vacate(flight);
    flight.path.clear();
    flight.state = State::Waiting;
}

void Relay::dispatch(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (now >= flight.deadline)
        return end(id, endOf(flight, FlightOutcome::TimedOut), "no time left", actions);
    if (holdBack(id, flight, now, actions))
        return;
    // Asked at each tick while it waits: no path is looked for that cannot be paid.
    if (flight.repeatOwed && !budget(flight).canWithdraw(now))
        return;
    SendRequest send;
    if (!choose(flight, now, send))
        return endTrial(flight, TrialOutcome::NotSent, actions);
    if (flight.repeatOwed && !payRepeat(flight, now))
        return;
    flight.repeatOwed = false;
    send.flight = id;
    send.attempt = ++flight.attempt;
    send.timeLeft = flight.deadline - now;
    send.afterEvent = flight.lastEvent;
    send.freshConnection = !flight.request.route->idempotent();
    send.reason = flight.sends == 0 ? "first attempt" : flight.lastReason;
    sent(flight, send, now);
    if (flight.trial.state == Trial::State::Granted)
        flight.trial.state = Trial::State::Sent;
    actions.push_back(std::move(send));
}

/// \a alsoAt: an endpoint that counts as one where it ran.
bool Relay::mayRunAgain(const Flight &flight, std::string_view alsoAt) const
{
    if (!flight.request.route->idempotent())
        return false;
    // Endpoints that are gone do not count: what they ran is lost in any case.
    const auto alive = [&](std::string_view each) { return m_fleet->find(each) != nullptr; };
    auto ran =
        static_cast<std::uint32_t>(std::count_if(flight.ranAt.begin(), flight.ranAt.end(), alive));
    const bool counted =
        std::find(flight.ranAt.begin(), flight.ranAt.end(), alsoAt) != flight.ranAt.end();
    if (!alsoAt.empty() && !counted && alive(alsoAt))
        ran += 1;
    return ran < flight.request.route->maxAttempts;
}

FlightOutcome Relay::endOf(const Flight &flight, FlightOutcome ran)
{
    if (flight.passing)
        return FlightOutcome::Truncated;
    return flight.ranAt.empty() ? FlightOutcome::NotRun : ran;
}

/// A stream that has begun is bounded by the repeats and its caller's patience alone:
/// engines that reject it did not run it, and nothing else is left to its caller.
bool Relay::sentOftenEnough(const Flight &flight) const
{
    return !flight.passing
           && flight.sends >= flight.request.route->maxAttempts + m_settings.extraSends;
}

/// Engines without room reject one new request after another, and these would spend
/// all repeats before a stream needs one. A new request that is refused can come
/// back; a stream that has begun is lost. So new ones leave some for those.
bool Relay::payRepeat(const Flight &flight, Time now)
{
    const bool begun = flight.passing || !flight.ranAt.empty();
    const bool yields = service(flight).model && !begun;
    return budget(flight).withdraw(now, yields ? m_settings.streamReserve : 0);
}

void Relay::again(FlightId id, Flight &flight, bool ran, const std::string &culprit,
                  std::string reason, Time now, RelayActions &actions)
{
    flight.avoid.insert(culprit);
    if (ran
        && std::find(flight.ranAt.begin(), flight.ranAt.end(), flight.endpoint)
               == flight.ranAt.end())
        flight.ranAt.push_back(flight.endpoint);
    release(flight);
    flight.waitingSince = now;
    flight.lastReason = reason;
    const FlightOutcome how = endOf(flight, FlightOutcome::Failed);
    if (!flight.ranAt.empty() && !mayRunAgain(flight))
        return end(id, how, std::move(reason), actions);
    if (sentOftenEnough(flight))
        return end(id, how, reason + "; sent often enough", actions);
    if (holdBack(id, flight, now, actions))
        return;
    if (!payRepeat(flight, now)) {
        m_counts.budgetExhausted += 1;
        reason += "; no budget to send it again";
        if (!flight.passing)
            return end(id, how, std::move(reason), actions);
        // Its caller waits a while for the next event anyway, and repeats come back
        // as the window moves on; broken off now, the answer would be lost for sure.
        flight.repeatOwed = true;
        flight.lastReason = std::move(reason);
        return;
    }
    m_counts.resent += 1;
    dispatch(id, flight, now, actions);
}

void Relay::end(FlightId id, FlightOutcome how, std::string reason, RelayActions &actions,
                std::optional<Duration> retryAfter)
{
    const auto it = m_flights.find(id);
    if (it == m_flights.end())
        return;
    release(it->second);
    Duration wait {};
    if (how == FlightOutcome::NotRun) {
        // Spread, so that those refused together do not come back together.
        std::uniform_real_distribution<double> spread(0.6, 1.4);
        wait = retryAfter.value_or(
            Duration(static_cast<std::int64_t>(m_settings.retryAfter.count() * spread(m_random))));
    }
    std::uint64_t RelayCounts::*const counters[] = {&RelayCounts::notRun, &RelayCounts::failed,
                                                    &RelayCounts::timedOut,
                                                    &RelayCounts::truncated};
    m_counts.*counters[static_cast<std::size_t>(how)] += 1;
    m_flights.erase(it);
    actions.push_back(FinishFlight {id, how, wait, std::move(reason)});
}

void Relay::attemptFailed(FlightId id, std::uint32_t attempt, AttemptFailure failure, Time now,
                          RelayActions &actions)
{
    Flight *flight = current(id, attempt);
    if (!flight)
        return;
    m_book.recordOutcome(flight->endpoint, true, now);
    if (failure != AttemptFailure::NotSent)
        noteBrokenOff(*flight, now, actions);
    switch (failure) {
    case AttemptFailure::NotSent:
        endTrial(*flight, TrialOutcome::NotSent, actions);
        m_book.suspect(flight->endpoint, now);
        return again(id, *flight, false, flight->endpoint, "not reached: " + flight->endpoint, now,
                     actions);
    case AttemptFailure::Broken:
        return again(id, *flight, true, flight->endpoint, "broken off by " + flight->endpoint, now,
                     actions);
    case AttemptFailure::InvalidAnswer:
        return again(id, *flight, true, flight->endpoint, "bad answer of " + flight->endpoint, now,
                     actions);
    }
}

void Relay::rejected(FlightId id, Flight &flight, const AnswerHead &head, Time now,
                     RelayActions &actions)
{
    const FleetEndpoint *atFault = head.atAddress.empty() ? m_fleet->find(flight.endpoint)
                                                          : m_fleet->findByAddress(head.atAddress);
    const std::string culprit = atFault ? atFault->id : flight.endpoint;
    const bool dead = now - flight.sentAt >= StallRefusal;
    if (dead)
        noteStalled(flight, culprit, now);
    if (dead || (head.status == Misdirected && flight.path.empty()))
        m_book.suspect(culprit, now);
    else
        m_book.refusedBusy(culprit, now);
    std::string reason = "refused by " + culprit + " with " + std::to_string(head.status);
    if (flight.trial.state == Trial::State::Sent) {
        endTrial(flight, TrialOutcome::Inconclusive, actions);
        return end(id, endOf(flight, FlightOutcome::Failed), std::move(reason), actions);
    }
    again(id, flight, false, culprit, std::move(reason), now, actions);
}

void Relay::noteLimit(const Flight &flight, const AnswerHead &head, Time now)
{
    const FleetEndpoint *endpoint = m_fleet->find(flight.endpoint);
    const bool ownWord = head.provenExecuted || head.notExecuted;
    if (endpoint && (ownWord || head.rateLimit))
        m_limits.answered(*endpoint, head.rateLimit, now);
}

bool Relay::answered(FlightId id, std::uint32_t attempt, const AnswerHead &head, Time now,
                     RelayActions &actions)
{
    Flight *flight = current(id, attempt);
    if (!flight)
        return false;
    m_book.recordAnswer(flight->endpoint, now);
    m_quarantine.endpointSentData(flight->endpoint, now);
    noteLimit(*flight, head, now);
    if (head.running && !flight->path.empty())
        m_book.updateWorkRatio(flight->endpoint, flight->domain, *head.running);
    if (head.notExecuted || head.status == Misdirected) {
        rejected(id, *flight, head, now, actions);
        return false;
    }
    if (!head.provenExecuted) {
        m_book.recordOutcome(flight->endpoint, true, now);
        again(id, *flight, true, flight->endpoint, "unsealed answer of " + flight->endpoint, now,
              actions);
        return false;
    }
    const bool failed = head.status >= FirstServerError;
    const bool stream = flight->request.route->kind == RequestKind::Stream;
    m_book.recordOutcome(flight->endpoint, failed, now);
    if (failed && mayRunAgain(*flight) && flight->request.route->maxAttempts > 1
        && flight->sends < flight->request.route->maxAttempts) {
        actions.push_back(AbandonAttempt {id, attempt});
        again(id, *flight, true, flight->endpoint, "failure of " + flight->endpoint, now, actions);
        return false;
    }
    if (stream && !failed) {
        for (const PathPart &part : flight->path)
            m_book.resetRefusals(part.endpoint);
        flight->state = State::Streaming;
        return true;
    }
    // The caller has the head and events of an earlier attempt: a failure after
    // them can only be shown by breaking off.
    if (flight->passing) {
        end(id, FlightOutcome::Truncated, "failure of " + flight->endpoint, actions);
        return false;
    }
    passAnswer(id, *flight, !failed, now, actions);
    return false;
}

void Relay::passAnswer(FlightId id, Flight &flight, bool ranWell, Time now, RelayActions &actions)
{
    if (ranWell)
        m_quarantine.requestSucceeded(flight.request.digest, now);
    endTrial(flight, ranWell ? TrialOutcome::Succeeded : TrialOutcome::Inconclusive, actions);
    release(flight);
    m_flights.erase(id);
    m_counts.passed += 1;
    actions.push_back(PassAnswer {id});
}

void Relay::eventsPassed(FlightId id, std::uint32_t attempt, std::optional<std::uint64_t> lastEvent,
                         Time now, RelayActions &actions)
{
    Flight *flight = current(id, attempt);
    if (!flight)
        return;
    flight->passing = true;
    flight->progressAt = now;
    noteProgress(*flight, now, actions);
    if (lastEvent)
        flight->lastEvent = lastEvent;
}

void Relay::streamCompleted(FlightId id, std::uint32_t attempt, Time now, RelayActions &actions)
{
    Flight *flight = current(id, attempt);
    if (!flight)
        return;
    passAnswer(id, *flight, true, now, actions);
}

void Relay::callerGone(FlightId id, Time now, RelayActions &actions)
{
    const auto it = m_flights.find(id);
    if (it == m_flights.end())
        return;
    const std::uint32_t attempt = it->second.attempt;
    const bool sent = it->second.state != State::Waiting;
    if (sent)
        noteGivenUp(it->second, now);
    release(it->second);
    m_flights.erase(it);
    if (sent)
        actions.push_back(AbandonAttempt {id, attempt});
}

std::optional<std::uint64_t> Relay::lastEvent(FlightId id) const
{
    const auto it = m_flights.find(id);
    return it == m_flights.end() ? std::nullopt : it->second.lastEvent;
}

bool Relay::maySend(FlightId id, std::uint32_t attempt, Time now) const
{
    const auto it = m_flights.find(id);
    if (it == m_flights.end() || it->second.attempt != attempt || now >= it->second.deadline)
        return false;
    const auto stays = [this](const std::string &id) {
        const FleetEndpoint *endpoint = m_fleet->find(id);
        return endpoint && !endpoint->draining;
    };
    const Flight &flight = it->second;
    if (!mayRun(flight, now))
        return false;
    return stays(flight.endpoint)
           && std::all_of(flight.path.begin(), flight.path.end(),
                          [&](const PathPart &part) { return stays(part.endpoint); });
}

} // namespace balsamloft
