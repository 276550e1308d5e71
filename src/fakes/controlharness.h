/// \file
/// Runs the ConfigManager and Membership of several instances in virtual time, with a table
/// service that can become unreachable and messages that can be lost.

#pragma once

#include "tablemodel.h"

#include <balsamloft/configexchange.h>
#include <balsamloft/membership.h>

#include <deque>
#include <functional>
#include <map>

namespace balsamloft::fakes {

/// Size, faults and latencies of a ControlHarness.
struct ControlHarnessSettings
{
    std::size_t nodes = 8;
    double loss = 0; ///< fraction of peer messages that are lost
    bool gossip = true; ///< run the memberships, which also spread configuration heads
    bool polling = true; ///< read configuration heads from the platform periodically
    Duration latency {1'000};
    Duration tableLatency {3'000};
    MembershipSettings membership;
    ConfigManagerSettings config;
    std::uint64_t seed = 1;
};

/// One instance of the harness.
struct ControlNode
{
    std::string name;
    std::string address;
    ConfigManager config;
    Membership membership;
    bool alive = true;
    bool platformReachable = true;
    std::uint32_t partition = 0; ///< messages are delivered within a partition only
    std::uint64_t installedVersion = 0; ///< active configuration version
    std::uint64_t regressions = 0; ///< how often a lower version replaced a higher one
    std::map<std::uint64_t, Time> installedAt;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t platformReads = 0;
    std::map<std::string, ProposalOutcome> outcomes;
    std::map<std::string, MemberState> memberStates;
    std::map<std::string, bool> endpointsLeaving;
};

/// Event loop in virtual time over the instances and their simulated network and platform.
class ControlHarness
{
public:
    explicit ControlHarness(ControlHarnessSettings settings);

    void run(Time until);
    void runFor(Duration duration) { run(m_now + duration); }
    void at(Time at, std::function<void()> action);

    /// Adds an instance with a few other instances as its seeds. Returns the new index.
    std::size_t addNode();
    void kill(std::size_t node) { m_nodes[node].alive = false; }
    void propose(std::size_t node, ConfigProposal proposal);

    /// Returns a proposal that adds the entry "rules/teams/NAME".
    static ConfigProposal teamProposal(const std::string &id, const std::string &team,
                                       double share);
    void reportLeaving(std::size_t node, const std::string &endpoint);
    void applyInstanceList(std::size_t node, const std::vector<ListedInstance> &list);
    void leave(std::size_t node);

    /// Runs until \a version is active at all live nodes, or \a limit has passed. Returns the
    /// time until then, or nullopt if the limit has passed.
    std::optional<Duration> timeToVersion(std::uint64_t version, Duration limit);

    Time now() const { return m_now; }
    ControlNode &node(std::size_t index) { return m_nodes[index]; }
    std::size_t size() const { return m_nodes.size(); }
    TableModel &tables() { return m_tables; }
    std::map<std::string, std::string> &objects() { return m_objects; }

    bool platformDown = false; // NOLINT(readability-identifier-naming): an injected fault
    int loseAnswers = 0; // NOLINT(readability-identifier-naming): an injected fault

private:
    struct Event
    {
        Time at;
        std::uint64_t order;
        std::function<void()> action;
    };
    struct FiresLater
    {
        bool operator()(const Event &a, const Event &b) const
        {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    void start(std::size_t node);
    void tick(std::size_t node);
    void send(std::size_t from, const std::string &address, PeerMessage message);
    void deliver(std::size_t to, const PeerMessage &message);
    void perform(std::size_t node, ConfigActions &actions);
    void perform(std::size_t node, MembershipActions &actions);
    bool reachable(std::size_t node) const;
    std::size_t indexOfAddress(const std::string &address) const;

    ControlHarnessSettings m_settings;
    std::deque<ControlNode> m_nodes;
    std::mt19937_64 m_random;
    std::vector<Event> m_events; ///< heap with the earliest event first
    TableModel m_tables;
    std::map<std::string, std::string> m_objects;
    Time m_now {std::chrono::seconds(1)};
    std::uint64_t m_order = 0;
};

} // namespace balsamloft::fakes
