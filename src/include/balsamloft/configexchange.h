/// \file
/// How instances hand each other the configuration.

#pragma once

#include <balsamloft/configmanager.h>
#include <balsamloft/peermessage.h>

namespace balsamloft {

/// Returns the request for what is newer than \a after.
PeerMessage makeConfigRequest(const ConfigManager &keeper, const MemberStatus &self,
                              std::uint64_t after);

/// Returns the answer to a request: the changes after \a after, or the whole
/// configuration when the history does not reach or they are many.
PeerMessage makeConfigAnswer(const ConfigManager &keeper, const MemberStatus &self,
                             std::uint64_t after);

/// Takes an answer of a peer. What does not parse is ignored: the platform or
/// another peer has it too.
void applyConfigAnswer(ConfigManager &keeper, const PeerMessage &answer, Time now,
                       ConfigActions &actions);

} // namespace balsamloft
