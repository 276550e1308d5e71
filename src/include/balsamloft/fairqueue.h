/// \file
/// The queue in front of the endpoints of one model or service.

#pragma once

#include <balsamloft/types.h>

#include <array>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace balsamloft {

/// Local number of a request, unique within one process.
using RequestId = std::uint64_t;

/// One waiting request.
struct QueueItem
{
    RequestId request = 0;
    std::string team;
    double share = 1; ///< weight of the team, above zero
    Priority priority = Priority::Normal;
    Time deadline {};
    double cost = 1; ///< expected work, in tokens; shares are shares of cost
};

/// Strict priority between classes, weighted fair shares between the teams of
/// a class, earliest deadline first within a team. Requests that resume after
/// a failure go before all others of their class.
class FairQueue
{
public:
    // Commands

    void push(QueueItem item);
    void pushResumed(QueueItem item);

    /// Removes \a request if it waits here; returns whether it did.
    bool remove(RequestId request);

    /// Removes the first request and charges its cost to its team.
    void pop();

    // Queries

    /// The request that goes next, or nullptr when the queue is empty.
    const QueueItem *front() const;
    bool empty() const { return m_items.empty(); }
    std::size_t size() const { return m_items.size(); }

    /// Cost that would be executed before a new request of \a team in
    /// \a priority: all higher classes, and in its own class the team's own
    /// queue blown up by the share it gets among the teams that wait.
    double costAhead(Priority priority, std::string_view team, double share) const;

private:
    struct TeamQueue
    {
        std::set<std::pair<Time, RequestId>> byDeadline;
        double share = 1;
        double virtualTime = 0; ///< cost served so far, divided by the share
        double cost = 0; ///< waiting
    };
    struct Class
    {
        std::unordered_map<std::string, TeamQueue, StringHash, std::equal_to<>> teams;
        std::set<std::pair<double, std::string>> active; ///< virtual time, team
        std::set<std::pair<Time, RequestId>> resumed;
        double virtualTime = 0; ///< of the team served last
        double cost = 0;
        double activeShare = 0;
    };

    void erase(Class &queueClass, const QueueItem &item);

    std::array<Class, PriorityCount> m_classes;
    std::unordered_map<RequestId, QueueItem> m_items;
};

} // namespace balsamloft
