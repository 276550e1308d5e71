/// \file
/// Metrics of one traffic thread, in the text form of Prometheus.

#pragma once

#include <balsamloft/router.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <map>

namespace balsamloft {

/// Quantiles, count and sum of a duration.
class DurationSummary
{
public:
    DurationSummary();
    void add(Duration duration);
    void render(std::string_view name, std::string_view labels, std::string &text) const;

private:
    using Statistics =
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square_quantile,
                                   boost::accumulators::tag::count, boost::accumulators::tag::sum>;
    boost::accumulators::accumulator_set<double, Statistics> m_set;
};

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

/// Appends one sample.
void renderSample(std::string_view name, std::string_view labels, double value, std::string &text);

} // namespace balsamloft
