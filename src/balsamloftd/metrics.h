/// \file
/// Metrics of one traffic thread, in the text form of Prometheus.

#pragma once

#include <balsamloft/durationsummary.h>
#include <balsamloft/router.h>

#include <map>

namespace balsamloft {

/// Counts requests by team and outcome, and how long they took.
class TrafficMetrics
{
public:
    void finished(const std::string &team, std::string_view outcome, Duration total);
    void firstToken(Duration sinceSubmit) { m_firstToken.add(sinceSubmit); }
    void tokenGap(Duration gap) { m_tokenGap.add(gap); }

    /// Appends all metrics of the traffic thread \a worker to \a text.
    void render(const Router &router, std::size_t worker, std::string &text) const;

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_requests;
    DurationSummary m_total;
    DurationSummary m_firstToken;
    DurationSummary m_tokenGap;
};

} // namespace balsamloft
