/// \file
/// The parsers of what callers, operators and peers send, each as a function
/// of bytes: run by the fuzzers, and over their corpora by an ordinary test.

#pragma once

#include <string_view>

namespace balsamloft::fuzz {

/// A caller's HTTP request, headers and body, through readCallerRequest().
void callerRequest(std::string_view bytes);

/// An inventory or rules document, compiled if it parses.
void document(std::string_view bytes);

/// An entry of the platform's list of engines, from whatever writer: the first
/// line is its key, the rest its value.
void engineEntry(std::string_view bytes);

/// A change, a snapshot, an engine's answer and a peer message.
void messages(std::string_view bytes);

} // namespace balsamloft::fuzz
