/// \file
/// Placement of one failure domain, by whoever holds its lease.

#pragma once

#include <balsamloft/orders.h>

#include <functional>

namespace balsamloft {

/// Settings of a PlacementManager.
struct PlacementManagerSettings
{
    std::string domain;
    Duration planInterval {2'000'000};
    Duration unloadDelay {15'000'000}; ///< from "not in force" to the order to unload
    PlacementSettings placement;
    OrderSettings orders;
};

/// Put these entries in force: the engines hold what they say, or are no
/// longer to be used.
struct ProposePlacement
{
    ConfigEdits edits;
    std::string summary;
};

/// The lease, as read right before a decision.
struct LeaseView
{
    bool holds = false;
    std::uint64_t fencing = 0;
    Time acquiredAt {};
};

/// Loads before it routes, and routes away before it unloads. All it must
/// remember beyond its own life is in the configuration; a new holder starts
/// from that and from what the engines show.
class PlacementManager
{
public:
    using DemandFunction = std::function<double(std::string_view model)>;

    explicit PlacementManager(PlacementManagerSettings settings);

    // Commands

    void observed(const ObservedEngine &engine) { m_orders.observed(engine); }

    /// Plans and re-asserts. \a entries are those of \a config.
    void tick(const Config &config, const ConfigEntries &entries, const LeaseView &lease,
              const DemandFunction &demand, Time now, OrderActions &orders,
              std::vector<ProposePlacement> &proposals);

    /// The last proposal was decided; another may be made.
    void proposalDone() { m_proposing = false; }

    // Queries

    /// Names of the engines that are to be asked what they hold.
    static std::vector<std::string> placeableEngines(const Config &config, std::string_view domain);

    /// Recent steps with their reasons, and what engines do not show yet.
    std::vector<std::string> explain() const;
    std::uint64_t loadsOrdered() const { return m_loadsOrdered; }

private:
    /// A replica that is being loaded.
    struct Loading
    {
        std::vector<Assignment> parts;
        std::string reason;
    };

    void startSteps(const Config &config, const DemandFunction &demand, Time now);
    void assertAll(const Config &config, Time now);
    void proposeLoaded(const ConfigEntries &entries, std::vector<ProposePlacement> &proposals);
    void proposeUnload(const ConfigEntries &entries, std::vector<ProposePlacement> &proposals);
    void note(const std::string &line);

    PlacementManagerSettings m_settings;
    Placement m_placement;
    OrderManager m_orders;
    std::map<std::string, Loading> m_loading; ///< by replica
    std::map<std::string, std::string> m_unloading; ///< engine to reason, still in force
    std::map<std::string, Time> m_routedAway; ///< engine: since when not in force
    std::vector<std::string> m_notes;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_loadsOrdered = 0;
    Time m_plannedAt {};
    bool m_proposing = false;
};

/// Returns the text of the placement entry for \a assignment.
std::string placementEntry(const Assignment &assignment);

} // namespace balsamloft
