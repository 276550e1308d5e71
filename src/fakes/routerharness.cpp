#include "routerharness.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace json = boost::json;

namespace balsamloft::fakes {

std::string CallerRecord::text() const
{
    std::string text;
    for (const auto &[at, token] : tokens)
        text += token;
    return text;
}

RouterHarness::RouterHarness(HarnessSettings settings, ConfigPtr config,
                             std::vector<EngineSettings> engines)
    : m_settings(std::move(settings))
    , m_now(std::chrono::seconds(1))
{
    for (EngineSettings &engine : engines)
        m_engines.emplace_back(std::move(engine));
    m_sent.resize(m_engines.size());
    m_advanceAt.resize(m_engines.size());
    for (std::size_t i = 0; i < m_settings.routers; ++i) {
        ClaimSettings claims;
        claims.instance = "i" + std::to_string(i);
        m_routers.push_back(
            {Router(m_settings.router, m_settings.seed + i * 7919), ClaimManager(claims), {}});
    }
    for (std::size_t i = 0; i < m_routers.size(); ++i)
        withRouter(
            i, [&](Router &router, Actions &actions) { router.setConfig(config, m_now, actions); });
    // Endpoints are named e0, e1, ... after the engines.
    const LoadView &loads = m_routers.front().router.loads();
    m_engineOf.resize(loads.size());
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        m_engineOf[loads.find("e" + std::to_string(i))] = i;
}

template<typename Function>
void RouterHarness::withRouter(std::size_t router, Function function)
{
    Actions actions;
    function(m_routers[router].router, actions);
    perform(router, actions);
}

RequestId RouterHarness::submit(std::size_t router, Request request)
{
    const RequestId id = m_nextId++;
    request.id = id;
    CallerRecord &record = m_records[id];
    record.request = request;
    record.router = router;
    record.submittedAt = m_now;
    withRouter(router, [&](Router &target, Actions &actions) {
        target.submit(std::move(request), m_now, actions);
    });
    return id;
}

void RouterHarness::at(Time at, std::function<void()> action)
{
    m_events.push({std::max(at, m_now), m_order++, std::move(action)});
}

void RouterHarness::run(Time until)
{
    while (!m_events.empty() && m_events.top().at <= until) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = until;
}

void RouterHarness::scheduleWakeup(std::size_t router)
{
    Instance &instance = m_routers[router];
    Time next = Time::max();
    if (const auto wakeup = instance.router.nextWakeup())
        next = *wakeup;
    if (const auto wakeup = instance.claims.nextWakeup())
        next = std::min(next, *wakeup);
    if (next == Time::max() || (instance.wakeAt > m_now && instance.wakeAt <= next))
        return;
    next = std::max(next, m_now + Duration(1));
    instance.wakeAt = next;
    at(next, [this, router, next] {
        Instance &woken = m_routers[router];
        if (woken.wakeAt != next)
            return;
        woken.wakeAt = Time {};
        ClaimActions claimActions;
        woken.claims.tick(m_now, claimActions);
        perform(router, claimActions);
        withRouter(router, [&](Router &target, Actions &actions) { target.tick(m_now, actions); });
    });
}

Duration RouterHarness::latency(std::size_t engine) const
{
    return m_settings.latency + m_engines[engine].extraLatency;
}

void RouterHarness::perform(std::size_t router, Actions &actions)
{
    for (Action &action : actions) {
        if (auto *step = std::get_if<SendStep>(&action)) {
            send(router, *step);
        } else if (auto *cancel = std::get_if<CancelAttempt>(&action)) {
            send(router, *cancel);
        } else if (auto *probe = std::get_if<ProbeEndpoint>(&action)) {
            send(router, *probe);
        } else if (auto *token = std::get_if<EmitToken>(&action)) {
            m_records.at(token->request).tokens.emplace_back(m_now, token->token);
        } else if (auto *finish = std::get_if<FinishRequest>(&action)) {
            m_records.at(finish->request).answer = std::move(finish->answer);
            recordFinish(finish->request);
        } else if (auto *refuse = std::get_if<RefuseRequest>(&action)) {
            m_records.at(refuse->request).refusal = std::move(*refuse);
            recordFinish(refuse->request);
        } else if (auto *claim = std::get_if<StartClaim>(&action)) {
            ClaimActions claimActions;
            m_routers[router].claims.claim({0, claim->request}, *claim, m_now, claimActions);
            perform(router, claimActions);
        } else if (auto *resolve = std::get_if<ResolveClaim>(&action)) {
            ClaimActions claimActions;
            m_routers[router].claims.resolve({0, resolve->request}, resolve->outcome,
                                             resolve->answer, m_now, claimActions);
            perform(router, claimActions);
        }
    }
    scheduleWakeup(router);
}

void RouterHarness::recordFinish(RequestId id)
{
    CallerRecord &record = m_records.at(id);
    record.finishedAt = m_now;
    if (onFinished)
        at(m_now, [this, id] { onFinished(m_records.at(id)); });
}

void RouterHarness::perform(std::size_t router, ClaimActions &actions)
{
    for (ClaimAction &action : actions) {
        if (auto *transact = std::get_if<RunClaimTransaction>(&action)) {
            at(m_now + m_settings.tableLatency, [this, router, transact = *transact] {
                TransactionOutcome outcome {TransactionOutcome::Kind::NotCommitted, {}};
                if (!tablesDown)
                    outcome = m_tables.transact(transact.transaction);
                if (!tablesDown && loseTableAnswers > 0) {
                    --loseTableAnswers;
                    outcome = {};
                }
                ClaimActions next;
                m_routers[router].claims.transactionDone(transact.id, outcome, m_now, next);
                perform(router, next);
            });
        } else if (auto *read = std::get_if<ReadClaimRow>(&action)) {
            at(m_now + m_settings.tableLatency, [this, router, read = *read] {
                ReadOutcome outcome;
                if (!tablesDown)
                    outcome = m_tables.read(std::string(ClaimTable), read.key);
                ClaimActions next;
                m_routers[router].claims.readDone(read.id, outcome, m_now, next);
                perform(router, next);
            });
        } else if (auto *decided = std::get_if<ClaimDecided>(&action)) {
            withRouter(router, [&](Router &target, Actions &next) {
                target.claimAnswered(decided->owner.request, decided->answer, m_now, next);
            });
        }
    }
    scheduleWakeup(router);
}

void RouterHarness::send(std::size_t router, SendStep &step)
{
    const std::size_t index = m_engineOf[step.endpoint];
    CallerRecord &record = m_records.at(step.ref.request);
    record.attempts = std::max(record.attempts, step.ref.attempt);
    HarnessEngine &engine = m_engines[index];
    const SentStep sent {router, index, step.ref, engine.epoch};
    if (engine.killed)
        return fail(sent, FailureKind::NotSent, 2 * latency(index));
    EngineStep engineStep {step.ref,       std::to_string(step.ref.request),
                           step.prefill,   step.firstStage,
                           step.lastStage, step.lastToken,
                           step.priority,  std::move(step.input)};
    at(m_now + latency(index), [this, sent, engineStep = std::move(engineStep)]() mutable {
        HarnessEngine &target = m_engines[sent.engine];
        if (target.killed || target.epoch != sent.epoch)
            return fail(sent, FailureKind::Broken, latency(sent.engine));
        const std::uint64_t ticket = target.model.submit(std::move(engineStep), m_now);
        m_sent[sent.engine].emplace(ticket, sent);
        advance(sent.engine);
    });
}

void RouterHarness::advance(std::size_t index)
{
    HarnessEngine &engine = m_engines[index];
    if (engine.frozen || engine.killed)
        return;
    std::vector<EngineOutcome> outcomes;
    engine.model.advance(m_now, outcomes);
    if (m_settings.reportLag > Duration::zero())
        engine.reports[m_now] = engine.model.load();
    for (EngineOutcome &outcome : outcomes) {
        const auto node = m_sent[index].extract(outcome.ticket);
        if (node.empty())
            continue;
        if (engine.answersToDrop > 0) {
            --engine.answersToDrop;
            continue;
        }
        outcome.answer.load = laggedReport(engine);
        if (engine.answersToMisroute > 0 && !outcome.failure) {
            --engine.answersToMisroute;
            outcome.answer.ref.request += 1;
        }
        deliver(node.mapped(), outcome);
    }
    const auto next = engine.model.nextEvent();
    if (!next || (m_advanceAt[index] > m_now && m_advanceAt[index] <= *next))
        return;
    m_advanceAt[index] = *next;
    at(*next, [this, index] { advance(index); });
}

LoadReport RouterHarness::laggedReport(HarnessEngine &engine)
{
    if (m_settings.reportLag == Duration::zero())
        return engine.model.load();
    auto it = engine.reports.upper_bound(m_now - m_settings.reportLag);
    if (it == engine.reports.begin())
        return {0, 0, engine.model.settings().stepTime, false};
    --it;
    const LoadReport report = it->second;
    engine.reports.erase(engine.reports.begin(), it);
    return report;
}

void RouterHarness::deliver(const SentStep &sent, const EngineOutcome &outcome)
{
    at(m_now + latency(sent.engine), [this, sent, outcome] {
        if (m_engines[sent.engine].epoch != sent.epoch)
            return;
        withRouter(sent.router, [&](Router &router, Actions &actions) {
            if (outcome.failure)
                router.stepFailed(sent.ref, *outcome.failure, outcome.answer.load, m_now, actions);
            else
                router.stepAnswered(sent.ref, outcome.answer, m_now, actions);
        });
    });
}

void RouterHarness::fail(const SentStep &sent, FailureKind kind, Duration delay)
{
    at(m_now + delay, [this, sent, kind] {
        withRouter(sent.router, [&](Router &router, Actions &actions) {
            router.stepFailed(sent.ref, kind, std::nullopt, m_now, actions);
        });
    });
}

void RouterHarness::send(std::size_t, const CancelAttempt &cancel)
{
    const std::size_t index = m_engineOf[cancel.endpoint];
    at(m_now + latency(index), [this, index, cancel] {
        HarnessEngine &engine = m_engines[index];
        if (engine.killed || engine.frozen)
            return;
        engine.model.cancel(std::to_string(cancel.request), cancel.attempt, m_now);
        advance(index);
    });
}

void RouterHarness::send(std::size_t router, const ProbeEndpoint &probe)
{
    const std::size_t index = m_engineOf[probe.endpoint];
    const HarnessEngine &engine = m_engines[index];
    const bool alive = !engine.killed && !engine.frozen;
    const Duration delay = engine.frozen ? m_settings.probeTimeout : 2 * latency(index);
    const bool leaving = engine.model.load().leaving;
    at(m_now + delay, [this, router, endpoint = probe.endpoint, alive, leaving] {
        withRouter(router, [&](Router &target, Actions &actions) {
            target.probeFinished(endpoint, alive, leaving, m_now, actions);
        });
    });
}

void RouterHarness::kill(std::size_t index)
{
    HarnessEngine &engine = m_engines[index];
    engine.killed = true;
    ++engine.epoch;
    for (const auto &[ticket, sent] : m_sent[index])
        fail(sent, FailureKind::Broken, latency(index));
    m_sent[index].clear();
}

void RouterHarness::restart(std::size_t index)
{
    HarnessEngine &engine = m_engines[index];
    engine.killed = false;
    engine.model = EngineModel(engine.model.settings());
    m_advanceAt[index] = Time {};
}

void RouterHarness::freeze(std::size_t index, bool frozen)
{
    m_engines[index].frozen = frozen;
    m_advanceAt[index] = Time {};
    if (!frozen)
        advance(index);
}

ConfigPtr harnessConfig(std::string_view model, std::uint32_t layers,
                        std::span<const EngineSettings> engines, std::span<const Team> extraTeams,
                        bool nonIdempotent, std::uint32_t alertEndpoints)
{
    ConfigEntries entries;
    const auto put = [&](const std::string &path, const json::object &object) {
        entries[path] = json::serialize(object);
    };
    put("inventory/domains/d", {{"name", "d"}});
    for (std::size_t i = 0; i < engines.size(); ++i) {
        const EngineSettings &engine = engines[i];
        const std::string name = "e" + std::to_string(i);
        const double speed = 10'000.0 / static_cast<double>(engine.stepTime.count());
        put("inventory/endpoints/" + name, {{"name", name},
                                            {"address", "127.0.0.1:" + std::to_string(10'000 + i)},
                                            {"domain", "d"},
                                            {"model", model},
                                            {"version", "1"},
                                            {"layers", {engine.layers.begin, engine.layers.end}},
                                            {"slots", engine.slots},
                                            {"speed", speed}});
    }
    put("rules/models/" + std::string(model), {{"name", model},
                                               {"layers", layers},
                                               {"non_idempotent", nonIdempotent},
                                               {"alert_endpoints", alertEndpoints}});
    put("rules/teams/team", {{"name", "team"},
                             {"token_sha256", sha256Hex("team")},
                             {"share", extraTeams.empty() ? 0.5 : 0.01},
                             {"max_priority", "alert"}});
    for (const Team &team : extraTeams)
        put("rules/teams/" + team.name, {{"name", team.name},
                                         {"token_sha256", sha256Hex(team.name)},
                                         {"share", team.share},
                                         {"max_priority", toString(team.maxPriority)},
                                         {"requests_per_s", team.requestsPerSecond},
                                         {"max_concurrent", team.maxConcurrent}});
    std::vector<Problem> problems;
    ConfigPtr config = compileConfig(entries, {1, "digest"}, problems);
    if (!config)
        throw std::logic_error(problems.front().text());
    return config;
}

} // namespace balsamloft::fakes
