#include <balsamloft/orders.h>

#include <algorithm>

namespace balsamloft {

OrderManager::OrderManager(OrderSettings settings)
    : m_settings(settings)
{
}

void OrderManager::setWanted(Assignment assignment, bool checksFencing)
{
    Wanted &wanted = m_wanted[assignment.engine];
    if (wanted.assignment == assignment)
        return;
    wanted.assignment = std::move(assignment);
    wanted.checksFencing = checksFencing;
    wanted.sent = false;
}

void OrderManager::remove(const std::string &engine)
{
    m_wanted.erase(engine);
}

void OrderManager::observed(const ObservedEngine &engine)
{
    const auto it = m_wanted.find(engine.engine);
    if (it != m_wanted.end())
        it->second.observed = engine;
}

bool OrderManager::matches(const Wanted &wanted)
{
    return wanted.observed && !wanted.observed->loading
           && wanted.observed->model == wanted.assignment.model
           && (wanted.assignment.model.empty()
               || wanted.observed->layers == wanted.assignment.layers);
}

void OrderManager::tick(bool holdsLease, std::uint64_t fencing, Time acquiredAt, Time now,
                        OrderActions &actions)
{
    // The lease is checked when the orders are created, so an instance that was paused until
    // its lease expired sends none.
    if (!holdsLease)
        return;
    // An engine that checks the fencing number refuses orders of the last lease holder that
    // arrive late. Other engines would carry them out even after newer ones, so they get no
    // order until the old lease has expired and its last order must have arrived.
    const bool oldOrdersExpired =
        fencing == 1 || now - acquiredAt >= m_settings.leaseDuration + m_settings.maxTransit;
    for (auto &[name, wanted] : m_wanted) {
        if (matches(wanted) || (!wanted.checksFencing && !oldOrdersExpired))
            continue;
        if (wanted.sent && now - wanted.sentAt < m_settings.resendAfter)
            continue;
        wanted.sent = true;
        wanted.sentAt = now;
        ++m_ordersSent;
        actions.push_back({name, fencing, wanted.assignment});
    }
}

bool OrderManager::isApplied(const std::string &engine) const
{
    const auto it = m_wanted.find(engine);
    return it != m_wanted.end() && matches(it->second);
}

std::uint32_t OrderManager::loading() const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_wanted.begin(), m_wanted.end(), [](const auto &item) {
            return !item.second.assignment.model.empty() && !matches(item.second);
        }));
}

std::vector<std::string> OrderManager::mismatches() const
{
    std::vector<std::string> lines;
    for (const auto &[name, wanted] : m_wanted) {
        if (matches(wanted))
            continue;
        const std::string observed = wanted.observed ? wanted.observed->model : "unknown";
        lines.push_back(name + ": wanted " + wanted.assignment.model + ", holds "
                        + (observed.empty() ? "nothing" : observed));
    }
    return lines;
}

} // namespace balsamloft
