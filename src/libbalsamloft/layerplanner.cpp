#include <balsamloft/layerplanner.h>

#include <balsamloft/coverage.h>
#include <balsamloft/gapfiller.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace balsamloft {

namespace {

/// Cost of a layer that nobody holds, and of one that one engine holds.
constexpr double GapCost = 1000;
constexpr double SingleCost = 6;
/// Cost of a layer whose holders have room for nothing; falls with their room.
constexpr double FullCost = 100;
/// Requests at once that halve that cost.
constexpr double FullHalved = 8;
/// Cost of loading one layer: time, and a share of the weight store.
constexpr double LoadCost = 0.4;
/// Engine room to fall back on when a domain cannot hold the model otherwise.
constexpr double BareRoom = 0.02;
/// A slower engine keeps each request longer, so its room serves fewer.
constexpr double ReferencePace = 6;
constexpr int MostMoves = 12;
/// How long an engine that refused an order is told nothing.
constexpr Duration RefusalBackoff {1'000'000};

std::uint32_t overlap(LayerRange left, LayerRange right)
{
    const std::uint32_t begin = std::max(left.begin, right.begin);
    const std::uint32_t end = std::min(left.end, right.end);
    return end > begin ? end - begin : 0;
}

} // namespace

LayerPlanner::LayerPlanner(LayerPlannerSettings settings)
    : m_settings(settings)
    , m_orders(settings.orderLifetime, RefusalBackoff)
{
}

std::uint32_t LayerPlanner::Engine::most(const LayeredModel &model, double room) const
{
    return model.maxLayers(*kind, room);
}

std::vector<LayerPlanner::Engine> LayerPlanner::engines(const FleetSnapshot &fleet,
                                                        const RoutedService &service, Time now)
{
    m_orders.expire(fleet, now);
    const std::set<std::string> replaced = fleet.replaced(service.name);
    std::vector<Engine> found;
    for (const FleetEndpoint &each : fleet.endpoints) {
        const AcceleratorKind *kind = service.model->kind(each.kind);
        if (each.service != service.name || each.draining || !kind || replaced.contains(each.id))
            continue;
        const auto [layers, free] = m_orders.holding(each);
        found.push_back({&each, kind, layers, free});
    }
    return found;
}

std::vector<LayerPlanner::Group> LayerPlanner::groups(const FleetSnapshot &fleet,
                                                      const RoutedService &service, Time now)
{
    std::map<std::string, Group> domains;
    for (Engine &each : engines(fleet, service, now)) {
        Group &group = domains[each.endpoint->domain];
        group.name = each.endpoint->domain;
        group.engines.push_back(each);
    }
    std::vector<Group> groups;
    Group pooled {"pooled", {}};
    for (auto &[name, group] : domains) {
        std::uint32_t layers = 0;
        for (const Engine &each : group.engines)
            layers += each.most(*service.model, BareRoom);
        if (layers >= service.model->layers)
            groups.push_back(std::move(group));
        else
            pooled.engines.insert(pooled.engines.end(), group.engines.begin(), group.engines.end());
    }
    if (!pooled.engines.empty())
        groups.push_back(std::move(pooled));
    return groups;
}

std::vector<std::uint32_t> LayerPlanner::copies(const Group &group, const LayeredModel &model)
{
    std::vector<std::uint32_t> copies(model.layers, 0);
    for (const Engine &each : group.engines)
        addHolder(each.layers, copies);
    return copies;
}

/// What the layers of a group cost as they lie, kept as engines are put and taken away: of
/// a thousand engines each is tried at many places, and one place changes few layers.
class LayerPlanner::Costs
{
public:
    Costs(const Group &group, const LayeredModel &model)
        : m_model(model)
        , m_copies(model.layers, 0)
        , m_streams(model.layers, 0)
    {
        for (const Engine &each : group.engines)
            put(each, each.layers);
    }

    void put(const Engine &engine, LayerRange range) { change(engine, range, 1); }
    void take(const Engine &engine, LayerRange range) { change(engine, range, -1); }

    double all() const
    {
        double cost = 0;
        for (std::uint32_t layer = 0; layer < m_model.layers; ++layer)
            cost += layerCost(m_copies[layer], m_streams[layer]);
        return cost;
    }

    /// The same once \a engine holds \a range too.
    double with(const Engine &engine, LayerRange range)
    {
        put(engine, range);
        const double cost = all();
        take(engine, range);
        return cost;
    }

    /// The range within \a bounds, of \a most layers at most, that saves most when \a engine
    /// holds it too.
    LayerRange best(const Engine &engine, std::uint32_t most, LayerRange bounds) const
    {
        LayerRange best;
        double bestChange = 0;
        std::vector<double> changes(m_model.layers + 1, 0); // of the layers before each
        for (std::uint32_t count = 1; count <= most; ++count) {
            const double streams = fits(engine, count);
            for (std::uint32_t layer = 0; layer < m_model.layers; ++layer)
                changes[layer + 1] = changes[layer]
                                     + layerCost(m_copies[layer] + 1, m_streams[layer] + streams)
                                     - layerCost(m_copies[layer], m_streams[layer]);
            for (std::uint32_t begin = bounds.begin; begin + count <= bounds.end; ++begin) {
                const double change = changes[begin + count] - changes[begin];
                if (best.length() > 0 && change >= bestChange)
                    continue;
                best = {begin, begin + count};
                bestChange = change;
            }
        }
        return best;
    }

    const std::vector<std::int64_t> &copies() const { return m_copies; }

private:
    static double layerCost(std::int64_t copies, double streams)
    {
        const double few = copies == 0 ? GapCost : copies == 1 ? SingleCost : 0;
        return few + FullCost / (1 + streams / FullHalved);
    }

    /// Usual requests that \a engine has room for when it holds \a count layers.
    double fits(const Engine &engine, std::uint32_t count) const
    {
        const double usual =
            std::max(1U, m_model.typicalPromptTokens + m_model.typicalAnswerTokens);
        return m_model.kvCapacity(*engine.kind, count) / count / usual
               * std::min(1.0, ReferencePace / engine.kind->stepFactor);
    }

    void change(const Engine &engine, LayerRange range, int sign)
    {
        const std::uint32_t end = std::min(range.end, m_model.layers);
        if (end <= range.begin)
            return;
        const double streams = fits(engine, range.length());
        for (std::uint32_t layer = range.begin; layer < end; ++layer) {
            m_copies[layer] += sign;
            m_streams[layer] = m_copies[layer] == 0 ? 0 : m_streams[layer] + sign * streams;
        }
    }

    const LayeredModel &m_model;
    std::vector<std::int64_t> m_copies;
    std::vector<double> m_streams; ///< usual requests that their holders have room for
};

namespace {

/// Splits \a layers in proportion to \a sizes, none above its \a most; empty
/// when they do not fit.
std::vector<std::uint32_t> split(std::uint32_t layers, const std::vector<double> &sizes,
                                 const std::vector<std::uint32_t> &most)
{
    const double total = std::accumulate(sizes.begin(), sizes.end(), 0.0);
    if (std::accumulate(most.begin(), most.end(), 0U) < layers || total <= 0)
        return {};
    std::vector<std::uint32_t> counts(sizes.size());
    std::uint32_t given = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        counts[i] =
            std::min(most[i], static_cast<std::uint32_t>(std::floor(layers * sizes[i] / total)));
        given += counts[i];
    }
    for (; given < layers; ++given) {
        // The next layer goes where the room for requests stays largest.
        std::size_t best = sizes.size();
        for (std::size_t i = 0; i < sizes.size(); ++i)
            if (counts[i] < most[i]
                && (best == sizes.size()
                    || (counts[i] + 1) / sizes[i] < (counts[best] + 1) / sizes[best]))
                best = i;
        counts[best] += 1;
    }
    return counts;
}

} // namespace

std::vector<LayerOrder> LayerPlanner::tile(Group &group, const LayeredModel &model,
                                           const LayerPlannerSettings &settings,
                                           std::string_view reason)
{
    std::vector<Engine *> engines;
    engines.reserve(group.engines.size());
    for (Engine &each : group.engines)
        engines.push_back(&each);
    // Fast engines together: a path is as slow as the sum of its parts, and the
    // fast path then carries most requests.
    std::stable_sort(engines.begin(), engines.end(), [](const Engine *left, const Engine *right) {
        return std::tie(left->kind->stepFactor, left->layers.begin, left->endpoint->id)
               < std::tie(right->kind->stepFactor, right->layers.begin, right->endpoint->id);
    });
    std::vector<std::vector<Engine *>> covers =
        splitIntoReplicas(engines, model.layers * model.layerMegabytes, settings);
    std::vector<LayerOrder> orders;
    for (const std::vector<Engine *> &cover : covers)
        assignLayers(cover, model, covers.size() == 1 ? BareRoom : settings.minEngineHeadroom,
                     reason, orders);
    return orders;
}

/// Engines, fastest first, cut into covers that keep room for requests. What is
/// left over and cannot hold the model stays out, to double single layers.
std::vector<std::vector<LayerPlanner::Engine *>>
LayerPlanner::splitIntoReplicas(const std::vector<Engine *> &engines, double whole,
                                const LayerPlannerSettings &settings)
{
    std::vector<std::vector<Engine *>> covers;
    std::vector<Engine *> cover;
    double held = 0;
    for (Engine *each : engines) {
        cover.push_back(each);
        held += each->kind->memoryMegabytes;
        if (held < whole * (1 + settings.replicaHeadroom))
            continue;
        covers.push_back(std::move(cover));
        cover.clear();
        held = 0;
    }
    if (!cover.empty() && (covers.empty() || held >= whole * (1 + settings.minReplicaHeadroom)))
        covers.push_back(std::move(cover));
    return covers;
}

void LayerPlanner::assignLayers(const std::vector<Engine *> &cover, const LayeredModel &model,
                                double room, std::string_view reason,
                                std::vector<LayerOrder> &orders)
{
    std::vector<double> sizes;
    std::vector<std::uint32_t> most;
    for (const Engine *each : cover) {
        sizes.push_back(each->kind->memoryMegabytes);
        most.push_back(each->most(model, room));
    }
    const std::vector<std::uint32_t> counts = split(model.layers, sizes, most);
    std::uint32_t next = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const LayerRange range {next, next + counts[i]};
        next = range.end;
        cover[i]->layers = range;
        if (counts[i] > 0 && cover[i]->endpoint->layers != range && cover[i]->movable)
            orders.push_back(layerOrder(*cover[i]->endpoint, range, reason));
    }
}

void LayerPlanner::placeFree(Group &group, const LayeredModel &model,
                             std::vector<LayerOrder> &orders)
{
    std::vector<Engine *> free;
    for (Engine &each : group.engines)
        if (each.movable && each.layers.length() == 0)
            free.push_back(&each);
    std::sort(free.begin(), free.end(), [](const Engine *left, const Engine *right) {
        return std::tie(right->kind->memoryMegabytes, left->endpoint->id)
               < std::tie(left->kind->memoryMegabytes, right->endpoint->id);
    });
    Costs costs(group, model);
    for (Engine *each : free) {
        const std::uint32_t most = each->most(model, m_settings.emptyEngineHeadroom);
        if (most == 0)
            continue;
        const LayerRange best = costs.best(*each, most, {0, model.layers});
        each->layers = best;
        costs.put(*each, best);
        orders.push_back(layerOrder(*each->endpoint, best, "an engine that holds nothing"));
    }
}

bool LayerPlanner::bestMove(Group &group, const LayeredModel &model, double minGain,
                            std::vector<LayerOrder> &orders, std::string_view reason)
{
    Costs costs(group, model);
    Engine *mover = nullptr;
    LayerRange target;
    double bestCost = costs.all() - minGain;
    for (Engine &each : group.engines) {
        if (!each.movable)
            continue;
        const LayerRange held = each.layers;
        costs.take(each, held);
        const std::vector<std::int64_t> &others = costs.copies();
        const std::uint32_t most = each.most(model, m_settings.minEngineHeadroom);
        const std::uint32_t usual = each.most(model, m_settings.emptyEngineHeadroom);
        const auto consider = [&](LayerRange range) {
            for (std::uint32_t layer = held.begin; layer < held.end; ++layer)
                if (others[layer] == 0 && (layer < range.begin || layer >= range.end))
                    return;
            const double loads = range.length() - overlap(range, held);
            const double now = costs.with(each, range) + LoadCost * loads;
            if (now >= bestCost)
                return;
            bestCost = now;
            mover = &each;
            target = range;
        };
        for (std::uint32_t begin = 0; usual > 0 && begin + usual <= model.layers; ++begin)
            consider({begin, begin + usual});
        // Grown over a gap that others have closed since, it has little room for requests.
        if (held.length() > 1)
            consider(costs.best(each, held.length() - 1, held));
        for (std::uint32_t more = 1; held.length() + more <= most; ++more) {
            if (held.begin >= more)
                consider({held.begin - more, held.end});
            if (held.end + more <= model.layers)
                consider({held.begin, held.end + more});
        }
        costs.put(each, held);
    }
    if (!mover)
        return false;
    mover->layers = target;
    mover->movable = false;
    orders.push_back(layerOrder(*mover->endpoint, target, reason));
    return true;
}

bool LayerPlanner::additionsCanClose(const Group &group, const LayeredModel &model) const
{
    std::vector<GapFiller::Engine> engines;
    for (const Engine &each : group.engines)
        engines.push_back({each.endpoint, each.layers,
                           each.most(model, m_settings.minEngineHeadroom), each.movable});
    return GapFiller::canCloseAllGaps(std::move(engines), model.layers);
}

/// Whether an engine that holds nothing carries out an order that was not given here.
/// What it is to hold is not told; moved over its gap as well, other engines give up
/// layers that are needed.
bool LayerPlanner::filledByOthers(const Group &group, Watch &watch, Time now) const
{
    const bool fill =
        std::any_of(group.engines.begin(), group.engines.end(),
                    [](const Engine &each) { return !each.movable && each.layers.length() == 0; });
    if (!fill)
        watch.filledSince.reset();
    else if (!watch.filledSince)
        watch.filledSince = now;
    return fill && now - *watch.filledSince < m_settings.replanAfter;
}

void LayerPlanner::mend(Group &group, const LayeredModel &model, Watch &watch, Time now,
                        std::vector<LayerOrder> &orders)
{
    const auto least = [&] {
        const std::vector<std::uint32_t> counts = copies(group, model);
        return counts.empty() ? 0 : *std::min_element(counts.begin(), counts.end());
    };
    const bool filled = filledByOthers(group, watch, now);
    if (least() > 0) {
        watch.gapSince.reset();
    } else if (filled) {
        return;
    } else if (!watch.gapSince) {
        watch.gapSince = now;
    } else if (now - *watch.gapSince >= (additionsCanClose(group, model) ? m_settings.additionDelay
                                                                         : m_settings.gapDelay)) {
        for (int moves = 0; moves < MostMoves && least() == 0; ++moves)
            if (!bestMove(group, model, GapCost / 2, orders, "nobody holds these layers"))
                break;
        if (least() == 0 && now - *watch.gapSince >= m_settings.replanAfter) {
            const bool waits = std::any_of(group.engines.begin(), group.engines.end(),
                                           [](const Engine &each) { return !each.movable; });
            if (!waits)
                orders = tile(group, model, m_settings, "the model no longer fits as it lies");
        }
    }
    if (watch.movedAt == Time {})
        watch.movedAt = now;
    if (now - watch.movedAt < m_settings.moveInterval || least() == 0)
        return;
    watch.movedAt = now;
    bestMove(group, model, m_settings.minGain, orders, "few copies or little room here");
}

std::vector<LayerOrder> LayerPlanner::plan(const FleetSnapshot &fleet, const RoutedService &service,
                                           Time now)
{
    std::vector<LayerOrder> orders;
    if (!service.model || service.model->layers == 0)
        return orders;
    for (Group &group : groups(fleet, service, now)) {
        Watch &watch = m_watches[service.name + "/" + group.name];
        if (watch.engines != group.engines.size()) {
            watch.engines = group.engines.size();
            watch.changedAt = now;
        }
        const bool empty =
            std::all_of(group.engines.begin(), group.engines.end(),
                        [](const Engine &each) { return each.layers.length() == 0; });
        std::vector<LayerOrder> wanted;
        if (empty) {
            if (now - watch.changedAt >= m_settings.startupDelay)
                wanted = tile(group, *service.model, m_settings, "no engine holds anything yet");
            if (!wanted.empty())
                placeFree(group, *service.model, wanted);
        } else {
            placeFree(group, *service.model, wanted);
            mend(group, *service.model, watch, now, wanted);
        }
        orders.insert(orders.end(), wanted.begin(), wanted.end());
    }
    return orders;
}

} // namespace balsamloft
