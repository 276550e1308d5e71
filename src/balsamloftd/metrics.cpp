#include "metrics.h"

namespace balsamloft {

void TrafficMetrics::finished(const std::string &team, std::string_view outcome, Duration total)
{
    ++m_requests[{team, std::string(outcome)}];
    m_requestTime.add(total);
}

void TrafficMetrics::render(const Router &router, std::size_t worker, std::string &text) const
{
    const std::string label = "worker=\"" + std::to_string(worker) + "\"";
    for (const auto &[key, count] : m_requests)
        renderSample("balsamloft_requests_total",
                     label + ",team=\"" + key.first + "\",outcome=\"" + key.second + "\"",
                     static_cast<double>(count), text);
    m_requestTime.render("balsamloft_request_seconds", label, text);
    m_firstTokenTime.render("balsamloft_first_token_seconds", label, text);
    m_tokenInterval.render("balsamloft_token_gap_seconds", label, text);
    const RouterCounters &counters = router.counters();
    const std::pair<std::string_view, std::uint64_t> samples[] = {
        {"balsamloft_submitted_total", counters.submitted},
        {"balsamloft_dispatched_total", counters.dispatched},
        {"balsamloft_retries_total", counters.retries},
        {"balsamloft_bounces_total", counters.unexecutedAttempts},
        {"balsamloft_ejections_total", counters.ejections},
        {"balsamloft_late_answers_total", counters.lateAnswers},
        {"balsamloft_crossed_answers_total", counters.mismatchedAnswers},
        {"balsamloft_tokens_total", counters.tokens},
        {"balsamloft_in_flight", router.inFlight()},
        {"balsamloft_queued", router.queued()},
    };
    for (const auto &[name, value] : samples)
        renderSample(name, label, static_cast<double>(value), text);
}

} // namespace balsamloft
