// The part of CallerSession that answers its caller and logs the outcome of requests.

#include "callersession.h"
#include "clock.h"
#include "connectionerrors.h"
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
        m_output += LastChunk;
        logOutcome("passed", 200, "");
    } else if (m_answer) {
        writeHead(m_answer->head(), m_answer->body().size());
        if (m_request->head().method != "HEAD")
            m_outputBody = std::move(m_answer->body());
        logOutcome("passed", m_answer->head().status, "");
    } else {
        // The stream was completed without any event.
        return refuse(502, "endpoint sent a stream without events");
    }
    finishRequest();
}

void CallerSession::finishFlight(const FinishFlight &finish)
{
    const auto self = shared_from_this();
    abandonAttempt();
    switch (finish.outcome) {
    case FlightOutcome::NotExecuted:
        return refuse(503, finish.reason, finish.retryAfter, finish.end);
    case FlightOutcome::Failed:
        return refuse(502, finish.reason, {}, finish.end);
    case FlightOutcome::TimedOut:
        return refuse(504, finish.reason, {}, finish.end);
    case FlightOutcome::Truncated:
        // The connection is closed without the last chunk, so that the answer does not look
        // complete.
        logOutcome("cut short", 200, finish.reason, finish.end);
        m_use.announceClose();
        m_truncated = true;
        return finishRequest();
    }
}

void CallerSession::writeHead(const MessageHead &head, std::optional<std::size_t> length)
{
    const std::vector<std::string> connection = connectionOptions(head);
    announceCloseIfStopping();
    m_output += "HTTP/1.1 " + std::to_string(head.status) + " "
                + std::string(statusText(head.status)) + "\r\n";
    for (const HeaderField &field : head.fields) {
        const bool listed = std::any_of(connection.begin(), connection.end(), [&](auto &each) {
            return sameFieldName(each, field.name);
        });
        if (!isHopByHopField(field.name) && !listed)
            m_output += field.name + ": " + field.value + "\r\n";
    }
    m_output += length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                       : std::string("Transfer-Encoding: chunked\r\n");
    m_output += m_use.closeAnnounced() ? "Connection: close\r\n\r\n" : "\r\n";
}

void CallerSession::announceCloseIfStopping()
{
    if (m_use.shouldAnnounceClose(m_server.phase(steadyNow()), !m_unread.empty(), *this))
        m_use.announceClose();
}

void CallerSession::refuse(int status, std::string_view reason, std::optional<Duration> retryAfter,
                           const FlightEnd &end)
{
    announceCloseIfStopping();
    const std::string body = "{\"error\":{\"message\":\"" + std::string(reason) + "\"}}";
    m_output += "HTTP/1.1 " + std::to_string(status) + " " + std::string(statusText(status))
                + "\r\nContent-Type: application/json\r\n";
    if (!m_requestId.empty())
        m_output +=
            std::string(m_server.protocol().headers().requestId) + ": " + m_requestId + "\r\n";
    if (retryAfter) {
        const std::string millis = std::to_string(1000 + milliseconds(*retryAfter) % 1000);
        m_output += "Retry-After: " + std::to_string(retryAfter->count() / 1'000'000) + "."
                    + millis.substr(1) + "\r\n";
    }
    m_output += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    m_output += m_use.closeAnnounced() ? "Connection: close\r\n\r\n" : "\r\n";
    m_output += body;
    logOutcome("refused", status, reason, end);
    finishRequest();
}

void CallerSession::finishRequest()
{
    if (m_flight)
        m_server.detach(*m_flight);
    m_flight.reset();
    m_request.reset();
    m_answer.reset();
    m_events.reset();
    m_teamKey.clear();
    m_requestId.clear();
    m_body.reset();
    m_table.reset();
    m_route = nullptr;
    m_streamBegun = false;
    shrinkHold();
    flush();
}

void CallerSession::write(std::string_view bytes)
{
    m_output += bytes;
    flush();
}

void CallerSession::flush()
{
    if (m_writing || m_closed)
        return;
    if (m_output.empty() && m_outputBody.empty()) {
        if (m_flight)
            return;
        return answerWritten();
    }
    m_writing = true;
    m_server.callerSocketCalls().writes += 1;
    m_outputBeingWritten.swap(m_output);
    m_output.clear();
    m_bodyBeingWritten = std::exchange(m_outputBody, {});
    m_writtenBytes = 0;
    const Time now = steadyNow();
    m_hold.restartProgress(now);
    m_answerHold.restartProgress(now);
    updateDisplaceable();
    writeSome();
}

/// Writes in parts, so that the progress of a slow reader is seen.
void CallerSession::writeSome()
{
    const std::array<asio::const_buffer, 2> output {asio::buffer(m_outputBeingWritten),
                                                    asio::buffer(m_bodyBeingWritten)};
    const std::size_t ofHead = std::min(m_writtenBytes, output[0].size());
    const std::array<asio::const_buffer, 2> rest {output[0] + ofHead,
                                                  output[1] + (m_writtenBytes - ofHead)};
    m_socket.async_write_some(rest, [self = shared_from_this()](
                                        const boost::system::error_code &error, std::size_t count) {
        self->writeFinished(error, count);
    });
}

void CallerSession::writeFinished(const boost::system::error_code &error, std::size_t count)
{
    m_writtenBytes += count;
    const Time now = steadyNow();
    m_hold.recordProgress(count, now);
    m_answerHold.recordProgress(count, now);
    const std::size_t size = m_outputBeingWritten.size() + m_bodyBeingWritten.size();
    if (!error && !m_closed && m_writtenBytes < size)
        return writeSome();
    m_writing = false;
    m_bodyBeingWritten = {};
    if (m_outputBeingWritten.capacity() > OrdinaryAnswerBytes)
        m_outputBeingWritten = {};
    if (isReset(error))
        return close(CloseCause::CallerEnded);
    if (error)
        return close(CloseCause::WriteFailed);
    holdOutput(now);
    updateDisplaceable();
    continueReading();
}

/// Holds what waits to be written. \return whether that is granted.
bool CallerSession::holdOutput(Time now)
{
    // An answer that is still being read is held by mayHold().
    if (m_exchange && !m_events)
        return true;
    const std::uint64_t bytes = m_output.capacity() + m_outputBody.capacity()
                                + m_outputBeingWritten.capacity() + m_bodyBeingWritten.capacity();
    return m_answerHold.resize(bytes > OrdinaryAnswerBytes ? bytes : 0, now);
}

/// Ends the request in progress, if there is one. All of its answer was passed to the system.
void CallerSession::answerWritten()
{
    if (!m_use.inProgress())
        return;
    if (m_truncated)
        return end(CloseCause::Truncated);
    m_server.callerCounts().answerWritten();
    m_use.answerWritten(timeouts().idle, steadyNow());
    m_hold.restartProgress(steadyNow());
    updateDisplaceable();
    if (m_use.closeAnnounced())
        end(CloseCause::Announced);
}

void CallerSession::continueReading()
{
    flush();
    if (m_closed || m_writing || m_flight)
        return;
    parse();
    read();
}

void CallerSession::addToTrail(std::string_view text)
{
    constexpr std::size_t MaxTrailLength = 2000;
    if (m_trail.size() + text.size() > MaxTrailLength)
        return;
    if (!m_trail.empty())
        m_trail += "; ";
    m_trail += "+" + std::to_string(milliseconds(steadyNow() - m_startedAt)) + " ";
    m_trail += text;
}

/// The digests of the prompt's first parts, so that a log line stays short.
std::string CallerSession::loggedParts() const
{
    constexpr std::size_t MaxLoggedParts = 8;
    std::string text;
    for (std::size_t i = 0; i < std::min(m_promptParts.size(), MaxLoggedParts); ++i)
        text += (i == 0 ? "" : ",") + m_promptParts[i];
    return text;
}

/// Logs the request of an attempt that failed after it may have been sent, with the time and the
/// number of events until the failure. When an engine crashes, an operator can find the requests
/// that may have caused the crash.
void CallerSession::logBrokenAttempt(std::string_view failure) const
{
    const std::string parts = loggedParts();
    logDecision("request", "broken off",
                {{"request", std::string_view(m_requestId)},
                 {"digest", std::string_view(m_digest)},
                 {"parts", std::string_view(parts)},
                 {"endpoint", std::string_view(m_firstEndpoint)},
                 {"forwarded_by", std::string_view(m_forwardedBy)},
                 {"failure", failure},
                 {"connection_end", nameOf(m_connectionEnd)},
                 {"sent_ms", milliseconds(steadyNow() - m_sentAt)},
                 {"events", std::int64_t(m_passedEvents - m_eventsBeforeAttempt)}});
}

void CallerSession::addEndFields(const FlightEnd &end, Time now,
                                 std::vector<LogField> &fields) const
{
    const bool onWay = end.lastFailure == AttemptEnd::Broken && m_brokenOnWay;
    fields.insert(fields.end(),
                  {{"cause", nameOf(end.cause)},
                   {"endpoint", std::string_view(m_firstEndpoint)},
                   {"forwarded_by", std::string_view(m_forwardedBy)},
                   {"attempts", std::int64_t(end.attempts)},
                   {"last_failure", nameOf(onWay ? AttemptEnd::BrokenOnWay : end.lastFailure)},
                   {"last_status", std::int64_t(end.lastStatus)},
                   {"connection_end", nameOf(m_connectionEnd)},
                   {"since_version_ms", milliseconds(now - m_server.tableSince())}});
    if (m_streamBegun)
        fields.push_back({"since_data_ms", milliseconds(now - m_lastEventAt)});
}

void CallerSession::logOutcome(std::string_view outcome, int status, std::string_view reason,
                               const FlightEnd &end)
{
    const Time now = steadyNow();
    const Duration first =
        m_firstEventAt > m_startedAt ? m_firstEventAt - m_startedAt : Duration {};
    const bool late = m_route
                      && (first > m_route->targetLatency
                          || (m_route->targetEventPause > Duration {}
                              && m_longestPause > m_route->targetEventPause)
                          || (m_route->kind != RequestKind::Stream
                              && now - m_startedAt > m_route->targetLatency));
    RequestOutcome request;
    request.kind = m_route ? m_route->kind : RequestKind::Safe;
    request.outcome = outcome;
    request.duration = now - m_startedAt;
    if (m_streamBegun)
        request.timeToFirstEvent = first;
    request.longestPause = m_longestPause;
    request.late = late;
    m_server.requestMetrics().record(request);
    const bool unremarkable =
        (outcome == "passed" && status < 400 && !late) || std::exchange(m_refusedUnheld, false);
    if (unremarkable && !m_server.settings().logAll)
        return;
    const std::string parts = loggedParts();
    std::vector<LogField> fields {{"request", std::string_view(m_requestId)},
                                  {"digest", std::string_view(m_digest)},
                                  {"parts", std::string_view(parts)},
                                  {"outcome", outcome},
                                  {"status", std::int64_t(status)},
                                  {"reason", reason},
                                  {"route", std::string_view(m_routeName)},
                                  {"version", std::int64_t(m_table ? m_table->version() : 0)},
                                  {"ms", milliseconds(now - m_startedAt)},
                                  {"first_ms", milliseconds(first)},
                                  {"gap_ms", milliseconds(m_longestPause)},
                                  {"events", std::int64_t(m_passedEvents)},
                                  {"late", late},
                                  {"trail", std::string_view(m_trail)}};
    if (end.cause != EndCause::None)
        addEndFields(end, now, fields);
    logDecision("request", "ended", fields);
}

} // namespace balsamloft
