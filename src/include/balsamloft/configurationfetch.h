/// \file
/// When a configuration is fetched from another instance that has a newer one.

#pragma once

#include <balsamloft/types.h>

#include <optional>

namespace balsamloft {

/// Times of a ConfigurationFetch.
struct ConfigurationFetchSettings
{
    /// Time in which a newer configuration usually arrives from this instance's own source.
    Duration usualDelay {600'000};
    /// Time after a restore of the store in which a newer configuration is fetched at once, since
    /// the store may have lost it.
    Duration restoreTime {10'000'000};
};

/// Instances tell each other which configuration they have in force. A newer one usually arrives
/// from the store too. One that the store has lost, or one that this instance's source does not
/// get, has to be fetched.
class ConfigurationFetch
{
public:
    explicit ConfigurationFetch(ConfigurationFetchSettings settings = {});

    // Commands

    void storeRestored(Time now) { m_restoredAt = now; }

    /// Another instance has \a version in force, this one \a inForce.
    /// \return whether it is to be fetched now. The caller then calls finished().
    bool heard(std::uint64_t version, std::uint64_t inForce, Time now);

    /// The last fetch has ended, successfully or not.
    void finished() { m_fetching = false; }

private:
    ConfigurationFetchSettings m_settings;
    std::optional<Time> m_restoredAt;
    std::uint64_t m_heardVersion = 0; ///< newest one that this instance lacks
    Time m_heardAt {}; ///< when it was first heard of
    bool m_fetching = false;
};

} // namespace balsamloft
