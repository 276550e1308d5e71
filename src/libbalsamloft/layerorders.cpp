#include <balsamloft/layerorders.h>

namespace balsamloft {

LayerOrder layerOrder(const FleetEndpoint &endpoint, LayerRange layers, std::string_view reason)
{
    return {endpoint.id, endpoint.name, endpoint.address, layers, std::string(reason)};
}

PendingOrders::PendingOrders(Duration lifetime, Duration refusalBackoff)
    : m_lifetime(lifetime)
    , m_refusalBackoff(refusalBackoff)
{
}

void PendingOrders::orderSent(const LayerOrder &order, Time now)
{
    m_pending[order.endpoint] = Pending {order.layers, now, false};
}

void PendingOrders::orderRefused(const std::string &endpoint, Time now)
{
    const auto it = m_pending.find(endpoint);
    if (it != m_pending.end())
        it->second = Pending {it->second.layers, now, true};
}

void PendingOrders::expire(const FleetSnapshot &fleet, Time now)
{
    std::erase_if(m_pending, [&](const auto &each) {
        const FleetEndpoint *endpoint = fleet.find(each.first);
        const Pending &pending = each.second;
        return !endpoint || (!endpoint->busy && endpoint->layers == pending.layers)
               || now - pending.since >= (pending.refused ? m_refusalBackoff : m_lifetime);
    });
}

PendingOrders::Holding PendingOrders::holding(const FleetEndpoint &endpoint) const
{
    const auto pending = m_pending.find(endpoint.id);
    if (pending == m_pending.end())
        return {endpoint.layers, !endpoint.busy};
    return {pending->second.refused ? endpoint.layers : pending->second.layers, false};
}

} // namespace balsamloft
