#include "sockets.h"

#include <balsamloft/socketbuffers.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

using boost::asio::ip::tcp;

namespace balsamloft {

void setSocketOptions(tcp::socket &socket, Duration acknowledgmentTimeout)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    setAcknowledgmentTimeout(socket, acknowledgmentTimeout);
}

void setAcknowledgmentTimeout(tcp::socket &socket, Duration timeout)
{
    const auto limit = static_cast<unsigned>(timeout.count() / 1000);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

bool listenAt(tcp::acceptor &acceptor, const std::string &address, Reason &reason, int backlog)
{
    const auto endpoint = parseTcpEndpoint(address);
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        limitSocketBuffers(acceptor.native_handle());
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(backlog, error);
    if (error)
        reason = "cannot listen at " + address + ": " + error.message();
    return !error;
}

bool isIdleConnection(tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace balsamloft
