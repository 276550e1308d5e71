/// \file
/// Simulates, in virtual time, a fleet whose store comes back from a copy of its content. The
/// followers, copies, list of endpoints and choices of sources are the code under test; the store,
/// its writers and the network are modelled.

#pragma once

#include "../entry/tablefollower.h"

#include <balsamloft/configurationfetch.h>
#include <balsamloft/enginefleet.h>
#include <balsamloft/peerdirectory.h>
#include <balsamloft/storeeras.h>

#include <array>
#include <map>
#include <memory>

namespace balsamloft::fakes {

/// A fleet of instances in three domains that replicate the configuration and the endpoints.
class RestoreFleet
{
public:
    RestoreFleet(std::size_t instances, std::size_t endpoints);
    ~RestoreFleet();

    // Commands

    void run(Duration length);

    /// The operator writes \a version of the configuration.
    void writeConfiguration(std::uint64_t version);

    /// An endpoint writes its entry; \a leaving: it leaves.
    void writeEndpoint(std::size_t endpoint, bool leaving = false);
    void dropEndpoint(std::size_t endpoint);

    /// Remembers the store's content; restore() brings it back.
    void copyStore();

    /// Begins a new era after the store was away for \a away. \a breaksCalls: calls that wait fail;
    /// otherwise they are answered in the new era.
    void restore(Duration away, bool breaksCalls = true);

    /// From now on the store answers no call of the instance.
    void cutFromStore(std::size_t instance, bool cut);
    void stop(std::size_t instance);
    void start(std::size_t instance);

    // Queries

    std::size_t size() const;
    Time now() const { return m_now; }

    /// Operators' version in force; 0: none.
    std::uint64_t inForce(std::size_t instance) const;

    /// The lowest version in force at all running instances.
    std::uint64_t lowestInForce() const;

    /// Whether the instance sends requests to the endpoint.
    bool uses(std::size_t instance, std::size_t endpoint) const;

    /// The number of running instances that send requests to the endpoint.
    std::size_t users(std::size_t endpoint) const;

    std::uint64_t storeCalls() const { return m_storeCalls; }

    /// Bytes of rows that instances sent to each other.
    std::uint64_t peerBytes() const { return m_peerBytes; }

private:
    class Source;
    struct Instance;
    struct Query;
    struct Table
    {
        std::map<std::string, StoreRow> rows; ///< deleted ones included
        std::uint64_t newest = 0;
    };
    struct Content
    {
        std::array<Table, 2> tables;
        std::uint64_t number = 100;
    };

    void write(std::size_t table, StoreRow row);
    bool answerFromStore(const Query &query, TableAnswer &answer);
    bool answerFromPeer(const Query &query, TableAnswer &answer);
    void queryOtherDomains();
    void startFollowers(Instance &instance);
    void noticeEra(Instance &instance);
    void heard(Instance &instance, std::uint64_t version, std::size_t peer);
    TableEvents tableEvents(Instance &instance, std::size_t table);
    SourceChoice chooseSource(Instance &instance, std::size_t table);
    void tableAnswered(Instance &instance, std::size_t table, const TableSource &source,
                       const TableAnswer &answer);
    void takeConfiguration(Instance &instance, const std::string &text);

    Time m_now {std::chrono::hours(1)};
    Content m_store;
    Content m_copy;
    std::uint64_t m_era = 1;
    Time m_awayUntil {};
    std::vector<PeerInstance> m_list;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<Query> m_queries;
    std::multimap<Time, std::function<void()>> m_timers;
    Time m_tickAt {};
    Time m_readersAskAt {}; ///< when the readers of the domains next query each other
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_peerBytes = 0;
};

} // namespace balsamloft::fakes
