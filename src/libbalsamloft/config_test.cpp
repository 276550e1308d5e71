#include <balsamloft/config.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace balsamloft;

namespace {

std::string fileText(const std::string &path)
{
    std::ifstream stream(BALSAMLOFT_SOURCE "/" + path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::vector<Problem> problemsOf(const std::string &inventory, const std::string &rules)
{
    std::vector<Problem> problems;
    const auto first = parseInventory(inventory, problems);
    const auto second = parseRules(rules, problems);
    if (!first || !second)
        return problems;
    ConfigEntries entries = *first;
    entries.insert(second->begin(), second->end());
    compileConfig(entries, {1, ""}, problems);
    return problems;
}

bool mentions(const std::vector<Problem> &problems, const std::string &path,
              const std::string &advice)
{
    return std::any_of(problems.begin(), problems.end(), [&](const Problem &problem) {
        return problem.path.find(path) != std::string::npos
               && problem.advice.find(advice) != std::string::npos;
    });
}

constexpr auto Rules = R"({"models":[{"name":"m","layers":4}],"teams":[]})";

std::string engine(const std::string &fields)
{
    return R"({"domains":[{"name":"d"}],"endpoints":[{"name":"e","address":"10.0.0.1:1","domain":"d",)"
           + fields + "}]}";
}

} // namespace

TEST_CASE("the shipped examples are valid", "[config]")
{
    for (const std::string name : {"thamel", "panelmetria"}) {
        const auto problems = problemsOf(fileText("examples/" + name + "/inventory.json"),
                                         fileText("examples/" + name + "/rules.json"));
        for (const Problem &problem : problems)
            UNSCOPED_INFO(problem.text());
        CHECK(problems.empty());
    }
}

TEST_CASE("invalid documents are rejected with path and reason", "[config]")
{
    const struct
    {
        std::string inventory;
        std::string rules;
        std::string path;
        std::string advice;
    } cases[] = {
        {"{", Rules, "inventory", "not valid JSON"},
        {"[]", Rules, "inventory", "must be a JSON object"},
        {std::string(MaxDocumentBytes + 1, ' '), Rules, "inventory", "must be at most"},
        {R"({"a":)" + std::string(40, '[') + std::string(40, ']') + "}", Rules, "inventory",
         "nested deeper"},
        {R"({"machines":[]})", Rules, "inventory.machines", "not a known field"},
        {R"({"domains":[{}]})", Rules, "inventory.domains[0].name", "must be a non-empty string"},
        {R"({"domains":[{"name":"d"},{"name":"d"}]})", Rules, "inventory.domains[1].name",
         "must be unique"},
        {R"({"domains":[{"name":"a/b"}]})", Rules, "inventory.domains[0].name", "'/'"},
        {R"({"domains":[{"name":"d","colour":1}]})", Rules, "inventory/domains/d.colour",
         "not a known field"},
        {engine(R"("model":"x","layers":[0,4])"), Rules, "endpoints/e.model", "must be a model"},
        {engine(R"("model":"m","layers":[0,9])"), Rules, "endpoints/e.layers", "must end at"},
        {engine(R"("model":"m","layers":[0,2])"), Rules, "models/m.layers",
         "do not hold all its layers"},
        {engine(R"("model":"m","layers":[3,1])"), Rules, "endpoints/e.layers", "must be [first"},
        {engine(R"("model":"m")"), Rules, "endpoints/e.layers", "is required"},
        {engine(R"("slots":0)"), Rules, "endpoints/e.slots", "must be a number from 1"},
        {engine(R"("kind":"printer")"), Rules, "endpoints/e.kind", "must be \"engine\""},
        {engine(R"("accelerator":"none")"), Rules, "endpoints/e.accelerator", "must be one of"},
        {R"({"endpoints":[{"name":"e","address":"host:1","domain":"d"}]})", Rules,
         "endpoints/e.address", "must be IP:port"},
        {R"({"domains":[{"name":"d"}],"endpoints":[{"name":"a","address":"10.0.0.1:1","domain":"d"},{"name":"b","address":"10.0.0.1:1","domain":"d"}]})",
         Rules, "endpoints/b.address", "another endpoint's"},
        {"{}", R"({"teams":[{"name":"t","token_sha256":"x","share":0.5}]})", "teams/t.token_sha256",
         "64 hex digits"},
        {"{}", R"({"teams":[{"name":"t","token_sha256":")" + sha256Hex("t") + R"(","share":1.5}]})",
         "teams/t.share", "must be a number"},
        {"{}",
         R"({"teams":[{"name":"t","token_sha256":")" + sha256Hex("t")
             + R"(","share":0.7},{"name":"u","token_sha256":")" + sha256Hex("u")
             + R"(","share":0.7}]})",
         "rules/teams", "must sum to at most 1"},
        {"{}",
         R"({"teams":[{"name":"t","token_sha256":")" + sha256Hex("t")
             + R"(","share":0.2},{"name":"u","token_sha256":")" + sha256Hex("t")
             + R"(","share":0.2}]})",
         "teams/u.token_sha256", "another team's token"},
    };
    for (const auto &item : cases) {
        const auto problems = problemsOf(item.inventory, item.rules);
        INFO(item.path << ": " << item.advice);
        for (const Problem &problem : problems)
            UNSCOPED_INFO("got " << problem.text());
        CHECK(mentions(problems, item.path, item.advice));
    }
}

TEST_CASE("applying a diff yields the target, and its reverse restores the source", "[config]")
{
    const ConfigEntries from {{"rules/a", "1"}, {"rules/b", "2"}, {"inventory/x", "9"}};
    const ConfigEntries to {{"rules/b", "3"}, {"rules/c", "4"}};
    const ConfigEdits edits = diffEntries(from, to, "rules/");
    CHECK(edits.size() == 3);
    ConfigEntries entries = from;
    Reason reason;
    REQUIRE(applyEdits(entries, edits, reason));
    CHECK(entries == ConfigEntries {{"rules/b", "3"}, {"rules/c", "4"}, {"inventory/x", "9"}});
    REQUIRE(applyEdits(entries, reverseEdits(edits), reason));
    CHECK(entries == from);
    CHECK_FALSE(applyEdits(entries, reverseEdits(edits), reason));
    CHECK(entries == from);
    CHECK_FALSE(reason.empty());
}

TEST_CASE("a change round-trips through JSON, and its digest covers all fields", "[config]")
{
    ConfigChange change {3, "id", "ann", "why", 1234, {{"rules/a", "1", std::nullopt}}, {}};
    change.digest = chainDigest("before", change);
    Reason reason;
    const auto back = changeFromJson(toJson(change), reason);
    REQUIRE(back);
    CHECK(back->edits == change.edits);
    CHECK(chainDigest("before", *back) == change.digest);
    CHECK(chainDigest("other", *back) != change.digest);
    ConfigChange altered = *back;
    altered.author = "bob";
    CHECK(chainDigest("before", altered) != change.digest);
    CHECK_FALSE(changeFromJson("{}", reason));
    CHECK_FALSE(changeFromJson("nonsense", reason));
}

TEST_CASE("placement applies only to engines without a model in the inventory", "[config]")
{
    ConfigEntries entries {
        {"inventory/domains/d", R"({"name":"d"})"},
        {"inventory/endpoints/free", R"({"name":"free","address":"10.0.0.1:1","domain":"d"})"},
        {"inventory/endpoints/fixed",
         R"({"name":"fixed","address":"10.0.0.2:1","domain":"d","model":"m","layers":[0,4]})"},
        {"rules/models/m", R"({"name":"m","layers":4})"},
        {"rules/models/n", R"({"name":"n","layers":2})"},
        {"placement/free", R"({"engine":"free","model":"n","layers":[0,2],"replica":"r"})"},
        {"placement/fixed", R"({"engine":"fixed","model":"n","layers":[0,2]})"},
        {"placement/gone", R"({"engine":"gone","model":"n","layers":[0,2]})"}};
    std::vector<Problem> problems;
    const ConfigPtr config = compileConfig(entries, {1, ""}, problems);
    REQUIRE(config);
    CHECK(config->endpoint("free")->model == "n");
    CHECK(config->endpoint("free")->placeable);
    CHECK(config->endpoint("fixed")->model == "m");
}
