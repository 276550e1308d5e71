/// \file
/// The control thread: what the instance knows of configuration, endpoints and
/// other instances, and the placement of layers while it holds the lease.

#pragma once

#include "settings.h"
#include "tablefollower.h"

#include <balsamloft/layerplanner.h>
#include <balsamloft/lease.h>
#include <balsamloft/readfreshness.h>

#include <functional>

namespace balsamloft {

/// What the control thread tells the traffic thread.
struct ControlEvents
{
    std::function<void(RouteTablePtr)> table;
    std::function<void(FleetPtr)> fleet;
    std::function<void(double)> sharers; ///< instances in this one's domain
};

/// Follows the store, and places layers.
class Control
{
public:
    Control(boost::asio::io_context &context, const EntrySettings &settings,
            const EntryProtocol &protocol, EntryState &state, ControlEvents events);

    void start();

    /// Gives the lease back and leaves the list of instances, then calls \a done.
    void stop(std::function<void()> done);

private:
    void configurationRows(const std::vector<StoreRow> &rows);
    void endpointRows(const std::vector<StoreRow> &rows, bool whole);
    void tellFleet();
    void tick();
    void leaseActions(LeaseActions actions);
    void readInstances(std::optional<std::uint64_t> leaseRead);
    void instancesArrived(const StoreAnswer &answer, std::optional<std::uint64_t> leaseRead);
    void countInstances(const std::vector<StoreRow> &rows, std::int64_t storeMs);
    void writeInstance(bool leaving, std::function<void()> done);
    void place(Time now);
    void giveOrder(const LayerOrder &order);
    void sendOrder(const LayerOrder &order, std::uint64_t expectedOrders);
    void orderOutcome(const LayerOrder &order, OrderReply reply, int status);
    void engineCall(const LayerOrder &order, const OutgoingCall &call, OneCall::Callback callback);

    boost::asio::io_context &m_context;
    const EntrySettings &m_settings;
    const EntryProtocol &m_protocol;
    EntryState &m_state;
    ControlEvents m_events;
    boost::asio::steady_timer m_timer;
    TableFollower m_configuration;
    TableFollower m_endpoints;
    StoreChannel m_channel;
    EnginePool m_engines;
    ReadFreshness m_freshness;
    FleetKeeper m_fleet;
    FleetPtr m_fleetNow;
    RouteTablePtr m_table;
    std::uint64_t m_tableRow = 0; ///< version of the row in force
    LeaseKeeper m_lease;
    LayerPlanner m_planner;
    Time m_membersAt {};
    Time m_writtenAt {};
    std::optional<Duration> m_storeOffset; ///< store's time minus own time
    double m_sharers = 0;
    bool m_stopping = false;
    bool m_held = false;
};

} // namespace balsamloft
