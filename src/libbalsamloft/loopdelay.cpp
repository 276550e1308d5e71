#include <balsamloft/loopdelay.h>

#include <algorithm>

namespace balsamloft {

namespace {

constexpr Duration LateTimer {200'000}; ///< delay from which a thread counts as behind
constexpr Duration CalmBeforeCaughtUp {1'000'000}; ///< without a late timer

} // namespace

LoopDelay::Change LoopDelay::recordTimer(Time due, Time now)
{
    m_last = std::max(now - due, Duration {});
    if (m_last >= LateTimer) {
        m_lateAt = now;
        m_longest = m_behindSince ? std::max(m_longest, m_last) : m_last;
        if (m_behindSince)
            return Change::None;
        m_behindSince = due;
        return Change::FellBehind;
    }
    if (!m_behindSince || now - m_lateAt < CalmBeforeCaughtUp)
        return Change::None;
    m_behindFor = m_lateAt - *m_behindSince;
    m_behindSince.reset();
    return Change::CaughtUp;
}

} // namespace balsamloft
