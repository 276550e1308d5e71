#include <balsamloft/lingeringconnections.h>

#include <array>

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace balsamloft {

namespace {

/// Longer than a round trip and a retransmission.
constexpr Duration LingerTime {1'000'000};

} // namespace

class LingeringConnections::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(LingeringConnections &owner, std::uint64_t number, tcp::socket socket, Time addedAt)
        : m_owner(&owner)
        , m_number(number)
        , m_socket(std::move(socket))
        , m_addedAt(addedAt)
    {
    }

    void start()
    {
        error_code error;
        m_socket.shutdown(tcp::socket::shutdown_send, error);
        if (error)
            return remove();
        read();
    }

    bool isOver(Time now) const { return now - m_addedAt >= LingerTime; }

    void close()
    {
        m_owner = nullptr;
        error_code ignored;
        m_socket.close(ignored);
    }

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_discarded),
                                 [self = shared_from_this()](const error_code &error, std::size_t) {
                                     self->readFinished(error);
                                 });
    }

    void readFinished(const error_code &error)
    {
        if (!m_owner)
            return;
        if (error)
            return remove();
        if (!std::exchange(m_crossed, true))
            m_owner->m_counts.crossed += 1;
        read();
    }

    void remove()
    {
        LingeringConnections &owner = *m_owner;
        close();
        owner.m_connections.erase(m_number);
    }

    LingeringConnections *m_owner; ///< null: closed
    std::uint64_t m_number;
    tcp::socket m_socket;
    Time m_addedAt;
    std::array<char, 4096> m_discarded {};
    bool m_crossed = false;
};

LingeringConnections::~LingeringConnections()
{
    for (const auto &[number, each] : m_connections)
        each->close();
}

void LingeringConnections::add(tcp::socket socket, Time now)
{
    while (!m_connections.empty() && m_connections.size() >= m_limit) {
        m_connections.begin()->second->close();
        m_connections.erase(m_connections.begin());
        m_counts.timedOut += 1;
    }
    const std::uint64_t number = m_counts.ended++;
    auto connection = std::make_shared<Connection>(*this, number, std::move(socket), now);
    m_connections.emplace(number, connection);
    connection->start();
}

void LingeringConnections::tick(Time now)
{
    while (!m_connections.empty() && m_connections.begin()->second->isOver(now)) {
        m_counts.timedOut += 1;
        m_connections.begin()->second->close();
        m_connections.erase(m_connections.begin());
    }
}

} // namespace balsamloft
