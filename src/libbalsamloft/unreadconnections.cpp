#include <balsamloft/unreadconnections.h>

namespace balsamloft {

namespace {

/// A caller whose connection is closed unread can still be served in time elsewhere.
constexpr Duration MaxWait {200'000};
/// Each waiting connection takes a descriptor.
constexpr std::size_t MaxWaiting = 512;

} // namespace

void UnreadConnections::add(Id id, Time now)
{
    m_waiting.push_back({id, now});
}

std::optional<UnreadConnections::Id> UnreadConnections::takeNewest()
{
    if (m_waiting.empty())
        return std::nullopt;
    const Id id = m_waiting.back().id;
    m_waiting.pop_back();
    return id;
}

std::optional<UnreadConnections::Id> UnreadConnections::takeExpired(Time now)
{
    if (m_waiting.empty()
        || (m_waiting.size() <= MaxWaiting && now - m_waiting.front().since < MaxWait))
        return std::nullopt;
    const Id id = m_waiting.front().id;
    m_waiting.pop_front();
    return id;
}

} // namespace balsamloft
