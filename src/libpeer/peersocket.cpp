#include <balsamloft/peersocket.h>

#include <balsamloft/httpserver.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

#include <list>
#include <map>

namespace asio = boost::asio;

namespace balsamloft {

namespace {

constexpr std::size_t MaxConnections = 32; ///< to peers; the least recently used is closed
constexpr int HighWaterMark = 64; ///< queued messages per connection
constexpr std::int64_t MaxMessageBytes = 16 << 20;
constexpr int HeartbeatMillis = 2000;
constexpr int HeartbeatTimeoutMillis = 4000;
constexpr int ReconnectMillis = 5000;
constexpr int LingerMillis = 500;

} // namespace

class PeerSocket::Impl
{
public:
    Impl(asio::io_context &context, Callback callback)
        : m_context(context)
        , m_callback(std::move(callback))
        , m_receiver(m_zmq, zmq::socket_type::pull)
        , m_descriptor(context)
    {
    }

    ~Impl()
    {
        // The ZeroMQ socket owns the descriptor and closes it.
        if (m_descriptor.is_open())
            m_descriptor.release();
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    bool listen(const std::string &address, Reason &reason);
    void send(const std::string &address, const PeerMessage &message);

    std::string m_address;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_malformed = 0;

private:
    struct Connection
    {
        zmq::socket_t socket;
        std::list<std::string>::iterator recency;
    };

    void waitReadable();
    void receiveAll();
    Connection &connection(const std::string &address);

    asio::io_context &m_context;
    Callback m_callback;
    zmq::context_t m_zmq {1};
    zmq::socket_t m_receiver;
    asio::posix::stream_descriptor m_descriptor;
    std::map<std::string, Connection> m_connections;
    std::list<std::string> m_recency; ///< most recently used first
};

bool PeerSocket::Impl::listen(const std::string &address, Reason &reason)
{
    if (!parseAddress(address, reason))
        return false;
    try {
        m_receiver.set(zmq::sockopt::linger, 0);
        m_receiver.set(zmq::sockopt::rcvhwm, HighWaterMark * 16);
        m_receiver.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
        const bool anyPort = address.ends_with(":0");
        const std::string host = address.substr(0, address.rfind(':'));
        m_receiver.bind("tcp://" + (anyPort ? host + ":*" : address));
        const std::string bound = m_receiver.get(zmq::sockopt::last_endpoint);
        m_address = bound.substr(std::string("tcp://").size());
        m_descriptor.assign(m_receiver.get(zmq::sockopt::fd));
    } catch (const zmq::error_t &error) {
        reason = "cannot listen on " + address + ": " + error.what();
        return false;
    }
    asio::post(m_context, [this] { receiveAll(); });
    return true;
}

void PeerSocket::Impl::waitReadable()
{
    m_descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                            [this](boost::system::error_code error) {
                                if (!error)
                                    receiveAll();
                            });
}

void PeerSocket::Impl::receiveAll()
{
    // The descriptor is edge-triggered: messages left in the queue would stay there until another
    // message arrives.
    zmq::message_t received;
    while (m_receiver.recv(received, zmq::recv_flags::dontwait)) {
        m_bytesReceived += received.size();
        Reason reason;
        auto message = decodePeerMessage(received.to_string_view(), reason);
        if (message)
            m_callback(std::move(*message));
        else
            ++m_malformed;
    }
    waitReadable();
}

PeerSocket::Impl::Connection &PeerSocket::Impl::connection(const std::string &address)
{
    const auto it = m_connections.find(address);
    if (it != m_connections.end()) {
        m_recency.splice(m_recency.begin(), m_recency, it->second.recency);
        return it->second;
    }
    if (m_connections.size() >= MaxConnections) {
        m_connections.erase(m_recency.back());
        m_recency.pop_back();
    }
    m_recency.push_front(address);
    Connection connection {zmq::socket_t(m_zmq, zmq::socket_type::push), m_recency.begin()};
    connection.socket.set(zmq::sockopt::linger, LingerMillis);
    connection.socket.set(zmq::sockopt::sndhwm, HighWaterMark);
    // Heartbeats detect a connection whose state was dropped by a device on the network path.
    // Without heartbeats, the socket would never reconnect, and all messages on the connection
    // would be lost.
    connection.socket.set(zmq::sockopt::heartbeat_ivl, HeartbeatMillis);
    connection.socket.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMillis);
    connection.socket.set(zmq::sockopt::reconnect_ivl_max, ReconnectMillis);
    connection.socket.connect("tcp://" + address);
    return m_connections.emplace(address, std::move(connection)).first->second;
}

void PeerSocket::Impl::send(const std::string &address, const PeerMessage &message)
{
    Reason reason;
    if (!parseAddress(address, reason))
        return;
    const std::string bytes = encodePeerMessage(message);
    const auto sent =
        connection(address).socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    if (sent)
        m_bytesSent += bytes.size();
}

PeerSocket::PeerSocket(asio::io_context &context, Callback callback)
    : m_impl(std::make_unique<Impl>(context, std::move(callback)))
{
}

PeerSocket::~PeerSocket() = default;

bool PeerSocket::listen(const std::string &address, Reason &reason)
{
    return m_impl->listen(address, reason);
}

const std::string &PeerSocket::address() const
{
    return m_impl->m_address;
}

void PeerSocket::send(const std::string &address, const PeerMessage &message)
{
    m_impl->send(address, message);
}

std::uint64_t PeerSocket::bytesSent() const
{
    return m_impl->m_bytesSent;
}

std::uint64_t PeerSocket::bytesReceived() const
{
    return m_impl->m_bytesReceived;
}

std::uint64_t PeerSocket::malformed() const
{
    return m_impl->m_malformed;
}

} // namespace balsamloft
