/// \file
/// Which layers each engine is to hold.

#pragma once

#include <balsamloft/layerorders.h>
#include <balsamloft/routemap.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamloft {

/// Settings of a LayerPlanner.
struct LayerPlannerSettings
{
    double replicaHeadroom = 0.5; ///< memory of a whole copy beyond the model, over the model's
    double minReplicaHeadroom = 0.12; ///< the same for the last copy
    double minEngineHeadroom = 0.06; ///< share of each engine's memory kept for requests
    double emptyEngineHeadroom = 0.15; ///< the same for an engine added to a working plan
    /// No new engine for so long before the first plan. Longer than the time in
    /// which each engine writes itself down once: a plan for the first few of them
    /// puts their copy of the model on whichever came first, slow or fast.
    Duration startupDelay {1'450'000};
    Duration gapDelay {700'000}; ///< how long a gap may mend itself
    /// The same for a gap that additions close (GapFiller), which need no lease:
    /// one is found at once and loads for a second or two. Where additions do not
    /// close the gap, waiting so long earned 0.020 ±0.010 less (29 simulated loads).
    Duration additionDelay {3'000'000};
    /// After so long a gap that no moves close leads to a new plan of the domain.
    /// It moves many engines at once, and each of them serves nothing meanwhile:
    /// one that came 0.5 s after the first moves kept a domain without a path for
    /// 9 s (traced run); moves take up to 4 s.
    Duration replanAfter {6'000'000};
    Duration moveInterval {2'500'000}; ///< between two moves that mend no gap
    Duration orderLifetime {13'000'000}; ///< an order without an answer may act for so long
    double minGain = 120; ///< of a move that mends no gap
};

/// Decides which engines hold which layers, from what they hold now: it keeps
/// no plan of its own, so another instance can go on at any moment. Time is an
/// argument; nothing is sent here.
class LayerPlanner
{
public:
    explicit LayerPlanner(LayerPlannerSettings settings = {});

    // Commands

    /// The orders to give now for the engines of \a service.
    std::vector<LayerOrder> plan(const FleetSnapshot &fleet, const RoutedService &service,
                                 Time now);

    /// The engine took the order, or may have taken it.
    void orderSent(const LayerOrder &order, Time now) { m_orders.orderSent(order, now); }

    /// The engine did not take the order.
    void orderRefused(const std::string &endpoint, Time now)
    {
        m_orders.orderRefused(endpoint, now);
    }

private:
    /// An engine as the plan sees it.
    struct Engine
    {
        const FleetEndpoint *endpoint = nullptr;
        const AcceleratorKind *kind = nullptr;
        LayerRange layers; ///< held, or ordered
        bool movable = true;

        std::uint32_t most(const LayeredModel &model, double room) const;
    };

    /// Engines that together are to hold the model: a domain's, or those of
    /// several domains that are too small alone.
    struct Group
    {
        std::string name;
        std::vector<Engine> engines;
    };

    class Costs;

    /// What was seen of a group, to wait before acting.
    struct Watch
    {
        std::size_t engines = 0;
        Time changedAt {};
        std::optional<Time> gapSince;
        std::optional<Time> filledSince; ///< by others, with an engine that held nothing
        Time movedAt {};
    };

    std::vector<Group> groups(const FleetSnapshot &fleet, const RoutedService &service, Time now);
    std::vector<Engine> engines(const FleetSnapshot &fleet, const RoutedService &service, Time now);
    static std::vector<LayerOrder> tile(Group &group, const LayeredModel &model,
                                        const LayerPlannerSettings &settings,
                                        std::string_view reason);
    static std::vector<std::vector<Engine *>>
    splitIntoReplicas(const std::vector<Engine *> &engines, double whole,
                      const LayerPlannerSettings &settings);
    static void assignLayers(const std::vector<Engine *> &cover, const LayeredModel &model,
                             double room, std::string_view reason, std::vector<LayerOrder> &orders);
    void placeFree(Group &group, const LayeredModel &model, std::vector<LayerOrder> &orders);
    bool additionsCanClose(const Group &group, const LayeredModel &model) const;
    bool filledByOthers(const Group &group, Watch &watch, Time now) const;
    void mend(Group &group, const LayeredModel &model, Watch &watch, Time now,
              std::vector<LayerOrder> &orders);
    bool bestMove(Group &group, const LayeredModel &model, double minGain,
                  std::vector<LayerOrder> &orders, std::string_view reason);
    static std::vector<std::uint32_t> copies(const Group &group, const LayeredModel &model);

    LayerPlannerSettings m_settings;
    PendingOrders m_orders;
    std::map<std::string, Watch, std::less<>> m_watches;
};

} // namespace balsamloft
