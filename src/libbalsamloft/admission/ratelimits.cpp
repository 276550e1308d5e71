#include <balsamloft/admission/ratelimits.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace balsamloft {

namespace {

/// Every slot whose number is a multiple of this constant belongs to an instance outside the
/// endpoint's failure domain.
constexpr std::int64_t OtherDomainsInterval = 4;

/// Range to which announced limits are clamped.
constexpr double MaxPerSecond = 10'000;
constexpr double MinPerSecond = 0.01;

/// Share of a limit for requests that find out whether the expired limit still applies.
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
        assignSlots(limit, now);
}

/// Updates the rotations of \a limit. Slots that began before \a now are excluded: they were
/// assigned by the old rotations, so under the new ones a slot that this instance has already used
/// could appear unused.
void RateLimits::assignSlots(Limit &limit, Time now) const
{
    limit.endpointDomain = rotationOf(limit.domain, true);
    limit.otherDomains = rotationOf(limit.domain, false);
    limit.usedUntil = std::max(limit.usedUntil, sharedSeconds(now));
}

void RateLimits::removeUnlisted(const FleetSnapshot &fleet)
{
    std::erase_if(m_limits, [&](const auto &each) { return !fleet.find(each.first); });
}

void RateLimits::recordAnswer(const FleetEndpoint &endpoint, std::optional<double> perSecond,
                              Time now)
{
    if (!perSecond || std::isnan(*perSecond)) {
        m_limits.erase(endpoint.id);
        return;
    }
    const double clamped = std::clamp(*perSecond, MinPerSecond, MaxPerSecond);
    Limit &limit = m_limits[endpoint.id];
    limit.domain = endpoint.domain;
    limit.lastAnswerAt = now;
    if (std::exchange(limit.perSecond, clamped) != clamped)
        assignSlots(limit, now);
}

void RateLimits::recordSend(const std::string &endpoint, Time now)
{
    const auto it = m_limits.find(endpoint);
    if (it == m_limits.end())
        return;
    it->second.sentAt = now;
    if (const auto slot = usableSlot(it->second, now))
        it->second.usedUntil = *slot;
}

RateLimits::Rotation RateLimits::rotationOf(const std::string &domain, bool inDomain) const
{
    Rotation rotation;
    for (const PeerInstance &each : m_instances) {
        if ((each.domain == domain) != inDomain)
            continue;
        if (each.name == m_self)
            rotation.position = rotation.count;
        rotation.count += 1;
    }
    return rotation;
}

bool RateLimits::ownsSlot(const Limit &limit, std::int64_t slot)
{
    const bool bothKinds = limit.endpointDomain.count > 0 && limit.otherDomains.count > 0;
    const bool toOtherDomains =
        limit.endpointDomain.count == 0 || (bothKinds && slot % OtherDomainsInterval == 0);
    const Rotation &rotation = toOtherDomains ? limit.otherDomains : limit.endpointDomain;
    const std::int64_t otherDomainSlots = slot / OtherDomainsInterval;
    const std::int64_t number = !bothKinds       ? slot
                                : toOtherDomains ? otherDomainSlots
                                                 : slot - otherDomainSlots;
    return rotation.position
           && number % static_cast<std::int64_t>(rotation.count)
                  == static_cast<std::int64_t>(*rotation.position);
}

/// Returns the beginning of the oldest slot that this instance may use now.
std::optional<double> RateLimits::usableSlot(const Limit &limit, Time now) const
{
    const double until = sharedSeconds(now);
    const double from = std::max(until - seconds(m_settings.slotLifetime), limit.usedUntil);
    const auto last = static_cast<std::int64_t>(std::floor(until * limit.perSecond));
    for (auto slot = static_cast<std::int64_t>(std::floor(from * limit.perSecond)) + 1;
         slot <= last; ++slot) {
        const double begin = static_cast<double>(slot) / limit.perSecond;
        if (begin > from && ownsSlot(limit, slot))
            return begin;
    }
    return std::nullopt;
}

/// Returns the time after which an instance may send a request to find out whether the limit
/// still applies. The time grows with the number of instances, so that these requests take up a
/// small part of the limit. It differs between instances, since all of them may have received
/// the limit at the same time.
Duration RateLimits::validityOf(const Limit &limit) const
{
    const double shared =
        static_cast<double>(m_instances.size()) / (ProbeShare * limit.perSecond + 0.5);
    const double minValidity = std::max(seconds(m_settings.limitValidity), shared);
    const double spread = static_cast<double>(std::hash<std::string> {}(m_self) % 1000) / 1000;
    return Duration(static_cast<std::int64_t>(minValidity * (1 + spread) * 1e6));
}

bool RateLimits::maySend(const std::string &endpoint, Time now) const
{
    const auto it = m_limits.find(endpoint);
    if (it == m_limits.end())
        return true;
    const Limit &limit = it->second;
    if (now - limit.lastAnswerAt > validityOf(limit)
        && now - limit.sentAt >= m_settings.probeInterval)
        return true;
    return usableSlot(limit, now).has_value();
}

std::set<std::string> RateLimits::blockedEndpoints(Time now) const
{
    std::set<std::string> endpoints;
    for (const auto &[id, limit] : m_limits)
        if (!maySend(id, now))
            endpoints.insert(id);
    return endpoints;
}

} // namespace balsamloft
