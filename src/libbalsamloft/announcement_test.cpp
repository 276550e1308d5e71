#include <balsamloft/announcement.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// 2026-12-03, 12:00:00 UTC.
const std::chrono::system_clock::time_point Noon {seconds(1'796'299'200)};

std::optional<Duration> parsed(std::string_view value, std::string_view date = {})
{
    return parseRetryAfter({&value, 1}, date, Noon);
}

} // namespace

TEST_CASE("a Retry-After field holds seconds, also with a fraction, or an HTTP date")
{
    CHECK(parsed("3") == seconds(3));
    CHECK(parsed(" 0.35 ") == milliseconds(350));
    CHECK(parsed("Thu, 03 Dec 2026 12:00:20 GMT") == seconds(20));
}

// Guards against an endpoint whose clock differs from this instance's clock.
TEST_CASE("a date in Retry-After counts from the date of its own answer")
{
    CHECK(parsed("Thu, 03 Dec 2026 13:00:20 GMT", "Thu, 03 Dec 2026 13:00:00 GMT") == seconds(20));
    CHECK(parsed("Thu, 03 Dec 2026 12:00:20 GMT", "yesterday") == seconds(20));
}

TEST_CASE("unreadable, negative and past values of Retry-After are ignored")
{
    for (const std::string_view value :
         {"", "0", "-3", "soon", "3 s", "nan", "inf", "-1e999", "1,,2", "3;4",
          "Thu, 03 Dec 2026 11:59:59 GMT", "Thu, 33 Dec 2026 12:00:20 GMT", "Thu, 03 Dec"}) {
        INFO(value);
        CHECK_FALSE(parsed(value));
    }
}

// Guards against an endpoint that is lost for good because of one wrong value.
TEST_CASE("an enormous Retry-After is believed for a bounded time")
{
    for (const std::string_view value :
         {"86400", "1e300", "1e999", "Fri, 03 Dec 2027 12:00:00 GMT"}) {
        INFO(value);
        CHECK(parsed(value) == MaxRetryAfter);
    }
}

TEST_CASE("the longest of several values of Retry-After counts")
{
    const std::string_view values[] = {"2", "soon", "5", "1"};
    CHECK(parseRetryAfter(values, {}, Noon) == seconds(5));
    CHECK(parsed("2, 7,3") == seconds(7));
}
