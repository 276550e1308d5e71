/// \file
/// The store and the endpoints that the soak's instances work before.

#pragma once

#include "../common/feedtables.h"
#include "link.h"
#include "record.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>

#include <random>

namespace balsamloft::soak {

using Request = boost::beast::http::request<boost::beast::http::string_body>;

/// A table store with long polls and conditions, and the ways in which one fails.
class Store
{
public:
    explicit Store(boost::asio::io_context &context);

    std::string address() const;
    testsuite::FeedTables &tables() { return m_tables; }

    // Faults

    bool down = false; ///< turns all away
    bool silent = false; ///< answers nobody
    bool losesAnswers = false; ///< does what it is told and closes the connection
    Milliseconds slow {0};
    void forgetHistory() { m_forgotten = m_tables.version(); }
    void heal();

private:
    awaitable<void> accept();
    awaitable<void> serve(tcp::socket socket);
    awaitable<std::pair<int, std::string>> answer(const Request &request);

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    testsuite::FeedTables m_tables;
    std::uint64_t m_forgotten = 0;
};

/// Body of a request that ends each engine that runs it.
inline constexpr std::string_view EndingBody = "end!";

/// An endpoint behind a link. Each start is another process with another id.
class Endpoint
{
public:
    Endpoint(boost::asio::io_context &context, Store &store, Record &record, std::string name,
             std::string service, std::string domain, std::uint64_t seed);

    Link &link() { return m_link; }

    // Faults

    void crash();
    void start();
    /// Ends as for a request that ends what runs it, and comes back after a while.
    awaitable<void> crashAndReturn();
    /// Writes that it leaves; what runs goes on.
    void leave();
    /// Comes back under another id and is off the list at once; what runs goes on.
    void passBy();
    /// Is off the list after it said that it leaves, and its earlier entry is written
    /// late, as by a call that was delayed on the way.
    void writeLate();
    void lapse(); ///< its entry is dropped; it goes on
    bool failing = false; ///< answers with failures of its own
    bool busy = false; ///< turns requests away as not run
    bool losing = false; ///< runs calls and closes the connection without an answer
    bool talkative = false; ///< sends bytes after its answers
    void heal();

private:
    awaitable<void> accept();
    awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    awaitable<bool> run(tcp::socket &socket, const Request &request);
    awaitable<bool> stream(tcp::socket &socket, const Request &request);
    void write(const std::string &state);

    boost::asio::io_context &m_context;
    Store &m_store;
    Record &m_record;
    std::string m_name;
    std::string m_service;
    std::string m_domain;
    std::mt19937_64 m_random;
    tcp::acceptor m_acceptor;
    Link m_link;
    std::string m_id; ///< empty: not running
    int m_starts = 0;
    std::set<std::shared_ptr<tcp::socket>> m_open;
};

} // namespace balsamloft::soak
