/// \file
/// Simulates in virtual time how changes in the store propagate to the instances. The
/// instances follow the store, or each other, by long polls. A long poll is held until there
/// are changes. The choice of the source, the encoding of rows and the time limits are the code
/// under test; the store and the network are modelled.

#pragma once

#include <balsamloft/peerdirectory.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamloft::fakes {

/// How the store responds to an instance.
enum class StoreBehavior : std::uint8_t { Healthy, Refusing, Silent };

/// Size, writes and link speeds of an emulated fleet.
struct PropagationSettings
{
    std::size_t domains = 5;
    std::size_t instancesPerDomain = 59;
    Duration writeEvery {200'000}; ///< interval of writes to the store; 0: only by write()
    std::string row; ///< content of each written row
    double firstInstanceMbps = 200; ///< link of the first instance of each domain
    double otherInstanceMbps = 20; ///< link of every other instance
};

/// A fleet whose instances follow one table of the store.
class PropagationEmulator
{
public:
    explicit PropagationEmulator(const PropagationSettings &settings);

    // Commands

    void run(Duration length);
    void setStore(StoreBehavior behavior);

    /// Writes to the store, in addition to the periodic writes.
    void write() { m_writes.push_back(m_now); }

    /// Sets the store's behavior towards one instance only.
    void setStore(std::size_t instance, StoreBehavior behavior)
    {
        m_instances[instance].behavior = behavior;
    }

    /// Partitions a domain from the store and the other domains, or reconnects it.
    void partitionDomain(std::size_t domain, bool partitioned);

    /// Partitions one instance in the same way. It still reaches the instances of its domain.
    void partition(std::size_t instance, bool partitioned)
    {
        m_instances[instance].partitioned = partitioned;
    }

    /// Indexes of the instances of \a domain, in the order of their names.
    std::vector<std::size_t> instancesOf(std::size_t domain) const;
    void kill(std::size_t instance);

    /// Restarts an instance without data. Reading the list of instances costs one store call.
    /// For the duration \a busy the instance neither sends nor answers queries.
    void start(std::size_t instance, Duration busy = {});

    // Queries

    std::size_t size() const { return m_instances.size(); }
    Time now() const { return m_now; }
    std::uint64_t storeCalls() const { return m_storeCalls; }

    /// Age of the oldest data among all live instances outside partitioned domains.
    Duration oldestAge() const;

    /// The largest number of instances that query the same instance now.
    std::size_t maxQueriersPerInstance() const;

    /// Age of the oldest data among the instances that have data and, for the past \a length,
    /// were neither dead, busy nor partitioned and were served by the store. Zero if the store
    /// failed for all instances in that time.
    Duration oldestConnectedAge(Duration length) const;

    /// The same among the instances without data: the longest time since such an instance started.
    Duration longestWithoutData(Duration length) const;

    bool hasData(std::size_t instance) const { return m_instances[instance].version > 0; }

    /// Number of live instances that have the latest version.
    std::size_t upToDateCount() const;

    /// Total number of answers with rows that instances started to send to other instances.
    std::uint64_t answersSent() const { return m_answersSent; }

    /// Number of violations over all instances and steps. A violation is a step in which the data
    /// of an instance is older than the age that the instance recorded.
    std::uint64_t freshnessViolations() const { return m_freshnessViolations; }

private:
    /// An instance's answer to a query of another instance.
    struct Answer
    {
        std::uint64_t version = 0;
        Time knownAt {};
        bool direct = false;
        bool hasRows = false; ///< the answer has rows, so it takes a share of the sender's link
        double bytesLeft = 0;
    };

    struct Instance
    {
        PeerInstance self;
        std::size_t domain = 0;
        PeerDirectory directory;
        bool alive = true;
        Time busyUntil {};
        /// Last time the instance was dead, busy, partitioned or not served by the store.
        Time impairedAt {};
        bool partitioned = false;
        StoreBehavior behavior = StoreBehavior::Healthy;
        std::uint64_t version = 0; ///< latest version received; 0: none
        Time knownAt {};
        bool direct = false; ///< its last data came from the store, which has not failed since
        bool querying = false;
        bool queriesStore = false; ///< the current query goes to the store
        std::size_t source = 0; ///< index of the queried instance, unless the store is queried
        Time sourceKnownAtStart {}; ///< the source's \c knownAt when the query started
        Time queriedAt {};
        Time storeAnswerAt {}; ///< the store's answer or failure arrives by then
        Time holdUntil {}; ///< the source answers by then, even without changes
        std::optional<Answer> answer; ///< the answer in transit
        std::optional<Time> lastDataAt; ///< when the latest part of the answer arrived
        double linkBytesPerMs = 0;
        Time nextQueryAt {}; ///< no query starts before this time
    };

    bool isConnected(const Instance &instance, Duration length) const;
    bool isReachable(const Instance &from, const Instance &to) const;
    std::uint64_t versionAt(Time time) const;
    void startQuery(Instance &instance);
    void pollQuery(Instance &instance);
    void pollStore(Instance &instance);
    void startAnswer(Instance &instance, const Instance &source);
    void applyAnswer(Instance &instance);
    bool isOverdue(const Instance &instance) const;
    void endQuery(Instance &instance);
    void recordImpairment(Instance &instance) const;
    void transfer();
    static Duration holdTime(const Instance &instance);
    double bytesPerStep(const Instance &instance) const;
    void recordUpdate(Instance &instance, std::uint64_t version, Time knownAt);

    PropagationSettings m_settings;
    std::vector<Instance> m_instances;
    std::vector<PeerInstance> m_list;
    Time m_begin {std::chrono::hours(1)};
    Time m_now = m_begin;
    std::vector<Time> m_writes;
    Time m_storeImpairedAt {}; ///< last time the store failed for all instances
    std::size_t m_rowBytes = 0; ///< encoded size of the row in an answer
    /// Number of answers with rows in transit, by sending instance.
    std::vector<std::size_t> m_answersInTransit;
    std::uint64_t m_answersSent = 0;
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_freshnessViolations = 0;
};

} // namespace balsamloft::fakes
