// Attempts: steps through the chain, tokens, and the completion of requests.

#include "routerimpl.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace balsamloft {

namespace {

constexpr double SmoothingWeight = 0.1;

void smooth(double &value, double sample)
{
    value = value == 0 ? sample : value + SmoothingWeight * (sample - value);
}

double micros(Duration duration)
{
    return static_cast<double>(duration.count());
}

std::string concatenated(const std::string &prompt, const std::vector<std::string> &tokens)
{
    std::string text = prompt;
    for (const std::string &token : tokens)
        text += token;
    return text;
}

} // namespace

Flight *Router::Impl::find(RequestId id)
{
    const auto it = m_flights.find(id);
    return it == m_flights.end() ? nullptr : &it->second;
}

Target &Router::Impl::targetOf(const Flight &flight)
{
    return m_targets[targetKey(flight.request.kind, flight.request.target)];
}

void Router::Impl::setTimer(Flight &flight, Time at)
{
    if (flight.is_linked())
        m_timers.erase(m_timers.iterator_to(flight));
    flight.timer = at;
    m_timers.insert(flight);
}

void Router::Impl::dispatch(Flight &flight, const Chain &chain, Time now, Actions &actions)
{
    flight.chain = chain;
    for (const Stage &stage : chain)
        m_loads.dispatched(stage.endpoint, now);
    if (flight.request.key.empty() || flight.claimed)
        return startAttempt(flight, now, actions);
    flight.state = FlightState::Claiming;
    setTimer(flight, flight.request.deadline);
    actions.push_back(StartClaim {flight.request.id, flight.request.team, flight.request.key,
                                  flight.request.contentDigest, flight.request.deadline});
}

void Router::Impl::startAttempt(Flight &flight, Time now, Actions &actions)
{
    ++flight.attempt;
    ++m_counters.dispatched;
    if (flight.attempt == 1)
        m_budget.requestStarted();
    flight.state = FlightState::Running;
    flight.stage = 0;
    flight.silentPeriods = 0;
    flight.prefillPass = true;
    flight.attemptMayHaveExecuted = false;
    flight.lastTokenAt = now;
    std::string route;
    for (const Stage &stage : flight.chain)
        route += (route.empty() ? "" : " > ") + m_loads.state(stage.endpoint).name
                 + (stage.byAffinity ? " (prefix affinity)" : "");
    m_trace.add(flight.request.id, now,
                "attempt " + std::to_string(flight.attempt) + " to " + route + ", load "
                    + std::to_string(m_loads.estimatedLoad(flight.chain.front().endpoint, now)));
    if (flight.request.kind == TargetKind::Service) {
        flight.stepSentAt = now;
        flight.mayHaveExecuted = flight.attemptMayHaveExecuted = true;
        setTimer(flight, std::min(flight.request.deadline, now + responseTimeout(flight)));
        actions.push_back(SendCall {flight.request.id, flight.attempt,
                                    flight.chain.front().endpoint, flight.request.deadline});
        return;
    }
    sendStep(flight, concatenated(flight.request.prompt, flight.tokens), now, actions);
}

Duration Router::Impl::responseTimeout(const Flight &flight) const
{
    if (flight.request.kind == TargetKind::Service)
        return m_settings.serviceCallTimeout;
    const EndpointState &state = m_loads.state(flight.chain[flight.stage].endpoint);
    const double expected = micros(
        state.stepTime > Duration::zero() ? state.stepTime : m_settings.routing.defaultStepTime);
    if (!flight.prefillPass)
        return std::max(m_settings.minStepTimeout, Duration(static_cast<std::int64_t>(
                                                       m_settings.stepTimeoutFactor * expected)));
    const auto inputTokens =
        static_cast<double>(promptTokens(flight.request) + flight.tokens.size());
    const double prefill = inputTokens * micros(m_settings.routing.prefillPerToken) / state.speed;
    return std::max(
        m_settings.minPrefillTimeout,
        Duration(static_cast<std::int64_t>(m_settings.stepTimeoutFactor * (expected + prefill))));
}

void Router::Impl::sendStep(Flight &flight, std::string input, Time now, Actions &actions)
{
    const Stage &stage = flight.chain[flight.stage];
    SendStep step;
    step.ref = {flight.request.id, flight.attempt, static_cast<std::uint32_t>(flight.tokens.size()),
                stage.layers};
    step.endpoint = stage.endpoint;
    step.prefill = flight.prefillPass;
    step.firstStage = flight.stage == 0;
    step.lastStage = flight.stage + 1 == flight.chain.size();
    step.lastToken = flight.tokens.size() + 1 == flight.request.maxTokens;
    step.priority = flight.request.priority;
    step.deadline = flight.request.deadline;
    step.input = std::move(input);
    flight.stepSentAt = now;
    flight.mayHaveExecuted = flight.attemptMayHaveExecuted = true;
    setTimer(flight, std::min(flight.request.deadline, now + responseTimeout(flight)));
    actions.push_back(std::move(step));
}

void Router::Impl::stepAnswered(const StepRef &awaited, const StepAnswer &answer, Time now,
                                Actions &actions)
{
    Flight *flight = find(awaited.request);
    const bool current = flight && flight->state == FlightState::Running
                         && flight->attempt == awaited.attempt
                         && flight->tokens.size() == awaited.position
                         && flight->chain[flight->stage].layers == awaited.layers;
    // An endpoint may still answer a step of an abandoned attempt. The token would appear in the
    // stream twice or at the wrong position.
    if (!current) {
        ++m_counters.lateAnswers;
        return;
    }
    // The echoed reference shows that the connection delivered the answer to another step. The
    // answer is dropped and the awaited step counts as failed.
    if (answer.ref != awaited) {
        ++m_counters.mismatchedAnswers;
        return stepFailed(awaited, FailureKind::Broken, std::nullopt, now, actions);
    }
    const Stage &stage = flight->chain[flight->stage];
    applyLoadReport(stage.endpoint, answer.load, now, actions);
    m_loads.succeeded(stage.endpoint);
    if (flight->prefillPass)
        m_loads.accepted(stage.endpoint);
    else if (answer.load.stepTime > Duration::zero())
        m_loads.observedRoundTrip(stage.endpoint, now - flight->stepSentAt - answer.load.stepTime,
                                  now);
    if (stage.byAffinity && flight->prefillPass && flight->stage == 0)
        m_loads.affinityOutcome(stage.endpoint, answer.prefixHit);
    flight->silentPeriods = 0;
    if (flight->stage + 1 < flight->chain.size()) {
        ++flight->stage;
        return sendStep(*flight, answer.output, now, actions);
    }
    recordToken(*flight, answer, now, actions);
}

void Router::Impl::recordToken(Flight &flight, const StepAnswer &answer, Time now, Actions &actions)
{
    Target &target = targetOf(flight);
    if (flight.prefillPass)
        smooth(target.firstTokenMicros, micros(now - flight.lastTokenAt));
    else
        smooth(target.tokenMicros, micros(now - flight.lastTokenAt));
    flight.lastTokenAt = now;
    flight.prefillPass = false;
    flight.stage = 0;
    flight.tokens.push_back(answer.output);
    ++m_counters.tokens;
    actions.push_back(EmitToken {flight.request.id, answer.output});
    const bool complete = answer.end || flight.tokens.size() >= flight.request.maxTokens;
    if (!complete)
        return sendStep(flight, answer.output, now, actions);
    if (flight.tokens.size() < flight.request.maxTokens)
        cancelStages(flight, flight.chain.back().endpoint, actions);
    smooth(target.lengthRatio,
           static_cast<double>(flight.tokens.size()) / flight.request.maxTokens);
    Answer result;
    result.body = concatenated({}, flight.tokens);
    result.tokens = static_cast<std::uint32_t>(flight.tokens.size());
    finish(flight, std::move(result), now, actions);
}

void Router::Impl::callAnswered(RequestId id, std::uint32_t attempt, Answer answer, Time now,
                                Actions &actions)
{
    Flight *flight = find(id);
    if (!flight || flight->state != FlightState::Running || flight->attempt != attempt) {
        ++m_counters.lateAnswers;
        return;
    }
    m_loads.succeeded(flight->chain.front().endpoint);
    smooth(targetOf(*flight).firstTokenMicros, micros(now - flight->stepSentAt));
    finish(*flight, std::move(answer), now, actions);
}

void Router::Impl::recordFinish(Target &target, double cost, Time now)
{
    const double elapsed = micros(now - target.finishedAt);
    if (target.finishedCost == 0)
        target.firstFinishAt = now;
    target.finishedCost = target.finishedCost * std::exp(-elapsed / DrainWindowMicros) + cost;
    target.finishedAt = now;
}

void Router::Impl::release(Flight &flight, Time now)
{
    for (const Stage &stage : flight.chain)
        m_loads.released(stage.endpoint, now);
    flight.chain.clear();
}

void Router::Impl::cancelStages(const Flight &flight, EndpointId except, Actions &actions) const
{
    // Plain services have no cancellation; closing the connection has to suffice.
    if (flight.request.kind == TargetKind::Service)
        return;
    for (const Stage &stage : flight.chain) {
        if (stage.endpoint != except)
            actions.push_back(CancelAttempt {flight.request.id, flight.attempt, stage.endpoint});
    }
}

void Router::Impl::remove(Flight &flight)
{
    if (flight.is_linked())
        m_timers.erase(m_timers.iterator_to(flight));
    m_limits.finished(flight.request.team);
    m_flights.erase(flight.request.id);
}

void Router::Impl::finish(Flight &flight, Answer answer, Time now, Actions &actions)
{
    const RequestId id = flight.request.id;
    Target &target = targetOf(flight);
    ++m_counters.finished;
    m_trace.add(id, now, "finished with " + std::to_string(flight.tokens.size()) + " tokens");
    if (!answer.replayed)
        recordFinish(target, flight.cost, now);
    if (flight.claimed)
        actions.push_back(ResolveClaim {id, ClaimOutcome::Finished, answer});
    release(flight, now);
    remove(flight);
    actions.push_back(FinishRequest {id, std::move(answer)});
    dispatchQueued(target, now, actions);
}

void Router::Impl::refuse(Flight &flight, RefusalCode code, std::string message,
                          Duration retryAfter, Time now, Actions &actions)
{
    const RequestId id = flight.request.id;
    Target &target = targetOf(flight);
    const Executed executed = flight.mayHaveExecuted ? Executed::Unknown : Executed::No;
    ++(executed == Executed::No ? m_counters.refusedNotExecuted : m_counters.refusedOutcomeUnknown);
    m_trace.add(id, now, "refused: " + std::string(toString(code)) + ": " + message);
    if (flight.state == FlightState::Running)
        cancelStages(flight, NoEndpoint, actions);
    if (flight.claimed)
        actions.push_back(ResolveClaim {
            id, executed == Executed::No ? ClaimOutcome::NotExecuted : ClaimOutcome::Unknown, {}});
    target.queue.remove(id);
    release(flight, now);
    remove(flight);
    actions.push_back(RefuseRequest {id, code, std::move(message), executed, retryAfter});
    dispatchQueued(target, now, actions);
}

} // namespace balsamloft
