/// \file
/// Addresses as text.

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace balsamloft {

/// The endpoint that "IP:port" names, or nothing.
std::optional<boost::asio::ip::tcp::endpoint> parseTcpEndpoint(std::string_view text);

} // namespace balsamloft
