// Requests that reach endpoints with a rate limit, from 6, 76 and 295 instances, in virtual
// time.

#include "../fakes/relayharness.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace balsamloft;
using namespace balsamloft::fakes;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Step {20'000};
constexpr Duration LimitPropagationTime {3'000'000}; ///< until a limit has reached all instances
constexpr Duration Window {4'000'000}; ///< time span in which requests are counted
constexpr Duration LimitGracePeriod {500'000}; ///< time after a limit arrives that is not counted

struct LimitSimulationSettings
{
    std::size_t instances = 6;
    std::size_t domains = 3;
    std::size_t endpoints = 5;
    std::size_t limitedEndpoints = 1; ///< the first ones, which announce a limit
    double requestsPerSecond = 120; ///< of all callers
    RequestKind kind = RequestKind::Safe;
    Duration clockError {}; ///< maximum error of an instance's clock
    std::uint64_t seed = 1;
};

/// Instances that share plain endpoints, each of which answers after 100 ms.
class LimitSimulation
{
public:
    explicit LimitSimulation(const LimitSimulationSettings &settings);

    /// Sets the limit of the first endpoint; no value: it announces no limit.
    void setLimit(std::optional<double> limit);
    void setRate(double requestsPerSecond) { m_rate = requestsPerSecond; }

    /// Sends this share of the requests to the first instance, besides its even share of the rest.
    void setSkew(double share) { m_skew = share; }
    void run(Duration length);

    /// Crashes the instance. It stays in the list of instances for \a listDelay.
    void crash(std::size_t instance, Duration listDelay);

    /// Starts a crashed instance again. It has the list of instances at once; the lists of the
    /// others include it after \a listDelay.
    void start(std::size_t instance, Duration listDelay);

    /// Stops the updates of the list of instances in the domain number \a domain.
    void partition(std::size_t domain) { m_partitionedDomain = "d" + std::to_string(domain); }

    Time now() const { return m_now; }
    std::size_t size() const { return m_harnesses.size(); }

    /// Requests that reached the first endpoint in the last \a length, from instances that
    /// had received a limit at least LimitGracePeriod earlier.
    std::size_t arrivedAfterGracePeriod(Duration length) const;
    std::size_t arrived(Duration length) const;

    std::size_t submitted = 0;
    std::size_t refused = 0;

private:
    struct Arrival
    {
        Time at {};
        bool afterGracePeriod = false;
    };
    struct Call
    {
        std::size_t instance = 0;
        FlightId flight = 0;
        std::uint32_t attempt = 0;
        std::string endpoint;
        Time answerAt {};
    };

    void submitRequest();
    void step();
    void collect(std::size_t instance);
    void answer(const Call &call);
    void updateLists();
    void sendList(std::size_t instance);

    std::vector<std::unique_ptr<RelayHarness>> m_harnesses;
    std::vector<std::optional<Time>> m_crashedAt;
    std::vector<std::optional<Time>> m_limitReceivedAt;
    std::vector<PeerInstance> m_instances;
    std::vector<Duration> m_clocks;
    struct ListChange
    {
        Time at {};
        std::size_t instance = 0;
        bool listed = false;
    };
    std::vector<ListChange> m_pendingListChanges; ///< future changes of the list
    std::vector<bool> m_listed;
    std::string m_partitionedDomain;
    std::deque<Call> m_calls;
    std::vector<Arrival> m_arrivals;
    std::optional<double> m_limit;
    RequestKind m_kind;
    double m_rate;
    double m_skew = 0;
    std::size_t m_limitedEndpoints;
    double m_due = 0;
    std::mt19937_64 m_random;
    Time m_now {std::chrono::hours(1)};
};

std::string domainOf(std::size_t index, std::size_t domains)
{
    return "d" + std::to_string(index % domains);
}

LimitSimulation::LimitSimulation(const LimitSimulationSettings &settings)
    : m_crashedAt(settings.instances)
    , m_limitReceivedAt(settings.instances)
    , m_listed(settings.instances, true)
    , m_kind(settings.kind)
    , m_rate(settings.requestsPerSecond)
    , m_limitedEndpoints(settings.limitedEndpoints)
    , m_random(settings.seed)
{
    std::vector<RelayEngine> endpoints;
    const bool layered = settings.kind == RequestKind::Stream;
    for (std::size_t i = 0; i < settings.endpoints; ++i)
        endpoints.push_back({"e" + std::to_string(i), layered ? LayerRange {0, 8} : LayerRange {},
                             domainOf(i, settings.domains)});
    for (std::size_t i = 0; i < settings.instances; ++i) {
        RelaySettings relay = RelayHarness::defaults();
        relay.domain = domainOf(i, settings.domains);
        relay.seed = settings.seed * 1000 + i;
        m_harnesses.push_back(std::make_unique<RelayHarness>(endpoints, relay));
        m_instances.push_back({"n" + std::to_string(1000 + i), relay.domain, "10.0.0.1:1"});
        m_clocks.push_back(settings.clockError > Duration {}
                               ? Duration(m_random() % settings.clockError.count())
                               : Duration {});
    }
    updateLists();
}

/// Sends the list of instances to all running instances outside the partitioned domain.
void LimitSimulation::updateLists()
{
    for (std::size_t i = 0; i < m_harnesses.size(); ++i)
        if (!m_crashedAt[i] && m_instances[i].domain != m_partitionedDomain)
            sendList(i);
}

void LimitSimulation::sendList(std::size_t instance)
{
    std::vector<PeerInstance> listed;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        if (m_listed[i] || i == instance)
            listed.push_back(m_instances[i]);
    m_harnesses[instance]->setInstances(listed, m_instances[instance].name, m_clocks[instance]);
}

void LimitSimulation::setLimit(std::optional<double> limit)
{
    m_limit = limit;
}

void LimitSimulation::crash(std::size_t instance, Duration listDelay)
{
    m_crashedAt[instance] = m_now;
    m_pendingListChanges.push_back({m_now + listDelay, instance, false});
}

void LimitSimulation::start(std::size_t instance, Duration listDelay)
{
    m_crashedAt[instance].reset();
    m_limitReceivedAt[instance].reset();
    m_pendingListChanges.push_back({m_now + listDelay, instance, true});
    sendList(instance);
}

void LimitSimulation::run(Duration length)
{
    for (const Time end = m_now + length; m_now < end; m_now += Step)
        step();
}

void LimitSimulation::step()
{
    const auto due = [this](const ListChange &each) { return m_now >= each.at; };
    for (const ListChange &each : m_pendingListChanges)
        if (due(each))
            m_listed[each.instance] = each.listed;
    if (std::erase_if(m_pendingListChanges, due) > 0)
        updateLists();
    while (!m_calls.empty() && m_calls.front().answerAt <= m_now) {
        const Call call = m_calls.front();
        m_calls.pop_front();
        answer(call);
    }
    std::poisson_distribution<int> arrivals(m_rate * std::chrono::duration<double>(Step).count());
    for (int left = arrivals(m_random); left > 0; --left)
        submitRequest();
    for (std::size_t i = 0; i < m_harnesses.size(); ++i) {
        m_harnesses[i]->advance(Step, Step);
        collect(i);
    }
}

void LimitSimulation::submitRequest()
{
    std::size_t instance = m_random() % m_harnesses.size();
    if (m_skew > 0 && std::bernoulli_distribution(m_skew)(m_random))
        instance = 0;
    if (m_crashedAt[instance])
        return;
    submitted += 1;
    m_harnesses[instance]->submit(m_kind, seconds(4));
    collect(instance);
}

void LimitSimulation::collect(std::size_t instance)
{
    RelayActions actions = std::exchange(m_harnesses[instance]->actions, {});
    for (const RelayAction &action : actions) {
        if (const auto *send = std::get_if<SendRequest>(&action)) {
            if (m_crashedAt[instance])
                continue;
            const auto &receivedAt = m_limitReceivedAt[instance];
            if (send->endpoint == "e0")
                m_arrivals.push_back(
                    {m_now, receivedAt && m_now - *receivedAt >= LimitGracePeriod});
            m_calls.push_back(
                {instance, send->flight, send->attempt, send->endpoint, m_now + milliseconds(100)});
        } else if (std::holds_alternative<FinishFlight>(action)) {
            refused += 1;
        }
    }
}

void LimitSimulation::answer(const Call &call)
{
    if (m_crashedAt[call.instance])
        return;
    RelayHarness &harness = *m_harnesses[call.instance];
    AnswerHead head;
    head.status = 200;
    head.provenExecuted = true;
    if (std::stoul(call.endpoint.substr(1)) < m_limitedEndpoints) {
        head.rateLimit = m_limit;
        if (m_limit && call.endpoint == "e0" && !m_limitReceivedAt[call.instance])
            m_limitReceivedAt[call.instance] = m_now;
    }
    if (harness.relay.answered(call.flight, call.attempt, head, harness.now, harness.actions))
        harness.relay.streamCompleted(call.flight, call.attempt, harness.now, harness.actions);
    collect(call.instance);
}

std::size_t LimitSimulation::arrivedAfterGracePeriod(Duration length) const
{
    return static_cast<std::size_t>(
        std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const Arrival &each) {
            return each.afterGracePeriod && each.at > m_now - length;
        }));
}

std::size_t LimitSimulation::arrived(Duration length) const
{
    return static_cast<std::size_t>(
        std::count_if(m_arrivals.begin(), m_arrivals.end(),
                      [&](const Arrival &each) { return each.at > m_now - length; }));
}

/// Largest number of requests in a Window that the tests accept.
double maxAllowed(double limit)
{
    return 1.5 * limit * std::chrono::duration<double>(Window).count() + 5;
}

/// Runs for \a length and returns the maximum of arrivedAfterGracePeriod(Window).
std::size_t maxArrived(LimitSimulation &simulation, Duration length)
{
    std::size_t maximum = 0;
    for (const Time end = simulation.now() + length; simulation.now() < end;) {
        simulation.run(Step * 5);
        maximum = std::max(maximum, simulation.arrivedAfterGracePeriod(Window));
    }
    return maximum;
}

} // namespace

// Guards against a limit that is ignored or that each instance uses in full.
TEST_CASE("an endpoint gets no more requests from all instances than its limit allows")
{
    for (const std::size_t instances : {6U, 76U, 295U})
        for (const double limit : {0.5, 6.8, 30.0})
            for (const RequestKind kind : {RequestKind::Safe, RequestKind::Stream}) {
                LimitSimulationSettings settings;
                settings.instances = instances;
                settings.kind = kind;
                settings.requestsPerSecond = std::max(120.0, limit * 8);
                LimitSimulation simulation(settings);
                simulation.run(seconds(2));
                simulation.setLimit(limit);
                simulation.run(LimitPropagationTime);
                CAPTURE(instances, limit, kind);
                CHECK(static_cast<double>(maxArrived(simulation, seconds(20)))
                      <= maxAllowed(limit));
            }
}

// Guards against slots that accumulate during low traffic and are then used at once.
TEST_CASE("a burst after low traffic stays within the limit")
{
    for (const std::size_t instances : {6U, 76U, 295U}) {
        LimitSimulationSettings settings;
        settings.instances = instances;
        LimitSimulation simulation(settings);
        simulation.setLimit(6.8);
        simulation.run(seconds(4));
        for (int burst = 0; burst < 3; ++burst) {
            simulation.setRate(2);
            simulation.run(seconds(8));
            simulation.setRate(1'000);
            CAPTURE(instances, burst);
            CHECK(static_cast<double>(maxArrived(simulation, seconds(6))) <= maxAllowed(6.8));
        }
    }
}

// Guards against slots assigned to two instances while instances crash, lists of instances
// differ and clocks deviate.
TEST_CASE("the limit holds while half of the instances crash")
{
    for (const std::size_t instances : {6U, 76U, 295U})
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            LimitSimulationSettings settings;
            settings.instances = instances;
            settings.clockError = milliseconds(300);
            settings.seed = seed;
            LimitSimulation simulation(settings);
            simulation.setLimit(6.8);
            simulation.run(seconds(4));
            std::size_t maximum = 0;
            for (std::size_t crashed = 0; crashed < instances / 2; ++crashed) {
                simulation.crash(crashed * 2, seconds(2));
                maximum = std::max(maximum, maxArrived(simulation, seconds(40) / instances));
            }
            CAPTURE(instances, seed);
            CHECK(static_cast<double>(maximum) <= maxAllowed(6.8));
        }
}

// Guards against shares that stay too large when instances are added, or in a domain that gets no
// updates.
TEST_CASE("the limit holds while instances are added and a domain is partitioned")
{
    for (const std::size_t instances : {6U, 76U, 295U})
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            LimitSimulationSettings settings;
            settings.instances = instances;
            settings.clockError = milliseconds(300);
            settings.seed = seed;
            LimitSimulation simulation(settings);
            for (std::size_t i = 1; i < instances; i += 2)
                simulation.crash(i, {});
            simulation.run(seconds(1));
            simulation.setLimit(6.8);
            simulation.run(seconds(4));
            simulation.partition(seed % settings.domains);
            std::size_t maximum = 0;
            for (std::size_t i = 1; i < instances; i += 2) {
                simulation.start(i, seconds(2));
                maximum = std::max(maximum, maxArrived(simulation, seconds(60) / instances));
            }
            maximum = std::max(maximum, maxArrived(simulation, seconds(10)));
            CAPTURE(instances, seed);
            CHECK(static_cast<double>(maximum) <= maxAllowed(6.8));
        }
}

// Guards against an instance that still uses an earlier limit.
TEST_CASE("a lowered or removed limit takes effect soon after")
{
    for (const std::size_t instances : {6U, 76U, 295U}) {
        LimitSimulationSettings settings;
        settings.instances = instances;
        settings.requestsPerSecond = 300;
        LimitSimulation simulation(settings);
        simulation.setLimit(40);
        simulation.run(seconds(6));
        simulation.setLimit(5);
        simulation.run(LimitPropagationTime + Window);
        CAPTURE(instances);
        CHECK(static_cast<double>(maxArrived(simulation, seconds(10))) <= maxAllowed(5));
        simulation.setLimit(std::nullopt);
        simulation.run(seconds(1'000));
        CHECK(simulation.arrived(seconds(10)) > 300);
    }
}

// Guards against requests refused because of one endpoint's limit while others are available.
TEST_CASE("no caller is refused while endpoints without a limit can serve it")
{
    for (const std::size_t instances : {6U, 76U, 295U})
        for (const RequestKind kind : {RequestKind::Unsafe, RequestKind::Stream}) {
            LimitSimulationSettings settings;
            settings.instances = instances;
            settings.kind = kind;
            LimitSimulation simulation(settings);
            simulation.setLimit(1);
            simulation.run(seconds(30));
            CAPTURE(instances, kind);
            CHECK(simulation.refused == 0);
        }
}

// Guards against shares so small that a limited endpoint stays idle.
TEST_CASE("six instances use more than 70 % of a limit")
{
    LimitSimulationSettings settings;
    settings.requestsPerSecond = 200;
    LimitSimulation simulation(settings);
    simulation.setLimit(10);
    simulation.run(seconds(5));
    simulation.run(seconds(20));
    CHECK(simulation.arrived(seconds(20)) > 0.7 * 10 * 20);
}

// Guards against a limit on requests that also excludes an engine from later stages of paths.
TEST_CASE("an engine with a rate limit still serves later stages of paths")
{
    RelayHarness harness({{"first", {0, 4}}, {"limited", {0, 8}}, {"last", {4, 8}, "far"}});
    harness.setInstances({{"n1", "near", "10.0.0.1:1"}, {"n2", "near", "10.0.0.1:2"}}, "n1");
    std::size_t laterStages = 0;
    for (int request = 0; request < 40; ++request) {
        const FlightId flight = harness.submit(RequestKind::Stream);
        harness.advance(milliseconds(20));
        const SendRequest send = harness.sends(flight).front();
        AnswerHead head;
        head.status = 200;
        head.provenExecuted = true;
        if (send.endpoint == "limited")
            head.rateLimit = 0.1;
        harness.relay.answered(flight, send.attempt, head, harness.now, harness.actions);
        harness.completeStream(flight);
        laterStages += send.path.size() > 1 && send.path.back().endpoint == "limited" ? 1 : 0;
    }
    CHECK(laterStages > 20);
}

// Guards against a request that waits for a slot later than its deadline.
TEST_CASE("requests that only a limited endpoint could serve are refused in time")
{
    LimitSimulationSettings settings;
    settings.endpoints = 1;
    LimitSimulation simulation(settings);
    simulation.setLimit(2);
    simulation.run(seconds(10));
    CHECK(simulation.refused > 0);
    CHECK(simulation.refused + simulation.arrived(seconds(10)) > simulation.submitted * 9 / 10);
}

// Guards against counting endpoints of other services that are at their limit.
TEST_CASE("rateLimitSkips counts endpoints of the request's own service only")
{
    RelayHarness harness({{"engine", {0, 8}}, {"call", {}}});
    harness.setInstances({{"n1", "near", "10.0.0.1:1"}, {"n2", "near", "10.0.0.1:2"}}, "n1");
    const FlightId call = harness.submit(RequestKind::Unsafe);
    AnswerHead head;
    head.status = 200;
    head.provenExecuted = true;
    head.rateLimit = 0.1;
    harness.relay.answered(call, harness.sends(call).front().attempt, head, harness.now,
                           harness.actions);
    harness.submit(RequestKind::Stream);
    CHECK(harness.relay.counts().rateLimitSkips == 0);
    harness.submit(RequestKind::Unsafe);
    CHECK(harness.relay.counts().rateLimitSkips == 1);
}

// Guards against shares of a limit that assume as many callers at each instance.
TEST_CASE("callers that are mostly at one instance are served while endpoints announce limits")
{
    constexpr double MinServed = 0.75; // of before
    for (const std::size_t instances : {6U, 76U, 295U}) {
        LimitSimulationSettings settings;
        settings.instances = instances;
        settings.endpoints = settings.limitedEndpoints = 3;
        settings.requestsPerSecond = 200;
        LimitSimulation simulation(settings);
        simulation.setLimit(80);
        simulation.run(LimitPropagationTime * 2);
        const auto servedShare = [&](Duration length) {
            const std::size_t submitted = simulation.submitted;
            const std::size_t refused = simulation.refused;
            simulation.run(length);
            return 1
                   - static_cast<double>(simulation.refused - refused)
                         / static_cast<double>(simulation.submitted - submitted);
        };
        const double before = servedShare(seconds(5));
        simulation.setSkew(5.0 / 6);
        simulation.run(LimitPropagationTime);
        const double skewed = servedShare(seconds(10));
        CAPTURE(instances, before, skewed);
        CHECK(skewed >= MinServed * before);
        CHECK(static_cast<double>(maxArrived(simulation, seconds(5))) <= maxAllowed(80));
    }
}
