/// \file
/// A lease in the table service: at most one holder, with a fencing token.

#pragma once

#include <balsamloft/platform.h>

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
class LeaseManager
{
public:
    explicit LeaseManager(LeaseSettings settings);

    // Commands

    void tick(Time now, LeaseActions &actions);
    void readDone(std::uint64_t id, const ReadOutcome &outcome, Time now, LeaseActions &actions);
    void writeDone(std::uint64_t id, const TransactionOutcome &outcome, Time now,
                   LeaseActions &actions);

    /// Releases the lease, so that another process can acquire it immediately.
    void release(Time now, LeaseActions &actions);

    // Queries

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
        std::uint64_t base = 0; ///< row version that the write replaces
        std::uint64_t fencing = 0;
        Time sentAt {};
        bool release = false;
    };

    void write(std::uint64_t version, std::uint64_t fencing, bool release, Time now,
               LeaseActions &actions);
    void applyGrant(const Write &write, std::uint64_t version);
    void markLost();

    LeaseSettings m_settings;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_readId = 0;
    std::optional<Write> m_write; ///< write in flight or with unknown outcome
    bool m_holding = false;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_rowVersion = 0;
    Time m_heldUntil {};
    Time m_acquiredAt {};
    Time m_nextTick {};
    std::uint64_t m_lastSeenVersion = 0;
    Time m_versionSeenAt {}; ///< when m_lastSeenVersion was first read
    std::string m_lastSeenHolder;
};

} // namespace balsamloft
