/// \file
/// Decides when a server may close the connection of a caller.

#pragma once

#include <balsamloft/types.h>

#include <cstdint>

namespace balsamloft {

/// What a server does with the connections of its callers.
enum class ServerPhase : std::uint8_t {
    Serving,
    Stopping, ///< a planned stop has begun: answers announce the end of their connection
    Closing, ///< idle connections are closed too
    Ending, ///< the grace period of a planned stop is nearly over
};

/// How long a server waits for its callers.
struct CallerTimeouts
{
    Duration request {}; ///< for the head of a request, and for each MinBodyRate of its body
    Duration idle {}; ///< between an answer and the next request
};

/// Bytes a second of a body that a caller must send, on average over CallerTimeouts::request.
/// Slower than any link that carries requests, so that it ends only callers that don't mean to
/// finish.
inline constexpr std::uint64_t MinBodyRate = 1024;

/// Tells what the system holds of a connection.
class ConnectionProbe
{
public:
    virtual ~ConnectionProbe() = default;

    /// Whether bytes of the caller have arrived that the server has not read.
    virtual bool hasUnreadBytes() const = 0;
};

/// What a server is to do with a connection.
enum class ConnectionStep : std::uint8_t {
    Keep,
    Refuse, ///< answer the incomplete request with a refusal, then close
    Close,
};

/// Follows the use of one connection. All decisions to close it are made here; the only others are
/// those of the caller and of a broken connection.
///
/// A connection may be closed only if no request of its caller is lost by that: none was read
/// without a complete answer, and none has arrived without being read. The second cannot be derived
/// from the time of the last read, because a process that was paused reads late.
class ConnectionUse
{
public:
    explicit ConnectionUse(Time openedAt, Duration idleTimeout)
        : m_activeAt(openedAt)
        , m_promisedIdle(idleTimeout)
    {
    }

    // Commands

    void bytesRead(Time now) { m_activeAt = now; }

    /// Records that the bytes that were read are the beginning of a request.
    void requestBegun();

    /// Records that the head of the request was read.
    void headRead(Time now);

    /// Records that \a bytes of the body were read.
    void bodyRead(std::uint64_t bytes, const CallerTimeouts &timeouts, Time now);

    /// Records that a complete request was read. It is in progress until answerWritten().
    void requestRead() { m_state = State::InProgress; }

    /// Records that the answer to the request was passed to the system completely. \a idleTimeout
    /// is the one that the caller may rely on from now on.
    void answerWritten(Duration idleTimeout, Time now);

    /// Records that the answer announces the end of the connection.
    void announceClose() { m_closeAnnounced = true; }

    // Queries

    bool isIncomplete() const { return m_state == State::Incomplete; }
    bool inProgress() const { return m_state == State::InProgress; }
    bool closeAnnounced() const { return m_closeAnnounced; }

    /// Time of the last read, or of the end of the last answer.
    Time activeAt() const { return m_activeAt; }

    /// Whether the answer that begins now should announce the end of the connection, so that its
    /// caller does not send another request on it. \a unreadInProcess tells whether a further
    /// request was read already: its caller expects an answer to that as well.
    bool shouldAnnounceClose(ServerPhase phase, bool unreadInProcess,
                             const ConnectionProbe &probe) const;

    /// Decides what to do with the connection at \a now.
    ConnectionStep step(ServerPhase phase, const CallerTimeouts &timeouts,
                        const ConnectionProbe &probe, Time now) const;

private:
    enum class State : std::uint8_t { Idle, Incomplete, InProgress };

    ConnectionStep stepIfIdle(ServerPhase phase, const CallerTimeouts &timeouts, Time now) const;
    ConnectionStep stepIfIncomplete(ServerPhase phase, const CallerTimeouts &timeouts,
                                    Time now) const;

    State m_state = State::Idle;
    Time m_activeAt;
    Time m_progressAt {}; ///< beginning of the request, or of the current part of its body
    std::uint64_t m_partBytes = 0; ///< read of that part
    Duration m_promisedIdle; ///< idle time that the caller relies on
    bool m_closeAnnounced = false;
};

} // namespace balsamloft
