/// \file
/// Closes gaps in a domain's copy of a model by additions alone.

#pragma once

#include <balsamloft/layerorders.h>
#include <balsamloft/routemap.h>

#include <set>
#include <vector>

namespace balsamloft {

/// Settings of a GapFiller.
struct GapFillerSettings
{
    /// How long a gap lasts before it is filled: less than any load takes, longer
    /// than the news of a load that has just ended.
    Duration grace {150'000};
    /// How long an engine that holds nothing is left to whoever holds the lease, who gives
    /// it layers at once. Counted from when it is first seen beside a gap.
    Duration emptyEngineDelay {1'500'000};
    double minEngineHeadroom = 0.06; ///< share of each engine's memory kept for requests
    double emptyEngineHeadroom = 0.15; ///< the same for an engine that held nothing
    /// The same for layers that it takes beyond the gap.
    double beyondGapHeadroom = 0.4;
    Duration orderLifetime {13'000'000}; ///< an order without an answer may act for so long
    Duration refusalBackoff {600'000}; ///< an engine that refused is told nothing so long
};

/// Fills layers that nobody in a domain holds: neighbours of the gap grow over
/// it, or an engine that holds nothing takes it. Nothing is given up, and each
/// order fits its engine's memory by itself. So two that fill the same gap at once
/// do no harm, and whoever hears the domain's engines may act, without a lease and
/// while the store is down. An order that an engine carries out late may take back
/// what it was told since; memory is not exceeded, and the gap is filled again.
///
/// What it answers: an engine dies that alone held its layers, and no path lies
/// in the domain any more. A move waits for the streams that pass through what
/// it gives up, 3 to 10 s; an addition loads a few layers, a second or two. With
/// engines that die while the lease or the store is away, 0.015 ±0.009 more of what
/// callers' requests are worth was earned (25 simulated loads), else nothing.
class GapFiller
{
public:
    /// An engine as it lies, or as it was told to lie.
    struct Engine
    {
        const FleetEndpoint *endpoint = nullptr;
        LayerRange layers;
        std::uint32_t most = 0; ///< layers that it can hold
        bool free = true; ///< may be told something now
        std::uint32_t beyondGap = 0; ///< layers that it may hold beyond what a gap needs

        std::uint32_t spare() const;
    };

    explicit GapFiller(GapFillerSettings settings = {});

    // Commands

    /// The orders to give now. \a silent: ids of engines that do not answer.
    std::vector<LayerOrder> fill(const FleetSnapshot &fleet, const RoutedService &service,
                                 std::string_view domain, const std::set<std::string> &silent,
                                 Time now);

    /// The engine took the order, or may have taken it.
    void orderSent(const LayerOrder &order, Time now) { m_orders.orderSent(order, now); }

    /// The engine did not take the order.
    void orderRefused(const std::string &endpoint, Time now)
    {
        m_orders.orderRefused(endpoint, now);
    }

    // Queries

    /// Whether \a order still gives nothing up of what its engine holds now. It was
    /// decided from a report that may be a second old: an engine that was moved
    /// since would drop what it has just loaded. To be asked right before it is sent.
    static bool keepsHeldLayers(const LayerOrder &order, LayerRange held);

    /// Whether additions to \a engines that hold something would close all gaps in
    /// \a layers layers.
    static bool canCloseAllGaps(std::vector<Engine> engines, std::uint32_t layers);

private:
    std::vector<Engine> engines(const FleetSnapshot &fleet, const RoutedService &service,
                                std::string_view domain, const std::set<std::string> &silent,
                                Time now);
    static LayerRange firstGap(const std::vector<Engine> &engines, std::uint32_t layers,
                               std::uint32_t from);
    static std::vector<LayerOrder> close(std::vector<Engine> &engines, LayerRange gap,
                                         std::uint32_t layers);
    void delayEmptyEngines(std::vector<Engine> &engines, Time now);

    GapFillerSettings m_settings;
    PendingOrders m_orders;
    std::map<std::string, Time, std::less<>> m_gapSince; ///< by service
    std::map<std::string, Time, std::less<>> m_emptySince; ///< by endpoint, beside a gap
};

} // namespace balsamloft
