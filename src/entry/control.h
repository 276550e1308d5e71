/// \file
/// The control thread: what the instance knows of configuration, endpoints and
/// other instances, and the placement of layers while it holds the lease.

#pragma once

#include "peerserver.h"
#include "settings.h"
#include "tablefollower.h"

#include <balsamloft/gapfiller.h>
#include <balsamloft/instancelist.h>
#include <balsamloft/layerplanner.h>
#include <balsamloft/lease.h>
#include <balsamloft/peerdirectory.h>
#include <balsamloft/trialpermits.h>

#include <functional>

namespace balsamloft {

/// Table of the instances, and the row of the lease for placement.
inline constexpr std::string_view InstanceTable = "instances";
inline constexpr std::string_view LeaseKey = "placement";

/// Table of the requests under which endpoints ended.
inline constexpr std::string_view CrashTable = "crashes";

/// A call to the store that is not answered by then is given up.
inline constexpr Duration StoreCallTimeout {900'000};

/// What the control thread tells the traffic thread.
struct ControlEvents
{
    std::function<void(RouteMapPtr)> table;
    std::function<void(FleetPtr)> fleet;
    std::function<void(KnownInstances)> instances;
    std::function<void(EngineReports)> engines;
    std::function<void(std::vector<CrashRecord>)> crashes; ///< all that instances told
};

/// Follows the store, and places layers.
class Control
{
public:
    Control(boost::asio::io_context &context, const EntrySettings &settings,
            const EntryProtocol &protocol, EntryState &state, ControlEvents events);

    /// \return whether the address for other instances could be listened at.
    bool listen(Reason &reason);
    void start();

    /// The traffic thread got no answer of an engine: it is asked at once.
    void engineSilent(const std::string &id);

    /// The traffic thread saw endpoints end under requests, or was mistaken in that.
    void publishCrashes(const CrashUpdate &news);

    /// Asks the store for the permit to try a request; \a answered is always called.
    void requestTrial(const TrialRequest &request, std::function<void(TrialAnswer)> answered);

    /// A try that was permitted is over.
    void finishTrial(const FinishTrial &ended);

    /// Gives the lease back and leaves the list of instances, then calls \a done.
    void stop(std::function<void()> done);

private:
    /// What an engine answered last, and how often it did not since.
    struct PolledEngine
    {
        EngineState state;
        std::uint32_t misses = 0;
        LayerRange layers; ///< as it said itself
        bool busy = false;
        Time answeredAt {};
        Time askedAt {};
        bool asking = false;
        double usedBefore = 0; ///< in the report before
    };

    TableEvents tableEvents(SharedTable table);
    SourceChoice source(SharedTable table);
    void sourceFailed(const TableSource &source, bool answered);
    void heard(SharedTable table, const TableSource &source, const TableAnswer &answer);
    bool isDomainReader() const;
    void leftOut(const StoreRow &row, const Reason &reason);
    void configurationRows(const std::vector<StoreRow> &rows);
    void endpointRows(const std::vector<StoreRow> &rows, bool whole, Time knownAt);
    void endpointRow(const StoreRow &row, Time knownAt);
    std::optional<FleetEndpoint> endpointOf(const StoreRow &row);
    void publishFleet();
    void logCoverage();
    void logLeaving(const FleetSnapshot &before, const FleetSnapshot &after);
    void tick();
    void followRemainingTables();
    void logStoreCalls(Time now);
    void leaseActions(LeaseActions actions);
    void readLease(std::uint64_t id);
    void writeLease(WriteLease write);
    void countInstances();
    void writeInstance(bool leaving, std::function<void()> done);
    void writeCrashes(Time now);
    void crashesWritten(const std::vector<RowWrite> &writes, bool done);
    void crashRows();
    void writeTrial(const TrialChange &change, std::function<void(bool done)> written);
    Time storeNow() const;
    void pollEngines(Time now);
    bool isPollDue(const FleetEndpoint &engine, Time now) const;
    double kvCapacity(const FleetEndpoint &engine) const;
    void queryEngine(const FleetEndpoint &engine);
    void engineAnswered(const std::string &id, const CallOutcome &outcome);
    void publishEngineStates();
    void otherDomainsReported(const EngineReports &reports);
    void reportsArrived(const EngineReports &reports);
    void queryOtherDomains(Time now);
    void place(Time now);
    void fillGaps(Time now);
    FleetSnapshot ownDomainNow(Time now) const;
    std::optional<std::set<std::string>> silentEngines() const;
    void giveOrder(const LayerOrder &order);
    void sendOrder(const LayerOrder &order, std::uint64_t expectedOrders);
    void orderOutcome(const LayerOrder &order, OrderReply reply, int status);
    void engineCall(const std::string &endpoint, const std::string &address,
                    const OutgoingCall &call, TimedCall::Callback callback);

    boost::asio::io_context &m_context;
    const EntrySettings &m_settings;
    const EntryProtocol &m_protocol;
    EntryState &m_state;
    ControlEvents m_events;
    boost::asio::steady_timer m_timer;
    PeerServer m_server;
    PeerDirectory m_directory;
    std::array<std::unique_ptr<StoreSource>, SharedTableCount> m_storeSources;
    std::array<std::map<std::string, std::unique_ptr<PeerSource>>, SharedTableCount> m_peerSources;
    std::array<std::unique_ptr<TableFollower>, SharedTableCount> m_followers;
    std::map<std::string, PolledEngine> m_polled; ///< by id
    bool m_polledDirty = false;
    /// When another instance of the domain's tree told states of engines last.
    std::shared_ptr<Time> m_reportsAt = std::make_shared<Time>();
    EngineReports m_otherDomainReports; ///< of other domains, not yet told on
    std::map<std::string, std::unique_ptr<PeerSource>> m_otherDomainSources;
    Time m_otherDomainsQueriedAt {};
    StoreChannel m_channel;
    StoreChannel m_crashChannel; ///< callers wait for permits: not behind what lasts longer
    ConnectionPool m_engines;
    FleetTracker m_fleet;
    FleetPtr m_fleetNow;
    RouteMapPtr m_table;
    std::uint64_t m_tableRow = 0; ///< version of the row in force
    InstanceList m_instanceList;
    std::vector<PeerInstance> m_instances; ///< as counted last
    Duration m_toldClock {}; ///< see KnownInstances
    LeaseManager m_lease;
    LayerPlanner m_planner;
    GapFiller m_filler;
    Time m_writtenAt {};
    Time m_callsLoggedAt {};
    std::array<std::uint64_t, StoreUseNames.size()> m_callsLogged {}; ///< by use
    bool m_followsAll = false; ///< not only the list of instances
    Time m_followsSince {}; ///< all tables; on the clock that counts suspension
    std::optional<Duration> m_storeOffset; ///< store's time minus own time
    /// Layers that nobody holds in the own domain, and anywhere: as logged last,
    /// by service. A first line is written also when there are none.
    std::map<std::string, std::optional<std::pair<std::string, std::string>>> m_gaps;
    std::map<std::string, std::uint64_t, std::less<>> m_leftOut; ///< rows' versions, by key
    TrialPermits m_trials;
    CrashUpdate m_unpublishedCrashes; ///< until the store's clock is known
    /// What the store has not taken yet, by row; nothing: the row is dropped.
    std::map<std::string, std::optional<std::string>> m_crashWrites;
    bool m_writingCrashes = false;
    std::uint32_t m_crashFailures = 0; ///< writes that failed in a row
    Time m_crashPauseUntil {};
    bool m_stopping = false;
    bool m_held = false;
};

} // namespace balsamloft
