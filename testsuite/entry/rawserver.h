/// \file
/// A server that answers with the bytes a test wants, right or wrong.

#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace balsamloft::testsuite {

/// What a RawServer does with a request.
struct RawAnswer
{
    std::string bytes;
    enum class Then { Keep, Close, Reset, Silence } then = Then::Keep;
};

/// Listens on a free port of loopback; a thread for each connection.
class RawServer
{
public:
    using Handler = std::function<RawAnswer(const std::string &request)>;

    explicit RawServer(Handler handler);
    ~RawServer();

    std::string address() const;
    std::vector<std::string> requests() const;

    /// Connections that the other side closed.
    int closedByPeer() const { return m_closedByPeer; }

private:
    void accept();
    void serve(int socket);

    Handler m_handler;
    int m_port = 0; // set while the next one is made
    int m_listener = -1;
    std::atomic<bool> m_stop {false};
    std::atomic<int> m_closedByPeer {0};
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<std::thread> m_threads;
    std::vector<int> m_sockets;
    std::thread m_acceptor;
};

/// Sends \a request to "IP:port" and returns all that comes until the
/// connection ends, or until \a enough says so.
std::string exchange(const std::string &address, const std::string &request,
                     const std::function<bool(const std::string &)> &enough);

/// Whether \a text is a whole answer with a length or in chunks.
bool completeAnswer(const std::string &text);

/// A free port of loopback, as "127.0.0.1:port".
std::string freeAddress();

} // namespace balsamloft::testsuite
