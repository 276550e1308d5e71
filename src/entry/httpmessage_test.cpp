#include "httpmessage.h"

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

MessageReader::Failure failureOf(std::string_view text)
{
    MessageReader reader(MessageReader::Kind::Request, {});
    reader.consume(text);
    return reader.failure();
}

} // namespace

// Guards against request smuggling. If this process and the endpoint disagree about the end of a
// request, its body can hold a second request, which the endpoint would execute.
TEST_CASE("requests with ambiguous length, bare newlines or HTTP/1.0 are rejected")
{
    CHECK(failureOf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
          == MessageReader::Failure::Malformed);
    CHECK(failureOf("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                    "Content-Length: 3\r\n\r\n0\r\n\r\n")
          == MessageReader::Failure::Malformed);
    CHECK(failureOf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                    "Content-Length: 4\r\n\r\nabcd")
          == MessageReader::Failure::Malformed);
    CHECK(failureOf("GET /a HTTP/1.1\nHost: h\n\n") != MessageReader::Failure::None);
    CHECK(failureOf("GET /a HTTP/1.0\r\nHost: h\r\n\r\n") == MessageReader::Failure::Malformed);
}

TEST_CASE("trailer fields of a chunked request are not added to the header")
{
    MessageReader reader(MessageReader::Kind::Request, {});
    reader.consume("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nabc\r\n0\r\nX-Team: other\r\n\r\n");
    REQUIRE(reader.done());
    CHECK_FALSE(reader.head().find("X-Team"));
    CHECK(reader.body() == "abc");
}

TEST_CASE("bytes after a complete request are not consumed, wherever it is split")
{
    const std::string first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    for (std::size_t split = 1; split < first.size(); ++split) {
        MessageReader reader(MessageReader::Kind::Request, {});
        std::string in = first.substr(0, split);
        in.erase(0, reader.consume(in));
        CHECK_FALSE(reader.done());
        in += first.substr(split) + "GET /b HTTP/1.1\r\n";
        in.erase(0, reader.consume(in));
        REQUIRE(reader.done());
        CHECK(reader.body() == "abc");
        CHECK(in == "GET /b HTTP/1.1\r\n");
    }
}

TEST_CASE(
    "a closed connection completes an answer without Content-Length, but not a truncated answer")
{
    MessageReader reader(MessageReader::Kind::Response, {});
    reader.consume("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK_FALSE(reader.done());
    reader.connectionClosed();
    CHECK(reader.done());
    MessageReader truncated(MessageReader::Kind::Response, {});
    truncated.consume("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
    truncated.connectionClosed();
    CHECK_FALSE(truncated.done());
}

TEST_CASE("hop-by-hop fields and options of the Connection field are recognized")
{
    MessageReader reader(MessageReader::Kind::Request, {});
    reader.consume("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n\r\n");
    REQUIRE(reader.done());
    CHECK(isHopByHopField("keep-alive"));
    CHECK_FALSE(isHopByHopField("Host"));
    CHECK(connectionOptions(reader.head()) == std::vector<std::string> {"close", "X-Hop"});
    CHECK_FALSE(reader.keepAlive());
}
