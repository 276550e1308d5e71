/// \file
/// An HTTP server whose answers, valid or not, are chosen by the test.

#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace balsamloft::testsuite {

/// The answer of a RawServer to a request.
struct RawAnswer
{
    std::string bytes;
    /// Action on the connection after the bytes are sent.
    enum class Then { Keep, Close, Reset, Silence } then = Then::Keep;
    /// Sent after `bytes`, if not empty, again and again until the peer closes the connection.
    std::string endless = {};
    std::chrono::milliseconds endlessPause {0}; ///< before each repetition
    /// Called after `bytes` are sent, again and again, for further bytes, until it returns none.
    std::function<std::string()> more = {};
};

/// Listens on a free loopback port, with one thread per connection.
class RawServer
{
public:
    using Handler = std::function<RawAnswer(const std::string &request)>;
    /// How much of the body of a request with \a head is read before the request is handled.
    using BodyToRead = std::function<std::size_t(const std::string &head)>;

    /// By default, bodies are read whole.
    explicit RawServer(Handler handler, BodyToRead bodyToRead = {});
    ~RawServer();

    std::string address() const;
    std::vector<std::string> requests() const;

    /// Number of connections that the peer closed.
    int closedByPeer() const { return m_closedByPeer; }

    /// Number of endless answers that are being sent.
    int endlessAnswers() const { return m_endlessAnswers; }

private:
    void accept();
    void serve(int socket);
    std::size_t requestLength(const std::string &text) const;
    void sendEndless(int socket, const RawAnswer &answer);

    Handler m_handler;
    BodyToRead m_bodyToRead;
    int m_port = 0; // set by the initializer of m_listener
    int m_listener = -1;
    std::atomic<bool> m_stop {false};
    std::atomic<int> m_closedByPeer {0};
    std::atomic<int> m_endlessAnswers {0};
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<std::thread> m_threads;
    std::vector<int> m_sockets;
    std::thread m_acceptor;
};

/// Sends \a request to \a address, an "IP:port". Returns the bytes received until the connection is
/// closed or \a isComplete returns true.
std::string exchange(const std::string &address, const std::string &request,
                     const std::function<bool(const std::string &)> &isComplete);

/// Whether \a text is a complete answer, with a length or chunked.
bool completeAnswer(const std::string &text);

} // namespace balsamloft::testsuite
