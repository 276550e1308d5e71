// Tests of callers that leave before their request was read, sent or answered.

#include "../common/fleet.h"
#include "../entry/callerconnection.h"
#include "../entry/entryharness.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft::testsuite;
using namespace std::chrono_literals;

namespace {

constexpr int Callers = 60;

std::string request(const std::string &path, const std::string &id)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
           + "\r\nTeam-Key: good-key\r\nDeadline-Ms: 9000\r\nTokens: 10,10\r\nContent-Length: "
             "2\r\n\r\nhi";
}

/// Two plain endpoints and two engines that answer after a pause.
struct Endpoints
{
    explicit Endpoints(EntryHarness &entry)
    {
        for (std::size_t i = 0; i < servers.size(); ++i) {
            const bool engine = i >= 2;
            entry.addEndpoint("e" + std::to_string(i), engine ? "model" : "plain",
                              servers[i]->address(), engine ? R"(,"layers":[0,4])" : "");
        }
    }

    /// Number of requests of callers that reached an endpoint.
    int received() const
    {
        int count = 0;
        for (const auto &server : servers)
            for (const std::string &each : server->requests())
                count += each.starts_with("POST ");
        return count;
    }

    std::unique_ptr<RawServer> server()
    {
        return std::make_unique<RawServer>([this](const std::string &request) -> RawAnswer {
            if (request.starts_with("GET /state"))
                return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
            std::this_thread::sleep_for(pause.load());
            if (request.starts_with("POST /stream"))
                return {streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
            return {okAnswer(request, "done")};
        });
    }

    std::atomic<std::chrono::milliseconds> pause {100ms};
    std::array<std::unique_ptr<RawServer>, 4> servers {server(), server(), server(), server()};
};

std::vector<std::unique_ptr<CallerConnection>> connectCallers(const EntryHarness &entry)
{
    std::vector<std::unique_ptr<CallerConnection>> callers;
    for (int i = 0; i < Callers; ++i)
        callers.push_back(std::make_unique<CallerConnection>(entry.callers));
    return callers;
}

} // namespace

TEST_CASE("requests whose callers left while the instance stood still reach no endpoint",
          "[process]")
{
    const bool kept = GENERATE(false, true);
    const std::string path = GENERATE("/safe/x", "/unsafe/x", "/stream/x");
    const Departure departure = GENERATE(Departure::Close, Departure::Reset);
    CAPTURE(kept, path, departure == Departure::Reset);
    EntryHarness entry;
    Endpoints endpoints(entry);
    // The first requests leave idle connections to the endpoints behind.
    auto callers = connectCallers(entry);
    for (int i = 0; i < Callers; ++i)
        callers[i]->send(request(path, "first" + std::to_string(i)));
    for (const auto &each : callers)
        each->receive();
    const int before = endpoints.received();

    entry.process->signal(SIGSTOP);
    if (!kept)
        callers = connectCallers(entry);
    for (int i = 0; i < Callers; ++i)
        callers[i]->send(request(path, "second" + std::to_string(i)));
    std::this_thread::sleep_for(100ms);
    for (const auto &each : callers)
        each->leave(departure);
    std::this_thread::sleep_for(600ms);
    entry.process->signal(SIGCONT);
    // A later caller is served, so the instance has handled those that left.
    CallerConnection later(entry.callers);
    later.send(request(path, "later"));
    CHECK(later.receive().starts_with("HTTP/1.1 200"));
    CHECK(endpoints.received() - before == 1);
}

TEST_CASE("a caller that left behind bytes that are not read yet is noticed while its request runs",
          "[process]")
{
    EntryHarness entry;
    Endpoints endpoints(entry);
    endpoints.pause = 3000ms;
    CallerConnection caller(entry.callers);
    caller.send(request("/unsafe/x", "first"));
    REQUIRE(waitUntil([&] { return endpoints.received() == 1; }));
    // Bytes that are more than an instance reads ahead and less than a socket holds, or the
    // caller's next request.
    caller.send(GENERATE(std::string(100'000, 'x'), request("/unsafe/x", "second")));
    std::this_thread::sleep_for(100ms);
    const auto closed = [&] {
        return std::any_of(endpoints.servers.begin(), endpoints.servers.end(),
                           [](const auto &each) { return each->closedByPeer() > 0; });
    };
    REQUIRE_FALSE(closed());
    caller.leave(Departure::Close);
    // The endpoint is told by the end of its connection; its answer would come seconds later.
    entry.process->waitFor("caller gone");
    CHECK(endpoints.received() == 1);
    CHECK(entry.process->output().find("\"outcome\":\"passed\"") == std::string::npos);
}

TEST_CASE("a daemon that stood still sends no call whose caller left meanwhile", "[process]")
{
    constexpr int DaemonCallers = 20;
    Fleet fleet;
    fleet.startService("s1");
    Daemon &daemon = fleet.startDaemon("i1");
    fleet.configure();
    const auto calls = [&] { return fleet.log("s1").at("calls").as_array().size(); };
    const std::string call = "POST /services/s/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer t\r\n"
                             "Balsamloft-Deadline-Ms: 60000\r\nContent-Length: 2\r\n\r\nhi";
    std::vector<std::unique_ptr<CallerConnection>> callers;
    const auto sendAgain = [&] {
        callers.clear();
        for (int i = 0; i < DaemonCallers; ++i) {
            callers.push_back(std::make_unique<CallerConnection>(daemon.callers));
            callers.back()->send(call);
        }
    };
    // The first calls leave idle connections to the service behind.
    sendAgain();
    for (const auto &each : callers)
        CHECK(each->receive().starts_with("HTTP/1.1 200"));
    const std::size_t before = calls();

    daemon.process->pause();
    sendAgain();
    callers.clear();
    std::this_thread::sleep_for(600ms);
    daemon.process->signal(SIGCONT);
    CallerConnection later(daemon.callers);
    later.send(call);
    CHECK(later.receive().starts_with("HTTP/1.1 200"));
    CHECK(calls() - before == 1);
}
