#include <balsamloft/calllimits.h>

#include <algorithm>

namespace balsamloft {

Time CallLimits::end(Time calledAt, std::optional<Time> readAt) const
{
    if (!readAt || silence == Duration {})
        return calledAt + within;
    return std::min(*readAt + silence, calledAt + most);
}

} // namespace balsamloft
