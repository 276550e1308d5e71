/// \file
/// Many clients at once that don't keep to the rules of a polite client.

#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace balsamloft::testsuite {

/// What each client of a crowd does on its connection.
struct ClientBehaviour
{
    int clients = 0;
    /// Sent first by the client with the given number.
    std::function<std::string(int client)> begin;
    /// Sent after `begin`, again and again.
    std::string piece = {};
    std::size_t pieces = 0; ///< how many of them
    std::string last = {}; ///< sent after the pieces
    std::chrono::milliseconds pause {0}; ///< before each piece
    bool readsAnswers = true;
};

/// Clients that connect, send, and keep their connections open until the crowd ends.
class Crowd
{
public:
    Crowd(const std::string &address, ClientBehaviour behaviour);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Waits until what each client has to send was taken, or the client was cut off, or nothing of
    /// it was taken for a while.
    /// Clients that pause between their pieces count as done once each has sent its first one.
    void waitUntilSettled() const;

    /// Closes all connections.
    void end();

private:
    struct Client;

    void run(const std::string &address);
    void connectAll(const std::string &address);
    void useClient(Client &client, short events);
    bool send(Client &client);
    bool receive(Client &client);
    bool nextText(Client &client);
    bool isSettled(const Client &client) const;

    const ClientBehaviour m_behaviour;
    std::vector<Client> m_clients;
    std::atomic<bool> m_settled {false};
    std::atomic<bool> m_stop {false};
    std::thread m_thread;
};

} // namespace balsamloft::testsuite
