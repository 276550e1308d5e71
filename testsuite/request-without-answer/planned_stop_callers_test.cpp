// Requests on the connections of callers around SIGTERM. Each caller is owed an answer.

#include "callers.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft::testsuite;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Margin {800};
constexpr milliseconds TimerDue {200}; ///< more than the interval of the process's timer in a stop

/// Number of callers with an answer to a request that waits in their sockets while the process
/// stands still, until idle connections are closed.
int answersAfterPause(const std::string &path, int callerCount)
{
    EntryWithEndpoints stopping;
    stopping.streams.finish();
    Callers callers = connectKeptCallers(stopping.entry, callerCount);
    stopping.terminate();
    stopping.sleepUntilAfterStop(IdleClosed - Margin);
    stopping.entry.process->signal(SIGSTOP);
    // The process handles what became ready first: its timer, then the requests.
    std::this_thread::sleep_for(TimerDue);
    sendFromEach(callers, requestTo(path));
    stopping.sleepUntilAfterStop(IdleClosed + milliseconds(200));
    stopping.entry.process->signal(SIGCONT);
    return receiveByEach(callers);
}

/// Callers with a stream in progress, of which they have received the first event.
Callers connectStreamingCallers(EntryWithEndpoints &stopping, int count)
{
    Callers callers = connectCallers(stopping.entry.callers, count);
    sendFromEach(callers, requestTo("/stream/x"));
    for (const auto &caller : callers)
        REQUIRE(caller->receiveUntil("data: e1\n\n"));
    return callers;
}

} // namespace

TEST_CASE("a stop that finds the process late loses calls that wait in the sockets",
          "[process][failure]")
{
    constexpr int CallerCount = 600;
    CHECK(answersAfterPause("/safe/x", CallerCount) == CallerCount);
}

TEST_CASE("a stop that finds the process late loses streams that wait in the sockets",
          "[process][failure]")
{
    constexpr int CallerCount = 600;
    CHECK(answersAfterPause("/stream/x", CallerCount) == CallerCount);
}

TEST_CASE("the request after a stream that ends late in a stop is lost", "[process][failure]")
{
    // The head of the stream was sent before the stop: it could not announce the end of the
    // connection.
    constexpr int CallerCount = 8;
    EntryWithEndpoints stopping;
    Callers callers = connectStreamingCallers(stopping, CallerCount);
    stopping.terminate();
    stopping.sleepUntilAfterStop(IdleClosed + Margin);
    stopping.streams.finish();
    REQUIRE(receiveByEach(callers, 200) == CallerCount);
    std::this_thread::sleep_for(milliseconds(60));
    sendFromEach(callers, requestTo("/safe/x"));
    CHECK(receiveByEach(callers) == CallerCount);
}

TEST_CASE("of requests that are sent at once in a stop, those behind the first are lost",
          "[process][failure]")
{
    constexpr int CallerCount = 20;
    const int count = GENERATE(2, 3);
    EntryWithEndpoints stopping;
    Callers callers = connectKeptCallers(stopping.entry, CallerCount);
    stopping.terminate();
    std::string requests;
    for (int i = 0; i < count; ++i)
        requests += requestTo("/safe/x");
    sendFromEach(callers, requests);
    int answers = 0;
    for (int i = 0; i < count; ++i)
        answers += receiveByEach(callers);
    CHECK(answers == count * CallerCount);
}

TEST_CASE("a request that waits behind a stream is lost when the stream ends in a stop",
          "[process][failure]")
{
    constexpr int CallerCount = 8;
    EntryWithEndpoints stopping;
    const bool beforeStop = GENERATE(true, false);
    Callers callers = connectCallers(stopping.entry.callers, CallerCount);
    if (!beforeStop)
        stopping.terminate();
    sendFromEach(callers, requestTo("/stream/x") + requestTo("/safe/x"));
    for (const auto &caller : callers)
        REQUIRE(caller->receiveUntil("data: e1\n\n"));
    if (beforeStop)
        stopping.terminate();
    stopping.streams.finish();
    CHECK(receiveByEach(callers, 200) == CallerCount);
    CHECK(receiveByEach(callers) == CallerCount);
}

TEST_CASE("a request behind one that is refused in a stop is lost", "[process][failure]")
{
    constexpr int CallerCount = 20;
    EntryWithEndpoints stopping;
    Callers callers = connectKeptCallers(stopping.entry, CallerCount);
    stopping.terminate();
    sendFromEach(callers, requestTo("/unknown/x") + requestTo("/safe/x"));
    CHECK(receiveByEach(callers, 404) == CallerCount);
    CHECK(receiveByEach(callers) == CallerCount);
}

TEST_CASE("an answer is destroyed by the request behind one that says Connection: close",
          "[process][failure]")
{
    // Only the request behind it may stay unanswered: its caller has announced the end itself.
    constexpr int CallerCount = 20;
    const bool stop = GENERATE(false, true);
    EntryWithEndpoints stopping;
    Callers callers = connectKeptCallers(stopping.entry, CallerCount);
    if (stop)
        stopping.terminate();
    sendFromEach(callers, requestTo("/safe/x", "Connection: close\r\n") + requestTo("/safe/x"));
    CHECK(receiveByEach(callers, 200) == CallerCount);
    for (const auto &caller : callers)
        CHECK(caller->receiveEnd() == ConnectionEnd::Closed);
}
