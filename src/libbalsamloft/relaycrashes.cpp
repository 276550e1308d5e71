// The part of Relay that keeps a request from ending one endpoint after another.

#include <balsamloft/relay.h>

#include <algorithm>

namespace balsamloft {

/// Every endpoint takes what runs on it along when it ends; only a request that had
/// just begun there, or had not yet, may be the one that ended it.
void Relay::noteBrokenOff(Flight &flight, Time now, RelayActions &actions)
{
    const FleetEndpoint *endpoint = m_fleet->find(flight.endpoint);
    if (flight.runsWell || flight.request.digest.empty() || !endpoint || endpoint->draining)
        return;
    flight.cutEarly = true;
    m_quarantine.attemptBroken(flight.request.digest, flight.endpoint, now);
    // A question of a moment ago says nothing about the end that came after it.
    m_askedAt.erase(flight.endpoint);
    ask(flight.endpoint, now, actions);
}

/// An engine that begins a request in the moment in which it is given up ends without
/// breaking it off.
void Relay::noteGivenUp(const Flight &flight, Time now)
{
    const FleetEndpoint *endpoint = m_fleet->find(flight.endpoint);
    if (!flight.runsWell && !flight.request.digest.empty() && endpoint && !endpoint->draining)
        m_quarantine.attemptAbandoned(flight.request.digest, flight.endpoint, now);
}

/// An engine in the middle of the path breaks nothing off when it ends: the first one
/// lives, and waits for it. One that passed an event on has run the request.
void Relay::noteStalled(Flight &flight, const std::string &endpoint, Time now)
{
    const FleetEndpoint *found = m_fleet->find(endpoint);
    if (flight.runsWell || flight.firstEventAt || flight.request.digest.empty()
        || endpoint == flight.endpoint || !found || found->draining)
        return;
    flight.cutEarly = true;
    m_quarantine.attemptStalled(flight.request.digest, endpoint, now);
}

/// Whether the flight may not be brought to another endpoint as if it were harmless.
bool Relay::underSuspicion(const Flight &flight, Time now) const
{
    const std::string &digest = flight.request.digest;
    return !flight.runsWell
           && (m_quarantine.awaitsConfirmation(digest, now)
               || m_quarantine.verdict(digest, now) != Verdict::Allowed);
}

void Relay::noteProgress(Flight &flight, Time now, RelayActions &actions)
{
    m_quarantine.endpointSentData(flight.endpoint, now);
    if (!flight.firstEventAt)
        flight.firstEventAt = now;
    if (flight.runsWell || now - *flight.firstEventAt < m_settings.runsWell)
        return;
    flight.runsWell = true;
    m_quarantine.requestSucceeded(flight.request.digest, now);
    endTrial(flight, TrialOutcome::Succeeded, actions);
}

/// Of endpoints that are asked and do not answer the list tells: one that announces
/// that it leaves did not end under a request.
void Relay::settleDoubts(Time now)
{
    for (const std::string &id : m_quarantine.unconfirmedEndpoints(now)) {
        const FleetEndpoint *endpoint = m_fleet->find(id);
        if (!endpoint)
            m_quarantine.endpointDelisted(id, now);
        else if (endpoint->draining)
            m_quarantine.endpointAnswered(id, now);
    }
}

void Relay::askDoubtful(Time now, RelayActions &actions)
{
    for (const std::string &id : m_quarantine.unconfirmedEndpoints(now))
        ask(id, now, actions);
}

/// \return whether the flight is not to be sent now; it may have ended.
bool Relay::holdBack(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    const std::string &digest = flight.request.digest;
    if (flight.runsWell)
        return false;
    if (m_quarantine.awaitsConfirmation(digest, now)) {
        flight.repeatOwed = flight.sends > 0;
        return true;
    }
    switch (m_quarantine.verdict(digest, now)) {
    case Verdict::Allowed:
        return false;
    case Verdict::TrialOnly:
        return awaitTrial(id, flight, now, actions);
    case Verdict::Deferred:
    case Verdict::Quarantined:
        break;
    }
    endHeld(id, flight, m_quarantine.blockedFor(digest, now), now, actions);
    return true;
}

/// Whether the flight has the permit to run, where it needs one.
bool Relay::mayRun(const Flight &flight, Time now) const
{
    if (flight.runsWell)
        return true;
    const bool permitted = flight.trial.state >= Trial::State::Granted && now < flight.trial.until;
    const Verdict verdict = m_quarantine.verdict(flight.request.digest, now);
    return verdict == Verdict::Allowed || (verdict == Verdict::TrialOnly && permitted);
}

/// Asks for the permit to run the request at the endpoint that would be chosen now.
/// \return whether the flight is not to be sent now.
bool Relay::awaitTrial(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    Trial &trial = flight.trial;
    if (trial.state == Trial::State::Granted && now < trial.until)
        return false;
    flight.repeatOwed = flight.sends > 0;
    if (trial.state == Trial::State::Asked)
        return true;
    if (!trial.taken.empty() && now - trial.askedAt < m_settings.trialRetryInterval)
        return true;
    SendRequest send;
    trial.state = Trial::State::None;
    if (!choose(flight, now, send))
        return true;
    trial.state = Trial::State::Asked;
    trial.askedAt = now;
    trial.endpoint = send.endpoint;
    trial.first = send.path.empty() ? std::nullopt : std::make_optional(send.path.front());
    const std::string &digest = flight.request.digest;
    const bool limited =
        m_quarantine.crashes(digest, now) >= m_quarantine.settings().crashesToQuarantine;
    actions.push_back(RequestTrial {id, {digest, send.endpoint, limited}});
    return true;
}

void Relay::trialAnswered(FlightId id, const TrialRequest &request, const TrialAnswer &answer,
                          Time now, RelayActions &actions)
{
    const auto it = m_flights.find(id);
    if (it == m_flights.end() || it->second.trial.state != Trial::State::Asked) {
        if (answer.granted)
            actions.push_back(FinishTrial {request.digest, TrialOutcome::NotSent});
        return;
    }
    Flight &flight = it->second;
    if (answer.granted) {
        flight.trial.state = Trial::State::Granted;
        flight.trial.until = flight.trial.askedAt + answer.lasts;
        return dispatch(id, flight, now, actions);
    }
    flight.trial.state = Trial::State::None;
    if (answer.endpointBusy) {
        flight.trial.taken.insert(flight.trial.endpoint);
        return;
    }
    endHeld(id, flight, answer.wait, now, actions);
}

void Relay::expireTrials()
{
    for (auto &[id, flight] : m_flights)
        flight.trial.until = Time {};
}

void Relay::endTrial(Flight &flight, TrialOutcome end, RelayActions &actions)
{
    if (flight.trial.state < Trial::State::Granted)
        return;
    flight.trial.state = Trial::State::None;
    actions.push_back(FinishTrial {flight.request.digest, end});
}

/// Those refused together are told different times, so that they do not all return at the
/// moment from which one of them may be tried.
void Relay::endHeld(FlightId id, const Flight &flight, Duration wait, Time now,
                    RelayActions &actions)
{
    const bool held = m_quarantine.verdict(flight.request.digest, now) == Verdict::Quarantined;
    std::uniform_int_distribution<std::int64_t> spread(
        0, m_quarantine.settings().propagationDelay.count());
    m_counts.quarantined += 1;
    end(id, endOf(flight, FlightOutcome::Failed),
        held ? "held back: endpoints ended under it" : "endpoints ended under it; not tried now",
        actions, wait + Duration(spread(m_random)));
}

/// What waits at an endpoint to be run when it becomes known that other endpoints ended
/// under it would end this one too.
bool Relay::recall(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (flight.state == State::Waiting || mayRun(flight, now))
        return false;
    const std::string &digest = flight.request.digest;
    const bool begun = flight.firstEventAt.has_value();
    if (m_quarantine.verdict(digest, now) == Verdict::TrialOnly
        && flight.trial.state != Trial::State::Sent
        && (begun
            || m_quarantine.crashes(digest, now) < m_quarantine.settings().crashesToRequireTrial))
        return false;
    actions.push_back(AbandonAttempt {id, flight.attempt});
    noteGivenUp(flight, now);
    flight.ranAt.push_back(flight.endpoint);
    endHeld(id, flight, m_quarantine.blockedFor(digest, now), now, actions);
    return true;
}

void Relay::tellCrashes(Time now, RelayActions &actions)
{
    CrashUpdate news = m_quarantine.news(now);
    if (news.empty())
        return;
    m_counts.crashes += news.added.size();
    actions.push_back(PublishCrashes {std::move(news)});
}

} // namespace balsamloft
