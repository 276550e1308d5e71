#include "controlplane.h"

#include "adminserver.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace balsamloft {

namespace {

constexpr Duration MaxTimerDelay {1'000'000};
constexpr Duration ResolutionCheckInterval {10'000};
constexpr Duration PlacementInterval {1'000'000};
constexpr int RenewalsPerLease = 3;
constexpr int LeaseMarginDivisor = 9;
constexpr double DemandSmoothing = 0.3;

ConfigManagerSettings configSettings(const DaemonSettings &settings)
{
    ConfigManagerSettings result;
    result.pollInterval = settings.configPollInterval;
    return result;
}

ClaimSettings claimSettings(const DaemonSettings &settings, std::uint64_t incarnation)
{
    ClaimSettings result;
    result.instance = settings.name + "/" + std::to_string(incarnation);
    return result;
}

MembershipSettings membershipSettings(const DaemonSettings &settings, std::uint64_t incarnation)
{
    MembershipSettings result;
    result.name = settings.name;
    result.domain = settings.domain;
    result.incarnation = incarnation;
    result.seeds = settings.seeds;
    result.address = settings.peerAdvertise;
    return result;
}

LeaseSettings leaseSettings(const DaemonSettings &settings, std::uint64_t incarnation)
{
    LeaseSettings result;
    result.key = "placement/" + settings.domain;
    result.duration = settings.leaseDuration;
    result.renewEvery = settings.leaseDuration / RenewalsPerLease;
    result.pollEvery = result.renewEvery;
    result.margin = settings.leaseDuration / LeaseMarginDivisor;
    result.holder = settings.name + "/" + std::to_string(incarnation);
    return result;
}

PlacementManagerSettings placementSettings(const DaemonSettings &settings)
{
    PlacementManagerSettings result;
    result.domain = settings.domain;
    result.unloadDelay = settings.unloadDelay;
    result.orders.leaseDuration = settings.leaseDuration;
    return result;
}

} // namespace

WallMillis wallNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

ControlPlane::ControlPlane(const DaemonSettings &settings, std::uint64_t incarnation,
                           std::uint64_t seed, ResourceAccount &resources)
    : m_settings(settings)
    , m_resources(resources)
    , m_incarnation(incarnation)
    , m_work(asio::make_work_guard(m_context))
    , m_timer(m_context)
    , m_platform(makeHttpPlatform(m_context, {settings.platform, settings.platformTimeout}))
    , m_config(configSettings(settings), seed)
    , m_claims(claimSettings(settings, incarnation))
    , m_peers(m_context, [this](PeerMessage message) { received(std::move(message)); })
    , m_membership(membershipSettings(settings, incarnation), seed ^ 0x5bd1e995U)
    , m_lease(leaseSettings(settings, incarnation))
    , m_placement(placementSettings(settings))
    , m_engineClient(m_context, {.maxBodyBytes = MaxEndpointStateBytes})
    , m_admin(std::make_unique<AdminServer>(*this))
{
}

ControlPlane::~ControlPlane()
{
    stop();
}

bool ControlPlane::start(std::vector<TrafficWorker *> workers, Reason &reason)
{
    m_workers = std::move(workers);
    if (!m_admin->listen(m_settings.adminListen, reason)
        || !m_peers.listen(m_settings.peerListen, reason))
        return false;
    // With port 0, the operating system chooses the port in listen().
    if (m_settings.peerAdvertise.empty())
        m_membership.setAddress(m_peers.address());
    asio::post(m_context, [this] { tick(); });
    m_thread = std::thread([this] { m_context.run(); });
    return true;
}

std::uint16_t ControlPlane::adminPort() const
{
    return m_admin->port();
}

void ControlPlane::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void ControlPlane::startClaim(std::uint32_t worker, StartClaim claim)
{
    asio::post(m_context, [this, worker, claim = std::move(claim)] {
        ClaimActions actions;
        m_claims.claim({worker, claim.request}, claim, steadyNow(), actions);
        perform(actions);
    });
}

void ControlPlane::resolveClaim(std::uint32_t worker, ResolveClaim resolution)
{
    asio::post(m_context, [this, worker, resolution = std::move(resolution)] {
        ClaimActions actions;
        m_claims.resolve({worker, resolution.request}, resolution.outcome, resolution.answer,
                         steadyNow(), actions);
        perform(actions);
    });
}

void ControlPlane::endpointReportedLeaving(std::string endpoint)
{
    asio::post(m_context, [this, endpoint = std::move(endpoint)] {
        MembershipActions actions;
        m_membership.endpointReportedLeaving(endpoint, actions);
        perform(actions);
    });
}

void ControlPlane::leave()
{
    asio::post(m_context, [this] {
        MembershipActions actions;
        m_membership.leave(steadyNow(), actions);
        perform(actions);
        LeaseActions leaseActions;
        m_lease.release(steadyNow(), leaseActions);
        perform(leaseActions);
    });
}

void ControlPlane::collectMetrics(std::function<void(std::string)> callback)
{
    struct Collection
    {
        std::string text;
        std::size_t pendingWorkers = 0;
        std::function<void(std::string)> callback;
    };
    asio::post(m_context, [this, callback = std::move(callback)]() mutable {
        auto collection = std::make_shared<Collection>();
        collection->pendingWorkers = m_workers.size();
        collection->callback = std::move(callback);
        renderControlMetrics(collection->text);
        m_resources.render(collection->text);
        for (TrafficWorker *worker : m_workers) {
            worker->renderMetrics([this, collection](std::string text) {
                asio::post(m_context, [collection, text = std::move(text)] {
                    collection->text += text;
                    if (--collection->pendingWorkers == 0)
                        collection->callback(std::move(collection->text));
                });
            });
        }
    });
}

void ControlPlane::renderControlMetrics(std::string &text) const
{
    const std::pair<std::string_view, std::uint64_t> samples[] = {
        {"balsamloft_config_version", m_config.head().version},
        {"balsamloft_config_forks_total", m_config.forksSeen()},
        {"balsamloft_platform_reachable", m_config.platformReachable() ? 1U : 0U},
        {"balsamloft_members_live", m_membership.liveCount()},
        {"balsamloft_false_suspicions_total", m_membership.falseSuspicions()},
        {"balsamloft_peer_bytes_sent_total", m_peers.bytesSent()},
        {"balsamloft_peer_bytes_received_total", m_peers.bytesReceived()},
        {"balsamloft_lease_held", m_lease.holds(steadyNow()) ? 1U : 0U},
        {"balsamloft_placement_loads_total", m_placement.loadsOrdered()},
        {"balsamloft_claims_pending", m_claims.pending()},
        {"balsamloft_claims_unsettled", m_claims.pendingResolutions()},
        {"balsamloft_claims_written_total", m_claims.claimsWritten()},
        {"balsamloft_claim_transactions_total", m_claims.transactions()},
        {"balsamloft_claim_settles_dropped_total", m_claims.resolutionsDropped()},
    };
    for (const auto &[name, value] : samples)
        renderSample(name, {}, static_cast<double>(value), text);
}

void ControlPlane::whenClaimsResolved(Duration timeout, std::function<void()> callback)
{
    asio::post(m_context, [this, timeout, callback = std::move(callback)] {
        checkClaimsResolved(steadyNow() + timeout, callback);
    });
}

void ControlPlane::checkClaimsResolved(Time deadline, const std::function<void()> &callback)
{
    if (unresolvedClaims() == 0 || steadyNow() >= deadline)
        return callback();
    auto timer = std::make_shared<asio::steady_timer>(m_context, ResolutionCheckInterval);
    timer->async_wait([this, timer, deadline, callback](boost::system::error_code) {
        checkClaimsResolved(deadline, callback);
    });
}

void ControlPlane::propose(ConfigProposal proposal, std::function<void(ProposalOutcome)> callback)
{
    m_proposals[proposal.id] = std::move(callback);
    ConfigActions actions;
    m_config.propose(std::move(proposal), wallNow(), steadyNow(), actions);
    perform(actions);
}

void ControlPlane::drain()
{
    if (m_drain)
        m_drain();
}

void ControlPlane::tick()
{
    const Time now = steadyNow();
    ConfigActions configActions;
    m_config.tick(now, configActions);
    perform(configActions);
    ClaimActions claimActions;
    m_claims.tick(now, claimActions);
    perform(claimActions);
    MembershipActions membershipActions;
    m_membership.tick(now, membershipActions);
    perform(membershipActions);
    LeaseActions leaseActions;
    if (participatesInLease(now))
        m_lease.tick(now, leaseActions);
    perform(leaseActions);
    if (now >= m_nextInstanceListAt) {
        m_nextInstanceListAt = now + m_membership.listInterval();
        readInstanceList();
    }
    if (now >= m_nextPlacementAt) {
        m_nextPlacementAt = now + PlacementInterval;
        collectDemand();
        if (m_lease.holds(now))
            observeEngines();
        tickPlacement(now);
    }
    logRefusing(now);
    schedule();
}

/// Logs when this instance begins or ends to refuse clients for want of memory or connections.
void ControlPlane::logRefusing(Time now)
{
    const bool refusing = m_resources.isRefusing(now);
    if (refusing == std::exchange(m_loggedRefusing, refusing))
        return;
    const ResourceAccount::Counts counts = m_resources.counts();
    log(LogLevel::Warning, "clients", refusing ? "refusing clients" : "accepting clients again",
        {{"held_bytes", std::to_string(m_resources.bytes())},
         {"limit_bytes", std::to_string(m_resources.limits().bytes)},
         {"connections", std::to_string(m_resources.connections(ResourceUse::Request))},
         {"refused_memory", std::to_string(counts.refusedForMemory)},
         {"refused_connections", std::to_string(counts.refusedForConnections)},
         {"displaced", std::to_string(counts.displaced)}});
}

void ControlPlane::readInstanceList()
{
    m_platform->listInstances([this](const std::optional<std::vector<ListedInstance>> &list) {
        if (!list)
            return;
        MembershipActions actions;
        m_membership.applyInstanceList(*list, steadyNow(), actions);
        perform(actions);
    });
}

void ControlPlane::collectDemand()
{
    struct Collection
    {
        std::map<std::string, double> totals;
        std::size_t pendingWorkers = 0;
    };
    auto collection = std::make_shared<Collection>();
    collection->pendingWorkers = m_workers.size();
    for (TrafficWorker *worker : m_workers) {
        worker->demand([this, collection](const std::map<std::string, double> &totals) {
            asio::post(m_context, [this, collection, totals] {
                for (const auto &[name, total] : totals)
                    collection->totals[name] += total;
                if (--collection->pendingWorkers == 0)
                    demandCollected(collection->totals, steadyNow());
            });
        });
    }
}

void ControlPlane::demandCollected(const std::map<std::string, double> &totals, Time now)
{
    const std::chrono::duration<double> elapsed = now - m_demandCollectedAt;
    m_demandCollectedAt = now;
    std::vector<Demand> demand;
    for (const auto &[name, total] : totals) {
        const double sample = (total - m_demandTotals[name]) / std::max(0.1, elapsed.count());
        double &rate = m_demandRates[name];
        rate += DemandSmoothing * (sample - rate);
        if (rate > 0.01)
            demand.push_back({name, rate});
    }
    m_demandTotals = totals;
    std::sort(demand.begin(), demand.end(),
              [](const Demand &a, const Demand &b) { return a.rate > b.rate; });
    m_membership.setDemand(std::move(demand));
    const auto fractions = m_membership.limitFractions(now);
    // The limit fractions of the instance are split evenly between its traffic threads.
    const auto threads = static_cast<double>(m_workers.size());
    for (TrafficWorker *worker : m_workers) {
        LimitFractions threadFractions;
        for (const auto &[team, fraction] : fractions)
            threadFractions[team] = fraction / threads;
        worker->setLimitFractions(m_membership.defaultFraction() / threads,
                                  std::move(threadFractions));
    }
}

void ControlPlane::received(PeerMessage message)
{
    const Time now = steadyNow();
    ConfigActions configActions;
    switch (message.kind) {
    case PeerMessage::Kind::ConfigRequest:
        m_peers.send(message.from.address,
                     makeConfigAnswer(m_config, m_membership.self(), message.after));
        break;
    case PeerMessage::Kind::ConfigChanges:
    case PeerMessage::Kind::ConfigFull:
        applyConfigAnswer(m_config, message, now, configActions);
        break;
    default: {
        MembershipActions actions;
        m_membership.received(message, now, actions);
        perform(actions);
        break;
    }
    }
    m_config.peerHead(message.from.address, message.head, now, configActions);
    perform(configActions);
}

void ControlPlane::schedule()
{
    Time at = steadyNow() + MaxTimerDelay;
    if (const auto next = m_config.nextWakeup())
        at = std::min(at, *next);
    if (const auto next = m_claims.nextWakeup())
        at = std::min(at, *next);
    at = std::min(at, m_membership.nextWakeup());
    if (participatesInLease(steadyNow()))
        at = std::min(at, m_lease.nextWakeup());
    m_timer.expires_at(at);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

} // namespace balsamloft
