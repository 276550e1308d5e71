/// \file
/// How many engines hold each layer of a model.

#pragma once

#include <balsamloft/enginefleet.h>
#include <balsamloft/routemap.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace balsamloft {

/// Adds an engine that holds \a range to \a holders, the number of holders of each layer.
void addHolder(LayerRange range, std::span<std::uint32_t> holders);

/// The number of engines that hold each layer of a model.
class Coverage
{
public:
    /// Counts the engines of \a service in \a domain that are not draining. An empty
    /// \a domain counts the engines of all domains.
    Coverage(const FleetSnapshot &fleet, const RoutedService &service, std::string_view domain);

    /// Number of holders of the layer with the fewest holders.
    std::uint32_t minHolders() const;

    /// Number of layers with exactly one holder.
    std::uint32_t layersHeldOnce() const;

    /// Ranges of layers without a holder, such as "26-38,70-80"; empty if there are none.
    std::string gaps() const;

private:
    std::vector<std::uint32_t> m_holders; ///< by layer
};

} // namespace balsamloft
