#include <balsamloft/resourceaccount.h>

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <vector>

using namespace balsamloft;

namespace {

constexpr Time Start {std::chrono::hours(1)};
constexpr std::uint64_t Megabyte = 1ULL << 20U;
constexpr ResourceLimits Limits {.bytes = 64 * Megabyte, .connections = 64};

/// A client that holds something.
class Client : private ResourceHolder
{
public:
    Client(const ResourceGroupPtr &group, ResourceUse use, Time now)
        : hold(group, use, *this, now)
    {
    }

    bool displaced = false;
    ResourceHold hold;

private:
    void displace() override { displaced = true; }
};

using ClientPtr = std::unique_ptr<Client>;

ClientPtr stalledClient(const ResourceGroupPtr &group, std::uint64_t bytes, ResourceUse use,
                        Time since)
{
    auto client = std::make_unique<Client>(group, use, since);
    client->hold.setDisplaceable(true);
    if (!client->hold.resize(bytes, since))
        return nullptr;
    return client;
}

/// Clients of which each holds \a bytes, as many as are granted at \a now.
std::vector<ClientPtr> fill(const ResourceGroupPtr &group, std::uint64_t bytes, ResourceUse use,
                            Time now)
{
    std::vector<ClientPtr> clients;
    while (ClientPtr client = stalledClient(group, bytes, use, now))
        clients.push_back(std::move(client));
    return clients;
}

/// One drawn step of a client: it grows, shrinks, makes progress, or leaves.
void takeStep(ClientPtr &client, const ResourceGroupPtr &group, std::mt19937 &random, Time now)
{
    const auto draw = [&](std::uint64_t from, std::uint64_t to) {
        return std::uniform_int_distribution<std::uint64_t>(from, to)(random);
    };
    if (!client || client->displaced) {
        const auto use = static_cast<ResourceUse>(draw(0, ResourceUseNames.size() - 1));
        client = std::make_unique<Client>(group, use, now);
        client->hold.setDisplaceable(draw(0, 2) > 0);
        if (use != ResourceUse::Answer)
            client->hold.openConnection(now);
        return;
    }
    switch (draw(0, 4)) {
    case 0:
        client->hold.resize(draw(0, SmallHoldBytes), now);
        return;
    case 1:
        client->hold.resize(draw(0, 8 * Megabyte), now);
        return;
    case 2:
        client->hold.growTo(draw(0, 4 * Megabyte), now);
        return;
    case 3:
        client->hold.recordProgress(draw(0, ProgressBytes), now);
        return;
    default:
        client.reset();
    }
}

} // namespace

// Guards against parts that are each within their limits while their sum is not.
TEST_CASE("drawn sequences never exceed the limits, and all is given back")
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        ResourceAccount account(Limits);
        const auto group = std::make_shared<ResourceGroup>(&account);
        const auto other = std::make_shared<ResourceGroup>(&account);
        std::vector<ClientPtr> clients(100);
        Time now = Start;
        for (int step = 0; step < 3000; ++step) {
            const std::size_t i = random() % clients.size();
            takeStep(clients[i], i % 2 == 0 ? group : other, random, now);
            now += Duration(random() % 20'000);
            std::uint64_t sum = 0;
            for (const ClientPtr &each : clients)
                sum += each ? each->hold.bytes() : 0;
            REQUIRE(account.bytes() == sum);
            REQUIRE(sum <= Limits.bytes);
            for (const auto use :
                 {ResourceUse::Request, ResourceUse::Instance, ResourceUse::Operator})
                REQUIRE(account.connections(use) <= account.maxConnections(use));
        }
        clients.clear();
        CHECK(account.bytes() == 0);
        CHECK(account.connections(ResourceUse::Request) == 0);
    }
}

// Guards against large requests and answers that keep ordinary callers out.
TEST_CASE("large amounts leave room for small ones of each use")
{
    ResourceAccount account(Limits);
    const auto group = std::make_shared<ResourceGroup>(&account);
    std::vector<std::vector<ClientPtr>> large;
    for (const auto use :
         {ResourceUse::Request, ResourceUse::Answer, ResourceUse::Instance, ResourceUse::Operator})
        large.push_back(fill(group, Megabyte, use, Start));
    for (const auto use : {ResourceUse::Request, ResourceUse::Answer}) {
        Client small(group, use, Start);
        CHECK(small.hold.resize(SmallHoldBytes, Start));
    }
}

// Guards against requests that leave no room for their own answers.
TEST_CASE("large requests leave room for large answers")
{
    ResourceAccount account(Limits);
    const auto group = std::make_shared<ResourceGroup>(&account);
    const auto requests = fill(group, Megabyte, ResourceUse::Request, Start);
    Client answer(group, ResourceUse::Answer, Start);
    CHECK(answer.hold.resize(8 * Megabyte, Start));
}

// Guards against a client that stopped short and holds out a new one.
TEST_CASE("the client that made least progress is displaced by a new one")
{
    ResourceAccount account(Limits);
    const auto group = std::make_shared<ResourceGroup>(&account);
    auto clients = fill(group, Megabyte, ResourceUse::Request, Start);
    REQUIRE(clients.size() > 3);
    const Time now = Start + StallTime;
    for (const ClientPtr &each : clients)
        if (each != clients[1] && each != clients[2])
            each->hold.recordProgress(ProgressBytes, now);
    clients[2]->hold.recordProgress(ProgressBytes, Start + Duration(1));
    Client newcomer(group, ResourceUse::Request, now);
    CHECK(newcomer.hold.resize(Megabyte, now));
    for (std::size_t i = 0; i < clients.size(); ++i)
        CHECK(clients[i]->displaced == (i == 1));
    CHECK(account.counts().displaced == 1);
}

// Guards against an end of requests that progress, or whose progress is not up to their clients.
TEST_CASE("a new client is refused rather than one displaced that makes progress")
{
    ResourceAccount account(Limits);
    const auto group = std::make_shared<ResourceGroup>(&account);
    auto clients = fill(group, Megabyte, ResourceUse::Request, Start);
    const Time now = Start + StallTime;
    for (std::size_t i = 0; i < clients.size(); ++i)
        i % 2 == 0 ? clients[i]->hold.recordProgress(ProgressBytes, now)
                   : clients[i]->hold.setDisplaceable(false);
    Client newcomer(group, ResourceUse::Request, now);
    CHECK_FALSE(newcomer.hold.resize(Megabyte, now));
    CHECK(newcomer.hold.bytes() == 0);
    CHECK(account.isRefusing(now));
    CHECK_FALSE(account.isRefusing(now + Duration(1'000'000)));
}

// Guards against a trickle that counts as progress each time.
TEST_CASE("a trickle is no progress")
{
    ResourceAccount account(Limits);
    const auto group = std::make_shared<ResourceGroup>(&account);
    const ClientPtr slow = stalledClient(group, Megabyte, ResourceUse::Request, Start);
    for (int i = 0; i < 100; ++i)
        slow->hold.recordProgress(1, Start + i * StallTime / 10);
    CHECK(slow->hold.progressAt() == Start);
}

// Guards against connections that keep out new callers.
TEST_CASE("connections of one use leave those of the others")
{
    ResourceAccount account(Limits);
    const auto group = std::make_shared<ResourceGroup>(&account);
    std::vector<ClientPtr> callers;
    for (std::uint32_t i = 0; i <= Limits.connections; ++i) {
        callers.push_back(
            std::make_unique<Client>(group, ResourceUse::Request, Start + Duration(i)));
        callers.back()->hold.setDisplaceable(true);
        CHECK(callers.back()->hold.openConnection(Start)
              == (i < account.maxConnections(ResourceUse::Request)));
    }
    Client instance(group, ResourceUse::Instance, Start);
    CHECK(instance.hold.openConnection(Start));
    Client caller(group, ResourceUse::Request, Start + StallTime);
    CHECK(caller.hold.openConnection(Start + StallTime));
    CHECK(callers.front()->displaced);
}

TEST_CASE("the smallest machine grants a request and an answer of the largest size")
{
    const ResourceLimits limits = limitsFor({.memoryBytes = 128 * Megabyte, .descriptors = 4100});
    ResourceAccount account(limits);
    CHECK(account.largestGrant(ResourceUse::Request) >= 2 * 4 * Megabyte);
    CHECK(account.largestGrant(ResourceUse::Answer) >= 2 * 8 * Megabyte);
    CHECK(limits.bytes <= 64 * Megabyte);
}

TEST_CASE("a machine of unknown size is the one that the system reports")
{
    const MachineSize size = reportedSize({});
    CHECK(size.memoryBytes > 0);
    CHECK(size.descriptors > 0);
    CHECK(reportedSize({.memoryBytes = 1, .descriptors = 2}).memoryBytes == 1);
}
