/// \file
/// Synchronous client for the admin listener of a daemon.

#pragma once

#include <balsamloft/types.h>

#include <boost/json.hpp>

#include <optional>

namespace balsamloft {

/// Status and JSON body of a daemon's answer.
struct AdminAnswer
{
    unsigned status = 0;
    boost::json::object body;
};

/// Sends requests to the admin listener of one daemon, one at a time.
class AdminClient
{
public:
    /// \a address is "IP:port" of a daemon's admin listener.
    AdminClient(std::string address, std::string token);

    /// Returns nothing if the daemon is unreachable or its answer is not a JSON object;
    /// lastReason() then gives the reason.
    std::optional<AdminAnswer> get(std::string_view path);
    std::optional<AdminAnswer> post(std::string_view path, const boost::json::object &body);

    /// Reason for the last call that returned nothing.
    const Reason &lastReason() const { return m_reason; }

private:
    std::optional<AdminAnswer> send(std::string_view method, std::string_view path,
                                    const std::string &body);

    std::string m_address;
    std::string m_token;
    Reason m_reason;
};

} // namespace balsamloft
