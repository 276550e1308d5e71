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
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc {} || parsed.ptr != end)
        return std::nullopt;
    return tcp::endpoint(address, port);
}

bool listenAt(tcp::acceptor &acceptor, const std::string &address, Reason &reason)
{
    const auto endpoint = endpointFromText(address);
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        reason = "cannot listen at " + address + ": " + error.message();
    return !error;
}

bool isQuiet(tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace balsamloft
