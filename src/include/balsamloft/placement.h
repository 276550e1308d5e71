/// \file
/// Decides which models the engines of a failure domain hold.

#pragma once

#include <balsamloft/config.h>

#include <optional>
#include <span>
#include <vector>

namespace balsamloft {

/// The model and layers that an engine holds or is to hold.
struct Assignment
{
    std::string engine;
    std::string model; ///< empty: none
    std::string version;
    LayerRange layers;
    std::string replica; ///< engines of one replica hold all layers together

    bool operator==(const Assignment &) const = default;
};

/// An engine to which Placement assigns models.
struct PlacementEngine
{
    std::string name;
    double memoryGigabytes = 0;
    double speed = 1;
    bool usable = true; ///< false if it is lost or about to unload
};

/// A model and the demand for it.
struct PlacementModel
{
    std::string name;
    std::string version;
    std::uint32_t layers = 0;
    double weightGigabytes = 0;
    bool scaleToZero = false;
    double demand = 0; ///< tokens per second
};

/// Settings of a Placement.
struct PlacementSettings
{
    double tokensPerSpeed = 100; ///< tokens per second of an engine of speed 1 with all layers
    double scaleUpAbove = 0.8; ///< demand over the replicas' token rate, to add a replica
    double scaleDownBelow = 0.3; ///< demand over the replicas' token rate, to remove a replica
    Duration scaleDownDelay {300'000'000}; ///< of low demand, before a replica is removed
    Duration scaleToZeroDelay {900'000'000}; ///< without demand, before the last one is removed
    std::uint32_t maxConcurrentLoads = 2; ///< the weight store is rate-limited
};

/// Loads or unloads one replica.
struct PlacementStep
{
    std::vector<Assignment> assignments; ///< engines without a model unload it
    std::string reason; ///< shown to operators
};

/// Plans the next steps from the current assignments. Deterministic.
class Placement
{
public:
    explicit Placement(PlacementSettings settings = {});

    /// Returns the steps to take now. \a current: what each engine holds or is loading.
    /// \a loading: number of loads in progress.
    std::vector<PlacementStep> plan(std::span<const PlacementEngine> engines,
                                    std::span<const PlacementModel> models,
                                    std::span<const Assignment> current, std::uint32_t loading,
                                    Time now);

    /// Splits \a model over \a engines so that each part fits its engine's memory and the
    /// slowest stage is as fast as possible. Returns nothing if the model does not fit.
    static std::optional<std::vector<Assignment>>
    splitLayers(const PlacementModel &model, std::span<const PlacementEngine> engines,
                std::string_view replica);

private:
    struct ModelState
    {
        std::optional<Time> lowSince;
        std::optional<Time> idleSince;
    };
    struct Replica
    {
        std::string name;
        std::vector<Assignment> parts;
        double rate = 0;
        bool complete = true; ///< all engines usable, all layers held, current version
    };

    std::vector<Replica> replicasOf(const PlacementModel &model,
                                    std::span<const PlacementEngine> engines,
                                    std::span<const Assignment> current) const;
    std::optional<PlacementStep> addReplica(const PlacementModel &model,
                                            std::vector<PlacementEngine> &freeEngines,
                                            std::string reason);
    static PlacementStep removeReplica(const Replica &replica, std::string reason);
    double tokenRate(const Replica &replica, std::span<const PlacementEngine> engines,
                     std::uint32_t layers) const;

    PlacementSettings m_settings;
    std::map<std::string, ModelState> m_states;
    std::uint64_t m_nextReplica = 1;
};

} // namespace balsamloft
