/// \file
/// Rate and concurrency limits of teams, as one instance enforces its part.

#pragma once

#include <balsamloft/config.h>

namespace balsamloft {

/// Part of each team's limits that this instance may use, by team.
using LimitFractions = std::unordered_map<std::string, double, StringHash, std::equal_to<>>;

/// Enforces this instance's part of the limits of each team.
///
/// The parts of all instances sum to the limit while they agree on who is
/// there. In a partition each side splits the whole limit between its own
/// instances, so the overshoot is bounded by the number of sides.
class TeamLimits
{
public:
    enum class Verdict : std::uint8_t { Admitted, RateExceeded, ConcurrencyExceeded };

    // Commands

    /// Sets the part for teams that no fraction is known for.
    void setDefaultFraction(double fraction) { m_defaultFraction = fraction; }
    void setFractions(LimitFractions fractions) { m_fractions = std::move(fractions); }

    /// Counts a request of \a team in, if its limits allow.
    Verdict admit(const Team &team, Time now);

    /// Counts a request out that admit() had admitted.
    void finished(std::string_view team);

    // Queries

    std::uint32_t running(std::string_view team) const;

    /// Returns when the rate limit admits the next request of \a team.
    Duration retryAfter(const Team &team, Time now) const;

    /// Requests that each team has sent since the process started, refused
    /// ones included: the demand that instances tell each other.
    const std::unordered_map<std::string, std::uint64_t, StringHash, std::equal_to<>> &
    demand() const
    {
        return m_demand;
    }

private:
    struct Usage
    {
        double tokens = 0;
        Time refilledAt {};
        bool started = false;
        std::uint32_t running = 0;
    };

    double fraction(std::string_view team) const;

    double m_defaultFraction = 1;
    LimitFractions m_fractions;
    std::unordered_map<std::string, Usage, StringHash, std::equal_to<>> m_usage;
    std::unordered_map<std::string, std::uint64_t, StringHash, std::equal_to<>> m_demand;
};

} // namespace balsamloft
