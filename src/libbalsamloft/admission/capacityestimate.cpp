#include <balsamloft/admission/capacityestimate.h>

#include <algorithm>

namespace balsamloft {

namespace {

/// Attempts per second below which the shares of late and rejected ones are not meaningful.
constexpr double MinAttemptRate = 2;

/// Longest time between two updates for which the factor rises. After a longer pause, it is not
/// known whether the service was fully used all the time.
constexpr double MaxUpdateSeconds = 2;

/// Tokens that the engines of \a domain hold for each layer, or those of all domains if it is
/// empty.
std::vector<double> tokensByLayer(const FleetSnapshot &fleet, const RoutedService &service,
                                  std::string_view domain)
{
    const LayeredModel &model = *service.model;
    std::vector<double> tokens(model.layers, 0);
    for (const FleetEndpoint &each : fleet.endpoints) {
        const AcceleratorKind *kind = model.kind(each.kind);
        const LayerRange held {each.layers.begin, std::min(each.layers.end, model.layers)};
        if (each.service != service.name || each.draining || !kind || held.length() == 0
            || (!domain.empty() && each.domain != domain))
            continue;
        const double perLayer = model.kvCapacity(*kind, each.layers.length()) / held.length();
        for (std::uint32_t layer = held.begin; layer < held.end; ++layer)
            tokens[layer] += perLayer;
    }
    return tokens;
}

double leastOf(const std::vector<double> &tokens)
{
    return tokens.empty() ? 0 : *std::min_element(tokens.begin(), tokens.end());
}

} // namespace

double nominalCapacity(const FleetSnapshot &fleet, const RoutedService &service)
{
    std::set<std::string_view> domains;
    double slots = 0;
    for (const FleetEndpoint &each : fleet.endpoints) {
        if (each.service != service.name || each.draining)
            continue;
        domains.insert(each.domain);
        slots += each.slots;
    }
    if (!service.model)
        return slots;
    double tokens = 0;
    for (const std::string_view domain : domains) {
        const double ofDomain = leastOf(tokensByLayer(fleet, service, domain));
        // Paths from a domain that lacks layers go through several domains.
        if (ofDomain <= 0)
            return leastOf(tokensByLayer(fleet, service, {}));
        tokens += ofDomain;
    }
    return tokens;
}

CapacityEstimate::CapacityEstimate(CapacityEstimateSettings settings)
    : m_settings(settings)
    , m_factor(settings.initialFactor)
{
}

/// Returns the part by which the factor is to be decreased; 0: the service is not overloaded.
double CapacityEstimate::decrease(const ServiceLoad &total) const
{
    const double started = total.onTime + total.late;
    const double attempts = started + total.rejected;
    if (attempts < MinAttemptRate
        || (total.rejected <= m_settings.maxRejectedShare * attempts
            && total.late <= m_settings.maxLateShare * started))
        return 0;
    return std::clamp((total.rejected + total.late) / attempts, m_settings.minDecrease,
                      m_settings.maxDecrease);
}

void CapacityEstimate::update(const ServiceLoad &total, Time now)
{
    const std::chrono::duration<double> elapsed = now - m_updatedAt;
    m_updatedAt = now;
    if (total.inFlight < m_settings.limitingUse * capacity())
        return;
    if (const double part = decrease(total); part > 0) {
        if (now - m_decreasedAt < m_settings.decreaseInterval)
            return;
        m_decreasedAt = now;
        m_factor = std::max(m_settings.minFactor, m_factor * (1 - part));
        return;
    }
    m_factor = std::min(
        m_settings.maxFactor,
        m_factor + m_settings.increasePerSecond * std::min(elapsed.count(), MaxUpdateSeconds));
}

} // namespace balsamloft
