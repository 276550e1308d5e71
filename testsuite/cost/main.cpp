// What forwarding costs an instance: one real process before a stand-in store
// and endpoints, so many streams and calls at once. Prints processor time,
// memory, and calls of sockets and of the store, each by request and by event.
// Counts have bounds, times have none; ends with 1 when a bound does not hold.

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
DEFINE_int32(requests, 20, "requests on each connection; every fourth one is a call");
DEFINE_int32(events, 40, "events of a stream");
DEFINE_string(flags, "", "one more flag of the instance, such as --log_all");
DEFINE_double(most_writes, 1.05, "bound: writes to callers for each event or call");
DEFINE_double(most_reads, 1.2, "bound: reads from endpoints for each event or call");
DEFINE_double(most_sends, 1.05, "bound: sends to endpoints for each request");
DEFINE_double(most_store_calls, 12, "bound: calls of the store in a second");

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace balsamloft::soak;
using balsamloft::testsuite::completeAnswer;
using balsamloft::testsuite::exchange;
using balsamloft::testsuite::freeAddress;

namespace {

/// Counters of the instance, and what the kernel says of its process.
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
        asio::co_spawn(m_context, direct(), [](const std::exception_ptr &error) {
            if (error)
                std::rethrow_exception(error);
        });
        m_context.run();
        return m_holds;
    }

private:
    awaitable<bool> ask(tcp::socket &socket, const std::string &path)
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
            if (!co_await ask(socket, path)) {
                m_failed += 1;
                break;
            }
            m_requests += 1;
            m_answers += call ? 1 : FLAGS_events;
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
        std::string word;
        for (int i = 1; i <= 15 && stat >> word; ++i)
            if (i >= 14)
                sample.cpuMs += 1000 * std::atof(word.c_str()) / double(::sysconf(_SC_CLK_TCK));
        std::ifstream statm(directory + "statm");
        double pages = 0;
        statm >> pages >> pages;
        sample.residentMb = pages * double(::sysconf(_SC_PAGESIZE)) / 1e6;
        co_return sample;
    }

    awaitable<void> direct()
    {
        for (bool served = false; !served; co_await pause(Milliseconds(50))) {
            tcp::socket socket(m_context);
            boost::system::error_code error;
            co_await socket.async_connect(endpointOf(m_callers),
                                          asio::redirect_error(asio::use_awaitable, error));
            served = !error && co_await ask(socket, "/stream/3") && co_await ask(socket, "/safe/x");
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

    void bounded(const char *what, double value, double most)
    {
        const bool holds = value <= most;
        std::printf("%-44s %10.3f  at most %.2f%s\n", what, value, most, holds ? "" : "  BROKEN");
        m_holds = m_holds && holds;
    }

    void report(const Sample &before, const Sample &after)
    {
        const auto grown = [&](const std::string &name) {
            return after.metrics.at("balsamloft_" + name) - before.metrics.at("balsamloft_" + name);
        };
        const std::chrono::duration<double> seconds = after.at - before.at;
        const double cpu = after.cpuMs - before.cpuMs;
        std::printf("%d requests, %d events and calls, %d failed, %.1f s\n", m_requests, m_answers,
                    m_failed, seconds.count());
        std::printf("%-44s %10.3f\n", "processor time, ms a request", cpu / m_requests);
        std::printf("%-44s %10.3f\n", "processor time, us an event or call",
                    1000 * cpu / m_answers);
        std::printf("%-44s %10.1f\n", "resident memory, MB", after.residentMb);
        bounded("writes to callers, an event or call", grown("caller_writes_total") / m_answers,
                FLAGS_most_writes);
        bounded("reads from endpoints, an event or call", grown("endpoint_reads_total") / m_answers,
                FLAGS_most_reads);
        bounded("sends to endpoints, a request", grown("endpoint_writes_total") / m_requests,
                FLAGS_most_sends);
        bounded("new connections to endpoints, a request",
                grown("endpoint_connections_opened_total") / m_requests, 1);
        bounded("calls of the store, a second", grown("store_calls_total") / seconds.count(),
                FLAGS_most_store_calls);
        bounded("failed requests", m_failed, 0);
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
    int m_answers = 0;
    int m_failed = 0;
    bool m_holds = true;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return Cost().run() ? 0 : 1;
}
