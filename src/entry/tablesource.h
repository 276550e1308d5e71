/// \file
/// Sources that a table is read from: the store, or another instance.

#pragma once

#include "storechannel.h"

#include <balsamloft/instancestate.h>
#include <balsamloft/peerdirectory.h>
#include <balsamloft/readfreshness.h>

#include <limits>

namespace balsamloft {

/// An answer of a source.
struct TableAnswer
{
    StoreReply reply;
    bool answered = false; ///< the source sent an answer, usable or not
    bool isSnapshot = false; ///< a watch() was answered with all rows of the table
    std::optional<Time> knownAt; ///< the rows are complete as of this time (bootNow())
    bool fromStore = false; ///< from the store, or from an instance that last read the store
    EngineReports engines; ///< engine states that another instance sent along
    std::optional<InstanceState> sender; ///< what the other instance knows

    /// The version of the rows.
    StoreVersion version() const { return {reply.era, reply.version}; }

    /// Age of the answer at \a now; 0 if unknown.
    Duration age(Time now) const
    {
        return knownAt ? std::max(Duration {}, now - *knownAt) : Duration {};
    }
};

/// A source of one table.
class TableSource
{
public:
    using Callback = std::function<void(TableAnswer)>;

    virtual ~TableSource() = default;

    /// Name of the instance that is queried; empty: the store.
    virtual const std::string &peer() const = 0;

    bool isStore() const { return peer().empty(); }

    /// Reads a page of rows from the key \a from on. Another instance that has no data yet delays
    /// its answer by up to \a wait until it has data.
    virtual void read(const std::string &from, Duration wait, Callback callback) = 0;

    /// Reads the changes after the version \a after, as soon as there are any or after \a wait.
    virtual void watch(StoreVersion after, Duration wait, Callback callback) = 0;

    /// Drops the query that is under way; its callback is not called.
    virtual void cancel() = 0;
};

/// Reads from the store.
class StoreSource : public TableSource
{
public:
    StoreSource(boost::asio::io_context &context, const std::string &address,
                const EntryProtocol &protocol, EntryState &state, StoreEras &eras,
                std::string table);

    const std::string &peer() const override { return m_noPeer; }
    void read(const std::string &from, Duration wait, Callback callback) override;
    void watch(StoreVersion after, Duration wait, Callback callback) override;
    void cancel() override;

private:
    void deliver(StoreAnswer answer, const Callback &callback);

    const EntryProtocol &m_protocol;
    std::string m_table;
    std::string m_noPeer;
    StoreChannel m_channel;
    ReadFreshness m_freshness;
};

/// Reads from another instance that replicates the table.
class PeerSource : public TableSource
{
public:
    /// \a table: a SharedTable. \a lastReportAt: time at which any of the sources that share this
    /// pointer last sent engine states; default: never.
    /// \a self: returns what this instance tells the other one.
    PeerSource(boost::asio::io_context &context, PeerInstance peer, std::size_t table,
               std::shared_ptr<Time> lastReportAt, std::function<InstanceState()> self);
    ~PeerSource() override;

    const std::string &peer() const override { return m_peer.name; }
    const PeerInstance &instance() const { return m_peer; }
    void read(const std::string &from, Duration wait, Callback callback) override;
    void watch(StoreVersion after, Duration wait, Callback callback) override;
    void cancel() override;

private:
    void sendQuery(StoreVersion after, Duration wait, Callback callback);
    TableAnswer decode(const CallOutcome &outcome, Time sentAt);
    Duration changedWithin() const;

    ConnectionPool m_pool;
    PeerInstance m_peer;
    std::size_t m_table;
    ReadFreshness m_freshness;
    std::shared_ptr<Time> m_lastReportAt;
    std::function<InstanceState()> m_self;
    std::uint64_t m_statesUntilMs = 0; ///< on the peer's clock: all states until then were received
    /// Configuration that the peer had in force when it last answered.
    std::uint64_t m_peerConfiguration = std::numeric_limits<std::uint64_t>::max();
    std::shared_ptr<TimedCall> m_call;
};

} // namespace balsamloft
