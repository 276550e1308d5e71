// What endpoints get that name a limit of requests a second, from fleets of all sizes, in
// virtual time.

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
constexpr Duration Contact {3'000'000};
constexpr Duration Window {4'000'000};
constexpr Duration ToldBefore {500'000};

struct LimitWorldSettings
{
    std::size_t instances = 6;
    std::size_t domains = 3;
    std::size_t endpoints = 5; ///< the first one is the one that names limits
    double requestsPerSecond = 120; ///< of all callers
    RequestKind kind = RequestKind::Safe;
    Duration clockError {}; ///< of each instance, at most
    std::uint64_t seed = 1;
};

/// Instances that share plain endpoints, each of which answers after 100 ms.
class LimitWorld
{
public:
    explicit LimitWorld(const LimitWorldSettings &settings);

    /// The first endpoint's limit from now on; nothing: it names none.
    void name(std::optional<double> limit);
    void setRate(double requestsPerSecond) { m_rate = requestsPerSecond; }
    void run(Duration length);

    /// The instance dies: it sends no more, and is no longer listed after \a unnoticed.
    void kill(std::size_t instance, Duration unnoticed);

    /// An instance that was dead begins anew. It knows all others at once, and they know of
    /// it after \a unnoticed.
    void add(std::size_t instance, Duration unnoticed);

    /// What changes in the list is heard no more in the domain.
    void cut(std::size_t domain) { m_cut = "d" + std::to_string(domain); }

    Time now() const { return m_now; }
    std::size_t size() const { return m_worlds.size(); }

    /// Requests that the first endpoint got in the span that ends now, of instances that it
    /// had told of a limit long enough before.
    std::size_t arrivedOfTold(Duration length) const;
    std::size_t arrived(Duration length) const;

    std::size_t submitted = 0;
    std::size_t refused = 0;

private:
    struct Arrival
    {
        Time at {};
        bool ofTold = false;
    };
    struct Call
    {
        std::size_t instance = 0;
        FlightId flight = 0;
        std::uint32_t attempt = 0;
        std::string endpoint;
        Time answerAt {};
    };

    void submitOne();
    void step();
    void collect(std::size_t instance);
    void answer(const Call &call);
    void list();
    void tellList(std::size_t instance);

    std::vector<std::unique_ptr<RelayHarness>> m_worlds;
    std::vector<std::optional<Time>> m_diedAt;
    std::vector<std::optional<Time>> m_toldAt;
    std::vector<PeerInstance> m_instances;
    std::vector<Duration> m_clocks;
    struct Listing
    {
        Time at {};
        std::size_t instance = 0;
        bool listed = false;
    };
    std::vector<Listing> m_listings; ///< to come
    std::vector<bool> m_listed;
    std::string m_cut;
    std::deque<Call> m_calls;
    std::vector<Arrival> m_arrivals;
    std::optional<double> m_limit;
    RequestKind m_kind;
    double m_rate;
    double m_due = 0;
    std::mt19937_64 m_random;
    Time m_now {std::chrono::hours(1)};
};

std::string domainOf(std::size_t index, std::size_t domains)
{
    return "d" + std::to_string(index % domains);
}

LimitWorld::LimitWorld(const LimitWorldSettings &settings)
    : m_diedAt(settings.instances)
    , m_toldAt(settings.instances)
    , m_listed(settings.instances, true)
    , m_kind(settings.kind)
    , m_rate(settings.requestsPerSecond)
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
        m_worlds.push_back(std::make_unique<RelayHarness>(endpoints, relay));
        m_instances.push_back({"n" + std::to_string(1000 + i), relay.domain, "10.0.0.1:1"});
        m_clocks.push_back(settings.clockError > Duration {}
                               ? Duration(m_random() % settings.clockError.count())
                               : Duration {});
    }
    list();
}

/// What all instances know of each other.
void LimitWorld::list()
{
    for (std::size_t i = 0; i < m_worlds.size(); ++i)
        if (!m_diedAt[i] && m_instances[i].domain != m_cut)
            tellList(i);
}

void LimitWorld::tellList(std::size_t instance)
{
    std::vector<PeerInstance> listed;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        if (m_listed[i] || i == instance)
            listed.push_back(m_instances[i]);
    m_worlds[instance]->setInstances(listed, m_instances[instance].name, m_clocks[instance]);
}

void LimitWorld::name(std::optional<double> limit)
{
    m_limit = limit;
}

void LimitWorld::kill(std::size_t instance, Duration unnoticed)
{
    m_diedAt[instance] = m_now;
    m_listings.push_back({m_now + unnoticed, instance, false});
}

void LimitWorld::add(std::size_t instance, Duration unnoticed)
{
    m_diedAt[instance].reset();
    m_toldAt[instance].reset();
    m_listings.push_back({m_now + unnoticed, instance, true});
    tellList(instance);
}

void LimitWorld::run(Duration length)
{
    for (const Time end = m_now + length; m_now < end; m_now += Step)
        step();
}

void LimitWorld::step()
{
    const auto due = [this](const Listing &each) { return m_now >= each.at; };
    for (const Listing &each : m_listings)
        if (due(each))
            m_listed[each.instance] = each.listed;
    if (std::erase_if(m_listings, due) > 0)
        list();
    while (!m_calls.empty() && m_calls.front().answerAt <= m_now) {
        const Call call = m_calls.front();
        m_calls.pop_front();
        answer(call);
    }
    std::poisson_distribution<int> arrivals(m_rate * std::chrono::duration<double>(Step).count());
    for (int left = arrivals(m_random); left > 0; --left)
        submitOne();
    for (std::size_t i = 0; i < m_worlds.size(); ++i) {
        m_worlds[i]->advance(Step, Step);
        collect(i);
    }
}

void LimitWorld::submitOne()
{
    const std::size_t instance = m_random() % m_worlds.size();
    if (m_diedAt[instance])
        return;
    submitted += 1;
    m_worlds[instance]->submit(m_kind, seconds(4));
    collect(instance);
}

void LimitWorld::collect(std::size_t instance)
{
    RelayActions actions = std::exchange(m_worlds[instance]->actions, {});
    for (const RelayAction &action : actions) {
        if (const auto *send = std::get_if<SendRequest>(&action)) {
            if (m_diedAt[instance])
                continue;
            const auto &told = m_toldAt[instance];
            if (send->endpoint == "e0")
                m_arrivals.push_back({m_now, told && m_now - *told >= ToldBefore});
            m_calls.push_back(
                {instance, send->flight, send->attempt, send->endpoint, m_now + milliseconds(100)});
        } else if (std::holds_alternative<FinishFlight>(action)) {
            refused += 1;
        }
    }
}

void LimitWorld::answer(const Call &call)
{
    if (m_diedAt[call.instance])
        return;
    RelayHarness &world = *m_worlds[call.instance];
    AnswerHead head;
    head.status = 200;
    head.provenExecuted = true;
    if (call.endpoint == "e0") {
        head.rateLimit = m_limit;
        if (m_limit && !m_toldAt[call.instance])
            m_toldAt[call.instance] = m_now;
    }
    if (world.relay.answered(call.flight, call.attempt, head, world.now, world.actions))
        world.relay.streamCompleted(call.flight, call.attempt, world.now, world.actions);
    collect(call.instance);
}

std::size_t LimitWorld::arrivedOfTold(Duration length) const
{
    return static_cast<std::size_t>(
        std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const Arrival &each) {
            return each.ofTold && each.at > m_now - length;
        }));
}

std::size_t LimitWorld::arrived(Duration length) const
{
    return static_cast<std::size_t>(
        std::count_if(m_arrivals.begin(), m_arrivals.end(),
                      [&](const Arrival &each) { return each.at > m_now - length; }));
}

double allowed(double limit)
{
    return 1.5 * limit * std::chrono::duration<double>(Window).count() + 5;
}

/// The most that the endpoint got in any such span while the world went on.
std::size_t mostArrived(LimitWorld &world, Duration length)
{
    std::size_t most = 0;
    for (const Time end = world.now() + length; world.now() < end;) {
        world.run(Step * 5);
        most = std::max(most, world.arrivedOfTold(Window));
    }
    return most;
}

} // namespace

// Guards against a limit that is not read, or that each instance keeps for itself alone.
TEST_CASE("an endpoint gets no more than the limit that it names allows the fleet")
{
    for (const std::size_t instances : {6U, 76U, 295U})
        for (const double limit : {0.5, 6.8, 30.0})
            for (const RequestKind kind : {RequestKind::Safe, RequestKind::Stream}) {
                LimitWorldSettings settings;
                settings.instances = instances;
                settings.kind = kind;
                settings.requestsPerSecond = std::max(120.0, limit * 8);
                LimitWorld world(settings);
                world.run(seconds(2));
                world.name(limit);
                world.run(Contact);
                CAPTURE(instances, limit, kind);
                CHECK(static_cast<double>(mostArrived(world, seconds(20))) <= allowed(limit));
            }
}

// Guards against shares that are saved up while nothing is asked for, and used at once.
TEST_CASE("a rush after a lull gives a limited endpoint no more than its limit")
{
    for (const std::size_t instances : {6U, 76U, 295U}) {
        LimitWorldSettings settings;
        settings.instances = instances;
        LimitWorld world(settings);
        world.name(6.8);
        world.run(seconds(4));
        for (int lull = 0; lull < 3; ++lull) {
            world.setRate(2);
            world.run(seconds(8));
            world.setRate(1'000);
            CAPTURE(instances, lull);
            CHECK(static_cast<double>(mostArrived(world, seconds(6))) <= allowed(6.8));
        }
    }
}

// Guards against shares given out twice while instances die, are listed later by some than by
// others, and do not agree on the time.
TEST_CASE("a limit is kept while the instances that share it come and go")
{
    for (const std::size_t instances : {6U, 76U, 295U})
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            LimitWorldSettings settings;
            settings.instances = instances;
            settings.clockError = milliseconds(300);
            settings.seed = seed;
            LimitWorld world(settings);
            world.name(6.8);
            world.run(seconds(4));
            std::size_t most = 0;
            for (std::size_t killed = 0; killed < instances / 2; ++killed) {
                world.kill(killed * 2, seconds(2));
                most = std::max(most, mostArrived(world, seconds(40) / instances));
            }
            CAPTURE(instances, seed);
            CHECK(static_cast<double>(most) <= allowed(6.8));
        }
}

// Guards against shares that do not shrink for those who come, or while a domain hears nothing.
TEST_CASE("a limit is kept while instances are added and a domain is cut off")
{
    for (const std::size_t instances : {6U, 76U, 295U})
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            LimitWorldSettings settings;
            settings.instances = instances;
            settings.clockError = milliseconds(300);
            settings.seed = seed;
            LimitWorld world(settings);
            for (std::size_t i = 1; i < instances; i += 2)
                world.kill(i, {});
            world.run(seconds(1));
            world.name(6.8);
            world.run(seconds(4));
            world.cut(seed % settings.domains);
            std::size_t most = 0;
            for (std::size_t i = 1; i < instances; i += 2) {
                world.add(i, seconds(2));
                most = std::max(most, mostArrived(world, seconds(60) / instances));
            }
            most = std::max(most, mostArrived(world, seconds(10)));
            CAPTURE(instances, seed);
            CHECK(static_cast<double>(most) <= allowed(6.8));
        }
}

// Guards against an instance that goes on by a limit of before.
TEST_CASE("a limit that is lowered, raised or taken back holds soon after")
{
    for (const std::size_t instances : {6U, 76U, 295U}) {
        LimitWorldSettings settings;
        settings.instances = instances;
        settings.requestsPerSecond = 300;
        LimitWorld world(settings);
        world.name(40);
        world.run(seconds(6));
        world.name(5);
        world.run(Contact + Window);
        CAPTURE(instances);
        CHECK(static_cast<double>(mostArrived(world, seconds(10))) <= allowed(5));
        world.name(std::nullopt);
        world.run(seconds(1'000));
        CHECK(world.arrived(seconds(10)) > 300);
    }
}

// Guards against callers who are refused for one endpoint's limit while others have room.
TEST_CASE("callers are served by other endpoints than the one that names a limit")
{
    for (const std::size_t instances : {6U, 76U, 295U})
        for (const RequestKind kind : {RequestKind::Unsafe, RequestKind::Stream}) {
            LimitWorldSettings settings;
            settings.instances = instances;
            settings.kind = kind;
            LimitWorld world(settings);
            world.name(1);
            world.run(seconds(30));
            CAPTURE(instances, kind);
            CHECK(world.refused == 0);
        }
}

// Guards against shares so small that a limited endpoint stands idle.
TEST_CASE("a fleet of a few instances uses most of a limit")
{
    LimitWorldSettings settings;
    settings.requestsPerSecond = 200;
    LimitWorld world(settings);
    world.name(10);
    world.run(seconds(5));
    world.run(seconds(20));
    CHECK(world.arrived(seconds(20)) > 0.7 * 10 * 20);
}

// Guards against a limit that closes an engine to paths that only pass through it.
TEST_CASE("an engine that names a limit still runs later parts of paths")
{
    RelayHarness world({{"first", {0, 4}}, {"limited", {0, 8}}, {"last", {4, 8}, "far"}});
    world.setInstances({{"n1", "near", "10.0.0.1:1"}, {"n2", "near", "10.0.0.1:2"}}, "n1");
    std::size_t through = 0;
    for (int request = 0; request < 40; ++request) {
        const FlightId flight = world.submit(RequestKind::Stream);
        world.advance(milliseconds(20));
        const SendRequest send = world.sends(flight).front();
        AnswerHead head;
        head.status = 200;
        head.provenExecuted = true;
        if (send.endpoint == "limited")
            head.rateLimit = 0.1;
        world.relay.answered(flight, send.attempt, head, world.now, world.actions);
        world.completeStream(flight);
        through += send.path.size() > 1 && send.path.back().endpoint == "limited" ? 1 : 0;
    }
    CHECK(through > 20);
}

// Guards against a request that waits for a share that can't come in its time.
TEST_CASE("what only a limited endpoint could serve is refused while its caller still waits")
{
    LimitWorldSettings settings;
    settings.endpoints = 1;
    LimitWorld world(settings);
    world.name(2);
    world.run(seconds(10));
    CHECK(world.refused > 0);
    CHECK(world.refused + world.arrived(seconds(10)) > world.submitted * 9 / 10);
}

// Guards against a count of choices that another service's endpoint has no part in.
TEST_CASE("a choice counts as limited where an endpoint of its own service was left out")
{
    RelayHarness world({{"engine", {0, 8}}, {"call", {}}});
    world.setInstances({{"n1", "near", "10.0.0.1:1"}, {"n2", "near", "10.0.0.1:2"}}, "n1");
    const FlightId call = world.submit(RequestKind::Unsafe);
    AnswerHead head;
    head.status = 200;
    head.provenExecuted = true;
    head.rateLimit = 0.1;
    world.relay.answered(call, world.sends(call).front().attempt, head, world.now, world.actions);
    world.submit(RequestKind::Stream);
    CHECK(world.relay.counts().rateLimitSkips == 0);
    world.submit(RequestKind::Unsafe);
    CHECK(world.relay.counts().rateLimitSkips == 1);
}
