#include "simplehttpserver.h"

#include "clock.h"
#include "sockets.h"

#include <boost/asio/write.hpp>

#include <array>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace balsamloft {

namespace {

/// What a connection takes with an ordinary request: this object, its buffers, and what the system
/// keeps of it.
constexpr std::uint64_t ConnectionBytes = 8 * 1024;

/// A connection, which handles one request after another.
class HttpSession : public std::enable_shared_from_this<HttpSession>, private ResourceHolder
{
public:
    HttpSession(tcp::socket socket, const SimpleHttpServer::Handler &handler,
                const ResourceGroupPtr &resources, ResourceUse use, MessageLimits limits)
        : m_socket(std::move(socket))
        , m_handler(handler)
        , m_hold(resources, use, *this, steadyNow())
        , m_limits(limits)
    {
    }

    void start()
    {
        m_hold.setDisplaceable(true);
        if (m_hold.openConnection(steadyNow()) && hold())
            read();
    }

private:
    /// Holds what the connection takes now. \return whether it is granted; if not, the connection
    /// is given up.
    bool hold()
    {
        return m_hold.resize(ConnectionBytes + m_unread.capacity() + m_out.capacity()
                                 + m_request.headBytes() + m_request.bodyBytes(),
                             steadyNow());
    }

    void displace() override
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
                if (!error)
                    self->readFinished(count);
            });
    }

    void readFinished(std::size_t count)
    {
        m_hold.recordProgress(count, steadyNow());
        m_unread.append(m_buffer.data(), count);
        m_unread.erase(0, m_request.consume(m_unread));
        if (m_request.failure() != MessageReader::Failure::None || !hold())
            return;
        if (!m_request.done())
            return read();
        m_keepAlive = m_request.keepAlive();
        m_hold.setDisplaceable(false);
        m_handler(m_request.head().target, m_request.body(),
                  [self = shared_from_this()](const HttpAnswer &answer) { self->write(answer); });
    }

    void write(const HttpAnswer &answer)
    {
        m_out =
            "HTTP/1.1 " + std::to_string(answer.status) + " " + (answer.status == 200 ? "OK" : "No")
            + "\r\nContent-Type: text/plain\r\n" + (m_keepAlive ? "" : "Connection: close\r\n")
            + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
        m_request = MessageReader(MessageReader::Kind::Request, m_limits);
        m_hold.restartProgress(steadyNow());
        m_hold.setDisplaceable(true);
        if (!hold())
            return;
        asio::async_write(
            m_socket, asio::buffer(m_out),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                self->m_out = {};
                if (!error && self->m_keepAlive && self->hold())
                    self->read();
            });
    }

    tcp::socket m_socket;
    const SimpleHttpServer::Handler &m_handler;
    std::array<char, 1024> m_buffer {};
    std::string m_unread;
    std::string m_out;
    ResourceHold m_hold;
    const MessageLimits m_limits;
    MessageReader m_request {MessageReader::Kind::Request, m_limits};
    bool m_keepAlive = false;
};

} // namespace

SimpleHttpServer::SimpleHttpServer(asio::io_context &context, Handler handler,
                                   ResourceGroupPtr resources, ResourceUse use,
                                   MessageLimits limits)
    : m_acceptor(context)
    , m_handler(std::move(handler))
    , m_resources(std::move(resources))
    , m_use(use)
    , m_limits(limits)
{
}

bool SimpleHttpServer::listen(const std::string &address, Reason &reason)
{
    if (!listenAt(m_acceptor, address, reason))
        return false;
    accept();
    return true;
}

void SimpleHttpServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            setSocketOptions(socket);
            std::make_shared<HttpSession>(std::move(socket), m_handler, m_resources, m_use,
                                          m_limits)
                ->start();
        }
        accept();
    });
}

} // namespace balsamloft
