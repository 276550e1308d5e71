/// \file
/// Fuzz targets for the parsers of input from callers, operators and peers. A unit test also runs
/// them on the fuzzing corpora.

#pragma once

#include <string_view>

namespace balsamloft::fuzz {

/// Parses \a bytes as a caller's HTTP request with headers and body.
void callerRequest(std::string_view bytes);

/// Parses \a bytes as an inventory and as a rules document and compiles the result.
void document(std::string_view bytes);

/// Parses \a bytes as an entry of the platform's endpoint table: the first line is its key, the
/// rest its value. Also parses the value as an engine's report and as a route table.
void engineEntry(std::string_view bytes);

/// Parses \a bytes as a configuration change, a snapshot, a step, an engine's answer and a peer
/// message.
void messages(std::string_view bytes);

/// Parses \a bytes as an answer of an endpoint, whole and byte by byte, up to its end and to that
/// of its connection.
void answer(std::string_view bytes);

/// Takes \a bytes as steps of clients that hold memory and connections. Each step is three bytes:
/// the client, what it does, and how much.
void resources(std::string_view bytes);

} // namespace balsamloft::fuzz
