/// \file
/// The connection of a caller.

#pragma once

#include "connectionpool.h"
#include "decisionlog.h"

#include <balsamloft/callercounts.h>
#include <balsamloft/connectionuse.h>
#include <balsamloft/eventsplitter.h>
#include <balsamloft/readfreshness.h>
#include <balsamloft/relay.h>
#include <balsamloft/resourceaccount.h>

namespace balsamloft {

class TrafficServer;

/// Reads the requests of a caller one after another, submits each to the relay, and writes the
/// answer.
class CallerSession : public std::enable_shared_from_this<CallerSession>,
                      private ExchangeHandler,
                      private ConnectionProbe,
                      private ResourceHolder
{
public:
    CallerSession(TrafficServer &server, boost::asio::ip::tcp::socket socket);

    /// Begins to read, unless there are too many connections; then the caller is refused.
    void start();

    // Actions of the relay

    void sendAttempt(const SendRequest &send);
    void abandonAttempt();

    /// Appends a decision to the request's trail, which is logged when the request finishes.
    void addToTrail(std::string_view text);
    void passAnswer();
    void finishFlight(const FinishFlight &finish);

    /// Checks the timeouts of connection attempts, and ends the connection if ConnectionUse says
    /// so.
    void tick(Time now);

    /// Closes the connection at once: the caller has left, or the connection is broken.
    void close(CloseCause cause);

    /// Whether the caller has closed the connection, even if its last bytes were not read yet.
    bool callerLeft();

    /// Number of the current attempt, if it uses a direct connection to \a endpoint that was opened
    /// before \a time.
    std::optional<std::uint32_t> directAttemptAt(std::string_view endpoint, Time time) const
    {
        const bool direct = m_exchange && !m_exchange->isConnecting() && !m_exchange->isForwarded()
                            && m_sentAt < time;
        return direct && m_firstEndpoint == endpoint ? std::optional(m_attempt) : std::nullopt;
    }

private:
    bool hasUnreadBytes() const override;
    void displace() override;
    bool maySend() override;
    bool mayHold(std::uint64_t bytes) override;
    void answerNotHeld() override;
    void forwardedBy(const std::string &name) override;
    void exchangeFailed(AttemptFailure failure) override;
    bool headReceived(MessageReader &answer) override;
    void bodyReceived(MessageReader &answer) override;
    void answerReceived(MessageReader &answer) override;

    void read();
    void readReady(boost::system::error_code error);
    void readFinished(const boost::system::error_code &error, std::size_t count);
    void parse();
    bool holdRequest(Time now);
    bool holdOutput(Time now);
    void shrinkHold();
    void refuseUnheld();
    void dropReader();
    void updateDisplaceable();
    void handleRequest();
    bool admit(const Route &route, const RouteMap &table);
    void submit(const RouteMapPtr &table, const Route &route);
    /// Builds the start line and header fields of the forwarded request.
    void buildForwardedHead();
    std::string requestHead(const SendRequest &send) const;
    void refuse(int status, std::string_view reason, std::optional<Duration> retryAfter = {},
                const FlightEnd &end = {});
    void refuseMalformed();
    void beginStream();
    void writeHead(const MessageHead &head, std::optional<std::size_t> length);
    void write(std::string_view bytes);
    void flush();
    void writeSome();
    void writeFinished(const boost::system::error_code &error, std::size_t count);
    /// Resets the state of the current request and writes the rest of its answer.
    void finishRequest();
    /// Records that a request is owed an answer.
    void beginAnswer();
    void answerWritten();
    void announceCloseIfStopping();
    CallerTimeouts timeouts() const;
    void refuseIncomplete();
    /// Ends the connection in a way that loses no answer.
    void end(CloseCause cause);
    void cancelFlight(EndCause cause);
    void recordClose(CloseCause cause);
    /// Continues with the next request once the answer is written.
    void continueReading();
    /// The fields of \a head that the relay needs.
    AnswerHead answerHead(const MessageHead &head) const;
    std::string contentDigest();
    std::vector<std::string> promptParts(std::string_view service);
    std::string loggedParts() const;
    std::string failureText(AttemptFailure failure) const;
    void logBrokenAttempt(std::string_view failure) const;
    std::string wayText() const;
    void addEndFields(const FlightEnd &end, Time now, std::vector<LogField> &fields) const;
    void logOutcome(std::string_view outcome, int status, std::string_view reason,
                    const FlightEnd &end = {});

    TrafficServer &m_server;
    /// Mutable since its native handle, which queries need, is not available on a const socket.
    mutable boost::asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_buffer {};
    ConnectionUse m_use;
    std::string m_unread;
    ResourceHold m_hold; ///< of the connection and the request
    ResourceHold m_answerHold;
    std::string m_output;
    std::string m_outputBody; ///< follows `m_output`
    std::string m_outputBeingWritten;
    std::string m_bodyBeingWritten; ///< follows `m_outputBeingWritten`
    std::size_t m_writtenBytes = 0; ///< of these two
    std::optional<MessageReader> m_request;
    std::string m_requestId;
    std::string m_digest; ///< of the request's content, see requestDigest()
    std::vector<std::string> m_promptParts; ///< digests, see sharedPromptParts()
    std::string m_teamName;
    int m_priority = 0; ///< of the request, see combinedPriority()
    std::string m_teamKey;
    std::string m_routeName;
    RouteMapPtr m_table;
    const Route *m_route = nullptr;
    std::string m_forwardedHead;
    std::shared_ptr<const std::string> m_body; ///< shared with the attempts
    /// Id of the event after which the caller resumes a stream.
    std::optional<std::uint64_t> m_callerLastEventId;
    std::shared_ptr<Exchange> m_exchange;
    /// A complete answer that the relay may pass to the caller.
    std::optional<MessageReader> m_answer;
    std::optional<EventSplitter> m_events;
    std::optional<FlightId> m_flight;
    std::uint32_t m_attempt = 0;
    std::string m_firstEndpoint; ///< endpoint that the current attempt is sent to
    std::string m_forwardedBy; ///< instance that forwards the current attempt; empty: direct
    ConnectionEnd m_connectionEnd = ConnectionEnd::None; ///< of the attempt that failed last
    bool m_brokenOnWay = false; ///< the instance that forwarded it ended the connection
    Time m_sentAt {};
    std::uint64_t m_eventsBeforeAttempt = 0; ///< events passed on before the current attempt
    Time m_startedAt {};
    Time m_firstEventAt {};
    Time m_lastEventAt {};
    Duration m_longestPause {};
    std::uint64_t m_passedEvents = 0;
    std::string m_trail; ///< decisions on the request, for the log
    bool m_streamBegun = false;
    bool m_writing = false;
    bool m_closed = false;
    bool m_reading = false;
    bool m_refusedUnheld = false; ///< the request in progress was, as TrafficServer logs in sum
    bool m_truncated = false; ///< the answer in progress ends without being complete
};

} // namespace balsamloft
