// Tests of what endpoints announce in their answers: when to come back, and that they exit.

#include "../entry/entryharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft::testsuite;

namespace {

constexpr int Tries = 25;
const std::vector<std::string> Paths = {"/safe/x", "/unsafe/x", "/stream/x"};

std::string answerOf(const std::string &request)
{
    return request.starts_with("GET /state") ? okAnswer(request, R"({"layers":[0,4],"orders":1})")
           : request.starts_with("POST /stream")
               ? streamHead(request) + chunk(event(1)) + "0\r\n\r\n"
               : okAnswer(request, "done");
}

/// Adds \a fields, with a line end each, to the head of \a answer.
std::string withFields(std::string answer, const std::string &fields)
{
    return answer.insert(answer.find("\r\n") + 2, fields);
}

/// A refusal that was not executed, with a Retry-After field of value \a retryAfter.
std::string refusal(const std::string &request, const std::string &retryAfter)
{
    return "HTTP/1.1 503 No\r\nRequest-Id: " + headerOf(request, "Request-Id")
           + "\r\nNot-Run: 1\r\nRetry-After: " + retryAfter + "\r\nContent-Length: 0\r\n\r\n";
}

/// An instance with two plain endpoints and two engines. The first of each kind, or all, answer in
/// their own way.
class Site
{
public:
    using Answer = std::function<std::string(const std::string &request)>;

    explicit Site(const Answer &special, bool all = false)
    {
        for (const std::string id : {"e1", "e2", "m1", "m2"}) {
            const bool isSpecial = all || id.ends_with('1');
            m_servers[id] = std::make_unique<RawServer>(
                [answer = isSpecial ? special : Answer(answerOf)](const std::string &request) {
                    return RawAnswer {request.starts_with("POST") ? answer(request)
                                                                  : answerOf(request)};
                });
            const bool model = id[0] == 'm';
            entry.addEndpoint(id, model ? "model" : "plain", m_servers[id]->address(),
                              model ? R"(,"layers":[0,4])" : "");
        }
    }

    /// Requests of callers that reached the endpoint \a id.
    std::size_t received(const std::string &id) const
    {
        std::size_t count = 0;
        for (const std::string &request : m_servers.at(id)->requests())
            count += request.starts_with("POST") ? 1 : 0;
        return count;
    }

    /// Sends requests one after another, some time apart. Returns how many were served.
    int serve(const std::string &path)
    {
        int served = 0;
        for (int i = 0; i < Tries; ++i) {
            served += entry.post(path).starts_with("HTTP/1.1 200") ? 1 : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(30));
        }
        return served;
    }

private:
    std::map<std::string, std::unique_ptr<RawServer>> m_servers;

public:
    EntryHarness entry;
};

} // namespace

TEST_CASE("an endpoint that refuses with Retry-After gets no request until then", "[process]")
{
    Site site([](const std::string &request) { return refusal(request, "120"); });
    for (const std::string &path : Paths)
        CHECK(site.serve(path) == Tries);
    CHECK(site.received("e1") <= 1);
    CHECK(site.received("m1") <= 1);
}

TEST_CASE("an endpoint that announces its exit in answers gets no new requests", "[process]")
{
    Site site([](const std::string &request) {
        return withFields(answerOf(request), "Draining: 1\r\n");
    });
    for (const std::string &path : Paths)
        CHECK(site.serve(path) == Tries);
    CHECK(site.received("e1") <= 1);
    CHECK(site.received("m1") <= 1);
}
