// The part of Relay that prevents a request from crashing one endpoint after another.

#include <balsamloft/promptparts.h>
#include <balsamloft/relay.h>

#include <algorithm>

namespace balsamloft {

/// Records that the flight's endpoint broke the attempt. A crash interrupts all attempts on the
/// endpoint, but only an attempt that started recently can be the cause.
void Relay::recordBroken(Flight &flight, Time now, RelayActions &actions)
{
    const FleetEndpoint *endpoint = m_fleet->find(flight.endpoint);
    if (flight.provenHarmless || flight.causes.empty() || !endpoint || endpoint->draining)
        return;
    flight.failedEarly = true;
    for (const std::string &digest : flight.causes)
        m_quarantine.attemptBroken(digest, flight.endpoint, now);
    // Allows a new query at once, since an earlier one cannot detect this crash.
    m_queriedAt.erase(flight.endpoint);
    queryEngine(flight.endpoint, now, actions);
}

/// Records an abandoned attempt. An engine that started the request just before can crash
/// without breaking the attempt.
void Relay::recordAbandoned(const Flight &flight, Time now)
{
    const FleetEndpoint *endpoint = m_fleet->find(flight.endpoint);
    if (flight.provenHarmless || !endpoint || endpoint->draining)
        return;
    for (const std::string &digest : flight.causes)
        m_quarantine.attemptAbandoned(digest, flight.endpoint, now);
}

/// Records that the attempt is stalled at an engine in the middle of its path. A crash there
/// does not break the attempt: the first engine is alive and waits. After the first event, all
/// engines of the path have executed the request, so the request is not the cause.
void Relay::recordStalled(Flight &flight, const std::string &endpoint, Time now)
{
    const FleetEndpoint *found = m_fleet->find(endpoint);
    if (flight.provenHarmless || flight.firstEventAt || flight.causes.empty()
        || endpoint == flight.endpoint || !found || found->draining)
        return;
    flight.failedEarly = true;
    for (const std::string &digest : flight.causes)
        m_quarantine.attemptStalled(digest, endpoint, now);
}

/// Whether the request may be the cause of crashes, so that its path must not be changed.
bool Relay::isSuspected(const Flight &flight, Time now) const
{
    return !flight.provenHarmless
           && (m_quarantine.awaitsConfirmation(flight.causes, now)
               || m_quarantine.sendPermission(flight.causes, now) != SendPermission::Allowed);
}

/// Records a success of all that the request holds: each of it would have caused a crash.
void Relay::recordSuccess(const Flight &flight, Time now)
{
    for (const std::string &digest : flight.causes)
        m_quarantine.requestSucceeded(digest, now);
}

void Relay::recordProgress(Flight &flight, Time now, RelayActions &actions)
{
    m_quarantine.endpointSentData(flight.endpoint, now);
    if (!flight.firstEventAt)
        flight.firstEventAt = now;
    if (flight.provenHarmless || now - *flight.firstEventAt < m_settings.harmlessAfter)
        return;
    flight.provenHarmless = true;
    recordSuccess(flight, now);
    finishTrial(flight, TrialOutcome::Succeeded, actions);
}

/// Resolves unconfirmed crashes from the list of endpoints. An endpoint that announced its
/// shutdown did not crash.
void Relay::resolveUnconfirmed(Time now)
{
    for (const std::string &id : m_quarantine.unconfirmedEndpoints(now)) {
        const FleetEndpoint *endpoint = m_fleet->find(id);
        if (!endpoint)
            m_quarantine.endpointDelisted(id, now);
        else if (endpoint->draining)
            m_quarantine.endpointAnswered(id, now);
    }
}

void Relay::queryUnconfirmed(Time now, RelayActions &actions)
{
    for (const std::string &id : m_quarantine.unconfirmedEndpoints(now))
        queryEngine(id, now, actions);
}

/// Checks whether the request is suspected of causing crashes.
/// \return whether the flight must not be sent now; it may be finished already.
bool Relay::blockIfSuspected(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (flight.provenHarmless)
        return false;
    if (m_quarantine.awaitsConfirmation(flight.causes, now)) {
        flight.nextSendIsRetry = flight.sends > 0;
        flight.waitCause = EndCause::AwaitsConfirmation;
        return true;
    }
    switch (m_quarantine.sendPermission(flight.causes, now)) {
    case SendPermission::Allowed:
        return false;
    case SendPermission::TrialOnly:
        return awaitTrial(id, flight, now, actions);
    case SendPermission::Deferred:
    case SendPermission::Quarantined:
        break;
    }
    finishBlocked(id, flight, m_quarantine.blockedFor(flight.causes, now), now, actions);
    return true;
}

/// Whether the request may run, with a permit if it needs one.
bool Relay::mayRun(const Flight &flight, Time now) const
{
    if (flight.provenHarmless)
        return true;
    const bool permitted = flight.trial.state >= Trial::State::Granted && now < flight.trial.until;
    const SendPermission permission = m_quarantine.sendPermission(flight.causes, now);
    return permission == SendPermission::Allowed
           || (permission == SendPermission::TrialOnly && permitted);
}

/// Requests the permit for a trial at the endpoint that would be chosen now.
/// \return whether the flight must not be sent now.
bool Relay::awaitTrial(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    Trial &trial = flight.trial;
    if (trial.state == Trial::State::Granted && now < trial.until)
        return false;
    flight.nextSendIsRetry = flight.sends > 0;
    flight.waitCause = EndCause::AwaitsPermit;
    if (trial.state == Trial::State::Requested)
        return true;
    if (!trial.busyEndpoints.empty() && now - trial.requestedAt < m_settings.trialRetryInterval)
        return true;
    SendRequest send;
    trial.state = Trial::State::None;
    if (!choose(flight, now, send))
        return true;
    trial.state = Trial::State::Requested;
    trial.requestedAt = now;
    trial.endpoint = send.endpoint;
    trial.first = send.path.empty() ? std::nullopt : std::make_optional(send.path.front());
    trial.digest = m_quarantine.causeToTry(flight.causes, now);
    const std::size_t crashes = m_quarantine.crashes(trial.digest, now);
    // Trials of a part are limited by its quarantines. If its requests were refused after a few
    // trials without a result, such as rejections, many callers would be.
    const bool limited =
        crashes >= m_quarantine.settings().crashesToQuarantine && !isPromptPartDigest(trial.digest);
    actions.push_back(
        RequestTrial {id, flight.attempt + 1, {trial.digest, send.endpoint, limited, crashes}});
    return true;
}

/// Returns the flight if it waits for the permit to make \a attempt, otherwise null. While the
/// request for the permit was under way, the flight may have finished, or it may have been sent
/// because the suspicion ended.
Relay::Flight *Relay::awaitingPermit(FlightId id, std::uint32_t attempt)
{
    const auto it = m_flights.find(id);
    if (it == m_flights.end())
        return nullptr;
    Flight &flight = it->second;
    const bool awaits = flight.state == State::Waiting && flight.attempt + 1 == attempt
                        && flight.trial.state == Trial::State::Requested;
    return awaits ? &flight : nullptr;
}

void Relay::trialAnswered(const RequestTrial &request, const TrialAnswer &answer, Time now,
                          RelayActions &actions)
{
    Flight *flight = awaitingPermit(request.flight, request.attempt);
    if (!flight) {
        if (answer.granted)
            actions.push_back(FinishTrial {request.request.digest, request.request.endpoint,
                                           TrialOutcome::NotSent});
        return;
    }
    Trial &trial = flight->trial;
    if (answer.granted) {
        trial.state = Trial::State::Granted;
        trial.until = trial.requestedAt + answer.validFor;
        return dispatch(request.flight, *flight, now, actions);
    }
    trial.state = Trial::State::None;
    if (answer.endpointBusy)
        trial.busyEndpoints.insert(trial.endpoint);
    else if (m_quarantine.sendPermission(flight->causes, now) == SendPermission::Allowed)
        dispatch(request.flight, *flight, now, actions);
    else
        finishBlocked(request.flight, *flight, answer.wait, now, actions);
}

void Relay::expireTrials()
{
    for (auto &[id, flight] : m_flights)
        flight.trial.until = Time {};
}

void Relay::finishTrial(Flight &flight, TrialOutcome outcome, RelayActions &actions)
{
    if (flight.trial.state < Trial::State::Granted)
        return;
    flight.trial.state = Trial::State::None;
    actions.push_back(FinishTrial {flight.trial.digest, flight.trial.endpoint, outcome});
}

/// Finishes a flight that must not be sent. The time to retry has jitter, so that callers
/// refused together do not all retry when the next trial is allowed.
void Relay::finishBlocked(FlightId id, const Flight &flight, Duration wait, Time now,
                          RelayActions &actions)
{
    const bool quarantined =
        m_quarantine.sendPermission(flight.causes, now) == SendPermission::Quarantined;
    std::uniform_int_distribution<std::int64_t> spread(
        0, m_quarantine.settings().propagationDelay.count());
    m_counts.quarantined += 1;
    finish(id, FlightOutcome::Failed,
           quarantined ? Ending {EndCause::Quarantined,
                                 "request quarantined: endpoints crashed while running it"}
                       : Ending {EndCause::TrialNotPermitted,
                                 "endpoints crashed while running the request; no trial is "
                                 "permitted now"},
           now, actions, wait + Duration(spread(m_random)));
}

/// Abandons an attempt whose request was found to crash endpoints. The request may still be queued
/// at the endpoint of the attempt, and would crash that endpoint too. A stream that has events is
/// kept: abandoned, its answer is truncated for certain, and it can crash one endpoint at most.
bool Relay::abandonSuspectedAttempt(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (flight.state == State::Waiting || flight.eventsForwarded || mayRun(flight, now))
        return false;
    if (m_quarantine.sendPermission(flight.causes, now) == SendPermission::TrialOnly
        && flight.trial.state != Trial::State::Sent
        && m_quarantine.crashes(m_quarantine.causeToTry(flight.causes, now), now)
               < m_quarantine.settings().crashesToRequireTrial)
        return false;
    abandonAttempt(id, flight, now, actions);
    finishBlocked(id, flight, m_quarantine.blockedFor(flight.causes, now), now, actions);
    return true;
}

void Relay::publishCrashes(Time now, RelayActions &actions)
{
    CrashUpdate update = m_quarantine.takeUpdate(now);
    if (update.empty())
        return;
    m_counts.crashes += update.added.size();
    actions.push_back(PublishCrashes {std::move(update)});
}

} // namespace balsamloft
