/// \file
/// What one instance believes about the load and health of each endpoint.

#pragma once

#include <balsamloft/config.h>

#include <cstddef>
#include <deque>

namespace balsamloft {

/// Index of an endpoint in a LoadView; stays the same across configurations.
using EndpointId = std::uint32_t;

inline constexpr EndpointId NoEndpoint = ~EndpointId {0};

/// The load an endpoint states in its answers. It lags, and other instances
/// change it at the same time.
struct LoadReport
{
    std::uint32_t running = 0; ///< requests in the batch
    std::uint32_t waiting = 0; ///< requests accepted but not in the batch
    Duration stepTime {}; ///< duration of one step; zero when not stated
    bool leaving = false; ///< the endpoint is shutting down
};

/// Settings of the load and health decisions.
struct LoadSettings
{
    Duration reportLifetime {2'000'000}; ///< how long a report of others' load is believed
    Duration reportLag {1'000'000}; ///< longest that a report may be under way
    Duration initialBusyPause {50'000}; ///< after "no room", before more than before is tried
    Duration maxBusyPause {1'000'000};
    Duration initialEjection {1'000'000};
    Duration maxEjection {30'000'000};
    std::uint32_t failuresToEject = 3; ///< consecutive failures; a silent endpoint needs one
    double maxEjectedFraction = 0.5; ///< of one candidate group: ejection never empties it
};

/// Load and health of one endpoint, as one instance sees it.
struct EndpointState
{
    std::string name;
    std::string address;
    std::string domain;
    std::uint32_t slots = 1;
    double speed = 1;
    bool configured = false; ///< in the configuration in force
    bool leaving = false; ///< known to be shutting down: no new work
    bool reportedLeaving = false; ///< it said so itself; asked again by probes
    std::uint32_t own = 0; ///< requests this instance has there
    std::uint32_t others = 0; ///< requests of other instances, at the last report
    std::uint32_t ownPeak = 0; ///< most own ones in the present half of the report window
    std::uint32_t previousOwnPeak = 0; ///< the same in the half before
    Time peakWindowStart {};
    double ownMean = 0; ///< own ones, averaged over the time a report may lag
    Time ownMeanAt {};
    double expectedOthers = 0; ///< others' at the last report, neither way in doubt
    Time reportedAt {};
    double roundTripMicros = 0; ///< smoothed, seen on the way there and back
    Time roundTripAt {};
    std::uint32_t window = 0; ///< own requests known to fit, while paused
    Time pausedUntil {}; ///< set by "no room"
    std::uint32_t consecutiveRefusals = 0; ///< for the length of the pause
    Duration stepTime {}; ///< smoothed; zero until the first report
    double prefixHitRate = 0.3; ///< smoothed share of affinity picks that hit; a guess at first
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0; ///< consecutive, for the backoff
    bool ejected = false; ///< until a probe is answered
    Time probeAt {}; ///< when it is to be asked again
};

/// The endpoints known to one instance. Commands change it; queries are const.
class LoadView
{
public:
    explicit LoadView(LoadSettings settings = {});

    // Commands

    /// Adds or updates the endpoints of \a config; others stop being usable.
    void setConfig(const Config &config);

    void dispatched(EndpointId id, Time now);
    void released(EndpointId id, Time now);
    void reported(EndpointId id, const LoadReport &report, Time now);

    /// The endpoint said that it has no room. Until a pause is over this
    /// instance keeps to the requests it has there, replacing those that end.
    void refusedBusy(EndpointId id, Time now);

    /// The endpoint took a request into its batch.
    void accepted(EndpointId id);
    void setLeaving(EndpointId id, bool leaving);

    /// What the endpoint says of itself, in an answer or to a probe.
    void setReportedLeaving(EndpointId id, bool leaving);
    void succeeded(EndpointId id);

    /// Counts a failure; returns true when it ejects the endpoint. \a silent
    /// failures eject at once. The floor on ejections is kept by usable().
    bool failed(EndpointId id, bool silent, Time now);

    /// A probe over a new connection was answered: the endpoint is usable again.
    void probed(EndpointId id, bool alive, Time now);
    void affinityOutcome(EndpointId id, bool hit);

    /// A step took \a roundTrip longer than the endpoint says it worked on it.
    void observedRoundTrip(EndpointId id, Duration roundTrip, Time now);

    // Queries

    EndpointId find(std::string_view name) const;
    const EndpointState &state(EndpointId id) const { return m_states[id]; }
    std::size_t size() const { return m_states.size(); }
    const LoadSettings &settings() const { return m_settings; }

    /// Estimated requests at the endpoint: own ones, exactly, and those of
    /// others while the report is fresh enough to be believed.
    std::uint32_t estimatedLoad(EndpointId id, Time now) const;

    /// The same with what is probable of others, to compare endpoints.
    double expectedLoad(EndpointId id, Time now) const;

    /// The round trip seen lately, fading with time: a link that was slow is
    /// tried again. Zero when none was seen.
    Duration roundTrip(EndpointId id, Time now) const;

    /// Returns whether one more request fits.  beyond slots may be
    /// overcommitted, for what the endpoint puts first.
    bool hasFreeSlot(EndpointId id, std::uint32_t beyond, Time now) const;

    /// Returns whether the endpoint may get new work, room aside.
    bool usable(EndpointId id) const;

    bool ejected(EndpointId id) const { return m_states[id].ejected; }

private:
    void notePeak(EndpointState &state, Time now) const;
    void changeOwn(EndpointState &state, int change, Time now) const;

    LoadSettings m_settings;
    std::deque<EndpointState> m_states;
    std::unordered_map<std::string, EndpointId, StringHash, std::equal_to<>> m_byName;
};

} // namespace balsamloft
