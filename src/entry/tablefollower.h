/// \file
/// Replicates one table: reads a snapshot, then long-polls for changes.

#pragma once

#include "tablesource.h"

namespace balsamloft {

/// The source to read from next.
struct SourceChoice
{
    SourceChoice(TableSource *source, bool noWait = false)
        : source(source)
        , noWait(noWait)
    {
    }

    TableSource *source; ///< null: no source may be queried now
    bool noWait; ///< the source answers immediately instead of waiting for changes
};

/// Callbacks of a TableFollower.
struct TableEvents
{
    using Rows = std::function<void(const std::vector<StoreRow> &rows, StoreVersion version,
                                    const TableAnswer &answer)>;

    /// A full snapshot of the table; \a answer holds its last page.
    Rows snapshot;
    Rows changed; ///< the rows that changed

    /// A source answered: the replica is complete as of TableAnswer::knownAt. Called after
    /// snapshot() or changed().
    std::function<void(const TableSource &source, const TableAnswer &answer)> answered;

    std::function<SourceChoice()> chooseSource;

    /// Whether further changes are needed soon, so that the next query is not delayed by the
    /// minimum interval. May be empty: they are not.
    std::function<bool()> needsChangesSoon;

    /// A source failed. \a answered: the source sent an answer, but the answer is not usable.
    std::function<void(const TableSource &source, bool answered)> failed;
};

/// Settings of a TableFollower.
struct FollowerSettings
{
    std::string table; ///< name for the log
    Duration storeWait {700'000}; ///< long-poll time at the store
    Duration peerWait {300'000}; ///< long-poll time at another instance
    /// Long-poll time for a snapshot from another instance. It is short because instances may start
    /// together: if the queried instance has no data yet, the next source should be queried soon,
    /// since this instance serves no requests before its first snapshot.
    Duration firstPeerWait {100'000};
    Duration retryInterval {100'000}; ///< interval of chooseSource() while no source may be queried
    Duration minInterval {0}; ///< pause after changes from the store
    Duration peerMinInterval {0}; ///< pause after changes from another instance
};

/// Calls a function after a pause.
using FollowerTimer = std::function<void(Duration pause, std::function<void()> callback)>;

/// Returns a timer that runs on \a context.
FollowerTimer timerOf(boost::asio::io_context &context);

/// Keeps a replica of a table up to date.
class TableFollower
{
public:
    TableFollower(FollowerTimer timer, FollowerSettings settings, TableEvents events);

    void start();

    /// The store has begun a new era. A query that waits for changes of the former one is repeated.
    void eraBegan();

private:
    void readPage(const std::string &from, TableSource &source, bool noWait = false);
    void pageReceived(TableAnswer answer, const std::string &from, TableSource &source);
    void watch();
    void changesReceived(TableAnswer answer, const TableSource &source);
    void sourceFailed(const TableSource &source, bool answered);
    void sourceSucceeded(const TableSource &source);

    FollowerSettings m_settings;
    TableEvents m_events;
    FollowerTimer m_timer;
    std::vector<StoreRow> m_snapshotRows;
    StoreVersion m_firstPageVersion;
    StoreVersion m_version; ///< of the replica; not known(): a snapshot has to be read
    StoreVersion m_newestVersion; ///< newest version that the replica ever had
    TableSource *m_waitingFor = nullptr; ///< the source that holds a query for changes
    bool m_sourceHealthy = true;
    std::string m_lastPeer;
    std::uint32_t m_failures = 0;
};

} // namespace balsamloft
