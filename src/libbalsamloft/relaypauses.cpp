// The part of Relay that refuses requests while all endpoints that could serve them are paused.

#include <balsamloft/relay.h>

#include <algorithm>

namespace balsamloft {

/// Whether a path would exist if only the engines \a excludedAsFirst could not begin one.
bool Relay::canRunWith(const Flight &flight, const std::set<std::string> &excludedAsFirst, Time now)
{
    PathQuery query;
    query.domain = m_settings.domain;
    query.promptTokens = flight.request.promptTokens;
    query.answerTokens = flight.request.answerTokens;
    query.excludedAsFirst = &excludedAsFirst;
    return m_chooser.choose(*m_fleet, service(flight), m_engines, query, now, m_random).has_value();
}

/// The pause that ends first, of the endpoints that could serve the flight. Returns nothing if
/// pauses are not the reason, or not the only one, that no endpoint can serve it.
std::optional<AnnouncedPause> Relay::firstPauseToEnd(const Flight &flight, Time now)
{
    const std::set<std::string> paused = ofService(flight, m_pauses.blockedEndpoints(now));
    if (paused.empty())
        return std::nullopt;
    const bool layered = service(flight).model.has_value();
    std::optional<AnnouncedPause> first;
    bool otherExists = false;
    for (const FleetEndpoint &each : m_fleet->endpoints) {
        const bool canBegin = !layered || (each.layers.begin == 0 && each.layers.end > 0);
        if (each.service != service(flight).name || each.draining || !canBegin)
            continue;
        if (!paused.contains(each.id)) {
            otherExists = true;
            continue;
        }
        const AnnouncedPause pause = m_pauses.lastPause(each.id);
        if (!first || pause.until < first->until)
            first = pause;
    }
    if (!layered)
        return otherExists ? std::nullopt : first;
    if (!first || canRunWith(flight, paused, now) || !canRunWith(flight, {}, now))
        return std::nullopt;
    return first;
}

/// Random delay after the end of \a pause, so that callers refused in it do not return together.
Duration Relay::returnSpread(const AnnouncedPause &pause)
{
    const auto share = Duration(static_cast<std::int64_t>(static_cast<double>(pause.length.count())
                                                          * m_settings.returnSpreadShare));
    std::uniform_int_distribution<std::int64_t> spread(
        0, std::clamp(share, m_settings.minReturnSpread, m_settings.maxReturnSpread).count());
    return Duration(spread(m_random));
}

/// Refuses a flight that was not executed if the pauses of all endpoints that could serve it last
/// longer than it may wait: waiting would not help its caller.
/// \return whether it was refused.
bool Relay::refuseIfPaused(FlightId id, const Flight &flight, Time now, RelayActions &actions)
{
    if (flight.eventsForwarded || !flight.mayHaveRunAt.empty())
        return false;
    const auto pause = firstPauseToEnd(flight, now);
    if (!pause || pause->until <= flight.waitingSince + maxWait(flight))
        return false;
    m_counts.pauseRefusals += 1;
    finish(id, FlightOutcome::Failed, {EndCause::Paused, "all endpoints announced a pause"}, now,
           actions, pause->until - now + returnSpread(*pause));
    return true;
}

} // namespace balsamloft
