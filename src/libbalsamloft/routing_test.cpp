#include <balsamloft/routing.h>

#include <catch2/catch.hpp>

#include <map>

using namespace balsamloft;

namespace {

const Time Now(std::chrono::hours(1));

struct Row
{
    std::string name;
    LayerRange layers;
    std::string version = "1";
    std::string domain = "near";
    double speed = 1;
    std::uint32_t slots = 4;
};

/// A small world for the chooser: one model of 8 layers, two domains.
struct World
{
    explicit World(const std::vector<Row> &rows, std::uint32_t alertEndpoints = 0)
        : chooser({}, "near", 1)
    {
        ConfigEntries entries {
            {"inventory/domains/near", R"({"name":"near"})"},
            {"inventory/domains/far", R"({"name":"far"})"},
            {"inventory/links/far~near", R"({"from":"far","to":"near","latency_us":50000})"},
            {"rules/models/m", R"({"name":"m","layers":8,"version":"1","alert_endpoints":)"
                                   + std::to_string(alertEndpoints) + "}"}};
        int port = 1;
        for (const Row &row : rows)
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

    std::map<std::string, int> counts(int tries, RouteQuery query = {})
    {
        std::map<std::string, int> result;
        for (int i = 0; i < tries; ++i)
            ++result[choose(query)];
        return result;
    }

    ConfigPtr config;
    LoadView loads;
    ChainChooser chooser;
    CandidateTable table;
};

} // namespace

TEST_CASE("chains cover all layers once, also over unlike splits", "[routing]")
{
    World world({{"a", {0, 4}}, {"b", {4, 8}}, {"c", {0, 2}}, {"d", {2, 8}}, {"x", {3, 8}}});
    for (const auto &[chain, count] : world.counts(50))
        CHECK((chain == "a>b" || chain == "c>d"));
}

TEST_CASE("no chain with a full or leaving stage", "[routing]")
{
    World world({{"a", {0, 4}}, {"b", {4, 8}, "1", "near", 1, 1}});
    CHECK(world.choose() == "a>b");
    world.loads.dispatched(world.loads.find("b"), Now);
    CHECK(world.choose() == "none");
    world.loads.released(world.loads.find("b"), Now);
    world.loads.setLeaving(world.loads.find("a"), true);
    CHECK(world.choose() == "none");
}

TEST_CASE("one version throughout, the wanted one first", "[routing]")
{
    World both(
        {{"a1", {0, 4}, "1"}, {"b1", {4, 8}, "1"}, {"a2", {0, 4}, "2"}, {"b2", {4, 8}, "2"}});
    CHECK(both.counts(20) == std::map<std::string, int> {{"a1>b1", 20}});
    both.loads.setLeaving(both.loads.find("b1"), true);
    CHECK(both.counts(20) == std::map<std::string, int> {{"a2>b2", 20}});
}

TEST_CASE("near endpoints go before far ones while they have room", "[routing]")
{
    World world({{"near", {0, 8}}, {"far", {0, 8}, "1", "far"}});
    CHECK(world.counts(50)["near"] >= 45);
    for (int i = 0; i < 4; ++i)
        world.loads.dispatched(world.loads.find("near"), Now);
    CHECK(world.choose() == "far");
}

TEST_CASE("five times the speed draws about five times the work", "[routing]")
{
    World world({{"fast", {0, 8}, "1", "near", 5, 1000}, {"slow", {0, 8}, "1", "near", 1, 1000}});
    int fast = 0;
    for (int i = 0; i < 600; ++i) {
        const std::string name = world.choose();
        fast += name == "fast" ? 1 : 0;
    }
    CHECK(fast > 600 * 4 / 6);
}

TEST_CASE("the endpoint that failed is avoided while there is another", "[routing]")
{
    World world({{"a", {0, 8}}, {"b", {0, 8}}});
    RouteQuery query;
    query.avoid = world.loads.find("a");
    CHECK(world.counts(20, query) == std::map<std::string, int> {{"b", 20}});
    world.loads.setLeaving(world.loads.find("b"), true);
    CHECK(world.choose(query) == "a");
}

TEST_CASE("ejection has a floor: it cannot empty a group", "[routing][failure]")
{
    // Callers are served by what may yet work. A burst of failures ejects all
    // four members; at most half may count as ejected, so all are tried again.
    World world({{"a", {0, 8}}, {"b", {0, 8}}, {"c", {0, 8}}, {"d", {0, 8}}});
    for (const auto *name : {"a", "b"})
        world.loads.failed(world.loads.find(name), true, Now);
    for (const auto &[chain, count] : world.counts(30))
        CHECK((chain == "c" || chain == "d"));
    for (const auto *name : {"c", "d"})
        world.loads.failed(world.loads.find(name), true, Now);
    CHECK(world.choose() != "none");
}

TEST_CASE("kept endpoints serve alerts alone, and the same everywhere", "[routing]")
{
    const std::vector<Row> rows {{"a", {0, 8}}, {"b", {0, 8}}, {"c", {0, 8}}, {"d", {0, 8}}};
    World first(rows, 1);
    World second(rows, 1);
    RouteQuery alert;
    alert.priority = Priority::Alert;
    const std::string kept = first.choose(alert);
    CHECK(second.choose(alert) == kept);
    CHECK(first.counts(100).count(kept) == 0);
    // Alerts overflow to the others when it is full.
    for (int i = 0; i < 4; ++i)
        first.loads.dispatched(first.loads.find(kept), Now);
    CHECK(first.choose(alert) != "none");
    CHECK(first.choose(alert) != kept);
}

TEST_CASE("a prefix keeps its owner on every instance", "[routing]")
{
    std::vector<Row> rows;
    for (int i = 0; i < 10; ++i)
        rows.push_back({"e" + std::to_string(i), {0, 8}, "1", "near", 1, 1000});
    World first(rows);
    World second(rows);
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
