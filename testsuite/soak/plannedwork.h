/// \file
/// Runs many instances of `balsamloft-entry` as real processes under overlapping planned work:
/// stops, new flags and new configurations. Requests that end without an answer are judged by
/// their callers' own records.

#pragma once

#include "../common/process.h"
#include "plannedcallers.h"
#include "platform.h"

namespace balsamloft::soak {

/// Settings of a run.
struct PlannedWorkSettings
{
    std::uint64_t seed = 1;
    std::chrono::seconds length {8}; ///< duration of the planned work
    int instances = 4;
    int callers = 25; ///< per instance
    int callerThreads = 1;
    Milliseconds grace {4'000}; ///< that instances are first started with
    int busy = 0; ///< number of busy threads on the cores of the instances
    int cores = 0; ///< number of cores that the instances share; 0: all
};

/// Runs one seed. The seed determines the planned work and its times, but not the timing of the
/// machine.
class PlannedWork
{
public:
    explicit PlannedWork(PlannedWorkSettings settings);
    ~PlannedWork();

    /// \return violated guarantees, one line each.
    std::vector<std::string> run();

    /// Planned work in order, for the report of a failing seed.
    const std::vector<std::string> &faults() const { return m_events; }
    std::string summary() const { return m_summary; }

    /// Writes the logs of the instances to files in \a directory.
    void saveLogs(const std::string &directory) const;

private:
    struct Instance
    {
        std::string name;
        std::string readiness; ///< address of its readiness check
        std::string flagFile;
        std::vector<std::string> arguments;
        Milliseconds grace {0}; ///< as in its flags now
        std::unique_ptr<testsuite::Process> process;
        std::string formerOutput; ///< output of the instance's earlier processes
        bool stopping = false; ///< from the signal until it is ready again
    };

    enum class Cause { Stop, Reload, Configuration };

    /// A time in which planned work may explain how a request ended.
    struct Window
    {
        Cause cause = Cause::Stop;
        std::optional<std::size_t> instance; ///< empty: all
        Clock::time_point at;
        Milliseconds grace {0}; ///< of a stop
    };

    /// One version of what operators configure.
    struct Configuration
    {
        int version = 1;
        int idleTimeoutMs = 8'000;
        int headerTimeoutMs = 3'000;
        int timeoutMs = 30'000;
        std::string safeService = "plain";
        bool extraRoute = false;
    };

    void makeEndpoints();
    void makeInstances();
    void makeCallers();

    awaitable<void> runPhases();
    void spawn(awaitable<void> work);
    awaitable<void> runStops(std::uint64_t seed);
    awaitable<void> runReloads(std::uint64_t seed);
    awaitable<void> runOperator(std::uint64_t seed);

    std::vector<std::size_t> chooseForStop(std::mt19937_64 &random, std::string &manner) const;
    awaitable<void> restart(std::size_t instance, Milliseconds delay, Milliseconds away);
    awaitable<void> stop(std::size_t instance);
    awaitable<void> leaveRotation(std::size_t instance, Milliseconds delay);
    awaitable<void> startAgain(std::size_t instance);
    awaitable<void> waitUntilReady(std::size_t instance);
    void writeFlags(const Instance &instance, double retryRatio);
    void reload(std::size_t instance, std::mt19937_64 &random);
    Configuration drawConfiguration(std::mt19937_64 &random) const;
    void writeConfiguration();
    /// Callers learn of a longer idle timeout once it is in force.
    awaitable<void> announceIdleTimeout(int version, int idleTimeoutMs);

    /// Checks what an instance logged of its callers at the end of a stop.
    void checkStopLine(const Instance &instance, const std::string &output);
    /// The planned work beside which a request ended.
    enum class Beside { Nothing, Configuration, StopOrReload };
    static constexpr std::size_t BesideCount = 3;

    /// Requests that ended beside planned work of one kind.
    struct Tally
    {
        std::size_t requests = 0;
        std::vector<std::string> lost; ///< one line each
        std::size_t executed = 0; ///< lost ones that an endpoint had executed
    };

    void judge();
    void judgeUnanswered(const Attempt &attempt, Tally &tally);
    void judgeTallies();
    void addLost(const Tally &tally);
    Tally &tally(Beside beside) { return m_tallies[static_cast<std::size_t>(beside)]; }
    Beside besideOf(const Attempt &attempt) const;
    /// Whether the rules let a stop cut the request of \a attempt.
    bool mayBeCut(const Attempt &attempt) const;
    /// Whether an endpoint has not answered the request of \a attempt in the time that it had.
    bool ranOutOfTime(const Attempt &attempt) const;
    bool covers(const Window &window, const Attempt &attempt) const;
    std::string explain(const Attempt &attempt) const;
    void logEvent(const std::string &event);

    PlannedWorkSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<int> m_cores; ///< shared by the instances; empty: all
    boost::asio::io_context m_context;
    Record m_record;
    Store m_store;
    CallerView m_view;
    std::string m_directory; ///< of the instances' flag files
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<Instance> m_instances;
    std::vector<std::unique_ptr<CallerGroup>> m_callers;
    std::vector<std::jthread> m_busyThreads;
    OwnDelay m_delay; ///< of the store and the endpoints
    Configuration m_configuration;
    std::vector<Window> m_windows;
    std::vector<std::string> m_events;
    std::array<Tally, BesideCount> m_tallies;
    std::string m_summary;
    Clock::time_point m_begin = Clock::now();
    bool m_stopping = false;
    int m_running = 0; ///< number of tasks that run() waits for
    std::size_t m_stops = 0;
    std::size_t m_killed = 0; ///< instances that did not end within their grace period
    std::size_t m_reloads = 0;
    std::size_t m_crossed = 0; ///< requests that crossed the end of their connection
    std::size_t m_outOfTime = 0;
    std::size_t m_cut = 0; ///< streams that a stop may cut
};

} // namespace balsamloft::soak
