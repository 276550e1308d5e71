/// \file
/// Peer messages that transfer the configuration between instances.

#pragma once

#include <balsamloft/configmanager.h>
#include <balsamloft/peermessage.h>

namespace balsamloft {

/// Returns a request for the changes after version \a after.
PeerMessage makeConfigRequest(const ConfigManager &manager, const MemberStatus &self,
                              std::uint64_t after);

/// Returns the answer to a request: the changes after version \a after, or the full
/// configuration if the history does not reach back that far or there are too many changes.
PeerMessage makeConfigAnswer(const ConfigManager &manager, const MemberStatus &self,
                             std::uint64_t after);

/// Applies a peer's answer. Malformed parts are ignored, because the platform and other
/// peers provide the same data.
void applyConfigAnswer(ConfigManager &manager, const PeerMessage &answer, Time now,
                       ConfigActions &actions);

} // namespace balsamloft
