/// \file
/// One call to another process, with a time limit.

#pragma once

#include "connectionpool.h"

#include <balsamloft/calllimits.h>
#include <balsamloft/entryprotocol.h>

#include <boost/asio/steady_timer.hpp>

namespace balsamloft {

/// What became of a call.
struct CallOutcome
{
    int status = 0; ///< 0: no answer
    std::string body;
    bool left = false; ///< it may have arrived
    bool refused = false; ///< nobody listens at the address
};

/// Sends one request, and gives the whole answer, or none, to a callback. An empty
/// request only opens a connection: it counts as left once that is open.
class TimedCall : public std::enable_shared_from_this<TimedCall>, private ExchangeHandler
{
public:
    using Callback = std::function<void(CallOutcome)>;

    TimedCall(ConnectionPool &pool, ExchangeSettings settings, std::string request,
              CallLimits limits, Callback callback);

    void start();

    /// The callback is not called any more.
    void cancel();

private:
    bool maySend() override;
    bool headReceived(MessageReader &answer) override;
    void bodyReceived(MessageReader &answer) override;
    void exchangeFailed(AttemptFailure failure) override;
    void answerReceived(MessageReader &answer) override;
    void armTimer();
    Time end() const { return m_limits.deadline(m_startedAt, m_readAt); }
    void finish();

    boost::asio::steady_timer m_timer;
    CallLimits m_limits;
    Time m_startedAt {};
    std::optional<Time> m_readAt; ///< a part of the answer, last
    bool m_onlyConnects;
    Callback m_callback;
    std::shared_ptr<Exchange> m_exchange;
    CallOutcome m_outcome;
    bool m_over = false;
};

/// Sends \a call to the endpoint with that id and address, on a kept connection
/// where there is one.
void startCall(ConnectionPool &pool, const std::string &endpoint, const std::string &address,
               const OutgoingCall &call, Duration within, TimedCall::Callback callback);

/// The text of a call to \a host, as HTTP/1.1.
std::string formatRequest(const OutgoingCall &call, std::string_view host);

} // namespace balsamloft
