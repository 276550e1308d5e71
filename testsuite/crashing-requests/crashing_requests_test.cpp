// Several `balsamloft-entry` processes before engines that a request ends.

#include "../entry/entryharness.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft::testsuite;

namespace {

constexpr auto NewsSpread = std::chrono::seconds(3); ///< ample, also for a slow machine
constexpr auto LooksForEnds = std::chrono::milliseconds(5);
constexpr auto Restart = std::chrono::milliseconds(300);

/// An engine whose process ends when it is to run a request with the body "end!". Then
/// nobody listens at its address; after a while another process comes elsewhere.
class FragileEngine
{
public:
    FragileEngine(FakeStore &store, std::string name, std::string service)
        : m_store(store)
        , m_name(std::move(name))
        , m_service(std::move(service))
    {
        start();
        m_keeper = std::thread([this] { keep(); });
    }

    ~FragileEngine()
    {
        m_over = true;
        m_keeper.join();
    }

    int ends() const { return m_ends; }

private:
    void start()
    {
        m_ending = false;
        m_server = std::make_unique<RawServer>([this](const std::string &request) {
            if (request.starts_with("GET /state"))
                return RawAnswer {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
            if (request.ends_with("end!")) {
                m_ending = true;
                return RawAnswer {"", RawAnswer::Then::Silence};
            }
            if (m_service == "plain")
                return RawAnswer {okAnswer(request, "done")};
            return RawAnswer {streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
        });
        m_id = m_name + "-" + std::to_string(m_ends);
        m_store.put("endpoints", m_id,
                    R"({"service":")" + m_service + R"(","address":")" + m_server->address()
                        + R"(","domain":"d","kind":"card")"
                        + (m_service == "model" ? R"(,"layers":[0,4]})" : "}"));
    }

    void keep()
    {
        while (!m_over) {
            std::this_thread::sleep_for(LooksForEnds);
            if (!m_ending)
                continue;
            m_server.reset();
            m_ends += 1;
            std::this_thread::sleep_for(Restart);
            m_store.drop("endpoints", m_id);
            start();
        }
    }

    FakeStore &m_store;
    std::string m_name;
    std::string m_service;
    std::string m_id;
    std::unique_ptr<RawServer> m_server;
    std::atomic<bool> m_ending {false};
    std::atomic<bool> m_over {false};
    std::atomic<int> m_ends {0};
    std::thread m_keeper;
};

/// Three instances before eight fragile engines or plain endpoints.
class FragileFleet
{
public:
    explicit FragileFleet(const std::string &service)
        : m_path(service == "model" ? "/stream/x" : "/safe/x")
    {
        store.put("configuration", "current",
                  R"({"version":1,"keys":{"good-key":"team-a"},
                    "services":[{"name":"plain"},{"name":"model","layers":4}],"routes":[
                    {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","attempts":3,"service":"plain"},
                    {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","attempts":3,"service":"model"}]})");
        for (int i = 0; i < 8; ++i)
            m_engines.push_back(
                std::make_unique<FragileEngine>(store, "engine" + std::to_string(i), service));
        for (int i = 0; i < 3; ++i) {
            m_callers.push_back(freeAddress());
            m_arguments.push_back({"--name=entry-" + std::to_string(i), "--domain=d",
                                   "--listen=" + m_callers.back(),
                                   "--ready_listen=" + freeAddress(),
                                   "--peer_listen=" + freeAddress(), "--store=" + store.address(),
                                   "--revocation_ms=30000", "--retry_slack=300", "--log_all"});
        }
        m_processes.resize(m_callers.size());
        startAll();
    }

    void startAll()
    {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            if (m_processes[i]) {
                m_processes[i]->signal(SIGKILL);
                m_processes[i]->wait();
            }
            m_processes[i] = std::make_unique<Process>("balsamloft-entry-standin", m_arguments[i]);
        }
        for (std::size_t i = 0; i < m_processes.size(); ++i)
            REQUIRE(waitUntil([&] { return ask(i, "fine").starts_with("HTTP/1.1 200"); }));
    }

    std::string ask(std::size_t instance, const std::string &body)
    {
        const std::string id = "r" + std::to_string(m_next++);
        return exchange(m_callers[instance],
                        "POST " + m_path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
                            + "\r\nTeam-Key: good-key\r\nDeadline-Ms: 5000\r\nTokens: 10,10\r\n"
                              "Content-Length: 4\r\n\r\n"
                            + body,
                        completeAnswer);
    }

    std::size_t instances() const { return m_callers.size(); }

    int ends() const
    {
        int all = 0;
        for (const auto &each : m_engines)
            all += each->ends();
        return all;
    }

    FakeStore store;

private:
    std::string m_path;
    std::vector<std::unique_ptr<FragileEngine>> m_engines;
    std::vector<std::string> m_callers;
    std::vector<std::vector<std::string>> m_arguments;
    std::vector<std::unique_ptr<Process>> m_processes;
    int m_next = 1;
};

} // namespace

// Guards against a request that ends one endpoint after another, at each instance anew.
TEST_CASE(
    "a request that ends endpoints is refused by all instances, also by those that come after",
    "[process]")
{
    FragileFleet fleet(GENERATE("model", "plain"));
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.ask(i % fleet.instances(), "end!");
        std::this_thread::sleep_for(NewsSpread);
    }
    const int ends = fleet.ends();
    CHECK(ends >= 1);
    CHECK(ends <= 4);
    for (std::size_t i = 0; i < fleet.instances(); ++i) {
        CHECK(fleet.ask(i, "end!").starts_with("HTTP/1.1 503"));
        CHECK(fleet.ask(i, "fine").starts_with("HTTP/1.1 200"));
    }
    fleet.startAll();
    std::this_thread::sleep_for(NewsSpread);
    for (std::size_t i = 0; i < fleet.instances(); ++i)
        CHECK(fleet.ask(i, "end!").starts_with("HTTP/1.1 503"));
    CHECK(fleet.ends() == ends);
}
