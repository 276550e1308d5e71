/// \file
/// Pauses that endpoints announce when they refuse requests.

#pragma once

#include <balsamloft/enginefleet.h>

#include <map>
#include <random>
#include <set>
#include <string>

namespace balsamloft {

/// A pause of an endpoint.
struct AnnouncedPause
{
    Duration length {}; ///< as announced
    Time until {}; ///< later than announced by a random part of it
};

/// How an instance returns to an endpoint after a pause.
struct AnnouncedPauseSettings
{
    /// The instance adds up to this share of the announced time to it. All instances may have been
    /// refused at the same time, and would return at the same moment.
    double spreadShare = 0.1;
    Duration maxSpread {1'000'000};
};

/// Decides when this instance may send requests again to endpoints that refused one and announced
/// how long they want none. Each pause ends with the announced time, or with the process of its
/// endpoint: neither a success, nor a shorter pause announced later, nor a change of the list of
/// endpoints ends it.
///
/// After a pause, the number of unanswered requests at the endpoint is limited. The limit begins at
/// one and grows by one with each round of accepted requests. Otherwise the requests that waited
/// for the end of the pause would all be sent at once, the endpoint would announce the next pause,
/// and a fleet whose endpoints were all paused would never recover.
class AnnouncedPauses
{
public:
    explicit AnnouncedPauses(AnnouncedPauseSettings settings = {})
        : m_settings(settings)
    {
    }

    // Commands

    /// The endpoint refused a request and wants none for \a pause. \a random must differ between
    /// instances.
    /// \return whether it was not paused before.
    bool recordRefusal(const std::string &endpoint, Duration pause, Time now,
                       std::mt19937_64 &random);

    /// A request is sent to the endpoint.
    void recordSend(const std::string &endpoint, Time now);

    /// The endpoint answered a request that was sent at \a sentAt, or the request was abandoned
    /// without an answer. \a accepted: it did not refuse it.
    void recordResult(const std::string &endpoint, Time sentAt, bool accepted);

    /// Forgets pauses that ended long ago.
    void removeEnded(Time now);

    // Queries

    /// Whether the pause of the endpoint has not ended.
    bool isPaused(const std::string &endpoint, Time now) const;

    /// The current or last pause of the endpoint; without one, a pause that ended long ago.
    AnnouncedPause lastPause(const std::string &endpoint) const;

    /// Endpoints to which no further request may be sent now.
    std::set<std::string> blockedEndpoints(Time now) const;

    /// The number of endpoints that are paused.
    std::size_t size(Time now) const;

private:
    struct Pause : AnnouncedPause
    {
        std::uint32_t unanswered = 0; ///< requests sent since `until`
        double limit = 1; ///< on `unanswered`
    };

    bool isBlocked(const Pause &pause, Time now) const;
    const Pause *find(const std::string &endpoint) const;

    AnnouncedPauseSettings m_settings;
    std::map<std::string, Pause, std::less<>> m_pauses; ///< by endpoint
};

} // namespace balsamloft
