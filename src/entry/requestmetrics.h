/// \file
/// Metrics of forwarded requests.

#pragma once

#include <balsamloft/durationsummary.h>
#include <balsamloft/routemap.h>

#include <array>
#include <map>

namespace balsamloft {

/// The result of a request and the durations that its caller observed.
struct RequestOutcome
{
    RequestKind kind = RequestKind::Safe;
    std::string_view outcome;
    Duration duration {};
    std::optional<Duration> timeToFirstEvent; ///< only for streams with events
    Duration longestPause {}; ///< between two events of a stream
    bool late = false; ///< a latency target of the route was missed
};

/// Counts requests by kind and outcome, and summarizes durations by kind. Labels come from
/// small fixed sets, so the size of the metrics page does not depend on what callers send.
class RequestMetrics
{
public:
    void record(const RequestOutcome &outcome);
    void render(std::string &text) const;

private:
    static constexpr std::size_t KindCount = 3;

    std::map<std::pair<RequestKind, std::string>, std::uint64_t> m_outcomes;
    std::array<std::uint64_t, KindCount> m_lateCounts {};
    std::array<DurationSummary, KindCount> m_duration;
    DurationSummary m_timeToFirstEvent;
    DurationSummary m_longestPause;
};

} // namespace balsamloft
