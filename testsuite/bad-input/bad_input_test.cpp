#include "../common/fleet.h"

#include <balsamloft/httpserver.h>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::testsuite;
namespace asio = boost::asio;

namespace {

/// A TCP connection for bytes that an HTTP library would not send.
class RawConnection
{
public:
    explicit RawConnection(const std::string &address)
        : m_socket(m_context)
    {
        Reason reason;
        m_socket.connect(*parseAddress(address, reason));
    }
    void write(const std::string &text) { asio::write(m_socket, asio::buffer(text)); }
    void halfClose() { m_socket.shutdown(asio::ip::tcp::socket::shutdown_send); }
    void close() { m_socket.close(); }

    /// Reads until \a mark is received or the connection is closed.
    std::string readUntil(const std::string &mark)
    {
        std::string text;
        char buffer[1024];
        boost::system::error_code error;
        while (text.find(mark) == std::string::npos) {
            const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
            if (error)
                break;
            text.append(buffer, size);
        }
        return text;
    }
    std::string readAll() { return readUntil("\x01never"); }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
};

std::string rawCompletion(const std::string &body)
{
    // The longest permitted deadline, so that the request does not expire during the test.
    return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer t\r\n"
           "Balsamloft-Deadline-Ms: 600000\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void checkServes(Fleet &fleet)
{
    const Reply reply = send(fleet.daemon("i1").callers, "POST", "/v1/completions",
                             completionBody("m", "still here", 3), Fleet::teamHeaders());
    CHECK(reply.status == 200);
}

} // namespace

TEST_CASE("invalid requests get the matching error, and later requests are served", "[process]")
{
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon(
        "i1", "a",
        {"--max_body_bytes=10000", "--max_header_bytes=2000", "--request_timeout_ms=500"});
    fleet.configure();
    const std::string address = fleet.daemon("i1").callers;
    const std::string good = completionBody("m", "x", 3);
    const auto post = [&](const std::string &body, Headers headers = Fleet::teamHeaders()) {
        return send(address, "POST", "/v1/completions", body, headers);
    };

    SECTION("content")
    {
        CHECK(post(completionBody("nope", "x", 3)).errorCode() == "unknown_model");
        CHECK(post(good, {}).status == 401);
        CHECK(post(good, {{"Authorization", "Bearer wrong"}}).status == 401);
        CHECK(post("{\"model\":").errorCode() == "invalid_request");
        CHECK(post("[]").errorCode() == "invalid_request");
        CHECK(post(R"({"model":"m"})").errorCode() == "invalid_request");
        CHECK(post(R"({"model":"m","prompt":"x","max_tokens":0})").errorCode()
              == "invalid_request");
        CHECK(post(R"({"model":"m","prompt":"x","max_tokens":99999999})").errorCode()
              == "invalid_request");
        CHECK(post(R"({"model":"m","prompt":"x","stream":"yes"})").errorCode()
              == "invalid_request");
        CHECK(post(std::string(60, '[')).errorCode() == "invalid_request");
        for (const auto *name :
             {"Balsamloft-Deadline-Ms", "Balsamloft-Priority", "Balsamloft-Non-Idempotent"}) {
            Headers headers = Fleet::teamHeaders();
            headers[name] = "nonsense";
            CHECK(post(good, headers).errorCode() == "invalid_request");
        }
        CHECK(send(address, "GET", "/v1/completions", {}, Fleet::teamHeaders()).status == 405);
        CHECK(send(address, "GET", "/nowhere", {}, Fleet::teamHeaders()).status == 404);
        CHECK(send(address, "GET", "/services/nope/x", {}, Fleet::teamHeaders()).errorCode()
              == "unknown_service");
    }
    SECTION("size")
    {
        CHECK(post(std::string(20'000, 'x')).status == 413);
        CHECK(post(good, {{"X-Large", std::string(4000, 'x')}}).status == 431);
        Headers headers = Fleet::teamHeaders(std::string(1000, 'k'));
        CHECK(post(good, headers).errorCode() == "invalid_request");
    }
    SECTION("not HTTP")
    {
        RawConnection connection(address);
        connection.write("hello there\r\n\r\n");
        CHECK(connection.readAll().find("400 Bad Request") != std::string::npos);
    }
    SECTION("a connection with an incomplete header is refused and closed after the timeout")
    {
        RawConnection connection(address);
        connection.write("POST /v1/completions HTTP/1.1\r\nHost: x\r\n");
        CHECK(connection.readAll().starts_with("HTTP/1.1 408"));
    }
    SECTION("a half-closed connection gets a refusal")
    {
        RawConnection connection(address);
        connection.write(rawCompletion(completionBody("m", "x", 2000)));
        connection.halfClose();
        CHECK(connection.readAll().find("caller_gone") != std::string::npos);
    }
    checkServes(fleet);
}

TEST_CASE("a caller that disconnects during a stream: all engines cancel the request",
          "[process][failure]")
{
    // Guards against engines that continue to compute tokens after the caller has closed its
    // connection.
    Fleet fleet;
    fleet.startChains(1);
    fleet.startDaemon("i1");
    fleet.configure();
    {
        RawConnection connection(fleet.daemon("i1").callers);
        connection.write(rawCompletion(completionBody("m", "x", 30'000, true)));
        CHECK(connection.readUntil("data: {").find("200 OK") != std::string::npos);
        connection.close();
    }
    for (const auto *engine : {"e00", "e01", "e02"}) {
        CHECK(waitUntil([&] { return fleet.log(engine).at("running") == 0; }));
        CHECK(fleet.log(engine).at("cancels") == 1);
    }
    checkServes(fleet);
}
