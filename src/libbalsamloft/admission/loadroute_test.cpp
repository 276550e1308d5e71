// Choice of the queries that carry loads.

#include <balsamloft/admission/loadexchange.h>
#include <balsamloft/admission/loadroute.h>

#include <catch2/catch.hpp>

#include <random>

using namespace balsamloft;

namespace {

using Content = LoadRoute::Content;

Time at(double seconds)
{
    return Time(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(seconds * 1e6));
}

PeerInstance instance(const std::string &name, const std::string &domain)
{
    return {name, domain, "127.0.0.1:1", {}};
}

} // namespace

TEST_CASE("a load is sent at most once a second", "[loadroute]")
{
    LoadRoute route("a3", "a");
    CHECK(route.takeContent(instance("a1", "a"), false, at(0)) == Content::Subtree);
    CHECK(route.takeContent(instance("a1", "a"), false, at(0.9)) == Content::Nothing);
    CHECK(route.takeContent(instance("a1", "a"), false, at(1)) == Content::Subtree);
}

// Failure: sums that pass through a cycle of instances grow without limit.
TEST_CASE("loads are sent only to instances that precede by name", "[loadroute]")
{
    LoadRoute route("a3", "a");
    CHECK(route.takeContent(instance("a4", "a"), false, at(0)) == Content::Nothing);
    CHECK(route.takeContent(instance("b1", "b"), false, at(0)) == Content::Nothing);
    CHECK(route.takeContent(instance("a2", "a"), false, at(0)) == Content::Subtree);
    CHECK(route.acceptsSubtree("a4"));
    CHECK_FALSE(route.acceptsSubtree("a2"));
    CHECK_FALSE(route.acceptsSubtree("a3"));
}

// Failure: an instance that reads from two sources in turn is counted twice.
TEST_CASE("one source at a time gets the loads", "[loadroute]")
{
    LoadRoute route("a3", "a");
    for (int i = 0; i < 10; ++i) {
        CHECK(route.takeContent(instance("a1", "a"), false, at(i)) == Content::Subtree);
        CHECK(route.takeContent(instance("a2", "a"), false, at(i + 0.5)) == Content::Nothing);
    }
    CHECK(route.takeContent(instance("a2", "a"), false, at(10.9)) == Content::Nothing);
    CHECK(route.takeContent(instance("a2", "a"), false, at(11)) == Content::Subtree);
    CHECK(route.takeContent(instance("a1", "a"), false, at(11.5)) == Content::Nothing);
    route.sourceFailed("a1");
    CHECK(route.takeContent(instance("a1", "a"), false, at(11.5)) == Content::Nothing);
    route.sourceFailed("a2");
    CHECK(route.takeContent(instance("a1", "a"), false, at(11.5)) == Content::Subtree);
}

TEST_CASE("a domain reader sends the sum over its domain to other domains", "[loadroute]")
{
    LoadRoute route("a1", "a");
    CHECK(route.takeContent(instance("a2", "a"), true, at(0)) == Content::Nothing);
    CHECK(route.takeContent(instance("b1", "b"), true, at(0)) == Content::Domain);
    CHECK(route.takeContent(instance("c1", "c"), true, at(0)) == Content::Domain);
    CHECK(route.takeContent(instance("b1", "b"), true, at(0.5)) == Content::Nothing);
    CHECK(route.takeContent(instance("b1", "b"), true, at(1)) == Content::Domain);
}

// Failure: while the store fails, instances read from each other in turn, and sums grow.
TEST_CASE("each instance is counted once if all read from each other", "[loadroute]")
{
    struct Node
    {
        PeerInstance instance;
        LoadExchange exchange;
        LoadRoute route;
        bool reader;
    };
    std::vector<Node> nodes;
    for (const std::string domain : {"a", "b"})
        for (int i = 1; i <= 4; ++i) {
            const std::string name = domain + std::to_string(i);
            nodes.push_back(
                {instance(name, domain), LoadExchange(domain), LoadRoute(name, domain), i == 1});
        }
    std::mt19937 random(3);
    for (double second = 0; second < 60; second += 0.1) {
        const Time now = at(second);
        for (Node &each : nodes) {
            each.exchange.setOwn({{{"model", 1, 0, 0, 0, 0}}, 1}, now);
            Node &other = nodes[random() % nodes.size()];
            switch (each.route.takeContent(other.instance, each.reader, now)) {
            case Content::Nothing:
                break;
            case Content::Subtree:
                REQUIRE(other.route.acceptsSubtree(each.instance.name));
                other.exchange.receiveSubtree(each.instance.name, each.exchange.subtree(now), now);
                each.exchange.receiveTotal(other.exchange.total(other.reader, now), now);
                break;
            case Content::Domain:
                other.exchange.receiveDomain(each.instance.domain, each.exchange.subtree(now), now);
                if (other.reader)
                    each.exchange.receiveDomain(other.instance.domain, other.exchange.subtree(now),
                                                now);
                break;
            }
            const auto load = each.exchange.fleet(each.reader, now);
            // An instance that changes its source is counted at both for one report lifetime.
            REQUIRE((!load || load->total.instances <= 2 * nodes.size()));
        }
    }
}
