// The part of CallerSession that answers its caller, and tells how requests ended.

#include "callersession.h"
#include "clock.h"
#include "decisionlog.h"
#include "fieldtext.h"
#include "trafficserver.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace balsamloft {

namespace {

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

} // namespace

void CallerSession::passAnswer()
{
    const auto self = shared_from_this();
    if (m_streamBegun) {
        m_out += "0\r\n\r\n";
        logOutcome("passed", 200, "");
    } else if (m_answer) {
        writeHead(m_answer->head(), m_answer->body().size());
        if (m_request->head().method != "HEAD")
            m_out += m_answer->body();
        logOutcome("passed", m_answer->head().status, "");
    } else {
        // A stream without a single event: whole all the same.
        return refuse(502, "stream without events");
    }
    answered();
}

void CallerSession::finishFlight(const FinishFlight &end)
{
    const auto self = shared_from_this();
    abandonAttempt();
    switch (end.outcome) {
    case FlightOutcome::NotExecuted:
        return refuse(503, end.reason, end.retryAfter);
    case FlightOutcome::Failed:
        return refuse(502, end.reason);
    case FlightOutcome::TimedOut:
        return refuse(504, end.reason);
    case FlightOutcome::Truncated:
        // Closed without the last chunk, so that it does not look complete.
        logOutcome("cut short", 200, end.reason);
        m_server.detach(*m_flight);
        m_flight.reset();
        return close();
    }
}

void CallerSession::writeHead(const MessageHead &head, std::optional<std::size_t> length)
{
    const std::vector<std::string> connection = connectionOptions(head);
    m_closeAfter = m_closeAfter || m_server.stopping();
    m_out += "HTTP/1.1 " + std::to_string(head.status) + " " + std::string(statusText(head.status))
             + "\r\n";
    for (const HeaderField &field : head.fields) {
        const bool listed = std::any_of(connection.begin(), connection.end(), [&](auto &each) {
            return sameFieldName(each, field.name);
        });
        if (!isHopByHopField(field.name) && !listed)
            m_out += field.name + ": " + field.value + "\r\n";
    }
    m_out += length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                    : std::string("Transfer-Encoding: chunked\r\n");
    m_out += m_closeAfter ? "Connection: close\r\n\r\n" : "\r\n";
}

void CallerSession::refuse(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    m_closeAfter = m_closeAfter || m_server.stopping();
    const std::string body = "{\"error\":{\"message\":\"" + std::string(reason) + "\"}}";
    m_out += "HTTP/1.1 " + std::to_string(status) + " " + std::string(statusText(status))
             + "\r\nContent-Type: application/json\r\n";
    if (!m_requestId.empty())
        m_out += std::string(m_server.protocol().headers().requestId) + ": " + m_requestId + "\r\n";
    if (retryAfter) {
        const std::string millis = std::to_string(1000 + milliseconds(*retryAfter) % 1000);
        m_out += "Retry-After: " + std::to_string(retryAfter->count() / 1'000'000) + "."
                 + millis.substr(1) + "\r\n";
    }
    m_out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    m_out += m_closeAfter ? "Connection: close\r\n\r\n" : "\r\n";
    m_out += body;
    logOutcome("refused", status, reason);
    answered();
}

void CallerSession::answered()
{
    if (m_flight)
        m_server.detach(*m_flight);
    m_flight.reset();
    m_request.reset();
    m_answer.reset();
    m_events.reset();
    m_key.clear();
    m_requestId.clear();
    m_body.clear();
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
    m_server.callerSocketCalls().writes += 1;
    m_writingBytes.swap(m_out);
    m_out.clear();
    asio::async_write(
        m_socket, asio::buffer(m_writingBytes),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            self->m_writing = false;
            if (error)
                return self->close();
            self->continueReading();
        });
}

void CallerSession::continueReading()
{
    flush();
    if (m_closed || m_writing || m_flight)
        return;
    parse();
    read();
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

/// An engine that ends takes all requests on it along: those that it had under way,
/// and how far each had come there, tell which one may have ended it.
void CallerSession::logBrokenAttempt() const
{
    logDecision("request", "broken off",
                {{"request", std::string_view(m_requestId)},
                 {"digest", std::string_view(m_digest)},
                 {"endpoint", std::string_view(m_sentTo)},
                 {"sent_ms", milliseconds(steadyNow() - m_sentAt)},
                 {"events", std::int64_t(m_passedEvents - m_eventsBefore)}});
}

void CallerSession::logOutcome(std::string_view outcome, int status, std::string_view reason)
{
    const Time now = steadyNow();
    const Duration first =
        m_firstEventAt > m_startedAt ? m_firstEventAt - m_startedAt : Duration {};
    const bool late =
        m_route
        && (first > m_route->targetLatency
            || (m_route->targetEventGap > Duration {} && m_longestGap > m_route->targetEventGap)
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
    m_server.requestMetrics().ended(ended);
    const bool good = outcome == "passed" && status < 400 && !late;
    if (good && !m_server.settings().logAll)
        return;
    logDecision("request", "ended",
                {{"request", std::string_view(m_requestId)},
                 {"digest", std::string_view(m_digest)},
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
