#include <balsamloft/types.h>

#include <algorithm>

namespace balsamloft {

Duration exponentialBackoff(Duration first, std::uint32_t times, Duration most)
{
    Duration pause = first;
    for (; times > 0 && pause < most; --times)
        pause *= 2;
    return std::min(pause, most);
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

std::string_view toString(Executed ran)
{
    return ran == Executed::No ? "no" : "unknown";
}

} // namespace balsamloft
