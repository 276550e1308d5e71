// Measures what callers get from one real process that receives more requests than it can read: on
// one core, beside busy processes, with callers that leave after a short time and repeat once. The
// program exits with 1 if too few are served during the overload or after it.

#include "../common/ports.h"
#include "../common/process.h"
#include "../soak/platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <gflags/gflags.h>

#include <sched.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <numeric>

DEFINE_double(rate, 200, "requests per second that the instance serves with ease");
DEFINE_double(multiple, 4, "overload, as a multiple of --rate");
DEFINE_int32(seconds, 6, "duration of the overload");
DEFINE_int32(after, 8, "duration of half of --rate after the overload");
DEFINE_int32(busy, 60, "busy processes on the core of the instance");
DEFINE_int32(patience_ms, 400, "time after which a caller leaves");
DEFINE_bool(keep, false, "callers keep connections after an answer");
DEFINE_string(service, "plain", "plain or model");
DEFINE_double(min_during, 0.75, "lower bound: served during the overload, of the rate");
DEFINE_double(min_after, 0.9, "lower bound: served from 2 s after the overload on");
DEFINE_bool(log, false, "prints the log of the instance");

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace balsamloft::soak;
using balsamloft::testsuite::freeAddress;

namespace {

constexpr int BeforeSeconds = 4;
constexpr int RecoverySeconds = 2;
constexpr int EndpointCount = 8;
constexpr int InstanceCore = 0;

void useCores(pid_t process, bool instanceCore)
{
    cpu_set_t cores;
    CPU_ZERO(&cores);
    for (long i = 0; i < ::sysconf(_SC_NPROCESSORS_ONLN); ++i)
        if ((i == InstanceCore) == instanceCore)
            CPU_SET(i, &cores);
    ::sched_setaffinity(process, sizeof cores, &cores);
}

/// Processes that use all time that they get on the core of the instance.
class BusyProcesses
{
public:
    explicit BusyProcesses(int count)
    {
        for (int i = 0; i < count; ++i) {
            const pid_t child = ::fork();
            if (child == 0) {
                ::prctl(PR_SET_PDEATHSIG, SIGKILL);
                useCores(0, true);
                for (std::atomic<std::uint64_t> count {0};;)
                    count += 1;
            }
            m_children.push_back(child);
        }
    }
    ~BusyProcesses()
    {
        for (const pid_t child : m_children) {
            ::kill(child, SIGKILL);
            ::waitpid(child, nullptr, 0);
        }
    }
    BusyProcesses(const BusyProcesses &) = delete;
    BusyProcesses &operator=(const BusyProcesses &) = delete;

private:
    std::vector<pid_t> m_children;
};

/// Requests that were begun in one second.
struct Second
{
    int begun = 0;
    int served = 0; ///< in time, at the first attempt or the repeat
};

class Overload
{
public:
    Overload()
        : m_store(m_context)
        , m_seconds(BeforeSeconds + FLAGS_seconds + FLAGS_after)
    {
        m_store.tables().put("configuration", "current",
                             R"({"version":1,"keys":{"k":"team-a"},
                       "services":[{"name":"plain"},{"name":"model","layers":4}],"routes":[
                       {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","service":"plain"},
                       {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","service":"model"}]})");
        for (int i = 0; i < EndpointCount; ++i)
            m_endpoints.push_back(std::make_unique<Endpoint>(m_context, m_store, m_record,
                                                             "e" + std::to_string(i), FLAGS_service,
                                                             "d", static_cast<std::uint64_t>(i)));
        m_process = std::make_unique<balsamloft::testsuite::Process>(
            "balsamloft-entry-standin",
            std::vector<std::string> {"--name=entry-1", "--domain=d", "--listen=" + m_callers,
                                      "--ready_listen=" + freeAddress(),
                                      "--peer_listen=" + freeAddress(),
                                      "--store=" + m_store.address()});
        m_process->waitFor("\"event\":\"(started)\"");
    }

    bool run()
    {
        asio::co_spawn(m_context, runPhases(), [](const std::exception_ptr &error) {
            if (error)
                std::rethrow_exception(error);
        });
        m_context.run();
        if (FLAGS_log)
            std::printf("%s\n", m_process->output().c_str());
        return report();
    }

private:
    /// Sends a request on \a socket. \return whether it was answered with 200 before the caller
    /// left.
    awaitable<bool> request(tcp::socket &socket)
    {
        asio::steady_timer patience(m_context, Milliseconds(FLAGS_patience_ms));
        patience.async_wait([&socket](const boost::system::error_code &error) {
            boost::system::error_code ignored;
            if (!error)
                socket.close(ignored);
        });
        boost::system::error_code error;
        if (!socket.is_open())
            co_await socket.async_connect(endpointOf(m_callers),
                                          asio::redirect_error(asio::use_awaitable, error));
        const std::string path = FLAGS_service == "plain" ? "/safe/x" : "/stream/20";
        const std::string text = "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r"
                                 + std::to_string(m_next++)
                                 + "\r\nTeam-Key: k\r\nDeadline-Ms: 5000\r\nTokens: 10,60"
                                   "\r\nContent-Length: 2\r\n\r\nhi";
        if (!error)
            co_await asio::async_write(socket, asio::buffer(text),
                                       asio::redirect_error(asio::use_awaitable, error));
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        if (!error)
            co_await http::async_read(socket, buffer, answer,
                                      asio::redirect_error(asio::use_awaitable, error));
        patience.cancel();
        co_return !error && answer.result_int() == 200;
    }

    awaitable<void> caller(std::size_t second)
    {
        m_running += 1;
        for (int attempt = 0; attempt < 2; ++attempt) {
            tcp::socket socket(m_context);
            if (!m_kept.empty()) {
                socket = std::move(m_kept.back());
                m_kept.pop_back();
            }
            if (co_await request(socket)) {
                m_seconds[second].served += 1;
                if (FLAGS_keep)
                    m_kept.push_back(std::move(socket));
                break;
            }
        }
        m_running -= 1;
    }

    double rateAt(std::size_t second) const
    {
        if (second < BeforeSeconds)
            return FLAGS_rate;
        const auto overloadEnd = static_cast<std::size_t>(FLAGS_seconds) + BeforeSeconds;
        return second < overloadEnd ? FLAGS_rate * FLAGS_multiple : FLAGS_rate / 2;
    }

    awaitable<void> runPhases()
    {
        for (bool served = false; !served; co_await pause(Milliseconds(50))) {
            tcp::socket socket(m_context);
            served = co_await request(socket);
        }
        const std::string threads = "/proc/" + std::to_string(m_process->id()) + "/task";
        for (const auto &each : std::filesystem::directory_iterator(threads))
            useCores(std::stoi(each.path().filename()), true);
        const BusyProcesses busy(FLAGS_busy);
        useCores(0, false);
        const auto begin = Clock::now();
        double due = 0;
        for (std::size_t second = 0; second < m_seconds.size();) {
            due += rateAt(second) / 1000;
            for (; due >= 1; due -= 1) {
                m_seconds[second].begun += 1;
                asio::co_spawn(m_context, caller(second), asio::detached);
            }
            m_elapsed += Milliseconds(1);
            asio::steady_timer timer(m_context, begin + m_elapsed);
            co_await timer.async_wait(asio::use_awaitable);
            second = static_cast<std::size_t>(m_elapsed.count() / 1000);
        }
        while (m_running > 0)
            co_await pause(Milliseconds(20));
        m_context.stop();
    }

    /// Requests served per second from \a first to before \a last.
    double served(int first, int last) const
    {
        return std::accumulate(m_seconds.begin() + first, m_seconds.begin() + last, 0.0,
                               [](double sum, const Second &each) { return sum + each.served; })
               / (last - first);
    }

    bool report() const
    {
        for (const Second &each : m_seconds)
            std::printf("%d/%d ", each.served, each.begun);
        const int overloadEnd = BeforeSeconds + FLAGS_seconds;
        const double before = served(1, BeforeSeconds);
        const double during = served(BeforeSeconds, overloadEnd) / before;
        const double after =
            served(overloadEnd + RecoverySeconds, int(m_seconds.size())) / (FLAGS_rate / 2);
        std::printf("\nbefore %.2f, during %.2f of before, from %d s after %.2f\n",
                    before / FLAGS_rate, during, RecoverySeconds, after);
        return during >= FLAGS_min_during && after >= FLAGS_min_after;
    }

    asio::io_context m_context;
    Record m_record;
    Store m_store;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::string m_callers = freeAddress();
    std::unique_ptr<balsamloft::testsuite::Process> m_process;
    std::vector<Second> m_seconds;
    std::vector<tcp::socket> m_kept;
    Milliseconds m_elapsed {0};
    int m_next = 1;
    int m_running = 0;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return Overload().run() ? 0 : 1;
}
