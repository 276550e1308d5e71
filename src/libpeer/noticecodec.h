/// \file
/// Conversion between crash notices and their protobuf form.

#pragma once

#include <balsamloft/crashgossip.h>

namespace balsamloft {

/// Encodes \a notices as the body of a message that is sent at \a now.
std::string encodeNotices(std::span<const CrashNotice> notices, Time now);

/// Decodes a message that arrived at \a now. Skips notices without a digest or an endpoint. Returns
/// nothing if \a bytes are not a message.
std::optional<std::vector<CrashNotice>> decodeNotices(std::string_view bytes, Time now);

} // namespace balsamloft
