#include <balsamloft/gapfiller.h>

#include <balsamloft/coverage.h>

#include <algorithm>
#include <cmath>

namespace balsamloft {

namespace {

constexpr std::string_view NeighbourReason = "the adjacent layers have no holder";
constexpr std::string_view EmptyReason = "the engine is empty and these layers have no holder";

} // namespace

GapFiller::GapFiller(GapFillerSettings settings)
    : m_settings(settings)
    , m_orders(settings.orderLifetime, settings.refusalBackoff)
{
}

std::uint32_t GapFiller::Engine::spareLayers() const
{
    return available && maxLayers > layers.length() ? maxLayers - layers.length() : 0;
}

std::vector<GapFiller::Engine> GapFiller::engines(const FleetSnapshot &fleet,
                                                  const RoutedService &service,
                                                  std::string_view domain,
                                                  const std::set<std::string> &silent, Time now)
{
    m_orders.expire(fleet, now);
    const std::set<std::string> replaced = fleet.replaced(service.name);
    std::vector<Engine> found;
    for (const FleetEndpoint &each : fleet.endpoints) {
        const AcceleratorKind *kind = service.model->kind(each.kind);
        if (each.service != service.name || each.domain != domain || each.draining || !kind
            || silent.contains(each.id) || replaced.contains(each.id))
            continue;
        const double headroom = each.layers.length() > 0 ? m_settings.minEngineHeadroom
                                                         : m_settings.emptyEngineHeadroom;
        const auto [layers, available] = m_orders.holding(each);
        found.push_back({&each, layers, service.model->maxLayers(*kind, headroom), available,
                         service.model->maxLayers(*kind, m_settings.beyondGapHeadroom)});
    }
    return found;
}

LayerRange GapFiller::firstGap(const std::vector<Engine> &engines, std::uint32_t layers,
                               std::uint32_t from)
{
    std::vector<std::uint32_t> holders(layers, 0);
    for (const Engine &each : engines)
        addHolder(each.layers, holders);
    std::uint32_t begin = from;
    while (begin < layers && holders[begin] > 0)
        ++begin;
    std::uint32_t end = begin;
    while (end < layers && holders[end] == 0)
        ++end;
    return {begin, end};
}

/// Returns orders that close all of \a gap with the fewest layers to load, or none if
/// additions can't close it.
std::vector<LayerOrder> GapFiller::closeGap(std::vector<Engine> &engines, LayerRange gap,
                                            std::uint32_t layers)
{
    const std::uint32_t size = gap.length();
    Engine *below = nullptr; // holds the layers right before the gap
    Engine *above = nullptr; // holds the layers right after the gap
    Engine *empty = nullptr; // the smallest empty engine that can hold the gap
    for (Engine &each : engines) {
        if (each.spareLayers() == 0)
            continue;
        if (each.layers.length() == 0) {
            if (each.maxLayers >= size && (!empty || each.maxLayers < empty->maxLayers))
                empty = &each;
        } else if (each.layers.end == gap.begin
                   && (!below || each.spareLayers() > below->spareLayers())) {
            below = &each;
        } else if (each.layers.begin == gap.end
                   && (!above || each.spareLayers() > above->spareLayers())) {
            above = &each;
        }
    }
    const std::uint32_t fromBelowMax = below ? std::min(below->spareLayers(), size) : 0;
    const std::uint32_t fromAboveMax = above ? std::min(above->spareLayers(), size) : 0;
    std::vector<LayerOrder> orders;
    const auto assign = [&](Engine &engine, LayerRange range, std::string_view reason) {
        engine.layers = range;
        engine.available = false;
        orders.push_back(layerOrder(*engine.endpoint, range, reason));
        orders.back().additive = true;
    };
    if (fromBelowMax + fromAboveMax >= size) {
        // Both neighbours load a share in proportion to their spare layers, which takes less
        // time than loading the whole gap on one of them.
        const auto share = static_cast<std::uint32_t>(
            std::lround(static_cast<double>(size) * fromBelowMax
                        / static_cast<double>(std::max(1U, fromBelowMax + fromAboveMax))));
        const std::uint32_t fromBelow =
            std::clamp(share, size - std::min(size, fromAboveMax), fromBelowMax);
        if (fromBelow > 0)
            assign(*below, {below->layers.begin, gap.begin + fromBelow}, NeighbourReason);
        if (fromBelow < size)
            assign(*above, {gap.begin + fromBelow, above->layers.end}, NeighbourReason);
    } else if (empty) {
        // The layers beyond the gap get an additional holder.
        const std::uint32_t count = std::min(layers, std::max(size, empty->preferredLayers));
        const std::uint32_t begin = std::min(gap.begin, layers - count);
        assign(*empty, {begin, begin + count}, EmptyReason);
    }
    return orders;
}

bool GapFiller::canCloseAllGaps(std::vector<Engine> engines, std::uint32_t layers)
{
    for (Engine &each : engines)
        each.available = each.available && each.layers.length() > 0;
    for (LayerRange gap = firstGap(engines, layers, 0); gap.length() > 0;
         gap = firstGap(engines, layers, gap.end))
        if (closeGap(engines, gap, layers).empty())
            return false;
    return true;
}

bool GapFiller::keepsHeldLayers(const LayerOrder &order, LayerRange held)
{
    return held.length() == 0 || (order.layers.begin <= held.begin && order.layers.end >= held.end);
}

/// Excludes engines that were first seen empty only recently. The lease holder may assign layers to
/// them too. Neither this instance nor the lease holder sees the order of the other one. One of the
/// two orders would then close the gap a second time, with engines that are needed elsewhere.
void GapFiller::delayEmptyEngines(std::vector<Engine> &engines, Time now)
{
    for (Engine &each : engines) {
        if (each.layers.length() > 0) {
            m_emptySince.erase(each.endpoint->id);
            continue;
        }
        const auto [since, inserted] = m_emptySince.try_emplace(each.endpoint->id, now);
        each.available = each.available && now - since->second >= m_settings.emptyEngineDelay;
    }
}

std::vector<LayerOrder> GapFiller::fill(const FleetSnapshot &fleet, const RoutedService &service,
                                        std::string_view domain,
                                        const std::set<std::string> &silent, Time now)
{
    std::vector<LayerOrder> orders;
    if (!service.model || service.model->layers == 0)
        return orders;
    const std::uint32_t layers = service.model->layers;
    std::vector<Engine> found = engines(fleet, service, domain, silent, now);
    // The planner assigns the first layers of an empty domain.
    const bool empty = std::all_of(found.begin(), found.end(),
                                   [](const Engine &each) { return each.layers.length() == 0; });
    LayerRange gap = firstGap(found, layers, 0);
    if (empty || gap.length() == 0) {
        m_gapSince.erase(service.name);
        for (const Engine &each : found)
            m_emptySince.erase(each.endpoint->id);
        return orders;
    }
    delayEmptyEngines(found, now);
    const auto [since, inserted] = m_gapSince.try_emplace(service.name, now);
    if (now - since->second < m_settings.gapDelay)
        return orders;
    for (; gap.length() > 0; gap = firstGap(found, layers, gap.end))
        for (LayerOrder &order : closeGap(found, gap, layers))
            orders.push_back(std::move(order));
    return orders;
}

} // namespace balsamloft
