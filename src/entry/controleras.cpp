// The part of Control that reconciles this instance with a store that came back from a copy.

#include "clock.h"
#include "control.h"
#include "decisionlog.h"
#include "rowfields.h"

namespace balsamloft {

namespace {

/// How long ago an era may have begun for instances to tell each other.
constexpr Duration RecentEra {60'000'000};

/// Delays before rows that the store lost are written again. Domain readers come first, so that the
/// instances of a large fleet do not all write at the same time.
constexpr Duration MinReaderDelay {200'000};
constexpr Duration MaxReaderDelay {600'000};
constexpr Duration MinDelay {2'000'000};
constexpr Duration MaxDelay {6'000'000};
constexpr Duration RetryInterval {300'000};

} // namespace

/// Reacts to an era that an answer of the store, or another instance, has shown.
void Control::noticeEra()
{
    const StoreVersion newest = m_eras.newest();
    if (!newest.known() && newest.era == 0)
        return;
    if (!m_seenEra) {
        eraLearnt(steadyNow());
        m_configurationFetch.storeRestored(steadyNow());
    } else if (newest.era > *m_seenEra) {
        eraBegan();
    }
}

/// Records the present era, of which this process has not known before.
void Control::eraLearnt(Time now)
{
    m_seenEra = m_eras.era();
    m_state.storeEra = m_eras.era();
    m_lease.setEra(m_eras.era(), bootNow());
    m_eraAge.learnt(now);
}

void Control::eraBegan()
{
    const Time now = steadyNow();
    logDecision("store", "era learnt",
                {{"era", std::int64_t(m_eras.era())}, {"former_era", std::int64_t(*m_seenEra)}});
    eraLearnt(now);
    m_state.storeEraChanges += 1;
    storeRestored({});
    m_skippedRows.clear();
    for (auto &[key, value] : std::exchange(m_unreadCrashWrites, {}))
        m_pendingCrashWrites.try_emplace(key, std::move(value));
    const bool reader = isDomainReader();
    std::uniform_int_distribution<std::int64_t> delay((reader ? MinReaderDelay : MinDelay).count(),
                                                      (reader ? MaxReaderDelay : MaxDelay).count());
    m_lostRowsDueAt = now + Duration(delay(m_random));
    for (const auto &each : m_followers)
        each->eraBegan();
}

/// The present era began \a age ago.
void Control::storeRestored(Duration age)
{
    m_eraBeganAt = steadyNow() - age;
    m_lease.storeRestored(bootNow() - age);
    m_trialPermits.storeRestored(*m_eraBeganAt);
    m_configurationFetch.storeRestored(*m_eraBeganAt);
}

InstanceState Control::ownState() const
{
    InstanceState state;
    state.name = m_settings.name;
    state.era = m_eras.era();
    state.configuration = m_table ? m_table->version() : 0;
    if (m_eraBeganAt && steadyNow() - *m_eraBeganAt < RecentEra)
        state.eraAge = steadyNow() - *m_eraBeganAt;
    state.eraKnownFor = m_eraAge.knownFor(steadyNow());
    return state;
}

void Control::eraAgeHeard(const InstanceState &state)
{
    if (state.era == m_eras.era() && state.eraKnownFor)
        m_eraAge.heard(*state.eraKnownFor, steadyNow());
}

/// Whether the store may lack a configuration that withdrew an API key, because it was restored a
/// moment ago. A store that states no era loses nothing.
bool Control::mayLackKeys(Time now) const
{
    return m_eras.era() > 0 && m_eraAge.mayLackWrites(now);
}

void Control::stateReceived(const InstanceState &state)
{
    m_eras.recordPeer({state.era, 0});
    noticeEra();
    eraAgeHeard(state);
    if (const auto peer = m_directory.find(state.name))
        configurationHeard(state.configuration, *peer);
    subtreeReceived(state);
}

void Control::peerAnswered(const TableAnswer &answer, const PeerInstance &peer)
{
    if (!answer.sender)
        return;
    const InstanceState &state = *answer.sender;
    m_eras.recordPeer(answer.version());
    m_eras.recordPeer({state.era, 0});
    noticeEra();
    // A peer that does not know the era yet shows that it began a moment ago.
    const auto age = state.era < m_seenEra ? std::optional(Duration {}) : state.eraAge;
    if (age && !m_eraBeganAt)
        storeRestored(*age);
    eraAgeHeard(state);
    configurationHeard(state.configuration, peer);
    totalReceived(state);
}

/// The instance \a peer has \a version of the configuration in force.
void Control::configurationHeard(std::uint64_t version, const PeerInstance &peer)
{
    if (m_table && m_configurationFetch.heard(version, m_table->version(), steadyNow()))
        fetchConfiguration(peer);
}

void Control::fetchConfiguration(const PeerInstance &peer)
{
    auto &source = m_configurationSources[peer.name + "@" + peer.address];
    if (!source)
        source = makePeerSource(peer, SharedTable::Configuration, m_lastReportAt);
    source->read({}, {}, [this, name = peer.name](const TableAnswer &answer) {
        m_configurationFetch.finished();
        if (answer.reply.kind != StoreReply::Kind::Done)
            return;
        for (const StoreRow &row : answer.reply.rows) {
            if (row.key != m_protocol.configurationKey()
                || !takeConfiguration(row.value, answer.version()))
                continue;
            m_server.state(SharedTable::Configuration).copy.adopt(row.key, row.value);
            m_server.rowsAdopted(SharedTable::Configuration);
            logDecision(
                "configuration", "taken over",
                {{"from", std::string_view(name)}, {"version", std::int64_t(m_table->version())}});
        }
    });
}

RestorePolicy Control::restorePolicy(SharedTable table) const
{
    RestorePolicy policy;
    policy.keepsMissing = table != SharedTable::Endpoints;
    if (table == SharedTable::Configuration)
        policy.isLater = [this](const StoreRow &known, const StoreRow &listed) {
            const auto version = [this](const StoreRow &row) {
                Reason reason;
                std::vector<Reason> skippedEntries;
                const auto map = m_protocol.parseRouteTable(row.value, skippedEntries, reason);
                return map ? map->version() : 0;
            };
            return version(known) > version(listed);
        };
    if (table == SharedTable::Endpoints) {
        const auto parse = [this](const StoreRow &row) {
            Reason reason;
            return m_protocol.parseEndpoint(row.key, row.value, reason);
        };
        policy.isLater = [parse](const StoreRow &known, const StoreRow &listed) {
            const auto before = parse(known);
            const auto after = parse(listed);
            return before && after
                   && std::pair(before->startedAt, before->draining)
                          > std::pair(after->startedAt, after->draining);
        };
        policy.isRewritten = [parse](const StoreRow &listed, const StoreRow &deleted) {
            const auto before = parse(deleted);
            const auto after = parse(listed);
            return before && after && after->startedAt > before->startedAt;
        };
    }
    if (table == SharedTable::Instances)
        policy.isRewritten = [](const StoreRow &listed, const StoreRow &deleted) {
            const auto seen = [](const StoreRow &row) {
                const auto object = parseRow(row);
                return object ? numberField(*object, "seen_ms").value_or(0) : 0;
            };
            return seen(listed) > seen(deleted);
        };
    if (table == SharedTable::Crashes)
        policy.isLater = [](const StoreRow &known, const StoreRow &listed) {
            const auto before = parseTrial(known, 0);
            const auto after = parseTrial(listed, 0);
            return isTrialKey(known.key) && before && after
                   && std::pair(before->trials, before->until)
                          > std::pair(after->trials, after->until);
        };
    return policy;
}

/// Writes the rows of this fleet that the store lost, some time after an era began.
void Control::writeLostRows(Time now)
{
    if (now < m_lostRowsDueAt || m_stopping)
        return;
    const TableCopy &crashes = m_server.state(SharedTable::Crashes).copy;
    const TableCopy &instances = m_server.state(SharedTable::Instances).copy;
    m_lostRowsDueAt = now + RetryInterval;
    if (!m_directory.storeUsable(now) || crashes.version().era != m_eras.era()
        || instances.version().era != m_eras.era())
        return;
    std::size_t count = 0;
    for (StoreRow &row : crashes.lostRows()) {
        count += 1;
        if (isTrialKey(row.key))
            writeLostTrial(row);
        else
            m_pendingCrashWrites.try_emplace(
                row.key, row.dropped ? std::nullopt : std::optional(std::move(row.value)));
    }
    if (instances.isLost(m_settings.name) || !instances.contains(m_settings.name)) {
        count += 1;
        writeInstanceRow(false, nullptr);
    }
    m_state.rowsWrittenAgain += count;
    if (count > 0)
        logDecision("store", "rows written again", {{"rows", std::int64_t(count)}});
    m_lostRowsDueAt = count > 0 ? now + MaxDelay : Time::max();
}

void Control::writeLostTrial(const StoreRow &row)
{
    Transaction transaction;
    transaction.checks.push_back({std::string(CrashTable), row.key, row.version});
    transaction.writes.push_back(
        {std::string(CrashTable), row.key, row.dropped ? std::nullopt : std::optional(row.value)});
    m_crashChannel.call(StoreUse::OwnRow, m_protocol.commitCall(transaction), StoreCallTimeout,
                        [](const StoreAnswer &) {});
}

/// Measures the clock of the store, which may be another one in each era.
void Control::updateClock(const TableAnswer &answer)
{
    if (m_storeOffset && answer.reply.era < m_storeOffsetEra)
        return;
    // The store reads its clock before its answer arrives here, so every computed offset is too
    // small, and the largest offset is the most accurate.
    const Duration offset = Duration(answer.reply.storeMs * 1000) - bootNow().time_since_epoch();
    const bool sameClock = m_storeOffset && answer.reply.era == m_storeOffsetEra;
    m_storeOffset = sameClock ? std::max(offset, *m_storeOffset) : offset;
    m_storeOffsetEra = answer.reply.era;
}

} // namespace balsamloft
