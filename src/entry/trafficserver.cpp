#include "trafficserver.h"

#include "announcements.h"
#include "callersession.h"
#include "clock.h"
#include "decisionlog.h"
#include "fieldtext.h"
#include "sockets.h"

#include <boost/asio/post.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace balsamloft {

namespace {

constexpr Duration IdleTickInterval {400'000};
constexpr Duration PruneInterval {1'000'000};
constexpr Duration EngineAnswerTimeout {300'000}; ///< for a query of an engine's state
/// Share of the grace period after which idle connections are closed. By then the load balancer
/// has detected the stop.
constexpr double CloseIdleShare = 0.375;
/// Share of the grace period in which new streams are accepted. Later streams might not finish.
constexpr double LastStreamShare = 0.33;
/// Share of the grace period in which other requests are accepted. The limit is needed because a
/// load balancer without another instance sends requests until the end.
constexpr double LastCallShare = 0.6;
/// What is still in progress this long before the end of the grace period is finished: its callers
/// are told before the process ends. Of a short grace period, it is at most a share.
constexpr Duration MaxEndingTime {600'000};
constexpr double MaxEndingShare = 0.16;
/// Shares of the ending time: the process ends this long before the end of the grace period, and
/// callers get this long to be told if it reaches the ending time late.
constexpr double StopMarginShare = 0.25;
constexpr double MinEndingShare = 0.5;
/// Keys are rejected this long before the revocation time is over.
constexpr Duration KeyMargin {400'000};
/// If the API keys are older than this share of the revocation time, the instance reports that it
/// is not ready.
constexpr double ReadyShare = 0.55;

Duration shareOf(Duration duration, double share)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * share));
}

RelaySettings relaySettings(const EntrySettings &settings)
{
    RelaySettings relay;
    relay.domain = settings.domain;
    relay.seed = std::hash<std::string> {}(settings.name);
    // The retry budget keeps a reserve: the number of instances changes, and each instance receives
    // the new number with a delay.
    relay.retryRatio = settings.retryRatio * 0.85;
    relay.retrySlack = settings.retrySlack * 0.85;
    relay.retryWindow = settings.retryWindow;
    relay.admission.enabled = settings.admission;
    relay.admission.seed = relay.seed;
    relay.admitToAll = settings.admissionAll;
    return relay;
}

} // namespace

TrafficServer::TrafficServer(asio::io_context &context, const EntrySettings &settings,
                             const EntryProtocol &protocol, EntryState &state)
    : m_context(context)
    , m_settings(settings)
    , m_protocol(protocol)
    , m_state(state)
    , m_resources(std::make_shared<ResourceGroup>(&state.resources))
    , m_acceptor(context, [this](std::string_view event,
                                 std::string_view reason) { logAcceptor(event, reason); })
    , m_timer(context)
    , m_links(settings.name, settings.domain, linkSettings(settings, EntryThread::Traffic))
    , m_pool(context)
    , m_forwarder(context, m_links, *this, m_resources)
    , m_relay(relaySettings(settings))
    , m_fleet(std::make_shared<FleetSnapshot>())
{
    m_pool.useLinks(m_links);
    m_pool.useResources(m_resources);
    m_lingering.setLimit(state.resources.maxConnections(ResourceUse::Request) / 4);
}

TrafficServer::~TrafficServer() = default;

bool TrafficServer::listen(Reason &reason)
{
    const auto begin = [this](tcp::socket socket) { beginSession(std::move(socket)); };
    const CallerAcceptorSettings callers {
        .address = *parseTcpEndpoint(m_settings.callerAddress),
        .maxWaiting =
            std::max<std::size_t>(1, m_state.resources.maxConnections(ResourceUse::Request) / 2)};
    if (!m_acceptor.listen(callers, begin, reason)
        || (!m_settings.forwardAddress.empty()
            && !m_forwarder.listen(m_settings.forwardAddress, reason)))
        return false;
    armTimer();
    return true;
}

void TrafficServer::beginSession(tcp::socket socket)
{
    auto session = std::make_shared<CallerSession>(*this, std::move(socket));
    m_sessions.insert(session);
    session->start();
}

void TrafficServer::logAcceptor(std::string_view event, std::string_view reason)
{
    if (!reason.empty())
        return logDecision("callers", event, {{"reason", reason}});
    logDecision("callers", event,
                {{"waiting", std::int64_t(m_acceptor.waiting())},
                 {"left_unread", std::int64_t(m_acceptor.counts().leftUnread)},
                 {"expired", std::int64_t(m_acceptor.counts().expired)}});
}

void TrafficServer::armTimer()
{
    m_timer.expires_after(m_relay.flights() > 0 || m_stopping ? RelayTickInterval
                                                              : IdleTickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

void TrafficServer::tick()
{
    const Time now = steadyNow();
    const Time due = std::chrono::time_point_cast<Duration>(m_timer.expiry());
    logLoopDelay("traffic", m_loopDelay.recordTimer(due, now), m_loopDelay);
    m_loopDelays.add(m_loopDelay.last());
    RelayActions actions;
    m_relay.tick(now, actions);
    run(std::move(actions));
    const std::vector<std::shared_ptr<CallerSession>> sessions(m_sessions.begin(),
                                                               m_sessions.end());
    for (const auto &session : sessions)
        session->tick(now);
    if (now - m_prunedAt >= PruneInterval) {
        m_prunedAt = now;
        m_pool.prune(*m_fleet, now);
        logQuarantinedParts(now);
        logAdmission(now);
        logRefusing(now);
    }
    m_acceptor.tick(now);
    m_lingering.tick(now);
    m_forwarder.tick(bootNow());
    m_forwarder.closeDeclined(now);
    if (m_stopping)
        continueStop();
    flushDecisionLog();
    armTimer();
}

bool TrafficServer::mayForward(const std::string &endpoint, Time now) const
{
    return m_relay.acceptsRequests(endpoint, now);
}

void TrafficServer::forwardedAnswer(const std::string &endpoint, const MessageHead &answer)
{
    RelayActions actions;
    const Announcement announcement = announcementOf(answer, m_protocol.headers());
    logAnnouncement(endpoint, answer, announcement);
    m_relay.endpointAnnounced(endpoint, announcement, steadyNow(), actions);
    run(std::move(actions));
}

void TrafficServer::setTable(RouteMapPtr table)
{
    if (!m_table || m_table->version() != table->version())
        m_tableSince = steadyNow();
    m_table = std::move(table);
}

void TrafficServer::setFleet(FleetPtr fleet)
{
    m_fleet = fleet;
    m_links.removeUnlisted(*fleet);
    m_forwarder.setFleet(fleet);
    RelayActions actions;
    m_relay.setFleet(std::move(fleet), steadyNow(), actions);
    run(std::move(actions));
}

void TrafficServer::setInstances(const KnownInstances &known)
{
    const Time now = steadyNow();
    m_links.setInstances(known.all);
    m_relay.setInstances(known.inDomain, known.count, now);
    m_relay.shareLimits(known.all, m_settings.name, known.storeClockOffset + (bootNow() - now),
                        now);
}

void TrafficServer::reload(const EntrySettings &settings)
{
    m_settings.revocationTime = settings.revocationTime;
    m_settings.gracePeriod = settings.gracePeriod;
    m_settings.retryRatio = settings.retryRatio;
    m_settings.retrySlack = settings.retrySlack;
    m_settings.logAll = settings.logAll;
    const RelaySettings relay = relaySettings(m_settings);
    m_relay.setRetries(relay.retryRatio, relay.retrySlack);
}

void TrafficServer::applyEngineReports(const EngineReports &reports)
{
    RelayActions actions;
    m_relay.applyEngineReports(reports, steadyNow(), actions);
    run(std::move(actions));
}

void TrafficServer::applyFleetLoad(const FleetLoad &load)
{
    m_relay.applyFleetLoad(load, steadyNow());
}

LoadSummary TrafficServer::ownLoad() const
{
    return m_relay.load(steadyNow());
}

/// Logs the state of each service that refused requests since the last call.
void TrafficServer::logAdmission(Time now)
{
    for (const AdmissionStatus &each : m_relay.admission().status(now)) {
        std::uint64_t &logged = m_loggedRefusals[each.service];
        if (each.refused == logged)
            continue;
        logDecision("admission", "refused",
                    {{"service", std::string_view(each.service)},
                     {"count", std::int64_t(each.refused - logged)},
                     {"capacity", each.capacity},
                     {"share", each.share},
                     {"in_flight", each.inFlight},
                     {"waiting", std::int64_t(each.waiting)}});
        logged = each.refused;
    }
}

void TrafficServer::renderAdmission(std::string &text) const
{
    const auto sample = [&](std::string_view name, const std::string &service, double value) {
        text += "balsamloft_admission_" + std::string(name) + "{service=\"" + service + "\"} "
                + std::to_string(value) + "\n";
    };
    for (const AdmissionStatus &each : m_relay.admission().status(steadyNow())) {
        sample("capacity", each.service, each.capacity);
        sample("share", each.service, each.share);
        sample("in_flight", each.service, each.inFlight);
        sample("waiting", each.service, double(each.waiting));
        sample("admitted_total", each.service, double(each.admitted));
        sample("refused_total", each.service, double(each.refused));
        sample("expired_total", each.service, double(each.expired));
    }
}

bool TrafficServer::keysUpToDate() const
{
    return m_state.keyAge(bootNow()) < m_settings.revocationTime - KeyMargin;
}

bool TrafficServer::ready() const
{
    const Duration age = m_state.keyAge(bootNow());
    return m_table && m_state.fleetKnown && !m_stopping
           && age < Duration(
                  static_cast<std::int64_t>(m_settings.revocationTime.count() * ReadyShare));
}

bool TrafficServer::acceptsNew(RequestKind kind, Time now) const
{
    const double share = kind == RequestKind::Stream ? LastStreamShare : LastCallShare;
    return !m_stopping || now - m_stopStartedAt < graceShare(share);
}

Duration TrafficServer::graceShare(double share) const
{
    return shareOf(m_stopGracePeriod, share);
}

Duration TrafficServer::endingTime() const
{
    return std::min(MaxEndingTime, graceShare(MaxEndingShare));
}

void TrafficServer::attach(FlightId flight, std::shared_ptr<CallerSession> session)
{
    m_flights[flight] = std::move(session);
}

void TrafficServer::detach(FlightId flight)
{
    m_flights.erase(flight);
}

void TrafficServer::sessionClosed(CallerSession &session)
{
    m_sessions.erase(session.shared_from_this());
}

/// Whether the endpoint is a plain service, which has no state report.
bool TrafficServer::isPlainService(const std::string &id) const
{
    const FleetEndpoint *endpoint = m_fleet->find(id);
    if (!endpoint || !m_table)
        return false;
    const RoutedService *service = m_table->serviceNamed(endpoint->service);
    return service && !service->model;
}

void TrafficServer::connectionChecked(const std::string &endpoint, Time sentAt,
                                      const CallOutcome &outcome)
{
    m_queries.erase(endpoint);
    RelayActions actions;
    if (outcome.mayHaveArrived)
        m_relay.endpointAnswered(endpoint, sentAt);
    else
        m_relay.queryFailed(endpoint, steadyNow(), actions, outcome.connectionRefused);
    run(std::move(actions));
}

void TrafficServer::queryEngine(const QueryEngine &query)
{
    if (m_queries.contains(query.endpoint))
        return;
    const bool plain = isPlainService(query.endpoint);
    const Time sentAt = steadyNow();
    ExchangeSettings settings = endpointCallSettings(query.endpoint, query.address);
    settings.freshConnection = true;
    auto call = std::make_shared<TimedCall>(
        m_pool, std::move(settings),
        plain ? std::string()
              : formatRequest({"GET", std::string(m_protocol.reportTarget()), {}}, query.address),
        EngineAnswerTimeout,
        [this, plain, sentAt, endpoint = query.endpoint](const CallOutcome &outcome) {
            if (plain)
                connectionChecked(endpoint, sentAt, outcome);
            else
                engineAnswered(endpoint, sentAt, outcome);
        });
    m_queries[query.endpoint] = call;
    call->start();
}

void TrafficServer::engineAnswered(const std::string &endpoint, Time sentAt,
                                   const CallOutcome &outcome)
{
    m_queries.erase(endpoint);
    if (outcome.forwarderLost)
        return;
    RelayActions actions;
    Reason reason;
    const auto report = m_protocol.parseReport(outcome.body, reason);
    const FleetEndpoint *listed = m_fleet->find(endpoint);
    // If the answer comes from another process than the listed one, the listed process has
    // terminated.
    const bool replaced = report && listed && report->isFromOtherProcess(*listed);
    const bool gone = outcome.status == 0 || replaced;
    if (outcome.status != 200 || !report || gone) {
        logDecision(
            "engine", "silent",
            {{"endpoint", std::string_view(endpoint)}, {"status", std::int64_t(outcome.status)}});
        if (gone)
            m_relay.queryFailed(endpoint, steadyNow(), actions,
                                outcome.connectionRefused || replaced);
        else
            m_relay.endpointAnswered(endpoint, sentAt);
        if (gone && m_engineSilent)
            m_engineSilent(endpoint);
        return run(std::move(actions));
    }
    std::string stalled;
    for (const std::string &each : report->stalledAddresses)
        stalled += (stalled.empty() ? "" : ",") + each;
    logDecision("engine", "reported",
                {{"endpoint", std::string_view(endpoint)},
                 {"pace", report->slowdown},
                 {"stalled_at", std::string_view(stalled)}});
    m_relay.endpointAnswered(endpoint, sentAt);
    m_relay.endpointAnnounced(endpoint, announcementOf(outcome.head, m_protocol.headers()),
                              steadyNow(), actions);
    if (outcome.forwarded)
        repeatOnBrokenLink(endpoint, sentAt, actions);
    m_relay.queryAnswered(endpoint, report->stalledAddresses, report->slowdown, steadyNow(),
                          actions);
    run(std::move(actions));
}

/// Repeats the requests on direct connections to an endpoint that only another instance reached.
void TrafficServer::repeatOnBrokenLink(const std::string &endpoint, Time queriedAt,
                                       RelayActions &actions)
{
    if (!m_links.isBroken(endpoint))
        return;
    const Time now = steadyNow();
    for (const auto &[flight, session] : m_flights)
        if (const auto attempt = session->directAttemptAt(endpoint, queriedAt))
            m_relay.connectionLost(flight, *attempt, now, actions);
}

void TrafficServer::changePath(const ChangePath &change)
{
    startCall(m_pool, change.endpoint, change.address,
              m_protocol.changePathCall(change.request, change.path), EngineAnswerTimeout,
              [this, change](const CallOutcome &outcome) {
                  RelayActions actions;
                  const auto [reply, faultyAddress] =
                      m_protocol.parsePathReply(outcome.status, outcome.body);
                  if (const auto it = m_flights.find(change.flight); it != m_flights.end())
                      it->second->addToTrail(
                          reply == PathReply::Accepted
                              ? "path changed"
                              : "path not changed, " + std::to_string(outcome.status)
                                    + (faultyAddress.empty() ? "" : " at " + faultyAddress));
                  m_relay.pathChanged(change, reply, faultyAddress, steadyNow(), actions);
                  run(std::move(actions));
              });
}

void TrafficServer::publishCrashes(const CrashUpdate &update)
{
    const auto log = [](std::string_view event, const CrashRecord &record) {
        logDecision("quarantine", event,
                    {{"digest", std::string_view(record.digest)},
                     {"endpoint", std::string_view(record.endpoint)}});
    };
    for (const CrashRecord &each : update.added)
        log("endpoint ended", each);
    for (const CrashRecord &each : update.removed)
        log("taken back", each);
    if (m_publishCrashes)
        m_publishCrashes(update);
}

/// Logs the parts of prompts whose quarantine began or ended since the last call.
void TrafficServer::logQuarantinedParts(Time now)
{
    std::vector<std::string> parts = m_relay.quarantine().quarantinedParts(now);
    const auto logMissing = [](std::string_view event, const auto &from, const auto &in) {
        for (const std::string &part : from)
            if (!std::binary_search(in.begin(), in.end(), part))
                logDecision("quarantine", event, {{"digest", std::string_view(part)}});
    };
    logMissing("part quarantined", parts, m_quarantinedParts);
    logMissing("part released", m_quarantinedParts, parts);
    m_quarantinedParts = std::move(parts);
}

/// Logs when this instance begins or ends to refuse clients for want of memory or connections.
void TrafficServer::logRefusing(Time now)
{
    const ResourceAccount &resources = m_state.resources;
    const bool refusing = resources.isRefusing(now);
    if (refusing == std::exchange(m_loggedRefusing, refusing))
        return;
    const ResourceAccount::Counts counts = resources.counts();
    logDecision("clients", refusing ? "refusing" : "accepting",
                {{"held_bytes", std::int64_t(resources.bytes())},
                 {"limit_bytes", std::int64_t(resources.limits().bytes)},
                 {"connections", std::int64_t(resources.connections(ResourceUse::Request))},
                 {"refused_memory", std::int64_t(counts.refusedForMemory)},
                 {"refused_connections", std::int64_t(counts.refusedForConnections)},
                 {"displaced", std::int64_t(counts.displaced)}});
}

void TrafficServer::requestTrial(const RequestTrial &request)
{
    if (!m_requestTrial)
        return;
    m_requestTrial(request.request, [this, request](const TrialAnswer &answer) {
        checkSuspension();
        RelayActions actions;
        m_relay.trialAnswered(request, answer, steadyNow(), actions);
        run(std::move(actions));
    });
}

/// Expires trial permits after a suspension of the machine. The steady clock stops
/// during a suspension, so expired permits would appear to be still valid.
void TrafficServer::checkSuspension()
{
    constexpr Duration SuspensionTolerance {50'000};
    const Duration suspended = bootNow() - steadyNow();
    if (m_suspendedTime != Duration::max() && suspended - m_suspendedTime > SuspensionTolerance)
        m_relay.expireTrials();
    m_suspendedTime = suspended;
}

bool TrafficServer::maySend(FlightId flight, std::uint32_t attempt)
{
    checkSuspension();
    return m_relay.maySend(flight, attempt, steadyNow());
}

void TrafficServer::run(RelayActions actions)
{
    const auto sessionOf = [this](FlightId flight) -> std::shared_ptr<CallerSession> {
        const auto it = m_flights.find(flight);
        return it == m_flights.end() ? nullptr : it->second;
    };
    for (const RelayAction &action : actions) {
        if (const auto *query = std::get_if<QueryEngine>(&action)) {
            queryEngine(*query);
        } else if (const auto *change = std::get_if<ChangePath>(&action)) {
            if (const auto session = sessionOf(change->flight))
                session->addToTrail("path change at " + change->endpoint + " (" + change->reason
                                    + ") to " + m_protocol.formatPath(change->path));
            changePath(*change);
        } else if (const auto *draining = std::get_if<ReportDraining>(&action)) {
            if (m_endpointDraining)
                m_endpointDraining(draining->endpoint);
        } else if (const auto *crashes = std::get_if<PublishCrashes>(&action)) {
            publishCrashes(crashes->update);
        } else if (const auto *trial = std::get_if<RequestTrial>(&action)) {
            requestTrial(*trial);
        } else if (const auto *finished = std::get_if<FinishTrial>(&action)) {
            if (m_finishTrial)
                m_finishTrial(*finished);
        } else if (const auto *send = std::get_if<SendRequest>(&action)) {
            if (const auto session = sessionOf(send->flight))
                session->sendAttempt(*send);
        } else if (const auto *abandon = std::get_if<AbandonAttempt>(&action)) {
            if (const auto session = sessionOf(abandon->flight)) {
                session->addToTrail("abandoned");
                session->abandonAttempt();
            }
        } else if (const auto *pass = std::get_if<ForwardAnswer>(&action)) {
            if (const auto session = sessionOf(pass->flight))
                session->passAnswer();
        } else if (const auto *finish = std::get_if<FinishFlight>(&action)) {
            if (const auto session = sessionOf(finish->flight))
                session->finishFlight(*finish);
        }
    }
}

void TrafficServer::stop(std::function<void()> stopped)
{
    if (m_stopping)
        return;
    m_stopping = true;
    m_stopStartedAt = steadyNow();
    m_stopGracePeriod = m_settings.gracePeriod;
    m_acceptor.keepWaiting();
    m_forwarder.stop();
    m_stopped = std::move(stopped);
}

ServerPhase TrafficServer::phase(Time now) const
{
    if (!m_stopping)
        return ServerPhase::Serving;
    const Duration elapsed = now - m_stopStartedAt;
    if (elapsed >= m_stopGracePeriod - endingTime())
        return ServerPhase::Ending;
    return elapsed >= graceShare(CloseIdleShare) ? ServerPhase::Closing : ServerPhase::Stopping;
}

bool TrafficServer::isDrained(Time now) const
{
    return m_sessions.empty() && m_lingering.size() == 0 && m_acceptor.waiting() == 0
           && !m_forwarder.hasUnfinished(now);
}

void TrafficServer::continueStop()
{
    const Time now = steadyNow();
    const ServerPhase stage = phase(now);
    if (stage == ServerPhase::Stopping)
        return;
    if (stage == ServerPhase::Ending) {
        if (!m_endingSince)
            m_endingSince = now;
        m_acceptor.finish();
        RelayActions actions;
        m_relay.finishAll("instance is stopping", now, actions);
        run(std::move(actions));
    }
    // Connections may wait in the system until the listening socket is closed.
    if (isDrained(now))
        m_acceptor.finish();
    const Duration ending = endingTime();
    const bool timeOver =
        now - m_stopStartedAt >= m_stopGracePeriod - shareOf(ending, StopMarginShare)
        && m_endingSince && now - *m_endingSince >= shareOf(ending, MinEndingShare);
    if (isDrained(now) || timeOver)
        endStop(now);
}

void TrafficServer::endStop(Time now)
{
    logStop(now);
    m_acceptor.close();
    if (m_stopped)
        std::exchange(m_stopped, nullptr)();
}

/// Logs what became of the requests of callers, as the process ends.
void TrafficServer::logStop(Time now) const
{
    logDecision("callers", "stopped",
                {{"ms", milliseconds(now - m_stopStartedAt)},
                 {"read", std::int64_t(m_callerCounts.read())},
                 {"answered", std::int64_t(m_callerCounts.answered())},
                 {"truncated", std::int64_t(m_callerCounts.truncated())},
                 {"abandoned", std::int64_t(m_callerCounts.abandoned())},
                 {"unanswered", std::int64_t(m_callerCounts.unanswered())},
                 {"closed_unread", std::int64_t(m_callerCounts.closedUnread())},
                 {"expired", std::int64_t(m_acceptor.counts().expired)},
                 {"crossed", std::int64_t(m_lingering.counts().crossed)},
                 {"in_flight", std::int64_t(m_relay.flights())},
                 {"open", std::int64_t(m_sessions.size())},
                 {"waiting", std::int64_t(m_acceptor.waiting())}});
}

std::string TrafficServer::metrics() const
{
    const RelayCounts &counts = m_relay.counts();
    std::string text;
    const auto sample = [&](std::string_view name, std::uint64_t value) {
        text += "balsamloft_" + std::string(name) + " " + std::to_string(value) + "\n";
    };
    sample("requests_total", counts.submitted);
    sample("requests_passed_total", counts.passed);
    sample("requests_not_run_total", counts.notExecuted);
    sample("requests_failed_total", counts.failed);
    sample("requests_timed_out_total", counts.timedOut);
    sample("streams_cut_short_total", counts.truncated);
    for (std::size_t cause = 1; cause < counts.truncatedBy.size(); ++cause)
        if (counts.truncatedBy[cause] > 0)
            sample("streams_cut_short_by_cause_total{cause=\"" + std::string(EndCauseNames[cause])
                       + "\"}",
                   counts.truncatedBy[cause]);
    sample("requests_resent_total", counts.resent);
    sample("retry_budget_spent_total", counts.budgetExhausted);
    sample("paths_changed_total", counts.pathsChanged);
    sample("crashes_under_requests_total", counts.crashes);
    sample("requests_held_back_total", counts.quarantined);
    sample("contents_suspected", m_relay.quarantine().suspectCount());
    sample("contents_held", m_relay.quarantine().quarantinedCount(steadyNow()));
    sample("prompt_parts_held", m_relay.quarantine().quarantinedParts(steadyNow()).size());
    sample("endpoints_with_rate_limit", m_relay.rateLimits().size());
    sample("endpoints_passed_over_total", counts.rateLimitSkips);
    sample("endpoints_paused", m_relay.pauses().size(steadyNow()));
    sample("endpoints_paused_skips_total", counts.pauseSkips);
    sample("requests_refused_all_paused_total", counts.pauseRefusals);
    sample("attempts_withheld_total", counts.withheld);
    sample("retry_after_answers_total", counts.retryAfterAnswers);
    sample("draining_answers_total", counts.drainingAnswers);
    sample("requests_open", m_relay.flights());
    sample("caller_connections", m_sessions.size());
    sample("endpoint_connections_opened_total", m_pool.opened);
    sample("endpoint_connections_refused_total", m_pool.refused);
    sample("endpoint_connections_timed_out_total", m_pool.timedOut);
    sample("endpoint_connections_forwarded_total", m_pool.forwarded);
    sample("attempts_ended_by_forwarding_instance_total", m_pool.endedByForwarder);
    sample("endpoint_links_broken", m_links.brokenCount());
    sample("connections_forwarded_for_others", m_forwarder.open());
    sample("connections_forwarded_for_others_total", m_forwarder.opened());
    sample("endpoint_reads_total", m_pool.reads);
    sample("endpoint_writes_total", m_pool.writes);
    sample("caller_reads_total", m_callerSocketCalls.reads);
    sample("caller_writes_total", m_callerSocketCalls.writes);
    sample("caller_connections_waiting", m_acceptor.waiting());
    sample("callers_left_unread_total", m_acceptor.counts().leftUnread);
    sample("caller_connections_expired_total", m_acceptor.counts().expired);
    sample("callers_left_before_send_total", m_departures.beforeSend);
    sample("endpoints", m_fleet->endpoints.size());
    sample("configuration_version", m_table ? m_table->version() : 0);
    sample("key_age_ms",
           static_cast<std::uint64_t>(std::max<std::int64_t>(
               0, std::min(m_state.keyAge(bootNow()), Duration(1'000'000'000)).count() / 1000)));
    std::uint64_t storeCalls = 0;
    for (std::size_t use = 0; use < StoreUseNames.size(); ++use) {
        const std::uint64_t calls = m_state.storeCalls[use];
        sample("store_calls_" + std::string(StoreUseNames[use]) + "_total", calls);
        storeCalls += calls;
    }
    sample("store_calls_total", storeCalls);
    sample("store_failures_total", m_state.storeFailures);
    sample("store_era", m_state.storeEra);
    sample("store_era_changes_total", m_state.storeEraChanges);
    sample("store_void_answers_total", m_state.voidStoreAnswers);
    sample("store_rows_written_again_total", m_state.rowsWrittenAgain);
    sample("orders_total", m_state.ordersSent);
    sample("crash_notices_total", m_state.crashNotices);
    sample("bad_rows_total", m_state.invalidRows);
    sample("lease_held", m_state.holdsLease ? 1 : 0);
    sample("log_lines_dropped_total", droppedLogLines());
    sample("control_loop_delay_ms", static_cast<std::uint64_t>(m_state.controlDelayMs));
    m_callerCounts.render("", text);
    sample("caller_connections_crossed_total", m_lingering.counts().crossed);
    sample("caller_connections_lingered_in_vain_total", m_lingering.counts().timedOut);
    m_state.resources.render(text);
    renderAdmission(text);
    m_loopDelays.render("balsamloft_loop_delay_seconds", "", text);
    m_requestMetrics.render(text);
    return text;
}

} // namespace balsamloft
