#include <balsamloft/eventsplitter.h>

#include <charconv>

namespace balsamloft {

namespace {

/// Length of the first event of \a text including the blank line; 0 if it is incomplete. No event
/// ends within the first \a searched bytes.
std::size_t eventLength(std::string_view text, std::size_t searched = 0)
{
    constexpr std::size_t MaxOverlap = 3; // bytes of a blank line that may have been searched
    const std::size_t from = searched > MaxOverlap ? searched - MaxOverlap : 0;
    const std::size_t plain = text.find("\n\n", from);
    const std::size_t carriage = text.find("\r\n\r\n", from);
    if (carriage != std::string_view::npos && (plain == std::string_view::npos || carriage < plain))
        return carriage + 4;
    return plain == std::string_view::npos ? 0 : plain + 2;
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc {})
            return id;
    }
    return std::nullopt;
}

} // namespace

std::size_t EventSplitter::add(std::string_view bytes, std::optional<std::uint64_t> after,
                               std::string &complete)
{
    m_buffer.append(bytes);
    std::string_view rest = m_buffer;
    std::size_t count = 0;
    for (std::size_t length = eventLength(rest, m_searched); length > 0;
         length = eventLength(rest)) {
        const std::string_view event = rest.substr(0, length);
        rest.remove_prefix(length);
        const std::optional<std::uint64_t> id = eventId(event);
        if (id && after && *id <= *after)
            continue;
        if (id)
            m_lastId = id;
        complete.append(event);
        count += 1;
    }
    m_buffer.erase(0, m_buffer.size() - rest.size());
    m_searched = m_buffer.size();
    return count;
}

} // namespace balsamloft
