/// \file
/// Placement of models in one failure domain, done by the instance that holds its lease.

#pragma once

#include <balsamloft/orders.h>

#include <functional>

namespace balsamloft {

/// Settings of a PlacementManager.
struct PlacementManagerSettings
{
    std::string domain;
    Duration planInterval {2'000'000};
    /// From the removal of an engine's entry from the configuration to the order to unload.
    Duration unloadDelay {15'000'000};
    PlacementSettings placement;
    OrderSettings orders;
};

/// A proposed change of the configuration. It adds entries for engines that have loaded their
/// layers, or removes those of engines that are to unload.
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

/// Loads models on engines before requests are routed to them, and stops routing to engines
/// before they unload. Persistent state is in the configuration only: a new lease holder
/// continues from it and from the states that the engines report.
class PlacementManager
{
public:
    using DemandFunction = std::function<double(std::string_view model)>;

    explicit PlacementManager(PlacementManagerSettings settings);

    // Commands

    void observed(const ObservedEngine &engine) { m_orders.observed(engine); }

    /// Plans steps and repeats orders that have not taken effect. \a entries are those of
    /// \a config.
    void tick(const Config &config, const ConfigEntries &entries, const LeaseView &lease,
              const DemandFunction &demand, Time now, OrderActions &orders,
              std::vector<ProposePlacement> &proposals);

    /// The last proposal was decided, so that another may be made.
    void proposalDone() { m_proposing = false; }

    // Queries

    /// Names of the engines that placement may assign models to.
    static std::vector<std::string> placeableEngines(const Config &config, std::string_view domain);

    /// Reasons of recent steps, and the engines that do not report the wanted state yet.
    std::vector<std::string> explain() const;
    std::uint64_t loadsOrdered() const { return m_loadsOrdered; }

private:
    /// A replica that is being loaded.
    struct Loading
    {
        std::vector<Assignment> parts;
        std::string reason;
    };

    void planSteps(const Config &config, const DemandFunction &demand, Time now);
    void updateWantedStates(const Config &config, Time now);
    void proposeLoaded(const ConfigEntries &entries, std::vector<ProposePlacement> &proposals);
    void proposeUnload(const ConfigEntries &entries, std::vector<ProposePlacement> &proposals);
    void addNote(const std::string &line);

    PlacementManagerSettings m_settings;
    Placement m_placement;
    OrderManager m_orders;
    std::map<std::string, Loading> m_loading; ///< by replica
    /// Reasons by engine, for engines whose entry is still in the configuration.
    std::map<std::string, std::string> m_unloading;
    /// By engine: when its entry was removed from the configuration.
    std::map<std::string, Time> m_unroutedSince;
    std::vector<std::string> m_notes;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_loadsOrdered = 0;
    Time m_plannedAt {};
    bool m_proposing = false;
};

/// Returns the text of the placement entry for \a assignment.
std::string placementEntry(const Assignment &assignment);

} // namespace balsamloft
