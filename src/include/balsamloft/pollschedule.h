/// \file
/// How often an engine is asked for its state.

#pragma once

#include <balsamloft/types.h>

namespace balsamloft {

/// What an engine said of its KV memory, in tokens times layers.
struct MemoryUsage
{
    double used = 0;
    double usedBefore = 0; ///< in the report before
    double room = 0; ///< what its layers leave to requests
};

/// How long after a report the engine is asked again. One that is filling or filled is
/// asked more often: whoever sends to it must know before it runs over.
Duration pollInterval(const MemoryUsage &filling);

} // namespace balsamloft
