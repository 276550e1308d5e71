#include <balsamloft/crashgossip.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

constexpr Time Start {Duration(1'000'000'000)};

Time at(std::int64_t ms)
{
    return Start + Duration(ms * 1000);
}

CrashRecord crash(const std::string &digest, const std::string &endpoint, Time when = Start)
{
    return {digest, endpoint, when};
}

std::vector<PeerInstance> instances(std::size_t count)
{
    std::vector<PeerInstance> all;
    for (std::size_t i = 0; i < count; ++i)
        all.push_back({"i" + std::to_string(i), "d", "address", ""});
    return all;
}

CrashGossip gossipOf(const std::string &self)
{
    CrashGossipSettings settings;
    settings.self = self;
    return CrashGossip(settings);
}

} // namespace

TEST_CASE("each notice is sent once, to some other instances")
{
    CrashGossip gossip = gossipOf("i3");
    gossip.publish({{crash("a", "e")}, {}}, at(0));
    const auto message = gossip.takeMessage(instances(50), at(0));
    REQUIRE(message);
    CHECK(message->notices == std::vector<CrashNotice> {{crash("a", "e"), false}});
    std::set<std::string> names;
    for (const PeerInstance &each : message->recipients)
        names.insert(each.name);
    CHECK(names.size() == CrashGossipSettings().fanOut);
    CHECK_FALSE(names.contains("i3"));
    CHECK_FALSE(gossip.takeMessage(instances(50), at(1000)));
    CHECK_FALSE(gossip.receive(message->notices, at(1000)));
    CHECK_FALSE(gossip.takeMessage(instances(50), at(2000)));
}

TEST_CASE("a small fleet is told as a whole")
{
    CrashGossip gossip = gossipOf("i0");
    gossip.publish({{crash("a", "e")}, {}}, at(0));
    CHECK(gossip.takeMessage(instances(6), at(0))->recipients.size() == 5);
}

TEST_CASE("notices of single crashes are collected, those of several are sent at once")
{
    CrashGossip gossip = gossipOf("i0");
    gossip.publish({{crash("a", "e")}, {}}, at(0));
    CHECK(gossip.takeMessage(instances(6), at(0)));
    gossip.publish({{crash("b", "e")}, {}}, at(10));
    CHECK_FALSE(gossip.takeMessage(instances(6), at(10)));
    gossip.publish({{crash("c", "e")}, {}}, at(100));
    CHECK(gossip.takeMessage(instances(6), at(150))->notices.size() == 2);
    gossip.publish({{crash("c", "f")}, {}}, at(160));
    CHECK(gossip.takeMessage(instances(6), at(160))->notices.size() == 1);
}

// Guards against a harmless request that stays suspected because its withdrawal came first.
TEST_CASE("a withdrawal is final, in whatever order the notices arrive")
{
    const CrashNotice added {crash("a", "e", at(0)), false};
    const CrashNotice withdrawn {crash("a", "e", at(500)), true};
    const bool withdrawnFirst = GENERATE(true, false);
    CrashGossip gossip;
    const std::vector<CrashNotice> first {withdrawnFirst ? withdrawn : added};
    const std::vector<CrashNotice> second {withdrawnFirst ? added : withdrawn};
    CHECK(gossip.receive(first, at(600)));
    gossip.receive(second, at(700));
    CHECK(gossip.records().empty());
    gossip.setStored({crash("a", "e")});
    CHECK(gossip.records().empty());
}

TEST_CASE("a record that the store has held and dropped is void, one that it never held is not")
{
    CrashGossip gossip;
    gossip.publish({{crash("a", "e"), crash("b", "e")}, {}}, at(0));
    gossip.setStored({crash("a", "e"), crash("c", "e")});
    CHECK(gossip.records().size() == 3);
    gossip.setStored({});
    CHECK(gossip.records() == std::vector<CrashRecord> {crash("b", "e")});
}

TEST_CASE("records expire, and their number is limited")
{
    CrashGossipSettings settings;
    settings.maxNotices = 10;
    CrashGossip gossip(settings);
    CrashUpdate update;
    for (int i = 0; i < 20; ++i)
        update.added.push_back(crash("a", "e" + std::to_string(i)));
    gossip.publish(update, at(0));
    CHECK(gossip.records().size() == 10);
    const Time expired = at(0) + settings.retention;
    const std::vector<CrashNotice> late {{crash("a", "late", at(0)), false}};
    CHECK_FALSE(gossip.receive(late, expired));
    CHECK(gossip.records().empty());
}

TEST_CASE("notices reach every instance of a large fleet, although some messages are lost")
{
    constexpr std::size_t Count = 295;
    constexpr std::size_t LostEach = 10; ///< one of so many messages is lost
    const std::vector<PeerInstance> all = instances(Count);
    std::vector<CrashGossip> fleet;
    for (std::size_t i = 0; i < Count; ++i) {
        CrashGossipSettings settings;
        settings.self = all[i].name;
        settings.seed = i;
        fleet.emplace_back(settings);
    }
    fleet[0].publish({{crash("a", "e"), crash("a", "f")}, {}}, at(0));
    std::size_t sent = 0;
    std::size_t rounds = 0;
    for (bool active = true; active; ++rounds) {
        active = false;
        std::vector<std::pair<std::size_t, std::vector<CrashNotice>>> arriving;
        for (CrashGossip &each : fleet)
            if (const auto message = each.takeMessage(all, at(0)))
                for (const PeerInstance &to : message->recipients)
                    if (++sent % LostEach != 0)
                        arriving.emplace_back(std::stoul(to.name.substr(1)), message->notices);
        for (const auto &[to, notices] : arriving)
            active = fleet[to].receive(notices, at(0)) || active;
    }
    const auto informed = std::count_if(fleet.begin(), fleet.end(), [](const CrashGossip &each) {
        return each.records().size() == 2;
    });
    CHECK(informed >= static_cast<std::ptrdiff_t>(Count - 3));
    CHECK(rounds <= 6);
    CHECK(sent <= Count * CrashGossipSettings().fanOut);
}
