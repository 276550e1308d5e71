// `balsamloft-entry` as a process: planned stops, settings, a log that nobody reads.

#include "entryharness.h"

#include <boost/filesystem.hpp>

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>

using namespace balsamloft::testsuite;

namespace {

/// An engine that keeps its streams waiting until \a finish.
RawServer::Handler streamsOnce(const std::atomic<bool> &finish)
{
    return [&finish](const std::string &request) -> RawAnswer {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        waitUntil([&] { return finish.load(); });
        return {streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
    };
}

} // namespace

TEST_CASE("an instance told to stop says so, finishes what runs, and ends by itself", "[process]")
{
    EntryHarness entry;
    std::atomic<bool> finish {false};
    RawServer engine(streamsOnce(finish));
    entry.endpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
    std::string answer;
    std::thread caller([&] { answer = entry.post("/stream/x"); });
    waitUntil([&] {
        for (const std::string &request : engine.requests())
            if (request.starts_with("POST /stream"))
                return true;
        return false;
    });
    entry.process->signal(SIGTERM);
    CHECK(waitUntil([&] { return !entry.isReady(); }));
    finish = true;
    caller.join();
    CHECK(answer.ends_with("0\r\n\r\n"));
    CHECK(entry.process->wait() == 0);
}

TEST_CASE("late in a planned stop nothing new is begun, and the caller is told so", "[process]")
{
    // A stream keeps the process open; callers still come. What is begun in the
    // last moment would be cut with the process, so it is refused as not run.
    EntryHarness entry;
    std::atomic<bool> finish {false};
    RawServer engine(streamsOnce(finish));
    RawServer endpoint(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
    entry.endpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
    entry.endpoint("e1", "plain", endpoint.address());
    std::thread caller([&] { entry.post("/stream/x"); });
    waitUntil([&] { return engine.requests().size() > 1; });
    entry.process->signal(SIGTERM);
    std::string answer;
    CHECK(waitUntil([&] {
        answer = entry.post("/safe/x");
        // Closed without having been read: it crossed the stop, and asks again.
        return !answer.empty() && !answer.starts_with("HTTP/1.1 200");
    }));
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Connection: close") != std::string::npos);
    finish = true;
    caller.join();
    CHECK(entry.process->wait() == 0);
}

TEST_CASE("a log that nobody reads holds up no request", "[process]")
{
    // Standard output is a pipe that is full after some 300 requests. Callers go
    // on getting their answers; what cannot be written is dropped and counted.
    FakeStore store;
    const std::string callers = freeAddress();
    const std::string ready = freeAddress();
    const std::string metrics = freeAddress();
    RawServer endpoint(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
    store.put("configuration", "current",
              R"({"version":1,"keys":{},"services":[{"name":"plain"}],"routes":[
                 {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","service":"plain"}]})");
    store.put("endpoints", "e1",
              R"({"service":"plain","address":")" + endpoint.address() + R"(","domain":"d"})");
    boost::process::ipstream unread;
    boost::process::child child(programDirectory() + "/balsamloft-entry-standin", "--name=entry-1",
                                "--domain=d", "--listen=" + callers, "--ready_listen=" + ready,
                                "--peer_listen=" + freeAddress(), "--metrics_listen=" + metrics,
                                "--store=" + store.address(), "--log_all",
                                boost::process::std_out > unread);
    const auto get = [](const std::string &address) {
        return exchange(address, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", completeAnswer);
    };
    REQUIRE(waitUntil([&] { return get(ready).starts_with("HTTP/1.1 200"); }));
    const std::string request = "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                                "Content-Length: 0\r\n\r\n";
    int answered = 0;
    for (int i = 0; i < 1500; ++i)
        answered += exchange(callers, request, completeAnswer).ends_with("done") ? 1 : 0;
    CHECK(answered == 1500);
    CHECK(get(metrics).find("balsamloft_log_lines_dropped_total 0\n") == std::string::npos);
    child.terminate();
}

TEST_CASE("settings that cannot be used end the process with a clear line", "[process]")
{
    Process process("balsamloft-entry-standin", {"--name=x", "--domain=d", "--listen=nowhere"});
    CHECK(process.wait() == 2);
    CHECK(process.output().find("--listen: 'nowhere' is no IP:port") != std::string::npos);
}

TEST_CASE("settings are read again on SIGHUP, and a malformed file changes nothing", "[process]")
{
    // The first signal finds a file with a value that is none: a line says so and
    // callers are served as before. The second one finds a good file; what needs a
    // restart is named.
    FakeStore store;
    const auto directory =
        boost::filesystem::temp_directory_path() / boost::filesystem::unique_path();
    boost::filesystem::create_directory(directory);
    const std::string file = (directory / "entry.flags").string();
    const std::string ready = freeAddress();
    const std::string own = "--name=entry-1\n--domain=d\n--listen=" + freeAddress()
                            + "\n--ready_listen=" + ready + "\n--peer_listen=" + freeAddress();
    const auto write = [&](const std::string &more) {
        std::ofstream(file) << own << "\n" << more << "\n";
    };
    write("--store=" + store.address() + "\n--retry_ratio=0.1");
    Process process("balsamloft-entry-standin", {"--flagfile=" + file});
    process.waitFor("\"event\":\"(started)\"");
    write("--store=" + store.address() + "\n--retry_ratio=many");
    process.signal(SIGHUP);
    CHECK(process.waitFor("\"settings not taken\",\"reason\":\"([^\"]*)\"")
          == "--retry_ratio: 'many' is not taken");
    write("--store=127.0.0.1:1\n--retry_ratio=0.3");
    process.signal(SIGHUP);
    CHECK(process.waitFor("\"event\":\"reloaded\".*\"needs_restart\":\"([^\"]*)\"") == "--store");
    CHECK(std::stod(process.waitFor("\"retry_ratio\":([0-9.E+-]+)")) == Approx(0.3));
    process.signal(SIGTERM);
    CHECK(process.wait() == 0);
    boost::filesystem::remove_all(directory);
}
