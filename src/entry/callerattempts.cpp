// The part of CallerSession that carries out attempts at endpoints.

#include "announcements.h"
#include "callersession.h"
#include "clock.h"
#include "fieldtext.h"
#include "trafficserver.h"

#include <balsamloft/answerrules.h>

#include <algorithm>

namespace balsamloft {

/// The head of the request for one attempt; the body is the same for all.
std::string CallerSession::requestHead(const SendRequest &send) const
{
    const HeaderNames &names = m_server.protocol().headers();
    std::string text = m_forwardedHead;
    const auto add = [&](std::string_view name, std::string_view value) {
        text.append(name).append(": ").append(value).append("\r\n");
    };
    add(names.deadline, std::to_string(std::max<std::int64_t>(1, milliseconds(send.timeLeft))));
    add(names.expectedEndpoint, send.name);
    if (!send.path.empty())
        add(names.path, m_server.protocol().formatPath(send.path));
    if (send.urgency)
        add(names.urgency, std::to_string(*send.urgency));
    const auto lastEventId = send.afterEvent ? send.afterEvent : m_callerLastEventId;
    if (lastEventId)
        add(names.lastEventId, std::to_string(*lastEventId));
    text += "\r\n";
    return text;
}

void CallerSession::sendAttempt(const SendRequest &send)
{
    abandonAttempt();
    m_attempt = send.attempt;
    m_firstEndpoint = send.endpoint;
    m_forwardedBy.clear();
    m_sentAt = steadyNow();
    m_eventsBeforeAttempt = m_passedEvents;
    m_answer.reset();
    m_events.reset();
    addToTrail("sent to " + send.endpoint + " (" + send.reason + ")"
               + (send.path.empty() ? std::string()
                                    : " along " + m_server.protocol().formatPath(send.path)));
    ExchangeSettings settings;
    settings.endpoint = send.endpoint;
    settings.address = send.address;
    settings.freshConnection = send.freshConnection;
    settings.requestIdName = m_server.protocol().headers().requestId;
    settings.requestId = m_requestId;
    m_exchange =
        std::make_shared<Exchange>(m_server.pool(), std::move(settings), requestHead(send), m_body);
    m_exchange->start(*this, steadyNow());
}

void CallerSession::abandonAttempt()
{
    if (m_exchange)
        m_exchange->cancel();
    m_exchange.reset();
}

void CallerSession::forwardedBy(const std::string &name)
{
    m_forwardedBy = name;
    addToTrail("by way of " + name);
}

/// The way of the current attempt, and how its connection ended.
std::string CallerSession::wayText() const
{
    std::string text = m_forwardedBy.empty() ? "direct" : "by way of " + m_forwardedBy;
    if (m_connectionEnd != ConnectionEnd::None)
        text.append(", ").append(nameOf(m_connectionEnd));
    return text;
}

bool CallerSession::maySend()
{
    const Time now = steadyNow();
    // The caller's close may lie behind the bytes that were read last.
    if (callerLeft()) {
        m_server.departures().beforeSend += 1;
        close(CloseCause::CallerEnded);
        return false;
    }
    // The key may have been withdrawn while the request waited for a connection or while this
    // process was paused.
    const bool requiresKey = !m_teamKey.empty() && !m_streamBegun;
    const RouteMapPtr &table = m_server.table();
    if (requiresKey && (!m_server.keysUpToDate() || !table->team(m_teamKey))) {
        RelayActions actions;
        const FlightId flight = *m_flight;
        m_server.relay().callerGone(flight, now, actions);
        m_server.run(std::move(actions));
        m_server.detach(flight);
        m_flight.reset();
        abandonAttempt();
        m_server.keysUpToDate() ? refuse(401, "API key withdrawn")
                                : refuse(503, "API keys out of date", Duration(300'000));
        return false;
    }
    if (m_flight && m_server.maySend(*m_flight, m_attempt))
        return true;
    exchangeFailed(AttemptFailure::Withheld);
    return false;
}

/// Describes the \a failure of the current attempt, for the log.
std::string CallerSession::failureText(AttemptFailure failure) const
{
    static constexpr std::array<std::string_view, 5> Names {
        "not sent", "broken off", "invalid answer", "withheld", nameOf(AttemptEnd::BrokenOnWay)};
    if (m_brokenOnWay)
        return std::string(nameOf(AttemptEnd::BrokenOnWay));
    if (failure == AttemptFailure::InvalidAnswer && m_exchange)
        return InvalidAnswerPrefix + m_exchange->invalidReason();
    return std::string(Names[static_cast<std::size_t>(failure)]);
}

void CallerSession::exchangeFailed(AttemptFailure failure)
{
    m_connectionEnd = m_exchange ? m_exchange->connectionEnd() : ConnectionEnd::None;
    m_brokenOnWay = m_exchange && m_exchange->isEndedByForwarder();
    const bool mayHaveArrived = failure == AttemptFailure::Broken
                                || failure == AttemptFailure::InvalidAnswer
                                || failure == AttemptFailure::ForwarderLost;
    const std::string text = failureText(failure);
    addToTrail(text + (mayHaveArrived ? " (" + wayText() + ")" : ""));
    if (mayHaveArrived)
        logBrokenAttempt(text);
    abandonAttempt();
    if (!m_flight)
        return;
    RelayActions actions;
    m_server.relay().attemptFailed(*m_flight, m_attempt, failure, steadyNow(), actions);
    m_server.run(std::move(actions));
}

bool CallerSession::mayHold(std::uint64_t bytes)
{
    return bytes <= OrdinaryAnswerBytes || m_answerHold.growTo(bytes, steadyNow());
}

void CallerSession::answerNotHeld()
{
    abandonAttempt();
    if (const auto flight = std::exchange(m_flight, std::nullopt)) {
        RelayActions actions;
        m_server.relay().callerGone(*flight, steadyNow(), actions);
        m_server.detach(*flight);
        m_server.run(std::move(actions));
    }
    refuse(502, "the answer does not fit beside what the instance holds");
}

AnswerHead CallerSession::answerHead(const MessageHead &head) const
{
    const HeaderNames &names = m_server.protocol().headers();
    AnswerHead answer;
    answer.status = head.status;
    answer.notExecuted = head.find(names.notExecuted).has_value();
    answer.provenExecuted = head.find(names.executionProof).has_value();
    answer.faultyAddress = head.find(names.faultyAddress).value_or("");
    answer.running = leadingNumber<std::uint32_t>(head.find(names.load).value_or(""));
    answer.rateLimit = leadingNumber<double>(head.find(names.rateLimit).value_or(""));
    answer.announcement = announcementOf(head, names);
    return answer;
}

bool CallerSession::headReceived(MessageReader &answer)
{
    const AnswerHead head = answerHead(answer.head());
    logAnnouncement(m_firstEndpoint, answer.head(), head.announcement);
    const bool stream = m_route->kind == RequestKind::Stream;
    if (!stream || head.status != 200 || !head.provenExecuted || head.notExecuted)
        return false;
    RelayActions actions;
    const bool pass = m_server.relay().answered(*m_flight, m_attempt, head, steadyNow(), actions);
    m_server.run(std::move(actions));
    if (!pass)
        return false;
    m_events.emplace();
    return true;
}

void CallerSession::bodyReceived(MessageReader &answer)
{
    if (!m_flight || !m_events)
        return;
    const Time now = steadyNow();
    std::string events;
    const auto passed = m_server.relay().lastEvent(*m_flight);
    const std::size_t count =
        m_events->add(answer.body(), passed ? passed : m_callerLastEventId, events);
    answer.body().clear();
    if (count == 0)
        return;
    if (!m_streamBegun) {
        m_streamBegun = true;
        m_firstEventAt = now;
        writeHead(answer.head(), std::nullopt);
    } else {
        m_longestPause = std::max(m_longestPause, now - m_lastEventAt);
    }
    m_lastEventAt = now;
    m_passedEvents += count;
    appendChunk(events, m_output);
    if (!holdOutput(now))
        return dropReader();
    RelayActions actions;
    m_server.relay().eventsForwarded(*m_flight, m_attempt, m_events->lastId(), now, actions);
    m_server.run(std::move(actions));
    flush();
}

void CallerSession::answerReceived(MessageReader &answer)
{
    m_exchange.reset();
    if (!m_flight)
        return;
    const Time now = steadyNow();
    RelayActions actions;
    if (m_events) {
        // If the HTTP message is complete but ends within an event, the stream was truncated.
        if (m_events->partial())
            m_server.relay().attemptFailed(*m_flight, m_attempt, AttemptFailure::InvalidAnswer, now,
                                           actions);
        else
            m_server.relay().streamCompleted(*m_flight, m_attempt, now, actions);
        return m_server.run(std::move(actions));
    }
    m_answer.emplace(std::move(answer));
    const AnswerHead head = answerHead(m_answer->head());
    addToTrail(
        "answered " + std::to_string(head.status) + (head.notExecuted ? ", not run" : "")
        + (head.faultyAddress.empty() ? std::string() : " at " + std::string(head.faultyAddress)));
    m_server.relay().answered(*m_flight, m_attempt, head, now, actions);
    m_server.run(std::move(actions));
}

} // namespace balsamloft
