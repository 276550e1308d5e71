#include <balsamloft/membership.h>

#include <algorithm>
#include <cmath>

namespace balsamloft {

namespace {

constexpr double TransmissionFactor = 3; ///< messages per update, per log2 of the fleet size
constexpr Duration RelayedPingLifetime {2'000'000};
constexpr Duration DemandLifetime {30'000'000};
constexpr double IdleInstanceDemand = 0.05; ///< gives idle instances a small share of each limit
constexpr std::size_t LeaveFanout = 4;
constexpr std::size_t ListReadersPerInterval = 4;
constexpr Duration MinListInterval {5'000'000};
constexpr std::size_t LeaseContendersPerDomain = 3;

bool countsAsLive(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

} // namespace

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

Membership::Membership(MembershipSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
    , m_knownAddresses(m_settings.seeds.begin(), m_settings.seeds.end())
{
    // The first messages carry this instance's own status.
    queueUpdate(m_settings.name, false);
}

MemberStatus Membership::self() const
{
    return {m_settings.name, m_settings.domain, m_settings.address, m_settings.incarnation,
            m_state};
}

Duration Membership::listInterval() const
{
    // The interval is proportional to the number of instances, so that a fleet of any size reads
    // the list about once a second in total. An instance without peers uses the minimum.
    const auto scale = std::max<std::size_t>(1, liveCount() / ListReadersPerInterval);
    return MinListInterval * static_cast<std::int64_t>(scale);
}

bool Membership::contendsForLease() const
{
    const auto before = std::count_if(m_members.begin(), m_members.end(), [&](const auto &item) {
        return item.second.status.domain == m_settings.domain
               && countsAsLive(item.second.status.state) && item.first < m_settings.name;
    });
    return static_cast<std::size_t>(before) < LeaseContendersPerDomain;
}

std::size_t Membership::liveCount() const
{
    const auto live = std::count_if(m_members.begin(), m_members.end(), [](const auto &item) {
        return countsAsLive(item.second.status.state);
    });
    return static_cast<std::size_t>(live) + 1;
}

std::uint32_t Membership::maxTransmissions() const
{
    const double fleet = static_cast<double>(m_members.size()) + 2;
    return static_cast<std::uint32_t>(std::ceil(TransmissionFactor * std::log2(fleet)));
}

void Membership::queueUpdate(const std::string &name, bool endpoint)
{
    m_pendingUpdates[(endpoint ? "e/" : "m/") + name] = {maxTransmissions(), endpoint};
}

PeerMessage Membership::message(PeerMessage::Kind kind, std::uint64_t sequence)
{
    PeerMessage result;
    result.kind = kind;
    result.from = self();
    result.sequence = sequence;
    result.knownMembers = static_cast<std::uint32_t>(m_members.size());
    result.head = m_head;
    attachUpdates(result);
    return result;
}

void Membership::attachUpdates(PeerMessage &message)
{
    // The updates with the most transmissions left go first, so that new updates are not
    // delayed by old ones.
    std::vector<std::pair<std::uint32_t, std::string>> order;
    for (const auto &[key, pending] : m_pendingUpdates)
        order.emplace_back(pending.transmissionsLeft, key);
    const std::size_t count = std::min(order.size(), m_settings.updatesPerMessage);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end(), std::greater<>());
    for (std::size_t i = 0; i < count; ++i) {
        const std::string &key = order[i].second;
        const std::string name = key.substr(2);
        PendingUpdate &pending = m_pendingUpdates[key];
        if (pending.endpoint) {
            message.endpoints.push_back(m_endpoints[name]);
        } else if (name != m_settings.name) {
            const auto it = m_members.find(name);
            if (it != m_members.end())
                message.members.push_back(it->second.status);
        }
        if (--pending.transmissionsLeft == 0)
            m_pendingUpdates.erase(key);
    }
}

std::vector<const Member *> Membership::liveMembers(const std::string &except) const
{
    std::vector<const Member *> result;
    for (const auto &[name, member] : m_members) {
        if (name != except && countsAsLive(member.status.state))
            result.push_back(&member);
    }
    return result;
}

void Membership::tick(Time now, MembershipActions &actions)
{
    checkProbe(now, actions);
    expireSuspects(now, actions);
    if (now >= m_nextPeriod) {
        m_nextPeriod = now + m_settings.probePeriod;
        probeNext(now, actions);
        if (m_periodCount++ % m_settings.rejoinProbeEvery == 0)
            probeUnreachable(actions);
        std::erase_if(m_relayedPings, [&](const auto &item) {
            return now - item.second.receivedAt > RelayedPingLifetime;
        });
    }
    m_nextWakeup = m_nextPeriod;
    if (m_probe && m_probe->steps < 2)
        m_nextWakeup =
            std::min(m_nextWakeup, m_probe->sentAt + (m_probe->steps + 1) * m_settings.ackTimeout);
}

void Membership::probeNext(Time now, MembershipActions &actions)
{
    if (m_probeOrder.empty()) {
        // Each round probes every member once, in a new random order. This bounds the time to
        // detect a dead member; independent random choices would bound only its mean.
        for (const Member *member : liveMembers({}))
            m_probeOrder.push_back(member->status.name);
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    while (!m_probeOrder.empty()) {
        const std::string name = m_probeOrder.front();
        m_probeOrder.pop_front();
        const auto it = m_members.find(name);
        if (it == m_members.end() || !countsAsLive(it->second.status.state))
            continue;
        m_probe = Probe {name, ++m_sequence, now, 0};
        PeerMessage ping = message(PeerMessage::Kind::Ping, m_sequence);
        const std::size_t count = std::min(m_demand.size(), m_settings.demandsPerMessage);
        ping.demand.assign(m_demand.begin(), m_demand.begin() + static_cast<std::ptrdiff_t>(count));
        actions.push_back(SendToPeer {it->second.status.address, std::move(ping)});
        return;
    }
}

void Membership::requestIndirectProbes(const MemberStatus &target, MembershipActions &actions)
{
    auto indirectProbes = liveMembers(target.name);
    std::shuffle(indirectProbes.begin(), indirectProbes.end(), m_random);
    indirectProbes.resize(std::min<std::size_t>(indirectProbes.size(), m_settings.indirectProbes));
    for (const Member *helper : indirectProbes) {
        PeerMessage request = message(PeerMessage::Kind::PingRequest, m_probe->sequence);
        request.target = target;
        actions.push_back(SendToPeer {helper->status.address, std::move(request)});
    }
}

void Membership::checkProbe(Time now, MembershipActions &actions)
{
    if (!m_probe)
        return;
    const auto it = m_members.find(m_probe->name);
    if (it == m_members.end()) {
        m_probe.reset();
        return;
    }
    // A missing ack may be due to a lost message or a broken link between the two instances:
    // ping once more, and then through other members, before suspecting the member.
    if (m_probe->steps == 0 && now - m_probe->sentAt >= m_settings.ackTimeout) {
        m_probe->steps = 1;
        actions.push_back(SendToPeer {it->second.status.address,
                                      message(PeerMessage::Kind::Ping, m_probe->sequence)});
    }
    if (m_probe->steps == 1 && now - m_probe->sentAt >= 2 * m_settings.ackTimeout) {
        m_probe->steps = 2;
        requestIndirectProbes(it->second.status, actions);
    }
    if (now - m_probe->sentAt >= m_settings.probePeriod) {
        if (it->second.status.state == MemberState::Alive)
            setState(it->second, MemberState::Suspect, now, actions);
        m_probe.reset();
    }
}

Duration Membership::suspicionTime() const
{
    // Within this time a refutation must reach every instance that received the suspicion. An
    // update takes about log2(fleet size) probe periods to reach all instances, so with a fixed
    // time that suits eight instances, a fleet of hundreds would declare live members dead.
    const double periods =
        m_settings.suspicionFactor * std::log2(static_cast<double>(m_members.size()) + 2);
    const double micros = periods * static_cast<double>(m_settings.probePeriod.count());
    return std::max(m_settings.minSuspicion, Duration(static_cast<std::int64_t>(micros)));
}

void Membership::setState(Member &member, MemberState state, Time now, MembershipActions &actions)
{
    member.status.state = state;
    member.changedAt = now;
    queueUpdate(member.status.name, false);
    actions.push_back(MemberChanged {member.status});
}

void Membership::expireSuspects(Time now, MembershipActions &actions)
{
    const Duration suspicion = suspicionTime();
    for (auto &[name, member] : m_members) {
        if (member.status.state == MemberState::Suspect && now - member.changedAt >= suspicion)
            setState(member, MemberState::Dead, now, actions);
        if (member.status.state == MemberState::Leaving
            && now - member.changedAt >= m_settings.deadRetention)
            setState(member, MemberState::Dead, now, actions);
    }
    std::erase_if(m_members, [&](const auto &item) {
        return item.second.status.state == MemberState::Dead
               && now - item.second.changedAt >= m_settings.deadRetention;
    });
}

void Membership::probeUnreachable(MembershipActions &actions)
{
    // After a partition heals, each side lists the other side's members as dead and would never
    // contact them again. Therefore one address that belongs to a dead member or to no known
    // member is pinged every few periods.
    std::vector<std::string> addresses;
    std::set<std::string> live {m_settings.address};
    for (const auto &[name, member] : m_members) {
        if (countsAsLive(member.status.state))
            live.insert(member.status.address);
        else if (member.status.state == MemberState::Dead)
            addresses.push_back(member.status.address);
    }
    for (const std::string &address : m_knownAddresses)
        addresses.push_back(address);
    std::erase_if(addresses, [&](const std::string &address) { return live.contains(address); });
    if (addresses.empty())
        return;
    const std::string &address = addresses[m_random() % addresses.size()];
    actions.push_back(SendToPeer {address, message(PeerMessage::Kind::Ping, ++m_sequence)});
}

void Membership::received(const PeerMessage &incoming, Time now, MembershipActions &actions)
{
    applyMessage(incoming, now, actions);
    switch (incoming.kind) {
    case PeerMessage::Kind::Ping: {
        PeerMessage ack = message(PeerMessage::Kind::Ack, incoming.sequence);
        attachSuspicion(incoming.from, ack);
        if (incoming.knownMembers < m_members.size() / 2) {
            // The sender lists less than half as many members, since it is new or was
            // disconnected for long: send the full list at once.
            ack.members.clear();
            for (const auto &[name, member] : m_members)
                ack.members.push_back(member.status);
            for (const auto &[name, status] : m_endpoints)
                ack.endpoints.push_back(status);
        }
        actions.push_back(SendToPeer {incoming.from.address, std::move(ack)});
        break;
    }
    case PeerMessage::Kind::Ack: {
        if (m_probe && m_probe->sequence == incoming.sequence)
            m_probe.reset();
        PeerMessage suspicionPing = message(PeerMessage::Kind::Ping, m_sequence + 1);
        if (attachSuspicion(incoming.from, suspicionPing)) {
            ++m_sequence;
            actions.push_back(SendToPeer {incoming.from.address, std::move(suspicionPing)});
        }
        const auto relayedPing = m_relayedPings.find(incoming.sequence);
        if (relayedPing == m_relayedPings.end())
            break;
        PeerMessage relayed =
            message(PeerMessage::Kind::Ack, relayedPing->second.requesterSequence);
        actions.push_back(SendToPeer {relayedPing->second.requester, std::move(relayed)});
        m_relayedPings.erase(relayedPing);
        break;
    }
    case PeerMessage::Kind::PingRequest: {
        m_relayedPings[++m_sequence] = {incoming.from.address, incoming.sequence, now};
        actions.push_back(
            SendToPeer {incoming.target.address, message(PeerMessage::Kind::Ping, m_sequence)});
        break;
    }
    default:
        break;
    }
}

bool Membership::attachSuspicion(const MemberStatus &from, PeerMessage &reply) const
{
    // The sender is alive, but its message does not override a suspicion at the same incarnation.
    // The sender must be told of the suspicion, so that it can refute it with a higher incarnation.
    // Otherwise two sides of a healed partition would keep listing each other as dead.
    const auto it = m_members.find(from.name);
    if (it == m_members.end() || it->second.status.incarnation < from.incarnation)
        return false;
    const MemberState state = it->second.status.state;
    if (state != MemberState::Dead && state != MemberState::Suspect)
        return false;
    reply.members.push_back(it->second.status);
    return true;
}

void Membership::applyMessage(const PeerMessage &incoming, Time now, MembershipActions &actions)
{
    apply(incoming.from, now, actions);
    for (const MemberStatus &status : incoming.members)
        apply(status, now, actions);
    for (const EndpointStatus &status : incoming.endpoints)
        apply(status, actions);
    const auto it = m_members.find(incoming.from.name);
    if (it == m_members.end())
        return;
    it->second.lastMessageAt = now;
    it->second.head = incoming.head;
    if (!incoming.demand.empty()) {
        it->second.demand = incoming.demand;
        it->second.demandAt = now;
    }
}

void Membership::refute(const MemberStatus &status)
{
    const bool wrong = status.state == MemberState::Suspect || status.state == MemberState::Dead;
    if (!wrong || status.incarnation < m_settings.incarnation)
        return;
    m_settings.incarnation = status.incarnation + 1;
    queueUpdate(m_settings.name, false);
}

bool Membership::apply(const MemberStatus &status, Time now, MembershipActions &actions)
{
    if (status.name == m_settings.name) {
        refute(status);
        return false;
    }
    if (status.name.empty())
        return false;
    const auto it = m_members.find(status.name);
    if (it == m_members.end()) {
        // Ignore dead members that this instance does not know: otherwise instances would send the
        // status of these members to each other forever.
        if (status.state == MemberState::Dead)
            return false;
        Member &member = m_members[status.name];
        member.status = status;
        member.changedAt = member.lastMessageAt = now;
        queueUpdate(status.name, false);
        actions.push_back(MemberChanged {status});
        return true;
    }
    Member &member = it->second;
    const bool newer = std::pair(status.incarnation, status.state)
                       > std::pair(member.status.incarnation, member.status.state);
    if (!newer)
        return false;
    const bool changed =
        status.state != member.status.state || status.address != member.status.address;
    if (member.status.state == MemberState::Suspect && status.state == MemberState::Alive)
        ++m_falseSuspicions;
    member.status = status;
    member.changedAt = now;
    queueUpdate(status.name, false);
    if (changed)
        actions.push_back(MemberChanged {status});
    return true;
}

void Membership::apply(const EndpointStatus &status, MembershipActions &actions)
{
    auto [it, added] = m_endpoints.try_emplace(status.name, EndpointStatus {status.name, 0, false});
    EndpointStatus &known = it->second;
    const bool newer =
        std::pair(status.generation, status.leaving) > std::pair(known.generation, known.leaving);
    if (!newer)
        return;
    const bool changed = status.leaving != known.leaving;
    known = status;
    if (!changed)
        return;
    queueUpdate(status.name, true);
    actions.push_back(SetEndpointLeaving {status.name, status.leaving});
}

void Membership::applyInstanceList(std::span<const ListedInstance> list, Time,
                                   MembershipActions &actions)
{
    for (const ListedInstance &item : list) {
        if (!item.peerAddress.empty()) {
            if (!item.leaving)
                m_knownAddresses.insert(item.peerAddress);
            continue;
        }
        // The list may be out of date: a "live" entry does not revert an endpoint that is
        // known to be leaving at the same generation.
        apply(EndpointStatus {item.name, item.generation, item.leaving}, actions);
    }
}

void Membership::setInventory(std::span<const Instance> instances)
{
    for (const Instance &instance : instances)
        m_knownAddresses.insert(instance.peerAddress);
}

void Membership::endpointReportedLeaving(const std::string &endpoint, MembershipActions &actions)
{
    const auto it = m_endpoints.find(endpoint);
    const std::uint64_t generation = it == m_endpoints.end() ? 0 : it->second.generation;
    apply(EndpointStatus {endpoint, generation, true}, actions);
}

bool Membership::endpointLeaving(const std::string &endpoint) const
{
    const auto it = m_endpoints.find(endpoint);
    return it != m_endpoints.end() && it->second.leaving;
}

void Membership::leave(Time, MembershipActions &actions)
{
    m_state = MemberState::Leaving;
    auto peers = liveMembers({});
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(std::min(peers.size(), LeaveFanout));
    for (const Member *peer : peers)
        actions.push_back(
            SendToPeer {peer->status.address, message(PeerMessage::Kind::Ping, ++m_sequence)});
}

LimitFractions Membership::limitFractions(Time now) const
{
    struct Sum
    {
        double own = 0;
        double others = 0;
    };
    std::map<std::string, Sum> sums;
    for (const Demand &demand : m_demand) {
        if (demand.name.starts_with("team/"))
            sums[demand.name.substr(5)].own = demand.rate;
    }
    double reporting = 0; // live members with recent demand
    for (const auto &[name, member] : m_members) {
        if (!countsAsLive(member.status.state) || member.demandAt == Time {}
            || now - member.demandAt > DemandLifetime)
            continue;
        reporting += 1;
        for (const Demand &demand : member.demand) {
            if (demand.name.starts_with("team/"))
                sums[demand.name.substr(5)].others += demand.rate;
        }
    }
    const auto live = static_cast<double>(liveCount());
    // Members without recent demand are counted with the average demand.
    const double scale = reporting > 0 ? (live - 1) / reporting : 0;
    LimitFractions fractions;
    for (const auto &[team, sum] : sums) {
        const double others = reporting > 0 ? sum.others * scale : sum.own * (live - 1);
        fractions[team] =
            (sum.own + IdleInstanceDemand) / (sum.own + others + IdleInstanceDemand * live);
    }
    return fractions;
}

double Membership::demandInDomain(std::string_view name, std::string_view domain) const
{
    double sum = 0;
    const auto add = [&](const std::vector<Demand> &demands) {
        for (const Demand &demand : demands)
            sum += demand.name == name ? demand.rate : 0;
    };
    if (m_settings.domain == domain)
        add(m_demand);
    for (const auto &[memberName, member] : m_members) {
        if (member.status.domain == domain && countsAsLive(member.status.state))
            add(member.demand);
    }
    return sum;
}

} // namespace balsamloft
