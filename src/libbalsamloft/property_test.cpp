// Properties of claims, leases, the configuration and the router under random sequences of
// faults, in virtual time. CTest sets the seed in RC_PARAMS; a sequence that fails with another
// seed is added as a named test.

#include "../fakes/controlharness.h"
#include "../fakes/routerharness.h"

#include <balsamloft/lease.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

/// Two claim managers and one table whose calls and answers can be lost.
class ClaimHarness
{
public:
    ClaimHarness()
    {
        for (int i = 0; i < 2; ++i)
            m_managers.emplace_back(ClaimSettings {.instance = "i" + std::to_string(i)});
    }

    void submit(std::uint32_t manager, const std::string &key)
    {
        StartClaim claim {++m_lastRequest, "team", key, "digest", m_now + std::chrono::seconds(1)};
        m_keys[{manager, claim.request}] = key;
        ClaimActions actions;
        m_managers[manager].claim({manager, claim.request}, claim, m_now, actions);
        perform(manager, actions);
    }

    /// Advances the time by 100 ms and answers all pending actions. If \a fault modulo 4 is 1, the
    /// actions do not reach the table; if it is 2, their answers are lost.
    void step(int fault)
    {
        m_now += std::chrono::milliseconds(100);
        auto pending = std::exchange(m_pending, {});
        for (auto &[manager, action] : pending)
            answer(manager, action, fault);
        for (std::uint32_t i = 0; i < m_managers.size(); ++i) {
            ClaimActions actions;
            m_managers[i].tick(m_now, actions);
            perform(i, actions);
        }
        finishRunning();
    }

    /// Number of requests sent to an endpoint, by key.
    const std::map<std::string, int> &executions() const { return m_executions; }
    std::size_t storedAnswers() const { return m_storedAnswers; }

private:
    void perform(std::uint32_t manager, ClaimActions &actions)
    {
        for (ClaimAction &action : actions) {
            if (auto *decided = std::get_if<ClaimDecided>(&action))
                decide(*decided);
            else
                m_pending.emplace_back(manager, std::move(action));
        }
    }

    void answer(std::uint32_t manager, const ClaimAction &action, int fault)
    {
        const bool notSent = fault % 4 == 1;
        const bool answerLost = fault % 4 == 2;
        ClaimActions next;
        if (const auto *transact = std::get_if<RunClaimTransaction>(&action)) {
            TransactionOutcome outcome {TransactionOutcome::Kind::NotCommitted, {}};
            if (!notSent)
                outcome = m_tables.transact(transact->transaction);
            if (answerLost)
                outcome = {};
            m_managers[manager].transactionDone(transact->id, outcome, m_now, next);
        } else if (const auto *read = std::get_if<ReadClaimRow>(&action)) {
            ReadOutcome outcome;
            if (!notSent && !answerLost)
                outcome = m_tables.read(std::string(ClaimTable), read->key);
            m_managers[manager].readDone(read->id, outcome, m_now, next);
        }
        perform(manager, next);
    }

    void decide(const ClaimDecided &decided)
    {
        const std::string &key = m_keys[decided.owner];
        if (decided.answer.kind == ClaimAnswer::Kind::Won) {
            ++m_executions[key];
            m_running.push_back(decided.owner);
        } else if (decided.answer.kind == ClaimAnswer::Kind::Finished) {
            ++m_storedAnswers;
            RC_ASSERT(decided.answer.answer.body == "answer to " + key);
        }
    }

    void finishRunning()
    {
        for (const ClaimOwner &owner : std::exchange(m_running, {})) {
            Answer answer;
            answer.body = "answer to " + m_keys[owner];
            ClaimActions actions;
            m_managers[owner.worker].resolve(owner, ClaimOutcome::Finished, answer, m_now, actions);
            perform(owner.worker, actions);
        }
    }

    std::vector<ClaimManager> m_managers;
    std::vector<std::pair<std::uint32_t, ClaimAction>> m_pending;
    std::map<ClaimOwner, std::string> m_keys;
    std::vector<ClaimOwner> m_running;
    std::map<std::string, int> m_executions;
    TableModel m_tables;
    Time m_now {std::chrono::seconds(1)};
    RequestId m_lastRequest = 0;
    std::size_t m_storedAnswers = 0;
};

} // namespace

TEST_CASE("a key is executed at most once under random faults of the table", "[property]")
{
    rc::prop("two claim managers, random faults", [] {
        const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
        const auto keys = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        ClaimHarness harness;
        std::size_t next = 0;
        for (std::size_t i = 0; i < std::max(faults.size(), keys.size()); ++i) {
            if (i < keys.size())
                harness.submit(next++ % 2, "k" + std::to_string(keys[i] / 2));
            harness.step(i < faults.size() ? faults[i] : 0);
        }
        for (int i = 0; i < 50; ++i)
            harness.step(0);
        for (const auto &[key, count] : harness.executions())
            RC_ASSERT(count <= 1);
    });
}

TEST_CASE("a lease never has two holders", "[property]")
{
    rc::prop("three processes, random pauses and lost answers", [] {
        const auto schedule = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 64));
        TableModel tables;
        std::vector<LeaseManager> managers;
        for (int i = 0; i < 3; ++i)
            managers.emplace_back(LeaseSettings {.key = "l", .holder = "h" + std::to_string(i)});
        std::map<std::uint64_t, std::size_t> holders; // by fencing token
        Time now(std::chrono::seconds(10));
        for (const int draw : schedule) {
            now += std::chrono::milliseconds(500 + draw * 20);
            // Processes whose bit is set in `draw` are paused in this step.
            for (std::size_t i = 0; i < managers.size(); ++i) {
                if ((draw >> i & 1) != 0)
                    continue;
                LeaseActions actions;
                managers[i].tick(now, actions);
                while (!actions.empty()) {
                    LeaseActions next;
                    for (const LeaseAction &action : actions) {
                        if (const auto *read = std::get_if<ReadLease>(&action)) {
                            managers[i].readDone(read->id,
                                                 tables.read(std::string(LeaseTable), read->key),
                                                 now, next);
                        } else if (const auto *write = std::get_if<WriteLease>(&action)) {
                            TransactionOutcome outcome = tables.transact(write->transaction);
                            if (draw >= 56)
                                outcome = {};
                            managers[i].writeDone(write->id, outcome, now, next);
                        }
                    }
                    actions = std::move(next);
                }
            }
            std::size_t holding = 0;
            for (std::size_t i = 0; i < managers.size(); ++i) {
                if (!managers[i].holds(now))
                    continue;
                ++holding;
                const auto [it, added] = holders.emplace(managers[i].fencing(), i);
                RC_ASSERT(it->second == i);
            }
            RC_ASSERT(holding <= 1U);
        }
    });
}

TEST_CASE("the configuration version of an instance never decreases", "[property]")
{
    rc::prop("random proposals, partitions and lost answers", [] {
        const auto schedule = *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 60));
        ControlHarness harness({.nodes = 5, .loss = 0.1, .seed = 3});
        harness.runFor(std::chrono::seconds(5));
        int number = 0;
        for (const int draw : schedule) {
            const auto node = static_cast<std::size_t>(draw % 5);
            switch (draw / 10) {
            case 0:
            case 1: {
                const std::string name = "t" + std::to_string(number++ % 7);
                harness.propose(node, ControlHarness::teamProposal(std::to_string(number), name,
                                                                   0.01 * (1 + draw % 9)));
                break;
            }
            case 2:
                harness.loseAnswers = 1;
                break;
            case 3:
                harness.node(node).platformReachable = !harness.node(node).platformReachable;
                break;
            case 4:
                harness.node(node).partition = 1 - harness.node(node).partition;
                break;
            default:
                harness.platformDown = !harness.platformDown;
                break;
            }
            harness.runFor(std::chrono::milliseconds(700));
        }
        harness.platformDown = false;
        for (std::size_t i = 0; i < 5; ++i) {
            harness.node(i).platformReachable = true;
            harness.node(i).partition = 0;
        }
        harness.runFor(std::chrono::seconds(30));
        for (std::size_t i = 0; i < 5; ++i) {
            RC_ASSERT(harness.node(i).regressions == 0U);
            RC_ASSERT(harness.node(i).config.forksSeen() == 0U);
            RC_ASSERT(harness.node(i).config.head() == harness.node(0).config.head());
        }
        // Accepted proposals are in the history; rejected ones are not.
        for (std::size_t i = 0; i < 5; ++i) {
            for (const auto &[id, outcome] : harness.node(i).outcomes) {
                const auto &history = harness.node(0).config.history();
                const std::string &proposalId = id;
                const bool committed =
                    std::any_of(history.begin(), history.end(),
                                [&](const auto &c) { return c.id == proposalId; });
                if (outcome.kind == ProposalOutcome::Kind::Accepted)
                    RC_ASSERT(committed);
                else if (outcome.kind != ProposalOutcome::Kind::Unknown)
                    RC_ASSERT(!committed);
            }
        }
    });
}

TEST_CASE("callers get their own complete answers or a correct refusal", "[property]")
{
    rc::prop("random kills, freezes, lost and misrouted answers", [] {
        const auto schedule = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 60));
        std::vector<EngineSettings> engines(6);
        for (std::size_t i = 0; i < engines.size(); ++i) {
            const auto first = static_cast<std::uint32_t>(i % 3 * 4);
            engines[i].layers = {first, first + 4};
        }
        RouterHarness harness({.routers = 2}, harnessConfig("model", 12, engines), engines);
        const auto submit = [&](int draw) {
            Request request;
            request.target = "model";
            request.team = "team";
            request.prompt = "prompt " + std::to_string(draw);
            request.maxTokens = 5 + static_cast<std::uint32_t>(draw % 20);
            request.nonIdempotent = draw % 3 == 0;
            request.deadline = harness.now() + std::chrono::seconds(3);
            harness.submit(static_cast<std::size_t>(draw % 2), std::move(request));
        };
        for (const int draw : schedule) {
            for (int i = 0; i < 4; ++i)
                submit(draw * 4 + i);
            const auto engine = static_cast<std::size_t>(draw % 6);
            switch (draw / 10) {
            case 0:
                harness.kill(engine);
                break;
            case 1:
                harness.restart(engine);
                break;
            case 2:
                harness.freeze(engine, true);
                break;
            case 3:
                harness.freeze(engine, false);
                break;
            case 4:
                harness.engine(engine).answersToDrop = 2;
                break;
            default:
                harness.engine(engine).answersToMisroute = 2;
                break;
            }
            harness.runFor(std::chrono::milliseconds(150));
        }
        harness.runFor(std::chrono::seconds(10));
        std::map<RequestId, std::set<std::uint32_t>> attempts;
        for (std::size_t i = 0; i < harness.engineCount(); ++i) {
            for (const ExecutionRecord &entry : harness.engine(i).model.log())
                attempts[entry.request].insert(entry.attempt);
        }
        for (const auto &[id, record] : harness.records()) {
            RC_ASSERT(record.done());
            const std::string expectedText =
                expectedCompletion("model", 12, record.request.prompt, record.request.maxTokens);
            RC_ASSERT(expectedText.starts_with(record.text()));
            if (record.answer)
                RC_ASSERT(record.answer->body == expectedText);
            // A restart clears an engine's log, so the logs may lack attempts that were made. They
            // never list attempts that were not made, so a request refused as not executed must
            // have none.
            if (record.refusal && record.refusal->ran == Executed::No)
                RC_ASSERT(attempts[id].empty());
            if (record.request.nonIdempotent)
                RC_ASSERT(attempts[id].size() <= 1U);
        }
    });
}
