#include "../common/process.h"

#include <balsamloft/config.h>

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::testsuite;

namespace {

struct Outcome
{
    int code;
    std::string output;
};

/// Runs balsamloftd with the flags \a extra and, if \a withRequired is set, the required flags.
Outcome run(std::vector<std::string> extra, const std::vector<std::string> &environment = {},
            bool withRequired = true)
{
    std::vector<std::string> arguments;
    if (withRequired)
        arguments = {"--name=i", "--domain=d", "--platform=127.0.0.1:1",
                     "--operator_token_sha256=" + sha256Hex("x")};
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    Process process("balsamloftd", arguments, environment);
    const int code = process.wait();
    return {code, process.output()};
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("invalid settings fail the start with exit code 2 and a message", "[process]")
{
    const struct
    {
        std::vector<std::string> flags;
        std::string line;
    } cases[] = {
        {{"--listen=nowhere"}, "--listen: \"nowhere\" is not an address; write IP:port"},
        {{"--listen=localhost:80"}, "is not an address"},
        {{"--platform=127.0.0.1:99999"}, "is not an address"},
        {{"--no_such_flag=1"}, "--no_such_flag: there is no such flag"},
        {{"--traffic_threads=0"}, "--traffic_threads: 0 must be from 1 to 64"},
        {{"--traffic_threads=many"}, "\"many\" is not a valid int32"},
        {{"--log_level=loud"}, "--log_level: must be"},
        {{"--default_deadline_ms=5000", "--longest_deadline_ms=1000"},
         "--default_deadline_ms: must not exceed"},
        {{"--admin_listen=127.0.0.1:8080"}, "--admin_listen: must differ from --listen"},
        {{"--domain="}, "--domain: is required"},
        {{"--memory_mb=31"}, "--memory_mb: 31 must be from 32"},
        {{"--max_descriptors=249"}, "--max_descriptors: 249 must be from 250"},
        {{"stray"}, "stray: is not a flag"},
        {{"--seeds=10.0.0.1:1,bad"}, "\"bad\" is not an address"},
    };
    for (const auto &item : cases) {
        const Outcome outcome = run(item.flags);
        CHECK(outcome.code == 2);
        INFO(outcome.output);
        CHECK(contains(outcome.output, item.line));
    }
}

TEST_CASE("all missing settings are reported together", "[process]")
{
    const Outcome outcome = run({}, {}, false);
    CHECK(outcome.code == 2);
    for (const auto *flag : {"--name", "--domain", "--platform", "--operator_token_sha256"})
        CHECK(contains(outcome.output, std::string(flag) + ": is required"));
}

TEST_CASE("settings are read from the environment, and flags take precedence", "[process]")
{
    CHECK(contains(run({"--check"}, {"BALSAMLOFTD_MAX_QUEUED=0"}).output, "--max_queued: 0 must"));
    CHECK(run({"--check", "--max_queued=5"}, {"BALSAMLOFTD_MAX_QUEUED=0"}).code == 0);
    const Outcome unknown = run({"--check"}, {"BALSAMLOFTD_NO_SUCH=1"});
    CHECK(unknown.code == 2);
    CHECK(contains(unknown.output, "BALSAMLOFTD_NO_SUCH: there is no setting"));
}

TEST_CASE("the flag --check validates the settings and exits, --help lists the flags", "[process]")
{
    const Outcome check = run({"--check"});
    CHECK(check.code == 0);
    CHECK(contains(check.output, "settings are valid"));
    Process help("balsamloftd", {"--help"});
    CHECK(help.wait() == 0);
    CHECK_FALSE(help.waitFor("--drain_grace_ms").empty());
}

TEST_CASE("an address in use fails the start with exit code 1", "[process]")
{
    Process fake("fake_platform", {});
    const std::string taken = fake.waitFor("listening on ([0-9.:]+)");
    const Outcome outcome =
        run({"--listen=127.0.0.1:0", "--admin_listen=127.0.0.1:0", "--peer_listen=" + taken});
    CHECK(outcome.code == 1);
    CHECK(contains(outcome.output, "cannot listen on " + taken));
}
