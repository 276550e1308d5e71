#include "soak.h"

#include "../entry/rawserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

#include <csignal>
#include <fstream>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace balsamloft::soak {

namespace {

constexpr auto CallerWaits = std::chrono::seconds(15);
/// Long enough for any machine: it only bounds a hang.
constexpr auto RecoveryBound = std::chrono::seconds(60);
/// How long an endpoint that is off the list still answers: longer than it may take
/// until nobody sends it anything.
constexpr Milliseconds RunsOn {13'000};
/// An entry that nobody renews is dropped after this long.
constexpr Milliseconds EntryLapses {2'500};
/// Endpoints that one request may end while the instances can tell each other.
constexpr std::size_t MostEnds = 6;
constexpr int StoppedWell = 0;
constexpr int KilledExit = 128 + SIGKILL;
constexpr std::string_view Configuration =
    R"({"version":1,"keys":{"good-key":"team-a"},
        "services":[{"name":"plain"},{"name":"model","layers":4}],"routes":[
        {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","service":"plain"},
        {"name":"unsafe","host":"h","prefix":"/unsafe/","kind":"unsafe","attempts":2,"service":"plain"},
        {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","service":"model"}]})";

int draw(std::mt19937_64 &random, int from, int to)
{
    return std::uniform_int_distribution<int>(from, to)(random);
}

std::string requestText(const std::string &id, const Attempt &attempt)
{
    static constexpr std::string_view Paths[] = {"/safe/x", "/unsafe/x", "/stream/"};
    std::string path(Paths[static_cast<std::size_t>(attempt.kind)]);
    if (attempt.kind == Kind::Stream)
        path += std::to_string(attempt.events);
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
           + "\r\nTeam-Key: good-key\r\nDeadline-Ms: 8000\r\nTokens: 10,60\r\n"
             "Content-Length: "
           + (attempt.ends ? "4\r\n\r\n" + std::string(EndingBody) : std::string("2\r\n\r\nhi"));
}

} // namespace

Soak::Soak(SoakSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_store(m_context)
{
    m_store.tables().put("configuration", "current", std::string(Configuration));
    makeEndpoints();
    makeInstances();
}

Soak::~Soak() = default;

void Soak::note(const std::string &fault)
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
        each.domain = i % 3 == 2 ? "south" : "north";
        each.callers = testsuite::freeAddress();
        each.store = std::make_unique<Link>(m_context, m_store.address());
        each.arguments = {"--name=" + each.name,
                          "--domain=" + each.domain,
                          "--listen=" + each.callers,
                          "--ready_listen=" + testsuite::freeAddress(),
                          "--peer_listen=" + testsuite::freeAddress(),
                          "--store=" + each.store->address(),
                          "--retry_slack=300",
                          "--grace_s=4"};
        startProcess(each);
    }
}

void Soak::startProcess(Instance &instance)
{
    if (instance.process)
        instance.formerOutput += instance.process->output();
    instance.process =
        std::make_unique<testsuite::Process>("balsamloft-entry-standin", instance.arguments);
}

std::vector<std::string> Soak::run()
{
    asio::co_spawn(m_context, direct(), [](const std::exception_ptr &error) {
        if (error)
            std::rethrow_exception(error);
    });
    m_context.run();
    return m_record.judge();
}

awaitable<void> Soak::direct()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        if (!co_await served(i, Kind::Safe))
            m_record.broken("not served before any fault: " + m_instances[i].name);
    m_begin = Clock::now();
    const auto spawn = [this](awaitable<void> work) {
        m_running += 1;
        asio::co_spawn(m_context, std::move(work), [this](const std::exception_ptr &error) {
            m_running -= 1;
            if (error)
                std::rethrow_exception(error);
        });
    };
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        for (int n = 0; n < m_settings.callers; ++n)
            spawn(caller(i, m_random()));
    for (int i = 0; i < m_settings.series; ++i)
        spawn(series(m_random()));
    if (m_settings.ending)
        spawn(endingCaller(m_random()));
    co_await pause(std::chrono::duration_cast<Milliseconds>(m_settings.length));
    m_over = true;
    while (m_running > 0)
        co_await pause(Milliseconds(20));
    note("all faults are over");
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (!m_instances[i].process->running())
            m_record.broken("ended by itself: " + m_instances[i].name);
        for (const Kind kind : {Kind::Safe, Kind::Unsafe, Kind::Stream})
            if (!co_await served(i, kind))
                m_record.broken("not served after all faults: " + m_instances[i].name);
    }
    m_context.stop();
}

// Callers

awaitable<bool> Soak::ask(tcp::socket &socket, const std::string &id, Attempt &attempt)
{
    boost::system::error_code error;
    const auto token = [&error] { return asio::redirect_error(asio::use_awaitable, error); };
    const std::string text = requestText(id, attempt);
    co_await asio::async_write(socket, asio::buffer(text), token());
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    // What came of a broken answer counts too, so the bound is on the socket.
    asio::steady_timer bound(socket.get_executor(), CallerWaits);
    bound.async_wait([&socket](const boost::system::error_code &stopped) {
        boost::system::error_code ignored;
        if (!stopped)
            socket.close(ignored);
    });
    if (!error)
        co_await http::async_read(socket, buffer, parser, token());
    bound.cancel();
    attempt.status = parser.is_header_done() ? parser.get().result_int() : 0;
    attempt.complete = !error && parser.is_done();
    attempt.body = parser.get().body();
    if (attempt.complete && buffer.size() > 0)
        m_record.broken("bytes after an answer: " + id);
    co_return attempt.complete &&parser.keep_alive();
}

awaitable<void> Soak::caller(std::size_t instance, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::optional<tcp::socket> socket;
    while (!m_over) {
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
        const std::string id = "r" + std::to_string(m_nextRequest++);
        Attempt attempt;
        attempt.kind = static_cast<Kind>(draw(random, 0, 2));
        attempt.events = draw(random, 1, 60);
        if (!co_await ask(*socket, id, attempt))
            socket.reset();
        m_record.got(id, std::move(attempt));
        co_await pause(Milliseconds(draw(random, 0, 60)));
    }
}

/// Sends the same request to one instance after another.
awaitable<void> Soak::endingCaller(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (!m_over) {
        tcp::socket socket(m_context);
        boost::system::error_code error;
        const Instance &instance = m_instances[random() % m_instances.size()];
        co_await socket.async_connect(endpointOf(instance.callers),
                                      asio::redirect_error(asio::use_awaitable, error));
        Attempt attempt;
        attempt.kind = Kind::Stream;
        attempt.events = 1;
        attempt.ends = true;
        const std::string id = "r" + std::to_string(m_nextRequest++);
        if (!error)
            co_await ask(socket, id, attempt);
        m_record.got(id, std::move(attempt));
        co_await pause(Milliseconds(draw(random, 300, 1200)));
    }
    if (m_settings.series == 0 && m_record.endsUnder() > MostEnds)
        m_record.broken("one request ended " + std::to_string(m_record.endsUnder()) + " endpoints");
}

awaitable<bool> Soak::served(std::size_t instance, Kind kind)
{
    const auto end = Clock::now() + RecoveryBound;
    while (Clock::now() < end) {
        tcp::socket socket(m_context);
        boost::system::error_code error;
        co_await socket.async_connect(endpointOf(m_instances[instance].callers),
                                      asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            const std::string id = "r" + std::to_string(m_nextRequest++);
            Attempt attempt;
            attempt.kind = kind;
            attempt.events = 5;
            co_await ask(socket, id, attempt);
            const bool whole = attempt.status == 200 && attempt.complete;
            // Before an instance knows its configuration it may deny nothing,
            // and that is judged too.
            m_record.got(id, std::move(attempt));
            if (whole)
                co_return true;
        }
        co_await pause(Milliseconds(50));
    }
    co_return false;
}

// Faults

awaitable<void> Soak::series(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (!m_over) {
        co_await pause(Milliseconds(draw(random, 100, 900)));
        if (!m_over)
            co_await fault(random);
    }
}

awaitable<void> Soak::fault(std::mt19937_64 &random)
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

awaitable<void> Soak::ended(Instance &instance, int wanted)
{
    while (instance.process->running())
        co_await pause(Milliseconds(20));
    const int code = instance.process->wait();
    if (code != wanted)
        m_record.broken(instance.name + " ended with " + std::to_string(code) + ", not "
                        + std::to_string(wanted));
}

awaitable<void> Soak::processFault(std::mt19937_64 &random, Milliseconds time)
{
    Instance &instance = m_instances[random() % m_instances.size()];
    const int kind = draw(random, 0, 2);
    if (instance.busy)
        co_return;
    instance.busy = true;
    static constexpr std::string_view Names[] = {"frozen", "killed", "stopped"};
    note(instance.name + " " + std::string(Names[kind]) + " for " + std::to_string(time.count()));
    if (kind == 0) {
        instance.process->signal(SIGSTOP);
        co_await pause(time);
        instance.process->signal(SIGCONT);
    } else {
        instance.process->signal(kind == 1 ? SIGKILL : SIGTERM);
        co_await ended(instance, kind == 1 ? KilledExit : StoppedWell);
        co_await pause(time / 4);
        startProcess(instance);
    }
    instance.busy = false;
}

awaitable<void> Soak::storeFault(std::mt19937_64 &random, Milliseconds time)
{
    const int kind = draw(random, 0, 4);
    static constexpr std::string_view Names[] = {"down", "silent", "losing answers", "slow",
                                                 "without history"};
    note("store " + std::string(Names[kind]) + " for " + std::to_string(time.count()));
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
    static constexpr std::string_view Names[] = {"slow", "cut one way", "refusing", "silent",
                                                 "reset"};
    note(std::string(toStore ? "link to the store " : "link to an endpoint ")
         + std::string(Names[kind]) + " for " + std::to_string(time.count()));
    switch (kind) {
    case 0:
        link.delay(Milliseconds(draw(random, 5, 200)));
        break;
    case 1:
        link.cutBack(true);
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

awaitable<void> Soak::endpointFault(std::mt19937_64 &random, Milliseconds time)
{
    Endpoint &endpoint = *m_endpoints[random() % m_endpoints.size()];
    const auto length = std::chrono::duration_cast<Milliseconds>(m_settings.length);
    const Milliseconds runsOn = std::min(RunsOn, length);
    const int kind = draw(random, 0, 7);
    static constexpr std::string_view Names[] = {"crashed",    "leaving",     "failing",
                                                 "busy",       "losing",      "talkative",
                                                 "passing by", "written late"};
    note("endpoint " + std::string(Names[kind]) + " for " + std::to_string(time.count()));
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
        endpoint.losing = true;
        break;
    case 6:
        endpoint.passBy();
        co_await pause(runsOn);
        endpoint.crash();
        break;
    case 7:
        endpoint.writeLate();
        co_await pause(EntryLapses);
        endpoint.lapse();
        co_await pause(runsOn);
        endpoint.crash();
        break;
    default:
        endpoint.talkative = true;
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
