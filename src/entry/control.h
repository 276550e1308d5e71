/// \file
/// The control thread: replicates the tables of the store, polls engines and places model layers.
/// Orders that release layers require the placement lease.

#pragma once

#include "peerserver.h"
#include "settings.h"
#include "tablefollower.h"

#include <balsamloft/admission/loadexchange.h>
#include <balsamloft/admission/loadroute.h>
#include <balsamloft/configurationfetch.h>
#include <balsamloft/crashgossip.h>
#include <balsamloft/eraage.h>
#include <balsamloft/gapfiller.h>
#include <balsamloft/instancelist.h>
#include <balsamloft/layerplanner.h>
#include <balsamloft/lease.h>
#include <balsamloft/loopdelay.h>
#include <balsamloft/peerdirectory.h>
#include <balsamloft/silencedetector.h>
#include <balsamloft/storeeras.h>
#include <balsamloft/trialpermits.h>

#include <functional>
#include <random>

namespace balsamloft {

/// Name of the table that lists the instances, and row key of the placement lease.
inline constexpr std::string_view InstanceTable = "instances";
inline constexpr std::string_view LeaseKey = "placement";

/// Name of the table of crashes and trials. A crash is recorded with the request during which an
/// endpoint crashed. A trial is a permit to send such a request again.
inline constexpr std::string_view CrashTable = "crashes";

/// Timeout of a call to the store.
inline constexpr Duration StoreCallTimeout {900'000};

/// How rows of the list of endpoints were read.
enum class ListUpdate : std::uint8_t {
    Changes,
    Snapshot,
    Restored, ///< the first snapshot of an era of the store
};

/// Parses the row of a trial, as of \a era of the store. Returns nothing if the row was not written
/// by an instance.
std::optional<TrialRow> parseTrial(const StoreRow &row, std::uint64_t era);

/// Callbacks from the control thread to the traffic thread.
struct ControlEvents
{
    std::function<void(RouteMapPtr)> table;
    std::function<void(FleetPtr)> fleet;
    std::function<void(KnownInstances)> instances;
    std::function<void(EngineReports)> engines;
    std::function<void(std::vector<CrashRecord>)> crashes; ///< of all instances
    /// The load of all instances, at most twice a second; only with admission control.
    std::function<void(FleetLoad)> loads;
};

/// Replicates the store's tables, polls engines and places layers.
class Control
{
public:
    Control(boost::asio::io_context &context, const EntrySettings &settings,
            const EntryProtocol &protocol, EntryState &state, ControlEvents events);

    /// Listens for other instances.
    /// \return whether listening succeeded; otherwise \a reason is set.
    bool listen(Reason &reason);
    void start();

    /// Polls an engine immediately because it did not answer the traffic thread.
    void engineSilent(const std::string &id);

    /// An endpoint announced its exit in an answer. It gets no new requests or layers, whatever the
    /// list of endpoints says.
    void endpointDraining(const std::string &id);

    /// Writes crashes that occurred during requests to the store, and deletes records that the
    /// relay withdrew.
    void publishCrashes(const CrashUpdate &update);

    /// Requests a permit for a trial from the store. \a answered is always called.
    void requestTrial(const TrialRequest &request, std::function<void(TrialAnswer)> answered);

    /// Releases the permit of a finished trial.
    void finishTrial(const FinishTrial &trial);

    /// Sets the load of this instance, which is sent to the others. Ignored without admission
    /// control.
    void setOwnLoad(LoadSummary load);

    /// Releases the lease and removes this instance from the list, then calls \a done.
    void stop(std::function<void()> done);

private:
    /// State of the polls of an engine, and its last answer.
    struct PolledEngine
    {
        EngineState state;
        LayerRange layers; ///< as reported by the engine
        bool busy = false;
        Time answeredAt {};
        Time polledAt {};
        bool pollPending = false;
        double previousUsed = 0; ///< `state.used` of the previous report
    };

    TableEvents tableEvents(SharedTable table);
    RestorePolicy restorePolicy(SharedTable table) const;
    void noticeEra();
    void eraLearnt(Time now);
    void eraBegan();
    void storeRestored(Duration age);
    InstanceState ownState() const;
    void stateReceived(const InstanceState &state);
    void peerAnswered(const TableAnswer &answer, const PeerInstance &peer);
    void eraAgeHeard(const InstanceState &state);
    bool mayLackKeys(Time now) const;
    InstanceState stateForQuery(const PeerInstance &peer, SharedTable table);
    InstanceState stateForAnswer(const InstanceState &sender) const;
    bool sumsUpLoads(Time now) const;
    void subtreeReceived(const InstanceState &sender);
    void totalReceived(const InstanceState &sender);
    void tickLoads();
    void configurationHeard(std::uint64_t version, const PeerInstance &peer);
    void fetchConfiguration(const PeerInstance &peer);
    void writeLostRows(Time now);
    void writeLostTrial(const StoreRow &row);
    void updateClock(const TableAnswer &answer);
    std::unique_ptr<PeerSource> makePeerSource(const PeerInstance &peer, SharedTable table,
                                               std::shared_ptr<Time> lastReportAt);
    SourceChoice chooseSource(SharedTable table);
    void sourceFailed(const TableSource &source, bool answered);
    void tableAnswered(SharedTable table, const TableSource &source, const TableAnswer &answer);
    bool isDomainReader() const;
    void logSkippedRow(const StoreRow &row, const Reason &reason);
    void applyConfigurationRows(const std::vector<StoreRow> &rows);
    bool takeConfiguration(const std::string &text, StoreVersion version);
    void applyEndpointRows(const std::vector<StoreRow> &rows, ListUpdate update, Time knownAt);
    void applyEndpointRow(const StoreRow &row, Time knownAt);
    std::optional<FleetEndpoint> parseEndpointRow(const StoreRow &row);
    void publishFleet();
    void logCoverage();
    void logDepartures(const FleetSnapshot &before, const FleetSnapshot &after);
    void tick();
    void followRemainingTables();
    void logStoreCalls(Time now);
    void leaseActions(LeaseActions actions);
    void readLease(std::uint64_t id);
    void writeLease(WriteLease write);
    void updateInstances();
    void writeInstanceRow(bool leaving, std::function<void()> done);
    void queueCrashWrites(const CrashUpdate &update);
    void writeCrashes(Time now);
    void crashWriteFinished(const std::vector<RowWrite> &writes, bool done);
    void applyCrashRows();
    void crashNoticesReceived(std::span<const CrashNotice> notices);
    void sendCrashNotices();
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
    void placeLayers(Time now);
    void fillGaps(Time now);
    FleetSnapshot ownDomainSnapshot(Time now) const;
    void startOrder(const LayerOrder &order);
    void sendOrder(const LayerOrder &order, std::uint64_t expectedOrders);
    void orderFinished(const LayerOrder &order, OrderReply reply, int status);
    void engineCall(const std::string &endpoint, const std::string &address,
                    const OutgoingCall &call, TimedCall::Callback callback);

    boost::asio::io_context &m_context;
    const EntrySettings &m_settings;
    const EntryProtocol &m_protocol;
    EntryState &m_state;
    ControlEvents m_events;
    StoreEras m_eras;
    std::optional<std::uint64_t> m_seenEra; ///< set with the first answer
    std::optional<Time> m_eraBeganAt; ///< steadyNow() when this process saw the present era begin
    EraAge m_eraAge; ///< in steadyNow()
    Time m_lostRowsDueAt = Time::max(); ///< steadyNow() at which lost rows are written again
    boost::asio::steady_timer m_timer;
    LoopDelay m_loopDelay;
    PeerServer m_server;
    PeerDirectory m_directory;
    std::array<std::unique_ptr<StoreSource>, SharedTableCount> m_storeSources;
    std::array<std::map<std::string, std::unique_ptr<PeerSource>>, SharedTableCount> m_peerSources;
    std::array<std::unique_ptr<TableFollower>, SharedTableCount> m_followers;
    std::map<std::string, PolledEngine> m_polled; ///< by id
    SilenceDetector m_silence; ///< of the engines in m_polled
    bool m_polledDirty = false;
    /// When another instance of the domain last sent engine states.
    std::shared_ptr<Time> m_lastReportAt = std::make_shared<Time>();
    EngineReports m_otherDomainReports; ///< engine states of other domains to publish next
    std::map<std::string, std::unique_ptr<PeerSource>> m_otherDomainSources;
    Time m_otherDomainsQueriedAt {};
    StoreChannel m_channel;
    ConnectionPool m_peers; ///< to other instances, for crash notices
    CrashGossip m_crashGossip;
    StoreChannel m_crashChannel; ///< separate, so that trial permits don't wait for slower calls
    EndpointLinks m_links; ///< of the control thread's own connections
    ConnectionPool m_engines;
    FleetTracker m_fleet;
    FleetPtr m_fleetSnapshot;
    RouteMapPtr m_table;
    StoreVersion m_tableRowVersion; ///< version of the row that m_table comes from
    /// Sources that a newer configuration is fetched from, if it does not come the usual way.
    std::map<std::string, std::unique_ptr<PeerSource>> m_configurationSources;
    ConfigurationFetch m_configurationFetch;
    InstanceList m_instanceList;
    std::vector<PeerInstance> m_instances;
    Duration m_publishedClockOffset {}; ///< last published KnownInstances::storeClockOffset
    LeaseManager m_lease;
    LayerPlanner m_planner;
    GapFiller m_gapFiller;
    std::optional<LoadExchange> m_loads; ///< in bootNow(); only with admission control
    LoadRoute m_loadRoute;
    Time m_domainReaderAt {}; ///< bootNow() when this instance was last the domain reader
    Time m_loadsPublishedAt {}; ///< bootNow()
    std::uint32_t m_loggedInstances = 0; ///< instances in the last logged total
    Time m_instanceRowWrittenAt {};
    Time m_storeCallsLoggedAt {};
    std::array<std::uint64_t, StoreUseNames.size()> m_loggedStoreCalls {}; ///< by use
    bool m_followingAll = false; ///< follows all tables, not only the list of instances
    Time m_followingSince {}; ///< bootNow() when m_followingAll was set
    std::optional<Duration> m_storeOffset; ///< store's clock minus bootNow()
    std::uint64_t m_storeOffsetEra = 0; ///< era of the store in which it was measured
    /// Last logged coverage gaps of this instance's domain and of all domains, by service. Empty
    /// until the first log line, which is written even if there are no gaps.
    std::map<std::string, std::optional<std::pair<std::string, std::string>>> m_loggedGaps;
    /// Versions of the invalid endpoint rows that were already counted and logged, by key.
    std::map<std::string, std::uint64_t, std::less<>> m_skippedRows;
    TrialPermits m_trialPermits;
    CrashUpdate m_unpublishedCrashes; ///< kept until the store's clock is known
    /// Writes that the store has not confirmed, by row key; no value: the row is deleted.
    std::map<std::string, std::optional<std::string>> m_pendingCrashWrites;
    /// Writes that the store has confirmed, but that were not read from it yet.
    std::map<std::string, std::optional<std::string>> m_unreadCrashWrites;
    std::mt19937_64 m_random;
    bool m_writingCrashes = false; ///< a write is in progress
    std::uint32_t m_crashFailures = 0; ///< consecutive failed writes
    Time m_crashPauseUntil {};
    bool m_stopping = false;
    bool m_heldLease = false;
};

} // namespace balsamloft
