// The part of Control that replicates the tables and publishes configuration and endpoints.

#include "control.h"

#include "clock.h"
#include "decisionlog.h"
#include "fieldtext.h"

#include <balsamloft/coverage.h>

namespace balsamloft {

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(150);
/// Interval at which an instance refreshes its row. It is long because each refresh is a call to
/// the store, in a fleet of 340 instances and more. Rows need not be recent: a planned stop deletes
/// the row, and a crashed instance is detected when it does not answer queries.
constexpr Duration InstanceRowInterval {25'000'000};
/// Interval at which the numbers of calls to the store are logged.
constexpr Duration StoreCallsLogInterval {10'000'000};

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

/// Whether the long polls of \a table are long. The age of an answer then does not show whether its
/// source is stale.
bool usesLongWaits(SharedTable table)
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

/// Returns an id that no earlier process with the same instance name has used.
std::string processName(const EntrySettings &settings)
{
    return settings.name + "/" + std::to_string(bootNow().time_since_epoch().count());
}

TrialSettings trialSettings(const EntrySettings &settings)
{
    TrialSettings trials;
    trials.holder = processName(settings);
    // A crashed endpoint stays listed for three heartbeats, and its removal takes a little longer
    // to reach all instances.
    trials.margin = settings.heartbeatInterval * 3 + Duration(1'400'000);
    return trials;
}

CrashGossipSettings gossipSettings(const EntrySettings &settings)
{
    CrashGossipSettings gossip;
    gossip.self = settings.name;
    gossip.seed = std::hash<std::string> {}(settings.name);
    return gossip;
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
    , m_server(
          context, [this](std::span<const CrashNotice> notices) { crashNoticesReceived(notices); },
          [this](const InstanceState &state) { stateReceived(state); },
          [this](const InstanceState &sender) { return stateForAnswer(sender); },
          std::make_shared<ResourceGroup>(&state.resources))
    , m_directory(settings.name, settings.domain)
    , m_channel(context, settings.storeAddress, protocol, state, m_eras)
    , m_peers(context)
    , m_crashGossip(gossipSettings(settings))
    , m_crashChannel(context, settings.storeAddress, protocol, state, m_eras)
    , m_links(settings.name, settings.domain, linkSettings(settings, EntryThread::Control))
    , m_engines(context)
    , m_fleet(fleetSettings(settings))
    , m_fleetSnapshot(std::make_shared<FleetSnapshot>())
    , m_lease(leaseSettings(settings))
    , m_planner(plannerSettings(settings))
    , m_loadRoute(settings.name, settings.domain)
    , m_trialPermits(trialSettings(settings))
    , m_random(std::hash<std::string> {}(settings.name))
{
    m_engines.useLinks(m_links);
    m_engines.useResources(std::make_shared<ResourceGroup>(&state.resources));
    if (settings.admission)
        m_loads.emplace(settings.domain);
    for (std::size_t i = 0; i < SharedTableCount; ++i) {
        const auto table = static_cast<SharedTable>(i);
        m_storeSources[i] =
            std::make_unique<StoreSource>(context, settings.storeAddress, protocol, state, m_eras,
                                          std::string(tableName(protocol, table)));
        m_server.state(table).copy = TableCopy(restorePolicy(table));
        m_followers[i] = std::make_unique<TableFollower>(timerOf(context), followerSettings(table),
                                                         tableEvents(table));
    }
}

bool Control::listen(Reason &reason)
{
    return m_server.listen(m_settings.peerAddress, reason);
}

void Control::start()
{
    // The list of instances is read first, so that the other tables can be read from another
    // instance. Otherwise hundreds of instances that start together would all read every table
    // from the store.
    m_followers[static_cast<std::size_t>(SharedTable::Instances)]->start();
    tick();
}

void Control::followRemainingTables()
{
    if (std::exchange(m_followingAll, true))
        return;
    m_followingSince = bootNow();
    for (const SharedTable table :
         {SharedTable::Configuration, SharedTable::Endpoints, SharedTable::Crashes})
        m_followers[static_cast<std::size_t>(table)]->start();
}

TableEvents Control::tableEvents(SharedTable table)
{
    const auto apply = [this, table](const std::vector<StoreRow> &changed, ListUpdate update,
                                     const TableAnswer &answer) {
        if (table == SharedTable::Configuration)
            applyConfigurationRows(changed);
        else if (table == SharedTable::Endpoints)
            applyEndpointRows(changed, update, steadyNow() - answer.age(bootNow()));
        else if (table == SharedTable::Crashes && !changed.empty())
            applyCrashRows();
    };
    TableEvents events;
    events.snapshot = [this, table, apply](const auto &all, StoreVersion version,
                                           const TableAnswer &answer) {
        noticeEra();
        updateClock(answer);
        TableCopy &copy = m_server.state(table).copy;
        const bool restored = copy.known() && version.era > copy.version().era;
        copy.replaceAll(all, version);
        if (restored)
            logDecision("store", "restored",
                        {{"table", tableName(m_protocol, table)},
                         {"era", std::int64_t(version.era)},
                         {"version", std::int64_t(version.number)},
                         {"rows", std::int64_t(all.size())},
                         {"rows_lost", std::int64_t(copy.lostRows().size())}});
        apply(copy.rows(), restored ? ListUpdate::Restored : ListUpdate::Snapshot, answer);
    };
    events.changed = [this, table, apply](const auto &changed, StoreVersion version,
                                          const TableAnswer &answer) {
        noticeEra();
        updateClock(answer);
        apply(m_server.state(table).copy.applyChanges(changed, version), ListUpdate::Changes,
              answer);
    };
    events.answered = [this, table](const TableSource &source, const TableAnswer &answer) {
        tableAnswered(table, source, answer);
    };
    events.chooseSource = [this, table] { return chooseSource(table); };
    // An instance that starts together with the others, without links to the endpoints, can serve
    // nobody until it knows some that forward its connections.
    if (table == SharedTable::Instances)
        events.needsChangesSoon = [this] {
            return m_directory.instanceCount() <= EndpointLinkSettings {}.maxPeersPerConnection;
        };
    events.failed = [this](const TableSource &failed, bool answered) {
        sourceFailed(failed, answered);
    };
    return events;
}

/// Whether this instance is the domain reader, which reads the store, polls the engines and fills
/// coverage gaps on behalf of its domain.
bool Control::isDomainReader() const
{
    return m_directory.isFirstReader(steadyNow());
}

SourceChoice Control::chooseSource(SharedTable table)
{
    const auto index = static_cast<std::size_t>(table);
    const TableState &state = m_server.state(table);
    ReplicaStatus replica;
    if (!usesLongWaits(table)) {
        replica.age = bootNow() - std::max(state.knownAt, m_followingSince);
        replica.fromStore = state.fromStore;
    }
    // A store that was restored a moment ago may list what others know to be outdated, so the first
    // snapshot comes from another instance, if one answers.
    replica.hasData = state.copy.known() || table == SharedTable::Instances;
    const ReadSource from = m_directory.source(steadyNow(), replica);
    if (from.kind == ReadSource::Kind::None)
        return nullptr;
    if (from.kind == ReadSource::Kind::Store)
        return {m_storeSources[index].get(), from.immediate};
    const PeerInstance &peer = *from.instance;
    auto &source = m_peerSources[index][peer.name + "@" + peer.address];
    if (!source)
        source = makePeerSource(peer, table, m_lastReportAt);
    return {source.get(), from.immediate};
}

std::unique_ptr<PeerSource> Control::makePeerSource(const PeerInstance &peer, SharedTable table,
                                                    std::shared_ptr<Time> lastReportAt)
{
    return std::make_unique<PeerSource>(m_context, peer, static_cast<std::size_t>(table),
                                        std::move(lastReportAt),
                                        [this, peer, table] { return stateForQuery(peer, table); });
}

void Control::sourceFailed(const TableSource &source, bool answered)
{
    const Time now = steadyNow();
    if (source.isStore()) {
        m_directory.storeFailed(now);
        m_server.markStoreUnavailable();
    } else if (answered) {
        m_directory.recordEmptyAnswer(source.peer(), now);
    } else {
        m_directory.markUnresponsive(source.peer(), now);
        m_loadRoute.sourceFailed(source.peer());
    }
}

void Control::tableAnswered(SharedTable table, const TableSource &source, const TableAnswer &answer)
{
    noticeEra();
    updateClock(answer);
    TableState &state = m_server.state(table);
    const Time now = steadyNow();
    const Duration age = answer.age(bootNow());
    if (answer.knownAt)
        state.knownAt = std::max(state.knownAt, *answer.knownAt);
    std::tie(state.storeMsEra, state.storeMs) =
        std::max(std::pair(state.storeMsEra, state.storeMs),
                 std::pair(answer.reply.era, answer.reply.storeMs));
    state.fromStore = source.isStore();
    if (const auto peer = m_directory.find(source.peer()))
        peerAnswered(answer, *peer);
    if (source.isStore())
        m_directory.storeAnswered();
    else if (!usesLongWaits(table))
        m_directory.recordAnswer(source.peer(), age, answer.fromStore, now);
    if (table == SharedTable::Configuration && m_table && !mayLackKeys(now))
        m_state.keysKnownAt = state.knownAt.time_since_epoch().count();
    if (table == SharedTable::Endpoints) {
        m_fleet.listConfirmed(now - age);
        publishFleet();
        reportsArrived(answer.engines);
    }
    if (table == SharedTable::Instances) {
        // Rows outlive their processes: without any, no instance has served by what a store that
        // was restored may have lost.
        if (!m_followingAll && source.isStore() && state.copy.rows().empty())
            m_eraAge.heard(RewriteTime, now);
        updateInstances();
        followRemainingTables();
    }
    m_server.tableChanged(table);
}

void Control::applyConfigurationRows(const std::vector<StoreRow> &rows)
{
    for (const StoreRow &row : rows) {
        const StoreVersion version {m_server.state(SharedTable::Configuration).copy.version().era,
                                    row.version};
        if (row.key != m_protocol.configurationKey() || row.dropped || version == m_tableRowVersion)
            continue;
        m_tableRowVersion = version;
        takeConfiguration(row.value, version);
    }
}

/// Puts the configuration \a text in force if it is valid and, by its operators' order, newer than
/// the present one. The store's order does not tell: after a restore it may have an older one
/// again.
bool Control::takeConfiguration(const std::string &text, StoreVersion version)
{
    Reason reason;
    std::vector<Reason> skippedEntries;
    RouteMapPtr table = m_protocol.parseRouteTable(text, skippedEntries, reason);
    for (const Reason &each : skippedEntries) {
        m_state.invalidRows += 1;
        logDecision("configuration", "entry left out", {{"reason", std::string_view(each)}});
    }
    if (!table) {
        // The last valid configuration stays in force.
        m_state.invalidRows += 1;
        logDecision("configuration", "not taken", {{"reason", std::string_view(reason)}});
        return false;
    }
    if (m_table && table->version() <= m_table->version())
        return false;
    m_table = std::move(table);
    logDecision("configuration", "in force",
                {{"version", std::int64_t(m_table->version())},
                 {"routes", std::int64_t(m_table->routes().size())},
                 {"era", std::int64_t(version.era)},
                 {"row_version", std::int64_t(version.number)}});
    m_events.table(m_table);
    return true;
}

/// Applies \a rows, which are valid as of \a knownAt. Stale rows from another instance must not
/// count as a current list of endpoints: an outage of the store would go unnoticed, and endpoints
/// whose rows expired during the outage would be removed although they are alive.
void Control::applyEndpointRows(const std::vector<StoreRow> &rows, ListUpdate update, Time knownAt)
{
    if (update == ListUpdate::Changes) {
        // Rows are applied in the store's order: one answer may hold both the write and the
        // deletion of a row. If deletions were applied first, the endpoint would stay listed and
        // receive requests forever.
        for (const StoreRow &row : rows)
            applyEndpointRow(row, knownAt);
        return;
    }
    std::vector<FleetEndpoint> endpoints;
    for (const StoreRow &row : rows)
        if (auto endpoint = parseEndpointRow(row))
            endpoints.push_back(std::move(*endpoint));
    if (update == ListUpdate::Restored)
        m_fleet.listedAfterRestore(std::move(endpoints), knownAt);
    else
        m_fleet.listed(std::move(endpoints), knownAt);
}

void Control::applyEndpointRow(const StoreRow &row, Time knownAt)
{
    if (auto endpoint = row.dropped ? std::nullopt : parseEndpointRow(row))
        m_fleet.changed(std::move(*endpoint), knownAt);
    else // An invalid row has overwritten the valid row of the endpoint.
        m_fleet.dropped(row.key, knownAt);
}

std::optional<FleetEndpoint> Control::parseEndpointRow(const StoreRow &row)
{
    Reason reason;
    auto endpoint = m_protocol.parseEndpoint(row.key, row.value, reason);
    if (!endpoint)
        logSkippedRow(row, reason);
    return endpoint;
}

/// Counts and logs an invalid row of the endpoints once per version of the row, because each
/// snapshot contains the row again.
void Control::logSkippedRow(const StoreRow &row, const Reason &reason)
{
    constexpr std::size_t MaxSkippedRows = 1000;
    constexpr std::size_t MaxShownLength = 80;
    if (m_skippedRows.size() >= MaxSkippedRows)
        m_skippedRows.clear();
    const auto [skipped, inserted] = m_skippedRows.try_emplace(row.key, row.version);
    if (!inserted && std::exchange(skipped->second, row.version) == row.version)
        return;
    m_state.invalidRows += 1;
    logDecision("endpoints", "entry left out",
                {{"endpoint", std::string_view(row.key).substr(0, MaxShownLength)},
                 {"reason", std::string_view(reason)}});
}

void Control::endpointDraining(const std::string &id)
{
    m_fleet.announcedExit(id, steadyNow());
    publishFleet();
}

void Control::publishFleet()
{
    m_state.fleetKnown = m_fleet.loaded();
    if (!m_fleet.dirty())
        return;
    const FleetPtr before = std::exchange(m_fleetSnapshot, m_fleet.snapshot());
    m_server.pruneEngines(*m_fleetSnapshot);
    m_links.removeUnlisted(*m_fleetSnapshot);
    logDepartures(*before, *m_fleetSnapshot);
    logDecision("endpoints", "changed",
                {{"number", std::int64_t(m_fleetSnapshot->number)},
                 {"endpoints", std::int64_t(m_fleetSnapshot->endpoints.size())}});
    logCoverage();
    m_events.fleet(m_fleetSnapshot);
}

/// Logs the coverage gaps of this instance's domain and of all domains when they change. The
/// gaps explain why requests fail that need the missing layers.
void Control::logCoverage()
{
    if (!m_table)
        return;
    for (const RoutedService &service : m_table->services()) {
        if (!service.model)
            continue;
        const Coverage own(*m_fleetSnapshot, service, m_settings.domain);
        const Coverage all(*m_fleetSnapshot, service, {});
        const std::pair gaps(own.gaps(), all.gaps());
        if (std::exchange(m_loggedGaps[service.name], gaps) == gaps)
            continue;
        logDecision("placement", "coverage",
                    {{"gaps", std::string_view(gaps.first)},
                     {"gaps_everywhere", std::string_view(gaps.second)},
                     {"held_once", std::int64_t(own.layersHeldOnce())}});
    }
}

/// Logs the endpoints that get no new requests from now on, and the age of the list of endpoints.
void Control::logDepartures(const FleetSnapshot &before, const FleetSnapshot &after)
{
    const Time knownAt = m_server.state(SharedTable::Endpoints).knownAt;
    const std::int64_t ageMs = knownAt == Time {} ? 0 : (bootNow() - knownAt).count() / 1000;
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
        const FleetEndpoint *previous = before.find(each.id);
        if (!previous || !previous->draining)
            log("leaving", each);
    }
}

void Control::tick()
{
    const Time now = bootNow();
    noticeEra();
    m_fleet.tick(steadyNow());
    publishFleet();
    LeaseActions actions;
    // The holder renews the lease. Other instances compete for it only if they are domain readers,
    // to limit the calls to the store, and once they have heard whether the store was restored.
    const bool competes =
        m_table && m_fleet.loaded() && isDomainReader() && m_directory.storeUsable(steadyNow());
    if (!m_stopping && (m_lease.holds(now) || competes))
        m_lease.tick(now, actions);
    leaseActions(std::move(actions));
    if (!m_stopping && m_storeOffset && now - m_instanceRowWrittenAt >= InstanceRowInterval)
        writeInstanceRow(false, nullptr);
    const bool held = m_lease.holds(now);
    if (held != std::exchange(m_heldLease, held))
        logDecision("lease", held ? "gained" : "lost",
                    {{"fencing", std::int64_t(m_lease.fencing())}});
    m_state.holdsLease = held;
    if (held && !m_stopping)
        placeLayers(steadyNow());
    logStoreCalls(now);
    fillGaps(steadyNow());
    writeLostRows(steadyNow());
    writeCrashes(steadyNow());
    sendCrashNotices();
    pollEngines(steadyNow());
    publishEngineStates();
    tickLoads();
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        const Time due = std::chrono::time_point_cast<Duration>(m_timer.expiry());
        logLoopDelay("control", m_loopDelay.recordTimer(due, steadyNow()), m_loopDelay);
        m_state.controlDelayMs = milliseconds(m_loopDelay.last());
        tick();
    });
}

/// Logs the number of calls to the store since the last such line, by purpose.
void Control::logStoreCalls(Time now)
{
    if (now - m_storeCallsLoggedAt < StoreCallsLogInterval)
        return;
    m_storeCallsLoggedAt = now;
    std::array<std::int64_t, StoreUseNames.size()> calls {};
    for (std::size_t use = 0; use < calls.size(); ++use) {
        const std::uint64_t all = m_state.storeCalls[use];
        calls[use] = static_cast<std::int64_t>(all - std::exchange(m_loggedStoreCalls[use], all));
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
    writeInstanceRow(true, std::move(done));
}

} // namespace balsamloft
