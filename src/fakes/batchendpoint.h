/// \file
/// An endpoint in virtual time that advances all its running requests together.

#pragma once

#include <balsamloft/types.h>

#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace balsamloft {

/// Work of a request at a BatchEndpoint.
struct BatchWork
{
    double tokens = 0; ///< memory that it occupies at its end
    double firstSteps = 0; ///< until its first event
    double steps = 0; ///< until its end
};

/// Runs requests in steps that get longer as the memory fills. The memory of a request grows with
/// each step. Requests that don't fit wait; when the running ones have grown beyond the memory, the
/// newest is preempted and loses its progress. With twice its memory of requests, the endpoint
/// rejects further ones.
class BatchEndpoint
{
public:
    /// The first event or the end of a request.
    struct Progress
    {
        std::size_t request = 0;
        bool ended = false;
    };

    explicit BatchEndpoint(double memory)
        : m_memory(memory)
    {
    }

    // Commands

    /// Returns false if the endpoint rejects \a request.
    bool submit(std::size_t request, const BatchWork &work, Time now);

    /// Ends \a request early. Has no effect if the endpoint doesn't hold it.
    void remove(std::size_t request, Time now);

    /// Runs until \a now. Returns the first events and ends of requests that were reached.
    std::vector<Progress> advance(Time now);

    void setMemory(double memory, Time now);

    // Queries

    double memory() const { return m_memory; }

    /// Tokens of all requests at their ends, over the memory.
    double fill() const { return (m_runningTokens + m_waitingTokens) / m_memory; }

    /// When to call advance(); nothing if no request runs.
    std::optional<Time> nextAdvance() const;

    /// Steps per second while running requests with \a fill times the memory.
    static double speed(double fill);

private:
    struct Held
    {
        BatchWork work;
        bool begun = false;
        std::uint64_t startNumber = 0; ///< increases with each start; 0: waiting
        double growth = 0; ///< of its memory per step
        double growthAtStart = 0; ///< growth times the endpoint's steps before the start
    };

    /// A request's first event or end, when the endpoint reaches a number of steps.
    struct Milestone
    {
        double steps;
        std::size_t request;
        std::uint64_t startNumber; ///< the milestone is stale if the request has another one
        bool end;

        bool operator<(const Milestone &other) const { return steps > other.steps; }
    };

    double memoryInUse() const;
    double currentSpeed() const { return speed(m_runningTokens / m_memory); }
    void runUntil(Time now);
    void start(std::size_t request);
    void stop(Held &held);
    void fillMemory();
    void dropStaleMilestones();

    double m_memory;
    double m_steps = 0; ///< since the construction
    Time m_now {};
    std::unordered_map<std::size_t, Held> m_held;
    std::map<std::uint64_t, std::size_t> m_running; ///< requests by start number
    std::deque<std::size_t> m_waiting;
    std::priority_queue<Milestone> m_milestones;
    std::uint64_t m_starts = 0;
    double m_waitingTokens = 0;
    double m_runningTokens = 0; ///< sums over the running requests
    double m_growth = 0;
    double m_growthAtStart = 0;
};

} // namespace balsamloft
