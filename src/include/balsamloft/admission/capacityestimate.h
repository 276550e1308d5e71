/// \file
/// Estimates how much work the endpoints of a service hold while they answer in time.

#pragma once

#include <balsamloft/admission/serviceload.h>
#include <balsamloft/enginefleet.h>
#include <balsamloft/routemap.h>

namespace balsamloft {

/// Returns the work that the listed endpoints of \a service hold at once according to their
/// published sizes: tokens for a model, requests for a plain service; 0 if the sizes are unknown.
double nominalCapacity(const FleetSnapshot &fleet, const RoutedService &service);

/// Settings of a CapacityEstimate.
struct CapacityEstimateSettings
{
    double initialFactor = 0.9; ///< of the nominal capacity
    double minFactor = 0.2;
    /// Not above 1: a service whose memory is used completely rejects further requests.
    double maxFactor = 1;
    /// The factor of an overloaded service falls by the share of its attempts that are late or
    /// rejected, limited to this range.
    double minDecrease = 0.05;
    double maxDecrease = 0.2;
    double increasePerSecond = 0.1; ///< while the capacity is used up and requests begin in time
    /// Shares of the attempts above which the service counts as overloaded. Failing endpoints cause
    /// a few late or rejected requests at any load.
    double maxRejectedShare = 0.05;
    double maxLateShare = 0.05;
    /// Share of the capacity in use from which on the factor is changed. Below it, late requests
    /// have other causes, and requests in time do not show that more could be served.
    double limitingUse = 0.7;
    /// Time between two decreases: until then the effect of the first one is not visible.
    Duration decreaseInterval {2'000'000};
};

/// Estimates the capacity of a service: its nominal capacity times a factor that falls while the
/// service is overloaded and rises while it is fully used without being overloaded.
class CapacityEstimate
{
public:
    explicit CapacityEstimate(CapacityEstimateSettings settings = {});

    // Commands

    void setNominal(double work) { m_nominal = work; }

    /// Corrects the factor by \a total, the load of the service by all instances.
    void update(const ServiceLoad &total, Time now);

    // Queries

    /// Work that all instances together may have in flight; 0: unknown.
    double capacity() const { return m_nominal * m_factor; }
    double factor() const { return m_factor; }

private:
    double decrease(const ServiceLoad &total) const;

    CapacityEstimateSettings m_settings;
    double m_nominal = 0;
    double m_factor;
    Time m_updatedAt {};
    Time m_decreasedAt {};
};

} // namespace balsamloft
