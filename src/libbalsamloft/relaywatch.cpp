// The part of Relay that detects unresponsive endpoints and moves their requests.

#include <balsamloft/relay.h>

#include <algorithm>

namespace balsamloft {

/// The first engine on the flight's path that is suspected or no longer listed. Without a path: the
/// flight's plain endpoint if it is suspected.
std::optional<std::string> Relay::firstSuspect(const Flight &flight, Time now) const
{
    if (flight.path.empty())
        return m_engines.suspected(flight.endpoint, now) ? std::make_optional(flight.endpoint)
                                                         : std::nullopt;
    const auto found =
        std::find_if(flight.path.begin(), flight.path.end(), [&](const PathPart &part) {
            return m_engines.suspected(part.endpoint, now) || !m_fleet->find(part.endpoint);
        });
    return found == flight.path.end() ? std::nullopt : std::make_optional(found->endpoint);
}

/// The pause until the next event that is normal on the flight's path.
Duration Relay::expectedPause(const Flight &flight)
{
    return flight.state == State::Streaming ? flight.expectedEventInterval
                                            : flight.expectedFirstEvent;
}

void Relay::queryEngine(const std::string &endpoint, Time now, RelayActions &actions)
{
    const auto [it, inserted] = m_queriedAt.try_emplace(endpoint, now);
    if (!inserted && now - it->second < m_settings.queryInterval)
        return;
    it->second = now;
    if (const FleetEndpoint *found = m_fleet->find(endpoint))
        actions.push_back(QueryEngine {endpoint, found->address});
}

void Relay::queryAnswered(const std::string &endpoint, const std::vector<std::string> &stalledAt,
                          double slowdown, Time now, RelayActions &actions)
{
    m_engines.recordAnswer(endpoint, now);
    m_engines.setSlowdown(endpoint, slowdown, now);
    for (const std::string &address : stalledAt)
        if (const FleetEndpoint *found = m_fleet->findByAddress(address))
            m_engines.suspect(found->id, now);
    tick(now, actions);
}

void Relay::applyEngineReports(const EngineReports &reports, Time now, RelayActions &actions)
{
    for (const EngineState &state : reports.changed) {
        if (!m_fleet->find(state.id))
            continue;
        m_engines.reported(state, now);
        if (state.silent)
            m_quarantine.endpointUnresponsive(state.id, state.at);
    }
    for (const FleetEndpoint &each : m_fleet->endpoints)
        if (const auto asOf = reports.asOf.find(each.domain); asOf != reports.asOf.end())
            m_engines.confirmUnchanged(each.id, asOf->second, now);
    tick(now, actions);
}

void Relay::queryFailed(const std::string &endpoint, Time now, RelayActions &actions, bool refused)
{
    m_engines.suspect(endpoint, now);
    if (refused)
        m_quarantine.endpointCrashed(endpoint, now);
    tick(now, actions);
}

void Relay::connectionLost(FlightId id, std::uint32_t attempt, Time now, RelayActions &actions)
{
    Flight *flight = inAttempt(id, attempt);
    if (!flight || !flight->request.route->idempotent())
        return;
    if (now - flight->progressAt >= m_settings.suspectPause + expectedPause(*flight)
        && worthMoving(*flight, now))
        abandonAndRetry(id, *flight,
                        {AttemptEnd::LinkBroken, "the link to " + flight->endpoint + " is broken"},
                        now, actions);
}

void Relay::setFleet(FleetPtr fleet, Time now, RelayActions &actions)
{
    m_fleet = std::move(fleet);
    std::erase_if(m_announcedExits, [&](const std::string &id) {
        const FleetEndpoint *listed = m_fleet->find(id);
        return !listed || listed->draining;
    });
    applyAnnouncedExits();
    m_engines.removeUnlisted(*m_fleet);
    m_limits.removeUnlisted(*m_fleet);
    std::erase_if(m_queriedAt, [&](const auto &each) { return !m_fleet->find(each.first); });
    resolveUnconfirmed(now);
    tick(now, actions);
}

/// Discounts the time by which this tick is late. Otherwise all streams would seem to have paused
/// for that time, and all their engines would be suspected. The usual interval still counts, so a
/// process that is always late detects dead engines later, but does detect them.
void Relay::discountPause(Time now)
{
    const Duration interval = now - m_lastTick;
    const Duration late = interval - m_settings.tickInterval;
    if (m_lastTick != Time {} && interval > m_settings.maxTickInterval)
        for (auto &[id, flight] : m_flights) {
            flight.sentAt += std::min(late, now - flight.sentAt);
            flight.progressAt += std::min(late, now - flight.progressAt);
        }
    m_lastTick = m_flights.empty() ? Time {} : now;
}

void Relay::tick(Time now, RelayActions &actions)
{
    discountPause(now);
    dispatchAdmitted(now, actions);
    for (const FlightId id : flightIds()) {
        const auto it = m_flights.find(id);
        if (it != m_flights.end())
            watch(id, it->second, now, actions);
    }
    m_pauses.removeEnded(now);
    queryUnconfirmed(now, actions);
    publishCrashes(now, actions);
}

void Relay::watch(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (now >= flight.deadline)
        return finish(id, FlightOutcome::TimedOut, {EndCause::Deadline, "deadline exceeded"}, now,
                      actions);
    if (flight.awaitsAdmission || abandonSuspectedAttempt(id, flight, now, actions))
        return;
    if (flight.state == State::Waiting)
        return watchWaiting(id, flight, now, actions);
    if (service(flight).model)
        return watchStream(id, flight, now, actions);
    if (flight.request.route->idempotent() && now - flight.sentAt >= m_settings.callAttemptTimeout
        && flight.sends < flight.request.route->maxAttempts && mayRunAgain(flight))
        abandonAndRetry(id, flight, {AttemptEnd::NoAnswer, "no answer from " + flight.endpoint},
                        now, actions);
}

/// How long the flight waits for an endpoint before it is refused.
Duration Relay::maxWait(const Flight &flight) const
{
    const double share =
        service(flight).model ? m_settings.streamWaitShare : m_settings.callWaitShare;
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(flight.request.route->targetLatency.count()) * share));
}

void Relay::watchWaiting(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    dispatch(id, flight, now, actions);
    const auto it = m_flights.find(id);
    if (it == m_flights.end() || it->second.state != State::Waiting)
        return;
    const Duration waited = now - flight.waitingSince;
    const Duration paused = now - flight.progressAt;
    const bool expired = flight.eventsForwarded         ? paused >= m_settings.resumeTimeout
                         : !flight.mayHaveRunAt.empty() ? paused >= m_settings.rerunTimeout
                                                        : waited >= maxWait(flight);
    if (!expired)
        return;
    finish(id, FlightOutcome::Failed, {flight.waitCause, waitReason(flight)}, now, actions);
}

/// Why a flight waits. What a suspicion holds back keeps the reason of its last attempt, which
/// tells where the suspicion comes from; a flight that was never sent has no such reason.
std::string Relay::waitReason(const Flight &flight)
{
    std::string_view suspicion;
    if (flight.waitCause == EndCause::AwaitsConfirmation)
        suspicion = "a crash under the same request or prompt part is not confirmed yet";
    else if (flight.waitCause == EndCause::AwaitsPermit)
        suspicion = "no answer to the request for a trial permit yet";
    std::string reason = flight.lastReason;
    if (!suspicion.empty())
        reason.append(reason.empty() ? "" : "; ").append(suspicion);
    return reason;
}

void Relay::abandonAndRetry(FlightId id, Flight &flight, Failure failure, Time now,
                            RelayActions &actions)
{
    abandonAttempt(id, flight, now, actions);
    const std::string faultyEndpoint = flight.endpoint;
    retry(id, flight, true, faultyEndpoint, std::move(failure), now, actions);
}

/// Whether the flight should be abandoned and retried. A started stream is only moved if there is
/// a retry and a path for it: without them it would be lost, while waiting may help if its engine
/// is only slow or another path appears. A request without events is moved or refused at once.
bool Relay::worthMoving(const Flight &flight, Time now)
{
    if (!flight.eventsForwarded)
        return true;
    if (!mayRunAgain(flight, flight.endpoint) || !budget(flight).canWithdraw(now))
        return false;
    std::set<std::string> without = flight.avoid;
    without.insert(flight.endpoint);
    const auto path = findPath(flight, without, now);
    return path && !path->full;
}

void Relay::watchStream(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (flight.pathChangeSentAt) {
        if (now - *flight.pathChangeSentAt >= m_settings.pathChangeTimeout)
            pathNotChanged(id, flight, now, actions);
        return;
    }
    const Duration pause = now - flight.progressAt;
    const Duration expected = expectedPause(flight);
    const std::optional<std::string> suspectedEngine = firstSuspect(flight, now);
    const bool idempotent = flight.request.route->idempotent();
    if (suspectedEngine && pause >= m_settings.suspectPause + expected) {
        recordStalled(flight, *suspectedEngine, now);
        flight.lastReason = "an engine of the path does not answer";
        if (changePath(id, flight, now, actions))
            return;
        if (idempotent && worthMoving(flight, now))
            return abandonAndRetry(id, flight, {AttemptEnd::Stalled, flight.lastReason}, now,
                                   actions);
    }
    // A request without events may be queued at a busy engine. If moved, it would be queued again
    // elsewhere and use a retry, so its timeout is longer.
    const Duration timeout =
        flight.state == State::Streaming ? m_settings.stallTimeout : m_settings.startTimeout;
    if (idempotent && pause >= timeout + expected && worthMoving(flight, now))
        return abandonAndRetry(id, flight, {AttemptEnd::Stalled, "stream stalled"}, now, actions);
    const auto queryPause =
        Duration(static_cast<std::int64_t>(expected.count() * m_settings.queryAfterPauses));
    if (pause >= std::max(m_settings.queryAfterPause, queryPause))
        queryEngine(flight.endpoint, now, actions);
}

} // namespace balsamloft
