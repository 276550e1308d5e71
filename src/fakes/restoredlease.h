/// \file
/// Plays processes that compete for a lease in a store that loses its last writes, in virtual time.

#pragma once

#include <cstdint>

namespace balsamloft::fakes {

/// What a schedule showed.
struct LeaseWorldResult
{
    std::uint64_t twoHolders = 0; ///< steps with more than one holder
    std::uint64_t repeatedTokens = 0; ///< tokens that two processes held
    std::uint64_t loweredTokens = 0; ///< tokens of new holders that were not above all earlier ones
    std::uint64_t grants = 0;
    std::uint64_t restores = 0;
    std::uint64_t steps = 0;
    std::uint64_t heldSteps = 0; ///< steps with a holder

    LeaseWorldResult &operator+=(const LeaseWorldResult &other);
};

/// Plays three processes for half a minute. The store is restored up to three times from copies
/// some seconds old, answers are lost, writes without an answer may be performed seconds later, and
/// processes are replaced by new ones, which learn from others when the store was restored.
LeaseWorldResult runLeaseWorld(std::uint64_t seed);

} // namespace balsamloft::fakes
