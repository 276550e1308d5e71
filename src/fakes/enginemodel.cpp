#include "enginemodel.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace balsamloft::fakes {

namespace {

constexpr std::size_t PrefixBytes = 256;
constexpr std::size_t BytesPerToken = 4;
constexpr std::uint64_t Vocabulary = 99'991;
constexpr Duration IdleCheckInterval {1'000'000};

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Extends the hash of a sequence by \a text; hashing token by token gives the same result.
std::uint64_t extendContext(std::uint64_t context, std::string_view text)
{
    for (const char c : text)
        context = (context ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return context;
}

std::uint64_t firstContext(std::string_view model, std::string_view text)
{
    return extendContext(hashText(model, 0), text);
}

std::uint64_t runLayers(std::uint64_t activation, const LayerRange &layers)
{
    for (std::uint32_t layer = layers.begin; layer < layers.end; ++layer)
        activation =
            hashText({reinterpret_cast<const char *>(&activation), sizeof activation}, layer + 1);
    return activation;
}

std::string tokenText(std::uint64_t activation)
{
    return " w" + std::to_string(activation % Vocabulary);
}

std::uint64_t parseActivation(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

std::string activationText(std::uint64_t value)
{
    char buffer[16];
    const auto end = std::to_chars(std::begin(buffer), std::end(buffer), value, 16).ptr;
    return {std::begin(buffer), end};
}

} // namespace

EngineModel::EngineModel(EngineSettings settings)
    : m_settings(std::move(settings))
{
}

void EngineModel::reject(std::uint64_t ticket, FailureKind kind, const EngineStep &step, Time now)
{
    EngineOutcome outcome;
    outcome.ticket = ticket;
    outcome.failure = kind;
    outcome.answer.ref = step.ref;
    m_rejections.emplace(now, std::move(outcome));
}

std::uint64_t EngineModel::submit(EngineStep step, Time now)
{
    const std::uint64_t ticket = m_nextTicket++;
    dropIdle(now);
    if (step.prefill) {
        if (m_leaving && step.firstStage)
            reject(ticket, FailureKind::Leaving, step, now);
        else if (m_sequences.size() < m_settings.slots)
            startPrefill(ticket, std::move(step), now);
        else if (m_queue.size() < m_settings.queueLimit || step.priority == Priority::Alert)
            m_queue.emplace(std::pair(step.priority, ticket), QueuedStep {ticket, step});
        else
            reject(ticket, FailureKind::Busy, step, now);
        return ticket;
    }
    const auto it = m_sequences.find({step.tag, step.ref.attempt});
    if (it == m_sequences.end() || it->second.nextPosition != step.ref.position) {
        reject(ticket, FailureKind::StateLost, step, now);
        return ticket;
    }
    it->second.usedAt = now;
    m_running.emplace(now + m_settings.stepTime, RunningStep {ticket, std::move(step), false});
    return ticket;
}

bool EngineModel::touchPrefix(std::string_view prompt)
{
    const std::uint64_t hash = hashText(prompt.substr(0, PrefixBytes), 0);
    const auto it = std::find(m_prefixes.begin(), m_prefixes.end(), hash);
    const bool hit = it != m_prefixes.end();
    if (hit)
        m_prefixes.erase(it);
    m_prefixes.push_front(hash);
    if (m_prefixes.size() > m_settings.cachedPrefixes)
        m_prefixes.pop_back();
    return hit;
}

void EngineModel::startPrefill(std::uint64_t ticket, EngineStep step, Time now)
{
    Sequence &sequence = m_sequences[{step.tag, step.ref.attempt}];
    sequence.nextPosition = step.ref.position;
    sequence.usedAt = now;
    bool hit = false;
    Duration prefill {};
    if (step.firstStage) {
        hit = m_settings.cachedPrefixes > 0 && touchPrefix(step.input);
        ++m_prefills;
        m_prefixHits += hit ? 1 : 0;
        if (!hit)
            prefill = m_settings.prefillPerToken
                      * static_cast<std::int64_t>(step.input.size() / BytesPerToken + 1);
    }
    m_running.emplace(now + m_settings.stepTime + prefill,
                      RunningStep {ticket, std::move(step), hit});
}

void EngineModel::startQueued(Time now)
{
    while (!m_queue.empty() && m_sequences.size() < m_settings.slots) {
        QueuedStep next = std::move(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        startPrefill(next.ticket, std::move(next.step), now);
    }
}

void EngineModel::cancel(std::string_view tag, std::uint32_t attempt, Time now)
{
    std::erase_if(m_queue, [&](const auto &item) {
        return item.second.step.tag == tag && item.second.step.ref.attempt == attempt;
    });
    std::erase_if(m_running, [&](const auto &item) {
        return item.second.step.tag == tag && item.second.step.ref.attempt == attempt;
    });
    m_sequences.erase({std::string(tag), attempt});
    startQueued(now);
}

void EngineModel::dropIdle(Time now)
{
    if (now - m_idleCheckedAt < IdleCheckInterval)
        return;
    m_idleCheckedAt = now;
    std::erase_if(m_sequences, [&](const auto &item) {
        return now - item.second.usedAt > m_settings.idleLifetime;
    });
}

EngineOutcome EngineModel::execute(RunningStep running, Time now)
{
    const EngineStep &step = running.step;
    Sequence &sequence = m_sequences[{step.tag, step.ref.attempt}];
    std::uint64_t activation = 0;
    if (step.firstStage) {
        sequence.context = step.prefill ? firstContext(m_settings.model, step.input)
                                        : extendContext(sequence.context, step.input);
        activation = sequence.context;
    } else {
        activation = parseActivation(step.input);
    }
    activation = runLayers(activation, m_settings.layers);
    sequence.nextPosition = step.ref.position + 1;
    sequence.usedAt = now;
    EngineOutcome outcome;
    outcome.ticket = running.ticket;
    outcome.answer.ref = step.ref;
    outcome.answer.ref.layers = m_settings.layers;
    outcome.answer.output = step.lastStage ? tokenText(activation) : activationText(activation);
    outcome.answer.prefixHit = running.prefixHit;
    if (m_settings.keepLog)
        m_log.push_back({step.ref.request, step.tag, step.ref.attempt, step.ref.position,
                         m_settings.layers, now, outcome.answer.output});
    if (step.lastToken) {
        m_sequences.erase({step.tag, step.ref.attempt});
        startQueued(now);
    }
    return outcome;
}

void EngineModel::advance(Time now, std::vector<EngineOutcome> &outcomes)
{
    while (!m_rejections.empty() && m_rejections.begin()->first <= now) {
        outcomes.push_back(std::move(m_rejections.begin()->second));
        m_rejections.erase(m_rejections.begin());
    }
    while (!m_running.empty() && m_running.begin()->first <= now) {
        const Time at = m_running.begin()->first;
        RunningStep running = std::move(m_running.begin()->second);
        m_running.erase(m_running.begin());
        outcomes.push_back(execute(std::move(running), at));
    }
    for (EngineOutcome &outcome : outcomes)
        outcome.answer.load = load();
}

std::optional<Time> EngineModel::nextEvent() const
{
    std::optional<Time> next;
    if (!m_running.empty())
        next = m_running.begin()->first;
    if (!m_rejections.empty() && (!next || m_rejections.begin()->first < *next))
        next = m_rejections.begin()->first;
    return next;
}

LoadReport EngineModel::load() const
{
    return {static_cast<std::uint32_t>(m_sequences.size()),
            static_cast<std::uint32_t>(m_queue.size()), m_settings.stepTime, m_leaving};
}

std::string expectedCompletion(std::string_view model, std::uint32_t layers,
                               std::string_view prompt, std::uint32_t tokens)
{
    std::uint64_t context = firstContext(model, prompt);
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        const std::string token = tokenText(runLayers(context, {0, layers}));
        context = extendContext(context, token);
        text += token;
    }
    return text;
}

} // namespace balsamloft::fakes
