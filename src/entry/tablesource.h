/// \file
/// Where a table is read from: the store itself, or another instance.

#pragma once

#include "storechannel.h"

#include <balsamloft/peerdirectory.h>
#include <balsamloft/readfreshness.h>

namespace balsamloft {

/// An answer about a table.
struct TableAnswer
{
    StoreReply reply;
    bool answered = false; ///< the one that was asked said something
    bool whole = false; ///< the rows are all of the table, in answer to a watch
    std::optional<Time> knownAt; ///< complete as of then; on the clock that counts suspension
    bool direct = false; ///< the store's own answer, or that of one that had it from the store
    EngineReports engines; ///< told along by another instance

    /// How old what was told is at \a now; none when that was not told.
    Duration age(Time now) const
    {
        return knownAt ? std::max(Duration {}, now - *knownAt) : Duration {};
    }
};

/// Reads one table.
class TableSource
{
public:
    using Callback = std::function<void(TableAnswer)>;

    virtual ~TableSource() = default;

    /// Name of the instance that is asked; empty: the store.
    virtual const std::string &peer() const = 0;

    bool isStore() const { return peer().empty(); }

    /// A page of the rows from the key \a from on; another instance that knows none
    /// yet may take \a wait until it does.
    virtual void read(const std::string &from, Duration wait, Callback callback) = 0;

    /// Changes after a version, once there are any or \a wait is over.
    virtual void watch(std::uint64_t after, Duration wait, Callback callback) = 0;
};

/// The store itself.
class StoreSource : public TableSource
{
public:
    StoreSource(boost::asio::io_context &context, const std::string &address,
                const EntryProtocol &protocol, EntryState &state, std::string table);

    const std::string &peer() const override { return m_nobody; }
    void read(const std::string &from, Duration wait, Callback callback) override;
    void watch(std::uint64_t after, Duration wait, Callback callback) override;

private:
    void pass(StoreAnswer answer, const Callback &callback);

    const EntryProtocol &m_protocol;
    std::string m_table;
    std::string m_nobody;
    StoreChannel m_channel;
    ReadFreshness m_freshness;
};

/// Another instance that follows the same table.
class PeerSource : public TableSource
{
public:
    /// \a table: which of the tables that instances tell each other of. \a reportsAt: when
    /// any of the sources told states of engines last; never: the beginning of time.
    PeerSource(boost::asio::io_context &context, PeerInstance peer, std::size_t table,
               std::shared_ptr<Time> reportsAt);
    ~PeerSource() override;

    const std::string &peer() const override { return m_peer.name; }
    const PeerInstance &instance() const { return m_peer; }
    void read(const std::string &from, Duration wait, Callback callback) override;
    void watch(std::uint64_t after, Duration wait, Callback callback) override;

private:
    void ask(std::uint64_t after, Duration wait, Callback callback);
    TableAnswer decode(const CallOutcome &outcome, Time sentAt);
    Duration changedWithin() const;

    ConnectionPool m_pool;
    PeerInstance m_peer;
    std::size_t m_table;
    ReadFreshness m_freshness;
    std::shared_ptr<Time> m_reportsAt;
    std::uint64_t m_toldMs = 0; ///< up to when it told of engines, on its own clock
    std::shared_ptr<TimedCall> m_call;
};

} // namespace balsamloft
