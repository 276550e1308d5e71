/// \file
/// Metrics of one traffic thread, in the Prometheus text format.

#pragma once

#include <balsamloft/durationsummary.h>
#include <balsamloft/router.h>

#include <map>

namespace balsamloft {

/// Counts requests by team and outcome, and summarizes request times, times to first token and
/// intervals between tokens.
class TrafficMetrics
{
public:
    void finished(const std::string &team, std::string_view outcome, Duration total);
    void firstToken(Duration sinceSubmit) { m_firstTokenTime.add(sinceSubmit); }
    void tokenInterval(Duration interval) { m_tokenInterval.add(interval); }

    /// Appends all metrics of the traffic thread \a worker to \a text.
    void render(const Router &router, std::size_t worker, std::string &text) const;

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_requests;
    DurationSummary m_requestTime;
    DurationSummary m_firstTokenTime;
    DurationSummary m_tokenInterval;
};

} // namespace balsamloft
