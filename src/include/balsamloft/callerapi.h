/// \file
/// HTTP API for callers: parses requests and formats answers.

#pragma once

#include <balsamloft/actions.h>
#include <balsamloft/httpserver.h>

#include <variant>

namespace balsamloft {

/// Limits on what callers may send.
struct CallerLimits
{
    Duration defaultDeadline {60'000'000};
    Duration maxDeadline {600'000'000};
    std::uint32_t defaultMaxTokens = 256;
    std::size_t maxKeyBytes = 256;
};

/// A caller's request whose syntax is valid. The router checks the rest, such as whether the model
/// exists.
struct CallerRequest
{
    Request request; ///< without the id
    bool stream = false;
    HttpRequest forward; ///< the request to send to the endpoint, without its body; services only
};

/// Why a request is invalid. Such a request is never executed.
struct CallerError
{
    unsigned status = 400;
    std::string code;
    std::string message;
};

/// Parses a request to `/v1/completions` or `/services/NAME/PATH`. Looks up the team in \a config
/// by the bearer token.
std::variant<CallerRequest, CallerError> readCallerRequest(const HttpRequest &http,
                                                           const Config &config,
                                                           const CallerLimits &limits, Time now);

/// Returns the answer to an invalid request.
HttpResponse errorResponse(const CallerError &error);

/// Returns the answer to a request that the router refused.
HttpResponse refusalResponse(const RefuseRequest &refusal);

/// Returns the JSON body of refusalResponse().
std::string refusalJson(const RefuseRequest &refusal);

/// Returns one server-sent event with a token of a streamed completion.
std::string tokenEvent(std::string_view id, std::string_view model, std::string_view text);

/// Returns the events that end a streamed completion.
std::string finalEvents(std::string_view id, std::string_view model, std::string_view finishReason);

/// Returns the event that ends a streamed completion after a failure.
std::string errorEvent(const RefuseRequest &refusal);

/// Returns the body of the answer to a completion that is not streamed.
std::string completionBody(std::string_view id, std::string_view model, const Answer &answer,
                           std::string_view finishReason);

} // namespace balsamloft
