/// \file
/// Fair queue of the requests that wait for endpoints of one model or service.

#pragma once

#include <balsamloft/types.h>

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamloft {

/// Number of a request, unique within one process.
using RequestId = std::uint64_t;

/// A waiting request.
struct QueueItem
{
    RequestId request = 0;
    std::string team;
    double share = 1; ///< weight of the team, greater than zero
    int priority = 0; ///< number of its class; smaller ones are served first
    Time deadline {};
    double cost = 1; ///< expected work in tokens; the shares divide work, not request counts
    Time latestStart = Time::max(); ///< after this time, takeExpired() removes the request
};

/// Orders waiting requests: strict priority between priority classes, weighted fair
/// queueing between the teams of a class, earliest deadline first within a team.
/// Requests that resume after a failure precede all others of their class. The time of each
/// operation grows with the logarithm of the number of requests and with the number of classes.
class FairQueue
{
public:
    // Commands

    void push(QueueItem item);

    /// Adds a request that resumes after a failure.
    void pushResumed(QueueItem item);

    /// Removes \a request. Returns false if it was not in the queue.
    bool remove(RequestId request);

    /// Removes the first request. Charges its cost to its team, unless the request resumes after a
    /// failure.
    void pop();

    /// Removes the requests whose latest start is before \a now. Returns them, the earliest latest
    /// start first.
    std::vector<RequestId> takeExpired(Time now);

    // Queries

    /// The next request, or nullptr if the queue is empty.
    const QueueItem *front() const;
    bool empty() const { return m_items.empty(); }
    std::size_t size() const { return m_items.size(); }

    /// The request that would be served last if no others came: in the lowest class, of the team
    /// whose waiting work reaches furthest ahead of its share, the one with the latest deadline.
    /// Requests that resume after a failure are left out, since work was done for them. Returns
    /// nullptr if there are no others.
    const QueueItem *lowest() const;

    /// The request to remove if there is no room for \a item: lowest(), if it is of a lower class
    /// than \a item, or if it is of another team of the same class and \a item would be served
    /// before it. Returns nullptr if \a item itself comes last.
    const QueueItem *displacedBy(const QueueItem &item) const;

    /// Estimates the cost of the requests that would be served before a new request of \a team with
    /// \a priority. The estimate adds up the cost of all requests of higher classes and, for this
    /// class, the cost of the team's waiting requests divided by the team's share among the waiting
    /// teams, but at most the cost of the whole class.
    double costAhead(int priority, std::string_view team, double share) const;

private:
    struct TeamQueue
    {
        std::set<std::pair<Time, RequestId>> byDeadline;
        double share = 1;
        double virtualTime = 0; ///< executed cost divided by the share
        double cost = 0; ///< total of the waiting requests
        double finish = 0; ///< virtual time after the waiting requests
    };
    struct PriorityClass
    {
        std::unordered_map<std::string, TeamQueue, StringHash, std::equal_to<>> teams;
        std::set<std::pair<double, std::string>>
            active; ///< teams with waiting requests, by virtual time
        std::set<std::pair<double, std::string>>
            byFinish; ///< the same teams, by the virtual time after their waiting requests
        std::set<std::pair<Time, RequestId>> resumed;
        double virtualTime = 0; ///< virtual time of the team served last
        double cost = 0;
        double activeShare = 0;
    };

    void insert(QueueItem item);
    void erase(PriorityClass &queueClass, const QueueItem &item);
    static void updateFinish(PriorityClass &queueClass, const std::string &name, TeamQueue &team);

    std::map<int, PriorityClass> m_classes; ///< by priority
    std::unordered_map<RequestId, QueueItem> m_items;
    std::set<std::pair<Time, RequestId>> m_byLatestStart; ///< those that have one
};

} // namespace balsamloft
