#include <balsamloft/readfreshness.h>

#include <algorithm>

namespace balsamloft {

void ReadFreshness::recordAnswer(Time sentAt, Time arrivedAt, std::int64_t storeMs,
                                 std::uint64_t era)
{
    const Time storeTime {Duration(storeMs * 1000)};
    if (storeMs < m_lastStoreMs || era != m_era)
        resetClock();
    m_era = era;
    m_lastStoreMs = storeMs;
    const Duration offset = sentAt - storeTime;
    m_offset = m_offset ? std::max(*m_offset, offset) : offset;
    const Time createdAt = std::clamp(storeTime + *m_offset, sentAt, std::max(sentAt, arrivedAt));
    m_knownAt = m_knownAt ? std::max(*m_knownAt, createdAt) : createdAt;
}

} // namespace balsamloft
