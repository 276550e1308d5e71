// The part of Control that reconciles this instance with a store that came back from a copy.

#include "clock.h"
#include "control.h"
#include "decisionlog.h"

namespace balsamloft {

namespace {

/// How long ago an era may have begun for instances to tell each other.
constexpr Duration RecentEra {60'000'000};


} // namespace

/// Reacts to an era that an answer of the store, or another instance, has shown.
void Control::noticeEra()
{
    const StoreVersion newest = m_eras.newest();
    if (!newest.known() && newest.era == 0)
        return;
    if (!m_seenEra) {
        m_seenEra = newest.era;
        m_state.storeEra = newest.era;
        m_lease.setEra(newest.era, bootNow());
    } else if (newest.era > *m_seenEra) {
        eraBegan();
    }
}

void Control::eraBegan()
{
    const Time now = steadyNow();
    logDecision("store", "era learnt",
                {{"era", std::int64_t(m_eras.era())}, {"former_era", std::int64_t(*m_seenEra)}});
    m_seenEra = m_eras.era();
    m_eraBeganAt = now;
    m_state.storeEra = m_eras.era();
    m_state.storeEraChanges += 1;
    m_lease.setEra(m_eras.era(), bootNow());
    m_trialPermits.storeRestored(now);
    m_configurationFetch.storeRestored(now);
    m_skippedRows.clear();
    for (const auto &each : m_followers)
        each->eraBegan();
}

InstanceState Control::ownState() const
{
    InstanceState state {m_settings.name, m_eras.era(), m_table ? m_table->version() : 0,
                         std::nullopt};
    if (m_eraBeganAt && steadyNow() - *m_eraBeganAt < RecentEra)
        state.eraAge = steadyNow() - *m_eraBeganAt;
    return state;
}

void Control::stateReceived(const InstanceState &state)
{
    m_eras.recordPeer({state.era, 0});
    noticeEra();
    if (const auto peer = m_directory.find(state.name))
        configurationHeard(state.configuration, *peer);
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
    if (age && !m_eraBeganAt) {
        m_eraBeganAt = steadyNow() - *age;
        m_lease.storeRestored(bootNow() - *age);
        m_trialPermits.storeRestored(*m_eraBeganAt);
        m_configurationFetch.storeRestored(*m_eraBeganAt);
    }
    configurationHeard(state.configuration, peer);
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
    policy.keepsMissing = table == SharedTable::Configuration;
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

} // namespace balsamloft
