// Admission: rules, limits, deadlines, the queues and dispatch.

#include "routerimpl.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamloft {

namespace {

constexpr std::size_t TraceCapacity = 8192;
constexpr std::size_t PrefixBytes = 256; ///< length of the prompt prefix hashed for affinity
constexpr double MinShare = 1e-6;
constexpr Duration MinRetryAfter {100'000};
constexpr Duration MaxRetryAfter {60'000'000};
constexpr Duration RetryAfterNotReady {1'000'000};

bool isNonIdempotentPath(const Service &service, std::string_view path)
{
    const PathRule *best = nullptr;
    for (const PathRule &rule : service.paths) {
        if (path.starts_with(rule.prefix) && (!best || rule.prefix.size() > best->prefix.size()))
            best = &rule;
    }
    return best && best->nonIdempotent;
}

} // namespace

std::uint32_t promptTokens(const Request &request)
{
    return static_cast<std::uint32_t>(request.prompt.size() / BytesPerToken + 1);
}

Router::Impl::Impl(RouterSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_loads(m_settings.load)
    , m_chooser(m_settings.routing, m_settings.domain, seed)
    , m_budget(m_settings.retry)
    , m_trace(TraceCapacity)
    , m_random(static_cast<std::minstd_rand::result_type>(seed ^ 0x9e3779b9U))
{
}

std::string Router::Impl::targetKey(TargetKind kind, std::string_view name)
{
    return (kind == TargetKind::Model ? "model/" : "service/") + std::string(name);
}

void Router::Impl::setConfig(ConfigPtr config, Time now, Actions &actions)
{
    m_config = std::move(config);
    m_loads.setConfig(*m_config);
    m_chooser.setConfig(*m_config, m_loads);
    rebuildTargets(now, actions);
    if (m_endpointCheckAt == Time {})
        m_endpointCheckAt = now + m_settings.endpointCheckInterval;
    dispatchAllQueues(now, actions);
}

void Router::Impl::rebuildTargets(Time now, Actions &actions)
{
    for (auto &[key, target] : m_targets)
        target.table = CandidateTable {};
    for (const Model &model : m_config->models())
        m_targets[targetKey(TargetKind::Model, model.name)].table =
            CandidateTable::forModel(*m_config, model, m_loads, m_settings.domain);
    for (const Service &service : m_config->services())
        m_targets[targetKey(TargetKind::Service, service.name)].table =
            CandidateTable::forService(*m_config, service, m_loads, m_settings.domain);

    std::vector<RequestId> unservable;
    for (const auto &[id, flight] : m_flights) {
        if (flight.state == FlightState::Queued
            && m_targets[targetKey(flight.request.kind, flight.request.target)]
                   .table.versions()
                   .empty())
            unservable.push_back(id);
    }
    for (const RequestId id : unservable)
        refuse(*find(id), RefusalCode::NoEndpoint,
               "the current configuration has no endpoint for this target", Duration::zero(), now,
               actions);
}

std::optional<Router::Impl::Denial> Router::Impl::applyRules(Request &request) const
{
    if (request.kind == TargetKind::Model) {
        const Model *model = m_config->model(request.target);
        if (!model)
            return Denial {RefusalCode::UnknownModel, "there is no model " + request.target};
        if (request.maxTokens == 0 || request.maxTokens > m_settings.maxTokens)
            return Denial {RefusalCode::InvalidRequest,
                           "max_tokens must be from 1 to " + std::to_string(m_settings.maxTokens)};
        request.nonIdempotent = request.nonIdempotent || model->nonIdempotent;
        return std::nullopt;
    }
    const Service *service = m_config->service(request.target);
    if (!service)
        return Denial {RefusalCode::UnknownService, "there is no service " + request.target};
    request.nonIdempotent = request.nonIdempotent || !request.idempotentMethod
                            || isNonIdempotentPath(*service, request.path);
    return std::nullopt;
}

std::optional<Router::Impl::Denial> Router::Impl::checkLimits(const Request &request,
                                                              const Team &team, Time now)
{
    switch (m_limits.admit(team, now)) {
    case TeamLimits::AdmissionResult::RateExceeded:
        return Denial {RefusalCode::RateLimited, "team " + request.team + " is over its rate limit",
                       std::max(MinRetryAfter, m_limits.retryAfter(team, now))};
    case TeamLimits::AdmissionResult::ConcurrencyExceeded: {
        const auto target = m_targets.find(targetKey(request.kind, request.target));
        const Duration service =
            target == m_targets.end() ? Duration::zero() : expectedService(target->second, request);
        return Denial {RefusalCode::ConcurrencyLimited,
                       "team " + request.team + " has too many requests running",
                       std::max(MinRetryAfter, service)};
    }
    case TeamLimits::AdmissionResult::Admitted:
        break;
    }
    return std::nullopt;
}

Duration Router::Impl::expectedService(const Target &target, const Request &request) const
{
    if (request.kind == TargetKind::Service)
        return Duration(static_cast<std::int64_t>(target.firstTokenMicros));
    const double tokens = std::max(1.0, request.maxTokens * target.lengthRatio);
    return Duration(
        static_cast<std::int64_t>(target.firstTokenMicros + (tokens - 1) * target.tokenMicros));
}

double Router::Impl::drainRate(const Target &target, Time now)
{
    if (target.finishedCost <= 0)
        return 0;
    const auto sinceLast = static_cast<double>((now - target.finishedAt).count());
    const auto sinceFirst = static_cast<double>((now - target.firstFinishAt).count());
    const double observed = DrainWindowMicros * (1 - std::exp(-sinceFirst / DrainWindowMicros));
    if (observed < DrainWindowMicros / 100)
        return 0; // observed for too short a time
    return target.finishedCost * std::exp(-sinceLast / DrainWindowMicros) / observed;
}

Duration Router::Impl::expectedWait(const Target &target, const Request &request, double share,
                                    Time now) const
{
    const double ahead =
        target.queue.costAhead(static_cast<int>(request.priority), request.team, share);
    const double rate = drainRate(target, now);
    if (ahead <= 0 || rate <= 0)
        return Duration::zero();
    const double micros = std::min(ahead / rate, static_cast<double>(MaxRetryAfter.count()) * 10);
    return Duration(static_cast<std::int64_t>(micros));
}

double Router::Impl::jitter()
{
    return std::uniform_real_distribution<double>(0.8, 1.2)(m_random);
}

std::optional<Router::Impl::Denial> Router::Impl::checkDeadline(const Target &target,
                                                                const Flight &flight,
                                                                const Team &team, Time now) const
{
    const Request &request = flight.request;
    if (target.table.versions().empty())
        return Denial {RefusalCode::NoEndpoint, "no endpoint serves " + request.target,
                       RetryAfterNotReady};
    const Duration wait = expectedWait(target, request, std::max(MinShare, team.share), now);
    if (target.queue.size() >= m_settings.maxQueued)
        return Denial {RefusalCode::QueueFull, "the queue for " + request.target + " is full",
                       std::clamp(wait, MinRetryAfter, MaxRetryAfter)};
    if (now + wait + expectedService(target, request) > request.deadline)
        return Denial {RefusalCode::DeadlineUnmeetable,
                       "the request's deadline cannot be met at the present load",
                       std::clamp(wait, MinRetryAfter, MaxRetryAfter)};
    return std::nullopt;
}

void Router::Impl::submit(Request request, Time now, Actions &actions)
{
    ++m_counters.submitted;
    const RequestId id = request.id;
    const auto deny = [&](Denial denial) {
        ++m_counters.refusedNotExecuted;
        m_trace.add(id, now,
                    "refused: " + std::string(toString(denial.code)) + ": " + denial.message);
        const Duration retryAfter(
            static_cast<std::int64_t>(static_cast<double>(denial.retryAfter.count()) * jitter()));
        actions.push_back(
            RefuseRequest {id, denial.code, std::move(denial.message), Executed::No, retryAfter});
    };
    if (m_draining)
        return deny({RefusalCode::Draining, "this instance is shutting down", MinRetryAfter});
    if (!m_config)
        return deny({RefusalCode::NotReady, "no configuration yet", RetryAfterNotReady});
    const Team *team = m_config->team(request.team);
    if (!team)
        return deny({RefusalCode::InvalidRequest, "there is no team " + request.team});
    if (auto denial = applyRules(request))
        return deny(std::move(*denial));
    Target &target = m_targets[targetKey(request.kind, request.target)];
    target.requestedTokens += request.maxTokens * target.lengthRatio;
    request.priority = std::max(request.priority, team->maxPriority);
    if (auto denial = checkLimits(request, *team, now))
        return deny(std::move(*denial));

    Flight &flight = m_flights[id];
    flight.request = std::move(request);
    flight.submittedAt = now;
    flight.cost = std::max<double>(1, flight.request.maxTokens);
    if (auto denial = checkDeadline(target, flight, *team, now)) {
        m_limits.finished(team->name);
        m_flights.erase(id);
        return deny(std::move(*denial));
    }
    m_trace.add(id, now,
                "queued as " + std::string(toString(flight.request.priority)) + " behind "
                    + std::to_string(target.queue.size()) + " others");
    enqueue(flight, false, now);
    dispatchQueued(target, now, actions);
}

void Router::Impl::enqueue(Flight &flight, bool resumed, Time now)
{
    Target &target = targetOf(flight);
    flight.state = FlightState::Queued;
    const Team *team = m_config->team(flight.request.team);
    QueueItem item {flight.request.id,
                    flight.request.team,
                    team ? std::max(MinShare, team->share) : MinShare,
                    static_cast<int>(flight.request.priority),
                    flight.request.deadline,
                    flight.cost};
    if (resumed)
        target.queue.pushResumed(std::move(item));
    else
        target.queue.push(std::move(item));
    // The timer expires at the latest time at which the request can start and still finish
    // before its deadline. A request with tokens already sent may wait until the deadline.
    const Duration service =
        flight.tokens.empty() ? expectedService(target, flight.request) : Duration::zero();
    setTimer(flight, std::max(now, flight.request.deadline - service));
    m_dispatchAt = m_dispatchAt == Time {} ? now + m_settings.dispatchInterval : m_dispatchAt;
}

RouteQuery Router::Impl::routeQuery(const Target &target, const Flight &flight, Time now) const
{
    RouteQuery query;
    query.priority = flight.request.priority;
    query.avoid = flight.avoid;
    query.timeLeft = flight.request.deadline - now;
    if (flight.request.kind == TargetKind::Model) {
        const std::string_view prompt = flight.request.prompt;
        const std::string_view prefix = prompt.substr(0, PrefixBytes);
        query.prefixHash = XXH3_64bits(prefix.data(), prefix.size());
        const double left = flight.request.maxTokens - static_cast<double>(flight.tokens.size());
        query.tokens = std::max(1.0, left * target.lengthRatio);
        query.promptTokens = promptTokens(flight.request);
    }
    return query;
}

void Router::Impl::dispatchQueued(Target &target, Time now, Actions &actions)
{
    // refuse() calls dispatchQueued(): without this check, the recursion could become as deep as
    // the queue is long.
    if (std::exchange(m_dispatching, true))
        return;
    dispatchQueuedOnce(target, now, actions);
    m_dispatching = false;
}

void Router::Impl::dispatchQueuedOnce(Target &target, Time now, Actions &actions)
{
    while (const QueueItem *item = target.queue.front()) {
        Flight &flight = *find(item->request);
        RouteQuery query = routeQuery(target, flight, now);
        if (!m_chooser.choose(target.table, m_loads, query, now, m_chain)) {
            // If a chain is free, but none can meet this deadline, the request is refused now.
            // Otherwise it would block the requests behind it until its deadline.
            query.timeLeft = Duration::max();
            if (!m_chooser.choose(target.table, m_loads, query, now, m_chain))
                return;
            refuse(flight, RefusalCode::DeadlineUnmeetable,
                   "the request's deadline can no longer be met", MinRetryAfter, now, actions);
            continue;
        }
        target.queue.pop();
        dispatch(flight, m_chain, now, actions);
    }
}

void Router::Impl::dispatchAllQueues(Time now, Actions &actions)
{
    bool waiting = false;
    for (auto &[key, target] : m_targets) {
        if (target.queue.empty())
            continue;
        dispatchQueued(target, now, actions);
        waiting = waiting || !target.queue.empty();
    }
    m_dispatchAt = waiting ? now + m_settings.dispatchInterval : Time {};
}

void Router::Impl::claimAnswered(RequestId id, const ClaimAnswer &answer, Time now,
                                 Actions &actions)
{
    Flight *flight = find(id);
    if (!flight || flight->state != FlightState::Claiming) {
        // Meanwhile the request was refused without being sent, so the key is freed if the claim
        // was won.
        if (answer.kind == ClaimAnswer::Kind::Won)
            actions.push_back(ResolveClaim {id, ClaimOutcome::NotExecuted, {}});
        return;
    }
    switch (answer.kind) {
    case ClaimAnswer::Kind::Won:
        flight->claimed = true;
        m_trace.add(id, now, "idempotency key claimed");
        // Checks the deadline again before anything is sent: the answer may have been late,
        // or this process may have been paused.
        if (now >= flight->request.deadline)
            return refuse(*flight, RefusalCode::DeadlineExceeded,
                          "the deadline passed before the idempotency key was claimed",
                          MinRetryAfter, now, actions);
        return startAttempt(*flight, now, actions);
    case ClaimAnswer::Kind::Finished: {
        Answer stored = answer.answer;
        stored.replayed = true;
        m_trace.add(id, now,
                    "answered with the stored answer to an earlier request with the same key");
        return finish(*flight, std::move(stored), now, actions);
    }
    case ClaimAnswer::Kind::Held:
        flight->mayHaveExecuted = true;
        return refuse(*flight, RefusalCode::DuplicateInProgress,
                      "another request with this idempotency key is in progress or has an "
                      "unknown outcome",
                      RetryAfterNotReady, now, actions);
    case ClaimAnswer::Kind::KeyReused:
        return refuse(*flight, RefusalCode::KeyReused,
                      "this idempotency key was already used with different content",
                      Duration::zero(), now, actions);
    case ClaimAnswer::Kind::Unavailable:
        return refuse(*flight, RefusalCode::ClaimUnavailable,
                      "the idempotency key could not be claimed: the table service did not "
                      "answer in time",
                      RetryAfterNotReady, now, actions);
    }
}

} // namespace balsamloft
