#include <balsamloft/admission/capacityshares.h>

#include <algorithm>
#include <cmath>

namespace balsamloft {

namespace {

/// Demand per second below which a service counts as not used. The average of a demand that has
/// ended never reaches zero.
constexpr double MinDemand = 1e-6;

/// The averages restart if the total includes fewer instances than this part of the highest number
/// since their start. Otherwise the demand of dead instances would reserve capacity for some
/// seconds longer.
constexpr double MinRemainingPart = 0.9;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

CapacityShares::CapacityShares(CapacityShareSettings settings)
    : m_settings(settings)
{
}

void CapacityShares::setInstances(std::size_t count)
{
    m_instances = std::max<std::size_t>(1, count);
}

/// Own demand and total demand are averaged with the same weights, so that the shares of instances
/// that receive the same totals sum to one at each time.
void CapacityShares::update(const FleetLoad &load, Time now)
{
    // An isolated instance would otherwise claim the capacity of all.
    if (load.total.instances <= 1 && m_instances > 1)
        return;
    const double elapsed = m_updatedAt ? seconds(std::max(Duration {}, now - *m_updatedAt)) : 0;
    const bool restart = !m_updatedAt || ageWeight(now) == 0
                         || load.total.instances < MinRemainingPart * m_maxIncluded;
    const double weight = restart ? 1 : 1 - std::exp(-elapsed / m_settings.averagingSeconds);
    if (restart)
        m_demands.clear();
    m_updatedAt = now;
    m_asOf = load.asOf;
    m_maxIncluded = restart ? load.total.instances : std::max(m_maxIncluded, load.total.instances);
    for (auto &[service, demand] : m_demands) {
        demand.own *= 1 - weight;
        demand.total *= 1 - weight;
    }
    for (const ServiceLoad &each : load.total.services) {
        // There are no earlier values to average with if the service was not used.
        const auto [it, inserted] = m_demands.try_emplace(each.service);
        const double part = inserted ? 1 : weight;
        it->second.total += part * each.demand;
        if (const ServiceLoad *own = load.own.find(each.service))
            it->second.own += part * std::min(own->demand, each.demand);
    }
    std::erase_if(m_demands, [](const auto &each) { return each.second.total < MinDemand; });
}

/// Returns the weight of the demand in the shares: 1 while the load is recent, then falling to 0.
double CapacityShares::ageWeight(Time now) const
{
    if (!m_updatedAt)
        return 0;
    const double overdue = seconds(now - m_asOf - m_settings.loadLifetime);
    const double decay = std::max(1e-6, seconds(m_settings.decayTime));
    return std::clamp(1 - overdue / decay, 0.0, 1.0);
}

double CapacityShares::share(std::string_view service, Time now) const
{
    const double equal = 1 / static_cast<double>(m_instances);
    const auto it = m_demands.find(service);
    if (it == m_demands.end())
        return equal;
    const double byDemand = std::clamp(it->second.own / it->second.total, 0.0, 1.0);
    const double weight = (1 - m_settings.equalPart) * ageWeight(now);
    return weight * byDemand + (1 - weight) * equal;
}

} // namespace balsamloft
