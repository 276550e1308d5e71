#include "plannedcallers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <sys/socket.h>

#include <charconv>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace balsamloft::soak {

namespace {

constexpr Milliseconds CallDeadline {8'000};
constexpr Milliseconds StreamDeadline {25'000};
/// Time beyond the deadline after which a caller gives up: no instance should need it.
constexpr Milliseconds BeyondDeadline {5'000};
/// After a connection has ended, callers wait up to this long.
constexpr int LongestPauseMs = 500;
constexpr Milliseconds TickInterval {5};
constexpr std::chrono::seconds KeptTicks {10};
/// Share of the idle timeout for which callers let a connection rest.
constexpr double RestShare = 0.8;
constexpr std::string_view TimeoutParameter = "timeout=";

int draw(std::mt19937_64 &random, int from, int to)
{
    return std::uniform_int_distribution<int>(from, to)(random);
}

Milliseconds deadlineOf(Kind kind)
{
    return kind == Kind::Stream ? StreamDeadline : CallDeadline;
}

std::string requestText(const Attempt &attempt)
{
    return "POST " + attempt.path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + attempt.id
           + "\r\nTeam-Key: " + attempt.key
           + "\r\nDeadline-Ms: " + std::to_string(deadlineOf(attempt.exchange.kind).count())
           + "\r\nTokens: 10,60\r\nPrompt-Parts: " + attempt.parts
           + "\r\nContent-Length: 2\r\n\r\nhi";
}

/// A stream of a few seconds, at times with a long pause in its middle.
std::string drawStream(Exchange &exchange, std::mt19937_64 &random)
{
    exchange.events = draw(random, 2, 12);
    const int interval = draw(random, 50, 500);
    const int longestPause = draw(random, 0, 5) == 0 ? draw(random, 1'500, 3'500) : 0;
    return "/stream/" + std::to_string(exchange.events) + "/" + std::to_string(interval) + "/"
           + std::to_string(longestPause);
}

/// Time of work of a call: mostly short.
int drawCallTime(std::mt19937_64 &random)
{
    return draw(random, 0, 5) == 0 ? draw(random, 100, 1'500) : draw(random, 0, 30);
}

Milliseconds drawRest(Milliseconds longest, std::mt19937_64 &random)
{
    constexpr int ShortRest = 100;
    const int limit = static_cast<int>(longest.count());
    switch (draw(random, 0, 4)) {
    case 0:
        return Milliseconds(draw(random, 0, std::min(ShortRest, limit)));
    case 1:
        return longest;
    default:
        return Milliseconds(draw(random, 0, limit));
    }
}

/// Whether the other side has ended the connection, as a caller can tell before it sends.
bool hasEnded(tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Opens a socket that processes started later do not inherit.
void openSocket(tcp::socket &socket)
{
    socket.assign(tcp::v4(), ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

ConnectionEnd endOf(const boost::system::error_code &error)
{
    if (error == http::error::end_of_stream || error == http::error::partial_message
        || error == asio::error::eof)
        return ConnectionEnd::Finished;
    return error == asio::error::operation_aborted ? ConnectionEnd::TimedOut : ConnectionEnd::Reset;
}

/// For how long the answer lets its connection rest.
Milliseconds restAllowed(const http::fields &answer, Milliseconds idleTimeout)
{
    const std::string field(answer[http::field::keep_alive]);
    const std::size_t at = field.find(TimeoutParameter);
    int seconds = 0;
    if (at != std::string::npos) {
        const char *begin = field.data() + at + TimeoutParameter.size();
        std::from_chars(begin, field.data() + field.size(), seconds);
        idleTimeout = std::min<Milliseconds>(idleTimeout, std::chrono::seconds(seconds));
    }
    return std::chrono::duration_cast<Milliseconds>(idleTimeout * RestShare);
}

} // namespace

awaitable<void> OwnDelay::watch()
{
    for (;;) {
        const auto due = Clock::now() + TickInterval;
        co_await pause(TickInterval);
        const auto now = Clock::now();
        m_ticks.push_back({now, std::chrono::duration_cast<Milliseconds>(now - due)});
        m_longest = std::max(m_longest, m_ticks.back().late);
        while (now - m_ticks.front().at > KeptTicks)
            m_ticks.pop_front();
    }
}

Milliseconds OwnDelay::longestSince(Clock::time_point time) const
{
    if (m_ticks.empty())
        return Milliseconds(0);
    auto longest =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - m_ticks.back().at) - TickInterval;
    for (auto tick = m_ticks.rbegin(); tick != m_ticks.rend() && tick->at >= time; ++tick)
        longest = std::max(longest, tick->late);
    return std::max(longest, Milliseconds(0));
}

CallerGroup::CallerGroup(CallerView &view, std::uint64_t firstRequest, std::uint64_t seed)
    : m_view(view)
    , m_random(seed)
    , m_nextRequest(firstRequest)
{
}

void CallerGroup::add(std::size_t home)
{
    m_running += 1;
    asio::co_spawn(m_context, runCaller(home, m_random()), [this](const std::exception_ptr &error) {
        if (error)
            std::rethrow_exception(error);
        if (--m_running == 0)
            m_context.stop();
    });
}

void CallerGroup::start()
{
    asio::co_spawn(m_context, m_delay.watch(), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

void CallerGroup::finish()
{
    m_thread.join();
}

/// Chooses another target than the \a last one, whose connection has ended, if it can.
std::size_t CallerGroup::chooseTarget(std::size_t home, std::size_t last,
                                      std::mt19937_64 &random) const
{
    if (home != last && m_view.targets[home]->inRotation)
        return home;
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < m_view.targets.size(); ++i)
        if (i != last && m_view.targets[i]->inRotation)
            ready.push_back(i);
    return ready.empty() ? home : ready[random() % ready.size()];
}

awaitable<void> CallerGroup::runCaller(std::size_t home, std::uint64_t seed)
{
    constexpr int LatestStart = 1'000;
    std::mt19937_64 random(seed);
    co_await pause(Milliseconds(draw(random, 0, LatestStart)));
    std::size_t last = m_view.targets.size();
    while (!m_view.ending) {
        const std::size_t target = chooseTarget(home, last, random);
        last = target;
        tcp::socket socket(m_context);
        openSocket(socket);
        boost::system::error_code error;
        co_await socket.async_connect(endpointOf(m_view.targets[target]->address),
                                      asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            co_await useConnection(socket, target, random);
        co_await pause(Milliseconds(draw(random, 0, LongestPauseMs)));
    }
}

awaitable<void> CallerGroup::useConnection(tcp::socket &socket, std::size_t target,
                                           std::mt19937_64 &random)
{
    Milliseconds rested(0);
    for (;;) {
        if (hasEnded(socket)) {
            m_foundClosed += 1;
            co_return;
        }
        Attempt attempt = drawAttempt(target, random);
        attempt.rested = rested;
        const std::optional<Milliseconds> allowed = co_await send(socket, std::move(attempt));
        if (!allowed)
            co_return;
        const auto restBegin = Clock::now();
        co_await pause(drawRest(*allowed, random));
        rested = std::chrono::duration_cast<Milliseconds>(Clock::now() - restBegin);
        if (rested > *allowed + TickInterval)
            co_return;
    }
}

Attempt CallerGroup::drawAttempt(std::size_t target, std::mt19937_64 &random)
{
    Attempt attempt;
    attempt.target = target;
    attempt.id = requestId(m_nextRequest++, m_view.targets[target]->name);
    attempt.key = m_view.keys[attempt.target % m_view.keys.size()];
    attempt.parts = attempt.id + ":5";
    if (m_view.sharedParts > 0)
        attempt.parts =
            "shared-" + std::to_string(draw(random, 1, m_view.sharedParts)) + ":5," + attempt.parts;
    const int choice = draw(random, 0, 9);
    if (choice < 3) {
        attempt.exchange.kind = Kind::Stream;
        attempt.path = drawStream(attempt.exchange, random);
        return attempt;
    }
    attempt.exchange.kind = choice < 6 ? Kind::Unsafe : Kind::Safe;
    attempt.exchange.mayLackRoute = choice == 9 && m_view.extraRoute;
    attempt.path = (attempt.exchange.mayLackRoute           ? "/extra/"
                    : attempt.exchange.kind == Kind::Unsafe ? "/unsafe/"
                                                            : "/safe/")
                   + std::to_string(drawCallTime(random));
    return attempt;
}

awaitable<std::optional<Milliseconds>> CallerGroup::send(tcp::socket &socket, Attempt attempt)
{
    CallerTarget &target = *m_view.targets[attempt.target];
    const Milliseconds idleTimeout(m_view.idleTimeoutMs);
    boost::system::error_code error;
    const auto token = [&error] { return asio::redirect_error(asio::use_awaitable, error); };
    const std::string text = requestText(attempt);
    target.inProgress += 1;
    co_await asio::async_write(socket, asio::buffer(text), token());
    attempt.sentAt = Clock::now();
    attempt.deadline = deadlineOf(attempt.exchange.kind);
    asio::steady_timer timer(m_context, deadlineOf(attempt.exchange.kind) + BeyondDeadline);
    timer.async_wait([&socket](const boost::system::error_code &stopped) {
        boost::system::error_code ignored;
        if (!stopped)
            socket.close(ignored);
    });
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!error)
        co_await http::async_read(socket, buffer, parser, token());
    timer.cancel();
    target.inProgress -= 1;
    attempt.endedAt = Clock::now();
    attempt.age = std::chrono::duration_cast<Milliseconds>(attempt.endedAt - attempt.sentAt)
                  - m_delay.longestSince(attempt.sentAt);
    attempt.end = error ? endOf(error) : ConnectionEnd::Open;
    Exchange &exchange = attempt.exchange;
    exchange.status = parser.is_header_done() ? static_cast<int>(parser.get().result_int()) : 0;
    exchange.complete = !error && parser.is_done();
    exchange.body = parser.get().body();
    attempt.moreThanAnswered = exchange.complete && buffer.size() > 0;
    const bool goesOn = exchange.complete && parser.keep_alive();
    m_attempts.push_back(std::move(attempt));
    if (!goesOn)
        co_return std::nullopt;
    co_return restAllowed(parser.get(), idleTimeout);
}

} // namespace balsamloft::soak
