/// \file
/// How long the present era of the store has lasted at least.

#pragma once

#include <balsamloft/types.h>

#include <algorithm>
#include <optional>

namespace balsamloft {

/// Time in which operators and endpoints write again what a restored store has lost.
inline constexpr Duration RewriteTime {2'000'000};

/// What this instance knows of the age of the store's present era.
///
/// A process that starts cannot tell an old era from one that began a moment ago, in which the
/// store may lack what it had acknowledged, such as the withdrawal of an API key. Other instances
/// may have known the era for longer. Without them, the process has to wait.
class EraAge
{
public:
    // Commands

    /// This process has learnt of the era: at its start, or because it began.
    void learnt(Time now) { m_knownSince = now; }

    /// Another instance has known the same era for \a knownFor.
    void heard(Duration knownFor, Time now)
    {
        if (m_knownSince)
            m_knownSince = std::min(*m_knownSince, now - knownFor);
    }

    // Queries

    /// The era has lasted at least as long; zero before learnt().
    Duration knownFor(Time now) const { return m_knownSince ? now - *m_knownSince : Duration {}; }

    /// Whether the store may still lack what it had acknowledged before the era.
    bool mayLackWrites(Time now) const { return knownFor(now) < RewriteTime; }

private:
    std::optional<Time> m_knownSince; ///< of any instance, on the clock of this one
};

} // namespace balsamloft
