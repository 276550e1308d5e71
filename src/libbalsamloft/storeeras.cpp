#include <balsamloft/storeeras.h>

#include <algorithm>

namespace balsamloft {

std::optional<std::uint64_t> StoreEras::recordAnswer(StoreVersion before, std::uint64_t statedEra,
                                                     std::uint64_t number)
{
    if (statedEra > 0) {
        if (statedEra < m_newest.era)
            return std::nullopt;
        record({statedEra, number});
        return statedEra;
    }
    // Without a stated era, an answer to a call from before the change may belong to either era.
    if (before.era != m_newest.era)
        return std::nullopt;
    const bool fell = number > 0 && number < before.number;
    record({m_newest.era + (fell ? 1 : 0), number});
    return m_newest.era;
}

void StoreEras::recordPeer(StoreVersion version)
{
    if (version.era >= m_newest.era)
        record(version);
}

void StoreEras::record(StoreVersion version)
{
    m_newest = std::max(m_newest, version);
}

} // namespace balsamloft
