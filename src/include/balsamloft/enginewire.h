/// \file
/// JSON encoding of the messages between the daemon and engines.

#pragma once

#include <balsamloft/actions.h>

#include <optional>

namespace balsamloft {

/// Instructs an engine to run one step of a request. \c request is the request's global id.
struct WireStep
{
    std::string request;
    StepRef ref; ///< sent without its request number
    bool prefill = false;
    bool firstStage = false;
    bool lastStage = false;
    bool lastToken = false;
    Priority priority = Priority::Normal;
    std::string input;
};

/// An engine's answer to a WireStep.
struct WireStepAnswer
{
    std::string request;
    StepAnswer answer; ///< sent without the request number of \c answer.ref
};

std::string toJson(const WireStep &step);
std::string toJson(const WireStepAnswer &answer);

/// Return nothing and set \a reason if \a text is not a valid message.
std::optional<WireStep> wireStepFromJson(std::string_view text, Reason &reason);
std::optional<WireStepAnswer> wireStepAnswerFromJson(std::string_view text, Reason &reason);

} // namespace balsamloft
