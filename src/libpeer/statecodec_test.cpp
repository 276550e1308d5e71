#include "statecodec.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace balsamloft;

namespace {

InstanceState decoded(const InstanceState &state)
{
    const auto details = decodeQuery(encodeQuery(7, state));
    REQUIRE(details);
    CHECK(details->era == 7);
    return details->sender;
}

InstanceState stateWith(LoadSummary report, Duration age = Duration(1'500'000))
{
    InstanceState state;
    state.name = "a";
    state.load = AgedLoadSummary {std::move(report), age};
    return state;
}

} // namespace

TEST_CASE("a decoded load equals the encoded one")
{
    const LoadSummary report {{{"chat", 1200.5, 300, 4.25, 0.5, 0.125}, {"mail", 0, 2, 0, 0, 0}},
                              9};
    InstanceState sent = stateWith(report);
    sent.loadDomain = "east";
    const InstanceState received = decoded(sent);
    REQUIRE(received.load);
    CHECK(received.name == "a");
    CHECK(received.load->report == report);
    CHECK(received.load->age == sent.load->age);
    CHECK(received.loadDomain == "east");
}

// Guards against a state of an older release being taken for one without demand.
TEST_CASE("a state without a load is decoded as such")
{
    InstanceState state;
    state.name = "a";
    state.configuration = 3;
    const InstanceState received = decoded(state);
    CHECK_FALSE(received.load);
    CHECK(received.loadDomain.empty());
    CHECK(received.configuration == 3);
}

TEST_CASE("an instance without demand is counted")
{
    const InstanceState received = decoded(stateWith({{{"chat", 0, 0, 1, 0, 0}}, 1}));
    REQUIRE(received.load);
    CHECK(received.load->report == LoadSummary {{}, 1});
}

// Guards against a damaged report that makes the sums of all instances unusable.
TEST_CASE("loads with unreasonable values are dropped")
{
    const double value = GENERATE(-1.0, std::numeric_limits<double>::quiet_NaN(),
                                  std::numeric_limits<double>::infinity(), 1e30);
    const auto member = GENERATE(&ServiceLoad::demand, &ServiceLoad::inFlight, &ServiceLoad::onTime,
                                 &ServiceLoad::late, &ServiceLoad::rejected);
    const ServiceLoad valid {"mail", 1, 2, 3, 4, 5};
    ServiceLoad damaged {"chat", 1, 1, 1, 1, 1};
    damaged.*member = value;
    const InstanceState received = decoded(stateWith({{damaged, valid}, 2}));
    REQUIRE(received.load);
    CHECK(received.load->report == LoadSummary {{valid}, 2});
}

// Guards against sums that divide by no instance, or have times that cannot be represented.
TEST_CASE("a load of no instance or of an excessive age is dropped")
{
    wire::InstanceState message;
    wire::LoadNews &load = *message.mutable_load();
    load.set_instances(1);
    CHECK(decodeState(message).load);
    load.set_age_ms(std::numeric_limits<std::uint64_t>::max());
    CHECK_FALSE(decodeState(message).load);
    load.set_age_ms(0);
    load.set_instances(0);
    CHECK_FALSE(decodeState(message).load);
    load.set_instances(std::numeric_limits<std::uint32_t>::max());
    CHECK_FALSE(decodeState(message).load);
}

// Guards against a fleet of the largest size exceeding the bandwidth of a small instance.
TEST_CASE("a load of 32 services takes less than a kilobyte more than their names")
{
    LoadSummary report {{}, 340};
    for (int i = 0; i < 32; ++i)
        report.services.push_back({"m" + std::to_string(10 + i), 12345.5, 678.5, 3, 2, 1});
    InstanceState empty;
    const std::size_t size =
        encodeQuery(7, stateWith(report)).size() - encodeQuery(7, empty).size();
    CHECK(size <= 32 * (29 + 3) + 20);
}
