// The part of Control that polls engines for their state and orders layers.

#include "announcements.h"
#include "clock.h"
#include "control.h"
#include "decisionlog.h"

#include <balsamloft/pollschedule.h>

namespace balsamloft {

namespace {

constexpr Duration EngineCallTimeout {450'000};
constexpr Duration SilentEnginePollInterval {1'000'000};
constexpr Duration OtherDomainsQueryInterval {1'000'000};

} // namespace

/// Polls the engines of this instance's domain. Only the domain reader does so; it publishes the
/// states to the other instances.
void Control::pollEngines(Time now)
{
    if (!isDomainReader() || !m_table)
        return;
    if (now - m_otherDomainsQueriedAt >= OtherDomainsQueryInterval) {
        m_otherDomainsQueriedAt = now;
        queryOtherDomains(now);
    }
    std::erase_if(m_polled, [&](const auto &each) { return !m_fleetSnapshot->find(each.first); });
    m_silence.removeUnlisted(*m_fleetSnapshot);
    for (const FleetEndpoint &each : m_fleetSnapshot->endpoints)
        if (each.domain == m_settings.domain && each.layers.end > each.layers.begin
            && isPollDue(each, now))
            queryEngine(each);
}

/// KV memory that remains for requests beside the engine's layers, in tokens times layers.
double Control::kvCapacity(const FleetEndpoint &engine) const
{
    const RoutedService *service = m_table->serviceNamed(engine.service);
    if (!service || !service->model)
        return 0;
    const AcceleratorKind *kind = service->model->kind(engine.kind);
    return kind ? service->model->kvCapacity(*kind, engine.layers.length()) : 0;
}

bool Control::isPollDue(const FleetEndpoint &engine, Time now) const
{
    const auto it = m_polled.find(engine.id);
    if (it == m_polled.end())
        return true;
    const PolledEngine &polled = it->second;
    if (polled.pollPending)
        return false;
    // An engine that did not answer is polled at a fixed interval, regardless of its memory usage:
    // several polls missed within a short time do not prove that the engine is unresponsive.
    const Duration pause =
        m_silence.missedLast(engine.id)
            ? SilentEnginePollInterval
            : pollInterval({polled.state.used, polled.previousUsed, kvCapacity(engine)});
    return now - polled.polledAt >= pause;
}

void Control::queryEngine(const FleetEndpoint &engine)
{
    PolledEngine &polled = m_polled[engine.id];
    polled.pollPending = true;
    polled.polledAt = steadyNow();
    m_silence.recordPoll(engine.id, polled.polledAt);
    engineCall(engine.id, engine.address, {"GET", std::string(m_protocol.reportTarget()), {}},
               [this, id = engine.id](const CallOutcome &outcome) { engineAnswered(id, outcome); });
}

/// Has an effect only on the domain reader, since other instances do not poll engines.
void Control::engineSilent(const std::string &id)
{
    const FleetEndpoint *engine = m_fleetSnapshot->find(id);
    const auto polled = m_polled.find(id);
    if (!engine || polled == m_polled.end() || engine->domain != m_settings.domain
        || !isDomainReader() || m_silence.hasMissed(id))
        return;
    m_silence.expectMiss(id);
    queryEngine(*engine);
}

void Control::engineAnswered(const std::string &id, const CallOutcome &outcome)
{
    Reason reason;
    const auto report = m_protocol.parseReport(outcome.body, reason);
    const FleetEndpoint *listed = m_fleetSnapshot->find(id);
    if (!listed)
        return;
    // If the answer comes from another process than the listed one, the listed process has
    // terminated.
    const bool replaced = report && report->isFromOtherProcess(*listed);
    const bool answered = outcome.status == 200 && report && !replaced;
    PolledEngine &polled = m_polled[id];
    polled.pollPending = false;
    if (outcome.forwarderLost)
        return;
    polled.state.id = id;
    polled.state.at = steadyNow();
    const bool hadMissed = m_silence.hasMissed(id);
    if (replaced)
        m_silence.recordReplaced(id);
    else if (outcome.status == 0)
        m_silence.recordMiss(id);
    else
        m_silence.recordAnswer(id, polled.state.at);
    if (!hadMissed && m_silence.hasMissed(id))
        logDecision("engine", "silent", {{"endpoint", std::string_view(id)}});
    if (answered) {
        polled.previousUsed = polled.state.used;
        polled.state.used = report->usedKv;
        polled.state.active = report->running;
        polled.state.queued = report->queued;
        polled.state.slowdown = report->slowdown;
        polled.layers = report->layers;
        polled.busy = report->busy;
        polled.answeredAt = polled.state.at;
    }
    if (answered && announcementOf(outcome.head, m_protocol.headers()).draining)
        m_fleet.announcedExit(id, polled.state.at);
    m_polledDirty = true;
}

/// Queries the readers of the other domains for the states of their engines, once a second.
/// Without these states, all instances would choose the same paths in those domains at the same
/// time.
void Control::queryOtherDomains(Time now)
{
    StoreVersion known = m_server.state(SharedTable::Endpoints).copy.version();
    // The rows are not needed, only the states of engines.
    known.number = std::max<std::uint64_t>(1, known.number);
    for (const PeerInstance &each : m_directory.remoteReaders(now)) {
        auto &source = m_otherDomainSources[each.name + "@" + each.address];
        if (!source)
            source = makePeerSource(each, SharedTable::Endpoints, std::make_shared<Time>());
        source->watch(known, Duration {}, [this, each](const TableAnswer &answer) {
            peerAnswered(answer, each);
            otherDomainsReported(answer.engines);
        });
    }
}

void Control::otherDomainsReported(const EngineReports &reports)
{
    for (const EngineState &state : reports.changed) {
        const FleetEndpoint *engine = m_fleetSnapshot->find(state.id);
        if (engine && engine->domain != m_settings.domain)
            m_otherDomainReports.changed.push_back(state);
    }
    for (const auto &[domain, at] : reports.asOf)
        if (domain != m_settings.domain)
            m_otherDomainReports.asOf[domain] = std::max(m_otherDomainReports.asOf[domain], at);
}

/// Publishes the states of engines that changed enough to affect routing. Sending the states of a
/// thousand engines of a domain to all instances would exceed the bandwidth of their links.
void Control::publishEngineStates()
{
    EngineReports reports = std::exchange(m_otherDomainReports, {});
    if (std::exchange(m_polledDirty, false)) {
        const auto silent = m_silence.silent();
        for (const auto &[id, polled] : m_polled) {
            const FleetEndpoint *engine = m_fleetSnapshot->find(id);
            EngineState now = polled.state;
            now.silent = silent && silent->contains(id);
            const EngineState *published = m_server.publishedState(id);
            if (!engine || (published && !differsNoticeably(*published, now, kvCapacity(*engine))))
                continue;
            reports.changed.push_back(std::move(now));
        }
        reports.asOf[m_settings.domain] = steadyNow();
    }
    reportsArrived(reports);
}

/// Applies reports and forwards them to the followers of this instance.
void Control::reportsArrived(const EngineReports &reports)
{
    if (reports.changed.empty() && reports.asOf.empty())
        return;
    m_server.addReports(reports);
    m_events.engines(reports);
}

void Control::placeLayers(Time now)
{
    if (!m_table || !m_fleet.loaded())
        return;
    for (const RoutedService &service : m_table->services()) {
        if (!service.model)
            continue;
        for (const LayerOrder &order : m_planner.plan(*m_fleetSnapshot, service, now))
            startOrder(order);
    }
}

/// Returns the engines of this instance's domain, with layers from recent polls where available.
/// The list of endpoints lags by a heartbeat, and is not updated while the store is down.
FleetSnapshot Control::ownDomainSnapshot(Time now) const
{
    constexpr Duration MaxAnswerAge {1'700'000};
    FleetSnapshot fleet;
    for (const FleetEndpoint &each : m_fleetSnapshot->endpoints) {
        if (each.domain != m_settings.domain)
            continue;
        FleetEndpoint &own = fleet.endpoints.emplace_back(each);
        const auto polled = m_polled.find(each.id);
        if (polled == m_polled.end() || now - polled->second.answeredAt > MaxAnswerAge)
            continue;
        own.layers = polled->second.layers;
        own.busy = polled->second.busy;
    }
    return fleet;
}

/// Fills the coverage gaps of this instance's domain. Only the domain reader does so, whether or
/// not it holds the placement lease.
void Control::fillGaps(Time now)
{
    if (m_stopping || !m_table || !m_fleet.loaded() || !isDomainReader())
        return;
    const auto silent = m_silence.silent();
    if (!silent)
        return;
    const FleetSnapshot fleet = ownDomainSnapshot(now);
    for (const RoutedService &service : m_table->services())
        for (const LayerOrder &order :
             m_gapFiller.fill(fleet, service, m_settings.domain, *silent, now))
            startOrder(order);
}

void Control::engineCall(const std::string &endpoint, const std::string &address,
                         const OutgoingCall &call, TimedCall::Callback callback)
{
    startCall(m_engines, endpoint, address, call, EngineCallTimeout, std::move(callback));
}

void Control::startOrder(const LayerOrder &order)
{
    if (order.additive)
        m_gapFiller.orderSent(order, steadyNow());
    else
        m_planner.orderSent(order, steadyNow());
    // The current state is read first: the list of endpoints is one or two seconds old, and an
    // order must contain the number of orders that the engine has accepted so far.
    engineCall(order.endpoint, order.address, {"GET", std::string(m_protocol.reportTarget()), {}},
               [this, order](const CallOutcome &outcome) {
                   Reason reason;
                   const auto report = m_protocol.parseReport(outcome.body, reason);
                   const FleetEndpoint *listed = m_fleetSnapshot->find(order.endpoint);
                   if (outcome.status != 200 || !report || report->busy || !listed
                       || report->isFromOtherProcess(*listed)
                       || (order.additive && !GapFiller::keepsHeldLayers(order, report->layers)))
                       return orderFinished(order, OrderReply::Rejected, outcome.status);
                   sendOrder(order, report->acceptedOrders);
               });
}

void Control::sendOrder(const LayerOrder &order, std::uint64_t expectedOrders)
{
    // An order that releases layers requires the lease. The lease is checked again right before
    // sending: it may have expired while the process was paused, and engines do not check the
    // fencing token.
    if (!order.additive && !m_lease.holds(bootNow()))
        return orderFinished(order, OrderReply::Rejected, 0);
    m_state.ordersSent += 1;
    engineCall(order.endpoint, order.address,
               m_protocol.orderCall(order, expectedOrders, m_lease.fencing()),
               [this, order](const CallOutcome &outcome) {
                   const OrderReply reply =
                       outcome.status == 0
                           ? (outcome.mayHaveArrived ? OrderReply::Unknown : OrderReply::Rejected)
                           : m_protocol.parseOrderReply(outcome.status);
                   orderFinished(order, reply, outcome.status);
               });
}

void Control::orderFinished(const LayerOrder &order, OrderReply reply, int status)
{
    static constexpr std::array<std::string_view, 3> Names {"taken", "refused", "unknown"};
    logDecision("placement", "order",
                {{"endpoint", std::string_view(order.endpoint)},
                 {"from", std::int64_t(order.layers.begin)},
                 {"to", std::int64_t(order.layers.end)},
                 {"reason", std::string_view(order.reason)},
                 {"reply", Names[static_cast<std::size_t>(reply)]},
                 {"status", std::int64_t(status)},
                 {"fencing", std::int64_t(m_lease.fencing())}});
    if (reply == OrderReply::Rejected && order.additive)
        m_gapFiller.orderRefused(order.endpoint, steadyNow());
    else if (reply == OrderReply::Rejected)
        m_planner.orderRefused(order.endpoint, steadyNow());
}

} // namespace balsamloft
