/// \file
/// What one instance believes of endpoints: its own work on them, their health
/// and their pace, each with its age.

#pragma once

#include <balsamloft/enginefleet.h>
#include <balsamloft/routemap.h>

#include <map>
#include <string>
#include <utility>

namespace balsamloft {

/// Settings of an EngineTracker.
struct EngineTrackerSettings
{
    Duration suspicion {4'000'000}; ///< a silent endpoint is left out this long
    Duration initialBusyPause {150'000}; ///< an endpoint without room is left out this long
    Duration maxBusyPause {2'400'000}; ///< doubled with each refusal in a row, up to this
    Duration slowdownLifetime {3'000'000}; ///< a report of slowness is believed this long
    Duration failureHalfLife {3'000'000};
    Duration reportLifetime {2'500'000}; ///< a report of load is believed this long
    /// Engines are asked about so often; one that is still as it was has taken in by then
    /// what was sent there.
    Duration reportInterval {1'000'000};
};

/// What an engine said of itself, or that it did not answer.
struct EngineState
{
    std::string id;
    double used = 0; ///< KV memory in use, in tokens times layers
    std::uint32_t active = 0; ///< requests that run on it, of all instances
    std::uint32_t queued = 0; ///< requests that wait there
    double pace = 1;
    bool silent = false;
    Time at {}; ///< when it was so
};

/// What one instance tells another of engines.
struct EngineReports
{
    std::vector<EngineState> changed;
    /// By domain: all others of its engines are still as told before, as of then.
    std::map<std::string, Time> asOf;
};

/// Whether \a now differs from what was \a told before by enough to change a choice;
/// \a room: the engine's KV memory, in tokens times layers.
bool differsNoticeably(const EngineState &told, const EngineState &now, double room);

/// Belief about one endpoint.
struct EngineEstimate
{
    std::uint32_t streams = 0; ///< own requests on it
    double tokenLayers = 0; ///< KV memory that they need, in tokens times layers
    Time suspectUntil {};
    Time lastAnswerAt {}; ///< it answered this instance last
    Time pausedUntil {};
    std::uint32_t consecutiveRefusals = 0; ///< refusals in a row
    double pace = 1; ///< over 1: slower than its kind
    Time slowdownUntil {};
    double failures = 0; ///< decaying count of failed requests
    double answers = 0; ///< decaying count of all requests
    Time decayedAt {};
    std::uint32_t ownStartingHere = 0; ///< own requests that entered the engines here
    Time reportedAt {}; ///< never: the beginning of time
    Time confirmedAt {}; ///< as of then it still was so
    Time ownCountedAt {}; ///< own work was counted then, see ownUsedAtReport
    double reportedUsed = 0;
    std::uint32_t reportedActive = 0;
    std::uint32_t reportedQueued = 0;
    double ownUsedAtReport = 0; ///< own work that the report is taken to hold
    std::uint32_t ownRequestsAtReport = 0;
};

/// All work on an endpoint, as far as it can be known.
struct EngineLoad
{
    double used = 0; ///< KV memory, in tokens times layers
    double streams = 0;
    double queued = 0; ///< requests that wait for room
    bool reported = false; ///< the engine said so of late; else it is an estimate
};

/// Beliefs about all endpoints. Endpoints are named by id: what was believed of
/// one process does not hold for the next one at its address.
class EngineTracker
{
public:
    explicit EngineTracker(EngineTrackerSettings settings = {});

    // Commands

    /// Forgets endpoints that are not in \a fleet and hold no own work.
    void follow(const FleetSnapshot &fleet);
    void started(const std::string &id, double tokenLayers, bool first);
    void ended(const std::string &id, double tokenLayers, bool first);

    /// The endpoint did not answer or broke off.
    void suspect(const std::string &id, Time now);

    /// The endpoint answered this instance: it is alive.
    void recordAnswer(const std::string &id, Time now);

    /// The endpoint refused for want of room, or of a part that it gave up. One
    /// that goes on refusing is left alone for longer and longer: each refusal
    /// costs one of the few repeats.
    void refusedBusy(const std::string &id, Time now);
    /// A request ran through the endpoint.
    void resetRefusals(const std::string &id);
    void setSlowdown(const std::string &id, double pace, Time now);
    void finished(const std::string &id, bool failed, Time now);

    /// The endpoint in \a domain said that \a running requests entered there.
    void updateScale(const std::string &id, const std::string &domain, std::uint32_t running);

    /// An engine's state, as this instance or another one asked for it.
    void reported(const EngineState &state, Time now);

    /// As of \a at the engine is as it was reported last.
    void confirmUnchanged(std::string_view id, Time at, Time now);

    /// How many instances are believed to send work to a domain's engines.
    void setSharingInstances(double sharingInstances) { m_sharingInstances = sharingInstances; }

    /// A request of this instance goes from \a from to \a to, two domains, and takes
    /// their pipe for \a pipeMs.
    void recordTransfer(const std::string &from, const std::string &to, double pipeMs, Time now);

    /// How many instances there are in all domains.
    void setInstances(double instances) { m_instances = instances; }

    // Queries

    /// Instances that are believed to send work to a domain's engines.
    double sharingInstances() const { return m_sharingInstances; }

    /// Share of the time that the pipe between two domains is believed to be in
    /// use: own requests of late, times the instances.
    double linkLoad(std::string_view from, std::string_view to, Time now) const;

    const EngineEstimate *find(std::string_view id) const;
    bool suspected(std::string_view id, Time now) const;
    bool usable(std::string_view id, Time now) const;

    /// All work in \a domain over own work there: other instances' work cannot
    /// be seen, but engines say how much entered in all.
    double scale(const std::string &domain) const;

    /// Work on an engine in \a domain: what it last said and what came since, or
    /// own work scaled when it said nothing of late.
    EngineLoad load(std::string_view id, const std::string &domain, Time now) const;

    /// Share of failed requests of late, between 0 and 1.
    double failureShare(std::string_view id, Time now) const;

private:
    static void countOwn(EngineEstimate &belief, Time now);
    EngineEstimate &belief(const std::string &id) { return m_beliefs[id]; }
    double decay(const EngineEstimate &belief, Time now) const;

    EngineTrackerSettings m_settings;
    std::map<std::string, EngineEstimate, std::less<>> m_beliefs;
    std::map<std::string, double> m_scales;
    double m_sharingInstances = 3;

    /// Own use of the pipe between two domains.
    struct PipeUse
    {
        double ms = 0; ///< decaying sum
        Time at {};
    };
    std::map<std::pair<std::string, std::string>, PipeUse, std::less<>> m_pipes;
    double m_instances = 8;
};

} // namespace balsamloft
