/// \file
/// Decides when an instance listens for connections of callers.

#pragma once

#include <balsamloft/types.h>

namespace balsamloft {

/// Refuses connections while an instance is behind, that is, while connections have to be closed
/// unread. Each connection that is accepted and then closed costs a share of what reading one
/// costs, so beyond some load an instance that accepts all would do nothing else. A connection
/// that is refused costs the instance nothing, and its caller can go to another one at once.
class AcceptGate
{
public:
    /// Records that a connection was closed because it waited too long to be read.
    void recordExpired(Time now);

    /// Records that \a waiting accepted connections are unread.
    /// \return whether to listen for more.
    bool update(std::size_t waiting, Time now);

    bool isBehind(Time now) const { return now < m_behindUntil; }

    /// Number of connections that the system may hold for the instance until it accepts them.
    int backlog(Time now) const;

private:
    Time m_behindUntil {};
};

} // namespace balsamloft
