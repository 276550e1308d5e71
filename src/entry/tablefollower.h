/// \file
/// Follows one table of the store: reads it whole, then waits for changes.

#pragma once

#include "storechannel.h"

namespace balsamloft {

/// What a follower tells its owner.
struct TableEvents
{
    /// The whole table as of one moment.
    std::function<void(const std::vector<StoreRow> &rows)> whole;
    std::function<void(const std::vector<StoreRow> &rows)> changed;

    /// The store answered: what was told is complete as of some moment in
    /// between. After whole() or changed().
    std::function<void(const StoreAnswer &answer)> heard;
};

/// Settings of a TableFollower.
struct FollowerSettings
{
    std::string table;
    Duration wait {1'500'000}; ///< how long the store holds a call while nothing changes
    Duration answerWithin {700'000}; ///< beyond that, the call has failed
    Duration retry {250'000}; ///< pause after a failure
    Duration pace {0}; ///< shortest time between two calls
};

/// Keeps a copy of a table up to date with few calls.
class TableFollower
{
public:
    TableFollower(boost::asio::io_context &context, const std::string &address,
                  const EntryProtocol &protocol, EntryState &state, FollowerSettings settings,
                  TableEvents events);

    void start();

private:
    void readPage(const std::string &from);
    void pageArrived(StoreAnswer answer, const std::string &from);
    void watch();
    void changesArrived(StoreAnswer answer);
    void later(Duration pause, std::function<void()> what);
    void lost(std::string_view why);
    void regained();

    const EntryProtocol &m_protocol;
    FollowerSettings m_settings;
    TableEvents m_events;
    StoreChannel m_channel;
    boost::asio::steady_timer m_timer;
    std::vector<StoreRow> m_pages;
    std::uint64_t m_firstVersion = 0;
    std::uint64_t m_version = 0;
    bool m_well = true;
    std::uint32_t m_failures = 0;
};

} // namespace balsamloft
