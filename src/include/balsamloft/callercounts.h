/// \file
/// Counts the requests and connections of callers, so that each request that was read can be
/// accounted for.

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsamloft {

/// Why the connection of a caller was closed.
enum class CloseCause : std::uint8_t {
    CallerEnded, ///< the caller closed or reset it
    WriteFailed, ///< an answer could not be written
    Announced, ///< after an answer that announced it
    Truncated, ///< the end of an incomplete stream
    Idle, ///< no request within the idle timeout
    Stopping, ///< idle in a planned stop
    GivenUp, ///< its request was given up without an answer
    TooMany, ///< the limit of connections was reached
    MadeRoom, ///< its client made least progress when another needed what it held
};

inline constexpr std::array<std::string_view, 9> CloseCauseNames {
    "caller_ended", "write_failed", "announced", "truncated", "idle",
    "stopping",     "given_up",     "too_many",  "made_room"};

/// What was open when a connection was closed.
struct ConnectionRemains
{
    bool request = false; ///< a request without a complete answer
    bool unreadBytes = false; ///< in the process or in the socket
};

/// Numbers of requests and connections since the start.
class CallerCounts
{
public:
    // Commands

    /// Records a request that is owed an answer.
    void requestRead() { m_read += 1; }
    void answerWritten() { m_answered += 1; }
    void connectionClosed(CloseCause cause, ConnectionRemains remains);

    // Queries

    std::uint64_t read() const { return m_read; }
    std::uint64_t answered() const { return m_answered; }
    std::uint64_t truncated() const { return count(CloseCause::Truncated).requests; }

    /// Requests whose callers ended the connection before the answer was complete.
    std::uint64_t abandoned() const { return count(CloseCause::CallerEnded).requests; }

    /// Requests without a complete answer, of which nobody was told. If the process ends now, their
    /// number includes those in progress.
    std::uint64_t unanswered() const { return m_read - m_answered - truncated() - abandoned(); }

    /// Connections that this instance closed while bytes of the caller were unread.
    std::uint64_t closedUnread() const;

    /// Appends metrics to \a text, each with \a label, such as "worker=\"0\"", unless it is empty.
    void render(std::string_view label, std::string &text) const;

private:
    struct Closed
    {
        std::uint64_t connections = 0;
        std::uint64_t requests = 0; ///< without a complete answer
        std::uint64_t unread = 0; ///< connections with unread bytes
    };

    const Closed &count(CloseCause cause) const
    {
        return m_closed[static_cast<std::size_t>(cause)];
    }

    std::uint64_t m_read = 0;
    std::uint64_t m_answered = 0;
    std::array<Closed, CloseCauseNames.size()> m_closed {};
};

} // namespace balsamloft
