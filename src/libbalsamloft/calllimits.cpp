#include <balsamloft/calllimits.h>

#include <algorithm>

namespace balsamloft {

Time CallLimits::deadline(Time calledAt, std::optional<Time> readAt) const
{
    if (!readAt || idleTimeout == Duration {})
        return calledAt + answerTimeout;
    return std::min(*readAt + idleTimeout, calledAt + totalTimeout);
}

} // namespace balsamloft
