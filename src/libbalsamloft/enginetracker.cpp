#include <balsamloft/enginetracker.h>

#include <algorithm>
#include <cmath>

namespace balsamloft {

namespace {

/// Weight of one report in the moving average of a domain's work ratio.
constexpr double RatioWeight = 0.1;
constexpr double MaxWorkRatio = 40;

} // namespace

bool differsNoticeably(const EngineState &before, const EngineState &now, double kvCapacity)
{
    constexpr double UsedShare = 1.0 / 24; ///< of the KV capacity
    constexpr double CountShare = 1.0 / 8;
    constexpr double SlowdownStep = 0.1;
    const auto differs = [](std::uint32_t previous, std::uint32_t current) {
        const double change = std::abs(static_cast<double>(current) - previous);
        return change > 1 && change > CountShare * previous;
    };
    return now.silent || before.silent || std::abs(now.used - before.used) > UsedShare * kvCapacity
           || differs(before.active, now.active) || differs(before.queued, now.queued)
           || std::abs(now.slowdown - before.slowdown) > SlowdownStep;
}

EngineTracker::EngineTracker(EngineTrackerSettings settings)
    : m_settings(settings)
{
}

void EngineTracker::removeUnlisted(const FleetSnapshot &fleet)
{
    std::erase_if(m_estimates, [&](const auto &each) {
        return each.second.ownRequests == 0 && !fleet.find(each.first);
    });
}

void EngineTracker::requestStarted(const std::string &id, double tokenLayers, bool startsHere)
{
    EngineEstimate &each = estimate(id);
    each.ownRequests += 1;
    each.tokenLayers += tokenLayers;
    each.ownStartingHere += startsHere ? 1 : 0;
}

void EngineTracker::requestFinished(const std::string &id, double tokenLayers, bool startsHere)
{
    EngineEstimate &each = estimate(id);
    each.ownRequests -= std::min(each.ownRequests, 1U);
    each.tokenLayers = each.ownRequests == 0 ? 0 : std::max(0.0, each.tokenLayers - tokenLayers);
    each.ownStartingHere -= startsHere ? std::min(each.ownStartingHere, 1U) : 0;
}

void EngineTracker::suspect(const std::string &id, Time now)
{
    estimate(id).suspectUntil = now + m_settings.suspectDuration;
}

void EngineTracker::recordAnswer(const std::string &id, Time now)
{
    const auto it = m_estimates.find(id);
    if (it == m_estimates.end())
        return;
    it->second.suspectUntil = Time {};
    it->second.lastAnswerAt = now;
}

void EngineTracker::refusedBusy(const std::string &id, Time now)
{
    EngineEstimate &each = estimate(id);
    // Requests that were sent at the same time are refused together. Count them once.
    if (now < each.pausedUntil)
        return;
    if (now - each.pausedUntil > m_settings.maxBusyPause)
        each.consecutiveRefusals = 0;
    each.pausedUntil = now
                       + exponentialBackoff(m_settings.initialBusyPause, each.consecutiveRefusals,
                                            m_settings.maxBusyPause);
    each.consecutiveRefusals += 1;
}

void EngineTracker::resetRefusals(const std::string &id)
{
    const auto it = m_estimates.find(id);
    if (it != m_estimates.end())
        it->second.consecutiveRefusals = 0;
}

void EngineTracker::setSlowdown(const std::string &id, double slowdown, Time now)
{
    EngineEstimate &each = estimate(id);
    each.slowdown = std::max(1.0, slowdown);
    each.slowdownUntil = now + m_settings.slowdownLifetime;
}

double EngineTracker::decay(const EngineEstimate &estimate, Time now) const
{
    const std::chrono::duration<double> elapsed = now - estimate.decayedAt;
    const std::chrono::duration<double> half = m_settings.failureHalfLife;
    return std::exp2(-std::max(0.0, elapsed.count()) / half.count());
}

void EngineTracker::recordOutcome(const std::string &id, bool failed, Time now)
{
    EngineEstimate &each = estimate(id);
    const double remaining = decay(each, now);
    each.decayedAt = now;
    each.failures = each.failures * remaining + (failed ? 1 : 0);
    each.outcomes = each.outcomes * remaining + 1;
}

void EngineTracker::updateWorkRatio(const std::string &id, const std::string &domain,
                                    std::uint32_t running)
{
    const EngineEstimate *each = find(id);
    if (!each || each->ownStartingHere == 0)
        return;
    const double ratio =
        std::clamp(static_cast<double>(running) / each->ownStartingHere, 1.0, MaxWorkRatio);
    const auto [it, inserted] = m_workRatios.try_emplace(domain, m_sharingInstances);
    it->second += RatioWeight * (ratio - it->second);
}

namespace {

/// Time over which own use of a link is averaged: long enough to include some requests of each
/// instance, short enough to follow when other instances change their paths.
constexpr double LinkAveragingMs = 1500;

double linkDecay(Time from, Time now)
{
    const std::chrono::duration<double, std::milli> elapsed = now - from;
    return std::exp(-std::max(0.0, elapsed.count()) / LinkAveragingMs);
}

} // namespace

void EngineTracker::recordTransfer(const std::string &from, const std::string &to,
                                   double transferMs, Time now)
{
    LinkUse &use = m_links[std::minmax(from, to)];
    use.ms = use.ms * linkDecay(use.at, now) + transferMs;
    use.at = now;
}

double EngineTracker::linkLoad(std::string_view from, std::string_view to, Time now) const
{
    const auto domains = std::minmax(from, to);
    const auto it =
        m_links.find(std::pair(std::string(domains.first), std::string(domains.second)));
    return it == m_links.end()
               ? 0
               : it->second.ms * linkDecay(it->second.at, now) * m_instances / LinkAveragingMs;
}

const EngineEstimate *EngineTracker::find(std::string_view id) const
{
    const auto it = m_estimates.find(id);
    return it == m_estimates.end() ? nullptr : &it->second;
}

bool EngineTracker::suspected(std::string_view id, Time now) const
{
    const EngineEstimate *each = find(id);
    return each && now < each->suspectUntil;
}

bool EngineTracker::usable(std::string_view id, Time now) const
{
    const EngineEstimate *each = find(id);
    return !each || (now >= each->suspectUntil && now >= each->pausedUntil);
}

double EngineTracker::workRatio(const std::string &domain) const
{
    const auto it = m_workRatios.find(domain);
    return it == m_workRatios.end() ? m_sharingInstances : it->second;
}

void EngineTracker::reported(const EngineState &state, Time now)
{
    EngineEstimate &each = estimate(state.id);
    if (state.at <= each.reportedAt)
        return;
    if (state.silent) {
        // An update that was sent before the engine answered this instance is outdated.
        if (state.at > each.lastAnswerAt)
            suspect(state.id, now);
        return;
    }
    setSlowdown(state.id, state.slowdown, now);
    each.reportedAt = state.at;
    each.confirmedAt = std::max(each.confirmedAt, state.at);
    each.reportedUsed = state.used;
    each.reportedActive = state.active;
    each.reportedQueued = state.queued;
    countOwn(each, now);
}

/// Records the own requests that the report includes, so that load() adds only later ones.
void EngineTracker::countOwn(EngineEstimate &estimate, Time now)
{
    estimate.ownCountedAt = now;
    estimate.ownUsedAtReport = estimate.tokenLayers;
    estimate.ownRequestsAtReport = estimate.ownRequests;
}

void EngineTracker::confirmUnchanged(std::string_view id, Time at, Time now)
{
    const auto it = m_estimates.find(id);
    if (it == m_estimates.end() || it->second.reportedAt == Time {} || at <= it->second.confirmedAt)
        return;
    EngineEstimate &each = it->second;
    each.slowdownUntil = std::max(each.slowdownUntil, at + m_settings.slowdownLifetime);
    each.confirmedAt = at;
    if (now - each.ownCountedAt >= m_settings.reportInterval)
        countOwn(each, now);
}

EngineLoad EngineTracker::load(std::string_view id, const std::string &domain, Time now) const
{
    const EngineEstimate *each = find(id);
    if (!each)
        return {};
    const double ratio = workRatio(domain);
    if (now - each->confirmedAt > m_settings.reportLifetime)
        return {each->tokenLayers * ratio, each->ownRequests * ratio, 0, false};
    const double newUsed = std::max(0.0, each->tokenLayers - each->ownUsedAtReport);
    const double newRequests =
        each->ownRequests > each->ownRequestsAtReport
            ? static_cast<double>(each->ownRequests - each->ownRequestsAtReport)
            : 0;
    return {std::max(each->tokenLayers, each->reportedUsed + newUsed * ratio),
            std::max<double>(each->ownRequests, each->reportedActive + newRequests * ratio),
            static_cast<double>(each->reportedQueued), true};
}

double EngineTracker::failureShare(std::string_view id, Time now) const
{
    const EngineEstimate *each = find(id);
    if (!each)
        return 0;
    // Two successful requests are assumed, so that a single failure has little weight.
    const double remaining = decay(*each, now);
    return each->failures * remaining / (each->outcomes * remaining + 2);
}

} // namespace balsamloft
