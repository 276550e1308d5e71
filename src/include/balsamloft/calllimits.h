/// \file
/// How long the answer to a call is waited for.

#pragma once

#include <balsamloft/types.h>

#include <optional>

namespace balsamloft {

/// Limits of one call.
struct CallLimits
{
    CallLimits(Duration within, Duration silence = {}, Duration most = {})
        : within(within)
        , silence(silence)
        , most(most)
    {
    }

    Duration within; ///< until the answer begins
    Duration silence; ///< then, between two reads; 0: the whole answer must be there within
    Duration most; ///< in all, however steadily it arrives

    /// When the call is given up that was made at \a calledAt; \a readAt: when a part of its
    /// answer arrived last.
    Time end(Time calledAt, std::optional<Time> readAt) const;
};

} // namespace balsamloft
