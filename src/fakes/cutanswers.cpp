#include "cutanswers.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace balsamloft::fakes {

namespace {

AnswerShape shape(std::string name, std::string head, std::string body, std::string content,
                  int status = 200)
{
    AnswerShape result;
    result.name = std::move(name);
    result.bodyBegin = head.size();
    result.bytes = std::move(head) + std::move(body);
    result.content = std::move(content);
    result.status = status;
    return result;
}

AnswerShape shapeThatEndsWithConnection()
{
    AnswerShape result =
        shape("ends with its connection", "HTTP/1.1 200 OK\r\nRequest-Id: %\r\nSeal: s\r\n\r\n",
              "whole answer", "whole answer");
    result.endsWithConnection = true;
    return result;
}

} // namespace

AnswerShape AnswerShape::to(std::string_view id) const
{
    AnswerShape result = *this;
    boost::replace_all(result.bytes, "%", id);
    result.bodyBegin = result.bytes.size() - (bytes.size() - bodyBegin);
    return result;
}

std::optional<std::string> AnswerShape::wholeContent(std::size_t sent, Ending ending) const
{
    if (!endsWithConnection)
        return sent >= bytes.size() ? std::optional(content) : std::nullopt;
    if (sent < bodyBegin || ending != Ending::Close)
        return std::nullopt;
    return content.substr(0, sent - bodyBegin);
}

std::vector<AnswerShape> answerShapes()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string proof = "Request-Id: %\r\nSeal: s\r\n";
    const std::string body = "whole answer";
    const std::string chunks = "6\r\nwhole \r\n6\r\nanswer\r\n0\r\n";
    return {
        shape("length first", ok + "Content-Length: 12\r\n" + proof + "\r\n", body, body),
        shape("length last, proof first, fields of the connection between",
              ok + proof + "Keep-Alive: timeout=12\r\nConnection: keep-alive\r\n"
                  + "Content-Length: 12\r\n\r\n",
              body, body),
        shape("chunks with trailers",
              ok + "transfer-encoding: chunked\r\ntrailer: Checksum\r\n" + proof + "\r\n",
              chunks + "Checksum: 12\r\n\r\n", body),
        shape("chunks, framing last", ok + proof + "Transfer-Encoding: chunked\r\n\r\n",
              chunks + "\r\n", body),
        shapeThatEndsWithConnection(),
        shape("two interim answers before",
              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok
                  + "content-length: 12\r\nrequest-id: %\r\nseal: s\r\n\r\n",
              body, body),
        shape("no content", "HTTP/1.1 204 No Content\r\n" + proof + "\r\n", "", "", 204),
        shape("not modified",
              "HTTP/1.1 304 Not Modified\r\n" + proof + "Content-Length: 12\r\n\r\n", "", "", 304),
        shape("failure", "HTTP/1.1 500 No\r\n" + proof + "Content-Length: 12\r\n\r\n", body, body,
              500),
    };
}

struct ScriptedEndpoint::Connection
{
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }
    tcp::socket socket;
    std::string in;
    std::string out;
};

ScriptedEndpoint::ScriptedEndpoint(asio::io_context &context)
    : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    accept();
}

std::string ScriptedEndpoint::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void ScriptedEndpoint::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error)
            return;
        read(std::make_shared<Connection>(std::move(socket)));
        accept();
    });
}

void ScriptedEndpoint::read(const std::shared_ptr<Connection> &connection)
{
    asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->in), "\r\n\r\n",
                           [this, connection](const error_code &error, std::size_t count) {
                               if (error || m_answers.empty())
                                   return;
                               connection->in.erase(0, count);
                               answer(connection);
                           });
}

void ScriptedEndpoint::answer(const std::shared_ptr<Connection> &connection)
{
    Answer next = std::move(m_answers.front());
    m_answers.pop_front();
    connection->out = std::move(next.bytes);
    asio::async_write(
        connection->socket, asio::buffer(connection->out),
        [this, connection, ending = next.ending](const error_code &error, std::size_t) {
            error_code ignored;
            if (error || ending == Ending::Close)
                return;
            if (ending == Ending::Keep)
                return read(connection);
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        });
}

} // namespace balsamloft::fakes
