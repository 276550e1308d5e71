/// \file
/// Follows and proposes changes of the configuration.

#pragma once

#include <balsamloft/config.h>
#include <balsamloft/platform.h>

#include <deque>
#include <random>
#include <span>
#include <variant>

namespace balsamloft {

/// Settings of a ConfigManager.
struct ConfigManagerSettings
{
    Duration pollInterval {5'000'000};
    Duration retryDelay {300'000};
    Duration peerTimeout {1'000'000};
    std::size_t historyLength = 512; ///< changes kept, to serve peers and to rebase
    std::uint64_t snapshotEvery = 100; ///< versions between snapshots
    std::uint64_t snapshotLag = 200; ///< a node further behind starts from a snapshot
    std::size_t scanLimit = 200;
    std::uint32_t maxRebases = 8;
};

/// A change that an operator asks for.
struct ConfigProposal
{
    std::string id; ///< chosen by the proposer, unique
    std::string author;
    std::string summary;
    std::string section; ///< "inventory/" or "rules/": what `entries` replaces
    std::optional<ConfigEntries> entries; ///< the whole section as it is to be
    std::optional<std::uint64_t> rollbackTo; ///< or: a version to go back to
    ConfigEdits edits; ///< or: single edits, by the system itself
    std::optional<std::uint64_t> baseVersion; ///< what the operator saw; absent: the newest
    bool dryRun = false;
};

/// What became of a proposal.
struct ProposalOutcome
{
    enum class Kind : std::uint8_t {
        Accepted,
        Unchanged, ///< it changes nothing
        DryRun, ///< it would be accepted now
        Invalid, ///< the result would not be valid
        Conflict, ///< someone else changed the same entries
        Unavailable, ///< the table service was not reached; nothing was changed
        Unknown, ///< it may yet have been accepted; ask again with the same id
    };
    Kind kind = Kind::Unknown;
    ConfigHead head; ///< after it
    ConfigEdits edits; ///< what it changes
    std::vector<Problem> problems;
    std::vector<std::string> conflicts; ///< entries changed by others
    std::vector<ConfigChange> changedSince; ///< what the others did
};

/// A whole configuration at one version.
struct ConfigSnapshot
{
    ConfigHead head;
    ConfigEntries entries;
};

std::string toJson(const ConfigSnapshot &snapshot);
std::optional<ConfigSnapshot> snapshotFromJson(std::string_view text, Reason &reason);

// Actions of a ConfigManager. Answers come back with the same id.

struct ReadConfigHead
{
    std::uint64_t id = 0;
};
struct ScanConfigChanges
{
    std::uint64_t id = 0;
    std::uint64_t after = 0; ///< version
    std::size_t limit = 0;
};
struct ReadConfigSnapshot
{
    std::uint64_t id = 0;
};
struct WriteConfigSnapshot
{
    std::string content;
};
struct RequestPeerConfig
{
    std::string peer;
    std::uint64_t after = 0;
};
struct CommitConfig
{
    std::uint64_t id = 0;
    Transaction transaction;
};
/// A new version is held: put it in force.
struct InstallConfig
{
    ConfigPtr config;
};
struct ProposalDecided
{
    std::string id;
    ProposalOutcome outcome;
};

using ConfigAction =
    std::variant<ReadConfigHead, ScanConfigChanges, ReadConfigSnapshot, WriteConfigSnapshot,
                 RequestPeerConfig, CommitConfig, InstallConfig, ProposalDecided>;
using ConfigActions = std::vector<ConfigAction>;

inline constexpr std::string_view ConfigTable = "config";
inline constexpr std::string_view ChangeTable = "config_changes";
inline constexpr std::string_view HeadKey = "head";
inline constexpr std::string_view SnapshotObject = "config-snapshot";

/// Returns the row key of a change: sorts as its version does.
std::string changeKey(std::uint64_t version);

/// Holds the newest configuration known, learns newer ones from the platform
/// and from peers, and commits proposals. The version held only ever rises,
/// and each step is checked against the chained digest.
class ConfigManager
{
public:
    ConfigManager(ConfigManagerSettings settings, std::uint64_t seed);

    // Commands

    void tick(Time now, ConfigActions &actions);

    /// A peer states the head that it holds.
    void peerHead(const std::string &peer, const ConfigHead &head, Time now,
                  ConfigActions &actions);
    void peerChanges(std::span<const ConfigChange> changes, Time now, ConfigActions &actions);
    void peerSnapshot(const ConfigSnapshot &snapshot, Time now, ConfigActions &actions);

    void headRead(std::uint64_t id, const ReadOutcome &outcome, Time now, ConfigActions &actions);
    void changesScanned(std::uint64_t id, const ScanOutcome &outcome, Time now,
                        ConfigActions &actions);
    void snapshotRead(std::uint64_t id, const std::optional<std::string> &content, Time now,
                      ConfigActions &actions);
    void commitDone(std::uint64_t id, const TransactionOutcome &outcome, Time now,
                    ConfigActions &actions);

    void propose(ConfigProposal proposal, WallMillis wallNow, Time now, ConfigActions &actions);

    // Queries

    std::optional<Time> nextWakeup() const { return m_nextPoll; }
    const ConfigHead &head() const { return m_head; }
    const ConfigEntries &entries() const { return m_entries; }
    const std::deque<ConfigChange> &history() const { return m_history; }

    /// Entries as they were at \a version, as far as the history reaches.
    std::optional<ConfigEntries> entriesAt(std::uint64_t version) const;

    /// Changes above \a version; nothing when the history does not reach.
    std::optional<std::vector<ConfigChange>> changesAfter(std::uint64_t version) const;
    ConfigSnapshot snapshot() const { return {m_head, m_entries}; }

    /// Times that a change did not fit the digest held: someone forked the chain.
    std::uint64_t forksSeen() const { return m_forksSeen; }
    bool platformReachable() const { return m_platformReachable; }

private:
    /// A proposal from its request to its end.
    struct Pending
    {
        ConfigProposal proposal;
        WallMillis wallNow = 0;
        std::uint32_t tries = 0;
        std::optional<ConfigChange> sent; ///< what the commit under way would write
        bool uncertain = false; ///< a commit of unknown outcome was sent
    };

    bool applyChange(const ConfigChange &change);
    bool applyChanges(std::span<const ConfigChange> changes, ConfigActions &actions);
    void install(ConfigActions &actions);
    void fetchFrom(std::uint64_t newest, ConfigActions &actions);
    void tryProposal(Time now, ConfigActions &actions);
    std::optional<ConfigEdits> proposedEdits(const ConfigProposal &proposal,
                                             ProposalOutcome &outcome) const;
    bool rebase(ConfigEdits &edits, ProposalOutcome &outcome, std::uint64_t baseVersion) const;
    void commit(Pending &pending, ConfigEdits edits, Time now, ConfigActions &actions);
    void finishUncommitted(Time now, ConfigActions &actions);
    void decide(ProposalOutcome outcome, Time now, ConfigActions &actions);
    bool foundInHistory(const std::string &id, ProposalOutcome &outcome) const;
    void pollSoon(Time now);

    ConfigManagerSettings m_settings;
    std::minstd_rand m_random;
    ConfigHead m_head;
    ConfigEntries m_entries;
    std::deque<ConfigChange> m_history;
    std::deque<Pending> m_proposals; ///< the first is being decided
    std::optional<Time> m_nextPoll;
    std::map<std::string, ConfigHead> m_peerHeads;
    std::uint64_t m_requestedVersion = 0; ///< version
    Time m_requestedAt {};
    std::uint64_t m_nextId = 1;
    std::uint64_t m_headReadId = 0;
    std::uint64_t m_scanId = 0;
    std::uint64_t m_commitId = 0;
    std::uint64_t m_snapshotId = 0;
    std::uint64_t m_forksSeen = 0;
    bool m_platformReachable = false;
    bool m_snapshotRequested = false;
    bool m_proposalWaitsForHead = false;
};

} // namespace balsamloft
