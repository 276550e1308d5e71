/// \file
/// Tells other instances what this one knows of the store's tables.

#pragma once

#include "textserver.h"

#include <balsamloft/enginebook.h>
#include <balsamloft/tablecopy.h>

#include <boost/asio/steady_timer.hpp>

#include <array>

namespace balsamloft {

namespace wire {
class TableNews;
}

/// The tables that instances tell each other of.
enum class NewsTable : std::size_t { Configuration, Endpoints, Instances, Crashes };

inline constexpr std::size_t NewsTableCount = 4;

/// Request target of a question for changes of \a table after a version, and for
/// states of engines since the time that the answer before told.
std::string newsTarget(std::size_t table, std::uint64_t after, Duration wait, std::uint64_t toldMs);

/// A copy of a table and how recent it is.
struct NewsState
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
    NewsState &state(NewsTable table) { return m_states[static_cast<std::size_t>(table)]; }

    /// The table changed: answers those who wait for that.
    void changed(NewsTable table);

    /// The store does not answer any more: what is known came from it, but only
    /// grows older.
    void storeLost();

    /// States of engines that are told along with the endpoints.
    void setEngines(std::vector<EngineState> engines) { m_engines = std::move(engines); }

private:
    struct Waiter
    {
        std::size_t table;
        std::uint64_t after;
        std::uint64_t toldMs;
        Time until;
        TextServer::Reply reply;
    };

    void asked(std::string_view target, TextServer::Reply reply);
    TextAnswer answer(std::size_t table, std::uint64_t after, std::uint64_t toldMs) const;
    std::string news(std::size_t table, std::uint64_t after, std::uint64_t toldMs) const;
    void addEngines(std::uint64_t toldMs, wire::TableNews &news) const;
    void expire();

    TextServer m_server;
    boost::asio::steady_timer m_timer;
    bool m_timing = false;
    std::array<NewsState, NewsTableCount> m_states;
    std::vector<EngineState> m_engines;
    std::vector<Waiter> m_waiters;
};

} // namespace balsamloft
