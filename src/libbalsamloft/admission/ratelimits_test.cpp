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
constexpr Duration TotalInterval {250'000}; ///< between totals of the demand
constexpr Duration TotalDelay {1'000'000}; ///< until a total reaches an instance
constexpr Duration ReportLifetime {3'000'000}; ///< of the demand of an instance in totals

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
    /// Whether the instances exchange their demand. Totals reach them after TotalDelay plus an own
    /// delay of at most \a totalDelaySpread.
    bool exchangeDemand = false;
    Duration totalDelaySpread {};
};

/// Instances that share plain endpoints, each of which answers after 100 ms.
class LimitSimulation
{
public:
    explicit LimitSimulation(const LimitSimulationSettings &settings);

    /// Sets the limit of the first endpoint; no value: it announces no limit.
    void setLimit(std::optional<double> limit);
    void setRate(double requestsPerSecond) { m_rate = requestsPerSecond; }

    /// Sends this share of the requests to the instance, besides its even share of the rest.
    void setSkew(double share, std::size_t instance = 0)
    {
        m_skew = share;
        m_skewedInstance = instance;
    }
    void run(Duration length);

    /// Crashes the instance. It stays in the list of instances for \a listDelay.
    void crash(std::size_t instance, Duration listDelay);

    /// Starts a crashed instance again. It has the list of instances at once; the lists of the
    /// others include it after \a listDelay.
    void start(std::size_t instance, Duration listDelay);

    /// Stops the updates of the list of instances in the domain number \a domain.
    void partition(std::size_t domain) { m_partitionedDomain = "d" + std::to_string(domain); }

    /// Divides the totals: the domain number \a domain and the others exchange nothing.
    void divideTotals(std::size_t domain) { m_dividedDomain = "d" + std::to_string(domain); }

    /// Stops the totals that the instance receives.
    void stopTotals(std::size_t instance) { m_receivesTotals[instance] = false; }

    /// Stops the process of the instance; its callers wait.
    void suspend(std::size_t instance) { m_suspendedAt[instance] = m_now; }
    void resume(std::size_t instance);

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
    void measureDemand();
    void sendTotals();

    /// Demand of all instances that one side of a division of the totals knows.
    struct Total
    {
        Time at {};
        std::string side;
        std::vector<double> demand; ///< of each instance; 0 if not included
        std::uint32_t instances = 0;
        double sum = 0;
        Time measuredAt {}; ///< of the oldest report
    };

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
    std::size_t m_skewedInstance = 0;
    bool m_exchangeDemand;
    Duration m_totalDelaySpread;
    std::vector<double> m_demand; ///< requests per second of each instance
    std::vector<Time> m_reportedAt;
    std::vector<double> m_reported; ///< last reported demand
    std::vector<bool> m_receivesTotals;
    std::vector<std::optional<Time>> m_suspendedAt;
    std::vector<std::size_t> m_waitingCallers; ///< at suspended instances
    std::deque<Total> m_totals; ///< oldest first
    std::string m_dividedDomain;
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
    , m_exchangeDemand(settings.exchangeDemand)
    , m_totalDelaySpread(settings.totalDelaySpread)
    , m_demand(settings.instances)
    , m_reportedAt(settings.instances)
    , m_reported(settings.instances)
    , m_receivesTotals(settings.instances, true)
    , m_suspendedAt(settings.instances)
    , m_waitingCallers(settings.instances)
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
        relay.rateLimitsFollowDemand = true;
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
    m_demand[instance] = 0;
    m_pendingListChanges.push_back({m_now + listDelay, instance, true});
    sendList(instance);
}

void LimitSimulation::resume(std::size_t instance)
{
    const Duration length = m_now - *std::exchange(m_suspendedAt[instance], std::nullopt);
    m_harnesses[instance]->advance(length, length);
    collect(instance);
    for (; m_waitingCallers[instance] > 0; --m_waitingCallers[instance]) {
        submitted += 1;
        m_harnesses[instance]->submit(m_kind, seconds(4));
        collect(instance);
    }
}

/// Averages the demand over a second, and sums up the reports that are recent enough.
void LimitSimulation::measureDemand()
{
    for (std::size_t i = 0; i < m_demand.size(); ++i) {
        if (m_crashedAt[i] || m_suspendedAt[i])
            continue;
        m_demand[i] *= 1 - std::chrono::duration<double>(Step).count();
        if (m_harnesses[i]->relay.rateLimits().followsDemand(m_harnesses[i]->now)) {
            m_reported[i] = m_demand[i];
            m_reportedAt[i] = m_now;
        }
    }
    if (!m_totals.empty() && m_now - m_totals.back().at < TotalInterval)
        return;
    for (const bool inDividedDomain : {false, true}) {
        Total total;
        total.at = total.measuredAt = m_now;
        total.side = inDividedDomain ? m_dividedDomain : "";
        total.demand.resize(m_demand.size());
        for (std::size_t i = 0; i < m_demand.size(); ++i) {
            if ((m_instances[i].domain == m_dividedDomain) != inDividedDomain
                || m_now - m_reportedAt[i] > ReportLifetime)
                continue;
            total.demand[i] = m_reported[i];
            total.sum += m_reported[i];
            total.instances += 1;
            total.measuredAt = std::min(total.measuredAt, m_reportedAt[i]);
        }
        if (!inDividedDomain || !m_dividedDomain.empty())
            m_totals.push_back(std::move(total));
    }
    while (m_now - m_totals.front().at > TotalDelay + m_totalDelaySpread + seconds(1))
        m_totals.pop_front();
}

void LimitSimulation::sendTotals()
{
    for (std::size_t i = 0; i < m_harnesses.size(); ++i) {
        const Duration delay =
            TotalDelay
            + m_totalDelaySpread * static_cast<std::int64_t>(i * 7 % 11) / std::int64_t {10};
        const std::string side = m_instances[i].domain == m_dividedDomain ? m_dividedDomain : "";
        const auto total = std::find_if(m_totals.rbegin(), m_totals.rend(), [&](const auto &each) {
            return each.side == side && m_now - each.at >= delay;
        });
        if (m_crashedAt[i] || m_suspendedAt[i] || !m_receivesTotals[i] || total == m_totals.rend()
            || m_now - total->at >= delay + TotalInterval || !(total->demand[i] >= 0))
            continue;
        FleetLoad load;
        const std::string service = m_kind == RequestKind::Stream ? "model" : "plain";
        load.total.services.push_back({service, total->sum});
        load.total.instances = total->instances;
        load.own.services.push_back({service, total->demand[i]});
        load.own.instances = 1;
        RelayHarness &harness = *m_harnesses[i];
        load.asOf = harness.now - (m_now - total->measuredAt);
        harness.relay.applyFleetLoad(load, harness.now);
    }
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
        if (m_suspendedAt[i])
            continue;
        m_harnesses[i]->advance(Step, Step);
        collect(i);
    }
    if (m_exchangeDemand) {
        measureDemand();
        sendTotals();
    }
}

void LimitSimulation::submitRequest()
{
    std::size_t instance = m_random() % m_harnesses.size();
    if (m_skew > 0 && std::bernoulli_distribution(m_skew)(m_random))
        instance = m_skewedInstance;
    if (m_crashedAt[instance])
        return;
    if (m_suspendedAt[instance]) {
        m_waitingCallers[instance] += 1;
        return;
    }
    m_demand[instance] += 1;
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
        settings.exchangeDemand = true;
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

namespace {

LimitSimulationSettings exchangingSettings(std::size_t instances, std::uint64_t seed)
{
    LimitSimulationSettings settings;
    settings.instances = instances;
    settings.endpoints = settings.limitedEndpoints = 3;
    settings.requestsPerSecond = 120;
    settings.clockError = milliseconds(300);
    settings.seed = seed;
    settings.exchangeDemand = true;
    settings.totalDelaySpread = seconds(1);
    return settings;
}

/// Runs \a scenario, which returns the maximum of arrivedAfterGracePeriod(Window).
template<typename Scenario>
void checkBound(const Scenario &scenario)
{
    for (const std::size_t instances : {6U, 76U, 295U})
        for (const double limit : {6.8, 30.0})
            for (const std::uint64_t seed : {1U, 2U, 3U}) {
                LimitSimulation simulation(exchangingSettings(instances, seed));
                simulation.setLimit(limit);
                simulation.run(LimitPropagationTime * 2);
                const std::size_t maximum = scenario(simulation);
                CAPTURE(instances, limit, seed, maximum);
                CHECK(static_cast<double>(maximum) <= maxAllowed(limit));
            }
}

} // namespace

// Guards against shares of the demand that are used by two instances after it moved.
TEST_CASE("the limit holds while the demand moves between instances")
{
    checkBound([](LimitSimulation &simulation) {
        std::size_t maximum = 0;
        for (std::size_t round = 0; round < 8; ++round) {
            simulation.setSkew(round % 4 == 3 ? 0 : 0.95, round * 5 % simulation.size());
            simulation.setRate(round % 3 == 2 ? 1'500 : 120);
            maximum = std::max(maximum, maxArrived(simulation, milliseconds(1'500 + round * 700)));
        }
        return maximum;
    });
}

// Guards against a share that others take over while an instance that died is still listed.
TEST_CASE("the limit holds while the instance with most of the demand dies and returns")
{
    checkBound([](LimitSimulation &simulation) {
        simulation.setSkew(0.9);
        std::size_t maximum = maxArrived(simulation, seconds(8));
        simulation.crash(0, seconds(20));
        simulation.setSkew(0.9, 1);
        maximum = std::max(maximum, maxArrived(simulation, seconds(10)));
        simulation.start(0, seconds(2));
        simulation.setSkew(0.9);
        return std::max(maximum, maxArrived(simulation, seconds(15)));
    });
}

// Guards against two sides of a partition that both divide the whole limit by their own demand.
TEST_CASE("the limit holds while totals include only one side of a partition")
{
    for (const std::size_t hot : {0U, 1U})
        checkBound([hot](LimitSimulation &simulation) {
            simulation.setSkew(0.7, hot);
            simulation.setRate(300);
            std::size_t maximum = maxArrived(simulation, seconds(8));
            simulation.partition(0);
            simulation.divideTotals(0);
            maximum = std::max(maximum, maxArrived(simulation, seconds(15)));
            simulation.divideTotals(99);
            return std::max(maximum, maxArrived(simulation, seconds(8)));
        });
}

// Guards against a share that a resumed instance uses although others have taken it over.
TEST_CASE("the limit holds when a suspended instance resumes")
{
    for (const Duration length :
         {Duration(seconds(2)), Duration(seconds(4)), Duration(seconds(12))})
        checkBound([length](LimitSimulation &simulation) {
            simulation.setSkew(0.9);
            std::size_t maximum = maxArrived(simulation, seconds(8));
            simulation.suspend(0);
            simulation.setSkew(0.45);
            maximum = std::max(maximum, maxArrived(simulation, length / 2));
            simulation.setSkew(0.9, 1);
            maximum = std::max(maximum, maxArrived(simulation, length / 2));
            simulation.resume(0);
            simulation.setSkew(0.9);
            return std::max(maximum, maxArrived(simulation, seconds(8)));
        });
}

// Guards against slots that an instance without a total takes back while others use them.
TEST_CASE("the limit holds while some instances get no totals")
{
    checkBound([](LimitSimulation &simulation) {
        simulation.setSkew(0.8);
        std::size_t maximum = maxArrived(simulation, seconds(8));
        for (std::size_t i = 0; i < simulation.size(); i += 3)
            simulation.stopTotals(i);
        simulation.setSkew(0.8, 1);
        maximum = std::max(maximum, maxArrived(simulation, seconds(8)));
        simulation.setRate(1'000);
        return std::max(maximum, maxArrived(simulation, seconds(8)));
    });
}

// Guards against shares computed for an earlier list of instances.
TEST_CASE("the limit holds while the list of instances and the demand change")
{
    checkBound([](LimitSimulation &simulation) {
        std::size_t maximum = 0;
        for (std::size_t round = 0; round < 4; ++round) {
            simulation.setSkew(0.8, round);
            for (std::size_t i = 10 + round; i < simulation.size(); i += 8)
                simulation.crash(i, seconds(2));
            maximum = std::max(maximum, maxArrived(simulation, seconds(4)));
            for (std::size_t i = 10 + round; i < simulation.size(); i += 8)
                simulation.start(i, seconds(2));
            maximum = std::max(maximum, maxArrived(simulation, seconds(3)));
        }
        return maximum;
    });
}

namespace {

/// Instances that use each slot that they may use, whatever their reported demand is.
class GreedyInstances
{
public:
    GreedyInstances(std::size_t instances, double limit, std::uint64_t seed);

    /// Runs for \a length and returns the largest number of requests in a Window.
    std::size_t run(Duration length);

    std::vector<double> demand; ///< of each instance, as reported
    std::vector<bool> sends; ///< if not, the instance is dead or suspended
    std::vector<bool> reports; ///< if not, its demand leaves the totals after ReportLifetime
    std::vector<bool> receives; ///< if not, it gets no totals, and soon reports nothing

    std::size_t size() const { return demand.size(); }

private:
    struct Total
    {
        Time at {};
        LoadSummary report;
        std::vector<double> demand;
    };

    void sumUp();
    void step(std::size_t instance);

    std::vector<RateLimits> m_instances;
    std::vector<Duration> m_delays;
    std::vector<double> m_reported;
    std::vector<Time> m_reportedAt;
    std::deque<Total> m_totals; ///< newest first
    std::deque<Time> m_sent;
    FleetEndpoint m_endpoint;
    double m_limit;
    Time m_now {std::chrono::hours(1)};
};

GreedyInstances::GreedyInstances(std::size_t instances, double limit, std::uint64_t seed)
    : demand(instances, 1)
    , sends(instances, true)
    , reports(instances, true)
    , receives(instances, true)
    , m_instances(instances)
    , m_reported(instances)
    , m_reportedAt(instances)
    , m_limit(limit)
{
    m_endpoint.id = "e";
    m_endpoint.service = "plain";
    m_endpoint.domain = domainOf(0, 3);
    std::mt19937_64 random(seed);
    std::vector<PeerInstance> list;
    for (std::size_t i = 0; i < instances; ++i) {
        list.push_back({"n" + std::to_string(1000 + i), domainOf(i, 3), "10.0.0.1:1"});
        m_delays.push_back(TotalDelay + Step * static_cast<std::int64_t>(random() % 50));
    }
    for (std::size_t i = 0; i < instances; ++i) {
        m_instances[i].setInstances(list, list[i].name, list[i].domain, m_now);
        m_instances[i].recordAnswer(m_endpoint, m_limit, m_now);
    }
}

/// Adds the total of the reports that are recent enough.
void GreedyInstances::sumUp()
{
    Total total;
    total.at = m_now;
    total.demand.resize(size());
    ServiceLoad load {"plain"};
    for (std::size_t i = 0; i < size(); ++i) {
        if (reports[i] && sends[i] && m_instances[i].followsDemand(m_now)) {
            m_reported[i] = demand[i];
            m_reportedAt[i] = m_now;
        }
        if (m_now - m_reportedAt[i] > ReportLifetime)
            continue;
        total.demand[i] = m_reported[i];
        load.demand += m_reported[i];
        total.report.instances += 1;
    }
    total.report.services.push_back(load);
    m_totals.push_front(std::move(total));
    if (m_now - m_totals.back().at > seconds(3))
        m_totals.pop_back();
}

void GreedyInstances::step(std::size_t instance)
{
    if (!sends[instance])
        return;
    RateLimits &limits = m_instances[instance];
    const auto total = std::find_if(m_totals.begin(), m_totals.end(), [&](const Total &each) {
        return m_now - each.at >= m_delays[instance];
    });
    // A resumed process sends before it reads the totals that have arrived.
    while (limits.maySend("e", m_now)) {
        limits.recordSend("e", m_now);
        limits.recordAnswer(m_endpoint, m_limit, m_now);
        m_sent.push_back(m_now);
    }
    limits.recordAnswer(m_endpoint, m_limit, m_now);
    if (!receives[instance] || total == m_totals.end())
        return;
    FleetLoad load {total->report, {}, total->at};
    load.own.services.push_back({"plain", total->demand[instance]});
    limits.applyFleetLoad(load, m_now);
}

std::size_t GreedyInstances::run(Duration length)
{
    std::size_t maximum = 0;
    for (const Time end = m_now + length; m_now < end; m_now += Step) {
        sumUp();
        for (std::size_t i = 0; i < size(); ++i)
            step(i);
        while (!m_sent.empty() && m_sent.front() <= m_now - Window)
            m_sent.pop_front();
        maximum = std::max(maximum, m_sent.size());
    }
    return maximum;
}

double maxAllowedGreedy(double limit)
{
    return 1.1 * limit * std::chrono::duration<double>(Window).count() + 5;
}

/// Runs \a scenario, which returns the largest number of requests in a Window.
template<typename Scenario>
void checkGreedyBound(const Scenario &scenario)
{
    for (const std::size_t instances : {6U, 76U, 295U})
        for (const double limit : {6.8, 30.0})
            for (const std::uint64_t seed : {1U, 2U}) {
                GreedyInstances greedy(instances, limit, seed);
                greedy.run(seconds(6));
                const std::size_t maximum = scenario(greedy);
                CAPTURE(instances, limit, seed, maximum);
                CHECK(static_cast<double>(maximum) <= maxAllowedGreedy(limit));
            }
}

} // namespace

// Guards against an increase of a share that takes effect before the decrease of others.
TEST_CASE("parts of the slots stay within the limit while the demand moves")
{
    checkGreedyBound([](GreedyInstances &greedy) {
        std::size_t maximum = 0;
        for (std::size_t round = 0; round < 12; ++round) {
            std::fill(greedy.demand.begin(), greedy.demand.end(), round % 3 == 2 ? 1 : 0.01);
            greedy.demand[round * 5 % greedy.size()] = 1'000;
            maximum = std::max(maximum, greedy.run(milliseconds(500 + 700 * (round % 5))));
        }
        return maximum;
    });
}

// Guards against slots of idle instances that are used by these and by others when all get demand.
TEST_CASE("parts of the slots stay within the limit when all instances get demand")
{
    checkGreedyBound([](GreedyInstances &greedy) {
        std::size_t maximum = 0;
        for (int round = 0; round < 2; ++round) {
            std::fill(greedy.demand.begin(), greedy.demand.end(), 0);
            greedy.demand[0] = 100;
            maximum = std::max(maximum, greedy.run(seconds(8)));
            std::fill(greedy.demand.begin(), greedy.demand.end(), 100);
            maximum = std::max(maximum, greedy.run(seconds(4)));
        }
        return maximum;
    });
}

// Guards against a share that an isolated instance uses after others have taken it over.
TEST_CASE("parts of the slots stay within the limit while the busiest instance is isolated")
{
    checkGreedyBound([](GreedyInstances &greedy) {
        std::fill(greedy.demand.begin(), greedy.demand.end(), 0.01);
        greedy.demand[0] = 1'000;
        greedy.demand[1] = 100;
        std::size_t maximum = greedy.run(seconds(10));
        greedy.reports[0] = greedy.receives[0] = false;
        maximum = std::max(maximum, greedy.run(seconds(20)));
        greedy.reports[0] = greedy.receives[0] = true;
        return std::max(maximum, greedy.run(seconds(8)));
    });
}

// Guards against a resumed instance that uses its earlier share before it knows the present one.
TEST_CASE("parts of the slots stay within the limit when suspended instances resume")
{
    for (const Duration length :
         {Duration(seconds(3)), Duration(seconds(5)), Duration(seconds(12))})
        checkGreedyBound([length](GreedyInstances &greedy) {
            std::fill(greedy.demand.begin(), greedy.demand.end(), 0.01);
            greedy.demand[0] = 1'000;
            greedy.demand[1] = 100;
            std::size_t maximum = greedy.run(seconds(10));
            greedy.sends[0] = false;
            maximum = std::max(maximum, greedy.run(length));
            greedy.sends[0] = true;
            return std::max(maximum, greedy.run(seconds(8)));
        });
}

// Guards against instances without totals that use all of their slots while others use these too.
TEST_CASE("parts of the slots stay within the limit while instances get no totals")
{
    for (const bool reporting : {true, false})
        checkGreedyBound([reporting](GreedyInstances &greedy) {
            std::fill(greedy.demand.begin(), greedy.demand.end(), 0.01);
            greedy.demand[0] = 1'000;
            std::size_t maximum = greedy.run(seconds(10));
            for (std::size_t i = 1; i < greedy.size(); i += 2) {
                greedy.receives[i] = false;
                greedy.reports[i] = reporting;
            }
            maximum = std::max(maximum, greedy.run(seconds(20)));
            greedy.receives.assign(greedy.size(), true);
            greedy.reports.assign(greedy.size(), true);
            return std::max(maximum, greedy.run(seconds(8)));
        });
}
