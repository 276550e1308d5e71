// The traffic core against stand-in engines, in virtual time.

#include "../fakes/routerharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

constexpr std::uint32_t Layers = 12;

std::vector<EngineSettings> threeStages(std::size_t chains)
{
    std::vector<EngineSettings> engines;
    for (std::size_t i = 0; i < chains * 3; ++i) {
        EngineSettings engine;
        const auto first = static_cast<std::uint32_t>(i % 3 * 4);
        engine.layers = {first, first + 4};
        engines.push_back(engine);
    }
    return engines;
}

RouterHarness makeHarness(std::vector<EngineSettings> engines, HarnessSettings settings = {},
                          bool nonIdempotent = false)
{
    auto config = harnessConfig("model", Layers, engines, {}, nonIdempotent);
    return RouterHarness(std::move(settings), std::move(config), std::move(engines));
}

Request completion(const RouterHarness &harness, const std::string &prompt,
                   std::uint32_t tokens = 20)
{
    Request request;
    request.target = "model";
    request.team = "team";
    request.prompt = prompt;
    request.maxTokens = tokens;
    request.deadline = harness.now() + std::chrono::seconds(60);
    return request;
}

std::string expected(const CallerRecord &record)
{
    return expectedCompletion("model", Layers, record.request.prompt, record.request.maxTokens);
}

/// Each token that a caller got comes from one attempt in which every layer
/// ran exactly once, in order, according to the engines' own logs.
void checkLayers(RouterHarness &harness, const CallerRecord &record)
{
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<std::pair<Time, LayerRange>>>
        runs;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::string> outputs;
    for (std::size_t i = 0; i < harness.engineCount(); ++i) {
        for (const ExecutionRecord &entry : harness.engine(i).model.log()) {
            if (entry.request != record.request.id)
                continue;
            const std::pair key(entry.position, entry.attempt);
            runs[key].emplace_back(entry.at, entry.layers);
            if (entry.layers.end == Layers)
                outputs[key] = entry.output;
        }
    }
    for (std::uint32_t position = 0; position < record.tokens.size(); ++position) {
        bool proved = false;
        for (auto &[key, steps] : runs) {
            if (key.first != position || outputs[key] != record.tokens[position].second)
                continue;
            std::sort(steps.begin(), steps.end());
            std::uint32_t layer = 0;
            for (const auto &[at, layers] : steps) {
                REQUIRE(layers.begin == layer);
                layer = layers.end;
            }
            proved = proved || layer == Layers;
        }
        REQUIRE(proved);
    }
}

} // namespace

TEST_CASE("a completion runs through all layers and comes back whole", "[router]")
{
    auto harness = makeHarness(threeStages(2));
    const RequestId id = harness.submit(0, completion(harness, "hello"));
    harness.runFor(std::chrono::seconds(5));
    const CallerRecord &record = harness.record(id);
    REQUIRE(record.answer);
    CHECK(record.answer->body == expected(record));
    CHECK(record.text() == expected(record));
    checkLayers(harness, record);
}

TEST_CASE("many callers each get their own answer", "[router]")
{
    auto harness = makeHarness(threeStages(3), {.routers = 2});
    for (int i = 0; i < 200; ++i)
        harness.submit(i % 2, completion(harness, "prompt " + std::to_string(i)));
    harness.runFor(std::chrono::seconds(60));
    for (const auto &[id, record] : harness.records()) {
        REQUIRE(record.answer);
        REQUIRE(record.answer->body == expected(record));
        checkLayers(harness, record);
    }
}

TEST_CASE("a killed stage: the stream goes on elsewhere, unbroken", "[router][failure]")
{
    // The caller sees one complete stream with a short pause. An engine in the
    // middle of the chain dies while the request is half done; its connection
    // is reset. A new attempt resumes from the tokens already given, because
    // sending the lost step again could run layers twice in the old attempt.
    auto harness = makeHarness(threeStages(2));
    std::vector<RequestId> ids;
    for (int i = 0; i < 6; ++i)
        ids.push_back(harness.submit(0, completion(harness, "p" + std::to_string(i), 40)));
    harness.runFor(std::chrono::milliseconds(300));
    harness.kill(1);
    harness.runFor(std::chrono::seconds(20));
    for (const RequestId id : ids) {
        const CallerRecord &record = harness.record(id);
        REQUIRE(record.answer);
        CHECK(record.answer->body == expected(record));
        checkLayers(harness, record);
    }
    CHECK(harness.router(0).counters().retries > 0);
}

TEST_CASE("a frozen stage: late answers of a given up attempt are dropped", "[router][failure]")
{
    // The caller sees one complete stream. An engine is stopped past every
    // timeout and then goes on: it answers steps of attempts that have been
    // given up, while newer attempts run. Those answers must not add tokens.
    auto harness = makeHarness(threeStages(2));
    std::vector<RequestId> ids;
    for (int i = 0; i < 6; ++i)
        ids.push_back(harness.submit(0, completion(harness, "p" + std::to_string(i), 40)));
    harness.runFor(std::chrono::milliseconds(300));
    harness.freeze(1, true);
    harness.runFor(std::chrono::milliseconds(900));
    harness.freeze(1, false);
    harness.runFor(std::chrono::seconds(20));
    for (const RequestId id : ids) {
        const CallerRecord &record = harness.record(id);
        REQUIRE(record.answer);
        CHECK(record.answer->body == expected(record));
        checkLayers(harness, record);
    }
    CHECK(harness.router(0).counters().lateAnswers > 0);
}

TEST_CASE("crossed answers reach nobody", "[router][failure]")
{
    // Two answers are crossed on their way: each connection delivers the
    // other's. Without the echo the callers would get each other's tokens.
    auto harness = makeHarness(threeStages(2));
    std::vector<RequestId> ids;
    for (int i = 0; i < 4; ++i)
        ids.push_back(harness.submit(0, completion(harness, "p" + std::to_string(i), 40)));
    harness.runFor(std::chrono::milliseconds(200));
    harness.engine(0).answersToMisroute = 2;
    harness.engine(2).answersToMisroute = 2;
    harness.runFor(std::chrono::seconds(20));
    for (const RequestId id : ids) {
        const CallerRecord &record = harness.record(id);
        REQUIRE(record.answer);
        CHECK(record.answer->body == expected(record));
    }
    CHECK(harness.router(0).counters().mismatchedAnswers == 4);
}

TEST_CASE("a request marked non-idempotent is never sent again", "[router][failure]")
{
    // The caller sees an error that says "unknown". The engine dies after the
    // request was sent; whether it ran cannot be told, so sending it to
    // another engine could run it twice.
    auto harness = makeHarness(threeStages(2));
    Request request = completion(harness, "load feeder bank 4", 40);
    request.nonIdempotent = true;
    const RequestId id = harness.submit(0, std::move(request));
    harness.runFor(std::chrono::milliseconds(200));
    for (std::size_t i = 0; i < 3; ++i)
        harness.kill(i);
    for (std::size_t i = 3; i < 6; ++i)
        harness.kill(i);
    harness.runFor(std::chrono::seconds(5));
    const CallerRecord &record = harness.record(id);
    REQUIRE(record.refusal);
    CHECK(record.refusal->code == RefusalCode::EndpointFailed);
    CHECK(record.refusal->ran == Executed::Unknown);
    CHECK(harness.router(0).counters().dispatched == 1);
}

TEST_CASE("a refused connection proves that nothing ran", "[router][failure]")
{
    // The caller is told "not run". No engine accepts connections; the
    // request is given up on after a few tries, long before its deadline.
    auto harness = makeHarness(threeStages(1));
    harness.kill(0);
    Request request = completion(harness, "x");
    request.nonIdempotent = true;
    const RequestId id = harness.submit(0, std::move(request));
    harness.runFor(std::chrono::seconds(30));
    const CallerRecord &record = harness.record(id);
    REQUIRE(record.refusal);
    CHECK(record.refusal->code == RefusalCode::NoEndpoint);
    CHECK(record.refusal->ran == Executed::No);
    CHECK(record.refusal->retryAfter > Duration::zero());
    CHECK(record.finishedAt - record.submittedAt < std::chrono::seconds(10));
}

TEST_CASE("a link that degrades is avoided, and tried again later", "[router][failure]")
{
    // Callers see whole streams, for a while slower ones. The link to one of
    // two like engines becomes a hundred times slower without any error; the
    // inventory does not know it, the round trips of steps show it.
    std::vector<EngineSettings> engines(2);
    for (EngineSettings &engine : engines)
        engine.layers = {0, Layers};
    auto harness = makeHarness(engines);
    const auto shareOfFirst = [&](int count) {
        const auto before = harness.engine(0).model.prefills();
        for (int i = 0; i < count; ++i) {
            harness.submit(0,
                           completion(harness, "p" + std::to_string(harness.records().size()), 10));
            harness.runFor(std::chrono::milliseconds(40));
        }
        return static_cast<double>(harness.engine(0).model.prefills() - before) / count;
    };
    CHECK(shareOfFirst(100) > 0.3);
    harness.engine(0).extraLatency = Duration(20'000);
    shareOfFirst(20);
    CHECK(shareOfFirst(100) < 0.15);
    harness.engine(0).extraLatency = Duration(0);
    harness.runFor(std::chrono::seconds(60));
    shareOfFirst(40);
    CHECK(shareOfFirst(100) > 0.3);
    harness.runFor(std::chrono::seconds(10));
    for (const auto &[id, record] : harness.records()) {
        REQUIRE(record.answer);
        CHECK(record.answer->body == expected(record));
    }
}

TEST_CASE("a leaving endpoint gets no new work, whatever late reports say", "[router][failure]")
{
    // Callers see nothing. An endpoint says in an answer that it is leaving;
    // an older report, under way since before, must not undo that.
    auto harness = makeHarness(threeStages(2));
    harness.router(0).setLeaving("e0", true);
    for (int i = 0; i < 8; ++i)
        harness.submit(0, completion(harness, "p" + std::to_string(i)));
    harness.runFor(std::chrono::seconds(10));
    for (const auto &[id, record] : harness.records())
        CHECK(record.answer);
    CHECK(harness.engine(0).model.log().empty());
}

TEST_CASE("what cannot meet its deadline is refused at once, as not run", "[router]")
{
    auto harness = makeHarness(threeStages(1));
    harness.submit(0, completion(harness, "warm up"));
    harness.runFor(std::chrono::seconds(5));
    Request request = completion(harness, "late", 100);
    request.deadline = harness.now() + std::chrono::milliseconds(50);
    const RequestId id = harness.submit(0, std::move(request));
    const CallerRecord &record = harness.record(id);
    REQUIRE(record.refusal);
    CHECK(record.refusal->code == RefusalCode::DeadlineUnmeetable);
    CHECK(record.refusal->ran == Executed::No);
    CHECK(record.refusal->retryAfter > Duration::zero());
}

TEST_CASE("a draining instance refuses and finishes what it has", "[router]")
{
    auto harness = makeHarness(threeStages(1));
    const RequestId running = harness.submit(0, completion(harness, "a"));
    harness.runFor(std::chrono::milliseconds(50));
    harness.router(0).startDrain();
    const RequestId refused = harness.submit(0, completion(harness, "b"));
    harness.runFor(std::chrono::seconds(5));
    CHECK(harness.record(running).answer);
    REQUIRE(harness.record(refused).refusal);
    CHECK(harness.record(refused).refusal->code == RefusalCode::Draining);
    CHECK(harness.record(refused).refusal->ran == Executed::No);
}

TEST_CASE("one key sent through two instances runs once", "[router][claims]")
{
    // Both callers get the answer or an honest "in progress". The same key
    // reaches two instances at the same time; only the conditional insert in
    // the table decides which of them may send it.
    auto harness = makeHarness(threeStages(2), {.routers = 2});
    Request request = completion(harness, "checklist 9");
    request.key = "k9";
    request.contentDigest = "d";
    request.nonIdempotent = true;
    const RequestId first = harness.submit(0, request);
    const RequestId second = harness.submit(1, request);
    harness.runFor(std::chrono::seconds(5));
    const RequestId third = harness.submit(1, request);
    harness.runFor(std::chrono::seconds(5));
    CHECK(harness.router(0).counters().dispatched + harness.router(1).counters().dispatched == 1);
    const bool firstWon = harness.record(first).answer.has_value();
    const CallerRecord &loser = harness.record(firstWon ? second : first);
    REQUIRE(loser.refusal);
    CHECK(loser.refusal->code == RefusalCode::DuplicateInProgress);
    CHECK(loser.refusal->ran == Executed::Unknown);
    REQUIRE(harness.record(third).answer);
    CHECK(harness.record(third).answer->replayed);
    CHECK(harness.record(third).answer->body == expected(harness.record(third)));
}

TEST_CASE("the answer to a claim is lost: it is settled by reading", "[router][claims][failure]")
{
    // The caller sees an ordinary answer. The table service commits the claim
    // but its answer is lost; writing again would conflict with ourselves, so
    // the row is read and shows this request's own nonce.
    auto harness = makeHarness(threeStages(2));
    harness.loseTableAnswers = 1;
    Request request = completion(harness, "flag diary 3");
    request.key = "k3";
    request.nonIdempotent = true;
    const RequestId id = harness.submit(0, request);
    harness.runFor(std::chrono::seconds(5));
    REQUIRE(harness.record(id).answer);
    CHECK(harness.router(0).counters().dispatched == 1);
}

TEST_CASE("the table service is down: keyed requests are refused as not run",
          "[router][claims][failure]")
{
    // The caller is told "not run" and when to come back, well before its
    // deadline. When the service is back, the same key works.
    auto harness = makeHarness(threeStages(2));
    harness.tablesDown = true;
    Request request = completion(harness, "flag diary 4");
    request.key = "k4";
    request.nonIdempotent = true;
    const RequestId id = harness.submit(0, request);
    harness.runFor(std::chrono::seconds(10));
    REQUIRE(harness.record(id).refusal);
    CHECK(harness.record(id).refusal->code == RefusalCode::ClaimUnavailable);
    CHECK(harness.record(id).refusal->ran == Executed::No);
    CHECK(harness.record(id).finishedAt - harness.record(id).submittedAt < std::chrono::seconds(5));
    harness.tablesDown = false;
    harness.runFor(std::chrono::seconds(5));
    request.deadline = harness.now() + std::chrono::seconds(60);
    const RequestId again = harness.submit(0, request);
    harness.runFor(std::chrono::seconds(5));
    CHECK(harness.record(again).answer);
    CHECK(harness.router(0).counters().dispatched == 1);
}

TEST_CASE("a paused process does not send what is past its deadline", "[router][claims][failure]")
{
    // The caller is told "not run", and that is true. The process is stopped
    // while a claim is under way and wakes up after the deadline, before any
    // timer of its own has fired: the claim's answer comes first.
    std::vector<EngineSettings> engines(1);
    engines[0].layers = {0, Layers};
    Router router({.domain = "d"}, 1);
    Actions actions;
    const Time start(std::chrono::seconds(1));
    router.setConfig(harnessConfig("model", Layers, engines), start, actions);
    Request request;
    request.id = 1;
    request.target = "model";
    request.team = "team";
    request.prompt = "p";
    request.maxTokens = 3;
    request.key = "k";
    request.deadline = start + std::chrono::seconds(1);
    router.submit(request, start, actions);
    REQUIRE(std::holds_alternative<StartClaim>(actions.back()));
    actions.clear();
    router.claimAnswered(1, {ClaimAnswer::Kind::Won, {}}, start + std::chrono::seconds(9), actions);
    bool freed = false;
    bool refused = false;
    for (const Action &action : actions) {
        CHECK_FALSE(std::holds_alternative<SendStep>(action));
        if (const auto *settle = std::get_if<ResolveClaim>(&action))
            freed = settle->outcome == ClaimOutcome::NotExecuted;
        if (const auto *refuse = std::get_if<RefuseRequest>(&action))
            refused = refuse->ran == Executed::No;
    }
    CHECK(freed);
    CHECK(refused);

    // Paused between the decision and the bytes: asked again before they leave.
    request.id = 2;
    request.key.clear();
    request.deadline = start + std::chrono::seconds(20);
    actions.clear();
    router.submit(request, start + std::chrono::seconds(10), actions);
    REQUIRE(std::holds_alternative<SendStep>(actions.back()));
    CHECK(router.maySend(2, 1, start + std::chrono::seconds(11)));
    CHECK_FALSE(router.maySend(2, 1, start + std::chrono::seconds(21)));
    CHECK_FALSE(router.maySend(2, 2, start + std::chrono::seconds(11)));
    router.callerGone(2, start + std::chrono::seconds(12), actions);
    CHECK_FALSE(router.maySend(2, 1, start + std::chrono::seconds(13)));
}
