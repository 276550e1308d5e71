/// \file
/// The cost of one routing decision.

#pragma once

#include "../fakes/routerharness.h"

namespace balsamloft::bench {

/// A chooser before \a endpoints candidates of one model, in three stages if
/// \a staged, with a load on each.
class DecisionBench
{
public:
    explicit DecisionBench(std::size_t endpoints, bool staged);

    /// Makes one decision; returns whether there was a chain.
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

/// Allocations on the heap since the start of the program. Counted only in
/// programs that link decision_allocations.cpp.
std::uint64_t allocations();

} // namespace balsamloft::bench
