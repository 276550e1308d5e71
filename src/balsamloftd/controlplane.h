/// \file
/// The control thread: configuration, claims, and what operators ask.

#pragma once

#include "settings.h"
#include "trafficworker.h"

#include <balsamloft/configkeeper.h>
#include <balsamloft/httpplatform.h>

namespace balsamloft {

class AdminServer;

/// Owns the control state of an instance. It runs on one thread; the traffic
/// threads get immutable snapshots and messages from it.
class ControlPlane : public ControlLink
{
public:
    /// \a incarnation distinguishes this process from earlier ones of its name.
    ControlPlane(const DaemonSettings &settings, std::uint64_t incarnation, std::uint64_t seed);
    ~ControlPlane() override;

    /// Listens for operators and starts the thread. False and a reason on failure.
    bool start(std::vector<TrafficWorker *> workers, Reason &reason);
    std::uint16_t adminPort() const;
    void stop();

    // From any thread

    void startClaim(std::uint32_t worker, StartClaim claim) override;
    void settleClaim(std::uint32_t worker, SettleClaim settle) override;
    void collectMetrics(std::function<void(std::string)> callback) override;

    /// Calls \a callback once no claim waits for the platform any more, or
    /// \a patience has passed.
    void whenSettled(Duration patience, std::function<void()> callback);

    // On the control thread, for the admin server

    void propose(ConfigProposal proposal, std::function<void(ProposalOutcome)> callback);
    const ConfigKeeper &configuration() const { return m_config; }
    const DaemonSettings &settings() const { return m_settings; }
    std::span<TrafficWorker *const> workers() const { return m_workers; }
    boost::asio::io_context &context() { return m_context; }
    std::size_t unsettledClaims() const { return m_claims.pending() + m_claims.unsettled(); }
    void setDrainHandler(std::function<void()> handler) { m_drain = std::move(handler); }
    void drain();
    std::uint64_t incarnation() const { return m_incarnation; }
    bool ready() const { return m_config.head().version > 0; }

private:
    void perform(ConfigActions &actions);
    void perform(ClaimActions &actions);
    void schedule();
    void tick();
    void checkSettled(Time until, const std::function<void()> &callback);
    void renderControlMetrics(std::string &text) const;

    // One for each kind of action.
    void operator()(ReadConfigHead &action);
    void operator()(ScanConfigChanges &action);
    void operator()(ReadConfigSnapshot &action);
    void operator()(WriteConfigSnapshot &action);
    void operator()(AskPeerForConfig &action);
    void operator()(CommitConfig &action);
    void operator()(InstallConfig &action);
    void operator()(ProposalDecided &action);
    void operator()(ClaimTransact &action);
    void operator()(ClaimRead &action);
    void operator()(ClaimDecided &action);

    DaemonSettings m_settings;
    std::uint64_t m_incarnation;
    boost::asio::io_context m_context {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<Platform> m_platform;
    ConfigKeeper m_config;
    ClaimKeeper m_claims;
    std::unique_ptr<AdminServer> m_admin;
    std::vector<TrafficWorker *> m_workers;
    std::map<std::string, std::function<void(ProposalOutcome)>> m_proposals;
    std::function<void()> m_drain;
    std::thread m_thread;
};

/// Milliseconds since the Unix epoch, now.
WallMillis wallNow();

} // namespace balsamloft
