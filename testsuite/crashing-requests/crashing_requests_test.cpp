// Several `balsamloft-entry` processes with endpoints that crash when they execute a certain
// request.

#include "../entry/entryharness.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft::testsuite;

namespace {

/// Time for crash records to reach all instances; ample for a slow machine.
constexpr auto PropagationTime = std::chrono::seconds(3);
constexpr auto CrashPollInterval = std::chrono::milliseconds(5);
constexpr auto RestartDelay = std::chrono::milliseconds(300);

/// A part of a prompt that crashes endpoints, and one that all requests share.
constexpr auto CrashingPart = "bad0";
constexpr auto CommonPart = "c0de";

/// Simulates an endpoint whose process crashes when it receives a request with the body "end!", or
/// with CrashingPart in its prompt before the last part. It then stops listening, and a new process
/// starts at another address after RestartDelay.
class CrashingEndpoint
{
public:
    CrashingEndpoint(FakeStore &store, std::string name, std::string service)
        : m_store(store)
        , m_name(std::move(name))
        , m_service(std::move(service))
    {
        start();
        m_restarter = std::thread([this] { restartAfterCrashes(); });
    }

    ~CrashingEndpoint()
    {
        m_stop = true;
        m_restarter.join();
    }

    int crashes() const { return m_crashes; }

private:
    void start()
    {
        m_crashed = false;
        m_server = std::make_unique<RawServer>([this](const std::string &request) {
            if (request.starts_with("GET /state"))
                return RawAnswer {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
            if (request.ends_with("end!")
                || headerOf(request, "Prompt-Parts").find(std::string(CrashingPart) + ":5,")
                       != std::string::npos) {
                m_crashed = true;
                return RawAnswer {"", RawAnswer::Then::Silence};
            }
            if (m_service == "plain")
                return RawAnswer {okAnswer(request, "done")};
            return RawAnswer {streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
        });
        m_id = m_name + "-" + std::to_string(m_crashes);
        m_store.put("endpoints", m_id,
                    R"({"service":")" + m_service + R"(","address":")" + m_server->address()
                        + R"(","domain":"d","kind":"card")"
                        + (m_service == "model" ? R"(,"layers":[0,4]})" : "}"));
    }

    void restartAfterCrashes()
    {
        while (!m_stop) {
            std::this_thread::sleep_for(CrashPollInterval);
            if (!m_crashed)
                continue;
            m_server.reset();
            m_crashes += 1;
            std::this_thread::sleep_for(RestartDelay);
            m_store.drop("endpoints", m_id);
            start();
        }
    }

    FakeStore &m_store;
    std::string m_name;
    std::string m_service;
    std::string m_id;
    std::unique_ptr<RawServer> m_server;
    std::atomic<bool> m_crashed {false};
    std::atomic<bool> m_stop {false};
    std::atomic<int> m_crashes {0};
    std::thread m_restarter;
};

/// Three instances with eight crashing engines or crashing plain endpoints.
class CrashingFleet
{
public:
    explicit CrashingFleet(const std::string &service)
        : m_path(service == "model" ? "/stream/x" : "/safe/x")
    {
        store.put("configuration", "current",
                  R"({"version":1,"keys":{"good-key":"team-a"},
                    "services":[{"name":"plain"},{"name":"model","layers":4}],"routes":[
                    {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","attempts":3,"service":"plain"},
                    {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","attempts":3,"service":"model"}]})");
        for (int i = 0; i < 8; ++i)
            m_endpoints.push_back(
                std::make_unique<CrashingEndpoint>(store, "engine" + std::to_string(i), service));
        for (int i = 0; i < 3; ++i) {
            m_callers.push_back(freeAddress());
            m_arguments.push_back({"--name=entry-" + std::to_string(i), "--domain=d",
                                   "--listen=" + m_callers.back(),
                                   "--ready_listen=" + freeAddress(),
                                   "--peer_listen=" + freeAddress(), "--store=" + store.address(),
                                   "--revocation_ms=30000", "--retry_slack=300", "--log_all"});
        }
        m_processes.resize(m_callers.size());
        restartInstances();
    }

    void restartInstances()
    {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            if (m_processes[i]) {
                m_processes[i]->signal(SIGKILL);
                m_processes[i]->wait();
            }
            m_processes[i] = std::make_unique<Process>("balsamloft-entry-standin", m_arguments[i]);
        }
        for (std::size_t i = 0; i < m_processes.size(); ++i)
            REQUIRE(waitUntil([&] { return send(i, "fine").starts_with("HTTP/1.1 200"); }));
    }

    void waitUntilAllKnowEachOther()
    {
        for (const auto &each : m_processes)
            each->waitFor("\"all\":" + std::to_string(m_processes.size()));
    }

    std::string send(std::size_t instance, const std::string &body, const std::string &parts = {})
    {
        const std::string id = "r" + std::to_string(m_next++);
        return exchange(m_callers[instance],
                        "POST " + m_path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
                            + "\r\nTeam-Key: good-key\r\nDeadline-Ms: 5000\r\nTokens: 10,10\r\n"
                            + (parts.empty() ? parts : "Prompt-Parts: " + parts + "\r\n")
                            + "Content-Length: 4\r\n\r\n" + body,
                        completeAnswer);
    }

    std::size_t instances() const { return m_callers.size(); }

    int crashes() const
    {
        int all = 0;
        for (const auto &each : m_endpoints)
            all += each->crashes();
        return all;
    }

    FakeStore store;

private:
    std::string m_path;
    std::vector<std::unique_ptr<CrashingEndpoint>> m_endpoints;
    std::vector<std::string> m_callers;
    std::vector<std::vector<std::string>> m_arguments;
    std::vector<std::unique_ptr<Process>> m_processes;
    int m_next = 1;
};

} // namespace

// Guards against a request that crashes one endpoint after another because each instance that
// receives the request forwards it again.
TEST_CASE("a request that crashes endpoints is refused by all instances, also after their restart",
          "[process]")
{
    CrashingFleet fleet(GENERATE("model", "plain"));
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.send(i % fleet.instances(), "end!");
        std::this_thread::sleep_for(PropagationTime);
    }
    const int crashes = fleet.crashes();
    CHECK(crashes >= 1);
    CHECK(crashes <= 4);
    for (std::size_t i = 0; i < fleet.instances(); ++i) {
        CHECK(fleet.send(i, "end!").starts_with("HTTP/1.1 503"));
        CHECK(fleet.send(i, "fine").starts_with("HTTP/1.1 200"));
    }
    fleet.restartInstances();
    std::this_thread::sleep_for(PropagationTime);
    for (std::size_t i = 0; i < fleet.instances(); ++i)
        CHECK(fleet.send(i, "end!").starts_with("HTTP/1.1 503"));
    CHECK(fleet.crashes() == crashes);
}

// Guards against a series of crashes per instance while the store is down.
TEST_CASE("instances without the store tell each other which request crashes endpoints",
          "[process]")
{
    CrashingFleet fleet(GENERATE("model", "plain"));
    fleet.waitUntilAllKnowEachOther();
    fleet.store.down = true;
    for (std::size_t i = 0; i < fleet.instances(); ++i) {
        fleet.send(i, "end!");
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    CHECK(fleet.crashes() >= 2);
    CHECK(fleet.crashes() <= 4);
    for (std::size_t i = 0; i < fleet.instances(); ++i) {
        CHECK(fleet.send(i, "end!").starts_with("HTTP/1.1 503"));
        CHECK(fleet.send(i, "fine").starts_with("HTTP/1.1 200"));
    }
}

// Guards against crashes that are not added up because no two of the requests are alike.
TEST_CASE("requests that share a part which crashes endpoints are refused, those that share others "
          "are served",
          "[process]")
{
    CrashingFleet fleet("model");
    fleet.waitUntilAllKnowEachOther();
    const std::string common = std::string(CommonPart) + ":5,";
    const std::string crashing = common + CrashingPart + ":5,";
    int number = 1000;
    for (int i = 0; i < 12; ++i) {
        const std::string own = std::to_string(number++);
        fleet.send(static_cast<std::size_t>(i) % fleet.instances(), own, crashing + own + ":5");
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
    std::this_thread::sleep_for(PropagationTime);
    CHECK(fleet.crashes() >= 2);
    CHECK(fleet.crashes() <= 8);
    const int crashes = fleet.crashes();
    for (std::size_t i = 0; i < fleet.instances(); ++i) {
        const std::string own = std::to_string(number++);
        CHECK(fleet.send(i, own, crashing + own + ":5").starts_with("HTTP/1.1 503"));
        CHECK(waitUntil([&] {
            const std::string other = std::to_string(number++);
            return fleet.send(i, other, common + other + ":5").starts_with("HTTP/1.1 200");
        }));
        const std::string last = std::to_string(number++);
        CHECK(fleet.send(i, last, common + CrashingPart + ":5").starts_with("HTTP/1.1 200"));
    }
    CHECK(fleet.crashes() == crashes);
}
