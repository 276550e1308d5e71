// What the instance knows of configuration and endpoints, and from whom.

#include "control.h"

#include "clock.h"
#include "decisionlog.h"

#include <balsamloft/coverage.h>

namespace balsamloft {

namespace {

constexpr auto TickEvery = std::chrono::milliseconds(150);
/// How often an instance writes its row. Who stopped as planned takes it back, and
/// who died is noticed by asking; so rows need not be young, and each write of 340
/// instances is a call of the store.
constexpr Duration WriteEvery {25'000'000};
/// How often what the store was asked for is logged.
constexpr Duration LogCallsEvery {10'000'000};

FollowerSettings followerSettings(SharedTable table)
{
    FollowerSettings settings;
    switch (table) {
    case SharedTable::Configuration:
        settings.table = "configuration";
        break;
    case SharedTable::Endpoints:
        settings.table = "endpoints";
        settings.minInterval = Duration(250'000);
        settings.peerMinInterval = Duration(100'000);
        break;
    case SharedTable::Instances:
        settings.table = "instances";
        settings.storeWait = Duration(10'000'000);
        settings.peerWait = Duration(10'000'000);
        settings.minInterval = Duration(5'000'000);
        settings.peerMinInterval = Duration(4'000'000);
        break;
    case SharedTable::Crashes:
        settings.table = "crashes";
        settings.storeWait = Duration(10'000'000);
        settings.peerWait = Duration(10'000'000);
        settings.minInterval = Duration(250'000);
        settings.peerMinInterval = Duration(100'000);
        break;
    }
    return settings;
}

std::string_view tableName(const EntryProtocol &protocol, SharedTable table)
{
    switch (table) {
    case SharedTable::Configuration:
        return protocol.configurationTable();
    case SharedTable::Endpoints:
        return protocol.endpointTable();
    case SharedTable::Crashes:
        return CrashTable;
    case SharedTable::Instances:
        break;
    }
    return InstanceTable;
}

/// Tables whose changes are waited for so long that an answer's age says nothing of
/// the one who gave it.
bool toldSeldom(SharedTable table)
{
    return table == SharedTable::Instances || table == SharedTable::Crashes;
}

FleetSettings fleetSettings(const EntrySettings &settings)
{
    FleetSettings fleet;
    fleet.heartbeatInterval = settings.heartbeatInterval;
    return fleet;
}

LayerPlannerSettings plannerSettings(const EntrySettings &settings)
{
    LayerPlannerSettings planner;
    planner.startupDelay = settings.heartbeatInterval * 6 / 5;
    return planner;
}

/// Unique to this process, not only to its name.
std::string processName(const EntrySettings &settings)
{
    return settings.name + "/" + std::to_string(bootNow().time_since_epoch().count());
}

TrialSettings trialSettings(const EntrySettings &settings)
{
    TrialSettings trials;
    trials.holder = processName(settings);
    // A dead endpoint is listed for three beats, and everybody knows a little later.
    trials.margin = settings.heartbeatInterval * 3 + Duration(1'400'000);
    return trials;
}

LeaseSettings leaseSettings(const EntrySettings &settings)
{
    LeaseSettings lease;
    lease.key = LeaseKey;
    lease.holder = processName(settings);
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
    , m_crashChannel(context, settings.store, protocol, state)
    , m_engines(context)
    , m_fleet(fleetSettings(settings))
    , m_fleetNow(std::make_shared<FleetSnapshot>())
    , m_lease(leaseSettings(settings))
    , m_planner(plannerSettings(settings))
    , m_trials(trialSettings(settings))
{
    for (std::size_t i = 0; i < SharedTableCount; ++i) {
        const auto table = static_cast<SharedTable>(i);
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
    // First who else is there: the other tables are then read from one that knows
    // them. Hundreds that start together would else each read all of the store.
    m_followers[static_cast<std::size_t>(SharedTable::Instances)]->start();
    tick();
}

void Control::followRemainingTables()
{
    if (std::exchange(m_followsAll, true))
        return;
    m_followsSince = bootNow();
    for (const SharedTable table :
         {SharedTable::Configuration, SharedTable::Endpoints, SharedTable::Crashes})
        m_followers[static_cast<std::size_t>(table)]->start();
}

TableEvents Control::tableEvents(SharedTable table)
{
    const auto rows = [this, table](const std::vector<StoreRow> &changed, bool whole,
                                    const TableAnswer &answer) {
        if (table == SharedTable::Configuration)
            configurationRows(changed);
        else if (table == SharedTable::Endpoints)
            endpointRows(changed, whole, steadyNow() - answer.age(bootNow()));
        else if (table == SharedTable::Crashes && !changed.empty())
            crashRows();
    };
    TableEvents events;
    events.whole = [this, table, rows](const auto &all, std::uint64_t version,
                                       const TableAnswer &answer) {
        TableCopy &copy = m_server.state(table).copy;
        copy.replace(all, version);
        rows(copy.all(), true, answer);
    };
    events.changed = [this, table, rows](const auto &changed, std::uint64_t version,
                                         const TableAnswer &answer) {
        rows(m_server.state(table).copy.change(changed, version), false, answer);
    };
    events.heard = [this, table](const TableSource &source, const TableAnswer &answer) {
        heard(table, source, answer);
    };
    events.source = [this, table] { return source(table); };
    events.failed = [this](const TableSource &failed, bool answered) {
        sourceFailed(failed, answered);
    };
    return events;
}

/// The first reader of a domain does what only one need do there.
bool Control::isDomainReader() const
{
    return m_directory.first(steadyNow());
}

SourceChoice Control::source(SharedTable table)
{
    const auto index = static_cast<std::size_t>(table);
    const Time told = std::max(m_server.state(table).knownAt, m_followsSince);
    const Duration updateAge = toldSeldom(table) ? Duration {} : bootNow() - told;
    const ReadSource from = m_directory.source(steadyNow(), updateAge);
    if (from.kind == ReadSource::Kind::None)
        return nullptr;
    if (from.kind == ReadSource::Kind::Store)
        return {m_storeSources[index].get(), from.atOnce};
    const PeerInstance &peer = *from.instance;
    auto &known = m_peerSources[index][peer.name + "@" + peer.address];
    if (!known)
        known = std::make_unique<PeerSource>(m_context, peer, index, m_reportsAt);
    return {known.get(), from.atOnce};
}

void Control::sourceFailed(const TableSource &source, bool answered)
{
    const Time now = steadyNow();
    if (source.isStore()) {
        m_directory.storeFailed(now);
        m_server.storeLost();
    } else if (answered) {
        m_directory.behind(source.peer(), now);
    } else {
        m_directory.silent(source.peer(), now);
    }
}

void Control::heard(SharedTable table, const TableSource &source, const TableAnswer &answer)
{
    TableState &state = m_server.state(table);
    const Time now = steadyNow();
    const Duration age = answer.age(bootNow());
    if (answer.knownAt)
        state.knownAt = std::max(state.knownAt, *answer.knownAt);
    state.storeMs = std::max(state.storeMs, answer.reply.storeMs);
    state.direct = source.isStore();
    // What others told is older than the answer: the largest is the nearest.
    const Duration offset = Duration(answer.reply.storeMs * 1000) - bootNow().time_since_epoch();
    m_storeOffset = std::max(offset, m_storeOffset.value_or(offset));
    if (source.isStore())
        m_directory.storeAnswered();
    else if (!toldSeldom(table))
        m_directory.told(source.peer(), age, answer.direct, now);
    if (table == SharedTable::Configuration && m_table)
        m_state.keysKnownAt = state.knownAt.time_since_epoch().count();
    if (table == SharedTable::Endpoints) {
        m_fleet.listConfirmed(now - age);
        publishFleet();
        reportsArrived(answer.engines);
    }
    if (table == SharedTable::Instances) {
        countInstances();
        followRemainingTables();
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
        RouteMapPtr table = m_protocol.parseRouteTable(row.value, leftOut, reason);
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

/// \a knownAt: when the list was so. Old news told on are no word of the list
/// itself: taken for one, an outage would end unseen, and those whose entries lapsed
/// in it would be forgotten though they live.
void Control::endpointRows(const std::vector<StoreRow> &rows, bool whole, Time knownAt)
{
    if (!whole) {
        // In their order: an endpoint may come and leave within one answer. Were all
        // that leave taken out first, this one would stay, and get calls for good.
        for (const StoreRow &row : rows)
            endpointRow(row, knownAt);
        return;
    }
    std::vector<FleetEndpoint> endpoints;
    for (const StoreRow &row : rows)
        if (auto endpoint = endpointOf(row))
            endpoints.push_back(std::move(*endpoint));
    m_fleet.listed(std::move(endpoints), knownAt);
}

void Control::endpointRow(const StoreRow &row, Time knownAt)
{
    if (auto endpoint = row.dropped ? std::nullopt : endpointOf(row))
        m_fleet.changed(std::move(*endpoint), knownAt);
    else // An entry that names no endpoint has overwritten what stood under its name.
        m_fleet.dropped(row.key, knownAt);
}

std::optional<FleetEndpoint> Control::endpointOf(const StoreRow &row)
{
    Reason reason;
    auto endpoint = m_protocol.endpoint(row.key, row.value, reason);
    if (!endpoint)
        leftOut(row, reason);
    return endpoint;
}

/// Counts and logs an entry that names no endpoint, once for each time that it
/// was written: the list is read anew often, and the entry stays.
void Control::leftOut(const StoreRow &row, const Reason &reason)
{
    constexpr std::size_t MostRemembered = 1000;
    constexpr std::size_t MostShown = 80;
    if (m_leftOut.size() >= MostRemembered)
        m_leftOut.clear();
    const auto [known, fresh] = m_leftOut.try_emplace(row.key, row.version);
    if (!fresh && std::exchange(known->second, row.version) == row.version)
        return;
    m_state.badRows += 1;
    logDecision("endpoints", "entry left out",
                {{"endpoint", std::string_view(row.key).substr(0, MostShown)},
                 {"reason", std::string_view(reason)}});
}

void Control::publishFleet()
{
    m_state.fleetKnown = m_fleet.loaded();
    if (!m_fleet.dirty())
        return;
    const FleetPtr before = std::exchange(m_fleetNow, m_fleet.snapshot());
    m_server.keepOnly(*m_fleetNow);
    logLeaving(*before, *m_fleetNow);
    logDecision("endpoints", "changed",
                {{"number", std::int64_t(m_fleetNow->number)},
                 {"endpoints", std::int64_t(m_fleetNow->endpoints.size())}});
    logCoverage();
    m_events.fleet(m_fleetNow);
}

/// Says which layers nobody holds, in the own domain and in all, when that
/// changes: what could not be served for want of them, no router could have.
void Control::logCoverage()
{
    if (!m_table)
        return;
    for (const RoutedService &service : m_table->services()) {
        if (!service.model)
            continue;
        const Coverage own(*m_fleetNow, service, m_settings.domain);
        const Coverage all(*m_fleetNow, service, {});
        const std::pair gaps(own.gaps(), all.gaps());
        if (std::exchange(m_gaps[service.name], gaps) == gaps)
            continue;
        logDecision("placement", "coverage",
                    {{"gaps", std::string_view(gaps.first)},
                     {"gaps_everywhere", std::string_view(gaps.second)},
                     {"held_once", std::int64_t(own.layersHeldOnce())}});
    }
}

/// Says which endpoints get nothing new from now on, and how old the news is.
void Control::logLeaving(const FleetSnapshot &before, const FleetSnapshot &after)
{
    const Time known = m_server.state(SharedTable::Endpoints).knownAt;
    const std::int64_t ageMs = known == Time {} ? 0 : (bootNow() - known).count() / 1000;
    const auto log = [ageMs](std::string_view event, const FleetEndpoint &endpoint) {
        logDecision("endpoints", event,
                    {{"endpoint", std::string_view(endpoint.id)},
                     {"address", std::string_view(endpoint.address)},
                     {"age_ms", ageMs}});
    };
    for (const FleetEndpoint &each : before.endpoints)
        if (!after.find(each.id))
            log("gone", each);
    for (const FleetEndpoint &each : after.endpoints) {
        if (!each.draining)
            continue;
        const FleetEndpoint *earlier = before.find(each.id);
        if (!earlier || !earlier->draining)
            log("leaving", each);
    }
}

void Control::tick()
{
    const Time now = bootNow();
    m_fleet.tick(steadyNow());
    publishFleet();
    LeaseActions actions;
    // Only those who read from the store contend: the others would add calls.
    if (!m_stopping
        && (m_lease.holds(now) || (isDomainReader() && m_directory.storeUsable(steadyNow()))))
        m_lease.tick(now, actions);
    leaseActions(std::move(actions));
    if (!m_stopping && m_storeOffset && now - m_writtenAt >= WriteEvery)
        writeInstance(false, nullptr);
    const bool held = m_lease.holds(now);
    if (held != std::exchange(m_held, held))
        logDecision("lease", held ? "gained" : "lost",
                    {{"fencing", std::int64_t(m_lease.fencing())}});
    m_state.holdsLease = held;
    if (held && !m_stopping)
        place(steadyNow());
    logStoreCalls(now);
    fillGaps(steadyNow());
    writeCrashes(steadyNow());
    pollEngines(steadyNow());
    publishEngineStates();
    m_timer.expires_after(TickEvery);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

/// Calls to the store since the last such line, by use.
void Control::logStoreCalls(Time now)
{
    if (now - m_callsLoggedAt < LogCallsEvery)
        return;
    m_callsLoggedAt = now;
    std::array<std::int64_t, StoreUseNames.size()> calls {};
    for (std::size_t use = 0; use < calls.size(); ++use) {
        const std::uint64_t all = m_state.storeCalls[use];
        calls[use] = static_cast<std::int64_t>(all - std::exchange(m_callsLogged[use], all));
    }
    if (std::all_of(calls.begin(), calls.end(), [](std::int64_t each) { return each == 0; }))
        return;
    logDecision("store", "calls",
                {{StoreUseNames[0], calls[0]},
                 {StoreUseNames[1], calls[1]},
                 {StoreUseNames[2], calls[2]},
                 {StoreUseNames[3], calls[3]}});
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
