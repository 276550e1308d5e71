/// \file
/// Runs instances of `balsamloft-entry` as real processes, with callers that reuse their
/// connections, while overlapping series of random faults are injected into the
/// instances, the store, the links and the endpoints.

#pragma once

#include "../common/process.h"
#include "platform.h"

namespace balsamloft::soak {

/// Settings of a run.
struct SoakSettings
{
    std::uint64_t seed = 1;
    std::chrono::seconds length {8}; ///< duration of the faults
    int instances = 3;
    int callers = 4; ///< per instance
    int series = 3; ///< number of concurrent series of faults
    /// Repeatedly sends a request that crashes the endpoints that execute it.
    bool crashingRequest = false;
    /// The same with as many parts of prompts, in requests that are otherwise different.
    int crashingParts = 0;
    bool storeDown = false; ///< the store is down from the first fault to the last
    /// Each instance has links of its own to the endpoints, and a domain of its own. In a further
    /// series, instances are cut from all endpoints.
    bool ownLinks = false;
    /// In a further series, the store comes back from copies of its tables, while operators change
    /// the configuration.
    bool restores = false;
    /// In a further series, endpoints announce pauses, or their exit, in their answers.
    bool announcements = false;
    /// Callers leave without an answer, and in a further series instances stand still for a short
    /// time.
    bool departures = false;
};

/// Runs one seed. The seed determines the faults, their times and durations, but not the timing of
/// the machine, so runs with the same seed are similar but not identical.
class Soak
{
public:
    explicit Soak(SoakSettings settings);
    ~Soak();

    /// \return violated guarantees, one line each.
    std::vector<std::string> run();

    /// Injected faults in order, for the report of a failing seed.
    const std::vector<std::string> &faults() const { return m_faults; }
    std::string summary() const { return m_record.summary(); }

    /// Writes the logs of the instances to files in \a directory.
    void saveLogs(const std::string &directory) const;

private:
    struct Instance
    {
        std::string name;
        std::string domain;
        std::string callers; ///< address for callers
        std::vector<std::string> arguments;
        std::unique_ptr<Link> store; ///< link to the store
        /// Links of its own to the endpoints; empty: it uses those of all instances.
        std::vector<std::unique_ptr<Link>> endpoints;
        std::unique_ptr<testsuite::Process> process;
        std::string formerOutput; ///< output of the instance's earlier processes
        bool busy = false; ///< a fault of the instance's process is in progress
        int starts = 0; ///< number of its processes so far
    };

    void makeEndpoints();
    void makeInstances();
    void startProcess(Instance &instance);
    awaitable<void> runPhases();
    using Fault = awaitable<void> (Soak::*)(std::mt19937_64 &random);
    awaitable<void> runSeries(std::uint64_t seed, Fault fault);
    awaitable<void> injectFault(std::mt19937_64 &random);
    awaitable<void> processFault(std::mt19937_64 &random, Milliseconds time);
    awaitable<void> waitForExit(Instance &instance, int expectedCode);
    awaitable<void> storeFault(std::mt19937_64 &random, Milliseconds time);
    awaitable<void> linkFault(std::mt19937_64 &random, Milliseconds time);
    awaitable<void> cutFault(std::mt19937_64 &random);
    awaitable<void> announcement(std::mt19937_64 &random);
    std::string ownView(Instance &instance);
    awaitable<void> endpointFault(std::mt19937_64 &random, Milliseconds time);
    /// Runs \a work as one of the tasks that run() waits for.
    void spawn(awaitable<void> work);
    awaitable<void> runCaller(std::size_t instance, std::uint64_t seed);
    awaitable<void> restoreFault(std::mt19937_64 &random);
    awaitable<void> runOperator(std::uint64_t seed);
    awaitable<void> runProbe(std::size_t instance);
    awaitable<bool> acceptsVersion(std::size_t instance, int version);
    awaitable<void> checkNewestVersion(std::size_t instance);
    void writeConfiguration();
    /// Callers that leave without an answer come to an instance in bursts.
    awaitable<void> runLeavingCallers(std::size_t instance, std::uint64_t seed);
    awaitable<void> runLeavingCaller(std::size_t instance, std::uint64_t seed);
    awaitable<void> holdUpFault(std::mt19937_64 &random);
    awaitable<void> runCrashingCaller(std::uint64_t seed, std::string part);
    /// Sends the request of \a exchange and stores the answer in \a exchange.
    /// \return whether the connection can be used again.
    awaitable<bool> send(tcp::socket &socket, const std::string &id, Exchange &exchange);
    /// Whether a request of \a kind succeeds within RecoveryTimeout.
    awaitable<bool> waitUntilServed(std::size_t instance, Kind kind);
    void logFault(const std::string &fault);

    SoakSettings m_settings;
    std::mt19937_64 m_random;
    boost::asio::io_context m_context;
    Record m_record;
    Store m_store;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<Instance> m_instances;
    std::vector<std::string> m_faults;
    Clock::time_point m_begin = Clock::now();
    int m_version = 1; ///< of the configuration
    bool m_stopping = false;
    int m_running = 0; ///< number of running callers and series
    std::uint64_t m_nextRequest = 1;
};

} // namespace balsamloft::soak
