#include <balsamloft/acceptgate.h>

namespace balsamloft {

namespace {

constexpr Duration CalmBeforeCaughtUp {1'000'000}; ///< without too many waiting connections
/// Waiting connections that do not keep an instance from listening while it is behind.
constexpr std::size_t FewWaiting = 8;
constexpr int Backlog = 4096;
/// The system fills the backlog while the process does not run, as with a limit on its processor
/// time, and the process has to accept all of them when it runs again.
constexpr int BacklogWhileBehind = 32;

} // namespace

void AcceptGate::recordExpired(Time now)
{
    m_behindUntil = now + CalmBeforeCaughtUp;
}

bool AcceptGate::update(std::size_t waiting, Time now)
{
    if (!isBehind(now) || waiting <= FewWaiting)
        return true;
    m_behindUntil = now + CalmBeforeCaughtUp;
    return false;
}

int AcceptGate::backlog(Time now) const
{
    return isBehind(now) ? BacklogWhileBehind : Backlog;
}

} // namespace balsamloft
