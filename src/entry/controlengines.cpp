// The part of Control that asks engines for their state and orders layers.

#include "clock.h"
#include "control.h"
#include "decisionlog.h"

#include <balsamloft/pollschedule.h>

namespace balsamloft {

namespace {

constexpr Duration EngineWithin {450'000};
constexpr Duration AskSilentEvery {1'000'000};
constexpr Duration AskOtherDomainsEvery {1'000'000};
constexpr std::uint32_t MissesToSilence = 2;

} // namespace

/// One instance of each domain asks the engines there, and tells the others.
void Control::pollEngines(Time now)
{
    if (!isDomainReader() || !m_table)
        return;
    if (now - m_otherDomainsQueriedAt >= AskOtherDomainsEvery) {
        m_otherDomainsQueriedAt = now;
        queryOtherDomains(now);
    }
    std::erase_if(m_polled, [&](const auto &each) { return !m_fleetNow->find(each.first); });
    for (const FleetEndpoint &each : m_fleetNow->endpoints)
        if (each.domain == m_settings.domain && each.layers.end > each.layers.begin
            && isPollDue(each, now))
            queryEngine(each);
}

/// KV memory that the engine's layers leave to requests.
double Control::kvCapacity(const FleetEndpoint &engine) const
{
    const RoutedService *service = m_table->serviceNamed(engine.service);
    if (!service || !service->model)
        return 0;
    const AcceleratorKind *kind = service->model->kind(engine.kind);
    return kind ? service->model->room(*kind, engine.layers.length()) : 0;
}

bool Control::isPollDue(const FleetEndpoint &engine, Time now) const
{
    const auto it = m_polled.find(engine.id);
    if (it == m_polled.end())
        return true;
    const PolledEngine &asked = it->second;
    if (asked.asking)
        return false;
    // One that did not answer is not pressed: misses at a usual pace prove its silence.
    const Duration pause =
        asked.misses > 0 ? AskSilentEvery
                         : pollInterval({asked.state.used, asked.usedBefore, kvCapacity(engine)});
    return now - asked.askedAt >= pause;
}

void Control::queryEngine(const FleetEndpoint &engine)
{
    PolledEngine &asked = m_polled[engine.id];
    asked.asking = true;
    asked.askedAt = steadyNow();
    engineCall(engine.id, engine.address, {"GET", std::string(m_protocol.reportTarget()), {}},
               [this, id = engine.id](const CallOutcome &outcome) { engineAnswered(id, outcome); });
}

/// Only the one that asks the domain's engines anyway follows this up.
void Control::engineSilent(const std::string &id)
{
    const FleetEndpoint *engine = m_fleetNow->find(id);
    const auto asked = m_polled.find(id);
    if (!engine || asked == m_polled.end() || engine->domain != m_settings.domain
        || !isDomainReader() || asked->second.misses >= MissesToSilence)
        return;
    asked->second.misses = MissesToSilence - 1;
    queryEngine(*engine);
}

void Control::engineAnswered(const std::string &id, const CallOutcome &outcome)
{
    Reason reason;
    const auto report = m_protocol.report(outcome.body, reason);
    const FleetEndpoint *listed = m_fleetNow->find(id);
    if (!listed)
        return;
    // Another process answers under the same name: the listed one is gone.
    const bool replaced = report && report->isFromOtherProcess(*listed);
    const bool answered = outcome.status == 200 && report && !replaced;
    PolledEngine &asked = m_polled[id];
    asked.asking = false;
    asked.misses = replaced ? MissesToSilence : outcome.status == 0 ? asked.misses + 1 : 0;
    if (asked.misses == MissesToSilence)
        logDecision("engine", "silent", {{"endpoint", std::string_view(id)}});
    asked.state.id = id;
    asked.state.at = steadyNow();
    if (answered) {
        asked.usedBefore = asked.state.used;
        asked.state.used = report->used;
        asked.state.active = report->active;
        asked.state.queued = report->queued;
        asked.state.slowdown = report->pace;
        asked.layers = report->layers;
        asked.busy = report->busy;
        asked.answeredAt = asked.state.at;
    }
    m_polledDirty = true;
}

/// The readers of the other domains know their engines; one question a second
/// to each keeps paths there from being chosen blindly by everybody at once.
void Control::queryOtherDomains(Time now)
{
    const auto endpoints = static_cast<std::size_t>(SharedTable::Endpoints);
    const std::uint64_t known = m_server.state(SharedTable::Endpoints).copy.version();
    for (const PeerInstance &each : m_directory.remoteReaders(now)) {
        auto &source = m_otherDomainSources[each.name + "@" + each.address];
        if (!source)
            source =
                std::make_unique<PeerSource>(m_context, each, endpoints, std::make_shared<Time>());
        source->watch(std::max<std::uint64_t>(1, known), Duration {},
                      [this](const TableAnswer &answer) { otherDomainsReported(answer.engines); });
    }
}

void Control::otherDomainsReported(const EngineReports &reports)
{
    for (const EngineState &state : reports.changed) {
        const FleetEndpoint *engine = m_fleetNow->find(state.id);
        if (engine && engine->domain != m_settings.domain)
            m_otherDomainReports.changed.push_back(state);
    }
    for (const auto &[domain, at] : reports.asOf)
        if (domain != m_settings.domain)
            m_otherDomainReports.asOf[domain] = std::max(m_otherDomainReports.asOf[domain], at);
}

/// Each engine is told anew only when it would be chosen otherwise: at a thousand engines
/// a domain, all states told to all instances take more than their links carry.
void Control::publishEngineStates()
{
    EngineReports reports = std::exchange(m_otherDomainReports, {});
    if (std::exchange(m_polledDirty, false)) {
        const auto silent = silentEngines();
        for (const auto &[id, asked] : m_polled) {
            const FleetEndpoint *engine = m_fleetNow->find(id);
            EngineState now = asked.state;
            now.silent = silent && silent->contains(id);
            const EngineState *told = m_server.told(id);
            if (!engine || (told && !differsNoticeably(*told, now, kvCapacity(*engine))))
                continue;
            reports.changed.push_back(std::move(now));
        }
        reports.asOf[m_settings.domain] = steadyNow();
    }
    reportsArrived(reports);
}

/// Reports are told on: others may follow this instance.
void Control::reportsArrived(const EngineReports &reports)
{
    if (reports.changed.empty() && reports.asOf.empty())
        return;
    m_server.addReports(reports);
    m_events.engines(reports);
}

void Control::place(Time now)
{
    if (!m_table || !m_fleet.loaded())
        return;
    for (const RoutedService &service : m_table->services()) {
        if (!service.model)
            continue;
        for (const LayerOrder &order : m_planner.plan(*m_fleetNow, service, now))
            giveOrder(order);
    }
}

/// Engines of the domain that do not answer. Nothing when most of them seem
/// silent: it is this instance that does not hear, slow or cut off. Told on, that
/// would leave a whole domain without paths.
std::optional<std::set<std::string>> Control::silentEngines() const
{
    std::set<std::string> silent;
    for (const auto &[id, asked] : m_polled)
        if (asked.misses >= MissesToSilence)
            silent.insert(id);
    if (silent.size() * 2 > m_polled.size())
        return std::nullopt;
    return silent;
}

/// The domain's engines as they said of themselves, where that is young: the list
/// lags by a beat, and stands still while the store is down.
FleetSnapshot Control::ownDomainNow(Time now) const
{
    constexpr Duration Young {1'700'000};
    FleetSnapshot fleet;
    for (const FleetEndpoint &each : m_fleetNow->endpoints) {
        if (each.domain != m_settings.domain)
            continue;
        FleetEndpoint &own = fleet.endpoints.emplace_back(each);
        const auto asked = m_polled.find(each.id);
        if (asked == m_polled.end() || now - asked->second.answeredAt > Young)
            continue;
        own.layers = asked->second.layers;
        own.busy = asked->second.busy;
    }
    return fleet;
}

/// The reader of the domain fills its gaps, with the lease or without it.
void Control::fillGaps(Time now)
{
    if (m_stopping || !m_table || !m_fleet.loaded() || !isDomainReader())
        return;
    const auto silent = silentEngines();
    if (!silent)
        return;
    const FleetSnapshot fleet = ownDomainNow(now);
    for (const RoutedService &service : m_table->services())
        for (const LayerOrder &order :
             m_filler.fill(fleet, service, m_settings.domain, *silent, now))
            giveOrder(order);
}

void Control::engineCall(const std::string &endpoint, const std::string &address,
                         const OutgoingCall &call, TimedCall::Callback callback)
{
    startCall(m_engines, endpoint, address, call, EngineWithin, std::move(callback));
}

void Control::giveOrder(const LayerOrder &order)
{
    if (order.additive)
        m_filler.orderSent(order, steadyNow());
    else
        m_planner.orderSent(order, steadyNow());
    // Its present state is read first: the list is a second or two old, and an
    // order is bound to the number of orders that the engine accepted so far.
    engineCall(order.endpoint, order.address, {"GET", std::string(m_protocol.reportTarget()), {}},
               [this, order](const CallOutcome &outcome) {
                   Reason reason;
                   const auto report = m_protocol.report(outcome.body, reason);
                   const FleetEndpoint *listed = m_fleetNow->find(order.endpoint);
                   if (outcome.status != 200 || !report || report->busy || !listed
                       || report->isFromOtherProcess(*listed)
                       || (order.additive && !GapFiller::keepsHeldLayers(order, report->layers)))
                       return orderOutcome(order, OrderReply::Refused, outcome.status);
                   sendOrder(order, report->orders);
               });
}

void Control::sendOrder(const LayerOrder &order, std::uint64_t expectedOrders)
{
    // Asked again right before the order leaves: a process that was paused has
    // lost the lease meanwhile, and engines do not check the fencing number.
    if (!order.additive && !m_lease.holds(bootNow()))
        return orderOutcome(order, OrderReply::Refused, 0);
    m_state.ordersGiven += 1;
    engineCall(order.endpoint, order.address,
               m_protocol.order(order, expectedOrders, m_lease.fencing()),
               [this, order](const CallOutcome &outcome) {
                   const OrderReply reply =
                       outcome.status == 0
                           ? (outcome.left ? OrderReply::Unknown : OrderReply::Refused)
                           : m_protocol.parseOrderReply(outcome.status);
                   orderOutcome(order, reply, outcome.status);
               });
}

void Control::orderOutcome(const LayerOrder &order, OrderReply reply, int status)
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
    if (reply == OrderReply::Refused && order.additive)
        m_filler.orderRefused(order.endpoint, steadyNow());
    else if (reply == OrderReply::Refused)
        m_planner.orderRefused(order.endpoint, steadyNow());
}

} // namespace balsamloft
