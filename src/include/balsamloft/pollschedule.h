/// \file
/// Interval at which engines are polled for their state.

#pragma once

#include <balsamloft/types.h>

namespace balsamloft {

/// KV cache usage that an engine reported, in tokens times layers.
struct MemoryUsage
{
    double used = 0;
    double previousUsed = 0; ///< usage in the previous report
    double capacity = 0; ///< memory that the layers' weights leave for requests
};

/// Returns the time from an engine's report until the next poll. An engine whose memory usage is
/// high or changes quickly is polled more often, so that instances stop sending to it before it
/// runs out of memory.
Duration pollInterval(const MemoryUsage &usage);

} // namespace balsamloft
