#include <balsamloft/admission/retrybudget.h>

#include <algorithm>

namespace balsamloft {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
    , m_balance(settings.initialBalance < 0 ? settings.maxBalance : settings.initialBalance)
{
}

void RetryBudget::requestStarted()
{
    m_balance = std::min(m_settings.maxBalance, m_balance + m_settings.perRequest);
}

bool RetryBudget::withdraw(Time now)
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_balance = std::min(m_settings.maxBalance, m_balance + elapsed.count() * m_settings.perSecond);
    if (m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

namespace {

constexpr std::int64_t SlicesInWindow = 20;

} // namespace

RetryWindow::RetryWindow(RetryWindowSettings settings)
    : m_settings(settings)
{
}

/// A slice expires when the end of its time span has left the window.
bool RetryWindow::hasExpired(const Slice &slice, Time now) const
{
    return now - slice.begin > m_settings.window + m_settings.window / SlicesInWindow;
}

RetryWindow::Slice &RetryWindow::slice(Time now)
{
    if (m_firstAt == Time {})
        m_firstAt = now;
    const Duration length = m_settings.window / SlicesInWindow;
    if (m_slices.empty() || now - m_slices.back().begin >= length)
        m_slices.push_back({now, 0, 0});
    while (hasExpired(m_slices.front(), now))
        m_slices.pop_front();
    return m_slices.back();
}

void RetryWindow::requestStarted(Time now)
{
    slice(now).requests += 1;
}

double RetryWindow::allowance(Time now) const
{
    const bool firstWindow = now - m_firstAt < m_settings.window;
    return m_settings.slack - (firstWindow ? m_settings.spentBefore : 0);
}

double RetryWindow::balance(Time now) const
{
    double remaining = allowance(now);
    for (const Slice &each : m_slices) {
        if (now - each.begin <= m_settings.window)
            remaining += m_settings.perRequest * each.requests;
        remaining -= hasExpired(each, now) ? 0 : each.retries;
    }
    return remaining;
}

bool RetryWindow::withdraw(Time now, double reserved)
{
    Slice &current = slice(now);
    if (balance(now) < 1 + reserved * std::max(0.0, allowance(now)))
        return false;
    current.retries += 1;
    return true;
}

} // namespace balsamloft
