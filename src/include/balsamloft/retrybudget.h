/// \file
/// Bounds the work that retries may add.

#pragma once

#include <balsamloft/types.h>

#include <deque>

namespace balsamloft {

/// Settings of a RetryBudget.
struct RetryBudgetSettings
{
    double perRequest = 0.1; ///< retries earned by each first attempt
    double perSecond = 1; ///< retries earned by time alone, for idle instances
    double most = 100; ///< retries that can be saved up
    double initial = -1; ///< saved up at the start; negative: the most
};

/// A token bucket filled by first attempts. Without it a failure of many
/// endpoints multiplies the load on those that are left, which then fail too.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    void requestStarted();

    /// Takes one retry out of the budget; returns false when it is spent.
    bool withdraw(Time now);

    double balance() const { return m_balance; }

private:
    RetryBudgetSettings m_settings;
    double m_balance;
    Time m_refilledAt {};
};

/// Settings of a RetryWindow.
struct RetryWindowSettings
{
    Duration window {10'000'000}; ///< repeats are bounded in any span of this length
    double perRequest = 0.1; ///< repeats for each request of the last window
    double slack = 10; ///< repeats in a window beyond that
    /// Repeats that an earlier process of this instance may just have spent:
    /// taken off the slack until the first window is over.
    double spentBefore = 0;
};

/// A bound on repeats in any span of a given length. A token bucket of the same
/// bound gives its savings once and then only the share of requests; the bound
/// itself gives the slack anew in each window, which is what an outage of some
/// seconds needs.
class RetryWindow
{
public:
    explicit RetryWindow(RetryWindowSettings settings = {});

    // Commands

    void requestStarted(Time now);

    /// Counts one repeat; returns false when the window has no room for it beside
    /// \a kept, a share of the slack that is left to others.
    bool withdraw(Time now, double kept = 0);

    /// Changes the slack.
    void setSlack(double slack) { m_settings.slack = slack; }
    void setPerRequest(double share) { m_settings.perRequest = share; }

    // Queries

    /// Whether withdraw() would succeed.
    bool canWithdraw(Time now) const { return balance(now) >= 1; }

private:
    /// What happened in one slice of the window.
    struct Slice
    {
        Time begin {};
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Slice &slice(Time now);
    bool over(const Slice &slice, Time now) const;

    /// The slack of the present window.
    double allowance(Time now) const;

    /// Repeats that may still be made now.
    double balance(Time now) const;

    RetryWindowSettings m_settings;
    std::deque<Slice> m_slices; ///< oldest first
    Time m_firstAt {};
};

} // namespace balsamloft
