#include "noticecodec.h"

#include "entrynews.pb.h"

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

constexpr Time Now {std::chrono::hours(10)};

} // namespace

TEST_CASE("decoded notices equal the encoded ones, on the receiver's clock")
{
    const Duration age = std::chrono::milliseconds(1500);
    const std::vector<CrashNotice> sent {{{"a", "e", Now - age}, false}, {{"b", "f", Now}, true}};
    const Time received = Now + std::chrono::hours(3);
    const auto decoded = decodeNotices(encodeNotices(sent, Now), received);
    REQUIRE(decoded);
    CHECK(*decoded
          == std::vector<CrashNotice> {{{"a", "e", received - age}, false},
                                       {{"b", "f", received}, true}});
}

// Guards against an instance that a damaged message confuses or ends.
TEST_CASE("damaged notices are refused or skipped")
{
    CHECK_FALSE(decodeNotices("not a message", Now));
    wire::CrashNotices message;
    message.add_notices()->set_digest("without an endpoint");
    message.add_notices()->set_endpoint("without a digest");
    wire::CrashNotice &old = *message.add_notices();
    old.set_digest("a");
    old.set_endpoint("e");
    old.set_age_ms(std::numeric_limits<std::uint64_t>::max());
    const auto decoded = decodeNotices(message.SerializeAsString(), Now);
    REQUIRE(decoded);
    REQUIRE(decoded->size() == 1);
    CHECK(decoded->front().record.at == Now - std::chrono::hours(1));
}
