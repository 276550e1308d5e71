/// \file
/// Follows the configuration's changes and commits new ones.

#pragma once

#include <balsamloft/config.h>
#include <balsamloft/platform.h>

#include <deque>
#include <random>
#include <span>
#include <variant>

namespace balsamloft {

/// Intervals, timeouts and limits of a ConfigManager.
struct ConfigManagerSettings
{
    Duration pollInterval {5'000'000};
    Duration retryDelay {300'000};
    Duration peerTimeout {1'000'000};
    std::size_t historyLength = 512; ///< changes kept for peers and for rebasing
    std::uint64_t snapshotEvery = 100; ///< versions between snapshots
    std::uint64_t snapshotLag = 200; ///< if more versions are missing, a snapshot is read first
    std::size_t scanLimit = 200; ///< changes read per scan
    std::uint32_t maxRebases = 8;
};

/// A change requested by an operator or by the system itself.
struct ConfigProposal
{
    std::string id; ///< unique, chosen by the proposer
    std::string author;
    std::string summary;
    std::string section; ///< "inventory/" or "rules/": the section that `entries` replaces
    std::optional<ConfigEntries> entries; ///< the complete new contents of the section
    std::optional<std::uint64_t> rollbackTo; ///< alternatively, the version to restore
    ConfigEdits edits; ///< alternatively, individual edits by the system
    std::optional<std::uint64_t> baseVersion; ///< version that was edited; absent: the latest
    bool dryRun = false;
};

/// Result of a proposal.
struct ProposalOutcome
{
    enum class Kind : std::uint8_t {
        Accepted,
        Unchanged, ///< the proposal changes nothing
        DryRun, ///< dry run: the proposal would be accepted
        Invalid, ///< the resulting configuration is invalid
        Conflict, ///< another change modified the same entries
        Unavailable, ///< the table service was unreachable; nothing was changed
        Unknown, ///< the commit's result is unknown; retry with the same id
    };
    Kind kind = Kind::Unknown;
    ConfigHead head; ///< configuration version after the proposal
    ConfigEdits edits; ///< the proposal's edits
    std::vector<Problem> problems;
    std::vector<std::string> conflicts; ///< paths of the entries in conflict
    std::vector<ConfigChange> changedSince; ///< changes committed after the base version
};

/// The full configuration at one version.
struct ConfigSnapshot
{
    ConfigHead head;
    ConfigEntries entries;
};

std::string toJson(const ConfigSnapshot &snapshot);
std::optional<ConfigSnapshot> snapshotFromJson(std::string_view text, Reason &reason);

// Actions of a ConfigManager. The caller reports each result with the same id.

struct ReadConfigHead
{
    std::uint64_t id = 0;
};
struct ScanConfigChanges
{
    std::uint64_t id = 0;
    std::uint64_t after = 0; ///< the scan begins after this version
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
/// Makes a new configuration version the active one.
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

/// Returns the row key of a change. Keys sort in the order of versions.
std::string changeKey(std::uint64_t version);

/// Holds the latest known configuration, fetches newer versions from the platform and from
/// peers, and commits proposals. The version never decreases, and each change is verified
/// against the chained digest.
class ConfigManager
{
public:
    ConfigManager(ConfigManagerSettings settings, std::uint64_t seed);

    // Commands

    void tick(Time now, ConfigActions &actions);

    /// Handles a peer's announcement of its current configuration version.
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

    /// Returns the entries at \a version, or nullopt if the history does not reach back that
    /// far.
    std::optional<ConfigEntries> entriesAt(std::uint64_t version) const;

    /// Returns the changes after \a version, or nullopt if the history does not reach back
    /// that far.
    std::optional<std::vector<ConfigChange>> changesAfter(std::uint64_t version) const;
    ConfigSnapshot snapshot() const { return {m_head, m_entries}; }

    /// Number of changes and peer heads whose digest contradicts this instance's change log,
    /// which shows that the log was forked.
    std::uint64_t forksSeen() const { return m_forksSeen; }
    bool platformReachable() const { return m_platformReachable; }

private:
    /// A proposal that has not been decided yet.
    struct PendingProposal
    {
        ConfigProposal proposal;
        WallMillis wallNow = 0;
        std::uint32_t attempts = 0;
        std::optional<ConfigChange> sent; ///< change in the commit that is in flight
        bool uncertain = false; ///< a commit with unknown result was sent
    };

    bool applyChange(const ConfigChange &change);
    bool applyChanges(std::span<const ConfigChange> changes, ConfigActions &actions);
    void install(ConfigActions &actions);
    void fetchFrom(std::uint64_t newest, ConfigActions &actions);
    void tryProposal(Time now, ConfigActions &actions);
    std::optional<ConfigEdits> proposedEdits(const ConfigProposal &proposal,
                                             ProposalOutcome &outcome) const;
    bool rebase(ConfigEdits &edits, ProposalOutcome &outcome, std::uint64_t baseVersion) const;
    void commit(PendingProposal &pending, ConfigEdits edits, Time now, ConfigActions &actions);
    void finishUncommitted(Time now, ConfigActions &actions);
    void decide(ProposalOutcome outcome, Time now, ConfigActions &actions);
    bool foundInHistory(const std::string &id, ProposalOutcome &outcome) const;
    void pollSoon(Time now);

    ConfigManagerSettings m_settings;
    std::minstd_rand m_random;
    ConfigHead m_head;
    ConfigEntries m_entries;
    std::deque<ConfigChange> m_history;
    std::deque<PendingProposal> m_proposals; ///< queue; the first is being processed
    std::optional<Time> m_nextPoll;
    std::map<std::string, ConfigHead> m_peerHeads;
    std::uint64_t m_requestedVersion = 0; ///< version requested from a peer; 0: none
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
