/// \file
/// Helpers for TCP sockets.

#pragma once

#include <balsamloft/address.h>
#include <balsamloft/socketstate.h>
#include <balsamloft/types.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace balsamloft {

/// Time within which a peer must acknowledge what is sent to it.
inline constexpr Duration AcknowledgmentTimeout {1'500'000};

/// The same for callers. The system also counts the time in which a peer accepts no more bytes, so
/// a short timeout would reset the connections of callers that are slow to read their answers.
inline constexpr Duration CallerAcknowledgmentTimeout {15'000'000};

/// Sets the options that every connection needs: TCP_NODELAY, and a timeout for
/// unacknowledged data, because a peer behind a network partition never resets the connection.
void setSocketOptions(boost::asio::ip::tcp::socket &socket,
                      Duration acknowledgmentTimeout = AcknowledgmentTimeout);

/// Sets the timeout for unacknowledged data; 0: none.
void setAcknowledgmentTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout);

/// Opens \a acceptor and listens at \a address, a valid "IP:port". The system holds up to \a
/// backlog connections until they are accepted. \return whether that succeeded; otherwise \a reason
/// is set.
bool listenAt(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address, Reason &reason,
              int backlog = boost::asio::socket_base::max_listen_connections);

/// Whether the connection is open and has no bytes to read.
bool isIdleConnection(boost::asio::ip::tcp::socket &socket);

} // namespace balsamloft
