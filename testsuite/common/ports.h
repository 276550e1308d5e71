/// \file
/// Loopback ports for servers that are started later.

#pragma once

#include <string>

namespace balsamloft::testsuite {

/// A loopback port, kept from everyone who listens at a free port or connects. A server can listen
/// at it with SO_REUSEADDR, again and again; while none does, connections are refused.
class PortReservation
{
public:
    /// Throws std::runtime_error if no port is free.
    PortReservation();
    ~PortReservation();
    PortReservation(const PortReservation &) = delete;
    PortReservation &operator=(const PortReservation &) = delete;

    /// "127.0.0.1:port".
    const std::string &address() const { return m_address; }

private:
    int m_socket;
    std::string m_address;
};

/// A free loopback port, as "127.0.0.1:port", reserved for as long as the process needs it: until
/// many later calls. Thread-safe.
std::string freeAddress();

} // namespace balsamloft::testsuite
