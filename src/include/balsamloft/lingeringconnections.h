/// \file
/// Closes the connections of callers without a loss of answers.

#pragma once

#include <balsamloft/types.h>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <memory>

namespace balsamloft {

/// Ends connections in two steps (RFC 9112, section 9.6): the server ends its output, and reads
/// until the caller has ended its side, or for a limited time. If a connection is closed with
/// unread bytes, the system resets it, and the reset destroys answers that the caller has not read
/// yet.
class LingeringConnections
{
public:
    LingeringConnections() = default;
    ~LingeringConnections();
    LingeringConnections(const LingeringConnections &) = delete;
    LingeringConnections &operator=(const LingeringConnections &) = delete;

    // Commands

    /// Sets how many connections may linger. Beyond that, the one that lingers longest is closed.
    void setLimit(std::size_t connections) { m_limit = connections; }

    /// Takes over \a socket, on which no operation is in progress, and ends it.
    void add(boost::asio::ip::tcp::socket socket, Time now);

    /// Closes the connections that have lingered long enough. To be called regularly.
    void tick(Time now);

    // Queries

    std::size_t size() const { return m_connections.size(); }

    struct Counts
    {
        std::uint64_t ended = 0; ///< connections that were added
        std::uint64_t crossed = 0; ///< connections on which bytes arrived after the end
        std::uint64_t timedOut = 0; ///< connections whose caller did not end its side in time
    };
    const Counts &counts() const { return m_counts; }

private:
    class Connection;

    std::map<std::uint64_t, std::shared_ptr<Connection>> m_connections; ///< by order of their end
    std::size_t m_limit = std::numeric_limits<std::size_t>::max();
    Counts m_counts;
};

} // namespace balsamloft
