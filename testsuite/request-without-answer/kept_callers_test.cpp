// Timeouts of connections that callers keep, without a stop.

#include "callers.h"

#include <catch2/catch.hpp>

using namespace balsamloft::testsuite;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds IdleTimeout {1000};
constexpr const char *ShortIdleTimeout = R"({"idle_timeout_ms":1000})";
constexpr const char *ShortHeaderTimeout = R"({"header_timeout_ms":1000})";
constexpr milliseconds TimerDue {600}; ///< more than the interval of the process's timer

/// The end of the time in which callers may use a connection again.
constexpr milliseconds LastReuse = IdleTimeout * 4 / 5;

} // namespace

TEST_CASE("the request after a stream that is longer than the idle timeout is lost",
          "[process][failure]")
{
    constexpr int CallerCount = 8;
    EntryWithEndpoints running(answerAtOnce, ShortIdleTimeout);
    Callers callers = connectCallers(running.entry.callers, CallerCount);
    sendFromEach(callers, requestTo("/stream/x"));
    for (const auto &caller : callers)
        REQUIRE(caller->receiveUntil("data: e1\n\n"));
    std::this_thread::sleep_for(IdleTimeout * 3 / 2);
    running.streams.finish();
    REQUIRE(receiveByEach(callers, 200) == CallerCount);
    std::this_thread::sleep_for(LastReuse - milliseconds(100));
    sendFromEach(callers, requestTo("/safe/x"));
    CHECK(receiveByEach(callers, 200) == CallerCount);
}

TEST_CASE("requests that wait in the sockets are lost if the idle timeout passes meanwhile",
          "[process][failure]")
{
    constexpr int CallerCount = 300;
    EntryWithEndpoints running(answerAtOnce, ShortIdleTimeout);
    Callers callers = connectCallers(running.entry.callers, CallerCount);
    sendFromEach(callers, requestTo("/safe/x"));
    REQUIRE(receiveByEach(callers, 200) == CallerCount);
    running.pause();
    // The process handles what became ready first: its timer, then the requests.
    std::this_thread::sleep_for(TimerDue);
    sendFromEach(callers, requestTo("/safe/x"));
    std::this_thread::sleep_for(IdleTimeout);
    running.resume();
    CHECK(receiveByEach(callers) == CallerCount);
}

TEST_CASE("requests whose rest waits in the sockets are refused as incomplete",
          "[process][failure]")
{
    constexpr int CallerCount = 300;
    EntryWithEndpoints running(answerAtOnce, ShortHeaderTimeout);
    Callers callers = connectKeptCallers(running.entry, CallerCount);
    const std::string request = requestTo("/safe/x");
    sendFromEach(callers, request.substr(0, request.size() / 2));
    std::this_thread::sleep_for(milliseconds(100)); // the first halves are read
    running.pause();
    std::this_thread::sleep_for(TimerDue);
    sendFromEach(callers, request.substr(request.size() / 2));
    std::this_thread::sleep_for(IdleTimeout);
    running.resume();
    int served = 0;
    int told = 0;
    for (const auto &caller : callers) {
        const auto answer = caller->receiveAnswer();
        told += answer ? 1 : 0;
        served += answer && answer->starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    CHECK(told == CallerCount);
    CHECK(served == CallerCount);
}
