/// \file
/// Accepts connections of callers and forwards their requests as the relay decides.

#pragma once

#include "connectionforwarder.h"
#include "entrystate.h"
#include "requestmetrics.h"
#include "settings.h"
#include "timedcall.h"

#include <balsamloft/admission/serviceload.h>
#include <balsamloft/calleracceptor.h>
#include <balsamloft/callercounts.h>
#include <balsamloft/connectionuse.h>
#include <balsamloft/entryprotocol.h>
#include <balsamloft/lingeringconnections.h>
#include <balsamloft/loopdelay.h>

#include <boost/asio/steady_timer.hpp>

#include <set>

namespace balsamloft {

class CallerSession;

/// Serves callers on the traffic thread, and executes the actions of the relay.
class TrafficServer : private ForwardingPolicy
{
public:
    TrafficServer(boost::asio::io_context &context, const EntrySettings &settings,
                  const EntryProtocol &protocol, EntryState &state);
    ~TrafficServer() override;

    /// \return whether listening succeeded; otherwise \a reason is set.
    bool listen(Reason &reason);

    // Commands, called on the traffic thread

    void setTable(RouteMapPtr table);
    void setFleet(FleetPtr fleet);
    void setInstances(const KnownInstances &known);
    void applyEngineReports(const EngineReports &reports);
    void applyFleetLoad(const FleetLoad &load);
    void setSharedCrashes(const std::vector<CrashRecord> &all) { m_relay.setSharedCrashes(all); }

    /// Applies the settings that may change at run time: revocation time, grace period, retry
    /// budget and log level.
    void reload(const EntrySettings &settings);

    /// \a silent is called with the id of each engine that did not answer a query.
    void onSilentEngine(std::function<void(std::string)> silent)
    {
        m_engineSilent = std::move(silent);
    }

    /// \a draining is called with the id of each endpoint that announced its exit in an answer.
    void onDraining(std::function<void(std::string)> draining)
    {
        m_endpointDraining = std::move(draining);
    }

    /// \a publish is called with crashes of endpoints during requests, to send them to the other
    /// instances.
    void onCrashes(std::function<void(CrashUpdate)> publish)
    {
        m_publishCrashes = std::move(publish);
    }

    /// \a request is called for each trial of a suspected request, and passes the answer to its
    /// second argument on the traffic thread. \a finish is called when a trial is finished.
    using TrialRequester = std::function<void(TrialRequest, std::function<void(TrialAnswer)>)>;
    void onTrials(TrialRequester request, std::function<void(FinishTrial)> finish)
    {
        m_requestTrial = std::move(request);
        m_finishTrial = std::move(finish);
    }

    /// Whether the request of an attempt may be sent now.
    bool maySend(FlightId flight, std::uint32_t attempt);

    /// Begins a planned stop. Calls \a stopped once all requests are finished or the grace period
    /// is over.
    void stop(std::function<void()> stopped);

    /// Executes \a actions of the relay.
    void run(RelayActions actions);

    /// The load of this instance, to send to the other instances.
    LoadSummary ownLoad() const;

    // Called by sessions

    const RouteMapPtr &table() const { return m_table; }

    /// Since when the version of table() has been in force at this instance.
    Time tableSince() const { return m_tableSince; }
    const EntryProtocol &protocol() const { return m_protocol; }
    const EntrySettings &settings() const { return m_settings; }
    ConnectionPool &pool() { return m_pool; }
    Relay &relay() { return m_relay; }
    ServerPhase phase(Time now) const;
    LingeringConnections &lingering() { return m_lingering; }
    const ResourceGroupPtr &resources() const { return m_resources; }

    /// Whether a new request is still accepted during a planned stop.
    bool acceptsNew(RequestKind kind, Time now) const;

    /// Whether the API keys are recent enough to accept requests with them.
    bool keysUpToDate() const;

    /// Whether the load balancer should send callers to this instance.
    bool ready() const;
    void attach(FlightId flight, std::shared_ptr<CallerSession> session);
    void detach(FlightId flight);
    void sessionClosed(CallerSession &session);
    RequestMetrics &requestMetrics() { return m_requestMetrics; }

    /// Numbers of reads from and writes to the sockets of callers.
    struct SocketCalls
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
    };
    SocketCalls &callerSocketCalls() { return m_callerSocketCalls; }

    /// Numbers of callers that left before this instance worked on their request.
    struct Departures
    {
        std::uint64_t beforeSend = 0; ///< before an attempt was sent
    };
    Departures &departures() { return m_departures; }
    CallerCounts &callerCounts() { return m_callerCounts; }
    std::string metrics() const;

private:
    void logAcceptor(std::string_view event, std::string_view reason);
    bool mayForward(const std::string &endpoint, Time now) const override;
    void forwardedAnswer(const std::string &endpoint, const MessageHead &answer) override;

    void beginSession(boost::asio::ip::tcp::socket socket);
    void tick();
    void armTimer();
    bool isPlainService(const std::string &id) const;
    /// Records whether a plain service accepted a connection.
    void connectionChecked(const std::string &endpoint, Time sentAt, const CallOutcome &outcome);
    /// Queries the state of an engine. For a plain service, only checks whether the service accepts
    /// a connection.
    void queryEngine(const QueryEngine &query);

    void engineAnswered(const std::string &endpoint, Time sentAt, const CallOutcome &outcome);
    void repeatOnBrokenLink(const std::string &endpoint, Time queriedAt, RelayActions &actions);
    void changePath(const ChangePath &change);
    void publishCrashes(const CrashUpdate &update);
    void logQuarantinedParts(Time now);
    void logAdmission(Time now);
    void logRefusing(Time now);
    void renderAdmission(std::string &text) const;
    void requestTrial(const RequestTrial &request);
    void checkSuspension();
    void continueStop();
    void endStop(Time now);
    /// Whether no request and no connection of a caller is left.
    bool isDrained(Time now) const;
    void logStop(Time now) const;
    Duration graceShare(double share) const;
    Duration endingTime() const;

    boost::asio::io_context &m_context;
    EntrySettings m_settings; ///< used on the traffic thread only
    const EntryProtocol &m_protocol;
    EntryState &m_state;
    const ResourceGroupPtr m_resources; ///< of the traffic thread
    CallerAcceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    RequestMetrics m_requestMetrics;
    SocketCalls m_callerSocketCalls;
    Departures m_departures;
    CallerCounts m_callerCounts;
    EndpointLinks m_links;
    ConnectionPool m_pool;
    ConnectionForwarder m_forwarder;
    Relay m_relay;
    RouteMapPtr m_table;
    Time m_tableSince {};
    FleetPtr m_fleet;
    std::map<std::string, std::uint64_t> m_loggedRefusals; ///< last logged counts, by service
    std::unordered_map<FlightId, std::shared_ptr<CallerSession>> m_flights;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
    LingeringConnections m_lingering;
    std::map<std::string, std::shared_ptr<TimedCall>> m_queries; ///< by endpoint
    bool m_loggedRefusing = false; ///< clients, for want of memory or connections
    bool m_stopping = false;
    Time m_stopStartedAt {};
    std::optional<Time> m_endingSince; ///< beginning of the end of the stop
    /// The grace period that was in force when the stop began. A later change does not end it
    /// sooner: what was accepted relies on this one.
    Duration m_stopGracePeriod {};
    Time m_prunedAt {};
    LoopDelay m_loopDelay;
    DurationSummary m_loopDelays;
    std::function<void()> m_stopped;
    std::function<void(std::string)> m_engineSilent;
    std::function<void(std::string)> m_endpointDraining;
    std::function<void(CrashUpdate)> m_publishCrashes;
    TrialRequester m_requestTrial;
    std::function<void(FinishTrial)> m_finishTrial;
    std::vector<std::string> m_quarantinedParts; ///< as last logged, sorted
    Duration m_suspendedTime {Duration::max()}; ///< bootNow() minus steadyNow(); maximum: unknown
};

} // namespace balsamloft
