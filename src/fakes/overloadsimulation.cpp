#include "overloadsimulation.h"

#include <algorithm>
#include <utility>

namespace balsamloft {

namespace {

// Assumed costs on a whole processor.
constexpr Duration AcceptCost {4};
constexpr Duration CloseCost {5};
constexpr Duration RequestCost {80};

constexpr Duration EndpointTime {20'000};
constexpr int Attempts = 2;

} // namespace

OverloadSimulation::OverloadSimulation(const Settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_instances(settings.instances)
{
}

double OverloadSimulation::capacity() const
{
    return 1e6 / double(cost(AcceptCost + RequestCost).count());
}

Duration OverloadSimulation::cost(Duration ofWholeProcessor) const
{
    return Duration(std::int64_t(double(ofWholeProcessor.count()) / m_settings.processorShare));
}

void OverloadSimulation::schedule(Time at, Event::Kind kind, int subject)
{
    const int attempt = kind == Event::Kind::Turn ? 0 : m_callers[std::size_t(subject)].attempt;
    m_events.push({at, m_nextEvent++, kind, subject, attempt});
}

double OverloadSimulation::run(double rate, Duration length)
{
    m_run += 1;
    m_served = m_read = m_readServed = 0;
    const int count = int(rate * double(length.count()) / 1e6);
    const Time end = m_now + length;
    for (int i = 0; i < count; ++i) {
        m_callers.push_back({Time {}, m_run, 0, false, false});
        schedule(m_now + length * i / count, Event::Kind::Attempt, int(m_callers.size()) - 1);
    }
    while (!m_events.empty() && m_events.top().at < end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.at);
        handle(event);
    }
    m_now = end;
    return double(m_served) / count;
}

double OverloadSimulation::servedOfRead() const
{
    return m_read == 0 ? 0 : double(m_readServed) / m_read;
}

void OverloadSimulation::standStill(Duration length)
{
    m_stillUntil = m_now + length;
}

void OverloadSimulation::handle(const Event &event)
{
    if (event.kind == Event::Kind::Turn)
        return takeTurn(std::size_t(event.subject));
    Caller &caller = m_callers[std::size_t(event.subject)];
    if (caller.settled || caller.attempt != event.attempt)
        return;
    switch (event.kind) {
    case Event::Kind::Attempt:
        return attempt(event.subject);
    case Event::Kind::Leave:
        return turnAway(event.subject, event.at);
    default:
        caller.settled = true;
        m_served += caller.run == m_run ? 1 : 0;
        return;
    }
}

void OverloadSimulation::attempt(int number)
{
    Caller &caller = m_callers[std::size_t(number)];
    caller.attempt += 1;
    caller.leavesAt = m_now + m_settings.patience;
    std::size_t chosen =
        std::uniform_int_distribution<std::size_t>(0, m_instances.size() - 1)(m_random);
    if (m_now < m_firstOnlyUntil
        || (caller.attempt == 1 && std::bernoulli_distribution(m_settings.skew)(m_random)))
        chosen = 0;
    Instance &instance = m_instances[chosen];
    if (!instance.listens)
        return turnAway(number, m_now);
    schedule(caller.leavesAt, Event::Kind::Leave, number);
    // A connection that does not fit into the backlog is not answered, and its caller waits.
    if (m_settings.order == Order::NewestFirst
        && instance.backlog.size() >= std::size_t(instance.gate.backlog(m_now)))
        return;
    instance.backlog.push_back(number);
    if (!std::exchange(instance.turnScheduled, true))
        schedule(chosen == 0 ? std::max(m_now, m_stillUntil) : m_now, Event::Kind::Turn,
                 int(chosen));
}

/// The attempt of the caller has failed at \a at.
void OverloadSimulation::turnAway(int number, Time at)
{
    Caller &caller = m_callers[std::size_t(number)];
    if (caller.attempt < Attempts)
        schedule(at, Event::Kind::Attempt, number);
    else
        caller.settled = true;
}

bool OverloadSimulation::hasLeft(int caller, Time now) const
{
    return m_callers[std::size_t(caller)].settled || m_callers[std::size_t(caller)].leavesAt <= now;
}

std::optional<int> OverloadSimulation::takeNext(Instance &instance, Time &now)
{
    if (m_settings.order == Order::OldestFirst) {
        if (instance.inOrder.empty())
            return std::nullopt;
        const int oldest = instance.inOrder.front();
        instance.inOrder.pop_front();
        return oldest;
    }
    while (const auto expired = instance.waiting.takeExpired(now)) {
        if (!hasLeft(*expired, now))
            turnAway(*expired, now);
        now += cost(CloseCost);
        instance.gate.recordExpired(now);
    }
    while (const auto newest = instance.waiting.takeNewest()) {
        if (!hasLeft(*newest, now))
            return newest;
        now += cost(CloseCost);
    }
    return std::nullopt;
}

void OverloadSimulation::takeTurn(std::size_t number)
{
    Instance &instance = m_instances[number];
    Time now = m_now;
    for (const int each : std::exchange(instance.backlog, {})) {
        now += cost(AcceptCost);
        if (m_settings.order == Order::OldestFirst)
            instance.inOrder.push_back(each);
        else
            instance.waiting.add(each, now);
    }
    if (const auto next = takeNext(instance, now)) {
        now += cost(RequestCost);
        Caller &caller = m_callers[std::size_t(*next)];
        const bool served = !hasLeft(*next, now + EndpointTime);
        if (served)
            schedule(now + EndpointTime, Event::Kind::Served, *next);
        if (!std::exchange(caller.read, true) && caller.run == m_run) {
            m_read += 1;
            m_readServed += served ? 1 : 0;
        }
    }
    if (m_settings.order == Order::NewestFirst) {
        instance.listens = instance.gate.update(instance.waiting.size(), now);
        if (!instance.listens)
            for (const int each : std::exchange(instance.backlog, {}))
                turnAway(each, now);
    }
    const bool more =
        !instance.backlog.empty() || instance.waiting.size() > 0 || !instance.inOrder.empty();
    // The processor is busy until now, whether or not there is more work.
    instance.turnScheduled = more || now > m_now;
    if (instance.turnScheduled)
        schedule(now, Event::Kind::Turn, int(number));
}

} // namespace balsamloft
