/// \file
/// Enforcement of one instance's part of the rate and concurrency limits of teams.

#pragma once

#include <balsamloft/config.h>

namespace balsamloft {

/// Fraction of each team's limits that this instance may use, by team.
using LimitFractions = std::unordered_map<std::string, double, StringHash, std::equal_to<>>;

/// Enforces this instance's part of the limits of each team.
///
/// The parts of all instances sum to the limit while they agree on the list of
/// live instances. In a partition each side divides the full limit between its
/// own instances, so the total is at most the limit times the number of sides.
class TeamLimits
{
public:
    enum class AdmissionResult : std::uint8_t { Admitted, RateExceeded, ConcurrencyExceeded };

    // Commands

    /// Sets the fraction for teams that setFractions() doesn't list.
    void setDefaultFraction(double fraction) { m_defaultFraction = fraction; }
    void setFractions(LimitFractions fractions) { m_fractions = std::move(fractions); }

    /// Admits a request of \a team if the team's limits allow it. Refused requests count towards
    /// demand() too.
    AdmissionResult admit(const Team &team, Time now);

    /// Records the end of a request that admit() admitted.
    void finished(std::string_view team);

    // Queries

    std::uint32_t running(std::string_view team) const;

    /// Returns the time until the rate limit admits the next request of \a team.
    Duration retryAfter(const Team &team, Time now) const;

    /// Requests of each team since the process started, refused ones included.
    /// Instances send each other these counts to divide the limits by demand.
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
