/// \file
/// Identifies requests with equal content, whatever their ids.

#pragma once

#include <string>
#include <string_view>

namespace balsamloft {

/// The parts of a request that determine its digest.
struct RequestContent
{
    std::string_view team; ///< empty: an anonymous caller
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

/// Returns 128 bits of a cryptographic hash in hexadecimal digits. Callers cannot construct
/// requests with different content and equal digests, nor recover the content from a digest.
std::string requestDigest(const RequestContent &content);

} // namespace balsamloft
