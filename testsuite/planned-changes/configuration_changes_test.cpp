// New configurations while callers have requests in progress.

#include "callers.h"

#include <catch2/catch.hpp>

using namespace balsamloft::testsuite;
using namespace std::chrono_literals;

namespace {

/// A configuration with one route "/safe/" to a plain service, of which tests change parts.
struct Configuration
{
    std::string keys = R"({"good-key":"team-a"})";
    std::string services = R"([{"name":"plain"},{"name":"other"}])";
    std::string service = "plain"; ///< of the route
    std::string prefix = "/safe/";
    int timeoutMs = 30000; ///< of the route
    std::string limits = "{}";
    bool withRoute = true;

    std::string text(int version) const
    {
        return R"({"version":)" + std::to_string(version) + R"(,"keys":)" + keys + R"(,"limits":)"
               + limits + R"(,"services":)" + services + R"(,"routes":[)"
               + (withRoute ? R"({"name":"safe","host":"h","prefix":")" + prefix
                                  + R"(","kind":"safe","attempts":1,"service":")" + service
                                  + R"(","timeout_ms":)" + std::to_string(timeoutMs) + "}"
                            : std::string())
               + "]}";
    }
};

const std::string RequestHead =
    "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTeam-Key: good-key\r\n"
    "Deadline-Ms: 8000\r\n";

/// Changes of a configuration with one route, by name.
std::vector<std::pair<std::string, Configuration>> changesOfRoute()
{
    std::vector<std::pair<std::string, Configuration>> changes;
    const auto add = [&](std::string name) -> Configuration & {
        return changes.emplace_back(std::move(name), Configuration {}).second;
    };
    add("route removed").withRoute = false;
    add("route moved to another service").service = "other";
    add("route moved to another prefix").prefix = "/elsewhere/";
    add("timeout shortened").timeoutMs = 100;
    add("key withdrawn").keys = R"({"other-key":"team-b"})";
    Configuration &withoutService = add("service removed");
    withoutService.services = R"([{"name":"other"}])";
    withoutService.service = "other";
    Configuration &empty = add("empty configuration");
    empty.keys = "{}";
    empty.services = "[]";
    empty.withRoute = false;
    return changes;
}

/// An instance with a configuration that the test replaces.
class ConfiguredEntry : public EntryHarness
{
public:
    explicit ConfiguredEntry(const Configuration &first = {})
        : EntryHarness(false)
    {
        put(first);
        waitUntil([this] { return isReady(); });
    }

    /// Replaces the configuration and waits until the new one is in force.
    void put(const Configuration &configuration)
    {
        store.put("configuration", "current", configuration.text(++m_version));
        process->waitFor("\"in force\",\"version\":" + std::to_string(m_version) + ",");
    }

private:
    int m_version = 0;
};

} // namespace

TEST_CASE("a connection stays usable for the idle timeout that its caller relies on", "[process]")
{
    // Callers use a connection again that has rested for up to four fifths of the timeout that was
    // in force when they got their last answer.
    Configuration configuration;
    configuration.limits = R"({"idle_timeout_ms":10000})";
    ConfiguredEntry entry(configuration);
    RawServer endpoint(unhurriedEndpoint(1ms));
    entry.addEndpoint("e1", "plain", endpoint.address());
    CallerConnection caller(entry.callers);
    const std::string request = RequestHead + "Content-Length: 0\r\n\r\n";
    REQUIRE(waitUntil([&] {
        caller.send(request);
        return caller.receive().ends_with("done");
    }));
    std::this_thread::sleep_for(2s);
    configuration.limits = R"({"idle_timeout_ms":1000})";
    entry.put(configuration);
    std::this_thread::sleep_for(2s);
    caller.send(request);
    CHECK(caller.receive().ends_with("done"));
}

TEST_CASE("a request that is half read keeps the limits with which it began", "[process]")
{
    Configuration configuration;
    ConfiguredEntry entry(configuration);
    RawServer endpoint(unhurriedEndpoint(1ms));
    entry.addEndpoint("e1", "plain", endpoint.address());
    REQUIRE(entry.answersWith("/safe/x", "done"));
    CallerConnection caller(entry.callers);
    std::string rest;
    SECTION("in its body")
    {
        caller.send(RequestHead + "Content-Length: 2000\r\n\r\n" + std::string(1000, 'x'));
        rest = std::string(1000, 'x');
        configuration.limits = R"({"body_bytes":100})";
    }
    SECTION("in its header")
    {
        caller.send(RequestHead + "More: " + std::string(2000, 'x'));
        rest = "y\r\nContent-Length: 0\r\n\r\n";
        configuration.limits = R"({"header_bytes":512})";
    }
    std::this_thread::sleep_for(100ms); // so that the first part is read before
    entry.put(configuration);
    std::this_thread::sleep_for(100ms);
    caller.send(rest);
    CHECK(caller.receive().ends_with("done"));
}

TEST_CASE("a request that is half read when its time is shortened is answered", "[process]")
{
    Configuration configuration;
    ConfiguredEntry entry(configuration);
    CallerConnection caller(entry.callers);
    caller.send(RequestHead + "Content-Length: 2000\r\n\r\n" + std::string(1000, 'x'));
    std::this_thread::sleep_for(500ms);
    configuration.limits = R"({"header_timeout_ms":200})";
    entry.put(configuration);
    CHECK(caller.receive().starts_with("HTTP/1.1 408"));
}

TEST_CASE("a request at an endpoint keeps the configuration with which it began", "[process]")
{
    const auto [name, changed] = GENERATE(from_range(changesOfRoute()));
    INFO(name);
    ConfiguredEntry entry;
    std::atomic<bool> released {false};
    RawServer endpoint([&](const std::string &request) {
        waitUntil([&] { return released.load(); });
        return RawAnswer {okAnswer(request, "done")};
    });
    entry.addEndpoint("e1", "plain", endpoint.address());
    std::string answer;
    std::thread caller([&] { answer = entry.post("/safe/x"); });
    waitUntil([&] { return !endpoint.requests().empty(); });
    entry.put(changed);
    std::this_thread::sleep_for(300ms);
    released = true;
    caller.join();
    CHECK(answer.ends_with("done"));
}

TEST_CASE("a request that waits for an endpoint is answered when the configuration changes",
          "[process]")
{
    // The endpoint does not accept connections: its backlog is full.
    const auto [name, changed] = GENERATE(from_range(changesOfRoute()));
    INFO(name);
    ConfiguredEntry entry;
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in local {};
    socklen_t length = sizeof local;
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&local), length) == 0);
    REQUIRE(::listen(listener, 0) == 0);
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr *>(&local), &length) == 0);
    const std::string address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    CallerConnection filling(address);
    entry.addEndpoint("e1", "plain", address);
    std::string answer;
    std::thread caller([&] { answer = entry.post("/safe/x"); });
    std::this_thread::sleep_for(20ms);
    entry.put(changed);
    caller.join();
    ::close(listener);
    INFO(answer);
    CHECK(completeAnswer(answer));
    CHECK(answer.starts_with("HTTP/1.1 "));
    if (std::getenv("BALSAMLOFT_SHOW_COUNTS"))
        std::printf("%s: %s\n", name.c_str(), answer.substr(9, 3).c_str());
}

TEST_CASE("many versions of the configuration leave no request without an answer", "[process]")
{
    Configuration configuration;
    ConfiguredEntry entry(configuration);
    RawServer endpoint(unhurriedEndpoint(40ms));
    entry.addEndpoint("e1", "plain", endpoint.address());
    REQUIRE(entry.answersWith("/safe/x", "done"));
    Callers callers(entry.callers, "/safe/x", 16);
    for (int i = 0; i < 150; ++i) {
        configuration.limits = i % 2 == 0 ? R"({"idle_timeout_ms":300,"header_timeout_ms":200})"
                                          : R"({"body_bytes":10,"header_bytes":400})";
        configuration.timeoutMs = i % 3 == 0 ? 2000 : 30000;
        configuration.service = i % 5 == 4 ? "other" : "plain";
        entry.put(configuration);
    }
    callers.stop();
    report("callers", callers);
    CHECK(callers.count() > 100);
    CHECK(callers.unanswered() == 0);
}
