/// \file
/// Closes coverage gaps of a domain by making engines load additional layers.

#pragma once

#include <balsamloft/layerorders.h>
#include <balsamloft/routemap.h>

#include <set>
#include <vector>

namespace balsamloft {

/// Delays and headroom of a GapFiller.
struct GapFillerSettings
{
    /// How long a gap lasts before it is closed. Shorter than the time to load layers, and longer
    /// than the time in which the report of a finished load arrives.
    Duration gapDelay {150'000};
    /// How long an empty engine is left to the lease holder, which assigns layers to it at
    /// once. Counted from when the engine is first seen while there is a gap.
    Duration emptyEngineDelay {1'500'000};
    double minEngineHeadroom = 0.06; ///< share of each engine's memory kept for requests
    double emptyEngineHeadroom = 0.15; ///< the same for an engine that held no layers
    /// The same for an empty engine that takes more layers than the gap has.
    double beyondGapHeadroom = 0.4;
    /// How long after it was sent an unanswered order may take effect.
    Duration orderLifetime {13'000'000};
    Duration refusalBackoff {600'000}; ///< how long an engine that refused gets no order
};

/// Closes coverage gaps of a domain: neighbours of the gap extend their ranges over it, or
/// an empty engine loads it. No engine releases layers, and each order by itself fits its
/// engine's memory. Instances that close the same gap at the same time therefore do no
/// harm, and any instance that receives the domain's engine states may act, without a lease
/// and while the store is unavailable. An order that is carried out late may undo a newer
/// one; memory is not exceeded even then, and the gap is closed again.
///
/// A GapFiller is needed after the crash of an engine that was the only holder of its layers, which
/// leaves the domain without a complete path. A move has to wait 3 to 10 s for the requests that
/// use the released layers; an addition loads a few layers in one or two seconds. While engines
/// crash and the lease or the store is unavailable, a GapFiller gains 0.015 of the total value of
/// the callers' requests; otherwise it gains nothing.
class GapFiller
{
public:
    /// An engine with the layers that it holds or was ordered to hold.
    struct Engine
    {
        const FleetEndpoint *endpoint = nullptr;
        LayerRange layers;
        std::uint32_t maxLayers = 0; ///< that fit its memory
        bool available = true; ///< may get an order now
        /// Layers that the engine loads if it is empty and the gap has fewer.
        std::uint32_t preferredLayers = 0;

        std::uint32_t spareLayers() const;
    };

    explicit GapFiller(GapFillerSettings settings = {});

    // Commands

    /// Returns the orders to send now. \a silent: ids of engines that do not answer.
    std::vector<LayerOrder> fill(const FleetSnapshot &fleet, const RoutedService &service,
                                 std::string_view domain, const std::set<std::string> &silent,
                                 Time now);

    /// The engine accepted \a order, or may have accepted it.
    void orderSent(const LayerOrder &order, Time now) { m_orders.orderSent(order, now); }

    /// The engine did not accept the order.
    void orderRefused(const std::string &endpoint, Time now)
    {
        m_orders.orderRefused(endpoint, now);
    }

    // Queries

    /// Whether \a order includes all layers that its engine holds now. The order was decided
    /// from a report that may be a second old: if the engine was moved since, the order would
    /// make it release what it has just loaded. Check this right before sending.
    static bool keepsHeldLayers(const LayerOrder &order, LayerRange held);

    /// Whether additions to those of \a engines that hold layers can close all gaps in a
    /// model of \a layers layers.
    static bool canCloseAllGaps(std::vector<Engine> engines, std::uint32_t layers);

private:
    std::vector<Engine> engines(const FleetSnapshot &fleet, const RoutedService &service,
                                std::string_view domain, const std::set<std::string> &silent,
                                Time now);
    static LayerRange firstGap(const std::vector<Engine> &engines, std::uint32_t layers,
                               std::uint32_t from);
    static std::vector<LayerOrder> closeGap(std::vector<Engine> &engines, LayerRange gap,
                                            std::uint32_t layers);
    void delayEmptyEngines(std::vector<Engine> &engines, Time now);

    GapFillerSettings m_settings;
    PendingOrders m_orders;
    std::map<std::string, Time, std::less<>> m_gapSince; ///< by service
    /// By endpoint: when an empty engine was first seen while there was a gap.
    std::map<std::string, Time, std::less<>> m_emptySince;
};

} // namespace balsamloft
