// Tests of endpoints that break off an answer after any of its bytes, directly and by way of
// another instance.

#include "../../src/fakes/cutanswers.h"
#include "answersite.h"

#include <catch2/catch.hpp>

#include <random>

using namespace balsamloft::testsuite;
using balsamloft::fakes::AnswerShape;
using balsamloft::fakes::answerShapes;
using balsamloft::fakes::Ending;

namespace {

RawAnswer::Then action(Ending ending)
{
    return ending == Ending::Close   ? RawAnswer::Then::Close
           : ending == Ending::Reset ? RawAnswer::Then::Reset
                                     : RawAnswer::Then::Keep;
}

} // namespace

// Guards against an answer that ends with its connection and follows one to an earlier request: its
// forwarding instance took the reset for the end of an idle connection.
TEST_CASE("an answer that is reset behind one to an earlier request is not passed on", "[process]")
{
    const bool forwarded = GENERATE(false, true);
    AnswerSite site(forwarded, [](const std::string &request) -> RawAnswer {
        return {"HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nSeal: s\r\nContent-Length: 2\r\n\r\nhi"
                "HTTP/1.1 200 OK\r\nRequest-Id: "
                    + headerOf(request, "Request-Id") + "\r\nSeal: s\r\n\r\nfirst half",
                RawAnswer::Then::Reset};
    });
    INFO("forwarded " << forwarded);
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(site.post("/unsafe/cut").starts_with("HTTP/1.1 200"));
}

TEST_CASE("no call is answered with a part of its endpoint's answer", "[process]")
{
    const bool forwarded = GENERATE(false, true);
    const Ending ending = GENERATE(Ending::Close, Ending::Reset);
    AnswerShape shape;
    std::size_t sent = 0;
    AnswerSite site(forwarded, [&](const std::string &request) -> RawAnswer {
        return {shape.to(headerOf(request, "Request-Id")).bytes.substr(0, sent), action(ending)};
    });
    std::size_t total = 0;
    std::size_t reached = 0;
    for (const AnswerShape &each : answerShapes()) {
        shape = each;
        // The ids of all requests have the same length from here on.
        for (sent = 0; sent <= shape.to("r1000").bytes.size(); ++sent) {
            INFO(shape.name << ", " << sent << " bytes, reset " << (ending == Ending::Reset)
                            << ", forwarded " << forwarded);
            const std::string answer = site.post("/unsafe/cut");
            const auto whole = shape.to(site.lastId()).wholeContent(sent, ending);
            const bool passed = answer.find("Seal: s") != std::string::npos
                                || answer.find("seal: s") != std::string::npos;
            INFO(answer);
            CHECK((!passed || (whole && bodyOf(answer) == *whole)));
            CHECK((passed || answer.starts_with("HTTP/1.1 502")
                   || (answer.starts_with("HTTP/1.1 503") && site.received() == 0)));
            CHECK(site.received() <= 1);
            total += 1;
            reached += site.received();
        }
    }
    CHECK(reached * 2 >= total);
}

namespace {

/// The answer to a request for a stream of three events, behind those that the caller has.
std::string restOfStream(const std::string &request, bool chunked)
{
    std::string text = streamHead(request);
    if (!chunked)
        boost::replace_all(text, "Transfer-Encoding: chunked\r\n", "");
    const std::string last = headerOf(request, "Last-Event-Id");
    for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= 3; ++i)
        text += chunked ? chunk(event(i)) : event(i);
    return chunked ? text + "0\r\n\r\n" : text;
}

/// The content of the chunks of \a answer.
std::string eventsOf(const std::string &answer)
{
    const std::string chunks = bodyOf(answer);
    std::string content;
    for (std::size_t at = 0; at < chunks.size();) {
        const std::size_t length = std::stoul(chunks.substr(at), nullptr, 16);
        const std::size_t begin = chunks.find("\r\n", at) + 2;
        content += chunks.substr(begin, length);
        at = begin + length + 2;
    }
    return content;
}

} // namespace

// Guards against a stream that ends as complete, or twice has an event, since the head or body of
// its first or second attempt breaks off.
TEST_CASE("a stream goes on or ends visibly, whatever byte an attempt ends at", "[process]")
{
    const bool forwarded = GENERATE(false, true);
    const bool chunked = GENERATE(true, false);
    const int cutAttempt = GENERATE(1, 2);
    std::size_t sent = 0;
    std::atomic<int> attempts {0};
    AnswerSite site(forwarded, [&](const std::string &request) -> RawAnswer {
        const int attempt = ++attempts;
        const std::string whole = restOfStream(request, chunked);
        if (attempt < cutAttempt)
            return {streamHead(request) + chunk(event(1)), RawAnswer::Then::Reset};
        return attempt == cutAttempt
                   ? RawAnswer {whole.substr(0, sent), RawAnswer::Then::Reset}
                   : RawAnswer {whole, chunked ? RawAnswer::Then::Keep : RawAnswer::Then::Close};
    });
    const std::string all = event(1) + event(2) + event(3);
    std::size_t complete = 0;
    constexpr std::size_t Longest = 190;
    for (sent = 0; sent < Longest; ++sent) {
        INFO(sent << " bytes of attempt " << cutAttempt << ", chunked " << chunked << ", forwarded "
                  << forwarded);
        attempts = 0;
        const std::string answer = site.post("/stream/cut");
        const bool ended = completeAnswer(answer) && answer.starts_with("HTTP/1.1 200");
        INFO(answer);
        CHECK((!ended || eventsOf(answer) == all));
        CHECK((answer.starts_with("HTTP/1.1 502") || answer.starts_with("HTTP/1.1 503")
               || all.starts_with(eventsOf(answer).substr(0, all.size()))));
        complete += ended ? 1 : 0;
    }
    CHECK(complete * 2 >= Longest);
}

namespace {

/// Sizes of an upload, drawn anew by draw().
class DrawnUpload
{
public:
    void draw()
    {
        bytes = std::uniform_int_distribution<std::size_t>(50'000, 2'000'000)(m_random);
        read = std::uniform_int_distribution<std::size_t>(0, 4)(m_random) * 64'000;
    }

    std::size_t bytes = 0;
    std::size_t read = 0; ///< by the endpoint, before it answers

private:
    static constexpr unsigned Seed = 89;
    std::mt19937 m_random {Seed};
};

constexpr int UploadPlays = 20;

/// An answer, or a part of one.
struct UploadAnswer
{
    std::string name;
    std::string fields; ///< besides those that prove it
    std::string body;
    bool isWhole = false;
};

const std::vector<UploadAnswer> UploadAnswers = {
    {"without a length", "", "first half"},
    {"with a length", "Content-Length: 20\r\n", "first half"},
    {"in chunks", "Transfer-Encoding: chunked\r\n", chunk("first half")},
    {"whole, with a length", "Content-Length: 10\r\n", "whole text", true},
    {"whole, in chunks", "Transfer-Encoding: chunked\r\n", chunk("whole text") + "0\r\n\r\n", true},
};

std::string provenHead(const std::string &request, const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: " + headerOf(request, "Request-Id") + "\r\n"
           + fields + "\r\n";
}

} // namespace

// Guards against a part of an answer that a caller gets for whole: the write of the request learned
// of the reset, and the read then saw an orderly end.
TEST_CASE("no part of an answer that is reset within a long upload is passed on", "[process]")
{
    const bool forwarded = GENERATE(false, true);
    const std::string path = GENERATE("/safe/cut", "/unsafe/cut");
    UploadAnswer current;
    AnswerSite site(forwarded, [&](const std::string &request) -> RawAnswer {
        return {provenHead(request, current.fields) + current.body, RawAnswer::Then::Reset};
    });
    DrawnUpload upload;
    std::size_t reached = 0;
    for (int play = 0; play < UploadPlays; ++play)
        for (const UploadAnswer &each : UploadAnswers) {
            current = each;
            upload.draw();
            site.setBodyToRead(upload.read);
            const std::string answer = site.post(path, upload.bytes);
            INFO(each.name << ", upload of " << upload.bytes << ", " << upload.read << " read, "
                           << path << ", forwarded " << forwarded << ", play " << play);
            INFO(answer);
            const bool passed = answer.starts_with("HTTP/1.1 200");
            CHECK((passed ? each.isWhole && bodyOf(answer) == "whole text"
                          : answer.starts_with("HTTP/1.1 50")));
            CHECK((site.received() <= 1 || path == "/safe/cut"));
            reached += site.received() > 0 ? 1 : 0;
        }
    CHECK(reached * 2 >= UploadPlays * UploadAnswers.size());
}

// Guards against the same with a stream without a length whose last event is whole.
TEST_CASE("a stream that is reset within a long upload goes on or ends visibly", "[process]")
{
    const bool forwarded = GENERATE(false, true);
    std::size_t eventsBeforeReset = 0;
    AnswerSite site(forwarded, [&](const std::string &request) -> RawAnswer {
        if (!headerOf(request, "Last-Event-Id").empty())
            return {restOfStream(request, true)};
        std::string events;
        for (std::size_t i = 1; i <= eventsBeforeReset; ++i)
            events += event(static_cast<int>(i));
        return {provenHead(request, "Content-Type: text/event-stream\r\n") + events,
                RawAnswer::Then::Reset};
    });
    const std::string all = event(1) + event(2) + event(3);
    DrawnUpload upload;
    std::size_t complete = 0;
    for (int play = 0; play < UploadPlays; ++play)
        for (eventsBeforeReset = 1; eventsBeforeReset <= 2; ++eventsBeforeReset) {
            upload.draw();
            site.setBodyToRead(upload.read);
            const std::string answer = site.post("/stream/cut", upload.bytes);
            INFO(eventsBeforeReset << " events, upload of " << upload.bytes << ", " << upload.read
                                   << " read, forwarded " << forwarded << ", play " << play);
            INFO(answer);
            const bool ended = answer.starts_with("HTTP/1.1 200") && completeAnswer(answer);
            CHECK((!ended || eventsOf(answer) == all));
            CHECK_FALSE(answer.empty());
            complete += ended ? 1 : 0;
        }
    CHECK(complete > 0);
}
