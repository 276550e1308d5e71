/// \file
/// Client for the platform's HTTP services: transactions, objects and the list of instances.

#pragma once

#include <balsamloft/httpclient.h>
#include <balsamloft/platform.h>

#include <memory>

namespace balsamloft {

/// Settings of the client.
struct HttpPlatformSettings
{
    std::string address; ///< "IP:port"
    Duration timeout {2'000'000}; ///< for connecting, and for each request
};

/// Returns a Platform that calls the service at \a settings.address.
std::unique_ptr<Platform> makeHttpPlatform(boost::asio::io_context &context,
                                           HttpPlatformSettings settings);

} // namespace balsamloft
