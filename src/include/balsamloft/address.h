/// \file
/// Parsing of socket addresses.

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace balsamloft {

/// Parses "IP:port". Returns nullopt if \a text is malformed.
std::optional<boost::asio::ip::tcp::endpoint> parseTcpEndpoint(std::string_view text);

} // namespace balsamloft
