/// \file
/// What callers got and what endpoints ran, and whether the promises were kept.

#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace balsamloft::soak {

using Clock = std::chrono::steady_clock;

/// Kinds of requests, as the routes name them.
enum class Kind { Safe, Unsafe, Stream };

/// What a caller sent and got.
struct Attempt
{
    Kind kind = Kind::Safe;
    int events = 0; ///< that a whole stream has
    int status = 0; ///< 0: the connection ended without a head
    bool complete = false; ///< the answer ended as a whole one does
    bool ends = false; ///< ends each endpoint that runs it
    std::string body;
};

/// Gathers both sides of a run and judges them; the product's own word counts
/// for nothing.
class Record
{
public:
    void ran(const std::string &request, const std::string &endpoint);
    void got(const std::string &request, Attempt attempt);

    /// An endpoint wrote that it leaves; \a endpoint: its id.
    void leaves(const std::string &endpoint) { m_leftAt[endpoint] = Clock::now(); }
    /// An endpoint ended under a request that ends endpoints.
    void endedUnder(const std::string &endpoint) { m_endedUnder.push_back(endpoint); }
    std::size_t endsUnder() const { return m_endedUnder.size(); }

    void broken(const std::string &promise) { m_broken.push_back(promise); }

    /// Promises that were broken, one line each.
    std::vector<std::string> judge() const;
    std::string summary() const;

private:
    void judgeBody(const std::string &request, const Attempt &attempt,
                   std::vector<std::string> &broken) const;

    std::map<std::string, std::vector<std::string>> m_ran; ///< endpoints by request
    std::map<std::string, Attempt> m_got;
    std::map<std::string, Clock::time_point> m_leftAt;
    std::vector<std::string> m_endedUnder;
    std::vector<std::string> m_broken;
};

/// Body of an endpoint's answer to a call.
std::string callBody(const std::string &request);

/// One event of the stream that answers \a request; the first one is 1.
std::string eventText(const std::string &request, int number);

} // namespace balsamloft::soak
