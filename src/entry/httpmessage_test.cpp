#include "httpmessage.h"

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

MessageReader::Failure failureOf(std::string_view text)
{
    MessageReader reader(MessageReader::Kind::Request, {});
    reader.take(text);
    return reader.failure();
}

} // namespace

// A request that two readers would end at different places carries a second
// one inside: the endpoint would run a request that no caller sent.
TEST_CASE("messages whose end is in doubt are refused")
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

// Fields after a chunked body must not pass for fields of the head.
TEST_CASE("trailers are no header fields")
{
    MessageReader reader(MessageReader::Kind::Request, {});
    reader.take("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n0\r\nX-Team: other\r\n\r\n");
    REQUIRE(reader.done());
    CHECK_FALSE(reader.head().find("X-Team"));
    CHECK(reader.body() == "abc");
}

TEST_CASE("a message ends where it ends, and what follows is left")
{
    const std::string first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    for (std::size_t cut = 1; cut < first.size(); ++cut) {
        MessageReader reader(MessageReader::Kind::Request, {});
        std::string in = first.substr(0, cut);
        in.erase(0, reader.take(in));
        CHECK_FALSE(reader.done());
        in += first.substr(cut) + "GET /b HTTP/1.1\r\n";
        in.erase(0, reader.take(in));
        REQUIRE(reader.done());
        CHECK(reader.body() == "abc");
        CHECK(in == "GET /b HTTP/1.1\r\n");
    }
}

// An answer without a length ends with its connection, in good order only.
TEST_CASE("an answer without a length is whole only after an orderly end")
{
    MessageReader reader(MessageReader::Kind::Response, {});
    reader.take("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK_FALSE(reader.done());
    reader.ended();
    CHECK(reader.done());
    MessageReader cut(MessageReader::Kind::Response, {});
    cut.take("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
    cut.ended();
    CHECK_FALSE(cut.done());
}

TEST_CASE("fields that concern one connection are known, also those it names")
{
    MessageReader reader(MessageReader::Kind::Request, {});
    reader.take("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n\r\n");
    REQUIRE(reader.done());
    CHECK(isHopByHopField("keep-alive"));
    CHECK_FALSE(isHopByHopField("Host"));
    CHECK(connectionOptions(reader.head()) == std::vector<std::string> {"close", "X-Hop"});
    CHECK_FALSE(reader.keepAlive());
}
