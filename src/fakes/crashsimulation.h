/// \file
/// Simulates several instances, their engines and callers in virtual time, with a request
/// that crashes each engine that runs it.

#pragma once

#include "trialstore.h"

#include <balsamloft/crashgossip.h>
#include <balsamloft/relay.h>

#include <functional>
#include <queue>

namespace balsamloft::fakes {

/// Effect of the crashing request on the engines that run it.
enum class CrashKind : std::uint8_t {
    CrashesFirst, ///< the first engine of its path crashes
    CrashesMiddle, ///< the second engine of its path crashes; the first one waits for it
    Hangs, ///< the first engine accepts data and sends nothing until it is restarted
};

/// Prompt parts of the simulated requests. If there are crashing parts, each crashing request has
/// other content, and one of the crashing parts.
struct SimulatedParts
{
    std::size_t crashing = 0; ///< parts that crash engines, with as many requests each
    /// First parts that harmless requests share, the crashing requests too; 0: none, and the
    /// crashing part is the first.
    std::size_t shared = 12;
    /// Crashing requests have a second harmless part, which this share of harmless requests has.
    double companionShare = 0;
};

/// Settings of a CrashSimulation.
struct CrashSimulationSettings
{
    std::size_t instances = 6;
    std::size_t domains = 3;
    std::size_t enginesPerDomain = 4;
    double requestsPerSecond = 60; ///< harmless requests, each with different content
    Duration crashingInterval {4'000'000}; ///< between two arrivals of the crashing request
    Duration crashingFrom {0}; ///< the first arrival is one interval later
    Duration crashingUntil {60'000'000};
    Duration harmlessFor {0}; ///< initial time in which the crashing request succeeds
    Duration crashingLifetime {3'600'000'000}; ///< after this, another crashing request replaces it
    SimulatedParts parts;
    std::size_t crashingCopies = 1; ///< copies that arrive together at different instances
    RequestKind crashingKind = RequestKind::Stream;
    CrashKind crashKind = CrashKind::CrashesFirst;
    std::uint32_t crashingRetries = 0; ///< of its caller, after a refusal
    /// Time to prefill one prompt, one after another; 0: in parallel, up to 0.4 s each.
    Duration prefillTime {0};
    Duration maxWait {4'000'000}; ///< an engine with a longer queue rejects requests
    Duration patience {2'000'000}; ///< time without an event after which callers disconnect
    Duration delistDelay {2'900'000}; ///< from the crash of an engine until it is delisted
    Duration restartDelay {3'000'000}; ///< until another engine replaces a crashed one
    Duration silenceReportDelay {1'200'000}; ///< until a domain's reader reports a hung engine
    /// The connections of a crashed engine break one after another within this time.
    Duration breakSpread {0};
    Duration updateDelay {700'000}; ///< from one instance to all others, by the store
    double gossipLoss = 0; ///< share of messages between instances that are lost
    Duration storeLatency {5'000}; ///< of a transaction
    bool storeUnreachable = false; ///< records are exchanged by gossip only, no trials permitted
    std::uint64_t seed = 1;
};

/// Runs one Relay per instance against engines that hold the complete model, or half of it for
/// CrashKind::CrashesMiddle. An engine prefills each prompt, then sends events. A crash
/// interrupts all requests on the engine.
class CrashSimulation
{
public:
    explicit CrashSimulation(CrashSimulationSettings settings);

    void run(Duration duration);

    /// Crashes a random engine that runs a request.
    void crashAnyEngine();

    /// Shares crash records with all instances, as if three engines had just crashed while they ran
    /// the crashing request and \a others harmless requests. The callers of the harmless requests
    /// retry until they are served.
    void addSuspects(std::size_t others);

    /// Replaces all instances by new processes without state.
    void restartInstances();

    // Results

    /// Times of the crashes caused by the crashing request; if there were several such
    /// requests, by the one with the most crashes.
    std::vector<Time> crashes() const;

    /// How often a crashing request was sent, to a live or crashed engine, once the duration \a
    /// after had passed since its third crash. This is the maximum over all crashing requests.
    std::size_t sendsAfterThirdCrash(Duration after) const { return sendsAfterCrash(3, after); }

    /// The same since crash number \a crash, counting from 1. Requests that share a crashing part
    /// count together.
    std::size_t sendsAfterCrash(std::size_t crash, Duration after) const;

    /// Crashes by all crashing requests.
    std::size_t allCrashes() const;

    /// Outcomes of the harmless requests.
    struct Harmless
    {
        std::size_t sent = 0;
        std::size_t passed = 0;
        std::size_t refused = 0;
        std::size_t broken = 0; ///< failed or truncated
        std::size_t callersLeft = 0; ///< their callers disconnected, see patience
        std::size_t quarantined = 0;
    };
    const Harmless &harmless() const { return m_harmless; }

    /// Outcomes of the harmless requests whose first part crashing requests have too.
    const Harmless &besideCrashing() const { return m_besideCrashing; }

    /// Longest time from the arrival of a crashing request until its refusal, from \a from on.
    Duration longestRefusal(Duration from) const;

    /// Times from addSuspects() until each of its harmless requests was served. Requests that
    /// were not served are omitted.
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
        Time busyUntil {}; ///< end of the prefill of all prompts received so far
    };

    /// An attempt on an engine.
    struct Run
    {
        std::size_t instance = 0;
        FlightId flight = 0;
        std::uint32_t attempt = 0;
        std::size_t engine = 0; ///< first engine of its path
        std::optional<std::size_t> next; ///< second engine of its path
        bool stalled = false; ///< waits for the second engine, which crashed
        std::uint64_t events = 0;
        std::string cause; ///< see Caller
        bool crashing = false;
        bool finished = false;
    };

    struct Caller
    {
        std::string digest;
        std::vector<std::string> parts; ///< of the prompt, without the last one
        std::string cause; ///< of its crashes: its crashing part, or its digest
        bool besideCrashing = false; ///< its first part is one of the crashing requests
        Time submittedAt {};
        bool crashing = false;
        std::uint64_t eventsLeft = 0;
        std::uint32_t retries = 1;
        std::optional<Time> suspectedSince; ///< set by addSuspects()
    };

    /// An action at a point in virtual time; \a number orders those at the same time.
    struct Event
    {
        Time at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    void after(Duration delay, std::function<void()> action);
    void startInstance(std::size_t instance);
    LayerRange layersOf(std::size_t number) const;
    void startEngine(const std::string &domain, LayerRange layers);
    void publishFleet();
    void tick(std::size_t instance);
    void arrive();
    void arriveCrashing();
    std::string crashingDigest() const;
    Caller harmlessCaller();
    Caller crashingCaller(std::size_t copy);
    std::string sharedPart();
    void count(const Caller &caller, std::size_t Harmless::*counter);
    void submit(std::size_t instance, Caller caller);
    void act(std::size_t instance, RelayActions actions);
    void send(std::size_t instance, const SendRequest &send);
    void start(const std::shared_ptr<Run> &run);
    void applyCrash(const std::shared_ptr<Run> &run);
    void hang(std::size_t engine);
    void crashMiddle(std::size_t engine);
    void changePath(std::size_t instance, const ChangePath &change);
    std::vector<std::string> stalledAt(std::size_t engine) const;
    bool isStopped(const Run &run) const;
    void reject(const std::shared_ptr<Run> &run);
    void leaveIfIdle(std::size_t instance, FlightId flight, std::uint64_t eventsLeft);
    std::optional<Duration> timeToStart(Engine &engine);
    void nextEvent(const std::shared_ptr<Run> &run);
    void crashEngine(std::size_t engine);
    void fail(const std::shared_ptr<Run> &run, AttemptFailure failure);
    void retryUntilServed(const Caller &caller);
    void finished(std::size_t instance, const FinishFlight &finish);
    void passed(std::size_t instance, FlightId flight);
    void queryEngine(std::size_t instance, const QueryEngine &query);
    void publish(std::size_t instance, const CrashUpdate &update);
    void sendGossip(std::size_t instance);
    void receiveGossip(std::size_t instance, const std::vector<CrashNotice> &notices);
    void setCrashes(std::size_t instance);
    void distribute();
    void requestTrial(std::size_t instance, const RequestTrial &request);
    void finishTrial(std::size_t instance, const FinishTrial &finish);
    bool write(const TrialChange &change);
    std::size_t engineOf(const std::string &id) const;
    Duration between(std::int64_t min, std::int64_t max);
    Duration upTo(Duration max);
    std::size_t pick(std::size_t count);
    template<typename Action>
    void step(std::size_t instance, Action action);

    CrashSimulationSettings m_settings;
    std::mt19937_64 m_random;
    /// Apart from m_random, so that a seed draws the same world whatever the losses.
    std::mt19937_64 m_lossRandom;
    RouteMapPtr m_table;
    Time m_now {std::chrono::hours(1)};
    Time m_startedAt = m_now;
    std::uint64_t m_nextNumber = 1;
    std::size_t m_arrivals = 0; ///< of crashing requests
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Relay>> m_relays;
    std::vector<std::map<FlightId, Caller>> m_callers; ///< by instance
    std::vector<Engine> m_engines;
    FleetPtr m_fleet;
    std::vector<std::shared_ptr<Run>> m_runs;
    std::vector<CrashRecord> m_sharedCrashes; ///< published by all instances
    std::vector<CrashGossip> m_gossip; ///< by instance
    std::vector<PeerInstance> m_instances;
    std::vector<TrialPermits> m_permits; ///< by instance
    TrialStore m_trials;
    std::map<std::string, std::vector<Time>> m_crashes; ///< by cause
    std::map<std::string, std::vector<Time>> m_crashingSends; ///< by cause
    Harmless m_harmless;
    Harmless m_besideCrashing;
    std::vector<std::pair<Time, Duration>> m_refusals; ///< of crashing requests
    std::vector<Duration> m_waits;
};

} // namespace balsamloft::fakes
