#include "control.h"

#include "clock.h"
#include "decisionlog.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr auto TickEvery = std::chrono::milliseconds(150);
constexpr Duration CallWithin {900'000};
constexpr Duration EngineWithin {450'000};
constexpr Duration WriteEvery {10'000'000};
constexpr Duration CountEvery {2'000'000};
constexpr Duration AskEnginesEvery {1'000'000};
/// How long the store is read after another instance failed as a source.
constexpr Duration DirectAfterFailure {2'500'000};
/// How long another instance is read from after the store failed.
constexpr Duration StoreAvoided {1'500'000};
constexpr std::int64_t InstanceLifeMs = 24'000;
constexpr std::uint32_t MissesToSilence = 2;
constexpr std::string_view InstanceTable = "instances";
constexpr std::string_view LeaseKey = "placement";

FollowerSettings followerSettings(NewsTable table)
{
    FollowerSettings settings;
    switch (table) {
    case NewsTable::Configuration:
        settings.table = "configuration";
        break;
    case NewsTable::Endpoints:
        settings.table = "endpoints";
        settings.pace = Duration(250'000);
        settings.peerPace = Duration(100'000);
        break;
    case NewsTable::Instances:
        settings.table = "instances";
        settings.storeWait = Duration(10'000'000);
        settings.peerWait = Duration(10'000'000);
        settings.pace = Duration(5'000'000);
        settings.peerPace = Duration(4'000'000);
        settings.retry = Duration(1'000'000);
        break;
    }
    return settings;
}

std::string_view tableName(const EntryProtocol &protocol, NewsTable table)
{
    switch (table) {
    case NewsTable::Configuration:
        return protocol.configurationTable();
    case NewsTable::Endpoints:
        return protocol.endpointTable();
    case NewsTable::Instances:
        break;
    }
    return InstanceTable;
}

FleetSettings fleetSettings(const EntrySettings &settings)
{
    FleetSettings fleet;
    fleet.beat = settings.beat;
    return fleet;
}

LayerPlannerSettings plannerSettings(const EntrySettings &settings)
{
    LayerPlannerSettings planner;
    planner.settle = settings.beat * 6 / 5;
    return planner;
}

LeaseSettings leaseSettings(const EntrySettings &settings)
{
    LeaseSettings lease;
    lease.key = LeaseKey;
    lease.holder = settings.name + "/" + std::to_string(bootNow().time_since_epoch().count());
    lease.duration = Duration(2'400'000);
    lease.renewEvery = Duration(800'000);
    lease.pollEvery = Duration(1'000'000);
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
    , m_server(context)
    , m_directory(settings.name, settings.domain)
    , m_channel(context, settings.store, protocol, state)
    , m_engines(context)
    , m_fleet(fleetSettings(settings))
    , m_fleetNow(std::make_shared<FleetSnapshot>())
    , m_lease(leaseSettings(settings))
    , m_planner(plannerSettings(settings))
{
    for (std::size_t i = 0; i < NewsTableCount; ++i) {
        const auto table = static_cast<NewsTable>(i);
        m_storeSources[i] = std::make_unique<StoreSource>(context, settings.store, protocol, state,
                                                          std::string(tableName(protocol, table)));
        m_followers[i] =
            std::make_unique<TableFollower>(context, followerSettings(table), tableEvents(table));
    }
}

bool Control::listen(Reason &reason)
{
    return m_server.listen(m_settings.peers, reason);
}

void Control::start()
{
    for (const auto &follower : m_followers)
        follower->start();
    tick();
}

TableEvents Control::tableEvents(NewsTable table)
{
    const auto rows = [this, table](const std::vector<StoreRow> &changed, bool whole) {
        if (table == NewsTable::Configuration)
            configurationRows(changed);
        else if (table == NewsTable::Endpoints)
            endpointRows(changed, whole);
    };
    TableEvents events;
    events.whole = [this, table, rows](const auto &all, std::uint64_t version) {
        m_server.state(table).copy.replace(all, version);
        rows(all, true);
    };
    events.changed = [this, table, rows](const auto &changed, std::uint64_t version) {
        m_server.state(table).copy.change(changed, version);
        rows(changed, false);
    };
    events.heard = [this, table](const TableAnswer &answer) { heard(table, answer); };
    events.source = [this, table]() -> TableSource & { return source(table); };
    events.failed = [this](const TableSource &failed) { sourceFailed(failed); };
    return events;
}

bool Control::readsStore() const
{
    return !m_directory.reader(steadyNow());
}

TableSource &Control::source(NewsTable table)
{
    const Time now = steadyNow();
    const auto index = static_cast<std::size_t>(table);
    const PeerInstance *peer = now < m_directUntil ? nullptr : m_directory.reader(now);
    if (!peer && now < m_storeBadUntil)
        peer = m_directory.substitute(now);
    if (!peer)
        return *m_storeSources[index];
    auto &known = m_peerSources[index][peer->name + "@" + peer->address];
    if (!known)
        known = std::make_unique<PeerSource>(m_context, *peer, index);
    return *known;
}

void Control::sourceFailed(const TableSource &source)
{
    const Time now = steadyNow();
    if (source.peer().empty()) {
        m_storeBadUntil = now + StoreAvoided;
        for (std::size_t i = 0; i < NewsTableCount; ++i)
            m_server.setDirect(static_cast<NewsTable>(i), false);
        return;
    }
    // Then from the store itself for a while: whoever comes next in the order
    // probably read from the same one.
    m_directory.failed(source.peer(), now);
    m_directUntil = now + DirectAfterFailure;
}

void Control::heard(NewsTable table, const TableAnswer &answer)
{
    NewsState &state = m_server.state(table);
    if (answer.knownAt)
        state.knownAt = std::max(state.knownAt, *answer.knownAt);
    state.storeMs = std::max(state.storeMs, answer.reply.storeMs);
    m_server.setDirect(table, answer.direct);
    if (table == NewsTable::Configuration && m_table)
        m_state.keysKnownAt = state.knownAt.time_since_epoch().count();
    if (table == NewsTable::Endpoints) {
        m_fleet.heard(steadyNow());
        tellFleet();
        if (!answer.engines.empty())
            m_events.engines(answer.engines);
    }
    if (table == NewsTable::Instances) {
        m_storeOffset = Duration(answer.reply.storeMs * 1000) - bootNow().time_since_epoch();
        countInstances();
    }
    m_server.changed(table);
}

void Control::configurationRows(const std::vector<StoreRow> &rows)
{
    for (const StoreRow &row : rows) {
        if (row.key != m_protocol.configurationKey() || row.dropped || row.version <= m_tableRow)
            continue;
        Reason reason;
        std::vector<Reason> leftOut;
        RouteMapPtr table = m_protocol.routeTable(row.value, leftOut, reason);
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
    const FleetPtr before = std::exchange(m_fleetNow, m_fleet.snapshot());
    logLeaving(*before, *m_fleetNow);
    logDecision("endpoints", "changed",
                {{"number", std::int64_t(m_fleetNow->number)},
                 {"endpoints", std::int64_t(m_fleetNow->endpoints.size())}});
    m_events.fleet(m_fleetNow);
}

/// Says which endpoints get nothing new from now on, and how old the news is.
void Control::logLeaving(const FleetSnapshot &before, const FleetSnapshot &after)
{
    const Time known = m_server.state(NewsTable::Endpoints).knownAt;
    const std::int64_t ageMs = known == Time {} ? 0 : (bootNow() - known).count() / 1000;
    for (const FleetEndpoint &each : before.endpoints) {
        const FleetEndpoint *now = after.find(each.id);
        if (now && (each.draining || !now->draining))
            continue;
        logDecision("endpoints", now ? "leaving" : "gone",
                    {{"endpoint", std::string_view(each.id)},
                     {"address", std::string_view(each.address)},
                     {"age_ms", ageMs}});
    }
}

void Control::tick()
{
    const Time now = bootNow();
    m_fleet.tick(steadyNow());
    tellFleet();
    LeaseActions actions;
    // Only those who read from the store contend: the others would add calls.
    if (!m_stopping && (m_lease.holds(now) || readsStore()))
        m_lease.tick(now, actions);
    leaseActions(std::move(actions));
    if (!m_stopping && m_storeOffset && now - m_writtenAt >= WriteEvery)
        writeInstance(false, nullptr);
    if (m_storeOffset && now - m_countedAt >= CountEvery)
        countInstances();
    const bool held = m_lease.holds(now);
    if (held != std::exchange(m_held, held))
        logDecision("lease", held ? "gained" : "lost",
                    {{"fencing", std::int64_t(m_lease.fencing())}});
    m_state.holdsLease = held;
    if (held && !m_stopping)
        place(steadyNow());
    askEngines(steadyNow());
    tellEngines();
    m_timer.expires_after(TickEvery);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

void Control::leaseActions(LeaseActions actions)
{
    for (LeaseAction &action : actions) {
        if (const auto *read = std::get_if<ReadLease>(&action))
            readLease(read->id);
        else
            writeLease(std::move(std::get<WriteLease>(action)));
    }
}

void Control::readLease(std::uint64_t id)
{
    m_channel.call(m_protocol.read(LeaseTable, {}), CallWithin,
                   [this, id](const StoreAnswer &answer) {
                       ReadOutcome outcome;
                       if (answer.reply.kind == StoreReply::Kind::Done) {
                           outcome.kind = ReadOutcome::Kind::Missing;
                           for (const StoreRow &row : answer.reply.rows)
                               if (row.key == LeaseKey) {
                                   outcome.kind = ReadOutcome::Kind::Found;
                                   outcome.row = {row.key, row.version, row.value};
                               }
                       }
                       LeaseActions actions;
                       m_lease.readDone(id, outcome, bootNow(), actions);
                       leaseActions(std::move(actions));
                   });
}

void Control::writeLease(WriteLease write)
{
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

void Control::countInstances()
{
    const Time now = bootNow();
    m_countedAt = now;
    const std::int64_t storeMs = (now.time_since_epoch() + *m_storeOffset).count() / 1000;
    std::vector<PeerInstance> instances;
    for (const StoreRow &row : m_server.state(NewsTable::Instances).copy.all()) {
        boost::system::error_code error;
        const json::value value = json::parse(row.value, error);
        const json::object *object = error ? nullptr : value.if_object();
        const json::value *domain = object ? object->if_contains("domain") : nullptr;
        const json::value *peer = object ? object->if_contains("peer") : nullptr;
        const json::value *seen = object ? object->if_contains("seen_ms") : nullptr;
        if (domain && peer && seen && domain->is_string() && peer->is_string() && seen->is_int64()
            && storeMs - seen->get_int64() < InstanceLifeMs)
            instances.push_back(
                {row.key, std::string(domain->get_string()), std::string(peer->get_string())});
    }
    if (instances == m_instances)
        return;
    m_instances = instances;
    m_directory.replace(std::move(instances));
    logDecision("instances", "counted",
                {{"in_domain", std::int64_t(m_directory.inDomain())},
                 {"all", std::int64_t(m_directory.count())}});
    m_events.instances(m_directory.inDomain(), m_directory.count());
}

void Control::writeInstance(bool leaving, std::function<void()> done)
{
    m_writtenAt = bootNow();
    RowWrite write;
    write.table = std::string(InstanceTable);
    write.key = m_settings.name;
    if (!leaving) {
        const Duration storeTime = m_writtenAt.time_since_epoch() + *m_storeOffset;
        write.value = json::serialize(json::object {{"domain", m_settings.domain},
                                                    {"peer", m_settings.peers},
                                                    {"seen_ms", storeTime.count() / 1000}});
    }
    Transaction transaction;
    transaction.writes.push_back(std::move(write));
    m_channel.call(m_protocol.commit(transaction), CallWithin,
                   [done = std::move(done)](const StoreAnswer &) {
                       if (done)
                           done();
                   });
}

/// One instance of each domain asks the engines there, and tells the others.
void Control::askEngines(Time now)
{
    if (now - m_enginesAskedAt < AskEnginesEvery || !readsStore() || !m_table)
        return;
    m_enginesAskedAt = now;
    askOtherDomains(now);
    std::erase_if(m_asked, [&](const auto &each) { return !m_fleetNow->find(each.first); });
    for (const FleetEndpoint &each : m_fleetNow->endpoints) {
        if (each.domain != m_settings.domain || each.layers.end <= each.layers.begin)
            continue;
        engineCall(
            each.id, each.address, {"GET", std::string(m_protocol.reportTarget()), {}},
            [this, id = each.id](const CallOutcome &outcome) { engineAnswered(id, outcome); });
    }
}

void Control::engineAnswered(const std::string &id, const CallOutcome &outcome)
{
    Reason reason;
    const auto report = m_protocol.report(outcome.body, reason);
    const bool answered = outcome.status == 200 && report;
    AskedEngine &asked = m_asked[id];
    asked.misses = outcome.status == 0 ? asked.misses + 1 : 0;
    if (asked.misses == MissesToSilence)
        logDecision("engine", "silent", {{"endpoint", std::string_view(id)}});
    asked.state.id = id;
    asked.state.at = steadyNow();
    if (answered) {
        asked.state.used = report->used;
        asked.state.active = report->active;
        asked.state.queued = report->queued;
        asked.state.pace = report->pace;
    }
    m_askedDirty = true;
}

/// The readers of the other domains know their engines; one question a second
/// to each keeps paths there from being chosen blindly by everybody at once.
void Control::askOtherDomains(Time now)
{
    std::erase_if(m_elsewhere, [&](const auto &each) { return !m_fleetNow->find(each.first); });
    const auto endpoints = static_cast<std::size_t>(NewsTable::Endpoints);
    const std::uint64_t known = m_server.state(NewsTable::Endpoints).copy.version();
    for (const PeerInstance &each : m_directory.readersElsewhere(now)) {
        auto &source = m_elsewhereSources[each.name + "@" + each.address];
        if (!source)
            source = std::make_unique<PeerSource>(m_context, each, endpoints);
        source->watch(std::max<std::uint64_t>(1, known), Duration {},
                      [this](const TableAnswer &answer) {
                          for (const EngineState &state : answer.engines) {
                              const FleetEndpoint *engine = m_fleetNow->find(state.id);
                              if (engine && engine->domain != m_settings.domain)
                                  m_elsewhere[state.id] = state;
                          }
                          m_askedDirty = m_askedDirty || !answer.engines.empty();
                      });
    }
}

void Control::tellEngines()
{
    if (!std::exchange(m_askedDirty, false))
        return;
    std::vector<EngineState> states;
    std::size_t silent = 0;
    for (const auto &[id, asked] : m_asked) {
        states.push_back(asked.state);
        states.back().silent = asked.misses >= MissesToSilence;
        silent += states.back().silent ? 1 : 0;
    }
    // When most engines seem silent it is this instance that does not hear: it
    // is slow or cut off. Told on, that would leave a whole domain without paths.
    if (silent * 2 > states.size())
        for (EngineState &state : states)
            state.silent = false;
    for (const auto &[id, state] : m_elsewhere)
        states.push_back(state);
    m_server.setEngines(states);
    m_events.engines(std::move(states));
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

void Control::engineCall(const std::string &endpoint, const std::string &address,
                         const OutgoingCall &call, OneCall::Callback callback)
{
    ExchangeSettings settings;
    settings.endpoint = endpoint;
    settings.address = address;
    std::make_shared<OneCall>(m_engines, std::move(settings),
                              callText(call.method, call.target, address, call.body), EngineWithin,
                              std::move(callback))
        ->start();
}

void Control::giveOrder(const LayerOrder &order)
{
    m_planner.ordered(order, steadyNow());
    // Its present state is read first: the list is a second or two old, and an
    // order is bound to the number of orders that the engine accepted so far.
    engineCall(order.endpoint, order.address, {"GET", std::string(m_protocol.reportTarget()), {}},
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
    engineCall(order.endpoint, order.address,
               m_protocol.order(order, expectedOrders, m_lease.fencing()),
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
