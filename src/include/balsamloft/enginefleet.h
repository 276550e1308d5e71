/// \file
/// The endpoints as the platform lists them, through outages of the list.

#pragma once

#include <balsamloft/types.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamloft {

/// One process of an endpoint. A restart is another one: it holds and knows
/// nothing of the one before, whether or not it is listed under the same name.
struct FleetEndpoint
{
    std::string id; ///< of this process alone, see processId()
    std::string name; ///< that it is listed under; a restart may keep it
    std::uint64_t startedAt = 0; ///< when it started, Unix milliseconds; 0: not told
    std::string service;
    std::string address; ///< "IP:port"; used again by others once this one is gone
    std::string domain;
    std::string kind; ///< of accelerator; empty for plain services
    std::uint32_t slots = 1;
    bool draining = false;
    LayerRange layers; ///< held; empty: none
    bool busy = false; ///< an order is in progress

    bool operator==(const FleetEndpoint &) const = default;
};

/// The id of the process that is listed under \a name and was started at \a startedAt.
/// All that is believed of an endpoint is kept under it: a restart under the same
/// name would else inherit the load, the suspicion and the orders of the dead one.
std::string processId(std::string_view name, std::uint64_t startedAt);

/// The endpoints at one moment. Immutable.
struct FleetSnapshot
{
    std::uint64_t number = 0; ///< rises with each snapshot of a process
    std::vector<FleetEndpoint> endpoints;
    /// Positions of the endpoints in the order of their ids, see indexById(); empty: all are
    /// looked at.
    std::vector<std::uint32_t> byId;

    /// Makes find() fast; to be called when all endpoints are there.
    void indexById();
    const FleetEndpoint *find(std::string_view id) const;
    const FleetEndpoint *atAddress(std::string_view address) const;

    /// Ids of engines of \a service that are listed still and surely gone: an engine starts
    /// without layers, so one that has some ended if another has none at its address.
    std::set<std::string> replaced(std::string_view service) const;
};

using FleetPtr = std::shared_ptr<const FleetSnapshot>;

/// Settings of a FleetTracker.
struct FleetSettings
{
    /// Entries that vanished in an outage of the list come back within this time.
    Duration recoveryTime {2'000'000};
    /// How often endpoints write themselves down.
    Duration heartbeatInterval {1'200'000};
    /// Beats that an endpoint misses before its entry may lapse.
    double heartbeatsToExpire = 3;
};

/// Follows the list of endpoints. It forgets an entry at once when the list is
/// well, but after an outage only once the entry had time to come back: entries
/// lapse while the list is down although their endpoints live. What was not
/// heard of for less time than an entry needs to lapse was no such outage.
class FleetTracker
{
public:
    explicit FleetTracker(FleetSettings settings = {});

    // Commands

    /// The whole list, as read at \a now.
    void listed(std::vector<FleetEndpoint> endpoints, Time now);

    /// One entry was written.
    void changed(FleetEndpoint endpoint, Time now);

    /// The entry under \a name was dropped, or names no endpoint any more.
    void dropped(std::string_view name, Time now);

    /// The list was as told at \a now, whether or not anything had changed. Here as
    /// above, the time is that of the list's own answer, however late it came.
    void heard(Time now);

    /// Forgets what had its time to come back.
    void tick(Time now);

    // Queries

    /// Whether endpoints changed since the last snapshot.
    bool dirty() const { return m_dirty; }
    FleetPtr snapshot();
    bool known() const { return m_known; }

private:
    struct Entry
    {
        FleetEndpoint endpoint;
        std::optional<Time> forgetAt; ///< vanished; set only around an outage
    };

    Duration shortestOutage() const;
    bool outdated(const FleetEndpoint &endpoint) const;
    void forgetOldStarts(Time now);
    void vanished(std::map<std::string, Entry, std::less<>>::iterator it, Time now);

    FleetSettings m_settings;
    /// The youngest start that was seen under a name.
    struct Start
    {
        std::uint64_t startedAt = 0;
        Time seenAt {}; ///< last heard of
        bool leaving = false; ///< it announced that it leaves
    };

    std::map<std::string, Entry, std::less<>> m_entries; ///< by name
    std::map<std::string, Start, std::less<>> m_starts; ///< by name, also of those that are gone
    bool m_known = false;
    bool m_dirty = false;
    Time m_heardAt {};
    Time m_outageEndedAt {}; ///< when the list answered again after an outage
    std::uint64_t m_number = 0;
};

} // namespace balsamloft
