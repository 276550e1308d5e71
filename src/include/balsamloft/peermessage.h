/// \file
/// Messages of the peer protocol between instances.

#pragma once

#include <balsamloft/config.h>

namespace balsamloft {

enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

std::string_view toString(MemberState state);

/// Identity and state of an instance. Of two reports about an instance, the report with the higher
/// incarnation is used; at equal incarnations, the report whose state comes later in MemberState is
/// used.
struct MemberStatus
{
    std::string name;
    std::string domain;
    std::string address; ///< "IP:port" of the peer protocol
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
};

/// State of an endpoint: it is shutting down, or a new process has replaced it (a higher
/// generation). At equal generations, a status with \c leaving overrides one without it, regardless
/// of the order of arrival.
struct EndpointStatus
{
    std::string name;
    std::uint64_t generation = 0;
    bool leaving = false;
};

/// Recent demand at one instance: requests per second for a team, or tokens per second for
/// a model.
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
        PingRequest, ///< requests a ping of \c target on behalf of the sender
        ConfigRequest, ///< requests the configuration changes after version \c after
        ConfigChanges,
        ConfigFull, ///< full configuration: the receiver's version is too old for changes
    };
    Kind kind = Kind::Ping;
    MemberStatus from;
    std::uint64_t sequence = 0;
    std::uint32_t knownMembers = 0; ///< members the sender knows; if few, it is sent the full list
    ConfigHead head; ///< the sender's current configuration version
    std::vector<MemberStatus> members;
    std::vector<EndpointStatus> endpoints;
    std::vector<Demand> demand; ///< demand at the sender
    MemberStatus target; ///< PingRequest only: the member to ping
    std::uint64_t after = 0; ///< ConfigRequest only
    std::vector<std::string> changes; ///< ConfigChanges only, as JSON
    std::string snapshot; ///< ConfigFull only, as JSON
};

} // namespace balsamloft
