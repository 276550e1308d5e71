#include <balsamloft/configexchange.h>

namespace balsamloft {

namespace {

constexpr std::size_t MaxChangesPerMessage = 100;

} // namespace

PeerMessage makeConfigRequest(const ConfigManager &manager, const MemberStatus &self,
                              std::uint64_t after)
{
    PeerMessage request;
    request.kind = PeerMessage::Kind::ConfigRequest;
    request.from = self;
    request.head = manager.head();
    request.after = after;
    return request;
}

PeerMessage makeConfigAnswer(const ConfigManager &manager, const MemberStatus &self,
                             std::uint64_t after)
{
    PeerMessage answer;
    answer.from = self;
    answer.head = manager.head();
    const auto changes = manager.changesAfter(after);
    if (changes && changes->size() <= MaxChangesPerMessage) {
        answer.kind = PeerMessage::Kind::ConfigChanges;
        for (const ConfigChange &change : *changes)
            answer.changes.push_back(toJson(change));
    } else {
        answer.kind = PeerMessage::Kind::ConfigFull;
        answer.snapshot = toJson(manager.snapshot());
    }
    return answer;
}

void applyConfigAnswer(ConfigManager &manager, const PeerMessage &answer, Time now,
                       ConfigActions &actions)
{
    Reason reason;
    if (answer.kind == PeerMessage::Kind::ConfigFull) {
        if (const auto snapshot = snapshotFromJson(answer.snapshot, reason))
            manager.peerSnapshot(*snapshot, now, actions);
        return;
    }
    std::vector<ConfigChange> changes;
    for (const std::string &text : answer.changes) {
        if (auto change = changeFromJson(text, reason))
            changes.push_back(std::move(*change));
    }
    manager.peerChanges(changes, now, actions);
}

} // namespace balsamloft
