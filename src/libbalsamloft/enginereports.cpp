#include <balsamloft/enginereports.h>

namespace balsamloft {

void EngineReports::replace(const std::vector<EngineState> &states, Time now)
{
    std::map<std::string, Report, std::less<>> former = std::exchange(m_reports, {});
    for (const EngineState &state : states) {
        const auto known = former.find(state.id);
        const bool same = known != former.end() && known->second.state.at == state.at
                          && known->second.state.silent == state.silent;
        m_reports[state.id] = {state, same ? known->second.cameAt : now};
    }
}

std::vector<EngineState> EngineReports::since(Time told) const
{
    std::vector<EngineState> states;
    for (const auto &[id, report] : m_reports)
        if (report.cameAt >= told)
            states.push_back(report.state);
    return states;
}

} // namespace balsamloft
