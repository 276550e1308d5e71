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

std::size_t executedCalls(Fleet &fleet)
{
    return fleet.log("s1").at("calls").as_array().size();
}

Reply callWithKey(Fleet &fleet, const std::string &daemon, const std::string &key)
{
    return send(fleet.daemon(daemon).callers, "POST", Path, "x", Fleet::teamHeaders(key));
}

} // namespace

TEST_CASE("concurrent calls with one key at two instances are executed once", "[process][claims]")
{
    // The table accepts one of two concurrent claims for a key. Each caller gets the answer or
    // "duplicate_in_progress".
    Fleet fleet;
    startFleet(fleet);
    std::vector<Call> calls;
    for (int i = 0; i < 10; ++i) {
        for (const auto *daemon : {"i1", "i2"})
            calls.push_back({fleet.daemon(daemon).callers, "x",
                             Fleet::teamHeaders("key-" + std::to_string(i)), Path});
    }
    const auto replies = sendAll(calls);
    CHECK(executedCalls(fleet) == 10);
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

TEST_CASE("a call succeeds if the answer to its claim is lost", "[process][claims][failure]")
{
    // The claim takes effect, but the platform's answer is lost. The instance must read the row and
    // recognize the nonce that it wrote. Otherwise it would refuse this call as a duplicate.
    Fleet fleet;
    startFleet(fleet);
    fleet.injectFaults(fleet.platform(), {{"lose_answers", 1}, {"lose_from", "claims"}});
    CHECK(callWithKey(fleet, "i1", "k").status == 200);
    const Reply retry = callWithKey(fleet, "i2", "k");
    CHECK(retry.status == 200);
    CHECK(retry.headers.contains("Balsamloft-Replayed"));
    CHECK(executedCalls(fleet) == 1);
}

TEST_CASE("a key claimed by a killed instance is refused as in progress",
          "[process][claims][failure]")
{
    // The instance is killed after its claim took effect and before it sent the call. Other
    // instances cannot distinguish this case from an executed call, so the retry is answered with
    // "unknown" and not executed.
    Fleet fleet;
    startFleet(fleet);
    fleet.injectFaults(fleet.platform(), {{"hold_answers_ms", 60000}});
    std::thread killThread([&] {
        waitUntil([&] {
            return send(fleet.platform(), "GET", "/control/stats").json().at("claims") == 1;
        });
        fleet.daemon("i1").process->signal(SIGKILL);
    });
    const Reply first = callWithKey(fleet, "i1", "k");
    killThread.join();
    CHECK(first.status == 0);
    fleet.injectFaults(fleet.platform(), {{"hold_answers_ms", 0}});
    const Reply retry = callWithKey(fleet, "i2", "k");
    CHECK(retry.errorCode() == "duplicate_in_progress");
    CHECK(retry.ran() == "unknown");
    CHECK(executedCalls(fleet) == 0);
}

TEST_CASE("a call is not executed if its instance is paused past the deadline after the claim",
          "[process][claims][failure]")
{
    // The instance is paused after it sent the claim and resumes after the deadline. It must check
    // the deadline again before it sends the call, and report that nothing was executed.
    Fleet fleet;
    startFleet(fleet);
    fleet.injectFaults(fleet.platform(), {{"hold_answers_ms", 300}});
    std::thread pauseThread([&] {
        waitUntil([&] {
            return send(fleet.platform(), "GET", "/control/stats").json().at("claims") == 1;
        });
        fleet.daemon("i1").process->signal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        fleet.daemon("i1").process->signal(SIGCONT);
    });
    Headers headers = Fleet::teamHeaders("k");
    headers["Balsamloft-Deadline-Ms"] = "1000";
    const Reply reply = send(fleet.daemon("i1").callers, "POST", Path, "x", headers);
    pauseThread.join();
    CHECK(reply.ran() == "no");
    CHECK(executedCalls(fleet) == 0);
    fleet.injectFaults(fleet.platform(), {{"hold_answers_ms", 0}});
    // The claim was released, so the key can be used again.
    CHECK(waitUntil([&] { return callWithKey(fleet, "i2", "k").status == 200; }));
    CHECK(executedCalls(fleet) == 1);
}

TEST_CASE("a non-idempotent call whose answer is lost is not retried", "[process][claims][failure]")
{
    // The service executes the call and closes the connection without an answer. A retry would
    // execute the call twice, so the caller gets "unknown".
    Fleet fleet;
    startFleet(fleet);
    fleet.injectFaults(fleet.address("s1"), {{"drop_answers", 1}});
    const Reply first = callWithKey(fleet, "i1", "k");
    CHECK(first.errorCode() == "endpoint_failed");
    CHECK(first.ran() == "unknown");
    const Reply retry = callWithKey(fleet, "i2", "k");
    CHECK(retry.errorCode() == "duplicate_in_progress");
    CHECK(executedCalls(fleet) == 1);
}

TEST_CASE("calls with a key are refused during a platform outage, calls without one are executed",
          "[process][claims][failure]")
{
    // Without the platform an instance cannot claim a key. A call with a key is therefore refused
    // at its deadline and reported as not executed. Calls without a key are still executed, and
    // the same key works after the outage.
    Fleet fleet;
    startFleet(fleet);
    fleet.injectFaults(fleet.platform(), {{"down", true}});
    Headers headers = Fleet::teamHeaders("k");
    headers["Balsamloft-Deadline-Ms"] = "1500";
    const Reply refused = send(fleet.daemon("i1").callers, "POST", Path, "x", headers);
    CHECK(refused.errorCode() == "claim_unavailable");
    CHECK(refused.ran() == "no");
    CHECK(refused.headers.contains("Retry-After"));
    CHECK(executedCalls(fleet) == 0);
    CHECK(send(fleet.daemon("i1").callers, "POST", Path, "x", Fleet::teamHeaders()).status == 200);
    CHECK(executedCalls(fleet) == 1);
    fleet.injectFaults(fleet.platform(), {{"down", false}});
    CHECK(waitUntil([&] { return callWithKey(fleet, "i1", "k").status == 200; }));
    CHECK(executedCalls(fleet) == 2);
}

TEST_CASE("a key reused with different content is refused", "[process][claims]")
{
    Fleet fleet;
    startFleet(fleet);
    CHECK(callWithKey(fleet, "i1", "k").status == 200);
    const Reply other =
        send(fleet.daemon("i2").callers, "POST", Path, "other", Fleet::teamHeaders("k"));
    CHECK(other.status == 422);
    CHECK(other.errorCode() == "key_reused");
    CHECK(executedCalls(fleet) == 1);
}
