#include <balsamloft/quarantine.h>

#include <catch2/catch.hpp>

#include <random>

using namespace balsamloft;

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const Time Start {std::chrono::hours(1)};

/// Crashes \a endpoint, which breaks an early attempt of each of \a digests.
void crashWith(Quarantine &quarantine, const std::string &endpoint,
               const std::vector<std::string> &digests, Time now = Start)
{
    for (const std::string &digest : digests)
        quarantine.attemptBroken(digest, endpoint, now);
    quarantine.endpointCrashed(endpoint, now);
}

bool isQuarantined(const Quarantine &quarantine, const std::string &digest,
                   Time at = Start + seconds(2))
{
    return quarantine.sendPermission(digest, at) == SendPermission::Quarantined;
}

} // namespace

TEST_CASE("a request is quarantined after crashes of three endpoints")
{
    Quarantine quarantine;
    crashWith(quarantine, "e1", {"bad"});
    crashWith(quarantine, "e2", {"bad"});
    CHECK_FALSE(isQuarantined(quarantine, "bad"));
    crashWith(quarantine, "e3", {"bad"});
    CHECK(isQuarantined(quarantine, "bad"));
    CHECK_FALSE(isQuarantined(quarantine, "other"));
    CHECK(quarantine.quarantinedCount(Start + seconds(2)) == 1);
}

// Guards against connection resets by live endpoints that count as crashes.
TEST_CASE("a broken attempt is no crash if the endpoint answers later")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3", "e4"}) {
        quarantine.attemptBroken("good", endpoint, Start);
        const Time queriedAt = Start + milliseconds(1);
        CHECK(quarantine.unconfirmedEndpoints(queriedAt) == std::vector<std::string> {endpoint});
        quarantine.endpointAnswered(endpoint, queriedAt);
    }
    CHECK(quarantine.crashes("good", Start) == 0);
    CHECK(quarantine.takeUpdate(Start + seconds(2)).empty());
}

// Guards against a crash that is missed because the attempt was abandoned just before it.
TEST_CASE("a crash right after the request was abandoned counts against it")
{
    Quarantine quarantine;
    quarantine.attemptAbandoned("bad", "e1", Start);
    quarantine.attemptAbandoned("earlier", "e1", Start - milliseconds(300));
    CHECK(quarantine.unconfirmedEndpoints(Start + milliseconds(100))
          == std::vector<std::string> {"e1"});
    crashWith(quarantine, "e1", {"beside"}, Start + milliseconds(50));
    CHECK(quarantine.crashes("bad", Start + milliseconds(50)) == 1);
    CHECK(quarantine.crashes("earlier", Start + milliseconds(50)) == 0);

    quarantine.attemptAbandoned("bad", "e2", Start);
    quarantine.endpointAnswered("e2", Start + milliseconds(250));
    quarantine.endpointCrashed("e2", Start + seconds(1));
    CHECK(quarantine.crashes("bad", Start + seconds(1)) == 1);
}

// Guards against a partitioned domain, whose endpoints stop answering and are then delisted.
TEST_CASE("the crash of a delisted endpoint counts only against attempts that it broke")
{
    Quarantine quarantine;
    quarantine.attemptAbandoned("given up", "e1", Start);
    quarantine.attemptBroken("cut", "e1", Start + milliseconds(10));
    quarantine.endpointDelisted("e1", Start + seconds(3));
    CHECK(quarantine.crashes("given up", Start + seconds(3)) == 0);
    CHECK(quarantine.crashes("cut", Start + seconds(3)) == 1);
}

// Guards against a third attempt before it is known whether the second endpoint crashed.
TEST_CASE("a request waits while its second crash is unconfirmed")
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

// Guards against the quarantine of a harmless request that ran beside the crashing one.
TEST_CASE("three crashes that another request explains do not quarantine a request")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3"})
        crashWith(quarantine, endpoint, {"bad", "beside"});
    CHECK_FALSE(isQuarantined(quarantine, "bad"));
    CHECK_FALSE(isQuarantined(quarantine, "beside"));
    crashWith(quarantine, "by itself", {"beside"});
    CHECK_FALSE(isQuarantined(quarantine, "beside"));
    crashWith(quarantine, "e4", {"bad"});
    crashWith(quarantine, "e5", {"bad"});
    CHECK(isQuarantined(quarantine, "bad"));
    CHECK_FALSE(isQuarantined(quarantine, "beside"));
}

// Guards against a decision that is based on the records of one instance only: another instance may
// have sent the request that explains all crashes.
TEST_CASE("a request is deferred until the records of other instances have arrived")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3"})
        crashWith(quarantine, endpoint, {"beside"});
    CHECK(quarantine.sendPermission("beside", Start) == SendPermission::Deferred);
    CHECK(quarantine.blockedFor("beside", Start) == seconds(2));
    quarantine.setShared({{"bad", "e1", Start}, {"bad", "e2", Start}, {"bad", "e3", Start}});
    CHECK(quarantine.sendPermission("beside", Start + seconds(1)) == SendPermission::Deferred);
    CHECK(quarantine.sendPermission("beside", Start + seconds(2)) == SendPermission::TrialOnly);
    CHECK(quarantine.sendPermission("beside", Start + seconds(10)) == SendPermission::TrialOnly);
}

TEST_CASE("two requests with the same five crashes are both quarantined")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3", "e4", "e5"})
        crashWith(quarantine, endpoint, {"bad", "beside"});
    CHECK(isQuarantined(quarantine, "bad"));
    CHECK(isQuarantined(quarantine, "beside"));
}

// Guards against the quarantine of a harmless request by one explained crash and two others.
TEST_CASE("a single crash that another request explains does not count")
{
    Quarantine quarantine;
    crashWith(quarantine, "e1", {"beside"});
    crashWith(quarantine, "e2", {"beside"});
    crashWith(quarantine, "e3", {"bad", "beside"});
    crashWith(quarantine, "e4", {"bad"});
    crashWith(quarantine, "e5", {"bad"});
    crashWith(quarantine, "e6", {"bad"});
    CHECK(isQuarantined(quarantine, "bad"));
    CHECK_FALSE(isQuarantined(quarantine, "beside"));
}

TEST_CASE("a success clears the crashes of a request and retracts its published records")
{
    Quarantine quarantine;
    crashWith(quarantine, "e1", {"good"});
    crashWith(quarantine, "e2", {"good"});
    REQUIRE(quarantine.takeUpdate(Start).added.size() == 2);
    quarantine.requestSucceeded("good", Start);
    CHECK(quarantine.crashes("good", Start) == 0);
    CHECK(quarantine.takeUpdate(Start).removed.size() == 2);
}

// Guards against the quarantine of a request that many callers send, when three endpoints crash
// together for another reason.
TEST_CASE("a request that succeeded a second before is quarantined after five crashes")
{
    Quarantine quarantine;
    quarantine.requestSucceeded("popular", Start - seconds(1));
    for (const char *endpoint : {"e1", "e2", "e3"})
        crashWith(quarantine, endpoint, {"popular"});
    CHECK_FALSE(isQuarantined(quarantine, "popular"));
    CHECK(quarantine.sendPermission("popular", Start + seconds(10)) == SendPermission::TrialOnly);
    crashWith(quarantine, "e4", {"popular"});
    crashWith(quarantine, "e5", {"popular"});
    CHECK(isQuarantined(quarantine, "popular"));
}

// Guards against an early success that clears a request permanently.
TEST_CASE("a success a minute before the crashes does not prevent quarantine")
{
    Quarantine quarantine;
    quarantine.requestSucceeded("bad", Start - minutes(1));
    for (const char *endpoint : {"e1", "e2", "e3"})
        crashWith(quarantine, endpoint, {"bad"});
    CHECK(isQuarantined(quarantine, "bad"));
}

TEST_CASE("a success retracts only shared records of earlier crashes")
{
    Quarantine quarantine;
    quarantine.requestSucceeded("good", Start);
    quarantine.setShared({{"good", "e1", Start - seconds(1)}, {"good", "e2", Start + seconds(1)}});
    CHECK(quarantine.crashes("good", Start + seconds(2)) == 1);
    const CrashUpdate update = quarantine.takeUpdate(Start + seconds(2));
    CHECK(update.removed == std::vector<CrashRecord> {{"good", "e1", Start - seconds(1)}});
}

// Guards against crashes that are not added up because each was recorded by another instance.
TEST_CASE("crashes recorded by three instances quarantine the request at a new instance")
{
    std::vector<CrashRecord> records;
    for (const char *endpoint : {"e1", "e2", "e3"}) {
        Quarantine instance;
        crashWith(instance, endpoint, {"bad"});
        const CrashUpdate update = instance.takeUpdate(Start + seconds(1));
        records.insert(records.end(), update.added.begin(), update.added.end());
    }
    Quarantine newInstance;
    newInstance.setShared(records);
    CHECK(isQuarantined(newInstance, "bad"));
}

TEST_CASE("retracted shared records are removed, unpublished ones are kept")
{
    Quarantine quarantine;
    quarantine.setShared({{"a", "e1", Start}, {"a", "e2", Start}});
    crashWith(quarantine, "e3", {"a"});
    quarantine.setShared({{"a", "e1", Start}});
    CHECK(quarantine.crashes("a", Start) == 2);
}

TEST_CASE("nothing is published without a crash, nor for a request that succeeds soon after")
{
    Quarantine quarantine;
    quarantine.requestSucceeded("good", Start);
    CHECK(quarantine.takeUpdate(Start).empty());
    crashWith(quarantine, "e1", {"beside", "bad"});
    CHECK(quarantine.takeUpdate(Start + milliseconds(100)).empty());
    quarantine.requestSucceeded("beside", Start);
    const CrashUpdate update = quarantine.takeUpdate(Start + seconds(1));
    CHECK(update.added == std::vector<CrashRecord> {{"bad", "e1", Start}});
    CHECK(update.removed.empty());
    CHECK(quarantine.takeUpdate(Start + seconds(2)).empty());
}

TEST_CASE("a quarantine expires, and its records are retracted with the next update")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3"})
        crashWith(quarantine, endpoint, {"bad"});
    REQUIRE(quarantine.takeUpdate(Start + seconds(1)).added.size() == 3);
    CHECK(quarantine.blockedFor("bad", Start + minutes(4)) == minutes(6));
    const Time later = Start + minutes(11);
    CHECK_FALSE(isQuarantined(quarantine, "bad", later));
    CHECK(quarantine.takeUpdate(later).empty());
    crashWith(quarantine, "e4", {"other"}, later);
    const CrashUpdate update = quarantine.takeUpdate(later + seconds(1));
    CHECK(update.added.size() == 1);
    CHECK(update.removed.size() == 3);
}

namespace {

using Causes = std::vector<std::string>;

/// Crashes \a endpoint under a request with the possible causes \a causes.
void crashUnder(Quarantine &quarantine, const std::string &endpoint, const Causes &causes,
                Time now = Start)
{
    crashWith(quarantine, endpoint, causes, now);
}

} // namespace

// Guards against crashes that are not added up because each request has other content.
TEST_CASE("requests with a part are quarantined after four crashes, whatever else they hold")
{
    Quarantine quarantine;
    crashUnder(quarantine, "e1", {"a", "part-first", "part-bad"});
    crashUnder(quarantine, "e2", {"b", "part-first", "part-bad"});
    const Causes next {"c", "part-other", "part-bad"};
    CHECK(quarantine.sendPermission(next, Start) == SendPermission::TrialOnly);
    CHECK(quarantine.causeToTry(next, Start) == "part-bad");
    crashUnder(quarantine, "e3", {"d", "part-other", "part-bad"});
    CHECK(quarantine.sendPermission(next, Start) == SendPermission::Deferred);
    CHECK(quarantine.sendPermission(next, Start + seconds(2)) == SendPermission::TrialOnly);
    crashUnder(quarantine, "e4", {"e", "part-third", "part-bad"});
    const Time later = Start + seconds(3);
    CHECK(quarantine.sendPermission(next, later) == SendPermission::Quarantined);
    CHECK(quarantine.sendPermission(Causes {"e", "part-other"}, later) == SendPermission::Allowed);
    CHECK(quarantine.quarantinedParts(later) == Causes {"part-bad"});
    CHECK(quarantine.blockedFor(next, later) == seconds(27));
}

// Guards against a request that crashes several endpoints and by that excuses the part it has.
TEST_CASE("a content with some of a part's crashes does not explain them")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3"})
        crashUnder(quarantine, endpoint, {"retried", "part-bad"});
    crashUnder(quarantine, "e4", {"b", "part-bad"});
    CHECK(quarantine.sendPermission(Causes {"c", "part-bad"}, Start + seconds(3))
          == SendPermission::Quarantined);
}

// Guards against a common part that is blocked because all crashing requests have it too.
TEST_CASE(
    "a part that crashing requests always have is tried alone, and sent if it succeeded before")
{
    const bool succeededBefore = GENERATE(true, false);
    Quarantine quarantine;
    if (succeededBefore)
        quarantine.requestSucceeded("part-first", Start - minutes(2));
    for (const char *endpoint : {"e1", "e2", "e3", "e4"})
        crashUnder(quarantine, endpoint, {endpoint, "part-first", "part-bad"});
    const Time later = Start + seconds(3);
    CHECK(quarantine.sendPermission(Causes {"a", "part-first", "part-bad"}, later)
          == SendPermission::Quarantined);
    CHECK(quarantine.sendPermission(Causes {"b", "part-first"}, later)
          == (succeededBefore ? SendPermission::Allowed : SendPermission::TrialOnly));
    quarantine.requestSucceeded("part-first", later);
    CHECK(quarantine.sendPermission(Causes {"b", "part-first"}, later) == SendPermission::Allowed);
    CHECK(quarantine.sendPermission(Causes {"a", "part-first", "part-bad"}, later)
          == SendPermission::Quarantined);
}

// Guards against a common part that hides which of the parts beside it crash endpoints.
TEST_CASE("two crashing parts after the same first part are quarantined, and the first part is not")
{
    Quarantine quarantine;
    quarantine.requestSucceeded("part-first", Start - minutes(2));
    for (const char *endpoint : {"e1", "e2", "e3", "e4"})
        crashUnder(quarantine, endpoint, {endpoint, "part-first", "part-bad"});
    for (const char *endpoint : {"e5", "e6", "e7", "e8"})
        crashUnder(quarantine, endpoint, {endpoint, "part-first", "part-worse"});
    const Time later = Start + seconds(3);
    CHECK(quarantine.quarantinedParts(later) == Causes {"part-bad", "part-worse"});
    CHECK(quarantine.sendPermission(Causes {"a", "part-first"}, later) == SendPermission::Allowed);
}

// Guards against the loss of all service: a part that most requests have is on all endpoints that
// crash for another reason.
TEST_CASE("a part whose requests succeed is sent on, however many endpoints crash with it")
{
    Quarantine quarantine;
    for (int i = 0; i < 10; ++i) {
        quarantine.requestSucceeded("part-common", Start + i * seconds(1));
        for (const char *endpoint : {"a", "b", "c", "d"})
            crashUnder(quarantine, endpoint + std::to_string(i), {"part-common"},
                       Start + i * seconds(1) + milliseconds(10));
        const Time now = Start + i * seconds(1) + milliseconds(500);
        CHECK(quarantine.sendPermission("part-common", now) == SendPermission::Allowed);
        CHECK(quarantine.takeUpdate(now).empty());
    }
}

// Guards against many refused callers if a harmless part was quarantined, and against trials
// without end of one that crashes endpoints.
TEST_CASE("the quarantine of a part ends with a trial and doubles after each that crashes")
{
    Quarantine quarantine;
    for (const char *endpoint : {"e1", "e2", "e3", "e4"})
        crashUnder(quarantine, endpoint, {"part-bad"});
    Time now = Start;
    for (const auto quarantined : {seconds(30), seconds(60), seconds(120), seconds(600)}) {
        CHECK(quarantine.sendPermission("part-bad", now + quarantined - milliseconds(1))
              == SendPermission::Quarantined);
        if (quarantined == seconds(600))
            return;
        now += quarantined;
        CHECK(quarantine.sendPermission("part-bad", now) == SendPermission::TrialOnly);
        crashUnder(quarantine, "trial " + std::to_string(quarantined.count()), {"part-bad"}, now);
    }
}

// Guards against the first crash of a part that waits behind those of many harmless contents.
TEST_CASE("crashes of a part are published at once and before those of contents")
{
    Quarantine quarantine;
    for (int i = 0; i < 200; ++i)
        quarantine.attemptBroken("content " + std::to_string(i), "e1", Start);
    crashUnder(quarantine, "e1", {"part-bad"});
    CHECK(quarantine.takeUpdate(Start).added
          == std::vector<CrashRecord> {{"part-bad", "e1", Start}});
    crashUnder(quarantine, "e2", {"part-bad"}, Start + seconds(1));
    const CrashUpdate update = quarantine.takeUpdate(Start + seconds(1));
    CHECK(update.added.size() == QuarantineSettings {}.maxPerUpdate);
    CHECK(update.added.front().digest == "part-bad");
}

// Guards against a caller that lists many parts, so that no others are stored.
TEST_CASE(
    "a flood of parts and contents neither evicts a part with several crashes nor keeps it out")
{
    Quarantine quarantine;
    crashUnder(quarantine, "e1", {"part-bad"});
    crashUnder(quarantine, "e2", {"part-bad"});
    for (int i = 0; i < 5'000; ++i)
        crashUnder(quarantine, "f" + std::to_string(i % 50),
                   {"flood " + std::to_string(i), "part-" + std::to_string(i)});
    CHECK(quarantine.suspectCount() <= QuarantineSettings {}.maxDigests);
    CHECK(quarantine.crashes("part-bad", Start) == 2);
    crashUnder(quarantine, "e3", {"part-new"});
    CHECK(quarantine.crashes("part-new", Start) == 1);
}

// Guards against a caller that fills the memory with different requests on crashing endpoints.
TEST_CASE("stored and published records are bounded, and requests with several crashes are kept")
{
    Quarantine quarantine;
    crashWith(quarantine, "e1", {"bad"});
    crashWith(quarantine, "e2", {"bad"});
    for (int i = 0; i < 20'000; ++i)
        crashWith(quarantine, "f" + std::to_string(i % 50), {"flood " + std::to_string(i)});
    CHECK(quarantine.suspectCount() <= QuarantineSettings {}.maxDigests);
    CHECK(quarantine.crashes("bad", Start) == 2);
    CHECK(quarantine.takeUpdate(Start + seconds(1)).added.size()
          <= QuarantineSettings {}.maxPerUpdate);
}

// Guards against a full table in which no new request is suspected.
TEST_CASE("a request is quarantined although the table is full of shared records")
{
    Quarantine quarantine;
    std::vector<CrashRecord> records;
    for (std::size_t i = 0; i < QuarantineSettings {}.maxDigests; ++i)
        records.push_back({"shared " + std::to_string(i), "f" + std::to_string(i % 50), Start});
    quarantine.setShared(records);
    for (const char *endpoint : {"e1", "e2", "e3"})
        crashWith(quarantine, endpoint, {"bad"});
    CHECK(isQuarantined(quarantine, "bad"));
    CHECK(quarantine.suspectCount() <= QuarantineSettings {}.maxDigests);
    CHECK(quarantine.takeUpdate(Start + seconds(1)).removed.size() == 1);
}

namespace {

/// The worst results of random schedules.
struct ScheduleResult
{
    std::size_t harmlessQuarantined = 0; ///< harmless requests that were ever quarantined
    std::size_t maxCrashes = 0; ///< endpoints crashed by the crashing request in one schedule
};

/// What the crashing request of a Schedule is recognised by.
enum class CrashingBy : std::uint8_t { Content, Part };

/// Six instances, eight endpoints, one request that crashes each endpoint it is sent to and is
/// retried once, harmless requests, and two crashes without a cause. Crash records reach the other
/// instances one step later. With CrashingBy::Part, the crashing request has another content each
/// time, and shares its first part with a sixth of the harmless requests.
class Schedule
{
public:
    Schedule(std::uint64_t seed, const QuarantineSettings &settings, CrashingBy crashingBy)
        : m_random(seed)
        , m_crashingBy(crashingBy)
        , m_instances(Instances, Quarantine(settings))
    {
    }

    ScheduleResult run()
    {
        for (std::size_t i = 0; i < Harmless; ++i)
            m_harmless.push_back(newRequest());
        for (int step = 0; step < Steps; ++step) {
            m_now += seconds(1);
            share();
            if (pick(4) == 0 && m_otherCrashesLeft-- > 0)
                crash(pick(Endpoints), {}, 0);
            const std::size_t instance = pick(Instances);
            const Causes crashing = crashingCauses();
            for (int attempt = 0;
                 attempt < 2 && sendPermission(instance, crashing) == SendPermission::Allowed;
                 ++attempt)
                crash(pick(Endpoints), crashing, instance);
            if (sendPermission(instance, crashing) == SendPermission::TrialOnly)
                crash(endpointWithoutTrial(), crashing, instance);
            for (Request &each : m_harmless)
                advance(each);
        }
        return m_result;
    }

private:
    static constexpr std::size_t Instances = 6;
    static constexpr std::size_t Endpoints = 8;
    static constexpr std::size_t Harmless = 24;
    /// Stands for the endpoint of a request that is at no endpoint now.
    static constexpr std::size_t NoEndpoint = Endpoints;
    static constexpr int Steps = 10;
    static constexpr std::size_t MaxAttempts = 3;

    static constexpr std::size_t SharedParts = 6;

    using Causes = std::vector<std::string>;

    struct Request
    {
        Causes causes;
        std::size_t instance = 0;
        std::size_t endpoint = 0;
        std::size_t interruptions = 0;
        std::size_t attempts = 1;
        bool finished = false;
        bool onTrial = false; ///< the only trial at its endpoint
    };

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    SendPermission sendPermission(std::size_t instance, const Causes &causes) const
    {
        return m_instances[instance].sendPermission(causes, m_now);
    }

    Request newRequest()
    {
        Request request {
            {"harmless " + std::to_string(m_nextId++)}, pick(Instances), pick(Endpoints)};
        if (m_crashingBy == CrashingBy::Part)
            request.causes.push_back("part-" + std::to_string(pick(SharedParts)));
        return request;
    }

    Causes crashingCauses()
    {
        if (m_crashingBy == CrashingBy::Content)
            return {"crashing"};
        return {"content " + std::to_string(m_nextId++), "part-0", "part-crashing"};
    }

    /// A random endpoint without a trial, or NoEndpoint if there is none.
    std::size_t endpointWithoutTrial()
    {
        std::vector<std::size_t> all;
        for (std::size_t endpoint = 0; endpoint < Endpoints; ++endpoint)
            if (std::none_of(m_harmless.begin(), m_harmless.end(), [&](const Request &each) {
                    return each.onTrial && !each.finished && each.endpoint == endpoint;
                }))
                all.push_back(endpoint);
        return all.empty() ? NoEndpoint : all[pick(all.size())];
    }

    void crash(std::size_t endpoint, const Causes &crashing, std::size_t crashingAt)
    {
        const std::string id = std::to_string(endpoint) + "@" + std::to_string(m_nextId++);
        const auto interrupt = [&](std::size_t instance, const Causes &causes) {
            for (const std::string &digest : causes)
                m_instances[instance].attemptBroken(digest, id, m_now);
            m_instances[instance].endpointCrashed(id, m_now);
        };
        if (!crashing.empty()) {
            interrupt(crashingAt, crashing);
            m_result.maxCrashes += 1;
        }
        for (Request &each : m_harmless)
            if (!each.finished && each.endpoint == endpoint) {
                interrupt(each.instance, each.causes);
                handleInterruption(each);
            }
    }

    /// Retries the request on another endpoint. After two interruptions, or one in a trial, it
    /// fails and its caller sends it again.
    void handleInterruption(Request &request)
    {
        const bool wasOnTrial = std::exchange(request.onTrial, false);
        request.endpoint = pick(Endpoints);
        if (++request.interruptions < 2 && !wasOnTrial)
            return;
        request.interruptions = 0;
        request.instance = pick(Instances);
        request.endpoint = NoEndpoint;
        request.finished = ++request.attempts > MaxAttempts;
    }

    /// Sends the request again if its permission allows it.
    void resend(Request &request)
    {
        const SendPermission permission = sendPermission(request.instance, request.causes);
        if (permission == SendPermission::Allowed)
            request.endpoint = pick(Endpoints);
        if (permission == SendPermission::TrialOnly)
            request.endpoint = endpointWithoutTrial();
        request.onTrial = permission == SendPermission::TrialOnly && request.endpoint != NoEndpoint;
        request.finished = permission == SendPermission::Quarantined;
        m_result.harmlessQuarantined += request.finished ? 1 : 0;
    }

    void advance(Request &request)
    {
        if (request.finished)
            return;
        if (request.endpoint == NoEndpoint)
            return resend(request);
        if (pick(2) == 0)
            return;
        for (const std::string &digest : request.causes)
            m_instances[request.instance].requestSucceeded(digest, m_now);
        request = newRequest();
    }

    void share()
    {
        for (Quarantine &each : m_instances) {
            const CrashUpdate update = each.takeUpdate(m_now);
            m_sharedRecords.insert(m_sharedRecords.end(), update.added.begin(), update.added.end());
            for (const CrashRecord &removed : update.removed)
                std::erase_if(m_sharedRecords, [&](const CrashRecord &shared) {
                    return shared.digest == removed.digest && shared.endpoint == removed.endpoint;
                });
        }
        for (Quarantine &each : m_instances)
            each.setShared(m_sharedRecords);
    }

    std::mt19937_64 m_random;
    CrashingBy m_crashingBy;
    std::vector<Quarantine> m_instances;
    std::vector<Request> m_harmless;
    std::vector<CrashRecord> m_sharedRecords;
    std::uint64_t m_nextId = 0;
    int m_otherCrashesLeft = 2;
    Time m_now = Start;
    ScheduleResult m_result;
};

ScheduleResult runSchedules(std::uint64_t count, const QuarantineSettings &settings = {},
                            CrashingBy crashingBy = CrashingBy::Content)
{
    ScheduleResult all;
    for (std::uint64_t seed = 0; seed < count; ++seed) {
        const ScheduleResult result = Schedule(seed, settings, crashingBy).run();
        all.harmlessQuarantined += result.harmlessQuarantined;
        all.maxCrashes = std::max(all.maxCrashes, result.maxCrashes);
    }
    return all;
}

} // namespace

TEST_CASE("random schedules quarantine the crashing request and no harmless one")
{
    const ScheduleResult result = runSchedules(100'000);
    CHECK(result.harmlessQuarantined == 0);
    CHECK(result.maxCrashes <= QuarantineSettings {}.crashesToForceQuarantine);
}

/// Crashes until a part is quarantined, and three trials.
constexpr std::size_t MaxCrashesByPart = 8;

TEST_CASE("random schedules quarantine the crashing part and no harmless request")
{
    const ScheduleResult result = runSchedules(10'000, {}, CrashingBy::Part);
    CHECK(result.harmlessQuarantined == 0);
    CHECK(result.maxCrashes <= MaxCrashesByPart);
}

TEST_CASE("many random schedules quarantine the crashing part and no harmless request", "[.long]")
{
    const ScheduleResult result = runSchedules(100'000, {}, CrashingBy::Part);
    CHECK(result.harmlessQuarantined == 0);
    CHECK(result.maxCrashes <= MaxCrashesByPart);
}

TEST_CASE("random schedules detect weakened settings")
{
    QuarantineSettings oneCrash;
    oneCrash.crashesToQuarantine = 1;
    CHECK(runSchedules(300, oneCrash).harmlessQuarantined > 0);
    QuarantineSettings ignoresExplanations;
    ignoresExplanations.crashesToForceQuarantine = ignoresExplanations.crashesToQuarantine;
    CHECK(runSchedules(20'000, ignoresExplanations).harmlessQuarantined > 0);
    QuarantineSettings neverQuarantines;
    neverQuarantines.crashesToQuarantine = neverQuarantines.crashesToForceQuarantine = 100;
    CHECK(runSchedules(10, neverQuarantines).maxCrashes
          > QuarantineSettings {}.crashesToForceQuarantine);
}
