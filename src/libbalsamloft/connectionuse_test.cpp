#include <balsamloft/connectionuse.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

constexpr Time Start {std::chrono::hours(1)};
constexpr CallerTimeouts Timeouts {.request = std::chrono::seconds(3),
                                   .idle = std::chrono::seconds(15)};
constexpr Duration Long = std::chrono::hours(1);

struct FakeProbe : ConnectionProbe
{
    explicit FakeProbe(bool unread = false)
        : unread(unread)
    {
    }
    bool hasUnreadBytes() const override { return unread; }
    bool unread;
};

Duration milliseconds(std::int64_t count)
{
    return Duration(count * 1000);
}

} // namespace

TEST_CASE(
    "a connection is closed neither while a request waits unread nor while one is in progress")
{
    // A process that was paused closed connections on which whole requests had arrived.
    const auto phase = GENERATE(ServerPhase::Serving, ServerPhase::Stopping, ServerPhase::Closing,
                                ServerPhase::Ending);
    ConnectionUse use(Start, Timeouts.idle);
    CHECK(use.step(phase, Timeouts, FakeProbe(true), Start + Long) == ConnectionStep::Keep);
    use.bytesRead(Start);
    use.requestBegun();
    CHECK(use.step(phase, Timeouts, FakeProbe(true), Start + Long) == ConnectionStep::Keep);
    use.requestRead();
    CHECK(use.step(phase, Timeouts, FakeProbe(), Start + Long) == ConnectionStep::Keep);
    use.answerWritten(Timeouts.idle, Start + Long);
    CHECK(use.step(phase, Timeouts, FakeProbe(), Start + Long + Long) == ConnectionStep::Close);
}

TEST_CASE("a connection is idle from the end of its last answer, not from its last read")
{
    // A connection was closed as soon as a long stream on it had ended.
    ConnectionUse use(Start, Timeouts.idle);
    use.bytesRead(Start);
    use.requestRead();
    const Time ended = Start + Long;
    use.answerWritten(Timeouts.idle, ended);
    const FakeProbe probe;
    CHECK(use.step(ServerPhase::Serving, Timeouts, probe, ended + milliseconds(14'999))
          == ConnectionStep::Keep);
    CHECK(use.step(ServerPhase::Serving, Timeouts, probe, ended + milliseconds(15'000))
          == ConnectionStep::Close);
    CHECK(use.step(ServerPhase::Closing, Timeouts, probe, ended + milliseconds(399))
          == ConnectionStep::Keep);
    CHECK(use.step(ServerPhase::Closing, Timeouts, probe, ended + milliseconds(400))
          == ConnectionStep::Close);
    CHECK(use.step(ServerPhase::Ending, Timeouts, probe, ended) == ConnectionStep::Close);
}

// Guards against a caller that sends a byte of its head now and then, and so never ends.
TEST_CASE("the time of a head counts from its first byte, whenever more of it arrives")
{
    ConnectionUse use(Start, Timeouts.idle);
    use.bytesRead(Start);
    use.requestBegun();
    const FakeProbe probe;
    for (int second = 1; second < 3; ++second) {
        use.bytesRead(Start + milliseconds(second * 1000));
        use.requestBegun();
        CHECK(use.step(ServerPhase::Serving, Timeouts, probe, Start + milliseconds(second * 1000))
              == ConnectionStep::Keep);
    }
    CHECK(use.step(ServerPhase::Serving, Timeouts, probe, Start + milliseconds(3000))
          == ConnectionStep::Refuse);
}

// Guards against a body that trickles without end, and a slow link that is taken for one.
TEST_CASE("a body has time as long as it arrives at the least rate")
{
    const bool atLeastRate = GENERATE(true, false);
    ConnectionUse use(Start, Timeouts.idle);
    use.bytesRead(Start);
    use.requestBegun();
    use.headRead(Start);
    const FakeProbe probe;
    bool refused = false;
    for (int second = 1; second <= 60 && !refused; ++second) {
        const Time now = Start + milliseconds(second * 1000);
        use.bytesRead(now);
        use.bodyRead(atLeastRate ? MinBodyRate : MinBodyRate / 2, Timeouts, now);
        refused = use.step(ServerPhase::Serving, Timeouts, probe, now) == ConnectionStep::Refuse;
    }
    CHECK(refused == !atLeastRate);
}

TEST_CASE("an incomplete request is refused once its rest is late, or the process is about to end")
{
    ConnectionUse use(Start, Timeouts.idle);
    use.bytesRead(Start);
    use.requestBegun();
    const FakeProbe probe;
    CHECK(use.step(ServerPhase::Closing, Timeouts, probe, Start + milliseconds(2'999))
          == ConnectionStep::Keep);
    CHECK(use.step(ServerPhase::Serving, Timeouts, probe, Start + milliseconds(3'000))
          == ConnectionStep::Refuse);
    CHECK(use.step(ServerPhase::Ending, Timeouts, probe, Start) == ConnectionStep::Refuse);
}

TEST_CASE("a shorter idle timeout closes no connection whose caller relies on the former one")
{
    constexpr CallerTimeouts Shorter {.request = Timeouts.request, .idle = std::chrono::seconds(1)};
    ConnectionUse use(Start, Timeouts.idle);
    const FakeProbe probe;
    CHECK(use.step(ServerPhase::Serving, Shorter, probe, Start + milliseconds(14'000))
          == ConnectionStep::Keep);
    use.requestRead();
    use.answerWritten(Shorter.idle, Start);
    CHECK(use.step(ServerPhase::Serving, Shorter, probe, Start + milliseconds(1'000))
          == ConnectionStep::Close);
    CHECK(use.step(ServerPhase::Serving, Timeouts, probe, Start + milliseconds(1'000))
          == ConnectionStep::Keep);
}

TEST_CASE("a stop announces the close on the last answer, not before a request that waits")
{
    ConnectionUse use(Start, Timeouts.idle);
    use.requestRead();
    CHECK_FALSE(use.shouldAnnounceClose(ServerPhase::Serving, false, FakeProbe()));
    CHECK(use.shouldAnnounceClose(ServerPhase::Stopping, false, FakeProbe()));
    CHECK_FALSE(use.shouldAnnounceClose(ServerPhase::Closing, true, FakeProbe()));
    CHECK_FALSE(use.shouldAnnounceClose(ServerPhase::Ending, false, FakeProbe(true)));
}

TEST_CASE("a connection whose close was announced is closed as soon as its answer is written")
{
    ConnectionUse use(Start, Timeouts.idle);
    use.requestRead();
    use.announceClose();
    CHECK(use.step(ServerPhase::Serving, Timeouts, FakeProbe(true), Start) == ConnectionStep::Keep);
    use.answerWritten(Timeouts.idle, Start);
    CHECK(use.step(ServerPhase::Serving, Timeouts, FakeProbe(true), Start)
          == ConnectionStep::Close);
}
