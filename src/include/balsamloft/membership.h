/// \file
/// Which instances there are, which endpoints are leaving, and what is asked
/// for where: learned from probes, gossip, the inventory and the platform.

#pragma once

#include <balsamloft/peermessage.h>
#include <balsamloft/platform.h>
#include <balsamloft/teamlimits.h>

#include <deque>
#include <random>
#include <set>
#include <span>
#include <variant>

namespace balsamloft {

/// Settings of a Membership.
struct MembershipSettings
{
    std::string name;
    std::string domain;
    std::string address; ///< that peers connect to
    std::uint64_t incarnation = 0; ///< higher than that of earlier processes of the name
    std::vector<std::string> seeds; ///< peer addresses
    Duration period {1'000'000}; ///< between two probes
    Duration ackTimeout {250'000}; ///< then it is asked once more, then by others
    Duration suspicion {5'000'000}; ///< least time from suspect to dead
    double suspicionFactor = 2; ///< periods of suspicion, times log2 of the fleet
    Duration deadRetention {600'000'000};
    std::uint32_t helpers = 3; ///< others asked to probe who did not answer
    std::size_t updatesPerMessage = 6;
    std::size_t demandsPerMessage = 8;
    std::uint32_t rejoinProbeEvery = 5; ///< periods between probes of those believed gone
};

/// An instance, as this one sees it.
struct Member
{
    MemberStatus news;
    Time changedAt {};
    Time lastMessageAt {};
    ConfigHead head; ///< when last heard
    std::vector<Demand> demand;
    Time demandAt {};
};

// Actions

struct SendToPeer
{
    std::string address;
    PeerMessage message;
};
/// An endpoint's state has changed: tell the traffic threads.
struct SetEndpointLeaving
{
    std::string endpoint;
    bool leaving = false;
};
struct MemberChanged
{
    MemberStatus news;
};

using MembershipAction = std::variant<SendToPeer, SetEndpointLeaving, MemberChanged>;
using MembershipActions = std::vector<MembershipAction>;

/// Probes one random peer a period and carries news on those messages, so the
/// cost of an instance does not grow with the fleet.
class Membership
{
public:
    Membership(MembershipSettings settings, std::uint64_t seed);

    // Commands

    void tick(Time now, MembershipActions &actions);

    /// Takes a Ping, Ack or PingRequest.
    void received(const PeerMessage &message, Time now, MembershipActions &actions);

    /// The platform's lagging list.
    void listed(std::span<const ListedInstance> list, Time now, MembershipActions &actions);

    /// Instances of the inventory: where to look for peers.
    void setInventory(std::span<const Instance> instances);

    /// An endpoint said itself that it is shutting down.
    void endpointReportedLeaving(const std::string &endpoint, MembershipActions &actions);
    void setAddress(std::string address) { m_settings.address = std::move(address); }
    void setHead(ConfigHead head) { m_head = std::move(head); }
    void setDemand(std::vector<Demand> demand) { m_demand = std::move(demand); }

    /// This instance is shutting down: says so to several peers at once.
    void leave(Time now, MembershipActions &actions);

    // Queries

    Time nextWakeup() const { return m_nextWakeup; }
    const std::map<std::string, Member> &members() const { return m_members; }

    /// Instances believed alive or suspect, this one included.
    std::size_t liveCount() const;
    MemberStatus self() const;

    /// How long to wait between two looks at the platform's list. The list of a
    /// large fleet is long; instances share the reading and gossip the rest.
    Duration listInterval() const;

    /// Whether this instance is one of the few of its failure domain that
    /// contend for the domain's lease.
    bool contendsForLease() const;
    bool endpointLeaving(const std::string &endpoint) const;

    /// This instance's part of each team's limits.
    LimitFractions limitFractions(Time now) const;
    double defaultFraction() const { return 1.0 / static_cast<double>(liveCount()); }

    /// Demand for \a name over the live instances of \a domain, this one included.
    double demandInDomain(std::string_view name, std::string_view domain) const;

    /// Times that a member was suspected and then refuted it.
    std::uint64_t falseSuspicions() const { return m_falseSuspicions; }

private:
    struct Outgoing
    {
        std::uint32_t left = 0; ///< times to be sent yet
        bool endpoint = false;
    };
    struct Probe
    {
        std::string name;
        std::uint64_t sequence = 0;
        Time sentAt {};
        std::uint32_t steps = 0; ///< 1: asked twice, 2: helpers asked
    };
    /// A PingRequest that this instance serves.
    struct RelayedPing
    {
        std::string requester; ///< address
        std::uint64_t requesterSequence = 0;
        Time at {};
    };

    void probeNext(Time now, MembershipActions &actions);
    void checkProbe(Time now, MembershipActions &actions);
    void expireSuspects(Time now, MembershipActions &actions);
    void probeUnreachable(MembershipActions &actions);
    void heard(const PeerMessage &message, Time now, MembershipActions &actions);
    bool apply(const MemberStatus &news, Time now, MembershipActions &actions);
    void apply(const EndpointStatus &news, MembershipActions &actions);
    void refute(const MemberStatus &news);
    bool attachSuspicion(const MemberStatus &from, PeerMessage &reply) const;
    void setState(Member &member, MemberState state, Time now, MembershipActions &actions);
    PeerMessage message(PeerMessage::Kind kind, std::uint64_t sequence);
    void attachUpdates(PeerMessage &message);
    void queueUpdate(const std::string &name, bool endpoint);
    std::uint32_t maxTransmissions() const;
    Duration suspicionTime() const;
    void requestIndirectProbes(const MemberStatus &target, MembershipActions &actions);
    std::vector<const Member *> candidates(const std::string &except) const;

    MembershipSettings m_settings;
    std::minstd_rand m_random;
    MemberState m_state = MemberState::Alive;
    std::map<std::string, Member> m_members; ///< others
    std::map<std::string, EndpointStatus> m_endpoints;
    std::map<std::string, Outgoing> m_news; ///< by name of a member or endpoint
    std::set<std::string> m_addresses; ///< to look for peers at
    std::deque<std::string> m_order; ///< names to probe next
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, RelayedPing> m_relayedPings; ///< by the sequence of the own ping
    std::vector<Demand> m_demand;
    ConfigHead m_head;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_periods = 0;
    std::uint64_t m_falseSuspicions = 0;
    Time m_nextPeriod {};
    Time m_nextWakeup {};
};

} // namespace balsamloft
