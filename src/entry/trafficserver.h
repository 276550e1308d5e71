/// \file
/// Callers' connections, and the relay that decides on their requests.

#pragma once

#include "entrystate.h"
#include "requestmetrics.h"
#include "settings.h"
#include "timedcall.h"

#include <balsamloft/entryprotocol.h>

#include <boost/asio/steady_timer.hpp>

#include <set>

namespace balsamloft {

class CallerSession;

/// Serves callers on one thread.
class TrafficServer
{
public:
    TrafficServer(boost::asio::io_context &context, const EntrySettings &settings,
                  const EntryProtocol &protocol, EntryState &state);
    ~TrafficServer();

    /// \return whether the address could be listened at.
    bool listen(Reason &reason);

    // Commands, on the traffic thread

    void setTable(RouteMapPtr table);
    void setFleet(FleetPtr fleet);
    void setInstances(const KnownInstances &known);
    void applyEngineReports(const EngineReports &reports);
    void setSharedCrashes(const std::vector<CrashRecord> &all) { m_relay.setSharedCrashes(all); }

    /// Takes over what may change while the process runs: times of keys and of a
    /// stop, the budget of repeats, how much is logged.
    void reload(const EntrySettings &settings);

    /// \a silent is called with the id of each engine that gave no answer.
    void onSilentEngine(std::function<void(std::string)> silent)
    {
        m_engineSilent = std::move(silent);
    }

    /// \a tell is called with what other instances have to know of endpoints that
    /// ended under requests.
    void onCrashes(std::function<void(CrashUpdate)> tell) { m_publishCrashes = std::move(tell); }

    /// \a ask is called with each try of a suspected request that needs a permit, and
    /// calls its second argument with the answer on this thread; \a end with each that
    /// is over.
    using TrialRequester = std::function<void(TrialRequest, std::function<void(TrialAnswer)>)>;
    void onTrials(TrialRequester ask, std::function<void(FinishTrial)> end)
    {
        m_requestTrial = std::move(ask);
        m_finishTrial = std::move(end);
    }

    /// Whether an attempt's bytes may leave now.
    bool maySend(FlightId flight, std::uint32_t attempt);

    /// Takes no new work after a while, and calls \a stopped once all is done.
    void stop(std::function<void()> stopped);
    void run(RelayActions actions);

    // For sessions

    const RouteMapPtr &table() const { return m_table; }
    const EntryProtocol &protocol() const { return m_protocol; }
    const EntrySettings &settings() const { return m_settings; }
    ConnectionPool &pool() { return m_pool; }
    Relay &relay() { return m_relay; }
    bool stopping() const { return m_stopping; }

    /// Whether a request is still begun: late ones would outlive the process.
    bool acceptsNew(RequestKind kind, Time now) const;

    /// Whether keys are known recently enough to admit a request with one.
    bool keysFresh() const;

    /// Whether the balancer should send callers here.
    bool ready() const;
    void attach(FlightId flight, std::shared_ptr<CallerSession> session);
    void detach(FlightId flight);
    void closed(CallerSession &session);
    RequestMetrics &requestMetrics() { return m_requestMetrics; }

    /// Calls that read from and wrote to callers' sockets.
    struct SocketCalls
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
    };
    SocketCalls &callerSocketCalls() { return m_callerCalls; }
    std::string metrics() const;

private:
    void accept();
    void tick();
    void armTimer();
    bool isPlain(const std::string &id) const;
    void connectionChecked(const std::string &endpoint, Time askedAt, const CallOutcome &outcome);
    void queryEngine(const QueryEngine &ask);

    void engineAnswered(const std::string &endpoint, Time askedAt, const CallOutcome &outcome);
    void changePath(const ChangePath &change);
    void publishCrashes(const CrashUpdate &news);
    void requestTrial(const RequestTrial &ask);
    void noteSuspension();
    void finishStop();
    Duration graceShare(double share) const;

    boost::asio::io_context &m_context;
    EntrySettings m_settings; ///< of this thread
    const EntryProtocol &m_protocol;
    EntryState &m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    RequestMetrics m_requestMetrics;
    SocketCalls m_callerCalls;
    ConnectionPool m_pool;
    Relay m_relay;
    RouteMapPtr m_table;
    FleetPtr m_fleet;
    std::unordered_map<FlightId, std::shared_ptr<CallerSession>> m_flights;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
    std::map<std::string, std::shared_ptr<TimedCall>> m_questions; ///< by endpoint
    bool m_stopping = false;
    Time m_stopAt {};
    Time m_prunedAt {};
    std::function<void()> m_stopped;
    std::function<void(std::string)> m_engineSilent;
    std::function<void(CrashUpdate)> m_publishCrashes;
    TrialRequester m_requestTrial;
    std::function<void(FinishTrial)> m_finishTrial;
    Duration m_suspended {Duration::max()}; ///< what the steady clock lacks; at first unknown
};

} // namespace balsamloft
