#include <balsamloft/connectionuse.h>

#include <algorithm>

namespace balsamloft {

namespace {

/// A caller that has just connected, or just got an answer, may be about to send a request.
constexpr Duration MinIdleBeforeClose {400'000};

} // namespace

void ConnectionUse::requestBegun()
{
    if (m_state != State::Idle)
        return;
    m_state = State::Incomplete;
    m_progressAt = m_activeAt;
}

void ConnectionUse::headRead(Time now)
{
    m_progressAt = now;
    m_partBytes = 0;
}

void ConnectionUse::bodyRead(std::uint64_t bytes, const CallerTimeouts &timeouts, Time now)
{
    m_partBytes += bytes;
    const auto seconds = std::chrono::duration<double>(timeouts.request).count();
    if (static_cast<double>(m_partBytes) >= seconds * MinBodyRate)
        headRead(now);
}

void ConnectionUse::answerWritten(Duration idleTimeout, Time now)
{
    m_state = State::Idle;
    m_activeAt = now;
    m_promisedIdle = idleTimeout;
}

bool ConnectionUse::shouldAnnounceClose(ServerPhase phase, bool unreadInProcess,
                                        const ConnectionProbe &probe) const
{
    return phase != ServerPhase::Serving && !unreadInProcess && !probe.hasUnreadBytes();
}

ConnectionStep ConnectionUse::step(ServerPhase phase, const CallerTimeouts &timeouts,
                                   const ConnectionProbe &probe, Time now) const
{
    ConnectionStep step = ConnectionStep::Keep;
    if (m_state == State::Idle)
        step = stepIfIdle(phase, timeouts, now);
    else if (m_state == State::Incomplete)
        step = stepIfIncomplete(phase, timeouts, now);
    if (step == ConnectionStep::Keep || m_closeAnnounced)
        return step;
    return probe.hasUnreadBytes() ? ConnectionStep::Keep : step;
}

ConnectionStep ConnectionUse::stepIfIdle(ServerPhase phase, const CallerTimeouts &timeouts,
                                         Time now) const
{
    if (m_closeAnnounced)
        return ConnectionStep::Close;
    // After a change of the timeout, callers may still rely on the former one.
    Duration allowed = std::max(timeouts.idle, m_promisedIdle);
    if (phase == ServerPhase::Closing)
        allowed = std::min(allowed, MinIdleBeforeClose);
    if (phase == ServerPhase::Ending)
        allowed = {};
    return now - m_activeAt >= allowed ? ConnectionStep::Close : ConnectionStep::Keep;
}

ConnectionStep ConnectionUse::stepIfIncomplete(ServerPhase phase, const CallerTimeouts &timeouts,
                                               Time now) const
{
    const bool late = phase == ServerPhase::Ending || now - m_progressAt >= timeouts.request;
    return late ? ConnectionStep::Refuse : ConnectionStep::Keep;
}

} // namespace balsamloft
