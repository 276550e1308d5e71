#include <balsamloft/placementmanager.h>

#include "jsonreader.h"

#include <algorithm>

namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr std::size_t MaxNotes = 50;

std::string entryPath(std::string_view engine)
{
    return std::string(PlacementSection) + std::string(engine);
}

} // namespace

std::string placementEntry(const Assignment &assignment)
{
    return canonicalJson(
        json::object {{"engine", assignment.engine},
                      {"model", assignment.model},
                      {"version", assignment.version},
                      {"replica", assignment.replica},
                      {"layers", {assignment.layers.begin, assignment.layers.end}}});
}

PlacementManager::PlacementManager(PlacementManagerSettings settings)
    : m_settings(std::move(settings))
    , m_placement(m_settings.placement)
    , m_orders(m_settings.orders)
{
}

std::vector<std::string> PlacementManager::placeableEngines(const Config &config,
                                                            std::string_view domain)
{
    std::vector<std::string> names;
    for (const Endpoint &endpoint : config.endpoints()) {
        if (endpoint.placeable && endpoint.domain == domain)
            names.push_back(endpoint.name);
    }
    return names;
}

void PlacementManager::addNote(const std::string &line)
{
    if (m_notes.size() >= MaxNotes)
        m_notes.erase(m_notes.begin());
    m_notes.push_back(line);
}

void PlacementManager::tick(const Config &config, const ConfigEntries &entries,
                            const LeaseView &lease, const DemandFunction &demand, Time now,
                            OrderActions &orders, std::vector<ProposePlacement> &proposals)
{
    if (!lease.holds) {
        m_loading.clear();
        m_unloading.clear();
        m_fencing = 0;
        return;
    }
    m_fencing = lease.fencing;
    if (now - m_plannedAt >= m_settings.planInterval) {
        m_plannedAt = now;
        planSteps(config, demand, now);
    }
    updateWantedStates(config, now);
    m_orders.tick(lease.holds, lease.fencing, lease.acquiredAt, now, orders);
    if (m_proposing)
        return;
    proposeLoaded(entries, proposals);
    if (proposals.empty())
        proposeUnload(entries, proposals);
    m_proposing = !proposals.empty();
}

void PlacementManager::planSteps(const Config &config, const DemandFunction &demand, Time now)
{
    std::vector<PlacementEngine> engines;
    std::vector<Assignment> current;
    for (const Endpoint &endpoint : config.endpoints()) {
        if (!endpoint.placeable || endpoint.domain != m_settings.domain)
            continue;
        const Accelerator *accelerator = config.accelerator(endpoint.accelerator);
        const bool busy =
            m_unloading.contains(endpoint.name) || m_unroutedSince.contains(endpoint.name);
        engines.push_back(
            {endpoint.name, accelerator ? accelerator->memoryGigabytes : 0, endpoint.speed, !busy});
        if (!endpoint.model.empty() && !m_unloading.contains(endpoint.name))
            current.push_back({endpoint.name, endpoint.model, endpoint.version, endpoint.layers,
                               endpoint.replica});
    }
    for (const auto &[replica, loading] : m_loading) {
        for (const Assignment &part : loading.parts) {
            const auto sameEngine = [&](const Assignment &other) {
                return other.engine == part.engine;
            };
            if (std::none_of(current.begin(), current.end(), sameEngine))
                current.push_back(part);
        }
    }
    std::vector<PlacementModel> models;
    for (const Model &model : config.models())
        models.push_back({model.name, model.version, model.layers, model.weightGigabytes,
                          model.scaleToZero, demand(model.name)});
    const auto steps = m_placement.plan(engines, models, current, m_orders.loading(), now);
    for (const PlacementStep &step : steps) {
        addNote(step.reason);
        if (!step.assignments.front().model.empty()) {
            m_loading[step.assignments.front().replica] = {step.assignments, step.reason};
            m_loadsOrdered += step.assignments.size();
            continue;
        }
        m_loading.erase(step.assignments.front().replica);
        for (const Assignment &part : step.assignments)
            m_unloading[part.engine] = step.reason;
    }
}

void PlacementManager::updateWantedStates(const Config &config, Time now)
{
    std::map<std::string, Assignment> wanted;
    for (const Endpoint &endpoint : config.endpoints()) {
        if (!endpoint.placeable || endpoint.domain != m_settings.domain)
            continue;
        Assignment assignment {endpoint.name, endpoint.model, endpoint.version, endpoint.layers,
                               endpoint.replica};
        if (endpoint.model.empty())
            assignment = {endpoint.name, {}, {}, {}, {}};
        wanted[endpoint.name] = assignment;
        if (!endpoint.model.empty())
            m_unroutedSince.erase(endpoint.name);
    }
    for (const auto &[replica, loading] : m_loading) {
        for (const Assignment &part : loading.parts)
            wanted[part.engine] = part;
    }
    for (const auto &[name, assignment] : wanted) {
        const Endpoint &endpoint = *config.endpoint(name);
        const auto unrouted = m_unroutedSince.find(name);
        // Instances that have not received the change may still send requests to the engine.
        // It keeps its layers until all instances must have applied the change.
        if (assignment.model.empty() && unrouted != m_unroutedSince.end()) {
            if (now - unrouted->second < m_settings.unloadDelay)
                continue;
            m_unroutedSince.erase(unrouted);
        }
        m_orders.setWanted(assignment, endpoint.checksFencing);
    }
}

void PlacementManager::proposeLoaded(const ConfigEntries &entries,
                                     std::vector<ProposePlacement> &proposals)
{
    for (auto it = m_loading.begin(); it != m_loading.end(); ++it) {
        const std::vector<Assignment> &parts = it->second.parts;
        const bool inConfiguration =
            std::all_of(parts.begin(), parts.end(), [&](const Assignment &part) {
                const auto entry = entries.find(entryPath(part.engine));
                return entry != entries.end() && entry->second == placementEntry(part);
            });
        if (inConfiguration) {
            m_loading.erase(it);
            return;
        }
        const bool loaded = std::all_of(parts.begin(), parts.end(), [&](const Assignment &part) {
            return m_orders.isApplied(part.engine);
        });
        if (!loaded)
            continue;
        ProposePlacement proposal {{}, it->second.reason};
        for (const Assignment &part : parts) {
            const auto before = entries.find(entryPath(part.engine));
            ConfigEdit edit {entryPath(part.engine), std::nullopt, placementEntry(part)};
            if (before != entries.end())
                edit.before = before->second;
            proposal.edits.push_back(std::move(edit));
        }
        proposals.push_back(std::move(proposal));
        return;
    }
}

void PlacementManager::proposeUnload(const ConfigEntries &entries,
                                     std::vector<ProposePlacement> &proposals)
{
    ProposePlacement proposal;
    for (auto it = m_unloading.begin(); it != m_unloading.end();) {
        const auto entry = entries.find(entryPath(it->first));
        if (entry == entries.end()) {
            m_unroutedSince.try_emplace(it->first, m_plannedAt);
            it = m_unloading.erase(it);
            continue;
        }
        proposal.edits.push_back({entry->first, entry->second, std::nullopt});
        proposal.summary = it->second;
        ++it;
    }
    if (!proposal.edits.empty())
        proposals.push_back(std::move(proposal));
}

std::vector<std::string> PlacementManager::explain() const
{
    std::vector<std::string> lines = m_notes;
    for (std::string &line : m_orders.mismatches())
        lines.push_back(std::move(line));
    return lines;
}

} // namespace balsamloft
