#include <balsamloft/types.h>

#include <algorithm>

namespace balsamloft {

Duration exponentialBackoff(Duration initial, std::uint32_t doublings, Duration max)
{
    Duration pause = initial;
    for (; doublings > 0 && pause < max; --doublings)
        pause *= 2;
    return std::min(pause, max);
}

std::string_view toString(Priority priority)
{
    switch (priority) {
    case Priority::Alert:
        return "alert";
    case Priority::Normal:
        return "normal";
    case Priority::Batch:
        return "batch";
    }
    return "normal";
}

std::string_view toString(Executed executed)
{
    return executed == Executed::No ? "no" : "unknown";
}

} // namespace balsamloft
