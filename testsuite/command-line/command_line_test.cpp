#include "../common/fleet.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::testsuite;

TEST_CASE("the command-line tool returns a distinct exit code for each kind of failure",
          "[process]")
{
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1");
    fleet.configure();
    const Daemon &daemon = fleet.daemon("i1");
    std::string output;
    CHECK(fleet.cli(daemon, {}) == 1);
    CHECK(fleet.cli(daemon, {"no", "such"}) == 1);
    CHECK(fleet.cli(daemon, {"rules", "apply"}) == 1);
    CHECK(fleet.cli(daemon, {"status", "--output=xml"}) == 1);
    CHECK(fleet.cli(daemon, {"rules", "apply", "/no/such/file"}, &output) == 2);
    CHECK(output.find("/no/such/file: cannot be read") != std::string::npos);
    CHECK(fleet.cli(daemon, {"status", "--operator_token=wrong"}) == 6);
    CHECK(fleet.cli(daemon, {"status", "--admin=127.0.0.1:1"}) == 7);
    CHECK(fleet.cli(daemon, {"config", "show", "77"}) == 8);
    CHECK(fleet.cli(daemon, {"config", "diff"}) == 1);
}

TEST_CASE("explain, status, endpoints and config show print the expected text or JSON", "[process]")
{
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1");
    fleet.configure();
    const Daemon &daemon = fleet.daemon("i1");
    const Reply reply = send(daemon.callers, "POST", "/v1/completions", completionBody("m", "x", 3),
                             Fleet::teamHeaders());
    REQUIRE(reply.status == 200);
    std::string output;
    CHECK(fleet.cli(daemon, {"explain", reply.headers.at("Balsamloft-Request-Id")}, &output) == 0);
    CHECK(output.find("attempt 1 to e00") != std::string::npos);
    CHECK(fleet.cli(daemon, {"explain", "other-1-0-1"}) == 8);
    CHECK(fleet.cli(daemon, {"explain", "nonsense"}) == 2);
    CHECK(fleet.cli(daemon, {"status", "--output=json"}, &output) == 0);
    CHECK(boost::json::parse(output).at("version") == 2);
    CHECK(fleet.cli(daemon, {"endpoints"}, &output) == 0);
    CHECK(output.find("e02") != std::string::npos);
    CHECK(fleet.cli(daemon, {"config", "show"}, &output) == 0);
    CHECK(boost::json::parse(output).at("rules").at("models").as_array().size() == 1);
}
