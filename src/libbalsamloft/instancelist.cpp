#include <balsamloft/instancelist.h>

#include <algorithm>

namespace balsamloft {

namespace {

/// Age at which a row is a dead instance's: two writes are missed, each 25 s after
/// the one before.
constexpr std::int64_t LifeMs = 60'000;

/// A longer time without news of the rows was an outage: questions for them are
/// answered within 10 s, and asked again 5 s later.
constexpr std::int64_t ShortestOutageMs = 16'500;

} // namespace

std::vector<PeerInstance> InstanceList::heard(std::span<const InstanceRow> rows,
                                              std::int64_t storeMs)
{
    if (m_lastUpdateMs > 0 && storeMs - m_lastUpdateMs > ShortestOutageMs) {
        m_outageMs = storeMs - m_lastUpdateMs;
        m_outageEndMs = storeMs;
    }
    m_lastUpdateMs = std::max(m_lastUpdateMs, storeMs);
    // Once the living had the time to write again, silence says what it did before.
    const bool forgiven = m_lastUpdateMs - m_outageEndMs < LifeMs;
    const std::int64_t life = LifeMs + (forgiven ? m_outageMs : 0);
    std::vector<PeerInstance> living;
    for (const InstanceRow &each : rows)
        if (m_lastUpdateMs - each.seenMs < life)
            living.push_back(each.instance);
    return living;
}

} // namespace balsamloft
