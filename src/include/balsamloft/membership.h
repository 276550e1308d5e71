/// \file
/// Tracks live instances, leaving endpoints and the demand at each instance, by probes, gossip,
/// the inventory and the platform's instance list.

#pragma once

#include <balsamloft/admission/teamlimits.h>
#include <balsamloft/peermessage.h>
#include <balsamloft/platform.h>

#include <deque>
#include <random>
#include <set>
#include <span>
#include <variant>

namespace balsamloft {

/// Identity of this instance, and intervals and limits of the membership protocol.
struct MembershipSettings
{
    std::string name;
    std::string domain;
    std::string address; ///< address that peers connect to
    std::uint64_t incarnation = 0; ///< higher than that of earlier processes of this name
    std::vector<std::string> seeds; ///< peer addresses
    Duration probePeriod {1'000'000}; ///< time between two probes
    Duration ackTimeout {250'000}; ///< wait before the second ping, and before indirect probes
    Duration minSuspicion {5'000'000}; ///< minimum time from suspect to dead
    double suspicionFactor = 2; ///< suspicion time in probe periods, per log2 of the fleet size
    Duration deadRetention {600'000'000}; ///< time from leaving to dead, and from dead to erased
    std::uint32_t indirectProbes = 3; ///< members that are asked to ping an unresponsive member
    std::size_t updatesPerMessage = 6;
    std::size_t demandsPerMessage = 8;
    std::uint32_t rejoinProbeEvery = 5; ///< probe periods between pings to unreachable addresses
};

/// State of another instance according to the messages received so far.
struct Member
{
    MemberStatus status;
    Time changedAt {};
    Time lastMessageAt {};
    ConfigHead head; ///< configuration version in the last message
    std::vector<Demand> demand;
    Time demandAt {};
};

// Actions

struct SendToPeer
{
    std::string address;
    PeerMessage message;
};
/// Reports an endpoint's changed state to the traffic threads.
struct SetEndpointLeaving
{
    std::string endpoint;
    bool leaving = false;
};
struct MemberChanged
{
    MemberStatus status;
};

using MembershipAction = std::variant<SendToPeer, SetEndpointLeaving, MemberChanged>;
using MembershipActions = std::vector<MembershipAction>;

/// SWIM-style membership: pings one random peer per period and piggybacks updates on these
/// messages, so the cost per instance does not grow with the fleet.
class Membership
{
public:
    Membership(MembershipSettings settings, std::uint64_t seed);

    // Commands

    void tick(Time now, MembershipActions &actions);

    /// Handles a Ping, Ack or PingRequest.
    void received(const PeerMessage &message, Time now, MembershipActions &actions);

    /// Applies the platform's instance list, which may be out of date.
    void applyInstanceList(std::span<const ListedInstance> list, Time now,
                           MembershipActions &actions);

    /// Adds the addresses of the inventory's instances to the addresses that are pinged to find
    /// peers.
    void setInventory(std::span<const Instance> instances);

    /// Records that an endpoint itself reported that it is shutting down.
    void endpointReportedLeaving(const std::string &endpoint, MembershipActions &actions);
    void setAddress(std::string address) { m_settings.address = std::move(address); }
    void setHead(ConfigHead head) { m_head = std::move(head); }
    void setDemand(std::vector<Demand> demand) { m_demand = std::move(demand); }

    /// Announces to several peers at once that this instance is shutting down.
    void leave(Time now, MembershipActions &actions);

    // Queries

    Time nextWakeup() const { return m_nextWakeup; }
    const std::map<std::string, Member> &members() const { return m_members; }

    /// Number of instances in state alive or suspect, including this instance.
    std::size_t liveCount() const;
    MemberStatus self() const;

    /// Interval between two reads of the platform's instance list. It grows with the fleet:
    /// in a large fleet the list is long, so few instances read it at a time, and gossip
    /// carries its contents to the others.
    Duration listInterval() const;

    /// Whether this instance is one of the few in its failure domain that contend for the
    /// lease.
    bool contendsForLease() const;
    bool endpointLeaving(const std::string &endpoint) const;

    /// Fraction of each team's limits that this instance may use.
    LimitFractions limitFractions(Time now) const;
    double defaultFraction() const { return 1.0 / static_cast<double>(liveCount()); }

    /// Total demand for \a name at the live instances of \a domain, including this instance.
    double demandInDomain(std::string_view name, std::string_view domain) const;

    /// Number of suspected members that turned out to be alive.
    std::uint64_t falseSuspicions() const { return m_falseSuspicions; }

private:
    struct PendingUpdate
    {
        std::uint32_t transmissionsLeft = 0; ///< messages that will still carry the update
        bool endpoint = false;
    };
    struct Probe
    {
        std::string name;
        std::uint64_t sequence = 0;
        Time sentAt {};
        std::uint32_t steps = 0; ///< 1: pinged twice, 2: indirect probes sent
    };
    /// A ping that this instance sends on behalf of a peer's PingRequest.
    struct RelayedPing
    {
        std::string requester; ///< address of the peer that sent the PingRequest
        std::uint64_t requesterSequence = 0;
        Time receivedAt {};
    };

    void probeNext(Time now, MembershipActions &actions);
    void checkProbe(Time now, MembershipActions &actions);
    void expireSuspects(Time now, MembershipActions &actions);
    void probeUnreachable(MembershipActions &actions);
    void applyMessage(const PeerMessage &message, Time now, MembershipActions &actions);
    bool apply(const MemberStatus &status, Time now, MembershipActions &actions);
    void apply(const EndpointStatus &status, MembershipActions &actions);
    void refute(const MemberStatus &status);
    bool attachSuspicion(const MemberStatus &from, PeerMessage &reply) const;
    void setState(Member &member, MemberState state, Time now, MembershipActions &actions);
    PeerMessage message(PeerMessage::Kind kind, std::uint64_t sequence);
    void attachUpdates(PeerMessage &message);
    void queueUpdate(const std::string &name, bool endpoint);
    std::uint32_t maxTransmissions() const;
    Duration suspicionTime() const;
    void requestIndirectProbes(const MemberStatus &target, MembershipActions &actions);
    std::vector<const Member *> liveMembers(const std::string &except) const;

    MembershipSettings m_settings;
    std::minstd_rand m_random;
    MemberState m_state = MemberState::Alive;
    std::map<std::string, Member> m_members; ///< the other instances, by name
    std::map<std::string, EndpointStatus> m_endpoints;
    std::map<std::string, PendingUpdate> m_pendingUpdates; ///< by "m/" + member or "e/" + endpoint
    std::set<std::string> m_knownAddresses; ///< addresses to ping in search of peers
    std::deque<std::string> m_probeOrder; ///< names of the members to probe next
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, RelayedPing> m_relayedPings; ///< by sequence number of the relayed ping
    std::vector<Demand> m_demand;
    ConfigHead m_head;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_periodCount = 0;
    std::uint64_t m_falseSuspicions = 0;
    Time m_nextPeriod {};
    Time m_nextWakeup {};
};

} // namespace balsamloft
