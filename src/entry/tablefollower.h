/// \file
/// Follows one table: reads it whole, then waits for changes.

#pragma once

#include "tablesource.h"

namespace balsamloft {

/// Where to read from next.
struct SourceChoice
{
    SourceChoice(TableSource *source, bool atOnce = false)
        : source(source)
        , atOnce(atOnce)
    {
    }

    TableSource *source; ///< null: nobody may be asked now
    bool atOnce; ///< the answer is not to be held until there are changes
};

/// What a follower tells its owner.
struct TableEvents
{
    using Rows = std::function<void(const std::vector<StoreRow> &rows, std::uint64_t version,
                                    const TableAnswer &answer)>;

    /// The whole table as of one moment; \a answer: the last page of it.
    Rows whole;
    Rows changed;

    /// There was an answer: what was told is complete as of its knownAt. After
    /// whole() or changed().
    std::function<void(const TableSource &source, const TableAnswer &answer)> heard;

    std::function<SourceChoice()> source;

    /// A source failed; \a answered: it said so itself.
    std::function<void(const TableSource &source, bool answered)> failed;
};

/// Settings of a TableFollower.
struct FollowerSettings
{
    std::string table; ///< for the log
    Duration storeWait {700'000}; ///< how long the store holds a call while nothing changes
    Duration peerWait {300'000}; ///< how long another instance does
    /// The same for a first read. Instances that start together find others not yet
    /// there, and serve nobody before they have read: short, so that the next is asked.
    Duration firstPeerWait {100'000};
    Duration retry {100'000}; ///< pause while nobody may be asked
    Duration minInterval {0}; ///< shortest time between two calls when there are changes
    Duration peerMinInterval {0};
};

/// Keeps a copy of a table up to date with few calls.
class TableFollower
{
public:
    TableFollower(boost::asio::io_context &context, FollowerSettings settings, TableEvents events);

    void start();

private:
    void readPage(const std::string &from, TableSource &source);
    void pageArrived(TableAnswer answer, const std::string &from, TableSource &source);
    void watch();
    void changesArrived(TableAnswer answer, const TableSource &source);
    void later(Duration pause, std::function<void()> what);
    void lost(const TableSource &source, bool answered);
    void regained(const TableSource &source);

    FollowerSettings m_settings;
    TableEvents m_events;
    boost::asio::steady_timer m_timer;
    std::vector<StoreRow> m_pages;
    std::uint64_t m_firstVersion = 0;
    std::uint64_t m_version = 0; ///< 0: read anew
    std::uint64_t m_reached = 0; ///< the newest version that was ever known in full
    bool m_well = true;
    std::string m_lastPeer;
    std::uint32_t m_failures = 0;
};

} // namespace balsamloft
