#include <balsamloft/callercounts.h>

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

void CallerCounts::render(std::string_view label, std::string &text) const
{
    const auto sample = [&](std::string_view name, const std::string &labels, std::uint64_t value) {
        text.append("balsamloft_caller_").append(name);
        if (!labels.empty())
            text.append("{").append(labels).append("}");
        text.append(" ").append(std::to_string(value)).append("\n");
    };
    const std::string common(label);
    sample("requests_read_total", common, m_read);
    sample("requests_answered_total", common, m_answered);
    for (std::size_t cause = 0; cause < m_closed.size(); ++cause) {
        const std::string labels = common + (common.empty() ? "" : ",") + "cause=\""
                                   + std::string(CloseCauseNames[cause]) + "\"";
        sample("connections_closed_total", labels, m_closed[cause].connections);
        sample("connections_closed_unread_total", labels, m_closed[cause].unread);
        sample("requests_unanswered_total", labels, m_closed[cause].requests);
    }
}

} // namespace balsamloft
