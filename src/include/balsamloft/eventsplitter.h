/// \file
/// Cuts a stream of server-sent events into whole events.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsamloft {

/// Takes the bytes of a stream as they arrive and gives back whole events only:
/// an engine may break off in the middle of one, and what was passed on of it
/// could not be taken back when the stream goes on elsewhere.
class EventSplitter
{
public:
    /// Adds \a bytes and appends the events that are whole to \a complete. Events
    /// at or before \a after were passed already and are left out.
    /// \return how many events were appended.
    std::size_t add(std::string_view bytes, std::optional<std::uint64_t> after,
                    std::string &complete);

    /// Id of the last whole event that had one.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

    /// Whether bytes of an unfinished event are held.
    bool partial() const { return !m_buffer.empty(); }

    /// Bytes held of an unfinished event.
    std::size_t bufferedBytes() const { return m_buffer.size(); }

private:
    std::string m_buffer;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace balsamloft
