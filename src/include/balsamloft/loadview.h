/// \file
/// Estimates of the load and health of each endpoint, kept by one instance.

#pragma once

#include <balsamloft/config.h>

#include <cstddef>
#include <deque>

namespace balsamloft {

/// Index of an endpoint in a LoadView; stays the same across configurations.
using EndpointId = std::uint32_t;

inline constexpr EndpointId NoEndpoint = ~EndpointId {0};

/// The load that an endpoint reports in its answers. The report is delayed, and other instances
/// change the load meanwhile.
struct LoadReport
{
    std::uint32_t running = 0; ///< requests in the batch
    std::uint32_t waiting = 0; ///< requests accepted but not in the batch
    Duration stepTime {}; ///< duration of one step; zero if not reported
    bool leaving = false; ///< the endpoint is shutting down
};

/// Settings of the load and health decisions.
struct LoadSettings
{
    Duration reportLifetime {2'000'000}; ///< how long reported load of other instances is used
    Duration reportLag {1'000'000}; ///< longest time that a report takes to arrive
    Duration initialBusyPause {50'000}; ///< after a refusal, until more requests are sent
    Duration maxBusyPause {1'000'000}; ///< the pause doubles with each refusal up to this
    Duration initialEjection {1'000'000};
    Duration maxEjection {30'000'000}; ///< doubles with each ejection up to this
    std::uint32_t failuresToEject = 3; ///< consecutive; one if the endpoint does not answer
    double maxEjectedFraction = 0.5; ///< of a candidate group, so that it never becomes empty
};

/// Load and health of one endpoint. Requests of this instance are "own" requests.
struct EndpointState
{
    std::string name;
    std::string address;
    std::string domain;
    std::uint32_t slots = 1;
    double speed = 1;
    bool configured = false; ///< part of the current configuration
    bool leaving = false; ///< known to be shutting down: gets no new requests
    bool reportedLeaving = false; ///< the endpoint reported its shutdown; a probe may reset this
    std::uint32_t ownRequests = 0; ///< on the endpoint now
    std::uint32_t otherRequests = 0; ///< of other instances, by the last report
    std::uint32_t ownPeak = 0; ///< most own requests in the current half of the report window
    std::uint32_t previousOwnPeak = 0; ///< the same in the half before
    Time peakWindowStart {};
    double ownMean = 0; ///< own requests, averaged over LoadSettings::reportLag
    Time ownMeanAt {};
    double expectedOthers = 0; ///< unbiased estimate of otherRequests, to compare endpoints
    Time reportedAt {};
    double roundTripMicros = 0; ///< smoothed network time there and back
    Time roundTripAt {};
    std::uint32_t pausedLimit = 0; ///< own requests permitted during a pause
    Time pausedUntil {}; ///< set by refusals
    std::uint32_t consecutiveRefusals = 0; ///< determines the length of the pause
    Duration stepTime {}; ///< smoothed; zero until the first report
    double prefixHitRate = 0.3; ///< share of affinity choices that hit, smoothed
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0; ///< consecutive, for the backoff
    bool ejected = false; ///< until a probe is answered or a request succeeds
    Time probeAt {}; ///< time of the next probe
};

/// The endpoints known to one instance. Commands change the view, queries are const.
class LoadView
{
public:
    explicit LoadView(LoadSettings settings = {});

    // Commands

    /// Adds or updates the endpoints of \a config. Other endpoints become unusable.
    void setConfig(const Config &config);

    void dispatched(EndpointId id, Time now);
    void released(EndpointId id, Time now);
    void reported(EndpointId id, const LoadReport &report, Time now);

    /// The endpoint refused a request because it is full. Until a pause is over, this instance
    /// only replaces requests that finish there.
    void refusedBusy(EndpointId id, Time now);

    /// The endpoint added a request to its batch.
    void accepted(EndpointId id);
    void setLeaving(EndpointId id, bool leaving);

    /// The endpoint itself reported in an answer or to a probe whether it is leaving.
    void setReportedLeaving(EndpointId id, bool leaving);
    void succeeded(EndpointId id);

    /// Counts a failure. Returns true if it ejects the endpoint. \a silent failures, where the
    /// endpoint did not answer, eject at once. The limit on the ejected fraction of a group is
    /// applied by ChainChooser.
    bool failed(EndpointId id, bool silent, Time now);

    /// A probe over a new connection was answered, or failed if not \a alive. An answer makes
    /// the endpoint usable again.
    void probed(EndpointId id, bool alive, Time now);
    void affinityOutcome(EndpointId id, bool hit);

    /// A step took \a roundTrip longer than the step time that the endpoint reported.
    void observedRoundTrip(EndpointId id, Duration roundTrip, Time now);

    // Queries

    EndpointId find(std::string_view name) const;
    const EndpointState &state(EndpointId id) const { return m_states[id]; }
    std::size_t size() const { return m_states.size(); }
    const LoadSettings &settings() const { return m_settings; }

    /// Estimated number of requests on the endpoint: own requests, and a low estimate of those
    /// of other instances if the report is recent enough.
    std::uint32_t estimatedLoad(EndpointId id, Time now) const;

    /// Like estimatedLoad(), but with an unbiased estimate of other instances' requests, to
    /// compare endpoints.
    double expectedLoad(EndpointId id, Time now) const;

    /// The smoothed round trip, decaying with time so that a link that was slow is tried again.
    /// Zero if none was observed.
    Duration roundTrip(EndpointId id, Time now) const;

    /// Whether one more request fits. \a overcommit: number of requests permitted beyond the
    /// slots, for requests that the endpoint runs first.
    bool hasFreeSlot(EndpointId id, std::uint32_t overcommit, Time now) const;

    /// Whether the endpoint may get new requests, apart from free slots.
    bool usable(EndpointId id) const;

    bool ejected(EndpointId id) const { return m_states[id].ejected; }

private:
    void updatePeak(EndpointState &state, Time now) const;
    void changeOwnRequests(EndpointState &state, int change, Time now) const;

    LoadSettings m_settings;
    std::deque<EndpointState> m_states;
    std::unordered_map<std::string, EndpointId, StringHash, std::equal_to<>> m_byName;
};

} // namespace balsamloft
