/// \file
/// Accounts for what a process holds for its clients: bytes of memory and connections.

#pragma once

#include <balsamloft/types.h>

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_set>

namespace balsamloft {

/// For whom something is held.
enum class ResourceUse : std::uint8_t {
    Request, ///< requests of callers, with their connections
    Answer, ///< answers that callers have not read yet
    Instance, ///< other instances
    Operator, ///< operators, and the load balancer's checks
    Endpoint, ///< answers of endpoints to calls of this process itself
};

inline constexpr std::array<std::string_view, 5> ResourceUseNames {"request", "answer", "instance",
                                                                   "operator", "endpoint"};

/// What a process may hold for its clients.
struct ResourceLimits
{
    std::uint64_t bytes = 0;
    std::uint32_t connections = 0;
};

/// What a process may use of its machine. 0: what the system reports.
struct MachineSize
{
    std::uint64_t memoryBytes = 0;
    std::uint32_t descriptors = 0;
};

/// The smallest sizes that can be set: a request of the largest legal size must fit.
inline constexpr std::int32_t MinMemoryMegabytes = 32;
inline constexpr std::int32_t MinDescriptors = 250;

/// A size in the units in which it is set.
MachineSize machineSize(std::int32_t memoryMegabytes, std::int32_t descriptors);

/// \a size with what the system reports in place of zeros.
MachineSize reportedSize(MachineSize size);

/// The part of a machine that the process does not need itself.
ResourceLimits limitsFor(const MachineSize &size);

/// Memory up to this size is granted from a part of the account that larger amounts can't take.
inline constexpr std::uint64_t SmallHoldBytes = 64 * 1024;

/// Answers up to this size are not held apart: what is held for the connection of a caller, and
/// what the process needs itself, are enough for them.
inline constexpr std::uint64_t OrdinaryAnswerBytes = 4 * 1024;

/// A client that moved less than ProgressBytes in StallTime may be displaced by one that needs what
/// it holds. Nobody is displaced while there is enough for all.
inline constexpr Duration StallTime {1'000'000};
inline constexpr std::uint64_t ProgressBytes = 16 * 1024;

/// How long an answer waits until it may be held. By then, those that nobody reads have given way.
inline constexpr Duration MaxHoldWait = 2 * StallTime;

/// Sums up what all threads of a process hold, and grants more within the limits. Each part may be
/// within its own limits while their sum exceeds the machine, so all of them ask here. Thread-safe.
class ResourceAccount
{
public:
    explicit ResourceAccount(const ResourceLimits &limits);
    ResourceAccount(const ResourceAccount &) = delete;
    ResourceAccount &operator=(const ResourceAccount &) = delete;

    /// What is missing for a request to the account.
    enum class Shortage : std::uint8_t {
        None,
        LargeOfUse, ///< large amounts have taken what this use may have of them
        Large, ///< large amounts have taken all that they may
        Use, ///< this use has taken all that it may
        All,
        Connections,
    };

    // Commands

    /// Changes what one holder holds from \a from to \a to bytes, if they are granted.
    Shortage change(ResourceUse use, std::uint64_t from, std::uint64_t to);
    Shortage openConnection(ResourceUse use);
    void closeConnection(ResourceUse use);

    /// Records that a client was refused at \a now for want of memory or connections.
    void recordRefusal(Shortage shortage, Time now);
    void recordDisplaced();

    // Queries

    const ResourceLimits &limits() const { return m_limits; }

    /// The largest amount that one holder of \a use is granted while nothing else is held.
    std::uint64_t largestGrant(ResourceUse use) const;
    std::uint32_t maxConnections(ResourceUse use) const;

    std::uint64_t bytes(ResourceUse use) const;
    std::uint64_t bytes() const;
    std::uint32_t connections(ResourceUse use) const;

    /// Whether a client was refused in the last second before \a now.
    bool isRefusing(Time now) const;

    struct Counts
    {
        std::uint64_t refusedForMemory = 0;
        std::uint64_t refusedForConnections = 0;
        std::uint64_t displaced = 0; ///< clients that were ended to make room for others
    };
    Counts counts() const;

    /// Appends metrics to \a text.
    void render(std::string &text) const;

private:
    struct Held
    {
        std::uint64_t bytes = 0;
        std::uint64_t largeBytes = 0;
        std::uint32_t connections = 0;
    };

    Shortage shortage(ResourceUse use, std::uint64_t from, std::uint64_t to) const;

    const ResourceLimits m_limits;
    mutable std::mutex m_mutex;
    std::array<Held, ResourceUseNames.size()> m_held {};
    Held m_total;
    Counts m_counts;
    Time m_refusedAt = Time::min();
};

/// One that holds something and can be asked to give it back.
class ResourceHolder
{
public:
    virtual ~ResourceHolder() = default;

    /// Ends the use. What is held counts as given back; the holder must free it at once.
    virtual void displace() = 0;
};

class ResourceHold;
class ResourceGroup;
using ResourceGroupPtr = std::shared_ptr<ResourceGroup>;

/// The holds of one thread. When the account grants no more, the one among them that makes least
/// progress is displaced. Not thread-safe.
class ResourceGroup
{
public:
    /// Without an \a account, everything is granted.
    explicit ResourceGroup(ResourceAccount *account = nullptr)
        : m_account(account)
    {
    }
    ResourceGroup(const ResourceGroup &) = delete;
    ResourceGroup &operator=(const ResourceGroup &) = delete;

    ResourceAccount *account() const { return m_account; }

private:
    friend class ResourceHold;

    bool displaceOne(const ResourceHold &wanting, ResourceAccount::Shortage shortage, Time now);

    ResourceAccount *m_account;
    std::unordered_set<ResourceHold *> m_holds;
};

/// What one client holds, and the progress that it makes. Gives all back when it is destroyed.
class ResourceHold
{
public:
    /// \a holder must outlive the hold.
    ResourceHold(ResourceGroupPtr group, ResourceUse use, ResourceHolder &holder, Time now);
    ~ResourceHold();
    ResourceHold(const ResourceHold &) = delete;
    ResourceHold &operator=(const ResourceHold &) = delete;

    // Commands

    /// Counts a connection, which is kept until the hold ends.
    /// \return whether there is one left.
    bool openConnection(Time now);

    /// Holds \a bytes from now on. Less is always granted.
    /// \return whether more is granted; if not, the hold is unchanged.
    bool resize(std::uint64_t bytes, Time now);

    /// Holds at least \a bytes from now on.
    bool growTo(std::uint64_t bytes, Time now) { return bytes <= m_bytes || resize(bytes, now); }

    /// Records that the client has sent or taken \a bytes.
    void recordProgress(std::uint64_t bytes, Time now);

    /// Records that the client begins something new, as if it had just made progress.
    void restartProgress(Time now);

    /// Whether the progress is up to the client, so that it may be displaced.
    void setDisplaceable(bool displaceable) { m_displaceable = displaceable; }

    /// Gives all back; nothing is granted any more.
    void release();

    // Queries

    std::uint64_t bytes() const { return m_bytes; }
    bool isReleased() const { return m_released; }
    Time progressAt() const { return m_progressAt; }

private:
    friend class ResourceGroup;

    bool mayYieldFor(const ResourceHold &wanting, ResourceAccount::Shortage shortage,
                     Time now) const;

    const ResourceGroupPtr m_group;
    const ResourceUse m_use;
    ResourceHolder &m_holder;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_movedBytes = 0; ///< since m_progressAt
    Time m_progressAt;
    bool m_hasConnection = false;
    bool m_displaceable = false;
    bool m_released = false;
};

} // namespace balsamloft
