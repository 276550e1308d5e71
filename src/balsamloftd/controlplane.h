/// \file
/// The control thread: configuration, membership, claims, the placement lease
/// and the requests of operators.

#pragma once

#include "settings.h"
#include "trafficworker.h"

#include <balsamloft/configexchange.h>
#include <balsamloft/httpplatform.h>
#include <balsamloft/lease.h>
#include <balsamloft/membership.h>
#include <balsamloft/peersocket.h>
#include <balsamloft/placementmanager.h>

namespace balsamloft {

class AdminServer;

/// Owns the control state of an instance and runs on a thread of its own. It sends the traffic
/// threads immutable configuration snapshots and messages.
class ControlPlane : public ControlLink
{
public:
    /// \a incarnation distinguishes this process from earlier processes with the same name.
    /// \a resources counts what all threads hold, and must outlive the control plane.
    ControlPlane(const DaemonSettings &settings, std::uint64_t incarnation, std::uint64_t seed,
                 ResourceAccount &resources);
    ~ControlPlane() override;

    /// Opens the admin and the peer listener and starts the thread. Returns false and sets
    /// \a reason on failure.
    bool start(std::vector<TrafficWorker *> workers, Reason &reason);
    std::uint16_t adminPort() const;
    void stop();

    // Callable from any thread

    void startClaim(std::uint32_t worker, StartClaim claim) override;
    void resolveClaim(std::uint32_t worker, ResolveClaim resolution) override;
    void endpointReportedLeaving(std::string endpoint) override;
    void collectMetrics(std::function<void(std::string)> callback) override;

    /// Notifies peers that this instance is leaving, and releases its lease.
    void leave();

    /// Calls \a callback once no claim waits for the platform, or after \a timeout.
    void whenClaimsResolved(Duration timeout, std::function<void()> callback);

    // Called on the control thread by the admin server

    void propose(ConfigProposal proposal, std::function<void(ProposalOutcome)> callback);
    const ConfigManager &configuration() const { return m_config; }
    const Membership &membership() const { return m_membership; }
    const LeaseManager &lease() const { return m_lease; }
    std::vector<std::string> explainPlacement() const { return m_placement.explain(); }
    const std::string &peerAddress() const { return m_peers.address(); }
    const DaemonSettings &settings() const { return m_settings; }
    ResourceAccount &resources() const { return m_resources; }
    std::span<TrafficWorker *const> workers() const { return m_workers; }
    boost::asio::io_context &context() { return m_context; }
    std::size_t unresolvedClaims() const
    {
        return m_claims.pending() + m_claims.pendingResolutions();
    }
    void setDrainHandler(std::function<void()> handler) { m_drain = std::move(handler); }
    void drain();
    std::uint64_t incarnation() const { return m_incarnation; }
    bool ready() const { return m_config.head().version > 0; }

private:
    void perform(ConfigActions &actions);
    void perform(ClaimActions &actions);
    void perform(MembershipActions &actions);
    void perform(LeaseActions &actions);
    void schedule();
    void tick();
    void checkClaimsResolved(Time deadline, const std::function<void()> &callback);
    void renderControlMetrics(std::string &text) const;
    void received(PeerMessage message);
    void readInstanceList();
    void collectDemand();
    void demandCollected(const std::map<std::string, double> &totals, Time now);
    void observeEngines();
    void tickPlacement(Time now);
    void logRefusing(Time now);
    bool participatesInLease(Time now) const
    {
        return m_lease.holds(now) || m_membership.contendsForLease();
    }
    void sendOrder(const SendOrder &order);
    void proposePlacement(ProposePlacement &proposal);

    // Each overload performs one kind of action.
    void operator()(ReadConfigHead &action);
    void operator()(ScanConfigChanges &action);
    void operator()(ReadConfigSnapshot &action);
    void operator()(WriteConfigSnapshot &action);
    void operator()(RequestPeerConfig &action);
    void operator()(CommitConfig &action);
    void operator()(InstallConfig &action);
    void operator()(ProposalDecided &action);
    void operator()(RunClaimTransaction &action);
    void operator()(ReadClaimRow &action);
    void operator()(ClaimDecided &action);
    void operator()(SendToPeer &action);
    void operator()(SetEndpointLeaving &action);
    void operator()(MemberChanged &action);
    void operator()(ReadLease &action);
    void operator()(WriteLease &action);

    DaemonSettings m_settings;
    ResourceAccount &m_resources;
    bool m_loggedRefusing = false;
    std::uint64_t m_incarnation;
    boost::asio::io_context m_context {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<Platform> m_platform;
    ConfigManager m_config;
    ClaimManager m_claims;
    PeerSocket m_peers;
    Membership m_membership;
    LeaseManager m_lease;
    PlacementManager m_placement;
    HttpClient m_engineClient;
    ConfigPtr m_currentConfig;
    std::map<std::string, double> m_demandTotals;
    std::map<std::string, double> m_demandRates;
    Time m_demandCollectedAt {};
    Time m_nextPlacementAt {};
    Time m_nextInstanceListAt {};
    std::uint64_t m_proposalNumber = 0;
    std::unique_ptr<AdminServer> m_admin;
    std::vector<TrafficWorker *> m_workers;
    std::map<std::string, std::function<void(ProposalOutcome)>> m_proposals;
    std::function<void()> m_drain;
    std::thread m_thread;
};

/// Returns the current time in milliseconds since the Unix epoch.
WallMillis wallNow();

} // namespace balsamloft
