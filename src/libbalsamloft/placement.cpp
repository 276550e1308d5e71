#include <balsamloft/placement.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace balsamloft {

namespace {

const PlacementEngine *findEngine(std::span<const PlacementEngine> engines, std::string_view name)
{
    const auto it =
        std::find_if(engines.begin(), engines.end(),
                     [&](const PlacementEngine &engine) { return engine.name == name; });
    return it == engines.end() ? nullptr : &*it;
}

/// Most layers of \a model that fit the engine's memory.
std::uint32_t layersThatFit(const PlacementModel &model, const PlacementEngine &engine)
{
    if (model.weightGigabytes <= 0)
        return model.layers;
    const double perLayer = model.weightGigabytes / model.layers;
    return static_cast<std::uint32_t>(
        std::min<double>(model.layers, std::floor(engine.memoryGigabytes / perLayer)));
}

} // namespace

Placement::Placement(PlacementSettings settings)
    : m_settings(settings)
{
}

std::optional<std::vector<Assignment>>
Placement::splitLayers(const PlacementModel &model, std::span<const PlacementEngine> engines,
                       std::string_view replica)
{
    std::vector<std::uint32_t> counts(engines.size(), 0);
    // One layer at a time to the engine whose stage would then be fastest:
    // the slowest stage ends up as fast as the memories allow.
    for (std::uint32_t layer = 0; layer < model.layers; ++layer) {
        std::size_t best = engines.size();
        for (std::size_t i = 0; i < engines.size(); ++i) {
            if (counts[i] >= layersThatFit(model, engines[i]))
                continue;
            if (best == engines.size()
                || (counts[i] + 1) / engines[i].speed < (counts[best] + 1) / engines[best].speed)
                best = i;
        }
        if (best == engines.size())
            return std::nullopt;
        ++counts[best];
    }
    std::vector<Assignment> parts;
    std::uint32_t begin = 0;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        if (counts[i] == 0)
            continue;
        parts.push_back({engines[i].name,
                         model.name,
                         model.version,
                         {begin, begin + counts[i]},
                         std::string(replica)});
        begin += counts[i];
    }
    return parts;
}

double Placement::rateOf(const Replica &replica, std::span<const PlacementEngine> engines,
                         std::uint32_t layers) const
{
    double slowest = 0; // share of the layers, divided by the speed
    for (const Assignment &part : replica.parts) {
        const PlacementEngine *engine = findEngine(engines, part.engine);
        if (!engine || layers == 0)
            return 0;
        const double share = static_cast<double>(part.layers.end - part.layers.begin) / layers;
        slowest = std::max(slowest, share / engine->speed);
    }
    return slowest > 0 ? m_settings.tokensPerSpeed / slowest : 0;
}

std::vector<Placement::Replica> Placement::replicasOf(const PlacementModel &model,
                                                      std::span<const PlacementEngine> engines,
                                                      std::span<const Assignment> current) const
{
    std::map<std::string, Replica> byName;
    for (const Assignment &part : current) {
        if (part.model != model.name)
            continue;
        Replica &replica = byName[part.replica];
        replica.name = part.replica;
        replica.parts.push_back(part);
        const PlacementEngine *engine = findEngine(engines, part.engine);
        replica.whole = replica.whole && engine && engine->usable && part.version == model.version;
    }
    std::vector<Replica> replicas;
    for (auto &[name, replica] : byName) {
        std::sort(replica.parts.begin(), replica.parts.end(),
                  [](const Assignment &a, const Assignment &b) { return a.layers < b.layers; });
        std::uint32_t covered = 0;
        for (const Assignment &part : replica.parts)
            covered = part.layers.begin == covered ? part.layers.end : covered;
        replica.whole = replica.whole && covered == model.layers;
        replica.rate = rateOf(replica, engines, model.layers);
        replicas.push_back(std::move(replica));
    }
    return replicas;
}

std::optional<PlacementStep> Placement::grow(const PlacementModel &model,
                                             std::vector<PlacementEngine> &free, std::string reason)
{
    // The fastest engines first, and as few as hold the model: each further
    // stage adds a hop to every token.
    std::sort(free.begin(), free.end(), [](const PlacementEngine &a, const PlacementEngine &b) {
        return std::pair(-a.speed, a.name) < std::pair(-b.speed, b.name);
    });
    const std::string replica = model.name + "#" + std::to_string(m_nextReplica);
    for (std::size_t count = 1; count <= free.size(); ++count) {
        auto parts = splitLayers(model, std::span(free).first(count), replica);
        if (!parts)
            continue;
        ++m_nextReplica;
        std::erase_if(free, [&](const PlacementEngine &engine) {
            return std::any_of(parts->begin(), parts->end(),
                               [&](const Assignment &part) { return part.engine == engine.name; });
        });
        return PlacementStep {std::move(*parts), std::move(reason)};
    }
    return std::nullopt;
}

PlacementStep Placement::shrink(const Replica &replica, std::string reason)
{
    PlacementStep step;
    step.reason = std::move(reason);
    for (const Assignment &part : replica.parts)
        step.assignments.push_back({part.engine, {}, {}, {}, part.replica});
    return step;
}

std::vector<PlacementStep> Placement::plan(std::span<const PlacementEngine> engines,
                                           std::span<const PlacementModel> models,
                                           std::span<const Assignment> current,
                                           std::uint32_t loading, Time now)
{
    std::vector<PlacementEngine> free;
    for (const PlacementEngine &engine : engines) {
        const bool taken = std::any_of(current.begin(), current.end(), [&](const Assignment &part) {
            return part.engine == engine.name && !part.model.empty();
        });
        if (engine.usable && !taken)
            free.push_back(engine);
    }
    std::vector<PlacementStep> steps;
    // The most wanted first: at a rush the last free engines go to it.
    std::vector<const PlacementModel *> order;
    for (const PlacementModel &model : models)
        order.push_back(&model);
    std::stable_sort(order.begin(), order.end(),
                     [](const auto *a, const auto *b) { return a->demand > b->demand; });
    for (const PlacementModel *model : order) {
        ModelState &state = m_states[model->name];
        const auto replicas = replicasOf(*model, engines, current);
        std::vector<const Replica *> whole;
        const Replica *broken = nullptr;
        double rate = 0;
        for (const Replica &replica : replicas) {
            if (!replica.whole) {
                broken = &replica;
                continue;
            }
            whole.push_back(&replica);
            rate += replica.rate;
        }
        if (model->demand > 0)
            state.idleSince.reset();
        else if (!state.idleSince)
            state.idleSince = now;
        const bool low = whole.size() > 1 && model->demand < m_settings.scaleDownBelow * rate;
        if (!low)
            state.lowSince.reset();
        else if (!state.lowSince)
            state.lowSince = now;

        const bool zeroAllowed = model->scaleToZero && state.idleSince
                                 && now - *state.idleSince >= m_settings.scaleToZeroDelay;
        const bool neverWanted = model->scaleToZero && model->demand <= 0;
        if (broken && (!whole.empty() || zeroAllowed || free.empty())) {
            // Never the last one that works, but a broken one holds engines
            // that could do something.
            steps.push_back(shrink(*broken, model->name + ": a replica is not whole any more"));
        } else if (whole.empty() && !neverWanted) {
            if (loading < m_settings.maxConcurrentLoads) {
                if (auto step = grow(*model, free, model->name + ": no replica yet")) {
                    steps.push_back(std::move(*step));
                    ++loading;
                }
            }
        } else if (!whole.empty() && model->demand > m_settings.scaleUpAbove * rate) {
            if (loading < m_settings.maxConcurrentLoads) {
                if (auto step =
                        grow(*model, free, model->name + ": demand is near the rate held")) {
                    steps.push_back(std::move(*step));
                    ++loading;
                }
            }
        } else if (low && now - *state.lowSince >= m_settings.scaleDownDelay) {
            const Replica *slowest = *std::min_element(
                whole.begin(), whole.end(),
                [](const Replica *a, const Replica *b) { return a->rate < b->rate; });
            // One at a time, and only if the rest is then not itself short:
            // otherwise the next plan would load it again.
            if (model->demand < m_settings.scaleUpAbove * (rate - slowest->rate)) {
                steps.push_back(shrink(*slowest, model->name + ": demand has been low"));
                state.lowSince = now;
            }
        } else if (whole.size() == 1 && zeroAllowed) {
            steps.push_back(shrink(*whole.front(), model->name + ": idle"));
        }
    }
    return steps;
}

} // namespace balsamloft
