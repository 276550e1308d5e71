#include <balsamloft/configexchange.h>

namespace balsamloft {

namespace {

constexpr std::size_t MaxChangesPerMessage = 100;

} // namespace

PeerMessage makeConfigRequest(const ConfigManager &keeper, const MemberStatus &self,
                              std::uint64_t after)
{
    PeerMessage request;
    request.kind = PeerMessage::Kind::ConfigRequest;
    request.from = self;
    request.head = keeper.head();
    request.after = after;
    return request;
}

PeerMessage makeConfigAnswer(const ConfigManager &keeper, const MemberStatus &self,
                             std::uint64_t after)
{
    PeerMessage answer;
    answer.from = self;
    answer.head = keeper.head();
    const auto changes = keeper.changesAfter(after);
    if (changes && changes->size() <= MaxChangesPerMessage) {
        answer.kind = PeerMessage::Kind::ConfigChanges;
        for (const ConfigChange &change : *changes)
            answer.changes.push_back(toJson(change));
    } else {
        answer.kind = PeerMessage::Kind::ConfigFull;
        answer.snapshot = toJson(keeper.snapshot());
    }
    return answer;
}

void applyConfigAnswer(ConfigManager &keeper, const PeerMessage &answer, Time now,
                       ConfigActions &actions)
{
    Reason reason;
    if (answer.kind == PeerMessage::Kind::ConfigFull) {
        if (const auto snapshot = snapshotFromJson(answer.snapshot, reason))
            keeper.peerSnapshot(*snapshot, now, actions);
        return;
    }
    std::vector<ConfigChange> changes;
    for (const std::string &text : answer.changes) {
        if (auto change = changeFromJson(text, reason))
            changes.push_back(std::move(*change));
    }
    keeper.peerChanges(changes, now, actions);
}

} // namespace balsamloft
