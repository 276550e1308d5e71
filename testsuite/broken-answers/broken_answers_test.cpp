// Tests of endpoints in trouble whose answers are none in HTTP, directly and by way of another
// instance.

#include "../../src/fakes/brokenanswers.h"
#include "../common/fleet.h"
#include "../cut-answers/answersite.h"

#include <catch2/catch.hpp>

using namespace balsamloft::testsuite;
using namespace balsamloft::fakes;

namespace {

/// Sends requests on all kinds of routes to endpoints that give each of \a answers, and checks that
/// their callers are told of a failure.
void checkRefused(const std::vector<BrokenAnswer> &answers)
{
    const bool forwarded = GENERATE(false, true);
    BrokenAnswer current;
    AnswerSite site(forwarded, [&](const std::string &request) -> RawAnswer {
        return {current.to(headerOf(request, "Request-Id")),
                current.endsWithConnection ? RawAnswer::Then::Close : RawAnswer::Then::Keep};
    });
    std::size_t reached = 0;
    std::size_t total = 0;
    for (const BrokenAnswer &each : answers)
        for (const std::string path : {"/safe/cut", "/unsafe/cut", "/stream/cut"}) {
            current = each;
            const std::string answer = site.post(path);
            INFO(each.name << ", " << path << ", forwarded " << forwarded);
            INFO(answer);
            const std::size_t received = site.received();
            CHECK((answer.starts_with("HTTP/1.1 502")
                   || (answer.starts_with("HTTP/1.1 503")
                       && (received == 0 || path != "/unsafe/cut"))));
            CHECK(answer.find("Seal") == std::string::npos);
            CHECK((received <= 1 || path != "/unsafe/cut"));
            reached += received > 0 ? 1 : 0;
            total += 1;
        }
    CHECK(reached * 2 >= total);
}

/// The same for `balsamloftd`.
void checkRefusedByDaemon(const std::vector<BrokenAnswer> &answers)
{
    std::atomic<std::size_t> received {0};
    BrokenAnswer current;
    const RawServer service([&](const std::string &request) -> RawAnswer {
        if (request.find("/records") == std::string::npos)
            return {okAnswer(request, "{}")};
        received += 1;
        return {current.to("r"),
                current.endsWithConnection ? RawAnswer::Then::Close : RawAnswer::Then::Keep};
    });
    Fleet fleet;
    fleet.addService("s1", service.address());
    fleet.startDaemon("i1");
    fleet.configure();
    for (const BrokenAnswer &each : answers) {
        current = each;
        const Reply reply = send(fleet.daemon("i1").callers, "GET", "/services/s/records", {},
                                 Fleet::teamHeaders());
        INFO(each.name << ": " << reply.status << " " << reply.body);
        CHECK(reply.status >= 500);
        CHECK(reply.status < 600);
        CHECK_FALSE(reply.ran().empty());
    }
    CHECK(received * 2 >= answers.size());
}

} // namespace

// Guards against an answer that a caller gets with a status that HTTP does not have.
TEST_CASE("an answer whose status is none of HTTP reaches no caller", "[process]")
{
    checkRefused(answersWithBrokenStatus());
}

TEST_CASE("balsamloftd passes on no answer whose status is none of HTTP", "[process]")
{
    checkRefusedByDaemon(answersWithBrokenStatus());
}

// Guards against an answer that a caller gets with a line in its head that is no field, or with a
// body that is not the endpoint's.
TEST_CASE("an answer whose head has a line that is no field reaches no caller", "[process]")
{
    checkRefused(answersWithBrokenField());
}

TEST_CASE("balsamloftd passes on no answer whose head has a line that is no field", "[process]")
{
    checkRefusedByDaemon(answersWithBrokenField());
}

// Guards against an answer whose caller gets the coded bytes, without the name of the coding.
TEST_CASE("an answer whose body was coded for the transfer reaches no caller", "[process]")
{
    checkRefused(answersWithUnknownCoding());
}

TEST_CASE("balsamloftd passes on no answer whose body was coded for the transfer", "[process]")
{
    checkRefusedByDaemon(answersWithUnknownCoding());
}

// Guards against an answer whose caller gets coded content without the name of the coding.
TEST_CASE("an answer whose content was coded reaches no caller", "[process]")
{
    checkRefused(answersWithCodedContent());
}

TEST_CASE("balsamloftd passes on no answer whose content was coded", "[process]")
{
    checkRefusedByDaemon(answersWithCodedContent());
}
