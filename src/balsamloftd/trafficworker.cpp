#include "trafficworker.h"

#include "log.h"

#include <balsamloft/enginewire.h>

#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/json.hpp>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr std::string_view Part = "traffic";
constexpr Duration MaxTickInterval {1'000'000};
constexpr Duration CancelTimeout {2'000'000};

HttpRequest engineRequest(http::verb method, std::string_view path, std::string body)
{
    HttpRequest request(method, {path.data(), path.size()}, 11);
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    return request;
}

FailureKind failureKind(HttpFailure::Kind kind)
{
    switch (kind) {
    case HttpFailure::Kind::NotSent:
        return FailureKind::NotSent;
    case HttpFailure::Kind::Broken:
        return FailureKind::Broken;
    case HttpFailure::Kind::TimedOut:
        return FailureKind::Silent;
    }
    return FailureKind::Broken;
}

/// Maps the HTTP status of an engine's answer, other than 200, to the failure of the step.
FailureKind failureKindOfStatus(unsigned status)
{
    switch (status) {
    case 429:
        return FailureKind::Busy;
    case 503:
        return FailureKind::Leaving;
    case 409:
        return FailureKind::StateLost;
    default:
        return FailureKind::Broken;
    }
}

/// Whether the body of a health check answer reports that the endpoint is leaving.
bool reportsLeaving(const std::string &body)
{
    json::error_code error;
    const json::value value = json::parse(body, error);
    const json::value *leaving =
        !error && value.is_object() ? value.get_object().if_contains("leaving") : nullptr;
    return leaving && leaving->is_bool() && leaving->get_bool();
}

HttpClientSettings clientSettings(HttpClientSettings settings, const HttpServer &server)
{
    settings.resources = server.resources();
    return settings;
}

} // namespace

TrafficWorker::TrafficWorker(WorkerSettings settings, ControlLink &control, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_control(control)
    , m_work(asio::make_work_guard(m_context))
    , m_timer(m_context)
    , m_idleTimer(m_context)
    , m_router(m_settings.router, seed)
    , m_server(m_context, m_settings.server,
               [this](const HttpExchangePtr &exchange) { handle(exchange); })
    , m_client(m_context, clientSettings(m_settings.client, m_server))
{
}

TrafficWorker::~TrafficWorker()
{
    stop();
}

bool TrafficWorker::start(Reason &reason)
{
    if (!m_server.listen(m_settings.listen, reason))
        return false;
    m_thread = std::thread([this] { m_context.run(); });
    asio::post(m_context, [this] { schedule(); });
    return true;
}

void TrafficWorker::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void TrafficWorker::installConfig(ConfigPtr config)
{
    asio::post(m_context, [this, config = std::move(config)] {
        Actions actions;
        m_router.setConfig(config, steadyNow(), actions);
        perform(actions);
    });
}

void TrafficWorker::setLeaving(std::string endpoint, bool leaving)
{
    asio::post(m_context, [this, endpoint = std::move(endpoint), leaving] {
        m_router.setLeaving(endpoint, leaving);
    });
}

void TrafficWorker::claimAnswered(RequestId request, ClaimAnswer answer)
{
    asio::post(m_context, [this, request, answer = std::move(answer)] {
        Actions actions;
        m_router.claimAnswered(request, answer, steadyNow(), actions);
        perform(actions);
    });
}

void TrafficWorker::setLimitFractions(double defaultFraction, LimitFractions fractions)
{
    asio::post(m_context, [this, defaultFraction, fractions = std::move(fractions)]() mutable {
        m_router.limits().setDefaultFraction(defaultFraction);
        m_router.limits().setFractions(std::move(fractions));
    });
}

void TrafficWorker::startDrain()
{
    asio::post(m_context, [this] {
        m_router.startDrain();
        m_server.announceStop();
    });
}

void TrafficWorker::stopAccepting(std::function<void()> idle)
{
    asio::post(m_context, [this, idle = std::move(idle)] {
        m_server.stopAccepting();
        m_idleCallback = idle;
        checkIdle();
    });
}

void TrafficWorker::checkIdle()
{
    if (!m_idleCallback || m_router.inFlight() > 0)
        return;
    // A connection that is not closed may have to pass on an answer, or be about to get a request.
    if (!m_server.isDrained()) {
        m_idleTimer.expires_after(std::chrono::milliseconds(5));
        m_idleTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                checkIdle();
        });
        return;
    }
    logStop();
    if (const auto idle = std::exchange(m_idleCallback, nullptr))
        idle();
}

/// Logs what became of the requests of callers, once all connections are closed.
void TrafficWorker::logStop() const
{
    const CallerCounts &counts = m_server.counts();
    log(LogLevel::Info, Part, "callers' connections closed",
        {{"worker", std::to_string(m_settings.index)},
         {"read", std::to_string(counts.read())},
         {"answered", std::to_string(counts.answered())},
         {"truncated", std::to_string(counts.truncated())},
         {"abandoned", std::to_string(counts.abandoned())},
         {"unanswered", std::to_string(counts.unanswered())},
         {"closed_unread", std::to_string(counts.closedUnread())}});
}

void TrafficWorker::renderMetrics(std::function<void(std::string)> callback)
{
    asio::post(m_context, [this, callback = std::move(callback)] {
        std::string text;
        m_metrics.render(m_router, m_settings.index, text);
        const std::string worker = "worker=\"" + std::to_string(m_settings.index) + "\"";
        const auto sample = [&](std::string_view name, std::uint64_t value) {
            renderSample(name, worker, static_cast<double>(value), text);
        };
        sample("balsamloft_callers_connected", m_server.connections());
        sample("balsamloft_caller_connections_waiting", m_server.waitingConnections());
        sample("balsamloft_callers_left_unread_total", m_server.acceptCounts().leftUnread);
        sample("balsamloft_caller_connections_expired_total", m_server.acceptCounts().expired);
        m_server.counts().render(worker, text);
        callback(std::move(text));
    });
}

void TrafficWorker::explain(RequestId request,
                            std::function<void(std::vector<std::string>)> callback)
{
    asio::post(m_context, [this, request, callback = std::move(callback)] {
        callback(m_router.explain(request));
    });
}

void TrafficWorker::endpoints(std::function<void(std::vector<EndpointState>)> callback)
{
    asio::post(m_context, [this, callback = std::move(callback)] {
        std::vector<EndpointState> states;
        const LoadView &loads = m_router.loads();
        for (EndpointId id = 0; id < loads.size(); ++id)
            states.push_back(loads.state(id));
        callback(std::move(states));
    });
}

void TrafficWorker::demand(std::function<void(std::map<std::string, double>)> callback)
{
    asio::post(m_context, [this, callback = std::move(callback)] {
        std::map<std::string, double> totals;
        for (const auto &[team, requests] : m_router.limits().demand())
            totals["team/" + team] = static_cast<double>(requests);
        for (const auto &[model, tokens] : m_router.modelDemand())
            totals["model/" + model] = tokens;
        callback(std::move(totals));
    });
}

std::string TrafficWorker::globalId(RequestId id) const
{
    return m_settings.requestPrefix + "-" + std::to_string(m_settings.index) + "-"
           + std::to_string(id);
}

void TrafficWorker::handle(const HttpExchangePtr &exchange)
{
    const std::string_view path = targetPath(exchange->request());
    if (path == "/healthz")
        return exchange->respond(jsonResponse(http::status::ok, R"({"ok":true})"));
    if (path == "/readyz") {
        const bool ready = m_router.ready();
        return exchange->respond(
            jsonResponse(ready ? http::status::ok : http::status::service_unavailable,
                         ready ? R"({"ready":true})" : R"({"ready":false})"));
    }
    if (path == "/metrics") {
        m_control.collectMetrics([this, exchange](std::string text) {
            asio::post(m_context, [exchange, text = std::move(text)] {
                HttpResponse response(http::status::ok, 11);
                response.set(http::field::content_type, "text/plain; version=0.0.4");
                response.body() = text;
                exchange->respond(std::move(response));
            });
        });
        return;
    }
    handleCaller(exchange);
}

void TrafficWorker::handleCaller(const HttpExchangePtr &exchange)
{
    const Time now = steadyNow();
    const RequestId id = m_nextId++;
    std::string requestId = globalId(id);
    const auto refuseEarly = [&](HttpResponse response) {
        response.set("Balsamloft-Request-Id", requestId);
        exchange->respond(std::move(response));
    };
    if (!m_router.config()) {
        const RefuseRequest refusal {id, RefusalCode::NotReady, "no configuration yet",
                                     Executed::No, std::chrono::seconds(1)};
        return refuseEarly(refusalResponse(refusal));
    }
    auto read = readCallerRequest(exchange->request(), *m_router.config(), m_settings.callers, now);
    if (const auto *error = std::get_if<CallerError>(&read)) {
        m_metrics.finished("", error->code, Duration::zero());
        return refuseEarly(errorResponse(*error));
    }
    PendingRequest &pending = m_pendingRequests[id];
    pending.exchange = exchange;
    pending.call = std::move(std::get<CallerRequest>(read));
    pending.id = std::move(requestId);
    pending.submittedAt = pending.lastTokenAt = now;
    pending.call.request.id = id;
    exchange->onCallerGone([this, id] { postCallerGone(id); });
    Request request = pending.call.request;
    Actions actions;
    m_router.submit(std::move(request), now, actions);
    perform(actions);
}

void TrafficWorker::postCallerGone(RequestId id)
{
    asio::post(m_context, [this, id] {
        Actions actions;
        m_router.callerGone(id, steadyNow(), actions);
        perform(actions);
    });
}

/// Whether the caller still waits. Its close may lie behind the bytes that were read last.
bool TrafficWorker::callerWaits(RequestId id)
{
    const auto it = m_pendingRequests.find(id);
    if (it == m_pendingRequests.end())
        return false;
    if (!it->second.exchange->callerLeft())
        return true;
    postCallerGone(id);
    return false;
}

void TrafficWorker::perform(Actions &actions)
{
    for (Action &action : actions)
        std::visit([this](auto &specific) { (*this)(specific); }, action);
    schedule();
    checkIdle();
}

void TrafficWorker::schedule()
{
    const auto next = m_router.nextWakeup();
    const Time at = std::min(next.value_or(Time::max()), steadyNow() + MaxTickInterval);
    if (m_timerExpiresAt != Time {} && m_timerExpiresAt <= at && m_timerExpiresAt > steadyNow())
        return; // the current timer expires early enough
    m_timerExpiresAt = at;
    m_timer.expires_at(at);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_timerExpiresAt = Time {};
        Actions actions;
        m_router.tick(steadyNow(), actions);
        m_client.closeExpired(steadyNow());
        perform(actions);
    });
}

HttpClient::Options TrafficWorker::options(RequestId id, std::uint32_t attempt, Time deadline)
{
    HttpClient::Options result;
    result.timeout = std::max(Duration(1), deadline - steadyNow());
    result.maySend = [this, id, attempt] {
        return callerWaits(id) && m_router.maySend(id, attempt, steadyNow());
    };
    return result;
}

void TrafficWorker::operator()(SendStep &step)
{
    const auto it = m_pendingRequests.find(step.ref.request);
    if (it == m_pendingRequests.end())
        return;
    WireStep wire {it->second.id,  step.ref,       step.prefill,  step.firstStage,
                   step.lastStage, step.lastToken, step.priority, std::move(step.input)};
    const StepRef ref = step.ref;
    it->second.outgoing =
        m_client.send(m_router.loads().state(step.endpoint).address,
                      engineRequest(http::verb::post, "/v1/step", toJson(wire)),
                      options(ref.request, ref.attempt, step.deadline),
                      [this, ref](HttpResult result) { stepReturned(ref, std::move(result)); });
}

void TrafficWorker::stepReturned(const StepRef &ref, HttpResult result)
{
    Actions actions;
    const Time now = steadyNow();
    if (!result.response) {
        m_router.stepFailed(ref, failureKind(result.failure.kind), std::nullopt, now, actions);
        return perform(actions);
    }
    Reason reason;
    auto wire = wireStepAnswerFromJson(result.response->body(), reason);
    const unsigned status = result.response->result_int();
    if (status != 200 || !wire) {
        const auto load = wire ? std::optional(wire->answer.load) : std::nullopt;
        m_router.stepFailed(ref, failureKindOfStatus(status), load, now, actions);
        return perform(actions);
    }
    // The request number in the answer is valid only if the answer echoes the global id of this
    // request.
    wire->answer.ref.request = wire->request == globalId(ref.request) ? ref.request : 0;
    m_router.stepAnswered(ref, wire->answer, now, actions);
    perform(actions);
}

void TrafficWorker::operator()(CancelAttempt &cancel)
{
    const auto it = m_pendingRequests.find(cancel.request);
    if (it != m_pendingRequests.end() && it->second.outgoing) {
        it->second.outgoing->abort();
        it->second.outgoing.reset();
    }
    const json::object body {{"request", globalId(cancel.request)}, {"attempt", cancel.attempt}};
    HttpClient::Options cancelOptions;
    cancelOptions.timeout = CancelTimeout;
    cancelOptions.maxBodyBytes = MaxEndpointStateBytes;
    m_client.send(m_router.loads().state(cancel.endpoint).address,
                  engineRequest(http::verb::post, "/v1/cancel", json::serialize(body)),
                  cancelOptions, [](const HttpResult &) {});
}

void TrafficWorker::operator()(SendCall &call)
{
    const auto it = m_pendingRequests.find(call.request);
    if (it == m_pendingRequests.end())
        return;
    HttpRequest request = it->second.call.forward;
    const std::string &address = m_router.loads().state(call.endpoint).address;
    request.set(http::field::host, address);
    request.set("Balsamloft-Request-Id", it->second.id);
    const RequestId id = call.request;
    const std::uint32_t attempt = call.attempt;
    HttpClient::Options sendOptions = options(id, attempt, call.deadline);
    sendOptions.body = it->second.exchange->request().body();
    sendOptions.bodyOwner = it->second.exchange;
    it->second.outgoing = m_client.send(
        address, std::move(request), std::move(sendOptions),
        [this, id, attempt](HttpResult result) { callReturned(id, attempt, std::move(result)); });
}

void TrafficWorker::callReturned(RequestId id, std::uint32_t attempt, HttpResult result)
{
    Actions actions;
    const Time now = steadyNow();
    if (!result.response) {
        m_router.callFailed(id, attempt, failureKind(result.failure.kind), now, actions);
        return perform(actions);
    }
    Answer answer;
    answer.status = static_cast<int>(result.response->result_int());
    const auto type = (*result.response)[http::field::content_type];
    answer.contentType = std::string(type.data(), type.size());
    answer.body = std::move(result.response->body());
    m_router.callAnswered(id, attempt, std::move(answer), now, actions);
    perform(actions);
}

void TrafficWorker::beginStream(PendingRequest &pending)
{
    pending.streaming = true;
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "text/event-stream");
    response.set(http::field::cache_control, "no-store");
    response.set("Balsamloft-Request-Id", pending.id);
    pending.exchange->beginStream(std::move(response));
}

void TrafficWorker::operator()(EmitToken &token)
{
    const auto it = m_pendingRequests.find(token.request);
    if (it == m_pendingRequests.end())
        return;
    PendingRequest &pending = it->second;
    const Time now = steadyNow();
    if (pending.lastTokenAt == pending.submittedAt)
        m_metrics.firstToken(now - pending.submittedAt);
    else
        m_metrics.tokenInterval(now - pending.lastTokenAt);
    pending.lastTokenAt = now;
    if (!pending.call.stream)
        return;
    if (!pending.streaming)
        beginStream(pending);
    if (pending.exchange->write(tokenEvent(pending.id, pending.call.request.target, token.token)))
        return;
    // The caller has disconnected or does not read, so its request is cancelled.
    asio::post(m_context, [this, id = token.request] {
        Actions actions;
        m_router.callerGone(id, steadyNow(), actions);
        perform(actions);
    });
}

void TrafficWorker::operator()(FinishRequest &finish)
{
    const auto node = m_pendingRequests.extract(finish.request);
    if (node.empty())
        return;
    PendingRequest &pending = node.mapped();
    const Answer &answer = finish.answer;
    const Request &request = pending.call.request;
    m_metrics.finished(request.team, answer.replayed ? "replayed" : "finished",
                       steadyNow() - pending.submittedAt);
    log(LogLevel::Debug, Part, "finished", {{"request", pending.id}, {"team", request.team}});
    const std::string_view reason = answer.tokens >= request.maxTokens ? "length" : "stop";
    if (request.kind == TargetKind::Model && pending.call.stream) {
        if (!pending.streaming) {
            beginStream(pending);
            pending.exchange->write(tokenEvent(pending.id, request.target, answer.body));
        }
        pending.exchange->write(finalEvents(pending.id, request.target, reason));
        return pending.exchange->endStream();
    }
    HttpResponse response(static_cast<http::status>(answer.status), 11);
    if (request.kind == TargetKind::Model) {
        response = jsonResponse(http::status::ok,
                                completionBody(pending.id, request.target, answer, reason));
    } else {
        if (!answer.contentType.empty())
            response.set(http::field::content_type, answer.contentType);
        response.body() = std::move(finish.answer.body);
    }
    response.set("Balsamloft-Request-Id", pending.id);
    if (answer.replayed)
        response.set("Balsamloft-Replayed", "1");
    pending.exchange->respond(std::move(response));
}

void TrafficWorker::operator()(RefuseRequest &refuse)
{
    const auto node = m_pendingRequests.extract(refuse.request);
    if (node.empty())
        return;
    PendingRequest &pending = node.mapped();
    if (pending.outgoing)
        pending.outgoing->abort();
    m_metrics.finished(pending.call.request.team, toString(refuse.code),
                       steadyNow() - pending.submittedAt);
    log(LogLevel::Info, Part, "refused",
        {{"request", pending.id},
         {"team", pending.call.request.team},
         {"code", std::string(toString(refuse.code))},
         {"ran", std::string(toString(refuse.ran))}});
    if (pending.streaming) {
        // An error event is sent first; a plain close would look like a complete answer.
        pending.exchange->write(errorEvent(refuse));
        return pending.exchange->endStream();
    }
    HttpResponse response = refusalResponse(refuse);
    response.set("Balsamloft-Request-Id", pending.id);
    pending.exchange->respond(std::move(response));
}

void TrafficWorker::operator()(StartClaim &claim)
{
    m_control.startClaim(m_settings.index, std::move(claim));
}

void TrafficWorker::operator()(ResolveClaim &resolution)
{
    m_control.resolveClaim(m_settings.index, std::move(resolution));
}

void TrafficWorker::operator()(ProbeEndpoint &probe)
{
    HttpClient::Options probeOptions;
    probeOptions.timeout = m_settings.probeTimeout;
    probeOptions.maxBodyBytes = MaxEndpointStateBytes;
    probeOptions.freshConnection = true;
    const EndpointId endpoint = probe.endpoint;
    m_client.send(m_router.loads().state(endpoint).address,
                  engineRequest(http::verb::get, "/v1/health", {}), probeOptions,
                  [this, endpoint](const HttpResult &result) {
                      Actions actions;
                      const bool alive = result.response.has_value();
                      m_router.probeFinished(endpoint, alive,
                                             alive && reportsLeaving(result.response->body()),
                                             steadyNow(), actions);
                      perform(actions);
                  });
}

void TrafficWorker::operator()(ReportLeaving &report)
{
    m_control.endpointReportedLeaving(m_router.loads().state(report.endpoint).name);
}

void TrafficWorker::operator()(CloseConnections &close)
{
    m_client.closeIdle(m_router.loads().state(close.endpoint).address);
}

} // namespace balsamloft
