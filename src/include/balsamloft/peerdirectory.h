/// \file
/// The other instances, and the choice of the source to read the store's tables from.

#pragma once

#include <balsamloft/types.h>

#include <map>
#include <optional>
#include <random>
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
/// If the parent and its neighbour are both stale, the instance waits, since these two pass on new
/// data as soon as the readers have it. Only if both are unresponsive does the instance read from
/// the readers of its domain or of other domains.
///
/// While the store fails, at most two instances per domain call it. If instances with a stale
/// source switched to the store, the whole fleet would call the store as soon as it failed for
/// the readers, without getting newer data. Every answer carries its age, so data does not look
/// newer after it has passed through several instances.
///
/// An instance that gets no updates from any source reads the store itself. Its sources are dead,
/// slow or partitioned from it. If it waited until they recover, it would route requests with
/// outdated data, or refuse all requests if it has no data yet.
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

    /// Returns the source to read from at \a now. \a updateAge: the age of this instance's
    /// data; if it has none yet, the time since its first query. \a hasData: if not, a domain
    /// reader asks another instance before the store, which may have lost what that one knows.
    ReadSource source(Time now, Duration updateAge = {}, bool hasData = true) const;

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
        std::uint32_t timeouts = 0; ///< consecutive timeouts
    };

    bool lacksUpdates(Time now, Duration updateAge) const;
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
    std::uint32_t m_storeFailures = 0; ///< consecutive failures
};

} // namespace balsamloft
