#include "httpmessage.h"

#include "../fakes/brokenanswers.h"

#include <catch2/catch.hpp>

#include <algorithm>

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

namespace {

constexpr MessageLimits SmallLimits {1000, 100'000};
constexpr std::size_t PieceBytes = 300;

/// Result of reading an answer with SmallLimits in pieces, as from a connection.
struct ReadResult
{
    MessageReader::Failure failure = MessageReader::Failure::None;
    std::size_t mostUnread = 0; ///< bytes that the reader left with its caller
    std::size_t received = 0;
};

/// Reads \a begin and, without end, \a repeated, until the reader fails or took ten times the limit
/// of the body. Whole repetitions arrive if \a whole, else pieces of PieceBytes.
ReadResult readEndless(const std::string &begin, const std::string &repeated, bool whole = false)
{
    MessageReader reader(MessageReader::Kind::Response, SmallLimits);
    ReadResult result;
    std::string unread;
    std::string rest = begin;
    while (reader.failure() == MessageReader::Failure::None && !reader.done()
           && result.received < 10 * SmallLimits.bodyBytes) {
        while (rest.size() < PieceBytes)
            rest += repeated;
        const std::size_t size = whole ? rest.size() : PieceBytes;
        unread += rest.substr(0, size);
        rest.erase(0, size);
        result.received += size;
        reader.consumeFrom(unread);
        reader.body().clear();
        result.mostUnread = std::max(result.mostUnread, unread.size());
    }
    result.failure = reader.failure();
    return result;
}

} // namespace

// Guards against memory that grows with what an endpoint in trouble sends.
TEST_CASE("an answer whose head or framing never ends fails at the limit of a head")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const auto [begin, repeated] = GENERATE_COPY(table<std::string, std::string>({
        {"HTTP/1.1 200 ", "OK"},
        {ok + "X: ", "abcd"},
        {ok, "X: abcd\r\n"},
        {ok + "X", ": abcd\r\nX"}, // one byte of the next line
        {chunked, "0"},
        {chunked + "1\r\nx\r\n", "0"},
        {chunked + "5;a=", "bbbb"},
        {chunked + "0\r\nX: ", "abcd"},
        {chunked + "0\r\n", "X: abcd\r\n"},
    }));
    const bool whole = GENERATE(false, true);
    CAPTURE(begin, repeated, whole);
    const ReadResult result = readEndless(begin, repeated, whole);
    CHECK(result.failure == MessageReader::Failure::HeaderTooLarge);
    CHECK(result.mostUnread <= SmallLimits.headerBytes + PieceBytes);
    CHECK(result.received <= begin.size() + SmallLimits.headerBytes + 3 * PieceBytes);
}

TEST_CASE("a body that never ends fails at its limit, whatever its framing")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const auto [begin, repeated] = GENERATE_COPY(table<std::string, std::string>({
        {ok + "\r\n", "abcd"},
        {chunked, "4\r\nabcd\r\n"},
        {ok + "Content-Length: 99999999999\r\n\r\n", "abcd"},
        {chunked + "fffffff\r\n", "abcd"},
    }));
    CAPTURE(begin, repeated);
    const ReadResult result = readEndless(begin, repeated);
    CHECK(result.failure == MessageReader::Failure::BodyTooLarge);
    CHECK(result.mostUnread <= SmallLimits.headerBytes + PieceBytes);
}

TEST_CASE("an answer of several megabytes in small chunks is read")
{
    constexpr std::size_t Bytes = 6U << 20U;
    MessageReader reader(MessageReader::Kind::Response, {});
    std::string unread = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < Bytes; sent += 16)
        appendChunk("0123456789abcdef", unread);
    unread += LastChunk;
    reader.consume(unread);
    REQUIRE(reader.done());
    CHECK(reader.body().size() == Bytes);
}

// Guards against an assertion of Beast, which ended the process.
TEST_CASE("a chunked message is read wherever it is split, and if it arrives byte by byte")
{
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n";
    const std::string plain = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    for (const std::string &message : {text, plain})
        for (std::size_t split = 1; split <= message.size(); ++split) {
            CAPTURE(message, split);
            MessageReader reader(MessageReader::Kind::Response, {});
            std::string unread = message.substr(0, split);
            reader.consumeFrom(unread);
            reader.consumeFrom(unread); // without new bytes
            for (const char byte : message.substr(split)) {
                CHECK_FALSE(reader.done());
                unread += byte;
                reader.consumeFrom(unread);
            }
            CHECK(reader.done());
            CHECK(reader.body() == (message == text ? "abc" : ""));
        }
}
// Guards against chunks whose extensions carry far more than the body, which is all that its limit
// counts.
TEST_CASE("a chunked body may not consist mostly of framing")
{
    const ReadResult result = readEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                          "1;a=" + std::string(500, 'b') + "\r\nx\r\n");
    CHECK(result.failure == MessageReader::Failure::BodyTooLarge);
}

// Guards against bodies that take twice their length, and memory that is asked for too late.
TEST_CASE("a body of known length takes that much from its head on")
{
    constexpr std::size_t Length = 1'000'000;
    MessageReader reader(MessageReader::Kind::Request, {});
    reader.consume("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
    CHECK(reader.bodyBytes() == Length);
    const std::string piece(10'000, 'x');
    for (std::size_t sent = 0; sent < Length; sent += piece.size()) {
        reader.consume(piece);
        CHECK(reader.bodyBytes() <= Length + piece.size());
    }
    CHECK(reader.done());
    CHECK(reader.body().size() == Length);
    CHECK(reader.headBytes() >= std::string_view("HosthContent-Length1000000").size());
}

TEST_CASE("a chunked body takes at most twice what has arrived")
{
    MessageReader reader(MessageReader::Kind::Request, {});
    reader.consume("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string unread;
    for (std::size_t sent = 10'000; sent <= 1'000'000; sent += 10'000) {
        appendChunk(std::string(10'000, 'x'), unread);
        reader.consumeFrom(unread);
        CHECK(reader.body().size() == sent);
        CHECK(reader.bodyBytes() <= std::max<std::size_t>(2 * sent, 32'768));
    }
}

namespace {

/// Reads \a text as an answer whose connection is closed behind it.
MessageReader readAnswer(std::string_view text)
{
    MessageReader reader(MessageReader::Kind::Response, {});
    reader.consume(text);
    reader.connectionClosed();
    return reader;
}

} // namespace

// Guards against an answer of an endpoint in trouble that a caller gets with a status that HTTP
// does not have.
TEST_CASE("an answer has a status from 100 to 599")
{
    for (unsigned status = 0; status <= 999; ++status) {
        const std::string text = fakes::statusText(status);
        CAPTURE(text);
        const std::string line = "HTTP/1.1 " + text;
        for (const std::string &answer : {fakes::answerWith(line + " "),
                                          fakes::answerWith(line + " X"), line + " \r\n\r\nhi"}) {
            MessageReader reader = readAnswer(answer);
            const bool valid = status >= 100 && status <= 599;
            CHECK(reader.done() == valid);
            CHECK((reader.failure() == MessageReader::Failure::None) == valid);
            CHECK((!valid || reader.head().status == int(status)));
        }
    }
    for (const fakes::BrokenAnswer &each : fakes::answersWithBrokenStatus()) {
        INFO(each.name);
        CHECK(readAnswer(each.bytes).failure() == MessageReader::Failure::Malformed);
    }
}

// Guards against an answer that a caller gets with a line in its head that is no field.
TEST_CASE("an answer whose head has a line that is no field is malformed")
{
    for (unsigned byte = 0; byte <= 255; ++byte) {
        if (byte == ':' || byte == '\n')
            continue;
        const std::string name(1, static_cast<char>(byte));
        for (const std::string &line :
             {name + "X: v\r\n", "X" + name + "Y: v\r\n", "X" + name + ": v\r\n"}) {
            CAPTURE(byte, line);
            const MessageReader reader = readAnswer(fakes::answerWith("HTTP/1.1 200 OK", line));
            // A line that begins with a blank continues the value before it.
            const bool continues = (byte == ' ' || byte == '\t') && line[0] == name[0];
            const bool valid = continues || fakes::isNameByte(static_cast<unsigned char>(byte));
            CHECK(reader.done() == valid);
            CHECK((valid || reader.failure() == MessageReader::Failure::Malformed));
        }
    }
    for (const fakes::BrokenAnswer &each : fakes::answersWithBrokenField()) {
        INFO(each.name);
        CHECK(readAnswer(each.bytes).failure() == MessageReader::Failure::Malformed);
    }
}

// Guards against an answer whose caller gets the coded bytes, without the name of the coding.
TEST_CASE(
    "an answer whose body was coded for the transfer in another way than in chunks is malformed")
{
    for (const fakes::BrokenAnswer &each : fakes::answersWithUnknownCoding()) {
        INFO(each.name);
        CHECK(readAnswer(each.bytes).failure() == MessageReader::Failure::Malformed);
    }
    MessageReader chunked =
        readAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: \tChunked \r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    CHECK(chunked.done());
    CHECK(chunked.body() == "hi");
}

// Guards against a request behind whose head its body is taken for the next request.
TEST_CASE(
    "a request whose body was coded for the transfer in another way than in chunks is malformed")
{
    for (const std::string coding : {"x", "gzip, chunked", "chunked, gzip"}) {
        CAPTURE(coding);
        CHECK(failureOf("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding
                        + "\r\n\r\n0\r\n\r\n")
              == MessageReader::Failure::Malformed);
    }
}

TEST_CASE("fields of an interim answer are not added to the answer behind it")
{
    MessageReader reader(MessageReader::Kind::Response, {});
    std::string unread =
        "HTTP/1.1 103 Early Hints\r\nX: hint\r\n\r\n" + fakes::answerWith("HTTP/1.1 200 OK");
    reader.consumeFrom(unread);
    REQUIRE(reader.done());
    CHECK(reader.head().status == 103);
    CHECK(unread == fakes::answerWith("HTTP/1.1 200 OK"));
}
