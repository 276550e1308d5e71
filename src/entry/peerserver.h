/// \file
/// Serves the replicated store tables and engine states of this instance to other instances.

#pragma once

#include "simplehttpserver.h"

#include <balsamloft/crashgossip.h>
#include <balsamloft/enginefleet.h>
#include <balsamloft/enginetracker.h>
#include <balsamloft/instancestate.h>
#include <balsamloft/tableupdate.h>

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>

namespace balsamloft {

namespace wire {
class TableNews;
}

/// The tables of the store that instances replicate from each other.
enum class SharedTable : std::size_t { Configuration, Endpoints, Instances, Crashes };

inline constexpr std::size_t SharedTableCount = 4;

/// A query for the changes of a table; for the endpoints, also for engine states.
struct UpdateQuery
{
    std::size_t table = 0; ///< a SharedTable
    std::uint64_t after = 0; ///< number of the version that the follower has; 0: none
    Duration wait {}; ///< how long the answer may be delayed until there are changes
    /// Time on this server's clock up to which the follower has all engine states; 0: none.
    std::uint64_t statesSinceMs = 0;
    /// Used if `statesSinceMs` is 0: only states that changed within this time; 0: all states.
    Duration changedWithin {};
};

/// The request target that encodes \a query; the era of the version is in the body, see
/// encodeQuery().
std::string updateTarget(const UpdateQuery &query);

/// The request target to which crash notices are posted, see encodeNotices().
inline constexpr std::string_view NoticeTarget = "/crashes";

/// A replica of a table and how recent it is.
struct TableState
{
    TableCopy copy;
    Time knownAt {}; ///< complete as of this time (bootNow()); default: never read
    std::int64_t storeMs = 0; ///< store's clock when the store last answered, in \a storeMsEra
    std::uint64_t storeMsEra = 0;
    bool fromStore = false; ///< last read from the store, without a failure since
};

/// Receives crash notices, and answers update queries, immediately or as soon as there are changes.
/// HTTP with a protobuf message as the body is used because a query has exactly one answer and a
/// time limit, and ends when the peer disconnects.
class PeerServer
{
public:
    using NoticeHandler = std::function<void(std::span<const CrashNotice>)>;
    using StateHandler = std::function<void(const InstanceState &)>;
    using AnswerState = std::function<InstanceState(const InstanceState &)>;

    /// \a noticesReceived: called with the crash notices of other instances; \a stateReceived: with
    /// the state that an instance sends in its query; \a self: takes that state and returns the one
    /// to send in the answer.
    PeerServer(boost::asio::io_context &context, NoticeHandler noticesReceived,
               StateHandler stateReceived, AnswerState self, ResourceGroupPtr resources);

    bool listen(const std::string &address, Reason &reason);
    TableState &state(SharedTable table) { return m_states[static_cast<std::size_t>(table)]; }

    /// Answers the queries that wait for \a table, which has changed or was confirmed as unchanged.
    /// Confirmations are forwarded at once too, so that the age of the data does not grow with each
    /// instance on its way from the store.
    void tableChanged(SharedTable table);

    /// The rows of \a table changed without a new version, see TableCopy::adopt().
    void rowsAdopted(SharedTable table);

    /// Marks the replicas as no longer up to date with the store, because the store does not
    /// answer.
    void markStoreUnavailable();

    /// Adds engine states that are sent along with updates of the endpoints.
    void addReports(const EngineReports &reports);

    /// Returns the state of the engine \a id that is sent to other instances; null if there is
    /// none.
    const EngineState *publishedState(std::string_view id) const;

    /// Removes the states of engines that are not in \a fleet.
    void pruneEngines(const FleetSnapshot &fleet);

private:
    /// A query that waits for changes.
    struct PendingQuery
    {
        std::size_t table;
        StoreVersion after;
        std::uint64_t statesSinceMs;
        InstanceState sender;
        Time knownAt; ///< TableState::knownAt when the query arrived
        Time until;
        SimpleHttpServer::Reply reply;
    };

    /// The published state of an engine.
    struct PublishedEngine
    {
        EngineState state;
        Time changedAt {};
    };

    /// A compressed snapshot of a table.
    struct CompressedTable
    {
        StoreVersion version;
        CompressedRows rows;
    };

    void handleQuery(std::string_view target, std::string_view body, SimpleHttpServer::Reply reply);
    HttpAnswer receiveNotices(std::string_view body);
    HttpAnswer answer(std::size_t table, StoreVersion after, std::uint64_t statesSinceMs,
                      const InstanceState &sender) const;
    std::string encodeUpdate(std::size_t table, StoreVersion after, std::uint64_t statesSinceMs,
                             const InstanceState &sender) const;
    static void addCompressed(const CompressedRows &compressed, wire::TableNews &update);
    void addAllRows(std::size_t table, wire::TableNews &update) const;
    void addEngines(std::uint64_t statesSinceMs, wire::TableNews &update) const;
    static bool wasConfirmedSince(SharedTable table, const TableState &state, Time then);
    void expireQueries();

    SimpleHttpServer m_server;
    NoticeHandler m_noticesReceived;
    StateHandler m_stateReceived;
    AnswerState m_self;
    boost::asio::steady_timer m_timer;
    bool m_timerRunning = false;
    std::array<TableState, SharedTableCount> m_states;
    mutable std::array<CompressedTable, SharedTableCount> m_compressed; ///< latest snapshots sent
    std::map<std::string, PublishedEngine, std::less<>> m_engines; ///< by id
    std::map<std::string, Time> m_statesAsOf; ///< by domain, see EngineReports
    std::vector<PendingQuery> m_pendingQueries;
};

} // namespace balsamloft
