/// \file
/// Quantiles of durations, in the text form of Prometheus.

#pragma once

#include <balsamloft/types.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

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

/// Appends one sample.
void renderSample(std::string_view name, std::string_view labels, double value, std::string &text);

} // namespace balsamloft
