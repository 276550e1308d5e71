#include "soak.h"

#include "../common/ports.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

#include <fcntl.h>

#include <csignal>
#include <fstream>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace balsamloft::soak {

namespace {

constexpr auto CallerTimeout = std::chrono::seconds(15);
/// Time limit for an instance to serve requests again. Ample for a slow machine, so only a hang
/// reaches the limit.
constexpr auto RecoveryTimeout = std::chrono::seconds(60);
/// How long an unlisted endpoint keeps running. Exceeds the time after which an unlisted endpoint
/// must get no new requests.
constexpr Milliseconds UnlistedRunTime {13'000};
/// Lifetime of an entry that is not renewed.
constexpr Milliseconds EntryLifetime {2'500};
/// Number of endpoints that one request may crash in a run without other faults, in which the
/// instances can exchange crash records.
constexpr std::size_t MaxCrashes = 6;
/// The same for a part of prompts: five until all instances know, and three trials.
constexpr std::size_t MaxCrashesByPart = 8;
/// First part of all prompts.
constexpr std::string_view CommonPart = "c0de:5,";
/// The same as MaxCrashes while the store is down, in which no engine is replaced.
constexpr std::size_t MaxCrashesWithoutStore = 4;
/// Writes that the store loses in a restore, more than are made in the rest of a run.
constexpr int LostWrites = 2'000;
constexpr int NormalExit = 0;
constexpr int KilledExit = 128 + SIGKILL;
/// Without the version and its keys.
constexpr std::string_view Configuration =
    R"("services":[{"name":"plain"},{"name":"model","layers":4}],"routes":[
        {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","service":"plain"},
        {"name":"unsafe","host":"h","prefix":"/unsafe/","kind":"unsafe","attempts":2,"service":"plain"},
        {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","service":"model"}]})";

int draw(std::mt19937_64 &random, int from, int to)
{
    return std::uniform_int_distribution<int>(from, to)(random);
}

std::string requestText(const std::string &id, const Exchange &exchange)
{
    static constexpr std::string_view Paths[] = {"/safe/x", "/unsafe/x", "/stream/"};
    std::string path(Paths[static_cast<std::size_t>(exchange.kind)]);
    if (exchange.kind == Kind::Stream)
        path += std::to_string(exchange.events);
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nTeam-Key: "
           + exchange.key + "\r\nDeadline-Ms: 8000\r\nTokens: 10,60\r\nPrompt-Parts: "
           + (exchange.parts.empty() ? std::string(CommonPart) + id + ":5" : exchange.parts)
           + "\r\nContent-Length: "
           + (exchange.crashing ? "4\r\n\r\n" + std::string(CrashingBody)
                                : std::string("2\r\n\r\nhi"));
}

} // namespace

Soak::Soak(SoakSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_store(m_context)
{
    writeConfiguration();
    makeEndpoints();
    makeInstances();
}

Soak::~Soak() = default;

void Soak::logFault(const std::string &fault)
{
    const auto since = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_begin);
    m_faults.push_back(std::to_string(since.count()) + " ms " + fault);
}

void Soak::makeEndpoints()
{
    for (int i = 0; i < 5; ++i)
        m_endpoints.push_back(
            std::make_unique<Endpoint>(m_context, m_store, m_record, "engine" + std::to_string(i),
                                       "model", i % 2 == 0 ? "north" : "south", m_random()));
    for (int i = 0; i < 3; ++i)
        m_endpoints.push_back(
            std::make_unique<Endpoint>(m_context, m_store, m_record, "plain" + std::to_string(i),
                                       "plain", i % 2 == 0 ? "north" : "south", m_random()));
}

void Soak::makeInstances()
{
    m_instances.resize(static_cast<std::size_t>(m_settings.instances));
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Instance &each = m_instances[i];
        each.name = "entry-" + std::to_string(i);
        // Instances of one domain read the list of endpoints from each other, so only those with a
        // domain of their own can have links of their own.
        const bool ownLinks = m_settings.ownLinks;
        each.domain = ownLinks ? each.name : i % 3 == 2 ? "south" : "north";
        each.callers = testsuite::freeAddress();
        each.store =
            std::make_unique<Link>(m_context, ownLinks ? ownView(each) : m_store.address());
        each.arguments = {"--name=" + each.name,
                          "--domain=" + each.domain,
                          "--listen=" + each.callers,
                          "--ready_listen=" + testsuite::freeAddress(),
                          "--peer_listen=" + testsuite::freeAddress(),
                          "--forward_listen=" + testsuite::freeAddress(),
                          "--store=" + each.store->address(),
                          "--retry_slack=300",
                          "--grace_s=4"};
        // Longer than any run: instances refuse all calls once their API keys are too old.
        if (m_settings.storeDown)
            each.arguments.emplace_back("--revocation_ms=600000");
        startProcess(each);
    }
}

/// Gives an instance links of its own to all endpoints. Returns the address of a store that lists
/// these links.
std::string Soak::ownView(Instance &instance)
{
    std::map<std::string, std::string> addresses;
    for (const auto &endpoint : m_endpoints) {
        const std::string address = endpoint->link().address();
        instance.endpoints.push_back(std::make_unique<Link>(m_context, address));
        addresses[address] = instance.endpoints.back()->address();
    }
    return m_store.addView(std::move(addresses));
}

void Soak::startProcess(Instance &instance)
{
    if (instance.process)
        instance.formerOutput += instance.process->output();
    m_record.instanceStarted(instance.name);
    instance.starts += 1;
    instance.process =
        std::make_unique<testsuite::Process>("balsamloft-entry-standin", instance.arguments);
}

std::vector<std::string> Soak::run()
{
    asio::co_spawn(m_context, runPhases(), [](const std::exception_ptr &error) {
        if (error)
            std::rethrow_exception(error);
    });
    m_context.run();
    return m_record.check();
}

void Soak::spawn(awaitable<void> work)
{
    m_running += 1;
    asio::co_spawn(m_context, std::move(work), [this](const std::exception_ptr &error) {
        m_running -= 1;
        if (error)
            std::rethrow_exception(error);
    });
}

awaitable<void> Soak::runPhases()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        if (!co_await waitUntilServed(i, Kind::Safe))
            m_record.addViolation("not served before any fault: " + m_instances[i].name);
    m_begin = Clock::now();
    if (m_settings.storeDown) {
        const std::string knowsAll = "\"all\":" + std::to_string(m_instances.size());
        for (const Instance &each : m_instances)
            while (each.process->output().find(knowsAll) == std::string::npos)
                co_await pause(Milliseconds(20));
        logFault("store down until all faults have ended");
        m_store.down = true;
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        for (int n = 0; n < m_settings.callers; ++n)
            spawn(runCaller(i, m_random()));
    for (int i = 0; i < m_settings.series; ++i)
        spawn(runSeries(m_random(), &Soak::injectFault));
    if (m_settings.ownLinks)
        spawn(runSeries(m_random(), &Soak::cutFault));
    if (m_settings.announcements)
        spawn(runSeries(m_random(), &Soak::announcement));
    if (m_settings.restores) {
        spawn(runSeries(m_random(), &Soak::restoreFault));
        spawn(runOperator(m_random()));
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            spawn(runProbe(i));
    }
    if (m_settings.departures) {
        spawn(runSeries(m_random(), &Soak::holdUpFault));
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            spawn(runLeavingCallers(i, m_random()));
    }
    if (m_settings.crashingRequest)
        spawn(runCrashingCaller(m_random(), {}));
    for (int i = 0; i < m_settings.crashingParts; ++i)
        spawn(runCrashingCaller(m_random(), std::string(CrashingPart) + std::to_string(i)));
    co_await pause(std::chrono::duration_cast<Milliseconds>(m_settings.length));
    m_stopping = true;
    while (m_running > 0)
        co_await pause(Milliseconds(20));
    logFault("all faults have ended");
    m_store.heal();
    if (m_settings.restores) {
        m_version += 1;
        writeConfiguration();
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (!m_instances[i].process->running())
            m_record.addViolation("terminated unexpectedly: " + m_instances[i].name);
        for (const Kind kind : {Kind::Safe, Kind::Unsafe, Kind::Stream})
            if (!co_await waitUntilServed(i, kind))
                m_record.addViolation("not served after the faults ended: " + m_instances[i].name);
        if (m_settings.restores)
            co_await checkNewestVersion(i);
    }
    m_context.stop();
}

// Callers

awaitable<bool> Soak::send(tcp::socket &socket, const std::string &id, Exchange &exchange)
{
    boost::system::error_code error;
    const auto token = [&error] { return asio::redirect_error(asio::use_awaitable, error); };
    const std::string text = requestText(id, exchange);
    co_await asio::async_write(socket, asio::buffer(text), token());
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    // The timeout closes the socket, so that the part of the answer received until then is checked.
    asio::steady_timer timer(socket.get_executor(), CallerTimeout);
    timer.async_wait([&socket](const boost::system::error_code &stopped) {
        boost::system::error_code ignored;
        if (!stopped)
            socket.close(ignored);
    });
    if (!error)
        co_await http::async_read(socket, buffer, parser, token());
    timer.cancel();
    exchange.status = parser.is_header_done() ? parser.get().result_int() : 0;
    exchange.complete = !error && parser.is_done();
    exchange.body = parser.get().body();
    if (exchange.complete && buffer.size() > 0)
        m_record.addViolation("unexpected bytes after an answer: " + id);
    co_return exchange.complete &&parser.keep_alive();
}

awaitable<void> Soak::runCaller(std::size_t instance, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::optional<tcp::socket> socket;
    while (!m_stopping) {
        boost::system::error_code error;
        if (!socket) {
            socket.emplace(m_context);
            co_await socket->async_connect(endpointOf(m_instances[instance].callers),
                                           asio::redirect_error(asio::use_awaitable, error));
        }
        if (error) {
            socket.reset();
            co_await pause(Milliseconds(50));
            continue;
        }
        const std::string id = requestId(m_nextRequest++, m_instances[instance].name);
        Exchange exchange;
        exchange.kind = static_cast<Kind>(draw(random, 0, 2));
        exchange.events = draw(random, 1, 60);
        if (!co_await send(*socket, id, exchange))
            socket.reset();
        m_record.received(id, std::move(exchange));
        co_await pause(Milliseconds(draw(random, 0, 60)));
    }
}

awaitable<void> Soak::runLeavingCallers(std::size_t instance, std::uint64_t seed)
{
    constexpr int MaxCallers = 25;
    std::mt19937_64 random(seed);
    while (!m_stopping) {
        co_await pause(Milliseconds(draw(random, 30, 300)));
        for (int count = draw(random, 1, MaxCallers); count > 0; --count)
            spawn(runLeavingCaller(instance, random()));
    }
}

awaitable<void> Soak::runLeavingCaller(std::size_t instance, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    boost::system::error_code error;
    tcp::socket socket(m_context);
    co_await socket.async_connect(endpointOf(m_instances[instance].callers),
                                  asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    // Else the connection that the caller closes would live on in instances started meanwhile.
    ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
    const std::string id = requestId(m_nextRequest++, m_instances[instance].name);
    Exchange exchange;
    exchange.kind = static_cast<Kind>(draw(random, 0, 2));
    exchange.events = draw(random, 1, 60);
    co_await asio::async_write(socket, asio::buffer(requestText(id, exchange)),
                               asio::redirect_error(asio::use_awaitable, error));
    m_record.received(id, std::move(exchange));
    co_await pause(Milliseconds(draw(random, 0, 400)));
    if (draw(random, 0, 1) == 0)
        socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
    m_record.left(id);
}

/// Writes the present version of the configuration, with a key of its own.
void Soak::writeConfiguration()
{
    const std::string version = std::to_string(m_version);
    m_store.tables().put("configuration", "current",
                         R"({"version":)" + version + R"(,"keys":{"good-key":"team-a","key)"
                             + version + R"(":"team-a"},)" + std::string(Configuration));
}

awaitable<void> Soak::runOperator(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (!m_stopping) {
        co_await pause(Milliseconds(draw(random, 300, 1200)));
        if (m_store.down)
            continue;
        m_version += 1;
        writeConfiguration();
    }
}

/// Whether the instance accepts the key that only \a version has.
awaitable<bool> Soak::acceptsVersion(std::size_t instance, int version)
{
    tcp::socket socket(m_context);
    boost::system::error_code error;
    co_await socket.async_connect(endpointOf(m_instances[instance].callers),
                                  asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    Exchange exchange;
    exchange.key = "key" + std::to_string(version);
    exchange.mayBeUnauthorized = true;
    const std::string id = requestId(m_nextRequest++, m_instances[instance].name);
    co_await send(socket, id, exchange);
    const bool accepted = exchange.status == 200;
    m_record.received(id, std::move(exchange));
    co_return accepted;
}

/// Checks that no process of the instance uses an older configuration after a newer one.
awaitable<void> Soak::runProbe(std::size_t instance)
{
    int newest = 0;
    int starts = 0;
    while (!m_stopping) {
        co_await pause(Milliseconds(100));
        if (std::exchange(starts, m_instances[instance].starts) != m_instances[instance].starts)
            newest = 0;
        const int version = m_version;
        const int before = newest;
        if (co_await acceptsVersion(instance, version) && starts == m_instances[instance].starts)
            newest = std::max(newest, version);
        if (before > 1 && co_await acceptsVersion(instance, before - 1)
            && starts == m_instances[instance].starts)
            m_record.addViolation("configuration " + std::to_string(before - 1) + " after "
                                  + std::to_string(before) + ": " + m_instances[instance].name);
    }
}

awaitable<void> Soak::checkNewestVersion(std::size_t instance)
{
    const auto end = Clock::now() + RecoveryTimeout;
    bool accepted = false;
    while (!accepted && Clock::now() < end) {
        accepted = co_await acceptsVersion(instance, m_version);
        if (!accepted)
            co_await pause(Milliseconds(50));
    }
    if (!accepted)
        m_record.addViolation("newest configuration not in force: " + m_instances[instance].name);
}

/// Repeatedly sends the same request, each time to a random instance. With \a part, the requests
/// have only that part and the first part of all other requests in common.
awaitable<void> Soak::runCrashingCaller(std::uint64_t seed, std::string part)
{
    std::mt19937_64 random(seed);
    while (!m_stopping) {
        tcp::socket socket(m_context);
        boost::system::error_code error;
        const Instance &instance = m_instances[random() % m_instances.size()];
        co_await socket.async_connect(endpointOf(instance.callers),
                                      asio::redirect_error(asio::use_awaitable, error));
        Exchange exchange;
        exchange.kind = Kind::Stream;
        exchange.events = 1;
        exchange.crashing = part.empty();
        const std::string id = requestId(m_nextRequest++, instance.name);
        if (!part.empty())
            exchange.parts = std::string(CommonPart) + part + ":5," + id + ":5";
        if (!error)
            co_await send(socket, id, exchange);
        m_record.received(id, std::move(exchange));
        co_await pause(Milliseconds(draw(random, 300, 1200)));
    }
    const std::size_t allowed =
        m_settings.crashingParts > 0
            ? MaxCrashesByPart * static_cast<std::size_t>(m_settings.crashingParts)
        : m_settings.storeDown ? MaxCrashesWithoutStore
                               : MaxCrashes;
    if (m_settings.series == 0 && m_record.crashCount() > allowed)
        m_record.addViolation("requests with one cause crashed "
                              + std::to_string(m_record.crashCount()) + " endpoints");
}

awaitable<bool> Soak::waitUntilServed(std::size_t instance, Kind kind)
{
    const auto end = Clock::now() + RecoveryTimeout;
    while (Clock::now() < end) {
        tcp::socket socket(m_context);
        boost::system::error_code error;
        co_await socket.async_connect(endpointOf(m_instances[instance].callers),
                                      asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            const std::string id = requestId(m_nextRequest++, m_instances[instance].name);
            Exchange exchange;
            exchange.kind = kind;
            exchange.events = 5;
            co_await send(socket, id, exchange);
            const bool complete = exchange.status == 200 && exchange.complete;
            // Answers of this loop are recorded for the check too: an instance without a
            // configuration must not reject requests.
            m_record.received(id, std::move(exchange));
            if (complete)
                co_return true;
        }
        co_await pause(Milliseconds(50));
    }
    co_return false;
}

// Faults

/// Injects one fault after another, with pauses between them.
awaitable<void> Soak::runSeries(std::uint64_t seed, Fault fault)
{
    std::mt19937_64 random(seed);
    while (!m_stopping) {
        co_await pause(Milliseconds(draw(random, 100, 900)));
        if (!m_stopping)
            co_await (this->*fault)(random);
    }
}

awaitable<void> Soak::injectFault(std::mt19937_64 &random)
{
    const Milliseconds time(draw(random, 150, 2500));
    switch (draw(random, 0, 3)) {
    case 0:
        return processFault(random, time);
    case 1:
        return storeFault(random, time);
    case 2:
        return linkFault(random, time);
    default:
        return endpointFault(random, time);
    }
}

awaitable<void> Soak::waitForExit(Instance &instance, int expectedCode)
{
    while (instance.process->running())
        co_await pause(Milliseconds(20));
    const int code = instance.process->wait();
    if (code != expectedCode)
        m_record.addViolation(instance.name + " exited with " + std::to_string(code) + ", expected "
                              + std::to_string(expectedCode));
}

awaitable<void> Soak::processFault(std::mt19937_64 &random, Milliseconds time)
{
    Instance &instance = m_instances[random() % m_instances.size()];
    const int kind = draw(random, 0, 2);
    if (instance.busy)
        co_return;
    instance.busy = true;
    static constexpr std::string_view Names[] = {"paused", "killed", "stopped"};
    logFault(instance.name + " " + std::string(Names[kind]) + " for "
             + std::to_string(time.count()));
    if (kind == 0) {
        instance.process->signal(SIGSTOP);
        co_await pause(time);
        instance.process->signal(SIGCONT);
    } else {
        instance.process->signal(kind == 1 ? SIGKILL : SIGTERM);
        co_await waitForExit(instance, kind == 1 ? KilledExit : NormalExit);
        co_await pause(time / 4);
        startProcess(instance);
    }
    instance.busy = false;
}

awaitable<void> Soak::holdUpFault(std::mt19937_64 &random)
{
    Instance &instance = m_instances[random() % m_instances.size()];
    const Milliseconds time(draw(random, 200, 1300));
    if (instance.busy)
        co_return;
    instance.busy = true;
    logFault(instance.name + " stands still for " + std::to_string(time.count()));
    instance.process->signal(SIGSTOP);
    co_await pause(time);
    instance.process->signal(SIGCONT);
    instance.busy = false;
}

awaitable<void> Soak::storeFault(std::mt19937_64 &random, Milliseconds time)
{
    const int kind = draw(random, 0, 4);
    static constexpr std::string_view Names[] = {"down", "silent", "losing answers", "slow",
                                                 "without history"};
    logFault("store " + std::string(Names[kind]) + " for " + std::to_string(time.count()));
    switch (kind) {
    case 0:
        m_store.down = true;
        break;
    case 1:
        m_store.silent = true;
        break;
    case 2:
        m_store.losesAnswers = true;
        break;
    case 3:
        m_store.slow = Milliseconds(draw(random, 50, 600));
        break;
    default:
        m_store.forgetHistory();
        co_return;
    }
    co_await pause(time);
    m_store.heal();
}

awaitable<void> Soak::linkFault(std::mt19937_64 &random, Milliseconds time)
{
    const bool toStore = draw(random, 0, 1) == 0;
    Link &link = toStore ? *m_instances[random() % m_instances.size()].store
                         : m_endpoints[random() % m_endpoints.size()]->link();
    const int kind = draw(random, 0, 4);
    static constexpr std::string_view Names[] = {"slow", "dropping answers", "refusing", "silent",
                                                 "reset"};
    logFault(std::string(toStore ? "link to the store " : "link to an endpoint ")
             + std::string(Names[kind]) + " for " + std::to_string(time.count()));
    switch (kind) {
    case 0:
        link.delay(Milliseconds(draw(random, 5, 200)));
        break;
    case 1:
        link.dropAnswers(true);
        break;
    case 2:
        link.refuse(true);
        break;
    case 3:
        link.silenceOpen();
        break;
    default:
        link.resetOpen();
    }
    co_await pause(time);
    link.heal();
}

/// The store comes back from a copy, at times twice in a row. Endpoints and the operator write
/// again what they had written, and entries that nobody writes expire.
awaitable<void> Soak::restoreFault(std::mt19937_64 &random)
{
    for (int i = 0; i < 20; ++i) {
        m_store.copyTables();
        co_await pause(Milliseconds(100));
    }
    const Milliseconds age(draw(random, 100, 4000));
    const Milliseconds away(draw(random, 0, 2) * 300);
    logFault("store restored from a copy " + std::to_string(age.count()) + " ms old, away for "
             + std::to_string(away.count()));
    // Instances read a configuration whose number is not reached again in this run.
    const auto copiesEnd = Clock::now();
    for (int i = 0; i < LostWrites; ++i)
        m_store.tables().put("other", "row", std::to_string(i));
    m_version += 1;
    writeConfiguration();
    co_await pause(Milliseconds(300));
    m_store.down = away.count() > 0;
    m_store.restore(age + std::chrono::duration_cast<Milliseconds>(Clock::now() - copiesEnd));
    co_await pause(away);
    m_store.heal();
    co_await pause(Milliseconds(draw(random, 100, 700)));
    writeConfiguration();
    for (const auto &endpoint : m_endpoints) {
        co_await pause(Milliseconds(draw(random, 0, 150)));
        endpoint->writeAgain();
    }
    std::set<std::string> listed;
    for (const auto &endpoint : m_endpoints)
        listed.insert(endpoint->listedId());
    for (const std::string &key : m_store.tables().keys("endpoints"))
        if (!listed.contains(key))
            m_store.tables().drop("endpoints", key);
}

/// Cuts one instance, or all but one, from all endpoints.
awaitable<void> Soak::cutFault(std::mt19937_64 &random)
{
    const Milliseconds time(draw(random, 150, 2500));
    const std::size_t chosen = random() % m_instances.size();
    const bool allButOne = draw(random, 0, 2) == 0;
    const auto manner = static_cast<CutManner>(draw(random, 0, 2));
    static constexpr std::string_view Names[] = {"refused", "reset", "silent"};
    logFault((allButOne ? "all instances but " : "") + m_instances[chosen].name
             + " cut from the endpoints, " + std::string(Names[static_cast<std::size_t>(manner)])
             + " for " + std::to_string(time.count()));
    const auto changeLinks = [&](auto change) {
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            if ((i == chosen) != allButOne)
                for (const auto &link : m_instances[i].endpoints)
                    change(*link);
    };
    changeLinks([manner](Link &link) { link.cut(manner); });
    co_await pause(time);
    changeLinks([](Link &link) { link.heal(); });
}

/// Lets an endpoint announce a pause, or its exit, in its answers.
awaitable<void> Soak::announcement(std::mt19937_64 &random)
{
    const bool all = draw(random, 0, 4) == 0;
    Endpoint &chosen = *m_endpoints[random() % m_endpoints.size()];
    const Milliseconds time(draw(random, 300, 6000));
    const bool exits = !all && draw(random, 0, 2) == 0;
    logFault(std::string(all ? "all endpoints announce" : "an endpoint announces")
             + (exits ? " its exit for " : " a pause of ") + std::to_string(time.count()));
    if (exits)
        chosen.announcesExit = true;
    for (const auto &each : m_endpoints)
        if (!exits && (all || each.get() == &chosen))
            each->pauseUntil(Clock::now() + time);
    co_await pause(time);
    if (!chosen.announcesExit)
        co_return;
    chosen.crash();
    chosen.start();
}

awaitable<void> Soak::endpointFault(std::mt19937_64 &random, Milliseconds time)
{
    Endpoint &endpoint = *m_endpoints[random() % m_endpoints.size()];
    const auto length = std::chrono::duration_cast<Milliseconds>(m_settings.length);
    const Milliseconds runTime = std::min(UnlistedRunTime, length);
    const int kind = draw(random, 0, 7);
    static constexpr std::string_view Names[] = {"crashed",
                                                 "leaving",
                                                 "failing",
                                                 "busy",
                                                 "losing answers",
                                                 "sending extra answers",
                                                 "restarted unlisted",
                                                 "writing its former entry"};
    logFault("endpoint " + std::string(Names[kind]) + " for " + std::to_string(time.count()));
    switch (kind) {
    case 0:
        endpoint.crash();
        break;
    case 1:
        endpoint.leave();
        co_await pause(Milliseconds(2'500));
        endpoint.crash();
        break;
    case 2:
        endpoint.failing = true;
        break;
    case 3:
        endpoint.busy = true;
        break;
    case 4:
        endpoint.losesAnswers = true;
        break;
    case 6:
        endpoint.restartUnlisted();
        co_await pause(runTime);
        endpoint.crash();
        break;
    case 7:
        endpoint.writeFormerEntry();
        co_await pause(EntryLifetime);
        endpoint.deleteEntry();
        co_await pause(runTime);
        endpoint.crash();
        break;
    default:
        endpoint.sendsExtraAnswers = true;
    }
    co_await pause(time);
    endpoint.heal();
}

void Soak::saveLogs(const std::string &directory) const
{
    for (const Instance &each : m_instances)
        std::ofstream(directory + "/" + each.name + ".log")
            << each.formerOutput << each.process->output();
}

} // namespace balsamloft::soak
