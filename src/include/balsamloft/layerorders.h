/// \file
/// Orders to hold layers, and what engines may still do because of them.

#pragma once

#include <balsamloft/enginefleet.h>

#include <map>
#include <string>

namespace balsamloft {

/// An order to hold a range of layers, and the reason.
struct LayerOrder
{
    std::string endpoint; ///< id
    std::string name; ///< that the endpoint is listed under
    std::string address;
    LayerRange layers;
    std::string reason;
    bool additive = false; ///< gives nothing up: may be given without the lease
};

/// The order that \a endpoint hold \a layers.
LayerOrder layerOrder(const FleetEndpoint &endpoint, LayerRange layers, std::string_view reason);

/// Orders that engines were given and do not show yet. One without an answer may
/// be carried out seconds later: until then the engine counts as holding what it
/// was told, and is told nothing else.
class PendingOrders
{
public:
    /// \a life: an order without an answer may act for so long; \a refusalBackoff: an
    /// engine that refused is told nothing so long.
    PendingOrders(Duration life, Duration refusalBackoff);

    // Commands

    /// The engine took the order, or may have taken it.
    void orderSent(const LayerOrder &order, Time now);

    /// The engine did not take the order.
    void orderRefused(const std::string &endpoint, Time now);

    /// Forgets orders that the engines of \a fleet show as carried out, or that
    /// cannot act any more.
    void expire(const FleetSnapshot &fleet, Time now);

    // Queries

    /// What an engine holds or was told to hold.
    struct Holding
    {
        LayerRange layers;
        bool free = true; ///< the engine may be told something now
    };
    Holding holding(const FleetEndpoint &endpoint) const;

private:
    struct Pending
    {
        LayerRange layers;
        Time since {};
        bool orderRefused = false;
    };

    Duration m_life;
    Duration m_refusalBackoff;
    std::map<std::string, Pending, std::less<>> m_pending; ///< by endpoint
};

} // namespace balsamloft
