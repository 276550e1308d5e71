#include "instances.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <fcntl.h>
#include <sched.h>

#include <filesystem>
#include <mutex>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace balsamloft::soak {

namespace {

/// Ample for a slow machine, so only a hang reaches the limit.
constexpr auto ReadyTimeout = std::chrono::seconds(60);
constexpr Milliseconds PollInterval {20};

/// Keeps processes that are started now from inheriting connections, which would keep them open.
void closeOnExec()
{
    for (const auto &each : std::filesystem::directory_iterator("/proc/self/fd")) {
        const int descriptor = std::stoi(each.path().filename());
        if (descriptor > STDERR_FILENO)
            ::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
    }
}

/// Does nothing if there are no \a cores.
void pin(pid_t process, const std::vector<int> &cores)
{
    if (cores.empty())
        return;
    cpu_set_t set;
    CPU_ZERO(&set);
    for (const int core : cores)
        CPU_SET(core, &set);
    ::sched_setaffinity(process, sizeof(set), &set);
}

} // namespace

std::vector<int> chooseCores(std::uint64_t seed, int count)
{
    cpu_set_t allowed;
    ::sched_getaffinity(0, sizeof(allowed), &allowed);
    std::vector<int> all;
    for (int core = 0; core < CPU_SETSIZE; ++core)
        if (CPU_ISSET(core, &allowed))
            all.push_back(core);
    std::vector<int> chosen;
    for (int i = 0; i < count; ++i)
        chosen.push_back(all[(seed + static_cast<std::size_t>(i)) % all.size()]);
    return chosen;
}

std::vector<std::jthread> startBusyThreads(int count, const std::vector<int> &cores)
{
    std::vector<std::jthread> threads;
    for (int i = 0; i < count; ++i)
        threads.emplace_back([cores](const std::stop_token &stopped) {
            pin(0, cores);
            while (!stopped.stop_requested()) { }
        });
    return threads;
}

std::unique_ptr<testsuite::Process> startInstance(const std::vector<std::string> &arguments,
                                                  const std::vector<int> &cores)
{
    // Else one process would hold the output of another that is started at the same time.
    static std::mutex starting;
    const std::scoped_lock lock(starting);
    closeOnExec();
    auto process = std::make_unique<testsuite::Process>("balsamloft-entry-standin", arguments);
    pin(process->id(), cores);
    return process;
}

awaitable<std::optional<std::string>> get(const std::string &address, std::string_view target)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    boost::system::error_code error;
    const auto token = [&error] { return asio::redirect_error(asio::use_awaitable, error); };
    co_await socket.async_connect(endpointOf(address), token());
    if (error)
        co_return std::nullopt;
    const std::string text =
        "GET " + std::string(target) + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(text), token());
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    if (!error)
        co_await http::async_read(socket, buffer, answer, token());
    if (error || answer.result() != http::status::ok)
        co_return std::nullopt;
    co_return answer.body();
}

awaitable<bool> waitUntilReady(const std::string &address)
{
    const auto end = std::chrono::steady_clock::now() + ReadyTimeout;
    while (std::chrono::steady_clock::now() < end) {
        const auto answer = co_await get(address, "/readiness");
        if (answer)
            co_return true;
        co_await pause(PollInterval);
    }
    co_return false;
}

} // namespace balsamloft::soak
