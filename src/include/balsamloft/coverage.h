/// \file
/// Which layers of a model engines hold, and which nobody does.

#pragma once

#include <balsamloft/enginefleet.h>
#include <balsamloft/routemap.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace balsamloft {

/// Counts an engine that holds \a range in \a copies, one number for each layer.
void addHolder(LayerRange range, std::span<std::uint32_t> copies);

/// How often each layer of a model is held.
class Coverage
{
public:
    /// Engines of \a service in \a domain that stay; an empty domain means all.
    Coverage(const FleetSnapshot &fleet, const RoutedService &service, std::string_view domain);

    /// The least number of engines that hold a layer.
    std::uint32_t minHolders() const;

    /// Layers that exactly one engine holds.
    std::uint32_t layersHeldOnce() const;

    /// Ranges of layers that nobody holds, as "26-38,70-80"; empty: none.
    std::string gaps() const;

private:
    std::vector<std::uint32_t> m_copies; ///< of each layer
};

} // namespace balsamloft
