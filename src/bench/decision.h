/// \file
/// Makes single routing decisions, to measure their cost.

#pragma once

#include "../fakes/routerharness.h"

namespace balsamloft::bench {

/// Chooses chains among \a endpoints candidates of one model, each with a
/// reported load. If \a staged, each endpoint holds one of three layer ranges.
class DecisionBench
{
public:
    explicit DecisionBench(std::size_t endpoints, bool staged);

    /// Makes one routing decision; returns whether a chain was found.
    bool decide();

private:
    ConfigPtr m_config;
    LoadView m_loads;
    ChainChooser m_chooser;
    CandidateTable m_table;
    Chain m_chain;
    Time m_now {std::chrono::seconds(10)};
    std::uint64_t m_count = 0;
};

/// Returns the number of heap allocations since the start of the program.
/// Defined in decision_allocations.cpp, which replaces operator new.
std::uint64_t allocations();

} // namespace balsamloft::bench
