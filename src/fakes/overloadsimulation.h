/// \file
/// Instances in virtual time that receive more requests than their processors can read.

#pragma once

#include <balsamloft/acceptgate.h>
#include <balsamloft/unreadconnections.h>

#include <queue>
#include <random>
#include <vector>

namespace balsamloft {

/// Callers with a limited patience send requests to instances with a limited processor. A caller
/// whose connection is refused or closed unread, or that left, repeats once at another instance.
class OverloadSimulation
{
public:
    /// Order in which an instance reads connections.
    enum class Order {
        OldestFirst, ///< all are accepted and read in the order of their arrival
        NewestFirst, ///< as AcceptGate and UnreadConnections decide
    };

    struct Settings
    {
        Order order = Order::NewestFirst;
        std::size_t instances = 1;
        double processorShare = 1; ///< of each instance
        Duration patience {400'000};
        std::uint64_t seed = 1;
        /// Share of the first attempts that go to the first instance instead of a random one.
        double skew = 0;
    };

    explicit OverloadSimulation(const Settings &settings);

    /// Sends \a rate requests per second for \a length.
    /// \return the share of these requests that were served within the patience of their callers,
    /// at either attempt.
    double run(double rate, Duration length);

    /// Lets the first instance stand still for \a length.
    void standStill(Duration length);

    /// Sends all callers to the first instance for \a length, as while it alone has started.
    void useFirstOnly(Duration length) { m_firstOnlyUntil = m_now + length; }

    /// Requests per second that one instance can read if it does nothing else.
    double capacity() const;

    /// Shares of requests of which an attempt was read, and among them those whose first attempt
    /// that was read was served, over the last run().
    double servedOfRead() const;

private:
    struct Caller
    {
        Time leavesAt {}; ///< end of the current attempt
        std::uint64_t run = 0; ///< of run(), in which it began
        int attempt = 0;
        bool settled = false; ///< served, or gave up
        bool read = false; ///< an attempt was read
    };

    struct Instance
    {
        std::vector<int> backlog; ///< connections that the system holds, oldest first
        UnreadConnections waiting;
        std::deque<int> inOrder; ///< accepted connections, for OldestFirst
        AcceptGate gate;
        bool listens = true;
        bool turnScheduled = false;
    };

    struct Event
    {
        Time at;
        std::uint64_t number; ///< orders events of the same time
        enum class Kind { Attempt, Leave, Turn, Served } kind;
        int subject; ///< caller, or instance for Turn
        int attempt; ///< of the caller
    };

    struct Later
    {
        bool operator()(const Event &a, const Event &b) const
        {
            return std::pair(a.at, a.number) > std::pair(b.at, b.number);
        }
    };

    void schedule(Time at, Event::Kind kind, int subject);
    void handle(const Event &event);
    void attempt(int caller);
    void turnAway(int caller, Time at);
    void takeTurn(std::size_t number);
    std::optional<int> takeNext(Instance &instance, Time &now);
    bool hasLeft(int caller, Time now) const;
    Duration cost(Duration ofWholeProcessor) const;

    Settings m_settings;
    std::mt19937_64 m_random;
    Time m_now {std::chrono::hours(1)};
    std::uint64_t m_nextEvent = 0;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    std::vector<Caller> m_callers;
    std::vector<Instance> m_instances;
    Time m_stillUntil {}; ///< of the first instance
    Time m_firstOnlyUntil {};
    std::uint64_t m_run = 0;
    int m_served = 0;
    int m_read = 0;
    int m_readServed = 0;
};

} // namespace balsamloft
