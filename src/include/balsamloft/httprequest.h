/// \file
/// Helpers that extract parts of HTTP requests, and the monotonic clock.

#pragma once

#include <balsamloft/httpserver.h>

#include <optional>
#include <string_view>

namespace balsamloft {

/// Returns the target of \a request without the query. The view is valid as long as the request
/// exists.
std::string_view targetPath(const HttpRequest &request);

/// Returns the value of the query parameter \a name without decoding it, or an empty view. The view
/// is valid as long as the request exists.
std::string_view queryParameter(const HttpRequest &request, std::string_view name);

/// Returns the token of `Authorization: Bearer TOKEN`, or nothing.
std::optional<std::string_view> bearerToken(const HttpRequest &request);

/// Returns the current monotonic time. Only code that does I/O calls this function; the routing
/// logic gets the time as an argument.
Time steadyNow();

} // namespace balsamloft
