// The part of Relay that has a running attempt carried on along another path.

#include <balsamloft/relay.h>

#include <algorithm>

namespace balsamloft {

/// An engine in the middle of a path dies: its streams stall, though their first
/// engine, their connections and most of what was read are well. Sent again,
/// each would be read again by all engines and take one of the few repeats; so
/// the first engine is told another path. What it cannot do is sent again.
bool Relay::changePath(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    if (flight.path.size() < 2 || flight.pathChanges >= m_settings.maxPathChanges
        || underSuspicion(flight, now))
        return false;
    const PathPart first = flight.path.front();
    const FleetEndpoint *engine = m_fleet->find(first.endpoint);
    if (!engine || !m_book.usable(first.endpoint, now))
        return false;
    PathQuery query;
    query.domain = flight.domain;
    query.promptTokens = flight.request.promptTokens;
    query.answerTokens = flight.request.answerTokens;
    query.firstPart = &first;
    query.minCostNoise = flight.cutEarly ? m_settings.rerouteSpread : 0;
    auto path = m_chooser.choose(*m_fleet, service(flight), m_book, query, now, m_random);
    if (!path || path->full || path->parts == flight.path)
        return false;
    vacate(flight);
    flight.path = std::move(path->parts);
    expect(flight, *path);
    occupy(flight);
    crossDomains(flight, now);
    flight.pathChanges += 1;
    flight.pathAskedAt = now;
    // What it passed so far says nothing of its new engines.
    if (!flight.runsWell)
        flight.firstEventAt.reset();
    m_counts.pathsChanged += 1;
    actions.push_back(ChangePath {id, flight.attempt, flight.request.id, first.endpoint,
                                  engine->address, flight.path, flight.lastReason});
    return true;
}

void Relay::pathChanged(FlightId id, std::uint32_t attempt, PathReply reply,
                        std::string_view atAddress, Time now, RelayActions &actions)
{
    Flight *flight = current(id, attempt);
    if (!flight || !flight->pathAskedAt)
        return;
    flight->pathAskedAt.reset();
    if (reply == PathReply::Refused) {
        if (const FleetEndpoint *culprit = m_fleet->findByAddress(atAddress))
            m_book.refusedBusy(culprit->id, now);
        if (changePath(id, *flight, now, actions))
            return;
    }
    if (reply != PathReply::Taken) {
        if (worthMoving(*flight, now))
            recover(id, *flight, "its path could not be changed", now, actions);
        return;
    }
    // What its new engines have to read is no silence of theirs.
    flight->progressAt = now + flight->expectedFirst;
}

} // namespace balsamloft
