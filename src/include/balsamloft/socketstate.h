/// \file
/// State of a TCP connection that a read does not show.

#pragma once

#include <poll.h>
#include <sys/socket.h>

namespace balsamloft {

/// Whether the other side of \a socket has ended its output or reset the connection. Also sees an
/// end that lies behind bytes that were not read yet.
inline bool isEndedByPeer(int socket)
{
    pollfd poll {socket, POLLRDHUP, 0};
    return ::poll(&poll, 1, 0) > 0;
}

/// Whether bytes have arrived at \a socket that were not read.
inline bool hasUnreadBytes(int socket)
{
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace balsamloft
