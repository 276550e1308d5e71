#include <balsamloft/enginefleet.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace balsamloft {

namespace {

/// How long the start time of a removed process is stored. Updates about the process may arrive
/// seconds late, but not minutes.
constexpr Duration StartRetention {120'000'000};

} // namespace

std::string processId(std::string_view name, std::uint64_t startedAt)
{
    std::string id(name);
    if (startedAt > 0)
        id += "@" + std::to_string(startedAt);
    return id;
}

void FleetSnapshot::indexById()
{
    byId.resize(endpoints.size());
    std::iota(byId.begin(), byId.end(), 0U);
    std::sort(byId.begin(), byId.end(), [&](std::uint32_t left, std::uint32_t right) {
        return endpoints[left].id < endpoints[right].id;
    });
}

const FleetEndpoint *FleetSnapshot::find(std::string_view id) const
{
    if (byId.size() == endpoints.size()) {
        const auto found =
            std::lower_bound(byId.begin(), byId.end(), id, [&](std::uint32_t each, auto wanted) {
                return endpoints[each].id < wanted;
            });
        return found != byId.end() && endpoints[*found].id == id ? &endpoints[*found] : nullptr;
    }
    const auto it = std::find_if(endpoints.begin(), endpoints.end(),
                                 [&](const auto &each) { return each.id == id; });
    return it == endpoints.end() ? nullptr : &*it;
}

const FleetEndpoint *FleetSnapshot::findByAddress(std::string_view address) const
{
    const FleetEndpoint *found = nullptr;
    for (const FleetEndpoint &each : endpoints)
        if (each.address == address && (!found || found->draining))
            found = &each;
    return found;
}

std::set<std::string> FleetSnapshot::replaced(std::string_view service) const
{
    std::set<std::string_view> emptyAddresses;
    for (const FleetEndpoint &each : endpoints)
        if (each.service == service && each.layers.length() == 0 && !each.draining)
            emptyAddresses.insert(each.address);
    std::set<std::string> replaced;
    for (const FleetEndpoint &each : endpoints)
        if (each.service == service && each.layers.length() > 0
            && emptyAddresses.contains(each.address))
            replaced.insert(each.id);
    return replaced;
}

FleetTracker::FleetTracker(FleetSettings settings)
    : m_settings(settings)
{
}

/// Time without answers after which entries may have expired. The last heartbeat may have come
/// a whole interval before the outage. With a shorter time, an instance that reads the list
/// from another instance would take the failure of that instance for an outage of the list.
/// It would then keep endpoints that left meanwhile for seconds longer than other instances.
Duration FleetTracker::minOutage() const
{
    constexpr double Margin = 0.15;
    const double heartbeats = m_settings.heartbeatsToExpire - 1 - Margin;
    return Duration(static_cast<std::int64_t>(m_settings.heartbeatInterval.count() * heartbeats));
}

void FleetTracker::listConfirmed(Time now)
{
    if (m_loaded && now - m_confirmedAt > minOutage())
        m_outageEndedAt = now;
    m_confirmedAt = std::max(m_confirmedAt, now);
}

void FleetTracker::listed(std::vector<FleetEndpoint> endpoints, Time now)
{
    listConfirmed(now);
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto next = std::next(it);
        const bool stillListed =
            std::any_of(endpoints.begin(), endpoints.end(),
                        [&](const auto &each) { return each.name == it->first; });
        if (!stillListed)
            removeOrDelay(it, now);
        it = next;
    }
    for (FleetEndpoint &each : endpoints)
        changed(std::move(each), now);
    m_loaded = true;
}

void FleetTracker::listedAfterRestore(std::vector<FleetEndpoint> endpoints, Time now)
{
    m_outageEndedAt = std::max(m_outageEndedAt, now);
    m_confirmedAt = std::max(m_confirmedAt, now);
    std::vector<FleetEndpoint> current;
    for (FleetEndpoint &each : endpoints) {
        const auto known = m_entries.find(each.name);
        const bool sameProcess =
            known != m_entries.end() && known->second.endpoint.id == each.id && !each.draining;
        current.push_back(sameProcess ? known->second.endpoint : each);
    }
    listed(current, now);
    for (std::size_t i = 0; i < endpoints.size(); ++i)
        if (const auto entry = m_entries.find(endpoints[i].name);
            entry != m_entries.end() && endpoints[i] != current[i])
            entry->second.restored = std::move(endpoints[i]);
}

void FleetTracker::changed(FleetEndpoint endpoint, Time now)
{
    listConfirmed(now);
    if (isOutdated(endpoint))
        return;
    // A process that announced its exit stays marked as leaving, even if its entry is removed.
    // Otherwise an older entry that is written late would bring new requests to the process. A new
    // process under the same name begins without the announcement.
    Start &start = m_starts[endpoint.name];
    if (endpoint.startedAt > start.startedAt)
        start = {};
    start.startedAt = endpoint.startedAt;
    start.seenAt = now;
    start.leaving = start.leaving || endpoint.draining;
    endpoint.draining = start.leaving;
    Entry &entry = m_entries[endpoint.name];
    entry.removeAt.reset();
    entry.restored.reset();
    if (entry.endpoint == endpoint)
        return;
    entry.endpoint = std::move(endpoint);
    m_dirty = true;
}

void FleetTracker::announcedExit(std::string_view id, Time now)
{
    for (auto &[name, start] : m_starts) {
        if (processId(name, start.startedAt) != id)
            continue;
        start.leaving = true;
        start.seenAt = now;
        const auto entry = m_entries.find(name);
        if (entry != m_entries.end() && !std::exchange(entry->second.endpoint.draining, true))
            m_dirty = true;
    }
}

/// Whether a newer process is known under the same name. The entry of an old process may
/// arrive late, from another instance or in a slow answer. If it were applied, requests and
/// orders would be based on the layers of the old process.
bool FleetTracker::isOutdated(const FleetEndpoint &endpoint) const
{
    const auto it = m_starts.find(endpoint.name);
    return it != m_starts.end() && endpoint.startedAt < it->second.startedAt;
}

void FleetTracker::removeOldStarts(Time now)
{
    std::erase_if(m_starts, [&](const auto &each) {
        return now - each.second.seenAt >= StartRetention && !m_entries.contains(each.first);
    });
}

void FleetTracker::dropped(std::string_view name, Time now)
{
    listConfirmed(now);
    const auto it = m_entries.find(name);
    if (it != m_entries.end())
        removeOrDelay(it, now);
}

void FleetTracker::removeOrDelay(std::map<std::string, Entry, std::less<>>::iterator it, Time now)
{
    // While the list was down, entries of running endpoints expired too. Removing them at once
    // would leave no endpoint to route to, so they stay for the time in which endpoints renew
    // their entries. Endpoints that announced their exit don't renew them.
    const bool recovering =
        m_outageEndedAt != Time {} && now - m_outageEndedAt < m_settings.recoveryTime;
    if (recovering && !it->second.endpoint.draining) {
        if (!it->second.removeAt)
            it->second.removeAt = m_outageEndedAt + m_settings.recoveryTime;
        return;
    }
    m_starts[it->first].seenAt = now;
    m_entries.erase(it);
    m_dirty = true;
}

void FleetTracker::tick(Time now)
{
    const auto erased = std::erase_if(m_entries, [&](const auto &each) {
        return each.second.removeAt && now >= *each.second.removeAt;
    });
    m_dirty = m_dirty || erased > 0;
    takeRestoredEntries(now);
    removeOldStarts(now);
}

/// Applies what a restored store lists of endpoints that have not written their entries again.
void FleetTracker::takeRestoredEntries(Time now)
{
    if (m_outageEndedAt == Time {} || now - m_outageEndedAt < m_settings.recoveryTime)
        return;
    std::vector<FleetEndpoint> due;
    for (auto &[name, entry] : m_entries)
        if (entry.restored)
            due.push_back(std::move(*std::exchange(entry.restored, std::nullopt)));
    for (FleetEndpoint &each : due)
        changed(std::move(each), m_confirmedAt);
}

FleetPtr FleetTracker::snapshot()
{
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->number = ++m_number;
    for (const auto &[name, entry] : m_entries)
        snapshot->endpoints.push_back(entry.endpoint);
    snapshot->indexById();
    m_dirty = false;
    return snapshot;
}

} // namespace balsamloft
