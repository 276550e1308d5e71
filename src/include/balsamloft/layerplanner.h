/// \file
/// Decides which layers each engine is to hold.

#pragma once

#include <balsamloft/layerorders.h>
#include <balsamloft/routemap.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamloft {

/// Headroom, delays and thresholds of a LayerPlanner.
struct LayerPlannerSettings
{
    /// Memory that a replica's engines have beyond the model's size, as a share of that size.
    double replicaHeadroom = 0.5;
    double minReplicaHeadroom = 0.12; ///< the same for the last replica
    double minEngineHeadroom = 0.06; ///< share of each engine's memory kept for requests
    double emptyEngineHeadroom = 0.15; ///< the same for an empty engine
    /// Time without a new engine before the first plan. Longer than the interval at which
    /// engines register: a plan for only some of them would mix slow and fast engines in one
    /// replica.
    Duration startupDelay {1'450'000};
    /// How long a gap lasts before moves close it. It may close without moves.
    Duration gapDelay {700'000};
    /// Delay before moves close a gap that additions by a GapFiller can close. Additions need no
    /// lease, start at once and take a second or two. Other gaps get the shorter gapDelay, because
    /// waiting for additionDelay there costs 0.020 of the total value of the callers' requests.
    Duration additionDelay {3'000'000};
    /// Time after which a gap that moves don't close leads to a new plan for the domain. Such
    /// a plan moves many engines at once, and none of them serves requests meanwhile. Moves
    /// take up to 4 s; a new plan only 0.5 s after the first moves left a domain without a
    /// path for 9 s.
    Duration replanAfter {6'000'000};
    Duration moveInterval {2'500'000}; ///< between two moves that close no gap
    /// How long after it was sent an unanswered order may take effect.
    Duration orderLifetime {13'000'000};
    double minGain = 120; ///< least cost reduction of a move that closes no gap
};

/// Decides which engines hold which layers, based on the layers that they hold now. It
/// stores no plan, so another instance can take over at any time. Time is passed in, and the
/// caller sends the orders.
class LayerPlanner
{
public:
    explicit LayerPlanner(LayerPlannerSettings settings = {});

    // Commands

    /// Returns the orders to send now to the engines of \a service.
    std::vector<LayerOrder> plan(const FleetSnapshot &fleet, const RoutedService &service,
                                 Time now);

    /// The engine accepted \a order, or may have accepted it.
    void orderSent(const LayerOrder &order, Time now) { m_orders.orderSent(order, now); }

    /// The engine did not accept the order.
    void orderRefused(const std::string &endpoint, Time now)
    {
        m_orders.orderRefused(endpoint, now);
    }

private:
    /// An engine with the layers that it is planned to hold.
    struct Engine
    {
        const FleetEndpoint *endpoint = nullptr;
        const AcceleratorKind *kind = nullptr;
        LayerRange layers; ///< held or ordered
        bool movable = true; ///< may get an order now

        std::uint32_t maxLayers(const LayeredModel &model, double headroom) const;
    };

    /// Engines that are to hold the model together: those of one domain, or those of all
    /// domains that are too small to hold it alone.
    struct Group
    {
        std::string name;
        std::vector<Engine> engines;
    };

    class Costs;

    /// Past observations of a group, from which the delays are counted.
    struct GroupHistory
    {
        std::size_t engines = 0;
        Time changedAt {};
        std::optional<Time> gapSince;
        /// Since when an empty engine carries out another instance's order.
        std::optional<Time> filledSince;
        Time lastMoveAt {};
    };

    std::vector<Group> groups(const FleetSnapshot &fleet, const RoutedService &service, Time now);
    std::vector<Engine> engines(const FleetSnapshot &fleet, const RoutedService &service, Time now);
    static std::vector<LayerOrder> planFromScratch(Group &group, const LayeredModel &model,
                                                   const LayerPlannerSettings &settings,
                                                   std::string_view reason);
    static std::vector<std::vector<Engine *>>
    splitIntoReplicas(const std::vector<Engine *> &engines, double modelMegabytes,
                      const LayerPlannerSettings &settings);
    static void assignLayers(const std::vector<Engine *> &replica, const LayeredModel &model,
                             double headroom, std::string_view reason,
                             std::vector<LayerOrder> &orders);
    void placeEmptyEngines(Group &group, const LayeredModel &model,
                           std::vector<LayerOrder> &orders);
    bool additionsCanClose(const Group &group, const LayeredModel &model) const;
    bool filledByOthers(const Group &group, GroupHistory &history, Time now) const;
    void repair(Group &group, const LayeredModel &model, GroupHistory &history, Time now,
                std::vector<LayerOrder> &orders);
    bool makeBestMove(Group &group, const LayeredModel &model, double minGain,
                      std::vector<LayerOrder> &orders, std::string_view reason);
    static std::vector<std::uint32_t> holderCounts(const Group &group, const LayeredModel &model);

    LayerPlannerSettings m_settings;
    PendingOrders m_orders;
    std::map<std::string, GroupHistory, std::less<>> m_histories;
};

} // namespace balsamloft
