#include <balsamloft/routemap.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace balsamloft {

const AcceleratorKind *LayeredModel::kind(std::string_view name) const
{
    for (const AcceleratorKind &each : kinds)
        if (each.name == name)
            return &each;
    return nullptr;
}

double LayeredModel::kvCapacity(const AcceleratorKind &kind, std::uint32_t heldLayers) const
{
    const double freeMegabytes = kind.memoryMegabytes - layerMegabytes * heldLayers;
    const double bytesPerTokenLayer = bytesPerToken / std::max(1U, layers);
    return bytesPerTokenLayer <= 0 ? 0 : std::max(0.0, freeMegabytes * 1e6 / bytesPerTokenLayer);
}

std::uint32_t LayeredModel::maxLayers(const AcceleratorKind &kind, double headroom) const
{
    const double fittingLayers =
        kind.memoryMegabytes * (1 - headroom) / std::max(1.0, layerMegabytes);
    return static_cast<std::uint32_t>(std::min<double>(layers, std::floor(fittingLayers)));
}

const Route *RouteMap::match(std::string_view host, std::string_view path) const
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return nullptr;
    for (const std::uint32_t index : it->second)
        if (path.starts_with(m_routes[index].prefix))
            return &m_routes[index];
    return nullptr;
}

const RoutedTeam *RouteMap::team(std::string_view key) const
{
    const auto it = m_keys.find(key);
    return it == m_keys.end() ? nullptr : &m_teams[it->second];
}

const RoutedService *RouteMap::serviceNamed(std::string_view name) const
{
    const auto it = std::find_if(m_services.begin(), m_services.end(),
                                 [&](const RoutedService &each) { return each.name == name; });
    return it == m_services.end() ? nullptr : &*it;
}

std::uint32_t RouteMap::target(const Route &route, std::string_view requestId) const
{
    double total = 0;
    for (const RouteTarget &each : route.targets)
        total += each.weight;
    const double unit =
        static_cast<double>(XXH3_64bits(requestId.data(), requestId.size()) >> 11U) * 0x1p-53;
    double remaining = unit * total;
    for (const RouteTarget &each : route.targets) {
        remaining -= each.weight;
        if (remaining < 0)
            return each.service;
    }
    return route.targets.back().service;
}

RouteMapBuilder::RouteMapBuilder(std::uint64_t version)
    : m_map(std::make_shared<RouteMap>())
{
    m_map->m_version = version;
}

RouteMapBuilder &RouteMapBuilder::service(RoutedService service)
{
    m_map->m_services.push_back(std::move(service));
    return *this;
}

RouteMapBuilder &RouteMapBuilder::route(Route route,
                                        std::vector<std::pair<std::string, double>> targets)
{
    m_pending.emplace_back(std::move(route), std::move(targets));
    return *this;
}

RouteMapBuilder &RouteMapBuilder::requireKeys()
{
    m_map->m_requiresKeys = true;
    return *this;
}

RouteMapBuilder &RouteMapBuilder::team(RoutedTeam team, const std::vector<std::string> &keys)
{
    requireKeys();
    const auto index = static_cast<std::uint32_t>(m_map->m_teams.size());
    m_map->m_teams.push_back(std::move(team));
    for (const std::string &key : keys)
        m_map->m_keys.emplace(key, index);
    return *this;
}

RouteMapBuilder &RouteMapBuilder::limits(RequestLimits limits)
{
    m_map->m_limits = limits;
    return *this;
}

RouteMapPtr RouteMapBuilder::build()
{
    RouteMap &map = *m_map;
    for (auto &[route, targets] : m_pending) {
        for (const auto &target : targets) {
            const auto found =
                std::find_if(map.m_services.begin(), map.m_services.end(),
                             [&](const auto &each) { return each.name == target.first; });
            if (found != map.m_services.end() && target.second > 0)
                route.targets.push_back(
                    {static_cast<std::uint32_t>(found - map.m_services.begin()), target.second});
        }
        if (route.targets.empty()) {
            m_skippedRoutes.push_back(
                "route " + route.name
                + ": none of its targets is a known service with a weight above 0");
            continue;
        }
        map.m_hosts[route.host].push_back(static_cast<std::uint32_t>(map.m_routes.size()));
        map.m_routes.push_back(std::move(route));
    }
    m_pending.clear();
    std::map<std::uint32_t, int> priorities; ///< of the first route to each service
    for (const Route &route : map.m_routes)
        for (const RouteTarget &target : route.targets) {
            const auto [first, inserted] = priorities.try_emplace(target.service, route.priority);
            RoutedService &service = map.m_services[target.service];
            service.hasPriorities = service.hasPriorities || first->second != route.priority;
        }
    for (auto &[host, indexes] : map.m_hosts)
        std::stable_sort(indexes.begin(), indexes.end(), [&](auto left, auto right) {
            return map.m_routes[left].prefix.size() > map.m_routes[right].prefix.size();
        });
    return m_map;
}

} // namespace balsamloft
