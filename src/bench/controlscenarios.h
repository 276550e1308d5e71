/// \file
/// Measurements of the control plane in virtual time.

#pragma once

#include "../fakes/controlharness.h"

namespace balsamloft::bench {

/// How a change spreads.
struct SpreadScenario
{
    std::size_t nodes = 8;
    bool gossip = true;
    bool polling = true;
    double loss = 0.1;
    double cutOff = 0; ///< share of the nodes that do not reach the platform
    std::size_t seeds = 10;
};

struct SpreadFigures
{
    double medianSeconds = 0; ///< until in force on all nodes
    double worstSeconds = 0;
    std::size_t missed = 0; ///< runs in which it took more than a minute
};

SpreadFigures runSpread(const SpreadScenario &scenario);

/// What the control plane costs a node while 2,500 changes a day are made.
struct CostFigures
{
    double bytesPerSecond = 0; ///< sent by a node in the peer protocol, payload
    double messagesPerSecond = 0;
    double readsPerSecond = 0; ///< of the whole fleet, on the platform
    double cpuMicrosPerSecond = 0; ///< of a node; depends on the machine
};

CostFigures runCost(std::size_t nodes, std::size_t endpoints, std::size_t teams);

/// How a member that goes is noticed.
struct DetectionFigures
{
    double firstSeconds = 0; ///< until the first other holds it for dead (or leaving)
    double allSeconds = 0; ///< until all do
    std::size_t falseDeaths = 0; ///< living members held for dead by anyone
};

DetectionFigures runDetection(std::size_t nodes, bool leaving, double loss);

/// Returns entries of a fleet of the given size.
ConfigEntries fleetEntries(std::size_t endpoints, std::size_t teams, std::size_t models);

} // namespace balsamloft::bench
