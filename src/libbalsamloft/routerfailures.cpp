// Failures: retries, refusals, timeouts and probes.

#include "routerimpl.h"

#include <algorithm>

namespace balsamloft {

namespace {

constexpr Duration RetryAfterFailure {500'000};
constexpr std::uint32_t MaxBackoffShift = 6;

} // namespace

void Router::Impl::stepFailed(const StepRef &awaited, FailureKind kind,
                              const std::optional<LoadReport> &load, Time now, Actions &actions)
{
    Flight *flight = find(awaited.request);
    const bool current = flight && flight->state == FlightState::Running
                         && flight->attempt == awaited.attempt
                         && flight->tokens.size() == awaited.position
                         && flight->chain[flight->stage].layers == awaited.layers;
    if (!current)
        return;
    if (load)
        applyLoadReport(flight->chain[flight->stage].endpoint, *load, now, actions);
    attemptFailed(*flight, kind, now, actions);
}

void Router::Impl::callFailed(RequestId id, std::uint32_t attempt, FailureKind kind, Time now,
                              Actions &actions)
{
    Flight *flight = find(id);
    if (flight && flight->state == FlightState::Running && flight->attempt == attempt)
        attemptFailed(*flight, kind, now, actions);
}

void Router::Impl::attemptFailed(Flight &flight, FailureKind kind, Time now, Actions &actions)
{
    const EndpointId endpoint = flight.chain[flight.stage].endpoint;
    // If the first step of an attempt was provably not executed, no part of the attempt was. Any
    // later step follows a step that was executed.
    const bool nothingExecuted = provesNotExecuted(kind) && flight.prefillPass && flight.stage == 0;
    if (nothingExecuted) {
        flight.attemptMayHaveExecuted = false;
        flight.mayHaveExecuted = flight.retries > 0 || !flight.tokens.empty();
    }
    switch (kind) {
    case FailureKind::Busy:
        m_loads.refusedBusy(endpoint, now);
        break;
    case FailureKind::Leaving:
        applyLoadReport(endpoint, {0, 0, {}, true}, now, actions);
        break;
    case FailureKind::StateLost:
        break;
    case FailureKind::NotSent:
    case FailureKind::Broken:
        if (m_loads.failed(endpoint, false, now))
            ++m_counters.ejections;
        probe(endpoint, actions);
        break;
    case FailureKind::Silent:
        if (m_loads.failed(endpoint, true, now))
            ++m_counters.ejections;
        break;
    }
    m_trace.add(flight.request.id, now,
                "attempt " + std::to_string(flight.attempt) + " failed at "
                    + m_loads.state(endpoint).name + ": " + std::string(toString(kind)));
    flight.avoid = endpoint;
    cancelStages(flight, nothingExecuted || kind == FailureKind::NotSent ? endpoint : NoEndpoint,
                 actions);
    release(flight, now);
    if (nothingExecuted)
        return resendUnexecuted(flight, kind, now, actions);
    retryOrRefuse(flight, kind, now, actions);
}

void Router::Impl::resendUnexecuted(Flight &flight, FailureKind kind, Time now, Actions &actions)
{
    ++m_counters.unexecutedAttempts;
    if (kind == FailureKind::NotSent && ++flight.failedConnects > 1) {
        // At least two attempts were not sent, so possibly no endpoint accepts connections.
        // Retrying without a pause could loop until the deadline.
        flight.state = FlightState::Backoff;
        if (flight.failedConnects >= m_settings.maxAttempts)
            return refuse(flight, RefusalCode::NoEndpoint, "no endpoint accepts connections",
                          RetryAfterFailure, now, actions);
        return backOff(flight, flight.failedConnects, now);
    }
    Target &target = targetOf(flight);
    enqueue(flight, true, now);
    dispatchQueued(target, now, actions);
}

void Router::Impl::backOff(Flight &flight, std::uint32_t attempts, Time now)
{
    const std::uint32_t shift = std::min(attempts, MaxBackoffShift);
    const Duration backoff = m_settings.retryBackoff * (1 << shift);
    const Duration wait(static_cast<std::int64_t>(static_cast<double>(backoff.count()) * jitter()));
    setTimer(flight, std::min(flight.request.deadline, now + wait));
}

void Router::Impl::retryOrRefuse(Flight &flight, FailureKind kind, Time now, Actions &actions)
{
    flight.state = FlightState::Backoff; // its chain has been released
    // A non-idempotent request that may have been executed in part is never sent again. The
    // caller has to find out whether it was executed.
    if (flight.request.nonIdempotent)
        return refuse(flight, RefusalCode::EndpointFailed,
                      "the endpoint failed (" + std::string(toString(kind))
                          + ") after the request was sent; a non-idempotent request is not retried",
                      Duration::zero(), now, actions);
    if (flight.retries + 1 >= m_settings.maxAttempts)
        return refuse(flight, RefusalCode::RetriesExhausted,
                      "the request failed after " + std::to_string(flight.attempt) + " attempts",
                      RetryAfterFailure, now, actions);
    if (!m_budget.withdraw(now)) {
        // The endpoints are probably overloaded, and further attempts would add to the load: the
        // request waits until the budget is refilled. Jitter spreads the retries of waiting
        // requests.
        return backOff(flight, flight.retries, now);
    }
    ++flight.retries;
    ++m_counters.retries;
    Target &target = targetOf(flight);
    enqueue(flight, true, now);
    dispatchQueued(target, now, actions);
}

void Router::Impl::probe(EndpointId endpoint, Actions &actions)
{
    if (m_probing.insert(endpoint).second)
        actions.push_back(ProbeEndpoint {endpoint});
}

void Router::Impl::handleTimeout(Flight &flight, Time now, Actions &actions)
{
    const EndpointId endpoint = flight.chain[flight.stage].endpoint;
    probe(endpoint, actions);
    // An idempotent request is retried at once. A non-idempotent request can't be retried,
    // so it waits for the result of the probe and for more timeouts, since the endpoint may
    // only be slow.
    ++flight.silentPeriods;
    if (!flight.request.nonIdempotent || flight.silentPeriods > m_settings.maxSilentPeriods)
        return attemptFailed(flight, FailureKind::Silent, now, actions);
    setTimer(flight, std::min(flight.request.deadline, now + responseTimeout(flight)));
}

void Router::Impl::applyLoadReport(EndpointId endpoint, const LoadReport &load, Time now,
                                   Actions &actions)
{
    const bool wasLeaving = m_loads.state(endpoint).reportedLeaving;
    m_loads.reported(endpoint, load, now);
    if (wasLeaving || !load.leaving)
        return;
    actions.push_back(ReportLeaving {endpoint});
}

void Router::Impl::probeDueEndpoints(Time now, Actions &actions)
{
    m_endpointCheckAt = now + m_settings.endpointCheckInterval;
    for (EndpointId id = 0; id < m_loads.size(); ++id) {
        const EndpointState &state = m_loads.state(id);
        // Endpoints that reported that they are leaving are probed too: a new process may have
        // replaced them, and probes don't burden a leaving endpoint.
        const bool due = state.ejected ? state.probeAt <= now : state.reportedLeaving;
        if (due && state.configured)
            probe(id, actions);
    }
}

void Router::Impl::probeFinished(EndpointId endpoint, bool alive, bool leaving, Time now,
                                 Actions &actions)
{
    m_probing.erase(endpoint);
    if (alive)
        m_loads.setReportedLeaving(endpoint, leaving);
    if (alive) {
        // The endpoint answers on a new connection, so the connection on which it did not answer is
        // broken: a device on the network path may have dropped that connection's state. Other
        // pooled connections may be broken in the same way.
        m_loads.probed(endpoint, true, now);
        actions.push_back(CloseConnections {endpoint});
        return;
    }
    m_loads.probed(endpoint, false, now);
    std::vector<RequestId> unanswered;
    for (const auto &[id, flight] : m_flights) {
        if (flight.state == FlightState::Running && flight.chain[flight.stage].endpoint == endpoint
            && flight.silentPeriods > 0)
            unanswered.push_back(id);
    }
    for (const RequestId id : unanswered) {
        if (Flight *flight = find(id); flight && flight->state == FlightState::Running)
            attemptFailed(*flight, FailureKind::Silent, now, actions);
    }
}

void Router::Impl::callerGone(RequestId id, Time now, Actions &actions)
{
    if (Flight *flight = find(id))
        refuse(*flight, RefusalCode::CallerGone, "the caller closed the connection",
               Duration::zero(), now, actions);
}

void Router::Impl::timerFired(Flight &flight, Time now, Actions &actions)
{
    const bool expired = now >= flight.request.deadline;
    switch (flight.state) {
    case FlightState::Queued: {
        const auto code = expired ? RefusalCode::DeadlineExceeded : RefusalCode::DeadlineUnmeetable;
        return refuse(flight, code, "the request's deadline can no longer be met",
                      RetryAfterFailure, now, actions);
    }
    case FlightState::Claiming:
        return refuse(flight, RefusalCode::ClaimUnavailable,
                      "the deadline passed while the idempotency key was being claimed",
                      RetryAfterFailure, now, actions);
    case FlightState::Running:
        if (!expired)
            return handleTimeout(flight, now, actions);
        return refuse(flight, RefusalCode::DeadlineExceeded,
                      "the deadline passed before the answer was complete", Duration::zero(), now,
                      actions);
    case FlightState::Backoff:
        if (!expired && flight.mayHaveExecuted)
            return retryOrRefuse(flight, FailureKind::Broken, now, actions);
        if (!expired) {
            enqueue(flight, true, now);
            return dispatchQueued(targetOf(flight), now, actions);
        }
        return refuse(flight, RefusalCode::DeadlineExceeded,
                      "the deadline passed while the request waited for a retry", Duration::zero(),
                      now, actions);
    }
}

void Router::Impl::tick(Time now, Actions &actions)
{
    while (!m_timers.empty() && m_timers.begin()->timer <= now) {
        Flight &flight = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        timerFired(flight, now, actions);
    }
    if (m_config && m_endpointCheckAt <= now)
        probeDueEndpoints(now, actions);
    if (m_dispatchAt != Time {} && m_dispatchAt <= now)
        dispatchAllQueues(now, actions);
}

std::optional<Time> Router::Impl::nextWakeup() const
{
    std::optional<Time> next;
    if (!m_timers.empty())
        next = m_timers.begin()->timer;
    for (const Time at : {m_dispatchAt, m_endpointCheckAt}) {
        if (at != Time {})
            next = next ? std::min(*next, at) : at;
    }
    return next;
}

bool Router::Impl::maySend(RequestId id, std::uint32_t attempt, Time now) const
{
    const auto it = m_flights.find(id);
    return it != m_flights.end() && it->second.state == FlightState::Running
           && it->second.attempt == attempt && now < it->second.request.deadline;
}

} // namespace balsamloft
