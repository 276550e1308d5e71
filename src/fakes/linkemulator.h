/// \file
/// Simulates in virtual time how the instances of a fleet open connections to endpoints while
/// links are cut. The decisions are those of ConnectionRace and EndpointLinks; the network is
/// modelled.

#pragma once

#include <balsamloft/endpointlinks.h>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace balsamloft::fakes {

/// How a cut link treats new connections.
enum class CutLink : std::uint8_t { Refuses, Silent };

/// Size and load of an emulated fleet.
struct LinkFleetSettings
{
    std::size_t domains = 3;
    std::size_t instancesPerDomain = 2;
    std::size_t endpoints = 12;
    Duration connectionInterval {50'000}; ///< between two connections of an instance
    std::uint64_t seed = 1;
};

/// Counts of one group of instances.
struct ConnectionCounts
{
    std::size_t tried = 0;
    std::size_t opened = 0;
    std::size_t forwarded = 0; ///< of those opened
    std::size_t reportedCrashes = 0; ///< refusals by live endpoints, reported as crashes
    std::size_t foundCrashes = 0; ///< refusals by dead endpoints, reported as crashes

    double openedShare() const
    {
        return tried == 0 ? 1 : static_cast<double>(opened) / static_cast<double>(tried);
    }
};

/// A fleet of instances and endpoints. Endpoints are alive unless killed.
class LinkEmulator
{
public:
    explicit LinkEmulator(const LinkFleetSettings &settings);

    // Commands

    /// Cuts the links of an instance to all endpoints, or to those in \a endpoints.
    void cut(std::size_t instance, CutLink manner, const std::set<std::size_t> &endpoints = {});
    void heal(std::size_t instance);
    void killEndpoint(std::size_t endpoint) { m_dead.insert(endpoint); }

    /// Runs for \a length, with counts that begin anew.
    void run(Duration length);

    // Queries

    std::size_t instances() const { return m_instances.size(); }

    /// Sums of the instances that are cut now, or of the others.
    ConnectionCounts counts(bool cutInstances) const;

    /// The most connections that one instance forwarded for others.
    std::size_t mostForwardedByOne() const;
    std::size_t forwardedByAll() const;

private:
    enum class Reaction : std::uint8_t { Opens, Refuses, Silent };

    struct Instance
    {
        std::string name;
        std::unique_ptr<EndpointLinks> links;
        bool isCut = false;
        CutLink manner = CutLink::Refuses;
        std::set<std::size_t> cutEndpoints; ///< empty: all
        Time nextAt {};
        ConnectionCounts counts;
        std::size_t forwardedForOthers = 0;
    };

    /// A reaction to come, during the opening of one connection.
    struct Pending
    {
        Time at {};
        std::optional<std::size_t> peer; ///< empty: the direct connection
        Reaction reaction = Reaction::Opens;
    };

    Reaction react(const Instance &instance, std::size_t endpoint) const;
    void open(Instance &instance, std::size_t endpoint, Time now);
    bool provesItsLinks(Instance &instance, std::size_t refused, Time now);
    std::optional<Pending> begin(const Instance &instance, std::size_t endpoint,
                                 const std::optional<PeerInstance> &peer, Time now);
    Pending forward(std::size_t peer, std::size_t endpoint, Time now);

    std::mt19937_64 m_random;
    Duration m_interval;
    std::size_t m_endpoints;
    FleetSnapshot m_fleet;
    std::vector<Instance> m_instances;
    std::set<std::size_t> m_dead;
    Time m_now {Duration(1'000'000'000)};
};

} // namespace balsamloft::fakes
