/// \file
/// Fake store and endpoints for the soak test and the cost benchmark, with injectable faults.

#pragma once

#include "../common/feedtables.h"
#include "link.h"
#include "record.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>

#include <deque>
#include <list>
#include <map>
#include <random>

namespace balsamloft::soak {

using Request = boost::beast::http::request<boost::beast::http::string_body>;

/// A table store with long polling and conditional commits.
class Store
{
public:
    explicit Store(boost::asio::io_context &context);

    std::string address() const;

    /// Returns another address of the store, whose answers have the texts \a replaced: an instance
    /// that reads there has links of its own to the endpoints.
    std::string addView(std::map<std::string, std::string> replaced);
    testsuite::FeedTables &tables() { return m_tables; }

    // Faults

    bool down = false; ///< answers 503
    bool silent = false; ///< does not answer
    bool losesAnswers = false; ///< closes the connection after processing a request
    Milliseconds slow {0}; ///< delay of each answer
    /// From now on, answers 410 to queries for changes since a version before the current one.
    void forgetHistory() { m_historyStart = m_tables.version(); }
    /// Remembers the tables as they are now, for restore().
    void copyTables();
    /// Brings back tables that are up to \a age old. Numbers are given out again, and the era
    /// rises.
    void restore(Milliseconds age);
    void heal();

private:
    /// An address of the store.
    struct View
    {
        tcp::acceptor acceptor;
        std::map<std::string, std::string> replaced;
    };

    awaitable<void> accept(View &view);
    awaitable<void> serve(tcp::socket socket, const View &view);
    awaitable<std::pair<int, std::string>> answer(const Request &request);

    /// Tables at an earlier time.
    struct Copy
    {
        Clock::time_point at;
        testsuite::FeedTables tables;
        std::uint64_t historyStart = 0;
    };

    boost::asio::io_context &m_context;
    std::list<View> m_views;
    testsuite::FeedTables m_tables;
    std::uint64_t m_historyStart = 0;
    std::deque<Copy> m_copies;
    std::uint64_t m_era = 1;
};

/// Body of a request that crashes each endpoint that executes it.
inline constexpr std::string_view CrashingBody = "end!";

/// Parts of prompts with ids that begin so crash each endpoint, except as the last part.
inline constexpr std::string_view CrashingPart = "bad";

/// Simulates an endpoint behind a Link. Each start simulates a new process with a new id.
///
/// Requests say in their paths how long they last: "/KIND/MS" for a call, and
/// "/stream/EVENTS/MS/LONGEST_MS" for a stream, with MS between two events, and LONGEST_MS once in
/// its middle. Without times, both are short.
class Endpoint
{
public:
    Endpoint(boost::asio::io_context &context, Store &store, Record &record, std::string name,
             std::string service, std::string domain, std::uint64_t seed);

    Link &link() { return m_link; }
    const std::string &name() const { return m_name; }

    /// Sets the number of requests that the endpoint takes at once, in its entry.
    void offerSlots(int slots);
    /// Lets an engine hold the layers from \a begin to before \a end in place of 0 to 4, and accept
    /// path changes.
    void holdLayers(int begin, int end);

    // Faults

    void crash();
    void start();
    /// Crashes because of a request and restarts after a delay.
    awaitable<void> crashAndReturn();
    /// Reports in its entry that it is leaving; running requests continue.
    void leave();
    /// Restarts with a new id and deletes the new entry at once, but keeps running.
    void restartUnlisted();
    /// Reports that it is leaving and deletes its entry. Then writes the "ready" entry again, as if
    /// an earlier write had been delayed on the network.
    void writeFormerEntry();
    /// Deletes its entry, but keeps running.
    void deleteEntry();
    /// Writes its entry again, if it has one, after the store was restored.
    void writeAgain();
    /// Its id, if it has an entry; otherwise empty.
    std::string listedId() const { return m_state.empty() ? std::string() : m_id; }
    /// Refuses requests until \a until, and announces so.
    void pauseUntil(Clock::time_point until) { m_pausedUntil = until; }
    bool announcesExit = false; ///< in each answer, while its entry says that it is ready
    bool failing = false; ///< answers 500
    bool busy = false; ///< refuses requests as not executed
    bool losesAnswers = false; ///< executes calls, but closes the connection instead of answering
    bool sendsExtraAnswers = false; ///< sends a second answer to each call
    void heal();

private:
    awaitable<void> accept();
    awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    awaitable<bool> run(tcp::socket &socket, const Request &request);
    awaitable<bool> stream(tcp::socket &socket, const Request &request);
    void write(const std::string &state);
    std::string announcedFields(const std::string &request);

    boost::asio::io_context &m_context;
    Store &m_store;
    Record &m_record;
    std::string m_name;
    std::string m_service;
    std::string m_domain;
    std::mt19937_64 m_random;
    tcp::acceptor m_acceptor;
    Link m_link;
    std::string m_id; ///< empty while not running
    std::string m_state; ///< in its entry; empty: it has none
    int m_starts = 0;
    std::pair<int, int> m_layers {0, 4};
    bool m_changesPaths = false; ///< accepts path changes
    std::optional<int> m_slots; ///< in its entry; empty: the protocol's default
    Clock::time_point m_pausedUntil {};
    std::set<std::shared_ptr<tcp::socket>> m_open;
};

} // namespace balsamloft::soak
