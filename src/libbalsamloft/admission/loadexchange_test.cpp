// Sums of loads along a tree of instances, in virtual time.

#include <balsamloft/admission/capacityshares.h>
#include <balsamloft/admission/loadexchange.h>

#include <catch2/catch.hpp>

#include <cmath>

using namespace balsamloft;

namespace {

constexpr Duration Step {100'000};
constexpr Duration QueryInterval {1'000'000};
constexpr std::size_t FanOut = 8;

Time at(double seconds)
{
    return Time(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(seconds * 1e6));
}

LoadSummary loadOf(double demand)
{
    return {{{"model", demand, demand / 2, 1, 0, 0}}, 1};
}

double demandOf(const LoadSummary &report)
{
    const ServiceLoad *load = report.find("model");
    return load ? load->demand : 0;
}

/// Domains of instances that read from each other along trees. Each instance sends its load once a
/// second, at its own offset within the second.
class Tree
{
public:
    Tree(std::size_t domains, std::size_t perDomain)
        : m_perDomain(perDomain)
    {
        for (std::size_t i = 0; i < domains * perDomain; ++i) {
            m_nodes.emplace_back("domain" + std::to_string(i / perDomain));
            m_nodes.back().name = "instance" + std::to_string(i);
            m_nodes.back().shares.setInstances(domains * perDomain);
        }
    }

    std::size_t size() const { return m_nodes.size(); }
    Time now() const { return m_now; }
    void setDemand(std::size_t index, double demand) { m_nodes[index].demand = demand; }
    void setRunning(std::size_t index, bool running) { m_nodes[index].running = running; }
    /// Instances on different sides do not reach each other.
    void setSide(std::size_t index, int side) { m_nodes[index].side = side; }

    void run(double seconds)
    {
        for (long steps = std::lround(seconds * 10); steps > 0; --steps)
            step();
    }

    /// The longest path from a reader to an instance that reads from it.
    std::size_t depth() const
    {
        std::size_t depth = 0;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            std::size_t length = 0;
            for (std::size_t each = i; sourceOf(each); each = *sourceOf(each))
                ++length;
            depth = std::max(depth, length);
        }
        return depth;
    }

    /// Whether the instance \a index is the first one of its domain that it reaches.
    bool isReader(std::size_t index) const { return !sourceOf(index); }

    std::optional<FleetLoad> fleet(std::size_t index) const
    {
        return m_nodes[index].exchange.fleet(isReader(index), m_now);
    }

    AgedLoadSummary total(std::size_t index) const
    {
        return m_nodes[index].exchange.total(isReader(index), m_now);
    }

    double share(std::size_t index) const { return m_nodes[index].shares.share("model", m_now); }

    double sumOfShares() const
    {
        double sum = 0;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            sum += m_nodes[i].running ? share(i) : 0;
        return sum;
    }

    /// Whether each running instance knows a total of \a demand over \a instances.
    bool allKnow(double demand, std::size_t instances) const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!m_nodes[i].running)
                continue;
            const auto load = fleet(i);
            if (!load || load->total.instances != instances
                || std::abs(demandOf(load->total) - demand) > 1e-6)
                return false;
        }
        return true;
    }

private:
    struct Node
    {
        explicit Node(std::string domainName)
            : domain(std::move(domainName))
            , exchange(domain)
        {
        }

        std::string name;
        std::string domain;
        LoadExchange exchange;
        CapacityShares shares;
        double demand = 0;
        bool running = true;
        int side = 0;
    };

    bool reaches(std::size_t from, std::size_t to) const
    {
        return m_nodes[to].running && m_nodes[from].side == m_nodes[to].side;
    }

    /// Positions of the instances of the same domain that \a index reaches determine its source.
    std::optional<std::size_t> sourceOf(std::size_t index) const
    {
        std::vector<std::size_t> earlier;
        for (std::size_t i = index / m_perDomain * m_perDomain; i < index; ++i)
            if (reaches(index, i))
                earlier.push_back(i);
        if (earlier.empty())
            return std::nullopt;
        return earlier[(earlier.size() - 1) / FanOut];
    }

    void step()
    {
        m_now += Step;
        const auto slots = static_cast<std::size_t>(QueryInterval / Step);
        const auto slot = static_cast<std::size_t>(m_now.time_since_epoch() / Step) % slots;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!m_nodes[i].running || i * 7 % slots != slot)
                continue;
            m_nodes[i].exchange.setOwn(loadOf(m_nodes[i].demand), m_now);
            query(i);
            if (const auto load = fleet(i))
                m_nodes[i].shares.update(*load, m_now);
        }
    }

    void query(std::size_t index)
    {
        Node &node = m_nodes[index];
        if (const auto source = sourceOf(index)) {
            LoadExchange &other = m_nodes[*source].exchange;
            other.receiveSubtree(node.name, node.exchange.subtree(m_now), m_now);
            node.exchange.receiveTotal(other.total(isReader(*source), m_now), m_now);
            return;
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            Node &other = m_nodes[i];
            if (i == index || other.domain == node.domain || !reaches(index, i) || !isReader(i))
                continue;
            other.exchange.receiveDomain(node.domain, node.exchange.subtree(m_now), m_now);
            node.exchange.receiveDomain(other.domain, other.exchange.subtree(m_now), m_now);
        }
    }

    std::size_t m_perDomain;
    std::vector<Node> m_nodes;
    Time m_now = at(0);
};

void setUnevenDemand(Tree &tree, double factor = 1)
{
    for (std::size_t i = 0; i < tree.size(); ++i)
        tree.setDemand(i, factor * (i % 10 == 3 ? 500 : 10));
}

double totalDemand(const Tree &tree, double factor = 1)
{
    double sum = 0;
    for (std::size_t i = 0; i < tree.size(); ++i)
        sum += factor * (i % 10 == 3 ? 500 : 10);
    return sum;
}

} // namespace

TEST_CASE("loads of the same service are added up", "[loadexchange]")
{
    LoadSummary sum {{{"a", 1, 2, 3, 4, 5}}, 1};
    sum.add({{{"b", 1, 1, 1, 1, 1}, {"a", 10, 20, 30, 40, 50}}, 4});
    CHECK(sum.instances == 5);
    REQUIRE(sum.find("a"));
    CHECK(*sum.find("a") == ServiceLoad {"a", 11, 22, 33, 44, 55});
    REQUIRE(sum.find("b"));
    CHECK(*sum.find("b") == ServiceLoad {"b", 1, 1, 1, 1, 1});
    CHECK_FALSE(sum.find("c"));
}

TEST_CASE("the sum has the age of its oldest part", "[loadexchange]")
{
    LoadExchange reader("east");
    for (int second = 0; second <= 3; ++second)
        reader.setOwn(loadOf(1), at(second));
    reader.receiveSubtree("b", {loadOf(2), Duration(700'000)}, at(3));
    reader.receiveDomain("west", {loadOf(4), Duration(200'000)}, at(3));
    CHECK(reader.subtree(at(3)).age == Duration(700'000));
    CHECK(demandOf(reader.subtree(at(3)).report) == 3);
    const AgedLoadSummary total = reader.total(true, at(3.5));
    CHECK(total.age == Duration(1'200'000));
    CHECK(demandOf(total.report) == 7);
    CHECK(total.report.instances == 3);
}

// Failure: a second instance that considers itself reader of the domain is counted twice.
TEST_CASE("a sum over the own domain that comes from another instance is ignored", "[loadexchange]")
{
    LoadExchange reader("east");
    for (int second = 0; second <= 3; ++second)
        reader.setOwn(loadOf(1), at(second));
    reader.receiveDomain("east", {loadOf(4), {}}, at(3));
    CHECK(demandOf(reader.total(true, at(3)).report) == 1);
}

// Failure: a share computed with an own load that the total does not include yet is too large.
TEST_CASE("the own load is the one that the total includes", "[loadexchange]")
{
    LoadExchange follower("east");
    CHECK_FALSE(follower.fleet(false, at(0)));
    follower.setOwn(loadOf(1), at(0));
    follower.receiveTotal({loadOf(100), Duration(200'000)}, at(0.1));
    CHECK_FALSE(follower.fleet(false, at(0.1)));
    follower.setOwn(loadOf(30), at(1));
    follower.receiveTotal({loadOf(101), Duration(1'000'000)}, at(1.5));
    const auto load = follower.fleet(false, at(1.6));
    REQUIRE(load);
    CHECK(demandOf(load->own) == 1);
    CHECK(load->asOf == at(0.5));
    follower.receiveTotal({loadOf(130), Duration(1'000'000)}, at(2.5));
    REQUIRE(follower.fleet(false, at(2.5)));
    CHECK(demandOf(follower.fleet(false, at(2.5))->own) == 30);
}

TEST_CASE("the total converges within the depth of the tree", "[loadexchange]")
{
    const auto [domains, perDomain] = GENERATE(
        std::pair<std::size_t, std::size_t> {1, 1}, std::pair<std::size_t, std::size_t> {2, 3},
        std::pair<std::size_t, std::size_t> {4, 17}, std::pair<std::size_t, std::size_t> {5, 59});
    Tree tree(domains, perDomain);
    setUnevenDemand(tree);
    // Up the tree, to the other domains, and down again; readers wait for one report lifetime.
    const auto rounds = static_cast<double>(2 * tree.depth() + 1);
    tree.run(3 + rounds);
    CHECK(tree.allKnow(totalDemand(tree), tree.size()));
    setUnevenDemand(tree, 3);
    tree.run(1 + rounds);
    CHECK(tree.allKnow(totalDemand(tree, 3), tree.size()));
    tree.run(12);
    CHECK(tree.sumOfShares() == Approx(1).margin(1e-3));
}

// Failure: each instance counts its own additional demand before that of the others.
TEST_CASE("the shares sum to at most one during a threefold burst of all", "[loadexchange]")
{
    Tree tree(5, 59);
    setUnevenDemand(tree);
    tree.run(20);
    CHECK(tree.sumOfShares() == Approx(1).margin(1e-3));
    setUnevenDemand(tree, 3);
    for (int i = 0; i < 140; ++i) {
        tree.run(0.1);
        REQUIRE(tree.sumOfShares() < 1.05);
        REQUIRE(tree.sumOfShares() > 0.5);
    }
}

// Failure: the work of a dead instance reserves capacity that the others cannot use.
TEST_CASE("the load of a dead instance is dropped after the report lifetime", "[loadexchange]")
{
    Tree tree(1, 9);
    setUnevenDemand(tree);
    tree.run(6);
    REQUIRE(tree.allKnow(totalDemand(tree), 9));
    tree.setRunning(3, false);
    tree.run(1.5);
    CHECK(tree.allKnow(totalDemand(tree), 9));
    tree.run(4);
    CHECK(tree.allKnow(totalDemand(tree) - 500, 8));
}

// Failure: the shares of many dead instances remain unused.
TEST_CASE("the shares of half of the instances pass to the others", "[loadexchange]")
{
    const auto [domains, perDomain, time] =
        GENERATE(std::tuple<std::size_t, std::size_t, double> {4, 17, 5},
                 std::tuple<std::size_t, std::size_t, double> {5, 59, 7});
    Tree tree(domains, perDomain);
    setUnevenDemand(tree);
    tree.run(20);
    for (std::size_t i = 0; i < tree.size(); ++i)
        tree.setRunning(i, i * 2654435761U % 1000 >= 500);
    tree.run(time);
    CHECK(tree.sumOfShares() > 0.9);
    for (int i = 0; i < 100; ++i) {
        tree.run(0.1);
        REQUIRE(tree.sumOfShares() < 1.05);
    }
}

// Failure: a new reader distributes the sum over the few instances that it has heard of.
TEST_CASE("a new reader forwards the last total until its followers have reported",
          "[loadexchange]")
{
    Tree tree(3, 20);
    setUnevenDemand(tree);
    tree.run(12);
    REQUIRE(tree.allKnow(totalDemand(tree), 60));
    tree.setRunning(0, false);
    for (int i = 0; i < 80; ++i) {
        tree.run(0.1);
        for (std::size_t each = 1; each < 20; ++each)
            REQUIRE(demandOf(tree.total(each).report) > totalDemand(tree) * 0.9);
        REQUIRE(tree.sumOfShares() < 1.1);
    }
    tree.run(4);
    CHECK(tree.allKnow(totalDemand(tree) - 10, 59));
}

// Failure: instances whose source died remain without a total.
TEST_CASE("followers of a dead source are counted by another one", "[loadexchange]")
{
    Tree tree(1, 59);
    setUnevenDemand(tree);
    tree.run(12);
    tree.setRunning(2, false);
    tree.run(12);
    CHECK(tree.allKnow(totalDemand(tree) - 10, 58));
    CHECK(tree.sumOfShares() == Approx(1).margin(0.01));
}

// Failure: a side of a partition shares the capacity with instances that it cannot reach.
TEST_CASE("each side of a partition sums up its own instances", "[loadexchange]")
{
    Tree tree(4, 17);
    setUnevenDemand(tree);
    tree.run(12);
    double left = 0;
    for (std::size_t i = 0; i < tree.size(); ++i) {
        tree.setSide(i, i < tree.size() / 2 ? 0 : 1);
        if (i < tree.size() / 2)
            left += i % 10 == 3 ? 500 : 10;
    }
    tree.run(8);
    for (std::size_t i = 0; i < tree.size(); ++i) {
        const double expected = i < tree.size() / 2 ? left : totalDemand(tree) - left;
        REQUIRE(demandOf(tree.fleet(i)->total) == Approx(expected));
        REQUIRE(tree.fleet(i)->total.instances == 34);
    }
    for (std::size_t i = 0; i < tree.size(); ++i)
        tree.setSide(i, 0);
    tree.run(12);
    CHECK(tree.allKnow(totalDemand(tree), tree.size()));
}

// Failure: in a partition through a domain, one half has no reader.
TEST_CASE("each half of a divided domain has a reader", "[loadexchange]")
{
    Tree tree(1, 40);
    setUnevenDemand(tree);
    tree.run(12);
    for (std::size_t i = 0; i < tree.size(); ++i)
        tree.setSide(i, static_cast<int>(i % 2));
    tree.run(14);
    for (std::size_t i = 0; i < tree.size(); ++i) {
        REQUIRE(demandOf(tree.fleet(i)->total) == (i % 2 ? 4 * 500 + 16 * 10 : 200));
        REQUIRE(tree.fleet(i)->total.instances == 20);
    }
}

// Failure: an isolated instance claims the capacity of all.
TEST_CASE("an isolated instance moves to an equal share", "[loadexchange]")
{
    Tree tree(2, 10);
    setUnevenDemand(tree);
    tree.run(12);
    REQUIRE(tree.share(3) > 0.3);
    tree.setSide(3, 1);
    double before = tree.share(3);
    for (int i = 0; i < 150; ++i) {
        tree.run(0.1);
        REQUIRE(tree.share(3) <= before + 0.01);
        before = tree.share(3);
    }
    CHECK(tree.share(3) == Approx(1.0 / 20));
}

// Failure: a process that was suspended continues with its earlier share, or as a reader
// distributes the sum over itself.
TEST_CASE("a suspended instance resumes with an equal share", "[loadexchange]")
{
    const std::size_t index = GENERATE(0, 3);
    Tree tree(1, 20);
    setUnevenDemand(tree);
    tree.setDemand(0, 500);
    tree.run(12);
    tree.setRunning(index, false);
    tree.run(20);
    tree.setRunning(index, true);
    CHECK(tree.share(index) == Approx(1.0 / 20));
    for (int i = 0; i < 50; ++i) {
        tree.run(0.1);
        REQUIRE(tree.sumOfShares() < 1.6);
    }
    tree.run(12);
    CHECK(tree.allKnow(totalDemand(tree) + 490, 20));
}

// Failure: a new instance without demand gets nothing, or all.
TEST_CASE("a new instance starts with an equal share", "[loadexchange]")
{
    Tree tree(1, 10);
    setUnevenDemand(tree);
    tree.setRunning(9, false);
    tree.run(12);
    tree.setRunning(9, true);
    CHECK(tree.share(9) == Approx(0.1));
    tree.run(0.1);
    CHECK(tree.share(9) == Approx(0.1));
    tree.run(12);
    CHECK(tree.share(9) == Approx(0.9 * 10 / 590 + 0.01).margin(1e-3));
}

TEST_CASE("a load that is no longer received is not used", "[loadexchange]")
{
    LoadExchange follower("east");
    follower.setOwn(loadOf(1), at(0));
    follower.receiveTotal({loadOf(100), {}}, at(0));
    CHECK(follower.fleet(false, at(3)));
    CHECK_FALSE(follower.fleet(false, at(3.1)));
    CHECK(follower.total(false, at(4)).age == Duration(4'000'000));
}
