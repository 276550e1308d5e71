/// \file
/// Crash records that instances send each other directly, beside the store.

#pragma once

#include <balsamloft/peerdirectory.h>
#include <balsamloft/quarantine.h>

#include <random>
#include <span>

namespace balsamloft {

/// A crash record, or the withdrawal of one.
struct CrashNotice
{
    CrashRecord record; ///< for a withdrawal, `at` is the time of the withdrawal
    bool withdrawn = false;

    bool operator==(const CrashNotice &) const = default;
};

/// Limits of a CrashGossip.
struct CrashGossipSettings
{
    std::string self; ///< name of this instance
    /// Instances that each instance sends a notice to. So few are missed that records of a request
    /// reach practically all.
    std::size_t fanOut = 8;
    /// Notices of requests with a single crash are collected for this long.
    Duration batchInterval {150'000};
    Duration retention {600'000'000}; ///< see QuarantineSettings
    Duration partRetention {1'800'000'000}; ///< see QuarantineSettings
    std::size_t maxNotices = 1000; ///< stored
    std::size_t maxPerMessage = 100;
    std::uint64_t seed = 1;
};

/// Distributes crash records among the instances as an epidemic: who learns of one sends it on to
/// some others, once. So instances that cannot reach the store know of crashes too, and those that
/// can know sooner. The store keeps the records across restarts, and is the authority on records
/// that it has held.
class CrashGossip
{
public:
    /// A message for each of several instances.
    struct Message
    {
        std::vector<PeerInstance> recipients;
        std::vector<CrashNotice> notices;
    };

    explicit CrashGossip(CrashGossipSettings settings = {});

    // Commands

    /// Adds the changes of this instance.
    void publish(const CrashUpdate &update, Time now);

    /// Adds what another instance sent.
    /// \return whether records() changed.
    bool receive(std::span<const CrashNotice> notices, Time now);

    /// Replaces the records that the store holds.
    void setStored(std::vector<CrashRecord> records);

    /// Returns the message to be sent now, if any, to some of \a instances.
    std::optional<Message> takeMessage(std::span<const PeerInstance> instances, Time now);

    // Queries

    /// The records of the store and of all instances that were heard of.
    std::vector<CrashRecord> records() const;

private:
    using Key = std::pair<std::string, std::string>; ///< digest and endpoint

    /// The last notice of a record.
    struct Entry
    {
        Time at {};
        bool withdrawn = false;
        bool wasStored = false; ///< the store has held the record
    };

    using EntryMap = std::map<Key, Entry>;

    bool apply(const CrashNotice &notice);
    bool isOnlyNoticeOf(EntryMap::const_iterator it) const;
    bool hasNoticeOf(const std::string &digest) const;
    bool ensureSpaceFor(const std::string &digest);
    bool isUrgent() const;
    Duration retentionOf(const std::string &digest) const;
    void removeExpired(Time now);

    CrashGossipSettings m_settings;
    std::mt19937_64 m_random;
    EntryMap m_entries;
    std::vector<CrashRecord> m_stored;
    std::vector<CrashNotice> m_pending; ///< to be sent
    Time m_sentAt {};
};

} // namespace balsamloft
