#include "plannedwork.h"

#include "../common/ports.h"
#include "instances.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace asio = boost::asio;
namespace json = boost::json;

namespace balsamloft::soak {

namespace {

// Of the rules on requests without an answer.

/// A request that is this old when its connection ends has certainly reached the instance.
constexpr Milliseconds LossSlack {200};
/// Time until a change is in force.
constexpr Milliseconds ApplyTime {2'000};
constexpr Milliseconds AfterWindow {1'000};
/// A stop may cut requests that were sent no later than this after the signal.
constexpr Milliseconds EarlyInStop {3'000};
/// At the end of the grace period, a stop may cut work that is still in progress.
constexpr double CutShare = 5.0 / 6.0;

/// Beside a new configuration, requests may be lost up to this many times as often as at other
/// times.
constexpr std::size_t MaxRatioBesideConfiguration = 3;
/// Requests that were passed on and lost, at any time.
constexpr std::size_t MaxLostAfterExecution = 3;

constexpr Milliseconds PollInterval {20};
constexpr int NormalExit = 0;
constexpr int KilledExit = 128 + SIGKILL;
constexpr int ShortestTimeoutMs = 15'000; ///< of routes
constexpr int EndpointSlots = 1'000;
constexpr int EndpointsPerService = 3;
constexpr std::size_t MaxListed = 25; ///< lines of one kind in a report
constexpr std::uint64_t RequestsPerGroup = 100'000'000;

int draw(std::mt19937_64 &random, int from, int to)
{
    return std::uniform_int_distribution<int>(from, to)(random);
}

template<typename Value, std::size_t Size>
Value drawOne(std::mt19937_64 &random, const Value (&values)[Size])
{
    return values[random() % Size];
}

std::int64_t milliseconds(Clock::duration time)
{
    return std::chrono::duration_cast<Milliseconds>(time).count();
}

std::string_view endName(const Attempt &attempt)
{
    switch (attempt.end) {
    case ConnectionEnd::Reset:
        return "reset";
    case ConnectionEnd::TimedOut:
        return "no answer";
    default:
        return "closed";
    }
}

} // namespace

PlannedWork::PlannedWork(PlannedWorkSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_cores(chooseCores(settings.seed, settings.cores))
    , m_store(m_context)
{
    std::string name = std::filesystem::temp_directory_path() / "soak-XXXXXX";
    m_directory = ::mkdtemp(name.data());
    m_view.idleTimeoutMs = m_configuration.idleTimeoutMs;
    writeConfiguration();
    makeEndpoints();
    makeInstances();
    makeCallers();
}

PlannedWork::~PlannedWork()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

void PlannedWork::logEvent(const std::string &event)
{
    m_events.push_back(std::to_string(milliseconds(Clock::now() - m_begin)) + " ms " + event);
}

void PlannedWork::makeEndpoints()
{
    for (const std::string service : {"model", "plain", "other"})
        for (int i = 0; i < EndpointsPerService; ++i) {
            m_endpoints.push_back(std::make_unique<Endpoint>(
                m_context, m_store, m_record, service + std::to_string(i), service,
                i % 2 == 0 ? "north" : "south", m_random()));
            m_endpoints.back()->offerSlots(EndpointSlots);
        }
}

void PlannedWork::makeInstances()
{
    constexpr double FirstRetryRatio = 0.2;
    m_instances.resize(static_cast<std::size_t>(m_settings.instances));
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Instance &each = m_instances[i];
        each.name = "entry-" + std::to_string(i);
        each.readiness = testsuite::freeAddress();
        each.flagFile = m_directory + "/" + each.name;
        each.grace = m_settings.grace;
        auto target = std::make_unique<CallerTarget>();
        target->name = each.name;
        target->address = testsuite::freeAddress();
        each.arguments = {"--name=" + each.name,
                          std::string("--domain=") + (i % 2 == 0 ? "north" : "south"),
                          "--listen=" + target->address,
                          "--ready_listen=" + each.readiness,
                          "--peer_listen=" + testsuite::freeAddress(),
                          "--forward_listen=" + testsuite::freeAddress(),
                          "--store=" + m_store.address(),
                          "--flagfile=" + each.flagFile};
        m_view.targets.push_back(std::move(target));
        writeFlags(each, FirstRetryRatio);
        each.process = startInstance(each.arguments, m_cores);
    }
}

void PlannedWork::makeCallers()
{
    for (int i = 0; i < m_settings.callerThreads; ++i)
        m_callers.push_back(std::make_unique<CallerGroup>(
            m_view, 1 + static_cast<std::uint64_t>(i + 1) * RequestsPerGroup, m_random()));
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        for (int n = 0; n < m_settings.callers; ++n)
            m_callers[static_cast<std::size_t>(n) % m_callers.size()]->add(i);
}

/// Starts the next process of an instance, while the endpoints and the store go on.
awaitable<void> PlannedWork::startAgain(std::size_t index)
{
    Instance &instance = m_instances[index];
    instance.formerOutput += instance.process->output();
    instance.process =
        co_await runApart([this, &instance] { return startInstance(instance.arguments, m_cores); });
}

void PlannedWork::writeFlags(const Instance &instance, double retryRatio)
{
    std::ofstream(instance.flagFile)
        << "--grace_s=" << static_cast<double>(instance.grace.count()) / 1000
        << "\n--retry_ratio=" << retryRatio << "\n--retry_slack=300\n";
}

std::vector<std::string> PlannedWork::run()
{
    asio::co_spawn(m_context, runPhases(), [](const std::exception_ptr &error) {
        if (error)
            std::rethrow_exception(error);
    });
    m_context.run();
    for (const auto &group : m_callers)
        group->finish();
    m_busyThreads.clear();
    judge();
    return m_record.check();
}

void PlannedWork::spawn(awaitable<void> work)
{
    m_running += 1;
    asio::co_spawn(m_context, std::move(work), [this](const std::exception_ptr &error) {
        m_running -= 1;
        if (error)
            std::rethrow_exception(error);
    });
}

awaitable<void> PlannedWork::runPhases()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        co_await waitUntilReady(i);
    m_begin = Clock::now();
    m_busyThreads = startBusyThreads(m_settings.busy, m_cores);
    asio::co_spawn(m_context, m_delay.watch(), asio::detached);
    for (const auto &group : m_callers)
        group->start();
    spawn(runStops(m_random()));
    spawn(runReloads(m_random()));
    spawn(runOperator(m_random()));
    co_await pause(std::chrono::duration_cast<Milliseconds>(m_settings.length));
    m_stopping = true;
    while (m_running > 0)
        co_await pause(PollInterval);
    // Callers use their connections until all processes are gone.
    logEvent("all stopped");
    m_view.ending = true;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        spawn(stop(i));
    while (m_running > 0)
        co_await pause(PollInterval);
    m_context.stop();
}

// Stops

std::vector<std::size_t> PlannedWork::chooseForStop(std::mt19937_64 &random,
                                                    std::string &manner) const
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        if (!m_instances[i].stopping)
            candidates.push_back(i);
    std::shuffle(candidates.begin(), candidates.end(), random);
    static constexpr std::string_view Manners[] = {"one", "together", "in turn", "busiest first"};
    const std::size_t kind = random() % std::size(Manners);
    manner = Manners[kind];
    if (kind == 3)
        std::stable_sort(candidates.begin(), candidates.end(), [this](auto first, auto second) {
            return m_view.targets[first]->inProgress > m_view.targets[second]->inProgress;
        });
    const std::size_t most = kind == 0 ? 1 : std::max<std::size_t>(1, m_instances.size() / 2);
    const auto count = kind == 0 ? 1 : static_cast<std::size_t>(draw(random, 1, int(most)));
    candidates.resize(std::min(candidates.size(), count));
    return candidates;
}

awaitable<void> PlannedWork::runStops(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (!m_stopping) {
        co_await pause(Milliseconds(draw(random, 300, 2'000)));
        std::string manner;
        const auto chosen = chooseForStop(random, manner);
        const int interval = manner == "in turn" ? draw(random, 50, 600) : 0;
        const Milliseconds away(draw(random, 0, 800));
        std::string names;
        Milliseconds delay(0);
        for (const std::size_t each : chosen) {
            names += " " + m_instances[each].name;
            m_instances[each].stopping = true;
            spawn(restart(each, delay, away));
            delay += Milliseconds(interval);
        }
        if (!chosen.empty())
            logEvent("stopped, " + manner + ":" + names);
    }
}

awaitable<void> PlannedWork::restart(std::size_t index, Milliseconds delay, Milliseconds away)
{
    co_await pause(delay);
    co_await stop(index);
    co_await pause(away);
    co_await startAgain(index);
    co_await waitUntilReady(index);
    m_view.targets[index]->inRotation = true;
    m_instances[index].stopping = false;
}

/// Sends SIGTERM, and SIGKILL if the process is still there after its grace period.
awaitable<void> PlannedWork::stop(std::size_t index)
{
    Instance &instance = m_instances[index];
    instance.stopping = true;
    m_stops += 1;
    instance.process->signal(SIGTERM);
    const auto at = Clock::now();
    const Milliseconds grace = instance.grace;
    m_windows.push_back({Cause::Stop, index, at, grace});
    spawn(leaveRotation(index, Milliseconds(1'000 + at.time_since_epoch().count() % 1'000)));
    bool killed = false;
    while (instance.process->running()) {
        if (!killed && Clock::now() - at > grace) {
            killed = true;
            m_killed += 1;
            logEvent(instance.name + " killed at the end of its grace period");
            instance.process->signal(SIGKILL);
        }
        co_await pause(PollInterval);
    }
    const int code = co_await runApart([&instance] { return instance.process->wait(); });
    if (code != (killed ? KilledExit : NormalExit) && !(killed && code == NormalExit))
        m_record.addViolation(instance.name + " exited with " + std::to_string(code));
    if (!killed)
        checkStopLine(instance, instance.process->output());
}

/// The load balancer notices a stop a while after its beginning.
awaitable<void> PlannedWork::leaveRotation(std::size_t index, Milliseconds delay)
{
    co_await pause(delay);
    m_view.targets[index]->inRotation = !m_instances[index].stopping;
}

awaitable<void> PlannedWork::waitUntilReady(std::size_t index)
{
    const bool ready = co_await soak::waitUntilReady(m_instances[index].readiness);
    if (!ready)
        m_record.addViolation("not ready: " + m_instances[index].name);
}

void PlannedWork::checkStopLine(const Instance &instance, const std::string &output)
{
    static constexpr std::string_view Line = R"("part":"callers","event":"stopped")";
    const std::size_t at = output.rfind(Line);
    if (at == std::string::npos)
        return m_record.addViolation("no line on callers at the stop of " + instance.name);
    const std::size_t begin = output.rfind('\n', at) + 1;
    const std::string line = output.substr(begin, output.find('\n', at) - begin);
    const json::object fields = json::parse(line).as_object();
    const auto count = [&](std::string_view name) { return fields.at(name).to_number<int>(); };
    const int told = count("answered") + count("truncated") + count("abandoned");
    if (count("unanswered") != 0 || told != count("read"))
        m_record.addViolation("requests without an answer in the log of a stop: " + line);
}

// New flags

awaitable<void> PlannedWork::runReloads(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (!m_stopping) {
        co_await pause(Milliseconds(draw(random, 500, 3'000)));
        const bool all = draw(random, 0, 3) == 0;
        const std::size_t chosen = random() % m_instances.size();
        logEvent("new flags: " + (all ? "all" : m_instances[chosen].name));
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            if (all || i == chosen)
                reload(i, random);
    }
}

/// Changes flags. An instance that is stopping keeps its grace period: the one who stops it has
/// announced when it ends.
void PlannedWork::reload(std::size_t index, std::mt19937_64 &random)
{
    static constexpr double Ratios[] = {0.05, 0.2, 0.5};
    static constexpr double GraceShares[] = {0.8, 1, 1.2};
    Instance &instance = m_instances[index];
    const double ratio = drawOne(random, Ratios);
    const double share = drawOne(random, GraceShares);
    if (!instance.stopping)
        instance.grace = std::chrono::duration_cast<Milliseconds>(m_settings.grace * share);
    writeFlags(instance, ratio);
    // Before it is ready, a process may not handle the signal yet, and would end.
    if (!instance.process->running() || !m_view.targets[index]->inRotation)
        return;
    instance.process->signal(SIGHUP);
    m_reloads += 1;
    m_windows.push_back({Cause::Reload, index, Clock::now()});
}

// New configurations

PlannedWork::Configuration PlannedWork::drawConfiguration(std::mt19937_64 &random) const
{
    static constexpr int IdleTimeouts[] = {2'000, 4'000, 8'000};
    static constexpr int HeaderTimeouts[] = {2'000, 3'000, 6'000};
    static constexpr int Timeouts[] = {ShortestTimeoutMs, 20'000, 30'000};
    Configuration next = m_configuration;
    next.version += draw(random, 1, 3);
    switch (draw(random, 0, 4)) {
    case 0:
        next.headerTimeoutMs = drawOne(random, HeaderTimeouts);
        break;
    case 1:
        next.timeoutMs = drawOne(random, Timeouts);
        break;
    case 2:
        next.safeService = next.safeService == "plain" ? "other" : "plain";
        break;
    case 3:
        next.extraRoute = !next.extraRoute;
        break;
    default:
        next.idleTimeoutMs = drawOne(random, IdleTimeouts);
    }
    return next;
}

void PlannedWork::writeConfiguration()
{
    const Configuration &now = m_configuration;
    json::array routes;
    const auto add = [&](std::string_view name, std::string_view kind, std::string_view service) {
        routes.push_back({{"name", name},
                          {"host", "h"},
                          {"prefix", "/" + std::string(name) + "/"},
                          {"kind", kind},
                          {"timeout_ms", now.timeoutMs},
                          {"service", service}});
    };
    add("safe", "safe", now.safeService);
    add("unsafe", "unsafe", "plain");
    add("stream", "stream", "model");
    if (now.extraRoute)
        add("extra", "safe", "other");
    const json::object row {
        {"version", now.version},
        {"keys", {{"good-key", "team-a"}}},
        {"services",
         {{{"name", "plain"}}, {{"name", "other"}}, {{"name", "model"}, {"layers", 4}}}},
        {"limits",
         {{"idle_timeout_ms", now.idleTimeoutMs}, {"header_timeout_ms", now.headerTimeoutMs}}},
        {"routes", routes}};
    m_store.tables().put("configuration", "current", json::serialize(row));
}

awaitable<void> PlannedWork::runOperator(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (!m_stopping) {
        co_await pause(Milliseconds(draw(random, 400, 3'000)));
        m_configuration = drawConfiguration(random);
        const Configuration &now = m_configuration;
        logEvent("version " + std::to_string(now.version) + ": idle timeout "
                 + std::to_string(now.idleTimeoutMs) + ", header timeout "
                 + std::to_string(now.headerTimeoutMs) + ", timeout "
                 + std::to_string(now.timeoutMs) + ", safe at " + now.safeService
                 + (now.extraRoute ? ", extra route" : ""));
        // Callers stop to rely on a longer timeout before it is gone.
        m_view.idleTimeoutMs = std::min(m_view.idleTimeoutMs.load(), now.idleTimeoutMs);
        m_windows.push_back({Cause::Configuration, std::nullopt, Clock::now()});
        writeConfiguration();
        m_view.extraRoute = now.extraRoute;
        spawn(announceIdleTimeout(now.version, now.idleTimeoutMs));
    }
}

awaitable<void> PlannedWork::announceIdleTimeout(int version, int idleTimeoutMs)
{
    co_await pause(ApplyTime);
    if (m_configuration.version == version)
        m_view.idleTimeoutMs = idleTimeoutMs;
}

// Judgement

bool PlannedWork::covers(const Window &window, const Attempt &attempt) const
{
    if (window.instance && *window.instance != attempt.target)
        return false;
    const bool endsAfter = attempt.endedAt >= window.at;
    switch (window.cause) {
    case Cause::Stop:
        return endsAfter && attempt.endedAt <= window.at + window.grace + AfterWindow;
    case Cause::Reload:
        return endsAfter && attempt.sentAt <= window.at + ApplyTime;
    case Cause::Configuration:
        return endsAfter && attempt.endedAt <= window.at + ApplyTime + AfterWindow;
    }
    return false;
}

bool PlannedWork::mayBeCut(const Attempt &attempt) const
{
    return std::any_of(m_windows.begin(), m_windows.end(), [&](const Window &each) {
        const auto lastPart =
            each.at + std::chrono::duration_cast<Milliseconds>(each.grace * CutShare);
        // What an endpoint has written may wait in its own thread.
        const bool wasAtWork = m_record.wasExecuted(attempt.id)
                               && !m_record.wasFinished(attempt.id, lastPart - m_delay.longest());
        return each.cause == Cause::Stop && covers(each, attempt)
               && attempt.sentAt <= each.at + EarlyInStop && attempt.endedAt >= lastPart
               && wasAtWork;
    });
}

bool PlannedWork::ranOutOfTime(const Attempt &attempt) const
{
    const Milliseconds limit = std::min(attempt.deadline, Milliseconds(ShortestTimeoutMs));
    return attempt.end == ConnectionEnd::Finished && attempt.endedAt - attempt.sentAt >= limit
           && m_record.wasExecuted(attempt.id)
           && !m_record.wasFinished(attempt.id, attempt.endedAt);
}

std::string PlannedWork::explain(const Attempt &attempt) const
{
    static constexpr std::string_view Names[] = {"SIGTERM", "SIGHUP", "new configuration"};
    std::string text;
    for (const Window &each : m_windows)
        if (covers(each, attempt))
            text += (text.empty() ? "" : ", ")
                    + std::to_string(milliseconds(attempt.endedAt - each.at)) + " ms after "
                    + std::string(Names[static_cast<std::size_t>(each.cause)]);
    return text.empty() ? "no planned work" : text;
}

void PlannedWork::judgeUnanswered(const Attempt &attempt, Tally &tally)
{
    const bool executed = m_record.wasExecuted(attempt.id);
    if (mayBeCut(attempt)) {
        m_cut += 1;
        return;
    }
    if (ranOutOfTime(attempt)) {
        m_outOfTime += 1;
        return;
    }
    if (!executed && attempt.age <= LossSlack) {
        m_crossed += 1;
        return;
    }
    tally.executed += executed ? 1 : 0;
    tally.lost.push_back(std::to_string(milliseconds(attempt.endedAt - m_begin)) + " ms "
                         + std::string(endName(attempt)) + ": " + attempt.id + " " + attempt.path
                         + ", " + std::to_string(milliseconds(attempt.endedAt - attempt.sentAt))
                         + " ms old (at least " + std::to_string(attempt.age.count()) + "), rested "
                         + std::to_string(attempt.rested.count()) + ", "
                         + (executed ? "executed" : "not executed") + ", status "
                         + std::to_string(attempt.exchange.status) + ", " + explain(attempt));
}

PlannedWork::Beside PlannedWork::besideOf(const Attempt &attempt) const
{
    Beside beside = Beside::Nothing;
    for (const Window &each : m_windows)
        if (covers(each, attempt))
            beside = std::max(beside, each.cause == Cause::Configuration ? Beside::Configuration
                                                                         : Beside::StopOrReload);
    return beside;
}

void PlannedWork::addLost(const Tally &tally)
{
    for (std::size_t i = 0; i < std::min(tally.lost.size(), MaxListed); ++i)
        m_record.addViolation("no complete answer: " + tally.lost[i]);
    if (tally.lost.size() > MaxListed)
        m_record.addViolation("no complete answer: " + std::to_string(tally.lost.size())
                              + " in all");
}

void PlannedWork::judgeTallies()
{
    const Tally &calm = tally(Beside::Nothing);
    const Tally &beside = tally(Beside::Configuration);
    addLost(tally(Beside::StopOrReload));
    const bool oftenPassedOn = calm.executed + beside.executed > MaxLostAfterExecution;
    if (oftenPassedOn
        || beside.lost.size() * calm.requests
               > MaxRatioBesideConfiguration * calm.lost.size() * beside.requests)
        addLost(beside);
    if (oftenPassedOn)
        addLost(calm);
}

void PlannedWork::judge()
{
    std::size_t foundClosed = 0;
    Milliseconds delay(0);
    for (const auto &group : m_callers) {
        foundClosed += group->foundClosed();
        delay = std::max(delay, group->longestDelay());
        for (Attempt &attempt : group->takeAttempts()) {
            Tally &counted = tally(besideOf(attempt));
            counted.requests += 1;
            if (!attempt.exchange.complete)
                judgeUnanswered(attempt, counted);
            if (attempt.moreThanAnswered)
                m_record.addViolation("unexpected bytes after an answer: " + attempt.id);
            m_record.received(attempt.id, std::move(attempt.exchange));
        }
    }
    judgeTallies();
    m_summary =
        m_record.summary() + "; " + std::to_string(m_stops) + " stops (" + std::to_string(m_killed)
        + " killed), " + std::to_string(m_reloads) + " reloads, version "
        + std::to_string(m_configuration.version) + "; lost "
        + std::to_string(tally(Beside::StopOrReload).lost.size()) + " beside stops and new flags, "
        + std::to_string(tally(Beside::Configuration).lost.size()) + " beside configurations, "
        + std::to_string(tally(Beside::Nothing).lost.size()) + " at other times; "
        + std::to_string(m_cut) + " cut at the end of a stop, " + std::to_string(m_outOfTime)
        + " out of time, " + std::to_string(m_crossed) + " crossed a close, "
        + std::to_string(foundClosed) + " found closed at rest; own delay of callers up to "
        + std::to_string(delay.count()) + " ms, of endpoints "
        + std::to_string(m_delay.longest().count()) + " ms";
}

void PlannedWork::saveLogs(const std::string &directory) const
{
    for (const Instance &each : m_instances)
        std::ofstream(directory + "/" + each.name + ".log")
            << each.formerOutput << each.process->output();
}

} // namespace balsamloft::soak
