#include "sockets.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

using boost::asio::ip::tcp;

namespace balsamloft {

namespace {

/// Milliseconds after which written bytes must have been acknowledged.
constexpr int UnacknowledgedMs = 1500;

} // namespace

void setSocketOptions(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const int limit = UnacknowledgedMs;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

std::optional<tcp::endpoint> endpointFromText(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    unsigned short port = 0;
    const auto parsed = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (error || parsed.ec != std::errc {})
        return std::nullopt;
    return tcp::endpoint(address, port);
}

bool isQuiet(tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace balsamloft
