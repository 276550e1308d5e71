/// \file
/// What every reader of HTTP requests needs, and the clock of the adapters.

#pragma once

#include <balsamloft/httpserver.h>

#include <optional>
#include <string_view>

namespace balsamloft {

/// Returns the target of \a request without the query. The view lives as long
/// as the request.
std::string_view targetPath(const HttpRequest &request);

/// Returns the value of the query parameter \a name, as it was sent, or an
/// empty view. The view lives as long as the request.
std::string_view queryParameter(const HttpRequest &request, std::string_view name);

/// Returns the token of `Authorization: Bearer TOKEN`, or nothing.
std::optional<std::string_view> bearerToken(const HttpRequest &request);

/// Returns the present monotonic time. For adapters only: the core takes the
/// time as an argument.
Time steadyNow();

} // namespace balsamloft
