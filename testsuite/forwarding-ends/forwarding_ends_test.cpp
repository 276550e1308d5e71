// Tests of requests whose forwarding instance ends, while the endpoints work all the time.

#include "../unreachable-endpoints/linkedsite.h"

#include <catch2/catch.hpp>

#include <array>
#include <csignal>

using namespace balsamloft::testsuite;
using balsamloft::soak::CutManner;

namespace {

constexpr int Events = 60;
constexpr std::chrono::milliseconds EventInterval {50};
constexpr int DeadlineMs = 30'000;

/// A stream of Events events after the one that the request names.
RawAnswer slowStream(const std::string &request)
{
    const std::string last = headerOf(request, "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    return {streamHead(request), RawAnswer::Then::Keep, {}, {}, [next = first]() mutable {
                if (next > Events + 1)
                    return std::string();
                std::this_thread::sleep_for(EventInterval);
                const int id = next++;
                return id > Events ? std::string("0\r\n\r\n") : chunk(event(id));
            }};
}

RawAnswer slowAnswer(const std::string &request)
{
    if (request.starts_with("POST /stream/slow"))
        return slowStream(request);
    return {answerOf(request)};
}

/// Whether \a answer holds each event once, in order, and is complete.
bool isWhole(const std::string &answer)
{
    std::string body;
    for (int i = 1; i <= Events; ++i)
        body += chunk(event(i));
    return answer.ends_with("\r\n\r\n" + body + "0\r\n\r\n");
}

std::string target(int stream)
{
    return "/stream/slow" + std::to_string(stream) + "-";
}

/// How an instance that forwards connections ends.
enum class End { Kill, KillAndStart, Terminate };

/// Four instances. The first one has no links to the endpoints, so that others forward its streams.
class ForwardedStreams
{
public:
    /// Few, so that their retries stay within the budget of one instance.
    static constexpr int Count = 3;

    ForwardedStreams()
        : site(4, RawServer::Handler(slowAnswer))
    {
        site.cut(0, CutManner::Reset);
        CHECK(waitUntil([&] { return site.serves(0, "/unsafe/x"); }));
        // Only the second instance can forward, and later only the third one.
        site.process(2).signal(SIGSTOP);
        site.process(3).signal(SIGSTOP);
        for (int i = 0; i < Count; ++i)
            m_threads.emplace_back([this, i] {
                m_answers[i] =
                    exchange(site.callerAddress(0), site.requestTo(target(i), DeadlineMs),
                             [this, i](const std::string &answer) {
                                 m_received[i] = answer.size();
                                 return completeAnswer(answer);
                             });
                m_finished[i] = true;
            });
        CHECK(waitForProgress());
    }

    ~ForwardedStreams() { wait(); }

    /// Waits until each stream has received several events, or has ended.
    bool waitForProgress()
    {
        std::array<std::size_t, Count> before {};
        std::copy(m_received.begin(), m_received.end(), before.begin());
        return waitUntil([&] {
            for (int i = 0; i < Count; ++i)
                if (!m_finished[i] && m_received[i] < before[i] + 5 * chunk(event(1)).size())
                    return false;
            return true;
        });
    }

    /// Ends the instance that forwards all streams; \a next can forward from now on.
    void end(std::size_t instance, End manner, std::size_t next)
    {
        site.process(next).signal(SIGCONT);
        site.process(instance).signal(manner == End::Terminate ? SIGTERM : SIGKILL);
        if (manner == End::KillAndStart)
            site.start(instance);
        CHECK(waitForProgress());
    }

    void wait()
    {
        for (auto &each : m_threads)
            if (each.joinable())
                each.join();
    }

    int whole() const
    {
        return static_cast<int>(std::count_if(m_answers.begin(), m_answers.end(), isWhole));
    }

    std::size_t executions() const
    {
        std::size_t sum = 0;
        for (int i = 0; i < Count; ++i)
            sum += site.received("POST " + target(i));
        return sum;
    }

    LinkedSite site;

private:
    std::array<std::atomic<std::size_t>, Count> m_received {};
    std::array<std::atomic<bool>, Count> m_finished {};
    std::array<std::string, Count> m_answers;
    std::vector<std::thread> m_threads;
};

} // namespace

// Guards against a stream that is cut because the ends of its forwarding instances count as
// failures of the endpoints.
TEST_CASE("streams go on when the instances that forward them end in turn", "[process]")
{
    const End manner = GENERATE(End::Kill, End::KillAndStart, End::Terminate);
    const int ends = GENERATE(1, 2);
    ForwardedStreams streams;
    streams.end(1, manner, 2);
    if (ends == 2)
        streams.end(2, manner, 3);
    streams.site.process(3).signal(SIGCONT);
    streams.wait();
    INFO("manner " << static_cast<int>(manner) << ", ends " << ends << ", executions "
                   << streams.executions());
    CHECK(streams.whole() == ForwardedStreams::Count);
}
