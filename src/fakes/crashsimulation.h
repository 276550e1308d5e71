/// \file
/// Several instances before the same engines, in virtual time, with a request
/// that ends each engine that begins to run it.

#pragma once

#include "trialstore.h"

#include <balsamloft/relay.h>

#include <functional>
#include <queue>

namespace balsamloft::fakes {

/// What the request that ends engines does to them.
enum class CrashKind : std::uint8_t {
    CrashesFirst, ///< the engine on which its path begins ends
    CrashesMiddle, ///< the next one on its path does; the first one lives and waits for it
    Hangs, ///< its first engine accepts what comes and answers nothing, until it is restarted
};

/// Settings of a CrashSimulation.
struct CrashSimulationSettings
{
    std::size_t instances = 6;
    std::size_t domains = 3;
    std::size_t enginesPerDomain = 4;
    double requestsPerSecond = 60; ///< that do no harm, all with different content
    Duration crashingInterval {4'000'000}; ///< the request that ends engines comes again
    Duration crashingUntil {60'000'000};
    Duration harmlessFor {0}; ///< before that it comes through as others do
    Duration crashingLifetime {3'600'000'000}; ///< after which another such request comes instead
    std::size_t crashingCopies = 1; ///< so many of it at once, at different instances
    RequestKind crashingKind = RequestKind::Stream;
    CrashKind crashKind = CrashKind::CrashesFirst;
    std::uint32_t crashingRetries = 0; ///< of its caller, when told to come back
    Duration prefillTime {
        0}; ///< of one prompt, one after another; 0: side by side, up to 0.4 s each
    Duration maxWait {4'000'000}; ///< an engine whose work waits longer rejects
    Duration patience {2'000'000}; ///< callers leave after so long without an event
    Duration delistDelay {2'900'000}; ///< after which an engine that ended is no longer listed
    Duration restart {3'000'000}; ///< after which another engine takes its place
    Duration silenceReportDelay {1'200'000}; ///< a domain's reader says that an engine is silent
    /// An engine's end breaks its connections one after another, over so long.
    Duration breakSpread {0};
    Duration updateDelay {700'000}; ///< from one instance to all others
    Duration storeLatency {5'000}; ///< of one transaction
    bool storeUnreachable = false; ///< instances learn nothing through it, and it permits no trials
    std::uint64_t seed = 1;
};

/// Instances with a Relay each, engines that hold the whole model, callers. Each
/// engine reads a prompt for a while, then sends events; one that ends takes all
/// that it had along.
class CrashSimulation
{
public:
    explicit CrashSimulation(CrashSimulationSettings settings);

    void run(Duration duration);

    /// Ends an engine that some request runs on, whatever runs there.
    void crashAnyEngine();

    /// Three engines ended a moment ago under the request that ends them and under
    /// \a others that do no harm, and all instances know. Nothing tells them apart. The
    /// callers of all of them come back until they are served.
    void addSuspects(std::size_t others);

    /// Kills all instances; others, which know nothing, take their place.
    void restartInstances();

    // What happened

    /// When engines ended under the request that ends them; of several such requests
    /// the one under which most ended.
    std::vector<Time> crashes() const;

    /// Sends that reached an engine or where one had been, later than \a after the
    /// third end under the same request; the most of one request.
    std::size_t sendsAfterThirdCrash(Duration after) const;

    /// Requests that do no harm, and how they ended.
    struct Harmless
    {
        std::size_t sent = 0;
        std::size_t passed = 0;
        std::size_t refused = 0;
        std::size_t broken = 0; ///< failed, or cut in the middle
        std::size_t callersLeft = 0; ///< their callers left
        std::size_t quarantined = 0; ///< taken for one that ends engines
    };
    const Harmless &harmless() const { return m_harmless; }

    /// How long each of those suspected together waited from its first attempt until it
    /// was served; only of those that were.
    const std::vector<Duration> &waits() const { return m_waits; }

private:
    struct Engine
    {
        std::string id;
        std::string domain;
        std::string address;
        LayerRange layers;
        bool crashed = false;
        bool hangs = false;
        bool listed = true;
        Time busyUntil {};
    };

    struct Run
    {
        std::size_t instance = 0;
        FlightId flight = 0;
        std::uint32_t attempt = 0;
        std::size_t engine = 0; ///< on which its path begins
        std::optional<std::size_t> next; ///< on its path
        bool stalled = false; ///< waits for the next engine, which ended
        std::uint64_t events = 0;
        std::string digest;
        bool crashing = false;
        bool over = false;
    };

    struct Caller
    {
        std::string digest;
        bool crashing = false;
        std::uint64_t eventsLeft = 0;
        std::uint32_t retries = 1;
        std::optional<Time> suspectedSince; ///< together with the one that ends engines
    };

    struct Event
    {
        Time at;
        std::uint64_t number;
        std::function<void()> what;
        bool operator<(const Event &other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    void after(Duration delay, std::function<void()> what);
    void startInstance(std::size_t instance);
    LayerRange layersOf(std::size_t number) const;
    void startEngine(const std::string &domain, LayerRange layers);
    void publishFleet();
    void tick(std::size_t instance);
    void arrive();
    void arriveCrashing();
    std::string crashingDigest() const;
    void submit(std::size_t instance, Caller caller);
    void act(std::size_t instance, RelayActions actions);
    void send(std::size_t instance, const SendRequest &send);
    void begin(const std::shared_ptr<Run> &run);
    void crashUnder(const std::shared_ptr<Run> &run);
    void hang(std::size_t engine);
    void crashNext(std::size_t engine);
    void changePath(std::size_t instance, const ChangePath &change);
    std::vector<std::string> stalledAt(std::size_t engine) const;
    bool isDead(const Run &run) const;
    void reject(const std::shared_ptr<Run> &run);
    void leaveIfIdle(std::size_t instance, FlightId flight, std::uint64_t eventsLeft);
    std::optional<Duration> timeToStart(Engine &engine);
    void nextEvent(const std::shared_ptr<Run> &run);
    void crashEngine(std::size_t engine);
    void fail(const std::shared_ptr<Run> &run, AttemptFailure failure);
    void finished(std::size_t instance, const FinishFlight &finish);
    void passed(std::size_t instance, FlightId flight);
    void queryEngine(std::size_t instance, const QueryEngine &query);
    void publish(const CrashUpdate &update);
    void distribute();
    void requestTrial(std::size_t instance, const RequestTrial &request);
    void finishTrial(std::size_t instance, const FinishTrial &finish);
    bool write(const TrialChange &change);
    std::size_t engineOf(const std::string &id) const;
    Duration between(std::int64_t least, std::int64_t most);
    Duration upTo(Duration most);
    std::size_t pick(std::size_t count);
    template<typename Step>
    void step(std::size_t instance, Step what);

    CrashSimulationSettings m_settings;
    std::mt19937_64 m_random;
    RouteMapPtr m_table;
    Time m_now {std::chrono::hours(1)};
    Time m_begun = m_now;
    std::uint64_t m_next = 1;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Relay>> m_relays;
    std::vector<std::map<FlightId, Caller>> m_callers; ///< by instance
    std::vector<Engine> m_engines;
    FleetPtr m_fleet;
    std::vector<std::shared_ptr<Run>> m_runs;
    std::vector<CrashRecord> m_sharedCrashes; ///< by instances to each other
    std::vector<TrialPermits> m_permits; ///< by instance
    TrialStore m_trials;
    std::map<std::string, std::vector<Time>> m_crashes; ///< under each request that ends engines
    std::map<std::string, std::vector<Time>> m_crashingSends;
    Harmless m_harmless;
    std::vector<Duration> m_waits;
};

} // namespace balsamloft::fakes
