/// \file
/// Simulated scenarios of the control plane in virtual time: propagation of a
/// configuration change, cost per node and failure detection.

#pragma once

#include "../fakes/controlharness.h"

namespace balsamloft::bench {

/// Propagation of a configuration change to all nodes.
struct PropagationScenario
{
    std::size_t nodes = 8;
    bool gossip = true;
    bool polling = true;
    double loss = 0.1;
    double partitionedShare = 0; ///< fraction of the nodes that cannot reach the platform
    std::size_t seeds = 10;
};

struct PropagationResult
{
    double medianSeconds = 0; ///< median time until a change is active on all nodes
    double worstSeconds = 0;
    std::size_t timeouts = 0; ///< runs in which a change took more than a minute
};

PropagationResult runPropagation(const PropagationScenario &scenario);

/// Cost of the control plane at a rate of 2,500 configuration changes per day.
struct CostResult
{
    double bytesPerSecond = 0; ///< payload that each node sends in the peer protocol
    double messagesPerSecond = 0;
    double readsPerSecond = 0; ///< reads of the platform by all nodes together
    double cpuMicrosPerSecond = 0; ///< CPU time per node; depends on the machine
};

CostResult runCost(std::size_t nodes, std::size_t endpoints, std::size_t teams);

/// Detection of a member that crashed or is leaving.
struct DetectionResult
{
    /// Time until the first other member marks the member dead (or leaving).
    double firstSeconds = 0;
    double allSeconds = 0; ///< time until all other members have marked the member
    std::size_t falseDeaths = 0; ///< reports by any member that a live member is dead
};

DetectionResult runDetection(std::size_t nodes, bool leaving, double loss);

/// Returns the configuration entries of a fleet of the given size.
ConfigEntries fleetEntries(std::size_t endpoints, std::size_t teams, std::size_t models);

} // namespace balsamloft::bench
