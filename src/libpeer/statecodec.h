/// \file
/// Encoding of InstanceState, and of the part of a query that has it.

#pragma once

#include "entrynews.pb.h"

#include <balsamloft/instancestate.h>

#include <string_view>

namespace balsamloft {

void encodeState(const InstanceState &state, wire::InstanceState &message);
InstanceState decodeState(const wire::InstanceState &message);

/// What a query tells in its body.
struct QueryDetails
{
    std::uint64_t era = 0; ///< of the version after which changes are requested
    InstanceState sender;
};

std::string encodeQuery(std::uint64_t era, const InstanceState &sender);

/// Returns nothing if \a bytes are no query.
std::optional<QueryDetails> decodeQuery(std::string_view bytes);

} // namespace balsamloft
