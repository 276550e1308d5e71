// Queues, limits, budgets, and the parts that instances hold of limits.

#include <balsamloft/fairqueue.h>
#include <balsamloft/membership.h>
#include <balsamloft/retrybudget.h>
#include <balsamloft/teamlimits.h>

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
    return {id, team, share, priority, at(deadline), 10};
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

TEST_CASE("classes are strict, resumed requests first, deadlines within a team", "[queue]")
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

TEST_CASE("what is removed is gone, and costs nothing", "[queue]")
{
    FairQueue queue;
    queue.push(item(1, "a", 0.5, 5));
    queue.push(item(2, "b", 0.5, 5));
    CHECK(queue.costAhead(Priority::Normal, "a", 0.5) == Approx(20));
    CHECK(queue.remove(1));
    CHECK_FALSE(queue.remove(1));
    CHECK(queue.size() == 1);
    CHECK(queue.costAhead(Priority::Normal, "a", 0.5) == Approx(0));
    CHECK(drain(queue) == std::vector<RequestId> {2});
}

TEST_CASE("a rate limit admits its rate, and says when to come back", "[limits]")
{
    TeamLimits limits;
    Team team;
    team.name = "t";
    team.requestsPerSecond = 10;
    limits.setDefaultFraction(0.5);
    int admitted = 0;
    for (int i = 0; i < 1000; ++i)
        admitted += limits.admit(team, at(i * 0.01)) == TeamLimits::Verdict::Admitted ? 1 : 0;
    CHECK(admitted == Approx(55).margin(2)); // 10 s at 5/s, and a burst of one second
    int denials = 0;
    while (limits.admit(team, at(10)) == TeamLimits::Verdict::Admitted && denials < 20)
        ++denials;
    const Duration wait = limits.retryAfter(team, at(10));
    CHECK(wait > Duration::zero());
    CHECK(wait <= Duration(200'000));
}

TEST_CASE("a concurrency limit counts what is running", "[limits]")
{
    TeamLimits limits;
    Team team;
    team.name = "t";
    team.maxConcurrent = 4;
    limits.setDefaultFraction(0.5);
    CHECK(limits.admit(team, at(0)) == TeamLimits::Verdict::Admitted);
    CHECK(limits.admit(team, at(0)) == TeamLimits::Verdict::Admitted);
    CHECK(limits.admit(team, at(0)) == TeamLimits::Verdict::ConcurrencyExceeded);
    limits.finished("t");
    CHECK(limits.admit(team, at(0)) == TeamLimits::Verdict::Admitted);
    CHECK(limits.running("t") == 2);
}

TEST_CASE("parts of a limit follow demand and sum to the whole", "[limits]")
{
    // Three instances that have heard each other's demand: 30, 10 and none.
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

TEST_CASE("in a partition each side holds the whole limit, and no more", "[limits][failure]")
{
    // A team gets at most its limit from each side. Two instances of six see
    // the other four as dead: their parts sum to the limit on their side.
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
    PeerMessage news;
    news.from = {"i0", "d", "10.0.0.1:1", 1, MemberState::Alive};
    for (int other = 1; other < 5; ++other)
        news.members.push_back({"i" + std::to_string(other), "d", "x", 1, MemberState::Dead});
    membership.received(news, at(2), actions);
    CHECK(membership.limitFractions(at(3)).at("t") == Approx(1.0 / 2));
    CHECK(membership.defaultFraction() == Approx(1.0 / 2));
}

TEST_CASE("few instances contend for a lease, and reading the list is shared", "[limits]")
{
    std::size_t contenders = 0;
    for (int self = 0; self < 40; ++self) {
        const std::string domain = self % 2 == 0 ? "even" : "odd";
        Membership membership({.name = "i" + std::to_string(100 + self), .domain = domain}, 1);
        MembershipActions actions;
        PeerMessage news;
        news.from = {"i199", "even", "x", 1, MemberState::Dead};
        for (int other = 0; other < 40; ++other)
            news.members.push_back({"i" + std::to_string(100 + other),
                                    other % 2 == 0 ? "even" : "odd", "x", 1, MemberState::Alive});
        membership.received(news, at(0), actions);
        contenders += membership.contendsForLease() ? 1 : 0;
        CHECK(membership.listInterval() == std::chrono::seconds(50));
    }
    CHECK(contenders == 6);
}

TEST_CASE("retries are a share of requests", "[limits]")
{
    RetryBudget budget({.perRequest = 0.1, .perSecond = 0, .most = 5});
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.requestStarted();
        granted += budget.withdraw(at(0)) ? 1 : 0;
    }
    CHECK(granted == Approx(105).margin(1));
}

// Engines fail for a minute. In any ten seconds there are no more repeats than
// the share of the requests and the slack, and the slack is there anew in each:
// a bucket that is empty would refuse all of the later ones.
TEST_CASE("repeats are bounded in any span of the window", "[limits]")
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

// A stream waits for a repeat, and nothing else is asked of the window meanwhile. Were
// what was spent before still counted, the stream would be told that none is left.
TEST_CASE("a window tells that it affords a repeat as soon as it does", "[limits]")
{
    RetryWindow budget({.perRequest = 0, .slack = 2});
    CHECK(budget.withdraw(at(0)));
    CHECK(budget.withdraw(at(1)));
    CHECK_FALSE(budget.canWithdraw(at(2)));
    CHECK_FALSE(budget.canWithdraw(at(10)));
    CHECK(budget.canWithdraw(at(10.6)));
    CHECK(budget.withdraw(at(10.6)));
}

TEST_CASE("a new process counts a part of its share as spent, for one window", "[limits]")
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
