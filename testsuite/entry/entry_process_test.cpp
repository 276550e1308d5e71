// Tests of the process `balsamloft-entry`: planned stops, settings and a blocked log.

#include "entryharness.h"

#include <boost/filesystem.hpp>

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>

using namespace balsamloft::testsuite;

namespace {

/// An instance whose standard output is a pipe of the test, with an endpoint.
struct PipedEntry
{
    PipedEntry()
    {
        store.put("configuration", "current",
                  R"({"version":1,"keys":{},"services":[{"name":"plain"}],"routes":[
                 {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","service":"plain"}]})");
        store.put("endpoints", "e1",
                  R"({"service":"plain","address":")" + endpoint.address() + R"(","domain":"d"})");
        child = boost::process::child(programDirectory() + "/balsamloft-entry-standin",
                                      "--name=entry-1", "--domain=d", "--listen=" + callers,
                                      "--ready_listen=" + ready, "--peer_listen=" + freeAddress(),
                                      "--metrics_listen=" + metrics, "--store=" + store.address(),
                                      "--log_all", boost::process::std_out > output);
        REQUIRE(waitUntil([&] { return get(ready).starts_with("HTTP/1.1 200"); }));
    }
    ~PipedEntry() { child.terminate(); }

    static std::string get(const std::string &address)
    {
        return exchange(address, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", completeAnswer);
    }

    bool answersRequest() const
    {
        return exchange(callers,
                        "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                        "Content-Length: 0\r\n\r\n",
                        completeAnswer)
            .ends_with("done");
    }

    FakeStore store;
    const std::string callers = freeAddress();
    const std::string ready = freeAddress();
    const std::string metrics = freeAddress();
    RawServer endpoint {
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; }};
    boost::process::ipstream output;
    boost::process::child child;
};

} // namespace

TEST_CASE("after SIGTERM an instance is not ready, finishes running requests and exits",
          "[process]")
{
    EntryHarness entry;
    std::atomic<bool> released {false};
    RawServer engine(streamWhenReleased(released));
    entry.addEndpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
    std::string answer;
    std::thread caller([&] { answer = entry.post("/stream/x"); });
    waitForStream(engine);
    entry.process->signal(SIGTERM);
    CHECK(waitUntil([&] { return !entry.isReady(); }));
    released = true;
    caller.join();
    CHECK(answer.ends_with("0\r\n\r\n"));
    CHECK(entry.process->wait() == 0);
}

TEST_CASE("late in a planned stop new requests are refused with 503", "[process]")
{
    // A stream keeps the process running while callers still send requests. Requests accepted at
    // the end would be aborted with the process, so they are refused without execution.
    EntryHarness entry;
    std::atomic<bool> released {false};
    RawServer engine(streamWhenReleased(released));
    RawServer endpoint(
        [](const std::string &request) { return RawAnswer {okAnswer(request, "done")}; });
    entry.addEndpoint("a", "model", engine.address(), R"(,"layers":[0,4])");
    entry.addEndpoint("e1", "plain", endpoint.address());
    std::thread caller([&] { entry.post("/stream/x"); });
    waitUntil([&] { return engine.requests().size() > 1; });
    entry.process->signal(SIGTERM);
    std::string answer;
    CHECK(waitUntil([&] {
        answer = entry.post("/safe/x");
        // The answer is empty if the connection was closed before the request was read.
        return !answer.empty() && !answer.starts_with("HTTP/1.1 200");
    }));
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Connection: close") != std::string::npos);
    released = true;
    caller.join();
    CHECK(entry.process->wait() == 0);
}

TEST_CASE("a log that is not read does not delay requests", "[process]")
{
    // Standard output is a pipe that is full after some 300 requests. Requests are still answered;
    // lines that cannot be written are dropped and counted.
    PipedEntry entry;
    int answered = 0;
    for (int i = 0; i < 1500; ++i)
        answered += entry.answersRequest() ? 1 : 0;
    CHECK(answered == 1500);
    CHECK(PipedEntry::get(entry.metrics).find("balsamloft_log_lines_dropped_total 0\n")
          == std::string::npos);
}

TEST_CASE("an instance whose log lost its reader goes on answering requests", "[process]")
{
    // The first line that was written to the closed pipe ended the process by SIGPIPE.
    PipedEntry entry;
    entry.output.pipe().close();
    int answered = 0;
    for (int i = 0; i < 20; ++i) {
        answered += entry.answersRequest() ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(answered == 20);
    CHECK(entry.child.running());
}

TEST_CASE("an invalid address in the settings exits with code 2 and an error message", "[process]")
{
    Process process("balsamloft-entry-standin", {"--name=x", "--domain=d", "--listen=nowhere"});
    CHECK(process.wait() == 2);
    CHECK(process.output().find("--listen: 'nowhere' is not an IP:port") != std::string::npos);
}

TEST_CASE("SIGHUP reloads the settings, and a malformed file changes nothing", "[process]")
{
    // At the first signal the file has an invalid value, which is logged. At the second one it is
    // valid, and the flags that need a restart are logged.
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
          == "--retry_ratio: 'many' is not a valid value");
    write("--store=127.0.0.1:1\n--retry_ratio=0.3");
    process.signal(SIGHUP);
    CHECK(process.waitFor("\"event\":\"reloaded\".*\"needs_restart\":\"([^\"]*)\"") == "--store");
    CHECK(std::stod(process.waitFor("\"retry_ratio\":([0-9.E+-]+)")) == Approx(0.3));
    process.signal(SIGTERM);
    CHECK(process.wait() == 0);
    boost::filesystem::remove_all(directory);
}
