/// \file
/// Identifies the parts of a prompt that requests share.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace balsamloft {

/// Parts of one prompt that are considered; further ones are ignored. Callers choose how many they
/// list, and each part costs memory after a crash.
inline constexpr std::size_t MaxPromptParts = 64;

/// Returns the digests of the parts listed in \a list that other requests may share: all but the
/// last, without duplicates. \a list has an "ID:TOKENS" entry for each part, in order and separated
/// by commas; ids are hexadecimal, in either case. Entries without an id are skipped. Requests to
/// different services never share a part.
std::vector<std::string> sharedPromptParts(std::string_view service, std::string_view list);

/// Returns a digest that differs from that of any content, see requestDigest(). The parts' ids
/// cannot be recovered from it.
std::string promptPartDigest(std::string_view service, std::string_view id);

/// Whether \a digest is that of a part of a prompt, not that of a content.
bool isPromptPartDigest(std::string_view digest);

} // namespace balsamloft
