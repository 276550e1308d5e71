#include "acknowledgmentlimit.h"

#include "sockets.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <utility>

using boost::asio::ip::tcp;

namespace balsamloft {

namespace {

/// Shorter than the limit, so that it is lifted in time.
constexpr Duration CheckInterval {200'000};
constexpr std::uint32_t MaxUnansweredProbes = 2;

SendState sendStateOf(tcp::socket &socket)
{
    int unsent = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQNSD, &unsent) != 0 || unsent == 0)
        return {};
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return {};
    return {info.tcpi_unacked > 0, true, info.tcpi_probes};
}

} // namespace

bool isWindowClosed(const SendState &state)
{
    return state.unsent && !state.unacknowledged && state.unansweredProbes <= MaxUnansweredProbes;
}

bool AcknowledgmentLimit::tick(tcp::socket &socket, Time now)
{
    if (!socket.is_open() || now - m_checkedAt < CheckInterval)
        return true;
    m_checkedAt = now;
    const SendState state = sendStateOf(socket);
    const bool lift = isWindowClosed(state);
    if (std::exchange(m_lifted, lift) != lift)
        setAcknowledgmentTimeout(socket, lift ? Duration(0) : AcknowledgmentTimeout);
    return state.unsent;
}

} // namespace balsamloft
