/// \file
/// The other instances, and the choice of the source to read the store's tables from.

#pragma once

#include <balsamloft/types.h>

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace balsamloft {

/// An instance that serves table updates to other instances.
struct PeerInstance
{
    std::string name;
    std::string domain;
    std::string address; ///< "IP:port" for other instances
    /// "IP:port" at which the instance forwards connections to endpoints; empty: it does not.
    std::string forwardAddress = {};

    bool operator==(const PeerInstance &) const = default;
};

/// What this instance has of a table. The choice of its source depends on it.
struct ReplicaStatus
{
    Duration age {}; ///< of the data; if there is none yet, the time since the first query
    bool hasData = true;
    bool fromStore = false; ///< last read from the store itself, without a failure since
};

/// The source to read the store's tables from.
struct ReadSource
{
    enum class Kind : std::uint8_t {
        Store,
        Instance,
        None, ///< all possible sources are stale or unresponsive: wait
    };

    Kind kind = Kind::None;
    const PeerInstance *instance = nullptr; ///< set if the kind is Instance
    bool immediate = false; ///< the source should answer at once instead of holding the query
};

/// Decides from which source this instance reads the store's tables. The first two responsive
/// instances of a domain, by name, are its domain readers: the first reads the store, the second
/// stands by and reads it while the first cannot. All other instances form a tree with a limited
/// fan-out: each reads from its parent, which precedes it by name, or from the parent's neighbour.
/// If both are unresponsive, the instance reads from the readers of its domain or of other domains.
///
/// Every answer carries its age, so data does not look newer after it has passed through several
/// instances. A source that answers may still be stale: it may be partitioned from the store, or
/// the store may fail. Its followers cannot tell these apart, but must not serve outdated data if
/// it is only partitioned, and must not all call a store that fails. So, while their data is stale,
/// they try the store in turn, in the order of their names. The turns of a domain are close
/// together at first and then become rare, so the calls do not grow with the number of instances.
/// An instance that the store serves goes on reading it, and the readers' other followers find its
/// data there, since they know whose turn it was. Instances further down in the tree get it from
/// these.
///
/// An instance whose sources are dead, slow or partitioned from it does not wait for its turn.
class PeerDirectory
{
public:
    PeerDirectory(std::string self, std::string domain);

    // Commands

    /// Sets the list of live instances, which may or may not include this instance.
    void setInstances(std::vector<PeerInstance> instances);

    /// Records that the instance \a name did not answer in time.
    void markUnresponsive(const std::string &name, Time now);

    /// Records that the instance \a name has no data of the table yet, according to its answer.
    void recordEmptyAnswer(const std::string &name, Time now);

    /// Records an answer whose data was current \a age ago. \a direct: the instance \a name read
    /// the data from the store, not from another instance.
    void recordAnswer(const std::string &name, Duration age, bool direct, Time now);

    void storeFailed(Time now);
    void storeAnswered();

    // Queries

    /// Returns the source to read a table from at \a now. A domain reader without data asks another
    /// instance before the store, which may have lost what that one knows.
    ReadSource source(Time now, const ReplicaStatus &replica = {}) const;

    /// Returns the listed instance \a name, if there is one.
    std::optional<PeerInstance> find(std::string_view name) const;

    /// Whether this instance is the first reader of its domain.
    bool isFirstReader(Time now) const;

    /// Whether the store may be called, that is, the pause after its last failure is over.
    bool storeUsable(Time now) const { return now >= m_storeRetryAt; }

    /// The first readers of the other domains.
    std::vector<PeerInstance> remoteReaders(Time now) const;

    /// Return the number of listed instances in this instance's domain or in all domains, at least
    /// 1.
    std::size_t instancesInDomain() const;
    std::size_t instanceCount() const;

private:
    /// Responsiveness and freshness of an instance as a source.
    struct SourceState
    {
        Time unresponsiveUntil {};
        Time staleUntil {};
        Time queriedAt {}; ///< when the last query ended
        Time freshAt {}; ///< when it last sent data that was not stale
        std::uint32_t timeouts = 0; ///< consecutive timeouts
    };

    static bool isStale(const ReplicaStatus &replica);
    bool mayTryStore(Time now, const ReplicaStatus &replica) const;
    bool isTurnAtStore(Time now, Duration staleFor) const;
    std::vector<const PeerInstance *> inDomain() const;
    std::size_t positionInDomain() const;
    ReadSource followerSource(std::vector<const PeerInstance *> parentCandidates, Time now,
                              const ReplicaStatus &replica) const;
    const PeerInstance *instanceAtTurn(Time now, const ReplicaStatus &replica) const;
    const PeerInstance *freshSource(Time now) const;
    const PeerInstance *longestUnqueried(std::span<const PeerInstance *const> candidates,
                                         Time now) const;
    const SourceState &stateOf(const PeerInstance &instance) const;
    bool isResponsive(const PeerInstance &instance, Time now) const;
    bool isUsable(const PeerInstance &instance, Time now) const;
    std::vector<const PeerInstance *> earlierResponsive(Time now) const;
    std::vector<const PeerInstance *> parents() const;
    const PeerInstance *nextResponsive(Time now) const;
    std::vector<const PeerInstance *> remoteCandidates(std::size_t maxPerDomain, Time now) const;
    const PeerInstance *remoteReader(Time now) const;
    const PeerInstance *firstSource(Time now) const;

    std::string m_self;
    std::string m_domain;
    std::vector<PeerInstance> m_instances; ///< sorted by name
    std::map<std::string, SourceState, std::less<>> m_sourceStates;
    std::mt19937_64 m_random;
    bool m_everAnswered = false; ///< an instance has answered with data at least once
    Time m_staleAnswerAt {}; ///< last answer with data older than the maximum age
    Time m_emptyAnswerAt {}; ///< last answer of an instance that had no data yet
    Time m_storeRetryAt {};
    Time m_storeFailedAt {}; ///< last failure
    std::uint32_t m_storeFailures = 0; ///< consecutive failures
};

} // namespace balsamloft
