#include "metrics.h"

#include <array>
#include <cstdio>

namespace accumulators = boost::accumulators;

namespace balsamloft {

namespace {

constexpr std::array<double, 4> Quantiles {0.5, 0.9, 0.95, 0.99};
constexpr double MicrosPerSecond = 1e6;

} // namespace

DurationSummary::DurationSummary()
    : m_set(accumulators::extended_p_square_probabilities = Quantiles)
{
}

void DurationSummary::add(Duration duration)
{
    m_set(static_cast<double>(duration.count()) / MicrosPerSecond);
}

void DurationSummary::render(std::string_view name, std::string_view labels,
                             std::string &text) const
{
    const std::string base(name);
    const std::string comma = labels.empty() ? "" : ",";
    const auto count = accumulators::count(m_set);
    for (const double quantile : Quantiles) {
        if (count == 0)
            break;
        char label[32];
        std::snprintf(label, sizeof label, "quantile=\"%g\"", quantile);
        const double value =
            accumulators::quantile(m_set, accumulators::quantile_probability = quantile);
        renderSample(base, std::string(labels) + comma + label, value, text);
    }
    renderSample(base + "_count", labels, static_cast<double>(count), text);
    renderSample(base + "_sum", labels, accumulators::sum(m_set), text);
}

void renderSample(std::string_view name, std::string_view labels, double value, std::string &text)
{
    char number[40];
    std::snprintf(number, sizeof number, "%.10g", value);
    text.append(name);
    if (!labels.empty())
        text.append("{").append(labels).append("}");
    text.append(" ").append(number).append("\n");
}

void TrafficMetrics::finished(const std::string &team, std::string_view outcome, Duration total)
{
    ++m_requests[{team, std::string(outcome)}];
    m_total.add(total);
}

void TrafficMetrics::render(const Router &router, std::size_t worker, std::string &text) const
{
    const std::string label = "worker=\"" + std::to_string(worker) + "\"";
    for (const auto &[key, count] : m_requests)
        renderSample("balsamloft_requests_total",
                     label + ",team=\"" + key.first + "\",outcome=\"" + key.second + "\"",
                     static_cast<double>(count), text);
    m_total.render("balsamloft_request_seconds", label, text);
    m_firstToken.render("balsamloft_first_token_seconds", label, text);
    m_tokenGap.render("balsamloft_token_gap_seconds", label, text);
    const RouterCounters &counters = router.counters();
    const std::pair<std::string_view, std::uint64_t> samples[] = {
        {"balsamloft_submitted_total", counters.submitted},
        {"balsamloft_dispatched_total", counters.dispatched},
        {"balsamloft_retries_total", counters.retries},
        {"balsamloft_bounces_total", counters.bounces},
        {"balsamloft_ejections_total", counters.ejections},
        {"balsamloft_late_answers_total", counters.lateAnswers},
        {"balsamloft_crossed_answers_total", counters.crossedAnswers},
        {"balsamloft_tokens_total", counters.tokens},
        {"balsamloft_in_flight", router.inFlight()},
        {"balsamloft_queued", router.queued()},
    };
    for (const auto &[name, value] : samples)
        renderSample(name, label, static_cast<double>(value), text);
}

} // namespace balsamloft
