#include <balsamloft/retrybudget.h>

#include <algorithm>

namespace balsamloft {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
    , m_balance(settings.initial < 0 ? settings.most : settings.initial)
{
}

void RetryBudget::requestStarted()
{
    m_balance = std::min(m_settings.most, m_balance + m_settings.perRequest);
}

void RetryBudget::setMost(double most)
{
    m_settings.most = most;
    m_balance = std::min(m_balance, most);
}

bool RetryBudget::withdraw(Time now)
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_balance = std::min(m_settings.most, m_balance + elapsed.count() * m_settings.perSecond);
    if (m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

} // namespace balsamloft
