// Division of the capacity of a service among instances.

#include <balsamloft/admission/capacityshares.h>

#include <catch2/catch.hpp>

#include <numeric>
#include <random>

using namespace balsamloft;

namespace {

Time at(double seconds)
{
    return Time(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(seconds * 1e6));
}

LoadSummary loadOf(double demand, std::uint32_t instances = 1)
{
    return {{{"model", demand, 0, 0, 0, 0}}, instances};
}

/// Instances that receive the same totals.
class Instances
{
public:
    explicit Instances(std::vector<double> demands)
        : m_demands(std::move(demands))
        , m_shares(m_demands.size())
    {
        for (CapacityShares &each : m_shares)
            each.setInstances(m_shares.size());
    }

    std::vector<double> &demands() { return m_demands; }

    void update(Time now, Duration age = {})
    {
        const double sum = std::accumulate(m_demands.begin(), m_demands.end(), 0.0);
        for (std::size_t i = 0; i < m_shares.size(); ++i)
            m_shares[i].update({loadOf(sum, static_cast<std::uint32_t>(m_shares.size())),
                                loadOf(m_demands[i]), now - age},
                               now);
    }

    double share(std::size_t index, Time now) const { return m_shares[index].share("model", now); }

    double sumOfShares(Time now) const
    {
        double sum = 0;
        for (const CapacityShares &each : m_shares)
            sum += each.share("model", now);
        return sum;
    }

private:
    std::vector<double> m_demands;
    std::vector<CapacityShares> m_shares;
};

std::vector<double> unevenDemands(std::size_t count)
{
    std::mt19937_64 random(7);
    std::vector<double> demands;
    for (std::size_t i = 0; i < count; ++i)
        demands.push_back(std::pow(10.0, std::uniform_real_distribution<>(-3, 5)(random)));
    demands.front() = 0;
    return demands;
}

} // namespace

TEST_CASE("shares follow the demand and sum to one", "[capacityshares]")
{
    const std::size_t count = GENERATE(1, 2, 6, 68, 295);
    Instances instances(unevenDemands(count));
    for (int second = 0; second < 5; ++second) {
        instances.update(at(second));
        CHECK(instances.sumOfShares(at(second)) == Approx(1));
    }
    const double sum = std::accumulate(instances.demands().begin(), instances.demands().end(), 0.0);
    for (std::size_t i = 0; i < count; ++i) {
        const double equal = 1 / static_cast<double>(count);
        const double expected = sum > 0 ? 0.9 * instances.demands()[i] / sum + 0.1 * equal : equal;
        CHECK(instances.share(i, at(4)) == Approx(expected));
        CHECK(instances.share(i, at(4)) > 0);
        CHECK(instances.share(i, at(4)) <= 1);
    }
}

// Failure: instances whose demand rises most take more than the capacity.
TEST_CASE("shares sum to one during a threefold burst of all", "[capacityshares]")
{
    Instances instances(unevenDemands(68));
    double second = 0;
    const auto run = [&](int steps) {
        for (int i = 0; i < steps; ++i, second += 0.5) {
            instances.update(at(second), Duration(900'000));
            REQUIRE(instances.sumOfShares(at(second)) == Approx(1));
        }
    };
    run(20);
    const double before = instances.share(5, at(second));
    for (double &each : instances.demands())
        each *= 3;
    run(28);
    CHECK(instances.share(5, at(second)) == Approx(before));
    for (double &each : instances.demands())
        each /= 3;
    run(10);
}

// Failure: callers that move from one instance to another leave their capacity behind.
TEST_CASE("shares follow callers that move", "[capacityshares]")
{
    Instances instances({100, 0});
    instances.update(at(0));
    CHECK(instances.share(0, at(0)) == Approx(0.95));
    instances.demands() = {0, 100};
    for (int i = 1; i <= 12; ++i) {
        instances.update(at(0.5 * i));
        CHECK(instances.sumOfShares(at(0.5 * i)) == Approx(1));
    }
    CHECK(instances.share(1, at(6)) > 0.9);
}

// Failure: shares of an outdated total are used without limit.
TEST_CASE("shares become equal as the total ages", "[capacityshares]")
{
    Instances instances({100, 300, 0, 0});
    instances.update(at(0));
    CHECK(instances.share(1, at(6)) == Approx(0.9 * 0.75 + 0.025));
    double before = instances.share(1, at(6));
    for (double second = 6.5; second <= 11; second += 0.5) {
        CHECK(instances.share(1, at(second)) < before);
        CHECK(instances.sumOfShares(at(second)) == Approx(1));
        before = instances.share(1, at(second));
    }
    CHECK(instances.share(1, at(8.5)) == Approx(0.45 * 0.75 + 0.55 * 0.25));
    CHECK(instances.share(1, at(11)) == Approx(0.25));
    CHECK(instances.share(1, at(1000)) == Approx(0.25));
}

// Failure: the demand of dead instances reserves capacity while the averages fall.
TEST_CASE("demand of instances that died does not count on", "[capacityshares]")
{
    CapacityShares shares;
    shares.setInstances(10);
    shares.update({loadOf(1000, 10), loadOf(100), at(0)}, at(0));
    CHECK(shares.share("model", at(0)) == Approx(0.09 + 0.01));
    shares.update({loadOf(500, 5), loadOf(100), at(0.5)}, at(0.5));
    CHECK(shares.share("model", at(0.5)) == Approx(0.18 + 0.01));
}

// Failure: after a pause, the average still contains the demand from before it.
TEST_CASE("after a pause the shares follow only the new total", "[capacityshares]")
{
    Instances instances({100, 300});
    instances.update(at(0));
    instances.demands() = {300, 100};
    instances.update(at(11.5));
    CHECK(instances.share(0, at(11.5)) == Approx(0.9 * 0.75 + 0.05));
}

// Failure: an isolated instance claims the capacity of all.
TEST_CASE("a total of a single instance is not used if there are others", "[capacityshares]")
{
    CapacityShares shares;
    shares.setInstances(5);
    shares.update({loadOf(100, 1), loadOf(100), at(0)}, at(0));
    CHECK(shares.share("model", at(0)) == Approx(0.2));
    shares.setInstances(1);
    shares.update({loadOf(100, 1), loadOf(100), at(1)}, at(1));
    CHECK(shares.share("model", at(1)) == Approx(1));
}

TEST_CASE("a service without demand is divided equally", "[capacityshares]")
{
    CapacityShares shares;
    CHECK(shares.share("model", at(0)) == 1);
    shares.setInstances(0);
    CHECK(shares.share("model", at(0)) == 1);
    shares.setInstances(4);
    CHECK(shares.share("model", at(0)) == 0.25);
    shares.update({loadOf(0, 4), loadOf(0), at(0)}, at(0));
    CHECK(shares.share("model", at(0)) == 0.25);
    shares.update({loadOf(10, 4), loadOf(10), at(1)}, at(1));
    CHECK(shares.share("model", at(1)) == Approx(0.925));
    CHECK(shares.share("other", at(1)) == 0.25);
}

// Failure: parts of a total that were measured at different times make a share larger than one.
TEST_CASE("a share is at most one", "[capacityshares]")
{
    CapacityShares shares;
    shares.setInstances(2);
    shares.update({loadOf(10, 2), loadOf(50), at(0)}, at(0));
    CHECK(shares.share("model", at(0)) == Approx(0.95));
}
