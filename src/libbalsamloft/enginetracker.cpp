#include <balsamloft/enginetracker.h>

#include <algorithm>
#include <cmath>

namespace balsamloft {

namespace {

/// Weight of one reading in the average of a domain's scale.
constexpr double ScaleWeight = 0.1;
constexpr double MostScale = 40;

} // namespace

bool differsNoticeably(const EngineState &told, const EngineState &now, double room)
{
    constexpr double UsedShare = 1.0 / 24; ///< of the room
    constexpr double CountShare = 1.0 / 8;
    constexpr double PaceStep = 0.1;
    const auto differs = [](std::uint32_t before, std::uint32_t after) {
        const double change = std::abs(static_cast<double>(after) - before);
        return change > 1 && change > CountShare * before;
    };
    return now.silent || told.silent || std::abs(now.used - told.used) > UsedShare * room
           || differs(told.active, now.active) || differs(told.queued, now.queued)
           || std::abs(now.pace - told.pace) > PaceStep;
}

EngineTracker::EngineTracker(EngineTrackerSettings settings)
    : m_settings(settings)
{
}

void EngineTracker::follow(const FleetSnapshot &fleet)
{
    std::erase_if(m_beliefs, [&](const auto &each) {
        return each.second.streams == 0 && !fleet.find(each.first);
    });
}

void EngineTracker::started(const std::string &id, double tokenLayers, bool first)
{
    EngineEstimate &each = belief(id);
    each.streams += 1;
    each.tokenLayers += tokenLayers;
    each.ownStartingHere += first ? 1 : 0;
}

void EngineTracker::ended(const std::string &id, double tokenLayers, bool first)
{
    EngineEstimate &each = belief(id);
    each.streams -= std::min(each.streams, 1U);
    each.tokenLayers = each.streams == 0 ? 0 : std::max(0.0, each.tokenLayers - tokenLayers);
    each.ownStartingHere -= first ? std::min(each.ownStartingHere, 1U) : 0;
}

void EngineTracker::suspect(const std::string &id, Time now)
{
    belief(id).suspectUntil = now + m_settings.suspicion;
}

void EngineTracker::recordAnswer(const std::string &id, Time now)
{
    const auto it = m_beliefs.find(id);
    if (it == m_beliefs.end())
        return;
    it->second.suspectUntil = Time {};
    it->second.lastAnswerAt = now;
}

void EngineTracker::refusedBusy(const std::string &id, Time now)
{
    EngineEstimate &each = belief(id);
    // Requests sent together are refused together: that is one refusal.
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
    const auto it = m_beliefs.find(id);
    if (it != m_beliefs.end())
        it->second.consecutiveRefusals = 0;
}

void EngineTracker::setSlowdown(const std::string &id, double pace, Time now)
{
    EngineEstimate &each = belief(id);
    each.pace = std::max(1.0, pace);
    each.slowdownUntil = now + m_settings.slowdownLifetime;
}

double EngineTracker::decay(const EngineEstimate &belief, Time now) const
{
    const std::chrono::duration<double> elapsed = now - belief.decayedAt;
    const std::chrono::duration<double> half = m_settings.failureHalfLife;
    return std::exp2(-std::max(0.0, elapsed.count()) / half.count());
}

void EngineTracker::finished(const std::string &id, bool failed, Time now)
{
    EngineEstimate &each = belief(id);
    const double kept = decay(each, now);
    each.decayedAt = now;
    each.failures = each.failures * kept + (failed ? 1 : 0);
    each.answers = each.answers * kept + 1;
}

void EngineTracker::updateScale(const std::string &id, const std::string &domain,
                                std::uint32_t running)
{
    const EngineEstimate *each = find(id);
    if (!each || each->ownStartingHere == 0)
        return;
    const double ratio =
        std::clamp(static_cast<double>(running) / each->ownStartingHere, 1.0, MostScale);
    const auto [it, fresh] = m_scales.try_emplace(domain, m_sharingInstances);
    it->second += ScaleWeight * (ratio - it->second);
}

namespace {

/// Time over which own use of a pipe is averaged: long enough for some requests
/// of each instance, short enough to notice that others went elsewhere.
constexpr double PipeMemoryMs = 1500;

double pipeDecay(Time from, Time now)
{
    const std::chrono::duration<double, std::milli> elapsed = now - from;
    return std::exp(-std::max(0.0, elapsed.count()) / PipeMemoryMs);
}

} // namespace

void EngineTracker::recordTransfer(const std::string &from, const std::string &to, double pipeMs,
                                   Time now)
{
    PipeUse &use = m_pipes[std::minmax(from, to)];
    use.ms = use.ms * pipeDecay(use.at, now) + pipeMs;
    use.at = now;
}

double EngineTracker::linkLoad(std::string_view from, std::string_view to, Time now) const
{
    const auto ordered = std::minmax(from, to);
    const auto it =
        m_pipes.find(std::pair(std::string(ordered.first), std::string(ordered.second)));
    return it == m_pipes.end()
               ? 0
               : it->second.ms * pipeDecay(it->second.at, now) * m_instances / PipeMemoryMs;
}

const EngineEstimate *EngineTracker::find(std::string_view id) const
{
    const auto it = m_beliefs.find(id);
    return it == m_beliefs.end() ? nullptr : &it->second;
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

double EngineTracker::scale(const std::string &domain) const
{
    const auto it = m_scales.find(domain);
    return it == m_scales.end() ? m_sharingInstances : it->second;
}

void EngineTracker::reported(const EngineState &state, Time now)
{
    EngineEstimate &each = belief(state.id);
    if (state.at <= each.reportedAt)
        return;
    if (state.silent) {
        // News that was under way when the engine answered is older than the answer.
        if (state.at > each.lastAnswerAt)
            suspect(state.id, now);
        return;
    }
    setSlowdown(state.id, state.pace, now);
    each.reportedAt = state.at;
    each.confirmedAt = std::max(each.confirmedAt, state.at);
    each.reportedUsed = state.used;
    each.reportedActive = state.active;
    each.reportedQueued = state.queued;
    countOwn(each, now);
}

/// What is sent from now on comes on top of what was reported.
void EngineTracker::countOwn(EngineEstimate &belief, Time now)
{
    belief.ownCountedAt = now;
    belief.ownUsedAtReport = belief.tokenLayers;
    belief.ownRequestsAtReport = belief.streams;
}

void EngineTracker::confirmUnchanged(std::string_view id, Time at, Time now)
{
    const auto it = m_beliefs.find(id);
    if (it == m_beliefs.end() || it->second.reportedAt == Time {} || at <= it->second.confirmedAt)
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
    const double others = scale(domain);
    if (now - each->confirmedAt > m_settings.reportLifetime)
        return {each->tokenLayers * others, each->streams * others, 0, false};
    const double newUsed = std::max(0.0, each->tokenLayers - each->ownUsedAtReport);
    const double newStreams = each->streams > each->ownRequestsAtReport
                                  ? static_cast<double>(each->streams - each->ownRequestsAtReport)
                                  : 0;
    return {std::max(each->tokenLayers, each->reportedUsed + newUsed * others),
            std::max<double>(each->streams, each->reportedActive + newStreams * others),
            static_cast<double>(each->reportedQueued), true};
}

double EngineTracker::failureShare(std::string_view id, Time now) const
{
    const EngineEstimate *each = find(id);
    if (!each)
        return 0;
    // Two good answers are assumed, so that one failure alone says little.
    const double kept = decay(*each, now);
    return each->failures * kept / (each->answers * kept + 2);
}

} // namespace balsamloft
