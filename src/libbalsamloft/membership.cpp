#include <balsamloft/membership.h>

#include <algorithm>
#include <cmath>

namespace balsamloft {

namespace {

constexpr double SpreadFactor = 3; // transmissions of news, times log2 of the fleet
constexpr Duration FavourLifetime {2'000'000};
constexpr Duration DemandLifetime {30'000'000};
constexpr double IdleDemand = 0.05; // so that an idle instance keeps a small part
constexpr std::size_t LeaveFanout = 4;
constexpr std::size_t ListReaders = 4; ///< instances that read the list in one interval
constexpr Duration LeastListInterval {5'000'000};
constexpr std::size_t LeaseContenders = 3; ///< in each failure domain

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
    , m_addresses(m_settings.seeds.begin(), m_settings.seeds.end())
{
    // Something to say about itself from the start.
    queueUpdate(m_settings.name, false);
}

MemberStatus Membership::self() const
{
    return {m_settings.name, m_settings.domain, m_settings.address, m_settings.incarnation,
            m_state};
}

Duration Membership::listInterval() const
{
    // Some instance reads it about once a second in a fleet of any size; an
    // instance that sees no others reads it for itself.
    const auto scale = std::max<std::size_t>(1, liveCount() / ListReaders);
    return LeastListInterval * static_cast<std::int64_t>(scale);
}

bool Membership::contendsForLease() const
{
    const auto before = std::count_if(m_members.begin(), m_members.end(), [&](const auto &item) {
        return item.second.news.domain == m_settings.domain && countsAsLive(item.second.news.state)
               && item.first < m_settings.name;
    });
    return static_cast<std::size_t>(before) < LeaseContenders;
}

std::size_t Membership::liveCount() const
{
    const auto live = std::count_if(m_members.begin(), m_members.end(), [](const auto &item) {
        return countsAsLive(item.second.news.state);
    });
    return static_cast<std::size_t>(live) + 1;
}

std::uint32_t Membership::maxTransmissions() const
{
    const double fleet = static_cast<double>(m_members.size()) + 2;
    return static_cast<std::uint32_t>(std::ceil(SpreadFactor * std::log2(fleet)));
}

void Membership::queueUpdate(const std::string &name, bool endpoint)
{
    m_news[(endpoint ? "e/" : "m/") + name] = {maxTransmissions(), endpoint};
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
    // What has been sent least goes first, so that fresh news is not held up.
    std::vector<std::pair<std::uint32_t, std::string>> order;
    for (const auto &[key, outgoing] : m_news)
        order.emplace_back(outgoing.left, key);
    const std::size_t count = std::min(order.size(), m_settings.updatesPerMessage);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end(), std::greater<>());
    for (std::size_t i = 0; i < count; ++i) {
        const std::string &key = order[i].second;
        const std::string name = key.substr(2);
        Outgoing &outgoing = m_news[key];
        if (outgoing.endpoint) {
            message.endpoints.push_back(m_endpoints[name]);
        } else if (name != m_settings.name) {
            const auto it = m_members.find(name);
            if (it != m_members.end())
                message.members.push_back(it->second.news);
        }
        if (--outgoing.left == 0)
            m_news.erase(key);
    }
}

std::vector<const Member *> Membership::candidates(const std::string &except) const
{
    std::vector<const Member *> result;
    for (const auto &[name, member] : m_members) {
        if (name != except && countsAsLive(member.news.state))
            result.push_back(&member);
    }
    return result;
}

void Membership::tick(Time now, MembershipActions &actions)
{
    checkProbe(now, actions);
    expireSuspects(now, actions);
    if (now >= m_nextPeriod) {
        m_nextPeriod = now + m_settings.period;
        probeNext(now, actions);
        if (m_periods++ % m_settings.rejoinProbeEvery == 0)
            probeUnreachable(actions);
        std::erase_if(m_relayedPings,
                      [&](const auto &item) { return now - item.second.at > FavourLifetime; });
    }
    m_nextWakeup = m_nextPeriod;
    if (m_probe && m_probe->steps < 2)
        m_nextWakeup =
            std::min(m_nextWakeup, m_probe->sentAt + (m_probe->steps + 1) * m_settings.ackTimeout);
}

void Membership::probeNext(Time now, MembershipActions &actions)
{
    if (m_order.empty()) {
        // Each member is probed once a round, in an order drawn anew: the time
        // to notice a dead member is bounded, not only expected.
        for (const Member *member : candidates({}))
            m_order.push_back(member->news.name);
        std::shuffle(m_order.begin(), m_order.end(), m_random);
    }
    while (!m_order.empty()) {
        const std::string name = m_order.front();
        m_order.pop_front();
        const auto it = m_members.find(name);
        if (it == m_members.end() || !countsAsLive(it->second.news.state))
            continue;
        m_probe = Probe {name, ++m_sequence, now, 0};
        PeerMessage ping = message(PeerMessage::Kind::Ping, m_sequence);
        const std::size_t count = std::min(m_demand.size(), m_settings.demandsPerMessage);
        ping.demand.assign(m_demand.begin(), m_demand.begin() + static_cast<std::ptrdiff_t>(count));
        actions.push_back(SendToPeer {it->second.news.address, std::move(ping)});
        return;
    }
}

void Membership::requestIndirectProbes(const MemberStatus &target, MembershipActions &actions)
{
    auto helpers = candidates(target.name);
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min<std::size_t>(helpers.size(), m_settings.helpers));
    for (const Member *helper : helpers) {
        PeerMessage request = message(PeerMessage::Kind::PingRequest, m_probe->sequence);
        request.target = target;
        actions.push_back(SendToPeer {helper->news.address, std::move(request)});
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
    // Only a message may be lost, or only the way between the two broken: it
    // is asked again, and then others are, before anyone is suspected.
    if (m_probe->steps == 0 && now - m_probe->sentAt >= m_settings.ackTimeout) {
        m_probe->steps = 1;
        actions.push_back(SendToPeer {it->second.news.address,
                                      message(PeerMessage::Kind::Ping, m_probe->sequence)});
    }
    if (m_probe->steps == 1 && now - m_probe->sentAt >= 2 * m_settings.ackTimeout) {
        m_probe->steps = 2;
        requestIndirectProbes(it->second.news, actions);
    }
    if (now - m_probe->sentAt >= m_settings.period) {
        if (it->second.news.state == MemberState::Alive)
            setState(it->second, MemberState::Suspect, now, actions);
        m_probe.reset();
    }
}

Duration Membership::suspicionTime() const
{
    // A refutation has to reach everyone who heard the suspicion. News takes
    // about log2 of the fleet in periods, so a fixed time that suits eight
    // instances declares the living dead among hundreds.
    const double periods =
        m_settings.suspicionFactor * std::log2(static_cast<double>(m_members.size()) + 2);
    const double micros = periods * static_cast<double>(m_settings.period.count());
    return std::max(m_settings.suspicion, Duration(static_cast<std::int64_t>(micros)));
}

void Membership::setState(Member &member, MemberState state, Time now, MembershipActions &actions)
{
    member.news.state = state;
    member.changedAt = now;
    queueUpdate(member.news.name, false);
    actions.push_back(MemberChanged {member.news});
}

void Membership::expireSuspects(Time now, MembershipActions &actions)
{
    const Duration suspicion = suspicionTime();
    for (auto &[name, member] : m_members) {
        if (member.news.state == MemberState::Suspect && now - member.changedAt >= suspicion)
            setState(member, MemberState::Dead, now, actions);
        if (member.news.state == MemberState::Leaving
            && now - member.changedAt >= m_settings.deadRetention)
            setState(member, MemberState::Dead, now, actions);
    }
    std::erase_if(m_members, [&](const auto &item) {
        return item.second.news.state == MemberState::Dead
               && now - item.second.changedAt >= m_settings.deadRetention;
    });
}

void Membership::probeUnreachable(MembershipActions &actions)
{
    // Two sides of a healed partition believe each other dead and would never
    // speak again. One address of those believed gone, or not met yet, is
    // tried now and then.
    std::vector<std::string> addresses;
    std::set<std::string> live {m_settings.address};
    for (const auto &[name, member] : m_members) {
        if (countsAsLive(member.news.state))
            live.insert(member.news.address);
        else if (member.news.state == MemberState::Dead)
            addresses.push_back(member.news.address);
    }
    for (const std::string &address : m_addresses)
        addresses.push_back(address);
    std::erase_if(addresses, [&](const std::string &address) { return live.contains(address); });
    if (addresses.empty())
        return;
    const std::string &address = addresses[m_random() % addresses.size()];
    actions.push_back(SendToPeer {address, message(PeerMessage::Kind::Ping, ++m_sequence)});
}

void Membership::received(const PeerMessage &incoming, Time now, MembershipActions &actions)
{
    heard(incoming, now, actions);
    switch (incoming.kind) {
    case PeerMessage::Kind::Ping: {
        PeerMessage ack = message(PeerMessage::Kind::Ack, incoming.sequence);
        attachSuspicion(incoming.from, ack);
        if (incoming.knownMembers < m_members.size() / 2) {
            // Someone new, or back after long: the whole list at once.
            ack.members.clear();
            for (const auto &[name, member] : m_members)
                ack.members.push_back(member.news);
            for (const auto &[name, news] : m_endpoints)
                ack.endpoints.push_back(news);
        }
        actions.push_back(SendToPeer {incoming.from.address, std::move(ack)});
        break;
    }
    case PeerMessage::Kind::Ack: {
        if (m_probe && m_probe->sequence == incoming.sequence)
            m_probe.reset();
        PeerMessage doubt = message(PeerMessage::Kind::Ping, m_sequence + 1);
        if (attachSuspicion(incoming.from, doubt)) {
            ++m_sequence;
            actions.push_back(SendToPeer {incoming.from.address, std::move(doubt)});
        }
        const auto favour = m_relayedPings.find(incoming.sequence);
        if (favour == m_relayedPings.end())
            break;
        PeerMessage relayed = message(PeerMessage::Kind::Ack, favour->second.requesterSequence);
        actions.push_back(SendToPeer {favour->second.requester, std::move(relayed)});
        m_relayedPings.erase(favour);
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
    // One that speaks is alive, but its word does not go before news of the
    // same incarnation: it has to be told what is said of it, to refute it.
    // After a partition heals, two sides would else stay dead to each other.
    const auto it = m_members.find(from.name);
    if (it == m_members.end() || it->second.news.incarnation < from.incarnation)
        return false;
    const MemberState state = it->second.news.state;
    if (state != MemberState::Dead && state != MemberState::Suspect)
        return false;
    reply.members.push_back(it->second.news);
    return true;
}

void Membership::heard(const PeerMessage &incoming, Time now, MembershipActions &actions)
{
    apply(incoming.from, now, actions);
    for (const MemberStatus &news : incoming.members)
        apply(news, now, actions);
    for (const EndpointStatus &news : incoming.endpoints)
        apply(news, actions);
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

void Membership::refute(const MemberStatus &news)
{
    const bool wrong = news.state == MemberState::Suspect || news.state == MemberState::Dead;
    if (!wrong || news.incarnation < m_settings.incarnation)
        return;
    m_settings.incarnation = news.incarnation + 1;
    queueUpdate(m_settings.name, false);
}

bool Membership::apply(const MemberStatus &news, Time now, MembershipActions &actions)
{
    if (news.name == m_settings.name) {
        refute(news);
        return false;
    }
    if (news.name.empty())
        return false;
    const auto it = m_members.find(news.name);
    if (it == m_members.end()) {
        // The dead are not introduced: they would be passed on for ever.
        if (news.state == MemberState::Dead)
            return false;
        Member &member = m_members[news.name];
        member.news = news;
        member.changedAt = member.lastMessageAt = now;
        queueUpdate(news.name, false);
        actions.push_back(MemberChanged {news});
        return true;
    }
    Member &member = it->second;
    const bool newer = std::pair(news.incarnation, news.state)
                       > std::pair(member.news.incarnation, member.news.state);
    if (!newer)
        return false;
    const bool changed = news.state != member.news.state || news.address != member.news.address;
    if (member.news.state == MemberState::Suspect && news.state == MemberState::Alive)
        ++m_falseSuspicions;
    member.news = news;
    member.changedAt = now;
    queueUpdate(news.name, false);
    if (changed)
        actions.push_back(MemberChanged {news});
    return true;
}

void Membership::apply(const EndpointStatus &news, MembershipActions &actions)
{
    auto [it, added] = m_endpoints.try_emplace(news.name, EndpointStatus {news.name, 0, false});
    EndpointStatus &known = it->second;
    const bool newer =
        std::pair(news.generation, news.leaving) > std::pair(known.generation, known.leaving);
    if (!newer)
        return;
    const bool changed = news.leaving != known.leaving;
    known = news;
    if (!changed)
        return;
    queueUpdate(news.name, true);
    actions.push_back(SetEndpointLeaving {news.name, news.leaving});
}

void Membership::listed(std::span<const ListedInstance> list, Time, MembershipActions &actions)
{
    for (const ListedInstance &item : list) {
        if (!item.peerAddress.empty()) {
            if (!item.leaving)
                m_addresses.insert(item.peerAddress);
            continue;
        }
        // The list lags: an entry of the generation known to be leaving that
        // still says "live" changes nothing.
        apply(EndpointStatus {item.name, item.generation, item.leaving}, actions);
    }
}

void Membership::setInventory(std::span<const Instance> instances)
{
    for (const Instance &instance : instances)
        m_addresses.insert(instance.peerAddress);
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
    auto peers = candidates({});
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(std::min(peers.size(), LeaveFanout));
    for (const Member *peer : peers)
        actions.push_back(
            SendToPeer {peer->news.address, message(PeerMessage::Kind::Ping, ++m_sequence)});
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
    double heardOf = 0; // live instances whose demand is known
    for (const auto &[name, member] : m_members) {
        if (!countsAsLive(member.news.state) || member.demandAt == Time {}
            || now - member.demandAt > DemandLifetime)
            continue;
        heardOf += 1;
        for (const Demand &demand : member.demand) {
            if (demand.name.starts_with("team/"))
                sums[demand.name.substr(5)].others += demand.rate;
        }
    }
    const auto live = static_cast<double>(liveCount());
    // Those not heard of lately are taken for average ones.
    const double scale = heardOf > 0 ? (live - 1) / heardOf : 0;
    LimitFractions fractions;
    for (const auto &[team, sum] : sums) {
        const double others = heardOf > 0 ? sum.others * scale : sum.own * (live - 1);
        fractions[team] = (sum.own + IdleDemand) / (sum.own + others + IdleDemand * live);
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
        if (member.news.domain == domain && countsAsLive(member.news.state))
            add(member.demand);
    }
    return sum;
}

} // namespace balsamloft
