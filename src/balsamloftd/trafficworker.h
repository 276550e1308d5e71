/// \file
/// A traffic thread: callers on one side, endpoints on the other, and the
/// Router in between. It carries out actions and decides nothing.

#pragma once

#include "metrics.h"

#include <balsamloft/callerapi.h>
#include <balsamloft/claims.h>
#include <balsamloft/httpclient.h>
#include <balsamloft/httprequest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>

#include <future>
#include <thread>

namespace balsamloft {

/// What a traffic thread asks of the control thread. Safe to call from any
/// thread; answers come back as messages to the worker.
class ControlLink
{
public:
    virtual ~ControlLink() = default;
    virtual void startClaim(std::uint32_t worker, StartClaim claim) = 0;
    virtual void resolveClaim(std::uint32_t worker, ResolveClaim settle) = 0;

    virtual void endpointReportedLeaving(std::string endpoint) = 0;

    /// Asks for the metrics of the whole process.
    virtual void collectMetrics(std::function<void(std::string)> callback) = 0;
};

/// Settings of a traffic thread.
struct WorkerSettings
{
    std::uint32_t index = 0;
    std::string listen;
    std::string requestPrefix; ///< makes request ids unique in the fleet
    HttpServerSettings server;
    HttpClientSettings client;
    CallerLimits callers;
    RouterSettings router;
    Duration probeTimeout {300'000};
};

/// Runs one Router with its sockets on a thread of its own.
class TrafficWorker
{
public:
    TrafficWorker(WorkerSettings settings, ControlLink &control, std::uint64_t seed);
    ~TrafficWorker();

    /// Listens and starts the thread. Returns false and a reason on failure.
    bool start(Reason &reason);
    std::uint16_t port() const { return m_server.port(); }

    // Messages, from any thread

    void installConfig(ConfigPtr config);
    void setLeaving(std::string endpoint, bool leaving);
    void claimAnswered(RequestId request, ClaimAnswer answer);
    void setLimitFractions(double defaultFraction, LimitFractions fractions);

    /// First half of a planned stop: answer "not ready", take no new requests.
    void startDrain();

    /// Second half: accept no connections. \a idle is called once nothing is in flight.
    void stopAccepting(std::function<void()> idle);
    void renderMetrics(std::function<void(std::string)> callback);
    void explain(RequestId request, std::function<void(std::vector<std::string>)> callback);

    /// State of the endpoints as this thread sees it.
    void endpoints(std::function<void(std::vector<EndpointState>)> callback);

    /// What was asked for since the start: requests by "team/NAME" and tokens
    /// by "model/NAME".
    void demand(std::function<void(std::map<std::string, double>)> callback);
    void stop();

private:
    /// A caller that waits for an answer.
    struct Waiting
    {
        HttpExchangePtr exchange;
        CallerRequest call;
        std::string id; ///< global
        Time submittedAt {};
        Time lastTokenAt {};
        bool streaming = false; ///< the header of a streamed answer is out
        HttpCallPtr outgoing; ///< step or call under way
    };

    void handle(const HttpExchangePtr &exchange);
    void handleCaller(const HttpExchangePtr &exchange);
    void perform(Actions &actions);
    void schedule();
    void checkIdle();
    std::string globalId(RequestId id) const;

    // One for each kind of action.
    void operator()(SendStep &step);
    void operator()(CancelAttempt &cancel);
    void operator()(SendCall &call);
    void operator()(EmitToken &token);
    void operator()(FinishRequest &finish);
    void operator()(RefuseRequest &refuse);
    void operator()(StartClaim &claim);
    void operator()(ResolveClaim &settle);
    void operator()(ProbeEndpoint &probe);
    void operator()(CloseConnections &close);
    void operator()(ReportLeaving &note);

    void stepReturned(const StepRef &ref, HttpResult result);
    void callReturned(RequestId id, std::uint32_t attempt, HttpResult result);
    void beginStream(Waiting &waiting);
    HttpClient::Options options(RequestId id, std::uint32_t attempt, Time deadline);

    WorkerSettings m_settings;
    ControlLink &m_control;
    boost::asio::io_context m_context {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_cleanTimer;
    Time m_timerAt {};
    Router m_router;
    HttpServer m_server;
    HttpClient m_client;
    TrafficMetrics m_metrics;
    std::unordered_map<RequestId, Waiting> m_waiting;
    RequestId m_nextId = 1;
    std::function<void()> m_idle;
    std::thread m_thread;
};

} // namespace balsamloft
