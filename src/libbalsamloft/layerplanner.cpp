#include <balsamloft/layerplanner.h>

#include <balsamloft/coverage.h>
#include <balsamloft/gapfiller.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace balsamloft {

namespace {

constexpr double GapCost = 1000; ///< of a layer without a holder
constexpr double SingleHolderCost = 6; ///< of a layer with one holder
/// Cost of a layer whose holders have no KV capacity; falls as their capacity grows.
constexpr double NoCapacityCost = 100;
/// The cost for a lack of KV capacity is halved if the holders can serve this many requests at
/// once.
constexpr double HalfCostRequests = 8;
/// Cost of loading one layer: time, and load on the weight store.
constexpr double LayerLoadCost = 0.4;
/// Share of each engine's memory kept for requests if the domain can't hold the model with
/// more.
constexpr double FallbackHeadroom = 0.02;
/// Kinds with a step factor above this one count as serving fewer requests with the same KV
/// capacity, because each request stays longer.
constexpr double ReferenceStepFactor = 6;
constexpr int MaxMoves = 12; ///< in one call, to close gaps
/// How long an engine that refused an order gets no other one.
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

std::uint32_t LayerPlanner::Engine::maxLayers(const LayeredModel &model, double headroom) const
{
    return model.maxLayers(*kind, headroom);
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
        const auto [layers, available] = m_orders.holding(each);
        found.push_back({&each, kind, layers, available});
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
            layers += each.maxLayers(*service.model, FallbackHeadroom);
        if (layers >= service.model->layers)
            groups.push_back(std::move(group));
        else
            pooled.engines.insert(pooled.engines.end(), group.engines.begin(), group.engines.end());
    }
    if (!pooled.engines.empty())
        groups.push_back(std::move(pooled));
    return groups;
}

std::vector<std::uint32_t> LayerPlanner::holderCounts(const Group &group, const LayeredModel &model)
{
    std::vector<std::uint32_t> holderCounts(model.layers, 0);
    for (const Engine &each : group.engines)
        addHolder(each.layers, holderCounts);
    return holderCounts;
}

/// Cost of a group's current layer assignment. Updated incrementally as engines are added and
/// removed, because each of up to a thousand engines is tried with many ranges, and each range
/// changes few layers.
class LayerPlanner::Costs
{
public:
    Costs(const Group &group, const LayeredModel &model)
        : m_model(model)
        , m_holders(model.layers, 0)
        , m_requests(model.layers, 0)
    {
        for (const Engine &each : group.engines)
            add(each, each.layers);
    }

    void add(const Engine &engine, LayerRange range) { change(engine, range, 1); }
    void remove(const Engine &engine, LayerRange range) { change(engine, range, -1); }

    double total() const
    {
        double cost = 0;
        for (std::uint32_t layer = 0; layer < m_model.layers; ++layer)
            cost += layerCost(m_holders[layer], m_requests[layer]);
        return cost;
    }

    /// The total cost if \a engine holds \a range too.
    double totalWith(const Engine &engine, LayerRange range)
    {
        add(engine, range);
        const double cost = total();
        remove(engine, range);
        return cost;
    }

    /// The range within \a bounds, of at most \a maxLayers layers, that lowers the cost most if
    /// \a engine holds it too.
    LayerRange bestRange(const Engine &engine, std::uint32_t maxLayers, LayerRange bounds) const
    {
        LayerRange best;
        double bestChange = 0;
        std::vector<double> changes(m_model.layers + 1, 0); // sums over the layers before each
        for (std::uint32_t count = 1; count <= maxLayers; ++count) {
            const double requests = requestCapacity(engine, count);
            for (std::uint32_t layer = 0; layer < m_model.layers; ++layer)
                changes[layer + 1] = changes[layer]
                                     + layerCost(m_holders[layer] + 1, m_requests[layer] + requests)
                                     - layerCost(m_holders[layer], m_requests[layer]);
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

    const std::vector<std::int64_t> &holders() const { return m_holders; }

private:
    static double layerCost(std::int64_t holders, double requests)
    {
        const double coverageCost = holders == 0 ? GapCost : holders == 1 ? SingleHolderCost : 0;
        return coverageCost + NoCapacityCost / (1 + requests / HalfCostRequests);
    }

    /// Concurrent requests of typical size that \a engine can serve with \a count layers.
    double requestCapacity(const Engine &engine, std::uint32_t count) const
    {
        const double requestTokens =
            std::max(1U, m_model.typicalPromptTokens + m_model.typicalAnswerTokens);
        return m_model.kvCapacity(*engine.kind, count) / count / requestTokens
               * std::min(1.0, ReferenceStepFactor / engine.kind->stepFactor);
    }

    void change(const Engine &engine, LayerRange range, int sign)
    {
        const std::uint32_t end = std::min(range.end, m_model.layers);
        if (end <= range.begin)
            return;
        const double requests = requestCapacity(engine, range.length());
        for (std::uint32_t layer = range.begin; layer < end; ++layer) {
            m_holders[layer] += sign;
            m_requests[layer] = m_holders[layer] == 0 ? 0 : m_requests[layer] + sign * requests;
        }
    }

    const LayeredModel &m_model;
    std::vector<std::int64_t> m_holders; ///< by layer
    std::vector<double> m_requests; ///< by layer: typical requests that its holders can serve
};

namespace {

/// Splits \a layers in proportion to \a sizes, each part at most as large as its element of
/// \a maxLayers. Empty if the layers don't fit.
std::vector<std::uint32_t> split(std::uint32_t layers, const std::vector<double> &sizes,
                                 const std::vector<std::uint32_t> &maxLayers)
{
    const double total = std::accumulate(sizes.begin(), sizes.end(), 0.0);
    if (std::accumulate(maxLayers.begin(), maxLayers.end(), 0U) < layers || total <= 0)
        return {};
    std::vector<std::uint32_t> counts(sizes.size());
    std::uint32_t assigned = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        counts[i] = std::min(maxLayers[i],
                             static_cast<std::uint32_t>(std::floor(layers * sizes[i] / total)));
        assigned += counts[i];
    }
    for (; assigned < layers; ++assigned) {
        // The next layer goes to the part that then has the fewest layers per unit of size.
        std::size_t best = sizes.size();
        for (std::size_t i = 0; i < sizes.size(); ++i)
            if (counts[i] < maxLayers[i]
                && (best == sizes.size()
                    || (counts[i] + 1) / sizes[i] < (counts[best] + 1) / sizes[best]))
                best = i;
        counts[best] += 1;
    }
    return counts;
}

} // namespace

/// Assigns the model's layers to the group's engines regardless of what they hold.
std::vector<LayerOrder> LayerPlanner::planFromScratch(Group &group, const LayeredModel &model,
                                                      const LayerPlannerSettings &settings,
                                                      std::string_view reason)
{
    std::vector<Engine *> engines;
    engines.reserve(group.engines.size());
    for (Engine &each : group.engines)
        engines.push_back(&each);
    // Engines of similar speed form a replica. The time of a path is the sum of its parts, so
    // this gives fast paths, which then carry most requests.
    std::stable_sort(engines.begin(), engines.end(), [](const Engine *left, const Engine *right) {
        return std::tie(left->kind->stepFactor, left->layers.begin, left->endpoint->id)
               < std::tie(right->kind->stepFactor, right->layers.begin, right->endpoint->id);
    });
    std::vector<std::vector<Engine *>> replicas =
        splitIntoReplicas(engines, model.layers * model.layerMegabytes, settings);
    std::vector<LayerOrder> orders;
    for (const std::vector<Engine *> &replica : replicas)
        assignLayers(replica, model,
                     replicas.size() == 1 ? FallbackHeadroom : settings.minEngineHeadroom, reason,
                     orders);
    return orders;
}

/// Splits \a engines, sorted by speed, into replicas with headroom for requests. Remaining engines
/// that can't hold the model form no replica; they get layers later, as additional holders. If no
/// other replica was formed, they form one nevertheless.
std::vector<std::vector<LayerPlanner::Engine *>>
LayerPlanner::splitIntoReplicas(const std::vector<Engine *> &engines, double modelMegabytes,
                                const LayerPlannerSettings &settings)
{
    std::vector<std::vector<Engine *>> replicas;
    std::vector<Engine *> replica;
    double held = 0;
    for (Engine *each : engines) {
        replica.push_back(each);
        held += each->kind->memoryMegabytes;
        if (held < modelMegabytes * (1 + settings.replicaHeadroom))
            continue;
        replicas.push_back(std::move(replica));
        replica.clear();
        held = 0;
    }
    if (!replica.empty()
        && (replicas.empty() || held >= modelMegabytes * (1 + settings.minReplicaHeadroom)))
        replicas.push_back(std::move(replica));
    return replicas;
}

void LayerPlanner::assignLayers(const std::vector<Engine *> &replica, const LayeredModel &model,
                                double headroom, std::string_view reason,
                                std::vector<LayerOrder> &orders)
{
    std::vector<double> sizes;
    std::vector<std::uint32_t> maxLayers;
    for (const Engine *each : replica) {
        sizes.push_back(each->kind->memoryMegabytes);
        maxLayers.push_back(each->maxLayers(model, headroom));
    }
    const std::vector<std::uint32_t> counts = split(model.layers, sizes, maxLayers);
    std::uint32_t next = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const LayerRange range {next, next + counts[i]};
        next = range.end;
        replica[i]->layers = range;
        if (counts[i] > 0 && replica[i]->endpoint->layers != range && replica[i]->movable)
            orders.push_back(layerOrder(*replica[i]->endpoint, range, reason));
    }
}

/// Assigns the range that lowers the cost most to each empty engine, largest engines first.
void LayerPlanner::placeEmptyEngines(Group &group, const LayeredModel &model,
                                     std::vector<LayerOrder> &orders)
{
    std::vector<Engine *> emptyEngines;
    for (Engine &each : group.engines)
        if (each.movable && each.layers.length() == 0)
            emptyEngines.push_back(&each);
    std::sort(emptyEngines.begin(), emptyEngines.end(),
              [](const Engine *left, const Engine *right) {
                  return std::tie(right->kind->memoryMegabytes, left->endpoint->id)
                         < std::tie(left->kind->memoryMegabytes, right->endpoint->id);
              });
    Costs costs(group, model);
    for (Engine *each : emptyEngines) {
        const std::uint32_t maxLayers = each->maxLayers(model, m_settings.emptyEngineHeadroom);
        if (maxLayers == 0)
            continue;
        const LayerRange best = costs.bestRange(*each, maxLayers, {0, model.layers});
        each->layers = best;
        costs.add(*each, best);
        orders.push_back(layerOrder(*each->endpoint, best, "the engine is empty"));
    }
}

/// Orders the move that lowers the cost most, if it does so by at least \a minGain.
bool LayerPlanner::makeBestMove(Group &group, const LayeredModel &model, double minGain,
                                std::vector<LayerOrder> &orders, std::string_view reason)
{
    Costs costs(group, model);
    Engine *mover = nullptr;
    LayerRange target;
    double bestCost = costs.total() - minGain;
    for (Engine &each : group.engines) {
        if (!each.movable)
            continue;
        const LayerRange held = each.layers;
        costs.remove(each, held);
        const std::vector<std::int64_t> &otherHolders = costs.holders();
        const std::uint32_t maxLayers = each.maxLayers(model, m_settings.minEngineHeadroom);
        const std::uint32_t preferredLayers = each.maxLayers(model, m_settings.emptyEngineHeadroom);
        const auto consider = [&](LayerRange range) {
            for (std::uint32_t layer = held.begin; layer < held.end; ++layer)
                if (otherHolders[layer] == 0 && (layer < range.begin || layer >= range.end))
                    return;
            const double layersToLoad = range.length() - overlap(range, held);
            const double cost = costs.totalWith(each, range) + LayerLoadCost * layersToLoad;
            if (cost >= bestCost)
                return;
            bestCost = cost;
            mover = &each;
            target = range;
        };
        for (std::uint32_t begin = 0;
             preferredLayers > 0 && begin + preferredLayers <= model.layers; ++begin)
            consider({begin, begin + preferredLayers});
        // An engine that was extended over a gap has little KV capacity left. If other engines
        // hold those layers by now, it may release them.
        if (held.length() > 1)
            consider(costs.bestRange(each, held.length() - 1, held));
        for (std::uint32_t extra = 1; held.length() + extra <= maxLayers; ++extra) {
            if (held.begin >= extra)
                consider({held.begin - extra, held.end});
            if (held.end + extra <= model.layers)
                consider({held.begin, held.end + extra});
        }
        costs.add(each, held);
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
                           each.maxLayers(model, m_settings.minEngineHeadroom), each.movable});
    return GapFiller::canCloseAllGaps(std::move(engines), model.layers);
}

/// Whether an empty engine has been carrying out another instance's order for less than
/// replanAfter. This planner does not know which layers the engine will hold. If the planner moved
/// other engines over the same gap, they would release layers that are needed.
bool LayerPlanner::filledByOthers(const Group &group, GroupHistory &history, Time now) const
{
    const bool filling =
        std::any_of(group.engines.begin(), group.engines.end(),
                    [](const Engine &each) { return !each.movable && each.layers.length() == 0; });
    if (!filling)
        history.filledSince.reset();
    else if (!history.filledSince)
        history.filledSince = now;
    return filling && now - *history.filledSince < m_settings.replanAfter;
}

/// Closes gaps once their delay is over. Without gaps, orders a move that lowers the cost once
/// in each moveInterval.
void LayerPlanner::repair(Group &group, const LayeredModel &model, GroupHistory &history, Time now,
                          std::vector<LayerOrder> &orders)
{
    const auto minHolders = [&] {
        const std::vector<std::uint32_t> counts = holderCounts(group, model);
        return counts.empty() ? 0 : *std::min_element(counts.begin(), counts.end());
    };
    const bool filled = filledByOthers(group, history, now);
    if (minHolders() > 0) {
        history.gapSince.reset();
    } else if (filled) {
        return;
    } else if (!history.gapSince) {
        history.gapSince = now;
    } else if (now - *history.gapSince >= (additionsCanClose(group, model)
                                               ? m_settings.additionDelay
                                               : m_settings.gapDelay)) {
        for (int moves = 0; moves < MaxMoves && minHolders() == 0; ++moves)
            if (!makeBestMove(group, model, GapCost / 2, orders, "layers without a holder"))
                break;
        if (minHolders() == 0 && now - *history.gapSince >= m_settings.replanAfter) {
            const bool waiting = std::any_of(group.engines.begin(), group.engines.end(),
                                             [](const Engine &each) { return !each.movable; });
            if (!waiting)
                orders =
                    planFromScratch(group, model, m_settings, "moves did not close a coverage gap");
        }
    }
    if (history.lastMoveAt == Time {})
        history.lastMoveAt = now;
    if (now - history.lastMoveAt < m_settings.moveInterval || minHolders() == 0)
        return;
    history.lastMoveAt = now;
    makeBestMove(group, model, m_settings.minGain, orders,
                 "layers with few holders or little KV capacity");
}

std::vector<LayerOrder> LayerPlanner::plan(const FleetSnapshot &fleet, const RoutedService &service,
                                           Time now)
{
    std::vector<LayerOrder> orders;
    if (!service.model || service.model->layers == 0)
        return orders;
    for (Group &group : groups(fleet, service, now)) {
        GroupHistory &history = m_histories[service.name + "/" + group.name];
        if (history.engines != group.engines.size()) {
            history.engines = group.engines.size();
            history.changedAt = now;
        }
        const bool empty =
            std::all_of(group.engines.begin(), group.engines.end(),
                        [](const Engine &each) { return each.layers.length() == 0; });
        std::vector<LayerOrder> wanted;
        if (empty) {
            if (now - history.changedAt >= m_settings.startupDelay)
                wanted = planFromScratch(group, *service.model, m_settings,
                                         "no engine holds layers yet");
            if (!wanted.empty())
                placeEmptyEngines(group, *service.model, wanted);
        } else {
            placeEmptyEngines(group, *service.model, wanted);
            repair(group, *service.model, history, now, wanted);
        }
        orders.insert(orders.end(), wanted.begin(), wanted.end());
    }
    return orders;
}

} // namespace balsamloft
