#include "../common/fleet.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft;
using namespace balsamloft::testsuite;

namespace {

constexpr auto Path = "/services/s/once";

void startFleet(Fleet &fleet)
{
    fleet.startService("s1");
    fleet.startDaemon("i1", "a");
    fleet.startDaemon("i2", "b");
    fleet.configure();
}

std::size_t executed(Fleet &fleet)
{
    return fleet.log("s1").at("calls").as_array().size();
}

Reply callWithKey(Fleet &fleet, const std::string &daemon, const std::string &key)
{
    return send(fleet.daemon(daemon).callers, "POST", Path, "x", Fleet::team(key));
}

} // namespace

TEST_CASE("one key through two instances at the same time runs once", "[process][claims]")
{
    // Each caller gets the answer or "duplicate_in_progress". Both instances
    // hold the same key at the same time; the table lets one claim through.
    Fleet fleet;
    startFleet(fleet);
    std::vector<Call> calls;
    for (int i = 0; i < 10; ++i) {
        for (const auto *daemon : {"i1", "i2"})
            calls.push_back(
                {fleet.daemon(daemon).callers, "x", Fleet::team("key-" + std::to_string(i)), Path});
    }
    const auto replies = sendAll(calls);
    CHECK(executed(fleet) == 10);
    for (int i = 0; i < 10; ++i) {
        const Reply &first = replies[i * 2];
        const Reply &second = replies[i * 2 + 1];
        CHECK((first.status == 200 || second.status == 200));
        for (const Reply *reply : {&first, &second}) {
            const bool answered = reply->status == 200;
            const bool duplicate =
                reply->errorCode() == "duplicate_in_progress" && reply->ran() == "unknown";
            CHECK((answered || duplicate));
        }
    }
}

TEST_CASE("the answer to a claim is lost", "[process][claims][failure]")
{
    // The caller sees an ordinary answer. The claim takes effect but the table
    // service's answer is lost; the instance reads the row, finds its own
    // nonce and goes on, rather than take itself for a duplicate.
    Fleet fleet;
    startFleet(fleet);
    fleet.faults(fleet.platform(), {{"lose_answers", 1}, {"lose_from", "claims"}});
    CHECK(callWithKey(fleet, "i1", "k").status == 200);
    const Reply repeat = callWithKey(fleet, "i2", "k");
    CHECK(repeat.status == 200);
    CHECK(repeat.headers.contains("Balsamloft-Replayed"));
    CHECK(executed(fleet) == 1);
}

TEST_CASE("an instance killed between claim and dispatch", "[process][claims][failure]")
{
    // The first caller's connection breaks. Its instance dies after the claim
    // took effect and before it could send anything. Nobody can tell that from
    // outside, so the repeat is told "unknown" and nothing runs.
    Fleet fleet;
    startFleet(fleet);
    fleet.faults(fleet.platform(), {{"hold_answers_ms", 60000}});
    std::thread killer([&] {
        waitUntil([&] {
            return send(fleet.platform(), "GET", "/control/stats").json().at("claims") == 1;
        });
        fleet.daemon("i1").process->signal(SIGKILL);
    });
    const Reply first = callWithKey(fleet, "i1", "k");
    killer.join();
    CHECK(first.status == 0);
    fleet.faults(fleet.platform(), {{"hold_answers_ms", 0}});
    const Reply repeat = callWithKey(fleet, "i2", "k");
    CHECK(repeat.errorCode() == "duplicate_in_progress");
    CHECK(repeat.ran() == "unknown");
    CHECK(executed(fleet) == 0);
}

TEST_CASE("an instance frozen between claim and dispatch wakes up late",
          "[process][claims][failure]")
{
    // The caller is told that its deadline has passed and that nothing ran.
    // The instance is paused after the claim was sent and wakes up after the
    // deadline; it looks at the clock again before any byte leaves.
    Fleet fleet;
    startFleet(fleet);
    fleet.faults(fleet.platform(), {{"hold_answers_ms", 300}});
    std::thread freezer([&] {
        waitUntil([&] {
            return send(fleet.platform(), "GET", "/control/stats").json().at("claims") == 1;
        });
        fleet.daemon("i1").process->signal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        fleet.daemon("i1").process->signal(SIGCONT);
    });
    Headers headers = Fleet::team("k");
    headers["Balsamloft-Deadline-Ms"] = "1000";
    const Reply reply = send(fleet.daemon("i1").callers, "POST", Path, "x", headers);
    freezer.join();
    CHECK(reply.ran() == "no");
    CHECK(executed(fleet) == 0);
    fleet.faults(fleet.platform(), {{"hold_answers_ms", 0}});
    // "Not run" was true, and the key is free again.
    CHECK(waitUntil([&] { return callWithKey(fleet, "i2", "k").status == 200; }));
    CHECK(executed(fleet) == 1);
}

TEST_CASE("an answer lost after a non-idempotent call was executed", "[process][claims][failure]")
{
    // The caller is told "unknown". The service executes the call and drops
    // the connection; sending it again would execute it twice.
    Fleet fleet;
    startFleet(fleet);
    fleet.faults(fleet.address("s1"), {{"drop_answers", 1}});
    const Reply first = callWithKey(fleet, "i1", "k");
    CHECK(first.errorCode() == "endpoint_failed");
    CHECK(first.ran() == "unknown");
    const Reply repeat = callWithKey(fleet, "i2", "k");
    CHECK(repeat.errorCode() == "duplicate_in_progress");
    CHECK(executed(fleet) == 1);
}

TEST_CASE("the platform is down for longer than any deadline", "[process][claims][failure]")
{
    // Calls without a key go on. Keyed calls are refused as not run, and the
    // configuration stays in force. Afterwards the same key works.
    Fleet fleet;
    startFleet(fleet);
    fleet.faults(fleet.platform(), {{"down", true}});
    Headers headers = Fleet::team("k");
    headers["Balsamloft-Deadline-Ms"] = "1500";
    const Reply refused = send(fleet.daemon("i1").callers, "POST", Path, "x", headers);
    CHECK(refused.errorCode() == "claim_unavailable");
    CHECK(refused.ran() == "no");
    CHECK(refused.headers.contains("Retry-After"));
    CHECK(executed(fleet) == 0);
    CHECK(send(fleet.daemon("i1").callers, "POST", Path, "x", Fleet::team()).status == 200);
    CHECK(executed(fleet) == 1);
    fleet.faults(fleet.platform(), {{"down", false}});
    CHECK(waitUntil([&] { return callWithKey(fleet, "i1", "k").status == 200; }));
    CHECK(executed(fleet) == 2);
}

TEST_CASE("a key used again with other content is refused", "[process][claims]")
{
    Fleet fleet;
    startFleet(fleet);
    CHECK(callWithKey(fleet, "i1", "k").status == 200);
    const Reply other = send(fleet.daemon("i2").callers, "POST", Path, "other", Fleet::team("k"));
    CHECK(other.status == 422);
    CHECK(other.errorCode() == "key_reused");
    CHECK(executed(fleet) == 1);
}
