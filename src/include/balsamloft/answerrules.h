/// \file
/// What makes the head of a message valid beyond its syntax, for all that read answers of other
/// processes.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace balsamloft {

/// Whether \a status is one of HTTP (RFC 9110, section 15). Beast takes any three digits for a
/// status, and a caller would get them as those of an answer.
constexpr bool isHttpStatus(unsigned status)
{
    constexpr unsigned First = 100;
    constexpr unsigned Last = 599;
    return status >= First && status <= Last;
}

/// Whether an answer with \a status, which is one of HTTP, precedes the answer to the request.
constexpr bool isInterimStatus(unsigned status)
{
    constexpr unsigned FirstFinal = 200;
    return status < FirstFinal;
}

/// Describes a \a status that is none, as it stands in its answer.
std::string describeStatus(unsigned status);

/// Whether a body can be read whose message has one Transfer-Encoding field, with \a value. Beast
/// decodes chunks and ignores all other codings: whoever forwards the body without the field would
/// pass on bytes that are not the sender's.
bool isReadableTransferCoding(std::string_view value);

/// Longest body of an endpoint's answer to a call of this process itself, in bytes. A state takes
/// some hundred bytes, and that of an engine which names each stalled request some thousand.
inline constexpr std::uint64_t MaxEndpointStateBytes = 64U << 10U;

/// Begins the reason of a failure whose cause is an answer that is none in HTTP.
inline constexpr char InvalidAnswerPrefix[] = "invalid answer: ";

} // namespace balsamloft
