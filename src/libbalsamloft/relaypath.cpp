// The part of Relay that moves a running attempt to another path.

#include <balsamloft/relay.h>

#include <algorithm>

namespace balsamloft {

/// Orders the first engine of the flight's path to continue along another path, after a later
/// engine of the path failed. The first engine, its connection and most of the prefilled state are
/// intact. A retry would prefill the prompt on all engines again and use one of the few retries, so
/// a retry is only the fallback.
/// \return whether an order was sent.
bool Relay::changePath(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (flight.path.size() < 2 || flight.pathChanges >= m_settings.maxPathChanges
        || isSuspected(flight, now))
        return false;
    const PathPart first = flight.path.front();
    const FleetEndpoint *engine = m_fleet->find(first.endpoint);
    if (!engine || !m_engines.usable(first.endpoint, now))
        return false;
    PathQuery query;
    query.domain = flight.domain;
    query.promptTokens = flight.request.promptTokens;
    query.answerTokens = flight.request.answerTokens;
    query.firstPart = &first;
    query.minCostNoise = flight.failedEarly ? m_settings.rerouteSpread : 0;
    auto path = m_chooser.choose(*m_fleet, service(flight), m_engines, query, now, m_random);
    if (!path || path->full || path->parts == flight.path)
        return false;
    removeLoad(flight);
    flight.path = std::move(path->parts);
    setExpectedTimes(flight, *path);
    addLoad(flight);
    recordTransfers(flight, now);
    flight.pathChanges += 1;
    flight.pathChangeSentAt = now;
    // Earlier events do not prove that the request is harmless to its new engines.
    if (!flight.provenHarmless)
        flight.firstEventAt.reset();
    m_counts.pathsChanged += 1;
    actions.push_back(ChangePath {id, flight.attempt, flight.pathChanges, flight.request.id,
                                  first.endpoint, engine->address, flight.path, flight.lastReason});
    return true;
}

void Relay::pathChanged(const ChangePath &order, PathReply reply, std::string_view faultyAddress,
                        Time now, RelayActions &actions)
{
    Flight *flight = inAttempt(order.flight, order.attempt);
    if (!flight || !flight->pathChangeSentAt || flight->pathChanges != order.number)
        return;
    if (reply == PathReply::Accepted) {
        flight->pathChangeSentAt.reset();
        // The new engines need time to prefill the prompt before the next event.
        flight->progressAt = now + flight->expectedFirstEvent;
        return;
    }
    if (reply == PathReply::Refused) {
        if (const FleetEndpoint *faulty = m_fleet->findByAddress(faultyAddress))
            m_engines.refusedBusy(faulty->id, now);
        if (changePath(order.flight, *flight, now, actions))
            return;
    }
    pathNotChanged(order.flight, *flight, now, actions);
}

/// The engine refused the last order, does not know the request, or did not answer.
void Relay::pathNotChanged(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    flight.pathChangeSentAt.reset();
    if (worthMoving(flight, now))
        abandonAndRetry(id, flight, {AttemptEnd::PathNotChanged, "the path could not be changed"},
                        now, actions);
}

} // namespace balsamloft
