#include <balsamloft/admission/admission.h>
#include <balsamloft/routemap.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

Time at(double seconds)
{
    return Time(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(seconds * 1e6));
}

AdmissionSettings enabledSettings()
{
    AdmissionSettings settings;
    settings.enabled = true;
    return settings;
}

/// One instance with a service whose nominal capacity is 100.
class Instance
{
public:
    explicit Instance(const AdmissionSettings &settings = enabledSettings())
        : admission(settings)
    {
        admission.setNominalCapacity("model", 100);
        admission.setInstances(1);
        // A total that shows no ample capacity.
        FleetLoad load;
        load.total.services.push_back({"model", 100, 90, 10, 0, 0});
        load.total.instances = 1;
        load.own = load.total;
        load.asOf = at(0.9);
        admission.applyFleetLoad(load, at(0.9));
    }

    AdmissionDecision submit(double seconds, int priority = 0, const std::string &team = "team",
                             double work = 10)
    {
        AdmissionRequest request;
        request.id = ++lastId;
        request.service = "model";
        request.priority = priority;
        request.team = team;
        request.work = work;
        request.target = Duration(500'000);
        request.timeLeft = Duration(9'000'000);
        return admission.submit(request, at(seconds));
    }

    /// Submits requests until one is not admitted, and returns that decision.
    AdmissionDecision fill(double seconds)
    {
        AdmissionDecision decision = submit(seconds);
        while (decision.kind == AdmissionDecision::Kind::Admit)
            decision = submit(seconds);
        return decision;
    }

    Admission admission;
    std::uint64_t lastId = 0;
};

using Kind = AdmissionDecision::Kind;

} // namespace

TEST_CASE("a service has priorities if its routes differ in theirs")
{
    const auto hasPriorities = [](int first, int second) {
        RouteMapBuilder builder(1);
        RoutedService service;
        service.name = "model";
        builder.service(service);
        Route route;
        route.host = "host";
        route.prefix = "/a/";
        route.priority = first;
        builder.route(route, {{"model", 1}});
        route.prefix = "/b/";
        route.priority = second;
        builder.route(route, {{"model", 1}});
        return builder.build()->services().front().hasPriorities;
    };
    CHECK_FALSE(hasPriorities(1, 1));
    CHECK(hasPriorities(0, 1));
}

TEST_CASE("all requests are admitted while admission control is disabled")
{
    Instance instance {AdmissionSettings {}};
    for (int i = 0; i < 100; ++i)
        CHECK(instance.submit(1).kind == Kind::Admit);
    CHECK(instance.admission.load(at(1)).services.empty());
}

TEST_CASE("all requests are admitted while the capacity of a service is unknown")
{
    Instance instance;
    instance.admission.setNominalCapacity("model", 0);
    for (int i = 0; i < 100; ++i)
        CHECK(instance.submit(1).kind == Kind::Admit);
}

TEST_CASE("work in flight stays within the capacity")
{
    Instance instance;
    CHECK(instance.fill(1).kind == Kind::Wait);
    const double inFlight = instance.admission.load(at(1)).services.front().inFlight;
    CHECK(inFlight >= 80);
    CHECK(inFlight <= 125);
}

TEST_CASE("an instance whose callers have just come uses an equal share before they are counted")
{
    Instance instance;
    instance.admission.setInstances(2);
    FleetLoad load;
    load.total.services.push_back({"model", 1000, 90, 10, 0, 0});
    load.total.instances = 2;
    load.own.instances = 1;
    load.asOf = at(0.9);
    instance.admission.applyFleetLoad(load, at(1));
    instance.fill(1);
    CHECK(instance.admission.load(at(1)).services.front().inFlight >= 40);
}

TEST_CASE("a waiting request is admitted when another one finishes")
{
    Instance instance;
    const AdmissionDecision waiting = instance.fill(1);
    CHECK(instance.admission.poll(at(1.01)).empty());
    instance.admission.finished(1, at(1.02));
    const auto decisions = instance.admission.poll(at(1.03));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().id == waiting.id);
    CHECK(decisions.front().kind == Kind::Admit);
}

TEST_CASE("a request that waits too long is refused before its target latency has passed")
{
    Instance instance;
    const AdmissionDecision waiting = instance.fill(1);
    const auto decisions = instance.admission.poll(at(1.3));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().id == waiting.id);
    CHECK(decisions.front().kind == Kind::Refuse);
    CHECK(decisions.front().retryAfter > Duration {});
}

TEST_CASE("a request that would wait too long is refused at once")
{
    Instance instance;
    instance.fill(1);
    instance.admission.finished(1, at(1.1));
    // At ten units per two seconds, the queue takes longer than any of its requests may wait.
    Kind last = Kind::Wait;
    for (int i = 0; i < 10 && last != Kind::Refuse; ++i)
        last = instance.submit(1.1).kind;
    CHECK(last == Kind::Refuse);
}

TEST_CASE("refused callers are told to come back within a third of the time they have")
{
    Instance instance;
    instance.fill(1);
    instance.admission.finished(1, at(1.1));
    for (int i = 0; i < 200; ++i) {
        const AdmissionDecision decision = instance.submit(1.1);
        if (decision.kind == Kind::Refuse)
            CHECK(decision.retryAfter <= Duration(3'000'000));
    }
}

TEST_CASE("a waiting request of a higher priority is admitted first")
{
    Instance instance;
    instance.fill(1);
    const AdmissionDecision urgent = instance.submit(1.01, -1);
    REQUIRE(urgent.kind == Kind::Wait);
    instance.admission.finished(1, at(1.02));
    const auto decisions = instance.admission.poll(at(1.03));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().id == urgent.id);
}

TEST_CASE("a request larger than the capacity is admitted while nothing else is in flight")
{
    Instance instance;
    CHECK(instance.submit(1, 0, "team", 1000).kind == Kind::Admit);
}

TEST_CASE("a request that is abandoned while it waits leaves nothing behind")
{
    Instance instance;
    const AdmissionDecision waiting = instance.fill(1);
    instance.admission.finished(waiting.id, at(1.1));
    instance.admission.finished(1, at(1.1));
    CHECK(instance.admission.poll(at(2)).empty());
    CHECK(instance.admission.status(at(2)).front().waiting == 0);
}

TEST_CASE("the reported load counts refused requests as demand")
{
    Instance instance;
    instance.fill(1);
    const double demand = instance.admission.load(at(1)).services.front().demand;
    for (int i = 0; i < 50; ++i)
        instance.submit(1);
    CHECK(instance.admission.load(at(1)).services.front().demand > demand * 3);
}
