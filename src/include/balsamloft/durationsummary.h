/// \file
/// Metrics in the text format of Prometheus.

#pragma once

#include <balsamloft/types.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace balsamloft {

/// Estimates quantiles of durations and keeps their count and sum.
class DurationSummary
{
public:
    DurationSummary();
    void add(Duration duration);
    /// Appends the samples of the metric \a name, in seconds, to \a text.
    void render(std::string_view name, std::string_view labels, std::string &text) const;

private:
    using Statistics =
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square_quantile,
                                   boost::accumulators::tag::count, boost::accumulators::tag::sum>;
    boost::accumulators::accumulator_set<double, Statistics> m_set;
};

/// Appends one sample of the metric \a name to \a text.
void renderSample(std::string_view name, std::string_view labels, double value, std::string &text);

} // namespace balsamloft
