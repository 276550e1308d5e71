#include "brokenanswers.h"

#include <boost/algorithm/string/replace.hpp>

namespace balsamloft::fakes {

namespace {

constexpr std::string_view Body = "hi";
constexpr std::string_view Proof = "Request-Id: %\r\nSeal: s\r\n";
constexpr std::string_view Ok = "HTTP/1.1 200 OK";

/// An answer whose framing is up to \a fields, which are whole lines, and \a body.
std::string framedAnswer(std::string_view fields, std::string_view body,
                         std::string_view statusLine = Ok)
{
    std::string text(statusLine);
    return text.append("\r\n").append(Proof).append(fields).append("\r\n").append(body);
}

} // namespace

std::string BrokenAnswer::to(std::string_view id) const
{
    std::string result = bytes;
    boost::replace_all(result, "%", id);
    return result;
}

std::string answerWith(std::string_view statusLine, std::string_view fieldLines)
{
    const std::string length = "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    return framedAnswer(std::string(fieldLines) + length, Body, statusLine);
}

std::string statusText(unsigned status)
{
    const std::string digits = std::to_string(status);
    return std::string(3 - digits.size(), '0') + digits;
}

std::vector<BrokenAnswer> answersWithBrokenStatus()
{
    std::vector<BrokenAnswer> result;
    for (const unsigned status : {0U, 1U, 99U, 600U, 999U}) {
        const std::string text = statusText(status);
        const std::string line = "HTTP/1.1 " + text + " X";
        result.push_back({"status " + text, answerWith(line)});
        result.push_back({"status " + text + ", events",
                          framedAnswer("Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n",
                                       "12\r\nid: 1\ndata: last\n\n\r\n0\r\n\r\n", line)});
        result.push_back(
            {"status " + text + ", without a length", framedAnswer({}, Body, line), true});
    }
    for (const std::string text : {"20", "2000", "2xx", "-20", "", "0x1"})
        result.push_back({"status " + text, answerWith("HTTP/1.1 " + text + " X")});
    return result;
}

std::vector<BrokenAnswer> answersWithBrokenField()
{
    std::vector<BrokenAnswer> result;
    for (const std::string line :
         {"X Y: v", "X\tY: v", "X\x01Y: v", "X\x7fY: v", "X\xc3\xa4: v", ": v", "no colon",
          "Content-Length : 1", "Transfer-Encoding : chunked", "X\rY: v"}) {
        result.push_back({"field line '" + line + "'", answerWith(Ok, line + "\r\n")});
        result.push_back({"field line '" + line + "', without a length",
                          framedAnswer(line + "\r\n", Body), true});
    }
    result.push_back({"field line with NUL", answerWith(Ok, std::string("X\0Y: v\r\n", 8))});
    result.push_back(
        {"first field line begins with a blank",
         std::string(Ok) + "\r\n X: v\r\n" + std::string(Proof) + "Content-Length: 2\r\n\r\nhi"});
    return result;
}

std::vector<BrokenAnswer> answersWithUnknownCoding()
{
    const std::string chunks = "2\r\nhi\r\n0\r\n\r\n";
    std::vector<BrokenAnswer> result;
    for (const std::string coding : {"x", "gzip", "chunked, gzip"})
        result.push_back({"transfer coding " + coding,
                          framedAnswer("Transfer-Encoding: " + coding + "\r\n", chunks), true});
    for (const std::string coding : {"gzip, chunked", "x,chunked", "chunked, chunked"})
        result.push_back({"transfer coding " + coding,
                          framedAnswer("Transfer-Encoding: " + coding + "\r\n", chunks)});
    result.push_back(
        {"transfer codings in two fields",
         framedAnswer("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", chunks)});
    return result;
}

std::vector<BrokenAnswer> answersWithCodedContent()
{
    return {{"content coding gzip", answerWith(Ok, "Content-Encoding: gzip\r\n")},
            {"content coding gzip, without a length",
             framedAnswer("Content-Encoding: gzip\r\n", "hi"), true}};
}

bool isNameByte(unsigned char byte)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z')
           || (byte >= 'A' && byte <= 'Z')
           || Marks.find(static_cast<char>(byte)) != std::string_view::npos;
}

} // namespace balsamloft::fakes
