/// \file
/// Reads what endpoints announce in the heads of their answers.

#pragma once

#include "httpmessage.h"

#include <balsamloft/announcement.h>
#include <balsamloft/entryprotocol.h>

namespace balsamloft {

/// What \a head announces. A Retry-After field counts only in a refusal, and only if the endpoint
/// itself refused.
Announcement announcementOf(const MessageHead &head, const HeaderNames &names);

/// Logs \a announcement of \a endpoint, and a Retry-After field in \a head that cannot be read.
void logAnnouncement(const std::string &endpoint, const MessageHead &head,
                     const Announcement &announcement);

} // namespace balsamloft
