/// \file
/// Bounds on the additional work caused by retries.

#pragma once

#include <balsamloft/types.h>

#include <deque>

namespace balsamloft {

/// Refill rates and size of a RetryBudget.
struct RetryBudgetSettings
{
    double perRequest = 0.1; ///< retries granted for each first attempt
    double perSecond = 1; ///< retries granted per second, also to idle instances
    double maxBalance = 100; ///< maximum number of unused retries
    double initialBalance = -1; ///< retries available at the start; negative: maxBalance
};

/// A token bucket filled by first attempts. Without this bound, retries after the failure of
/// many endpoints would overload the remaining endpoints, so that these fail too.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    void requestStarted();

    /// Takes one retry out of the budget. Returns false if none is left.
    bool withdraw(Time now);

    double balance() const { return m_balance; }

private:
    RetryBudgetSettings m_settings;
    double m_balance;
    Time m_refilledAt {};
};

/// Length and allowance of a RetryWindow.
struct RetryWindowSettings
{
    Duration window {10'000'000}; ///< retries are bounded in any time span of this length
    double perRequest = 0.1; ///< retries granted for each request of the last window
    double slack = 10; ///< additional retries granted in each window
    /// Retries that a previous process of this instance may have made just before the
    /// start: subtracted from the slack during the first window.
    double spentBefore = 0;
};

/// Bounds the retries in any time span of a given length. A token bucket with the same bound would
/// grant its saved retries only once, and from then on only the retries earned by requests. The
/// window grants the slack again in each time span, which an outage of several seconds requires.
class RetryWindow
{
public:
    explicit RetryWindow(RetryWindowSettings settings = {});

    // Commands

    void requestStarted(Time now);

    /// Counts one retry if at least one is left beyond the fraction \a reserved of the slack, which
    /// is kept for more important requests. Returns whether the retry was counted.
    bool withdraw(Time now, double reserved = 0);

    void setSlack(double slack) { m_settings.slack = slack; }
    void setPerRequest(double share) { m_settings.perRequest = share; }

    // Queries

    /// Whether withdraw() without a reserve would succeed.
    bool canWithdraw(Time now) const { return balance(now) >= 1; }

private:
    /// Requests and retries in one time slice of the window.
    struct Slice
    {
        Time begin {};
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Slice &slice(Time now);
    bool hasExpired(const Slice &slice, Time now) const;

    /// The slack of the current window.
    double allowance(Time now) const;

    /// Retries left now.
    double balance(Time now) const;

    RetryWindowSettings m_settings;
    std::deque<Slice> m_slices; ///< oldest first
    Time m_firstAt {};
};

} // namespace balsamloft
