/// \file
/// Runs Routers against EngineModels in virtual time: performs the routers' actions
/// with given latencies and faults, and records what callers receive. There is no
/// control plane, and the network is a fixed delay.

#pragma once

#include "enginemodel.h"
#include "tablemodel.h"

#include <balsamloft/claims.h>
#include <balsamloft/router.h>

#include <functional>
#include <queue>
#include <set>

namespace balsamloft::fakes {

/// One request with the tokens and the answer or refusal that its caller received.
struct CallerRecord
{
    Request request;
    std::size_t router = 0;
    Time submittedAt {};
    std::vector<std::pair<Time, std::string>> tokens;
    std::optional<Answer> answer;
    std::optional<RefuseRequest> refusal;
    Time finishedAt {};
    std::uint32_t attempts = 0; ///< attempts started so far

    /// The tokens received, concatenated.
    std::string text() const;
    bool done() const { return answer || refusal; }
};

/// An engine and its injected faults.
struct HarnessEngine
{
    explicit HarnessEngine(EngineSettings settings)
        : model(std::move(settings))
    {
    }
    EngineModel model;
    std::string domain;
    /// Increased by kill(). Steps sent in an earlier epoch fail, and their answers are dropped.
    std::uint32_t epoch = 0;
    bool killed = false; ///< refuses and resets connections
    bool frozen = false; ///< accepts data, but neither steps nor probes are answered
    std::uint32_t answersToDrop = 0; ///< how many of the next answers are lost
    /// How many of the next answers carry the id of another request.
    std::uint32_t answersToMisroute = 0;
    Duration extraLatency {}; ///< additional one-way latency of the link
    std::map<Time, LoadReport> reports; ///< past load reports, for HarnessSettings::reportLag
};

/// Number of routers, latencies and seed of a RouterHarness.
struct HarnessSettings
{
    std::size_t routers = 1;
    RouterSettings router;
    Duration latency {200}; ///< one way, router to engine
    Duration reportLag {}; ///< age of the load reports in answers
    Duration probeTimeout {300'000};
    Duration tableLatency {1'000};
    std::uint64_t seed = 1;
};

/// Runs routers and engines on one event queue.
class RouterHarness
{
public:
    RouterHarness(HarnessSettings settings, ConfigPtr config, std::vector<EngineSettings> engines);

    /// Submits \a request to router \a router now and returns its new id.
    RequestId submit(std::size_t router, Request request);

    /// Processes all events up to \a until.
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

    /// Number of answers of the table service that are lost although the write took effect.
    int loseTableAnswers = 0; // NOLINT(readability-identifier-naming): a fault to switch on

    /// Whether the table service refuses all calls.
    bool tablesDown = false; // NOLINT(readability-identifier-naming): a fault to switch on

    /// Called when a request is answered or refused, for example to submit the next one.
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
    struct SentStep
    {
        std::size_t router;
        std::size_t engine;
        StepRef ref;
        std::uint32_t epoch;
    };

    void perform(std::size_t router, Actions &actions);
    void perform(std::size_t router, ClaimActions &actions);
    void scheduleWakeup(std::size_t router);
    void send(std::size_t router, SendStep &step);
    void send(std::size_t router, const CancelAttempt &cancel);
    void send(std::size_t router, const ProbeEndpoint &probe);
    void recordFinish(RequestId id);
    void advance(std::size_t engine);
    void deliver(const SentStep &sent, const EngineOutcome &outcome);
    void fail(const SentStep &sent, FailureKind kind, Duration delay);
    LoadReport laggedReport(HarnessEngine &engine);
    Duration latency(std::size_t engine) const;
    template<typename Function>
    void withRouter(std::size_t router, Function function);

    HarnessSettings m_settings;
    std::vector<Instance> m_routers;
    std::deque<HarnessEngine> m_engines;
    std::vector<std::map<std::uint64_t, SentStep>> m_sent; ///< by engine and ticket
    std::vector<Time> m_advanceAt;
    std::vector<std::size_t> m_engineOf; ///< engine index by EndpointId, the same for all routers
    std::map<RequestId, CallerRecord> m_records;
    std::priority_queue<Event> m_events;
    TableModel m_tables;
    Time m_now {};
    std::uint64_t m_order = 0;
    RequestId m_nextId = 1;
};

/// Returns a configuration in which \a engines serve the model \a model of \a layers
/// layers. The team "team" has the share 0.5, or 0.01 if there are \a extraTeams.
ConfigPtr harnessConfig(std::string_view model, std::uint32_t layers,
                        std::span<const EngineSettings> engines,
                        std::span<const Team> extraTeams = {}, bool nonIdempotent = false,
                        std::uint32_t alertEndpoints = 0);

} // namespace balsamloft::fakes
