#include "../fakes/trialstore.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Time Start {std::chrono::hours(1)};

/// Instances before one table of rows; what one writes the others learn when told.
class Fleet
{
public:
    explicit Fleet(std::size_t instances)
    {
        for (std::size_t i = 0; i < instances; ++i)
            m_instances.emplace_back(TrialSettings {.holder = "holder " + std::to_string(i)});
        list({"e1", "e2", "e3"});
    }

    void list(const std::vector<std::string> &ids)
    {
        m_fleet.endpoints.clear();
        for (const std::string &id : ids) {
            FleetEndpoint endpoint;
            endpoint.id = id;
            m_fleet.endpoints.push_back(std::move(endpoint));
        }
    }

    /// The instance asks, and the store answers; \a answerLost: the instance hears nothing.
    TrialAnswer ask(std::size_t instance, const TrialRequest &request, bool answerLost = false)
    {
        TrialPermits &permits = m_instances[instance];
        const auto decision = permits.decide(request, m_fleet, now);
        if (const auto *refused = std::get_if<TrialAnswer>(&decision))
            return *refused;
        const auto &change = std::get<TrialChange>(decision);
        const bool done = write(change) && !answerLost;
        permits.recordWrite(change, done, m_store.version(), m_store.rows());
        return permits.answer(request, change, done, now);
    }

    void end(std::size_t instance, const std::string &digest, TrialOutcome how)
    {
        const auto change = m_instances[instance].release(digest, how);
        if (!change)
            return;
        const bool done = write(*change);
        m_instances[instance].recordWrite(*change, done, m_store.version(), {});
    }

    void tellAll()
    {
        for (TrialPermits &each : m_instances)
            each.setRows(m_store.rows(), crashes);
    }

    Time now = Start;
    std::vector<CrashRecord> crashes;

private:
    bool write(const TrialChange &change)
    {
        if (!m_store.write(change))
            return false;
        if (change.crash)
            crashes.push_back(*change.crash);
        return true;
    }

    FleetSnapshot m_fleet;
    std::vector<TrialPermits> m_instances;
    TrialStore m_store;
};

} // namespace

// Guards against two instances that do not know of each other's try yet.
TEST_CASE("of instances that ask at once, one is permitted")
{
    Fleet fleet(3);
    CHECK(fleet.ask(0, {"bad", "e1"}).granted);
    const TrialAnswer second = fleet.ask(1, {"bad", "e2"});
    CHECK_FALSE(second.granted);
    CHECK_FALSE(second.endpointBusy);
    CHECK(second.wait >= seconds(1));
}

// Guards against an end that accuses two requests of which only one was to be tried.
TEST_CASE("at one endpoint one request is tried at a time")
{
    Fleet fleet(2);
    REQUIRE(fleet.ask(0, {"bad", "e1"}).granted);
    const TrialAnswer second = fleet.ask(1, {"beside", "e1"});
    CHECK_FALSE(second.granted);
    CHECK(second.endpointBusy);
    fleet.tellAll();
    CHECK(fleet.ask(1, {"beside", "e1"}).endpointBusy);
    CHECK(fleet.ask(1, {"beside", "e2"}).granted);
}

// Guards against a content that is never tried again since its holder was killed.
TEST_CASE("a try whose holder is gone may be made again once its time is over")
{
    Fleet fleet(2);
    REQUIRE(fleet.ask(0, {"beside", "e1"}).granted);
    fleet.tellAll();
    fleet.now += seconds(9);
    CHECK_FALSE(fleet.ask(1, {"beside", "e2"}).granted);
    fleet.now += seconds(2);
    CHECK(fleet.ask(1, {"beside", "e2"}).granted);
}

// Guards against ends that nobody counts since they take their witnesses along.
TEST_CASE("the end of an endpoint is counted when who tried there was killed too")
{
    Fleet fleet(2);
    REQUIRE(fleet.ask(0, {"bad", "e1"}).granted);
    fleet.tellAll();
    fleet.list({"e2", "e3"});
    fleet.now += seconds(11);
    CHECK_FALSE(fleet.ask(1, {"bad", "e2"}).granted);
    REQUIRE(fleet.crashes.size() == 1);
    CHECK(fleet.crashes.front().endpoint == "e1");
    CHECK(fleet.ask(1, {"bad", "e2"}).granted);
}

// Guards against an instance that takes a lost answer for a refusal by the store.
TEST_CASE("a permit whose answer was lost is used by nobody until its time is over")
{
    Fleet fleet(2);
    CHECK_FALSE(fleet.ask(0, {"bad", "e1"}, true).granted);
    CHECK_FALSE(fleet.ask(0, {"bad", "e1"}).granted);
    CHECK_FALSE(fleet.ask(1, {"bad", "e2"}).granted);
}

// Guards against a request that is rejected everywhere and reaches ever more endpoints.
TEST_CASE("a request that is as good as found out has few tries left, as long as none is well")
{
    Fleet fleet(2);
    for (int i = 0; i < 3; ++i) {
        REQUIRE(fleet.ask(0, {"bad", "e1", true}).granted);
        fleet.end(0, "bad", TrialOutcome::Inconclusive);
    }
    const TrialAnswer fourth = fleet.ask(1, {"bad", "e2", true});
    fleet.tellAll();
    CHECK_FALSE(fleet.ask(1, {"bad", "e2", true}).granted);
    CHECK_FALSE(fourth.granted);
    CHECK(fleet.ask(1, {"bad", "e2", true}).wait > minutes(9));
}

TEST_CASE("a try that reached no endpoint does not count, and one that went well ends all")
{
    Fleet fleet(2);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(fleet.ask(0, {"beside", "e1", true}).granted);
        fleet.end(0, "beside", TrialOutcome::NotSent);
    }
    REQUIRE(fleet.ask(0, {"beside", "e1", true}).granted);
    fleet.end(0, "beside", TrialOutcome::Succeeded);
    fleet.tellAll();
    CHECK(fleet.ask(1, {"beside", "e1", true}).granted);
}

// Guards against who wakes up late and takes back what another was permitted meanwhile.
TEST_CASE("a permit that ran out is not given back")
{
    Fleet fleet(2);
    REQUIRE(fleet.ask(0, {"bad", "e1"}).granted);
    fleet.tellAll();
    fleet.now += seconds(11);
    REQUIRE(fleet.ask(1, {"bad", "e2"}).granted);
    fleet.tellAll();
    fleet.end(0, "bad", TrialOutcome::Inconclusive);
    fleet.tellAll();
    CHECK_FALSE(fleet.ask(0, {"bad", "e3"}).granted);
}
