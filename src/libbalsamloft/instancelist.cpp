#include <balsamloft/instancelist.h>

#include <algorithm>
#include <utility>

namespace balsamloft {

namespace {

/// Age at which a row expires and its instance counts as dead. Instances write their rows every
/// 25 s, so two writes are missing by then.
constexpr std::int64_t RowLifetimeMs = 60'000;

/// A longer time between two updates of the list means an outage of the store: otherwise a query
/// is answered within 10 s, and the next query follows 5 s later.
constexpr std::int64_t MinOutageMs = 16'500;

} // namespace

std::vector<PeerInstance> InstanceList::update(std::span<const InstanceRow> rows,
                                               std::int64_t storeMs, std::uint64_t era)
{
    if (era > std::exchange(m_era, std::max(m_era, era)) && m_lastUpdateMs > 0) {
        m_afterRestore = true;
        m_restoredMs = storeMs;
        m_lastUpdateMs = storeMs;
        m_outageMs = 0;
    }
    if (storeMs - m_restoredMs >= RowLifetimeMs)
        m_afterRestore = false;
    if (m_lastUpdateMs > 0 && storeMs - m_lastUpdateMs > MinOutageMs) {
        m_outageMs = storeMs - m_lastUpdateMs;
        m_outageEndMs = storeMs;
    }
    m_lastUpdateMs = std::max(m_lastUpdateMs, storeMs);
    // After an outage, the lifetime is extended by the duration of the outage until live instances
    // have had time to write their rows again.
    const bool afterOutage = m_lastUpdateMs - m_outageEndMs < RowLifetimeMs;
    const std::int64_t lifetimeMs = RowLifetimeMs + (afterOutage ? m_outageMs : 0);
    std::vector<PeerInstance> alive;
    for (const InstanceRow &each : rows) {
        const std::int64_t ageMs = m_lastUpdateMs - each.seenMs;
        // A time far ahead was written by the store's former clock.
        if (m_afterRestore || (ageMs < lifetimeMs && ageMs > -RowLifetimeMs))
            alive.push_back(each.instance);
    }
    return alive;
}

} // namespace balsamloft
