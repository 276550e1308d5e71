#include <balsamloft/quarantine.h>

#include <catch2/catch.hpp>

#include <random>

using namespace balsamloft;

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const Time Start {std::chrono::hours(1)};

/// \a endpoint ended, early in runs of all \a digests.
void endUnder(Quarantine &quarantine, const std::string &endpoint,
              const std::vector<std::string> &digests, Time now = Start)
{
    for (const std::string &digest : digests)
        quarantine.attemptBroken(digest, endpoint, now);
    quarantine.endpointCrashed(endpoint, now);
}

bool held(const Quarantine &quarantine, const std::string &digest, Time at = Start + seconds(2))
{
    return quarantine.verdict(digest, at) == Verdict::Quarantined;
}

} // namespace

TEST_CASE("a request is held back once three endpoints ended under it")
{
    Quarantine quarantine;
    endUnder(quarantine, "e1", {"bad"});
    endUnder(quarantine, "e2", {"bad"});
    CHECK_FALSE(held(quarantine, "bad"));
    endUnder(quarantine, "e3", {"bad"});
    CHECK(held(quarantine, "bad"));
    CHECK_FALSE(held(quarantine, "other"));
    CHECK(quarantine.quarantinedCount(Start + seconds(2)) == 1);
}

// Guards against connections that are reset by endpoints which live on.
TEST_CASE("an endpoint that answers after it broke off ended under nothing")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3", "e4"}) {
        quarantine.attemptBroken("good", endpoint, Start);
        const Time asked = Start + milliseconds(1);
        CHECK(quarantine.unconfirmedEndpoints(asked) == std::vector<std::string> {endpoint});
        quarantine.endpointAnswered(endpoint, asked);
    }
    CHECK(quarantine.crashes("good", Start) == 0);
    CHECK(quarantine.takeUpdate(Start + seconds(2)).empty());
}

// Guards against an endpoint that ends in the moment in which the request is given up.
TEST_CASE("an endpoint that ends right after the request was given up ended under it")
{
    Quarantine quarantine;
    quarantine.attemptAbandoned("bad", "e1", Start);
    quarantine.attemptAbandoned("earlier", "e1", Start - milliseconds(300));
    CHECK(quarantine.unconfirmedEndpoints(Start + milliseconds(100))
          == std::vector<std::string> {"e1"});
    endUnder(quarantine, "e1", {"beside"}, Start + milliseconds(50));
    CHECK(quarantine.crashes("bad", Start + milliseconds(50)) == 1);
    CHECK(quarantine.crashes("earlier", Start + milliseconds(50)) == 0);

    quarantine.attemptAbandoned("bad", "e2", Start);
    quarantine.endpointAnswered("e2", Start + milliseconds(250));
    quarantine.endpointCrashed("e2", Start + seconds(1));
    CHECK(quarantine.crashes("bad", Start + seconds(1)) == 1);
}

// Guards against a lost domain, whose endpoints are silent and then no longer listed.
TEST_CASE("an endpoint that vanishes ended only under what it broke off itself")
{
    Quarantine quarantine;
    quarantine.attemptAbandoned("given up", "e1", Start);
    quarantine.attemptBroken("cut", "e1", Start + milliseconds(10));
    quarantine.endpointDelisted("e1", Start + seconds(3));
    CHECK(quarantine.crashes("given up", Start + seconds(3)) == 0);
    CHECK(quarantine.crashes("cut", Start + seconds(3)) == 1);
}

// Guards against a third send while the question whether the second endpoint lives is open.
TEST_CASE("a request waits while it is open whether a second endpoint ended under it")
{
    Quarantine quarantine;
    quarantine.attemptBroken("bad", "e1", Start);
    CHECK_FALSE(quarantine.awaitsConfirmation("bad", Start));
    quarantine.endpointCrashed("e1", Start);
    quarantine.attemptBroken("bad", "e2", Start);
    CHECK(quarantine.awaitsConfirmation("bad", Start));
    quarantine.endpointCrashed("e2", Start);
    CHECK_FALSE(quarantine.awaitsConfirmation("bad", Start));

    quarantine.attemptBroken("other", "e3", Start);
    quarantine.attemptBroken("other", "e4", Start);
    CHECK(quarantine.awaitsConfirmation("other", Start));
    quarantine.endpointAnswered("e4", Start + milliseconds(1));
    CHECK_FALSE(quarantine.awaitsConfirmation("other", Start + milliseconds(1)));
}

// Guards against an innocent request that is shut out since it stood beside the guilty one.
TEST_CASE("nobody is held by ends that another request explains as well")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3"})
        endUnder(quarantine, endpoint, {"bad", "beside"});
    CHECK_FALSE(held(quarantine, "bad"));
    CHECK_FALSE(held(quarantine, "beside"));
    endUnder(quarantine, "by itself", {"beside"});
    CHECK_FALSE(held(quarantine, "beside"));
    endUnder(quarantine, "e4", {"bad"});
    endUnder(quarantine, "e5", {"bad"});
    CHECK(held(quarantine, "bad"));
    CHECK_FALSE(held(quarantine, "beside"));
}

// Guards against a verdict by one instance's view: what another sent explains all its ends.
TEST_CASE("nobody is held before what others saw can be known")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3"})
        endUnder(quarantine, endpoint, {"beside"});
    CHECK(quarantine.verdict("beside", Start) == Verdict::Deferred);
    CHECK(quarantine.blockedFor("beside", Start) == seconds(2));
    quarantine.setShared({{"bad", "e1", Start}, {"bad", "e2", Start}, {"bad", "e3", Start}});
    CHECK(quarantine.verdict("beside", Start + seconds(1)) == Verdict::Deferred);
    CHECK(quarantine.verdict("beside", Start + seconds(2)) == Verdict::TrialOnly);
    CHECK(quarantine.verdict("beside", Start + seconds(10)) == Verdict::TrialOnly);
}

TEST_CASE("two requests that cannot be told apart are both held in the end")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3", "e4", "e5"})
        endUnder(quarantine, endpoint, {"bad", "beside"});
    CHECK(held(quarantine, "bad"));
    CHECK(held(quarantine, "beside"));
}

// Guards against an innocent request that met one guilty one and two other ends.
TEST_CASE("an end that another request explains does not count")
{
    Quarantine quarantine;
    endUnder(quarantine, "e1", {"beside"});
    endUnder(quarantine, "e2", {"beside"});
    endUnder(quarantine, "e3", {"bad", "beside"});
    endUnder(quarantine, "e4", {"bad"});
    endUnder(quarantine, "e5", {"bad"});
    endUnder(quarantine, "e6", {"bad"});
    CHECK(held(quarantine, "bad"));
    CHECK_FALSE(held(quarantine, "beside"));
}

TEST_CASE("a request that came through is cleared everywhere")
{
    Quarantine quarantine;
    endUnder(quarantine, "e1", {"good"});
    endUnder(quarantine, "e2", {"good"});
    REQUIRE(quarantine.takeUpdate(Start).added.size() == 2);
    quarantine.requestSucceeded("good", Start);
    CHECK(quarantine.crashes("good", Start) == 0);
    CHECK(quarantine.takeUpdate(Start).removed.size() == 2);
}

// Guards against many callers' same request that is shut out when three endpoints end at once.
TEST_CASE("a request that came through just before takes more ends to be held")
{
    Quarantine quarantine;
    quarantine.requestSucceeded("popular", Start - seconds(1));
    for (const char *endpoint : {"e1", "e2", "e3"})
        endUnder(quarantine, endpoint, {"popular"});
    CHECK_FALSE(held(quarantine, "popular"));
    CHECK(quarantine.verdict("popular", Start + seconds(10)) == Verdict::TrialOnly);
    endUnder(quarantine, "e4", {"popular"});
    endUnder(quarantine, "e5", {"popular"});
    CHECK(held(quarantine, "popular"));
}

// Guards against one success that clears a request of what it does ever after.
TEST_CASE("a request that came through long before is held like any other")
{
    Quarantine quarantine;
    quarantine.requestSucceeded("bad", Start - minutes(1));
    for (const char *endpoint : {"e1", "e2", "e3"})
        endUnder(quarantine, endpoint, {"bad"});
    CHECK(held(quarantine, "bad"));
}

TEST_CASE("of what others tell, only what was before a success is taken back")
{
    Quarantine quarantine;
    quarantine.requestSucceeded("good", Start);
    quarantine.setShared({{"good", "e1", Start - seconds(1)}, {"good", "e2", Start + seconds(1)}});
    CHECK(quarantine.crashes("good", Start + seconds(2)) == 1);
    const CrashUpdate update = quarantine.takeUpdate(Start + seconds(2));
    CHECK(update.removed == std::vector<CrashRecord> {{"good", "e1", Start - seconds(1)}});
}

// Guards against ends that three instances saw, one each, and none adds up.
TEST_CASE("ends that different instances saw add up at all of them, later ones too")
{
    std::vector<CrashRecord> told;
    for (const char *endpoint : {"e1", "e2", "e3"}) {
        Quarantine witness;
        endUnder(witness, endpoint, {"bad"});
        const CrashUpdate update = witness.takeUpdate(Start + seconds(1));
        told.insert(told.end(), update.added.begin(), update.added.end());
    }
    Quarantine late;
    late.setShared(told);
    CHECK(held(late, "bad"));
}

TEST_CASE("what others take back is forgotten, what was not told yet is not")
{
    Quarantine quarantine;
    quarantine.setShared({{"a", "e1", Start}, {"a", "e2", Start}});
    endUnder(quarantine, "e3", {"a"});
    quarantine.setShared({{"a", "e1", Start}});
    CHECK(quarantine.crashes("a", Start) == 2);
}

TEST_CASE("while no endpoint ends nothing is told, and one that comes through soon is not")
{
    Quarantine quarantine;
    quarantine.requestSucceeded("good", Start);
    CHECK(quarantine.takeUpdate(Start).empty());
    endUnder(quarantine, "e1", {"beside", "bad"});
    CHECK(quarantine.takeUpdate(Start + milliseconds(100)).empty());
    quarantine.requestSucceeded("beside", Start);
    const CrashUpdate update = quarantine.takeUpdate(Start + seconds(1));
    CHECK(update.added == std::vector<CrashRecord> {{"bad", "e1", Start}});
    CHECK(update.removed.empty());
    CHECK(quarantine.takeUpdate(Start + seconds(2)).empty());
}

TEST_CASE("a request is let through again after a while, and old records go with the next write")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3"})
        endUnder(quarantine, endpoint, {"bad"});
    REQUIRE(quarantine.takeUpdate(Start + seconds(1)).added.size() == 3);
    CHECK(quarantine.blockedFor("bad", Start + minutes(4)) == minutes(6));
    const Time later = Start + minutes(11);
    CHECK_FALSE(held(quarantine, "bad", later));
    CHECK(quarantine.takeUpdate(later).empty());
    endUnder(quarantine, "e4", {"other"}, later);
    const CrashUpdate update = quarantine.takeUpdate(later + seconds(1));
    CHECK(update.added.size() == 1);
    CHECK(update.removed.size() == 3);
}

// Guards against a caller that fills the memory with ever new requests beside ends.
TEST_CASE("what is remembered and told is bounded, and several ends outlast single ones")
{
    Quarantine quarantine;
    endUnder(quarantine, "e1", {"bad"});
    endUnder(quarantine, "e2", {"bad"});
    for (int i = 0; i < 20'000; ++i)
        endUnder(quarantine, "f" + std::to_string(i % 50), {"flood " + std::to_string(i)});
    CHECK(quarantine.suspectCount() <= QuarantineSettings {}.maxDigests);
    CHECK(quarantine.crashes("bad", Start) == 2);
    CHECK(quarantine.takeUpdate(Start + seconds(1)).added.size()
          <= QuarantineSettings {}.maxPerUpdate);
}

// Guards against a memory full of others' records, in which a new request is never suspected.
TEST_CASE("a request is found out also when the memory is full of what others told")
{
    Quarantine quarantine;
    std::vector<CrashRecord> told;
    for (std::size_t i = 0; i < QuarantineSettings {}.maxDigests; ++i)
        told.push_back({"told " + std::to_string(i), "f" + std::to_string(i % 50), Start});
    quarantine.setShared(told);
    for (const char *endpoint : {"e1", "e2", "e3"})
        endUnder(quarantine, endpoint, {"bad"});
    CHECK(held(quarantine, "bad"));
    CHECK(quarantine.suspectCount() <= QuarantineSettings {}.maxDigests);
    CHECK(quarantine.takeUpdate(Start + seconds(1)).removed.size() == 1);
}

namespace {

/// What random schedules showed, all together.
struct ScheduleResult
{
    std::size_t harmlessHeld = 0; ///< harmless requests that were ever held back
    std::size_t mostEnds = 0; ///< endpoints that the guilty request ended, at worst
};

/// Six instances, eight endpoints, one request that ends each endpoint it is sent to
/// and is repeated once, others that only stand beside, two ends that nobody caused.
/// News reach the other instances a step later.
class Schedule
{
public:
    Schedule(std::uint64_t seed, const QuarantineSettings &settings)
        : m_random(seed)
        , m_instances(Instances, Quarantine(settings))
    {
    }

    ScheduleResult run()
    {
        for (std::size_t i = 0; i < Harmless; ++i)
            m_harmless.push_back(
                {"harmless " + std::to_string(i), pick(Instances), pick(Endpoints)});
        for (int step = 0; step < Steps; ++step) {
            m_now += seconds(1);
            share();
            if (pick(4) == 0 && m_othersLeft-- > 0)
                end(pick(Endpoints), "", 0);
            const std::size_t instance = pick(Instances);
            for (int attempt = 0; attempt < 2 && verdict(instance, "guilty") == Verdict::Allowed;
                 ++attempt)
                end(pick(Endpoints), "guilty", instance);
            if (verdict(instance, "guilty") == Verdict::TrialOnly)
                end(withoutTrial(), "guilty", instance);
            for (Request &each : m_harmless)
                advance(each);
        }
        return m_result;
    }

private:
    static constexpr std::size_t Instances = 6;
    static constexpr std::size_t Endpoints = 8;
    static constexpr std::size_t Harmless = 24;
    static constexpr std::size_t Nowhere = Endpoints; ///< its caller is about to come again
    static constexpr int Steps = 10;
    static constexpr std::size_t MostAttempts = 3;

    struct Request
    {
        std::string digest;
        std::size_t instance = 0;
        std::size_t endpoint = 0;
        std::size_t cuts = 0;
        std::size_t attempts = 1;
        bool over = false;
        bool onTrial = false; ///< nothing else is tried at its endpoint
    };

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    Verdict verdict(std::size_t instance, const std::string &digest) const
    {
        return m_instances[instance].verdict(digest, m_now);
    }

    /// An endpoint where nothing is tried; Nowhere: there is none.
    std::size_t withoutTrial()
    {
        std::vector<std::size_t> all;
        for (std::size_t endpoint = 0; endpoint < Endpoints; ++endpoint)
            if (std::none_of(m_harmless.begin(), m_harmless.end(), [&](const Request &each) {
                    return each.onTrial && !each.over && each.endpoint == endpoint;
                }))
                all.push_back(endpoint);
        return all.empty() ? Nowhere : all[pick(all.size())];
    }

    void end(std::size_t endpoint, const std::string &guilty, std::size_t guiltyAt)
    {
        const std::string id = std::to_string(endpoint) + "@" + std::to_string(m_starts++);
        const auto cut = [&](std::size_t instance, const std::string &digest) {
            m_instances[instance].attemptBroken(digest, id, m_now);
            m_instances[instance].endpointCrashed(id, m_now);
        };
        if (!guilty.empty()) {
            cut(guiltyAt, guilty);
            m_result.mostEnds += 1;
        }
        for (Request &each : m_harmless)
            if (!each.over && each.endpoint == endpoint) {
                cut(each.instance, each.digest);
                repeat(each);
            }
    }

    /// An attempt is cut twice at most; its caller then comes again.
    void repeat(Request &request)
    {
        const bool tried = std::exchange(request.onTrial, false);
        request.endpoint = pick(Endpoints);
        if (++request.cuts < 2 && !tried)
            return;
        request.cuts = 0;
        request.instance = pick(Instances);
        request.endpoint = Nowhere;
        request.over = ++request.attempts > MostAttempts;
    }

    /// What waits to be judged comes again later.
    void comeAgain(Request &request)
    {
        const Verdict found = verdict(request.instance, request.digest);
        if (found == Verdict::Allowed)
            request.endpoint = pick(Endpoints);
        if (found == Verdict::TrialOnly)
            request.endpoint = withoutTrial();
        request.onTrial = found == Verdict::TrialOnly && request.endpoint != Nowhere;
        request.over = found == Verdict::Quarantined;
        m_result.harmlessHeld += request.over ? 1 : 0;
    }

    void advance(Request &request)
    {
        if (request.over)
            return;
        if (request.endpoint == Nowhere)
            return comeAgain(request);
        if (pick(2) == 0)
            return;
        m_instances[request.instance].requestSucceeded(request.digest, m_now);
        request = {"later " + std::to_string(m_starts++), pick(Instances), pick(Endpoints)};
    }

    void share()
    {
        for (Quarantine &each : m_instances) {
            const CrashUpdate update = each.takeUpdate(m_now);
            m_told.insert(m_told.end(), update.added.begin(), update.added.end());
            for (const CrashRecord &gone : update.removed)
                std::erase_if(m_told, [&](const CrashRecord &told) {
                    return told.digest == gone.digest && told.endpoint == gone.endpoint;
                });
        }
        for (Quarantine &each : m_instances)
            each.setShared(m_told);
    }

    std::mt19937_64 m_random;
    std::vector<Quarantine> m_instances;
    std::vector<Request> m_harmless;
    std::vector<CrashRecord> m_told;
    std::uint64_t m_starts = 0;
    int m_othersLeft = 2;
    Time m_now = Start;
    ScheduleResult m_result;
};

ScheduleResult runSchedules(std::uint64_t count, const QuarantineSettings &settings = {})
{
    ScheduleResult all;
    for (std::uint64_t seed = 0; seed < count; ++seed) {
        const ScheduleResult one = Schedule(seed, settings).run();
        all.harmlessHeld += one.harmlessHeld;
        all.mostEnds = std::max(all.mostEnds, one.mostEnds);
    }
    return all;
}

} // namespace

TEST_CASE("in random schedules no harmless request is held, and the guilty one is")
{
    const ScheduleResult result = runSchedules(100'000);
    CHECK(result.harmlessHeld == 0);
    CHECK(result.mostEnds <= QuarantineSettings {}.crashesToForceQuarantine);
}

TEST_CASE("the random schedules notice a safeguard that is missing")
{
    QuarantineSettings oneEnd;
    oneEnd.crashesToQuarantine = 1;
    CHECK(runSchedules(300, oneEnd).harmlessHeld > 0);
    QuarantineSettings nothingExplains;
    nothingExplains.crashesToForceQuarantine = nothingExplains.crashesToQuarantine;
    CHECK(runSchedules(20'000, nothingExplains).harmlessHeld > 0);
    QuarantineSettings neverHeld;
    neverHeld.crashesToQuarantine = neverHeld.crashesToForceQuarantine = 100;
    CHECK(runSchedules(10, neverHeld).mostEnds > QuarantineSettings {}.crashesToForceQuarantine);
}
