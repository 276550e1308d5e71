#include "requestmetrics.h"

namespace balsamloft {

namespace {

constexpr std::array<std::string_view, 3> KindNames {"safe", "unsafe", "stream"};

std::string kindLabel(std::size_t kind)
{
    return "kind=\"" + std::string(KindNames[kind]) + "\"";
}

} // namespace

void RequestMetrics::record(const RequestOutcome &outcome)
{
    const auto kind = static_cast<std::size_t>(outcome.kind);
    m_outcomes[{outcome.kind, std::string(outcome.outcome)}] += 1;
    m_lateCounts[kind] += outcome.late ? 1 : 0;
    m_duration[kind].add(outcome.duration);
    if (!outcome.timeToFirstEvent)
        return;
    m_timeToFirstEvent.add(*outcome.timeToFirstEvent);
    m_longestPause.add(outcome.longestPause);
}

void RequestMetrics::render(std::string &text) const
{
    for (const auto &[key, count] : m_outcomes)
        renderSample("balsamloft_requests_ended_total",
                     kindLabel(static_cast<std::size_t>(key.first)) + ",outcome=\"" + key.second
                         + "\"",
                     static_cast<double>(count), text);
    for (std::size_t kind = 0; kind < KindCount; ++kind) {
        renderSample("balsamloft_requests_late_total", kindLabel(kind),
                     static_cast<double>(m_lateCounts[kind]), text);
        m_duration[kind].render("balsamloft_request_seconds", kindLabel(kind), text);
    }
    m_timeToFirstEvent.render("balsamloft_first_event_seconds", "", text);
    m_longestPause.render("balsamloft_longest_pause_seconds", "", text);
}

} // namespace balsamloft
