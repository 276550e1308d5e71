#include "controlharness.h"

#include <balsamloft/peersocket.h>

#include <algorithm>

namespace balsamloft::fakes {

namespace {

constexpr Duration TickInterval {100'000};
constexpr std::size_t SeedCount = 4;

} // namespace

ControlHarness::ControlHarness(ControlHarnessSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
    for (std::size_t i = 0; i < m_settings.nodes; ++i)
        addNode();
}

std::size_t ControlHarness::addNode()
{
    const std::size_t index = m_nodes.size();
    const std::string name = "node-" + std::to_string(index);
    const std::string address =
        "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":8082";
    MembershipSettings membership = m_settings.membership;
    membership.name = name;
    membership.address = address;
    membership.domain = "domain-" + std::to_string(index % 6);
    membership.incarnation = static_cast<std::uint64_t>(m_now.time_since_epoch().count());
    for (std::size_t i = 0; i < SeedCount && index > 0; ++i)
        membership.seeds.push_back(m_nodes[m_random() % index].address);
    m_nodes.push_back({name, address, ConfigManager(m_settings.config, m_random()),
                       Membership(membership, m_random())});
    start(index);
    return index;
}

void ControlHarness::start(std::size_t node)
{
    // A random offset keeps the instances' ticks from being synchronous.
    const Duration offset(static_cast<std::int64_t>(m_random() % 1'000'000));
    at(m_now + offset, [this, node] { tick(node); });
}

void ControlHarness::at(Time at, std::function<void()> action)
{
    m_events.push_back({std::max(at, m_now), m_order++, std::move(action)});
    std::push_heap(m_events.begin(), m_events.end(), FiresLater());
}

void ControlHarness::run(Time until)
{
    while (!m_events.empty() && m_events.front().at <= until) {
        std::pop_heap(m_events.begin(), m_events.end(), FiresLater());
        const Event event = std::move(m_events.back());
        m_events.pop_back();
        m_now = event.at;
        event.action();
    }
    m_now = until;
}

std::optional<Duration> ControlHarness::timeToVersion(std::uint64_t version, Duration limit)
{
    const Time start = m_now;
    const auto allInstalled = [&] {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const ControlNode &node) {
            return !node.alive || node.installedVersion >= version;
        });
    };
    while (!allInstalled()) {
        if (m_now - start >= limit)
            return std::nullopt;
        runFor(TickInterval);
    }
    return m_now - start;
}

void ControlHarness::tick(std::size_t index)
{
    ControlNode &node = m_nodes[index];
    if (!node.alive)
        return;
    if (m_settings.polling || node.installedVersion == 0 || !node.outcomes.empty()) {
        ConfigActions actions;
        node.config.tick(m_now, actions);
        perform(index, actions);
    }
    if (m_settings.gossip) {
        MembershipActions actions;
        node.membership.tick(m_now, actions);
        perform(index, actions);
    }
    at(m_now + TickInterval, [this, index] { tick(index); });
}

bool ControlHarness::reachable(std::size_t node) const
{
    return !platformDown && m_nodes[node].platformReachable;
}

std::size_t ControlHarness::indexOfAddress(const std::string &address) const
{
    const auto it = std::find_if(m_nodes.begin(), m_nodes.end(),
                                 [&](const ControlNode &node) { return node.address == address; });
    return static_cast<std::size_t>(it - m_nodes.begin());
}

void ControlHarness::send(std::size_t from, const std::string &address, PeerMessage message)
{
    ControlNode &sender = m_nodes[from];
    sender.bytesSent += encodePeerMessage(message).size();
    ++sender.messagesSent;
    const std::size_t to = indexOfAddress(address);
    if (to == m_nodes.size() || m_nodes[to].partition != sender.partition)
        return;
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.loss)
        return;
    at(m_now + m_settings.latency,
       [this, to, message = std::move(message)] { deliver(to, message); });
}

void ControlHarness::deliver(std::size_t to, const PeerMessage &message)
{
    ControlNode &node = m_nodes[to];
    if (!node.alive)
        return;
    ConfigActions configActions;
    switch (message.kind) {
    case PeerMessage::Kind::ConfigRequest:
        send(to, message.from.address,
             makeConfigAnswer(node.config, node.membership.self(), message.after));
        break;
    case PeerMessage::Kind::ConfigChanges:
    case PeerMessage::Kind::ConfigFull:
        applyConfigAnswer(node.config, message, m_now, configActions);
        break;
    default: {
        MembershipActions actions;
        node.membership.received(message, m_now, actions);
        perform(to, actions);
        break;
    }
    }
    node.config.peerHead(message.from.address, message.head, m_now, configActions);
    perform(to, configActions);
}

void ControlHarness::perform(std::size_t index, MembershipActions &actions)
{
    for (MembershipAction &action : actions) {
        if (auto *message = std::get_if<SendToPeer>(&action))
            send(index, message->address, std::move(message->message));
        else if (auto *changed = std::get_if<MemberChanged>(&action))
            m_nodes[index].memberStates[changed->status.name] = changed->status.state;
        else if (auto *leaving = std::get_if<SetEndpointLeaving>(&action))
            m_nodes[index].endpointsLeaving[leaving->endpoint] = leaving->leaving;
    }
}

void ControlHarness::perform(std::size_t index, ConfigActions &actions)
{
    ControlNode &node = m_nodes[index];
    const auto respondLater = [this, index](auto function) {
        at(m_now + m_settings.tableLatency, [this, index, function] {
            if (!m_nodes[index].alive)
                return;
            ConfigActions next;
            function(m_nodes[index].config, next);
            perform(index, next);
        });
    };
    for (ConfigAction &action : actions) {
        if (const auto *read = std::get_if<ReadConfigHead>(&action)) {
            ++node.platformReads;
            respondLater([this, index, id = read->id](ConfigManager &manager, ConfigActions &next) {
                ReadOutcome outcome;
                if (reachable(index))
                    outcome = m_tables.read(std::string(ConfigTable), std::string(HeadKey));
                manager.headRead(id, outcome, m_now, next);
            });
        } else if (const auto *scan = std::get_if<ScanConfigChanges>(&action)) {
            ++node.platformReads;
            respondLater([this, index, scan = *scan](ConfigManager &manager, ConfigActions &next) {
                ScanOutcome outcome;
                if (reachable(index))
                    outcome =
                        m_tables.scan(std::string(ChangeTable), changeKey(scan.after), scan.limit);
                manager.changesScanned(scan.id, outcome, m_now, next);
            });
        } else if (const auto *snapshot = std::get_if<ReadConfigSnapshot>(&action)) {
            respondLater(
                [this, index, id = snapshot->id](ConfigManager &manager, ConfigActions &next) {
                    std::optional<std::string> content;
                    if (reachable(index) && m_objects.contains(std::string(SnapshotObject)))
                        content = m_objects[std::string(SnapshotObject)];
                    manager.snapshotRead(id, content, m_now, next);
                });
        } else if (auto *write = std::get_if<WriteConfigSnapshot>(&action)) {
            if (reachable(index))
                m_objects[std::string(SnapshotObject)] = std::move(write->content);
        } else if (auto *request = std::get_if<RequestPeerConfig>(&action)) {
            send(index, request->peer,
                 makeConfigRequest(node.config, node.membership.self(), request->after));
        } else if (auto *commit = std::get_if<CommitConfig>(&action)) {
            respondLater(
                [this, index, commit = *commit](ConfigManager &manager, ConfigActions &next) {
                    TransactionOutcome outcome {TransactionOutcome::Kind::NotCommitted, {}};
                    if (reachable(index))
                        outcome = m_tables.transact(commit.transaction);
                    if (reachable(index) && loseAnswers > 0) {
                        --loseAnswers;
                        outcome = {};
                    }
                    manager.commitDone(commit.id, outcome, m_now, next);
                });
        } else if (auto *install = std::get_if<InstallConfig>(&action)) {
            const ConfigHead &head = install->config->head();
            node.regressions += head.version < node.installedVersion ? 1 : 0;
            node.installedVersion = head.version;
            node.installedAt.try_emplace(head.version, m_now);
            node.membership.setHead(head);
        } else if (auto *decided = std::get_if<ProposalDecided>(&action)) {
            node.outcomes[decided->id] = std::move(decided->outcome);
        }
    }
}

void ControlHarness::propose(std::size_t index, ConfigProposal proposal)
{
    ConfigActions actions;
    m_nodes[index].config.propose(std::move(proposal), 0, m_now, actions);
    perform(index, actions);
}

ConfigProposal ControlHarness::teamProposal(const std::string &id, const std::string &team,
                                            double share)
{
    ConfigProposal proposal;
    proposal.id = id;
    proposal.author = "test";
    const std::string text = R"({"name":")" + team + R"(","share":)" + std::to_string(share)
                             + R"(,"token_sha256":")" + sha256Hex(team) + R"("})";
    proposal.edits.push_back({"rules/teams/" + team, std::nullopt, text});
    return proposal;
}

void ControlHarness::reportLeaving(std::size_t index, const std::string &endpoint)
{
    MembershipActions actions;
    m_nodes[index].membership.endpointReportedLeaving(endpoint, actions);
    perform(index, actions);
}

void ControlHarness::applyInstanceList(std::size_t index, const std::vector<ListedInstance> &list)
{
    MembershipActions actions;
    m_nodes[index].membership.applyInstanceList(list, m_now, actions);
    perform(index, actions);
}

void ControlHarness::leave(std::size_t index)
{
    MembershipActions actions;
    m_nodes[index].membership.leave(m_now, actions);
    perform(index, actions);
}

} // namespace balsamloft::fakes
