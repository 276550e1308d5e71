#include "callercounts.h"

namespace balsamloft {

void CallerCounts::connectionClosed(CloseCause cause, ConnectionRemains remains)
{
    Closed &closed = m_closed[static_cast<std::size_t>(cause)];
    closed.connections += 1;
    closed.requests += remains.request ? 1 : 0;
    closed.unread += remains.unreadBytes ? 1 : 0;
}

std::uint64_t CallerCounts::closedUnread() const
{
    std::uint64_t sum = 0;
    for (const Closed &each : m_closed)
        sum += each.unread;
    return sum - count(CloseCause::CallerEnded).unread;
}

void CallerCounts::render(std::string &text) const
{
    const auto sample = [&](std::string_view name, std::uint64_t value) {
        text += "balsamloft_caller_" + std::string(name) + " " + std::to_string(value) + "\n";
    };
    sample("requests_read_total", m_read);
    sample("requests_answered_total", m_answered);
    for (std::size_t cause = 0; cause < m_closed.size(); ++cause) {
        const std::string label = "{cause=\"" + std::string(CloseCauseNames[cause]) + "\"}";
        sample("connections_closed_total" + label, m_closed[cause].connections);
        sample("connections_closed_unread_total" + label, m_closed[cause].unread);
        sample("requests_unanswered_total" + label, m_closed[cause].requests);
    }
}

} // namespace balsamloft
