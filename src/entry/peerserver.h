/// \file
/// Tells other instances what this one knows of the store's tables.

#pragma once

#include "simplehttpserver.h"

#include <balsamloft/enginefleet.h>
#include <balsamloft/enginetracker.h>
#include <balsamloft/tableupdate.h>

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>

namespace balsamloft {

namespace wire {
class TableNews;
}

/// The tables that instances tell each other of.
enum class SharedTable : std::size_t { Configuration, Endpoints, Instances, Crashes };

inline constexpr std::size_t SharedTableCount = 4;

/// A question for changes of a table, and of states of engines.
struct UpdateQuery
{
    std::size_t table = 0;
    std::uint64_t after = 0; ///< the version that is known
    Duration wait {}; ///< how long the answer may be held
    std::uint64_t statesSinceMs = 0; ///< until when states were told here before; 0: never
    Duration changedWithin {}; ///< then only states that changed so lately; 0: all
};

/// Its request target.
std::string updateTarget(const UpdateQuery &question);

/// A copy of a table and how recent it is.
struct TableState
{
    TableCopy copy;
    Time knownAt {}; ///< on the clock that counts suspension; never: the beginning of time
    std::int64_t storeMs = 0; ///< the store's clock when it last answered
    bool direct = false; ///< the last answer was the store's own, and it still answers
};

/// Answers questions for news, at once or when there is some. HTTP as elsewhere
/// in this program, with a protobuf message as the body: each question needs one
/// answer, a time limit, and an end when the other is gone.
class PeerServer
{
public:
    explicit PeerServer(boost::asio::io_context &context);

    bool listen(const std::string &address, Reason &reason);
    TableState &state(SharedTable table) { return m_states[static_cast<std::size_t>(table)]; }

    /// The table changed, or was heard to be as it was: answers those who wait for that.
    /// Told at once how recent it is, they tell on what is hardly older, so that news do
    /// not age with each instance that they pass.
    void changed(SharedTable table);

    /// The store does not answer any more: what is known came from it, but only
    /// grows older.
    void storeLost();

    /// Engines whose states changed, and how fresh all others are; told along with the
    /// endpoints.
    void addReports(const EngineReports &reports);

    /// The engine's state as it is told now; null: it is not.
    const EngineState *told(std::string_view id) const;

    /// Forgets engines that are not in \a fleet.
    void keepOnly(const FleetSnapshot &fleet);

private:
    struct Waiter
    {
        std::size_t table;
        std::uint64_t after;
        std::uint64_t statesSinceMs;
        Time knownAt; ///< what was known when it asked
        Time until;
        SimpleHttpServer::Reply reply;
    };

    /// What is told of an engine, and since when.
    struct ToldEngine
    {
        EngineState state;
        Time changedAt {};
    };

    /// All rows of a table as of a version, ready to be told.
    struct PackedTable
    {
        std::uint64_t version = 0;
        CompressedRows rows;
    };

    void asked(std::string_view target, SimpleHttpServer::Reply reply);
    HttpAnswer answer(std::size_t table, std::uint64_t after, std::uint64_t statesSinceMs) const;
    std::string news(std::size_t table, std::uint64_t after, std::uint64_t statesSinceMs) const;
    static void addPacked(const CompressedRows &packed, wire::TableNews &news);
    void addAllRows(std::size_t table, wire::TableNews &news) const;
    void addEngines(std::uint64_t statesSinceMs, wire::TableNews &news) const;
    static bool fresher(SharedTable table, const TableState &state, Time then);
    void expire();

    SimpleHttpServer m_server;
    boost::asio::steady_timer m_timer;
    bool m_timing = false;
    std::array<TableState, SharedTableCount> m_states;
    mutable std::array<PackedTable, SharedTableCount> m_packed; ///< as told last
    std::map<std::string, ToldEngine, std::less<>> m_engines; ///< by id
    std::map<std::string, Time> m_asOf; ///< by domain, see EngineReports
    std::vector<Waiter> m_waiters;
};

} // namespace balsamloft
