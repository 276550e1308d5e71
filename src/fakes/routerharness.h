/// \file
/// Drives Routers against EngineModels in virtual time: carries out their
/// actions with given latencies and faults, and records what callers see.
/// Not a simulator of a fleet: no control plane, no network but a delay.

#pragma once

#include "enginemodel.h"
#include "tablemodel.h"

#include <balsamloft/claims.h>
#include <balsamloft/router.h>

#include <functional>
#include <queue>
#include <set>

namespace balsamloft::fakes {

/// What the caller of one request saw.
struct CallerRecord
{
    Request request;
    std::size_t router = 0;
    Time submittedAt {};
    std::vector<std::pair<Time, std::string>> tokens;
    std::optional<Answer> answer;
    std::optional<RefuseRequest> refusal;
    Time finishedAt {};
    std::uint32_t attempts = 0; ///< started for it

    /// The text given to the caller.
    std::string text() const;
    bool done() const { return answer || refusal; }
};

/// One engine and the faults it has.
struct HarnessEngine
{
    explicit HarnessEngine(EngineSettings settings)
        : model(std::move(settings))
    {
    }
    EngineModel model;
    std::string domain;
    std::uint32_t epoch = 0; ///< raised by a restart: earlier steps are gone
    bool killed = false; ///< connections are refused and reset
    bool frozen = false; ///< accepts bytes, answers nothing; probes time out
    std::uint32_t answersToDrop = 0; ///< answers lost on connections that went silent
    std::uint32_t answersToMisroute = 0; ///< answers delivered to a wrong request
    Duration extraLatency {}; ///< of a degraded link, one way
    std::map<Time, LoadReport> reports; ///< past ones, for lagging reports
};

/// Settings of a RouterHarness.
struct HarnessSettings
{
    std::size_t routers = 1;
    RouterSettings router;
    Duration latency {200}; ///< one way, router to engine
    Duration reportLag {}; ///< how old the load in answers is
    Duration probeTimeout {300'000};
    Duration tableLatency {1'000};
    std::uint64_t seed = 1;
};

/// The driver.
class RouterHarness
{
public:
    RouterHarness(HarnessSettings settings, ConfigPtr config, std::vector<EngineSettings> engines);

    /// Submits \a request at router \a router now. Its id is chosen here.
    RequestId submit(std::size_t router, Request request);

    /// Runs until \a until, or until nothing is left to do.
    void run(Time until);
    void runFor(Duration duration) { run(m_now + duration); }

    /// Calls \a action at \a at.
    void at(Time at, std::function<void()> action);

    void kill(std::size_t engine);
    void restart(std::size_t engine);
    void freeze(std::size_t engine, bool frozen);

    Time now() const { return m_now; }
    Router &router(std::size_t index) { return m_routers[index].router; }
    HarnessEngine &engine(std::size_t index) { return m_engines[index]; }
    std::size_t engineCount() const { return m_engines.size(); }
    std::size_t routerCount() const { return m_routers.size(); }
    CallerRecord &record(RequestId id) { return m_records.at(id); }
    const std::map<RequestId, CallerRecord> &records() const { return m_records; }
    TableModel &tables() { return m_tables; }

    /// Answers of the table service are lost after the write, while above zero.
    int loseTableAnswers = 0; // NOLINT(readability-identifier-naming): a fault to switch on
    bool tablesDown = false; // NOLINT(readability-identifier-naming): a fault to switch on

    /// Called when a request ends, to submit the next of a closed loop.
    std::function<void(const CallerRecord &)> onFinished; // NOLINT(readability-identifier-naming)

private:
    struct Instance
    {
        Router router;
        ClaimManager claims;
        Time wakeAt {};
    };
    struct Event
    {
        Time at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct Sent
    {
        std::size_t router;
        std::size_t engine;
        StepRef ref;
        std::uint32_t epoch;
    };

    void perform(std::size_t router, Actions &actions);
    void perform(std::size_t router, ClaimActions &actions);
    void wake(std::size_t router);
    void carry(std::size_t router, SendStep &step);
    void carry(std::size_t router, const CancelAttempt &cancel);
    void carry(std::size_t router, const ProbeEndpoint &probe);
    void end(RequestId id);
    void advance(std::size_t engine);
    void deliver(const Sent &sent, const EngineOutcome &outcome);
    void fail(const Sent &sent, FailureKind kind, Duration delay);
    LoadReport laggedReport(HarnessEngine &engine);
    Duration latency(std::size_t engine) const;
    template<typename Function>
    void withRouter(std::size_t router, Function function);

    HarnessSettings m_settings;
    std::vector<Instance> m_routers;
    std::deque<HarnessEngine> m_engines;
    std::vector<std::map<std::uint64_t, Sent>> m_sent; ///< by engine and ticket
    std::vector<Time> m_advanceAt;
    std::vector<std::size_t> m_engineOf; ///< by EndpointId, the same for all routers
    std::map<RequestId, CallerRecord> m_records;
    std::priority_queue<Event> m_events;
    TableModel m_tables;
    Time m_now {};
    std::uint64_t m_order = 0;
    RequestId m_nextId = 1;
};

/// Returns a configuration of \a engines serving one model \a model of
/// \a layers layers, one team "team" with share 0.5 and more teams as named.
ConfigPtr harnessConfig(std::string_view model, std::uint32_t layers,
                        std::span<const EngineSettings> engines,
                        std::span<const Team> extraTeams = {}, bool nonIdempotent = false,
                        std::uint32_t alertEndpoints = 0);

} // namespace balsamloft::fakes
