// The part of Relay that notices silence, and what is done about it.

#include <balsamloft/relay.h>

#include <algorithm>

namespace balsamloft {

/// The first endpoint on the flight's way that does not answer or is gone.
std::optional<std::string> Relay::firstSuspect(const Flight &flight, Time now) const
{
    if (flight.path.empty())
        return m_book.suspected(flight.endpoint, now) ? std::make_optional(flight.endpoint)
                                                      : std::nullopt;
    const auto found =
        std::find_if(flight.path.begin(), flight.path.end(), [&](const PathPart &part) {
            return m_book.suspected(part.endpoint, now) || !m_fleet->find(part.endpoint);
        });
    return found == flight.path.end() ? std::nullopt : std::make_optional(found->endpoint);
}

void Relay::ask(const std::string &endpoint, Time now, RelayActions &actions)
{
    const auto [it, fresh] = m_askedAt.try_emplace(endpoint, now);
    if (!fresh && now - it->second < m_settings.queryInterval)
        return;
    it->second = now;
    if (const FleetEndpoint *found = m_fleet->find(endpoint))
        actions.push_back(QueryEngine {endpoint, found->address});
}

void Relay::reported(const std::string &endpoint, const std::vector<std::string> &stalledAt,
                     double pace, Time now, RelayActions &actions)
{
    m_book.recordAnswer(endpoint, now);
    m_book.setSlowdown(endpoint, pace, now);
    for (const std::string &address : stalledAt)
        if (const FleetEndpoint *found = m_fleet->findByAddress(address))
            m_book.suspect(found->id, now);
    tick(now, actions);
}

void Relay::applyEngineReports(const EngineReports &reports, Time now, RelayActions &actions)
{
    for (const EngineState &state : reports.changed) {
        if (!m_fleet->find(state.id))
            continue;
        m_book.reported(state, now);
        if (state.silent)
            m_quarantine.endpointUnresponsive(state.id, state.at);
    }
    for (const FleetEndpoint &each : m_fleet->endpoints)
        if (const auto asOf = reports.asOf.find(each.domain); asOf != reports.asOf.end())
            m_book.confirmUnchanged(each.id, asOf->second, now);
    tick(now, actions);
}

void Relay::queryFailed(const std::string &endpoint, Time now, RelayActions &actions, bool refused)
{
    m_book.suspect(endpoint, now);
    if (refused)
        m_quarantine.endpointCrashed(endpoint, now);
    tick(now, actions);
}

void Relay::follow(FleetPtr fleet, Time now, RelayActions &actions)
{
    m_fleet = std::move(fleet);
    m_book.removeUnlisted(*m_fleet);
    m_limits.follow(*m_fleet);
    std::erase_if(m_askedAt, [&](const auto &each) { return !m_fleet->find(each.first); });
    settleDoubts(now);
    tick(now, actions);
}

/// A process that stood still finds all its streams silent for that long. The
/// silence was its own: charged to the engines, it would eject all of them.
void Relay::forgiveLostTime(Time now)
{
    const Duration lost = now - m_lastTick;
    if (m_lastTick != Time {} && lost > m_settings.maxTickGap)
        for (auto &[id, flight] : m_flights) {
            flight.sentAt += std::min(lost, now - flight.sentAt);
            flight.progressAt += std::min(lost, now - flight.progressAt);
        }
    m_lastTick = m_flights.empty() ? Time {} : now;
}

void Relay::tick(Time now, RelayActions &actions)
{
    forgiveLostTime(now);
    for (const FlightId id : flightIds()) {
        const auto it = m_flights.find(id);
        if (it != m_flights.end())
            watch(id, it->second, now, actions);
    }
    askDoubtful(now, actions);
    tellCrashes(now, actions);
}

void Relay::watch(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (now >= flight.deadline) {
        if (flight.state != State::Waiting) {
            noteGivenUp(flight, now);
            flight.ranAt.push_back(flight.endpoint);
            actions.push_back(AbandonAttempt {id, flight.attempt});
        }
        return end(id, endOf(flight, FlightOutcome::TimedOut), "its time is over", actions);
    }
    if (recall(id, flight, now, actions))
        return;
    if (flight.state == State::Waiting)
        return giveUpWaiting(id, flight, now, actions);
    if (service(flight).model)
        return watchStream(id, flight, now, actions);
    if (flight.request.route->idempotent() && now - flight.sentAt >= m_settings.callAttemptTimeout
        && flight.sends < flight.request.route->maxAttempts && mayRunAgain(flight))
        recover(id, flight, "no answer of " + flight.endpoint, now, actions);
}

void Relay::giveUpWaiting(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    dispatch(id, flight, now, actions);
    const auto it = m_flights.find(id);
    if (it == m_flights.end() || it->second.state != State::Waiting)
        return;
    const Duration waited = now - flight.waitingSince;
    const auto hold = Duration(static_cast<std::int64_t>(
        static_cast<double>(flight.request.route->targetLatency.count())
        * (service(flight).model ? m_settings.streamWaitShare : m_settings.callWaitShare)));
    const Duration paused = now - flight.progressAt;
    const bool over = flight.passing          ? paused >= m_settings.resumeTimeout
                      : !flight.ranAt.empty() ? paused >= m_settings.rerunTimeout
                                              : waited >= hold;
    if (!over)
        return;
    const FlightOutcome how = endOf(flight, FlightOutcome::Failed);
    std::string reason = flight.lastReason;
    end(id, how, std::move(reason), actions);
}

void Relay::recover(FlightId id, Flight &flight, std::string reason, Time now,
                    RelayActions &actions)
{
    actions.push_back(AbandonAttempt {id, flight.attempt});
    noteGivenUp(flight, now);
    const std::string culprit = flight.endpoint;
    again(id, flight, true, culprit, std::move(reason), now, actions);
}

/// A stream that has begun is lost for sure once it is broken off and cannot go on
/// elsewhere; left alone, it goes on if its engine was only slow, or if another path
/// turns up in time. One that has not begun is better told at once.
bool Relay::worthMoving(const Flight &flight, Time now)
{
    if (!flight.passing)
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
    if (flight.pathAskedAt) {
        if (now - *flight.pathAskedAt >= m_settings.pathChangeTimeout)
            pathChanged(id, flight.attempt, PathReply::Lost, {}, now, actions);
        return;
    }
    const Duration pause = now - flight.progressAt;
    const Duration expected =
        flight.state == State::Streaming ? flight.expectedGap : flight.expectedFirst;
    const std::optional<std::string> suspect = firstSuspect(flight, now);
    const bool idempotent = flight.request.route->idempotent();
    if (suspect && pause >= m_settings.suspectPause + expected) {
        noteStalled(flight, *suspect, now);
        flight.lastReason = "an engine of its path does not answer";
        if (changePath(id, flight, now, actions))
            return;
        if (idempotent && worthMoving(flight, now))
            return recover(id, flight, flight.lastReason, now, actions);
    }
    // One that has not begun may wait its turn at a busy engine; moved, it
    // would wait again elsewhere, and cost a repeat.
    const Duration most =
        flight.state == State::Streaming ? m_settings.stallTimeout : m_settings.startTimeout;
    if (idempotent && pause >= most + expected && worthMoving(flight, now))
        return recover(id, flight, "stands still", now, actions);
    const auto patience =
        Duration(static_cast<std::int64_t>(expected.count() * m_settings.queryAfterGaps));
    if (pause >= std::max(m_settings.queryAfterPause, patience))
        ask(flight.endpoint, now, actions);
}

} // namespace balsamloft
