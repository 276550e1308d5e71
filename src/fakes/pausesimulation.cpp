#include "pausesimulation.h"

#include <algorithm>

namespace balsamloft::fakes {

namespace {

constexpr Duration Step {10'000};
constexpr Duration Latency {1'000}; ///< of a refusal
/// Requests that are under way when an endpoint announces a pause are not counted.
constexpr Duration GracePeriod {500'000};
constexpr int Unavailable = 503;

std::size_t countSince(const std::deque<Time> &times, Time begin)
{
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [begin](Time each) { return each > begin; }));
}

/// Removes and returns the items whose time \a at has come.
template<typename Item>
std::vector<Item> takeDue(std::vector<Item> &items, Time Item::*at, Time now)
{
    const auto due = std::stable_partition(items.begin(), items.end(),
                                           [&](const Item &each) { return each.*at > now; });
    std::vector<Item> taken(due, items.end());
    items.erase(due, items.end());
    return taken;
}

} // namespace

PauseSimulation::PauseSimulation(const PauseSimulationSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_open(settings.instances)
    , m_told(settings.instances)
    , m_running(settings.endpoints)
{
    const bool layered = settings.kind == RequestKind::Stream;
    std::vector<RelayEngine> endpoints;
    for (std::size_t i = 0; i < settings.endpoints; ++i)
        endpoints.push_back({"e" + std::to_string(i), layered ? LayerRange {0, 8} : LayerRange {},
                             "d" + std::to_string(i % settings.domains)});
    for (std::size_t i = 0; i < settings.instances; ++i) {
        RelaySettings relay = settings.relay;
        relay.domain = "d" + std::to_string(i % settings.domains);
        relay.seed = settings.seed * 1000 + i;
        m_harnesses.push_back(std::make_unique<RelayHarness>(endpoints, relay));
        m_harnesses.back()->relay.setInstances(settings.instances / settings.domains,
                                               settings.instances, m_now);
    }
}

void PauseSimulation::refuse(std::size_t count, Duration pause)
{
    m_refusing = count;
    m_maxRunning = 0;
    m_pause = pause;
}

void PauseSimulation::accept(std::size_t maxRunning)
{
    m_maxRunning = maxRunning;
}

void PauseSimulation::run(Duration length)
{
    for (const Time end = m_now + length; m_now < end; m_now += Step)
        step();
}

void PauseSimulation::step()
{
    for (const Call &each : takeDue(m_calls, &Call::answerAt, m_now))
        answer(each);
    for (const Return &each : takeDue(m_returns, &Return::at, m_now))
        submit(each.firstTryAt);
    std::poisson_distribution<int> arrivals(m_settings.requestsPerSecond
                                            * std::chrono::duration<double>(Step).count());
    for (int left = arrivals(m_random); left > 0; --left) {
        m_callers.submitted += 1;
        submit(m_now);
    }
    for (std::size_t i = 0; i < m_harnesses.size(); ++i) {
        m_harnesses[i]->advance(Step, Step);
        collect(i);
    }
}

void PauseSimulation::submit(Time firstTryAt)
{
    const std::size_t instance = m_random() % m_harnesses.size();
    const Duration left = m_settings.patience - (m_now - firstTryAt);
    const FlightId flight = m_harnesses[instance]->submit(m_settings.kind, left);
    m_open[instance][flight] = {firstTryAt, m_now};
    collect(instance);
}

void PauseSimulation::collect(std::size_t instance)
{
    while (!m_harnesses[instance]->actions.empty()) {
        const RelayActions actions = std::exchange(m_harnesses[instance]->actions, {});
        for (const RelayAction &action : actions) {
            if (const auto *send = std::get_if<SendRequest>(&action))
                sent(instance, *send);
            else if (const auto *finish = std::get_if<FinishFlight>(&action))
                finished(instance, *finish);
        }
    }
}

void PauseSimulation::sent(std::size_t instance, const SendRequest &send)
{
    const std::size_t endpoint = std::stoul(send.endpoint.substr(1));
    if (endpoint < m_refusing) {
        m_arrivals.push_back(m_now);
        const auto told = m_told[instance].find(endpoint);
        if (told != m_told[instance].end() && m_now >= told->second.at + GracePeriod
            && m_now < told->second.until)
            m_maxInPause = std::max(m_maxInPause, ++told->second.arrived);
    }
    const bool refused = endpoint < m_refusing && m_running[endpoint] >= m_maxRunning;
    if (!refused)
        m_running[endpoint] += 1;
    m_calls.push_back({instance, send.flight, send.attempt, endpoint, refused,
                       m_now + (refused ? Latency : m_settings.answerTime)});
}

void PauseSimulation::finished(std::size_t instance, const FinishFlight &finish)
{
    const auto open = m_open[instance].extract(finish.flight);
    if (open.empty())
        return;
    const Caller &caller = open.mapped();
    m_callers.refused += 1;
    m_callers.longestRefusal = std::max(m_callers.longestRefusal, m_now - caller.submittedAt);
    m_callers.shortestRetryAfter = std::min(m_callers.shortestRetryAfter, finish.retryAfter);
    const Time at = m_now + finish.retryAfter;
    if (finish.outcome == FlightOutcome::NotExecuted
        && at < caller.firstTryAt + m_settings.patience)
        m_returns.push_back({at, caller.firstTryAt});
    else
        m_callers.lost += 1;
}

void PauseSimulation::answer(const Call &call)
{
    RelayHarness &harness = *m_harnesses[call.instance];
    AnswerHead head;
    head.status = call.refused ? Unavailable : 200;
    head.provenExecuted = !call.refused;
    head.notExecuted = call.refused;
    if (call.refused) {
        head.announcement.retryAfter = m_pause;
        m_refusals.push_back(m_now);
        ToldPause &told = m_told[call.instance][call.endpoint];
        if (m_now >= told.until)
            told = {m_now, m_now + m_pause, 0};
    } else {
        m_running[call.endpoint] -= 1;
        if (const auto open = m_open[call.instance].extract(call.flight); !open.empty()) {
            m_callers.served += 1;
            m_callers.longestService =
                std::max(m_callers.longestService, m_now - open.mapped().firstTryAt);
        }
    }
    if (harness.relay.answered(call.flight, call.attempt, head, harness.now, harness.actions))
        harness.relay.streamCompleted(call.flight, call.attempt, harness.now, harness.actions);
    collect(call.instance);
}

std::size_t PauseSimulation::arrived(Duration length) const
{
    return countSince(m_arrivals, m_now - length);
}

std::size_t PauseSimulation::refusedByEndpoints(Duration length) const
{
    return countSince(m_refusals, m_now - length);
}

} // namespace balsamloft::fakes
