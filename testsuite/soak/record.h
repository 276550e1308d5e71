/// \file
/// Records what callers received and what endpoints executed, and checks the guarantees.

#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace balsamloft::soak {

using Clock = std::chrono::steady_clock;

/// Kinds of requests, named as in the routes.
enum class Kind { Safe, Unsafe, Stream };

/// A request and the answer that its caller received.
struct Exchange
{
    Kind kind = Kind::Safe;
    int events = 0; ///< number of events in the complete stream
    int status = 0; ///< 0: the connection was closed before the header was complete
    bool complete = false; ///< the answer was received to its end
    bool crashing = false; ///< crashes each endpoint that executes the request
    /// Parts of the prompt, "ID:TOKENS" separated by commas; empty: the request lists none.
    std::string parts;
    std::string key = "good-key"; ///< of the caller's team
    /// The key may be withdrawn at any time, also after an attempt whose answer was lost.
    bool mayBeUnauthorized = false;
    bool mayLackRoute = false; ///< the route comes and goes
    std::string body;
};

/// Collects the observations of callers and endpoints and checks them against the guarantees. Uses
/// nothing that the instances report about themselves.
class Record
{
public:
    /// \a endpoint has executed \a request.
    void executed(const std::string &request, const std::string &endpoint);
    /// An endpoint has written its whole answer to \a request.
    /// \a endpoint has written its whole answer to \a request.
    void finished(const std::string &request, const std::string &endpoint)
    {
        m_finishedAt[{request, endpoint}] = Clock::now();
    }
    /// Whether an endpoint has executed \a request.
    bool wasExecuted(const std::string &request) const { return m_executed.contains(request); }
    /// The endpoints that executed \a request, in order.
    std::vector<std::string> executionsOf(const std::string &request) const;
    /// Whether the endpoint that executed \a request last had written its whole answer at \a time.
    bool wasFinished(const std::string &request, Clock::time_point time) const;
    /// The caller of \a request has received its answer.
    void received(const std::string &request, Exchange exchange);

    /// The caller of \a request has closed its connection without an answer.
    void left(const std::string &request) { m_leftAt[request] = Clock::now(); }

    /// The endpoint with the id \a endpoint has reported that it is leaving.
    void leaving(const std::string &endpoint) { m_leavingAt[endpoint] = Clock::now(); }
    /// An answer of \a endpoint to \a instance asks for no requests until \a until.
    void announced(const std::string &endpoint, const std::string &instance,
                   Clock::time_point until);
    /// A request of \a instance has reached \a endpoint.
    void arrived(const std::string &endpoint, const std::string &instance);
    /// A new process of \a instance begins without the announcements to the previous one.
    void instanceStarted(const std::string &instance);
    /// A request has crashed \a endpoint.
    void crashed(const std::string &endpoint) { m_crashed.push_back(endpoint); }
    std::size_t crashCount() const { return m_crashed.size(); }

    void addViolation(const std::string &violation) { m_violations.push_back(violation); }

    /// Returns the violated guarantees, one line each.
    std::vector<std::string> check() const;
    std::string summary() const;

private:
    void checkBody(const std::string &request, const Exchange &exchange,
                   std::vector<std::string> &violations) const;

    /// A time in which an endpoint wants no requests from an instance.
    struct Announcement
    {
        Clock::time_point at;
        Clock::time_point until;
        int late = 0; ///< requests that reached the endpoint all the same
    };

    /// Endpoints that executed each request.
    std::map<std::string, std::vector<std::string>> m_executed;
    std::map<std::pair<std::string, std::string>, Clock::time_point> m_finishedAt;
    std::map<std::string, Exchange> m_received;
    std::map<std::string, Clock::time_point> m_leavingAt;
    std::map<std::pair<std::string, std::string>, Announcement> m_announcements;
    std::vector<std::string> m_crashed;
    std::map<std::string, Clock::time_point> m_leftAt;
    std::vector<std::string> m_executedAfterLeaving; ///< long after their callers left
    std::vector<std::string> m_violations;
};

/// The id of the request number \a number, which is sent to \a instance.
std::string requestId(std::uint64_t number, const std::string &instance);

/// The instance that the request was sent to.
std::string instanceOf(const std::string &request);

/// Body of an endpoint's answer to a call.
std::string callBody(const std::string &request);

/// One event of the stream that answers \a request; the first event has number 1.
std::string eventText(const std::string &request, int number);

} // namespace balsamloft::soak
