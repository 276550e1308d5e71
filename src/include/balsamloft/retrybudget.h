/// \file
/// Bounds the work that retries may add.

#pragma once

#include <balsamloft/types.h>

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

    /// Changes how many can be saved up.
    void setMost(double most);

    double balance() const { return m_balance; }

private:
    RetryBudgetSettings m_settings;
    double m_balance;
    Time m_refilledAt {};
};

} // namespace balsamloft
