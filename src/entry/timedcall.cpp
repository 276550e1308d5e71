#include "timedcall.h"

#include "clock.h"
#include "connector.h"

namespace balsamloft {

TimedCall::TimedCall(ConnectionPool &pool, ExchangeSettings settings, std::string request,
                     CallLimits limits, Callback callback)
    : m_timer(pool.context())
    , m_limits(limits)
    , m_connectOnly(request.empty())
    , m_callback(std::move(callback))
    , m_exchange(std::make_shared<Exchange>(pool, std::move(settings), std::move(request)))
{
}

void TimedCall::start()
{
    m_startedAt = steadyNow();
    m_exchange->start(*this, m_startedAt);
    armTimer();
}

void TimedCall::armTimer()
{
    const Time now = steadyNow();
    const bool asksPeers = m_exchange->isConnecting() && m_exchange->pool().links();
    m_timer.expires_after(asksPeers ? std::min(deadline() - now, AskPeerInterval)
                                    : deadline() - now);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->m_finished)
            return;
        const Time now = steadyNow();
        if (now < self->deadline()) {
            self->m_exchange->tick(now);
            return self->m_finished ? void() : self->armTimer();
        }
        self->m_exchange->cancel();
        self->finish();
    });
}

void TimedCall::cancel()
{
    m_finished = true;
    m_timer.cancel();
    m_exchange->cancel();
}

bool TimedCall::maySend()
{
    m_outcome.mayHaveArrived = true;
    if (!m_connectOnly)
        return true;
    m_exchange->cancel();
    finish();
    return false;
}

bool TimedCall::headReceived(MessageReader & /*answer*/)
{
    m_lastReadAt = steadyNow();
    return true;
}

void TimedCall::bodyReceived(MessageReader & /*answer*/)
{
    m_lastReadAt = steadyNow();
}

void TimedCall::exchangeFailed(AttemptFailure /*failure*/)
{
    m_outcome.connectionRefused = m_exchange->connectionRefused();
    finish();
}

void TimedCall::answerReceived(MessageReader &answer)
{
    m_outcome.status = answer.head().status;
    m_outcome.head = std::move(answer.head());
    m_outcome.body = std::move(answer.body());
    finish();
}

void TimedCall::finish()
{
    if (std::exchange(m_finished, true))
        return;
    const auto self = shared_from_this();
    m_timer.cancel();
    m_outcome.forwarded = m_exchange->isForwarded();
    m_callback(std::move(m_outcome));
}

void startCall(ConnectionPool &pool, const std::string &endpoint, const std::string &address,
               const OutgoingCall &call, Duration timeout, TimedCall::Callback callback)
{
    ExchangeSettings settings;
    settings.endpoint = endpoint;
    settings.address = address;
    std::make_shared<TimedCall>(pool, std::move(settings), formatRequest(call, address), timeout,
                                std::move(callback))
        ->start();
}

std::string formatRequest(const OutgoingCall &call, std::string_view host)
{
    std::string text = call.method + " " + call.target + " HTTP/1.1\r\nHost: ";
    text.append(host).append("\r\n");
    if (!call.header.empty())
        text += call.header + "\r\n";
    if (!call.body.empty())
        text += "Content-Type: application/json\r\nContent-Length: "
                + std::to_string(call.body.size()) + "\r\n";
    return text + "\r\n" + call.body;
}

} // namespace balsamloft
