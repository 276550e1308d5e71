#include "timedcall.h"

#include "clock.h"
#include "connector.h"

#include <balsamloft/answerrules.h>

#include <algorithm>

namespace balsamloft {

namespace {

constexpr int TimerRunsPerLimit = 4;

} // namespace

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
    ResourceHolder &holder = *this;
    if (const ResourceGroupPtr &resources = m_exchange->pool().resources())
        m_hold.emplace(resources, ResourceUse::Endpoint, holder, m_startedAt);
    m_exchange->start(*this, m_startedAt);
    armTimer();
}

/// The timer runs several times within the limit, so that it also detects a delay of the loop that
/// ended before the limit.
Duration TimedCall::timerInterval(Time now) const
{
    const bool asksPeers = m_exchange->isConnecting() && m_exchange->pool().links();
    const Duration interval =
        asksPeers ? AskPeerInterval : m_limits.answerTimeout / TimerRunsPerLimit;
    return std::min(deadline() - now, interval);
}

void TimedCall::armTimer()
{
    m_timer.expires_after(timerInterval(steadyNow()));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->m_finished)
            self->timerFired();
    });
}

void TimedCall::timerFired()
{
    const Time now = steadyNow();
    // While the loop is late, a connection that opened and bytes that arrived wait for it. Counted
    // towards the limit, the delay would make the called process seem silent.
    m_lateTime += now - std::chrono::time_point_cast<Duration>(m_timer.expiry());
    if (now < deadline()) {
        m_exchange->tick(now);
        return m_finished ? void() : armTimer();
    }
    m_exchange->cancel();
    finish();
}

void TimedCall::cancel()
{
    m_finished = true;
    m_hold.reset();
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

bool TimedCall::mayHold(std::uint64_t bytes)
{
    return !m_hold || bytes <= OrdinaryAnswerBytes || m_hold->growTo(bytes, steadyNow());
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

void TimedCall::exchangeFailed(AttemptFailure failure)
{
    m_outcome.forwarderLost = failure == AttemptFailure::ForwarderLost;
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
    m_hold.reset();
    m_timer.cancel();
    m_outcome.forwarded = m_exchange->isForwarded();
    m_callback(std::move(m_outcome));
}

ExchangeSettings endpointCallSettings(std::string endpoint, std::string address)
{
    ExchangeSettings settings;
    settings.endpoint = std::move(endpoint);
    settings.address = std::move(address);
    settings.answerLimits.bodyBytes = MaxEndpointStateBytes;
    return settings;
}

void startCall(ConnectionPool &pool, const std::string &endpoint, const std::string &address,
               const OutgoingCall &call, Duration timeout, TimedCall::Callback callback)
{
    std::make_shared<TimedCall>(pool, endpointCallSettings(endpoint, address),
                                formatRequest(call, address), timeout, std::move(callback))
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
