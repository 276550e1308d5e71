#include "crowd.h"

#include "../common/wait.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace balsamloft::testsuite {

namespace {

using Clock = std::chrono::steady_clock;

/// A client of which nothing was taken for this long has met a full buffer.
constexpr std::chrono::milliseconds BlockedTime {1500};
constexpr int PollMillis = 20;
/// Bytes that a client sends in one turn, so that the others get theirs.
constexpr std::size_t BytesPerTurn = 256 * 1024;

int connectTo(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in peer {};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int result = ::connect(socket, reinterpret_cast<sockaddr *>(&peer), sizeof peer);
    if (result != 0 && errno != EINPROGRESS) {
        ::close(socket);
        return -1;
    }
    return socket;
}

} // namespace

struct Crowd::Client
{
    int socket = -1;
    std::string text; ///< being sent
    std::size_t sent = 0; ///< of `text`
    std::size_t piecesSent = 0;
    bool lastTaken = false;
    bool done = false; ///< all was sent
    std::size_t handed = 0; ///< bytes passed to the system
    std::size_t taken = 0; ///< of these, bytes that the other side's system has taken
    Clock::time_point takenAt; ///< when `taken` rose last
    Clock::time_point nextPieceAt;

    bool hasText() const { return sent < text.size(); }
    bool isDelivered() const { return done && taken == handed; }
    void updateTaken()
    {
        int waiting = 0;
        if (socket < 0 || ::ioctl(socket, SIOCOUTQ, &waiting) != 0)
            return;
        const std::size_t now = handed - static_cast<std::size_t>(waiting);
        if (std::exchange(taken, now) != now)
            takenAt = Clock::now();
    }
    void close()
    {
        if (socket >= 0)
            ::close(std::exchange(socket, -1));
    }
};

Crowd::Crowd(const std::string &address, ClientBehaviour behaviour)
    : m_behaviour(std::move(behaviour))
    , m_thread([this, address] { run(address); })
{
}

Crowd::~Crowd()
{
    end();
}

void Crowd::waitUntilSettled() const
{
    waitUntil([this] { return m_settled.load(); });
}

void Crowd::end()
{
    m_stop = true;
    if (m_thread.joinable())
        m_thread.join();
}

void Crowd::connectAll(const std::string &address)
{
    for (int i = 0; i < m_behaviour.clients; ++i) {
        Client client;
        client.socket = connectTo(address);
        client.text = m_behaviour.begin(i);
        client.takenAt = client.nextPieceAt = Clock::now();
        m_clients.push_back(std::move(client));
    }
}

void Crowd::run(const std::string &address)
{
    connectAll(address);
    while (!m_stop) {
        std::vector<pollfd> polled;
        for (Client &client : m_clients) {
            const bool writes = client.socket >= 0 && (client.hasText() || nextText(client));
            const auto events = static_cast<short>((writes ? POLLOUT : 0)
                                                   | (m_behaviour.readsAnswers ? POLLIN : 0));
            polled.push_back({client.socket, events, 0});
        }
        ::poll(polled.data(), polled.size(), PollMillis);
        for (std::size_t i = 0; i < polled.size(); ++i)
            useClient(m_clients[i], polled[i].revents);
        for (Client &client : m_clients)
            client.updateTaken();
        m_settled = std::all_of(m_clients.begin(), m_clients.end(),
                                [this](const Client &client) { return isSettled(client); });
    }
    for (Client &client : m_clients)
        client.close();
}

void Crowd::useClient(Client &client, short events)
{
    if (client.socket < 0)
        return;
    const bool read = !(events & POLLIN) || receive(client);
    const bool sent = !(events & POLLOUT) || send(client);
    if (!read || !sent || (events & POLLERR))
        client.close();
}

/// Takes the next text to send. Returns false if there is none now.
bool Crowd::nextText(Client &client)
{
    const auto now = Clock::now();
    if (client.piecesSent < m_behaviour.pieces) {
        if (now < client.nextPieceAt)
            return false;
        client.text = m_behaviour.piece;
        client.piecesSent += 1;
        client.nextPieceAt = now + m_behaviour.pause;
    } else if (!std::exchange(client.lastTaken, true)) {
        client.text = m_behaviour.last;
    } else {
        client.text.clear();
        client.done = true;
    }
    client.sent = 0;
    return client.hasText();
}

bool Crowd::send(Client &client)
{
    for (std::size_t turn = 0; turn < BytesPerTurn && (client.hasText() || nextText(client));) {
        const auto count = ::send(client.socket, client.text.data() + client.sent,
                                  client.text.size() - client.sent, MSG_NOSIGNAL);
        if (count < 0)
            return errno == EAGAIN || errno == EINPROGRESS;
        client.sent += static_cast<std::size_t>(count);
        client.handed += static_cast<std::size_t>(count);
        turn += static_cast<std::size_t>(count);
    }
    return true;
}

bool Crowd::receive(Client &client)
{
    char buffer[65536];
    const auto count = ::recv(client.socket, buffer, sizeof buffer, 0);
    return count > 0 || (count < 0 && errno == EAGAIN);
}

bool Crowd::isSettled(const Client &client) const
{
    const bool trickles = m_behaviour.pause > std::chrono::milliseconds(0);
    return client.socket < 0 || client.isDelivered() || (trickles && client.piecesSent > 0)
           || Clock::now() - client.takenAt > BlockedTime;
}

} // namespace balsamloft::testsuite
