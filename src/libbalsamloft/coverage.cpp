#include <balsamloft/coverage.h>

#include <algorithm>

namespace balsamloft {

void addHolder(LayerRange range, std::span<std::uint32_t> copies)
{
    const auto end = std::min<std::size_t>(range.end, copies.size());
    for (std::size_t layer = range.begin; layer < end; ++layer)
        copies[layer] += 1;
}

Coverage::Coverage(const FleetSnapshot &fleet, const RoutedService &service,
                   std::string_view domain)
    : m_copies(service.model ? service.model->layers : 0, 0)
{
    for (const FleetEndpoint &each : fleet.endpoints) {
        if (each.service != service.name || each.draining
            || (!domain.empty() && each.domain != domain))
            continue;
        addHolder(each.layers, m_copies);
    }
}

std::uint32_t Coverage::minHolders() const
{
    return m_copies.empty() ? 0 : *std::min_element(m_copies.begin(), m_copies.end());
}

std::uint32_t Coverage::layersHeldOnce() const
{
    return static_cast<std::uint32_t>(std::count(m_copies.begin(), m_copies.end(), 1U));
}

std::string Coverage::gaps() const
{
    std::string text;
    for (std::size_t layer = 0; layer < m_copies.size(); ++layer) {
        if (m_copies[layer] > 0)
            continue;
        const std::size_t begin = layer;
        while (layer < m_copies.size() && m_copies[layer] == 0)
            ++layer;
        text += (text.empty() ? "" : ",") + std::to_string(begin) + "-" + std::to_string(layer);
    }
    return text;
}

} // namespace balsamloft
