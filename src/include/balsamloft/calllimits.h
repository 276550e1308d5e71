/// \file
/// Timeouts of a call to another process.

#pragma once

#include <balsamloft/types.h>

#include <optional>

namespace balsamloft {

/// Timeouts of one call and its answer.
struct CallLimits
{
    CallLimits(Duration answerTimeout, Duration idleTimeout = {}, Duration totalTimeout = {})
        : answerTimeout(answerTimeout)
        , idleTimeout(idleTimeout)
        , totalTimeout(totalTimeout)
    {
    }

    Duration answerTimeout; ///< from the call to the first byte of the answer
    Duration idleTimeout; ///< between two reads; 0: answerTimeout covers the complete answer
    Duration totalTimeout; ///< from the call to the complete answer

    /// Returns when a call started at \a calledAt times out. \a readAt is the time of the
    /// last read of its answer, if there was one.
    Time deadline(Time calledAt, std::optional<Time> readAt) const;
};

} // namespace balsamloft
