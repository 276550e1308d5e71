// Tests of crowds of clients that don't keep to the rules: the process lives, stays within its
// machine, and answers ordinary callers.

#include "crowd.h"
#include "subject.h"

#include "../unreachable-endpoints/linkedsite.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft::testsuite;

namespace {

constexpr int LargeCrowd = 64; ///< together they send more than the machine's memory
constexpr int ManyClients = 500; ///< more than the descriptors of SmallMachine
constexpr Machine FewDescriptors {.memoryMb = 160, .descriptors = 400};

/// What an instance at rest needs at most: control at its largest (44 MB, docs/CAPACITY.md), and
/// connections.
constexpr int CalmMemoryMb = 64;

std::string lengthField(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

constexpr const char *ChunkedField = "Transfer-Encoding: chunked\r\n\r\n";

/// Begins requests with ids that begin with \a id, whose heads end with \a lastField.
std::function<std::string(int)> requestHeads(const Subject &subject, const std::string &id,
                                             const std::string &lastField)
{
    return [&subject, id, lastField](int client) {
        return subject.requestHead(id + std::to_string(client)) + lastField;
    };
}

/// Bodies of the largest legal size that stop a byte short, in pieces of the given size.
ClientBehaviour shortBodies(const Subject &subject, std::size_t pieceBytes)
{
    return {.clients = LargeCrowd,
            .begin = requestHeads(subject, "short", lengthField(MaxBodyBytes)),
            .piece = std::string(pieceBytes, 'x'),
            .pieces = MaxBodyBytes / pieceBytes - 1,
            .last = std::string(pieceBytes - 1, 'x')};
}

/// Chunked bodies that end without their last chunk.
ClientBehaviour chunkedBodies(const Subject &subject, std::size_t chunkBytes, std::size_t chunks)
{
    return {.clients = LargeCrowd,
            .begin = requestHeads(subject, "chunked", ChunkedField),
            .piece = chunk(std::string(chunkBytes, 'x')),
            .pieces = chunks};
}

ClientBehaviour wholeBodies(const Subject &subject)
{
    return {.clients = LargeCrowd,
            .begin = requestHeads(subject, "whole", lengthField(MaxBodyBytes)),
            .piece = std::string(MaxBodyBytes, 'x'),
            .pieces = 1};
}

ClientBehaviour unreadAnswers(const Subject &subject)
{
    return {.clients = LargeCrowd,
            .begin =
                [&subject](int client) {
                    return subject.largeAnswerHead("unread" + std::to_string(client))
                           + lengthField(0);
                },
            .readsAnswers = false};
}

/// Clients that begin as given and then send a byte each second.
ClientBehaviour trickling(std::function<std::string(int client)> begin)
{
    return {.clients = ManyClients,
            .begin = std::move(begin),
            .piece = "x",
            .pieces = 120,
            .pause = std::chrono::milliseconds(1000)};
}

/// Checks that the process of \a subject has lived through \a crowd, which is still there, within
/// its machine.
void checkLives(Subject &subject, const UsageMonitor &usage)
{
    REQUIRE(subject.process().running());
    CHECK(usage.peakMemoryMb() <= subject.machine.memoryMb);
    CHECK(usage.peakSockets() <= subject.machine.descriptors - FileDescriptors);
    CHECK(subject.answersOrdinary());
}

/// Checks that the process of \a subject bears a crowd at \a address, by default that for callers.
void checkBears(Subject &subject, ClientBehaviour behaviour, std::string address = {})
{
    if (address.empty())
        address = subject.callers();
    const UsageMonitor usage(subject.process().id(), {address});
    Crowd crowd(address, std::move(behaviour));
    crowd.waitUntilSettled();
    usage.waitUntilSteady();
    checkLives(subject, usage);
    subject.released = true;
    crowd.end();
    checkLives(subject, usage);
}

} // namespace

// Guards against memory that grows with bodies that never become complete.
TEMPLATE_TEST_CASE("bodies that stop a byte short leave an instance within its memory", "[process]",
                   EntrySubject, DaemonSubject)
{
    TestType subject;
    checkBears(subject, shortBodies(subject, 65536));
}

// Guards against memory that grows with bodies that arrive piece by piece.
TEMPLATE_TEST_CASE(
    "bodies in small pieces that stop a byte short leave an instance within its memory",
    "[process]", EntrySubject, DaemonSubject)
{
    TestType subject;
    checkBears(subject, shortBodies(subject, 8192));
}

// Guards against memory that grows with chunked bodies, whose length is not known beforehand.
TEMPLATE_TEST_CASE("bodies in large chunks without an end leave an instance within its memory",
                   "[process]", EntrySubject, DaemonSubject)
{
    TestType subject;
    ClientBehaviour behaviour = chunkedBodies(subject, MaxBodyBytes / 4, 3);
    behaviour.last = behaviour.piece.substr(0, behaviour.piece.size() - 3);
    checkBears(subject, std::move(behaviour));
}

// Guards against memory that grows with the framing and the content of tiny chunks.
TEMPLATE_TEST_CASE(
    "bodies in chunks of one byte without an end leave an instance within its memory", "[process]",
    EntrySubject, DaemonSubject)
{
    TestType subject;
    ClientBehaviour behaviour = chunkedBodies(subject, 1, 0);
    constexpr std::size_t ChunksPerPiece = 8192;
    for (std::size_t i = 0; i < ChunksPerPiece; ++i)
        behaviour.piece += chunk("x");
    behaviour.pieces = MaxBodyBytes / ChunksPerPiece - 1;
    checkBears(subject, std::move(behaviour));
}

// Guards against bodies that are read on, or kept, beyond the limit.
TEMPLATE_TEST_CASE("chunked bodies far beyond the limit leave an instance within its memory",
                   "[process]", EntrySubject, DaemonSubject)
{
    TestType subject;
    checkBears(subject, chunkedBodies(subject, 65536, 10 * MaxBodyBytes / 65536));
}

// Guards against bodies that are read although their announced length is beyond the limit.
TEMPLATE_TEST_CASE("bodies announced far beyond the limit leave an instance within its memory",
                   "[process]", EntrySubject, DaemonSubject)
{
    TestType subject;
    ClientBehaviour behaviour = shortBodies(subject, 65536);
    behaviour.begin = requestHeads(subject, "beyond", lengthField(100 * MaxBodyBytes));
    checkBears(subject, std::move(behaviour));
}

// Guards against memory that grows with complete requests while their endpoints work.
TEMPLATE_TEST_CASE("whole bodies at once leave an instance within its memory", "[process]",
                   EntrySubject, DaemonSubject)
{
    TestType subject;
    checkBears(subject, wholeBodies(subject));
}

// Guards against memory that grows with answers that their callers don't read.
TEMPLATE_TEST_CASE("answers that nobody reads leave an instance within its memory", "[process]",
                   EntrySubject, DaemonSubject)
{
    TestType subject;
    subject.released = true;
    checkBears(subject, unreadAnswers(subject));
}

// Guards against clients that hold all descriptors by heads that never become complete.
TEMPLATE_TEST_CASE("heads that arrive byte by byte leave descriptors to ordinary callers",
                   "[process]", EntrySubject, DaemonSubject)
{
    TestType subject(FewDescriptors);
    checkBears(subject, trickling(requestHeads(subject, "head", "X: ")));
}

// Guards against clients that hold all descriptors by bodies that never become complete.
TEMPLATE_TEST_CASE("bodies that arrive byte by byte leave descriptors to ordinary callers",
                   "[process]", EntrySubject, DaemonSubject)
{
    TestType subject(FewDescriptors);
    checkBears(subject, trickling(requestHeads(subject, "body", lengthField(10'000))));
}

// Guards against clients that hold all descriptors by connections that they don't use.
TEMPLATE_TEST_CASE("connections without a request leave descriptors to ordinary callers",
                   "[process]", EntrySubject, DaemonSubject)
{
    TestType subject(FewDescriptors);
    ClientBehaviour behaviour;
    behaviour.clients = ManyClients;
    behaviour.begin = [](int) { return std::string(); };
    checkBears(subject, std::move(behaviour));
}

// Guards against memory that grows with heads that never become complete.
TEMPLATE_TEST_CASE("heads that stop a byte short leave an instance within its memory", "[process]",
                   EntrySubject, DaemonSubject)
{
    constexpr std::size_t HeadBytes = 16'000;
    TestType subject;
    ClientBehaviour behaviour;
    behaviour.clients = 2 * ManyClients;
    behaviour.begin = [&subject](int client) {
        std::string head = subject.requestHead("long" + std::to_string(client)) + "X: ";
        head.resize(HeadBytes, 'x');
        return head;
    };
    checkBears(subject, std::move(behaviour));
}

// Guards against memory that grows with requests behind the one in progress.
TEMPLATE_TEST_CASE("pipelined requests leave an instance within its memory", "[process]",
                   EntrySubject, DaemonSubject)
{
    TestType subject;
    ClientBehaviour behaviour;
    behaviour.clients = LargeCrowd;
    behaviour.begin = [](int) { return std::string(); };
    behaviour.piece = subject.requestHead("pipelined") + lengthField(0);
    behaviour.pieces = 2000;
    behaviour.readsAnswers = false;
    checkBears(subject, std::move(behaviour));
}

// Guards against crowds that are borne each alone, and not together.
TEMPLATE_TEST_CASE("three crowds at once leave an instance within its memory", "[process]",
                   EntrySubject, DaemonSubject)
{
    TestType subject;
    const UsageMonitor usage(subject.process().id(), {subject.callers()});
    Crowd shorts(subject.callers(), shortBodies(subject, 65536));
    Crowd chunks(subject.callers(), chunkedBodies(subject, 65536, MaxBodyBytes / 65536 - 1));
    Crowd wholes(subject.callers(), wholeBodies(subject));
    for (const Crowd *each : {&shorts, &chunks, &wholes})
        each->waitUntilSettled();
    usage.waitUntilSteady();
    checkLives(subject, usage);
    subject.released = true;
    for (Crowd *each : {&shorts, &chunks, &wholes})
        each->end();
    checkLives(subject, usage);
}

// Guards against memory that is not given back, so that a crowd adds to the one before.
TEMPLATE_TEST_CASE("a crowd that comes again finds the memory given back", "[process]",
                   EntrySubject, DaemonSubject)
{
    TestType subject;
    const UsageMonitor usage(subject.process().id(), {subject.callers()});
    for (int round = 0; round < 3; ++round) {
        Crowd crowd(subject.callers(), shortBodies(subject, 65536));
        crowd.waitUntilSettled();
        checkLives(subject, usage);
        crowd.end();
        REQUIRE(waitUntil([&] { return usage.memoryMb() <= CalmMemoryMb; }));
    }
}

// Guards against clients that hold up a planned stop.
TEMPLATE_TEST_CASE("an instance stops although a crowd holds on to it", "[process]", EntrySubject,
                   DaemonSubject)
{
    TestType subject;
    Crowd shorts(subject.callers(), shortBodies(subject, 65536));
    Crowd unread(subject.callers(), unreadAnswers(subject));
    shorts.waitUntilSettled();
    unread.waitUntilSettled();
    subject.process().signal(SIGTERM);
    CHECK(subject.process().wait() == 0);
}

// Guards against memory that is bounded at the callers' port only.
TEMPLATE_TEST_CASE(
    "bodies at the ports besides that for callers leave an instance within its memory", "[process]",
    EntrySubject, DaemonSubject)
{
    TestType subject;
    for (const Subject::Port &port : subject.otherPorts()) {
        INFO(port.head);
        ClientBehaviour behaviour = shortBodies(subject, 65536);
        behaviour.begin = [&port](int) { return port.head + lengthField(MaxBodyBytes); };
        checkBears(subject, std::move(behaviour), port.address);
    }
}

// Guards against descriptors that are held at other ports than that for callers.
TEMPLATE_TEST_CASE(
    "connections at the ports besides that for callers leave descriptors to ordinary callers",
    "[process]", EntrySubject, DaemonSubject)
{
    TestType subject(FewDescriptors);
    for (const Subject::Port &port : subject.otherPorts()) {
        INFO(port.head);
        ClientBehaviour behaviour;
        behaviour.clients = ManyClients;
        behaviour.begin = [](int) { return std::string(); };
        checkBears(subject, std::move(behaviour), port.address);
    }
}

// Guards against instances that ask for connections and don't use them as agreed.
TEST_CASE("heads at the port for forwarded connections leave descriptors to ordinary callers",
          "[process]")
{
    EntrySubject subject(FewDescriptors);
    ClientBehaviour behaviour;
    behaviour.clients = ManyClients;
    behaviour.begin = [](int) { return std::string("CONNECT e1 HTTP/1.1\r\nHost: h\r\n"); };
    checkBears(subject, std::move(behaviour), subject.forwardAddress());
}

// Guards against answers that a forwarding instance holds for an instance that doesn't read.
TEST_CASE("forwarded answers that nobody reads leave the forwarding instance within its memory",
          "[process]")
{
    EntrySubject subject;
    subject.released = true;
    ClientBehaviour behaviour = unreadAnswers(subject);
    behaviour.begin = [&subject](int client) {
        return "CONNECT e1 HTTP/1.1\r\nHost: h\r\n\r\n"
               + subject.largeAnswerHead("unread" + std::to_string(client)) + lengthField(0);
    };
    checkBears(subject, std::move(behaviour), subject.forwardAddress());
}

// Guards against answers held by the instance that asked for them, or the one that forwards them.
TEST_CASE("answers over a forwarding instance that nobody reads leave both within their memory",
          "[process]")
{
    const Machine machine;
    const auto answer = [](const std::string &request) {
        return request.starts_with("POST /safe/large")
                   ? okAnswer(request, std::string(MaxBodyBytes, 'a'))
                   : answerOf(request);
    };
    LinkedSite site(2, answer, machineFlags("balsamloft-entry-standin", machine));
    site.cut(0, balsamloft::soak::CutManner::Reset);
    waitUntil([&] { return site.serves(0, "/safe/x"); });
    const UsageMonitor asking(site.process(0).id(), {site.callerAddress(0)});
    const UsageMonitor forwarding(site.process(1).id(), {site.forwardAddress(1)});
    ClientBehaviour behaviour;
    behaviour.clients = LargeCrowd;
    behaviour.begin = [&site](int) { return site.requestTo("/safe/large", 30'000); };
    behaviour.readsAnswers = false;
    Crowd crowd(site.callerAddress(0), std::move(behaviour));
    crowd.waitUntilSettled();
    asking.waitUntilSteady();
    for (const UsageMonitor *each : {&asking, &forwarding})
        CHECK(each->peakMemoryMb() <= machine.memoryMb);
    for (std::size_t instance : {0, 1}) {
        REQUIRE(site.process(instance).running());
        CHECK(waitUntil([&] { return site.serves(instance, "/safe/x"); }));
    }
}

// Guards against messages of other instances that never become complete.
TEST_CASE("messages of other daemons that stop a byte short leave an instance within its memory",
          "[process]")
{
    DaemonSubject subject;
    constexpr std::size_t MessageBytes = 16U << 20U;
    // Greeting, READY and the head of a long frame of ZMTP 3.0.
    std::string begin("\xff\0\0\0\0\0\0\0\1\x7f\3\0NULL", 16);
    begin.resize(64, '\0');
    begin += std::string("\x04\x1a\x05READY\x0bSocket-Type\0\0\0\x04PUSH", 28);
    begin += std::string("\x02\0\0\0\0\x01\0\0\0", 9);
    ClientBehaviour behaviour;
    behaviour.clients = LargeCrowd;
    behaviour.begin = [begin](int) { return begin; };
    behaviour.piece = std::string(65536, 'x');
    behaviour.pieces = MessageBytes / 65536 - 1;
    behaviour.last = std::string(65535, 'x');
    checkBears(subject, std::move(behaviour), subject.peerAddress());
}

// Guards against limits that an honest client meets.
TEMPLATE_TEST_CASE("one request of the largest size is served on the smallest machine", "[process]",
                   EntrySubject, DaemonSubject)
{
    TestType subject(Machine {.memoryMb = 128, .descriptors = 4100});
    subject.released = true;
    const UsageMonitor usage(subject.process().id(), {subject.callers()});
    CHECK(subject.statusOfLargest() == 200);
    CHECK(usage.peakMemoryMb() <= subject.machine.memoryMb);
}
