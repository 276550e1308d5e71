/// \file
/// A connection of a caller that a test opens, uses and ends step by step.

#pragma once

#include "rawserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <string>
#include <utility>

namespace balsamloft::testsuite {

/// How a caller ends its connection.
enum class Departure { Close, Reset };

/// A connection of a caller.
class CallerConnection
{
public:
    explicit CallerConnection(const std::string &address)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const std::size_t colon = address.find(':');
        sockaddr_in peer {};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
        if (::connect(m_socket, reinterpret_cast<sockaddr *>(&peer), sizeof peer) != 0)
            throw std::runtime_error("cannot connect to " + address);
    }
    ~CallerConnection()
    {
        if (m_socket >= 0)
            ::close(m_socket);
    }
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void send(std::string_view text) { ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL); }

    /// Reads until the answer is complete.
    std::string receive()
    {
        std::string text;
        char buffer[4096];
        while (!completeAnswer(text)) {
            const auto count = ::recv(m_socket, buffer, sizeof buffer, 0);
            if (count <= 0)
                break;
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text;
    }

    /// Reads what has arrived, or waits for the first bytes.
    std::string receiveSome()
    {
        char buffer[4096];
        const auto count = ::recv(m_socket, buffer, sizeof buffer, 0);
        return std::string(buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
    }

    void leave(Departure departure)
    {
        const linger resetOnClose {1, 0};
        if (departure == Departure::Reset)
            ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        ::close(std::exchange(m_socket, -1));
    }

private:
    int m_socket;
};

} // namespace balsamloft::testsuite
