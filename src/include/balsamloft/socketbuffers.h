/// \file
/// What the system may hold for a socket.

#pragma once

#include <sys/socket.h>

namespace balsamloft {

/// Bytes that the system may hold in each direction. By default it lets buffers grow to several
/// megabytes, which count towards the memory of the machine while a client does not read, or this
/// process does not.
inline constexpr int SocketBufferBytes = 64 * 1024;

/// Limits what the system holds for \a socket, or, if it listens, for its connections. To be called
/// before it listens or connects.
inline void limitSocketBuffers(int socket)
{
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes, sizeof SocketBufferBytes);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes, sizeof SocketBufferBytes);
}

} // namespace balsamloft
