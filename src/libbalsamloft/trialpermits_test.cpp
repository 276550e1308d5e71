#include "../fakes/trialstore.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Time Start {std::chrono::hours(1)};

/// Instances that share a table of rows. Each receives the writes of the others by shareRows().
class Fleet
{
public:
    explicit Fleet(std::size_t instances)
    {
        for (std::size_t i = 0; i < instances; ++i)
            m_instances.emplace_back(TrialSettings {.holder = "holder " + std::to_string(i)});
        setEndpoints({"e1", "e2", "e3"});
    }

    void setEndpoints(const std::vector<std::string> &ids)
    {
        m_fleet.endpoints.clear();
        for (const std::string &id : ids) {
            FleetEndpoint endpoint;
            endpoint.id = id;
            m_fleet.endpoints.push_back(std::move(endpoint));
        }
    }

    /// Requests a permit for an instance; \a answerLost: the instance does not receive the store's
    /// answer.
    TrialAnswer requestPermit(std::size_t instance, const TrialRequest &request,
                              bool answerLost = false)
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

    void finish(std::size_t instance, const std::string &digest, const std::string &endpoint,
                TrialOutcome outcome)
    {
        const auto change = m_instances[instance].release(digest, endpoint, outcome);
        if (!change)
            return;
        const bool done = write(*change);
        m_instances[instance].recordWrite(*change, done, m_store.version(), {});
    }

    void shareRows()
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

// Guards against two trials by instances that have not yet received each other's rows.
TEST_CASE("of two instances that request a permit at once, one receives it")
{
    Fleet fleet(3);
    CHECK(fleet.requestPermit(0, {"bad", "e1"}).granted);
    const TrialAnswer second = fleet.requestPermit(1, {"bad", "e2"});
    CHECK_FALSE(second.granted);
    CHECK_FALSE(second.endpointBusy);
    CHECK(second.wait >= seconds(1));
}

// Guards against a crash that is attributed to two requests of which only one was on trial.
TEST_CASE("an endpoint has one trial at a time")
{
    Fleet fleet(2);
    REQUIRE(fleet.requestPermit(0, {"bad", "e1"}).granted);
    const TrialAnswer second = fleet.requestPermit(1, {"beside", "e1"});
    CHECK_FALSE(second.granted);
    CHECK(second.endpointBusy);
    fleet.shareRows();
    CHECK(fleet.requestPermit(1, {"beside", "e1"}).endpointBusy);
    CHECK(fleet.requestPermit(1, {"beside", "e2"}).granted);
}

// Guards against a request that stays blocked because the holder of its permit was killed.
TEST_CASE("a trial of a crashed holder may be repeated after its permit expired")
{
    Fleet fleet(2);
    REQUIRE(fleet.requestPermit(0, {"beside", "e1"}).granted);
    fleet.shareRows();
    fleet.now += seconds(9);
    CHECK_FALSE(fleet.requestPermit(1, {"beside", "e2"}).granted);
    fleet.now += seconds(2);
    CHECK(fleet.requestPermit(1, {"beside", "e2"}).granted);
}

// Guards against crashes that are not recorded because the instance that ran the trial is gone too.
TEST_CASE("the crash of an endpoint is recorded although the permit's holder was killed")
{
    Fleet fleet(2);
    REQUIRE(fleet.requestPermit(0, {"bad", "e1"}).granted);
    fleet.shareRows();
    fleet.setEndpoints({"e2", "e3"});
    fleet.now += seconds(11);
    CHECK_FALSE(fleet.requestPermit(1, {"bad", "e2"}).granted);
    REQUIRE(fleet.crashes.size() == 1);
    CHECK(fleet.crashes.front().endpoint == "e1");
    CHECK(fleet.requestPermit(1, {"bad", "e2"}).granted);
}

// Guards against an instance that treats a lost answer as a failed condition of the store.
TEST_CASE("a permit whose answer was lost is not used before it expires")
{
    Fleet fleet(2);
    CHECK_FALSE(fleet.requestPermit(0, {"bad", "e1"}, true).granted);
    CHECK_FALSE(fleet.requestPermit(0, {"bad", "e1"}).granted);
    CHECK_FALSE(fleet.requestPermit(1, {"bad", "e2"}).granted);
}

// Guards against a request that is rejected everywhere and is sent to more and more endpoints.
TEST_CASE("a limited request has three trials unless one succeeds")
{
    Fleet fleet(2);
    for (int i = 0; i < 3; ++i) {
        REQUIRE(fleet.requestPermit(0, {"bad", "e1", true}).granted);
        fleet.finish(0, "bad", "e1", TrialOutcome::Inconclusive);
    }
    const TrialAnswer fourth = fleet.requestPermit(1, {"bad", "e2", true});
    fleet.shareRows();
    CHECK_FALSE(fleet.requestPermit(1, {"bad", "e2", true}).granted);
    CHECK_FALSE(fourth.granted);
    CHECK(fleet.requestPermit(1, {"bad", "e2", true}).wait > minutes(9));
}

TEST_CASE("an unsent trial does not count, and a success resets the count")
{
    Fleet fleet(2);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(fleet.requestPermit(0, {"beside", "e1", true}).granted);
        fleet.finish(0, "beside", "e1", TrialOutcome::NotSent);
    }
    REQUIRE(fleet.requestPermit(0, {"beside", "e1", true}).granted);
    fleet.finish(0, "beside", "e1", TrialOutcome::Succeeded);
    fleet.shareRows();
    CHECK(fleet.requestPermit(1, {"beside", "e1", true}).granted);
}

// Guards against a paused instance that resumes and releases the permit that another
// instance received meanwhile.
TEST_CASE("an expired permit is not released")
{
    Fleet fleet(2);
    REQUIRE(fleet.requestPermit(0, {"bad", "e1"}).granted);
    fleet.shareRows();
    fleet.now += seconds(11);
    REQUIRE(fleet.requestPermit(1, {"bad", "e2"}).granted);
    fleet.shareRows();
    fleet.finish(0, "bad", "e1", TrialOutcome::Inconclusive);
    fleet.shareRows();
    CHECK_FALSE(fleet.requestPermit(0, {"bad", "e3"}).granted);
}

// Guards against two trials of a request at a time, when one outlasts its permit.
TEST_CASE("a trial that ends late does not release the next permit of its own process")
{
    Fleet fleet(2);
    REQUIRE(fleet.requestPermit(0, {"bad", "e1"}).granted);
    fleet.now += seconds(11);
    REQUIRE(fleet.requestPermit(0, {"bad", "e2"}).granted);
    fleet.finish(0, "bad", "e1", TrialOutcome::Inconclusive);
    fleet.shareRows();
    CHECK_FALSE(fleet.requestPermit(1, {"bad", "e3"}).granted);
}

// Guards against harmless requests that are refused for as long as the store is away.
TEST_CASE("without the store only requests with a single crash are permitted")
{
    const TrialPermits permits({});
    CHECK(permits.answerWithoutStore({"digest", "e1", false, 1}).granted);
    const TrialAnswer refused = permits.answerWithoutStore({"digest", "e1", false, 2});
    CHECK_FALSE(refused.granted);
    CHECK(refused.wait > Duration {});
}
