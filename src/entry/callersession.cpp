#include "callersession.h"

#include "clock.h"
#include "decisionlog.h"
#include "sockets.h"
#include "trafficfront.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>

namespace asio = boost::asio;

namespace balsamloft {

namespace {

constexpr Duration ConnectWithin {200'000};
constexpr Duration LeastIdle {400'000}; ///< before a connection is closed by a planned stop
constexpr std::size_t MostReadAhead = 64 * 1024;

std::string_view statusText(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Answer";
    }
}

template<typename Number>
std::optional<Number> numberFrom(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    Number number = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), number).ec != std::errc {})
        return std::nullopt;
    return number;
}

std::string lowerHost(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::int64_t milliseconds(Duration duration)
{
    return duration.count() / 1000;
}

} // namespace

CallerSession::CallerSession(TrafficFront &front, asio::ip::tcp::socket socket)
    : m_front(front)
    , m_socket(std::move(socket))
{
}

void CallerSession::start()
{
    setSocketOptions(m_socket);
    m_lastRead = steadyNow();
    read();
}

void CallerSession::read()
{
    if (m_reading || m_closed || m_in.size() > MostReadAhead)
        return;
    m_reading = true;
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
            self->m_reading = false;
            self->arrived(error, count);
        });
}

void CallerSession::arrived(const boost::system::error_code &error, std::size_t count)
{
    if (m_closed)
        return;
    if (error) {
        // The caller left: its request is given up where it runs, at once.
        return close();
    }
    m_lastRead = steadyNow();
    m_in.append(m_buffer.data(), count);
    if (!m_flight && !m_writing)
        parse();
    read();
}

void CallerSession::parse()
{
    if (m_in.empty() || m_closed)
        return;
    if (!m_request) {
        MessageLimits limits;
        if (const RouteMapPtr &table = m_front.table()) {
            limits.headerBytes = table->limits().maxHeaderBytes;
            limits.bodyBytes = table->limits().maxBodyBytes;
        }
        m_request.emplace(MessageReader::Kind::Request, limits);
    }
    const std::size_t taken = m_request->take(m_in);
    m_in.erase(0, taken);
    if (m_request->failure() != MessageReader::Failure::None)
        return refuseMalformed();
    if (m_request->headDone() && !m_request->done() && m_request->body().empty()
        && m_request->head().find("Expect"))
        write("HTTP/1.1 100 Continue\r\n\r\n");
    if (m_request->done())
        handle();
}

void CallerSession::refuseMalformed()
{
    m_closeAfter = true;
    switch (m_request->failure()) {
    case MessageReader::Failure::HeaderTooLarge:
        return refuse(431, "header too large");
    case MessageReader::Failure::BodyTooLarge:
        return refuse(413, "body too large");
    default:
        return refuse(400, "malformed request");
    }
}

void CallerSession::handle()
{
    const MessageHead &head = m_request->head();
    m_startedAt = steadyNow();
    m_streamBegun = false;
    m_passedEvents = 0;
    m_firstEventAt = {};
    m_longestGap = {};
    m_trail.clear();
    m_routeName.clear();
    m_closeAfter = m_closeAfter || !m_request->keepAlive();
    m_requestId = std::string(head.find(m_front.protocol().headers().requestId).value_or(""));
    m_table = m_front.table();
    if (!m_table)
        return refuse(503, "no configuration yet", Duration(500'000));
    const std::string_view target = head.target;
    const std::string_view path = target.substr(0, target.find('?'));
    const Route *route = m_table->match(lowerHost(head.find("Host").value_or("")), path);
    // What this instance knows may be too old to deny anything by.
    if (!route)
        return m_front.keysFresh() ? refuse(404, "no route")
                                   : refuse(503, "configuration too old", Duration(300'000));
    if (!admit(*route, *m_table))
        return;
    if (m_requestId.empty())
        return refuse(400, "request id missing");
    submit(m_table, *route);
}

bool CallerSession::admit(const Route &route, const RouteMap &table)
{
    m_teamName.clear();
    m_key.clear();
    m_routeName = route.name;
    if (route.anonymous || !table.hasTeams())
        return true;
    if (!m_front.keysFresh()) {
        refuse(503, "keys too old", Duration(300'000));
        return false;
    }
    m_key = std::string(m_request->head().find(m_front.protocol().headers().key).value_or(""));
    const RoutedTeam *team = table.team(m_key);
    if (!team) {
        refuse(401, "unknown key");
        return false;
    }
    m_teamName = team->name;
    return true;
}

void CallerSession::submit(const RouteMapPtr &table, const Route &route)
{
    const HeaderNames &names = m_front.protocol().headers();
    const MessageHead &head = m_request->head();
    const Time now = steadyNow();
    if (!m_front.takes(route.kind, now))
        return refuse(503, "stopping", Duration(100'000));
    RelayRequest request;
    request.id = m_requestId;
    request.table = table;
    request.route = m_route = &route;
    request.service = table->target(route, m_requestId);
    const auto deadline = numberFrom<std::int64_t>(head.find(names.deadline).value_or(""));
    request.timeLeft = deadline ? Duration(*deadline * 1000) : route.timeout;
    const std::string_view tokens = head.find(names.tokenCount).value_or("");
    request.promptTokens = numberFrom<std::uint32_t>(tokens).value_or(0);
    const std::size_t comma = tokens.find(',');
    if (comma != std::string_view::npos)
        request.answerTokens = numberFrom<std::uint32_t>(tokens.substr(comma + 1)).value_or(0);
    if (const auto hint = numberFrom<std::uint32_t>(head.find(names.lengthHint).value_or("")))
        request.answerTokens = std::min(request.answerTokens, *hint);
    m_callerAfter = numberFrom<std::uint64_t>(head.find(names.lastEvent).value_or(""));
    keepHeaders();
    RelayActions actions;
    m_flight = m_front.relay().submit(std::move(request), now, actions);
    m_front.attach(*m_flight, shared_from_this());
    m_front.run(std::move(actions));
}

void CallerSession::keepHeaders()
{
    const HeaderNames &names = m_front.protocol().headers();
    const MessageHead &head = m_request->head();
    const std::array<std::string_view, 8> own {
        names.key,     names.team,     names.expectedEndpoint, names.path,
        names.urgency, names.deadline, names.expectedVersion,  names.lastEvent};
    const std::vector<std::string> connection = connectionFields(head);
    const auto listed = [](const auto &list, std::string_view name) {
        return std::any_of(list.begin(), list.end(),
                           [&](std::string_view each) { return sameName(each, name); });
    };
    m_kept = head.method + " " + head.target + " HTTP/1.1\r\n";
    for (const HeaderField &field : head.fields)
        if (!isConnectionField(field.name) && !listed(own, field.name)
            && !listed(connection, field.name))
            m_kept += field.name + ": " + field.value + "\r\n";
    if (!m_teamName.empty())
        m_kept += std::string(names.team) + ": " + m_teamName + "\r\n";
    if (!m_request->body().empty() || head.method == "POST" || head.method == "PUT")
        m_kept += "Content-Length: " + std::to_string(m_request->body().size()) + "\r\n";
    m_body = std::move(m_request->body());
}

std::string CallerSession::requestText(const SendWhole &send) const
{
    const HeaderNames &names = m_front.protocol().headers();
    std::string text = m_kept;
    const auto add = [&](std::string_view name, std::string_view value) {
        text.append(name).append(": ").append(value).append("\r\n");
    };
    add(names.deadline, std::to_string(std::max<std::int64_t>(1, milliseconds(send.timeLeft))));
    add(names.expectedEndpoint, send.endpoint);
    if (!send.path.empty())
        add(names.path, m_front.protocol().pathText(send.path));
    const auto after = send.afterEvent ? send.afterEvent : m_callerAfter;
    if (after)
        add(names.lastEvent, std::to_string(*after));
    text += "\r\n";
    text += m_body;
    return text;
}

void CallerSession::sendAttempt(const SendWhole &send)
{
    abandonAttempt();
    m_attempt = send.attempt;
    m_answer.reset();
    m_events.reset();
    note(
        "sent to " + send.endpoint + " (" + send.reason + ")"
        + (send.path.empty() ? std::string() : " along " + m_front.protocol().pathText(send.path)));
    ExchangeSettings settings;
    settings.endpoint = send.endpoint;
    settings.address = send.address;
    settings.freshConnection = send.freshConnection;
    settings.requestIdName = m_front.protocol().headers().requestId;
    settings.requestId = m_requestId;
    m_exchange = std::make_shared<Exchange>(m_front.pool(), std::move(settings), requestText(send));
    m_exchange->start(*this, steadyNow());
}

void CallerSession::abandonAttempt()
{
    if (m_exchange)
        m_exchange->cancel();
    m_exchange.reset();
}

bool CallerSession::maySend()
{
    const Time now = steadyNow();
    // A key may have been withdrawn while the request waited for a connection,
    // or while this process stood still.
    const bool keyed = !m_key.empty() && !m_streamBegun;
    const RouteMapPtr &table = m_front.table();
    if (keyed && (!m_front.keysFresh() || !table->team(m_key))) {
        RelayActions actions;
        const FlightId flight = *m_flight;
        m_front.relay().callerGone(flight, now, actions);
        m_front.run(std::move(actions));
        m_front.detach(flight);
        m_flight.reset();
        abandonAttempt();
        m_front.keysFresh() ? refuse(401, "key withdrawn")
                            : refuse(503, "keys too old", Duration(300'000));
        return false;
    }
    if (m_flight && m_front.relay().maySend(*m_flight, m_attempt, now))
        return true;
    exchangeFailed(AttemptFailure::NotSent);
    return false;
}

void CallerSession::exchangeFailed(AttemptFailure failure)
{
    static constexpr std::array<std::string_view, 3> Names {"not sent", "broken off", "bad answer"};
    note(Names[static_cast<std::size_t>(failure)]);
    abandonAttempt();
    if (!m_flight)
        return;
    RelayActions actions;
    m_front.relay().attemptFailed(*m_flight, m_attempt, failure, steadyNow(), actions);
    m_front.run(std::move(actions));
}

AnswerHead CallerSession::decisionHead(const MessageHead &head) const
{
    const HeaderNames &names = m_front.protocol().headers();
    AnswerHead answer;
    answer.status = head.status;
    answer.notExecuted = head.find(names.notExecuted).has_value();
    answer.sealed = head.find(names.seal).has_value();
    answer.atAddress = head.find(names.atAddress).value_or("");
    answer.running = numberFrom<std::uint32_t>(head.find(names.load).value_or(""));
    return answer;
}

bool CallerSession::headArrived(MessageReader &answer)
{
    const AnswerHead head = decisionHead(answer.head());
    const bool stream = m_route->kind == RequestKind::Stream;
    if (!stream || head.status != 200 || !head.sealed || head.notExecuted)
        return false;
    RelayActions actions;
    const bool pass = m_front.relay().answered(*m_flight, m_attempt, head, steadyNow(), actions);
    m_front.run(std::move(actions));
    if (!pass)
        return false;
    m_events.emplace();
    return true;
}

void CallerSession::bodyArrived(MessageReader &answer)
{
    if (!m_flight || !m_events)
        return;
    const Time now = steadyNow();
    std::string whole;
    const auto passed = m_front.relay().lastEvent(*m_flight);
    const std::size_t count = m_events->add(answer.body(), passed ? passed : m_callerAfter, whole);
    answer.body().clear();
    if (count == 0)
        return;
    if (!m_streamBegun) {
        m_streamBegun = true;
        m_firstEventAt = now;
        writeHead(answer.head(), std::nullopt);
    } else {
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
    }
    m_lastEventAt = now;
    m_passedEvents += count;
    std::array<char, 20> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), whole.size(), 16).ptr;
    m_out.append(size.data(), static_cast<std::size_t>(end - size.data()));
    m_out.append("\r\n").append(whole).append("\r\n");
    m_front.relay().eventsPassed(*m_flight, m_attempt, m_events->lastId(), now);
    flush();
}

void CallerSession::answerWhole(MessageReader &answer)
{
    m_exchange.reset();
    if (!m_flight)
        return;
    const Time now = steadyNow();
    RelayActions actions;
    if (m_events) {
        // Complete in form, but in the middle of an event: it was cut.
        if (m_events->partial())
            m_front.relay().attemptFailed(*m_flight, m_attempt, AttemptFailure::Garbled, now,
                                          actions);
        else
            m_front.relay().streamEnded(*m_flight, m_attempt, now, actions);
        return m_front.run(std::move(actions));
    }
    m_answer.emplace(std::move(answer));
    const AnswerHead head = decisionHead(m_answer->head());
    note("answered " + std::to_string(head.status) + (head.notExecuted ? ", not run" : "")
         + (head.atAddress.empty() ? std::string() : " at " + std::string(head.atAddress)));
    m_front.relay().answered(*m_flight, m_attempt, head, now, actions);
    m_front.run(std::move(actions));
}

void CallerSession::passAnswer()
{
    const auto self = shared_from_this();
    if (m_streamBegun) {
        m_out += "0\r\n\r\n";
        logEnd("passed", 200, "");
    } else if (m_answer) {
        writeHead(m_answer->head(), m_answer->body().size());
        if (m_request->head().method != "HEAD")
            m_out += m_answer->body();
        logEnd("passed", m_answer->head().status, "");
    } else {
        // A stream without a single event: whole all the same.
        return refuse(502, "stream without events");
    }
    answered();
}

void CallerSession::endFlight(const EndFlight &end)
{
    const auto self = shared_from_this();
    abandonAttempt();
    switch (end.end) {
    case FlightEnd::NotRun:
        return refuse(503, end.reason, end.retryAfter);
    case FlightEnd::Failed:
        return refuse(502, end.reason);
    case FlightEnd::TimedOut:
        return refuse(504, end.reason);
    case FlightEnd::CutShort:
        // Closed without the last chunk, so that it does not look complete.
        logEnd("cut short", 200, end.reason);
        m_front.detach(*m_flight);
        m_flight.reset();
        return close();
    }
}

void CallerSession::writeHead(const MessageHead &head, std::optional<std::size_t> length)
{
    const std::vector<std::string> connection = connectionFields(head);
    m_closeAfter = m_closeAfter || m_front.stopping();
    m_out += "HTTP/1.1 " + std::to_string(head.status) + " " + std::string(statusText(head.status))
             + "\r\n";
    for (const HeaderField &field : head.fields) {
        const bool listed = std::any_of(connection.begin(), connection.end(),
                                        [&](auto &each) { return sameName(each, field.name); });
        if (!isConnectionField(field.name) && !listed)
            m_out += field.name + ": " + field.value + "\r\n";
    }
    m_out += length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                    : std::string("Transfer-Encoding: chunked\r\n");
    m_out += m_closeAfter ? "Connection: close\r\n\r\n" : "\r\n";
}

void CallerSession::refuse(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    m_closeAfter = m_closeAfter || m_front.stopping();
    const std::string body = "{\"error\":{\"message\":\"" + std::string(reason) + "\"}}";
    m_out += "HTTP/1.1 " + std::to_string(status) + " " + std::string(statusText(status))
             + "\r\nContent-Type: application/json\r\n";
    if (!m_requestId.empty())
        m_out += std::string(m_front.protocol().headers().requestId) + ": " + m_requestId + "\r\n";
    if (retryAfter) {
        const std::string millis = std::to_string(1000 + milliseconds(*retryAfter) % 1000);
        m_out += "Retry-After: " + std::to_string(retryAfter->count() / 1'000'000) + "."
                 + millis.substr(1) + "\r\n";
    }
    m_out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    m_out += m_closeAfter ? "Connection: close\r\n\r\n" : "\r\n";
    m_out += body;
    logEnd("refused", status, reason);
    answered();
}

void CallerSession::answered()
{
    if (m_flight)
        m_front.detach(*m_flight);
    m_flight.reset();
    m_request.reset();
    m_answer.reset();
    m_events.reset();
    m_key.clear();
    m_requestId.clear();
    m_table.reset();
    m_route = nullptr;
    m_streamBegun = false;
    flush();
}

void CallerSession::write(std::string_view bytes)
{
    m_out += bytes;
    flush();
}

void CallerSession::flush()
{
    if (m_writing || m_closed)
        return;
    if (m_out.empty()) {
        if (m_flight)
            return;
        if (m_closeAfter)
            return close();
        return;
    }
    m_writing = true;
    m_writingBytes.swap(m_out);
    m_out.clear();
    asio::async_write(
        m_socket, asio::buffer(m_writingBytes),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            self->m_writing = false;
            if (error)
                return self->close();
            self->finishedRequest();
        });
}

void CallerSession::finishedRequest()
{
    flush();
    if (m_closed || m_writing || m_flight)
        return;
    parse();
    read();
}

void CallerSession::close()
{
    if (m_closed)
        return;
    m_closed = true;
    const auto self = shared_from_this();
    abandonAttempt();
    if (m_flight) {
        RelayActions actions;
        logEnd("caller gone", 0, "the caller closed its connection");
        m_front.relay().callerGone(*m_flight, steadyNow(), actions);
        m_front.detach(*m_flight);
        m_flight.reset();
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_front.closed(*this);
}

void CallerSession::closeIfIdle(Time now)
{
    // A caller that has just connected is about to write: closed at once, it
    // would find its request unread and unanswered.
    if (idle() && now - m_lastRead >= LeastIdle)
        close();
}

void CallerSession::tick(Time now)
{
    const auto self = shared_from_this();
    if (m_exchange && m_exchange->connectingSince()
        && now - *m_exchange->connectingSince() >= ConnectWithin) {
        const auto exchange = m_exchange;
        exchange->connectTimedOut();
    }
    if (m_flight || m_writing || m_closed)
        return;
    const RouteMapPtr &table = m_front.table();
    const RequestLimits limits = table ? table->limits() : RequestLimits {};
    const bool partial = m_request && m_request->begun();
    if (partial && now - m_lastRead >= limits.headerTimeout) {
        m_closeAfter = true;
        return refuse(408, "request not completed in time");
    }
    if (!partial && now - m_lastRead >= limits.idleTimeout)
        close();
}

void CallerSession::note(std::string_view text)
{
    constexpr std::size_t MostTrail = 2000;
    if (m_trail.size() + text.size() > MostTrail)
        return;
    if (!m_trail.empty())
        m_trail += "; ";
    m_trail += "+" + std::to_string(milliseconds(steadyNow() - m_startedAt)) + " ";
    m_trail += text;
}

void CallerSession::logEnd(std::string_view outcome, int status, std::string_view reason)
{
    const Time now = steadyNow();
    const Duration first =
        m_firstEventAt > m_startedAt ? m_firstEventAt - m_startedAt : Duration {};
    const bool late = m_route
                      && (first > m_route->targetLatency
                          || (m_route->targetGap > Duration {} && m_longestGap > m_route->targetGap)
                          || (m_route->kind != RequestKind::Stream
                              && now - m_startedAt > m_route->targetLatency));
    RequestOutcome ended;
    ended.kind = m_route ? m_route->kind : RequestKind::Safe;
    ended.outcome = outcome;
    ended.whole = now - m_startedAt;
    if (m_streamBegun)
        ended.firstEvent = first;
    ended.longestGap = m_longestGap;
    ended.late = late;
    m_front.requestMetrics().ended(ended);
    const bool good = outcome == "passed" && status < 400 && !late;
    if (good && !m_front.settings().logAll)
        return;
    logDecision("request", "ended",
                {{"request", std::string_view(m_requestId)},
                 {"outcome", outcome},
                 {"status", std::int64_t(status)},
                 {"reason", reason},
                 {"route", std::string_view(m_routeName)},
                 {"version", std::int64_t(m_table ? m_table->version() : 0)},
                 {"ms", milliseconds(now - m_startedAt)},
                 {"first_ms", milliseconds(first)},
                 {"gap_ms", milliseconds(m_longestGap)},
                 {"events", std::int64_t(m_passedEvents)},
                 {"late", late},
                 {"trail", std::string_view(m_trail)}});
}

} // namespace balsamloft
