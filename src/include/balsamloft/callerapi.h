/// \file
/// The interface towards callers: reading requests, writing answers.

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

/// A caller's request, checked in form. The core checks the rest.
struct CallerRequest
{
    Request request; ///< without the id
    bool stream = false;
    HttpRequest forward; ///< services: what to send to the endpoint
};

/// Why a request cannot be taken. It was not run.
struct CallerError
{
    unsigned status = 400;
    std::string code;
    std::string message;
};

/// Reads a request to `/v1/completions` or `/services/NAME/PATH`. The team is
/// looked up in \a config by the bearer token.
std::variant<CallerRequest, CallerError> readCallerRequest(const HttpRequest &http,
                                                           const Config &config,
                                                           const CallerLimits &limits, Time now);

/// Returns the answer to a request that cannot be taken.
HttpResponse errorResponse(const CallerError &error);

/// Returns the answer to a refused request.
HttpResponse refusalResponse(const RefuseRequest &refusal);

/// Returns the JSON text of a refusal, as in refusalResponse().
std::string refusalJson(const RefuseRequest &refusal);

/// Returns one server-sent event with a token of a streamed completion.
std::string tokenEvent(std::string_view id, std::string_view model, std::string_view text);

/// Returns the events that end a streamed completion.
std::string finalEvents(std::string_view id, std::string_view model, std::string_view finishReason);

/// Returns the event that ends a streamed completion that cannot be finished.
std::string errorEvent(const RefuseRequest &refusal);

/// Returns the body of a completion that is not streamed.
std::string completionBody(std::string_view id, std::string_view model, const Answer &answer,
                           std::string_view finishReason);

} // namespace balsamloft
