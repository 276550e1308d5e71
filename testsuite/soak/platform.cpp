#include "platform.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace balsamloft::soak {

namespace {

constexpr int Ok = 200;
constexpr int HistoryGone = 410;
constexpr int Unavailable = 503;
constexpr int NoAnswer = 0;
constexpr Milliseconds PollInterval {20};
constexpr Milliseconds RestartDelay {700};

std::string answerText(int status, const std::string &body, const std::string &more = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + more
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Splits a request target at its slashes. The leading slash is skipped.
std::vector<std::string> partsOf(std::string_view target)
{
    std::vector<std::string> parts(1);
    for (const char c : target.substr(1)) {
        if (c == '/')
            parts.emplace_back();
        else
            parts.back().push_back(c);
    }
    return parts;
}

/// The number in part \a index of a request target, or \a fallback.
int numberIn(const std::vector<std::string> &parts, std::size_t index, int fallback)
{
    int number = fallback;
    if (index < parts.size())
        std::from_chars(parts[index].data(), parts[index].data() + parts[index].size(), number);
    return number;
}

std::string field(const Request &request, std::string_view name)
{
    return std::string(request[boost::beast::string_view(name.data(), name.size())]);
}

} // namespace

Store::Store(asio::io_context &context)
    : m_context(context)
{
    addView({});
}

std::string Store::address() const
{
    return "127.0.0.1:" + std::to_string(m_views.front().acceptor.local_endpoint().port());
}

std::string Store::addView(std::map<std::string, std::string> replaced)
{
    View &view = m_views.emplace_back(
        View {tcp::acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
              std::move(replaced)});
    asio::co_spawn(m_context, accept(view), asio::detached);
    return "127.0.0.1:" + std::to_string(view.acceptor.local_endpoint().port());
}

void Store::copyTables()
{
    constexpr std::size_t MaxCopies = 60;
    m_copies.push_back({Clock::now(), m_tables, m_historyStart});
    if (m_copies.size() > MaxCopies)
        m_copies.pop_front();
}

void Store::restore(Milliseconds age)
{
    const auto oldest = std::find_if(m_copies.begin(), m_copies.end(), [&](const Copy &each) {
        return Clock::now() - each.at <= age;
    });
    if (oldest == m_copies.end())
        return;
    m_tables = oldest->tables;
    m_historyStart = oldest->historyStart;
    // Those that the restore has lost never were.
    m_copies.erase(oldest + 1, m_copies.end());
    m_era += 1;
}

void Store::heal()
{
    down = silent = losesAnswers = false;
    slow = Milliseconds(0);
}

awaitable<void> Store::accept(View &view)
{
    for (;;) {
        tcp::socket socket = co_await view.acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(m_context, serve(std::move(socket), view), asio::detached);
    }
}

awaitable<void> Store::serve(tcp::socket socket, const View &view)
{
    boost::system::error_code error;
    boost::beast::flat_buffer buffer;
    for (;;) {
        Request request;
        co_await http::async_read(socket, buffer, request,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        if (slow.count() > 0)
            co_await pause(slow);
        auto [status, body] = co_await answer(request);
        for (const auto &[from, to] : view.replaced)
            boost::replace_all(body, from, to);
        if (losesAnswers)
            co_return;
        if (status == NoAnswer)
            continue;
        const std::string text = answerText(status, body, "Era: " + std::to_string(m_era) + "\r\n");
        co_await asio::async_write(socket, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
    }
}

awaitable<std::pair<int, std::string>> Store::answer(const Request &request)
{
    if (silent)
        co_return std::pair(NoAnswer, std::string());
    if (down)
        co_return std::pair(Unavailable, std::string());
    const std::string target(request.target());
    if (target == "/commit")
        co_return m_tables.commit(request.body());
    const std::vector<std::string> parts = partsOf(target);
    if (parts[0] != "changes")
        co_return std::pair(Ok, m_tables.rows(parts[1]));
    const std::uint64_t after = std::stoull(parts[2]);
    const auto until = Clock::now() + Milliseconds(std::stol(parts[3]));
    while (Clock::now() < until && m_tables.newest(parts[1]) <= after && !down)
        co_await pause(PollInterval);
    if (down)
        co_return std::pair(Unavailable, std::string());
    if (after < m_historyStart || after > m_tables.version())
        co_return std::pair(HistoryGone, std::string("{}"));
    co_return std::pair(Ok, m_tables.changes(parts[1], after));
}

Endpoint::Endpoint(asio::io_context &context, Store &store, Record &record, std::string name,
                   std::string service, std::string domain, std::uint64_t seed)
    : m_context(context)
    , m_store(store)
    , m_record(record)
    , m_name(std::move(name))
    , m_service(std::move(service))
    , m_domain(std::move(domain))
    , m_random(seed)
    , m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_link(context, "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
{
    asio::co_spawn(context, accept(), asio::detached);
    start();
}

void Endpoint::write(const std::string &state)
{
    json::object row {{"service", m_service},
                      {"address", m_link.address()},
                      {"domain", m_domain},
                      {"kind", "card"},
                      {"state", state}};
    if (m_service == "model")
        row["layers"] = {m_layers.first, m_layers.second};
    if (m_slots)
        row["slots"] = *m_slots;
    m_store.tables().put("endpoints", m_id, json::serialize(row));
    m_state = state;
}

void Endpoint::offerSlots(int slots)
{
    m_slots = slots;
    writeAgain();
}

void Endpoint::holdLayers(int begin, int end)
{
    m_layers = {begin, end};
    m_changesPaths = true;
    writeAgain();
}

void Endpoint::writeAgain()
{
    if (!listedId().empty())
        write(m_state);
}

void Endpoint::start()
{
    if (!m_id.empty())
        return;
    m_id = m_name + "-" + std::to_string(++m_starts);
    announcesExit = false;
    m_pausedUntil = {};
    m_link.refuse(false);
    write("ready");
}

void Endpoint::crash()
{
    if (m_id.empty())
        return;
    m_link.refuse(true);
    for (const auto &socket : std::set<std::shared_ptr<tcp::socket>>(m_open)) {
        boost::system::error_code ignored;
        socket->close(ignored);
    }
    m_link.resetOpen();
    m_store.tables().drop("endpoints", m_id);
    m_id.clear();
    m_state.clear();
}

void Endpoint::leave()
{
    if (m_id.empty())
        return;
    m_record.leaving(m_id);
    write("leaving");
}

void Endpoint::restartUnlisted()
{
    crash();
    start();
    deleteEntry();
    m_record.leaving(m_id);
}

void Endpoint::writeFormerEntry()
{
    if (m_id.empty())
        return;
    leave();
    deleteEntry();
    write("ready");
}

void Endpoint::deleteEntry()
{
    if (!m_id.empty())
        m_store.tables().drop("endpoints", m_id);
    m_state.clear();
}

void Endpoint::heal()
{
    failing = busy = losesAnswers = sendsExtraAnswers = false;
    m_link.heal();
    start();
}

awaitable<void> Endpoint::crashAndReturn()
{
    m_record.crashed(m_id);
    crash();
    m_link.cut(CutManner::Refuse);
    co_await pause(RestartDelay);
    // Without the list, a new process at the same address would be taken for the one that crashed.
    while (m_store.down)
        co_await pause(RestartDelay);
    m_link.heal();
    start();
}

awaitable<void> Endpoint::accept()
{
    for (;;) {
        auto socket =
            std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(asio::use_awaitable));
        m_open.insert(socket);
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

awaitable<void> Endpoint::serve(std::shared_ptr<tcp::socket> socket)
{
    boost::beast::flat_buffer buffer;
    for (;;) {
        Request request;
        boost::system::error_code error;
        co_await http::async_read(*socket, buffer, request,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error || !co_await run(*socket, request))
            break;
    }
    boost::system::error_code ignored;
    socket->close(ignored);
    m_open.erase(socket);
}

/// The header fields in which the answer to \a request announces a pause or the exit.
std::string Endpoint::announcedFields(const std::string &request)
{
    const auto now = Clock::now();
    if (announcesExit) {
        m_record.announced(m_id, instanceOf(request), Clock::time_point::max());
        return "Draining: 1\r\n";
    }
    if (now >= m_pausedUntil)
        return {};
    m_record.announced(m_id, instanceOf(request), m_pausedUntil);
    const std::chrono::duration<double> left = m_pausedUntil - now;
    return "Retry-After: " + std::to_string(left.count()) + "\r\n";
}

awaitable<bool> Endpoint::run(tcp::socket &socket, const Request &request)
{
    if (m_id.empty())
        co_return false; // A request that was on the way when the endpoint crashed.
    const std::string id = field(request, "Request-Id");
    const std::string echo = "Request-Id: " + id + "\r\n";
    std::string text;
    if (request.target() == "/state")
        text = answerText(Ok, R"({"layers":[)" + std::to_string(m_layers.first) + ","
                                  + std::to_string(m_layers.second) + R"(],"orders":1})");
    else if (request.target() == "/path")
        text = answerText(m_changesPaths ? Ok : 404, {});
    else if (field(request, "Endpoint-Id") != m_id)
        text = answerText(421, {}, echo + "Not-Run: 1\r\n");
    else if (m_record.arrived(m_id, instanceOf(id)); busy || Clock::now() < m_pausedUntil)
        text = answerText(Unavailable, {}, echo + announcedFields(id) + "Not-Run: 1\r\n");
    else
        m_record.executed(id, m_id);
    const std::string parts = field(request, "Prompt-Parts");
    const std::size_t crashingPart = parts.find(CrashingPart);
    const bool hasCrashingPart =
        crashingPart != std::string::npos && parts.find(',', crashingPart) != std::string::npos;
    if (text.empty() && (request.body() == CrashingBody || hasCrashingPart)) {
        asio::co_spawn(m_context, crashAndReturn(), asio::detached);
        co_return false;
    }
    if (text.empty() && request.target().starts_with("/stream/") && !failing)
        co_return co_await stream(socket, request);
    if (text.empty()) {
        const auto parts = partsOf(std::string(request.target()));
        co_await pause(Milliseconds(numberIn(parts, 1, static_cast<int>(m_random() % 30))));
        if (losesAnswers)
            co_return false;
        text = failing ? answerText(500, "failed", echo + "Seal: s\r\n")
                       : answerText(Ok, callBody(id), echo + announcedFields(id) + "Seal: s\r\n");
        if (sendsExtraAnswers)
            text += "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nSeal: s\r\nContent-Length: 1\r\n\r\n!";
    }
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, error));
    m_record.finished(id, m_id);
    co_return !error;
}

awaitable<bool> Endpoint::stream(tcp::socket &socket, const Request &request)
{
    const std::string id = field(request, "Request-Id");
    const std::string after = field(request, "Last-Event-Id");
    const auto parts = partsOf(std::string(request.target()));
    const int events = numberIn(parts, 1, 1);
    const int longestPause = numberIn(parts, 3, 0);
    std::string text = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSeal: s\r\n"
                       + announcedFields(id)
                       + "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n";
    boost::system::error_code error;
    for (int i = after.empty() ? 1 : std::stoi(after) + 1; i <= events; ++i) {
        const std::string event = eventText(id, i);
        std::ostringstream size;
        size << std::hex << event.size();
        text += size.str() + "\r\n" + event + "\r\n";
        co_await asio::async_write(socket, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return false;
        text.clear();
        co_await pause(Milliseconds(numberIn(parts, 2, 10 + static_cast<int>(m_random() % 20))));
        if (i == (events + 1) / 2)
            co_await pause(Milliseconds(longestPause));
    }
    text += "0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, error));
    m_record.finished(id, m_id);
    co_return !error;
}

} // namespace balsamloft::soak
