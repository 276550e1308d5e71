/// \file
/// A lease in the table service: at most one holder, with a fencing token.

#pragma once

#include <balsamloft/platform.h>
#include <balsamloft/storeversion.h>

#include <span>
#include <variant>

namespace balsamloft {

/// Row, holder and times of a lease.
struct LeaseSettings
{
    std::string key; ///< key of the lease's row
    std::string holder; ///< id of this process; differs between restarts of an instance
    Duration duration {9'000'000};
    Duration renewEvery {3'000'000};
    Duration pollEvery {3'000'000}; ///< how often processes without the lease read the row
    Duration margin {1'000'000}; ///< additional wait of other processes before a takeover
};

// Actions

struct ReadLease
{
    std::uint64_t id = 0;
    std::string key;
};
struct WriteLease
{
    std::uint64_t id = 0;
    Transaction transaction;
};
using LeaseAction = std::variant<ReadLease, WriteLease>;
using LeaseActions = std::vector<LeaseAction>;

inline constexpr std::string_view LeaseTable = "leases";

/// Acquires and renews a lease. Clocks of different processes are never compared: the holder
/// measures the duration from the time at which it sent the write, and another process takes over
/// only after it has seen the row unchanged, by its own clock, for longer than the duration.
///
/// Each era of the store has a row of its own: a write of an earlier era that is performed late
/// cannot meet its condition by chance and overwrite a grant. When an era begins, the row of an
/// earlier one may show a former holder, or none. Until the time has passed that a takeover waits,
/// nobody but the present holder acquires the lease: the grant of another process may be among the
/// writes that the store lost. Fencing tokens of an era are above those of all earlier ones, since
/// no row tells which of these were given.
class LeaseManager
{
public:
    explicit LeaseManager(LeaseSettings settings);

    // Commands

    /// This process learnt at \a now that the store is in \a era. The first known era delays no
    /// takeover, see storeRestored().
    void setEra(std::uint64_t era, Time now);

    /// The present era began at \a when, as other processes have seen.
    void storeRestored(Time when);

    void tick(Time now, LeaseActions &actions);
    void readDone(std::uint64_t id, const ReadOutcome &outcome, Time now, LeaseActions &actions);
    void writeDone(std::uint64_t id, const TransactionOutcome &outcome, Time now,
                   LeaseActions &actions);

    /// Releases the lease, so that another process can acquire it immediately.
    void release(Time now, LeaseActions &actions);

    // Queries

    /// Key of the row in the present era.
    std::string rowKey() const;

    /// Chooses from \a rows of the table of leases the one to be passed to readDone(): the row of
    /// the present era or else the latest of an earlier one; null if there is none.
    const TableRow *chooseRow(std::span<const TableRow> rows) const;

    /// Whether this process holds the lease at \a now. Must be checked right before each
    /// order, because the lease may have expired while the process was suspended.
    bool holds(Time now) const { return m_holding && now < m_heldUntil; }

    /// The fencing token, which increases each time that a process acquires the lease. Valid while
    /// holds() returns true.
    std::uint64_t fencing() const { return m_fencing; }
    Time acquiredAt() const { return m_acquiredAt; }
    Time nextWakeup() const { return m_nextTick; }

    /// The holder at the last read; empty if unknown or if the lease is free.
    const std::string &lastSeenHolder() const { return m_lastSeenHolder; }

private:
    struct Write
    {
        std::uint64_t id = 0;
        StoreVersion base; ///< row version that the write replaces
        std::uint64_t fencing = 0;
        Time sentAt {};
        bool release = false;
    };

    /// \a former: the row of an earlier era that the write replaces; null: none.
    void write(StoreVersion version, const TableRow *former, std::uint64_t fencing, bool release,
               Time now, LeaseActions &actions);
    void applyGrant(const Write &write, StoreVersion version);
    void markLost();
    /// All tokens of earlier eras are at most this one.
    std::uint64_t eraFencing() const;
    std::uint64_t nextFencing(std::uint64_t rowFencing) const;

    LeaseSettings m_settings;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_readId = 0;
    std::optional<Write> m_write; ///< write in flight or with unknown outcome
    bool m_holding = false;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_maxFencing = 0; ///< highest token that this process has seen
    StoreVersion m_rowVersion;
    std::optional<std::uint64_t> m_era; ///< not set before the first answer
    Time m_noTakeoverUntil {}; ///< after the beginning of an era
    Time m_heldUntil {};
    Time m_acquiredAt {};
    Time m_nextTick {};
    StoreVersion m_lastSeenVersion;
    Time m_versionSeenAt {}; ///< when m_lastSeenVersion was first read
    std::string m_lastSeenHolder;
};

} // namespace balsamloft
