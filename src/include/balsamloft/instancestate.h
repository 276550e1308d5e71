/// \file
/// What entry instances tell each other with each query and answer.

#pragma once

#include <balsamloft/admission/loadexchange.h>

#include <optional>
#include <string>

namespace balsamloft {

/// State of an instance that makes others read again what they miss.
struct InstanceState
{
    std::string name;
    std::uint64_t era = 0; ///< latest era of the store that it knows
    std::uint64_t configuration = 0; ///< operators' version in force; 0: none
    std::optional<Duration> eraAge; ///< since it saw the store begin the era, if it did
    std::optional<Duration> eraKnownFor; ///< see EraAge; not sent by earlier releases
    /// In a query, the load of the instance and of those that read from it; in an answer, of all.
    std::optional<AgedLoadSummary> load;
    /// The domain that `load` covers, if its reader sends it to the reader of another domain.
    std::string loadDomain;
};

} // namespace balsamloft
