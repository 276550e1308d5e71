#include <balsamloft/types.h>

namespace balsamloft {

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

std::string_view toString(Ran ran)
{
    return ran == Ran::No ? "no" : "unknown";
}

} // namespace balsamloft
