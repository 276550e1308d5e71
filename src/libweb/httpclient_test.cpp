// Tests of answers that the server breaks off, or sends too much of.

#include <balsamloft/httpclient.h>

#include "../fakes/brokenanswers.h"
#include "../fakes/cutanswers.h"

#include <boost/asio/steady_timer.hpp>

#include <catch2/catch.hpp>

using namespace balsamloft;
using namespace balsamloft::fakes;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

struct Fixture
{
    /// Sends a request, waits for its result, and returns it.
    HttpResult get() { return send(HttpRequest(http::verb::get, "/x", 11), {}); }

    /// The same with a body of \a bodyBytes.
    HttpResult post(std::size_t bodyBytes)
    {
        const auto body = std::make_shared<const std::string>(bodyBytes, 'x');
        HttpClient::Options options;
        options.body = *body;
        options.bodyOwner = body;
        return send(HttpRequest(http::verb::post, "/x", 11), std::move(options));
    }

    HttpResult send(HttpRequest request, HttpClient::Options options)
    {
        std::optional<HttpResult> received;
        client.send(endpoint.address(), std::move(request), std::move(options),
                    [&](HttpResult result) { received = std::move(result); });
        while (!received)
            context.run_one();
        return std::move(*received);
    }

    asio::io_context context;
    ScriptedEndpoint endpoint {context};
    HttpClient client {context};
};

} // namespace

// Guards against an interim answer that is taken for the answer, whose caller gets no answer, and
// after which the next request on the connection gets the one before.
TEST_CASE("interim answers are skipped")
{
    Fixture fixture;
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    fixture.endpoint.addAnswer(interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                               Ending::Keep);
    const HttpResult result = fixture.get();
    REQUIRE(result.response);
    CHECK(result.response->result_int() == 200);
    CHECK(result.response->body() == "hi");
}

TEST_CASE("an endless series of interim answers is a failure")
{
    Fixture fixture;
    std::string series;
    for (int i = 0; i < 1000; ++i)
        series += "HTTP/1.1 100 Continue\r\n\r\n";
    fixture.endpoint.addAnswer(series, Ending::Keep);
    CHECK_FALSE(fixture.get().response);
}

// Guards against an answer of an endpoint in trouble that a caller gets with a status that HTTP
// does not have, or for whose status the caller waits in vain.
TEST_CASE("an answer has a final status up to 599")
{
    for (unsigned status = 0; status <= 999; ++status) {
        const bool interim = status >= 100 && status < 200;
        const std::string text = statusText(status);
        CAPTURE(text);
        Fixture fixture;
        fixture.endpoint.addAnswer(answerWith("HTTP/1.1 " + text + " X"), Ending::Close);
        const HttpResult result = fixture.get();
        CHECK(result.response.has_value() == (status >= 200 && status <= 599));
        CHECK((!result.response || result.response->result_int() == status));
        CHECK((result.response || interim || result.failure.reason.starts_with("invalid answer")));
    }
    for (const BrokenAnswer &each : answersWithBrokenStatus()) {
        INFO(each.name);
        Fixture fixture;
        fixture.endpoint.addAnswer(each.bytes, Ending::Close);
        CHECK_FALSE(fixture.get().response);
    }
}

// Guards against an answer of an endpoint in trouble that a caller gets with a line in its head
// that is no field, or with a body that was coded and is not the endpoint's.
TEST_CASE("an answer whose head has a line that is no field, or an unknown coding, is a failure")
{
    for (const auto &list :
         {answersWithBrokenField(), answersWithUnknownCoding(), answersWithCodedContent()})
        for (const BrokenAnswer &each : list) {
            INFO(each.name);
            Fixture fixture;
            fixture.endpoint.addAnswer(each.bytes, Ending::Close);
            const HttpResult result = fixture.get();
            CHECK_FALSE(result.response);
            CHECK(result.failure.reason.starts_with("invalid answer: "));
        }
}

TEST_CASE("no answer that breaks off is taken for whole, whatever byte it ends at")
{
    const Ending ending = GENERATE(Ending::Close, Ending::Reset);
    for (const AnswerShape &shape : answerShapes()) {
        for (std::size_t sent = 0; sent <= shape.bytes.size(); ++sent) {
            INFO(shape.name << ", " << sent << " of " << shape.bytes.size() << " bytes, reset "
                            << (ending == Ending::Reset));
            Fixture fixture;
            fixture.endpoint.addAnswer(shape.bytes.substr(0, sent), ending);
            const HttpResult result = fixture.get();
            const auto whole = shape.wholeContent(sent, ending);
            CHECK((!result.response || (whole && result.response->body() == *whole)));
            CHECK((!result.response || result.response->result_int() == unsigned(shape.status)));
            CHECK((result.response || !whole || ending == Ending::Reset));
        }
    }
}

// Guards against a part of an answer that is taken for whole: the write of the request learns of
// the reset, and the read then sees an orderly end.
TEST_CASE("no answer that is reset within its request's upload is taken for whole")
{
    constexpr int Plays = 20;
    const std::size_t bodyBytes = GENERATE(20'000, 300'000, 1'000'000, 6'000'000);
    for (const AnswerShape &shape : answerShapes()) {
        for (int play = 0; play < Plays; ++play) {
            const std::size_t sent =
                shape.bodyBegin + (shape.bytes.size() - shape.bodyBegin) * play / Plays;
            INFO(shape.name << ", " << sent << " of " << shape.bytes.size() << " bytes, upload of "
                            << bodyBytes);
            Fixture fixture;
            fixture.endpoint.addAnswer(shape.bytes.substr(0, sent), Ending::Reset);
            const HttpResult result = fixture.post(bodyBytes);
            const auto whole = shape.wholeContent(sent, Ending::Reset);
            CHECK((!result.response || (whole && result.response->body() == *whole)));
        }
    }
}

// Guards against memory that grows with what an endpoint in trouble sends to a check.
TEST_CASE("an answer that is longer than its call allows is a failure")
{
    constexpr std::size_t Limit = 1000;
    const std::size_t length = GENERATE(1000, 1001, 5'000'000);
    const bool framed = GENERATE(true, false);
    Fixture fixture;
    fixture.endpoint.addAnswer(
        "HTTP/1.1 200 OK\r\n"
            + (framed ? "Content-Length: " + std::to_string(length) + "\r\n" : std::string())
            + "\r\n" + std::string(length, 'a'),
        Ending::Close);
    HttpClient::Options options;
    options.maxBodyBytes = Limit;
    const HttpResult result =
        fixture.send(HttpRequest(http::verb::get, "/x", 11), std::move(options));
    CHECK(result.response.has_value() == (length <= Limit));
}

TEST_CASE("bytes behind an answer are not taken for the next one")
{
    for (const AnswerShape &shape : answerShapes()) {
        for (std::size_t more = 0; more <= shape.bytes.size() && !shape.endsWithConnection;
             ++more) {
            INFO(shape.name << " and " << more << " bytes");
            Fixture fixture;
            fixture.endpoint.addAnswer(shape.bytes + shape.bytes.substr(0, more), Ending::Keep);
            fixture.endpoint.addAnswer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext",
                                       Ending::Keep);
            CHECK(fixture.get().response->body() == shape.content);
            CHECK(fixture.get().response->body() == "next");
        }
    }
}

// Guards against answers that are read although there is no room for them.
TEST_CASE("an answer that does not fit is read once there is room")
{
    class Other : private ResourceHolder
    {
    public:
        explicit Other(const ResourceGroupPtr &group)
            : hold(group, ResourceUse::Answer, *this, Time {})
        {
        }
        ResourceHold hold;

    private:
        void displace() override { }
    };

    ResourceAccount account({.bytes = 4U << 20U, .connections = 64});
    const auto group = std::make_shared<ResourceGroup>(&account);
    const bool roomLater = GENERATE(true, false);
    Other other(group);
    REQUIRE(other.hold.resize(account.largestGrant(ResourceUse::Answer), Time {}));
    asio::io_context context;
    ScriptedEndpoint endpoint {context};
    HttpClientSettings settings;
    settings.resources = group;
    HttpClient client(context, settings);
    constexpr std::size_t Length = 1'000'000;
    endpoint.addAnswer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Length) + "\r\n\r\n"
                           + std::string(Length, 'a'),
                       Ending::Keep);
    std::optional<HttpResult> received;
    client.send(endpoint.address(), HttpRequest(http::verb::get, "/x", 11), {},
                [&](HttpResult result) { received = std::move(result); });
    asio::steady_timer timer(context, std::chrono::milliseconds(300));
    if (roomLater)
        timer.async_wait([&](const boost::system::error_code &) { other.hold.release(); });
    while (!received)
        context.run_one();
    CHECK(received->response.has_value() == roomLater);
    if (roomLater)
        CHECK(received->response->body().size() == Length);
}
