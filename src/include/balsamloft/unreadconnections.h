/// \file
/// Order in which accepted connections of callers are read.

#pragma once

#include <balsamloft/types.h>

#include <deque>
#include <optional>

namespace balsamloft {

/// Connections that were accepted and whose first request was not read yet.
///
/// The newest is read first: while more connections arrive than can be read, reading the oldest
/// first would make all of them wait until their callers have left. Those that waited too long are
/// to be closed unread, which callers can tell from a failed request: they may repeat any request.
class UnreadConnections
{
public:
    using Id = int;

    void add(Id id, Time now);

    /// Removes and returns the connection to read next, or nothing if none waits.
    std::optional<Id> takeNewest();

    /// Removes and returns a connection to close, or nothing. To be called until it returns
    /// nothing.
    std::optional<Id> takeExpired(Time now);

    std::size_t size() const { return m_waiting.size(); }

private:
    struct Waiting
    {
        Id id;
        Time since;
    };

    std::deque<Waiting> m_waiting; ///< oldest first
};

} // namespace balsamloft
