/// \file
/// Metrics of requests that are forwarded whole.

#pragma once

#include <balsamloft/durationsummary.h>
#include <balsamloft/routemap.h>

#include <array>
#include <map>

namespace balsamloft {

/// How a request went, as its caller saw it.
struct RequestOutcome
{
    RequestKind kind = RequestKind::Safe;
    std::string_view outcome;
    Duration whole {};
    std::optional<Duration> firstEvent; ///< streams with events
    Duration longestGap {};
    bool late = false;
};

/// Counters by kind and outcome, and durations by kind. The labels come from
/// small fixed sets, so the page stays small whatever callers send.
class RequestMetrics
{
public:
    void ended(const RequestOutcome &outcome);
    void render(std::string &text) const;

private:
    static constexpr std::size_t Kinds = 3;

    std::map<std::pair<RequestKind, std::string>, std::uint64_t> m_outcomes;
    std::array<std::uint64_t, Kinds> m_late {};
    std::array<DurationSummary, Kinds> m_whole;
    DurationSummary m_firstEvent;
    DurationSummary m_longestGap;
};

} // namespace balsamloft
