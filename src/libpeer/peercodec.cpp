#include <balsamloft/peersocket.h>

#include "peer.pb.h"

namespace balsamloft {

namespace {

constexpr std::size_t HexDigitsPerByte = 2;

void toWire(const MemberStatus &status, wire::Member &member)
{
    member.set_name(status.name);
    member.set_domain(status.domain);
    member.set_address(status.address);
    member.set_incarnation(status.incarnation);
    member.set_state(static_cast<std::uint32_t>(status.state));
}

bool fromWire(const wire::Member &member, MemberStatus &status)
{
    if (member.state() > static_cast<std::uint32_t>(MemberState::Dead))
        return false;
    status = {member.name(), member.domain(), member.address(), member.incarnation(),
              static_cast<MemberState>(member.state())};
    return true;
}

/// Converts a digest from hex digits to bytes, which halves its size on the wire.
std::string hexToBytes(std::string_view hex)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += HexDigitsPerByte) {
        const auto nibble = [](char c) { return c <= '9' ? c - '0' : c - 'a' + 10; };
        bytes += static_cast<char>(nibble(hex[i]) * 16 + nibble(hex[i + 1]));
    }
    return bytes;
}

std::string bytesToHex(std::string_view bytes)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string hex;
    for (const char c : bytes) {
        hex += Digits[static_cast<unsigned char>(c) >> 4U];
        hex += Digits[static_cast<unsigned char>(c) & 0xfU];
    }
    return hex;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    wire::Envelope envelope;
    envelope.set_kind(static_cast<std::uint32_t>(message.kind));
    toWire(message.from, *envelope.mutable_from());
    envelope.set_sequence(message.sequence);
    envelope.set_known_members(message.knownMembers);
    envelope.set_version(message.head.version);
    envelope.set_digest(hexToBytes(message.head.digest));
    for (const MemberStatus &status : message.members)
        toWire(status, *envelope.add_members());
    for (const EndpointStatus &status : message.endpoints) {
        wire::EndpointState *state = envelope.add_endpoints();
        state->set_name(status.name);
        state->set_generation(status.generation);
        state->set_leaving(status.leaving);
    }
    for (const Demand &demand : message.demand) {
        wire::DemandRate *rate = envelope.add_demand();
        rate->set_name(demand.name);
        rate->set_rate(static_cast<float>(demand.rate));
    }
    if (message.kind == PeerMessage::Kind::PingRequest)
        toWire(message.target, *envelope.mutable_target());
    envelope.set_after(message.after);
    for (const std::string &change : message.changes)
        envelope.add_changes(change);
    envelope.set_snapshot(message.snapshot);
    return envelope.SerializeAsString();
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes, Reason &reason)
{
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        reason = "not a protobuf message of this protocol";
        return std::nullopt;
    }
    PeerMessage message;
    if (envelope.kind() > static_cast<std::uint32_t>(PeerMessage::Kind::ConfigFull)
        || !fromWire(envelope.from(), message.from) || message.from.name.empty()) {
        reason = "unknown message kind or invalid sender";
        return std::nullopt;
    }
    message.kind = static_cast<PeerMessage::Kind>(envelope.kind());
    message.sequence = envelope.sequence();
    message.knownMembers = envelope.known_members();
    message.head = {envelope.version(), bytesToHex(envelope.digest())};
    for (const wire::Member &member : envelope.members()) {
        MemberStatus status;
        if (fromWire(member, status))
            message.members.push_back(std::move(status));
    }
    for (const wire::EndpointState &state : envelope.endpoints())
        message.endpoints.push_back({state.name(), state.generation(), state.leaving()});
    for (const wire::DemandRate &rate : envelope.demand())
        message.demand.push_back({rate.name(), rate.rate()});
    if (envelope.has_target())
        fromWire(envelope.target(), message.target);
    message.after = envelope.after();
    message.changes.assign(envelope.changes().begin(), envelope.changes().end());
    message.snapshot = envelope.snapshot();
    return message;
}

} // namespace balsamloft
