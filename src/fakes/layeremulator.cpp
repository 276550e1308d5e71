#include "layeremulator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamloft::fakes {

namespace {

constexpr Duration TickInterval {50'000};
constexpr Duration HopDelay {300};
/// Time after which an attempt that waits for a crashed engine fails.
constexpr Duration StallTimeout {2'500'000};
constexpr std::uint32_t ChunkTokens = 512;
constexpr double MaxPauseMs = 2000; ///< a stream with a longer pause counts as truncated

Duration milliseconds(double value)
{
    return Duration(static_cast<std::int64_t>(value * 1000));
}

/// An attempt at a request, executed by the engines of its path.
struct Run
{
    std::size_t instance = 0;
    FlightId flight = 0;
    std::uint32_t attempt = 0;
    std::vector<PathPart> path;
    std::vector<std::size_t> engines;
    std::uint32_t pendingTokens = 0; ///< tokens whose prefill is pending
    std::uint32_t context = 0; ///< tokens in memory: prefilled or generated
    std::uint32_t generated = 0; ///< tokens of the answer, including earlier attempts
    std::uint32_t answer = 0; ///< length of the complete answer in tokens
    std::uint32_t stage = 0;
    bool admitted = false;
    bool answered = false; ///< the instance has received the response head
    bool finished = false;
    std::optional<Time> stalledSince;
    std::uint64_t order = 0; ///< sequence number of admission; the newest is preempted first
};

struct Engine
{
    FleetEndpoint endpoint;
    const AcceleratorKind *kind = nullptr;
    std::vector<std::size_t> waiting; ///< runs to include in the next pass
    std::vector<std::size_t> inPass;
    std::vector<std::size_t> queue; ///< runs whose path begins here, waiting for memory
    double used = 0; ///< memory in use, in tokens times layers
    std::uint32_t active = 0;
    bool busy = false;
    Time downUntil {};
    std::uint64_t epoch = 0; ///< incremented by a crash; invalidates pending events
};

/// A request from the point of view of its caller.
struct Caller
{
    std::uint32_t prompt = 0;
    std::uint32_t answer = 0;
    Time submittedAt {};
    Time lastEventAt {};
    std::optional<Time> interruptedAt;
    std::uint64_t events = 0;
    double firstMs = 0;
    double longestGapMs = 0;
    double gapSumMs = 0;
    bool finished = false;
};

class Emulation
{
public:
    explicit Emulation(const EmulationSettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_planner(settings.planner)
        , m_service {"model", 0, settings.model}
    {
        makeTable();
        makeEngines();
        makeRelays();
    }

    EmulationResult run()
    {
        const Time begin = m_now;
        at(Duration {}, [this] { tick(); });
        at(Duration {}, [this] { report(); });
        m_trafficStart = begin + std::chrono::seconds(9);
        m_trafficEnd = m_trafficStart + m_settings.length;
        at(std::chrono::seconds(9), [this] { submitRequest(); });
        if (m_settings.failureInterval > Duration {})
            at(std::chrono::seconds(9) + m_settings.failureInterval,
               [this] { killRandomEngine(); });
        for (const Duration after : m_settings.firstEngineFailures)
            at(std::chrono::seconds(9) + after, [this] { kill(busiestFirstEngine()); });
        const Time end = m_trafficEnd + std::chrono::seconds(12);
        while (!m_events.empty() && m_events.top().at < end) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        return result();
    }

private:
    struct Event
    {
        Time at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    void at(Duration after, std::function<void()> action)
    {
        m_events.push({m_now + after, m_nextEvent++, std::move(action)});
    }

    void makeTable()
    {
        RouteMapBuilder builder(1);
        builder.service(m_service);
        Route route;
        route.name = "stream";
        route.host = "h";
        route.prefix = "/";
        route.kind = RequestKind::Stream;
        route.timeout = std::chrono::seconds(20);
        route.targetLatency = m_settings.targetLatency;
        route.targetEventPause = m_settings.targetEventPause;
        route.maxAttempts = 2;
        route.resumable = true;
        builder.route(route, {{"model", 1}});
        m_table = builder.build();
    }

    void makeEngines()
    {
        for (const EmulatedGroup &group : m_settings.engines)
            for (std::uint32_t i = 0; i < group.count; ++i) {
                Engine engine;
                const std::string number = std::to_string(m_engines.size());
                engine.endpoint.id = "e" + number;
                engine.endpoint.address = engine.endpoint.id;
                engine.endpoint.service = "model";
                engine.endpoint.domain = group.domain;
                engine.endpoint.kind = group.kind;
                m_byId[engine.endpoint.id] = m_engines.size();
                m_engines.push_back(std::move(engine));
                m_domains.insert(group.domain);
            }
        for (Engine &engine : m_engines)
            engine.kind = m_service.model->kind(engine.endpoint.kind);
    }

    void makeRelays()
    {
        const std::size_t all = m_domains.size() * m_settings.instancesPerDomain;
        for (const std::string &domain : m_domains)
            for (std::uint32_t i = 0; i < m_settings.instancesPerDomain; ++i) {
                RelaySettings settings = m_settings.relay;
                settings.domain = domain;
                settings.seed = m_random();
                m_relays.emplace_back(settings);
                m_relays.back().setInstances(m_settings.instancesPerDomain, all, m_now);
                m_callers.emplace_back();
            }
    }

    FleetPtr fleet()
    {
        auto snapshot = std::make_shared<FleetSnapshot>();
        snapshot->number = ++m_snapshots;
        for (const Engine &engine : m_engines)
            if (m_now >= engine.downUntil)
                snapshot->endpoints.push_back(engine.endpoint);
        return snapshot;
    }

    /// Sends the endpoint list and the engines' states to all instances, with a delay.
    void report()
    {
        const FleetPtr snapshot = fleet();
        std::vector<EngineState> states;
        for (const Engine &engine : m_engines)
            states.push_back({engine.endpoint.id, engine.used, engine.active,
                              static_cast<std::uint32_t>(engine.queue.size()), 1,
                              m_now < engine.downUntil, m_now});
        at(m_settings.reportLag, [this, snapshot, states] {
            for (std::size_t i = 0; i < m_relays.size(); ++i) {
                RelayActions actions;
                m_relays[i].setFleet(snapshot, m_now, actions);
                m_relays[i].applyEngineReports({states, {}}, m_now, actions);
                carryOut(i, actions);
            }
        });
        at(m_settings.reportInterval, [this] { report(); });
    }

    void tick()
    {
        for (std::size_t i = 0; i < m_relays.size(); ++i) {
            RelayActions actions;
            m_relays[i].tick(m_now, actions);
            carryOut(i, actions);
        }
        if (++m_ticks % 4 == 0)
            updatePlacement();
        failStalled();
        at(TickInterval, [this] { tick(); });
    }

    void updatePlacement()
    {
        for (const LayerOrder &order : m_planner.plan(*fleet(), m_service, m_now)) {
            m_planner.orderSent(order, m_now);
            m_orders += 1;
            const std::size_t index = m_byId[order.endpoint];
            const double share = static_cast<double>(order.layers.end - order.layers.begin)
                                 / m_service.model->layers;
            // Layers load ten times faster before the traffic starts, to shorten the warm-up.
            const bool beforeTraffic = m_now < m_trafficStart;
            const Duration loads = milliseconds(m_service.model->loadSeconds * 1000 * share
                                                * (beforeTraffic ? 0.1 : 1));
            at(loads, [this, index, epoch = m_engines[index].epoch, order] {
                if (m_engines[index].epoch == epoch)
                    m_engines[index].endpoint.layers = order.layers;
            });
        }
    }

    void submitRequest()
    {
        if (m_now >= m_trafficEnd)
            return;
        std::exponential_distribution<double> gap(m_settings.requestsPerSecond);
        std::exponential_distribution<double> length(1.0);
        const std::size_t instance = m_random() % m_relays.size();
        Caller caller;
        const double typicalPrompt = m_service.model->typicalPromptTokens;
        caller.prompt = static_cast<std::uint32_t>(
            std::clamp(typicalPrompt * (0.3 + 0.7 * length(m_random)), 20.0, 3 * typicalPrompt));
        const double answer = m_service.model->typicalAnswerTokens;
        caller.answer = static_cast<std::uint32_t>(
            std::clamp(answer * (0.3 + 0.7 * length(m_random)), 6.0, 3 * answer));
        caller.submittedAt = caller.lastEventAt = m_now;
        RelayRequest request;
        request.id = "r" + std::to_string(m_requests++);
        request.table = m_table;
        request.route = m_table->routes().data();
        request.timeLeft = std::chrono::seconds(20);
        request.promptTokens = caller.prompt;
        request.answerTokens = caller.answer;
        RelayActions actions;
        const FlightId flight = m_relays[instance].submit(std::move(request), m_now, actions);
        m_callers[instance][flight] = caller;
        second(caller).requests += 1;
        carryOut(instance, actions);
        at(milliseconds(1000 * gap(m_random)), [this] { submitRequest(); });
    }

    void carryOut(std::size_t instance, const RelayActions &actions)
    {
        for (const RelayAction &action : actions) {
            if (const auto *send = std::get_if<SendRequest>(&action))
                at(HopDelay, [this, instance, send = *send] { arrive(instance, send); });
            else if (const auto *abandoned = std::get_if<AbandonAttempt>(&action))
                abandon(instance, abandoned->flight, abandoned->attempt);
            else if (const auto *query = std::get_if<QueryEngine>(&action))
                queryEngine(instance, query->endpoint);
            else if (const auto *change = std::get_if<ChangePath>(&action))
                at(HopDelay, [this, instance, change = *change] { changePath(instance, change); });
            else if (const auto *end = std::get_if<FinishFlight>(&action))
                handleFinished(instance, *end);
        }
    }

    void handleFinished(std::size_t instance, const FinishFlight &end)
    {
        Caller &caller = m_callers[instance][end.flight];
        caller.finished = true;
        (end.outcome == FlightOutcome::NotExecuted ? m_refused : m_truncated) += 1;
    }

    void queryEngine(std::size_t instance, const std::string &id)
    {
        const std::size_t index = m_byId[id];
        at(2 * HopDelay, [this, instance, id, index] {
            RelayActions actions;
            if (m_now < m_engines[index].downUntil) {
                m_relays[instance].queryFailed(id, m_now, actions);
            } else {
                std::vector<std::string> stalled;
                for (const Run &run : m_runs)
                    if (!run.finished && run.stalledSince && run.engines.front() == index)
                        stalled.push_back(m_engines[run.engines[run.stage]].endpoint.address);
                m_relays[instance].queryAnswered(id, stalled, 1, m_now, actions);
            }
            carryOut(instance, actions);
        });
    }

    /// Moves a run to another path that begins with the same engine. Engines that are new
    /// to the path prefill the tokens so far; the other engines keep their caches.
    void changePath(std::size_t instance, const ChangePath &change)
    {
        const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const Run &run) {
            return !run.finished && run.instance == instance && run.flight == change.flight
                   && run.attempt == change.attempt;
        });
        const auto answer = [&](bool taken) {
            at(HopDelay, [this, instance, change, taken] {
                RelayActions actions;
                m_relays[instance].pathChanged(
                    change, taken ? PathReply::Accepted : PathReply::Lost, {}, m_now, actions);
                carryOut(instance, actions);
            });
        };
        if (found == m_runs.end() || !found->admitted
            || m_now < m_engines[found->engines.front()].downUntil)
            return answer(false);
        Run moved = *found;
        moved.path = change.path;
        moved.engines.clear();
        double prefillMs = 0;
        for (std::size_t i = 0; i < change.path.size(); ++i) {
            const std::size_t index = m_byId[change.path[i].endpoint];
            moved.engines.push_back(index);
            const auto same = std::find(found->path.begin(), found->path.end(), change.path[i]);
            if (same != found->path.end())
                continue;
            const Engine &engine = m_engines[index];
            const LayerRange wanted = change.path[i].layers;
            if (!holdsPart(moved, i) || !hasMemory(moved, i))
                return answer(false);
            prefillMs += moved.context / m_service.model->prefillTokensPerMs
                         * engine.kind->prefillFactor * (wanted.end - wanted.begin)
                         / m_service.model->layers;
        }
        release(*found);
        const auto id = static_cast<std::size_t>(found - m_runs.begin());
        leavePasses(id);
        moved.stage = 0;
        moved.stalledSince.reset();
        *found = std::move(moved);
        reserve(id);
        at(milliseconds(prefillMs), [this, id] { queuePass(id); });
        answer(true);
    }

    // Engines

    double memoryNeeded(const Run &run, std::size_t part) const
    {
        return static_cast<double>(run.context + run.pendingTokens)
               * (run.path[part].layers.end - run.path[part].layers.begin);
    }

    double capacity(std::size_t index) const
    {
        const Engine &engine = m_engines[index];
        const LayerRange held = engine.endpoint.layers;
        return m_service.model->kvCapacity(*engine.kind, held.end - held.begin);
    }

    /// Returns whether the engine of a path part is up and holds the part's layers.
    bool holdsPart(const Run &run, std::size_t part) const
    {
        const Engine &engine = m_engines[run.engines[part]];
        const LayerRange held = engine.endpoint.layers;
        const LayerRange wanted = run.path[part].layers;
        return m_now >= engine.downUntil && held.begin <= wanted.begin && held.end >= wanted.end;
    }

    bool hasMemory(const Run &run, std::size_t part) const
    {
        const std::size_t index = run.engines[part];
        return m_engines[index].used + memoryNeeded(run, part) <= capacity(index);
    }

    void leavePasses(std::size_t id)
    {
        for (Engine &engine : m_engines) {
            std::erase(engine.waiting, id);
            std::erase(engine.inPass, id);
        }
    }

    void arrive(std::size_t instance, const SendRequest &send)
    {
        Run run;
        run.instance = instance;
        run.flight = send.flight;
        run.attempt = send.attempt;
        run.path = send.path;
        const Caller &caller = m_callers[instance][send.flight];
        run.generated = static_cast<std::uint32_t>(send.afterEvent.value_or(0))
                        * m_service.model->tokensPerPass;
        run.pendingTokens = caller.prompt + run.generated;
        run.answer = caller.answer;
        for (const PathPart &part : send.path)
            run.engines.push_back(m_byId[part.endpoint]);
        for (std::size_t i = 0; i < run.engines.size(); ++i) {
            const Engine &engine = m_engines[run.engines[i]];
            if (i == 0 && m_now < engine.downUntil)
                return; // no answer: the instance detects the failure by a timeout
            if (!holdsPart(run, i) || (i > 0 && !hasMemory(run, i)))
                return reject(run, engine.endpoint.address);
        }
        m_runs.push_back(std::move(run));
        m_engines[m_runs.back().engines.front()].queue.push_back(m_runs.size() - 1);
        admit(m_runs.back().engines.front());
    }

    void reject(const Run &run, const std::string &address)
    {
        m_rejected += 1;
        at(HopDelay, [this, run, address] {
            AnswerHead head;
            head.status = 503;
            head.notExecuted = true;
            head.faultyAddress = address;
            RelayActions actions;
            m_relays[run.instance].answered(run.flight, run.attempt, head, m_now, actions);
            carryOut(run.instance, actions);
        });
    }

    void admit(std::size_t index)
    {
        Engine &engine = m_engines[index];
        while (!engine.queue.empty()) {
            const std::size_t id = engine.queue.front();
            Run &run = m_runs[id];
            if (!run.finished && !hasMemory(run, 0))
                return;
            engine.queue.erase(engine.queue.begin());
            if (run.finished)
                continue;
            reserve(id);
            queuePass(id);
        }
    }

    void reserve(std::size_t id)
    {
        Run &run = m_runs[id];
        run.admitted = true;
        run.order = m_nextOrder++;
        for (std::size_t i = 0; i < run.engines.size(); ++i) {
            m_engines[run.engines[i]].used += memoryNeeded(run, i);
            m_engines[run.engines[i]].active += 1;
        }
    }

    void release(Run &run)
    {
        if (!std::exchange(run.admitted, false))
            return;
        for (std::size_t i = 0; i < run.engines.size(); ++i) {
            Engine &engine = m_engines[run.engines[i]];
            engine.used = std::max(0.0, engine.used - memoryNeeded(run, i));
            engine.active -= std::min(engine.active, 1U);
        }
        const std::size_t first = run.engines.front();
        at(Duration {}, [this, first] { admit(first); });
    }

    /// Queues the run for the next pass of the engine of its current stage.
    void queuePass(std::size_t id)
    {
        Run &run = m_runs[id];
        if (run.finished)
            return;
        Engine &engine = m_engines[run.engines[run.stage]];
        if (m_now < engine.downUntil) {
            if (!run.stalledSince)
                run.stalledSince = m_now;
            return;
        }
        engine.waiting.push_back(id);
        startPass(run.engines[run.stage]);
    }

    void startPass(std::size_t index)
    {
        Engine &engine = m_engines[index];
        if (engine.busy || engine.waiting.empty())
            return;
        engine.busy = true;
        engine.inPass.swap(engine.waiting);
        engine.waiting.clear();
        at(passTime(engine), [this, index, epoch = engine.epoch] {
            if (m_engines[index].epoch == epoch)
                endPass(index);
        });
    }

    Duration passTime(const Engine &engine) const
    {
        const LayeredModel &model = *m_service.model;
        double decodeMs = 0;
        double prefillMs = 0;
        double share = 0;
        for (const std::size_t id : engine.inPass) {
            const Run &run = m_runs[id];
            const LayerRange layers = run.path[run.stage].layers;
            const double part = static_cast<double>(layers.end - layers.begin) / model.layers;
            if (run.pendingTokens > 0) {
                const double tokens = std::min(run.pendingTokens, ChunkTokens);
                prefillMs += tokens / model.prefillTokensPerMs * engine.kind->prefillFactor * part;
            } else {
                share = std::max(share, part);
                decodeMs +=
                    (model.perSequenceMs + run.context / 1000.0 * model.contextMsPer1kTokens)
                    * part;
            }
        }
        const double step = share * model.stepMs + decodeMs;
        return milliseconds(step * engine.kind->stepFactor * model.tokensPerPass + prefillMs);
    }

    void endPass(std::size_t index)
    {
        Engine &engine = m_engines[index];
        engine.busy = false;
        std::vector<std::size_t> done;
        done.swap(engine.inPass);
        for (const std::size_t id : done) {
            if (m_runs[id].finished)
                continue;
            if (m_runs[id].stage + 1 < m_runs[id].engines.size()) {
                m_runs[id].stage += 1;
                at(HopDelay, [this, id] { queuePass(id); });
            } else {
                finishRound(id);
            }
        }
        startPass(index);
    }

    /// Handles a run that has passed through all stages once.
    void finishRound(std::size_t id)
    {
        Run &run = m_runs[id];
        run.stage = 0;
        if (run.pendingTokens > 0) {
            const std::uint32_t read = std::min(run.pendingTokens, ChunkTokens);
            run.pendingTokens -= read;
            run.context += read;
            at(HopDelay, [this, id] { queuePass(id); });
            return;
        }
        const std::uint32_t tokensPerPass = m_service.model->tokensPerPass;
        run.generated += tokensPerPass;
        grow(run, tokensPerPass);
        emit(id);
        if (run.finished)
            return;
        at(HopDelay, [this, id] { queuePass(id); });
    }

    void grow(Run &run, std::uint32_t tokens)
    {
        run.context += tokens;
        for (std::size_t i = 0; i < run.engines.size(); ++i) {
            const LayerRange layers = run.path[i].layers;
            m_engines[run.engines[i]].used += tokens * double(layers.end - layers.begin);
            if (m_engines[run.engines[i]].used > capacity(run.engines[i]))
                preempt(run.engines[i]);
        }
    }

    /// Preempts the newest run on the engine: releases its memory and queues it
    /// for another prefill.
    void preempt(std::size_t index)
    {
        Run *newest = nullptr;
        for (Run &run : m_runs) {
            const bool here =
                std::find(run.engines.begin(), run.engines.end(), index) != run.engines.end();
            if (!run.finished && run.admitted && here && (!newest || run.order > newest->order))
                newest = &run;
        }
        if (!newest)
            return;
        m_preempted += 1;
        release(*newest);
        newest->pendingTokens = newest->context;
        newest->context = 0;
        newest->stage = 0;
        const auto id = static_cast<std::size_t>(newest - m_runs.data());
        leavePasses(id);
        m_engines[newest->engines.front()].queue.push_back(id);
    }

    void emit(std::size_t id)
    {
        Run &run = m_runs[id];
        Caller &caller = m_callers[run.instance][run.flight];
        RelayActions actions;
        Relay &relay = m_relays[run.instance];
        if (!std::exchange(run.answered, true)) {
            AnswerHead head;
            head.status = 200;
            head.provenExecuted = true;
            relay.answered(run.flight, run.attempt, head, m_now, actions);
        }
        const double pause = (m_now - caller.lastEventAt).count() / 1000.0;
        if (caller.events++ == 0) {
            caller.firstMs = pause;
        } else {
            caller.longestGapMs = std::max(caller.longestGapMs, pause);
            caller.gapSumMs += pause;
        }
        if (caller.interruptedAt) {
            m_recoveriesMs.push_back((m_now - *caller.interruptedAt).count() / 1000.0);
            caller.interruptedAt.reset();
        }
        caller.lastEventAt = m_now;
        m_tokens += m_service.model->tokensPerPass;
        relay.eventsForwarded(run.flight, run.attempt, caller.events, m_now, actions);
        if (run.generated >= run.answer) {
            relay.streamCompleted(run.flight, run.attempt, m_now, actions);
            caller.finished = true;
            record(caller);
            run.finished = true;
            release(run);
        }
        carryOut(run.instance, actions);
    }

    void record(const Caller &caller)
    {
        m_firstEventMs.push_back(caller.firstMs);
        if (caller.events > 1)
            m_meanGapsMs.push_back(caller.gapSumMs / double(caller.events - 1));
        const bool onTime = caller.firstMs <= m_settings.targetLatency.count() / 1000.0
                            && caller.longestGapMs <= m_settings.targetEventPause.count() / 1000.0;
        const bool withinMaxPause = std::max(caller.firstMs, caller.longestGapMs) <= MaxPauseMs;
        (onTime ? m_onTime : withinMaxPause ? m_late : m_truncated) += 1;
        second(caller).onTime += onTime ? 1 : 0;
    }

    EmulatedSecond &second(const Caller &caller)
    {
        const auto index = static_cast<std::size_t>((caller.submittedAt - m_trafficStart)
                                                    / Duration(std::chrono::seconds(1)));
        if (index >= m_seconds.size())
            m_seconds.resize(index + 1);
        return m_seconds[index];
    }

    void abandon(std::size_t instance, FlightId flight, std::uint32_t attempt)
    {
        for (Run &run : m_runs)
            if (!run.finished && run.instance == instance && run.flight == flight
                && run.attempt == attempt) {
                run.finished = true;
                release(run);
            }
    }

    // Failures

    void killRandomEngine()
    {
        if (m_now >= m_trafficEnd)
            return;
        kill(m_random() % m_engines.size());
        at(m_settings.failureInterval, [this] { killRandomEngine(); });
    }

    /// Returns the engine that is the first stage of most active runs.
    std::size_t busiestFirstEngine() const
    {
        std::vector<std::uint32_t> activePaths(m_engines.size(), 0);
        for (const Run &run : m_runs)
            activePaths[run.engines.front()] += run.finished ? 0 : 1;
        return static_cast<std::size_t>(std::max_element(activePaths.begin(), activePaths.end())
                                        - activePaths.begin());
    }

    void kill(std::size_t index)
    {
        Engine &engine = m_engines[index];
        engine.downUntil = m_now + m_settings.failureDuration;
        engine.epoch += 1;
        engine.endpoint.id += "'"; // a restarted process has another id
        engine.endpoint.layers = {};
        m_byId[engine.endpoint.id] = index;
        for (const std::size_t id : engine.inPass)
            m_runs[id].stalledSince = m_now;
        for (const std::size_t id : engine.waiting)
            m_runs[id].stalledSince = m_now;
        for (Run &run : m_runs)
            if (!run.finished
                && std::find(run.engines.begin(), run.engines.end(), index) != run.engines.end())
                m_callers[run.instance][run.flight].interruptedAt = m_now;
        engine.inPass.clear();
        engine.waiting.clear();
        engine.queue.clear();
        engine.busy = false;
        engine.used = 0;
        engine.active = 0;
    }

    void failStalled()
    {
        for (Run &run : m_runs) {
            if (run.finished || !run.stalledSince || m_now - *run.stalledSince < StallTimeout)
                continue;
            run.finished = true;
            release(run);
            RelayActions actions;
            m_relays[run.instance].attemptFailed(run.flight, run.attempt, AttemptFailure::Broken,
                                                 m_now, actions);
            carryOut(run.instance, actions);
        }
    }

    static double quantile(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        const auto at = static_cast<std::size_t>(share * double(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + std::ptrdiff_t(at), values.end());
        return values[at];
    }

    EmulationResult result() const
    {
        EmulationResult result;
        result.requests = m_requests;
        result.onTime = m_onTime;
        result.late = m_late;
        result.refused = m_refused;
        result.truncated = m_truncated;
        result.rejected = m_rejected;
        result.preempted = m_preempted;
        result.tokens = m_tokens;
        result.orders = m_orders;
        result.seconds = m_seconds;
        for (const Relay &relay : m_relays)
            result.resent += relay.counts().resent;
        result.medianFirstEventMs = quantile(m_firstEventMs, 0.5);
        result.p99FirstEventMs = quantile(m_firstEventMs, 0.99);
        result.medianGapMs = quantile(m_meanGapsMs, 0.5);
        result.medianRecoveryMs = quantile(m_recoveriesMs, 0.5);
        return result;
    }

    EmulationSettings m_settings;
    std::mt19937_64 m_random;
    LayerPlanner m_planner;
    RoutedService m_service;
    RouteMapPtr m_table;
    std::vector<Engine> m_engines;
    std::map<std::string, std::size_t> m_byId;
    std::set<std::string> m_domains;
    std::vector<Relay> m_relays;
    std::vector<std::unordered_map<FlightId, Caller>> m_callers;
    std::vector<Run> m_runs;
    std::priority_queue<Event> m_events;
    Time m_now {std::chrono::hours(1)};
    Time m_trafficStart {};
    Time m_trafficEnd {};
    std::uint64_t m_nextEvent = 0;
    std::uint64_t m_nextOrder = 0;
    std::uint64_t m_snapshots = 0;
    std::uint64_t m_ticks = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_onTime = 0;
    std::uint64_t m_late = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_truncated = 0;
    std::uint64_t m_rejected = 0;
    std::uint64_t m_preempted = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_orders = 0;
    std::vector<EmulatedSecond> m_seconds;
    std::vector<double> m_firstEventMs;
    std::vector<double> m_meanGapsMs;
    std::vector<double> m_recoveriesMs;
};

} // namespace

double EmulationResult::onTimeShareFrom(std::size_t from) const
{
    EmulatedSecond sum;
    for (std::size_t i = from; i < seconds.size(); ++i) {
        sum.requests += seconds[i].requests;
        sum.onTime += seconds[i].onTime;
    }
    return sum.requests ? static_cast<double>(sum.onTime) / static_cast<double>(sum.requests) : 0;
}

EmulationResult emulate(const EmulationSettings &settings)
{
    return Emulation(settings).run();
}

double tokenBound(const EmulationSettings &settings)
{
    // In a large batch, all sequences share the fixed cost of a step. The throughput of an
    // engine is then limited by the time per sequence and by the number of prompt tokens
    // per generated token.
    const LayeredModel &model = settings.model;
    const double context = (model.typicalPromptTokens + model.typicalAnswerTokens / 2.0) / 1000;
    const double prompts =
        static_cast<double>(model.typicalPromptTokens) / std::max(1U, model.typicalAnswerTokens);
    double perSecond = 0;
    for (const EmulatedGroup &group : settings.engines) {
        const AcceleratorKind &kind = *model.kind(group.kind);
        const double tokenMs =
            (model.perSequenceMs + context * model.contextMsPer1kTokens) * kind.stepFactor
            + prompts / model.prefillTokensPerMs * kind.prefillFactor;
        perSecond += group.count * 1000 / tokenMs;
    }
    return perSecond;
}

EmulationSettings referenceFleet()
{
    EmulationSettings settings;
    LayeredModel &model = settings.model;
    model.layers = 80;
    model.layerMegabytes = 1750;
    model.bytesPerToken = 918'000;
    model.stepMs = 1.02;
    model.perSequenceMs = 0.00714;
    model.contextMsPer1kTokens = 0.00956;
    model.prefillTokensPerMs = 105;
    model.tokensPerPass = 3;
    model.loadSeconds = 14;
    model.typicalPromptTokens = 774;
    model.typicalAnswerTokens = 204;
    model.kinds = {
        {"large", 72'000, 2.4, 3.2}, {"middle", 43'200, 5.6, 2.7}, {"small", 21'600, 16, 8.2}};
    settings.engines = {{"a", "large", 2},  {"b", "large", 1},  {"c", "large", 1},
                        {"a", "middle", 2}, {"b", "middle", 3}, {"c", "middle", 6},
                        {"a", "small", 5},  {"b", "small", 8},  {"c", "small", 5}};
    settings.relay.retrySlack = 150;
    return settings;
}

EmulationSettings grownFleet()
{
    EmulationSettings settings = referenceFleet();
    settings.model.tokensPerPass = 5;
    settings.model.prefillTokensPerMs = 164;
    settings.model.bytesPerToken = 590'000;
    settings.model.perSequenceMs = 0.00459;
    settings.model.contextMsPer1kTokens = 0.00615;
    settings.engines = {{"a", "large", 3},   {"b", "large", 1},  {"c", "large", 1},
                        {"d", "large", 3},   {"a", "middle", 5}, {"b", "middle", 8},
                        {"c", "middle", 12}, {"d", "middle", 5}, {"a", "small", 11},
                        {"b", "small", 17},  {"c", "small", 9},  {"d", "small", 11}};
    settings.instancesPerDomain = 20;
    settings.targetEventPause = std::chrono::milliseconds(250);
    settings.requestsPerSecond = 312;
    settings.length = std::chrono::seconds(6);
    settings.relay.retrySlack = 300;
    return settings;
}

EmulationSettings largeFleet()
{
    EmulationSettings settings = referenceFleet();
    settings.model.tokensPerPass = 6;
    settings.model.prefillTokensPerMs = 128;
    settings.model.bytesPerToken = 754'000;
    settings.model.perSequenceMs = 0.00586;
    settings.model.contextMsPer1kTokens = 0.00785;
    settings.engines = {{"a", "large", 5},   {"b", "large", 3},   {"c", "large", 2},
                        {"d", "large", 5},   {"e", "large", 3},   {"a", "middle", 9},
                        {"b", "middle", 13}, {"c", "middle", 22}, {"d", "middle", 9},
                        {"e", "middle", 13}, {"a", "small", 18},  {"b", "small", 28},
                        {"c", "small", 15},  {"d", "small", 18},  {"e", "small", 27}};
    settings.instancesPerDomain = 59;
    settings.targetLatency = std::chrono::milliseconds(600);
    settings.targetEventPause = std::chrono::milliseconds(300);
    settings.requestsPerSecond = 500;
    settings.length = std::chrono::seconds(6);
    settings.relay.retrySlack = 580;
    return settings;
}

EmulationSettings designFleet()
{
    EmulationSettings settings = referenceFleet();
    settings.engines.clear();
    const std::uint32_t counts[] = {16, 52, 63}; // per kind and domain; 786 engines in total
    const char *kinds[] = {"large", "middle", "small"};
    for (int domain = 0; domain < 6; ++domain)
        for (int kind = 0; kind < 3; ++kind)
            settings.engines.push_back(
                {std::string(1, static_cast<char>('a' + domain)), kinds[kind], counts[kind]});
    settings.instancesPerDomain = 57;
    settings.requestsPerSecond = 2'700;
    settings.length = std::chrono::seconds(4);
    settings.relay.retrySlack = 4'000;
    return settings;
}

} // namespace balsamloft::fakes
