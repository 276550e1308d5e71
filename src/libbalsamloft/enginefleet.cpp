#include <balsamloft/enginefleet.h>

#include <algorithm>
#include <numeric>

namespace balsamloft {

namespace {

/// How long the start of a process that is gone is remembered. News of it may
/// come late by seconds, never by minutes.
constexpr Duration StartRemembered {120'000'000};

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

const FleetEndpoint *FleetSnapshot::atAddress(std::string_view address) const
{
    const FleetEndpoint *found = nullptr;
    for (const FleetEndpoint &each : endpoints)
        if (each.address == address && (!found || found->draining))
            found = &each;
    return found;
}

std::set<std::string> FleetSnapshot::replaced(std::string_view service) const
{
    std::set<std::string_view> begun;
    for (const FleetEndpoint &each : endpoints)
        if (each.service == service && each.layers.length() == 0 && !each.draining)
            begun.insert(each.address);
    std::set<std::string> replaced;
    for (const FleetEndpoint &each : endpoints)
        if (each.service == service && each.layers.length() > 0 && begun.contains(each.address))
            replaced.insert(each.id);
    return replaced;
}

FleetTracker::FleetTracker(FleetSettings settings)
    : m_settings(settings)
{
}

/// The last beat may have come a whole interval before the outage. Taken
/// shorter, an instance that reads from another one would take that one's
/// failure for an outage of the list, and keep what left meanwhile for seconds
/// after the others sent it nothing any more.
Duration FleetTracker::shortestOutage() const
{
    constexpr double Margin = 0.15;
    const double beats = m_settings.heartbeatsToExpire - 1 - Margin;
    return Duration(static_cast<std::int64_t>(m_settings.heartbeatInterval.count() * beats));
}

void FleetTracker::heard(Time now)
{
    if (m_known && now - m_heardAt > shortestOutage())
        m_outageEndedAt = now;
    m_heardAt = std::max(m_heardAt, now);
}

void FleetTracker::listed(std::vector<FleetEndpoint> endpoints, Time now)
{
    heard(now);
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto next = std::next(it);
        const bool still = std::any_of(endpoints.begin(), endpoints.end(),
                                       [&](const auto &each) { return each.name == it->first; });
        if (!still)
            vanished(it, now);
        it = next;
    }
    for (FleetEndpoint &each : endpoints)
        changed(std::move(each), now);
    m_known = true;
}

void FleetTracker::changed(FleetEndpoint endpoint, Time now)
{
    heard(now);
    if (outdated(endpoint))
        return;
    // Leaving is never taken back, not even once the entry is gone: one that was sent
    // before and written late must not bring new work to an endpoint that is about to
    // exit. Another process under the same name has announced nothing.
    Start &start = m_starts[endpoint.name];
    if (endpoint.startedAt > start.startedAt)
        start = {};
    start.startedAt = endpoint.startedAt;
    start.seenAt = now;
    start.leaving = start.leaving || endpoint.draining;
    endpoint.draining = start.leaving;
    Entry &entry = m_entries[endpoint.name];
    entry.forgetAt.reset();
    if (entry.endpoint == endpoint)
        return;
    entry.endpoint = std::move(endpoint);
    m_dirty = true;
}

/// An entry of a process that another one has replaced comes late, by way of
/// another instance or a slow answer. Taken over, requests and orders would go
/// to what the dead process held.
bool FleetTracker::outdated(const FleetEndpoint &endpoint) const
{
    const auto it = m_starts.find(endpoint.name);
    return it != m_starts.end() && endpoint.startedAt < it->second.startedAt;
}

void FleetTracker::forgetOldStarts(Time now)
{
    std::erase_if(m_starts, [&](const auto &each) {
        return now - each.second.seenAt >= StartRemembered && !m_entries.contains(each.first);
    });
}

void FleetTracker::dropped(std::string_view name, Time now)
{
    heard(now);
    const auto it = m_entries.find(name);
    if (it != m_entries.end())
        vanished(it, now);
}

void FleetTracker::vanished(std::map<std::string, Entry, std::less<>>::iterator it, Time now)
{
    // While the list was down, entries of the living lapsed too. Forgetting
    // them at once would leave nothing to route to, so they keep the time in
    // which the living write themselves down again; what is missing then, is
    // gone. One that was leaving has nothing to come back for.
    const bool outage =
        m_outageEndedAt != Time {} && now - m_outageEndedAt < m_settings.recoveryTime;
    if (outage && !it->second.endpoint.draining) {
        if (!it->second.forgetAt)
            it->second.forgetAt = m_outageEndedAt + m_settings.recoveryTime;
        return;
    }
    m_starts[it->first].seenAt = now;
    m_entries.erase(it);
    m_dirty = true;
}

void FleetTracker::tick(Time now)
{
    const auto erased = std::erase_if(m_entries, [&](const auto &each) {
        return each.second.forgetAt && now >= *each.second.forgetAt;
    });
    m_dirty = m_dirty || erased > 0;
    forgetOldStarts(now);
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
