/// \file
/// Orders that make engines hold layers, and which of them are still pending.

#pragma once

#include <balsamloft/enginefleet.h>

#include <map>
#include <string>

namespace balsamloft {

/// An order to an engine to hold a range of layers, with the reason for it.
struct LayerOrder
{
    std::string endpoint; ///< id
    std::string name; ///< that the endpoint is listed under
    std::string address;
    LayerRange layers;
    std::string reason;
    bool additive = false; ///< releases no layers, so it may be sent without the lease
};

/// Returns an order to \a endpoint to hold \a layers.
LayerOrder layerOrder(const FleetEndpoint &endpoint, LayerRange layers, std::string_view reason);

/// Orders that were sent and whose effect the fleet does not show yet. An engine may carry
/// out an unanswered order seconds later, so until then it counts as holding the ordered
/// layers and gets no other order.
class PendingOrders
{
public:
    /// \a lifetime: how long an unanswered order may still take effect.
    /// \a refusalBackoff: how long an engine that refused an order gets no other one.
    PendingOrders(Duration lifetime, Duration refusalBackoff);

    // Commands

    /// The engine accepted \a order, or may have accepted it.
    void orderSent(const LayerOrder &order, Time now);

    /// The engine did not accept the order.
    void orderRefused(const std::string &endpoint, Time now);

    /// Removes orders that \a fleet shows as carried out, and those that can no longer take
    /// effect.
    void expire(const FleetSnapshot &fleet, Time now);

    // Queries

    /// The layers that an engine holds or was ordered to hold.
    struct Holding
    {
        LayerRange layers;
        bool available = true; ///< the engine may get an order now
    };
    Holding holding(const FleetEndpoint &endpoint) const;

private:
    struct Pending
    {
        LayerRange layers;
        Time since {};
        bool refused = false;
    };

    Duration m_lifetime;
    Duration m_refusalBackoff;
    std::map<std::string, Pending, std::less<>> m_pending; ///< by endpoint
};

} // namespace balsamloft
