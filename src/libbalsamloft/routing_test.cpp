#include <balsamloft/routing.h>

#include <catch2/catch.hpp>

#include <map>

using namespace balsamloft;

namespace {

const Time Now(std::chrono::hours(1));

struct EndpointRow
{
    std::string name;
    LayerRange layers;
    std::string version = "1";
    std::string domain = "near";
    double speed = 1;
    std::uint32_t slots = 4;
};

/// A configuration of one model of 8 layers and two failure domains, with a ChainChooser.
struct RoutingFixture
{
    explicit RoutingFixture(const std::vector<EndpointRow> &rows, std::uint32_t alertEndpoints = 0)
        : chooser({}, "near", 1)
    {
        ConfigEntries entries {
            {"inventory/domains/near", R"({"name":"near"})"},
            {"inventory/domains/far", R"({"name":"far"})"},
            {"inventory/links/far~near", R"({"from":"far","to":"near","latency_us":50000})"},
            {"rules/models/m", R"({"name":"m","layers":8,"version":"1","alert_endpoints":)"
                                   + std::to_string(alertEndpoints) + "}"}};
        int port = 1;
        for (const EndpointRow &row : rows)
            entries["inventory/endpoints/" + row.name] =
                R"({"name":")" + row.name + R"(","address":"10.0.0.1:)" + std::to_string(port++)
                + R"(","domain":")" + row.domain + R"(","model":"m","version":")" + row.version
                + R"(","layers":[)" + std::to_string(row.layers.begin) + ","
                + std::to_string(row.layers.end) + R"(],"speed":)" + std::to_string(row.speed)
                + R"(,"slots":)" + std::to_string(row.slots) + "}";
        std::vector<Problem> problems;
        config = compileConfig(entries, {1, ""}, problems);
        for (const Problem &problem : problems)
            UNSCOPED_INFO(problem.text());
        REQUIRE(config);
        loads.setConfig(*config);
        chooser.setConfig(*config, loads);
        table = CandidateTable::forModel(*config, *config->model("m"), loads, "near");
    }

    std::string choose(RouteQuery query = {})
    {
        Chain chain;
        if (!chooser.choose(table, loads, query, Now, chain))
            return "none";
        std::string names;
        for (const Stage &stage : chain)
            names += (names.empty() ? "" : ">") + loads.state(stage.endpoint).name;
        return names;
    }

    std::map<std::string, int> counts(int draws, RouteQuery query = {})
    {
        std::map<std::string, int> result;
        for (int i = 0; i < draws; ++i)
            ++result[choose(query)];
        return result;
    }

    ConfigPtr config;
    LoadView loads;
    ChainChooser chooser;
    CandidateTable table;
};

} // namespace

TEST_CASE("chains cover each layer exactly once with different layer splits", "[routing]")
{
    RoutingFixture fixture(
        {{"a", {0, 4}}, {"b", {4, 8}}, {"c", {0, 2}}, {"d", {2, 8}}, {"x", {3, 8}}});
    for (const auto &[chain, count] : fixture.counts(50))
        CHECK((chain == "a>b" || chain == "c>d"));
}

TEST_CASE("no chain contains a full or leaving endpoint", "[routing]")
{
    RoutingFixture fixture({{"a", {0, 4}}, {"b", {4, 8}, "1", "near", 1, 1}});
    CHECK(fixture.choose() == "a>b");
    fixture.loads.dispatched(fixture.loads.find("b"), Now);
    CHECK(fixture.choose() == "none");
    fixture.loads.released(fixture.loads.find("b"), Now);
    fixture.loads.setLeaving(fixture.loads.find("a"), true);
    CHECK(fixture.choose() == "none");
}

TEST_CASE("all stages have the same version, if possible the requested one", "[routing]")
{
    RoutingFixture both(
        {{"a1", {0, 4}, "1"}, {"b1", {4, 8}, "1"}, {"a2", {0, 4}, "2"}, {"b2", {4, 8}, "2"}});
    CHECK(both.counts(20) == std::map<std::string, int> {{"a1>b1", 20}});
    both.loads.setLeaving(both.loads.find("b1"), true);
    CHECK(both.counts(20) == std::map<std::string, int> {{"a2>b2", 20}});
}

TEST_CASE("near endpoints are preferred while they have free slots", "[routing]")
{
    RoutingFixture fixture({{"near", {0, 8}}, {"far", {0, 8}, "1", "far"}});
    CHECK(fixture.counts(50)["near"] >= 45);
    for (int i = 0; i < 4; ++i)
        fixture.loads.dispatched(fixture.loads.find("near"), Now);
    CHECK(fixture.choose() == "far");
}

TEST_CASE("an endpoint of five times the speed gets over two thirds of the requests", "[routing]")
{
    RoutingFixture fixture(
        {{"fast", {0, 8}, "1", "near", 5, 1000}, {"slow", {0, 8}, "1", "near", 1, 1000}});
    int fast = 0;
    for (int i = 0; i < 600; ++i) {
        const std::string name = fixture.choose();
        fast += name == "fast" ? 1 : 0;
    }
    CHECK(fast > 600 * 4 / 6);
}

TEST_CASE("an endpoint to avoid is used only if there is no other", "[routing]")
{
    RoutingFixture fixture({{"a", {0, 8}}, {"b", {0, 8}}});
    RouteQuery query;
    query.avoid = fixture.loads.find("a");
    CHECK(fixture.counts(20, query) == std::map<std::string, int> {{"b", 20}});
    fixture.loads.setLeaving(fixture.loads.find("b"), true);
    CHECK(fixture.choose(query) == "a");
}

TEST_CASE("a group is still used after all its members have been ejected", "[routing][failure]")
{
    // A burst of failures ejects all four members. More than half of them are ejected, so
    // ejected members are used again, since some of them may work.
    RoutingFixture fixture({{"a", {0, 8}}, {"b", {0, 8}}, {"c", {0, 8}}, {"d", {0, 8}}});
    for (const auto *name : {"a", "b"})
        fixture.loads.failed(fixture.loads.find(name), true, Now);
    for (const auto &[chain, count] : fixture.counts(30))
        CHECK((chain == "c" || chain == "d"));
    for (const auto *name : {"c", "d"})
        fixture.loads.failed(fixture.loads.find(name), true, Now);
    CHECK(fixture.choose() != "none");
}

TEST_CASE("all instances reserve the same endpoint for alerts alone", "[routing]")
{
    const std::vector<EndpointRow> rows {
        {"a", {0, 8}}, {"b", {0, 8}}, {"c", {0, 8}}, {"d", {0, 8}}};
    RoutingFixture first(rows, 1);
    RoutingFixture second(rows, 1);
    RouteQuery alert;
    alert.priority = Priority::Alert;
    const std::string reserved = first.choose(alert);
    CHECK(second.choose(alert) == reserved);
    CHECK(first.counts(100).count(reserved) == 0);
    // Alerts use other endpoints while the reserved one is full.
    for (int i = 0; i < 4; ++i)
        first.loads.dispatched(first.loads.find(reserved), Now);
    CHECK(first.choose(alert) != "none");
    CHECK(first.choose(alert) != reserved);
}

TEST_CASE("all instances assign a prefix to the same owner", "[routing]")
{
    std::vector<EndpointRow> rows;
    for (int i = 0; i < 10; ++i)
        rows.push_back({"e" + std::to_string(i), {0, 8}, "1", "near", 1, 1000});
    RoutingFixture first(rows);
    RoutingFixture second(rows);
    std::map<std::string, int> owners;
    for (std::uint64_t prefix = 1; prefix <= 200; ++prefix) {
        RouteQuery query;
        query.prefixHash = prefix * 0x9e3779b97f4a7c15ULL;
        const std::string owner = first.choose(query);
        CHECK(second.choose(query) == owner);
        ++owners[owner];
    }
    CHECK(owners.size() == 10);
}
