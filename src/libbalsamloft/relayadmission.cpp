// The part of Relay that admits requests to services.

#include <balsamloft/admission/capacityestimate.h>
#include <balsamloft/relay.h>

#include <algorithm>

namespace balsamloft {

namespace {

/// The work of a request, see ServiceLoad.
double workOf(const RelayRequest &request, const RoutedService &service)
{
    if (!service.model)
        return 1;
    const LayeredModel &model = *service.model;
    const std::uint32_t prompt =
        request.promptTokens > 0 ? request.promptTokens : model.typicalPromptTokens;
    const std::uint32_t answer =
        request.answerTokens > 0 ? request.answerTokens : model.typicalAnswerTokens;
    return std::max(1.0, static_cast<double>(prompt) + answer);
}

/// Returns the time until the deadline below which a request counts as late. Callers choose their
/// own deadlines, so only much less time than the route allows indicates an earlier refusal.
Duration minTimeLeft(const Route &route)
{
    constexpr double UsualShare = 0.8;
    const auto usual = Duration(
        static_cast<std::int64_t>(static_cast<double>(route.timeout.count()) * UsualShare));
    return std::min(usual, route.timeout - route.targetLatency);
}

} // namespace

void Relay::applyFleetLoad(const FleetLoad &load, Time now)
{
    m_admission.applyFleetLoad(load, now);
    if (m_settings.rateLimitsFollowDemand)
        m_limits.applyFleetLoad(load, now);
}

/// Updates the capacity of the flight's service if the fleet or the routes have changed.
void Relay::updateCapacity(const Flight &flight)
{
    const RoutedService &target = service(flight);
    const std::pair version(m_fleet->number, flight.request.table->version());
    const auto [it, inserted] = m_capacityVersions.try_emplace(target.name, version);
    if (!inserted && it->second == version)
        return;
    it->second = version;
    m_admission.setNominalCapacity(target.name, nominalCapacity(*m_fleet, target));
}

/// Whether admission control applies to the flight's service.
bool Relay::hasAdmission(const Flight &flight) const
{
    return m_settings.admission.enabled && (m_settings.admitToAll || service(flight).hasPriorities);
}

/// Decides whether a new flight is sent now, waits or is refused, and finishes a refused one.
/// \return whether the flight may be sent now.
bool Relay::admit(FlightId id, Flight &flight, Time now, RelayActions &actions)
{
    const Route &route = *flight.request.route;
    if (!hasAdmission(flight) || route.targetLatency <= Duration {})
        return true;
    updateCapacity(flight);
    AdmissionRequest request;
    request.id = id;
    request.service = service(flight).name;
    request.priority = flight.request.priority;
    request.team = flight.request.team;
    request.work = workOf(flight.request, service(flight));
    request.target = route.targetLatency;
    request.timeLeft = flight.deadline - now;
    request.late = request.timeLeft < minTimeLeft(route);
    AdmissionDecision decision = m_admission.submit(request, now);
    switch (decision.kind) {
    case AdmissionDecision::Kind::Admit:
        return true;
    case AdmissionDecision::Kind::Wait:
        flight.awaitsAdmission = true;
        return false;
    case AdmissionDecision::Kind::Refuse:
        finish(id, FlightOutcome::Failed, {EndCause::Admission, std::move(decision.reason)}, now,
               actions, decision.retryAfter);
        return false;
    }
    return false;
}

/// Sends or refuses the flights on which Admission has decided.
void Relay::dispatchAdmitted(Time now, RelayActions &actions)
{
    if (!m_settings.admission.enabled)
        return;
    for (AdmissionDecision &decision : m_admission.poll(now)) {
        const auto it = m_flights.find(decision.id);
        if (it == m_flights.end())
            continue;
        if (decision.kind == AdmissionDecision::Kind::Refuse) {
            finish(decision.id, FlightOutcome::Failed,
                   {EndCause::Admission, std::move(decision.reason)}, now, actions,
                   decision.retryAfter);
            continue;
        }
        it->second.awaitsAdmission = false;
        it->second.waitingSince = now;
        dispatch(decision.id, it->second, now, actions);
    }
}

/// The urgency to send to engines, so that requests of a higher priority do not queue behind others
/// there; nothing without admission control or for a plain service.
std::optional<int> Relay::urgency(const Flight &flight) const
{
    if (!hasAdmission(flight) || !service(flight).model)
        return std::nullopt;
    constexpr int RouteUrgencies = 3; // urgencies for each priority of teams
    const int team = flight.request.priority / RoutePriorities;
    const int route = flight.request.priority % RoutePriorities;
    return std::clamp(team * RouteUrgencies + std::min(route, RouteUrgencies - 1), 0, MaxUrgency);
}

} // namespace balsamloft
