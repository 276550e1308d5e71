/// \file
/// A connection to the platform's store.

#pragma once

#include "entrystate.h"
#include "timedcall.h"

#include <balsamloft/entryprotocol.h>
#include <balsamloft/storeeras.h>

#include <deque>

namespace balsamloft {

/// An answer of the store with the times of the call.
struct StoreAnswer
{
    StoreReply reply;
    bool mayHaveArrived = false; ///< the call may have reached the store
    Time sentAt {}; ///< measured by bootNow(), like arrivedAt
    Time arrivedAt {};
};

/// Executes calls one after another on one connection. A call that times out closes the
/// connection, since a connection through a partitioned network reports no error.
class StoreChannel
{
public:
    using Callback = std::function<void(StoreAnswer)>;

    /// \a eras: shared by all channels to the store.
    StoreChannel(boost::asio::io_context &context, std::string address,
                 const EntryProtocol &protocol, EntryState &state, StoreEras &eras);
    ~StoreChannel();

    /// The answer is Failed if it belongs to an earlier era than the latest known one.
    void call(StoreUse use, OutgoingCall call, CallLimits limits, Callback callback);

    /// Drops all calls; their callbacks are not called.
    void cancelAll();

private:
    struct PendingCall
    {
        StoreUse use;
        OutgoingCall call;
        CallLimits limits;
        Callback callback;
    };

    void startNext();
    void callFinished(const CallOutcome &outcome, Time sentAt, StoreVersion newestBefore,
                      const Callback &callback);
    StoreReply parse(const CallOutcome &outcome, StoreVersion newestBefore);

    ConnectionPool m_pool;
    std::string m_address;
    const EntryProtocol &m_protocol;
    EntryState &m_state;
    StoreEras &m_eras;
    std::deque<PendingCall> m_pendingCalls;
    std::shared_ptr<TimedCall> m_currentCall;
};

} // namespace balsamloft
