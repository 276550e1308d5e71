/// \file
/// One randomized run: instances of `balsamloft-entry` as real processes, faults
/// from outside in overlapping series, callers that keep their connections.

#pragma once

#include "../common/process.h"
#include "platform.h"

namespace balsamloft::soak {

/// What one run is made of.
struct SoakSettings
{
    std::uint64_t seed = 1;
    std::chrono::seconds length {8}; ///< of the faults
    int instances = 3;
    int callers = 4; ///< before each instance
    int series = 3; ///< of faults, that overlap
    bool ending = false; ///< a request comes again and again that ends its endpoints
};

/// Runs one seed. Drawn from the seed: which faults, when and for how long. Not
/// drawn: the machine's own timing, so a seed says where to look, not what
/// happens to the microsecond.
class Soak
{
public:
    explicit Soak(SoakSettings settings);
    ~Soak();

    /// \return promises that were broken, one line each.
    std::vector<std::string> run();

    /// Faults in order, for the log of a failing seed.
    const std::vector<std::string> &faults() const { return m_faults; }
    std::string summary() const { return m_record.summary(); }

    /// Writes what the instances logged to files in \a directory.
    void saveLogs(const std::string &directory) const;

private:
    struct Instance
    {
        std::string name;
        std::string domain;
        std::string callers;
        std::vector<std::string> arguments;
        std::unique_ptr<Link> store;
        std::unique_ptr<testsuite::Process> process;
        std::string formerOutput;
        bool busy = false; ///< a fault of its process is under way
    };

    void makeEndpoints();
    void makeInstances();
    void startProcess(Instance &instance);
    awaitable<void> direct();
    awaitable<void> series(std::uint64_t seed);
    awaitable<void> fault(std::mt19937_64 &random);
    awaitable<void> processFault(std::mt19937_64 &random, Milliseconds time);
    awaitable<void> ended(Instance &instance, int wanted);
    awaitable<void> storeFault(std::mt19937_64 &random, Milliseconds time);
    awaitable<void> linkFault(std::mt19937_64 &random, Milliseconds time);
    awaitable<void> endpointFault(std::mt19937_64 &random, Milliseconds time);
    awaitable<void> caller(std::size_t instance, std::uint64_t seed);
    awaitable<void> endingCaller(std::uint64_t seed);
    awaitable<bool> ask(tcp::socket &socket, const std::string &id, Attempt &attempt);
    awaitable<bool> served(std::size_t instance, Kind kind);
    void note(const std::string &fault);

    SoakSettings m_settings;
    std::mt19937_64 m_random;
    boost::asio::io_context m_context;
    Record m_record;
    Store m_store;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<Instance> m_instances;
    std::vector<std::string> m_faults;
    Clock::time_point m_begin = Clock::now();
    bool m_over = false;
    int m_running = 0; ///< callers and series
    std::uint64_t m_nextRequest = 1;
};

} // namespace balsamloft::soak
