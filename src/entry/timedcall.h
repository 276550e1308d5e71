/// \file
/// An HTTP call to another process with time limits.

#pragma once

#include "connectionpool.h"

#include <balsamloft/calllimits.h>
#include <balsamloft/entryprotocol.h>

#include <boost/asio/steady_timer.hpp>

namespace balsamloft {

/// The result of a call.
struct CallOutcome
{
    int status = 0; ///< 0: no answer
    MessageHead head;
    std::string body;
    bool mayHaveArrived = false; ///< the request may have reached the called process
    bool connectionRefused = false; ///< no process listens at the address
    bool forwarded = false; ///< another instance forwarded the connection
    /// That instance ended. Nothing is known of the called process.
    bool forwarderLost = false;
};

/// Sends one request and passes the complete answer, or a failure, to a callback. Time in which the
/// event loop does not run does not count towards the limits. An empty request
/// only tests whether a connection can be opened; CallOutcome::mayHaveArrived then tells whether
/// the test succeeded.
class TimedCall : public std::enable_shared_from_this<TimedCall>,
                  private ExchangeHandler,
                  private ResourceHolder
{
public:
    using Callback = std::function<void(CallOutcome)>;

    TimedCall(ConnectionPool &pool, ExchangeSettings settings, std::string request,
              CallLimits limits, Callback callback);

    void start();

    /// Cancels the call. The callback is not called.
    void cancel();

private:
    bool maySend() override;
    bool mayHold(std::uint64_t bytes) override;
    void displace() override { } // its progress is up to the called process
    bool headReceived(MessageReader &answer) override;
    void bodyReceived(MessageReader &answer) override;
    void exchangeFailed(AttemptFailure failure) override;
    void answerReceived(MessageReader &answer) override;
    void armTimer();
    void timerFired();
    Duration timerInterval(Time now) const;
    Time deadline() const { return m_limits.deadline(m_startedAt, m_lastReadAt) + m_lateTime; }
    void finish();

    boost::asio::steady_timer m_timer;
    CallLimits m_limits;
    Time m_startedAt {};
    std::optional<Time> m_lastReadAt; ///< when the last part of the answer arrived
    Duration m_lateTime {}; ///< sum of the delays with which the timer ran
    bool m_connectOnly;
    Callback m_callback;
    std::optional<ResourceHold> m_hold; ///< of the answer, if the pool counts answers
    std::shared_ptr<Exchange> m_exchange;
    CallOutcome m_outcome;
    bool m_finished = false;
};

/// The settings of an exchange that asks the endpoint with the id \a endpoint at \a address for
/// something short.
ExchangeSettings endpointCallSettings(std::string endpoint, std::string address);

/// Sends \a call, whose answer is short, to the endpoint or instance with the id \a endpoint at \a
/// address, on a pooled connection if there is one.
void startCall(ConnectionPool &pool, const std::string &endpoint, const std::string &address,
               const OutgoingCall &call, Duration timeout, TimedCall::Callback callback);

/// Formats \a call as an HTTP/1.1 request to \a host.
std::string formatRequest(const OutgoingCall &call, std::string_view host);

} // namespace balsamloft
