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

/// Share of a limit for requests that check whether the expired limit still applies.
constexpr double ProbeShare = 0.125;

/// Part of the slots that instances without a total may own at most while slots follow the demand
/// of the others. With more of them, the others could use only a small part of the limit.
constexpr double MaxMissingPart = 0.5;

/// Totals that arrive sooner than this after the last one are ignored.
constexpr Duration MinUpdateInterval {200'000};

/// For slots that began in the past, the part of this instance is computed once in this interval.
constexpr Duration PartInterval {200'000};

/// Part of the slots that belongs to instances outside the endpoint's failure domain.
constexpr double OtherDomainsPart = 1.0 / static_cast<double>(OtherDomainsInterval);

/// Returns the fractional part of \a number times the golden ratio. Its values for consecutive
/// numbers are evenly distributed, so the numbers with a value below x make up the part x of any
/// sequence, and an increase of x only adds numbers.
double evenlyDistributed(std::uint64_t number)
{
    constexpr std::uint64_t GoldenRatio = 0x9E37'79B9'7F4A'7C15; // fractional part times 2^64
    return std::ldexp(static_cast<double>((number * GoldenRatio) >> 11), -53);
}

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
    const auto position = std::find_if(m_instances.begin(), m_instances.end(),
                                       [&](const auto &each) { return each.name == self; });
    m_position = static_cast<std::size_t>(position - m_instances.begin());
    for (auto &[id, limit] : m_limits)
        assignSlots(limit, now);
}

void RateLimits::applyFleetLoad(const FleetLoad &load, Time now)
{
    const auto demandOf = [](const LoadSummary &report, const std::string &service) {
        const auto it = std::find_if(report.services.begin(), report.services.end(),
                                     [&](const auto &each) { return each.service == service; });
        return it == report.services.end() ? 0 : std::max(0.0, it->demand);
    };
    m_loadAppliedAt = now;
    for (const ServiceLoad &total : load.total.services) {
        if (!(total.demand > 0) || !std::isfinite(total.demand))
            continue;
        Demand &demand = m_demand[total.service];
        const double own = std::min(demandOf(load.own, total.service), total.demand);
        double weight = 1;
        if (!demand.shares.empty()) {
            const Duration elapsed = now - demand.shares.back().knownAt;
            if (elapsed < MinUpdateInterval)
                continue;
            weight -= std::exp(-seconds(elapsed) / m_settings.averagingSeconds);
        }
        demand.own += weight * (own - demand.own);
        demand.total += weight * (total.demand - demand.total);
        addShare(demand, {now, load.asOf, demand.own / demand.total, load.total.instances});
    }
    std::erase_if(m_demand, [&](const auto &each) {
        return now - each.second.shares.back().knownAt > m_settings.lendingTime;
    });
}

void RateLimits::addShare(Demand &demand, DemandShare share) const
{
    std::deque<DemandShare> &shares = demand.shares;
    shares.push_back(share);
    // Shares are kept that applied increaseDelay before the beginning of the oldest usable slot.
    const Duration kept = m_settings.increaseDelay + m_settings.slotLifetime;
    while (shares.size() > 1 && share.knownAt - shares[1].knownAt >= kept)
        shares.pop_front();
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
    limit.service = endpoint.service;
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

/// Returns the position of \a slot among the slots of this instance if it is one of them.
std::optional<std::uint64_t> RateLimits::ownedSlotNumber(const Limit &limit, std::int64_t slot)
{
    const bool bothKinds = limit.endpointDomain.count > 0 && limit.otherDomains.count > 0;
    const bool toOtherDomains =
        limit.endpointDomain.count == 0 || (bothKinds && slot % OtherDomainsInterval == 0);
    const Rotation &rotation = toOtherDomains ? limit.otherDomains : limit.endpointDomain;
    const std::int64_t otherDomainSlots = slot / OtherDomainsInterval;
    const std::int64_t number = !bothKinds       ? slot
                                : toOtherDomains ? otherDomainSlots
                                                 : slot - otherDomainSlots;
    const auto count = static_cast<std::int64_t>(rotation.count);
    const bool owned =
        rotation.position && number % count == static_cast<std::int64_t>(*rotation.position);
    if (!owned)
        return std::nullopt;
    return static_cast<std::uint64_t>(number / count);
}

/// Returns the part of the slots that this instance owns in the rotation.
double RateLimits::ownPart(const Limit &limit)
{
    const bool inDomain = limit.endpointDomain.position.has_value();
    const Rotation &rotation = inDomain ? limit.endpointDomain : limit.otherDomains;
    if (!rotation.position)
        return 0;
    const bool bothKinds = limit.endpointDomain.count > 0 && limit.otherDomains.count > 0;
    const double ofKind = !bothKinds ? 1 : inDomain ? 1 - OtherDomainsPart : OtherDomainsPart;
    return ofKind / static_cast<double>(rotation.count);
}

/// Returns the part of the slots that \a demand allows this instance to use. It is not known which
/// of the listed instances the total lacks; they are assumed to be those that own most slots.
double RateLimits::partFor(const Limit &limit, const DemandShare &demand) const
{
    const double own = ownPart(limit);
    const std::size_t missing =
        m_instances.size() - std::min<std::size_t>(m_instances.size(), demand.instances);
    const auto inDomain = static_cast<double>(limit.endpointDomain.count);
    const auto others = static_cast<double>(limit.otherDomains.count);
    const double inDomainPart = inDomain > 0 && others > 0 ? 1 - OtherDomainsPart
                                : inDomain > 0             ? 1
                                                           : 0;
    const std::pair<double, double> kinds[] = {{inDomain, inDomainPart},
                                               {others, 1 - inDomainPart}};
    const bool inDomainFirst = inDomainPart * others >= (1 - inDomainPart) * inDomain;
    auto left = static_cast<double>(missing);
    double missingPart = 0;
    for (const std::size_t kind : {inDomainFirst ? 0U : 1U, inDomainFirst ? 1U : 0U}) {
        const auto [count, ofKind] = kinds[kind];
        const double taken = std::min(left, count);
        missingPart += count > 0 ? ofKind * taken / count : 0;
        left -= taken;
    }
    if (missingPart > MaxMissingPart)
        return own;
    return own + m_settings.demandPart * ((1 - missingPart) * demand.share - own);
}

/// Returns the part of the slots that this instance uses at \a at. An increase beyond its own part
/// is delayed, since the instances that own these slots may not know of it yet.
double RateLimits::partOf(const Limit &limit, Time at) const
{
    const double own = ownPart(limit);
    const auto it = m_demand.find(limit.service);
    if (it == m_demand.end())
        return own;
    const std::deque<DemandShare> &shares = it->second.shares;
    auto last = std::find_if(shares.rbegin(), shares.rend(),
                             [&](const auto &each) { return each.knownAt <= at; });
    if (last == shares.rend() || at - last->knownAt > m_settings.lendingTime)
        return own;
    double part = partFor(limit, *last);
    if (part <= own)
        return part;
    Time validUntil = at;
    for (auto each = last; each != shares.rend(); ++each) {
        if (validUntil - each->measuredAt > m_settings.loadLifetime)
            return own;
        part = std::min(part, partFor(limit, *each));
        if (each->knownAt <= at - m_settings.increaseDelay)
            return std::max(part, own);
        validUntil = each->knownAt;
    }
    return own;
}

bool RateLimits::followsDemand(Time now) const
{
    return m_loadAppliedAt && now - *m_loadAppliedAt <= m_settings.loadLifetime;
}

double RateLimits::part(const std::string &endpoint, Time now) const
{
    const auto it = m_limits.find(endpoint);
    return it == m_limits.end() ? 1 : partOf(it->second, now);
}

/// Returns the beginning of the oldest slot that this instance may use now.
std::optional<double> RateLimits::usableSlot(const Limit &limit, Time now) const
{
    const double until = sharedSeconds(now);
    const double from = std::max(until - seconds(m_settings.slotLifetime), limit.usedUntil);
    const auto last = static_cast<std::int64_t>(std::floor(until * limit.perSecond));
    const double own = ownPart(limit);
    const double partNow = partOf(limit, now);
    double part = partNow;
    // Different instances begin at different points of the even distribution, so that they seldom
    // use the same slots.
    const auto position = static_cast<double>(m_position)
                          / static_cast<double>(std::max<std::size_t>(1, m_instances.size()));
    const auto uses = [&](std::int64_t slot) {
        if (const auto number = ownedSlotNumber(limit, slot))
            return part >= own || evenlyDistributed(*number + m_position) < part / own;
        if (part <= own)
            return false;
        const double distance = evenlyDistributed(static_cast<std::uint64_t>(slot)) - position;
        return distance - std::floor(distance) < (part - own) / (1 - own);
    };
    // An increase does not apply to slots that began before, which others may have used.
    Duration partAge = Duration::max();
    for (auto slot = static_cast<std::int64_t>(std::floor(from * limit.perSecond)) + 1;
         slot <= last; ++slot) {
        const double begin = static_cast<double>(slot) / limit.perSecond;
        if (begin <= from)
            continue;
        const auto age = Duration(static_cast<std::int64_t>((until - begin) * 1e6)) / PartInterval
                         * PartInterval;
        if (std::exchange(partAge, age) != age)
            part = std::min(partNow, partOf(limit, now - age));
        if (uses(slot))
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
