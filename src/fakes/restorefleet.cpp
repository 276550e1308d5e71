#include "restorefleet.h"

#include <balsamloft/tableupdate.h>

#include <algorithm>

namespace balsamloft::fakes {

namespace {

constexpr Duration Step {10'000};
constexpr Duration NetworkTime {10'000}; ///< until an answer arrives
constexpr Duration CallTimeout {1'200'000};
constexpr Duration TickInterval {150'000}; ///< of the instances
constexpr Duration ReaderInterval {1'000'000}; ///< of queries to the readers of other domains
constexpr std::size_t Domains = 3;
constexpr std::size_t Configuration = 0;
constexpr std::size_t Endpoints = 1;
const std::string ConfigurationKey = "current";

std::string endpointName(std::size_t index)
{
    return "e" + std::to_string(index);
}

FleetEndpoint endpointOf(const StoreRow &row)
{
    FleetEndpoint endpoint;
    endpoint.id = endpoint.name = row.key;
    endpoint.draining = row.value == "leaving";
    return endpoint;
}

RestorePolicy policyOf(std::size_t table)
{
    if (table == Configuration)
        return {[](const StoreRow &known, const StoreRow &listed) {
                    return std::stoull(known.value) > std::stoull(listed.value);
                },
                {},
                true};
    return {[](const StoreRow &known, const StoreRow &listed) {
                return known.value == "leaving" && listed.value != "leaving";
            },
            {},
            false};
}

} // namespace

/// A query that waits for its answer.
struct RestoreFleet::Query
{
    std::size_t instance = 0;
    std::size_t run = 0; ///< of the instance; queries of a stopped one get no answer
    std::size_t table = 0;
    std::optional<std::size_t> peer; ///< not set: the store
    StoreVersion after; ///< not known(): a snapshot
    StoreVersion newestBefore; ///< of the store, as known when the query was sent
    Time until {}; ///< an answer without changes is sent then
    Time timeoutAt {};
    TableSource::Callback callback;
    std::shared_ptr<bool> cancelled;
};

class RestoreFleet::Source : public TableSource
{
public:
    Source(RestoreFleet &fleet, std::size_t instance, std::size_t table,
           std::optional<std::size_t> peer)
        : m_fleet(fleet)
        , m_instance(instance)
        , m_table(table)
        , m_peer(peer)
        , m_name(peer ? fleet.m_list[*peer].name : std::string())
    {
    }

    const std::string &peer() const override { return m_name; }
    void read(const std::string & /*from*/, Duration wait, Callback callback) override
    {
        send({}, m_peer ? wait : Duration {}, std::move(callback));
    }
    void watch(StoreVersion after, Duration wait, Callback callback) override
    {
        send(after, wait, std::move(callback));
    }
    void cancel() override
    {
        if (m_cancelled)
            *m_cancelled = true;
    }

private:
    void send(StoreVersion after, Duration wait, Callback callback);

    RestoreFleet &m_fleet;
    std::size_t m_instance;
    std::size_t m_table;
    std::optional<std::size_t> m_peer;
    std::string m_name;
    std::shared_ptr<bool> m_cancelled;
};

struct RestoreFleet::Instance
{
    std::size_t index = 0;
    std::size_t run = 0; ///< number of starts
    bool running = false;
    bool cut = false; ///< from the store
    std::unique_ptr<PeerDirectory> directory;
    StoreEras eras;
    std::optional<std::uint64_t> seenEra;
    ConfigurationFetch fetch;
    std::array<TableCopy, 2> copies;
    std::array<Time, 2> knownAt {};
    std::array<bool, 2> fromStore {};
    FleetTracker fleet;
    FleetPtr endpoints;
    std::uint64_t inForce = 0;
    Time startedAt {};
    std::array<std::map<std::string, std::unique_ptr<Source>>, 2> sources; ///< by peer's name
    std::map<std::size_t, std::unique_ptr<Source>> fetchSources;
    std::array<std::unique_ptr<TableFollower>, 2> followers;
};

void RestoreFleet::Source::send(StoreVersion after, Duration wait, Callback callback)
{
    const Instance &instance = *m_fleet.m_instances[m_instance];
    m_cancelled = std::make_shared<bool>(false);
    if (!m_peer)
        m_fleet.m_storeCalls += 1;
    m_fleet.m_queries.push_back({m_instance, instance.run, m_table, m_peer, after,
                                 instance.eras.newest(), m_fleet.m_now + wait,
                                 m_fleet.m_now + wait + CallTimeout, std::move(callback),
                                 m_cancelled});
}

RestoreFleet::RestoreFleet(std::size_t instances, std::size_t endpoints)
{
    for (std::size_t i = 0; i < endpoints; ++i)
        writeEndpoint(i);
    for (std::size_t i = 0; i < instances; ++i) {
        m_list.push_back(
            {"n" + std::to_string(1000 + i), "d" + std::to_string(i % Domains), "10.0.0.1:1"});
        m_instances.push_back(std::make_unique<Instance>());
        m_instances.back()->index = i;
    }
    for (std::size_t i = 0; i < instances; ++i)
        start(i);
}

RestoreFleet::~RestoreFleet() = default;

std::size_t RestoreFleet::size() const
{
    return m_instances.size();
}

void RestoreFleet::write(std::size_t table, StoreRow row)
{
    row.version = ++m_store.number;
    m_store.tables[table].newest = row.version;
    m_store.tables[table].rows[row.key] = std::move(row);
}

void RestoreFleet::writeConfiguration(std::uint64_t version)
{
    write(Configuration, {ConfigurationKey, std::to_string(version), 0, false});
}

void RestoreFleet::writeEndpoint(std::size_t endpoint, bool leaving)
{
    write(Endpoints, {endpointName(endpoint), leaving ? "leaving" : "ready", 0, false});
}

void RestoreFleet::dropEndpoint(std::size_t endpoint)
{
    write(Endpoints, {endpointName(endpoint), {}, 0, true});
}

void RestoreFleet::copyStore()
{
    m_copy = m_store;
}

void RestoreFleet::restore(Duration away, bool breaksCalls)
{
    m_store = m_copy;
    m_era += 1;
    m_awayUntil = m_now + away;
    if (!breaksCalls)
        return;
    for (Query &each : m_queries)
        if (!each.peer)
            each.timeoutAt = m_now;
}

void RestoreFleet::cutFromStore(std::size_t instance, bool cut)
{
    m_instances[instance]->cut = cut;
}

void RestoreFleet::stop(std::size_t instance)
{
    m_instances[instance]->running = false;
    m_instances[instance]->run += 1;
}

void RestoreFleet::start(std::size_t index)
{
    const std::size_t run = m_instances[index]->run + 1;
    const bool cut = m_instances[index]->cut;
    m_instances[index] = std::make_unique<Instance>();
    Instance &instance = *m_instances[index];
    instance.index = index;
    instance.run = run;
    instance.running = true;
    instance.cut = cut;
    instance.startedAt = m_now;
    instance.endpoints = std::make_shared<FleetSnapshot>();
    instance.directory = std::make_unique<PeerDirectory>(m_list[index].name, m_list[index].domain);
    instance.directory->setInstances(m_list);
    startFollowers(instance);
}

void RestoreFleet::startFollowers(Instance &instance)
{
    for (std::size_t table = 0; table < instance.followers.size(); ++table) {
        instance.copies[table] = TableCopy(policyOf(table));
        FollowerSettings settings;
        if (table == Endpoints) {
            settings.minInterval = Duration(250'000);
            settings.peerMinInterval = Duration(100'000);
        }
        const auto timer = [this, index = instance.index,
                            run = instance.run](Duration pause, std::function<void()> callback) {
            m_timers.emplace(m_now + pause, [this, index, run, callback = std::move(callback)] {
                if (m_instances[index]->run == run)
                    callback();
            });
        };
        instance.followers[table] =
            std::make_unique<TableFollower>(timer, settings, tableEvents(instance, table));
        instance.followers[table]->start();
    }
}

void RestoreFleet::takeConfiguration(Instance &instance, const std::string &text)
{
    instance.inForce = std::max<std::uint64_t>(instance.inForce, std::stoull(text));
}

TableEvents RestoreFleet::tableEvents(Instance &instance, std::size_t table)
{
    const auto apply = [this, &instance, table](const std::vector<StoreRow> &rows, bool isSnapshot,
                                                bool restored) {
        if (table == Configuration) {
            for (const StoreRow &row : rows)
                if (!row.dropped)
                    takeConfiguration(instance, row.value);
            return;
        }
        std::vector<FleetEndpoint> endpoints;
        for (const StoreRow &row : rows) {
            if (isSnapshot)
                endpoints.push_back(endpointOf(row));
            else if (row.dropped)
                instance.fleet.dropped(row.key, m_now);
            else
                instance.fleet.changed(endpointOf(row), m_now);
        }
        if (isSnapshot && restored)
            instance.fleet.listedAfterRestore(std::move(endpoints), m_now);
        else if (isSnapshot)
            instance.fleet.listed(std::move(endpoints), m_now);
    };
    TableEvents events;
    events.snapshot = [this, &instance, table, apply](const auto &rows, StoreVersion version,
                                                      const TableAnswer &) {
        TableCopy &copy = instance.copies[table];
        const bool restored = copy.known() && version.era > copy.version().era;
        copy.replaceAll(rows, version);
        apply(copy.rows(), true, restored);
    };
    events.changed = [&instance, table, apply](const auto &rows, StoreVersion version,
                                               const TableAnswer &) {
        apply(instance.copies[table].applyChanges(rows, version), false, false);
    };
    events.answered = [this, &instance, table](const TableSource &source,
                                               const TableAnswer &answer) {
        tableAnswered(instance, table, source, answer);
    };
    events.chooseSource = [this, &instance, table] { return chooseSource(instance, table); };
    events.failed = [this, &instance](const TableSource &source, bool answered) {
        if (source.isStore()) {
            instance.directory->storeFailed(m_now);
            instance.fromStore = {};
        } else if (answered) {
            instance.directory->recordEmptyAnswer(source.peer(), m_now);
        } else {
            instance.directory->markUnresponsive(source.peer(), m_now);
        }
    };
    return events;
}

SourceChoice RestoreFleet::chooseSource(Instance &instance, std::size_t table)
{
    const Time lastUpdate = std::max(instance.knownAt[table], instance.startedAt);
    const ReadSource from = instance.directory->source(
        m_now, {m_now - lastUpdate, instance.copies[table].known(), instance.fromStore[table]});
    if (from.kind == ReadSource::Kind::None)
        return nullptr;
    const bool store = from.kind == ReadSource::Kind::Store;
    std::optional<std::size_t> peer;
    if (!store)
        peer = static_cast<std::size_t>(std::find(m_list.begin(), m_list.end(), *from.instance)
                                        - m_list.begin());
    auto &source = instance.sources[table][store ? std::string() : from.instance->name];
    if (!source)
        source = std::make_unique<Source>(*this, instance.index, table, peer);
    return {source.get(), from.immediate};
}

void RestoreFleet::noticeEra(Instance &instance)
{
    const std::uint64_t era = instance.eras.era();
    if (era == 0 || instance.seenEra == era)
        return;
    if (instance.seenEra) {
        instance.fetch.storeRestored(m_now);
        for (const auto &each : instance.followers)
            each->eraBegan();
    }
    instance.seenEra = era;
}

/// The instance has heard that \a peer has \a version in force.
void RestoreFleet::heard(Instance &instance, std::uint64_t version, std::size_t peer)
{
    if (instance.inForce == 0 || !instance.fetch.heard(version, instance.inForce, m_now))
        return;
    auto &source = instance.fetchSources[peer];
    if (!source)
        source = std::make_unique<Source>(*this, instance.index, Configuration, peer);
    source->read({}, {}, [this, &instance](const TableAnswer &answer) {
        instance.fetch.finished();
        if (answer.reply.kind != StoreReply::Kind::Done)
            return;
        for (const StoreRow &row : answer.reply.rows)
            if (std::stoull(row.value) > instance.inForce) {
                takeConfiguration(instance, row.value);
                instance.copies[Configuration].adopt(row.key, row.value);
            }
    });
}

void RestoreFleet::tableAnswered(Instance &instance, std::size_t table, const TableSource &source,
                                 const TableAnswer &answer)
{
    instance.knownAt[table] = std::max(instance.knownAt[table], *answer.knownAt);
    instance.fromStore[table] = source.isStore();
    if (source.isStore())
        instance.directory->storeAnswered();
    else
        instance.directory->recordAnswer(source.peer(), m_now - *answer.knownAt, answer.fromStore,
                                         m_now);
    if (table == Endpoints)
        instance.fleet.listConfirmed(*answer.knownAt);
}

bool RestoreFleet::answerFromStore(const Query &query, TableAnswer &answer)
{
    if (m_instances[query.instance]->cut)
        return m_now >= query.timeoutAt;
    if (m_now < m_awayUntil) {
        answer.answered = true;
        return true;
    }
    if (m_now >= query.timeoutAt)
        return true;
    const Table &table = m_store.tables[query.table];
    const std::uint64_t after = query.after.known() ? query.after.number : 0;
    const bool gone = after > m_store.number;
    if (query.after.known() && !gone && table.newest <= after && m_now < query.until)
        return false;
    answer.answered = true;
    StoreEras &eras = m_instances[query.instance]->eras;
    if (!eras.recordAnswer(query.newestBefore, m_era, m_store.number))
        return true;
    answer.reply.era = m_era;
    answer.reply.kind = gone ? StoreReply::Kind::HistoryExpired : StoreReply::Kind::Done;
    if (gone)
        return true;
    answer.reply.version = m_store.number;
    answer.knownAt = m_now;
    answer.fromStore = true;
    for (const auto &[key, row] : table.rows)
        if (row.version > after && (query.after.known() || !row.dropped))
            answer.reply.rows.push_back(row);
    return true;
}

bool RestoreFleet::answerFromPeer(const Query &query, TableAnswer &answer)
{
    const Instance &peer = *m_instances[*query.peer];
    const TableCopy &copy = peer.copies[query.table];
    if (!peer.running || m_now >= query.timeoutAt)
        return m_now >= query.timeoutAt;
    const bool news = copy.known()
                      && (copy.version() > query.after || !query.after.known()
                          || peer.knownAt[query.table] + Step > m_now);
    if (!news && m_now < query.until)
        return false;
    answer.answered = true;
    if (!copy.known() || copy.version().era < query.after.era)
        return true;
    auto rows = query.after.known() ? copy.changesSince(query.after) : std::nullopt;
    answer.isSnapshot = !rows;
    answer.reply.kind = StoreReply::Kind::Done;
    answer.reply.rows = rows ? std::move(*rows) : copy.snapshot();
    answer.reply.era = copy.version().era;
    answer.reply.version = copy.version().number;
    answer.knownAt = peer.knownAt[query.table];
    answer.fromStore = peer.fromStore[query.table];
    answer.sender =
        InstanceState {{}, peer.eras.era(), peer.inForce, std::nullopt, std::nullopt, {}};
    if (!answer.reply.rows.empty())
        m_peerBytes += encodedSize(answer.reply.rows);
    return true;
}

/// The first reader of each domain queries those of the other domains.
void RestoreFleet::queryOtherDomains()
{
    if (m_now < m_readersAskAt)
        return;
    m_readersAskAt = m_now + ReaderInterval;
    for (const auto &each : m_instances) {
        if (!each->running || !each->directory->isFirstReader(m_now))
            continue;
        for (const PeerInstance &reader : each->directory->remoteReaders(m_now)) {
            const auto index = static_cast<std::size_t>(
                std::find(m_list.begin(), m_list.end(), reader) - m_list.begin());
            Instance &peer = *m_instances[index];
            if (!peer.running)
                continue;
            each->eras.recordPeer({peer.eras.era(), 0});
            noticeEra(*each);
            heard(*each, peer.inForce, index);
        }
    }
}

void RestoreFleet::run(Duration length)
{
    const Time end = m_now + length;
    for (; m_now < end; m_now += Step) {
        queryOtherDomains();
        while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
            auto callback = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            callback();
        }
        std::vector<Query> queries = std::exchange(m_queries, {});
        for (Query &query : queries) {
            Instance &instance = *m_instances[query.instance];
            if (*query.cancelled || instance.run != query.run)
                continue;
            // The queried instance learns from the query.
            if (query.peer && m_instances[*query.peer]->running) {
                Instance &peer = *m_instances[*query.peer];
                peer.eras.recordPeer({instance.eras.era(), 0});
                noticeEra(peer);
                heard(peer, instance.inForce, query.instance);
            }
            TableAnswer answer;
            if (query.peer ? !answerFromPeer(query, answer) : !answerFromStore(query, answer)) {
                m_queries.push_back(std::move(query));
                continue;
            }
            m_timers.emplace(m_now + NetworkTime,
                             [this, query = std::move(query), answer = std::move(answer)] {
                                 Instance &instance = *m_instances[query.instance];
                                 if (*query.cancelled || instance.run != query.run)
                                     return;
                                 if (answer.sender) {
                                     instance.eras.recordPeer(answer.version());
                                     instance.eras.recordPeer({answer.sender->era, 0});
                                 }
                                 query.callback(answer);
                                 noticeEra(instance);
                                 if (answer.sender)
                                     heard(instance, answer.sender->configuration, *query.peer);
                             });
        }
        const bool ticks = m_now >= m_tickAt;
        if (ticks)
            m_tickAt = m_now + TickInterval;
        for (const auto &each : m_instances) {
            if (!each->running)
                continue;
            if (ticks)
                each->fleet.tick(m_now);
            if (each->fleet.dirty())
                each->endpoints = each->fleet.snapshot();
        }
    }
}

std::uint64_t RestoreFleet::inForce(std::size_t instance) const
{
    return m_instances[instance]->inForce;
}

std::uint64_t RestoreFleet::lowestInForce() const
{
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    for (const auto &each : m_instances)
        if (each->running)
            lowest = std::min(lowest, each->inForce);
    return lowest;
}

bool RestoreFleet::uses(std::size_t instance, std::size_t endpoint) const
{
    const FleetEndpoint *found = m_instances[instance]->endpoints->find(endpointName(endpoint));
    return m_instances[instance]->running && found && !found->draining;
}

std::size_t RestoreFleet::users(std::size_t endpoint) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < size(); ++i)
        count += uses(i, endpoint) ? 1 : 0;
    return count;
}

} // namespace balsamloft::fakes
