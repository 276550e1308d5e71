// Requests that are incomplete or without an answer when a planned stop closes idle connections,
// and when its grace period ends.

#include "callers.h"

#include <catch2/catch.hpp>

using namespace balsamloft::testsuite;

namespace {

using std::chrono::milliseconds;

RawAnswer remainSilent(const std::string &request)
{
    if (request.starts_with("POST /safe/x"))
        return answerAtOnce(request);
    return {"", RawAnswer::Then::Silence};
}

/// A request in two parts.
struct DividedRequest
{
    std::string first;
    std::string second;
};

DividedRequest dividedRequest(std::size_t firstSize)
{
    const std::string request = requestTo("/safe/x");
    return {request.substr(0, firstSize), request.substr(firstSize)};
}

DividedRequest dividedInHeader()
{
    return dividedRequest(requestTo("/safe/x").size() / 2);
}

DividedRequest dividedInBody()
{
    return dividedRequest(requestTo("/safe/x").size() - 1);
}

/// A caller with a stream that lasts until the process ends.
std::unique_ptr<CallerConnection> connectEndlessCaller(EntryWithEndpoints &stopping)
{
    auto caller = std::make_unique<CallerConnection>(stopping.entry.callers);
    caller->send(requestTo("/stream/x"));
    REQUIRE(caller->receiveUntil("data: e1\n\n"));
    return caller;
}

/// Number of callers with an answer that connect and send a request while the process stands still
/// near its end. \a resumedAt is a time after SIGTERM.
int answersAtEnd(int callerCount, milliseconds resumedAt)
{
    EntryWithEndpoints stopping;
    const auto endless = connectEndlessCaller(stopping);
    stopping.terminate();
    stopping.sleepUntilAfterStop(StopEnds - milliseconds(700));
    stopping.pause();
    Callers callers = connectCallers(stopping.entry.callers, callerCount);
    sendFromEach(callers, requestTo("/safe/x"));
    stopping.sleepUntilAfterStop(resumedAt);
    stopping.resume();
    const int answered = receiveByEach(callers);
    UNSCOPED_INFO(stopping.entry.process->waitFor(".*\"event\":\"stopped\".*"));
    return answered;
}

} // namespace

TEST_CASE("a request whose rest comes after a stop closes idle connections is lost",
          "[process][failure]")
{
    constexpr int CallerCount = 20;
    const DividedRequest request = GENERATE(dividedInHeader(), dividedInBody());
    EntryWithEndpoints stopping;
    Callers callers = connectKeptCallers(stopping.entry, CallerCount);
    stopping.terminate();
    stopping.sleepUntilAfterStop(IdleClosed - milliseconds(700));
    sendFromEach(callers, request.first);
    stopping.sleepUntilAfterStop(IdleClosed + milliseconds(300));
    sendFromEach(callers, request.second);
    CHECK(receiveByEach(callers) == CallerCount);
}

TEST_CASE("a request whose rest never comes is cut by a stop without an answer",
          "[process][failure]")
{
    constexpr int CallerCount = 20;
    const DividedRequest request = GENERATE(dividedInHeader(), dividedInBody());
    EntryWithEndpoints stopping;
    Callers callers = connectKeptCallers(stopping.entry, CallerCount);
    stopping.terminate();
    stopping.sleepUntilAfterStop(IdleClosed - milliseconds(700));
    sendFromEach(callers, request.first);
    CHECK(receiveByEach(callers) == CallerCount);
    CHECK(stopping.entry.process->wait() == 0);
}

TEST_CASE("a request that is still being received when the grace period ends is cut",
          "[process][failure]")
{
    constexpr milliseconds Interval {150};
    EntryWithEndpoints stopping;
    const auto endless = connectEndlessCaller(stopping);
    Callers callers = connectKeptCallers(stopping.entry, 20);
    stopping.terminate();
    const std::string request = requestTo("/safe/x");
    std::size_t sent = 0;
    for (milliseconds time = IdleClosed - milliseconds(500); time < StopEnds - milliseconds(100);
         time += Interval) {
        stopping.sleepUntilAfterStop(time);
        sendFromEach(callers, request.substr(sent++, 1));
    }
    REQUIRE(sent < request.size());
    CHECK(receiveByEach(callers) == static_cast<int>(callers.size()));
}

TEST_CASE("a call whose endpoint is silent is cut when the grace period ends", "[process][failure]")
{
    constexpr int CallerCount = 6;
    EntryWithEndpoints stopping(remainSilent);
    Callers callers = connectKeptCallers(stopping.entry, CallerCount);
    sendFromEach(callers, requestTo(GENERATE("/safe/silent", "/unsafe/silent")));
    // The stop begins once the calls are at their endpoints.
    const auto silentRequests = [&] {
        int count = 0;
        for (const auto &service : stopping.services)
            for (const std::string &request : service->requests())
                count += request.find("/silent ") != std::string::npos ? 1 : 0;
        return count;
    };
    REQUIRE(waitUntil([&] { return silentRequests() >= CallerCount; }));
    stopping.terminate();
    int told = 0;
    for (const auto &caller : callers) {
        const auto answer = caller->receiveAnswer();
        told +=
            answer
                    && (answer->starts_with("HTTP/1.1 502") || answer->starts_with("HTTP/1.1 503")
                        || answer->starts_with("HTTP/1.1 504"))
                ? 1
                : 0;
    }
    CHECK(told == CallerCount);
    CHECK(stopping.entry.process->wait() == 0);
}

TEST_CASE("the events of a stream are destroyed when the grace period ends", "[process][failure]")
{
    EntryWithEndpoints stopping;
    const auto caller = connectEndlessCaller(stopping);
    // Behind the stream waits a request, so that bytes are unread when the connection is closed.
    if (GENERATE(false, true))
        caller->send(requestTo("/safe/x") + std::string(200'000, 'x'));
    stopping.terminate();
    CHECK(caller->receiveEnd() == ConnectionEnd::Closed);
    CHECK_FALSE(answerLength(caller->received()));
    CHECK(stopping.entry.process->wait() == 0);
}

TEST_CASE(
    "connections that are accepted when the grace period ends are closed in spite of a request",
    "[process][failure]")
{
    // So many that the timer of the process expires between them.
    constexpr int CallerCount = 500;
    CHECK(answersAtEnd(CallerCount, StopEnds - milliseconds(250)) == CallerCount);
}

TEST_CASE("connections that wait to be accepted are lost if the process is late at its end",
          "[process][failure]")
{
    constexpr int CallerCount = 300;
    CHECK(answersAtEnd(CallerCount, StopEnds + milliseconds(300)) == CallerCount);
}
