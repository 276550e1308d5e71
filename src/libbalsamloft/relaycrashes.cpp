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
    m_quarantine.brokenOff(flight.request.digest, flight.endpoint, now);
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
        m_quarantine.givenUp(flight.request.digest, flight.endpoint, now);
}

void Relay::noteProgress(Flight &flight, Time now)
{
    m_quarantine.endpointHeard(flight.endpoint, now);
    if (!flight.firstEventAt)
        flight.firstEventAt = now;
    if (flight.runsWell || now - *flight.firstEventAt < m_settings.runsWell)
        return;
    flight.runsWell = true;
    m_quarantine.cameThrough(flight.request.digest, now);
}

/// Of endpoints that are asked and do not answer the list tells: one that announces
/// that it leaves did not end under a request.
void Relay::settleDoubts(Time now)
{
    for (const std::string &id : m_quarantine.doubtful(now)) {
        const FleetEndpoint *endpoint = m_fleet->find(id);
        if (!endpoint)
            m_quarantine.endpointVanished(id, now);
        else if (endpoint->draining)
            m_quarantine.endpointAnswered(id, now);
    }
}

void Relay::askDoubtful(Time now, RelayActions &actions)
{
    for (const std::string &id : m_quarantine.doubtful(now))
        ask(id, now, actions);
}

/// Whether another flight with the same content is at an endpoint now.
bool Relay::underTrial(FlightId id, const Flight &flight) const
{
    return std::any_of(m_flights.begin(), m_flights.end(), [&](const auto &each) {
        return each.first != id && each.second.state != State::Waiting
               && each.second.request.digest == flight.request.digest;
    });
}

/// \return whether the flight is not to be sent now; it may have ended.
bool Relay::holdBack(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    const std::string &digest = flight.request.digest;
    const std::size_t crashes = m_quarantine.crashes(digest, now);
    if (crashes == 0 || flight.runsWell)
        return false;
    if (m_quarantine.verdict(digest, now) != Verdict::Free) {
        endHeld(id, flight, now, actions);
        return true;
    }
    if (m_quarantine.undecided(digest, now)) {
        flight.repeatOwed = flight.sends > 0;
        return true;
    }
    if (crashes < m_settings.crashesToStop)
        return false;
    // One try at a time, at one endpoint, shows whether it ends endpoints.
    if (flight.sends == 0 && !underTrial(id, flight))
        return false;
    end(id, endOf(flight, FlightEnd::Failed), "endpoints ended under it; not repeated", actions);
    return true;
}

void Relay::endHeld(FlightId id, const Flight &flight, Time now, RelayActions &actions)
{
    const std::string &digest = flight.request.digest;
    const bool held = m_quarantine.verdict(digest, now) == Verdict::Held;
    m_counts.heldBack += 1;
    end(id, endOf(flight, FlightEnd::Failed),
        held ? "held back: endpoints ended under it" : "endpoints ended under it; not tried now",
        actions, m_quarantine.heldFor(digest, now));
}

/// What waits at an endpoint to be run when it becomes known that other endpoints ended
/// under it would end this one too.
bool Relay::recall(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (flight.state == State::Waiting || flight.runsWell
        || m_quarantine.verdict(flight.request.digest, now) == Verdict::Free)
        return false;
    actions.push_back(AbandonAttempt {id, flight.attempt});
    noteGivenUp(flight, now);
    flight.ranAt.push_back(flight.endpoint);
    endHeld(id, flight, now, actions);
    return true;
}

void Relay::tellCrashes(Time now, RelayActions &actions)
{
    CrashNews news = m_quarantine.news(now);
    if (news.empty())
        return;
    m_counts.crashes += news.added.size();
    actions.push_back(TellCrashes {std::move(news)});
}

} // namespace balsamloft
