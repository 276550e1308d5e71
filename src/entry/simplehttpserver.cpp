#include "simplehttpserver.h"

#include "sockets.h"

#include <boost/asio/write.hpp>

#include <array>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace balsamloft {

namespace {

/// One connection; answers one question after another.
class TextSession : public std::enable_shared_from_this<TextSession>
{
public:
    TextSession(tcp::socket socket, const SimpleHttpServer::Answer &answer)
        : m_socket(std::move(socket))
        , m_answer(answer)
    {
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
                if (!error)
                    self->arrived(count);
            });
    }

private:
    void arrived(std::size_t count)
    {
        m_in.append(m_buffer.data(), count);
        m_in.erase(0, m_request.take(m_in));
        if (m_request.failure() != MessageReader::Failure::None)
            return;
        if (!m_request.done())
            return read();
        m_keep = m_request.keepAlive();
        m_answer(m_request.head().target,
                 [self = shared_from_this()](const HttpAnswer &answer) { self->write(answer); });
    }

    void write(const HttpAnswer &answer)
    {
        m_out =
            "HTTP/1.1 " + std::to_string(answer.status) + " " + (answer.status == 200 ? "OK" : "No")
            + "\r\nContent-Type: text/plain\r\n" + (m_keep ? "" : "Connection: close\r\n")
            + "Content-Length: " + std::to_string(answer.text.size()) + "\r\n\r\n" + answer.text;
        m_request = MessageReader(MessageReader::Kind::Request, {});
        asio::async_write(
            m_socket, asio::buffer(m_out),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (!error && self->m_keep)
                    self->read();
            });
    }

    tcp::socket m_socket;
    const SimpleHttpServer::Answer &m_answer;
    std::array<char, 1024> m_buffer {};
    std::string m_in;
    std::string m_out;
    MessageReader m_request {MessageReader::Kind::Request, {}};
    bool m_keep = false;
};

} // namespace

SimpleHttpServer::SimpleHttpServer(asio::io_context &context, Answer answer)
    : m_acceptor(context)
    , m_answer(std::move(answer))
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
            std::make_shared<TextSession>(std::move(socket), m_answer)->read();
        }
        accept();
    });
}

} // namespace balsamloft
