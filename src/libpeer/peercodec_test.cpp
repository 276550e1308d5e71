#include <balsamloft/peersocket.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

PeerMessage sampleMessage()
{
    PeerMessage message;
    message.kind = PeerMessage::Kind::PingRequest;
    message.from = {"i1", "d", "10.0.0.1:8082", 7, MemberState::Alive};
    message.sequence = 42;
    message.knownMembers = 3;
    message.head = {9, sha256Hex("x")};
    message.members = {{"i2", "d", "10.0.0.2:8082", 5, MemberState::Suspect}};
    message.endpoints = {{"e1", 4, true}};
    message.demand = {{"team/t", 2.5}};
    message.target = {"i3", "d", "10.0.0.3:8082", 1, MemberState::Dead};
    message.after = 8;
    message.changes = {"{}"};
    message.snapshot = "{...}";
    return message;
}

} // namespace

TEST_CASE("a decoded peer message equals the encoded one", "[peer]")
{
    Reason reason;
    const auto decoded = decodePeerMessage(encodePeerMessage(sampleMessage()), reason);
    REQUIRE(decoded);
    CHECK(encodePeerMessage(*decoded) == encodePeerMessage(sampleMessage()));
    CHECK(decoded->head == sampleMessage().head);
    CHECK(decoded->members.front().state == MemberState::Suspect);
    CHECK(decoded->endpoints.front().leaving);
    CHECK(decoded->target.name == "i3");
}

TEST_CASE("invalid bytes are rejected with a reason and truncated messages do not crash", "[peer]")
{
    Reason reason;
    CHECK_FALSE(decodePeerMessage("nonsense", reason));
    CHECK_FALSE(reason.empty());
    CHECK_FALSE(decodePeerMessage("", reason)); // no sender
    const std::string bytes = encodePeerMessage(sampleMessage());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        decodePeerMessage(bytes.substr(0, size), reason); // must not crash
}

TEST_CASE("a socket receives every message that another socket sends", "[peer]")
{
    boost::asio::io_context context;
    std::vector<PeerMessage> received;
    PeerSocket sender(context, [&](PeerMessage) {});
    std::string address;
    // 20 messages fit into the queue of a connection, which drops messages when it is full.
    const auto sendBatch = [&] {
        for (int i = 0; i < 20; ++i)
            sender.send(address, sampleMessage());
    };
    PeerSocket receiver(context, [&](PeerMessage message) {
        received.push_back(std::move(message));
        if (received.size() == 60)
            context.stop();
        else if (received.size() % 20 == 0)
            sendBatch();
    });
    Reason reason;
    REQUIRE(sender.listen("127.0.0.1:0", reason));
    REQUIRE(receiver.listen("127.0.0.1:0", reason));
    CHECK_FALSE(receiver.listen("not an address", reason));
    address = receiver.address();
    sendBatch();
    context.run();
    CHECK(received.size() == 60);
    CHECK(receiver.bytesReceived() == sender.bytesSent());
}
