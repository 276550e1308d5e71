// Tests of requests that come late in the grace period of a planned stop, and take longer than what
// is left of it.

#include "../entry/entryharness.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <set>

using namespace balsamloft::testsuite;
using namespace std::chrono_literals;

namespace {

/// What became of a request.
struct LateRequest
{
    std::string id;
    std::optional<std::string> answer;
};

std::string lateRequest(const std::string &path, const std::string &id)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
           + "\r\nTeam-Key: good-key\r\nDeadline-Ms: 20000\r\nTokens: 10,10\r\n"
             "Content-Length: 2\r\n\r\nhi";
}

} // namespace

// Guards against a request that is passed on late in a stop, and gets no answer when the stop ends.
TEST_CASE("no request that is passed on late in a short grace period is without an answer",
          "[process]")
{
    constexpr auto Work = 1500ms;
    constexpr int Requests = 36;
    const std::string path = GENERATE("/safe/x", "/unsafe/x", "/stream/x");
    const bool kept = GENERATE(true, false);
    std::mutex mutex;
    std::set<std::string> passedOn;
    const auto serve = [&](const std::string &request) -> RawAnswer {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        const std::string id = headerOf(request, "Request-Id");
        {
            const std::lock_guard lock(mutex);
            passedOn.insert(id);
        }
        if (id.starts_with("late"))
            std::this_thread::sleep_for(Work);
        return {request.starts_with("POST /stream")
                    ? streamHead(request) + chunk(event(1)) + "0\r\n\r\n"
                    : okAnswer(request, "done")};
    };
    RawServer plain(serve);
    RawServer model(serve);
    EntryHarness entry(true, "30000", {"--grace_s=2"});
    entry.addEndpoint("e1", "plain", plain.address());
    entry.addEndpoint("m1", "model", model.address(), R"(,"layers":[0,4])");
    std::vector<std::unique_ptr<CallerConnection>> connections;
    for (int i = 0; i < Requests && kept; ++i) {
        connections.push_back(std::make_unique<CallerConnection>(entry.callers));
        connections.back()->send(lateRequest(path, "first" + std::to_string(i)));
        REQUIRE(connections.back()->receiveAnswer());
    }
    entry.process->signal(SIGTERM);
    std::vector<std::future<LateRequest>> requests;
    for (int i = 0; i < Requests; ++i) {
        requests.push_back(std::async(std::launch::async, [&, i] {
            LateRequest result {"late" + std::to_string(i), std::nullopt};
            try {
                const auto fresh =
                    kept ? nullptr : std::make_unique<CallerConnection>(entry.callers);
                CallerConnection &connection = kept ? *connections[i] : *fresh;
                connection.send(lateRequest(path, result.id));
                result.answer = connection.receiveAnswer();
            } catch (const std::runtime_error &) {
                // Nothing listens any more.
            }
            return result;
        }));
        std::this_thread::sleep_for(50ms);
    }
    int answered = 0;
    for (auto &each : requests) {
        const LateRequest request = each.get();
        const std::lock_guard lock(mutex);
        INFO(request.id << ", " << path << ", kept " << kept << ": "
                        << request.answer.value_or(""));
        CHECK((request.answer || !passedOn.contains(request.id)));
        const bool refused = request.answer && request.answer->starts_with("HTTP/1.1 503");
        CHECK((!refused || path == "/safe/x" || !passedOn.contains(request.id)));
        answered += request.answer ? 1 : 0;
    }
    CHECK(answered > 0);
}
