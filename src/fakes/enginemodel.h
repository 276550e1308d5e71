/// \file
/// State machine of a stand-in model engine with batch limits. Its deterministic
/// "model" gives the expected tokens only if all layers are run in order.
/// Tests and benchmarks run the state machine in virtual time; fake_engine runs it in
/// real time.

#pragma once

#include <balsamloft/actions.h>

#include <list>
#include <map>

namespace balsamloft::fakes {

/// Layers, limits and speed of one engine.
struct EngineSettings
{
    std::string model = "model";
    LayerRange layers {0, 1};
    std::uint32_t modelLayers = 1;
    std::uint32_t slots = 8; ///< sequences in the batch
    std::uint32_t queueLimit = 2; ///< sequences accepted beyond the batch
    Duration stepTime {10'000};
    Duration prefillPerToken {20};
    std::size_t cachedPrefixes = 64;
    Duration idleLifetime {10'000'000}; ///< a sequence without steps for this long is dropped
    bool keepLog = true;
};

/// An executed step.
struct ExecutionRecord
{
    RequestId request = 0;
    std::string requestTag; ///< request id on the wire
    std::uint32_t attempt = 0;
    std::uint32_t position = 0;
    LayerRange layers;
    Time at {};
    std::string output;
};

/// A requested step.
struct EngineStep
{
    StepRef ref;
    std::string tag; ///< distinguishes requests of different instances
    bool prefill = false;
    bool firstStage = true;
    bool lastStage = true;
    bool lastToken = false;
    Priority priority = Priority::Normal;
    std::string input;
};

/// The engine's answer to a step.
struct EngineOutcome
{
    std::uint64_t ticket = 0; ///< as returned by submit()
    std::optional<FailureKind> failure;
    StepAnswer answer;
};

/// The state machine of one engine. Not thread-safe.
class EngineModel
{
public:
    explicit EngineModel(EngineSettings settings);

    // Commands

    /// Accepts a step. Its outcome comes from a later advance().
    std::uint64_t submit(EngineStep step, Time now);
    void cancel(std::string_view tag, std::uint32_t attempt, Time now);

    /// Moves outcomes that are due into \a outcomes.
    void advance(Time now, std::vector<EngineOutcome> &outcomes);
    void setLeaving(bool leaving) { m_leaving = leaving; }

    // Queries

    std::optional<Time> nextEvent() const;
    LoadReport load() const;
    const std::vector<ExecutionRecord> &log() const { return m_log; }
    std::uint64_t prefixHits() const { return m_prefixHits; }
    std::uint64_t prefills() const { return m_prefills; }
    const EngineSettings &settings() const { return m_settings; }

private:
    struct Sequence
    {
        std::uint64_t context = 0; ///< hash of all tokens so far; first stage only
        std::uint32_t nextPosition = 0;
        Time usedAt {};
    };
    using SequenceKey = std::pair<std::string, std::uint32_t>;
    struct QueuedStep
    {
        std::uint64_t ticket;
        EngineStep step;
    };
    struct RunningStep
    {
        std::uint64_t ticket;
        EngineStep step;
        bool prefixHit;
    };

    void reject(std::uint64_t ticket, FailureKind kind, const EngineStep &step, Time now);
    void startPrefill(std::uint64_t ticket, EngineStep step, Time now);
    void startQueued(Time now);
    bool touchPrefix(std::string_view prompt);
    EngineOutcome execute(RunningStep due, Time now);
    void dropIdle(Time now);

    EngineSettings m_settings;
    std::map<SequenceKey, Sequence> m_sequences;
    std::multimap<std::pair<Priority, std::uint64_t>, QueuedStep> m_queue;
    std::multimap<Time, RunningStep> m_running;
    std::multimap<Time, EngineOutcome> m_rejections;
    std::list<std::uint64_t> m_prefixes; ///< most recently used first
    std::vector<ExecutionRecord> m_log;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_prefixHits = 0;
    std::uint64_t m_prefills = 0;
    Time m_idleCheckedAt {};
    bool m_leaving = false;
};

/// Returns the text that a model of \a layers layers generates for \a prompt.
/// Tests compare answers with this text to detect truncated and mismatched answers.
std::string expectedCompletion(std::string_view model, std::uint32_t layers,
                               std::string_view prompt, std::uint32_t tokens);

} // namespace balsamloft::fakes
