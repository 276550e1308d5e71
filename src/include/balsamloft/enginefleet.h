/// \file
/// The endpoints that the platform lists, kept through outages of the list.

#pragma once

#include <balsamloft/types.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamloft {

/// One process of an endpoint. A restarted process is a different FleetEndpoint, even if it is
/// listed under the same name: it has neither the layers nor the requests of the old one.
struct FleetEndpoint
{
    std::string id; ///< of this process alone, see processId()
    std::string name; ///< that it is listed under; a restarted process may reuse it
    std::uint64_t startedAt = 0; ///< Unix milliseconds; 0: unknown
    std::string service;
    std::string address; ///< "IP:port"; may be reused by another endpoint later
    std::string domain;
    std::string kind; ///< of accelerator; empty for plain services
    std::uint32_t slots = 1;
    bool draining = false;
    LayerRange layers; ///< held; empty: none
    bool busy = false; ///< an order is in progress

    bool operator==(const FleetEndpoint &) const = default;
};

/// Returns the id of the process that is listed under \a name and started at \a startedAt. All
/// records of an endpoint are kept by this id, so that a restarted process doesn't inherit the
/// load, suspicion and orders of the old one.
std::string processId(std::string_view name, std::uint64_t startedAt);

/// The endpoints at one moment. Immutable.
struct FleetSnapshot
{
    std::uint64_t number = 0; ///< rises with each snapshot of a process
    std::vector<FleetEndpoint> endpoints;
    /// Indexes of \a endpoints in the order of their ids, see indexById(). If empty, find()
    /// searches linearly.
    std::vector<std::uint32_t> byId;

    /// Speeds up find(). Call it once all endpoints are added.
    void indexById();
    const FleetEndpoint *find(std::string_view id) const;

    /// The endpoint at \a address, preferably one that is not draining.
    const FleetEndpoint *findByAddress(std::string_view address) const;

    /// Ids of engines of \a service that are still listed but have certainly terminated. An
    /// engine starts without layers, so one with layers has terminated if another engine at
    /// its address has none.
    std::set<std::string> replaced(std::string_view service) const;
};

using FleetPtr = std::shared_ptr<const FleetSnapshot>;

/// Times after which entries of the list expire or are removed.
struct FleetSettings
{
    /// Time in which entries that expired during an outage of the list are written again.
    Duration recoveryTime {2'000'000};
    /// Interval at which endpoints renew their entries.
    Duration heartbeatInterval {1'200'000};
    /// Heartbeats that an endpoint misses before its entry may expire.
    double heartbeatsToExpire = 3;
};

/// Follows the list of endpoints. While the list is available, an entry that disappears is
/// removed at once. After an outage it is removed only if it is not written again in time,
/// because entries expire while the list is down even though their endpoints are alive. An
/// outage is a time without any answer that is long enough for entries to expire.
class FleetTracker
{
public:
    explicit FleetTracker(FleetSettings settings = {});

    // Commands
    //
    // All times are those at which the list answered, even if the answer arrived later.

    /// The whole list, as read at \a now.
    void listed(std::vector<FleetEndpoint> endpoints, Time now);

    /// The whole list, read at \a now from a store that has lost its last writes. Entries that it
    /// lacks and older contents of known entries count only if their endpoints do not write them
    /// again in time.
    void listedAfterRestore(std::vector<FleetEndpoint> endpoints, Time now);

    /// An entry was written.
    void changed(FleetEndpoint endpoint, Time now);

    /// The entry under \a name was deleted, or is no valid endpoint any more.
    void dropped(std::string_view name, Time now);

    /// The process \a id announced its exit in an answer, whatever its entry says.
    void announcedExit(std::string_view id, Time now);

    /// The last received state of the list was still current at \a now.
    void listConfirmed(Time now);

    /// Removes entries that were not written again in time after an outage.
    void tick(Time now);

    // Queries

    /// Whether endpoints changed since the last snapshot.
    bool dirty() const { return m_dirty; }
    FleetPtr snapshot();

    /// Whether the list was read at least once.
    bool loaded() const { return m_loaded; }

private:
    struct Entry
    {
        FleetEndpoint endpoint;
        std::optional<Time> removeAt; ///< set if it disappeared right after an outage
        std::optional<FleetEndpoint> restored {}; ///< what a restored store lists
    };

    Duration minOutage() const;
    bool isOutdated(const FleetEndpoint &endpoint) const;
    void removeOldStarts(Time now);
    void takeRestoredEntries(Time now);
    void removeOrDelay(std::map<std::string, Entry, std::less<>>::iterator it, Time now);

    FleetSettings m_settings;
    /// The latest known start of a process under a name.
    struct Start
    {
        std::uint64_t startedAt = 0;
        Time seenAt {}; ///< when it was last seen in the list
        bool leaving = false; ///< it announced that it will exit
    };

    std::map<std::string, Entry, std::less<>> m_entries; ///< by name
    std::map<std::string, Start, std::less<>> m_starts; ///< by name, removed entries included
    bool m_loaded = false;
    bool m_dirty = false;
    Time m_confirmedAt {};
    Time m_outageEndedAt {}; ///< when the list answered again after an outage
    std::uint64_t m_number = 0;
};

} // namespace balsamloft
