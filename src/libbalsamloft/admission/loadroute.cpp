#include <balsamloft/admission/loadroute.h>

namespace balsamloft {

LoadRoute::LoadRoute(std::string self, std::string domain, LoadRouteSettings settings)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_settings(settings)
{
}

LoadRoute::Content LoadRoute::takeContent(const PeerInstance &peer, bool reader, Time now)
{
    std::erase_if(m_sentAt,
                  [&](const auto &each) { return now - each.second >= m_settings.interval; });
    if (m_sentAt.contains(peer.name))
        return Content::Nothing;
    const bool sameDomain = peer.domain == m_domain;
    if (reader == sameDomain)
        return Content::Nothing;
    if (!reader) {
        if (peer.name >= m_self
            || (!m_source.empty() && m_source != peer.name
                && now - m_sourceSentAt < m_settings.sourceHold))
            return Content::Nothing;
        m_source = peer.name;
        m_sourceSentAt = now;
    }
    m_sentAt[peer.name] = now;
    return reader ? Content::Domain : Content::Subtree;
}

void LoadRoute::sourceFailed(const std::string &name)
{
    if (m_source == name)
        m_source.clear();
}

} // namespace balsamloft
