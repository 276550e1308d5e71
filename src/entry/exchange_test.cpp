// Tests of exchanges over connections that end while a request is about to be sent.

#include "clock.h"
#include "connectionpool.h"
#include "sockets.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

namespace asio = boost::asio;
using asio::ip::tcp;

using namespace balsamloft;

namespace {

/// Records the end of an exchange.
class Recorder : public ExchangeHandler
{
public:
    bool maySend() override { return true; }
    void exchangeFailed(AttemptFailure failure) override { failed = failure; }
    bool headReceived(MessageReader & /*answer*/) override { return false; }
    void bodyReceived(MessageReader & /*answer*/) override { }
    void answerReceived(MessageReader &answer) override { status = answer.head().status; }

    bool isFinished() const { return failed || status != 0; }

    std::optional<AttemptFailure> failed;
    int status = 0;
};

/// An endpoint that serves connections when the test says so, in the test's own thread.
class Endpoint
{
public:
    explicit Endpoint(asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// Accepts a connection once one arrives, and answers each request on it.
    void serveNext()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error)
                return;
            m_sockets.push_back(std::make_unique<tcp::socket>(std::move(socket)));
            answer(*m_sockets.back());
        });
    }

    void closeFirst() { m_sockets.front()->close(); }

    int requests = 0;

private:
    void answer(tcp::socket &socket)
    {
        asio::async_read_until(
            socket, asio::dynamic_buffer(m_text), "\r\n\r\n",
            [this, &socket](const boost::system::error_code &error, std::size_t) {
                if (error)
                    return;
                requests += 1;
                m_text.clear();
                asio::write(socket, asio::buffer(std::string_view(
                                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
                answer(socket);
            });
    }

    tcp::acceptor m_acceptor;
    std::vector<std::unique_ptr<tcp::socket>> m_sockets;
    std::string m_text;
};

struct Fixture
{
    /// Begins an exchange; it is finished once the context has run.
    std::shared_ptr<Exchange> begin(Recorder &recorder)
    {
        ExchangeSettings settings;
        settings.endpoint = "e1";
        settings.address = endpoint.address();
        auto exchange = std::make_shared<Exchange>(pool, std::move(settings),
                                                   "POST /x HTTP/1.1\r\nHost: h\r\n\r\n");
        exchange->start(recorder, steadyNow());
        return exchange;
    }

    void finish(const Recorder &recorder)
    {
        while (!recorder.isFinished())
            context.run_one();
    }

    /// Leaves an idle connection in the pool.
    void warmUp()
    {
        endpoint.serveNext();
        Recorder recorder;
        const auto exchange = begin(recorder);
        finish(recorder);
        REQUIRE(recorder.status == 200);
    }

    asio::io_context context;
    Endpoint endpoint {context};
    ConnectionPool pool {context};
};

} // namespace

// Guards against a request that is written to a connection whose close has already arrived.
TEST_CASE("a request is not sent on a connection that ended after it was chosen")
{
    Fixture fixture;
    fixture.warmUp();
    fixture.endpoint.serveNext();
    Recorder recorder;
    const auto exchange = fixture.begin(recorder);
    fixture.endpoint.closeFirst();
    fixture.finish(recorder);
    CHECK(recorder.status == 200);
    CHECK(fixture.endpoint.requests == 2);
    CHECK(fixture.pool.opened == 2);
}

namespace {

/// Sends a request on a connection that another instance forwards, and that ends without an answer.
AttemptFailure failureAtEnd(const std::string &end, const std::string &fields = {})
{
    asio::io_context context;
    ConnectionPool pool(context);
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    auto connection = std::make_unique<PooledConnection>(context);
    connection->endpoint = "e1";
    connection->socket.connect(acceptor.local_endpoint());
    connection->channel.emplace(MessageReader::Kind::Response, MessageLimits {});
    connection->undecoded = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n";
    connection->received(0);
    tcp::socket peer = acceptor.accept();
    pool.put(std::move(connection), steadyNow());
    ExchangeSettings settings;
    settings.endpoint = "e1";
    const auto exchange = std::make_shared<Exchange>(pool, std::move(settings),
                                                     "POST /x HTTP/1.1\r\nHost: h\r\n\r\n");
    Recorder recorder;
    exchange->start(recorder, steadyNow());
    std::string request;
    asio::async_read_until(peer, asio::dynamic_buffer(request), "\r\n\r\n",
                           [&](const boost::system::error_code &, std::size_t) {
                               asio::write(peer, asio::buffer(end));
                               peer.close();
                           });
    while (!recorder.isFinished())
        context.run_one();
    return recorder.failed.value();
}

} // namespace

// Guards against a request that counts as possibly run although it was not forwarded.
TEST_CASE("a request that was not forwarded counts as withheld")
{
    CHECK(failureAtEnd("0\r\nForwarded-Bytes: 0\r\n\r\n") == AttemptFailure::Withheld);
    CHECK(failureAtEnd("0\r\nForwarded-Bytes: 1\r\n\r\n") == AttemptFailure::Broken);
    CHECK(failureAtEnd("0\r\nForwarded-Bytes: \r\n\r\n") == AttemptFailure::Broken);
    CHECK(failureAtEnd("0\r\n\r\n") == AttemptFailure::Broken);
}

// Guards against an endpoint that is blamed for the end of the instance that forwards to it, and
// against the reverse.
TEST_CASE("the end of a forwarding instance is told from that of the endpoint")
{
    const std::string reports = "Endpoint-Failure: reported\r\n";
    const std::string begun = "5\r\nHTTP/\r\n";
    CHECK(failureAtEnd(begun, reports) == AttemptFailure::ForwarderLost);
    CHECK(failureAtEnd({}, reports) == AttemptFailure::ForwarderLost);
    CHECK(failureAtEnd(begun + "0\r\nForwarded-Bytes: 99\r\nEndpoint-Failure: 1\r\n\r\n", reports)
          == AttemptFailure::Broken);
    CHECK(failureAtEnd(begun + "0\r\nForwarded-Bytes: 99\r\n\r\n", reports)
          == AttemptFailure::InvalidAnswer);
    CHECK(failureAtEnd(begun) == AttemptFailure::Broken);
}

TEST_CASE("a request is sent on a connection that is still idle")
{
    Fixture fixture;
    fixture.warmUp();
    Recorder recorder;
    const auto exchange = fixture.begin(recorder);
    fixture.finish(recorder);
    CHECK(recorder.status == 200);
    CHECK(fixture.pool.opened == 1);
}
