// When the callers of refused requests come back.

#include <balsamloft/admission/returnschedule.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <vector>

using namespace balsamloft;

namespace {

constexpr Duration Slot {250'000};

Time at(double seconds)
{
    return Time(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(seconds * 1e6));
}

Duration seconds(double value)
{
    return Duration(static_cast<std::int64_t>(value * 1e6));
}

/// Sums up the work that returns in each slot.
struct Returns
{
    void add(Time time, double work) { bySlot[time.time_since_epoch() / Slot] += work; }

    double highest() const
    {
        double result = 0;
        for (const auto &[slot, work] : bySlot)
            result = std::max(result, work);
        return result;
    }

    std::map<std::int64_t, double> bySlot;
};

} // namespace

// Guards against returns in bursts: 800 callers are refused over a second, and 100 per second of
// them can be served.
TEST_CASE("returns in each slot stay within the rate", "[returns]")
{
    ReturnSchedule schedule;
    std::mt19937_64 random(1);
    Returns returns;
    for (int i = 0; i < 800; ++i) {
        const Time now = at(i / 800.0);
        returns.add(now + schedule.schedule(1, 100, seconds(0.5), seconds(15), now, random), 1);
    }
    CHECK(returns.highest() <= 25);
    CHECK(returns.bySlot.size() <= 36); // full slots, except for the first and last ones
}

// Guards against the returns of a whole slot in the 10 ms of it that are left.
TEST_CASE("a partly elapsed slot takes a part of the rate", "[returns]")
{
    ReturnSchedule schedule;
    std::mt19937_64 random(1);
    std::vector<Time> times;
    for (int i = 0; i < 1000; ++i)
        times.push_back(at(0.04)
                        + schedule.schedule(1, 200, seconds(0.2), seconds(15), at(0.04), random));
    CHECK(std::count_if(times.begin(), times.end(), [](Time each) { return each < at(0.25); })
          == 2);
    CHECK(*std::max_element(times.begin(), times.end()) < at(5.5));
}

// Guards against synchronized callers, which would be refused together again.
TEST_CASE("callers refused at the same moment return at different moments", "[returns]")
{
    for (const double rate : {0.0, 10.0, 1e6}) {
        for (const double earliest : {0.0, 0.5, 3.0}) {
            ReturnSchedule schedule;
            std::mt19937_64 random(1);
            std::set<Duration> delays;
            for (int i = 0; i < 100; ++i)
                delays.insert(
                    schedule.schedule(1, rate, seconds(earliest), seconds(1), at(0.1), random));
            CAPTURE(rate, earliest);
            CHECK(delays.size() >= 98);
        }
    }
}

// Guards against callers whose deadline passes while they wait.
TEST_CASE("a delay is between the earliest and the latest time", "[returns]")
{
    ReturnSchedule schedule;
    std::mt19937_64 random(1);
    for (int i = 0; i < 20'000; ++i) {
        const Time now = at(i * 0.0007);
        const Duration earliest = seconds(0.001 * (random() % 4000));
        const Duration latest = seconds(0.001 * (random() % 16'000));
        const double rate = static_cast<double>(random() % 3) * 300;
        const Duration delay = schedule.schedule(1, rate, earliest, latest, now, random);
        CHECK(delay >= Duration::zero());
        CHECK(delay <= latest);
        CHECK(delay <= seconds(15));
        if (latest > std::max(earliest, seconds(0.2)))
            CHECK(delay >= std::max(earliest, seconds(0.2)));
    }
}

// Guards against an overflow that returns in the last slot. An even spread over the 8 slots
// of the later half gives 125 in each.
TEST_CASE("callers that fit in no slot are spread before the latest time", "[returns]")
{
    ReturnSchedule schedule;
    std::mt19937_64 random(1);
    Returns returns;
    for (int i = 0; i < 1000; ++i)
        returns.add(at(0) + schedule.schedule(1, 10, seconds(0.5), seconds(4.5), at(0), random), 1);
    CHECK(returns.highest() <= 175);
}

// Guards against requests larger than a slot that are never scheduled, or only charged once.
TEST_CASE("a request larger than a slot is charged to the following slots", "[returns]")
{
    ReturnSchedule schedule;
    std::mt19937_64 random(1);
    std::vector<Duration> delays;
    for (int i = 0; i < 5; ++i)
        delays.push_back(schedule.schedule(200, 100, seconds(0.25), seconds(15), at(0), random));
    for (int i = 0; i < 5; ++i) {
        CHECK(delays[i] >= seconds(0.25 + 2 * i));
        CHECK(delays[i] < seconds(0.5 + 2 * i));
    }
    CHECK(schedule.pending(at(0)) == Approx(1000));
    CHECK(schedule.pending(at(0.5)) == Approx(800));
}

// Guards against small requests that keep large ones out, and against large ones charged too
// little.
TEST_CASE("requests of mixed sizes use the rate and stay within it", "[returns]")
{
    constexpr double Rate = 100;
    for (const double large : {30.0, 60.0, 200.0}) {
        CAPTURE(large);
        ReturnSchedule schedule;
        std::mt19937_64 random(1);
        std::map<Time, double> returns;
        for (double total = 0; total < 10 * Rate;) {
            const double work = random() % 2 == 0 ? large : 2;
            const Duration delay =
                schedule.schedule(work, Rate, seconds(0.25), seconds(15), at(0), random);
            returns[at(0) + delay] += work;
            total += work;
        }
        CHECK(returns.rbegin()->first < at(10.75));
        for (auto from = returns.begin(); from != returns.end(); ++from) {
            double sum = 0;
            for (auto to = from; to != returns.end(); ++to) {
                sum += to->second;
                const double span = std::chrono::duration<double>(to->first - from->first).count();
                CHECK(sum <= Rate * (span + 0.5) + large);
            }
        }
    }
}

// Guards against returns that keep their slots after a suspension, and against unbounded slots.
TEST_CASE("slots that have passed are dropped when time jumps forward", "[returns][failure]")
{
    ReturnSchedule schedule;
    std::mt19937_64 random(1);
    for (int i = 0; i < 100; ++i)
        schedule.schedule(1, 10, seconds(0.25), seconds(15), at(0), random);
    CHECK(schedule.pending(at(0)) == Approx(100));
    CHECK(schedule.pending(at(8)) < 80);
    for (const double jump : {10.0, 100.0, 1e6, 1e9}) {
        CHECK(schedule.pending(at(jump + 15)) == 0);
        CHECK(schedule.schedule(1, 10, seconds(0.25), seconds(15), at(jump + 15), random)
              < seconds(0.5));
        CHECK(schedule.pending(at(jump + 15)) == Approx(1));
    }
}

TEST_CASE("unusable arguments give a delay within bounds", "[returns][failure]")
{
    ReturnSchedule schedule({.minDelay = seconds(0.2), .maxDelay = seconds(2), .slot = {}});
    std::mt19937_64 random(1);
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinite = std::numeric_limits<double>::infinity();
    for (const double work : {nan, -1.0, 0.0, 1e300, infinite}) {
        for (const double rate : {nan, -1.0, 1e-300, 1e300, infinite}) {
            CAPTURE(work, rate);
            const Duration delay =
                schedule.schedule(work, rate, Duration::max(), Duration::max(), at(0), random);
            CHECK(delay >= Duration::zero());
            CHECK(delay <= seconds(2));
            CHECK(schedule.schedule(work, rate, seconds(1), seconds(-1), at(0), random)
                  == Duration::zero());
        }
    }
    CHECK(std::isfinite(schedule.pending(at(0))));
    CHECK(schedule.schedule(1, 10, seconds(0.2), seconds(2), at(5), random) < seconds(1));
}

// Guards against a slot that stays full because its sum is not a number.
TEST_CASE("infinite work does not make slots unusable", "[returns][failure]")
{
    ReturnSchedule schedule;
    std::mt19937_64 random(1);
    const double infinite = std::numeric_limits<double>::infinity();
    schedule.schedule(infinite, 10, seconds(0.25), seconds(15), at(0), random);
    schedule.schedule(-infinite, 10, seconds(0.25), seconds(15), at(0), random);
    CHECK(schedule.pending(at(0)) == 0);
    CHECK(schedule.schedule(1, 10, seconds(0.25), seconds(15), at(0), random) < seconds(0.5));
}
