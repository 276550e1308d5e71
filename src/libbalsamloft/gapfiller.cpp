#include <balsamloft/gapfiller.h>

#include <algorithm>
#include <cmath>

namespace balsamloft {

namespace {

constexpr std::string_view GrowReason = "its neighbour's layers have no holder";
constexpr std::string_view FreeReason = "it holds nothing, and these layers have no holder";

std::uint32_t length(LayerRange range)
{
    return range.end - range.begin;
}

} // namespace

GapFiller::GapFiller(GapFillerSettings settings)
    : m_settings(settings)
{
}

std::uint32_t GapFiller::Engine::spare() const
{
    return free && most > length(layers) ? most - length(layers) : 0;
}

void GapFiller::ordered(const LayerOrder &order, Time now)
{
    m_pending[order.endpoint] = Pending {order.layers, now, false};
}

void GapFiller::refused(const std::string &endpoint, Time now)
{
    const auto it = m_pending.find(endpoint);
    if (it != m_pending.end())
        it->second = Pending {it->second.layers, now, true};
}

std::vector<GapFiller::Engine> GapFiller::engines(const FleetSnapshot &fleet,
                                                  const RoutedService &service,
                                                  std::string_view domain,
                                                  const std::set<std::string> &silent, Time now)
{
    std::erase_if(m_pending, [&](const auto &each) {
        const FleetEndpoint *endpoint = fleet.find(each.first);
        const Pending &pending = each.second;
        return !endpoint || endpoint->layers == pending.layers
               || now - pending.since
                      >= (pending.refused ? m_settings.refusedFor : m_settings.orderLife);
    });
    std::vector<Engine> found;
    for (const FleetEndpoint &each : fleet.endpoints) {
        const AcceleratorKind *kind = service.model->kind(each.kind);
        if (each.service != service.name || each.domain != domain || each.draining || !kind
            || silent.contains(each.id))
            continue;
        const double room = each.layers.end > each.layers.begin ? m_settings.leastEngineRoom
                                                                : m_settings.freeEngineRoom;
        const double fits =
            kind->sizeMegabytes * (1 - room) / std::max(1.0, service.model->layerMegabytes);
        Engine engine {&each, each.layers,
                       static_cast<std::uint32_t>(std::min<double>(service.model->layers, fits)),
                       !each.busy};
        if (const auto pending = m_pending.find(each.id); pending != m_pending.end()) {
            engine.free = false;
            if (!pending->second.refused)
                engine.layers = pending->second.layers;
        }
        found.push_back(engine);
    }
    return found;
}

LayerRange GapFiller::firstGap(const std::vector<Engine> &engines, std::uint32_t layers,
                               std::uint32_t from)
{
    std::vector<bool> held(layers, false);
    for (const Engine &each : engines)
        for (std::uint32_t layer = each.layers.begin; layer < std::min(each.layers.end, layers);
             ++layer)
            held[layer] = true;
    std::uint32_t begin = from;
    while (begin < layers && held[begin])
        ++begin;
    std::uint32_t end = begin;
    while (end < layers && !held[end])
        ++end;
    return {begin, end};
}

/// Orders that close \a gap as a whole, with the fewest layers to load; none when
/// additions cannot.
std::vector<LayerOrder> GapFiller::close(std::vector<Engine> &engines, LayerRange gap,
                                         std::uint32_t layers, bool withEmpty)
{
    const std::uint32_t size = length(gap);
    Engine *below = nullptr; // ends where the gap begins
    Engine *above = nullptr; // begins where it ends
    Engine *empty = nullptr; // the smallest that is large enough
    for (Engine &each : engines) {
        if (each.spare() == 0)
            continue;
        if (length(each.layers) == 0) {
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
        orders.push_back({engine.endpoint->id, engine.endpoint->name, engine.endpoint->address,
                          range, std::string(reason), true});
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
    } else if (empty && withEmpty) {
        // What it holds beyond the gap doubles the layers after it.
        const std::uint32_t begin = std::min(gap.begin, layers - std::min(layers, empty->most));
        give(*empty, {begin, std::min(layers, begin + empty->most)}, FreeReason);
    }
    return orders;
}

bool GapFiller::closesAll(std::vector<Engine> engines, std::uint32_t layers)
{
    for (LayerRange gap = firstGap(engines, layers, 0); length(gap) > 0;
         gap = firstGap(engines, layers, gap.end))
        if (close(engines, gap, layers, false).empty())
            return false;
    return true;
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
                                   [](const Engine &each) { return length(each.layers) == 0; });
    LayerRange gap = firstGap(all, layers, 0);
    if (empty || length(gap) == 0) {
        m_gapSince.erase(service.name);
        return orders;
    }
    const auto [since, fresh] = m_gapSince.try_emplace(service.name, now);
    if (now - since->second < m_settings.grace)
        return orders;
    const bool withEmpty = now - since->second >= m_settings.emptyGrace;
    for (; length(gap) > 0; gap = firstGap(all, layers, gap.end))
        for (LayerOrder &order : close(all, gap, layers, withEmpty))
            orders.push_back(std::move(order));
    return orders;
}

} // namespace balsamloft
