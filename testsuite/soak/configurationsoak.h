/// \file
/// Runs many instances of `balsamloft-entry` as real processes before engines in paths of several,
/// with new configurations at a high rate, and kills processes right after them. Requests that
/// end without an answer are judged by their callers' own records.

#pragma once

#include "../common/process.h"
#include "plannedcallers.h"
#include "platform.h"

namespace balsamloft::soak {

/// Settings of a run.
struct ConfigurationSoakSettings
{
    std::uint64_t seed = 1;
    std::chrono::seconds length {20};
    int instances = 6;
    int callers = 10; ///< per instance
    int callerThreads = 1;
    int engines = 16;
    int routes = 240; ///< at least; up to six times as many
    /// Share of each tenth of a second for which an instance runs; 0: always.
    double processorShare = 0;
    int busy = 0; ///< number of busy threads on the cores of the instances
    int cores = 0; ///< number of cores that the instances share; 0: all
    bool detours = false; ///< instances reach some endpoints only by way of others
    bool kills = true;
};

/// Runs one seed. The seed determines what happens, but not the timing of the machine.
class ConfigurationSoak
{
public:
    explicit ConfigurationSoak(ConfigurationSoakSettings settings);

    /// \return violated guarantees, one line each.
    std::vector<std::string> run();

    /// Configurations and kills in order, for the report of a failing seed.
    const std::vector<std::string> &faults() const { return m_events; }
    std::string summary() const { return m_summary; }

    /// Writes the logs of the instances to files in \a directory.
    void saveLogs(const std::string &directory) const;

private:
    struct Instance
    {
        std::string name;
        std::string readiness; ///< address of its readiness check
        std::string metrics; ///< address of its metrics
        std::vector<std::string> arguments;
        std::unique_ptr<testsuite::Process> process;
        std::string formerOutput; ///< output of the instance's earlier processes
        std::string lastMetrics; ///< of the present process
        bool killed = false; ///< from the kill until it is ready again
        std::vector<Clock::time_point> kills;
    };

    /// One version of what operators configure.
    struct Configuration
    {
        int version = 1;
        int routes = 0;
        int idleTimeoutMs = 8'000;
        int timeoutMs = 30'000;
        std::string safeService = "plain";
        bool extraRoute = false;
        int changingKeys = 8;
    };

    /// Requests of callers of one instance, beside configurations or at other times.
    struct Count
    {
        std::size_t requests = 0;
        std::size_t cut = 0;
    };

    /// Why a request may end without an answer; or that it may not.
    enum class Verdict { Answered, AfterKill, EndpointEnded, Crossed, Cut };
    static constexpr std::size_t VerdictCount = 5;

    void makeEndpoints();
    void makeInstances();
    void makeCallers();
    /// Returns an address of the store whose rows give some endpoints addresses that do not answer.
    std::string addressWithBrokenLinks();

    awaitable<void> runPhases();
    void spawn(awaitable<void> work);
    awaitable<void> runOperator(std::uint64_t seed);
    void change(std::mt19937_64 &random);
    void writeConfiguration();
    awaitable<void> runKills(std::uint64_t seed);
    awaitable<void> interruptStore(Milliseconds time);
    awaitable<void> restartEndpoint(std::size_t index);
    awaitable<void> killAndRestart(std::size_t index, Milliseconds delay, Milliseconds away);
    void kill(std::size_t index);
    awaitable<void> watchMetrics();
    void addMetrics(Instance &instance);
    /// Stops and continues the instances' processes, so that each runs for its share of the time.
    void limitProcessors(const std::stop_token &stopped);

    void judge();
    Verdict judge(const Attempt &attempt) const;
    bool isBesideConfiguration(const Attempt &attempt) const;
    std::string describe(const Attempt &attempt) const;
    std::string killsAround(const Attempt &attempt) const;
    /// Returns the log lines of all instances that name \a request.
    std::string linesOf(const std::string &request) const;
    std::size_t countInLogs(std::string_view text) const;
    std::string ratios() const;
    std::string totals() const;
    void logEvent(const std::string &event);

    ConfigurationSoakSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<int> m_cores; ///< shared by the instances; empty: all
    boost::asio::io_context m_context;
    Record m_record;
    Store m_store;
    CallerView m_view;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<std::unique_ptr<Link>> m_silentLinks;
    std::vector<Instance> m_instances;
    std::vector<std::unique_ptr<CallerGroup>> m_callers;
    std::vector<std::jthread> m_busyThreads;
    std::mutex m_limitedMutex;
    std::vector<pid_t> m_limited; ///< processes by instance; 0: none
    OwnDelay m_delay; ///< of the store and the endpoints
    Configuration m_configuration;
    std::vector<Clock::time_point> m_versionsAt;
    std::map<std::string, Clock::time_point> m_endpointEnds; ///< by id
    std::map<std::string, double> m_totals; ///< of the instances' metrics
    std::vector<std::array<Count, 2>> m_counts; ///< by instance; at other times, beside
    std::array<std::size_t, VerdictCount> m_verdicts {};
    std::vector<std::string> m_events;
    std::string m_summary;
    Clock::time_point m_begin = Clock::now();
    Clock::time_point m_end {}; ///< when the instances were told to end for good
    bool m_stopping = false;
    bool m_killing = false;
    int m_running = 0; ///< number of tasks that run() waits for
};

} // namespace balsamloft::soak
