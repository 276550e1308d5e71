#include "decision.h"

namespace balsamloft::bench {

namespace {

std::vector<fakes::EngineSettings> enginesFor(std::size_t count, bool staged)
{
    std::vector<fakes::EngineSettings> engines(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto first = static_cast<std::uint32_t>(i % 3 * 4);
        engines[i].layers = staged ? LayerRange {first, first + 4} : LayerRange {0, 12};
        engines[i].slots = 64;
    }
    return engines;
}

} // namespace

DecisionBench::DecisionBench(std::size_t endpoints, bool staged)
    : m_config(fakes::harnessConfig("model", 12, enginesFor(endpoints, staged)))
    , m_chooser({}, "d", 1)
{
    m_loads.setConfig(*m_config);
    m_chooser.setConfig(*m_config, m_loads);
    m_table = CandidateTable::forModel(*m_config, *m_config->model("model"), m_loads, "d");
    for (EndpointId id = 0; id < m_loads.size(); ++id)
        m_loads.reported(id, {id % 60, 0, Duration(20'000), false}, m_now);
}

bool DecisionBench::decide()
{
    RouteQuery query;
    query.prefixHash = ++m_count * 0x9e3779b97f4a7c15ULL;
    query.promptTokens = 100;
    query.tokens = 100;
    query.timeLeft = std::chrono::seconds(60);
    const bool chosen = m_chooser.choose(m_table, m_loads, query, m_now, m_chain);
    for (const Stage &stage : m_chain) {
        m_loads.dispatched(stage.endpoint, m_now);
        m_loads.released(stage.endpoint, m_now);
    }
    return chosen;
}

} // namespace balsamloft::bench
