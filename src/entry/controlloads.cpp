// The part of Control that exchanges the loads of services with the other instances.

#include "clock.h"
#include "control.h"
#include "decisionlog.h"

namespace balsamloft {

namespace {

constexpr Duration PublishInterval {500'000};
/// How long an instance that was the domain reader continues to sum up loads. It may lose that role
/// for a moment: a dead instance that precedes it counts as responsive until it is queried again.
constexpr Duration ReaderHold {3'000'000};

} // namespace

void Control::setOwnLoad(LoadSummary load)
{
    if (m_loads)
        m_loads->setOwn(std::move(load), bootNow());
}

/// Whether this instance sums up the loads of all instances. A total that it received recently
/// takes precedence over its own sum, see LoadExchange.
bool Control::sumsUpLoads(Time now) const
{
    return isDomainReader() || now - m_domainReaderAt < ReaderHold;
}

/// Returns the state to send in a query for \a table to \a peer. Loads are sent only with queries
/// for the endpoints: the sources of the other tables may be different instances, and each of them
/// would count this instance.
InstanceState Control::stateForQuery(const PeerInstance &peer, SharedTable table)
{
    InstanceState state = ownState();
    const Time now = bootNow();
    if (!m_loads || table != SharedTable::Endpoints)
        return state;
    const auto content = m_loadRoute.takeContent(peer, isDomainReader(), now);
    if (content != LoadRoute::Content::Nothing)
        state.load = m_loads->subtree(now);
    if (content == LoadRoute::Content::Domain)
        state.loadDomain = m_settings.domain;
    return state;
}

/// Returns the state to send in the answer to a query with the state \a sender. The reader of
/// another domain gets only the sum over this domain, since it sums up the domains itself.
InstanceState Control::stateForAnswer(const InstanceState &sender) const
{
    InstanceState state = ownState();
    if (!m_loads || !sender.load)
        return state;
    const Time now = bootNow();
    const bool reader = sumsUpLoads(now);
    AgedLoadSummary load;
    if (sender.loadDomain.empty()) {
        load = m_loads->total(reader, now);
    } else if (reader && sender.loadDomain != m_settings.domain) {
        load = m_loads->subtree(now);
        state.loadDomain = m_settings.domain;
    }
    if (load.report.instances > 0)
        state.load = std::move(load);
    return state;
}

void Control::subtreeReceived(const InstanceState &sender)
{
    if (!m_loads || !sender.load)
        return;
    if (!sender.loadDomain.empty())
        m_loads->receiveDomain(sender.loadDomain, *sender.load, bootNow());
    else if (m_loadRoute.acceptsSubtree(sender.name))
        m_loads->receiveSubtree(sender.name, *sender.load, bootNow());
}

void Control::totalReceived(const InstanceState &sender)
{
    if (!m_loads || !sender.load)
        return;
    if (!sender.loadDomain.empty())
        m_loads->receiveDomain(sender.loadDomain, *sender.load, bootNow());
    else if (!isDomainReader())
        m_loads->receiveTotal(*sender.load, bootNow());
}

/// Publishes the load of all instances to the traffic thread.
void Control::tickLoads()
{
    const Time now = bootNow();
    if (isDomainReader())
        m_domainReaderAt = now;
    if (!m_loads || now - m_loadsPublishedAt < PublishInterval)
        return;
    auto load = m_loads->fleet(sumsUpLoads(now), now);
    if (!load)
        return;
    m_loadsPublishedAt = now;
    if (std::exchange(m_loggedInstances, load->total.instances) != load->total.instances)
        logDecision("loads", "counted",
                    {{"instances", std::int64_t(load->total.instances)},
                     {"age_ms", (now - load->asOf).count() / 1000}});
    load->asOf -= now - steadyNow();
    m_events.loads(std::move(*load));
}

} // namespace balsamloft
