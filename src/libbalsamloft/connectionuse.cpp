#include <balsamloft/connectionuse.h>

#include <algorithm>

namespace balsamloft {

namespace {

/// A caller that has just connected, or just got an answer, may be about to send a request.
constexpr Duration MinIdleBeforeClose {400'000};

} // namespace

void ConnectionUse::requestBegun()
{
    if (m_state == State::Idle)
        m_state = State::Incomplete;
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
    const bool late = phase == ServerPhase::Ending || now - m_activeAt >= timeouts.request;
    return late ? ConnectionStep::Refuse : ConnectionStep::Keep;
}

} // namespace balsamloft
