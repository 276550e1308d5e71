#include "batchendpoint.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamloft {

namespace {

constexpr double EmptySpeed = 1200; ///< steps per second
constexpr double Slowdown = 2; ///< of a full endpoint

constexpr double InitialPart = 0.5; ///< of its tokens, which a request occupies when it starts
constexpr double StartLimit = 0.95; ///< of the memory, so that running requests can grow
constexpr double RejectLimit = 2; ///< of the memory, waiting requests included

} // namespace

double BatchEndpoint::speed(double fill)
{
    return EmptySpeed / (1 + Slowdown * fill);
}

double BatchEndpoint::memoryInUse() const
{
    return InitialPart * m_runningTokens + m_growth * m_steps - m_growthAtStart;
}

bool BatchEndpoint::submit(std::size_t request, const BatchWork &work, Time now)
{
    if (m_runningTokens + m_waitingTokens + work.tokens > RejectLimit * m_memory)
        return false;
    runUntil(now);
    m_held[request] = {work};
    m_waiting.push_back(request);
    m_waitingTokens += work.tokens;
    fillMemory();
    return true;
}

void BatchEndpoint::remove(std::size_t request, Time now)
{
    const auto it = m_held.find(request);
    if (it == m_held.end())
        return;
    runUntil(now);
    if (it->second.startNumber != 0) {
        stop(it->second);
    } else {
        std::erase(m_waiting, request);
        m_waitingTokens -= it->second.work.tokens;
    }
    m_held.erase(it);
    fillMemory();
}

void BatchEndpoint::setMemory(double memory, Time now)
{
    runUntil(now);
    m_memory = memory;
    fillMemory();
}

std::vector<BatchEndpoint::Progress> BatchEndpoint::advance(Time now)
{
    runUntil(now);
    std::vector<Progress> reached;
    dropStaleMilestones();
    while (!m_milestones.empty() && m_milestones.top().steps <= m_steps) {
        const Milestone milestone = m_milestones.top();
        m_milestones.pop();
        Held &held = m_held.at(milestone.request);
        held.begun = true;
        if (milestone.end) {
            stop(held);
            m_held.erase(milestone.request);
        }
        reached.push_back({milestone.request, milestone.end});
        dropStaleMilestones();
    }
    fillMemory();
    return reached;
}

std::optional<Time> BatchEndpoint::nextAdvance() const
{
    if (m_running.empty())
        return std::nullopt;
    double steps = m_milestones.top().steps - m_steps;
    if (m_running.size() > 1)
        steps = std::min(steps, (m_memory - memoryInUse()) / m_growth);
    const double microseconds = std::ceil(steps / currentSpeed() * 1e6);
    return m_now + Duration(std::max<std::int64_t>(1, std::int64_t(microseconds)));
}

void BatchEndpoint::runUntil(Time now)
{
    const std::chrono::duration<double> elapsed = now - m_now;
    if (!m_running.empty())
        m_steps += currentSpeed() * elapsed.count();
    m_now = now;
}

void BatchEndpoint::start(std::size_t request)
{
    Held &held = m_held.at(request);
    held.startNumber = ++m_starts;
    held.growth = (1 - InitialPart) * held.work.tokens / held.work.steps;
    held.growthAtStart = held.growth * m_steps;
    m_running.emplace(held.startNumber, request);
    m_runningTokens += held.work.tokens;
    m_growth += held.growth;
    m_growthAtStart += held.growthAtStart;
    if (!held.begun)
        m_milestones.push({m_steps + held.work.firstSteps, request, held.startNumber, false});
    m_milestones.push({m_steps + held.work.steps, request, held.startNumber, true});
}

void BatchEndpoint::stop(Held &held)
{
    m_running.erase(std::exchange(held.startNumber, 0));
    m_runningTokens -= held.work.tokens;
    m_growth -= held.growth;
    m_growthAtStart -= held.growthAtStart;
}

/// Preempts requests that don't fit into the memory, and starts waiting ones that do.
void BatchEndpoint::fillMemory()
{
    while (memoryInUse() >= m_memory && m_running.size() > 1) {
        const std::size_t preempted = m_running.rbegin()->second;
        Held &held = m_held.at(preempted);
        stop(held);
        m_waiting.push_front(preempted);
        m_waitingTokens += held.work.tokens;
    }
    while (!m_waiting.empty()) {
        const std::size_t next = m_waiting.front();
        const double tokens = m_held.at(next).work.tokens;
        if (memoryInUse() + InitialPart * tokens > StartLimit * m_memory && !m_running.empty())
            break;
        m_waiting.pop_front();
        m_waitingTokens -= tokens;
        start(next);
    }
    dropStaleMilestones();
}

/// Removes the first milestones of requests that were preempted or removed.
void BatchEndpoint::dropStaleMilestones()
{
    while (!m_milestones.empty()) {
        const auto it = m_held.find(m_milestones.top().request);
        if (it != m_held.end() && it->second.startNumber == m_milestones.top().startNumber)
            return;
        m_milestones.pop();
    }
}

} // namespace balsamloft
