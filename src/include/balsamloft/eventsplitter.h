/// \file
/// Splits a stream of server-sent events into complete events.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsamloft {

/// Buffers the bytes of a stream and returns only complete events. If an engine fails in the
/// middle of an event, the stream resumes on another one, and a forwarded part of the event
/// would remain in the caller's stream.
class EventSplitter
{
public:
    /// Adds \a bytes and appends the events that are now complete to \a complete, except those
    /// with ids up to \a after, which were forwarded before.
    /// \return the number of events appended.
    std::size_t add(std::string_view bytes, std::optional<std::uint64_t> after,
                    std::string &complete);

    /// Id of the last complete event that had one.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

    /// Whether an incomplete event is buffered.
    bool partial() const { return !m_buffer.empty(); }

    /// Buffered bytes of an incomplete event.
    std::size_t bufferedBytes() const { return m_buffer.size(); }

private:
    std::string m_buffer;
    std::size_t m_searched = 0; ///< bytes at the front of m_buffer in which no event ends
    std::optional<std::uint64_t> m_lastId;
};

} // namespace balsamloft
