/// \file
/// Which models the free engines of a failure domain hold.

#pragma once

#include <balsamloft/config.h>

#include <optional>
#include <span>
#include <vector>

namespace balsamloft {

/// What an engine holds, or is to hold.
struct Assignment
{
    std::string engine;
    std::string model; ///< empty: nothing
    std::string version;
    LayerRange layers;
    std::string replica; ///< engines of one replica cover all layers together

    bool operator==(const Assignment &) const = default;
};

/// An engine whose model placement decides.
struct PlacementEngine
{
    std::string name;
    double memoryGigabytes = 0;
    double speed = 1;
    bool usable = true; ///< not leaving, not gone
};

/// A model and what is asked of it.
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
    double tokensPerSpeed = 100; ///< tokens per second of a whole-model engine of speed 1
    double scaleUpAbove = 0.8; ///< of the rate of the replicas held
    double scaleDownBelow = 0.3;
    Duration scaleDownDelay {300'000'000}; ///< low demand must last this long
    Duration scaleToZeroDelay {900'000'000};
    std::uint32_t maxConcurrentLoads = 2; ///< at a time: the weight store is rate-limited
};

/// Why a step is taken, for `explain`.
struct PlacementStep
{
    std::vector<Assignment> assignments; ///< of one replica; no model: unload
    std::string reason;
};

/// Plans one step at a time from what is held now. Deterministic.
class Placement
{
public:
    explicit Placement(PlacementSettings settings = {});

    /// Returns the steps to take now. \a current holds what each engine holds
    /// or is loading; \a loading counts the loads under way.
    std::vector<PlacementStep> plan(std::span<const PlacementEngine> engines,
                                    std::span<const PlacementModel> models,
                                    std::span<const Assignment> current, std::uint32_t loading,
                                    Time now);

    /// Splits \a model over \a engines so that the slowest stage is as fast as
    /// can be and each part fits its memory. Nothing when it does not fit.
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
        bool whole = true; ///< all engines usable, all layers covered, version right
    };

    std::vector<Replica> replicasOf(const PlacementModel &model,
                                    std::span<const PlacementEngine> engines,
                                    std::span<const Assignment> current) const;
    std::optional<PlacementStep> grow(const PlacementModel &model,
                                      std::vector<PlacementEngine> &free, std::string reason);
    static PlacementStep shrink(const Replica &replica, std::string reason);
    double rateOf(const Replica &replica, std::span<const PlacementEngine> engines,
                  std::uint32_t layers) const;

    PlacementSettings m_settings;
    std::map<std::string, ModelState> m_states;
    std::uint64_t m_nextReplica = 1;
};

} // namespace balsamloft
