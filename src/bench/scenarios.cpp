#include "scenarios.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <numeric>

namespace balsamloft::bench {

using namespace fakes;

namespace {

constexpr std::uint32_t Speeds = 5;
constexpr Duration SlowestStep {36'000};
constexpr Duration WarmUp {2'000'000};

/// Returns engines that hold all layers and whose step time is 36 ms divided by 1 to 5.
std::vector<EngineSettings> fiveSpeeds(std::size_t count, std::uint32_t slots)
{
    std::vector<EngineSettings> engines(count);
    for (std::size_t i = 0; i < count; ++i) {
        engines[i].slots = slots;
        engines[i].queueLimit = 1;
        engines[i].stepTime = SlowestStep / static_cast<int>(i % Speeds + 1);
        engines[i].prefillPerToken = Duration(0);
        engines[i].keepLog = false;
    }
    return engines;
}

/// Returns the tokens per second that the engines can generate.
double capacity(std::span<const EngineSettings> engines)
{
    return std::accumulate(
        engines.begin(), engines.end(), 0.0, [](double sum, const EngineSettings &engine) {
            return sum + engine.slots * 1e6 / static_cast<double>(engine.stepTime.count());
        });
}

double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    const auto index =
        static_cast<std::size_t>(std::lround(fraction * static_cast<double>(values.size() - 1)));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

/// Submits requests at exponentially distributed intervals (a Poisson process).
class Arrivals
{
public:
    Arrivals(RouterHarness &harness, double perSecond, Time until, std::uint64_t seed,
             std::function<Request(std::mt19937_64 &)> make)
        : m_harness(harness)
        , m_gap(perSecond / 1e6)
        , m_until(until)
        , m_random(seed)
        , m_make(std::move(make))
    {
        next();
    }

private:
    void next()
    {
        const Time at = m_harness.now() + Duration(static_cast<std::int64_t>(m_gap(m_random)) + 1);
        if (at >= m_until)
            return;
        m_harness.at(at, [this] {
            m_harness.submit(m_count++ % routers(), m_make(m_random));
            next();
        });
    }
    std::size_t routers() const { return m_harness.routerCount(); }

    RouterHarness &m_harness;
    std::exponential_distribution<double> m_gap;
    Time m_until;
    std::mt19937_64 m_random;
    std::function<Request(std::mt19937_64 &)> m_make;
    std::size_t m_count = 0;
};

Request baseRequest(const RouterHarness &harness, std::uint32_t tokens, Duration deadline)
{
    Request request;
    request.target = "model";
    request.team = "team";
    request.maxTokens = tokens;
    request.deadline = harness.now() + deadline;
    request.priority = Priority::Normal;
    return request;
}

/// Returns a length between 0.5 and 1.5 times \a mean. Requests of equal length
/// would stay synchronized and finish in bursts, unlike real load.
std::uint32_t randomLength(std::uint32_t mean, std::mt19937_64 &random)
{
    return std::uniform_int_distribution<std::uint32_t>(mean / 2, mean + mean / 2)(random);
}

/// Returns the tokens generated in [from, to) for requests that were answered completely.
double usefulTokens(const RouterHarness &harness, Time from, Time to, Priority priority)
{
    double sum = 0;
    for (const auto &[id, record] : harness.records()) {
        if (!record.answer || record.request.priority != priority)
            continue;
        for (const auto &[at, token] : record.tokens)
            sum += at >= from && at < to ? 1 : 0;
    }
    return sum;
}

} // namespace

LoadResult runLoad(const LoadScenario &scenario)
{
    const auto engines = fiveSpeeds(scenario.engines, scenario.slots);
    HarnessSettings settings;
    settings.routers = scenario.routers;
    settings.reportLag = scenario.reportLag;
    settings.seed = scenario.seed;
    settings.router.routing.policy = scenario.policy;
    RouterHarness harness(settings, harnessConfig("model", 1, engines), engines);
    const Time start = harness.now();
    const Time end = start + scenario.length;
    const double perSecond = scenario.load * capacity(engines) / scenario.tokens;
    std::uint64_t number = 0;
    const Arrivals arrivals(harness, perSecond, end, scenario.seed, [&](std::mt19937_64 &random) {
        Request request =
            baseRequest(harness, randomLength(scenario.tokens, random), scenario.deadline);
        request.prompt = "p" + std::to_string(number++);
        return request;
    });
    harness.run(end + scenario.deadline);

    LoadResult result;
    const std::chrono::duration<double> window = end - start - WarmUp;
    result.usefulFraction = usefulTokens(harness, start + WarmUp, end, Priority::Normal)
                            / (capacity(engines) * window.count());
    std::vector<double> times;
    std::uint64_t unexecutedAttempts = 0;
    for (const auto &[id, record] : harness.records()) {
        if (record.answer)
            times.push_back(
                std::chrono::duration<double>(record.finishedAt - record.submittedAt).count());
    }
    for (std::size_t i = 0; i < scenario.routers; ++i) {
        const RouterCounters &counters = harness.router(i).counters();
        unexecutedAttempts += counters.unexecutedAttempts;
        result.refusedNotExecuted += counters.refusedNotExecuted;
        result.refusedOutcomeUnknown += counters.refusedOutcomeUnknown;
    }
    const auto offered = static_cast<double>(harness.records().size());
    result.answeredFraction = static_cast<double>(times.size()) / offered;
    result.unexecutedPerRequest = static_cast<double>(unexecutedAttempts) / offered;
    result.medianSeconds = percentile(times, 0.5);
    result.p95Seconds = percentile(times, 0.95);
    return result;
}

AlertResult runAlerts(std::uint32_t alertEndpoints, double load, std::uint64_t seed)
{
    std::vector<EngineSettings> engines(10);
    for (EngineSettings &engine : engines) {
        engine.slots = 16;
        engine.stepTime = Duration(20'000);
        engine.prefillPerToken = Duration(0);
        engine.keepLog = false;
    }
    HarnessSettings settings;
    settings.routers = 8;
    settings.seed = seed;
    settings.reportLag = Duration(200'000);
    RouterHarness harness(settings, harnessConfig("model", 1, engines, {}, false, alertEndpoints),
                          engines);
    const auto alert = [&](std::mt19937_64 &) {
        Request request = baseRequest(harness, 5, std::chrono::seconds(5));
        request.priority = Priority::Alert;
        request.prompt = "alert";
        return request;
    };
    const auto stepsToFirst = [&](Time from) {
        std::vector<double> steps;
        for (const auto &[id, record] : harness.records()) {
            if (record.request.priority != Priority::Alert || record.submittedAt < from)
                continue;
            const Duration wait = record.tokens.empty()
                                      ? Duration(std::chrono::seconds(5))
                                      : record.tokens.front().first - record.submittedAt;
            steps.push_back(static_cast<double>(wait.count()) / 20'000.0);
        }
        return steps;
    };

    const Time idleEnd = harness.now() + std::chrono::seconds(3);
    const Arrivals idleAlerts(harness, 20, idleEnd, seed, alert);
    harness.run(idleEnd);
    AlertResult result;
    auto idle = stepsToFirst(Time {});
    result.idleSteps = percentile(idle, 0.5);

    const Time start = harness.now();
    const Time end = start + std::chrono::seconds(15);
    std::uint64_t number = 0;
    const Arrivals batch(
        harness, load * capacity(engines) / 64, end, seed + 1, [&](std::mt19937_64 &random) {
            Request request =
                baseRequest(harness, randomLength(64, random), std::chrono::seconds(20));
            request.priority = Priority::Batch;
            request.prompt = "b" + std::to_string(number++);
            return request;
        });
    const Arrivals alerts(harness, 40, end, seed + 2, alert);
    harness.run(end + std::chrono::seconds(20));
    auto busy = stepsToFirst(start + std::chrono::seconds(4));
    result.p99Steps = percentile(busy, 0.99);
    result.batchFraction =
        usefulTokens(harness, start + std::chrono::seconds(4), end, Priority::Batch)
        / (capacity(engines) * 11);
    return result;
}

FairnessResult runFairness(std::size_t teams, std::uint64_t seed)
{
    std::vector<EngineSettings> engines(10);
    for (EngineSettings &engine : engines) {
        engine.slots = 16;
        engine.stepTime = Duration(20'000);
        engine.prefillPerToken = Duration(0);
        engine.keepLog = false;
    }
    std::vector<Team> list(teams);
    for (std::size_t i = 0; i < teams; ++i) {
        list[i].name = "t" + std::to_string(i);
        list[i].share = 0.9 / static_cast<double>(teams);
    }
    HarnessSettings settings;
    settings.routers = 4;
    settings.seed = seed;
    RouterHarness harness(settings, harnessConfig("model", 1, engines, list), engines);
    const Time start = harness.now();
    const Time end = start + std::chrono::seconds(20);
    // Team 0 offers twice the capacity of all engines. The other teams together offer 70 %
    // of the capacity, and each of them offers less than its share.
    const double requestCapacity = capacity(engines) / 16;
    std::uint64_t number = 0;
    const auto make = [&](std::string team) {
        Request request = baseRequest(harness, 16, std::chrono::seconds(5));
        request.team = std::move(team);
        request.prompt = "p" + std::to_string(number++);
        return request;
    };
    const Arrivals greedy(harness, 2 * requestCapacity, end, seed,
                          [&](std::mt19937_64 &) { return make("t0"); });
    std::uniform_int_distribution<std::size_t> pick(1, teams - 1);
    const Arrivals modest(
        harness, 0.7 * requestCapacity, end, seed + 1,
        [&](std::mt19937_64 &random) { return make("t" + std::to_string(pick(random))); });
    harness.run(end + std::chrono::seconds(5));

    std::map<std::string, std::pair<double, double>> byTeam; // offered, answered
    for (const auto &[id, record] : harness.records()) {
        if (record.submittedAt < start + WarmUp)
            continue;
        auto &[offered, answered] = byTeam[record.request.team];
        offered += 1;
        answered += record.answer ? 1 : 0;
    }
    FairnessResult result;
    double offered = 0;
    double answered = 0;
    for (const auto &[team, counts] : byTeam) {
        if (team == "t0")
            continue;
        offered += counts.first;
        answered += counts.second;
        result.worstModestLoss = std::max(result.worstModestLoss, 1 - counts.second / counts.first);
    }
    result.modestLoss = 1 - answered / offered;
    result.greedyFraction = byTeam["t0"].second / (answered + byTeam["t0"].second);
    result.usefulFraction =
        usefulTokens(harness, start + WarmUp, end, Priority::Normal) / (capacity(engines) * 18);
    return result;
}

PrefixResult runPrefixes(RoutingPolicy policy, std::uint64_t seed)
{
    constexpr std::size_t Prefixes = 400;
    constexpr std::size_t CachedPerEngine = 30;
    std::vector<EngineSettings> engines(20);
    for (EngineSettings &engine : engines) {
        engine.slots = 16;
        engine.stepTime = Duration(10'000);
        engine.prefillPerToken = Duration(200);
        engine.cachedPrefixes = CachedPerEngine;
        engine.keepLog = false;
    }
    HarnessSettings settings;
    settings.routers = 8;
    settings.seed = seed;
    settings.router.routing.policy = policy;
    RouterHarness harness(settings, harnessConfig("model", 1, engines), engines);
    const Time end = harness.now() + std::chrono::seconds(20);
    std::vector<double> weights(Prefixes);
    for (std::size_t i = 0; i < Prefixes; ++i)
        weights[i] = 1 / std::pow(static_cast<double>(i + 1), 0.9);
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    // The oracle is a single LRU cache as large as all engines' caches together.
    std::list<std::size_t> oracle;
    double oracleHits = 0;
    double count = 0;
    const Arrivals arrivals(
        harness, 0.6 * capacity(engines) / 16, end, seed, [&](std::mt19937_64 &random) {
            const std::size_t prefix = pick(random);
            const auto it = std::find(oracle.begin(), oracle.end(), prefix);
            oracleHits += it != oracle.end() ? 1 : 0;
            count += 1;
            if (it != oracle.end())
                oracle.erase(it);
            oracle.push_front(prefix);
            if (oracle.size() > CachedPerEngine * engines.size())
                oracle.pop_back();
            Request request = baseRequest(harness, 16, std::chrono::seconds(20));
            request.prompt = "prefix " + std::to_string(prefix) + std::string(256, '.');
            return request;
        });
    harness.run(end + std::chrono::seconds(5));
    double hits = 0;
    double prefills = 0;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        hits += static_cast<double>(harness.engine(i).model.prefixHits());
        prefills += static_cast<double>(harness.engine(i).model.prefills());
    }
    return {hits / prefills, oracleHits / count};
}

RecoveryResult runRecovery(Fault fault, std::uint64_t seed)
{
    // Four chains of three stages. Fault::LostThird kills 4 of the 12 engines.
    std::vector<EngineSettings> engines(12);
    for (std::size_t i = 0; i < engines.size(); ++i) {
        const auto first = static_cast<std::uint32_t>(i % 3 * 4);
        engines[i].layers = {first, first + 4};
        engines[i].slots = 32;
        engines[i].stepTime = Duration(10'000);
        engines[i].prefillPerToken = Duration(100);
        engines[i].cachedPrefixes = 0;
        engines[i].keepLog = false;
    }
    HarnessSettings settings;
    settings.routers = 4;
    settings.seed = seed;
    RouterHarness harness(settings, harnessConfig("model", 12, engines), engines);
    const Time end = harness.now() + std::chrono::seconds(20);
    std::uint64_t number = 0;
    const Arrivals arrivals(harness, 20, end, seed, [&](std::mt19937_64 &) {
        Request request = baseRequest(harness, 50, std::chrono::seconds(30));
        request.prompt = "prompt " + std::to_string(number++);
        return request;
    });
    const Time faultAt = harness.now() + std::chrono::seconds(10);
    harness.run(faultAt);
    switch (fault) {
    case Fault::KilledStage:
        harness.kill(1);
        break;
    case Fault::FrozenStage:
        harness.freeze(1, true);
        break;
    case Fault::SilentConnection:
        harness.engine(1).answersToDrop = 5;
        break;
    case Fault::LostThird:
        for (const std::size_t i : {0, 4, 8, 1})
            harness.kill(i);
        break;
    }
    harness.run(end + std::chrono::seconds(30));

    RecoveryResult result;
    std::vector<double> gaps;
    double answered = 0;
    for (const auto &[id, record] : harness.records()) {
        answered += record.answer ? 1 : 0;
        if (record.submittedAt >= faultAt || record.finishedAt < faultAt)
            continue;
        const auto next = std::find_if(record.tokens.begin(), record.tokens.end(),
                                       [&](const auto &token) { return token.first >= faultAt; });
        if (next == record.tokens.end())
            continue;
        // With an unresponsive connection, the longest pause may start some tokens after the fault.
        double longest = 0;
        Time previous = faultAt;
        for (auto it = next; it != record.tokens.end(); ++it) {
            longest = std::max(
                longest, std::chrono::duration<double, std::milli>(it->first - previous).count());
            previous = it->first;
        }
        if (record.attempts > 1)
            gaps.push_back(longest);
    }
    double retries = 0;
    for (std::size_t i = 0; i < settings.routers; ++i)
        retries += static_cast<double>(harness.router(i).counters().retries);
    const auto count = static_cast<double>(harness.records().size());
    result.completeFraction = answered / count;
    result.amplification = 1 + retries / count;
    result.affectedRequests = gaps.size();
    result.medianMillis = percentile(gaps, 0.5);
    result.worstMillis = percentile(gaps, 1);
    result.prefillMillis = 3 * 10.4 + 0.1 * 60;
    return result;
}

} // namespace balsamloft::bench
