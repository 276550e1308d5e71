/// \file
/// Tells whether two requests ask for the same, whatever their ids.

#pragma once

#include <string>
#include <string_view>

namespace balsamloft {

/// What a request asks for, and who asks.
struct RequestContent
{
    std::string_view team; ///< empty: an anonymous caller
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

/// 128 bits of a cryptographic hash in hexadecimal digits: requests with different
/// content have different digests, also when a caller tries to make them alike, and
/// the content cannot be read from it.
std::string requestDigest(const RequestContent &content);

} // namespace balsamloft
