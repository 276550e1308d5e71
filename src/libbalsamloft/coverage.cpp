#include <balsamloft/coverage.h>

#include <algorithm>

namespace balsamloft {

void addHolder(LayerRange range, std::span<std::uint32_t> holders)
{
    const auto end = std::min<std::size_t>(range.end, holders.size());
    for (std::size_t layer = range.begin; layer < end; ++layer)
        holders[layer] += 1;
}

Coverage::Coverage(const FleetSnapshot &fleet, const RoutedService &service,
                   std::string_view domain)
    : m_holders(service.model ? service.model->layers : 0, 0)
{
    for (const FleetEndpoint &each : fleet.endpoints) {
        if (each.service != service.name || each.draining
            || (!domain.empty() && each.domain != domain))
            continue;
        addHolder(each.layers, m_holders);
    }
}

std::uint32_t Coverage::minHolders() const
{
    return m_holders.empty() ? 0 : *std::min_element(m_holders.begin(), m_holders.end());
}

std::uint32_t Coverage::layersHeldOnce() const
{
    return static_cast<std::uint32_t>(std::count(m_holders.begin(), m_holders.end(), 1U));
}

std::string Coverage::gaps() const
{
    std::string text;
    for (std::size_t layer = 0; layer < m_holders.size(); ++layer) {
        if (m_holders[layer] > 0)
            continue;
        const std::size_t begin = layer;
        while (layer < m_holders.size() && m_holders[layer] == 0)
            ++layer;
        text += (text.empty() ? "" : ",") + std::to_string(begin) + "-" + std::to_string(layer);
    }
    return text;
}

} // namespace balsamloft
