// Several `balsamloft-entry` processes whose store loses its last writes and begins a new era.

#include "../entry/entryharness.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft::testsuite;

namespace {

/// Time in which an instance uses what it reads; ample for a slow machine.
constexpr auto PropagationTime = std::chrono::seconds(3);
/// More writes than the instances make while a test runs.
constexpr int ManyWrites = 200;

/// Instances in two domains, with plain endpoints that count their requests. Each version of the
/// configuration adds a key.
class Fleet
{
public:
    explicit Fleet(int instances)
    {
        configure(20);
        for (int i = 0; i < 3; ++i)
            addEndpoint("e" + std::to_string(i));
        for (int i = 0; i < instances; ++i)
            start("entry-" + std::to_string(i), i % 2 == 0 ? "d" : "e");
        for (std::size_t i = 0; i < m_processes.size(); ++i)
            m_processes[i]->waitFor("\"all\":" + std::to_string(instances));
    }

    /// Starts an instance and waits until it serves.
    std::size_t start(const std::string &name, const std::string &domain)
    {
        m_callers.push_back(freeAddress());
        m_settings.push_back({"--name=" + name, "--domain=" + domain,
                              "--listen=" + m_callers.back(), "--ready_listen=" + freeAddress(),
                              "--peer_listen=" + freeAddress(), "--store=" + store.address(),
                              "--revocation_ms=30000"});
        m_processes.emplace_back();
        const std::size_t index = m_callers.size() - 1;
        restart(index);
        REQUIRE(waitUntil([&] { return send(index, "common").starts_with("HTTP/1.1 200"); }));
        return index;
    }

    /// Kills the instance, if it runs, and starts it with the same settings.
    void restart(std::size_t instance)
    {
        m_processes[instance].reset();
        m_processes[instance] =
            std::make_unique<Process>("balsamloft-entry-standin", m_settings[instance]);
    }

    /// Writes version \a version, whose keys are "common", "key\a version" and \a moreKeys.
    void configure(int version, const std::string &moreKeys = {})
    {
        store.put("configuration", "current",
                  R"({"version":)" + std::to_string(version) + R"(,"keys":{"common":"t","key)"
                      + std::to_string(version) + R"(":"t")" + moreKeys
                      + R"(},"services":[{"name":"plain"}],"routes":[
                        {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","attempts":3,"service":"plain"}]})");
    }

    void addEndpoint(const std::string &id)
    {
        m_endpoints[id] = std::make_unique<RawServer>(
            [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
        writeEndpoint(id, "ready");
    }

    void writeEndpoint(const std::string &id, const std::string &state)
    {
        store.put("endpoints", id,
                  R"({"service":"plain","address":")" + m_endpoints.at(id)->address()
                      + R"(","domain":"d","state":")" + state + R"("})");
    }

    /// Raises the store's version counter.
    void writeMany()
    {
        for (int i = 0; i < ManyWrites; ++i)
            store.put("other", "row", std::to_string(i));
    }

    std::string send(std::size_t instance, const std::string &key)
    {
        return exchange(m_callers[instance],
                        "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r"
                            + std::to_string(m_next++) + "\r\nTeam-Key: " + key
                            + "\r\nDeadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi",
                        completeAnswer);
    }

    bool accepts(std::size_t instance, const std::string &key)
    {
        return send(instance, key).starts_with("HTTP/1.1 200");
    }

    bool rejects(std::size_t instance, const std::string &key)
    {
        return send(instance, key).starts_with("HTTP/1.1 401");
    }

    /// Whether each instance accepts \a key, at the latest once waitUntil() gives up.
    bool allAccept(const std::string &key)
    {
        for (std::size_t i = 0; i < m_callers.size(); ++i)
            if (!waitUntil([&] { return accepts(i, key); }))
                return false;
        return true;
    }

    std::size_t requestsTo(const std::string &id) const
    {
        return m_endpoints.at(id)->requests().size();
    }

    std::size_t size() const { return m_callers.size(); }
    Process &process(std::size_t instance) { return *m_processes[instance]; }

    FakeStore store;

private:
    std::map<std::string, std::unique_ptr<RawServer>> m_endpoints;
    std::vector<std::string> m_callers;
    std::vector<std::vector<std::string>> m_settings; ///< of each instance
    std::vector<std::unique_ptr<Process>> m_processes;
    int m_next = 1;
};

} // namespace

// Guards against configurations that are ignored while the counter is below its old value.
TEST_CASE("versions written after the store lost its last writes are in force at all instances",
          "[process][failure]")
{
    Fleet fleet(4);
    fleet.store.takeCopy();
    fleet.writeMany();
    fleet.configure(26);
    REQUIRE(fleet.allAccept("key26"));
    const bool beyond = GENERATE(false, true); // the numbers pass the lost ones before any read
    fleet.store.restoreCopy();
    if (beyond)
        for (int i = 0; i < 2; ++i)
            fleet.writeMany();
    fleet.configure(30);
    CHECK(fleet.allAccept("key30"));
    fleet.configure(33);
    CHECK(fleet.allAccept("key33"));
}

// Guards against a revoked key that works again at instances that start and ask each other.
TEST_CASE("a key that was revoked before a restore is refused by instances that start together",
          "[process][failure]")
{
    Fleet fleet(3);
    fleet.configure(22);
    REQUIRE(fleet.allAccept("key22"));
    fleet.store.takeCopy();
    fleet.configure(26);
    REQUIRE(fleet.allAccept("key26"));
    const bool allStart = GENERATE(false, true);
    fleet.store.restoreCopy();
    for (std::size_t i = 0; i < fleet.size() - (allStart ? 0 : 1); ++i)
        fleet.restart(i);
    constexpr int Rounds = 30;
    for (int round = 0; round < Rounds; ++round) {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CHECK_FALSE(fleet.accepts(i, "key22"));
        if (round == Rounds / 4)
            fleet.configure(26); // the operator writes it again
        std::this_thread::sleep_for(PropagationTime / Rounds);
    }
    CHECK(fleet.allAccept("key26"));
}

// Guards against a revoked key that works again until the operator writes the configuration again.
TEST_CASE("a configuration that the store lost stays in force, also at instances that start",
          "[process][failure]")
{
    Fleet fleet(3);
    fleet.configure(22);
    REQUIRE(fleet.allAccept("key22"));
    fleet.store.takeCopy();
    fleet.writeMany();
    fleet.configure(26);
    REQUIRE(fleet.allAccept("key26"));
    fleet.store.restoreCopy();
    // By its name, one that reads the store itself.
    fleet.start("entry-00", "d");
    for (int round = 0; round < 20; ++round) {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            CHECK(fleet.rejects(i, "key22"));
            CHECK(fleet.accepts(i, "key26"));
        }
        std::this_thread::sleep_for(PropagationTime / 20);
    }
    fleet.configure(26);
    fleet.configure(30);
    CHECK(fleet.allAccept("key30"));
}

// Guards against requests to endpoints whose word that they leave is ignored.
TEST_CASE("endpoints that leave after the store lost its last writes get no new requests",
          "[process][failure]")
{
    Fleet fleet(4);
    fleet.store.takeCopy();
    fleet.writeMany();
    fleet.writeEndpoint("e0", "ready");
    fleet.configure(26);
    REQUIRE(fleet.allAccept("key26"));
    fleet.store.restoreCopy();
    std::this_thread::sleep_for(PropagationTime / 3);
    fleet.writeEndpoint("e0", "leaving");
    std::this_thread::sleep_for(PropagationTime);
    const std::size_t before = fleet.requestsTo("e0");
    for (int round = 0; round < 10; ++round)
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CHECK(fleet.accepts(i, "common"));
    CHECK(fleet.requestsTo("e0") == before);
}

// Guards against requests to endpoints that are gone and are listed by the copy.
TEST_CASE("an endpoint that was gone before the store lost its last writes stays gone",
          "[process][failure]")
{
    Fleet fleet(4);
    fleet.store.takeCopy();
    fleet.store.drop("endpoints", "e0");
    fleet.configure(26);
    REQUIRE(fleet.allAccept("key26"));
    std::this_thread::sleep_for(PropagationTime / 3);
    fleet.store.restoreCopy();
    std::size_t before = fleet.requestsTo("e0");
    for (int round = 0; round < 10; ++round) {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CHECK(fleet.accepts(i, "common"));
        std::this_thread::sleep_for(PropagationTime / 10);
    }
    CHECK(fleet.requestsTo("e0") == before);
    fleet.writeEndpoint("e0", "ready");
    CHECK(waitUntil([&] {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.send(i, "common");
        return fleet.requestsTo("e0") > before;
    }));
}

// Guards against a crashing request that is tried again since its records are lost.
TEST_CASE("what instances wrote and the store lost is written again", "[process][failure]")
{
    Fleet fleet(3);
    const auto exists = [&fleet](const std::string &table, const std::string &key) {
        return fleet.store.rows(table).find("\"" + key) != std::string::npos;
    };
    REQUIRE(waitUntil([&] { return exists("instances", "entry-0"); }));
    fleet.store.takeCopy();
    fleet.store.put("crashes", "digest/e9", R"({"at_ms":1,"by":"entry-0"})");
    const std::size_t added = fleet.start("entry-9", "d");
    REQUIRE(waitUntil([&] { return exists("instances", "entry-9"); }));
    fleet.process(added).waitFor("\"event\":\"learnt\",\"records\":1");
    std::this_thread::sleep_for(PropagationTime / 3);
    fleet.store.restoreCopy();
    CHECK_FALSE(exists("crashes", "digest/e9"));
    CHECK(waitUntil([&] { return exists("crashes", "digest/e9"); }));
    CHECK(waitUntil([&] { return exists("instances", "entry-9"); }));
}
