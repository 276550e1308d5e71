#include <balsamloft/loadview.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamloft {

namespace {

constexpr double SmoothingWeight = 0.2;
constexpr double RoundTripDecaySeconds = 10;

double smoothed(double old, double sample)
{
    return old + SmoothingWeight * (sample - old);
}

} // namespace

LoadView::LoadView(LoadSettings settings)
    : m_settings(settings)
{
}

void LoadView::setConfig(const Config &config)
{
    for (EndpointState &state : m_states)
        state.configured = false;
    for (const Endpoint &endpoint : config.endpoints()) {
        EndpointId id = find(endpoint.name);
        if (id == NoEndpoint) {
            id = static_cast<EndpointId>(m_states.size());
            m_states.emplace_back().name = endpoint.name;
            m_byName.emplace(endpoint.name, id);
        }
        EndpointState &state = m_states[id];
        state.address = endpoint.address;
        state.domain = endpoint.domain;
        state.slots = endpoint.slots;
        state.speed = endpoint.speed;
        state.configured = true;
    }
}

void LoadView::updatePeak(EndpointState &state, Time now) const
{
    if (now - state.peakWindowStart >= m_settings.reportLag) {
        const bool adjacent = now - state.peakWindowStart < 2 * m_settings.reportLag;
        state.previousOwnPeak = adjacent ? state.ownPeak : state.ownRequests;
        state.ownPeak = state.ownRequests;
        state.peakWindowStart = now;
    }
    state.ownPeak = std::max(state.ownPeak, state.ownRequests);
}

void LoadView::dispatched(EndpointId id, Time now)
{
    changeOwnRequests(m_states[id], 1, now);
}

void LoadView::released(EndpointId id, Time now)
{
    if (m_states[id].ownRequests > 0)
        changeOwnRequests(m_states[id], -1, now);
}

void LoadView::changeOwnRequests(EndpointState &state, int change, Time now) const
{
    const std::chrono::duration<double> elapsed = now - state.ownMeanAt;
    const std::chrono::duration<double> window = m_settings.reportLag;
    const double weight = 1 - std::exp(-elapsed.count() / window.count());
    state.ownMean += weight * (state.ownRequests - state.ownMean);
    state.ownMeanAt = now;
    state.ownRequests = static_cast<std::uint32_t>(static_cast<int>(state.ownRequests) + change);
    updatePeak(state, now);
}

void LoadView::reported(EndpointId id, const LoadReport &report, Time now)
{
    EndpointState &state = m_states[id];
    const std::uint32_t total = report.running + report.waiting;
    // The report may be up to reportLag old, and this instance may have had more requests on the
    // endpoint at that time. If those that have finished since were counted as requests of other
    // instances, slots would stay empty. The opposite error only costs a refusal.
    updatePeak(state, now);
    const std::uint32_t own = std::max(state.ownPeak, state.previousOwnPeak);
    state.otherRequests = total > own ? total - own : 0;
    // A comparison of endpoints needs an unbiased estimate.
    changeOwnRequests(state, 0, now);
    state.expectedOthers = std::max(0.0, total - state.ownMean);
    state.reportedAt = now;
    if (report.stepTime > Duration::zero()) {
        const auto sample = static_cast<double>(report.stepTime.count());
        const auto old = static_cast<double>(state.stepTime.count());
        state.stepTime =
            Duration(static_cast<std::int64_t>(old > 0 ? smoothed(old, sample) : sample));
    }
    // reportedLeaving is not reset here: a report that was sent before the announcement and
    // arrives late must not make the endpoint usable again. Only the answer to a later probe can.
    state.reportedLeaving = state.reportedLeaving || report.leaving;
}

void LoadView::refusedBusy(EndpointId id, Time now)
{
    // A refusal takes precedence over reports: they are delayed, and several instances that
    // rely on the same old report would be refused again and again.
    EndpointState &state = m_states[id];
    state.pausedLimit =
        state.ownRequests > 0 ? state.ownRequests - 1 : 0; // ownRequests includes the refused one
    state.pausedUntil = now
                        + exponentialBackoff(m_settings.initialBusyPause,
                                             state.consecutiveRefusals++, m_settings.maxBusyPause);
}

void LoadView::accepted(EndpointId id)
{
    m_states[id].consecutiveRefusals = 0;
}

double LoadView::expectedLoad(EndpointId id, Time now) const
{
    const EndpointState &state = m_states[id];
    const bool fresh = now - state.reportedAt < m_settings.reportLifetime;
    return state.ownRequests + (fresh ? state.expectedOthers : 0);
}

bool LoadView::hasFreeSlot(EndpointId id, std::uint32_t overcommit, Time now) const
{
    const EndpointState &state = m_states[id];
    if (now < state.pausedUntil && overcommit == 0)
        return state.ownRequests < state.pausedLimit;
    return estimatedLoad(id, now) < state.slots + overcommit;
}

void LoadView::setLeaving(EndpointId id, bool leaving)
{
    m_states[id].leaving = leaving;
}

void LoadView::setReportedLeaving(EndpointId id, bool leaving)
{
    m_states[id].reportedLeaving = leaving;
}

void LoadView::succeeded(EndpointId id)
{
    EndpointState &state = m_states[id];
    state.consecutiveFailures = 0;
    state.ejections = 0;
    state.ejected = false;
}

bool LoadView::failed(EndpointId id, bool silent, Time now)
{
    EndpointState &state = m_states[id];
    ++state.consecutiveFailures;
    if (!silent && state.consecutiveFailures < m_settings.failuresToEject)
        return false;
    const Duration backoff =
        exponentialBackoff(m_settings.initialEjection, state.ejections, m_settings.maxEjection);
    // A successful probe or request ends the ejection. If it ended after some time, callers'
    // requests would fail each time while the endpoint is still unavailable.
    ++state.ejections;
    state.probeAt = std::max(state.probeAt, now + backoff);
    return !std::exchange(state.ejected, true);
}

void LoadView::probed(EndpointId id, bool alive, Time now)
{
    EndpointState &state = m_states[id];
    if (!alive) {
        failed(id, true, now);
        return;
    }
    state.ejected = false;
    state.probeAt = Time {};
    state.consecutiveFailures = 0;
}

void LoadView::affinityOutcome(EndpointId id, bool hit)
{
    EndpointState &state = m_states[id];
    state.prefixHitRate = smoothed(state.prefixHitRate, hit ? 1 : 0);
}

void LoadView::observedRoundTrip(EndpointId id, Duration roundTrip, Time now)
{
    EndpointState &state = m_states[id];
    const auto sample = static_cast<double>(std::max(Duration::zero(), roundTrip).count());
    state.roundTripMicros = smoothed(state.roundTripMicros, sample);
    state.roundTripAt = now;
}

Duration LoadView::roundTrip(EndpointId id, Time now) const
{
    const EndpointState &state = m_states[id];
    const std::chrono::duration<double> age = now - state.roundTripAt;
    return Duration(static_cast<std::int64_t>(state.roundTripMicros
                                              * std::exp(-age.count() / RoundTripDecaySeconds)));
}

EndpointId LoadView::find(std::string_view name) const
{
    const auto it = m_byName.find(name);
    return it == m_byName.end() ? NoEndpoint : it->second;
}

std::uint32_t LoadView::estimatedLoad(EndpointId id, Time now) const
{
    const EndpointState &state = m_states[id];
    if (now - state.reportedAt >= m_settings.reportLifetime)
        return state.ownRequests;
    return state.ownRequests + state.otherRequests;
}

bool LoadView::usable(EndpointId id) const
{
    const EndpointState &state = m_states[id];
    return state.configured && !state.leaving && !state.reportedLeaving && !state.ejected;
}

} // namespace balsamloft
