#include "relayharness.h"

#include <algorithm>

namespace balsamloft::fakes {

LayeredModel testModel(std::uint32_t layers)
{
    LayeredModel model;
    model.layers = layers;
    model.layerMegabytes = 1000;
    model.bytesPerToken = 10'000.0 * layers;
    model.stepMs = 1;
    model.perSequenceMs = 0.01;
    model.contextMsPer1kTokens = 0.01;
    model.prefillTokensPerMs = 100;
    model.tokensPerPass = 3;
    model.loadSeconds = 10;
    model.typicalPromptTokens = 800;
    model.typicalAnswerTokens = 200;
    model.kinds = {{"fast", 40'000, 2, 2}, {"slow", 12'000, 10, 6}};
    return model;
}

RelaySettings RelayHarness::defaults()
{
    RelaySettings settings;
    settings.domain = "near";
    settings.retrySlack = 300;
    return settings;
}

RelayHarness::RelayHarness(std::vector<RelayEngine> engines, RelaySettings settings)
    : relay(std::move(settings))
{
    relay.setInstances(1, 1, now);
    RouteMapBuilder builder(1);
    builder.service({"model", 100, testModel(8)});
    builder.service({"plain", 100, std::nullopt});
    const auto route = [&](std::string name, RequestKind kind, std::string service,
                           bool resumable = false) {
        Route each;
        each.name = name;
        each.host = "host";
        each.prefix = "/" + name + "/";
        each.kind = kind;
        each.timeout = Duration(10'000'000);
        each.targetLatency = Duration(500'000);
        each.maxAttempts = 2;
        each.resumable = resumable;
        builder.route(std::move(each), {{std::move(service), 1}});
    };
    route("safe", RequestKind::Safe, "plain");
    route("unsafe", RequestKind::Unsafe, "plain");
    route("stream", RequestKind::Stream, "model", true);
    route("stream-once", RequestKind::Stream, "model");
    m_table = builder.build();
    for (const RelayEngine &each : engines)
        list(each);
    publishFleet();
}

void RelayHarness::list(const RelayEngine &engine)
{
    FleetEndpoint endpoint;
    endpoint.id = endpoint.name = engine.id;
    endpoint.service = engine.layers.end == 0 ? "plain" : "model";
    endpoint.address = "10.0.0.1:" + std::to_string(m_nextPort++);
    endpoint.domain = engine.domain;
    endpoint.kind = engine.layers.end == 0 ? "" : engine.kind;
    endpoint.slots = 8;
    endpoint.layers = engine.layers;
    m_endpoints.push_back(std::move(endpoint));
}

void RelayHarness::add(const RelayEngine &engine)
{
    list(engine);
    publishFleet();
}

void RelayHarness::publishFleet()
{
    auto fleet = std::make_shared<FleetSnapshot>();
    fleet->number = m_next++;
    fleet->endpoints = m_endpoints;
    relay.setFleet(fleet, now, actions);
}

FlightId RelayHarness::submit(RequestKind kind, Duration timeLeft, std::string digest)
{
    return submitTo(static_cast<std::size_t>(kind), timeLeft, std::move(digest));
}

FlightId RelayHarness::submitStreamOnce(std::string digest)
{
    constexpr std::size_t StreamOnceRoute = 3;
    return submitTo(StreamOnceRoute, Duration(20'000'000), std::move(digest));
}

FlightId RelayHarness::submitTo(std::size_t route, Duration timeLeft, std::string digest)
{
    RelayRequest request;
    request.id = "request-" + std::to_string(m_next++);
    request.digest = std::move(digest);
    request.table = m_table;
    request.route = &m_table->routes()[route];
    request.service = request.route->targets.front().service;
    request.timeLeft = timeLeft;
    request.promptTokens = 100;
    request.answerTokens = 50;
    return relay.submit(std::move(request), now, actions);
}

void RelayHarness::setInstances(const std::vector<PeerInstance> &instances, const std::string &self,
                                Duration clockBehind)
{
    const auto own = std::find_if(instances.begin(), instances.end(),
                                  [&](const PeerInstance &each) { return each.name == self; });
    if (own == instances.end())
        return;
    const auto near =
        std::count_if(instances.begin(), instances.end(),
                      [&](const PeerInstance &each) { return each.domain == own->domain; });
    relay.setInstances(static_cast<std::size_t>(near), instances.size(), now);
    relay.shareLimits(instances, self, clockBehind, now);
}

void RelayHarness::advance(Duration duration, Duration step)
{
    const Time until = now + duration;
    while (now < until) {
        now += std::min(step, until - now);
        relay.tick(now, actions);
    }
}

bool RelayHarness::answer(FlightId flight, int status, bool provenExecuted, bool notExecuted,
                          std::string_view faultyAddress)
{
    AnswerHead head;
    head.status = status;
    head.provenExecuted = provenExecuted;
    head.notExecuted = notExecuted;
    head.faultyAddress = faultyAddress;
    return relay.answered(flight, sends(flight).back().attempt, head, now, actions);
}

void RelayHarness::refuse(FlightId flight, Duration retryAfter, std::string_view faultyAddress)
{
    AnswerHead head;
    head.status = 503;
    head.notExecuted = true;
    head.faultyAddress = faultyAddress;
    head.announcement.retryAfter = retryAfter;
    relay.answered(flight, sends(flight).back().attempt, head, now, actions);
}

void RelayHarness::forwardEvents(FlightId flight, std::uint64_t lastEvent)
{
    relay.eventsForwarded(flight, sends(flight).back().attempt, lastEvent, now, actions);
}

void RelayHarness::fail(FlightId flight, AttemptFailure failure)
{
    relay.attemptFailed(flight, sends(flight).back().attempt, failure, now, actions);
}

void RelayHarness::completeStream(FlightId flight)
{
    relay.streamCompleted(flight, sends(flight).back().attempt, now, actions);
}

void RelayHarness::answerPathChange(FlightId flight, PathReply reply, const std::string &faulty)
{
    answerPathChange(pathChanges(flight).back(), reply, faulty);
}

void RelayHarness::answerPathChange(const ChangePath &change, PathReply reply,
                                    const std::string &faulty)
{
    relay.pathChanged(change, reply, addressOf(faulty), now, actions);
}

void RelayHarness::drain(const std::string &id)
{
    for (FleetEndpoint &each : m_endpoints)
        if (each.id == id)
            each.draining = true;
    publishFleet();
}

void RelayHarness::remove(const std::string &id)
{
    std::erase_if(m_endpoints, [&](const FleetEndpoint &each) { return each.id == id; });
    publishFleet();
}

std::string RelayHarness::addressOf(const std::string &id) const
{
    for (const FleetEndpoint &each : m_endpoints)
        if (each.id == id)
            return each.address;
    return {};
}

namespace {

/// The actions of one type for \a flight, in order.
template<typename Action>
std::vector<Action> actionsOf(const RelayActions &actions, FlightId flight)
{
    std::vector<Action> found;
    for (const RelayAction &action : actions)
        if (const auto *each = std::get_if<Action>(&action); each && each->flight == flight)
            found.push_back(*each);
    return found;
}

} // namespace

std::vector<SendRequest> RelayHarness::sends(FlightId flight) const
{
    return actionsOf<SendRequest>(actions, flight);
}

std::vector<RequestTrial> RelayHarness::trialRequests(FlightId flight) const
{
    return actionsOf<RequestTrial>(actions, flight);
}

void RelayHarness::answerTrial(FlightId flight, const TrialAnswer &answer)
{
    answerTrial(trialRequests(flight).back(), answer);
}

void RelayHarness::answerTrial(const RequestTrial &request, const TrialAnswer &answer)
{
    relay.trialAnswered(request, answer, now, actions);
}

std::vector<TrialOutcome> RelayHarness::finishedTrials() const
{
    std::vector<TrialOutcome> outcomes;
    for (const RelayAction &action : actions)
        if (const auto *finish = std::get_if<FinishTrial>(&action))
            outcomes.push_back(finish->outcome);
    return outcomes;
}

std::vector<ChangePath> RelayHarness::pathChanges(FlightId flight) const
{
    return actionsOf<ChangePath>(actions, flight);
}

std::optional<FinishFlight> RelayHarness::finished(FlightId flight) const
{
    const auto finishes = actionsOf<FinishFlight>(actions, flight);
    return finishes.empty() ? std::nullopt : std::make_optional(finishes.front());
}

bool RelayHarness::passed(FlightId flight) const
{
    return !actionsOf<ForwardAnswer>(actions, flight).empty();
}

std::size_t RelayHarness::abandoned(FlightId flight) const
{
    return actionsOf<AbandonAttempt>(actions, flight).size();
}

std::vector<std::string> RelayHarness::queriedEngines() const
{
    std::vector<std::string> found;
    for (const RelayAction &action : actions)
        if (const auto *query = std::get_if<QueryEngine>(&action))
            found.push_back(query->endpoint);
    return found;
}

} // namespace balsamloft::fakes
