/// \file
/// The other instances, and whom to read the store's tables from.

#pragma once

#include <balsamloft/types.h>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace balsamloft {

/// An instance that serves news to others.
struct PeerInstance
{
    std::string name;
    std::string domain;
    std::string address; ///< "IP:port" for other instances

    bool operator==(const PeerInstance &) const = default;
};

/// Where the store's tables are to be read from now.
struct ReadSource
{
    enum class Kind : std::uint8_t {
        Store,
        Instance,
        None, ///< all that may be asked knew too little just now: wait
    };

    Kind kind = Kind::None;
    const PeerInstance *instance = nullptr; ///< only for Instance
    bool atOnce = false; ///< the answer is not to be held until there are changes
};

/// Decides whom this instance reads the store's tables from. The first two good
/// instances of a domain, by name, are its readers: the first reads the store,
/// the second stands by and reads it while the first cannot. All others read in a tree:
/// each from one that comes before it by name, so that nobody tells more than a few, or
/// from that one's neighbour. While both know too little they wait: what the readers
/// know reaches them as soon as there is more. Only when both are silent they turn to the
/// readers, or to those of other domains.
///
/// That keeps the store's calls at two instances a domain while it fails: were a
/// source that knows old news given up for the store, the whole fleet would turn
/// on the store as soon as it failed for the readers, though nobody could learn
/// more there. Every answer carries its age, so that instances which read from
/// each other make nothing newer than it is.
///
/// One that nobody tells anything reads the store itself: those whom it asks are dead, slow
/// or cut off from it, and it would serve by what is old, or nobody, until they are back.
class PeerDirectory
{
public:
    PeerDirectory(std::string self, std::string domain);

    // Commands

    /// The instances that are believed to live, this one among them or not.
    void replace(std::vector<PeerInstance> instances);

    /// The instance did not answer.
    void silent(const std::string &name, Time now);

    /// The instance answered, but does not know the table yet.
    void behind(const std::string &name, Time now);

    /// The instance told news of the store's state \a age ago; \a direct: from the
    /// store itself.
    void told(const std::string &name, Duration age, bool direct, Time now);

    void storeFailed(Time now);
    void storeAnswered();

    // Queries

    /// Where to read from now. \a updateAge: the age of what is known; while nothing is,
    /// how long it has been asked for.
    ReadSource source(Time now, Duration updateAge = {}) const;

    /// Whether this instance is the one that reads the store for its domain.
    bool first(Time now) const;

    /// Whether the store may be called: it did not fail just now.
    bool storeUsable(Time now) const { return now >= m_storeRetryAt; }

    /// The instances that read for the other domains.
    std::vector<PeerInstance> remoteReaders(Time now) const;

    /// Instances in this one's domain, and in all; at least one.
    std::size_t instancesInDomain() const;
    std::size_t count() const;

private:
    /// What was seen of an instance as a source.
    struct Seen
    {
        Time unresponsiveUntil {};
        Time staleUntil {};
        std::uint32_t timeouts = 0; ///< in a row
    };

    bool untold(Time now, Duration updateAge) const;
    bool good(const PeerInstance &instance, Time now) const;
    bool useful(const PeerInstance &instance, Time now) const;
    std::vector<const PeerInstance *> before(Time now) const;
    std::vector<const PeerInstance *> parents() const;
    const PeerInstance *next(Time now) const;
    std::vector<const PeerInstance *> remoteCandidates(std::size_t most, Time now) const;
    const PeerInstance *elsewhere(Time now) const;

    std::string m_self;
    std::string m_domain;
    std::vector<PeerInstance> m_instances; ///< by name
    std::map<std::string, Seen, std::less<>> m_seen;
    std::mt19937_64 m_random;
    bool m_told = false; ///< by another instance, ever
    Time m_staleAnswerAt {}; ///< when one told what is too old to be of use, last
    Time m_emptyAnswerAt {}; ///< when one knew nothing yet, last
    Time m_storeRetryAt {};
    std::uint32_t m_storeFailures = 0; ///< in a row
};

} // namespace balsamloft
