/// \file
/// JSON forms of what the daemon and engines tell each other.

#pragma once

#include <balsamloft/actions.h>

#include <optional>

namespace balsamloft {

/// A step on the wire. \c request is the request's global id.
struct WireStep
{
    std::string request;
    StepRef ref; ///< without the request number
    bool prefill = false;
    bool firstStage = false;
    bool lastStage = false;
    bool lastToken = false;
    Priority priority = Priority::Normal;
    std::string input;
};

/// An engine's answer to a step on the wire.
struct WireStepAnswer
{
    std::string request;
    StepAnswer answer; ///< \c answer.ref without the request number
};

std::string toJson(const WireStep &step);
std::string toJson(const WireStepAnswer &answer);

/// Return nothing and a reason when \a text is not what it should be.
std::optional<WireStep> wireStepFromJson(std::string_view text, Reason &reason);
std::optional<WireStepAnswer> wireStepAnswerFromJson(std::string_view text, Reason &reason);

} // namespace balsamloft
