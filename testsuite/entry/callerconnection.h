/// \file
/// A connection of a caller that a test opens, uses and ends step by step.

#pragma once

#include "rawserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace balsamloft::testsuite {

/// How a caller ends its connection.
enum class Departure { Close, Reset };

/// How a caller saw the other side end the connection.
enum class ConnectionEnd { None, Closed, Reset };

/// Returns the length of the first answer in \a text, with a length or chunked, if it is complete.
inline std::optional<std::size_t> answerLength(const std::string &text)
{
    const std::size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos)
        return std::nullopt;
    const std::size_t at = text.find("Content-Length: ");
    if (at < head) {
        const std::size_t length = head + 4 + std::stoul(text.substr(at + 16));
        return text.size() >= length ? std::optional(length) : std::nullopt;
    }
    constexpr std::string_view LastChunk = "\r\n0\r\n\r\n";
    const std::size_t end = text.find(LastChunk, head + 2);
    return end != std::string::npos ? std::optional(end + LastChunk.size()) : std::nullopt;
}

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

    /// Reads until one more answer is complete, the connection ends, or \a limit is over. Returns
    /// the answer, or nothing; what was received of an incomplete one is in received().
    std::optional<std::string> receiveAnswer(std::chrono::milliseconds limit = DefaultLimit)
    {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (!answerLength(m_received) && receiveMore(deadline)) { }
        const auto length = answerLength(m_received);
        if (!length)
            return std::nullopt;
        std::string answer = m_received.substr(0, *length);
        m_received.erase(0, *length);
        return answer;
    }

    /// Reads until \a text is received, the connection ends, or \a limit is over.
    bool receiveUntil(std::string_view text, std::chrono::milliseconds limit = DefaultLimit)
    {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (m_received.find(text) == std::string::npos && receiveMore(deadline)) { }
        return m_received.find(text) != std::string::npos;
    }

    /// Reads until the connection ends or \a limit is over.
    ConnectionEnd receiveEnd(std::chrono::milliseconds limit = DefaultLimit)
    {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (receiveMore(deadline)) { }
        return m_end;
    }

    /// What was received beyond the answers that receiveAnswer() returned.
    const std::string &received() const { return m_received; }

    /// How the connection ended, as far as the receiving functions have seen.
    ConnectionEnd end() const { return m_end; }

    /// Makes the window of the connection small. To be called before anything is received.
    void shrinkReceiveBuffer(int bytes)
    {
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    }

    /// Ends only the caller's side of the connection.
    void endSending() { ::shutdown(m_socket, SHUT_WR); }

    void leave(Departure departure)
    {
        const linger resetOnClose {1, 0};
        if (departure == Departure::Reset)
            ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        ::close(std::exchange(m_socket, -1));
    }

private:
    static constexpr std::chrono::milliseconds DefaultLimit {20'000}; ///< only a hang reaches it

    /// Waits until \a deadline for further bytes. Returns whether there were any.
    bool receiveMore(std::chrono::steady_clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        pollfd readable {m_socket, POLLIN, 0};
        if (m_end != ConnectionEnd::None || left.count() <= 0
            || ::poll(&readable, 1, static_cast<int>(left.count())) <= 0)
            return false;
        char buffer[65536];
        const auto count = ::recv(m_socket, buffer, sizeof buffer, 0);
        if (count <= 0) {
            m_end = count == 0 ? ConnectionEnd::Closed : ConnectionEnd::Reset;
            return false;
        }
        m_received.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int m_socket;
    std::string m_received;
    ConnectionEnd m_end = ConnectionEnd::None;
};

} // namespace balsamloft::testsuite
