// Tests of exchanges whose answer breaks off after any of its bytes, or is followed by more.

#include "clock.h"
#include "connectionforwarder.h"
#include "connectionpool.h"
#include "sockets.h"

#include "../fakes/cutanswers.h"

#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

namespace asio = boost::asio;

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

constexpr std::string_view Id = "r1";
constexpr std::string_view Request = "POST /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// Records the end of an exchange.
class Recorder : public ExchangeHandler
{
public:
    bool maySend() override { return true; }
    void exchangeFailed(AttemptFailure failure) override { failed = failure; }
    bool headReceived(MessageReader & /*answer*/) override { return false; }
    void bodyReceived(MessageReader & /*answer*/) override { }
    void answerReceived(MessageReader &answer) override
    {
        status = answer.head().status;
        body = answer.body();
    }

    bool isFinished() const { return failed || status != 0; }

    std::optional<AttemptFailure> failed;
    int status = 0;
    std::string body;
};

struct Fixture
{
    Recorder exchange()
    {
        ExchangeSettings settings;
        settings.endpoint = "e1";
        settings.address = endpoint.address();
        settings.requestIdName = "Request-Id";
        settings.requestId = std::string(Id);
        const auto exchange =
            std::make_shared<Exchange>(pool, std::move(settings), std::string(Request));
        Recorder recorder;
        exchange->start(recorder, steadyNow());
        while (!recorder.isFinished())
            context.run_one();
        return recorder;
    }

    /// Makes the next exchange use a connection that another instance forwards.
    void forwardNext()
    {
        auto connection = std::make_unique<PooledConnection>(context);
        connection->endpoint = "e1";
        connection->socket.connect(*parseTcpEndpoint(endpoint.address()));
        connection->channel.emplace(MessageReader::Kind::Response, MessageLimits {});
        connection->undecoded = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        connection->received(0);
        pool.put(std::move(connection), steadyNow());
    }

    asio::io_context context;
    ScriptedEndpoint endpoint {context};
    ConnectionPool pool {context};
};

/// Checks that an answer of which \a sent bytes arrived before \a ending counts as whole only if it
/// is.
void checkOutcome(const Recorder &recorder, const AnswerShape &shape, std::size_t sent,
                  Ending ending)
{
    const auto whole = shape.wholeContent(sent, ending);
    CHECK((recorder.failed || (whole && recorder.status == shape.status)));
    CHECK((recorder.failed || (whole && recorder.body.size() == whole->size())));
    CHECK((!recorder.failed || !whole || ending == Ending::Reset));
    // A request whose answer has begun, or may have, must not count as not sent.
    CHECK((!recorder.failed || *recorder.failed == AttemptFailure::Broken
           || *recorder.failed == AttemptFailure::InvalidAnswer));
}

/// The bytes with which a forwarding instance sends \a answer on.
std::string forwarded(const std::string &answer, Ending ending)
{
    std::string text;
    if (!answer.empty())
        appendChunk(answer, text);
    return ending == Ending::Close ? text + "0\r\n" + std::string(ForwardedBytesField) + ": "
                                         + std::to_string(Request.size()) + "\r\n\r\n"
                                   : text;
}

} // namespace

TEST_CASE("no answer that breaks off is passed on as whole, whatever byte it ends at")
{
    const Ending ending = GENERATE(Ending::Close, Ending::Reset);
    const bool isForwarded = GENERATE(false, true);
    for (const AnswerShape &each : answerShapes()) {
        const AnswerShape shape = each.to(Id);
        const std::string &text = shape.bytes;
        for (std::size_t sent = 0; sent <= text.size(); ++sent) {
            INFO(shape.name << ", " << sent << " of " << text.size() << " bytes, reset "
                            << (ending == Ending::Reset) << ", forwarded " << isForwarded);
            Fixture fixture;
            if (isForwarded)
                fixture.forwardNext();
            const std::string part = text.substr(0, sent);
            fixture.endpoint.addAnswer(isForwarded ? forwarded(part, ending) : part, ending);
            checkOutcome(fixture.exchange(), shape, sent, ending);
        }
    }
}

// Guards against an answer that ends with its connection, and is taken for whole when the instance
// that forwards it ends.
TEST_CASE("no answer is passed on as whole when its forwarding instance ends at any byte")
{
    const Ending ending = GENERATE(Ending::Close, Ending::Reset);
    for (const AnswerShape &each : answerShapes()) {
        const AnswerShape shape = each.to(Id);
        const std::string &answer = shape.bytes;
        const std::string text = forwarded(answer, Ending::Close);
        const std::size_t begin = text.find("\r\n") + 2;
        for (std::size_t sent = 0; sent < text.size(); ++sent) {
            INFO(shape.name << ", " << sent << " of " << text.size() << " bytes, reset "
                            << (ending == Ending::Reset));
            Fixture fixture;
            fixture.forwardNext();
            fixture.endpoint.addAnswer(text.substr(0, sent), ending);
            const std::size_t arrived = std::min(sent - std::min(sent, begin), answer.size());
            checkOutcome(fixture.exchange(), shape, arrived, Ending::Reset);
        }
    }
}

namespace {

/// An exchange with an upload that is longer than the system holds, before an endpoint that does
/// not read it.
struct LongUpload
{
    LongUpload()
    {
        constexpr std::size_t BodyBytes = 16'000'000;
        ExchangeSettings settings;
        settings.endpoint = "e1";
        settings.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        settings.requestIdName = "Request-Id";
        settings.requestId = std::string(Id);
        exchange = std::make_shared<Exchange>(pool, std::move(settings), std::string(Request),
                                              std::make_shared<const std::string>(BodyBytes, 'x'));
        exchange->start(recorder, steadyNow());
        endpoint = acceptor.accept();
    }

    void finish()
    {
        while (!recorder.isFinished())
            context.run_one();
        exchange.reset();
    }

    asio::io_context context;
    ConnectionPool pool {context};
    asio::ip::tcp::acceptor acceptor {context, {asio::ip::address_v4::loopback(), 0}};
    asio::ip::tcp::socket endpoint {context};
    Recorder recorder;
    std::shared_ptr<Exchange> exchange;
};

/// Gives an exchange with a long upload \a answer, and resets its connection while the upload waits
/// for the endpoint to read on. If \a pause, the exchange reads the answer before the reset.
Recorder resetWithinUpload(std::string_view answer, bool pause)
{
    LongUpload upload;
    upload.context.poll();
    asio::write(upload.endpoint, asio::buffer(answer));
    if (pause)
        upload.context.poll();
    upload.endpoint.set_option(asio::socket_base::linger(true, 0));
    upload.endpoint.close();
    upload.finish();
    return upload.recorder;
}

} // namespace

// Guards against a part of an answer that is taken for whole: the write of the request learns of
// the reset, and the read then sees an orderly end.
TEST_CASE("no answer that is reset within its request's upload is passed on as whole")
{
    const bool pause = GENERATE(false, true);
    for (const AnswerShape &each : answerShapes()) {
        const AnswerShape shape = each.to(Id);
        for (std::size_t sent = 0; sent <= shape.bytes.size(); ++sent) {
            INFO(shape.name << ", " << sent << " of " << shape.bytes.size() << " bytes, pause "
                            << pause);
            const Recorder recorder = resetWithinUpload(shape.bytes.substr(0, sent), pause);
            checkOutcome(recorder, shape, sent, Ending::Reset);
            CHECK(recorder.failed.has_value()
                  == !shape.wholeContent(sent, Ending::Reset).has_value());
        }
    }
}

// Guards against a process that ends by itself: its write went on with a connection that was gone.
TEST_CASE("the write of a request outlives an answer that is complete before it")
{
    constexpr int MaxHandlers = 1000;
    const AnswerShape shape = answerShapes().front().to(Id);
    for (int handlers = 0; handlers < 20; ++handlers) {
        INFO("answered behind " << handlers << " handlers");
        LongUpload upload;
        for (int i = 0; i < handlers; ++i)
            upload.context.run_one();
        asio::write(upload.endpoint, asio::buffer(shape.bytes));
        upload.finish();
        CHECK(upload.recorder.body == shape.content);
        for (int i = 0; i < MaxHandlers && upload.context.poll_one() > 0; ++i) { }
    }
}

TEST_CASE("an answer to an earlier request that breaks off is not passed on")
{
    const Ending ending = GENERATE(Ending::Close, Ending::Reset);
    const std::string last = answerShapes().front().to(Id).bytes;
    for (const AnswerShape &shape : answerShapes()) {
        const std::string text = shape.to("other").bytes + last;
        for (std::size_t sent = 0; sent < text.size(); ++sent) {
            INFO(shape.name << ", " << sent << " of " << text.size() << " bytes");
            Fixture fixture;
            fixture.endpoint.addAnswer(text.substr(0, sent), ending);
            CHECK(fixture.exchange().failed);
        }
    }
}

TEST_CASE("bytes behind an answer are not taken for the next one")
{
    for (const AnswerShape &each : answerShapes()) {
        const AnswerShape shape = each.to(Id);
        const std::string &text = shape.bytes;
        for (std::size_t more = 0; more <= text.size() && !shape.endsWithConnection; ++more) {
            INFO(shape.name << " and " << more << " bytes");
            Fixture fixture;
            fixture.endpoint.addAnswer(text + text.substr(0, more), Ending::Keep);
            fixture.endpoint.addAnswer("HTTP/1.1 201 Created\r\nRequest-Id: r1\r\n"
                                       "Content-Length: 4\r\n\r\nnext",
                                       Ending::Keep);
            CHECK(fixture.exchange().status == shape.status);
            CHECK(fixture.exchange().body == "next");
        }
    }
}
