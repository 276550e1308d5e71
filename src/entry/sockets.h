/// \file
/// Options of TCP sockets.

#pragma once

#include <balsamloft/address.h>
#include <balsamloft/types.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace balsamloft {

/// Sets what every connection needs: no delay of small writes, and an end to
/// writes that are not acknowledged, since a peer behind a partition never
/// resets the connection.
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

/// Opens \a acceptor and listens at \a address, a checked "IP:port".
/// \return whether that worked; else \a reason says why not.
bool listenAt(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address, Reason &reason);

/// Whether a connection that should be idle is open and has nothing to read.
bool isIdleConnection(boost::asio::ip::tcp::socket &socket);

} // namespace balsamloft
