// Queues, limits of teams, retry budgets, and the division of limits between instances.

#include <balsamloft/admission/fairqueue.h>
#include <balsamloft/admission/retrybudget.h>
#include <balsamloft/admission/teamlimits.h>
#include <balsamloft/membership.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace balsamloft;

namespace {

Time at(double seconds)
{
    return Time(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(seconds * 1e6));
}

QueueItem item(RequestId id, const std::string &team, double share, double deadline,
               Priority priority = Priority::Normal)
{
    return {id, team, share, static_cast<int>(priority), at(deadline), 10};
}

std::vector<RequestId> drain(FairQueue &queue)
{
    std::vector<RequestId> order;
    while (const QueueItem *next = queue.front()) {
        order.push_back(next->request);
        queue.pop();
    }
    return order;
}

} // namespace

TEST_CASE("requests are ordered by priority class, then resumed ones, then deadline in a team",
          "[queue]")
{
    FairQueue queue;
    queue.push(item(1, "a", 1, 5, Priority::Batch));
    queue.push(item(2, "a", 1, 9));
    queue.push(item(3, "a", 1, 4));
    queue.pushResumed(item(4, "a", 1, 99));
    queue.push(item(5, "a", 1, 50, Priority::Alert));
    CHECK(drain(queue) == std::vector<RequestId> {5, 4, 3, 2, 1});
}

TEST_CASE("teams are served in proportion to their shares", "[queue]")
{
    FairQueue queue;
    for (RequestId i = 0; i < 400; ++i)
        queue.push(item(i, i % 2 == 0 ? "large" : "small", i % 2 == 0 ? 0.3 : 0.1, 100));
    int large = 0;
    for (int i = 0; i < 100; ++i) {
        large += queue.front()->team == "large" ? 1 : 0;
        queue.pop();
    }
    CHECK(large == 75);
}

TEST_CASE("an idle team does not save up its share", "[queue]")
{
    FairQueue queue;
    for (RequestId i = 0; i < 100; ++i)
        queue.push(item(i, "busy", 0.5, 100));
    for (int i = 0; i < 50; ++i)
        queue.pop();
    for (RequestId i = 100; i < 200; ++i)
        queue.push(item(i, "late", 0.5, 100));
    int late = 0;
    for (int i = 0; i < 40; ++i) {
        late += queue.front()->team == "late" ? 1 : 0;
        queue.pop();
    }
    CHECK(late == 20);
}

TEST_CASE("a removed request leaves the queue and no longer counts as cost", "[queue]")
{
    FairQueue queue;
    queue.push(item(1, "a", 0.5, 5));
    queue.push(item(2, "b", 0.5, 5));
    CHECK(queue.costAhead(static_cast<int>(Priority::Normal), "a", 0.5) == Approx(20));
    CHECK(queue.remove(1));
    CHECK_FALSE(queue.remove(1));
    CHECK(queue.size() == 1);
    CHECK(queue.costAhead(static_cast<int>(Priority::Normal), "a", 0.5) == Approx(0));
    CHECK(drain(queue) == std::vector<RequestId> {2});
}

TEST_CASE("a rate limit admits its rate and returns the time to the next request", "[limits]")
{
    TeamLimits limits;
    Team team;
    team.name = "t";
    team.requestsPerSecond = 10;
    limits.setDefaultFraction(0.5);
    int admitted = 0;
    for (int i = 0; i < 1000; ++i)
        admitted +=
            limits.admit(team, at(i * 0.01)) == TeamLimits::AdmissionResult::Admitted ? 1 : 0;
    CHECK(admitted == Approx(55).margin(2)); // 10 s at 5/s and a burst of one second
    int denials = 0;
    while (limits.admit(team, at(10)) == TeamLimits::AdmissionResult::Admitted && denials < 20)
        ++denials;
    const Duration wait = limits.retryAfter(team, at(10));
    CHECK(wait > Duration::zero());
    CHECK(wait <= Duration(200'000));
}

TEST_CASE("a concurrency limit counts running requests", "[limits]")
{
    TeamLimits limits;
    Team team;
    team.name = "t";
    team.maxConcurrent = 4;
    limits.setDefaultFraction(0.5);
    CHECK(limits.admit(team, at(0)) == TeamLimits::AdmissionResult::Admitted);
    CHECK(limits.admit(team, at(0)) == TeamLimits::AdmissionResult::Admitted);
    CHECK(limits.admit(team, at(0)) == TeamLimits::AdmissionResult::ConcurrencyExceeded);
    limits.finished("t");
    CHECK(limits.admit(team, at(0)) == TeamLimits::AdmissionResult::Admitted);
    CHECK(limits.running("t") == 2);
}

TEST_CASE("limits are divided by demand and the parts sum to the full limit", "[limits]")
{
    // Three instances have received each other's demand: 30, 10 and none.
    const double demands[] = {30, 10, 0};
    double sum = 0;
    for (int self = 0; self < 3; ++self) {
        Membership membership({.name = "i" + std::to_string(self), .address = "10.0.0.9:1"}, 1);
        if (demands[self] > 0)
            membership.setDemand({{"team/t", demands[self]}});
        MembershipActions actions;
        for (int other = 0; other < 3; ++other) {
            if (other == self)
                continue;
            PeerMessage ping;
            ping.from = {"i" + std::to_string(other), "d", "10.0.0.1:1", 1, MemberState::Alive};
            ping.demand = {{"team/t", demands[other]}};
            membership.received(ping, at(0), actions);
        }
        const auto fractions = membership.limitFractions(at(1));
        const double part = fractions.contains("t") ? fractions.at("t") : 0.05 / 40.15;
        CHECK(part == Approx((demands[self] + 0.05) / 40.15));
        sum += part;
    }
    CHECK(sum == Approx(1));
}

TEST_CASE("in a partition the parts of each side sum to the full limit", "[limits][failure]")
{
    // Two instances of six consider the other four dead, so the parts of these two sum to
    // the full limit. A team gets at most its limit on each side of the partition.
    Membership membership({.name = "a", .address = "10.0.0.9:1"}, 1);
    membership.setDemand({{"team/t", 5}});
    MembershipActions actions;
    for (int other = 0; other < 5; ++other) {
        PeerMessage ping;
        ping.from = {"i" + std::to_string(other), "d", "10.0.0.1:1", 1, MemberState::Alive};
        ping.demand = {{"team/t", 5}};
        membership.received(ping, at(0), actions);
    }
    CHECK(membership.limitFractions(at(1)).at("t") == Approx(1.0 / 6));
    PeerMessage update;
    update.from = {"i0", "d", "10.0.0.1:1", 1, MemberState::Alive};
    for (int other = 1; other < 5; ++other)
        update.members.push_back({"i" + std::to_string(other), "d", "x", 1, MemberState::Dead});
    membership.received(update, at(2), actions);
    CHECK(membership.limitFractions(at(3)).at("t") == Approx(1.0 / 2));
    CHECK(membership.defaultFraction() == Approx(1.0 / 2));
}

TEST_CASE("of 40 instances 6 contend for the lease, and each reads the list every 50 s", "[limits]")
{
    std::size_t contenders = 0;
    for (int self = 0; self < 40; ++self) {
        const std::string domain = self % 2 == 0 ? "even" : "odd";
        Membership membership({.name = "i" + std::to_string(100 + self), .domain = domain}, 1);
        MembershipActions actions;
        PeerMessage update;
        update.from = {"i199", "even", "x", 1, MemberState::Dead};
        for (int other = 0; other < 40; ++other)
            update.members.push_back({"i" + std::to_string(100 + other),
                                      other % 2 == 0 ? "even" : "odd", "x", 1, MemberState::Alive});
        membership.received(update, at(0), actions);
        contenders += membership.contendsForLease() ? 1 : 0;
        CHECK(membership.listInterval() == std::chrono::seconds(50));
    }
    CHECK(contenders == 6);
}

TEST_CASE("a retry budget grants retries in proportion to requests", "[limits]")
{
    RetryBudget budget({.perRequest = 0.1, .perSecond = 0, .maxBalance = 5});
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.requestStarted();
        granted += budget.withdraw(at(0)) ? 1 : 0;
    }
    CHECK(granted == Approx(105).margin(1));
}

// Requests fail for a minute. In any 10 s the number of retries is at most the granted share of the
// requests plus the slack. The slack is available again in each window; an empty token bucket would
// refuse the later retries.
TEST_CASE("retries are bounded in any time span of the window's length", "[limits]")
{
    RetryWindow budget({.window = std::chrono::seconds(10), .perRequest = 0.1, .slack = 20});
    std::vector<double> granted;
    for (int tenths = 0; tenths < 600; ++tenths) {
        budget.requestStarted(at(tenths / 10.0));
        if (budget.withdraw(at(tenths / 10.0)))
            granted.push_back(tenths / 10.0);
    }
    for (const double from : granted) {
        const auto inSpan = std::count_if(granted.begin(), granted.end(), [&](double each) {
            return each >= from && each < from + 10;
        });
        CHECK(inSpan <= 20 + 10);
    }
    CHECK(granted.size() >= 6 * 20);
}

// A stream waits for a retry while nothing else uses the window. Guards against retries that
// still count after they have left the window, so that the stream would wait forever.
TEST_CASE("canWithdraw() is true again once enough retries have left the window", "[limits]")
{
    RetryWindow budget({.perRequest = 0, .slack = 2});
    CHECK(budget.withdraw(at(0)));
    CHECK(budget.withdraw(at(1)));
    CHECK_FALSE(budget.canWithdraw(at(2)));
    CHECK_FALSE(budget.canWithdraw(at(10)));
    CHECK(budget.canWithdraw(at(10.6)));
    CHECK(budget.withdraw(at(10.6)));
}

TEST_CASE("retries spent before the start are subtracted in the first window", "[limits]")
{
    RetryWindow budget({.perRequest = 0, .slack = 20, .spentBefore = 16});
    const auto granted = [&](double seconds) {
        int count = 0;
        while (budget.withdraw(at(seconds)))
            ++count;
        return count;
    };
    CHECK(granted(1) == 4);
    CHECK(granted(12) == 20);
}
