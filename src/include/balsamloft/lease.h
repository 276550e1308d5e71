/// \file
/// A lease in the table service: at most one holder, with a fencing number.

#pragma once

#include <balsamloft/platform.h>

#include <variant>

namespace balsamloft {

/// Settings of a LeaseManager.
struct LeaseSettings
{
    std::string key; ///< row of the lease
    std::string holder; ///< unique to this process, not only to its name
    Duration duration {9'000'000};
    Duration renewEvery {3'000'000};
    Duration pollEvery {3'000'000}; ///< how often those that do not hold it look
    Duration margin {1'000'000}; ///< waited beyond the duration before a takeover
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

/// Acquires and renews a lease. No clock is compared between processes: the
/// holder counts its time from before it sent the write, and another process
/// takes over only after it has itself seen the row unchanged for longer.
class LeaseManager
{
public:
    explicit LeaseManager(LeaseSettings settings);

    // Commands

    void tick(Time now, LeaseActions &actions);
    void readDone(std::uint64_t id, const ReadOutcome &outcome, Time now, LeaseActions &actions);
    void writeDone(std::uint64_t id, const TransactionOutcome &outcome, Time now,
                   LeaseActions &actions);

    /// Gives the lease up, so that another can have it at once.
    void release(Time now, LeaseActions &actions);

    // Queries

    /// Whether the lease is held at \a now. To be asked right before each
    /// order: a process that was paused finds that it is not, any more.
    bool holds(Time now) const { return m_holding && now < m_heldUntil; }

    /// Rises with each change of the holder; valid while held.
    std::uint64_t fencing() const { return m_fencing; }
    Time acquiredAt() const { return m_acquiredAt; }
    Time nextWakeup() const { return m_nextTick; }

    /// Name of the holder last read, empty when unknown or none.
    const std::string &seenHolder() const { return m_seenHolder; }

private:
    struct Write
    {
        std::uint64_t id = 0;
        std::uint64_t base = 0; ///< version of the row that it replaces
        std::uint64_t fencing = 0;
        Time sentAt {};
        bool release = false;
    };

    void write(std::uint64_t version, std::uint64_t fencing, bool release, Time now,
               LeaseActions &actions);
    void granted(const Write &write, std::uint64_t version);
    void lose();

    LeaseSettings m_settings;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_readId = 0;
    std::optional<Write> m_write; ///< under way, or of unknown outcome
    bool m_holding = false;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_rowVersion = 0;
    Time m_heldUntil {};
    Time m_acquiredAt {};
    Time m_nextTick {};
    std::uint64_t m_seenVersion = 0;
    Time m_seenAt {}; ///< when that version was first seen
    std::string m_seenHolder;
};

} // namespace balsamloft
