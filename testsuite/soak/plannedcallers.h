/// \file
/// Callers that keep their connections to instances under planned work, and record how each of
/// their requests ended.

#pragma once

#include "link.h"
#include "record.h"

#include <atomic>
#include <deque>
#include <random>
#include <thread>

namespace balsamloft::soak {

/// An instance as its callers see it. One thread changes it, all may read it.
struct CallerTarget
{
    std::string name;
    std::string address;
    std::atomic<bool> inRotation {true}; ///< gets new connections
    std::atomic<int> inProgress {0}; ///< requests of its callers
};

/// What callers know of the fleet. One thread changes it, all may read it.
struct CallerView
{
    std::vector<std::unique_ptr<CallerTarget>> targets;
    std::atomic<int> idleTimeoutMs {0}; ///< the shortest that may be in force
    std::atomic<bool> extraRoute {false}; ///< a further route exists
    /// Callers open no further connection, but use those that they have until they end.
    std::atomic<bool> ending {false};
    std::vector<std::string> keys {"good-key"}; ///< always allowed; set before callers start
    int sharedParts = 0; ///< number of parts that begin prompts of several requests
};

/// How the connection stood when the answer to a request had ended.
enum class ConnectionEnd {
    Open,
    Finished, ///< by the instance, in order
    Reset,
    TimedOut, ///< the caller gave up, after its deadline
};

/// A request and how it ended.
struct Attempt
{
    std::string id;
    std::string path;
    std::string key;
    std::string parts; ///< of the prompt
    std::size_t target = 0;
    Clock::time_point sentAt {}; ///< when its last byte was sent
    Clock::time_point endedAt {};
    /// From the last byte sent to the end, at least: without delays of the caller's own thread.
    Milliseconds age {0};
    Milliseconds deadline {0}; ///< from the last byte sent
    Milliseconds rested {0}; ///< time for which the connection had rested before
    bool moreThanAnswered = false; ///< bytes followed the answer
    ConnectionEnd end = ConnectionEnd::Open;
    Exchange exchange;
};

/// Measures how late the handlers of a context run.
class OwnDelay
{
public:
    /// Records delays from now on.
    awaitable<void> watch();

    /// Upper bound of the delay of a handler that runs now, of an event after \a time.
    Milliseconds longestSince(Clock::time_point time) const;

    Milliseconds longest() const { return m_longest; }

private:
    struct Tick
    {
        Clock::time_point at;
        Milliseconds late;
    };
    std::deque<Tick> m_ticks; ///< of the last seconds
    Milliseconds m_longest {0};
};

/// Callers that share a thread.
class CallerGroup
{
public:
    CallerGroup(CallerView &view, std::uint64_t firstRequest, std::uint64_t seed);

    /// Adds a caller that prefers the target with the index \a home.
    void add(std::size_t home);
    void start();
    /// Waits until all connections have ended. CallerView::ending must be true.
    void finish();

    // Results, after finish()

    std::vector<Attempt> takeAttempts() { return std::move(m_attempts); }
    /// Connections that the caller found closed before it sent a request.
    std::size_t foundClosed() const { return m_foundClosed; }
    Milliseconds longestDelay() const { return m_delay.longest(); }

private:
    awaitable<void> runCaller(std::size_t home, std::uint64_t seed);
    awaitable<void> useConnection(tcp::socket &socket, std::size_t target, std::mt19937_64 &random);
    /// Sends the request of \a attempt and records the answer.
    /// \return for how long the connection may rest until the next request; empty: it has ended.
    awaitable<std::optional<Milliseconds>> send(tcp::socket &socket, Attempt attempt);
    Attempt drawAttempt(std::size_t target, std::mt19937_64 &random);
    std::size_t chooseTarget(std::size_t home, std::size_t last, std::mt19937_64 &random) const;

    CallerView &m_view;
    boost::asio::io_context m_context {1};
    std::mt19937_64 m_random;
    OwnDelay m_delay;
    std::uint64_t m_nextRequest;
    int m_running = 0;
    std::vector<Attempt> m_attempts;
    std::size_t m_foundClosed = 0;
    std::thread m_thread;
};

} // namespace balsamloft::soak
