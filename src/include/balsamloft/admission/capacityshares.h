/// \file
/// Divides the capacity of a service among the instances.

#pragma once

#include <balsamloft/admission/serviceload.h>

#include <map>
#include <optional>

namespace balsamloft {

/// Settings of CapacityShares.
struct CapacityShareSettings
{
    /// Part of the capacity that is divided equally. It lets an instance that had no demand yet
    /// serve its first callers.
    double equalPart = 0.1;
    /// Age of the fleet's load at which the share begins to change to an equal one. It must exceed
    /// the usual age of a total's oldest part, to which each level of the tree adds up to two
    /// seconds. Otherwise the shares of a large fleet would not follow the demand.
    Duration loadLifetime {6'000'000};
    Duration decayTime {5'000'000}; ///< from then until the share is an equal one
    double averagingSeconds = 2; ///< time constant of the demand
};

/// Computes the share of a service's capacity that this instance may use. Shares follow the demand
/// of the instances' callers, since callers are divided unevenly. The shares of all instances sum
/// to one while they use the same total. An instance without a recent total moves to an equal share
/// of those instances that it knows, which is also what a new instance begins with.
class CapacityShares
{
public:
    explicit CapacityShares(CapacityShareSettings settings = {});

    // Commands

    /// Sets the number of live instances, including this one.
    void setInstances(std::size_t count);

    /// Applies the load of all instances. A total of a single instance is ignored if others are
    /// listed: this instance is isolated then.
    void update(const FleetLoad &load, Time now);

    // Queries

    /// The share of this instance, greater than 0 and at most 1.
    double share(std::string_view service, Time now) const;

private:
    struct Demand
    {
        double own = 0; ///< averaged, work per second
        double total = 0;
    };

    double ageWeight(Time now) const;

    CapacityShareSettings m_settings;
    std::size_t m_instances = 1;
    std::map<std::string, Demand, std::less<>> m_demands; ///< by service
    std::optional<Time> m_updatedAt;
    Time m_asOf {}; ///< of the last load
    std::uint32_t m_maxIncluded = 0; ///< most instances in a total since the averages began
};

} // namespace balsamloft
