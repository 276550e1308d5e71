#include <balsamloft/configurationfetch.h>

#include <utility>

namespace balsamloft {

ConfigurationFetch::ConfigurationFetch(ConfigurationFetchSettings settings)
    : m_settings(settings)
{
}

bool ConfigurationFetch::heard(std::uint64_t version, std::uint64_t inForce, Time now)
{
    if (version <= inForce || m_fetching)
        return false;
    // A version heard of before that is in force by now says nothing about the next one.
    if (m_heardVersion <= inForce) {
        m_heardVersion = version;
        m_heardAt = now;
    }
    const bool mayBeLost = m_restoredAt && now - *m_restoredAt < m_settings.restoreTime;
    m_fetching = mayBeLost || now - m_heardAt >= m_settings.usualDelay;
    return m_fetching;
}

} // namespace balsamloft
