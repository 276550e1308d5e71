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

/// Whether the instance knows the token of team \a name.
bool knowsTeam(const Daemon &daemon, const std::string &name)
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

TEST_CASE("two operators race through different instances", "[process][failure]")
{
    // Both start from version 2. Changes of different entries both take
    // effect; of two changes of the same entry the second operator gets a
    // conflict and is shown what the first has done.
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
        CHECK(waitUntil([&] { return knowsTeam(fleet.daemon(daemon), "x"); }));
        CHECK(waitUntil([&] { return knowsTeam(fleet.daemon(daemon), "y"); }));
    }
}

TEST_CASE("the answer to an accepted change is lost", "[process][failure]")
{
    // The operator is told "accepted", once. The commit takes effect and its
    // answer is lost; the instance reads the chain, finds the change's id and
    // does not commit it again.
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1");
    fleet.configure();
    fleet.faults(fleet.platform(), {{"lose_answers", 1}, {"lose_from", "config"}});
    std::string output;
    const auto file = fleet.file("r.json", withTeam(fleet.rules(), "x", 0.1));
    CHECK(fleet.cli(fleet.daemon("i1"), {"rules", "apply", file, "--change_id=abc"}, &output) == 0);
    CHECK(output.find("accepted: version 3") != std::string::npos);
    CHECK(version(fleet.daemon("i1")) == 3);
    // Asked again with the same id, it is still version 3.
    CHECK(fleet.cli(fleet.daemon("i1"), {"rules", "apply", file, "--change_id=abc"}, &output) == 0);
    CHECK(output.find("accepted: version 3") != std::string::npos);
}

TEST_CASE("a change while the platform is down is refused and changes nothing",
          "[process][failure]")
{
    // The operator is told so; acceptance is never claimed. What is in force
    // stays, and the same change works afterwards.
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1");
    fleet.configure();
    fleet.faults(fleet.platform(), {{"down", true}});
    const auto file = fleet.file("r.json", withTeam(fleet.rules(), "x", 0.1));
    CHECK(fleet.cli(fleet.daemon("i1"), {"rules", "apply", file}) == 4);
    CHECK(version(fleet.daemon("i1")) == 2);
    CHECK(send(fleet.daemon("i1").callers, "POST", "/v1/completions", completionBody("m", "x", 3),
               Fleet::team())
              .status
          == 200);
    fleet.faults(fleet.platform(), {{"down", false}});
    CHECK(waitUntil([&] { return fleet.cli(fleet.daemon("i1"), {"rules", "apply", file}) == 0; }));
}

TEST_CASE("an instance cut off from the platform follows its peers", "[process][failure]")
{
    // A change is accepted elsewhere while one instance does not reach the
    // platform. It hears of the version by gossip and fetches it from a peer.
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1", "a");
    // Its platform is an address where nobody listens.
    fleet.startDaemon("i2", "b", {"--platform=127.0.0.1:1"});
    fleet.configure();
    const auto file = fleet.file("r.json", withTeam(fleet.rules(), "x", 0.1));
    REQUIRE(fleet.cli(fleet.daemon("i1"), {"rules", "apply", file}) == 0);
    CHECK(fleet.waitForVersion(fleet.daemon("i2"), 3));
    CHECK(waitUntil([&] { return knowsTeam(fleet.daemon("i2"), "x"); }));
}

TEST_CASE("all instances of a domain are replaced while the platform is down", "[process][failure]")
{
    // Callers of the domain are served again without the platform: the new
    // instances are not ready before they hold a configuration, and get it
    // from the other domain's. The old ones' version is not lost.
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1", "a");
    fleet.startDaemon("i2", "b");
    fleet.configure();
    const auto file = fleet.file("r.json", withTeam(fleet.rules(), "x", 0.1));
    REQUIRE(fleet.cli(fleet.daemon("i2"), {"rules", "apply", file}) == 0);
    REQUIRE(fleet.waitForVersion(fleet.daemon("i1"), 3));
    fleet.faults(fleet.platform(), {{"down", true}});
    fleet.daemon("i2").process->signal(SIGKILL);
    fleet.stopDaemon("i2");
    fleet.startDaemon("i3", "b");
    fleet.startDaemon("i4", "b");
    for (const auto *daemon : {"i3", "i4"}) {
        CHECK(fleet.waitForVersion(fleet.daemon(daemon), 3));
        CHECK(send(fleet.daemon(daemon).callers, "POST", "/v1/completions",
                   completionBody("m", "x", 3), Fleet::team())
                  .status
              == 200);
    }
}

TEST_CASE("a fresh instance without platform and peers is not ready", "[process][failure]")
{
    // The balancer sends it nothing; who comes anyway is told "not run".
    Fleet fleet;
    fleet.faults(fleet.platform(), {{"down", true}});
    fleet.startDaemon("i1");
    CHECK(send(fleet.daemon("i1").callers, "GET", "/readyz").status == 503);
    const Reply reply = send(fleet.daemon("i1").callers, "POST", "/v1/completions",
                             completionBody("m", "x", 3), Fleet::team());
    CHECK(reply.errorCode() == "not_ready");
    CHECK(reply.ran() == "no");
}

TEST_CASE("a bad document is refused with place and reason, and nothing changes", "[process]")
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

TEST_CASE("dry run, diff, history and rollback", "[process]")
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
    CHECK(waitUntil([&] { return !knowsTeam(daemon, "x"); }));
    CHECK(fleet.cli(daemon, {"audit"}, &output) == 0);
    CHECK(output.find("ann") != std::string::npos);
    CHECK(fleet.cli(daemon, {"config", "rollback", "99"}) == 2);
}
