// Order, expiry and displacement of waiting requests.

#include <balsamloft/admission/fairqueue.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace balsamloft;

namespace {

Time at(double seconds)
{
    return Time(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(seconds * 1e6));
}

QueueItem item(RequestId id, const std::string &team, int priority = 0, double deadline = 100,
               double cost = 1)
{
    return {id, team, 1, priority, at(deadline), cost};
}

QueueItem expiring(RequestId id, const std::string &team, double latestStart)
{
    QueueItem result = item(id, team);
    result.latestStart = at(latestStart);
    return result;
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

/// Requests of one team in a simulated overload.
struct TeamResult
{
    double served = 0; ///< work
    double lost = 0; ///< work
};

/// An endpoint serves 24 units of work in each step. 23 teams ask for 0.9 units each, in requests
/// of 0.3 units; a greedy team asks for ten times as much as all of them, in requests of 1 unit. At
/// most \a room requests wait, each for at most 20 steps.
std::map<std::string, TeamResult> simulateGreedyTeam(std::size_t room)
{
    FairQueue queue;
    std::map<std::string, TeamResult> results;
    std::map<RequestId, QueueItem> waiting;
    RequestId nextId = 1;
    double credit = 0;
    const auto submit = [&](const std::string &team, double cost, int step) {
        QueueItem request = item(nextId++, team, 0, step + 30, cost);
        request.latestStart = at(step + 20);
        if (queue.size() >= room) {
            const QueueItem *displaced = queue.displacedBy(request);
            results[displaced ? displaced->team : team].lost += displaced ? displaced->cost : cost;
            if (!displaced)
                return;
            const RequestId id = displaced->request;
            waiting.erase(id);
            queue.remove(id);
        }
        waiting.emplace(request.request, request);
        queue.push(std::move(request));
    };
    for (int step = 0; step < 500; ++step) {
        for (int i = 0; i < 207; ++i) {
            submit("greedy", 1, step);
            if (i % 3 == 0)
                submit("small" + std::to_string(i / 3 % 23), 0.3, step);
        }
        for (const RequestId id : queue.takeExpired(at(step))) {
            results[waiting.at(id).team].lost += waiting.at(id).cost;
            waiting.erase(id);
        }
        for (credit += 24; !queue.empty() && credit >= queue.front()->cost;) {
            const QueueItem next = *queue.front();
            queue.pop();
            credit -= next.cost;
            results[next.team].served += next.cost;
            waiting.erase(next.request);
        }
    }
    return results;
}

} // namespace

TEST_CASE("classes are served in the order of their numbers", "[queue]")
{
    FairQueue queue;
    RequestId id = 0;
    for (const int priority : {7, 0, 100, 3, -1, 7})
        queue.push(item(++id, "a", priority));
    queue.pushResumed(item(++id, "a", 3));
    CHECK(queue.costAhead(7, "b", 1) == Approx(4));
    CHECK(drain(queue) == std::vector<RequestId> {5, 2, 7, 4, 1, 6, 3});
}

// Guards against a greedy team that takes the places in the queue or the service of others.
TEST_CASE("a team within its share loses nothing to one with ten times the others' demand",
          "[queue]")
{
    for (const std::size_t room : {100, 1'000, 1'000'000}) {
        auto results = simulateGreedyTeam(room);
        CAPTURE(room);
        CHECK(results["greedy"].served == Approx(500 * (24 - 23 * 0.9)).epsilon(0.02));
        for (int team = 0; team < 23; ++team) {
            const TeamResult &result = results["small" + std::to_string(team)];
            CHECK(result.lost == 0);
            CHECK(result.served == Approx(450).margin(1));
        }
    }
}

TEST_CASE("shares divide work, not the number of requests", "[queue]")
{
    FairQueue queue;
    for (RequestId id = 0; id < 2'000; ++id)
        queue.push(id % 2 == 0 ? item(id, "long", 0, 100, 9) : item(id, "short", 0, 100, 1));
    std::map<std::string, double> served;
    for (int i = 0; i < 1'000; ++i) {
        served[queue.front()->team] += queue.front()->cost;
        queue.pop();
    }
    CHECK(served["long"] == Approx(served["short"]).epsilon(0.02));
}

TEST_CASE("requests whose latest start has passed are removed in order", "[queue]")
{
    FairQueue queue;
    queue.push(expiring(1, "a", 5));
    queue.push(expiring(2, "b", 3));
    queue.push(expiring(3, "a", 4));
    queue.push(item(4, "a"));
    queue.push(expiring(5, "b", 9));
    queue.pushResumed(expiring(6, "c", 2));
    CHECK(queue.takeExpired(at(2)).empty());
    CHECK(queue.takeExpired(at(4.5)) == std::vector<RequestId> {6, 2, 3});
    CHECK(queue.size() == 3);
    CHECK(queue.remove(1));
    queue.pop();
    queue.pop();
    CHECK(queue.takeExpired(Time::max()).empty());
    CHECK(queue.empty());
    CHECK(queue.costAhead(0, "a", 1) == Approx(0));
}

// Guards against expiry that charges a team or leaves its turn in the order.
TEST_CASE("expired requests do not change the shares", "[queue]")
{
    FairQueue queue;
    for (RequestId id = 0; id < 100; ++id)
        queue.push(expiring(id, "a", 1));
    for (RequestId id = 100; id < 300; ++id)
        queue.push(item(id, id % 2 == 0 ? "a" : "b"));
    CHECK(queue.takeExpired(at(2)).size() == 100);
    int ofA = 0;
    for (int i = 0; i < 100; ++i) {
        ofA += queue.front()->team == "a" ? 1 : 0;
        queue.pop();
    }
    CHECK(ofA == 50);
}

TEST_CASE("the lowest request is of the lowest class and of the team furthest ahead", "[queue]")
{
    FairQueue queue;
    CHECK(queue.lowest() == nullptr);
    queue.push(item(1, "a", 0, 999));
    queue.push(item(2, "a", 4, 7));
    queue.push(item(3, "b", 4, 9));
    queue.push(item(4, "b", 4, 8));
    queue.pushResumed(item(5, "b", 4, 99));
    queue.pushResumed(item(6, "b", 5, 99));
    std::vector<RequestId> order;
    while (const QueueItem *lowest = queue.lowest()) {
        order.push_back(lowest->request);
        queue.remove(order.back());
    }
    CHECK(order == std::vector<RequestId> {3, 4, 2, 1});
    CHECK(queue.size() == 2); // work was done for those that resume
}

// Guards against a team that was just served and gives up its place to one with more requests.
TEST_CASE("the team with most waiting work for its share gives up a request", "[queue]")
{
    FairQueue queue;
    for (RequestId id = 0; id < 20; ++id)
        queue.push(item(id, "greedy"));
    for (RequestId id = 20; id < 25; ++id)
        queue.push(item(id, "modest"));
    while (queue.front()->team == "greedy")
        queue.pop();
    queue.pop();
    CHECK(queue.lowest()->team == "greedy");
    queue.push({30, "entitled", 100, 0, at(100), 200});
    CHECK(queue.lowest()->team == "greedy");
}

TEST_CASE("a new request displaces only one that would be served after it", "[queue]")
{
    FairQueue queue;
    CHECK(queue.displacedBy(item(99, "a")) == nullptr);
    for (RequestId id = 0; id < 10; ++id)
        queue.push(item(id, "a", 1, 50 + static_cast<double>(id)));
    queue.push(item(10, "b", 1));
    REQUIRE(queue.displacedBy(item(99, "a", 0)));
    CHECK(queue.displacedBy(item(99, "a", 0))->request == 9);
    CHECK(queue.displacedBy(item(99, "a", 2)) == nullptr);
    CHECK(queue.displacedBy(item(99, "a", 1, 1)) == nullptr);
    REQUIRE(queue.displacedBy(item(99, "b", 1)));
    CHECK(queue.displacedBy(item(99, "b", 1))->request == 9);
    CHECK(queue.displacedBy(item(99, "c", 1)) != nullptr);
    CHECK(queue.displacedBy(item(99, "c", 1, 100, 11)) == nullptr);

    FairQueue resumed;
    resumed.pushResumed(item(1, "a", 5));
    CHECK(resumed.displacedBy(item(99, "b", 0)) == nullptr);
}

// Guards against a team that saves up its share for displacement while idle, and against one that
// escapes its past use by an empty queue.
TEST_CASE("displacement counts what a team was served before", "[queue]")
{
    FairQueue queue;
    queue.push(item(1, "large", 0, 100, 50));
    queue.pop();
    for (RequestId id = 2; id < 12; ++id)
        queue.push(item(id, "other"));
    CHECK(queue.displacedBy(item(99, "large")) == nullptr);
    CHECK(queue.displacedBy(item(99, "new")) != nullptr);
    for (int i = 0; i < 9; ++i)
        queue.pop();
    CHECK(queue.displacedBy(item(99, "new", 0, 100, 5)) == nullptr);
}

// Guards against a scan of the waiting requests: with one for each operation, this case would take
// 10^10 steps and exceed the test's time limit.
TEST_CASE("operations do not scan the waiting requests", "[queue][cost]")
{
    constexpr RequestId Count = 200'000;
    FairQueue queue;
    const auto make = [](RequestId id) {
        QueueItem result = item(id, "team" + std::to_string(id % 390), static_cast<int>(id % 3),
                                static_cast<double>(id * 7919 % Count));
        result.latestStart = at(static_cast<double>(Count + id));
        return result;
    };
    for (RequestId id = 0; id < Count; ++id)
        queue.push(make(id));
    std::size_t popped = 0;
    std::size_t displaced = 0;
    std::size_t expired = 0;
    for (RequestId id = Count; id < 2 * Count; ++id) {
        queue.pop();
        ++popped;
        QueueItem next = make(id);
        if (const QueueItem *lowest = queue.displacedBy(next)) {
            queue.remove(lowest->request);
            ++displaced;
        }
        queue.push(std::move(next));
        expired += queue.takeExpired(at(static_cast<double>(id))).size();
    }
    CHECK(popped == Count);
    CHECK(displaced > 0);
    CHECK(expired > 0);
    CHECK(queue.size() == 2 * Count - popped - displaced - expired);
}
