/// \file
/// What instances tell each other.

#pragma once

#include <balsamloft/config.h>

namespace balsamloft {

enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

std::string_view toString(MemberState state);

/// News of an instance. Of two, the one of the higher incarnation counts; at
/// the same incarnation the later state of MemberState does.
struct MemberStatus
{
    std::string name;
    std::string domain;
    std::string address; ///< of the peer protocol
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
};

/// News of an endpoint: it is shutting down, or a new process has taken its
/// place. At the same generation leaving counts, whatever came first.
struct EndpointStatus
{
    std::string name;
    std::uint64_t generation = 0;
    bool leaving = false;
};

/// Recent demand at one instance: requests per second of a team, or tokens
/// per second of a model.
struct Demand
{
    std::string name; ///< "team/NAME" or "model/NAME"
    double rate = 0;
};

/// One message of the peer protocol.
struct PeerMessage
{
    enum class Kind : std::uint8_t {
        Ping,
        Ack,
        PingRequest, ///< please ping \c target for me
        ConfigRequest, ///< please send the changes after \c after
        ConfigChanges,
        ConfigFull, ///< the changes do not reach back so far; the whole instead
    };
    Kind kind = Kind::Ping;
    MemberStatus from;
    std::uint64_t sequence = 0;
    std::uint32_t knownMembers = 0; ///< tells whether the sender needs the whole list
    ConfigHead head; ///< held by the sender
    std::vector<MemberStatus> members;
    std::vector<EndpointStatus> endpoints;
    std::vector<Demand> demand; ///< of the sender
    MemberStatus target; ///< PingRequest only
    std::uint64_t after = 0; ///< ConfigRequest only
    std::vector<std::string> changes; ///< ConfigChanges only, as JSON
    std::string snapshot; ///< ConfigFull only, as JSON
};

} // namespace balsamloft
