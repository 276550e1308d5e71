#include <balsamloft/ratelimits.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace balsamloft {

namespace {

/// Every so many slots one goes to the instances of other domains.
constexpr std::int64_t OthersEvery = 4;

/// Limits beyond these are taken for these.
constexpr double MostPerSecond = 10'000;
constexpr double LeastPerSecond = 0.01;

/// Share of a limit that instances may use up that no longer believe in it.
constexpr double ProbeShare = 0.125;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RateLimits::RateLimits(RateLimitSettings settings)
    : m_settings(settings)
{
}

double RateLimits::sharedSeconds(Time now) const
{
    return seconds(now.time_since_epoch() + m_offset);
}

void RateLimits::setInstances(std::span<const PeerInstance> all, const std::string &self,
                              const std::string &domain, Time now)
{
    m_self = self;
    m_instances.assign(all.begin(), all.end());
    if (std::none_of(all.begin(), all.end(),
                     [&](const PeerInstance &each) { return each.name == self; }))
        m_instances.push_back({self, domain, {}});
    std::sort(m_instances.begin(), m_instances.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    for (auto &[id, limit] : m_limits)
        share(limit, now);
}

/// Slots that began before were shared otherwise: the one that this instance used may seem
/// to be free.
void RateLimits::share(Limit &limit, Time now) const
{
    limit.own = turnOf(limit.domain, true);
    limit.others = turnOf(limit.domain, false);
    limit.usedTo = std::max(limit.usedTo, sharedSeconds(now));
}

void RateLimits::follow(const FleetSnapshot &fleet)
{
    std::erase_if(m_limits, [&](const auto &each) { return !fleet.find(each.first); });
}

void RateLimits::answered(const FleetEndpoint &endpoint, std::optional<double> perSecond, Time now)
{
    if (!perSecond || std::isnan(*perSecond)) {
        m_limits.erase(endpoint.id);
        return;
    }
    const double limited = std::clamp(*perSecond, LeastPerSecond, MostPerSecond);
    Limit &limit = m_limits[endpoint.id];
    limit.domain = endpoint.domain;
    limit.heardAt = now;
    if (std::exchange(limit.perSecond, limited) != limited)
        share(limit, now);
}

void RateLimits::sent(const std::string &endpoint, Time now)
{
    const auto it = m_limits.find(endpoint);
    if (it == m_limits.end())
        return;
    it->second.sentAt = now;
    if (const auto slot = freeSlot(it->second, now))
        it->second.usedTo = *slot;
}

RateLimits::Turn RateLimits::turnOf(const std::string &domain, bool within) const
{
    Turn turn;
    for (const PeerInstance &each : m_instances) {
        if ((each.domain == domain) != within)
            continue;
        if (each.name == m_self)
            turn.place = turn.count;
        turn.count += 1;
    }
    return turn;
}

bool RateLimits::owns(const Limit &limit, std::int64_t slot)
{
    const bool divided = limit.own.count > 0 && limit.others.count > 0;
    const bool toOthers = limit.own.count == 0 || (divided && slot % OthersEvery == 0);
    const Turn &turn = toOthers ? limit.others : limit.own;
    const std::int64_t toOthersBefore = slot / OthersEvery;
    const std::int64_t number = !divided ? slot : toOthers ? toOthersBefore : slot - toOthersBefore;
    return turn.place
           && number % static_cast<std::int64_t>(turn.count)
                  == static_cast<std::int64_t>(*turn.place);
}

/// When the oldest slot began that this instance may use now.
std::optional<double> RateLimits::freeSlot(const Limit &limit, Time now) const
{
    const double until = sharedSeconds(now);
    const double from = std::max(until - seconds(m_settings.slotLifetime), limit.usedTo);
    const auto last = static_cast<std::int64_t>(std::floor(until * limit.perSecond));
    for (auto slot = static_cast<std::int64_t>(std::floor(from * limit.perSecond)) + 1;
         slot <= last; ++slot) {
        const double begin = static_cast<double>(slot) / limit.perSecond;
        if (begin > from && owns(limit, slot))
            return begin;
    }
    return std::nullopt;
}

/// Who no longer believes in a limit may send a request to find out. The more instances share
/// it, the longer each believes, so that these requests stay a small part of it; and for an
/// own length each, since all may have heard of it at the same moment.
Duration RateLimits::validityOf(const Limit &limit) const
{
    const double shared =
        static_cast<double>(m_instances.size()) / (ProbeShare * limit.perSecond + 0.5);
    const double least = std::max(seconds(m_settings.limitValidity), shared);
    const double spread = static_cast<double>(std::hash<std::string> {}(m_self) % 1000) / 1000;
    return Duration(static_cast<std::int64_t>(least * (1 + spread) * 1e6));
}

bool RateLimits::maySend(const std::string &endpoint, Time now) const
{
    const auto it = m_limits.find(endpoint);
    if (it == m_limits.end())
        return true;
    const Limit &limit = it->second;
    if (now - limit.heardAt > validityOf(limit) && now - limit.sentAt >= m_settings.probeInterval)
        return true;
    return freeSlot(limit, now).has_value();
}

std::set<std::string> RateLimits::closed(Time now) const
{
    std::set<std::string> endpoints;
    for (const auto &[id, limit] : m_limits)
        if (!maySend(id, now))
            endpoints.insert(id);
    return endpoints;
}

} // namespace balsamloft
