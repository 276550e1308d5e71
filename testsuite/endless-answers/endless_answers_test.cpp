// Tests of endpoints that send bytes without end which are no valid answer.

#include "../entry/entryharness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>

using namespace balsamloft::testsuite;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

/// An answer that never ends: what is sent once, and what is repeated after it.
struct Endless
{
    std::string name;
    std::string fields; ///< start line and header fields after it, up to the end of the head
    std::string repeated;
    bool stream = false; ///< only for streams
};

const std::string Ok = "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r1\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<Endless> Answers = {
    {"status line", "HTTP/1.1 200 ", "OK"},
    {"header line", Ok + "X: ", "abcd"},
    {"header section", Ok, "X: abcd\r\n"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"answers to another request", "",
     "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"},
    {"chunk size", Chunked, "0"},
    {"chunk extension", Chunked + "5;a=", "bbbb"},
    {"chunk extensions", Chunked, "1;a=" + std::string(4000, 'b') + "\r\nx\r\n"},
    {"trailer line", Chunked + "0\r\nX: ", "abcd"},
    {"trailer section", Chunked + "0\r\n", "X: abcd\r\n"},
    {"body without a length", Ok + "\r\n", "abcd"},
    {"chunks", Chunked, "4\r\nabcd\r\n"},
    {"event", Chunked, chunk("data: " + std::string(4000, 'x')), true},
    {"carriage returns in an event", Chunked, chunk(std::string(4000, '\r')), true},
    {"comments", Chunked, chunk(":\n"), true},
};

/// Memory of the process in bytes, at most so far.
std::size_t peakMemory(int process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(6)) * 1024;
    return 0;
}

/// An instance with two plain endpoints and two engines. One request gets an endless answer.
class Site
{
public:
    explicit Site(const RawAnswer &endless)
    {
        for (const std::string id : {"e1", "e2", "m1", "m2"}) {
            servers.push_back(
                std::make_unique<RawServer>([this, endless](const std::string &request) {
                    if (request.starts_with("GET /state"))
                        return RawAnswer {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
                    const bool chosen =
                        headerOf(request, "Request-Id") == "r1" && armed.exchange(false);
                    if (chosen)
                        return endless;
                    return RawAnswer {request.starts_with("POST /stream")
                                          ? streamHead(request) + chunk(event(1)) + "0\r\n\r\n"
                                          : okAnswer(request, "done")};
                }));
            const bool model = id[0] == 'm';
            entry.addEndpoint(id, model ? "model" : "plain", servers.back()->address(),
                              model ? R"(,"layers":[0,4])" : "");
        }
    }

    /// Number of endless answers that are being sent.
    int sending() const
    {
        int count = 0;
        for (const auto &each : servers)
            count += each->endlessAnswers();
        return count;
    }

    std::atomic<bool> armed {false};
    std::vector<std::unique_ptr<RawServer>> servers;
    EntryHarness entry;
};

/// Requests that are sent one after another until the object is destroyed.
class OtherRequests
{
public:
    explicit OtherRequests(const EntryHarness &entry)
        : m_thread([this, &entry] {
            while (!m_stop) {
                const auto begin = Clock::now();
                const std::string answer =
                    exchange(entry.callers,
                             "POST /safe/other HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\nTeam-Key: "
                             "good-key\r\nDeadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi",
                             completeAnswer);
                m_failed += answer.starts_with("HTTP/1.1 200") ? 0 : 1;
                m_longest = std::max<std::chrono::nanoseconds>(m_longest, Clock::now() - begin);
                std::this_thread::sleep_for(5ms);
            }
        })
    {
    }
    ~OtherRequests() { stop(); }

    void stop()
    {
        m_stop = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    int failed() const { return m_failed; }
    std::chrono::nanoseconds longest() const { return m_longest; }

private:
    std::atomic<bool> m_stop {false};
    int m_failed = 0;
    std::chrono::nanoseconds m_longest {0};
    std::thread m_thread;
};

/// The longest time until a request is decided on: with a retry at another endpoint, or at the
/// deadline of a request that may not be repeated.
std::chrono::milliseconds maxTime(const std::string &path)
{
    return path.starts_with("/safe") ? 2000ms : path.starts_with("/stream") ? 4000ms : 5700ms;
}

} // namespace

// Guards against memory that grows with the answer, and against requests that wait for its end.
TEST_CASE("an answer that never ends is given up, and its request is decided on", "[process]")
{
    constexpr std::size_t MaxGrowth = 48U << 20U;
    const std::string path = GENERATE("/safe/x", "/unsafe/x", "/stream/x");
    const bool slow = GENERATE(false, true);
    for (const Endless &each : Answers) {
        if (each.stream && !path.starts_with("/stream"))
            continue;
        CAPTURE(path, slow, each.name);
        RawAnswer answer {each.fields};
        answer.endless = each.repeated;
        if (slow)
            answer.endlessPause = 30ms;
        while (!slow && answer.endless.size() < 32'000)
            answer.endless += each.repeated;
        Site site(answer);
        // Earlier requests earn the permission to retry.
        for (int i = 0; i < 15; ++i)
            REQUIRE(site.entry.post(path).starts_with("HTTP/1.1 200"));
        const std::size_t before = peakMemory(site.entry.process->id());
        OtherRequests others(site.entry);
        site.armed = true;
        const auto begin = Clock::now();
        const std::string received = site.entry.post(path);
        const auto duration = Clock::now() - begin;
        CHECK_FALSE(site.armed);
        CHECK(duration < maxTime(path));
        const bool retried = !path.starts_with("/unsafe");
        CHECK(received.starts_with(retried ? "HTTP/1.1 200" : "HTTP/1.1 50"));
        CHECK(waitUntil([&] { return site.sending() == 0; }));
        others.stop();
        CHECK(others.failed() == 0);
        CHECK(others.longest() < 300ms);
        const std::size_t growth = peakMemory(site.entry.process->id()) - before;
        CHECK(growth < MaxGrowth);
        if (std::getenv("ENDLESS_FIGURES"))
            std::fprintf(stderr, "%-10s %d %-30s %5ld ms, %6zu KiB, other %ld ms\n", path.c_str(),
                         slow, each.name.c_str(), static_cast<long>(duration / 1ms), growth / 1024,
                         static_cast<long>(others.longest() / 1ms));
    }
}

// Guards against queries of the control thread and of the relay that read without end.
TEST_CASE("an engine whose answers to queries never end costs bounded memory, and others serve",
          "[process]")
{
    constexpr std::size_t MaxGrowth = 64U << 20U;
    constexpr int Requests = 40;
    const Endless each = GENERATE(from_range(Answers));
    CAPTURE(each.name);
    RawAnswer answer {each.fields};
    while (answer.endless.size() < 32'000)
        answer.endless += each.repeated;
    EntryHarness entry;
    const auto server = [](const RawAnswer &state) {
        return std::make_unique<RawServer>([state](const std::string &request) -> RawAnswer {
            if (request.starts_with("GET /"))
                return state;
            return {streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
        });
    };
    const auto endless = server(answer);
    const auto sound = server({okAnswer("", R"({"layers":[0,4],"orders":1})")});
    entry.addEndpoint("m1", "model", endless->address(), R"(,"layers":[0,4])");
    entry.addEndpoint("m2", "model", sound->address(), R"(,"layers":[0,4])");
    REQUIRE(waitUntil([&] { return !endless->requests().empty(); }));
    int served = 0;
    for (int i = 0; i < Requests; ++i) {
        served += entry.post("/stream/x").starts_with("HTTP/1.1 200") ? 1 : 0;
        std::this_thread::sleep_for(50ms);
    }
    CHECK(served == Requests);
    CHECK(endless->closedByPeer() > 0);
    CHECK(peakMemory(entry.process->id()) > 0);
    CHECK(peakMemory(entry.process->id()) < MaxGrowth);
    if (std::getenv("ENDLESS_FIGURES"))
        std::fprintf(stderr, "query      %-30s %6zu KiB, %zu requests\n", each.name.c_str(),
                     peakMemory(entry.process->id()) / 1024, endless->requests().size());
}

// Guards against memory that grows with the number of engines in trouble.
TEST_CASE("many engines whose states never end cost bounded memory", "[process]")
{
    constexpr std::size_t MaxMemory = 160U << 20U; // the smallest machine of a site
    constexpr int Engines = 120;
    const std::string name = GENERATE("body without a length", "chunks", "header section");
    const auto each = std::find_if(Answers.begin(), Answers.end(),
                                   [&](const Endless &answer) { return answer.name == name; });
    RawAnswer answer {each->fields};
    while (answer.endless.size() < 32'000)
        answer.endless += each->repeated;
    EntryHarness entry(true, "30000", {"--memory_mb=160"});
    std::vector<std::unique_ptr<RawServer>> endless;
    for (int i = 0; i < Engines; ++i) {
        endless.push_back(std::make_unique<RawServer>([&](const std::string &) { return answer; }));
        entry.store.put("endpoints", "m" + std::to_string(i),
                        R"({"service":"model","address":")" + endless.back()->address()
                            + R"(","domain":"d","kind":"card","layers":[0,4]})");
    }
    const auto closed = [&] {
        int count = 0;
        for (const auto &server : endless)
            count += server->closedByPeer();
        return count;
    };
    CHECK(waitUntil([&] { return closed() >= 3 * Engines || !entry.process->running(); }));
    CHECK(entry.process->running());
    CHECK(entry.isReady());
    const std::size_t peak = peakMemory(entry.process->id());
    CHECK(peak > 0);
    CHECK(peak < MaxMemory);
    if (std::getenv("ENDLESS_FIGURES"))
        std::fprintf(stderr, "states     %-30s %6zu KiB\n", name.c_str(), peak / 1024);
}
