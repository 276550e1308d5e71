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

/// Number of layers of \a model that fit the engine's memory.
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
    // Each layer goes to the engine whose stage is fastest with this layer added. This makes the
    // slowest stage as fast as the engines' memory permits.
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

double Placement::tokenRate(const Replica &replica, std::span<const PlacementEngine> engines,
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
        replica.complete =
            replica.complete && engine && engine->usable && part.version == model.version;
    }
    std::vector<Replica> replicas;
    for (auto &[name, replica] : byName) {
        std::sort(replica.parts.begin(), replica.parts.end(),
                  [](const Assignment &a, const Assignment &b) { return a.layers < b.layers; });
        std::uint32_t covered = 0;
        for (const Assignment &part : replica.parts)
            covered = part.layers.begin == covered ? part.layers.end : covered;
        replica.complete = replica.complete && covered == model.layers;
        replica.rate = tokenRate(replica, engines, model.layers);
        replicas.push_back(std::move(replica));
    }
    return replicas;
}

std::optional<PlacementStep> Placement::addReplica(const PlacementModel &model,
                                                   std::vector<PlacementEngine> &freeEngines,
                                                   std::string reason)
{
    // Use the fastest engines, and as few as hold the model, because each stage adds a hop to
    // every token.
    std::sort(freeEngines.begin(), freeEngines.end(),
              [](const PlacementEngine &a, const PlacementEngine &b) {
                  return std::pair(-a.speed, a.name) < std::pair(-b.speed, b.name);
              });
    const std::string replica = model.name + "#" + std::to_string(m_nextReplica);
    for (std::size_t count = 1; count <= freeEngines.size(); ++count) {
        auto parts = splitLayers(model, std::span(freeEngines).first(count), replica);
        if (!parts)
            continue;
        ++m_nextReplica;
        std::erase_if(freeEngines, [&](const PlacementEngine &engine) {
            return std::any_of(parts->begin(), parts->end(),
                               [&](const Assignment &part) { return part.engine == engine.name; });
        });
        return PlacementStep {std::move(*parts), std::move(reason)};
    }
    return std::nullopt;
}

PlacementStep Placement::removeReplica(const Replica &replica, std::string reason)
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
    std::vector<PlacementEngine> freeEngines;
    for (const PlacementEngine &engine : engines) {
        const bool taken = std::any_of(current.begin(), current.end(), [&](const Assignment &part) {
            return part.engine == engine.name && !part.model.empty();
        });
        if (engine.usable && !taken)
            freeEngines.push_back(engine);
    }
    std::vector<PlacementStep> steps;
    // Models with the highest demand get the free engines first.
    std::vector<const PlacementModel *> byDemand;
    for (const PlacementModel &model : models)
        byDemand.push_back(&model);
    std::stable_sort(byDemand.begin(), byDemand.end(),
                     [](const auto *a, const auto *b) { return a->demand > b->demand; });
    for (const PlacementModel *model : byDemand) {
        ModelState &state = m_states[model->name];
        const auto replicas = replicasOf(*model, engines, current);
        std::vector<const Replica *> complete;
        const Replica *incomplete = nullptr;
        double rate = 0;
        for (const Replica &replica : replicas) {
            if (!replica.complete) {
                incomplete = &replica;
                continue;
            }
            complete.push_back(&replica);
            rate += replica.rate;
        }
        if (model->demand > 0)
            state.idleSince.reset();
        else if (!state.idleSince)
            state.idleSince = now;
        const bool lowDemand =
            complete.size() > 1 && model->demand < m_settings.scaleDownBelow * rate;
        if (!lowDemand)
            state.lowSince.reset();
        else if (!state.lowSince)
            state.lowSince = now;

        const bool zeroAllowed = model->scaleToZero && state.idleSince
                                 && now - *state.idleSince >= m_settings.scaleToZeroDelay;
        const bool noneNeeded = model->scaleToZero && model->demand <= 0;
        if (incomplete && (!complete.empty() || zeroAllowed || freeEngines.empty())) {
            // An incomplete replica keeps engines from other use. It is removed only while a
            // complete one exists, the model may have none, or no engine is free.
            steps.push_back(removeReplica(*incomplete, model->name + ": a replica is incomplete"));
        } else if (complete.empty() && !noneNeeded) {
            if (loading < m_settings.maxConcurrentLoads) {
                if (auto step = addReplica(*model, freeEngines, model->name + ": no replica yet")) {
                    steps.push_back(std::move(*step));
                    ++loading;
                }
            }
        } else if (!complete.empty() && model->demand > m_settings.scaleUpAbove * rate) {
            if (loading < m_settings.maxConcurrentLoads) {
                if (auto step =
                        addReplica(*model, freeEngines,
                                   model->name + ": demand is close to the replicas' token rate")) {
                    steps.push_back(std::move(*step));
                    ++loading;
                }
            }
        } else if (lowDemand && now - *state.lowSince >= m_settings.scaleDownDelay) {
            const Replica *slowest = *std::min_element(
                complete.begin(), complete.end(),
                [](const Replica *a, const Replica *b) { return a->rate < b->rate; });
            // Remove one replica at a time, and only if the others have enough capacity.
            // Otherwise the next plan would load it again.
            if (model->demand < m_settings.scaleUpAbove * (rate - slowest->rate)) {
                steps.push_back(removeReplica(*slowest, model->name + ": demand has been low"));
                state.lowSince = now;
            }
        } else if (complete.size() == 1 && zeroAllowed) {
            steps.push_back(removeReplica(*complete.front(), model->name + ": idle"));
        }
    }
    return steps;
}

} // namespace balsamloft
