/// \file
/// One connection to the platform's store.

#pragma once

#include "entrystate.h"
#include "timedcall.h"

#include <balsamloft/entryprotocol.h>

#include <deque>

namespace balsamloft {

/// An answer of the store and when it was asked for.
struct StoreAnswer
{
    StoreReply reply;
    bool left = false; ///< the call may have reached the store
    Time sentAt {}; ///< on the clock that counts suspension
    Time arrivedAt {};
};

/// Makes calls one after another on one connection. A call that is not
/// answered in time ends its connection: one that went silent never says so.
class StoreChannel
{
public:
    using Callback = std::function<void(StoreAnswer)>;

    StoreChannel(boost::asio::io_context &context, std::string address,
                 const EntryProtocol &protocol, EntryState &state);
    ~StoreChannel();

    void call(StoreUse use, OutgoingCall call, CallLimits limits, Callback callback);

private:
    struct Waiting
    {
        StoreUse use;
        OutgoingCall call;
        CallLimits limits;
        Callback callback;
    };

    void next();
    void finished(const CallOutcome &outcome, Time sentAt, const Callback &callback);

    ConnectionPool m_pool;
    std::string m_address;
    const EntryProtocol &m_protocol;
    EntryState &m_state;
    std::deque<Waiting> m_waiting;
    std::shared_ptr<TimedCall> m_running;
};

} // namespace balsamloft
