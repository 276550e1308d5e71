// Tests of rows that another writer left in the store's tables.

#include "../entry/entryharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft::testsuite;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// The row of an engine of a service without routes, with \a field in place of a sound one.
std::string engineWith(const std::string &field)
{
    return R"({"service":"other","address":"127.0.0.1:1","domain":"d","kind":"card","layers":[0,4],)"
           + field + "}";
}

std::string engineAt(const std::string &address)
{
    return R"({"service":"model","address":")" + address
           + R"(","domain":"d","kind":"card","layers":[0,4]})";
}

/// Values of rows, each of which names no engine to use.
std::vector<std::string> oddValues()
{
    std::vector<std::string> values {
        "",
        "null",
        "{",
        "[]",
        "17",
        nested(2000),
        nested(100'000),
        std::string(100'000, '['),
        R"({"service":"other"})",
        std::string(200'000, 'x'),
        std::string("\x00\x01\x7f", 3),
        engineWith(R"("more":)" + nested(2000)),
        engineWith(R"("more":)" + nested(100'000)),
        engineWith(R"("more":")" + std::string(200'000, 'x') + "\""),
    };
    for (const std::string address :
         {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:65536",
          "127.0.0.1:99999", "127.0.0.1:99999999999999999999", "localhost:80", "::1:80",
          "127.0.0.1:8x", "\\u0001\\n:80"})
        values.push_back(engineAt(address));
    for (const std::string number :
         {"-1", "1e400", "-1e400", "1000000000000000000000000000000", "9223372036854775807",
          "18446744073709551615", "1.5", "\"4\"", "null", "[]"})
        for (const std::string name : {"slots", "started", "cold_ms"})
            values.push_back(engineWith("\"" + name + "\":" + number));
    for (const std::string layers : {"[0,4294967296]", "[-1,4]", "[0,1e400]", "[4,0]", "[0]", "[]",
                                     "[\"a\",\"b\"]", "[0,18446744073709551616]", "{}"})
        values.push_back(
            R"({"service":"other","address":"127.0.0.1:1","domain":"d","kind":"card","layers":)"
            + layers + "}");
    return values;
}

/// Rows of the tables between instances, with times and numbers at the ends of their range.
std::vector<std::string> oddTimes()
{
    std::vector<std::string> values;
    for (const std::string number : {"9223372036854775807", "-9223372036854775808", "1e400", "-1"})
        for (const std::string row :
             {R"({"at_ms":#,"by":"x"})", R"({"at":"e1","by":"x","until_ms":#,"tries":#})",
              R"({"holder":"x","until_ms":#,"fencing":#})",
              R"({"domain":"d","seen_ms":#,"address":"127.0.0.1:1"})"})
            values.push_back(boost::replace_all_copy(row, "#", number));
    return values;
}

const std::vector<std::string> Tables {"endpoints", "instances", "crashes", "leases"};

/// An instance with one engine that serves streams.
class Site
{
public:
    explicit Site(EntryHarness &entry)
        : m_entry(entry)
        , m_engine([](const std::string &request) -> RawAnswer {
            if (request.starts_with("GET /state"))
                return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
            return {streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
        })
    {
    }

    /// Whether the instance lives, follows changes of each table, and serves.
    bool follows()
    {
        const std::string id = "sound-" + std::to_string(++m_sound);
        m_entry.store.put("endpoints", id, engineAt(m_engine.address()));
        const std::size_t before = m_engine.requests().size();
        const bool asked = waitUntil(
            [&] { return !m_entry.process->running() || m_engine.requests().size() > before; });
        const bool serves =
            asked && m_entry.process->running() && m_entry.answersWith("/stream/x", "0\r\n\r\n");
        m_entry.store.drop("endpoints", id);
        return serves;
    }

private:
    EntryHarness &m_entry;
    RawServer m_engine;
    int m_sound = 0;
};

} // namespace

// Guards against a process that ends, or no longer follows a table, for a row of another writer.
TEST_CASE("an instance outlives odd rows and follows what comes behind them", "[process]")
{
    EntryHarness entry;
    Site site(entry);
    const std::string table = GENERATE(from_range(Tables));
    std::vector<std::string> values = oddValues();
    if (table != "endpoints")
        for (const std::string &each : oddTimes())
            values.push_back(each);
    for (std::size_t i = 0; i < values.size(); ++i) {
        INFO(table << ": " << values[i].substr(0, 120) << ", " << values[i].size() << " bytes");
        entry.store.put(table, "odd", values[i]);
        entry.store.put(table, "odd/e1", values[i]);
        if (table == "endpoints" || i + 1 == values.size())
            REQUIRE(site.follows());
        REQUIRE(entry.process->running());
    }
}

TEST_CASE("an instance starts although odd rows are in all tables", "[process]")
{
    EntryHarness entry(false);
    int number = 0;
    for (const std::string &table : Tables)
        for (const std::string &value : oddValues())
            entry.store.put(table, "odd-" + std::to_string(++number) + "/e1", value);
    entry.configure(1, R"({"good-key":"team-a"})");
    REQUIRE(waitUntil([&] { return entry.isReady() || !entry.process->running(); }));
    Site site(entry);
    CHECK(site.follows());
    CHECK(entry.process->running());
}
