#include "configurationsoak.h"

#include "../common/ports.h"
#include "instances.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>
#include <numeric>
#include <sstream>

namespace asio = boost::asio;
namespace json = boost::json;

namespace balsamloft::soak {

namespace {

// Of the rules on requests without an answer.

/// A request that is this old when its connection ends has certainly reached the instance.
constexpr Milliseconds LossSlack {200};
/// A kill in this time before a request may explain its end.
constexpr Milliseconds ContactTime {4'000};
/// Requests that end no later than this after a configuration count as beside it.
constexpr Milliseconds BesideTime {4'000};
/// An instance breaks the rule if it cuts more than this many times as often beside configurations.
constexpr double MaxRatio = 3;
constexpr double NearMissRatio = 2.5;

constexpr Milliseconds PollInterval {20};
constexpr Milliseconds MetricsInterval {500};
constexpr Milliseconds QuotaPeriod {100};
constexpr Milliseconds EndpointDowntime {700};
constexpr int Layers = 8;
constexpr int LayersPerEngine = 2;
constexpr int EnginesPerPath = Layers / LayersPerEngine;
constexpr int Teams = 24;
constexpr int SharedParts = 8;
constexpr int EndpointSlots = 64;
/// The shortest idle timeout that is ever in force.
constexpr int ShortestIdleTimeoutMs = 3'000;
constexpr std::uint64_t RequestsPerGroup = 100'000'000;
constexpr std::size_t MaxListed = 20; ///< cut requests in a report
constexpr std::size_t MaxLines = 4; ///< log lines of a cut request
constexpr std::size_t MaxLineLength = 900;

/// What healthy endpoints give no reason for.
constexpr std::string_view WatchedMetrics[] = {
    "requests_resent_total", "paths_changed_total", "endpoint_connections_forwarded_total",
    "streams_cut_short_total", "crashes_under_requests_total"};
constexpr std::pair<std::string_view, std::string_view> WatchedLines[] = {
    {"engine silent", R"("part":"engine","event":"silent")"},
    {"loop behind", R"("part":"loop","event":"behind")"},
    {"link broken", R"("part":"link","event":"broken")"},
    {"quarantine", R"("part":"quarantine")"}};

int draw(std::mt19937_64 &random, int from, int to)
{
    return std::uniform_int_distribution<int>(from, to)(random);
}

std::int64_t milliseconds(Clock::duration time)
{
    return std::chrono::duration_cast<Milliseconds>(time).count();
}

std::string_view domainOf(int index)
{
    return index % 2 == 0 ? "north" : "south";
}

json::object makeRoute(const std::string &name, std::string_view kind, std::string_view service,
                       int timeoutMs)
{
    return {{"name", name},
            {"host", "h"},
            {"prefix", "/" + name + "/"},
            {"kind", kind},
            {"timeout_ms", timeoutMs},
            {"service", service}};
}

} // namespace

ConfigurationSoak::ConfigurationSoak(ConfigurationSoakSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_cores(chooseCores(settings.seed, settings.cores))
    , m_store(m_context)
    , m_limited(static_cast<std::size_t>(settings.instances))
    , m_counts(static_cast<std::size_t>(settings.instances))
{
    m_view.idleTimeoutMs = ShortestIdleTimeoutMs;
    m_view.sharedParts = SharedParts;
    m_view.keys.clear();
    for (int i = 0; i < Teams; ++i)
        m_view.keys.push_back("key-" + std::to_string(i));
    m_configuration.routes = m_settings.routes;
    writeConfiguration();
    makeEndpoints();
    makeInstances();
    makeCallers();
}

void ConfigurationSoak::logEvent(const std::string &event)
{
    m_events.push_back(std::to_string(milliseconds(Clock::now() - m_begin)) + " ms " + event);
}

void ConfigurationSoak::makeEndpoints()
{
    constexpr int PlainEndpoints = 3;
    const auto add = [this](const std::string &service, int index, int domain) -> Endpoint & {
        m_endpoints.push_back(std::make_unique<Endpoint>(
            m_context, m_store, m_record, service + std::to_string(index), service,
            std::string(domainOf(domain)), m_random()));
        m_endpoints.back()->offerSlots(EndpointSlots);
        return *m_endpoints.back();
    };
    for (int i = 0; i < m_settings.engines; ++i) {
        const int begin = i % EnginesPerPath * LayersPerEngine;
        add("model", i, i / EnginesPerPath).holdLayers(begin, begin + LayersPerEngine);
    }
    for (const std::string service : {"plain", "other"})
        for (int i = 0; i < PlainEndpoints; ++i)
            add(service, i, i);
}

std::string ConfigurationSoak::addressWithBrokenLinks()
{
    constexpr int MaxSilent = 2;
    std::map<std::string, std::string> replaced;
    int silent = 0;
    for (const auto &each : m_endpoints) {
        if (draw(m_random, 0, 2) > 0)
            continue;
        std::string &address = replaced[each->link().address()];
        address = testsuite::freeAddress();
        if (silent++ >= MaxSilent)
            continue;
        m_silentLinks.push_back(std::make_unique<Link>(m_context, each->link().address()));
        m_silentLinks.back()->cut(CutManner::Silence);
        address = m_silentLinks.back()->address();
    }
    return m_store.addView(std::move(replaced));
}

void ConfigurationSoak::makeInstances()
{
    m_instances.resize(static_cast<std::size_t>(m_settings.instances));
    for (int i = 0; i < m_settings.instances; ++i) {
        Instance &each = m_instances[static_cast<std::size_t>(i)];
        each.name = "entry-" + std::to_string(i);
        each.readiness = testsuite::freeAddress();
        each.metrics = testsuite::freeAddress();
        auto target = std::make_unique<CallerTarget>();
        target->name = each.name;
        target->address = testsuite::freeAddress();
        const bool detours = m_settings.detours && i % 3 == 0;
        each.arguments = {"--name=" + each.name,
                          "--domain=" + std::string(domainOf(i)),
                          "--listen=" + target->address,
                          "--ready_listen=" + each.readiness,
                          "--metrics_listen=" + each.metrics,
                          "--peer_listen=" + testsuite::freeAddress(),
                          "--forward_listen=" + testsuite::freeAddress(),
                          "--store=" + (detours ? addressWithBrokenLinks() : m_store.address()),
                          "--retry_slack=300"};
        m_view.targets.push_back(std::move(target));
        each.process = startInstance(each.arguments, m_cores);
    }
}

void ConfigurationSoak::makeCallers()
{
    for (int i = 0; i < m_settings.callerThreads; ++i)
        m_callers.push_back(std::make_unique<CallerGroup>(
            m_view, 1 + static_cast<std::uint64_t>(i + 1) * RequestsPerGroup, m_random()));
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        for (int n = 0; n < m_settings.callers; ++n)
            m_callers[static_cast<std::size_t>(n) % m_callers.size()]->add(i);
}

std::vector<std::string> ConfigurationSoak::run()
{
    asio::co_spawn(m_context, runPhases(), [](const std::exception_ptr &error) {
        if (error)
            std::rethrow_exception(error);
    });
    m_context.run();
    for (const auto &group : m_callers)
        group->finish();
    judge();
    return m_record.check();
}

void ConfigurationSoak::spawn(awaitable<void> work)
{
    m_running += 1;
    asio::co_spawn(m_context, std::move(work), [this](const std::exception_ptr &error) {
        m_running -= 1;
        if (error)
            std::rethrow_exception(error);
    });
}

awaitable<void> ConfigurationSoak::runPhases()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const bool ready = co_await waitUntilReady(m_instances[i].readiness);
        if (!ready)
            m_record.addViolation("not ready: " + m_instances[i].name);
        m_limited[i] = m_instances[i].process->id();
    }
    m_begin = Clock::now();
    m_busyThreads = startBusyThreads(m_settings.busy, m_cores);
    if (m_settings.processorShare > 0)
        m_busyThreads.emplace_back(
            [this](const std::stop_token &stopped) { limitProcessors(stopped); });
    asio::co_spawn(m_context, m_delay.watch(), asio::detached);
    for (const auto &group : m_callers)
        group->start();
    spawn(watchMetrics());
    spawn(runOperator(m_random()));
    co_await pause(std::chrono::duration_cast<Milliseconds>(m_settings.length));
    m_stopping = true;
    while (m_running > 0)
        co_await pause(PollInterval);
    m_view.ending = true;
    m_end = Clock::now();
    m_busyThreads.clear();
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        addMetrics(m_instances[i]);
        kill(i);
    }
    for (Instance &each : m_instances)
        co_await runApart([&each] { return each.process->wait(); });
    m_context.stop();
}

// Configurations

void ConfigurationSoak::change(std::mt19937_64 &random)
{
    constexpr int LargestFactor = 6;
    constexpr int MostChangingKeys = 40;
    Configuration &next = m_configuration;
    next.version += 1;
    switch (draw(random, 0, 5)) {
    case 0:
        next.routes = draw(random, m_settings.routes, m_settings.routes * LargestFactor);
        break;
    case 1:
        next.timeoutMs = draw(random, 15'000, 30'000);
        break;
    case 2:
        next.safeService = next.safeService == "plain" ? "other" : "plain";
        break;
    case 3:
        next.extraRoute = !next.extraRoute;
        break;
    case 4:
        next.changingKeys = draw(random, 0, MostChangingKeys);
        break;
    default:
        next.idleTimeoutMs = draw(random, ShortestIdleTimeoutMs, 8'000);
    }
    m_versionsAt.push_back(Clock::now());
    writeConfiguration();
    m_view.extraRoute = next.extraRoute;
}

void ConfigurationSoak::writeConfiguration()
{
    const Configuration &now = m_configuration;
    json::array routes {makeRoute("safe", "safe", now.safeService, now.timeoutMs),
                        makeRoute("unsafe", "unsafe", "plain", now.timeoutMs),
                        makeRoute("stream", "stream", "model", now.timeoutMs)};
    if (now.extraRoute)
        routes.push_back(makeRoute("extra", "safe", "other", now.timeoutMs));
    for (int i = 0; i < now.routes; ++i) {
        const bool moved = (i + now.version) % 3 == 0;
        routes.push_back(makeRoute("route-" + std::to_string(i), "safe", moved ? "other" : "plain",
                                   now.timeoutMs));
    }
    json::object keys;
    for (int i = 0; i < Teams; ++i)
        keys["key-" + std::to_string(i)] = "team-" + std::to_string(i);
    for (int i = 0; i < now.changingKeys; ++i)
        keys["key-" + std::to_string(now.version) + "-" + std::to_string(i)] =
            "team-" + std::to_string(i % Teams);
    const json::object row {
        {"version", now.version},
        {"keys", keys},
        {"services",
         {{{"name", "plain"}}, {{"name", "other"}}, {{"name", "model"}, {"layers", Layers}}}},
        {"limits", {{"idle_timeout_ms", now.idleTimeoutMs}, {"header_timeout_ms", 3'000}}},
        {"routes", routes}};
    m_store.tables().put("configuration", "current", json::serialize(row));
}

/// Alternates between series of versions and times without any. Kills follow versions.
awaitable<void> ConfigurationSoak::runOperator(std::uint64_t seed)
{
    constexpr int VersionsPerKill = 8;
    std::mt19937_64 random(seed);
    while (!m_stopping) {
        const bool storm = draw(random, 0, 1) == 0;
        const auto until = Clock::now() + Milliseconds(draw(random, 2'000, 4'000));
        logEvent(storm ? "storm of versions" : "versions each second");
        const auto killNow = [&] {
            if (m_settings.kills && !m_killing && !m_stopping)
                spawn(runKills(random()));
        };
        while (Clock::now() < until && !m_stopping) {
            change(random);
            if (draw(random, 1, VersionsPerKill) == 1)
                killNow();
            co_await pause(Milliseconds(storm ? draw(random, 80, 300) : 1'000));
        }
        change(random);
        if (draw(random, 0, 3) > 0)
            killNow();
        logEvent("version " + std::to_string(m_configuration.version) + ", the last for a while");
        const auto quietUntil = Clock::now() + Milliseconds(draw(random, 5'000, 9'000));
        while (Clock::now() < quietUntil && !m_stopping)
            co_await pause(PollInterval);
    }
}

// Kills

awaitable<void> ConfigurationSoak::runKills(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    m_killing = true;
    co_await pause(Milliseconds(draw(random, 0, 400)));
    std::vector<std::size_t> chosen(m_instances.size());
    std::iota(chosen.begin(), chosen.end(), 0);
    std::shuffle(chosen.begin(), chosen.end(), random);
    switch (draw(random, 0, 3)) {
    case 0:
        chosen.resize(1);
        break;
    case 1:
        chosen.resize(std::max<std::size_t>(1, chosen.size() / 2));
        break;
    default:
        break;
    }
    const int span = draw(random, 0, 300);
    const bool withStore = draw(random, 0, 3) == 0;
    const bool withEndpoints = draw(random, 0, 3) == 0;
    logEvent("killed: " + std::to_string(chosen.size()) + " in " + std::to_string(span) + " ms"
             + (withStore ? ", store down" : "") + (withEndpoints ? ", endpoints too" : ""));
    for (const std::size_t each : chosen)
        spawn(killAndRestart(each, Milliseconds(draw(random, 0, span)),
                             Milliseconds(draw(random, 500, 1'500))));
    if (withStore)
        spawn(interruptStore(Milliseconds(draw(random, 300, 1'000))));
    for (std::size_t i = 0; withEndpoints && i < m_endpoints.size(); ++i)
        if (draw(random, 0, 3) == 0)
            spawn(restartEndpoint(i));
    while (std::any_of(m_instances.begin(), m_instances.end(),
                       [](const Instance &each) { return each.killed; }))
        co_await pause(PollInterval);
    m_killing = false;
}

awaitable<void> ConfigurationSoak::interruptStore(Milliseconds time)
{
    m_store.down = true;
    co_await pause(time);
    m_store.down = false;
}

awaitable<void> ConfigurationSoak::restartEndpoint(std::size_t index)
{
    m_endpointEnds[m_endpoints[index]->listedId()] = Clock::now();
    m_endpoints[index]->crash();
    co_await pause(EndpointDowntime);
    m_endpoints[index]->start();
}

void ConfigurationSoak::kill(std::size_t index)
{
    const std::scoped_lock lock(m_limitedMutex);
    m_instances[index].kills.push_back(Clock::now());
    m_instances[index].process->signal(SIGKILL);
    m_limited[index] = 0;
}

awaitable<void> ConfigurationSoak::killAndRestart(std::size_t index, Milliseconds delay,
                                                  Milliseconds away)
{
    Instance &instance = m_instances[index];
    instance.killed = true;
    co_await pause(delay);
    kill(index);
    m_view.targets[index]->inRotation = false;
    addMetrics(instance);
    co_await pause(away);
    co_await runApart([&instance] { return instance.process->wait(); });
    instance.formerOutput += instance.process->output();
    instance.process =
        co_await runApart([this, &instance] { return startInstance(instance.arguments, m_cores); });
    {
        const std::scoped_lock lock(m_limitedMutex);
        m_limited[index] = instance.process->id();
    }
    const bool ready = co_await waitUntilReady(instance.readiness);
    if (!ready)
        m_record.addViolation("not ready: " + instance.name);
    m_view.targets[index]->inRotation = true;
    instance.killed = false;
}

void ConfigurationSoak::limitProcessors(const std::stop_token &stopped)
{
    constexpr int Steps = 20;
    const auto signalAll = [this](int step) {
        const int running = static_cast<int>(m_settings.processorShare * Steps);
        const std::scoped_lock lock(m_limitedMutex);
        for (std::size_t i = 0; i < m_limited.size(); ++i) {
            const int own = (step + static_cast<int>(i) * Steps / int(m_limited.size())) % Steps;
            if (m_limited[i] != 0 && (own == 0 || own == running))
                ::kill(m_limited[i], own == 0 ? SIGCONT : SIGSTOP);
        }
    };
    auto next = Clock::now();
    for (int step = 0; !stopped.stop_requested(); step = (step + 1) % Steps) {
        signalAll(step);
        next += QuotaPeriod / Steps;
        std::this_thread::sleep_until(next);
    }
    const std::scoped_lock lock(m_limitedMutex);
    for (const pid_t each : m_limited)
        if (each != 0)
            ::kill(each, SIGCONT);
}

// What instances say of themselves

awaitable<void> ConfigurationSoak::watchMetrics()
{
    while (!m_stopping) {
        co_await pause(MetricsInterval);
        for (Instance &each : m_instances) {
            if (each.killed)
                continue;
            const testsuite::Process *process = each.process.get();
            const auto text = co_await get(each.metrics, "/metrics");
            if (text && process == each.process.get() && !each.killed)
                each.lastMetrics = *text;
        }
    }
}

/// Adds up what a process told last, once it is gone.
void ConfigurationSoak::addMetrics(Instance &instance)
{
    std::istringstream lines(std::exchange(instance.lastMetrics, {}));
    for (std::string line; std::getline(lines, line);)
        for (const std::string_view each : WatchedMetrics)
            if (line.starts_with("balsamloft_" + std::string(each) + " "))
                m_totals[std::string(each)] += std::stod(line.substr(line.rfind(' ')));
}

std::size_t ConfigurationSoak::countInLogs(std::string_view text) const
{
    std::size_t count = 0;
    for (const Instance &each : m_instances)
        for (const std::string &output : {each.formerOutput, each.process->output()})
            for (std::size_t at = output.find(text); at != std::string::npos;
                 at = output.find(text, at + 1))
                count += 1;
    return count;
}

std::string ConfigurationSoak::linesOf(const std::string &request) const
{
    const std::string wanted = '"' + request + '"';
    std::string text;
    for (const Instance &each : m_instances) {
        std::istringstream lines(each.formerOutput + each.process->output());
        std::size_t found = 0;
        for (std::string line; found < MaxLines && std::getline(lines, line);)
            if (line.find(wanted) != std::string::npos) {
                found += 1;
                text += "\n    " + line.substr(0, MaxLineLength);
            }
    }
    return text;
}

std::string ConfigurationSoak::totals() const
{
    std::string text;
    for (const std::string_view each : WatchedMetrics) {
        const auto found = m_totals.find(std::string(each));
        text += (text.empty() ? "" : ", ") + std::string(each) + " "
                + std::to_string(found == m_totals.end() ? 0 : std::int64_t(found->second));
    }
    for (const auto &[name, line] : WatchedLines)
        text += ", lines of " + std::string(name) + " " + std::to_string(countInLogs(line));
    return text;
}

// Judgement

bool ConfigurationSoak::isBesideConfiguration(const Attempt &attempt) const
{
    return std::any_of(m_versionsAt.begin(), m_versionsAt.end(), [&](const auto &at) {
        return at <= attempt.endedAt && attempt.endedAt <= at + BesideTime;
    });
}

ConfigurationSoak::Verdict ConfigurationSoak::judge(const Attempt &attempt) const
{
    if (attempt.exchange.complete)
        return Verdict::Answered;
    const auto &kills = m_instances[attempt.target].kills;
    if (std::any_of(kills.begin(), kills.end(), [&](const auto &at) {
            return attempt.sentAt - ContactTime <= at && at <= attempt.endedAt;
        }))
        return Verdict::AfterKill;
    const std::vector<std::string> executions = m_record.executionsOf(attempt.id);
    if (executions.empty())
        return attempt.age <= LossSlack ? Verdict::Crossed : Verdict::Cut;
    const auto end = m_endpointEnds.find(executions.back());
    const bool endpointEnded = end != m_endpointEnds.end() && attempt.sentAt <= end->second
                               && end->second <= attempt.endedAt;
    return endpointEnded ? Verdict::EndpointEnded : Verdict::Cut;
}

/// When each instance was killed, relative to the end of \a attempt.
std::string ConfigurationSoak::killsAround(const Attempt &attempt) const
{
    constexpr Milliseconds Before {2'000};
    constexpr Milliseconds After {500};
    std::string text;
    for (const Instance &each : m_instances)
        for (const auto &at : each.kills)
            if (attempt.endedAt - Before <= at && at <= attempt.endedAt + After)
                text += (text.empty() ? "" : ", ") + each.name + " "
                        + std::to_string(milliseconds(at - attempt.endedAt));
    return text.empty() ? "none" : text;
}

std::string ConfigurationSoak::describe(const Attempt &attempt) const
{
    std::string endpoints;
    for (const std::string &each : m_record.executionsOf(attempt.id)) {
        const auto end = m_endpointEnds.find(each);
        endpoints += " " + each;
        if (end != m_endpointEnds.end())
            endpoints +=
                " (ended " + std::to_string(milliseconds(end->second - attempt.endedAt)) + ")";
    }
    return std::to_string(milliseconds(attempt.endedAt - m_begin)) + " ms, " + attempt.id + " "
           + attempt.path + ", " + std::to_string(milliseconds(attempt.endedAt - attempt.sentAt))
           + " ms old (at least " + std::to_string(attempt.age.count()) + "), status "
           + std::to_string(attempt.exchange.status) + ", "
           + std::to_string(attempt.exchange.body.size()) + " bytes, "
           + (attempt.end == ConnectionEnd::Reset      ? "reset"
              : attempt.end == ConnectionEnd::TimedOut ? "no answer"
                                                       : "closed")
           + ", " + (isBesideConfiguration(attempt) ? "beside a configuration" : "at other times")
           + ", executed by:" + (endpoints.empty() ? " none" : endpoints)
           + ", kills (ms from its end): " + killsAround(attempt) + linesOf(attempt.id);
}

std::string ConfigurationSoak::ratios() const
{
    std::string text;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const auto &[other, beside] = m_counts[i];
        const auto rate = [](const Count &count) {
            return count.requests == 0 ? 0.0 : double(count.cut) / double(count.requests);
        };
        text += "\n  " + m_instances[i].name + ": cut " + std::to_string(beside.cut) + " of "
                + std::to_string(beside.requests) + " beside configurations, "
                + std::to_string(other.cut) + " of " + std::to_string(other.requests)
                + " at other times";
        if (beside.cut == 0)
            continue;
        const double ratio = other.cut == 0 ? HUGE_VAL : rate(beside) / rate(other);
        text += ", ratio " + std::to_string(ratio)
                + (ratio > MaxRatio        ? ", broken"
                   : ratio > NearMissRatio ? ", near miss"
                                           : "");
    }
    return text;
}

void ConfigurationSoak::judge()
{
    Milliseconds delay(0);
    std::size_t listed = 0;
    for (const auto &group : m_callers) {
        delay = std::max(delay, group->longestDelay());
        for (Attempt &attempt : group->takeAttempts()) {
            if (attempt.endedAt < m_end) {
                const Verdict verdict = judge(attempt);
                Count &count = m_counts[attempt.target][isBesideConfiguration(attempt) ? 1 : 0];
                m_verdicts[static_cast<std::size_t>(verdict)] += 1;
                count.requests += 1;
                count.cut += verdict == Verdict::Cut ? 1 : 0;
                if (verdict == Verdict::Cut && listed++ < MaxListed)
                    m_record.addViolation("cut: " + describe(attempt));
            }
            m_record.received(attempt.id, std::move(attempt.exchange));
        }
    }
    const auto count = [this](Verdict verdict) {
        return std::to_string(m_verdicts[static_cast<std::size_t>(verdict)]);
    };
    m_summary = m_record.summary() + "; version " + std::to_string(m_configuration.version) + "; "
                + count(Verdict::Cut) + " cut by instances that live, " + count(Verdict::AfterKill)
                + " by kills of their own, " + count(Verdict::EndpointEnded)
                + " as their endpoint ended, " + count(Verdict::Crossed) + " crossed a close; "
                + std::to_string(m_endpointEnds.size())
                + " ends of endpoints; own delay of callers up to " + std::to_string(delay.count())
                + " ms, of endpoints " + std::to_string(m_delay.longest().count()) + " ms\n  "
                + totals() + ratios();
}

void ConfigurationSoak::saveLogs(const std::string &directory) const
{
    for (const Instance &each : m_instances)
        std::ofstream(directory + "/" + each.name + "." + std::to_string(m_settings.seed) + ".log")
            << each.formerOutput << each.process->output();
}

} // namespace balsamloft::soak
