/// \file
/// Estimates of the load, health and speed of endpoints, kept by one instance.

#pragma once

#include <balsamloft/enginefleet.h>
#include <balsamloft/routemap.h>

#include <map>
#include <string>
#include <utility>

namespace balsamloft {

/// How long an EngineTracker uses its observations of endpoints.
struct EngineTrackerSettings
{
    Duration suspectDuration {4'000'000}; ///< how long an unresponsive endpoint is not used
    Duration initialBusyPause {150'000}; ///< how long an endpoint is not used after a first refusal
    Duration maxBusyPause {2'400'000}; ///< the pause doubles with each refusal up to this
    Duration slowdownLifetime {3'000'000}; ///< how long a reported slowdown is used
    Duration failureHalfLife {3'000'000};
    Duration reportLifetime {2'500'000}; ///< how long a load report is used
    /// Interval at which engines are queried. A state that is confirmed as unchanged this long
    /// after a request was sent includes that request.
    Duration reportInterval {1'000'000};
};

/// The state that an engine reported, or that it did not answer.
struct EngineState
{
    std::string id;
    double used = 0; ///< KV memory in use, in tokens times layers
    std::uint32_t active = 0; ///< running requests of all instances
    std::uint32_t queued = 0; ///< waiting requests of all instances
    double slowdown = 1; ///< step time over what is normal for its kind
    bool silent = false; ///< it did not answer
    Time at {}; ///< time of the observation
};

/// Engine states that one instance sends to another.
struct EngineReports
{
    std::vector<EngineState> changed;
    /// By domain: a time at which all engines of the domain that are not in \a changed still had
    /// the state that was sent before.
    std::map<std::string, Time> asOf;
};

/// Whether \a now differs from \a before by enough to change the choice of a path.
/// \a kvCapacity: the engine's KV memory, in tokens times layers.
bool differsNoticeably(const EngineState &before, const EngineState &now, double kvCapacity);

/// Recorded load, health and speed of one endpoint. Requests of this instance are "own" requests.
struct EngineEstimate
{
    std::uint32_t ownRequests = 0; ///< on the endpoint now
    double tokenLayers = 0; ///< KV memory that they need, in tokens times layers
    Time suspectUntil {};
    Time lastAnswerAt {}; ///< last answer to this instance
    Time pausedUntil {}; ///< set by refusals
    std::uint32_t consecutiveRefusals = 0;
    double slowdown = 1; ///< step time over what is normal for its kind
    Time slowdownUntil {};
    double failures = 0; ///< failed requests, decaying
    double outcomes = 0; ///< all finished requests, decaying
    Time decayedAt {};
    std::uint32_t ownStartingHere = 0; ///< own requests whose path begins here
    Time reportedAt {}; ///< time of the last report; zero: none
    Time confirmedAt {}; ///< the report was confirmed as unchanged up to then
    Time ownCountedAt {}; ///< when ownUsedAtReport was set
    double reportedUsed = 0;
    std::uint32_t reportedActive = 0;
    std::uint32_t reportedQueued = 0;
    double ownUsedAtReport = 0; ///< the part of tokenLayers that the report includes
    std::uint32_t ownRequestsAtReport = 0; ///< own requests that the report includes
};

/// The load of an endpoint by requests of all instances.
struct EngineLoad
{
    double used = 0; ///< KV memory, in tokens times layers
    double requests = 0;
    double queued = 0; ///< requests that wait for KV memory
    bool reported = false; ///< based on a recent report, not only on own requests
};

/// Tracks the load, health and speed of all endpoints. Endpoints are identified by the id of
/// their process, so a restarted process at the same address begins with a new estimate.
class EngineTracker
{
public:
    explicit EngineTracker(EngineTrackerSettings settings = {});

    // Commands

    /// Removes endpoints that are not in \a fleet and have no own requests.
    void removeUnlisted(const FleetSnapshot &fleet);

    /// A request of this instance starts on the endpoint. \a startsHere: the request's path begins
    /// at this endpoint.
    void requestStarted(const std::string &id, double tokenLayers, bool startsHere);

    /// A request of this instance leaves the endpoint. The arguments are those of requestStarted().
    void requestFinished(const std::string &id, double tokenLayers, bool startsHere);

    /// The endpoint did not answer, or broke off an answer.
    void suspect(const std::string &id, Time now);

    /// The endpoint answered this instance: it is alive.
    void recordAnswer(const std::string &id, Time now);

    /// The endpoint refused a request because it lacks KV memory or layers that it has
    /// released. The pause doubles with each further refusal, since each one uses up one of
    /// the few retries.
    void refusedBusy(const std::string &id, Time now);

    /// A request passed through the endpoint.
    void resetRefusals(const std::string &id);
    void setSlowdown(const std::string &id, double slowdown, Time now);

    /// Counts a finished request for failureShare().
    void recordOutcome(const std::string &id, bool failed, Time now);

    /// The endpoint \a id in \a domain reported \a running requests whose paths begin at this
    /// endpoint.
    void updateWorkRatio(const std::string &id, const std::string &domain, std::uint32_t running);

    /// An engine's state, queried by this instance or another one.
    void reported(const EngineState &state, Time now);

    /// At the time \a at, the engine was still in its last reported state.
    void confirmUnchanged(std::string_view id, Time at, Time now);

    /// Sets the number of instances that send requests to a domain's engines.
    void setSharingInstances(double sharingInstances) { m_sharingInstances = sharingInstances; }

    /// A request of this instance passes from domain \a from to domain \a to. It uses the link
    /// between the two domains for \a transferMs.
    void recordTransfer(const std::string &from, const std::string &to, double transferMs,
                        Time now);

    /// Sets the number of instances in all domains.
    void setInstances(double instances) { m_instances = instances; }

    // Queries

    /// Number of instances that send requests to a domain's engines.
    double sharingInstances() const { return m_sharingInstances; }

    /// Estimated utilization of the link between two domains: recent transfers of this instance
    /// times the number of instances.
    double linkLoad(std::string_view from, std::string_view to, Time now) const;

    const EngineEstimate *find(std::string_view id) const;
    bool suspected(std::string_view id, Time now) const;
    bool usable(std::string_view id, Time now) const;

    /// Estimated ratio of all requests in \a domain to those of this instance. Requests of other
    /// instances are not visible, but engines report how many paths begin at them in total.
    double workRatio(const std::string &domain) const;

    /// Load of an engine in \a domain: its last report and the requests sent since. Without a
    /// recent report, the requests of this instance times workRatio().
    EngineLoad load(std::string_view id, const std::string &domain, Time now) const;

    /// Recent share of failed requests, between 0 and 1.
    double failureShare(std::string_view id, Time now) const;

private:
    static void countOwn(EngineEstimate &estimate, Time now);
    EngineEstimate &estimate(const std::string &id) { return m_estimates[id]; }
    double decay(const EngineEstimate &estimate, Time now) const;

    EngineTrackerSettings m_settings;
    std::map<std::string, EngineEstimate, std::less<>> m_estimates; ///< by endpoint
    std::map<std::string, double> m_workRatios; ///< by domain
    double m_sharingInstances = 3;

    /// Use of the link between two domains by requests of this instance.
    struct LinkUse
    {
        double ms = 0; ///< decaying sum
        Time at {}; ///< of the last transfer
    };
    std::map<std::pair<std::string, std::string>, LinkUse, std::less<>> m_links;
    double m_instances = 8;
};

} // namespace balsamloft
