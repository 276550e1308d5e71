#include "crashsimulation.h"

#include "relayharness.h"

#include <balsamloft/promptparts.h>

namespace balsamloft::fakes {

namespace {

constexpr Duration TickInterval {50'000};
constexpr Duration NetworkDelay {500}; ///< one way
/// After this time, an engine drops a request that waits for another engine.
constexpr Duration StallTimeout {2'500'000};
constexpr Duration QueryTimeout {450'000};
constexpr std::uint32_t Layers = 8;
constexpr std::uint32_t ManyRetries = 1000;

Route streamRoute()
{
    Route route;
    route.name = "stream";
    route.host = "host";
    route.prefix = "/stream/";
    route.kind = RequestKind::Stream;
    route.timeout = Duration(20'000'000);
    route.targetLatency = Duration(500'000);
    route.maxAttempts = 3;
    route.resumable = true;
    return route;
}

} // namespace

CrashSimulation::CrashSimulation(CrashSimulationSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_lossRandom(settings.seed)
    , m_relays(settings.instances)
    , m_callers(settings.instances)
    , m_gossip(settings.instances)
    , m_permits(settings.instances, TrialPermits({}))
{
    for (std::size_t i = 0; i < m_settings.instances; ++i)
        m_instances.push_back({std::to_string(i), {}, {}, {}});
    RouteMapBuilder builder(1);
    builder.service({"model", 100, testModel(Layers)});
    builder.route(streamRoute(), {{"model", 1}});
    Route once = streamRoute();
    once.name = "once";
    once.prefix = "/once/";
    once.resumable = false;
    builder.route(std::move(once), {{"model", 1}});
    m_table = builder.build();
    for (std::size_t i = 0; i < m_settings.domains * m_settings.enginesPerDomain; ++i)
        startEngine("d" + std::to_string(i % m_settings.domains), layersOf(i / m_settings.domains));
    for (std::size_t i = 0; i < m_settings.instances; ++i) {
        startInstance(i);
        after(between(0, TickInterval.count()), [this, i] { tick(i); });
    }
    after(Duration(1), [this] { arrive(); });
    after(m_settings.crashingFrom + m_settings.crashingInterval, [this] { arriveCrashing(); });
}

void CrashSimulation::startInstance(std::size_t instance)
{
    RelaySettings settings = RelayHarness::defaults();
    settings.domain = "d" + std::to_string(instance % m_settings.domains);
    settings.seed = m_settings.seed * 1000 + m_nextNumber++;
    m_relays[instance] = std::make_unique<Relay>(settings);
    m_relays[instance]->setInstances(m_settings.instances / m_settings.domains,
                                     m_settings.instances, m_now);
    m_callers[instance].clear();
    TrialSettings trials;
    trials.holder = "instance " + std::to_string(m_nextNumber++);
    m_permits[instance] = TrialPermits(trials);
    CrashGossipSettings gossip;
    gossip.self = std::to_string(instance);
    gossip.seed = settings.seed;
    m_gossip[instance] = CrashGossip(gossip);
    publishFleet();
}

void CrashSimulation::addSuspects(std::size_t others)
{
    std::vector<std::string> digests {crashingDigest()};
    for (std::size_t i = 0; i < others; ++i)
        digests.push_back("beside " + std::to_string(i));
    for (const std::string &digest : digests)
        for (int crash = 0; crash < 3; ++crash)
            m_sharedCrashes.push_back({digest, "gone-" + std::to_string(crash), m_now});
    m_crashes[digests.front()].assign(3, m_now);
    distribute();
    for (std::size_t i = 1; i < digests.size(); ++i) {
        Caller caller;
        caller.digest = digests[i];
        caller.eventsLeft = 20;
        caller.retries = ManyRetries;
        caller.suspectedSince = m_now;
        after(between(0, 1'000'000),
              [this, caller] { submit(pick(m_settings.instances), caller); });
    }
}

void CrashSimulation::restartInstances()
{
    for (std::size_t i = 0; i < m_settings.instances; ++i)
        startInstance(i);
    for (const auto &run : m_runs)
        run->finished = true;
    m_runs.clear();
    after(m_settings.updateDelay, [this] { distribute(); });
}

/// All layers, or alternately the lower and upper half for CrashKind::CrashesMiddle.
LayerRange CrashSimulation::layersOf(std::size_t number) const
{
    if (m_settings.crashKind != CrashKind::CrashesMiddle)
        return {0, Layers};
    return number % 2 == 0 ? LayerRange {0, Layers / 2} : LayerRange {Layers / 2, Layers};
}

void CrashSimulation::startEngine(const std::string &domain, LayerRange layers)
{
    Engine engine;
    engine.layers = layers;
    engine.id = "engine-" + std::to_string(m_engines.size());
    engine.domain = domain;
    engine.address = "10.0.0.1:" + std::to_string(1000 + m_engines.size());
    m_engines.push_back(std::move(engine));
    publishFleet();
}

void CrashSimulation::publishFleet()
{
    auto fleet = std::make_shared<FleetSnapshot>();
    fleet->number = m_nextNumber++;
    for (const Engine &each : m_engines) {
        if (!each.listed)
            continue;
        FleetEndpoint endpoint;
        endpoint.id = endpoint.name = each.id;
        endpoint.service = "model";
        endpoint.address = each.address;
        endpoint.domain = each.domain;
        endpoint.kind = "fast";
        endpoint.slots = 100;
        endpoint.layers = each.layers;
        fleet->endpoints.push_back(std::move(endpoint));
    }
    m_fleet = fleet;
    for (std::size_t i = 0; i < m_relays.size(); ++i)
        if (m_relays[i])
            step(i, [&](Relay &relay, RelayActions &actions) {
                relay.setFleet(fleet, m_now, actions);
            });
}

template<typename Action>
void CrashSimulation::step(std::size_t instance, Action action)
{
    RelayActions actions;
    action(*m_relays[instance], actions);
    act(instance, std::move(actions));
}

void CrashSimulation::after(Duration delay, std::function<void()> action)
{
    m_events.push({m_now + delay, m_nextNumber++, std::move(action)});
}

Duration CrashSimulation::between(std::int64_t min, std::int64_t max)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(min, max)(m_random));
}

Duration CrashSimulation::upTo(Duration max)
{
    return max == Duration {} ? max : between(0, max.count());
}

std::size_t CrashSimulation::pick(std::size_t count)
{
    return static_cast<std::size_t>(between(0, static_cast<std::int64_t>(count) - 1).count());
}

void CrashSimulation::run(Duration duration)
{
    const Time until = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= until) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = until;
}

void CrashSimulation::tick(std::size_t instance)
{
    step(instance, [&](Relay &relay, RelayActions &actions) { relay.tick(m_now, actions); });
    sendGossip(instance);
    after(TickInterval, [this, instance] { tick(instance); });
}

std::string CrashSimulation::sharedPart()
{
    return promptPartDigest("model", "shared " + std::to_string(pick(m_settings.parts.shared)));
}

CrashSimulation::Caller CrashSimulation::harmlessCaller()
{
    Caller caller;
    caller.digest = "harmless " + std::to_string(m_nextNumber++);
    caller.eventsLeft = static_cast<std::uint64_t>(between(10, 40).count());
    if (m_settings.parts.crashing == 0)
        return caller;
    if (m_settings.parts.shared > 0)
        caller.parts.push_back(sharedPart());
    std::bernoulli_distribution hasCompanion(m_settings.parts.companionShare);
    if (hasCompanion(m_random))
        caller.parts.push_back(promptPartDigest("model", "companion"));
    caller.besideCrashing =
        !caller.parts.empty() && caller.parts.front() == promptPartDigest("model", "shared 0");
    return caller;
}

/// The caller of a crashing request. With crashing parts, all of them follow the same first part.
CrashSimulation::Caller CrashSimulation::crashingCaller(std::size_t copy)
{
    const SimulatedParts &parts = m_settings.parts;
    Caller caller;
    caller.cause = caller.digest = crashingDigest();
    caller.crashing = m_now - m_startedAt >= m_settings.harmlessFor;
    caller.eventsLeft = 20;
    caller.retries = m_settings.crashingRetries;
    if (parts.crashing == 0)
        return caller;
    caller.digest = "crashing " + std::to_string(m_nextNumber++);
    if (parts.shared > 0)
        caller.parts.push_back(promptPartDigest("model", "shared 0"));
    caller.cause = promptPartDigest(
        "model", "crashing " + std::to_string((m_arrivals + copy) % parts.crashing));
    caller.parts.push_back(caller.cause);
    if (parts.companionShare > 0)
        caller.parts.push_back(promptPartDigest("model", "companion"));
    return caller;
}

/// Counts an outcome of a harmless request.
void CrashSimulation::count(const Caller &caller, std::size_t Harmless::*counter)
{
    if (caller.crashing)
        return;
    m_harmless.*counter += 1;
    m_besideCrashing.*counter += caller.besideCrashing ? 1 : 0;
}

void CrashSimulation::arrive()
{
    Caller caller = harmlessCaller();
    count(caller, &Harmless::sent);
    submit(pick(m_settings.instances), std::move(caller));
    std::exponential_distribution<double> interval(m_settings.requestsPerSecond);
    after(Duration(static_cast<std::int64_t>(1'000'000 * interval(m_random))),
          [this] { arrive(); });
}

void CrashSimulation::arriveCrashing()
{
    if (m_now - m_startedAt >= m_settings.crashingUntil)
        return;
    const auto first = static_cast<std::size_t>(between(0, 1000).count());
    for (std::size_t i = 0; i < m_settings.crashingCopies; ++i)
        submit((first + i) % m_settings.instances, crashingCaller(i));
    m_arrivals += m_settings.crashingCopies;
    after(m_settings.crashingInterval, [this] { arriveCrashing(); });
}

std::string CrashSimulation::crashingDigest() const
{
    return "ends engines " + std::to_string((m_now - m_startedAt) / m_settings.crashingLifetime);
}

void CrashSimulation::submit(std::size_t instance, Caller caller)
{
    RelayRequest request;
    request.id = "request-" + std::to_string(m_nextNumber++);
    request.digest = caller.digest;
    request.promptParts = caller.parts;
    request.table = m_table;
    const bool once = caller.crashing && m_settings.crashingKind == RequestKind::Unsafe;
    request.route = &m_table->routes()[once ? 1 : 0];
    request.timeLeft = Duration(20'000'000);
    request.promptTokens = 100;
    request.answerTokens = 50;
    RelayActions actions;
    const FlightId flight = m_relays[instance]->submit(std::move(request), m_now, actions);
    const std::uint64_t eventsLeft = caller.eventsLeft;
    caller.submittedAt = m_now;
    m_callers[instance][flight] = std::move(caller);
    after(m_settings.patience,
          [this, instance, flight, eventsLeft] { leaveIfIdle(instance, flight, eventsLeft); });
    act(instance, std::move(actions));
}

void CrashSimulation::act(std::size_t instance, RelayActions actions)
{
    for (const RelayAction &action : actions) {
        if (const auto *sent = std::get_if<SendRequest>(&action))
            send(instance, *sent);
        else if (const auto *forward = std::get_if<ForwardAnswer>(&action))
            passed(instance, forward->flight);
        else if (const auto *finish = std::get_if<FinishFlight>(&action))
            finished(instance, *finish);
        else if (const auto *query = std::get_if<QueryEngine>(&action))
            queryEngine(instance, *query);
        else if (const auto *change = std::get_if<ChangePath>(&action))
            changePath(instance, *change);
        else if (const auto *published = std::get_if<PublishCrashes>(&action))
            publish(instance, published->update);
        else if (const auto *trial = std::get_if<RequestTrial>(&action))
            requestTrial(instance, *trial);
        else if (const auto *trialFinish = std::get_if<FinishTrial>(&action))
            finishTrial(instance, *trialFinish);
        else if (const auto *abandoned = std::get_if<AbandonAttempt>(&action))
            for (const auto &run : m_runs)
                if (run->instance == instance && run->flight == abandoned->flight
                    && run->attempt == abandoned->attempt)
                    run->finished = true;
    }
}

void CrashSimulation::publish(std::size_t instance, const CrashUpdate &update)
{
    m_gossip[instance].publish(update, m_now);
    setCrashes(instance);
    sendGossip(instance);
    if (m_settings.storeUnreachable)
        return;
    for (const CrashRecord &each : update.added)
        m_sharedCrashes.push_back(each);
    for (const CrashRecord &each : update.removed)
        std::erase_if(m_sharedCrashes, [&](const CrashRecord &shared) {
            return shared.digest == each.digest && shared.endpoint == each.endpoint;
        });
    after(m_settings.updateDelay, [this] { distribute(); });
}

void CrashSimulation::sendGossip(std::size_t instance)
{
    const auto message = m_gossip[instance].takeMessage(m_instances, m_now);
    if (!message)
        return;
    std::bernoulli_distribution isLost(m_settings.gossipLoss);
    for (const PeerInstance &recipient : message->recipients)
        if (!isLost(m_lossRandom))
            after(NetworkDelay * 2, [this, to = std::stoul(recipient.name),
                                     notices = message->notices] { receiveGossip(to, notices); });
}

void CrashSimulation::receiveGossip(std::size_t instance, const std::vector<CrashNotice> &notices)
{
    if (!m_gossip[instance].receive(notices, m_now))
        return;
    setCrashes(instance);
    sendGossip(instance);
}

void CrashSimulation::setCrashes(std::size_t instance)
{
    m_relays[instance]->setSharedCrashes(m_gossip[instance].records());
}

void CrashSimulation::distribute()
{
    for (std::size_t i = 0; i < m_relays.size(); ++i) {
        m_gossip[i].setStored(m_sharedCrashes);
        setCrashes(i);
        m_permits[i].setRows(m_trials.rows(), m_sharedCrashes);
    }
}

/// \return whether the rows still had the versions given by \a change.
bool CrashSimulation::write(const TrialChange &change)
{
    if (!m_trials.write(change))
        return false;
    if (change.crash)
        m_sharedCrashes.push_back(*change.crash);
    after(m_settings.updateDelay, [this] { distribute(); });
    return true;
}

void CrashSimulation::requestTrial(std::size_t instance, const RequestTrial &request)
{
    const auto answer = [this, instance, request](const TrialAnswer &given) {
        step(instance, [&](Relay &relay, RelayActions &actions) {
            relay.trialAnswered(request, given, m_now, actions);
        });
    };
    if (m_settings.storeUnreachable)
        return after(Duration(1), [answer, given = m_permits[instance].answerWithoutStore(
                                               request.request)] { answer(given); });
    const auto decision = m_permits[instance].decide(request.request, *m_fleet, m_now);
    if (const auto *refused = std::get_if<TrialAnswer>(&decision))
        return after(Duration(1), [answer, given = *refused] { answer(given); });
    after(m_settings.storeLatency,
          [this, instance, request, answer, change = std::get<TrialChange>(decision)] {
              TrialPermits &permits = m_permits[instance];
              const bool done = write(change);
              permits.recordWrite(change, done, m_trials.version(), m_trials.rows());
              answer(permits.answer(request.request, change, done, m_now));
          });
}

void CrashSimulation::finishTrial(std::size_t instance, const FinishTrial &finish)
{
    const auto change = m_permits[instance].release(finish.digest, finish.endpoint, finish.outcome);
    if (!change)
        return;
    after(m_settings.storeLatency, [this, instance, change = *change] {
        const bool done = write(change);
        m_permits[instance].recordWrite(change, done, m_trials.version(), {});
    });
}

std::size_t CrashSimulation::engineOf(const std::string &id) const
{
    return std::stoul(id.substr(id.find('-') + 1));
}

void CrashSimulation::send(std::size_t instance, const SendRequest &send)
{
    const auto caller = m_callers[instance].find(send.flight);
    if (caller == m_callers[instance].end())
        return;
    auto run = std::make_shared<Run>();
    run->instance = instance;
    run->flight = send.flight;
    run->attempt = send.attempt;
    run->engine = engineOf(send.endpoint);
    if (send.path.size() > 1)
        run->next = engineOf(send.path[1].endpoint);
    run->crashing = caller->second.crashing;
    run->cause = caller->second.cause;
    if (run->crashing)
        m_crashingSends[run->cause].push_back(m_now);
    m_runs.push_back(run);
    if (m_engines[run->engine].crashed) {
        after(NetworkDelay * 2, [this, run] { fail(run, AttemptFailure::NotSent); });
        return;
    }
    const auto startDelay = timeToStart(m_engines[run->engine]);
    if (startDelay)
        after(NetworkDelay + *startDelay, [this, run] { start(run); });
    else
        after(NetworkDelay * 2, [this, run] { reject(run); });
}

/// Time until the engine has prefilled a request that arrives now; nothing if it rejects
/// the request.
std::optional<Duration> CrashSimulation::timeToStart(Engine &engine)
{
    if (m_settings.prefillTime == Duration {})
        return between(40'000, 400'000);
    const Time startsAt = std::max(engine.busyUntil, m_now);
    if (startsAt - m_now > m_settings.maxWait)
        return std::nullopt;
    engine.busyUntil = startsAt + m_settings.prefillTime;
    return engine.busyUntil - m_now;
}

void CrashSimulation::reject(const std::shared_ptr<Run> &run)
{
    if (std::exchange(run->finished, true) || !m_callers[run->instance].contains(run->flight))
        return;
    AnswerHead head;
    head.status = 503;
    head.notExecuted = true;
    step(run->instance, [&](Relay &relay, RelayActions &actions) {
        relay.answered(run->flight, run->attempt, head, m_now, actions);
    });
}

/// Disconnects the caller if it still waits for \a eventsLeft events: then none has arrived since
/// this check was scheduled.
void CrashSimulation::leaveIfIdle(std::size_t instance, FlightId flight, std::uint64_t eventsLeft)
{
    const auto caller = m_callers[instance].find(flight);
    if (caller == m_callers[instance].end())
        return;
    if (caller->second.eventsLeft == eventsLeft) {
        count(caller->second, &Harmless::callersLeft);
        const Caller left = m_callers[instance].extract(caller).mapped();
        step(instance, [&](Relay &relay, RelayActions &actions) {
            relay.callerGone(flight, m_now, actions);
        });
        return retryUntilServed(left);
    }
    after(m_settings.patience, [this, instance, flight, left = caller->second.eventsLeft] {
        leaveIfIdle(instance, flight, left);
    });
}

void CrashSimulation::start(const std::shared_ptr<Run> &run)
{
    if (run->finished || isStopped(*run))
        return;
    if (run->next && m_engines[*run->next].crashed)
        run->stalled = true;
    else if (run->crashing)
        return after(between(30'000, 100'000), [this, run] { applyCrash(run); });
    if (run->stalled)
        return;
    AnswerHead head;
    head.status = 200;
    head.provenExecuted = true;
    step(run->instance, [&](Relay &relay, RelayActions &actions) {
        relay.answered(run->flight, run->attempt, head, m_now, actions);
    });
    nextEvent(run);
}

/// Crashes or hangs an engine as the effect of the run's request. The first engine is affected even
/// if the attempt was abandoned after that engine started it; the second engine is not.
void CrashSimulation::applyCrash(const std::shared_ptr<Run> &run)
{
    const bool middle = m_settings.crashKind == CrashKind::CrashesMiddle;
    if (isStopped(*run)
        || (middle && (run->finished || !run->next || m_engines[*run->next].crashed)))
        return;
    m_crashes[run->cause].push_back(m_now);
    if (middle)
        return crashMiddle(*run->next);
    if (m_settings.crashKind == CrashKind::Hangs)
        return hang(run->engine);
    crashEngine(run->engine);
}

/// Whether the first engine of the run crashed or hangs.
bool CrashSimulation::isStopped(const Run &run) const
{
    return m_engines[run.engine].crashed || m_engines[run.engine].hangs;
}

void CrashSimulation::hang(std::size_t engine)
{
    m_engines[engine].hangs = true;
    after(m_settings.silenceReportDelay, [this, engine] {
        EngineState silent;
        silent.id = m_engines[engine].id;
        silent.silent = true;
        silent.at = m_now;
        for (std::size_t i = 0; i < m_relays.size(); ++i)
            step(i, [&](Relay &relay, RelayActions &actions) {
                relay.applyEngineReports({{silent}, {}}, m_now, actions);
            });
    });
    after(m_settings.restartDelay, [this, engine] { crashEngine(engine); });
}

/// Crashes \a engine, the second engine of some paths. Attempts on these paths are then stalled at
/// their first engines.
void CrashSimulation::crashMiddle(std::size_t engine)
{
    for (const auto &run : m_runs)
        run->stalled = run->stalled || run->next == engine;
    for (const auto &run : m_runs)
        if (run->stalled && run->next == engine)
            after(StallTimeout, [this, run, engine] {
                if (run->stalled && run->next == engine)
                    fail(run, AttemptFailure::Broken);
            });
    crashEngine(engine);
}

std::vector<std::string> CrashSimulation::stalledAt(std::size_t engine) const
{
    std::set<std::string> addresses;
    for (const auto &run : m_runs)
        if (!run->finished && run->stalled && run->engine == engine)
            addresses.insert(m_engines[*run->next].address);
    return {addresses.begin(), addresses.end()};
}

/// Continues the attempt along the new path if both engines are alive.
void CrashSimulation::changePath(std::size_t instance, const ChangePath &change)
{
    after(NetworkDelay, [this, instance, change] {
        const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const auto &run) {
            return !run->finished && run->instance == instance && run->flight == change.flight
                   && run->attempt == change.attempt;
        });
        const std::size_t next = engineOf(change.path[1].endpoint);
        const bool accepted =
            found != m_runs.end() && !isStopped(**found) && !m_engines[next].crashed;
        if (accepted) {
            const std::shared_ptr<Run> run = *found;
            run->next = next;
            run->stalled = false;
            if (run->crashing)
                m_crashingSends[run->cause].push_back(m_now);
            after(between(40'000, 200'000), [this, run] { start(run); });
        }
        step(instance, [&](Relay &relay, RelayActions &actions) {
            relay.pathChanged(change, accepted ? PathReply::Accepted : PathReply::Lost, {}, m_now,
                              actions);
        });
    });
}

void CrashSimulation::nextEvent(const std::shared_ptr<Run> &run)
{
    const auto caller = m_callers[run->instance].find(run->flight);
    if (run->finished || isStopped(*run) || run->stalled
        || caller == m_callers[run->instance].end())
        return;
    run->events += 1;
    caller->second.eventsLeft -= 1;
    step(run->instance, [&](Relay &relay, RelayActions &actions) {
        relay.eventsForwarded(run->flight, run->attempt, m_nextNumber++, m_now, actions);
        if (caller->second.eventsLeft == 0) {
            run->finished = true;
            relay.streamCompleted(run->flight, run->attempt, m_now, actions);
        }
    });
    if (!run->finished)
        after(Duration(100'000), [this, run] { nextEvent(run); });
}

void CrashSimulation::crashAnyEngine()
{
    std::vector<std::size_t> used;
    for (const auto &run : m_runs)
        if (!run->finished && !m_engines[run->engine].crashed)
            used.push_back(run->engine);
    if (!used.empty())
        crashEngine(used[pick(used.size())]);
}

void CrashSimulation::crashEngine(std::size_t engine)
{
    m_engines[engine].crashed = true;
    for (const auto &run : std::vector(m_runs))
        if (run->engine == engine && !run->finished)
            after(NetworkDelay + upTo(m_settings.breakSpread), [this, run] {
                fail(run, run->events > 0 ? AttemptFailure::InvalidAnswer : AttemptFailure::Broken);
            });
    std::erase_if(m_runs, [&](const auto &run) { return run->finished || run->engine == engine; });
    after(m_settings.delistDelay, [this, engine] {
        m_engines[engine].listed = false;
        publishFleet();
    });
    const Duration delay = m_engines[engine].hangs ? Duration(1) : m_settings.restartDelay;
    after(delay, [this, domain = m_engines[engine].domain, layers = m_engines[engine].layers] {
        startEngine(domain, layers);
    });
}

void CrashSimulation::fail(const std::shared_ptr<Run> &run, AttemptFailure failure)
{
    if (std::exchange(run->finished, true) || !m_callers[run->instance].contains(run->flight))
        return;
    step(run->instance, [&](Relay &relay, RelayActions &actions) {
        relay.attemptFailed(run->flight, run->attempt, failure, m_now, actions);
    });
}

void CrashSimulation::passed(std::size_t instance, FlightId flight)
{
    const auto caller = m_callers[instance].find(flight);
    count(caller->second, &Harmless::passed);
    if (caller->second.suspectedSince)
        m_waits.push_back(m_now - *caller->second.suspectedSince);
    m_callers[instance].erase(caller);
}

void CrashSimulation::finished(std::size_t instance, const FinishFlight &finish)
{
    const auto it = m_callers[instance].find(finish.flight);
    Caller caller = it->second;
    m_callers[instance].erase(it);
    if (finish.reason.starts_with("request quarantined"))
        count(caller, &Harmless::quarantined);
    if (caller.crashing && finish.outcome == FlightOutcome::NotExecuted)
        m_refusals.emplace_back(m_now, m_now - caller.submittedAt);
    if (finish.outcome != FlightOutcome::Truncated && caller.retries > 0) {
        caller.retries -= 1;
        after(std::max(finish.retryAfter, Duration(20'000)),
              [this, caller] { submit(pick(m_settings.instances), caller); });
        return;
    }
    count(caller,
          finish.outcome == FlightOutcome::NotExecuted ? &Harmless::refused : &Harmless::broken);
    retryUntilServed(caller);
}

/// Sends a request of addSuspects() again whose caller left, or received a truncated answer.
void CrashSimulation::retryUntilServed(const Caller &caller)
{
    if (caller.suspectedSince)
        after(Duration(20'000), [this, caller] { submit(pick(m_settings.instances), caller); });
}

void CrashSimulation::queryEngine(std::size_t instance, const QueryEngine &query)
{
    after(NetworkDelay * 2, [this, instance, queriedAt = m_now, endpoint = query.endpoint] {
        const std::size_t engine = engineOf(endpoint);
        if (m_engines[engine].hangs && !m_engines[engine].crashed)
            return after(QueryTimeout, [this, instance, endpoint] {
                step(instance, [&](Relay &relay, RelayActions &actions) {
                    relay.queryFailed(endpoint, m_now, actions, false);
                });
            });
        step(instance, [&](Relay &relay, RelayActions &actions) {
            if (m_engines[engine].crashed)
                relay.queryFailed(endpoint, m_now, actions, true);
            else {
                relay.endpointAnswered(endpoint, queriedAt);
                relay.queryAnswered(endpoint, stalledAt(engine), 1, m_now, actions);
            }
        });
    });
}

std::vector<Time> CrashSimulation::crashes() const
{
    std::vector<Time> result;
    for (const auto &[digest, crashes] : m_crashes)
        if (crashes.size() > result.size())
            result = crashes;
    return result;
}

std::size_t CrashSimulation::allCrashes() const
{
    std::size_t all = 0;
    for (const auto &[cause, crashes] : m_crashes)
        all += crashes.size();
    return all;
}

std::size_t CrashSimulation::sendsAfterCrash(std::size_t crash, Duration after) const
{
    std::size_t result = 0;
    for (const auto &[cause, crashes] : m_crashes) {
        if (crashes.size() < crash)
            continue;
        const Time since = crashes[crash - 1] + after;
        const std::vector<Time> &sends = m_crashingSends.at(cause);
        const auto late =
            std::count_if(sends.begin(), sends.end(), [&](Time at) { return at > since; });
        result = std::max(result, static_cast<std::size_t>(late));
    }
    return result;
}

Duration CrashSimulation::longestRefusal(Duration from) const
{
    Duration longest {};
    for (const auto &[at, duration] : m_refusals)
        if (at - m_startedAt >= from)
            longest = std::max(longest, duration);
    return longest;
}

} // namespace balsamloft::fakes
