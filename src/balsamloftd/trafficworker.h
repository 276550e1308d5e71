/// \file
/// A traffic thread: connects callers and endpoints through a Router. It performs the actions
/// that the Router decides on.

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

/// Interface of the control thread for the traffic threads. The functions may be called from any
/// thread; results are sent to the worker as messages.
class ControlLink
{
public:
    virtual ~ControlLink() = default;
    virtual void startClaim(std::uint32_t worker, StartClaim claim) = 0;
    virtual void resolveClaim(std::uint32_t worker, ResolveClaim resolution) = 0;

    virtual void endpointReportedLeaving(std::string endpoint) = 0;

    /// Passes the metrics of the process to \a callback.
    virtual void collectMetrics(std::function<void(std::string)> callback) = 0;
};

/// Settings of a traffic thread.
struct WorkerSettings
{
    std::uint32_t index = 0;
    std::string listen;
    std::string requestPrefix; ///< instance and incarnation; makes request ids unique in the fleet
    HttpServerSettings server;
    HttpClientSettings client;
    CallerLimits callers;
    RouterSettings router;
    Duration probeTimeout {300'000};
};

/// Runs a Router and its sockets on a thread of its own.
class TrafficWorker
{
public:
    TrafficWorker(WorkerSettings settings, ControlLink &control, std::uint64_t seed);
    ~TrafficWorker();

    /// Opens the listener and starts the thread. Returns false and sets \a reason on failure.
    bool start(Reason &reason);
    std::uint16_t port() const { return m_server.port(); }

    // Messages, callable from any thread

    void installConfig(ConfigPtr config);
    void setLeaving(std::string endpoint, bool leaving);
    void claimAnswered(RequestId request, ClaimAnswer answer);
    void setLimitFractions(double defaultFraction, LimitFractions fractions);

    /// First phase of a planned stop: reports "not ready" and refuses new requests.
    void startDrain();

    /// Second phase: closes the listener. Calls \a idle once no request is in flight and all
    /// connections are closed.
    void stopAccepting(std::function<void()> idle);
    void renderMetrics(std::function<void(std::string)> callback);
    void explain(RequestId request, std::function<void(std::vector<std::string>)> callback);

    /// Passes the state of the endpoints on this thread to \a callback.
    void endpoints(std::function<void(std::vector<EndpointState>)> callback);

    /// Passes the demand since the start to \a callback: requests by "team/NAME" and tokens by
    /// "model/NAME".
    void demand(std::function<void(std::map<std::string, double>)> callback);
    void stop();

private:
    /// A request whose caller waits for the answer.
    struct PendingRequest
    {
        HttpExchangePtr exchange;
        CallerRequest call;
        std::string id; ///< global request id
        Time submittedAt {};
        Time lastTokenAt {};
        bool streaming = false; ///< whether the header of a streamed answer was sent
        HttpCallPtr outgoing; ///< step or call in progress
    };

    void handle(const HttpExchangePtr &exchange);
    void handleCaller(const HttpExchangePtr &exchange);
    void postCallerGone(RequestId id);
    bool callerWaits(RequestId id);
    void perform(Actions &actions);
    void schedule();
    void checkIdle();
    void logStop() const;
    std::string globalId(RequestId id) const;

    // Each overload performs one kind of action.
    void operator()(SendStep &step);
    void operator()(CancelAttempt &cancel);
    void operator()(SendCall &call);
    void operator()(EmitToken &token);
    void operator()(FinishRequest &finish);
    void operator()(RefuseRequest &refuse);
    void operator()(StartClaim &claim);
    void operator()(ResolveClaim &resolution);
    void operator()(ProbeEndpoint &probe);
    void operator()(CloseConnections &close);
    void operator()(ReportLeaving &report);

    void stepReturned(const StepRef &ref, HttpResult result);
    void callReturned(RequestId id, std::uint32_t attempt, HttpResult result);
    void beginStream(PendingRequest &pending);
    HttpClient::Options options(RequestId id, std::uint32_t attempt, Time deadline);

    WorkerSettings m_settings;
    ControlLink &m_control;
    boost::asio::io_context m_context {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_idleTimer;
    Time m_timerExpiresAt {};
    Router m_router;
    HttpServer m_server;
    HttpClient m_client;
    TrafficMetrics m_metrics;
    std::unordered_map<RequestId, PendingRequest> m_pendingRequests;
    RequestId m_nextId = 1;
    std::function<void()> m_idleCallback;
    std::thread m_thread;
};

} // namespace balsamloft
