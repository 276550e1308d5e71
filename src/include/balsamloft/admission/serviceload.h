/// \file
/// Loads of services: demand, work in flight and outcomes of requests.

#pragma once

#include <balsamloft/types.h>

#include <string>
#include <vector>

namespace balsamloft {

/// The load of one service by one instance, or the sum over several instances. Work is measured in
/// tokens of prompt and answer for a model, and in requests for a plain service.
struct ServiceLoad
{
    std::string service;
    double demand = 0; ///< work requested per second, refused requests included
    double inFlight = 0; ///< work admitted and not finished
    double onTime = 0; ///< first events or answers per second within the target latency
    double late = 0; ///< first events or answers per second after the target latency
    double rejected = 0; ///< attempts per second that endpoints rejected for lack of capacity

    bool operator==(const ServiceLoad &) const = default;
};

/// Loads of all services, summed over \a instances.
struct LoadSummary
{
    std::vector<ServiceLoad> services;
    std::uint32_t instances = 0; ///< number of instances whose loads are included

    /// Returns the load of \a service, or null.
    const ServiceLoad *find(std::string_view service) const;

    /// Adds the loads of \a other.
    void add(const LoadSummary &other);

    bool operator==(const LoadSummary &) const = default;
};

/// The load of all instances, as known to one of them.
struct FleetLoad
{
    LoadSummary total;
    LoadSummary own; ///< of this instance, as included in \a total
    Time asOf {}; ///< when the oldest part of \a total was measured
};

} // namespace balsamloft
