#include <balsamloft/admission/teamlimits.h>

#include <algorithm>
#include <cmath>

namespace balsamloft {

namespace {

constexpr double BurstSeconds = 1; ///< size of a burst, in seconds of the rate
constexpr double MicrosPerSecond = 1e6;

double burst(double rate)
{
    // At least one request: otherwise a small fraction of a small limit would never admit a
    // request.
    return std::max(1.0, rate * BurstSeconds);
}

} // namespace

double TeamLimits::fraction(std::string_view team) const
{
    const auto it = m_fractions.find(team);
    return it == m_fractions.end() ? m_defaultFraction : it->second;
}

TeamLimits::AdmissionResult TeamLimits::admit(const Team &team, Time now)
{
    ++m_demand[team.name];
    Usage &usage = m_usage[team.name];
    const double part = fraction(team.name);
    if (team.maxConcurrent > 0) {
        const double limit = std::max(1.0, std::floor(team.maxConcurrent * part));
        if (usage.running >= limit)
            return AdmissionResult::ConcurrencyExceeded;
    }
    if (team.requestsPerSecond > 0) {
        const double rate = team.requestsPerSecond * part;
        const std::chrono::duration<double> elapsed = now - usage.refilledAt;
        usage.tokens = usage.started ? std::min(burst(rate), usage.tokens + elapsed.count() * rate)
                                     : burst(rate);
        usage.started = true;
        usage.refilledAt = now;
        if (usage.tokens < 1)
            return AdmissionResult::RateExceeded;
        usage.tokens -= 1;
    }
    ++usage.running;
    return AdmissionResult::Admitted;
}

void TeamLimits::finished(std::string_view team)
{
    const auto it = m_usage.find(team);
    if (it != m_usage.end() && it->second.running > 0)
        --it->second.running;
}

std::uint32_t TeamLimits::running(std::string_view team) const
{
    const auto it = m_usage.find(team);
    return it == m_usage.end() ? 0 : it->second.running;
}

Duration TeamLimits::retryAfter(const Team &team, Time now) const
{
    const auto it = m_usage.find(team.name);
    if (it == m_usage.end() || team.requestsPerSecond <= 0)
        return Duration::zero();
    const double rate = team.requestsPerSecond * fraction(team.name);
    const std::chrono::duration<double> elapsed = now - it->second.refilledAt;
    const double missing = 1 - (it->second.tokens + elapsed.count() * rate);
    return Duration(static_cast<std::int64_t>(std::max(0.0, missing / rate) * MicrosPerSecond));
}

} // namespace balsamloft
