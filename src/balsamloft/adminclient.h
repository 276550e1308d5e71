/// \file
/// Asks a daemon's admin listener, one request at a time.

#pragma once

#include <balsamloft/types.h>

#include <boost/json.hpp>

#include <optional>

namespace balsamloft {

/// A daemon's answer.
struct AdminAnswer
{
    unsigned status = 0;
    boost::json::object body;
};

/// Speaks to one daemon.
class AdminClient
{
public:
    /// \a address is "IP:port" of a daemon's admin listener.
    AdminClient(std::string address, std::string token);

    /// Returns nothing and leaves a reason when the daemon cannot be reached.
    std::optional<AdminAnswer> get(std::string_view path);
    std::optional<AdminAnswer> post(std::string_view path, const boost::json::object &body);

    /// Why the last call returned nothing.
    const Reason &lastReason() const { return m_reason; }

private:
    std::optional<AdminAnswer> send(std::string_view method, std::string_view path,
                                    const std::string &body);

    std::string m_address;
    std::string m_token;
    Reason m_reason;
};

} // namespace balsamloft
