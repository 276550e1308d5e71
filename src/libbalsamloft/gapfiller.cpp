#include <balsamloft/gapfiller.h>

#include <balsamloft/coverage.h>

#include <algorithm>
#include <cmath>

namespace balsamloft {

namespace {

constexpr std::string_view GrowReason = "its neighbour's layers have no holder";
constexpr std::string_view FreeReason = "it holds nothing, and these layers have no holder";

} // namespace

GapFiller::GapFiller(GapFillerSettings settings)
    : m_settings(settings)
    , m_orders(settings.orderLifetime, settings.refusalBackoff)
{
}

std::uint32_t GapFiller::Engine::spare() const
{
    return free && most > layers.length() ? most - layers.length() : 0;
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
        const double room = each.layers.length() > 0 ? m_settings.minEngineHeadroom
                                                     : m_settings.emptyEngineHeadroom;
        const auto [layers, free] = m_orders.holding(each);
        found.push_back({&each, layers, service.model->maxLayers(*kind, room), free,
                         service.model->maxLayers(*kind, m_settings.beyondGapHeadroom)});
    }
    return found;
}

LayerRange GapFiller::firstGap(const std::vector<Engine> &engines, std::uint32_t layers,
                               std::uint32_t from)
{
    std::vector<std::uint32_t> held(layers, 0);
    for (const Engine &each : engines)
        addHolder(each.layers, held);
    std::uint32_t begin = from;
    while (begin < layers && held[begin] > 0)
        ++begin;
    std::uint32_t end = begin;
    while (end < layers && held[end] == 0)
        ++end;
    return {begin, end};
}

/// Orders that close \a gap as a whole, with the fewest layers to load; none when
/// additions cannot.
std::vector<LayerOrder> GapFiller::close(std::vector<Engine> &engines, LayerRange gap,
                                         std::uint32_t layers)
{
    const std::uint32_t size = gap.length();
    Engine *below = nullptr; // ends where the gap begins
    Engine *above = nullptr; // begins where it ends
    Engine *empty = nullptr; // the smallest that is large enough
    for (Engine &each : engines) {
        if (each.spare() == 0)
            continue;
        if (each.layers.length() == 0) {
            if (each.most >= size && (!empty || each.most < empty->most))
                empty = &each;
        } else if (each.layers.end == gap.begin && (!below || each.spare() > below->spare())) {
            below = &each;
        } else if (each.layers.begin == gap.end && (!above || each.spare() > above->spare())) {
            above = &each;
        }
    }
    const std::uint32_t down = below ? std::min(below->spare(), size) : 0;
    const std::uint32_t up = above ? std::min(above->spare(), size) : 0;
    std::vector<LayerOrder> orders;
    const auto give = [&](Engine &engine, LayerRange range, std::string_view reason) {
        engine.layers = range;
        engine.free = false;
        orders.push_back(layerOrder(*engine.endpoint, range, reason));
        orders.back().additive = true;
    };
    if (down + up >= size) {
        // Both at once, in proportion to their room: the load is over sooner.
        const auto share = static_cast<std::uint32_t>(std::lround(
            static_cast<double>(size) * down / static_cast<double>(std::max(1U, down + up))));
        const std::uint32_t fromBelow = std::clamp(share, size - std::min(size, up), down);
        if (fromBelow > 0)
            give(*below, {below->layers.begin, gap.begin + fromBelow}, GrowReason);
        if (fromBelow < size)
            give(*above, {gap.begin + fromBelow, above->layers.end}, GrowReason);
    } else if (empty) {
        // What it holds beyond the gap doubles the layers after it.
        const std::uint32_t count = std::min(layers, std::max(size, empty->beyondGap));
        const std::uint32_t begin = std::min(gap.begin, layers - count);
        give(*empty, {begin, begin + count}, FreeReason);
    }
    return orders;
}

bool GapFiller::canCloseAllGaps(std::vector<Engine> engines, std::uint32_t layers)
{
    for (Engine &each : engines)
        each.free = each.free && each.layers.length() > 0;
    for (LayerRange gap = firstGap(engines, layers, 0); gap.length() > 0;
         gap = firstGap(engines, layers, gap.end))
        if (close(engines, gap, layers).empty())
            return false;
    return true;
}

bool GapFiller::keepsHeldLayers(const LayerOrder &order, LayerRange held)
{
    return held.length() == 0 || (order.layers.begin <= held.begin && order.layers.end >= held.end);
}

/// An engine that has only just been seen without layers is told nothing. The holder of
/// the lease sees it too; were both to give it layers, neither would know of the other's
/// order, and one of them would close the gap again with engines that are needed elsewhere.
void GapFiller::delayEmptyEngines(std::vector<Engine> &engines, Time now)
{
    for (Engine &each : engines) {
        if (each.layers.length() > 0) {
            m_emptySince.erase(each.endpoint->id);
            continue;
        }
        const auto [since, fresh] = m_emptySince.try_emplace(each.endpoint->id, now);
        each.free = each.free && now - since->second >= m_settings.emptyEngineDelay;
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
    std::vector<Engine> all = engines(fleet, service, domain, silent, now);
    // A domain where nothing lies yet waits for its first plan.
    const bool empty = std::all_of(all.begin(), all.end(),
                                   [](const Engine &each) { return each.layers.length() == 0; });
    LayerRange gap = firstGap(all, layers, 0);
    if (empty || gap.length() == 0) {
        m_gapSince.erase(service.name);
        for (const Engine &each : all)
            m_emptySince.erase(each.endpoint->id);
        return orders;
    }
    delayEmptyEngines(all, now);
    const auto [since, fresh] = m_gapSince.try_emplace(service.name, now);
    if (now - since->second < m_settings.grace)
        return orders;
    for (; gap.length() > 0; gap = firstGap(all, layers, gap.end))
        for (LayerOrder &order : close(all, gap, layers))
            orders.push_back(std::move(order));
    return orders;
}

} // namespace balsamloft
