/// \file
/// Peer protocol between instances: protobuf messages over ZeroMQ.

#pragma once

#include <balsamloft/peermessage.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace balsamloft {

/// Returns the wire form of \a message.
std::string encodePeerMessage(const PeerMessage &message);

/// Returns nothing and sets \a reason if \a bytes are not a valid message.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes, Reason &reason);

/// Sends and receives one-way messages. Keeps connections open only to the most recently used
/// peers. Drops messages that cannot be queued at once, since the protocol sends or requests lost
/// data again.
class PeerSocket
{
public:
    using Callback = std::function<void(PeerMessage)>;

    PeerSocket(boost::asio::io_context &context, Callback callback);
    ~PeerSocket();

    /// Listens on \a address ("IP:port"; port 0 selects a free port). Returns false and sets
    /// \a reason on failure.
    bool listen(const std::string &address, Reason &reason);

    /// Returns the address that the socket listens on, as "IP:port".
    const std::string &address() const;

    void send(const std::string &address, const PeerMessage &message);

    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

    /// Returns the number of received messages that were dropped as invalid.
    std::uint64_t malformed() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace balsamloft
