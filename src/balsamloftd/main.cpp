// The daemon that runs on every entry instance.

#include "controlplane.h"
#include "settings.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <random>

namespace balsamloft {

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitStartFailed = 1;
constexpr Duration ClaimResolutionTimeout {2'000'000};
constexpr Duration FinalMessageDelay {100'000};
constexpr std::string_view Part = "daemon";

std::string portOf(const std::string &address)
{
    return address.substr(address.rfind(':') + 1);
}

/// Starts the threads, waits for SIGTERM or SIGINT, or a drain request, and stops gracefully.
class Daemon
{
public:
    explicit Daemon(const DaemonSettings &settings)
        : m_settings(settings)
        , m_incarnation(static_cast<std::uint64_t>(wallNow()))
        , m_seed(settings.seed != 0 ? settings.seed : std::random_device {}())
        , m_resources(limitsFor(reportedSize(settings.machine)))
        , m_control(settings, m_incarnation, m_seed, m_resources)
        , m_signals(m_context, SIGTERM, SIGINT)
        , m_timer(m_context)
    {
    }

    bool start(Reason &reason)
    {
        std::vector<TrafficWorker *> workers;
        for (std::uint32_t i = 0; i < m_settings.trafficThreads; ++i) {
            m_workers.push_back(
                std::make_unique<TrafficWorker>(workerSettings(i), m_control, m_seed + i + 1));
            workers.push_back(m_workers.back().get());
        }
        for (const auto &worker : m_workers) {
            if (!worker->start(reason))
                return false;
        }
        m_control.setDrainHandler([this] { boost::asio::post(m_context, [this] { drain(); }); });
        return m_control.start(workers, reason);
    }

    void run()
    {
        log(LogLevel::Info, Part, "listening",
            {{"callers", std::to_string(m_workers.front()->port())},
             {"admin", std::to_string(m_control.adminPort())},
             {"peers", portOf(m_control.peerAddress())}});
        waitForSignal();
        m_context.run();
        for (const auto &worker : m_workers)
            worker->stop();
        m_control.stop();
        log(LogLevel::Info, Part, "stopped");
    }

private:
    WorkerSettings workerSettings(std::uint32_t index)
    {
        WorkerSettings worker;
        worker.index = index;
        worker.listen = m_settings.listen;
        worker.requestPrefix = m_settings.name + "-" + std::to_string(m_incarnation);
        worker.server = m_settings.server;
        worker.server.resources = &m_resources;
        worker.callers = m_settings.callers;
        worker.router = m_settings.router;
        return worker;
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](boost::system::error_code error, int signal) {
            if (error)
                return;
            if (m_draining)
                log(LogLevel::Warning, Part, "already stopping; requests in flight are not aborted",
                    {{"signal", std::to_string(signal)}});
            drain();
            waitForSignal();
        });
    }

    void drain()
    {
        if (std::exchange(m_draining, true))
            return;
        log(LogLevel::Info, Part, "stopping: not ready from now on");
        for (const auto &worker : m_workers)
            worker->startDrain();
        m_control.leave();
        // The load balancer must see that the instance is not ready before the port is closed.
        // Otherwise connections from the load balancer would be refused.
        m_timer.expires_after(m_settings.drainGrace);
        m_timer.async_wait([this](boost::system::error_code) { stopAccepting(); });
    }

    void stopAccepting()
    {
        m_busyWorkers = m_workers.size();
        for (const auto &worker : m_workers) {
            worker->stopAccepting([this] {
                boost::asio::post(m_context, [this] {
                    if (--m_busyWorkers == 0)
                        resolveClaimsAndStop();
                });
            });
        }
    }

    void resolveClaimsAndStop()
    {
        log(LogLevel::Info, Part, "no requests in flight");
        m_control.whenClaimsResolved(ClaimResolutionTimeout, [this] {
            // The delay lets the last messages to peers and the platform be sent.
            m_timer.expires_after(FinalMessageDelay);
            m_timer.async_wait([this](boost::system::error_code) { m_context.stop(); });
        });
    }

    DaemonSettings m_settings;
    std::uint64_t m_incarnation;
    std::uint64_t m_seed;
    ResourceAccount m_resources; ///< what all threads hold for clients
    boost::asio::io_context m_context {1};
    ControlPlane m_control;
    std::vector<std::unique_ptr<TrafficWorker>> m_workers;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::size_t m_busyWorkers = 0;
    bool m_draining = false;
};

} // namespace

} // namespace balsamloft

int main(int argc, char **argv)
{
    using namespace balsamloft;
    std::signal(SIGPIPE, SIG_IGN);
    Reason reason;
    const auto settings = readSettings(argc, argv, reason);
    if (!settings) {
        std::cerr << "balsamloftd: " << reason << '\n';
        return ExitUsage;
    }
    if (checkOnly()) {
        std::cout << "settings are valid\n";
        return 0;
    }
    setUpLog(settings->logLevel, settings->name);
    Daemon daemon(*settings);
    if (!daemon.start(reason)) {
        std::cerr << "balsamloftd: " << reason << '\n';
        return ExitStartFailed;
    }
    daemon.run();
    return 0;
}
