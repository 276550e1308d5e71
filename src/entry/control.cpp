#include "control.h"

#include "clock.h"
#include "decisionlog.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <unistd.h>

namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr auto TickEvery = std::chrono::milliseconds(150);
constexpr Duration CallWithin {900'000};
constexpr Duration EngineWithin {600'000};
constexpr Duration MembersEvery {4'000'000};
constexpr std::int64_t MemberLifeMs = 13'000;
constexpr std::string_view MemberPrefix = "instance/";

FollowerSettings configurationSettings(const EntryProtocol &protocol)
{
    FollowerSettings settings;
    settings.table = std::string(protocol.configurationTable());
    return settings;
}

FollowerSettings endpointSettings(const EntryProtocol &protocol)
{
    FollowerSettings settings;
    settings.table = std::string(protocol.endpointTable());
    settings.wait = Duration(1'000'000);
    settings.pace = Duration(300'000);
    return settings;
}

LeaseSettings leaseSettings(const EntrySettings &settings)
{
    LeaseSettings lease;
    lease.key = "placement";
    lease.holder = settings.name + "/" + std::to_string(bootNow().time_since_epoch().count());
    lease.duration = Duration(2'400'000);
    lease.renewEvery = Duration(800'000);
    lease.pollEvery = Duration(1'500'000);
    lease.margin = Duration(300'000);
    return lease;
}

} // namespace

Control::Control(boost::asio::io_context &context, const EntrySettings &settings,
                 const EntryProtocol &protocol, EntryState &state, ControlEvents events)
    : m_context(context)
    , m_settings(settings)
    , m_protocol(protocol)
    , m_state(state)
    , m_events(std::move(events))
    , m_timer(context)
    , m_configuration(
          context, settings.store, protocol, state, configurationSettings(protocol),
          {[this](const auto &rows) { configurationRows(rows); },
           [this](const auto &rows) { configurationRows(rows); },
           [this](const StoreAnswer &answer) {
               m_freshness.answered(answer.sentAt, answer.arrivedAt, answer.reply.storeMs);
               if (m_table)
                   m_state.keysKnownAt = m_freshness.knownAt()->time_since_epoch().count();
           }})
    , m_endpoints(context, settings.store, protocol, state, endpointSettings(protocol),
                  {[this](const auto &rows) { endpointRows(rows, true); },
                   [this](const auto &rows) { endpointRows(rows, false); },
                   [this](const StoreAnswer & /*answer*/) {
                       m_fleet.heard(steadyNow());
                       tellFleet();
                   }})
    , m_channel(context, settings.store, protocol, state)
    , m_engines(context)
    , m_fleetNow(std::make_shared<FleetSnapshot>())
    , m_lease(leaseSettings(settings))
{
}

void Control::start()
{
    m_configuration.start();
    m_endpoints.start();
    tick();
}

void Control::configurationRows(const std::vector<StoreRow> &rows)
{
    for (const StoreRow &row : rows) {
        if (row.key != m_protocol.configurationKey() || row.dropped || row.version <= m_tableRow)
            continue;
        Reason reason;
        std::vector<Reason> leftOut;
        RouteTablePtr table = m_protocol.routeTable(row.value, leftOut, reason);
        m_tableRow = row.version;
        for (const Reason &each : leftOut) {
            m_state.badRows += 1;
            logDecision("configuration", "entry left out", {{"reason", std::string_view(each)}});
        }
        if (!table) {
            // The last good one stays in force.
            m_state.badRows += 1;
            logDecision("configuration", "not taken", {{"reason", std::string_view(reason)}});
            continue;
        }
        if (m_table && table->version() <= m_table->version())
            continue;
        m_table = std::move(table);
        logDecision("configuration", "in force",
                    {{"version", std::int64_t(m_table->version())},
                     {"routes", std::int64_t(m_table->routes().size())}});
        m_events.table(m_table);
    }
}

void Control::endpointRows(const std::vector<StoreRow> &rows, bool whole)
{
    const Time now = steadyNow();
    std::vector<FleetEndpoint> endpoints;
    for (const StoreRow &row : rows) {
        if (row.dropped) {
            m_fleet.dropped(row.key, now);
            continue;
        }
        Reason reason;
        if (auto endpoint = m_protocol.endpoint(row.key, row.value, reason)) {
            endpoints.push_back(std::move(*endpoint));
            continue;
        }
        m_state.badRows += 1;
        logDecision(
            "endpoints", "entry left out",
            {{"endpoint", std::string_view(row.key)}, {"reason", std::string_view(reason)}});
    }
    if (whole)
        return m_fleet.listed(std::move(endpoints), now);
    for (FleetEndpoint &each : endpoints)
        m_fleet.changed(std::move(each), now);
}

void Control::tellFleet()
{
    m_state.fleetKnown = m_fleet.known();
    if (!m_fleet.dirty())
        return;
    m_fleetNow = m_fleet.snapshot();
    logDecision("endpoints", "changed",
                {{"number", std::int64_t(m_fleetNow->number)},
                 {"endpoints", std::int64_t(m_fleetNow->endpoints.size())}});
    m_events.fleet(m_fleetNow);
}

void Control::tick()
{
    const Time now = bootNow();
    m_fleet.tick(steadyNow());
    tellFleet();
    LeaseActions actions;
    if (!m_stopping)
        m_lease.tick(now, actions);
    leaseActions(std::move(actions));
    if (!m_stopping && now - m_membersAt >= MembersEvery && m_lease.holds(now))
        readInstances(std::nullopt);
    if (!m_stopping && m_storeOffset && now - m_writtenAt >= MembersEvery)
        writeInstance(false, nullptr);
    const bool held = m_lease.holds(now);
    if (held != std::exchange(m_held, held))
        logDecision("lease", held ? "gained" : "lost",
                    {{"fencing", std::int64_t(m_lease.fencing())}});
    m_state.holdsLease = held;
    if (held && !m_stopping)
        place(steadyNow());
    m_timer.expires_after(TickEvery);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

void Control::leaseActions(LeaseActions actions)
{
    for (LeaseAction &action : actions) {
        if (const auto *read = std::get_if<ReadLease>(&action)) {
            readInstances(read->id);
            continue;
        }
        auto &write = std::get<WriteLease>(action);
        m_channel.call(m_protocol.commit(write.transaction), CallWithin,
                       [this, id = write.id](const StoreAnswer &answer) {
                           TransactionOutcome outcome;
                           outcome.version = answer.reply.version;
                           switch (answer.reply.kind) {
                           case StoreReply::Kind::Done:
                               outcome.kind = TransactionOutcome::Kind::Committed;
                               break;
                           case StoreReply::Kind::Conflict:
                               outcome.kind = TransactionOutcome::Kind::Conflict;
                               break;
                           case StoreReply::Kind::NotDone:
                               outcome.kind = TransactionOutcome::Kind::NotCommitted;
                               break;
                           default:
                               outcome.kind = answer.left ? TransactionOutcome::Kind::Unknown
                                                          : TransactionOutcome::Kind::NotCommitted;
                           }
                           LeaseActions more;
                           m_lease.writeDone(id, outcome, bootNow(), more);
                           leaseActions(std::move(more));
                       });
    }
}

void Control::readInstances(std::optional<std::uint64_t> leaseRead)
{
    m_membersAt = bootNow();
    m_channel.call(
        m_protocol.read(LeaseTable, {}), CallWithin,
        [this, leaseRead](const StoreAnswer &answer) { instancesArrived(answer, leaseRead); });
}

void Control::instancesArrived(const StoreAnswer &answer, std::optional<std::uint64_t> leaseRead)
{
    const Time now = bootNow();
    ReadOutcome outcome;
    if (answer.reply.kind == StoreReply::Kind::Done) {
        m_storeOffset = Duration(answer.reply.storeMs * 1000) - now.time_since_epoch();
        outcome.kind = ReadOutcome::Kind::Missing;
        for (const StoreRow &row : answer.reply.rows)
            if (row.key == "placement") {
                outcome.kind = ReadOutcome::Kind::Found;
                outcome.row = {row.key, row.version, row.value};
            }
        countInstances(answer.reply.rows, answer.reply.storeMs);
    }
    if (!leaseRead)
        return;
    LeaseActions actions;
    m_lease.readDone(*leaseRead, outcome, now, actions);
    leaseActions(std::move(actions));
}

void Control::countInstances(const std::vector<StoreRow> &rows, std::int64_t storeMs)
{
    double sharers = 0;
    for (const StoreRow &row : rows) {
        if (!row.key.starts_with(MemberPrefix))
            continue;
        boost::system::error_code error;
        const json::value value = json::parse(row.value, error);
        const json::object *object = error ? nullptr : value.if_object();
        const json::value *domain = object ? object->if_contains("domain") : nullptr;
        const json::value *seen = object ? object->if_contains("seen_ms") : nullptr;
        if (domain && seen && domain->is_string() && seen->is_int64()
            && domain->get_string() == m_settings.domain
            && storeMs - seen->get_int64() < MemberLifeMs)
            sharers += 1;
    }
    sharers = std::max(1.0, sharers);
    if (sharers == std::exchange(m_sharers, sharers))
        return;
    logDecision("instances", "counted", {{"in_domain", std::int64_t(sharers)}});
    m_events.sharers(sharers);
}

void Control::writeInstance(bool leaving, std::function<void()> done)
{
    m_writtenAt = bootNow();
    RowWrite write;
    write.table = std::string(LeaseTable);
    write.key = std::string(MemberPrefix) + m_settings.name;
    if (!leaving) {
        const Duration storeTime = m_writtenAt.time_since_epoch() + *m_storeOffset;
        write.value = json::serialize(
            json::object {{"domain", m_settings.domain}, {"seen_ms", storeTime.count() / 1000}});
    }
    Transaction transaction;
    transaction.writes.push_back(std::move(write));
    m_channel.call(m_protocol.commit(transaction), CallWithin,
                   [done = std::move(done)](const StoreAnswer &) {
                       if (done)
                           done();
                   });
}

void Control::place(Time now)
{
    if (!m_table || !m_fleet.known())
        return;
    for (const RoutedService &service : m_table->services()) {
        if (!service.model)
            continue;
        for (const LayerOrder &order : m_planner.plan(*m_fleetNow, service, now))
            giveOrder(order);
    }
}

void Control::engineCall(const LayerOrder &order, const OutgoingCall &call,
                         OneCall::Callback callback)
{
    ExchangeSettings settings;
    settings.endpoint = order.endpoint;
    settings.address = order.address;
    std::make_shared<OneCall>(m_engines, std::move(settings),
                              callText(call.method, call.target, order.address, call.body),
                              EngineWithin, std::move(callback))
        ->start();
}

void Control::giveOrder(const LayerOrder &order)
{
    m_planner.ordered(order, steadyNow());
    // Its present state is read first: the list is a second or two old, and an
    // order is bound to the number of orders that the engine accepted so far.
    engineCall(order, {"GET", std::string(m_protocol.reportTarget()), {}},
               [this, order](const CallOutcome &outcome) {
                   Reason reason;
                   const auto report = m_protocol.report(outcome.body, reason);
                   if (outcome.status != 200 || !report || report->busy)
                       return orderOutcome(order, OrderReply::Refused, outcome.status);
                   sendOrder(order, report->orders);
               });
}

void Control::sendOrder(const LayerOrder &order, std::uint64_t expectedOrders)
{
    // Asked again right before the order leaves: a process that was paused has
    // lost the lease meanwhile, and engines do not check the fencing number.
    if (!m_lease.holds(bootNow()))
        return orderOutcome(order, OrderReply::Refused, 0);
    m_state.ordersGiven += 1;
    engineCall(order, m_protocol.order(order, expectedOrders, m_lease.fencing()),
               [this, order](const CallOutcome &outcome) {
                   const OrderReply reply =
                       outcome.status == 0
                           ? (outcome.left ? OrderReply::Unknown : OrderReply::Refused)
                           : m_protocol.orderReply(outcome.status);
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
    if (reply == OrderReply::Refused)
        m_planner.refused(order.endpoint, steadyNow());
}

void Control::stop(std::function<void()> done)
{
    m_stopping = true;
    LeaseActions actions;
    m_lease.release(bootNow(), actions);
    leaseActions(std::move(actions));
    writeInstance(true, std::move(done));
}

} // namespace balsamloft
