#include "ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <list>
#include <mutex>
#include <stdexcept>

namespace balsamloft::testsuite {

namespace {

/// Well above what one test uses, well below the usual limit of open files.
constexpr std::size_t KeptReservations = 400;

} // namespace

PortReservation::PortReservation()
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    // Two sockets with SO_REUSEADDR share a port unless one listens; this one never does.
    const int on = 1;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
        || ::bind(m_socket, reinterpret_cast<sockaddr *>(&address), length) != 0
        || ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        ::close(m_socket);
        throw std::runtime_error("cannot reserve a port");
    }
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

PortReservation::~PortReservation()
{
    ::close(m_socket);
}

std::string freeAddress()
{
    static std::mutex mutex;
    static std::list<PortReservation> reservations;
    const std::lock_guard lock(mutex);
    if (reservations.size() == KeptReservations)
        reservations.pop_front();
    return reservations.emplace_back().address();
}

} // namespace balsamloft::testsuite
