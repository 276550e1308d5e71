/// \file
/// `balsamloft-entry`: an entry instance, which routes and forwards the requests of callers.

#include "control.h"
#include "decisionlog.h"
#include "settings.h"
#include "simplehttpserver.h"
#include "trafficserver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace asio = boost::asio;

namespace balsamloft {

namespace {

constexpr int ListenFailedExitCode = 3;
/// Limits of requests that need no body.
constexpr MessageLimits WithoutBody {.headerBytes = DefaultMaxHeaderBytes, .bodyBytes = 4096};
constexpr auto OwnLoadInterval = std::chrono::milliseconds(500);

/// The threads of the process and the servers that run on them.
class Entry
{
public:
    explicit Entry(EntrySettings settings)
        : m_settings(std::move(settings))
        , m_state(limitsFor(reportedSize(m_settings.machine)))
        , m_protocol(makeEntryProtocol())
        , m_trafficServer(m_trafficContext, m_settings, *m_protocol, m_state)
        , m_control(m_controlContext, m_settings, *m_protocol, m_state, events())
        , m_readiness(
              m_trafficContext,
              [this](std::string_view, std::string_view, const SimpleHttpServer::Reply &reply) {
                  reply(m_trafficServer.ready() ? HttpAnswer {200, "ready\n"}
                                                : HttpAnswer {503, "not ready\n"});
              },
              m_trafficServer.resources(), ResourceUse::Operator, WithoutBody)
        , m_metrics(
              m_trafficContext,
              [this](std::string_view, std::string_view, const SimpleHttpServer::Reply &reply) {
                  reply({200, m_trafficServer.metrics()});
              },
              m_trafficServer.resources(), ResourceUse::Operator, WithoutBody)
        , m_loadTimer(m_trafficContext)
        , m_signals(m_trafficContext, SIGTERM, SIGINT, SIGHUP)
    {
    }

    int run()
    {
        Reason reason;
        if (!m_trafficServer.listen(reason)
            || !m_readiness.listen(m_settings.readinessAddress, reason) || !m_control.listen(reason)
            || (!m_settings.metricsAddress.empty()
                && !m_metrics.listen(m_settings.metricsAddress, reason))) {
            logDecision("entry", "cannot start", {{"reason", std::string_view(reason)}});
            flushDecisionLog();
            return ListenFailedExitCode;
        }
        logDecision("entry", "started",
                    {{"callers", std::string_view(m_settings.callerAddress)},
                     {"store", std::string_view(m_settings.storeAddress)}});
        m_trafficServer.onSilentEngine([this](std::string id) {
            asio::post(m_controlContext,
                       [this, id = std::move(id)] { m_control.engineSilent(id); });
        });
        m_trafficServer.onDraining([this](std::string id) {
            asio::post(m_controlContext,
                       [this, id = std::move(id)] { m_control.endpointDraining(id); });
        });
        m_trafficServer.onCrashes([this](CrashUpdate update) {
            asio::post(m_controlContext,
                       [this, update = std::move(update)] { m_control.publishCrashes(update); });
        });
        m_trafficServer.onTrials(
            [this](TrialRequest request, std::function<void(TrialAnswer)> answered) {
                requestTrial(std::move(request), std::move(answered));
            },
            [this](FinishTrial trial) {
                asio::post(m_controlContext,
                           [this, trial = std::move(trial)] { m_control.finishTrial(trial); });
            });
        if (m_settings.admission)
            reportOwnLoad();
        waitForSignal();
        std::thread control([this] {
            m_control.start();
            m_controlContext.run();
        });
        m_trafficContext.run();
        m_controlContext.stop();
        control.join();
        logDecision("entry", "ended", {});
        flushDecisionLog();
        return 0;
    }

private:
    ControlEvents events()
    {
        ControlEvents events;
        events.table = [this](RouteMapPtr table) {
            asio::post(m_trafficContext, [this, table] { m_trafficServer.setTable(table); });
        };
        events.fleet = [this](FleetPtr fleet) {
            asio::post(m_trafficContext, [this, fleet] { m_trafficServer.setFleet(fleet); });
        };
        events.instances = [this](KnownInstances known) {
            asio::post(m_trafficContext,
                       [this, known = std::move(known)] { m_trafficServer.setInstances(known); });
        };
        events.engines = [this](EngineReports reports) {
            asio::post(m_trafficContext, [this, reports = std::move(reports)] {
                m_trafficServer.applyEngineReports(reports);
            });
        };
        events.crashes = [this](std::vector<CrashRecord> all) {
            asio::post(m_trafficContext,
                       [this, all = std::move(all)] { m_trafficServer.setSharedCrashes(all); });
        };
        events.loads = [this](FleetLoad load) {
            asio::post(m_trafficContext,
                       [this, load = std::move(load)] { m_trafficServer.applyFleetLoad(load); });
        };
        return events;
    }

    /// Sends the load of this instance to the control thread at regular intervals.
    void reportOwnLoad()
    {
        asio::post(m_controlContext,
                   [this, load = m_trafficServer.ownLoad()] { m_control.setOwnLoad(load); });
        m_loadTimer.expires_after(OwnLoadInterval);
        m_loadTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                reportOwnLoad();
        });
    }

    /// Requests a permit from the control thread; \a answered is called on the traffic thread.
    void requestTrial(TrialRequest request, std::function<void(TrialAnswer)> answered)
    {
        const auto reply = [this, answered = std::move(answered)](const TrialAnswer &answer) {
            asio::post(m_trafficContext, [answered, answer] { answered(answer); });
        };
        asio::post(m_controlContext, [this, request = std::move(request), reply] {
            m_control.requestTrial(request, reply);
        });
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int number) {
            if (error)
                return;
            if (number == SIGHUP)
                reload();
            else
                stop();
            waitForSignal();
        });
    }

    void reload()
    {
        Reason reason;
        const auto reloaded = reloadEntrySettings(reason);
        if (!reloaded)
            return logDecision("entry", "settings not taken",
                               {{"reason", std::string_view(reason)}});
        const std::string restart = flagsNeedingRestart(m_settings, *reloaded);
        m_trafficServer.reload(*reloaded);
        logDecision("entry", "reloaded",
                    {{"revocation_ms", reloaded->revocationTime.count() / 1000},
                     {"grace_ms", reloaded->gracePeriod.count() / 1000},
                     {"retry_ratio", reloaded->retryRatio},
                     {"retry_slack", reloaded->retrySlack},
                     {"needs_restart", std::string_view(restart)}});
    }

    void stop()
    {
        if (m_state.stopping.exchange(true))
            return;
        logDecision("entry", "stopping", {});
        asio::post(m_controlContext, [this] { m_control.stop([] {}); });
        m_trafficServer.stop([this] { m_trafficContext.stop(); });
    }

    EntrySettings m_settings;
    EntryState m_state;
    asio::io_context m_trafficContext {1};
    asio::io_context m_controlContext {1};
    std::unique_ptr<EntryProtocol> m_protocol;
    TrafficServer m_trafficServer;
    Control m_control;
    SimpleHttpServer m_readiness;
    SimpleHttpServer m_metrics;
    asio::steady_timer m_loadTimer;
    asio::signal_set m_signals;
};

} // namespace

} // namespace balsamloft

int main(int argc, char **argv)
{
    // Otherwise the process ends when the reader of its log does.
    std::signal(SIGPIPE, SIG_IGN);
    balsamloft::Reason reason;
    auto settings = balsamloft::readEntrySettings(argc, argv, reason);
    if (!settings) {
        std::cerr << "balsamloft-entry: " << reason << "\n";
        return balsamloft::InvalidSettingsExitCode;
    }
    balsamloft::setUpDecisionLog(settings->name, settings->domain);
    return balsamloft::Entry(std::move(*settings)).run();
}
