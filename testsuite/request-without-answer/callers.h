/// \file
/// Callers that keep their connections, and endpoints whose streams a test ends.

#pragma once

#include "../entry/callerconnection.h"
#include "../entry/entryharness.h"

#include <atomic>
#include <csignal>
#include <memory>
#include <vector>

namespace balsamloft::testsuite {

/// Returns the text of a request to \a path. \a more are further header lines.
inline std::string requestTo(const std::string &path, const std::string &more = "")
{
    return "POST " + path
           + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTeam-Key: good-key\r\nDeadline-Ms: "
             "20000\r\n"
             "Tokens: 10,10\r\n"
           + more + "Content-Length: 2\r\n\r\nhi";
}

/// A plain service that answers at once.
inline RawAnswer answerAtOnce(const std::string &request)
{
    return {okAnswer(request, "done")};
}

/// An engine whose streams begin at once and end when the test says so.
class HeldStreams
{
public:
    /// Ends all streams, those in progress and later ones.
    void finish() { m_finished = true; }

    RawServer::Handler handler()
    {
        return [this](const std::string &request) -> RawAnswer {
            if (request.starts_with("GET /state"))
                return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
            RawAnswer answer {streamHead(request) + chunk(event(1))};
            answer.more = [this, done = false]() mutable {
                if (std::exchange(done, true))
                    return std::string();
                waitUntil([&] { return m_finished.load(); });
                return chunk(event(2)) + "0\r\n\r\n";
            };
            return answer;
        };
    }

private:
    std::atomic<bool> m_finished {false};
};

// Times after SIGTERM, with the grace period of EntryHarness.
constexpr std::chrono::milliseconds IdleClosed {3000}; ///< idle connections are closed from then on
constexpr std::chrono::milliseconds StopEnds {7850}; ///< the process ends, whatever is in progress

/// An instance with plain services and an engine.
class EntryWithEndpoints
{
public:
    /// \a limits is a JSON object with limits of requests.
    explicit EntryWithEndpoints(const RawServer::Handler &service = answerAtOnce,
                                const std::string &limits = "{}")
    {
        entry.configure(1, R"({"good-key":"team-a"})", "/safe/", limits);
        waitUntil([&] { return entry.isReady(); });
        for (int i = 0; i < 3; ++i) {
            services.push_back(std::make_unique<RawServer>(service));
            entry.addEndpoint("e" + std::to_string(i), "plain", services.back()->address());
        }
        entry.addEndpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
    }
    ~EntryWithEndpoints() { streams.finish(); }

    void terminate()
    {
        entry.process->signal(SIGTERM);
        terminatedAt = std::chrono::steady_clock::now();
        waitUntil([&] { return !entry.isReady(); });
    }
    void sleepUntilAfterStop(std::chrono::milliseconds time) const
    {
        std::this_thread::sleep_until(terminatedAt + time);
    }
    void pause() { entry.process->signal(SIGSTOP); }
    void resume() { entry.process->signal(SIGCONT); }

    EntryHarness entry {false};
    std::vector<std::unique_ptr<RawServer>> services;
    HeldStreams streams;
    RawServer engine {streams.handler()};
    std::chrono::steady_clock::time_point terminatedAt;
};

using Callers = std::vector<std::unique_ptr<CallerConnection>>;

inline Callers connectCallers(const std::string &address, int count)
{
    Callers callers;
    for (int i = 0; i < count; ++i)
        callers.push_back(std::make_unique<CallerConnection>(address));
    return callers;
}

inline void sendFromEach(Callers &callers, const std::string &text)
{
    for (const auto &caller : callers)
        caller->send(text);
}

/// Number of callers that receive one more complete answer with status \a status; 0: any.
inline int receiveByEach(Callers &callers, int status = 0)
{
    int received = 0;
    for (const auto &caller : callers) {
        const auto answer = caller->receiveAnswer();
        if (answer
            && (status == 0 || answer->starts_with("HTTP/1.1 " + std::to_string(status) + " ")))
            received += 1;
    }
    return received;
}

/// Callers whose connections are in use: each has one answer already.
inline Callers connectKeptCallers(const EntryHarness &entry, int count)
{
    Callers callers;
    while (static_cast<int>(callers.size()) < count) {
        auto caller = std::make_unique<CallerConnection>(entry.callers);
        caller->send(requestTo("/safe/x"));
        const auto answer = caller->receiveAnswer();
        if (answer && answer->find("Connection: close") == std::string::npos)
            callers.push_back(std::move(caller));
    }
    return callers;
}

} // namespace balsamloft::testsuite
