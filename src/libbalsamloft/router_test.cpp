// The traffic core with engine models, in virtual time.

#include "../fakes/routerharness.h"

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

constexpr std::uint32_t Layers = 12;

std::vector<EngineSettings> threeStageEngines(std::size_t chains)
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

std::string expectedText(const CallerRecord &record)
{
    return expectedCompletion("model", Layers, record.request.prompt, record.request.maxTokens);
}

/// Checks with the logs of the engines that each token a caller received comes from one
/// attempt in which every layer was executed exactly once, in order.
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
        bool found = false;
        for (auto &[key, steps] : runs) {
            if (key.first != position || outputs[key] != record.tokens[position].second)
                continue;
            std::sort(steps.begin(), steps.end());
            std::uint32_t layer = 0;
            for (const auto &[at, layers] : steps) {
                REQUIRE(layers.begin == layer);
                layer = layers.end;
            }
            found = found || layer == Layers;
        }
        REQUIRE(found);
    }
}

} // namespace

TEST_CASE("a completion runs through all layers and returns its complete text", "[router]")
{
    auto harness = makeHarness(threeStageEngines(2));
    const RequestId id = harness.submit(0, completion(harness, "hello"));
    harness.runFor(std::chrono::seconds(5));
    const CallerRecord &record = harness.record(id);
    REQUIRE(record.answer);
    CHECK(record.answer->body == expectedText(record));
    CHECK(record.text() == expectedText(record));
    checkLayers(harness, record);
}

TEST_CASE("200 callers of two routers each get their own answer", "[router]")
{
    auto harness = makeHarness(threeStageEngines(3), {.routers = 2});
    for (int i = 0; i < 200; ++i)
        harness.submit(i % 2, completion(harness, "prompt " + std::to_string(i)));
    harness.runFor(std::chrono::seconds(60));
    for (const auto &[id, record] : harness.records()) {
        REQUIRE(record.answer);
        REQUIRE(record.answer->body == expectedText(record));
        checkLayers(harness, record);
    }
}

TEST_CASE("a stream continues without missing tokens after an engine of its chain crashes",
          "[router][failure]")
{
    // An engine in the middle of the chain crashes while requests are running, and its
    // connections are reset. A new attempt resumes from the tokens already sent, since a
    // retry of the lost step could execute layers twice in the old attempt. The caller
    // receives one complete stream with a short pause.
    auto harness = makeHarness(threeStageEngines(2));
    std::vector<RequestId> ids;
    for (int i = 0; i < 6; ++i)
        ids.push_back(harness.submit(0, completion(harness, "p" + std::to_string(i), 40)));
    harness.runFor(std::chrono::milliseconds(300));
    harness.kill(1);
    harness.runFor(std::chrono::seconds(20));
    for (const RequestId id : ids) {
        const CallerRecord &record = harness.record(id);
        REQUIRE(record.answer);
        CHECK(record.answer->body == expectedText(record));
        checkLayers(harness, record);
    }
    CHECK(harness.router(0).counters().retries > 0);
}

TEST_CASE("late answers of an abandoned attempt are dropped", "[router][failure]")
{
    // An engine is stopped for longer than every timeout and then continues. It answers
    // steps of abandoned attempts while newer attempts run. These answers must not add
    // tokens to the callers' streams.
    auto harness = makeHarness(threeStageEngines(2));
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
        CHECK(record.answer->body == expectedText(record));
        checkLayers(harness, record);
    }
    CHECK(harness.router(0).counters().lateAnswers > 0);
}

TEST_CASE("answers swapped between two connections are dropped", "[router][failure]")
{
    // Each of two connections delivers the answer meant for the other. Without the check
    // of the echoed reference, callers would receive each other's tokens.
    auto harness = makeHarness(threeStageEngines(2));
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
        CHECK(record.answer->body == expectedText(record));
    }
    CHECK(harness.router(0).counters().mismatchedAnswers == 4);
}

TEST_CASE("a non-idempotent request is not retried after its engine fails", "[router][failure]")
{
    // All engines crash after the request was sent, so its chain fails whichever engines it
    // consists of. These may have executed the request, so a retry could execute it a second time.
    // The caller gets an error with the outcome unknown.
    auto harness = makeHarness(threeStageEngines(2));
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

TEST_CASE("a request is refused as not executed if no engine accepts connections",
          "[router][failure]")
{
    // The only engine of the first stage does not accept connections. The request is refused as not
    // executed after a few attempts, long before its deadline.
    auto harness = makeHarness(threeStageEngines(1));
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

TEST_CASE("an engine behind a degraded link gets few requests until the link recovers",
          "[router][failure]")
{
    // The link to one of two equal engines becomes a hundred times slower without errors.
    // The inventory still has the old latency, but the round trips of steps are slower.
    // Callers get complete streams.
    std::vector<EngineSettings> engines(2);
    for (EngineSettings &engine : engines)
        engine.layers = {0, Layers};
    auto harness = makeHarness(engines);
    const auto shareOfFirstEngine = [&](int count) {
        const auto before = harness.engine(0).model.prefills();
        for (int i = 0; i < count; ++i) {
            harness.submit(0,
                           completion(harness, "p" + std::to_string(harness.records().size()), 10));
            harness.runFor(std::chrono::milliseconds(40));
        }
        return static_cast<double>(harness.engine(0).model.prefills() - before) / count;
    };
    CHECK(shareOfFirstEngine(100) > 0.3);
    harness.engine(0).extraLatency = Duration(20'000);
    shareOfFirstEngine(20);
    CHECK(shareOfFirstEngine(100) < 0.15);
    harness.engine(0).extraLatency = Duration(0);
    harness.runFor(std::chrono::seconds(60));
    shareOfFirstEngine(40);
    CHECK(shareOfFirstEngine(100) > 0.3);
    harness.runFor(std::chrono::seconds(10));
    for (const auto &[id, record] : harness.records()) {
        REQUIRE(record.answer);
        CHECK(record.answer->body == expectedText(record));
    }
}

TEST_CASE("a leaving endpoint gets no new requests", "[router][failure]")
{
    // Guards against requests to an endpoint that is shutting down, also while older load
    // reports, sent before it was leaving, still arrive. All requests are answered.
    auto harness = makeHarness(threeStageEngines(2));
    harness.router(0).setLeaving("e0", true);
    for (int i = 0; i < 8; ++i)
        harness.submit(0, completion(harness, "p" + std::to_string(i)));
    harness.runFor(std::chrono::seconds(10));
    for (const auto &[id, record] : harness.records())
        CHECK(record.answer);
    CHECK(harness.engine(0).model.log().empty());
}

TEST_CASE("a request that cannot meet its deadline is refused at once as not executed", "[router]")
{
    auto harness = makeHarness(threeStageEngines(1));
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

TEST_CASE("a draining instance refuses new requests and finishes running ones", "[router]")
{
    auto harness = makeHarness(threeStageEngines(1));
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

TEST_CASE("requests with the same key at two instances are executed once", "[router][claims]")
{
    // The same key reaches two instances at the same time. The conditional insert into the table
    // decides which instance may send the request. The other caller is refused as a duplicate in
    // progress, and later callers get the stored answer.
    auto harness = makeHarness(threeStageEngines(2), {.routers = 2});
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
    const CallerRecord &duplicate = harness.record(firstWon ? second : first);
    REQUIRE(duplicate.refusal);
    CHECK(duplicate.refusal->code == RefusalCode::DuplicateInProgress);
    CHECK(duplicate.refusal->ran == Executed::Unknown);
    REQUIRE(harness.record(third).answer);
    CHECK(harness.record(third).answer->replayed);
    CHECK(harness.record(third).answer->body == expectedText(harness.record(third)));
}

TEST_CASE("a claim whose answer is lost is resolved by reading its row",
          "[router][claims][failure]")
{
    // The table service commits the claim, but its answer is lost. A second write would
    // conflict with the first, so the row is read and contains this request's nonce. The
    // caller gets an ordinary answer.
    auto harness = makeHarness(threeStageEngines(2));
    harness.loseTableAnswers = 1;
    Request request = completion(harness, "flag diary 3");
    request.key = "k3";
    request.nonIdempotent = true;
    const RequestId id = harness.submit(0, request);
    harness.runFor(std::chrono::seconds(5));
    REQUIRE(harness.record(id).answer);
    CHECK(harness.router(0).counters().dispatched == 1);
}

TEST_CASE("requests with keys are refused as not executed while the table service is down",
          "[router][claims][failure]")
{
    // The request is refused as not executed well before its deadline. Once the table
    // service is available again, a request with the same key succeeds.
    auto harness = makeHarness(threeStageEngines(2));
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

TEST_CASE("a process that was paused does not send requests past their deadlines",
          "[router][claims][failure]")
{
    // The process is stopped during a claim and continues after the deadline. The answer
    // to the claim is handled first, before any timer. The request must be refused as not
    // executed, and nothing may be sent.
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
    bool released = false;
    bool refused = false;
    for (const Action &action : actions) {
        CHECK_FALSE(std::holds_alternative<SendStep>(action));
        if (const auto *resolve = std::get_if<ResolveClaim>(&action))
            released = resolve->outcome == ClaimOutcome::NotExecuted;
        if (const auto *refuse = std::get_if<RefuseRequest>(&action))
            refused = refuse->ran == Executed::No;
    }
    CHECK(released);
    CHECK(refused);

    // The process is paused between the decision and the write: maySend() checks again.
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
