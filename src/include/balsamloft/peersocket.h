/// \file
/// The peer protocol over ZeroMQ with protobuf.

#pragma once

#include <balsamloft/peermessage.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace balsamloft {

/// Returns the wire form of \a message.
std::string encodePeerMessage(const PeerMessage &message);

/// Returns nothing and a reason when \a bytes are not a valid message.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes, Reason &reason);

/// Sends and receives one-way messages. Connections to the peers used last
/// are kept; there is no mesh. What cannot be sent at once is dropped: every
/// message is one that is repeated or asked for again.
class PeerSocket
{
public:
    using Callback = std::function<void(PeerMessage)>;

    PeerSocket(boost::asio::io_context &context, Callback callback);
    ~PeerSocket();

    /// Listens on \a address ("IP:port"; port 0 takes a free one). Returns
    /// false and a reason when it cannot.
    bool listen(const std::string &address, Reason &reason);

    /// Returns "IP:port" that is listened on.
    const std::string &address() const;

    void send(const std::string &address, const PeerMessage &message);

    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

    /// Messages that were not valid and were dropped.
    std::uint64_t malformed() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace balsamloft
