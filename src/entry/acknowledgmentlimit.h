/// \file
/// Tells peers that do not read from peers that are gone.

#pragma once

#include <balsamloft/types.h>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace balsamloft {

/// What the system knows of the data that was written to a connection.
struct SendState
{
    bool unacknowledged = false; ///< data was sent and not yet acknowledged
    bool unsent = false; ///< data waits because the peer's window is closed
    std::uint32_t unansweredProbes = 0; ///< of the closed window
};

/// Whether the peer is alive and does not read: all that was sent is acknowledged, and so are the
/// probes of its closed window.
bool isWindowClosed(const SendState &state);

/// Limits how long data of a connection may be unacknowledged. The system applies its limit to
/// data that waits for a closed window too, so it would cut off peers that read slowly; while
/// the window is closed, the limit is lifted. A peer that is gone answers no probes; then the limit
/// is in force again.
class AcknowledgmentLimit
{
public:
    /// To be called regularly while data is being sent.
    /// \return whether data may still wait to be sent.
    bool tick(boost::asio::ip::tcp::socket &socket, Time now);

private:
    Time m_checkedAt {};
    bool m_lifted = false;
};

} // namespace balsamloft
