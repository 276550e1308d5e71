// Measures what forwarding costs an instance: one real process with a fake store and fake endpoints
// handles many concurrent streams and calls. Prints processor time and memory, and the number of
// socket operations and store calls. The counts have bounds, the times have none. The program exits
// with 1 if a bound is exceeded.

#include "../common/ports.h"
#include "../common/process.h"
#include "../common/wait.h"
#include "../entry/rawserver.h"
#include "../soak/platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <gflags/gflags.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <regex>
#include <sstream>

DEFINE_int32(callers, 30, "connections, each with one request at a time");
DEFINE_int32(requests, 20, "requests on each connection; every fourth is a call");
DEFINE_int32(events, 40, "events per stream");
DEFINE_string(flags, "", "additional flag of the instance, such as --log_all");
DEFINE_double(most_writes, 1.05, "upper bound: writes to callers per event or call");
DEFINE_double(most_reads, 1.2, "upper bound: reads from endpoints per event or call");
DEFINE_double(most_sends, 1.05, "upper bound: sends to endpoints per request");
DEFINE_double(most_store_calls, 12, "upper bound: store calls per second");

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace balsamloft::soak;
using balsamloft::testsuite::completeAnswer;
using balsamloft::testsuite::exchange;
using balsamloft::testsuite::freeAddress;

namespace {

/// Metrics of the instance, and processor time and memory of its process from /proc.
struct Sample
{
    double cpuMs = 0;
    double residentMb = 0;
    std::map<std::string, double> metrics;
    Clock::time_point at = Clock::now();
};

class Cost
{
public:
    Cost()
        : m_store(m_context)
    {
        m_store.tables().put("configuration", "current",
                             R"({"version":1,"keys":{"k":"team-a"},
                       "services":[{"name":"plain"},{"name":"model","layers":4}],"routes":[
                       {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","service":"plain"},
                       {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","service":"model"}]})");
        for (int i = 0; i < 4; ++i)
            m_endpoints.push_back(std::make_unique<Endpoint>(
                m_context, m_store, m_record, "e" + std::to_string(i), i < 3 ? "model" : "plain",
                "d", static_cast<std::uint64_t>(i)));
        std::vector<std::string> arguments {"--name=entry-1",
                                            "--domain=d",
                                            "--listen=" + m_callers,
                                            "--ready_listen=" + freeAddress(),
                                            "--metrics_listen=" + m_metrics,
                                            "--peer_listen=" + freeAddress(),
                                            "--store=" + m_store.address()};
        if (!FLAGS_flags.empty())
            arguments.push_back(FLAGS_flags);
        m_process =
            std::make_unique<balsamloft::testsuite::Process>("balsamloft-entry-standin", arguments);
    }

    bool run()
    {
        asio::co_spawn(m_context, runPhases(), [](const std::exception_ptr &error) {
            if (error)
                std::rethrow_exception(error);
        });
        m_context.run();
        return m_withinBounds;
    }

private:
    awaitable<bool> send(tcp::socket &socket, const std::string &path)
    {
        const std::string id = "r" + std::to_string(m_next++);
        const std::string text = "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
                                 + "\r\nTeam-Key: k\r\nDeadline-Ms: 60000\r\nTokens: 10,"
                                 + std::to_string(FLAGS_events * 3)
                                 + "\r\nContent-Length: 2\r\n\r\nhi";
        boost::system::error_code error;
        co_await asio::async_write(socket, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, error));
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        if (!error)
            co_await http::async_read(socket, buffer, answer,
                                      asio::redirect_error(asio::use_awaitable, error));
        co_return !error && answer.result_int() == 200;
    }

    awaitable<void> caller()
    {
        tcp::socket socket(m_context);
        co_await socket.async_connect(endpointOf(m_callers), asio::use_awaitable);
        for (int i = 0; i < FLAGS_requests; ++i) {
            const bool call = i % 4 == 3;
            const std::string path =
                call ? std::string("/safe/x") : "/stream/" + std::to_string(FLAGS_events);
            if (!co_await send(socket, path)) {
                m_failed += 1;
                break;
            }
            m_requests += 1;
            m_eventsAndCalls += call ? 1 : FLAGS_events;
        }
        m_running -= 1;
    }

    awaitable<std::string> get(const std::string &address)
    {
        tcp::socket socket(m_context);
        co_await socket.async_connect(endpointOf(address), asio::use_awaitable);
        const std::string text = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        co_await http::async_read(socket, buffer, answer, asio::use_awaitable);
        co_return answer.body();
    }

    awaitable<Sample> sample()
    {
        Sample sample;
        std::istringstream lines(co_await get(m_metrics));
        for (std::string name, value; lines >> name >> value;)
            sample.metrics[name] = std::atof(value.c_str());
        const std::string directory = "/proc/" + std::to_string(m_process->id()) + "/";
        std::ifstream stat(directory + "stat");
        std::string field;
        for (int i = 1; i <= 15 && stat >> field; ++i)
            if (i >= 14) // fields 14 and 15: utime and stime
                sample.cpuMs += 1000 * std::atof(field.c_str()) / double(::sysconf(_SC_CLK_TCK));
        std::ifstream statm(directory + "statm");
        double pages = 0;
        statm >> pages >> pages;
        sample.residentMb = pages * double(::sysconf(_SC_PAGESIZE)) / 1e6;
        co_return sample;
    }

    awaitable<void> runPhases()
    {
        for (bool served = false; !served; co_await pause(Milliseconds(50))) {
            tcp::socket socket(m_context);
            boost::system::error_code error;
            co_await socket.async_connect(endpointOf(m_callers),
                                          asio::redirect_error(asio::use_awaitable, error));
            served =
                !error && co_await send(socket, "/stream/3") && co_await send(socket, "/safe/x");
        }
        const Sample before = co_await sample();
        m_running = FLAGS_callers;
        for (int i = 0; i < FLAGS_callers; ++i)
            asio::co_spawn(m_context, caller(), asio::detached);
        while (m_running > 0)
            co_await pause(Milliseconds(20));
        report(before, co_await sample());
        m_context.stop();
    }

    void checkBound(const char *what, double value, double max)
    {
        const bool withinBound = value <= max;
        std::printf("%-44s %10.3f  at most %.2f%s\n", what, value, max,
                    withinBound ? "" : "  EXCEEDED");
        m_withinBounds = m_withinBounds && withinBound;
    }

    void report(const Sample &before, const Sample &after)
    {
        const auto increase = [&](const std::string &name) {
            return after.metrics.at("balsamloft_" + name) - before.metrics.at("balsamloft_" + name);
        };
        const std::chrono::duration<double> seconds = after.at - before.at;
        const double cpu = after.cpuMs - before.cpuMs;
        std::printf("%d requests, %d events and calls, %d failed, %.1f s\n", m_requests,
                    m_eventsAndCalls, m_failed, seconds.count());
        std::printf("%-44s %10.3f\n", "processor time, ms per request", cpu / m_requests);
        std::printf("%-44s %10.3f\n", "processor time, us per event or call",
                    1000 * cpu / m_eventsAndCalls);
        std::printf("%-44s %10.1f\n", "resident memory, MB", after.residentMb);
        checkBound("writes to callers per event or call",
                   increase("caller_writes_total") / m_eventsAndCalls, FLAGS_most_writes);
        checkBound("reads from endpoints per event or call",
                   increase("endpoint_reads_total") / m_eventsAndCalls, FLAGS_most_reads);
        checkBound("sends to endpoints per request", increase("endpoint_writes_total") / m_requests,
                   FLAGS_most_sends);
        checkBound("new connections to endpoints per request",
                   increase("endpoint_connections_opened_total") / m_requests, 1);
        checkBound("store calls per second", increase("store_calls_total") / seconds.count(),
                   FLAGS_most_store_calls);
        checkBound("failed requests", m_failed, 0);
    }

    asio::io_context m_context;
    Record m_record;
    Store m_store;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::string m_callers = freeAddress();
    std::string m_metrics = freeAddress();
    std::unique_ptr<balsamloft::testsuite::Process> m_process;
    int m_next = 1;
    int m_running = 0;
    int m_requests = 0;
    int m_eventsAndCalls = 0;
    int m_failed = 0;
    bool m_withinBounds = true;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return Cost().run() ? 0 : 1;
}
