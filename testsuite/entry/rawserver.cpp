#include "rawserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace balsamloft::testsuite {

namespace {

int listenAtFreePort(int &port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (::bind(listener, reinterpret_cast<sockaddr *>(&address), length) != 0
        || ::listen(listener, 64) != 0
        || ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        throw std::runtime_error("cannot listen");
    port = ntohs(address.sin_port);
    return listener;
}

} // namespace

RawServer::RawServer(Handler handler, BodyToRead bodyToRead)
    : m_handler(std::move(handler))
    , m_bodyToRead(std::move(bodyToRead))
    , m_listener(listenAtFreePort(m_port))
    , m_acceptor([this] { accept(); })
{
}

RawServer::~RawServer()
{
    m_stop = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
    }
    for (std::thread &thread : m_threads)
        thread.join();
    for (const int socket : m_sockets)
        ::close(socket);
}

std::string RawServer::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

std::vector<std::string> RawServer::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

void RawServer::accept()
{
    while (!m_stop) {
        const int socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0)
            return;
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] { serve(socket); });
    }
}

/// Length of the first request in \a text as far as it is to be read; 0: not read so far yet.
std::size_t RawServer::requestLength(const std::string &text) const
{
    const std::size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos)
        return 0;
    const std::size_t at = text.find("Content-Length: ");
    std::size_t body = at < head ? std::stoul(text.substr(at + 16)) : 0;
    if (m_bodyToRead)
        body = std::min(body, m_bodyToRead(text.substr(0, head)));
    return text.size() >= head + 4 + body ? head + 4 + body : 0;
}

void RawServer::serve(int socket)
{
    std::string in;
    char buffer[4096];
    for (;;) {
        while (const std::size_t length = requestLength(in)) {
            const std::string request = in.substr(0, length);
            in.erase(0, length);
            {
                const std::lock_guard lock(m_mutex);
                m_requests.push_back(request);
            }
            const RawAnswer answer = m_handler(request);
            ::send(socket, answer.bytes.data(), answer.bytes.size(), MSG_NOSIGNAL);
            if (answer.more) {
                for (std::string more = answer.more(); !more.empty(); more = answer.more())
                    ::send(socket, more.data(), more.size(), MSG_NOSIGNAL);
            }
            if (!answer.endless.empty())
                return sendEndless(socket, answer);
            if (answer.then == RawAnswer::Then::Close) {
                ::shutdown(socket, SHUT_RDWR);
                return;
            }
            if (answer.then == RawAnswer::Then::Reset) {
                // shutdown() would close in an orderly way, as long as m_sockets keeps the socket
                // open.
                const sockaddr unspecified {.sa_family = AF_UNSPEC, .sa_data = {}};
                (void)::connect(socket, &unspecified, sizeof unspecified);
                return;
            }
        }
        const auto count = ::recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0) {
            m_closedByPeer += m_stop ? 0 : 1;
            return;
        }
        in.append(buffer, static_cast<std::size_t>(count));
    }
}

void RawServer::sendEndless(int socket, const RawAnswer &answer)
{
    m_endlessAnswers += 1;
    while (::send(socket, answer.endless.data(), answer.endless.size(), MSG_NOSIGNAL) > 0)
        std::this_thread::sleep_for(answer.endlessPause);
    m_endlessAnswers -= 1;
    m_closedByPeer += m_stop ? 0 : 1;
}

std::string exchange(const std::string &address, const std::string &request,
                     const std::function<bool(const std::string &)> &isComplete)
{
    const std::size_t colon = address.find(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    std::string answer;
    if (::connect(socket, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0) {
        ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
        char buffer[4096];
        while (!isComplete(answer)) {
            const auto count = ::recv(socket, buffer, sizeof buffer, 0);
            if (count <= 0)
                break;
            answer.append(buffer, static_cast<std::size_t>(count));
        }
    }
    ::close(socket);
    return answer;
}

bool completeAnswer(const std::string &text)
{
    const std::size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos)
        return false;
    const std::size_t at = text.find("Content-Length: ");
    if (at < head)
        return text.size() >= head + 4 + std::stoul(text.substr(at + 16));
    return text.ends_with("0\r\n\r\n");
}

} // namespace balsamloft::testsuite
