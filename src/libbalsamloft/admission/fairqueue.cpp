#include <balsamloft/admission/fairqueue.h>

#include <algorithm>

namespace balsamloft {

void FairQueue::push(QueueItem item)
{
    PriorityClass &queueClass = m_classes[item.priority];
    TeamQueue &team = queueClass.teams[item.team];
    if (team.byDeadline.empty()) {
        // A team that was idle starts at the virtual time of the class, so that it cannot use at
        // once the share that it left unused while idle.
        team.share = item.share;
        team.virtualTime = std::max(team.virtualTime, queueClass.virtualTime);
        queueClass.active.emplace(team.virtualTime, item.team);
        queueClass.activeShare += team.share;
    }
    team.byDeadline.emplace(item.deadline, item.request);
    team.cost += item.cost;
    queueClass.cost += item.cost;
    updateFinish(queueClass, item.team, team);
    insert(std::move(item));
}

void FairQueue::pushResumed(QueueItem item)
{
    PriorityClass &queueClass = m_classes[item.priority];
    queueClass.resumed.emplace(item.deadline, item.request);
    queueClass.cost += item.cost;
    insert(std::move(item));
}

void FairQueue::insert(QueueItem item)
{
    const RequestId request = item.request;
    if (item.latestStart != Time::max())
        m_byLatestStart.emplace(item.latestStart, request);
    m_items.emplace(request, std::move(item));
}

void FairQueue::updateFinish(PriorityClass &queueClass, const std::string &name, TeamQueue &team)
{
    queueClass.byFinish.erase({team.finish, name});
    if (team.byDeadline.empty())
        return;
    team.finish = team.virtualTime + team.cost / team.share;
    queueClass.byFinish.emplace(team.finish, name);
}

void FairQueue::erase(PriorityClass &queueClass, const QueueItem &item)
{
    m_byLatestStart.erase({item.latestStart, item.request});
    queueClass.cost -= item.cost;
    if (queueClass.resumed.erase({item.deadline, item.request}) > 0)
        return;
    TeamQueue &team = queueClass.teams[item.team];
    team.byDeadline.erase({item.deadline, item.request});
    team.cost -= item.cost;
    if (team.byDeadline.empty()) {
        queueClass.active.erase({team.virtualTime, item.team});
        queueClass.activeShare -= team.share;
    }
    updateFinish(queueClass, item.team, team);
}

bool FairQueue::remove(RequestId request)
{
    const auto it = m_items.find(request);
    if (it == m_items.end())
        return false;
    erase(m_classes[it->second.priority], it->second);
    m_items.erase(it);
    return true;
}

const QueueItem *FairQueue::front() const
{
    for (const auto &[priority, queueClass] : m_classes) {
        if (!queueClass.resumed.empty())
            return &m_items.at(queueClass.resumed.begin()->second);
        if (!queueClass.active.empty()) {
            const TeamQueue &team = queueClass.teams.at(queueClass.active.begin()->second);
            return &m_items.at(team.byDeadline.begin()->second);
        }
    }
    return nullptr;
}

void FairQueue::pop()
{
    const QueueItem *next = front();
    if (!next)
        return;
    const QueueItem item = *next;
    PriorityClass &queueClass = m_classes[item.priority];
    const bool resumed = queueClass.resumed.contains({item.deadline, item.request});
    erase(queueClass, item);
    m_items.erase(item.request);
    if (resumed)
        return;
    TeamQueue &team = queueClass.teams[item.team];
    queueClass.virtualTime = std::max(queueClass.virtualTime, team.virtualTime);
    const double served = team.virtualTime + item.cost / team.share;
    if (!team.byDeadline.empty()) {
        queueClass.active.erase({team.virtualTime, item.team});
        queueClass.active.emplace(served, item.team);
    }
    team.virtualTime = served;
    updateFinish(queueClass, item.team, team);
}

std::vector<RequestId> FairQueue::takeExpired(Time now)
{
    std::vector<RequestId> expired;
    while (!m_byLatestStart.empty() && m_byLatestStart.begin()->first < now) {
        expired.push_back(m_byLatestStart.begin()->second);
        remove(expired.back());
    }
    return expired;
}

const QueueItem *FairQueue::lowest() const
{
    for (auto each = m_classes.rbegin(); each != m_classes.rend(); ++each) {
        const PriorityClass &queueClass = each->second;
        if (queueClass.byFinish.empty())
            continue;
        const TeamQueue &team = queueClass.teams.at(queueClass.byFinish.rbegin()->second);
        return &m_items.at(team.byDeadline.rbegin()->second);
    }
    return nullptr;
}

const QueueItem *FairQueue::displacedBy(const QueueItem &item) const
{
    const QueueItem *candidate = lowest();
    if (!candidate || candidate->priority > item.priority)
        return candidate;
    // Within a team, a waiting request is not given up for a new one.
    if (candidate->priority < item.priority || candidate->team == item.team)
        return nullptr;
    const PriorityClass &queueClass = m_classes.at(item.priority);
    const auto it = queueClass.teams.find(item.team);
    double finish = queueClass.virtualTime + item.cost / item.share;
    if (it != queueClass.teams.end()) {
        const TeamQueue &team = it->second;
        finish = team.byDeadline.empty()
                     ? std::max(team.virtualTime, queueClass.virtualTime) + item.cost / item.share
                     : team.finish + item.cost / team.share;
    }
    return finish < queueClass.byFinish.rbegin()->first ? candidate : nullptr;
}

double FairQueue::costAhead(int priority, std::string_view teamName, double share) const
{
    double ahead = 0;
    const auto found = m_classes.find(priority);
    for (auto each = m_classes.begin(); each != m_classes.lower_bound(priority); ++each)
        ahead += each->second.cost;
    if (found == m_classes.end())
        return ahead;
    const PriorityClass &queueClass = found->second;
    const auto it = queueClass.teams.find(teamName);
    const bool waits = it != queueClass.teams.end() && !it->second.byDeadline.empty();
    const double others = queueClass.activeShare - (waits ? it->second.share : 0);
    const double ownCost = waits ? it->second.cost : 0;
    return ahead + std::min(queueClass.cost, ownCost * (others + share) / share);
}

} // namespace balsamloft
