/// \file
/// One caller's connection.

#pragma once

#include "connectionpool.h"

#include <balsamloft/eventsplitter.h>
#include <balsamloft/readfreshness.h>
#include <balsamloft/relay.h>

namespace balsamloft {

class TrafficServer;

/// Reads requests one after another, keeps the bytes of the present one while
/// the relay decides on it, and writes the answer.
class CallerSession : public std::enable_shared_from_this<CallerSession>, private ExchangeHandler
{
public:
    CallerSession(TrafficServer &front, boost::asio::ip::tcp::socket socket);

    void start();

    // Actions of the relay

    void sendAttempt(const SendRequest &send);
    void abandonAttempt();

    /// Adds a decision to the request's trail.
    void note(std::string_view text);
    void passAnswer();
    void finishFlight(const FinishFlight &end);

    /// Looks after connection attempts and idle or slow callers.
    void tick(Time now);

    /// Closes the connection when nothing is under way on it.
    void closeIfIdle(Time now);
    void close();
    bool idle() const { return !m_flight && m_in.empty() && !m_writing; }

private:
    bool maySend() override;
    void exchangeFailed(AttemptFailure failure) override;
    bool headReceived(MessageReader &answer) override;
    void bodyReceived(MessageReader &answer) override;
    void answerReceived(MessageReader &answer) override;

    void read();
    void arrived(const boost::system::error_code &error, std::size_t count);
    void parse();
    void handle();
    bool admit(const Route &route, const RouteMap &table);
    void submit(const RouteMapPtr &table, const Route &route);
    void buildForwardedHead();
    std::string requestText(const SendRequest &send) const;
    void refuse(int status, std::string_view reason, std::optional<Duration> retryAfter = {});
    void refuseMalformed();
    void beginStream();
    void writeHead(const MessageHead &head, std::optional<std::size_t> length);
    void write(std::string_view bytes);
    void flush();
    void answered();
    void continueReading();
    AnswerHead answerHead(const MessageHead &head) const;
    std::string contentDigest();
    void logBrokenAttempt() const;
    void logOutcome(std::string_view outcome, int status, std::string_view reason);

    TrafficServer &m_server;
    boost::asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_buffer {};
    std::string m_in;
    std::string m_out;
    std::string m_writingBytes;
    std::optional<MessageReader> m_request;
    std::string m_requestId;
    std::string m_digest; ///< of the request's content
    std::string m_teamName;
    std::string m_key;
    std::string m_routeName;
    RouteMapPtr m_table;
    const Route *m_route = nullptr;
    std::string m_forwardedHead; ///< start line and header fields that go on to endpoints
    std::string m_body;
    std::optional<std::uint64_t> m_callerAfter; ///< the caller goes on after this event
    std::shared_ptr<Exchange> m_exchange;
    std::optional<MessageReader> m_answer; ///< a whole answer that may be passed on
    std::optional<EventSplitter> m_events;
    std::optional<FlightId> m_flight;
    std::uint32_t m_attempt = 0;
    std::string m_sentTo; ///< first endpoint of the present attempt
    Time m_sentAt {};
    std::uint64_t m_eventsBefore = 0; ///< passed on before the present attempt
    Time m_startedAt {};
    Time m_lastRead {};
    Time m_firstEventAt {};
    Time m_lastEventAt {};
    Duration m_longestGap {};
    std::uint64_t m_passedEvents = 0;
    std::string m_trail; ///< what happened to the request, for the log
    bool m_streamBegun = false;
    bool m_writing = false;
    bool m_closeAfter = false;
    bool m_closed = false;
    bool m_reading = false;
};

} // namespace balsamloft
