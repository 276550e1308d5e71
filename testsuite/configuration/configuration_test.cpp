#include "../common/fleet.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft;
using namespace balsamloft::testsuite;
namespace json = boost::json;

namespace {

json::object withTeam(json::object rules, const std::string &name, double share)
{
    rules["teams"].as_array().push_back({{"name", name},
                                         {"token_sha256", sha256Hex(name)},
                                         {"share", share},
                                         {"max_priority", "normal"}});
    return rules;
}

/// Whether \a daemon accepts the token of team \a name.
bool acceptsTeam(const Daemon &daemon, const std::string &name)
{
    const Reply reply =
        send(daemon.callers, "GET", "/services/nope/x", {}, {{"Authorization", "Bearer " + name}});
    return reply.status != 401;
}

std::uint64_t version(const Daemon &daemon)
{
    const Reply reply = send(daemon.admin, "GET", "/admin/v1/status", {},
                             {{"Authorization", std::string("Bearer ") + Fleet::OperatorToken}});
    return reply.json().at("version").to_number<std::uint64_t>();
}

} // namespace

TEST_CASE("concurrent changes conflict only if they edit the same entry", "[process][failure]")
{
    // Two operators change version 2 through different instances. Changes to different entries both
    // take effect. For two changes to the same entry, the second operator gets a conflict that
    // names the entry and the author of the first change.
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1", "a");
    fleet.startDaemon("i2", "b");
    fleet.configure();
    const Daemon &first = fleet.daemon("i1");
    const Daemon &second = fleet.daemon("i2");
    const auto rules = fleet.rules();
    const auto apply = [&](const Daemon &daemon, const json::object &document,
                           const std::string &name, std::string *output = nullptr) {
        return fleet.cli(
            daemon, {"rules", "apply", fleet.file(name, document), "--base=2", "--author=" + name},
            output);
    };
    CHECK(apply(first, withTeam(rules, "x", 0.1), "one.json") == 0);
    CHECK(apply(second, withTeam(rules, "y", 0.1), "two.json") == 0);
    std::string output;
    CHECK(apply(second, withTeam(rules, "x", 0.2), "three.json", &output) == 3);
    CHECK(output.find("conflicting change: rules/teams/x") != std::string::npos);
    CHECK(output.find("one.json") != std::string::npos);
    for (const auto *daemon : {"i1", "i2"}) {
        REQUIRE(fleet.waitForVersion(fleet.daemon(daemon), 4));
        CHECK(waitUntil([&] { return acceptsTeam(fleet.daemon(daemon), "x"); }));
        CHECK(waitUntil([&] { return acceptsTeam(fleet.daemon(daemon), "y"); }));
    }
}

TEST_CASE("a change is committed once if the answer to its commit is lost", "[process][failure]")
{
    // The commit takes effect, but its answer is lost. The instance reads the configuration chain,
    // finds the id of the change and does not commit it again.
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1");
    fleet.configure();
    fleet.injectFaults(fleet.platform(), {{"lose_answers", 1}, {"lose_from", "config"}});
    std::string output;
    const auto file = fleet.file("r.json", withTeam(fleet.rules(), "x", 0.1));
    CHECK(fleet.cli(fleet.daemon("i1"), {"rules", "apply", file, "--change_id=abc"}, &output) == 0);
    CHECK(output.find("accepted: version 3") != std::string::npos);
    CHECK(version(fleet.daemon("i1")) == 3);
    // A retry with the same id still returns version 3.
    CHECK(fleet.cli(fleet.daemon("i1"), {"rules", "apply", file, "--change_id=abc"}, &output) == 0);
    CHECK(output.find("accepted: version 3") != std::string::npos);
}

TEST_CASE("a change during a platform outage is refused and has no effect", "[process][failure]")
{
    // During the outage the change must not be reported as accepted, and the current configuration
    // stays in use. The same change succeeds after the outage.
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1");
    fleet.configure();
    fleet.injectFaults(fleet.platform(), {{"down", true}});
    const auto file = fleet.file("r.json", withTeam(fleet.rules(), "x", 0.1));
    CHECK(fleet.cli(fleet.daemon("i1"), {"rules", "apply", file}) == 4);
    CHECK(version(fleet.daemon("i1")) == 2);
    CHECK(send(fleet.daemon("i1").callers, "POST", "/v1/completions", completionBody("m", "x", 3),
               Fleet::teamHeaders())
              .status
          == 200);
    fleet.injectFaults(fleet.platform(), {{"down", false}});
    CHECK(waitUntil([&] { return fleet.cli(fleet.daemon("i1"), {"rules", "apply", file}) == 0; }));
}

TEST_CASE("an instance without a connection to the platform gets changes from its peers",
          "[process][failure]")
{
    // Instance i1 accepts a change. Instance i2 cannot reach the platform: it receives the version
    // number by gossip and fetches the configuration from i1.
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1", "a");
    // Nothing listens at the platform address that i2 is given.
    fleet.startDaemon("i2", "b", {"--platform=127.0.0.1:1"});
    fleet.configure();
    const auto file = fleet.file("r.json", withTeam(fleet.rules(), "x", 0.1));
    REQUIRE(fleet.cli(fleet.daemon("i1"), {"rules", "apply", file}) == 0);
    CHECK(fleet.waitForVersion(fleet.daemon("i2"), 3));
    CHECK(waitUntil([&] { return acceptsTeam(fleet.daemon("i2"), "x"); }));
}

TEST_CASE("new instances get the configuration from another domain during a platform outage",
          "[process][failure]")
{
    // All instances of a domain are replaced during the outage. The new instances become ready
    // once they have fetched the configuration from the other domain. The version that a replaced
    // instance committed is therefore not lost.
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1", "a");
    fleet.startDaemon("i2", "b");
    fleet.configure();
    const auto file = fleet.file("r.json", withTeam(fleet.rules(), "x", 0.1));
    REQUIRE(fleet.cli(fleet.daemon("i2"), {"rules", "apply", file}) == 0);
    REQUIRE(fleet.waitForVersion(fleet.daemon("i1"), 3));
    fleet.injectFaults(fleet.platform(), {{"down", true}});
    fleet.daemon("i2").process->signal(SIGKILL);
    fleet.stopDaemon("i2");
    fleet.startDaemon("i3", "b");
    fleet.startDaemon("i4", "b");
    for (const auto *daemon : {"i3", "i4"}) {
        CHECK(fleet.waitForVersion(fleet.daemon(daemon), 3));
        CHECK(send(fleet.daemon(daemon).callers, "POST", "/v1/completions",
                   completionBody("m", "x", 3), Fleet::teamHeaders())
                  .status
              == 200);
    }
}

TEST_CASE("a new instance without platform and peers is not ready", "[process][failure]")
{
    // The instance has no configuration and reports that it is not ready, so a load balancer sends
    // it no requests. A request that arrives anyway is refused as not executed.
    Fleet fleet;
    fleet.injectFaults(fleet.platform(), {{"down", true}});
    fleet.startDaemon("i1");
    CHECK(send(fleet.daemon("i1").callers, "GET", "/readyz").status == 503);
    const Reply reply = send(fleet.daemon("i1").callers, "POST", "/v1/completions",
                             completionBody("m", "x", 3), Fleet::teamHeaders());
    CHECK(reply.errorCode() == "not_ready");
    CHECK(reply.ran() == "no");
}

TEST_CASE("an invalid document is refused with location and reason and has no effect", "[process]")
{
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1");
    fleet.configure();
    auto inventory = fleet.inventory();
    inventory["endpoints"].as_array()[0].as_object()["domain"] = "nowhere";
    std::string output;
    CHECK(fleet.cli(fleet.daemon("i1"), {"inventory", "apply", fleet.file("i.json", inventory)},
                    &output)
          == 2);
    CHECK(output.find("i.json: inventory/endpoints/e00.domain: nowhere: must be one of")
          != std::string::npos);
    CHECK(version(fleet.daemon("i1")) == 2);
}

TEST_CASE("dry run, diff, rollback and audit show and apply the expected changes", "[process]")
{
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1");
    fleet.configure();
    const Daemon &daemon = fleet.daemon("i1");
    const auto file = fleet.file("r.json", withTeam(fleet.rules(), "x", 0.1));
    std::string output;
    CHECK(fleet.cli(daemon, {"rules", "apply", file, "--dry_run"}, &output) == 0);
    CHECK(output.find("+ rules/teams/x") != std::string::npos);
    CHECK(version(daemon) == 2);
    CHECK(fleet.cli(daemon, {"rules", "apply", file, "--author=ann"}) == 0);
    CHECK(fleet.cli(daemon, {"config", "diff", "--from=2"}, &output) == 0);
    CHECK(output.find("+ rules/teams/x") != std::string::npos);
    CHECK(fleet.cli(daemon, {"config", "rollback", "2"}, &output) == 0);
    CHECK(output.find("accepted: version 4") != std::string::npos);
    CHECK(waitUntil([&] { return !acceptsTeam(daemon, "x"); }));
    CHECK(fleet.cli(daemon, {"audit"}, &output) == 0);
    CHECK(output.find("ann") != std::string::npos);
    CHECK(fleet.cli(daemon, {"config", "rollback", "99"}) == 2);
}
